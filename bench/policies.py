"""The baselines, with the scheduler's own calls: send at once, retry at siblings."""

from typing import NamedTuple

from chervilwing.exceptions import NoUpstream, PoolFull
from chervilwing.scheduling import Scheduler
from chervilwing.work import BUSY, Placement, Refusal

ATTEMPTS = 3


class Policy(NamedTuple):
    """A name and what makes one for an entry instance."""

    name: str
    build: object
    moves: bool


class Baseline:
    """A balancer that sends each request at once to what ``pick`` returns."""

    def __init__(self, pick, rng):
        self._pick = pick
        self._rng = rng
        self._pools = {}
        self._homes = {}
        self._waiting = []
        self._turn = 0
        self.outstanding = {}

    def configure(self, configuration):
        """Learn the upstreams."""
        for upstream in configuration.inventory.upstreams:
            self._pools.setdefault(upstream.pool, []).append(upstream.name)
            self._homes[upstream.name] = upstream.pool
            self.outstanding[upstream.name] = 0

    def mark_leaving(self, name, now):
        """Send nothing new there."""
        pool = self._pools[self._homes[name]]
        if name in pool:
            pool.remove(name)

    mark_down = mark_leaving

    def report_load(self, *report):
        """Baselines count only what they sent themselves."""

    def offer(self, work, now):
        """Take everything."""
        self._waiting.append(work)

    def dispatch(self, now):
        """Place all that came in."""
        waiting, self._waiting = self._waiting, []
        return tuple(self._place(work) for work in waiting)

    def expire(self, now):
        """Give up on nothing."""
        return ()

    def withdraw(self, request_id, now):
        """Nothing waits here."""
        return False

    def finish(self, request_id, upstream, outcome, first, duration, tokens, now):
        """Count one less."""
        self.outstanding[upstream] -= 1

    def retry(self, work, upstream, outcome, now):
        """Try at another upstream, three times in all, whatever the cause."""
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
        """Move nothing."""
        return ()

    def next_wakeup(self, now):
        """Nothing is ever due."""
        return None

    def _place(self, work):
        names = self._pools[work.pool]
        able = [name for name in names if name not in work.excluded] or names
        self._turn += 1
        name = self._pick(able, self.outstanding, self._turn, self._rng)
        self.outstanding[name] += 1
        return Placement(work.request_id, name, 1.0)


class Unlimited(Scheduler):
    """The scheduler without admission: nothing is refused or given up on."""

    def _judge(self, pool, work, cost, now):
        return None

    def expire(self, now):
        """Tell nobody."""
        super().expire(now)
        return ()


class Constant(Scheduler):
    """The scheduler with one second for all in place of graded times."""

    def offer(self, work, now):
        """Queue the work or refuse it for a second."""
        return _flatten(super().offer(work, now))

    def expire(self, now):
        """Give up for a second."""
        return tuple(map(_flatten, super().expire(now)))

    def retry(self, work, upstream, outcome, now):
        """Try again or refuse for a second."""
        return _flatten(super().retry(work, upstream, outcome, now))


def _flatten(refusal):
    if refusal is not None:
        refusal.exc.retry_after = 1.0
    return refusal


def pick_in_turn(names, outstanding, turn, rng):
    """Round robin."""
    return names[turn % len(names)]


def pick_least(names, outstanding, turn, rng):
    """Least outstanding, ties drawn by lot."""
    least = min(outstanding[name] for name in names)
    return rng.choice([name for name in names if outstanding[name] == least])


def pick_of_two(names, outstanding, turn, rng):
    """Random two choices."""
    pair = rng.sample(names, min(2, len(names)))
    return min(pair, key=outstanding.__getitem__)


def _baseline(pick):
    return lambda cfg, rng: Baseline(pick, rng)


POLICIES = (
    Policy("chervilwing", Scheduler, True),
    Policy("round robin", _baseline(pick_in_turn), False),
    Policy("least outstanding", _baseline(pick_least), False),
    Policy("random two choices", _baseline(pick_of_two), False),
    Policy("no admission", Unlimited, True),
)

RETURNING = (
    POLICIES[0],
    Policy("constant 1 s", Constant, True),
    POLICIES[2],
)
