"""Tests of membership: notices and revisions reach all reachable instances."""

import json
import random
import unittest
import zlib
from functools import partial

import msgpack

from chervilwing.exceptions import BadFrame, TooLarge
from chervilwing.frames import Decoder, Frame
from chervilwing.gossip import (
    DATA_CENTRE,
    LEAVING,
    LIVE,
    SUSPECT,
    UPSTREAM,
    Notice,
    Record,
    Revision,
    digest,
    to_wire,
)
from chervilwing.gossip_settings import MembershipSettings
from chervilwing.membership import Heard, Send
from chervilwing.transfer import CHUNK_BYTES, MAX_VALUE_BYTES

from .fleet import Fleet

MAX_NOTICE_DELAY = 3.0
MAX_REVISION_DELAY = 16.0


def make_value(revision, lines=200):
    """Return a configuration document with ``lines`` upstreams."""
    entries = [{"name": f"engine-{n}", "slots": 8} for n in range(lines)]
    return json.dumps({"revision": revision, "upstreams": entries}).encode()


def make_fleet(size=24, seed=1, **options):
    """Return a fleet whose instances all know each other."""
    fleet = Fleet(size, seed, **options)
    fleet.run(30.0, fleet.agree)
    return fleet


def find_record(fleet, node, address):
    """Return the record that ``node`` has for an address, or None."""
    records = fleet.nodes[node].members()
    return next((record for record in records if record.address == address), None)


def set_clock_back(node, seconds):
    """Run an instance with a clock that is ``seconds`` behind."""
    tick, receive = node.tick, node.receive
    node.tick = lambda now: tick(now - seconds)
    node.receive = lambda peer, frame, now: receive(peer, frame, now - seconds)


