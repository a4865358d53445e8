"""The limit on new connections by the processor time that is left."""

import unittest

from chervilwing.intake import MAX_BACKLOG, WINDOW, Intake

REQUEST_TIME = 0.02


class Simulation:
    """An event loop with a queue of requests that take a known processor time."""

    def __init__(self, request_time=REQUEST_TIME):
        self.intake = Intake()
        self.now = 0.0
        self.request_time = request_time
        self.accepted = self.rejected = 0
        self.longest = 0.0
        self._queue = []
        self._due = 0.0

    def run(self, seconds, rate):
        """Let connections arrive at a rate per second; serve what is accepted."""
        end = self.now + seconds
        while self.now < end:
            if self._queue:
                arrived_at = self._queue.pop(0)
                self.intake.record_request(self.now, is_first=True)
                self.now += self.request_time
                self.longest = max(self.longest, self.now - arrived_at)
            else:
                wait = 1.0 / rate
                self.intake.record_wait(self.now, self.now + wait)
                self.now += wait
            self.intake.record_wait(self.now, self.now)
            self._due = max(self._due, self.now - 1.0)
            while self._due <= self.now:
                self._due += 1.0 / rate
                self.arrive()

    def arrive(self):
        """Let a connection arrive now."""
        if self.intake.accept(self.now):
            self.accepted += 1
            self._queue.append(self.now)
        else:
            self.rejected += 1


class TestIntake(unittest.TestCase):
    def test_nothing_is_rejected_below_the_limit(self):
        # Guards against callers that are turned away by an instance with time left.
        loop = Simulation()
        loop.run(10.0, 0.6 / REQUEST_TIME)
        # Many come at once, which the time until the next of them would do for.
        for _ in range(int(3 * MAX_BACKLOG / REQUEST_TIME)):
            loop.arrive()
        self.assertEqual(loop.rejected, 0)

    def test_requests_above_the_limit_are_rejected_and_the_others_served_in_time(self):
        # Guards against a queue in which all requests grow old.
        for factor in (2, 10):
            loop = Simulation()
            loop.run(1.0, 0.5 / REQUEST_TIME)
            loop.run(3.0, factor / REQUEST_TIME)
            loop.accepted, loop.longest = 0, 0.0
            loop.run(10.0, factor / REQUEST_TIME)
            self.assertGreater(loop.accepted, 0.8 * 10.0 / REQUEST_TIME)
            self.assertLess(loop.longest, 2 * MAX_BACKLOG + WINDOW)

    def test_a_slower_processor_has_a_lower_limit(self):
        # Guards against a limit that was learnt while the processor was faster.
        loop = Simulation()
        loop.run(5.0, 0.5 / REQUEST_TIME)
        loop.request_time *= 4
        loop.run(15.0, 0.5 / REQUEST_TIME)
        loop.longest = 0.0
        loop.run(10.0, 0.5 / REQUEST_TIME)
        self.assertGreater(loop.rejected, 0)
        self.assertLess(loop.longest, 2 * MAX_BACKLOG + WINDOW)

    def test_connections_are_accepted_again_once_the_load_falls(self):
        # Guards against an instance that goes on to reject without need.
        loop = Simulation()
        loop.run(5.0, 3.0 / REQUEST_TIME)
        loop.run(1.0, 0.5 / REQUEST_TIME)
        loop.rejected = 0
        loop.run(10.0, 0.5 / REQUEST_TIME)
        self.assertEqual(loop.rejected, 0)

    def test_some_are_accepted_after_a_long_suspension(self):
        # Guards against an instance that rejects all, as one request seemed to take
        # as long as the suspension.
        loop = Simulation()
        loop.run(1.0, 0.9 / REQUEST_TIME)
        loop.now += 8.0
        loop.run(1.0, 2.0 / REQUEST_TIME)
        loop.accepted = 0
        loop.run(2.0, 2.0 / REQUEST_TIME)
        self.assertGreater(loop.accepted, 0.5 * 2.0 / REQUEST_TIME)

    def test_a_single_instance_rejects_nothing(self):
        # Guards against callers that have no other instance to try.
        loop = Simulation()
        loop.intake = Intake(has_peers=lambda: False)
        loop.run(5.0, 3.0 / REQUEST_TIME)
        self.assertEqual(loop.rejected, 0)

    def test_requests_on_open_connections_count(self):
        # Guards against new connections that displace what was accepted before.
        intake = Intake()
        intake.record_wait(0.0, 0.0)
        for _ in range(10):
            intake.record_request(0.0, is_first=False)
        intake.record_wait(WINDOW, WINDOW)
        for _ in range(int(MAX_BACKLOG / WINDOW * 40)):
            intake.record_request(WINDOW, is_first=False)
        self.assertFalse(intake.accept(WINDOW))
