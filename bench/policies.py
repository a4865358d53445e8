"""Baseline policies with the scheduler's interface: send at once, retry elsewhere."""

from typing import NamedTuple

from chervilwing.exceptions import NoUpstream, PoolFull
from chervilwing.scheduling import Scheduler
from chervilwing.work import BUSY, Placement, Refusal

ATTEMPTS = 3


class Policy(NamedTuple):
    """A policy; ``build(cfg, rng)`` returns the scheduler of an entry instance.

    ``moves`` says whether it moves requests away from an upstream that is reclaimed.
    """

    name: str
    build: object
    moves: bool


class Baseline:
    """A balancer that sends each request at once to the upstream chosen by ``pick``."""

    def __init__(self, pick, rng):
        self._pick = pick
        self._rng = rng
        self._pools = {}
        self._pool_names = {}
        self._waiting = []
        self._turn = 0
        self.outstanding = {}

    def configure(self, configuration):
        """Set the upstreams of each pool."""
        for upstream in configuration.inventory.upstreams:
            self._pools.setdefault(upstream.pool, []).append(upstream.name)
            self._pool_names[upstream.name] = upstream.pool
            self.outstanding[upstream.name] = 0

    def mark_leaving(self, name, now):
        """Send no new requests to this upstream."""
        pool = self._pools[self._pool_names[name]]
        if name in pool:
            pool.remove(name)

    mark_down = mark_leaving

    def report_load(self, *report):
        """Ignore the report: baselines count only the requests that they sent."""

    def offer(self, work, now):
        """Accept all work."""
        self._waiting.append(work)

    def dispatch(self, now):
        """Place all accepted work."""
        waiting, self._waiting = self._waiting, []
        return tuple(self._place(work) for work in waiting)

    def expire(self, now):
        """Expire no work."""
        return ()

    def withdraw(self, request_id, now):
        """Return False: no request waits in a queue."""
        return False

    def finish(self, request_id, upstream, outcome, first, duration, tokens, now):
        """Decrement the upstream's outstanding requests."""
        self.outstanding[upstream] -= 1

    def retry(self, work, upstream, outcome, now):
        """Retry at another upstream whatever the cause, up to three attempts in all."""
        safe = outcome == BUSY or work.idempotent
        names = self._pools[work.pool]
        if not names:
            return Refusal(work.request_id, NoUpstream())
        if not safe or work.attempts + 1 >= ATTEMPTS:
            return Refusal(work.request_id, PoolFull())
        excluded = work.excluded | {upstream}
        attempts = work.attempts + 1
        self._waiting.append(work._replace(excluded=excluded, attempts=attempts))
        return None

    def shift(self, name, until, now):
        """Move no requests."""
        return ()

    def next_wakeup(self, now):
        """Return None: no wake-up is needed."""
        return None

    def _place(self, work):
        names = self._pools[work.pool]
        candidates = [name for name in names if name not in work.excluded] or names
        self._turn += 1
        name = self._pick(candidates, self.outstanding, self._turn, self._rng)
        self.outstanding[name] += 1
        return Placement(work.request_id, name, 1.0)


class Unlimited(Scheduler):
    """The scheduler without admission control: no request is refused or expired."""

    def _judge(self, pool, work, cost, now):
        return None

    def expire(self, now):
        """Expire work without reporting it to the callers."""
        super().expire(now)
        return ()


class Constant(Scheduler):
    """The scheduler with a constant retry delay of one second for all refusals."""

    def offer(self, work, now):
        """Queue the work, or refuse it with a retry delay of one second."""
        return _set_constant_delay(super().offer(work, now))

    def expire(self, now):
        """Return expired work as refusals with a retry delay of one second."""
        return tuple(map(_set_constant_delay, super().expire(now)))

    def retry(self, work, upstream, outcome, now):
        """Retry the work, or refuse it with a retry delay of one second."""
        return _set_constant_delay(super().retry(work, upstream, outcome, now))


def _set_constant_delay(refusal):
    if refusal is not None:
        refusal.exc.retry_after = 1.0
    return refusal


def pick_in_turn(names, outstanding, turn, rng):
    """Return the next upstream by round robin."""
    return names[turn % len(names)]


def pick_least(names, outstanding, turn, rng):
    """Return the upstream with the fewest outstanding requests, ties at random."""
    least = min(outstanding[name] for name in names)
    return rng.choice([name for name in names if outstanding[name] == least])


def pick_of_two(names, outstanding, turn, rng):
    """Return the less loaded of two upstreams drawn at random."""
    pair = rng.sample(names, min(2, len(names)))
    return min(pair, key=outstanding.__getitem__)


def _make_builder(pick):
    return lambda cfg, rng: Baseline(pick, rng)


POLICIES = (
    Policy("chervilwing", Scheduler, True),
    Policy("round robin", _make_builder(pick_in_turn), False),
    Policy("least outstanding", _make_builder(pick_least), False),
    Policy("random two choices", _make_builder(pick_of_two), False),
    Policy("no admission", Unlimited, True),
)

RETRY_POLICIES = (
    POLICIES[0],
    Policy("constant 1 s", Constant, True),
    POLICIES[2],
)