class TestSpread(unittest.TestCase):
    def publish(self, fleet, notice, address):
        fleet.take(address, fleet.nodes[address].publish(notice, fleet.now))

    def publish_revision(self, fleet, number, address):
        fleet.nodes[address].publish_revision(number, make_value(number), fleet.now)

    def test_notice_received_by_one_reaches_all_in_time(self):
        """A notice that one instance receives stops new work on the engine in time.

        Only one entry instance receives the cloud's notice; the instance list lags by
        seconds. All others must receive it within 3 s, even if a fifth of the frames is
        lost. Otherwise new work is sent to an engine that is being reclaimed.
        """
        for size, loss in ((6, 0.0), (24, 0.0), (24, 0.2), (100, 0.05)):
            with self.subTest(size=size, loss=loss):
                fleet = make_fleet(size, loss=loss)
                for number in range(3):
                    notice = Notice(UPSTREAM, f"engine-{number}", fleet.now + 30)
                    self.publish(fleet, notice, fleet.rng.choice(list(fleet.nodes)))
                    done = partial(fleet.all_heard, notice)
                    self.assertIsNotNone(fleet.run(MAX_NOTICE_DELAY, done))

    def test_burst_of_notices_stays_within_the_byte_budget(self):
        """A burst of notices reaches all in time and within the byte budget.

        130 engines of a data centre leave together, and one instance receives all the
        notices at once. All instances must receive them within 3 s, and none may send
        more bytes than its burst and rate allow.
        """
        fleet = make_fleet(40)
        before = fleet.sent_bytes.copy()
        address = next(iter(fleet.nodes))
        notices = [
            Notice(UPSTREAM, f"engine-{number}", fleet.now + 30)
            for number in range(130)
        ]
        for notice in notices:
            self.publish(fleet, notice, address)
        done = fleet.run(
            MAX_NOTICE_DELAY, lambda: all(fleet.all_heard(notice) for notice in notices)
        )
        self.assertIsNotNone(done)
        limit = fleet.cfg.burst + fleet.cfg.rate * MAX_NOTICE_DELAY
        worst = max(fleet.sent_bytes[at] - before[at] for at in fleet.nodes)
        self.assertLess(worst, limit)

    def test_revision_reaches_all_with_its_value(self):
        fleet = make_fleet(24, loss=0.05)
        self.publish_revision(fleet, 7, next(iter(fleet.nodes)))
        done = fleet.run(
            MAX_REVISION_DELAY,
            lambda: all(node.revision() == 7 for node in fleet.nodes.values()),
        )
        self.assertIsNotNone(done)
        values = {node.value() for node in fleet.nodes.values()}
        self.assertEqual(values, {make_value(7)})

    def test_publishing_a_received_value_starts_no_rumour(self):
        # Each instance publishes the value that it put in force, also one received from
        # a peer. If that started a rumour, each edit would be spread once per instance.
        fleet = make_fleet(8, centres="ab")
        first, last = list(fleet.nodes)[::7]
        self.publish_revision(fleet, 7, first)
        fleet.run(MAX_REVISION_DELAY)
        node = fleet.nodes[last]
        self.assertEqual((node.revision(), node.describe().rumours), (7, 0))
        self.publish_revision(fleet, 7, last)
        self.assertEqual(node.describe().rumours, 0)

    def test_both_sides_merge_after_a_partition(self):
        """After a partition, both sides apply the newest rules and hold all notices.

        Data centre c is cut off for 90 s. Meanwhile the others spread revision 9 and a
        notice, and c another notice. Nothing crosses during the partition; afterwards
        both sides must hold all of it. Otherwise one side would still apply rules that
        the other side replaced.
        """
        fleet = make_fleet(24)
        fleet.cut = {"c"}
        fleet.run(60.0)
        inside = [at for at, node in fleet.nodes.items() if node.centre == "c"]
        outside = [at for at in fleet.nodes if at not in inside]
        notice_inside = Notice(UPSTREAM, "engine-c", fleet.now + 300)
        notice_outside = Notice(DATA_CENTRE, "b", fleet.now + 300)
        self.publish(fleet, notice_inside, inside[0])
        self.publish(fleet, notice_outside, outside[0])
        self.publish_revision(fleet, 9, outside[0])
        fleet.run(30.0)
        self.assertTrue(fleet.all_heard(notice_outside, outside))
        self.assertTrue(fleet.all_heard(notice_inside, inside))
        self.assertFalse(
            any((at, notice_outside) in fleet.received_at for at in inside)
        )
        found = [fleet.nodes[at].describe().cut_off for at in outside]
        self.assertIn(("c",), found)
        self.assertEqual(set(found), {("c",), ()})
        suspects = fleet.nodes[outside[0]].describe().suspects
        self.assertEqual(suspects, 0)
        fleet.cut = set()
        healed = fleet.run(
            MAX_REVISION_DELAY,
            lambda: (
                fleet.all_heard(notice_outside)
                and fleet.all_heard(notice_inside)
                and all(node.revision() == 9 for node in fleet.nodes.values())
            ),
        )
        self.assertIsNotNone(healed)

    def test_regions_reconnect_after_a_long_partition(self):
        """Regions that were apart for long link to each other again.

        Every instance has dropped its links to the other region by then and regards its
        data centres as cut off. Without probes of unlinked instances it would not link
        to them again.
        """
        fleet = make_fleet(24)
        fleet.cut = {"d", "e"}
        fleet.run(400.0)
        lost = [node.describe().cut_off for node in fleet.nodes.values()]
        self.assertEqual(set(lost), {("d", "e"), ("a", "b", "c")})
        fleet.cut = set()
        notice = Notice(UPSTREAM, "engine-1", fleet.now + 300)
        self.publish(fleet, notice, next(iter(fleet.nodes)))
        done = partial(fleet.all_heard, notice)
        self.assertIsNotNone(fleet.run(MAX_REVISION_DELAY, done))

    def test_stale_peer_does_not_restore_an_older_revision(self):
        """An older revision of a stale peer doesn't restore a rule that was withdrawn.

        An instance that was cut off while revision 5 replaced 4 is connected again and
        offers revision 4. Another starts without stored state while the platform is
        down and gets its configuration from peers. All must end at revision 5.
        """
        fleet = make_fleet(12, centres="abc")
        addresses = list(fleet.nodes)
        self.publish_revision(fleet, 4, addresses[0])
        fleet.run(MAX_REVISION_DELAY)
        fleet.cut = {"c"}
        self.publish_revision(fleet, 5, addresses[0])
        fleet.run(30.0)
        fleet.cut = set()
        started = fleet.start("entry-1", "b", 1, incarnation=2)
        self.assertEqual(started.revision(), 0)
        fleet.run(MAX_REVISION_DELAY)
        self.assertEqual({node.revision() for node in fleet.nodes.values()}, {5})
        self.publish_revision(fleet, 4, addresses[0])
        self.assertEqual(fleet.nodes[addresses[0]].revision(), 5)

    def test_gossip_continues_after_clocks_are_set_back(self):
        """After clocks are set back by an hour, notices and failures are still noticed.

        All clocks are set back at once. If the stored times were kept, no task would be
        due and no dead link be detected as silent for an hour.
        """
        fleet = make_fleet(12)
        for node in fleet.nodes.values():
            set_clock_back(node, 3600)
        dead = list(fleet.nodes)[5]
        fleet.stop(dead)
        fleet.run(30.0)
        linked = [at for at, node in fleet.nodes.items() if dead in node.peers()]
        self.assertEqual(linked, [])
        address = next(iter(fleet.nodes))
        notice = Notice(UPSTREAM, "engine-1", fleet.now + 30)
        self.publish(fleet, notice, address)
        done = partial(fleet.all_heard, notice)
        self.assertIsNotNone(fleet.run(MAX_NOTICE_DELAY, done))

    def test_notice_spreads_right_after_a_data_centre_dies(self):
        """A notice reaches all in time although a fifth of the links has just died.

        These links lead to instances of a reclaimed data centre, which is not detected
        yet; frames to them are lost. Without other links the notice would be late, and
        work would be sent to a leaving engine.
        """
        fleet = make_fleet(40)
        for address, node in list(fleet.nodes.items()):
            if node.centre == "c":
                fleet.stop(address)
        fleet.run(0.5)
        notice = Notice(UPSTREAM, "engine-1", fleet.now + 30)
        self.publish(fleet, notice, next(iter(fleet.nodes)))
        done = partial(fleet.all_heard, notice)
        self.assertIsNotNone(fleet.run(MAX_NOTICE_DELAY, done))

    def test_expired_notice_is_not_accepted(self):
        """An expired notice doesn't keep work from the engine that replaced another.

        An instance that was paused still has the old notice and publishes it.
        """
        fleet = make_fleet(6)
        address = next(iter(fleet.nodes))
        old = Notice(UPSTREAM, "engine-1", fleet.now - fleet.cfg.notice_age - 1)
        self.assertEqual(fleet.nodes[address].publish(old, fleet.now), ())
        self.assertEqual(fleet.nodes[address].notices(), ())


