"""A balancer that sends most new connections to one instance."""

import time
import unittest

from tests.busy_instances import BusyInstance, Callers, summarise
from tests.procs import Caller

INSTANCES = 5
# Requests a second at all instances together, and while one of them is favoured. One
# instance serves up to 25.
CALM_RATE = 25.0
HIGH_RATE = 50.0
# Part of the new connections that reach the favoured instance.
SHARE = 0.9
CALM_SECONDS = 3.0
HIGH_SECONDS = 8.0
# Seconds from which the requests count.
CONTACT = 3.0
# Part of the calm time's served requests that has to be served.
MIN_PART = 0.75


class TestFavouredInstance(unittest.TestCase):
    def setUp(self):
        self.instances = [BusyInstance() for _ in range(INSTANCES)]
        for instance in self.instances:
            self.addCleanup(instance.close)
        self.callers = Callers(self.instances, seed=1)

    def play(self, favourites):
        """Favour instances in turn; return the served part while calm and after."""
        self.callers.send(CALM_SECONDS, CALM_RATE)
        favoured_at = time.monotonic()
        for favourite in favourites:
            seconds = HIGH_SECONDS / len(favourites)
            self.callers.send(seconds, HIGH_RATE, favourite, SHARE)
        results = self.callers.wait()
        before = [item for item in results if item.sent_at < favoured_at]
        after = [item for item in results if item.sent_at >= favoured_at + CONTACT]
        return summarise(before), summarise(after)

    def test_requests_are_served_while_one_instance_gets_most_connections(self):
        # Guards against an instance that reads more requests than it can serve in
        # time, while the others are idle.
        (calm, _), (served, _) = self.play(self.instances[:1])
        self.assertGreaterEqual(served, calm * MIN_PART)

    def test_requests_are_served_while_instances_are_favoured_in_turn(self):
        # Guards against instances that fall one after the other.
        (calm, _), (served, _) = self.play(self.instances)
        self.assertGreaterEqual(served, calm * MIN_PART)

    def test_an_open_connection_is_served_at_a_favoured_instance(self):
        # Guards against a refusal of connections that harms those already accepted.
        instance = self.instances[0]
        fields = {"X-Request-Id": "open"}
        with Caller(instance.port) as caller:
            instance.run.send(caller, "POST", "/page/x", headers=fields)
            sent = time.monotonic()
            self.callers.send(2.0, HIGH_RATE, instance, SHARE)
            answer = instance.run.send(caller, "POST", "/page/x", headers=fields)
        self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - sent, 4.0)
        self.callers.wait()


if __name__ == "__main__":
    unittest.main()
