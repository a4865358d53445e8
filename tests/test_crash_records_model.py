"""Crashing requests in a simulation of instances that restart or are cut off."""

import unittest

from chervilwing.crash_records import CRASH_LIMIT
from tests.crash_fleet import Fleet

# Instances, engines and harmless requests per second.
SIZES = ((1, 5, 10), (8, 5, 40), (67, 30, 150), (320, 60, 200))
# Number of times that a crashing request may be sent by instances in contact with the
# other instances, counted from some seconds after its third crash.
MAX_LATE = 3
# Further crashes that are allowed, by copies sent before the third crash was known.
MAX_IN_TRANSIT = 3
# Fraction of the harmless requests that may be refused because of a crashing one, even
# if a quarter of their callers try six times within a second.
REFUSED_FRACTION = 0.01
STUBBORN_FRACTION = 0.25
CRASHING = {
    # By fingerprint: the caller's pause in seconds, and whether instances retry it.
    "f" * 16: (1.0, False),
    "e" * 16: (0.7, True),
    "d" * 16: (2.0, False),
}


def stay(fleet, rate):
    fleet.run(25, rate)


def restart_all(fleet, rate):
    for _ in range(2):
        fleet.run(8, rate)
        for name in list(fleet.nodes):
            fleet.start(name)
    fleet.run(9, rate)


def restart_some(fleet, rate):
    for _ in range(10):
        fleet.run(2, rate)
        names = list(fleet.nodes)
        for name in fleet.rng.sample(names, max(1, len(names) // 4)):
            fleet.start(name)
    fleet.run(5, rate)


def add_instances(fleet, rate):
    for number in range(4):
        fleet.run(5, rate)
        fleet.start(f"n{1000 + number}")
    fleet.run(5, rate)


def cut_off(fleet, rate):
    for store, others in ((True, False), (False, True), (True, True)):
        names = list(fleet.nodes)
        some = fleet.rng.sample(names, max(1, len(names) // 3))
        fleet.cut(some, store=store, others=others)
        fleet.run(5, rate)
        fleet.heal()
        fleet.run(4, rate)


def lose_datagrams(fleet, rate):
    fleet.loss = 0.3
    fleet.run(25, rate)


FAULTS = (stay, restart_all, restart_some, add_instances, cut_off, lose_datagrams)
# Further allowed crashes by fault: one for each restart of all instances, as crashes
# not yet in the store are forgotten, and one for each cut, as some instances get no
# reports.
FORGOTTEN = {restart_all: 2, restart_some: 1, cut_off: 3}


class TestCrashingRequests(unittest.TestCase):
    def check_all(self, check, crashing, **options):
        for seed, (size, engines, rate) in enumerate(SIZES):
            for fault in FAULTS:
                if size < 2 and fault is restart_some:
                    # There are no other instances that keep running.
                    continue
                fleet = Fleet(size, engines, seed, **options)
                fleet.run(3, rate)
                for fingerprint, (pause, retried) in crashing.items():
                    fleet.repeat(fingerprint, pause, retried)
                fault(fleet, rate)
                with self.subTest(size=size, fault=fault.__name__):
                    check(fleet, fault)

    def test_a_crashing_request_is_barred_by_all_instances(self):
        def check(fleet, fault):
            for fingerprint in CRASHING:
                crashes = len(fleet.crashes.get(fingerprint, ()))
                limit = CRASH_LIMIT + MAX_IN_TRANSIT + FORGOTTEN.get(fault, 0)
                self.assertLessEqual(crashes, limit)
                self.assertLessEqual(fleet.count_late(fingerprint), MAX_LATE)

        self.check_all(check, CRASHING)

    def test_a_popular_request_is_not_refused_because_of_a_crashing_one(self):
        # Requests for one document run at every engine at any time, so some of them are
        # in flight at each crash.
        # The check is skipped where hundreds of instances share few requests and many
        # of them are cut off or restart: most of them then have seen no answer.
        def check(fleet, fault):
            if len(fleet.nodes) > 100 and fault in (restart_some, cut_off):
                return
            limit = fleet.tries * REFUSED_FRACTION
            self.assertLessEqual(fleet.refused_tries, limit)

        self.check_all(check, CRASHING, copies=10**9)

    def test_few_harmless_requests_are_refused_because_of_a_crashing_one(self):
        # They are in flight at the engines that crash, some of them twice.
        def check(fleet, fault):
            limit = len(fleet.requests) * REFUSED_FRACTION
            self.assertLessEqual(len(fleet.refused), limit)

        one = dict(list(CRASHING.items())[:1])
        self.check_all(check, one, stubborn_fraction=STUBBORN_FRACTION)