class TestHealth(unittest.TestCase):
    def test_dead_instance_is_suspected_and_its_restart_is_live(self):
        """A dead instance is shown as suspect, and its restarted process as live.

        One of eight instances in a data centre dies without notice; all must suspect
        it. It restarts with a higher incarnation and no state; all must show it as live
        although stale suspicions are still in transit.
        """
        fleet = make_fleet(16, centres="ab")
        dead = list(fleet.nodes)[4]
        fleet.stop(dead)
        fleet.run(60.0)
        states = {find_record(fleet, node, dead).state for node in fleet.nodes}
        self.assertEqual(states, {SUSPECT})
        fleet.start("entry-4", "a", 4, incarnation=2)
        self.assertIsNotNone(fleet.run(20.0, fleet.agree))
        record = find_record(fleet, next(iter(fleet.nodes)), dead)
        self.assertEqual((record.state, record.incarnation), (LIVE, 2))

    def test_restart_with_an_earlier_clock_replaces_its_old_record(self):
        fleet = make_fleet(8)
        fleet.start("entry-5", "a", 5, incarnation=0)
        self.assertIsNotNone(fleet.run(20.0, fleet.agree))
        record = find_record(fleet, next(iter(fleet.nodes)), list(fleet.nodes)[-1])
        self.assertEqual((record.state, record.incarnation), (LIVE, 2))

    def test_false_suspicion_is_refuted_by_its_subject(self):
        """An instance that only paused is soon shown as live again.

        A peer spread the suspicion during the pause. Once the instance runs again, its
        new incarnation must replace the suspicion everywhere, without a restart.
        """
        fleet = make_fleet(12)
        subject, peer = list(fleet.nodes)[:2]
        record = find_record(fleet, peer, subject)._replace(state=SUSPECT)
        node = fleet.nodes[peer]
        fleet.take(peer, node._accept([record], None, fleet.now, spread=True))
        fleet.run(10.0)
        held = {find_record(fleet, node, subject)[-2:] for node in fleet.nodes}
        self.assertEqual(held, {(LIVE, 2)})

    def test_leaving_instance_is_shown_as_leaving(self):
        fleet = make_fleet(12)
        address = list(fleet.nodes)[3]
        fleet.nodes[address].leave()
        fleet.run(MAX_NOTICE_DELAY)
        states = {find_record(fleet, node, address).state for node in fleet.nodes}
        self.assertEqual(states, {LEAVING})

    def test_groups_that_joined_through_different_seeds_merge(self):
        """Instances that joined through different seeds end up in one group.

        All seeds start at once and each forms a group of its own. The members of a
        group reach each other, so unless they also probe the other seeds, a notice
        would reach only one group.
        """
        self.assertTrue(make_fleet(8, seed=1).agree())
        self.assertTrue(make_fleet(40, seed=2).agree())

    def test_stale_record_of_a_forgotten_instance_is_rejected(self):
        """An instance that was replaced days ago isn't listed again.

        All have forgotten it when a peer that was cut off for long sends its record
        again. A process of the same name with a new incarnation is accepted.
        """
        cfg = MembershipSettings(suspect_age=20.0)
        fleet = make_fleet(8, cfg=cfg, centres="ab")
        dead, other = list(fleet.nodes)[3:5]
        record = find_record(fleet, other, dead)
        fleet.stop(dead)
        fleet.run(90.0)
        self.assertIsNone(find_record(fleet, other, dead))
        for incarnation, held in ((1, False), (2, True)):
            stale = record._replace(incarnation=incarnation)
            items = Frame("items", [to_wire(stale)])
            fleet.nodes[other].receive(dead, items, fleet.now)
            self.assertEqual(find_record(fleet, other, dead) is not None, held)

    def test_instances_that_start_at_once_get_referrals_from_seeds(self):
        """After a full outage, instances that start at once soon know each other.

        All start at once and ask the three seeds, whose byte budget is soon used up.
        The seeds' replies must refer them to instances that have budget left; otherwise
        most would know no other for minutes.
        """
        cfg = MembershipSettings(rate=100.0, burst=3000.0)
        fleet = Fleet(100, 1, cfg=cfg)
        fleet.run(15.0)
        known = min(len(node.members()) for node in fleet.nodes.values())
        self.assertGreater(known, 50)

    def test_refused_stream_drops_the_link(self):
        fleet = make_fleet(12, centres="ab")
        address, node = next(iter(fleet.nodes.items()))
        near = (peer for peer in node.peers() if fleet.nodes[peer].centre == "a")
        dead = next(near)
        fleet.stop(dead)
        fleet.run(5.0)
        node.handle_lost_stream(dead, fleet.now)
        self.assertNotIn(dead, node.peers())
        self.assertEqual(find_record(fleet, address, dead).state, SUSPECT)

    def test_links_reach_other_data_centres_and_regions(self):
        fleet = make_fleet(40)
        for node in fleet.nodes.values():
            known = {record.address: record.data_centre for record in node.members()}
            centres = {known[peer] for peer in node.peers()}
            self.assertGreater(len(centres), 1)
            self.assertLessEqual(len(node.peers()), fleet.cfg.links)
            self.assertTrue(centres & {"a", "b", "c"} and centres & {"d", "e"})


