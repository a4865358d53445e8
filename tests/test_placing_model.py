"""Placement of requests by another instance, over a faulty network."""

import unittest
from collections import Counter

from chervilwing.placer_selection import MAX_TIMEOUTS
from chervilwing.upstream_states import NO_LOAD
from tests.placing_fleet import DEADLINE, Fleet

SIZES = (8, 67, 320)
ENGINES = 12
# Enough for five placers.
MANY_ENGINES = 200
SECONDS = 4.0
PER_SECOND = 60


def run_requests(fleet, fault, askers=None):
    """Run some seconds of requests with one fault, then wait until all have ended.

    ``askers`` are the instances at which requests arrive, all by default.
    """
    names = askers or list(fleet.instances)
    for number in range(int(SECONDS * PER_SECOND)):
        fleet.call_later(number / PER_SECOND, fleet.ask, fleet.rng.choice(names))
    fleet.call_later(SECONDS / 3, fault, fleet)
    fleet.run(SECONDS + DEADLINE + 3.0)


def find_placer(fleet):
    return fleet.list_placers()[0]


def cut_centre(fleet):
    fleet.cut_centres.add(fleet.get_centre(find_placer(fleet)))
    fleet.call_later(1.0, fleet.cut_centres.clear)


def kill_placer(fleet):
    fleet.kill(find_placer(fleet))


def restart_placer(fleet):
    fleet.restart(find_placer(fleet))


def announce_leaving(fleet):
    """Let every instance except the placer know that upstream u0 is leaving."""
    for name, instance in fleet.instances.items():
        if name != find_placer(fleet):
            instance.put("u0", leaving=True)
    fleet.left_at = {n: len(i.sent) for n, i in fleet.instances.items()}


FAULTS = (lambda fleet: None, cut_centre, kill_placer, restart_placer)


class TestPlacingModel(unittest.TestCase):
    def check_all(self, check):
        for size in SIZES:
            for number, fault in enumerate(FAULTS):
                fleet = Fleet(size, ENGINES, number, lost=0.1, doubled=0.1, late=True)
                run_requests(fleet, fault)
                with self.subTest(size=size, fault=number):
                    check(fleet)

    def test_each_request_is_sent_once(self):
        # An answer may arrive after its asker has chosen an upstream itself, or arrive
        # twice; if it were used again, the request would run at two upstreams. A lost
        # answer must not leave the caller waiting.
        def check(fleet):
            sent = Counter(
                request for i in fleet.instances.values() for request, _ in i.sent
            )
            requests = [
                r for name, r in fleet.requests if name not in fleet.lost_instances
            ]
            self.assertEqual({r: sent[r] for r in requests}, dict.fromkeys(requests, 1))
            self.assertEqual(set(sent.values()), {1})

        self.check_all(check)

    def test_placed_requests_without_reports_expire(self):
        # Reports of requests that began or ended are lost, or the instance that sends
        # them fails. If such requests counted forever, the upstream would look busier
        # with each of them, until no request was sent there.
        def check(fleet):
            for instance in fleet.list_living():
                loads = {
                    upstream_state.placed_requests.load
                    for upstream_state in instance.pools[
                        "engines"
                    ].upstream_states.values()
                }
                self.assertEqual(loads, {NO_LOAD})
                self.assertEqual(instance.placing._placed, {})

        self.check_all(check)

    def test_a_leaving_upstream_known_to_the_asker_gets_no_requests(self):
        # The placer receives late that an upstream leaves and still chooses it. The
        # asking instances know already, and must not send it anything.
        for size in SIZES:
            fleet = Fleet(size, ENGINES, seed=7, lost=0.1, late=True)
            run_requests(fleet, announce_leaving)
            placer = find_placer(fleet)
            for name, instance in fleet.instances.items():
                later = [s for _, s in instance.sent[fleet.left_at[name] :]]
                names = {upstream_state.registration.name for upstream_state in later}
                with self.subTest(size=size, name=name):
                    self.assertTrue(name == placer or "u0" not in names)

    def test_a_cut_off_data_centre_uses_its_own_placer(self):
        # After two asks without an answer, and maybe a third one already sent, an
        # instance asks a placer in its own data centre. If it went through all placers
        # in order, each unreachable one would delay two requests of every instance.
        fleet = Fleet(9, ENGINES, seed=3)
        run_requests(fleet, lambda f: f.cut_centres.add(f.get_centre(find_placer(f))))
        for name, instance in fleet.instances.items():
            requests = sum(asker == name for asker, _ in fleet.requests)
            with self.subTest(name=name):
                self.assertGreater(requests, 15)
                self.assertLessEqual(instance.unanswered, MAX_TIMEOUTS + 1)


def cut_placer(fleet):
    fleet.cut_centres.add(fleet.get_centre(find_placer(fleet)))


def slow_placer(fleet):
    fleet.slow.add(find_placer(fleet))


class TestSeveralPlacers(unittest.TestCase):
    def make_fleet(self, seed, **faults):
        """Return a fleet of 320 instances with five placers, and some askers."""
        fleet = Fleet(320, MANY_ENGINES, seed, **faults)
        fleet.run(0.1)
        placers = fleet.list_placers()
        self.assertEqual(len(placers), 5)
        return fleet, [name for name in fleet.instances if name not in placers][:6]

    def test_a_faulty_placer_is_abandoned_within_a_few_requests(self):
        # Each request to a placer that doesn't answer waits for the timeout in vain.
        for fault in (kill_placer, cut_placer, slow_placer, restart_placer):
            fleet, askers = self.make_fleet(seed=3)
            placers = fleet.list_placers()
            run_requests(fleet, fault, askers)
            # Beyond a cut data centre there may be several of the placers.
            cut = [n for n in placers if fleet.get_centre(n) in fleet.cut_centres]
            for name in askers:
                if fleet.get_centre(name) in fleet.cut_centres:
                    continue
                bound = max(1, len(cut)) * (MAX_TIMEOUTS + 1)
                with self.subTest(fault=fault.__name__, name=name):
                    self.assertLessEqual(fleet.instances[name].unanswered, bound)

    def test_each_request_is_sent_once(self):
        # Placers that change while datagrams are lost, doubled or late must neither
        # lose a request nor send it to two upstreams.
        for seed, fault in enumerate((kill_placer, cut_placer, slow_placer)):
            fleet, askers = self.make_fleet(seed, lost=0.1, doubled=0.1, late=True)
            run_requests(fleet, fault, askers)
            sent = Counter(r for i in fleet.instances.values() for r, _ in i.sent)
            with self.subTest(fault=fault.__name__):
                requests = [request for _, request in fleet.requests]
                self.assertEqual(dict(sent), dict.fromkeys(requests, 1))

    def test_a_subject_is_read_by_few_upstreams(self):
        # If several placers chose for one subject, each would have it read elsewhere.
        fleet, askers = self.make_fleet(seed=5)
        run_requests(fleet, lambda fleet: None, askers)
        found = {
            (int(request[1:]) % 7, upstream_state.registration.name)
            for name in askers
            for request, upstream_state in fleet.instances[name].sent
        }
        self.assertLessEqual(len(found), 2 * 7)


if __name__ == "__main__":
    unittest.main()
