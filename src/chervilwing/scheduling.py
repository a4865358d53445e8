"""Place requests on upstreams: least work in flight first."""

from collections import Counter
from typing import NamedTuple

from .exceptions import NoUpstream, Scope

SUCCEEDED = "succeeded"
FAILED = "failed"
REFUSED = "refused"
CANCELLED = "cancelled"


class Work(NamedTuple):
    """What the decisions need to know of a request."""

    request_id: str
    customer: str
    work_class: str
    kind: str
    pool: str
    model: str
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: str = ""
    deadline: float = 0.0
    excluded: tuple[str, ...] = ()
    idempotent: bool = True
    started_tokens: int = 0


class Placement(NamedTuple):
    """A request and the upstream that it goes to."""

    request_id: str
    upstream: str
    cost: float = 0.0


class Refusal(NamedTuple):
    """A request that is given up on, and why."""

    request_id: str
    exc: Exception


class Scheduler:
    """Decide which request goes where and when."""

    def __init__(self, cfg, rng):
        self._pools = {}
        self._ready = []
        self._running = Counter()

    def configure(self, configuration):
        """Take a new inventory and rules."""
        self._pools = {}
        for upstream in configuration.inventory.upstreams:
            self._pools.setdefault(upstream.pool, []).append(upstream.name)

    def offer(self, work, now):
        """Take the work in, or return why not."""
        if not set(self._pools.get(work.pool, ())) - set(work.excluded):
            scope = Scope("pool", work.pool)
            return Refusal(work.request_id, NoUpstream(scope=scope, retry_after=1.0))
        self._ready.append(work)
        return None

    def dispatch(self, now):
        """Return the placements that are due."""
        works, self._ready = self._ready, []
        return tuple(self._place(work) for work in works)

    def expire(self, now):
        """Return the requests to give up on."""
        return ()

    def withdraw(self, request_id, now):
        """Forget a request that has not been placed."""
        self._ready = [work for work in self._ready if work.request_id != request_id]

    def finish(self, request_id, upstream, outcome, first_token, duration, tokens, now):
        """Learn how an attempt ended."""
        self._running[upstream] -= 1

    def retry(self, work, upstream, outcome, now):
        """Take work in again after a failed attempt, or return why not."""
        return self.offer(work._replace(excluded=(*work.excluded, upstream)), now)

    def report_load(self, name, running, waiting, slots, as_of, now):
        """Learn an upstream's own word on its load."""

    def _place(self, work):
        names = [name for name in self._pools[work.pool] if name not in work.excluded]
        name = min(names, key=self._running.__getitem__)
        self._running[name] += 1
        return Placement(work.request_id, name)
