"""Estimated answer time of services: slow phases, suspended instances, idle pools."""

import unittest

from chervilwing.service_times import ServiceTime
from tests.test_balancing import PAGES, PoolCase, make_demand, make_pool

# Deadline of short calls, in seconds.
DEADLINE = 0.6


class TestServiceTime(unittest.TestCase):
    def setUp(self):
        self.service_time = ServiceTime()

    def test_the_estimate_rises_when_a_service_becomes_slow(self):
        for number in range(200):
            self.service_time.record(0.4, 1.0 + number / 100)
        self.assertGreater(self.service_time.estimate(3.0), 0.35)

    def test_the_estimate_falls_when_a_service_is_fast_again(self):
        for number in range(200):
            self.service_time.record(0.4 if number < 100 else 0.02, number / 100)
        self.assertLess(self.service_time.estimate(2.0), 0.06)

    def test_an_estimate_without_new_measurements_decays(self):
        # An estimate above every deadline has all calls refused, so none is measured.
        for number in range(200):
            self.service_time.record(2.0, number / 100)
        self.assertGreater(self.service_time.estimate(2.0), DEADLINE)
        self.assertLess(self.service_time.estimate(7.0), DEADLINE / 2)


class TestSuspended(PoolCase):
    def test_a_resumed_instance_does_not_refuse_calls_because_of_its_pause(self):
        # The placer is suspended for eight seconds and, when resumed, records the
        # answers of that time as seconds late. Its estimates then rose above every
        # deadline, and all instances refused all calls of the pool permanently.
        pool = make_pool(PAGES)
        found = pool.choose(make_demand("r"), (), 10.0)
        for number in range(8):
            pool.record_placed(number, make_demand("r"), found, 10.0)
        for number in range(8):
            pool.record_placed_first_byte(found[0], number, 18.0)
            pool.record_placed_end(found[0], number, False, 18.0)
        _, estimate = pool.choose(make_demand("r"), (), 18.1)
        self.assertLess(estimate.seconds, DEADLINE / 2)


if __name__ == "__main__":
    unittest.main()
