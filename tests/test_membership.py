"""Tests of membership: what spreads must reach all that can be reached."""

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
from chervilwing.transfer import CHUNK, MAX_VALUE

from .fleet import Fleet

NOTICE_WITHIN = 3.0
REVISION_WITHIN = 16.0


def make_value(revision, lines=200):
    """Return a configuration document of the size of a small inventory."""
    entries = [{"name": f"engine-{n}", "slots": 8} for n in range(lines)]
    return json.dumps({"revision": revision, "upstreams": entries}).encode()


def make_fleet(size=24, seed=1, **options):
    """Return a fleet whose instances all know each other."""
    fleet = Fleet(size, seed, **options)
    fleet.run(30.0, fleet.agree)
    return fleet


def record_of(fleet, node, address):
    """Return what one instance holds about another."""
    records = fleet.nodes[node].members()
    return next((record for record in records if record.address == address), None)


def set_back(node, seconds):
    """Run an instance by a clock that is behind by so many seconds."""
    tick, receive = node.tick, node.receive
    node.tick = lambda now: tick(now - seconds)
    node.receive = lambda peer, frame, now: receive(peer, frame, now - seconds)


class TestSpread(unittest.TestCase):
    def publish(self, fleet, notice, address):
        fleet.take(address, fleet.nodes[address].publish(notice, fleet.now))

    def publish_revision(self, fleet, number, address):
        fleet.nodes[address].publish_revision(number, make_value(number), fleet.now)

    def test_notice_heard_by_one_reaches_all_in_time(self):
        """New work still goes to an engine that is being reclaimed.

        Only one entry instance heard the cloud's notice; the list lags by seconds.
        The others must hear it within 3 s, also when a fifth of the frames is lost.
        """
        for size, loss in ((6, 0.0), (24, 0.0), (24, 0.2), (100, 0.05)):
            with self.subTest(size=size, loss=loss):
                fleet = make_fleet(size, loss=loss)
                for number in range(3):
                    notice = Notice(UPSTREAM, f"engine-{number}", fleet.now + 30)
                    self.publish(fleet, notice, fleet.rng.choice(list(fleet.nodes)))
                    done = partial(fleet.all_heard, notice)
                    self.assertIsNotNone(fleet.run(NOTICE_WITHIN, done))

    def test_wave_of_notices_stays_within_the_budget(self):
        """A data centre's worth of notices comes at once, all heard by one instance.

        130 engines leave together. All must hear all of them in 3 s, and no instance
        may send more than its burst and rate allow.
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
            NOTICE_WITHIN, lambda: all(fleet.all_heard(notice) for notice in notices)
        )
        self.assertIsNotNone(done)
        limit = fleet.cfg.burst + fleet.cfg.rate * NOTICE_WITHIN
        worst = max(fleet.sent_bytes[at] - before[at] for at in fleet.nodes)
        self.assertLess(worst, limit)

    def test_revision_reaches_all_with_its_value(self):
        fleet = make_fleet(24, loss=0.05)
        self.publish_revision(fleet, 7, next(iter(fleet.nodes)))
        done = fleet.run(
            REVISION_WITHIN,
            lambda: all(node.revision() == 7 for node in fleet.nodes.values()),
        )
        self.assertIsNotNone(done)
        values = {node.value() for node in fleet.nodes.values()}
        self.assertEqual(values, {make_value(7)})

    def test_value_that_was_brought_starts_no_rumour_when_published(self):
        # Each instance publishes what came into force, also what a peer brought: told
        # anew by all, one edit would go round the fleet once for each instance.
        fleet = make_fleet(8, centres="ab")
        first, last = list(fleet.nodes)[::7]
        self.publish_revision(fleet, 7, first)
        fleet.run(REVISION_WITHIN)
        node = fleet.nodes[last]
        self.assertEqual((node.revision(), node.describe().rumours), (7, 0))
        self.publish_revision(fleet, 7, last)
        self.assertEqual(node.describe().rumours, 0)

    def test_cut_heals_and_both_sides_merge(self):
        """After a cut, callers of one side meet rules that the other side changed.

        Data centre c is cut off for 90 s. Meanwhile the rest passes on revision 9 and
        a notice, and c a notice of its own. Nothing crosses during the cut; once it
        heals both sides must hold all of it.
        """
        fleet = make_fleet(24)
        fleet.cut = {"c"}
        fleet.run(60.0)
        inside = [at for at, node in fleet.nodes.items() if node.centre == "c"]
        outside = [at for at in fleet.nodes if at not in inside]
        theirs = Notice(UPSTREAM, "engine-c", fleet.now + 300)
        ours = Notice(DATA_CENTRE, "b", fleet.now + 300)
        self.publish(fleet, theirs, inside[0])
        self.publish(fleet, ours, outside[0])
        self.publish_revision(fleet, 9, outside[0])
        fleet.run(30.0)
        self.assertTrue(fleet.all_heard(ours, outside))
        self.assertTrue(fleet.all_heard(theirs, inside))
        self.assertFalse(any((at, ours) in fleet.heard for at in inside))
        found = [fleet.nodes[at].describe().cut_off for at in outside]
        self.assertIn(("c",), found)
        self.assertEqual(set(found), {("c",), ()})
        suspects = fleet.nodes[outside[0]].describe().suspects
        self.assertEqual(suspects, 0)
        fleet.cut = set()
        healed = fleet.run(
            REVISION_WITHIN,
            lambda: (
                fleet.all_heard(ours)
                and fleet.all_heard(theirs)
                and all(node.revision() == 9 for node in fleet.nodes.values())
            ),
        )
        self.assertIsNotNone(healed)

    def test_regions_find_each_other_after_a_long_cut(self):
        """The regions lost each other for long and stay apart after the healing.

        By then every instance has given up all links to the other region, and holds
        its data centres as cut off, so it would choose none of them again.
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
        self.assertIsNotNone(fleet.run(REVISION_WITHIN, done))

    def test_stale_peer_does_not_bring_an_older_revision_back(self):
        """A rule that an operator withdrew is in force again.

        One instance was cut off while revision 5 followed 4, then comes back and
        offers what it holds, and an instance that started without disk while the
        platform is down learns from its peers. Neither may end at revision 4.
        """
        fleet = make_fleet(12, centres="abc")
        addresses = list(fleet.nodes)
        self.publish_revision(fleet, 4, addresses[0])
        fleet.run(REVISION_WITHIN)
        fleet.cut = {"c"}
        self.publish_revision(fleet, 5, addresses[0])
        fleet.run(30.0)
        fleet.cut = set()
        started = fleet.start("entry-1", "b", 1, incarnation=2)
        self.assertEqual(started.revision(), 0)
        fleet.run(REVISION_WITHIN)
        self.assertEqual({node.revision() for node in fleet.nodes.values()}, {5})
        self.publish_revision(fleet, 4, addresses[0])
        self.assertEqual(fleet.nodes[addresses[0]].revision(), 5)

    def test_clocks_set_back_do_not_silence_the_fleet(self):
        """No instance hears a notice or a failure for an hour.

        All clocks were set back by an hour at once, so nothing that the instances had
        planned was due, and no link that died meanwhile was found silent.
        """
        fleet = make_fleet(12)
        for node in fleet.nodes.values():
            set_back(node, 3600)
        dead = list(fleet.nodes)[5]
        fleet.stop(dead)
        fleet.run(30.0)
        linked = [at for at, node in fleet.nodes.items() if dead in node.peers()]
        self.assertEqual(linked, [])
        address = next(iter(fleet.nodes))
        notice = Notice(UPSTREAM, "engine-1", fleet.now + 30)
        self.publish(fleet, notice, address)
        done = partial(fleet.all_heard, notice)
        self.assertIsNotNone(fleet.run(NOTICE_WITHIN, done))

    def test_notice_gets_round_a_data_centre_that_just_died(self):
        """Work goes to a leaving engine while another data centre is reclaimed.

        A fifth of the links lead to dead instances that nobody knows to be dead yet;
        what is pushed to them is lost.
        """
        fleet = make_fleet(40)
        for address, node in list(fleet.nodes.items()):
            if node.centre == "c":
                fleet.stop(address)
        fleet.run(0.5)
        notice = Notice(UPSTREAM, "engine-1", fleet.now + 30)
        self.publish(fleet, notice, next(iter(fleet.nodes)))
        done = partial(fleet.all_heard, notice)
        self.assertIsNotNone(fleet.run(NOTICE_WITHIN, done))

    def test_expired_notice_is_not_taken_back(self):
        """A replaced engine gets no work because of a notice that is long over.

        An instance that was paused still holds the old notice and offers it.
        """
        fleet = make_fleet(6)
        address = next(iter(fleet.nodes))
        old = Notice(UPSTREAM, "engine-1", fleet.now - fleet.cfg.notice_age - 1)
        self.assertEqual(fleet.nodes[address].publish(old, fleet.now), ())
        self.assertEqual(fleet.nodes[address].notices(), ())


