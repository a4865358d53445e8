"""The state of one upstream, as one entry instance knows it."""

from collections import deque
from math import exp
from typing import NamedTuple

from .concurrency_limits import Limit
from .work import Work

# Requests sent less than this many seconds before a report may have been in transit and
# not be included in it.
TRANSIT_SECONDS = 0.05
# Seconds over which the load of the other entry instances is averaged; shorter if work
# lasts longer. If work is shorter than the report interval, single reports are noise,
# to which all entry instances would react at the same moment.
SMOOTHING_SECONDS = 2.5
# Since the last report, each other entry instance is assumed to have made this fraction
# of the net starts that this one made. The value is a compromise: in a burst, the other
# instances start as many requests; otherwise, hardly any.
CORRELATED_FRACTION = 0.3
# Seconds for which this instance's starts and ends are kept if no report arrives.
MAX_CHANGE_AGE = 5.0
# Seconds for which an upstream gets no new work after a busy answer. Each further busy
# answer doubles the pause, up to the maximum; a complete answer resets it.
INITIAL_PAUSE = 0.1
MAX_PAUSE = 2.0


class RunningAttempt(NamedTuple):
    """An attempt in flight.

    ``cached`` is the number of prompt tokens assumed to be in the upstream's cache;
    ``non_urgent`` is set unless the work is short and of the most urgent band.
    """

    work: Work
    band: int
    cost: float
    cached: int
    non_urgent: bool
    started: float


class UpstreamState:
    """The reported load, own attempts, concurrency limit and health of one upstream."""

    def __init__(self, upstream, entry_count=1):
        self.upstream = upstream
        self.slots = upstream.slots
        self.entry_count = entry_count
        self.typical_seconds = 0.0
        self.limit = Limit(upstream.slots)
        self.running = {}
        self.leaving = False
        # None if the engine doesn't report its models; it is then assumed to serve all.
        self.models = None
        self.down_since = None
        self.paused_until = 0.0
        self.load = 0
        self._pause = INITIAL_PAUSE
        self._others_load = None
        self._reported_at = 0.0
        self._changes = deque()
        self._net_starts = 0

    def is_live(self):
        """Return whether the upstream accepts new work."""
        return not self.leaving and self.down_since is None

    def has_room(self, reserved, overcommit=0):
        """Return whether one more request fits.

        Load reports lag by a second. In a burst, work sent beyond the slots would wait
        in the engine, where it can no longer be moved, reordered or refused. So at most
        ``overcommit`` requests are sent beyond the slots, and ``reserved`` slots are
        left free.
        """
        if len(self.running) >= int(self.limit.value):
            return False
        return self.load < self.slots - reserved + overcommit

    def report(self, load, slots, as_of):
        """Apply a load report unless a newer one was already applied."""
        if self._others_load is not None and as_of <= self._reported_at:
            return
        self.slots = slots or self.slots
        if self.down_since is not None and as_of > self.down_since:
            self.down_since = None
        self._drop_changes(as_of - TRANSIT_SECONDS)
        self._smooth_others(
            max(0.0, load - len(self.running) + self._net_starts), as_of
        )
        self._update_load()

    def start(self, attempt, now):
        """Record the start of an attempt."""
        self.running[attempt.work.request_id] = attempt
        self._record_change(now, 1)

    def end(self, request_id, now):
        """Remove an attempt and return it, or None if it isn't running here."""
        attempt = self.running.pop(request_id, None)
        if attempt is None:
            return None
        self._record_change(now, -1)
        return attempt

    def pause(self, now):
        """Pause new work after a busy answer; return the end of the pause."""
        end = self.pause_until(now + self._pause)
        self._pause = min(MAX_PAUSE, self._pause * 2)
        return end

    def pause_until(self, end):
        """Pause new work until ``end`` unless a longer pause has begun; return its end.

        Answers may overtake each other, and a later one may state less.
        """
        self.paused_until = max(self.paused_until, end)
        return self.paused_until

    def reset_pause(self):
        """Reset the pause after a complete answer."""
        self._pause = INITIAL_PAUSE

    def _record_change(self, now, delta):
        self._changes.append((now, delta))
        self._net_starts += delta
        self._drop_changes(now - MAX_CHANGE_AGE)
        self._update_load()

    def _drop_changes(self, until):
        """Drop the starts and ends that the last report included."""
        while self._changes and self._changes[0][0] <= until:
            self._net_starts -= self._changes.popleft()[1]

    def _smooth_others(self, others_load, as_of):
        if self._others_load is None:
            self._others_load = others_load
        else:
            smoothing = SMOOTHING_SECONDS / (1.0 + self.typical_seconds)
            weight = 1.0 - exp((self._reported_at - as_of) / smoothing)
            self._others_load += weight * (others_load - self._others_load)
        self._reported_at = as_of

    def _update_load(self):
        """Set the load: own attempts plus the reported load of other instances.

        Many entry instances see reports that are a second old, and all would send to
        the upstream that was least loaded then. The other instances see the same
        reports, so a fraction of this instance's net starts since the report is assumed
        for each of them too.
        """
        assumed_others = (
            CORRELATED_FRACTION * (self.entry_count - 1) * max(0, self._net_starts)
        )
        self.load = len(self.running) + (self._others_load or 0.0) + assumed_others
