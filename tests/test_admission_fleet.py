"""Admission by urgency while placers fail and datagrams are lost."""

import unittest
from collections import Counter

from tests.admission_fleet import DEADLINE, TARGETS, UrgentFleet

ENGINES = 6
SECONDS = 4.0
# Requests per second: the engines read 60 prompts of 3,400 tokens, or 80 with all
# shared parts cached.
PER_SECOND = 240


def find_placer(fleet):
    return next(iter(fleet.instances.values())).placing._placer_names[0]


def flood(fleet, fault=lambda fleet: None, per_second=PER_SECOND):
    """Send a fifth urgent requests and a flood of the least urgent, with one fault."""
    names = list(fleet.instances)
    for number in range(int(SECONDS * per_second)):
        band = 0 if number % 8 == 0 else 2
        at = number / per_second
        fleet.call_later(at, fleet.ask, fleet.rng.choice(names), band)
    fleet.call_later(SECONDS / 3, fault, fleet)
    fleet.run(SECONDS + DEADLINE + 3.0)


def measure(fleet, band, start=0.0, end=SECONDS):
    """Return the fraction in time of a band's requests at instances that survived."""
    found = []
    for name, request in fleet.requests:
        relay = fleet.relays[request]
        if name in fleet.lost_instances or relay.priority != band:
            continue
        if start <= relay.received_at < end:
            first = fleet.first_bytes.get(request, float("inf"))
            found.append(first - relay.received_at <= TARGETS[band])
    return sum(found) / len(found)


def freeze_placer(fleet):
    name = find_placer(fleet)
    fleet.frozen.add(name)
    fleet.call_later(0.8, fleet.thaw, name)


def cut_centre(fleet):
    fleet.cut_centres.add(fleet.get_centre(find_placer(fleet)))
    fleet.call_later(1.0, fleet.cut_centres.clear)


FAULTS = {
    "none": lambda fleet: None,
    "killed": lambda fleet: fleet.kill(find_placer(fleet)),
    "frozen": freeze_placer,
    "partitioned": cut_centre,
    "replaced": lambda fleet: fleet.restart(find_placer(fleet)),
}


class TestAdmissionFleet(unittest.TestCase):
    def run_faults(self, size=8, **faults):
        for name, fault in FAULTS.items():
            fleet = UrgentFleet(size, ENGINES, seed=1, **faults)
            flood(fleet, fault)
            yield name, fleet

    def test_each_request_is_sent_or_refused_once(self):
        # A request that moved from one placer to another is in two queues; a refusal
        # after it was sent, or a second send, would be untrue.
        for fault, fleet in self.run_faults(lost=0.05, doubled=0.05, late=True):
            ends = Counter()
            for instance in fleet.instances.values():
                ends.update(request for request, _ in instance.sent)
                ends.update(request for request, *_ in instance.refused)
            requests = [r for n, r in fleet.requests if n not in fleet.lost_instances]
            with self.subTest(fault=fault):
                once = dict.fromkeys(requests, 1)
                self.assertEqual({r: ends[r] for r in requests}, once)

    def test_urgent_requests_are_in_time_while_a_placer_fails(self):
        # The instances that lost their placer must not treat all requests alike.
        for fault, fleet in self.run_faults():
            with self.subTest(fault=fault):
                self.assertGreaterEqual(measure(fleet, 0), 0.95)

    def test_urgent_requests_are_in_time_at_any_number_of_instances(self):
        # An order within each instance alone loses its effect with their number.
        for size in (1, 67, 320):
            fleet = UrgentFleet(size, ENGINES, seed=1)
            flood(fleet)
            with self.subTest(size=size):
                urgent, bulk = measure(fleet, 0), measure(fleet, 2)
                self.assertGreaterEqual(urgent, 0.95)
                # An eighth of the requests are urgent.
                self.assertGreaterEqual(bulk, (urgent / 8 + bulk * 7 / 8) / 4)

    def test_nothing_is_left_in_queues_and_books(self):
        # Asks whose callers or instances are gone would wait forever.
        for fault, fleet in self.run_faults(lost=0.05, late=True):
            for instance in fleet.list_living():
                with self.subTest(fault=fault, instance=instance.name):
                    self.assertEqual(instance.admissions._entries, {})
                    self.assertEqual(instance.placing._placed, {})
                    self.assertEqual(instance.placing._pending, {})

    def test_refusals_are_known_within_a_quarter_of_the_target(self):
        fleet = UrgentFleet(8, ENGINES, seed=2)
        flood(fleet)
        refused = [item for i in fleet.instances.values() for item in i.refused]
        late = [
            request
            for request, at, _ in refused
            for relay in (fleet.relays[request],)
            if at - relay.received_at > TARGETS[relay.priority] / 4
        ]
        self.assertGreater(len(refused), 100)
        self.assertLessEqual(len(late), 0.1 * len(refused))

    def test_an_ask_whose_caller_left_is_removed(self):
        # It would keep others waiting until its latency target has passed.
        fleet = UrgentFleet(8, ENGINES, seed=3)
        flood(fleet, per_second=0.5)
        for _ in range(300):
            fleet.ask("i1", 2)
        fleet.run(fleet.now + 0.1)
        placer = fleet.instances[find_placer(fleet)]
        self.assertGreater(len(placer.admissions._entries), 10)
        for relay in fleet.relays.values():
            relay.ended = True
        fleet.run(fleet.now + 0.2)
        self.assertEqual(placer.admissions._entries, {})
