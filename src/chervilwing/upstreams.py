"""What one entry instance knows about one upstream."""

from collections import deque
from math import exp
from typing import NamedTuple

from .limits import Limit
from .work import Work

# A report may miss requests that were on the wire when it was made.
TRANSIT = 0.05
# The others' part of the load is averaged over this many seconds, over fewer where
# work lasts longer. Work that is shorter than the time between reports makes single
# reports mere noise, on which every entry instance would act at the same moment.
SMOOTHING = 2.5
# Part of our own net starts since the last report that each other entry instance
# is taken to have made as well: in a burst all of them, in calm hardly any.
ALIKE = 0.3
# Own starts and ends are kept for so long when no report comes.
LONGEST_SILENCE = 5.0
# A busy answer holds new work back for this long at first, then twice as long.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 2.0


class Running(NamedTuple):
    """One attempt in flight."""

    work: Work
    band: int
    cost: float
    cached: int
    yielding: bool
    started: float


class UpstreamState:
    """One upstream: reported load, own attempts since then, limit and condition."""

    def __init__(self, upstream, entries=1):
        self.upstream = upstream
        self.slots = upstream.slots
        self.entries = entries
        self.usual = 0.0
        self.limit = Limit(upstream.slots)
        self.running = {}
        self.leaving = False
        # None for an engine that doesn't say; it serves every model.
        self.models = None
        self.down_since = None
        self.paused_until = 0.0
        self.load = 0
        self._pause = FIRST_PAUSE
        self._others = None
        self._as_of = 0.0
        self._changes = deque()
        self._net = 0

    def is_live(self):
        """Tell whether new work may go here at all."""
        return not self.leaving and self.down_since is None

    def has_room(self, reserve, over=0):
        """Tell whether one more request fits.

        Load: bursts, while reports lag by a second. Harm prevented: work that
        waits in an engine can't be moved, reordered or refused any more.
        """
        if len(self.running) >= int(self.limit.value):
            return False
        return self.load < self.slots - reserve + over

    def report(self, load, slots, as_of):
        """Take in a load report; an older one than the last is dropped."""
        if self._others is not None and as_of <= self._as_of:
            return
        self.slots = slots or self.slots
        if self.down_since is not None and as_of > self.down_since:
            self.down_since = None
        self._forget(as_of - TRANSIT)
        self._average(max(0.0, load - len(self.running) + self._net), as_of)
        self._correct()

    def start(self, running, now):
        """Count one more attempt."""
        self.running[running.work.request_id] = running
        self._change(now, 1)

    def end(self, request_id, now):
        """Count one attempt less and return it, or None when it isn't here."""
        running = self.running.pop(request_id, None)
        if running is None:
            return None
        self._change(now, -1)
        return running

    def pause(self, now):
        """Hold new work back after a busy answer, each time for longer."""
        self.paused_until = now + self._pause
        self._pause = min(LONGEST_PAUSE, self._pause * 2)
        return self.paused_until

    def settle(self):
        """Forget earlier busy answers after an answer that came whole."""
        self._pause = FIRST_PAUSE

    def _change(self, now, step):
        self._changes.append((now, step))
        self._net += step
        self._forget(now - LONGEST_SILENCE)
        self._correct()

    def _forget(self, until):
        """Drop the starts and ends that the last report had seen."""
        while self._changes and self._changes[0][0] <= until:
            self._net -= self._changes.popleft()[1]

    def _average(self, others, as_of):
        if self._others is None:
            self._others = others
        else:
            smoothing = SMOOTHING / (1.0 + self.usual)
            weight = 1.0 - exp((self._as_of - as_of) / smoothing)
            self._others += weight * (others - self._others)
        self._as_of = as_of

    def _correct(self):
        """Set the load to our own attempts now and the others' by report.

        Load: many entry instances and reports a second old. Harm prevented: all of
        them send to what was the idlest upstream a second ago. What we added since
        the report, the others, who see the same, are taken to have added in part.
        """
        alike = ALIKE * (self.entries - 1) * max(0, self._net)
        self.load = len(self.running) + (self._others or 0.0) + alike
