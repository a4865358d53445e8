"""Exponentially decaying rates of work."""

from math import exp

# Seconds after which work counts for 1/e of its cost, about a third. This is several
# times the service time of long work, so that a single large request doesn't look like
# a trend.
DECAY_TIME = 10.0


class Rate:
    """Estimate the cost per second of a stream of work."""

    def __init__(self, decay_time=DECAY_TIME):
        self._decay_time = decay_time
        self._sum = 0.0
        self._updated_at = 0.0

    def record(self, cost, now):
        """Add the cost of one request; ``now`` in seconds."""
        self._sum = self._decayed_sum(now) + cost
        self._updated_at = now

    def measure(self, now):
        """Return the current cost per second."""
        return self._decayed_sum(now) / self._decay_time

    def _decayed_sum(self, now):
        return self._sum * exp(-max(0.0, now - self._updated_at) / self._decay_time)


class Excess:
    """Estimate the ratio of offered to admitted work."""

    def __init__(self):
        self._offered = Rate()
        self._admitted = Rate()

    def record(self, cost, admitted, now):
        """Add the cost of one offered request and whether it was ``admitted``."""
        self._offered.record(cost, now)
        if admitted:
            self._admitted.record(cost, now)

    def measure(self, now):
        """Return the ratio of offered to admitted work, clamped to 1 to 20."""
        admitted = self._admitted.measure(now)
        if admitted <= 0:
            return 1.0
        return min(20.0, max(1.0, self._offered.measure(now) / admitted))
