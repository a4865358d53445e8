"""Concurrency limits that follow the measured latency of each upstream."""

from .costs import update_average

# An upstream is slow if a unit of cost takes more than this multiple of the pool's best
# pace. A full batch takes up to twice as long as a half-full one, so smaller
# differences are noise.
SLOW_RATIO = 2.0
# Factor of the limit after a slow answer; ten in a row leave a third of it.
SLOW_FACTOR = 0.9
# At least one request must remain possible, or a recovery would go unnoticed.
MIN_LIMIT = 1.0
# Weights of a new sample below and above the pool's best pace, respectively. Slow
# samples count for less, so that one slow upstream can't make slowness look normal.
FALL_WEIGHT = 0.1
RISE_WEIGHT = 0.01


class Pace:
    """The pace of a pool: seconds per unit of cost on a healthy upstream.

    ``best`` follows the fastest answers, ``mean`` all of them.
    """

    def __init__(self, initial):
        self.best = initial
        self.mean = initial
        self.measured = False

    def estimate(self, cost):
        """Return the minimum seconds for the cost, or 0 before the first sample."""
        return cost * self.best if self.measured else 0.0

    def record(self, pace):
        """Record one sample, in seconds per unit of cost."""
        if not self.measured:
            self.best = self.mean = pace
            self.measured = True
            return
        weight = FALL_WEIGHT if pace < self.best else RISE_WEIGHT
        self.best = update_average(self.best, pace, weight)
        self.mean = update_average(self.mean, pace)


class Limit:
    """The concurrency limit of one entry instance for one upstream.

    A slow upstream (a noisy neighbour, a failing disk) may still pass its health check.
    With equal shares, a growing part of all requests would wait there until the
    upstream is marked unhealthy.
    """

    def __init__(self, slots):
        self.value = float(slots)
        self.pace = None

    def record(self, pace, best_pace, slots):
        """Adjust the limit after an answer; ``pace`` is in seconds per unit of cost."""
        self.pace = pace if self.pace is None else update_average(self.pace, pace, 0.2)
        if pace > SLOW_RATIO * best_pace:
            self.value = max(MIN_LIMIT, self.value * SLOW_FACTOR)
            return
        self.value = min(float(slots), self.value + 1.0 / self.value)

    def fail(self):
        """Halve the limit after an attempt that failed."""
        self.value = max(MIN_LIMIT, self.value / 2)
