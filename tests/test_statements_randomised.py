"""Statements, registrations and restarts of upstreams in random orders.

``python -m tests.test_statements_randomised 50`` plays so many seeds.
"""

import random
import sys
import unittest
from types import SimpleNamespace

from chervilwing.connections import Client
from chervilwing.demands import Demand
from chervilwing.dialects import MAX_RETRY_AFTER
from chervilwing.gateway import Gateway
from chervilwing.models import Address
from chervilwing.platform.headers import DIALECT
from chervilwing.registrations import Registration, get_process
from tests.gateways import ROUTES, make_document, make_settings
from tests.upstreams import Loop

SEEDS = 10
STEPS = 400
UPSTREAMS = 4
PAUSES = ("0.2", "3", "3, 1", "nan", "-1", "", "1e9", "9" * 30)


class Play:
    """A gateway, and what its upstreams have really stated."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        loop = Loop()
        client = Client(loop.poller, "upstreams").register(loop.root)
        self.gateway = Gateway(
            make_settings(), loop.poller, client, DIALECT, lambda: True
        ).register(loop.root)
        self.gateway.configure(make_document())
        self.now = 100.0
        self.starts = dict.fromkeys(range(UPSTREAMS), 1.0)
        self.registered = {}
        self.left = set()
        self.pause_ends = {}

    def make_registration(self, number, started_at=None):
        """Return the registration of an upstream's current or an earlier process."""
        return Registration(
            f"u{number}",
            "web",
            Address("127.0.0.1", 1 + number),
            "a",
            started_at=started_at or self.starts[number],
            leaving=self.rng.random() < 0.05,
        )

    def register(self, number):
        self.registered[number] = self.make_registration(number)
        self.gateway.put_upstream(self.registered[number])

    def lapse(self, number):
        self.registered.pop(number, None)
        self.gateway.remove_upstream_now(f"u{number}")

    def restart(self, number):
        self.starts[number] += 1.0
        self.register(number)

    def leave(self, number):
        """Announce the end of the current process, or late that of an earlier one."""
        started_at = self.rng.randint(1, int(self.starts[number]))
        registration = self.make_registration(number, float(started_at))
        self.left.add(get_process(registration))
        if self.rng.random() < 0.5:
            self.gateway.record_announcement(registration, self.now)
        else:
            process = get_process(registration)
            self.gateway.record_leaving(process, self.now, reported_by="two")

    def pause(self, number):
        registration = self.make_registration(number)
        fields = {"x-not-run": "1", "retry-after": self.rng.choice(PAUSES)}
        seconds = DIALECT.read_answer_head(503, fields).retry_after
        if seconds:
            assert seconds <= MAX_RETRY_AFTER
            self.gateway.record_pause(registration, seconds, self.now)
            process, end = get_process(registration), self.now + seconds
            self.pause_ends[process] = max(end, self.pause_ends.get(process, end))

    def choose(self):
        """Return the ProcessId to which a request would be sent now, or None."""
        pool = self.gateway.pools["web"]
        demand = Demand("r", self.now + 5.0)
        relay = SimpleNamespace(
            pool=pool,
            route=ROUTES[0],
            demand=demand,
            attempts=0,
            rollout_draw=1.0,
            tried_upstreams=set(),
            origin=None,
        )
        choice = self.gateway.choose_upstream(relay, self.now)
        return choice and get_process(choice[0].registration)

    def list_free(self):
        """Return the processes that made no statement and are registered as ready."""
        return {
            get_process(item)
            for item in self.registered.values()
            if get_process(item) not in self.left
            and self.now >= self.pause_ends.get(get_process(item), 0.0)
            and not item.leaving
        }

    def step(self, test):
        """Change something, and check where a request would be sent."""
        actions = (self.register, self.lapse, self.restart, self.leave, self.pause)
        action = self.rng.choices(actions, (10, 2, 2, 1, 4))[0]
        action(self.rng.randrange(UPSTREAMS))
        self.now += self.rng.choice((0.0, 0.05, 0.5, 2.0))
        free = self.list_free()
        found = self.choose()
        test.assertEqual(found is not None, bool(free))
        if found is not None:
            test.assertIn(found, free)
        else:
            self.check_refusal(test)

    def check_refusal(self, test):
        """Check that a refused caller is not told to return before a pause ends."""
        pool = self.gateway.pools["web"]
        error = self.gateway.make_paused_error(pool, self.now)
        ends = [
            self.pause_ends.get(get_process(item), 0.0)
            for item in self.registered.values()
            if get_process(item) not in self.left and not item.leaving
        ]
        test.assertEqual(error is not None, bool(ends))
        if error is not None:
            test.assertAlmostEqual(error.retry_after, min(ends) - self.now)


class TestStatements(unittest.TestCase):
    def test_requests_go_only_to_processes_that_made_no_statement(self):
        # A statement is lost with a registration, outlives its process, is cut short
        # by a later one, or is taken for that of the next process.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                play = Play(seed)
                for _ in range(STEPS):
                    play.step(self)


if __name__ == "__main__":
    if sys.argv[1:]:
        SEEDS = int(sys.argv.pop())
    unittest.main()