class TestFrameBodies(unittest.TestCase):
    def setUp(self):
        self.fleet = make_fleet(4)
        self.peer, self.address = list(self.fleet.nodes)[:2]
        self.node = self.fleet.nodes[self.address]

    def test_malformed_bodies_raise_only_bad_frame(self):
        rng = random.Random(3)
        kinds = list(self.node._handlers)
        record = ["a", "127.0.0.1", 1, "a", "south", 0, 2**52]
        parts = [0, 1, 2, -1, 2.5, None, b"", b"x" * 8, b"y" * 256, "a", [], {}, [0, 0]]
        for _ in range(5000):
            body = rng.choice([[0, *record], parts, [rng.sample(parts, 4)]])
            body = rng.choice([rng.choice(parts), rng.sample(parts, 2), body])
            frame = Frame(rng.choice([*kinds, "other"]), body)
            try:
                self.node.receive(self.peer, frame, self.fleet.now)
            except BadFrame:
                continue

    def offer(self, compressed, claimed=None):
        """Announce a value to the instance, which must fetch it."""
        revision = Revision(3, len(compressed), digest(claimed or compressed))
        push = Frame("push", [to_wire(revision)])
        (fetch,) = self.node.receive(self.peer, push, self.fleet.now)
        self.assertEqual(Decoder().feed(fetch.data), (Frame("fetch", [3, 0]),))
        return revision

    def deliver(self, offset, chunk):
        value = Frame("value", [3, offset, chunk])
        return self.node.receive(self.peer, value, self.fleet.now)

    def test_value_over_the_limit_is_not_published(self):
        with self.assertRaises(TooLarge):
            self.node.publish_revision(1, b"x" * (MAX_VALUE_BYTES + 1), self.fleet.now)
        self.assertEqual(self.node.revision(), 0)

    def test_value_that_decompresses_over_the_limit_is_refused(self):
        compressed = zlib.compress(bytes(MAX_VALUE_BYTES + 1))
        self.offer(compressed)
        with self.assertRaises(BadFrame):
            self.deliver(0, compressed)
        self.assertIsNone(self.node.value())

    def test_value_with_a_wrong_digest_is_refused(self):
        compressed, other = (zlib.compress(letter * 100) for letter in (b"a", b"b"))
        self.assertEqual(len(compressed), len(other))
        revision = self.offer(compressed)
        with self.assertRaises(BadFrame):
            self.deliver(0, other)
        self.assertIsNone(self.node.value())
        self.offer(compressed)
        self.assertEqual(self.deliver(0, compressed), (Heard(revision, b"a" * 100),))

    def test_duplicate_chunk_is_ignored(self):
        value = random.Random(2).randbytes(2 * CHUNK_BYTES)
        compressed = zlib.compress(value)
        revision = self.offer(compressed)
        first, rest = compressed[:CHUNK_BYTES], compressed[CHUNK_BYTES:]
        self.assertIsInstance(self.deliver(0, first)[0], Send)
        self.assertEqual(self.deliver(0, first), ())
        for start in range(0, len(rest), CHUNK_BYTES):
            received = self.deliver(
                CHUNK_BYTES + start, rest[start : start + CHUNK_BYTES]
            )
        self.assertEqual(received, (Heard(revision, value),))

    def test_frame_of_16_records_fits_a_packet(self):
        body = [[0, "entry-123", "10.120.130.140", 8443, "dc-a", "region-a", 0, 1]] * 16
        self.assertLess(len(msgpack.packb(body)), 1400)
        self.assertEqual(Record._fields[-1], "incarnation")
