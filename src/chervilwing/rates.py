"""Rates of work, in which older work counts for less."""

from math import exp

# Seconds after which work counts for a third: some service times of long work, so
# that one large request doesn't pass for a trend.
MEMORY = 10.0


class Rate:
    """The cost a second of a stream of work."""

    def __init__(self):
        self._sum = 0.0
        self._at = 0.0

    def record(self, cost, now):
        """Count one piece of work."""
        self._sum = self._fade(now) + cost
        self._at = now

    def measure(self, now):
        """Return the cost a second."""
        return self._fade(now) / MEMORY

    def _fade(self, now):
        return self._sum * exp(-max(0.0, now - self._at) / MEMORY)


class Excess:
    """How far the offered work is over the admitted."""

    def __init__(self):
        self._offered = Rate()
        self._admitted = Rate()

    def record(self, cost, admitted, now):
        """Count one piece of offered work."""
        self._offered.record(cost, now)
        if admitted:
            self._admitted.record(cost, now)

    def measure(self, now):
        """Return offered over admitted work, from 1 up to 20."""
        admitted = self._admitted.measure(now)
        if admitted <= 0:
            return 1.0
        return min(20.0, max(1.0, self._offered.measure(now) / admitted))