class TestHealth(unittest.TestCase):
    def test_dead_instance_is_suspected_and_its_restart_is_live(self):
        """The peer that should take a handover over is dead, then started anew.

        One of eight instances in a data centre dies without a word: all must come to
        suspect it. It starts again with a higher incarnation and no state: all must
        hold it as live, though stale suspicions are still under way.
        """
        fleet = make_fleet(16, centres="ab")
        dead = list(fleet.nodes)[4]
        fleet.stop(dead)
        fleet.run(60.0)
        states = {record_of(fleet, node, dead).state for node in fleet.nodes}
        self.assertEqual(states, {SUSPECT})
        fleet.start("entry-4", "a", 4, incarnation=2)
        self.assertIsNotNone(fleet.run(20.0, fleet.agree))
        record = record_of(fleet, next(iter(fleet.nodes)), dead)
        self.assertEqual((record.state, record.incarnation), (LIVE, 2))

    def test_restart_with_a_clock_set_back_outbids_its_old_record(self):
        fleet = make_fleet(8)
        fleet.start("entry-5", "a", 5, incarnation=0)
        self.assertIsNotNone(fleet.run(20.0, fleet.agree))
        record = record_of(fleet, next(iter(fleet.nodes)), list(fleet.nodes)[-1])
        self.assertEqual((record.state, record.incarnation), (LIVE, 2))

    def test_false_suspicion_is_refuted_by_its_subject(self):
        """An instance that only paused is shown as failed for good.

        A peer spread a suspicion while the instance was paused. Once it runs on it
        must win over the suspicion everywhere, without a restart.
        """
        fleet = make_fleet(12)
        subject, liar = list(fleet.nodes)[:2]
        record = record_of(fleet, liar, subject)._replace(state=SUSPECT)
        node = fleet.nodes[liar]
        fleet.take(liar, node._take([record], None, fleet.now, rumour=True))
        fleet.run(10.0)
        held = {record_of(fleet, node, subject)[-2:] for node in fleet.nodes}
        self.assertEqual(held, {(LIVE, 2)})

    def test_leaving_instance_stays_leaving_until_it_is_suspected(self):
        fleet = make_fleet(12)
        address = list(fleet.nodes)[3]
        fleet.nodes[address].leave()
        fleet.run(NOTICE_WITHIN)
        states = {record_of(fleet, node, address).state for node in fleet.nodes}
        self.assertEqual(states, {LEAVING})

    def test_groups_that_joined_by_different_seeds_find_each_other(self):
        """Half of the instances never hear any notice.

        All seeds started at once and each gathered its own group, whose members hear
        each other and so would look no further.
        """
        self.assertTrue(make_fleet(8, seed=1).agree())
        self.assertTrue(make_fleet(40, seed=2).agree())

    def test_forgotten_instance_is_not_brought_back(self):
        """The status page shows an instance that was replaced days ago.

        All had forgotten it when a peer that was cut off for long came back and
        offered its record. A process of that name with a new incarnation is welcome.
        """
        cfg = MembershipSettings(suspect_age=20.0)
        fleet = make_fleet(8, cfg=cfg, centres="ab")
        dead, other = list(fleet.nodes)[3:5]
        record = record_of(fleet, other, dead)
        fleet.stop(dead)
        fleet.run(90.0)
        self.assertIsNone(record_of(fleet, other, dead))
        for incarnation, held in ((1, False), (2, True)):
            stale = record._replace(incarnation=incarnation)
            items = Frame("items", [to_wire(stale)])
            fleet.nodes[other].receive(dead, items, fleet.now)
            self.assertEqual(record_of(fleet, other, dead) is not None, held)

    def test_many_that_start_at_once_are_not_stuck_at_the_seeds(self):
        """After an outage of all, most instances know nobody for minutes.

        All start at once and ask the three seeds, whose byte budget is used up at
        once; the answers must lead to others that have bytes left.
        """
        cfg = MembershipSettings(rate=100.0, burst=3000.0)
        fleet = Fleet(100, 1, cfg=cfg)
        fleet.run(15.0)
        known = min(len(node.members()) for node in fleet.nodes.values())
        self.assertGreater(known, 50)

    def test_refused_stream_is_a_failed_link(self):
        fleet = make_fleet(12, centres="ab")
        address, node = next(iter(fleet.nodes.items()))
        near = (peer for peer in node.peers() if fleet.nodes[peer].centre == "a")
        dead = next(near)
        fleet.stop(dead)
        fleet.run(5.0)
        node.lose(dead, fleet.now)
        self.assertNotIn(dead, node.peers())
        self.assertEqual(record_of(fleet, address, dead).state, SUSPECT)

    def test_links_reach_other_data_centres_and_regions(self):
        fleet = make_fleet(40)
        for node in fleet.nodes.values():
            known = {record.address: record.data_centre for record in node.members()}
            centres = {known[peer] for peer in node.peers()}
            self.assertGreater(len(centres), 1)
            self.assertLessEqual(len(node.peers()), fleet.cfg.links)
            self.assertTrue(centres & {"a", "b", "c"} and centres & {"d", "e"})


