"""Estimate of how long a service without engines takes to answer a call."""

from .costs import update_average

# Seconds assumed for a call before any measurement.
INITIAL_SERVICE_TIME = 0.05
# Highest multiple of the current estimate that one measurement counts for. An instance
# that was suspended reads all answers of that time late; a few of them would otherwise
# raise the estimate above every deadline.
MAX_INCREASE = 4.0
# Seconds without a measurement in which half of the estimate's distance to the initial
# value decays. An estimate beyond all deadlines has every call refused, so that no
# answer would ever correct it.
DECAY_HALF_LIFE = 1.0


class ServiceTime:
    """Estimate of one pool's answer time; times are seconds on one clock."""

    def __init__(self):
        self._seconds = INITIAL_SERVICE_TIME
        self._measured_at = 0.0

    def record(self, elapsed, now):
        """Record the seconds that a call took until its answer began."""
        seconds = self.estimate(now)
        self._seconds = update_average(seconds, min(elapsed, MAX_INCREASE * seconds))
        self._measured_at = now

    def estimate(self, now):
        """Return the expected seconds until a call's answer begins."""
        remaining = 0.5 ** (max(0.0, now - self._measured_at) / DECAY_HALF_LIFE)
        return INITIAL_SERVICE_TIME + (self._seconds - INITIAL_SERVICE_TIME) * remaining
