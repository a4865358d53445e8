"""Concurrency limits that follow the measured latency of each upstream."""

from .costs import blend

# An upstream is slow when a unit of work takes this many times the pool's best:
# a full batch costs up to twice the time of a half-full one, so less is noise.
SLOW_RATIO = 2.0
# Slow by one sample costs a tenth; ten slow answers in a row leave a third.
DECREASE = 0.9
# One request must stay possible, or a recovered upstream would never be noticed.
FLOOR = 1.0
# The pool's reference follows quick samples fast and slow ones slowly, so one
# slow upstream can't make slowness look normal.
FALL_WEIGHT = 0.1
RISE_WEIGHT = 0.01


class Reference:
    """The time that one unit of cost takes on a healthy upstream of a pool."""

    def __init__(self, first):
        self.seconds = first
        self.mean = first
        self.measured = False

    def estimate(self, cost):
        """Return the least seconds that the cost takes, 0 before any sample."""
        return cost * self.seconds if self.measured else 0.0

    def record(self, seconds):
        """Take in one sample, in seconds a unit of cost."""
        if not self.measured:
            self.seconds = self.mean = seconds
            self.measured = True
            return
        weight = FALL_WEIGHT if seconds < self.seconds else RISE_WEIGHT
        self.seconds = blend(self.seconds, seconds, weight)
        self.mean = blend(self.mean, seconds)


class Limit:
    """How many requests one entry instance may have at one upstream.

    Load: one upstream slows down (a hot neighbour, a failing disk) and still
    answers its health check. Harm prevented: equal shares would hold a growing
    part of all callers there until someone declares it sick.
    """

    def __init__(self, slots):
        self.value = float(slots)
        self.pace = None

    def record(self, seconds, reference, slots):
        """Move the limit after one answer of ``seconds`` a unit of cost."""
        self.pace = seconds if self.pace is None else blend(self.pace, seconds, 0.2)
        if seconds > SLOW_RATIO * reference:
            self.value = max(FLOOR, self.value * DECREASE)
            return
        self.value = min(float(slots), self.value + 1.0 / self.value)

    def fail(self):
        """Halve the limit after an attempt that broke off."""
        self.value = max(FLOOR, self.value / 2)