class TestBodies(unittest.TestCase):
    def setUp(self):
        self.fleet = make_fleet(4)
        self.peer, self.address = list(self.fleet.nodes)[:2]
        self.node = self.fleet.nodes[self.address]

    def test_any_body_is_answered_or_refused_by_bad_frame(self):
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

    def offer(self, packed, claimed=None):
        """Announce a value to the instance; it must ask for it."""
        revision = Revision(3, len(packed), digest(claimed or packed))
        push = Frame("push", [to_wire(revision)])
        (fetch,) = self.node.receive(self.peer, push, self.fleet.now)
        self.assertEqual(Decoder().feed(fetch.data), (Frame("fetch", [3, 0]),))
        return revision

    def deliver(self, offset, chunk):
        value = Frame("value", [3, offset, chunk])
        return self.node.receive(self.peer, value, self.fleet.now)

    def test_value_over_the_limit_is_refused_before_it_spreads(self):
        with self.assertRaises(TooLarge):
            self.node.publish_revision(1, b"x" * (MAX_VALUE + 1), self.fleet.now)
        self.assertEqual(self.node.revision(), 0)

    def test_value_that_unpacks_over_the_limit_is_refused(self):
        packed = zlib.compress(bytes(MAX_VALUE + 1))
        self.offer(packed)
        with self.assertRaises(BadFrame):
            self.deliver(0, packed)
        self.assertIsNone(self.node.value())

    def test_another_value_is_never_handed_out(self):
        right, wrong = (zlib.compress(letter * 100) for letter in (b"a", b"b"))
        self.assertEqual(len(right), len(wrong))
        revision = self.offer(right)
        with self.assertRaises(BadFrame):
            self.deliver(0, wrong)
        self.assertIsNone(self.node.value())
        self.offer(right)
        self.assertEqual(self.deliver(0, right), (Heard(revision, b"a" * 100),))

    def test_chunk_that_arrives_twice_is_taken_once(self):
        value = random.Random(2).randbytes(2 * CHUNK)
        packed = zlib.compress(value)
        revision = self.offer(packed)
        first, rest = packed[:CHUNK], packed[CHUNK:]
        self.assertIsInstance(self.deliver(0, first)[0], Send)
        self.assertEqual(self.deliver(0, first), ())
        for start in range(0, len(rest), CHUNK):
            heard = self.deliver(CHUNK + start, rest[start : start + CHUNK])
        self.assertEqual(heard, (Heard(revision, value),))

    def test_frames_of_records_fit_a_packet(self):
        body = [[0, "entry-123", "10.120.130.140", 8443, "dc-a", "region-a", 0, 1]] * 16
        self.assertLess(len(msgpack.packb(body)), 1400)
        self.assertEqual(Record._fields[-1], "incarnation")
