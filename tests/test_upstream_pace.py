"""Stated loads and paces: figures that can't be true, and what each decision uses."""

import random
import unittest

from chervilwing.dialects import PLAIN
from chervilwing.placement_exchange import PROGRESS
from chervilwing.platform.headers import DIALECT
from chervilwing.upstream_pace import StatedLoad, read_reports, read_stated_load
from tests.placing_fleet import Fleet
from tests.test_balancing import ENGINES, make_demand, make_pool

SIGNED = {"x-server-stamp": "s"}
# None of these can be a load: wrong counts, signs, other characters, absurd sizes.
IMPLAUSIBLE = (
    *("", " ", ",", "1", "1,2", "1,2,", ",1,2", "1,2,3,", "1,2,3,4,5", "1,2,3,1,2,3"),
    *("-1,0,6,100", "+1,0,6,100", "1.5,0,6,100", "1,0,6,1e2", "1,0,6,nan", "a,b,c,d"),
    *(
        "1;0;6;100",
        "1 0 6 100",
        "0x1,0,6,100",
        "1_0,0,6,100",
        "١,0,6,100",
        "1,0,6\n,100",
    ),
    *("1,0,0,100", "1,0,6,0", "1,0,6,9", "1,0,6,10001", "100001,0,6,100"),
    *("9" * 5000 + ",0,6,100", "1,0,6," + "9" * 5000, "," * 5000),
)


class TestStatedLoad(unittest.TestCase):
    def test_figures_of_both_dialects_are_read(self):
        # A dialect that reads another field would leave every pool at the usual pace.
        for text, load in (
            ("3,1,6,250", StatedLoad(3, 1, 6, 2.5)),
            (" 0 , 0 , 64 ", StatedLoad(0, 0, 64)),
        ):
            plain = PLAIN.read_answer_head(200, {"chervilwing-load": text})
            platform = DIALECT.read_answer_head(200, SIGNED | {"x-server-load": text})
            self.assertEqual((plain.load, platform.load), (load, load))

    def test_implausible_figures_count_as_none(self):
        # One absurd figure would keep an upstream unused, or make it look idle.
        for text in IMPLAUSIBLE:
            with self.subTest(text=text[:40]):
                self.assertIsNone(read_stated_load(text))

    def test_a_load_of_another_server_is_not_believed(self):
        # An answer from another address would slow down the expected upstream.
        fields = {"x-server-load": "3,1,6,250"}
        self.assertIsNone(DIALECT.read_answer_head(200, fields).load)
        self.assertIsNone(DIALECT.read_answer_head(421, SIGNED | fields).load)

    def test_random_text_is_never_an_error(self):
        # An exception while a head is read would end the answer of a sound request.
        rng = random.Random(1)
        for _ in range(2000):
            text = "".join(rng.choices("0123456789,,,, -.eE+", k=rng.randrange(20)))
            load = read_stated_load(text)
            self.assertTrue(load is None or load.slots)

    def test_implausible_reports_of_instances_are_ignored(self):
        # A datagram of a faulty instance would slow down an upstream for all.
        fields = [
            ["u0", 0.1, 1, 0, 6, 2.5],
            ["u1", -0.1, 1, 0, 6, 2.5],
            ["u2", 0.1, 1, 0, 6, float("nan")],
            ["u3", 0.1, 1, 0, 6, 1e9],
            ["u4", float("inf"), 1, 0, 6, 2.5],
            ["u5", 0.1, 1.5, 0, 6, 2.5],
        ]
        self.assertEqual([report.upstream for report in read_reports(fields)], ["u0"])


class TestProgress(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(3, 4, seed=1)
        self.fleet.run(0.2)
        self.sent = []
        deliver = self.fleet.deliver_later

        def record(sender, kind, fields, address):
            if kind == PROGRESS:
                self.sent.append(fields)
            deliver(sender, kind, fields, address)

        self.fleet.deliver_later = record

    def state_loads(self, load):
        """Let the upstreams of all instances' requests state a load; return them."""
        for instance in self.fleet.list_living():
            instance.placing._queue_started = self._make_queue(instance, load)
        for number in range(30):
            self.fleet.call_later(number * 0.01, self.fleet.ask, f"i{number % 3}")
        self.fleet.run(1.0)
        placer = self.fleet.instances[self.fleet.list_living()[0].placing._placer]
        return placer.pools["engines"].upstream_states.values()

    def _make_queue(self, instance, load):
        queue = instance.placing._queue_started

        def state(relay):
            state = instance.pools["engines"].upstream_states["u0"]
            relay.upstream_state = state
            instance.placing._queue_stated(relay, load)
            queue(relay)

        return state

    def test_the_placer_hears_a_stated_pace(self):
        # It would send the requests of all instances to an upstream that has told only
        # the askers that it is slow.
        states = self.state_loads(StatedLoad(1, 0, 64, 2.5))
        self.assertIn(2.5, [s.pace.stated and s.pace.stated.pace for s in states])

    def test_an_earlier_release_loses_no_starts_and_ends(self):
        # It ignores a datagram with three lists, so that the requests in the other two
        # would count as in flight there until their deadlines.
        self.state_loads(StatedLoad(1, 0, 64, 2.5))
        with_loads = [fields for fields in self.sent if len(fields) > 2]
        self.assertTrue(with_loads)
        for started, ended, _ in with_loads:
            self.assertEqual((list(started), list(ended)), ([], []))
        self.fleet.instances["i0"].placing._receive_progress("i1", [], [])

    def test_without_a_pace_no_byte_changes(self):
        # Fleets whose upstreams state only their load must not pay for a part that
        # they don't use.
        self.state_loads(StatedLoad(1, 0, 64))
        self.assertTrue(self.sent)
        self.assertTrue(all(len(fields) == 2 for fields in self.sent))


class TestInactivePools(unittest.TestCase):
    def test_without_a_pace_choices_and_estimates_are_the_same(self):
        # A pool that states only its load would change its behaviour.
        chosen = []
        for load in (None, StatedLoad(60, 30, 64)):
            pool, found = make_pool(ENGINES), []
            for number in range(60):
                now = number * 0.1
                demand = make_demand(f"r{number}", (f"o{number}", 4000))
                state, estimate = pool.choose(demand, (), now)
                found.append((state.registration.name, estimate, pool.rate))
                pool.record_sent(state, demand, estimate, now)
                if load is not None:
                    pool.record_stated_load(state, load, now, now)
                slow = 3 if state.registration.name == "u0" else 1
                pool.record_first_byte(state, demand, now + 0.2 * slow)
                pool.record_end(state, demand, False, now + 0.3)
            chosen.append(found)
        self.assertEqual(*chosen)


if __name__ == "__main__":
    unittest.main()
