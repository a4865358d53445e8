"""How long a plain service takes for a call, as one instance has measured it."""

from .costs import blend

# Seconds that a call takes before anything was measured.
SERVICE_TIME = 0.05
# Times the estimate up to which one call counts. Load: an instance that was suspended
# and finds the answers of all that time. Harm: a few of them would make the estimate
# longer than any caller waits.
OUTLIER = 4.0
# Seconds without a measurement after which half of the estimate is forgotten. Load: an
# estimate beyond all deadlines. Harm: whatever comes is refused as hopeless, and no
# answer would ever correct it.
FADE_HALF_LIFE = 1.0


class ServiceTime:
    """State of one pool's estimate; times are seconds on one clock."""

    def __init__(self):
        self._seconds = SERVICE_TIME
        self._at = 0.0

    def record(self, took, now):
        """Take how long a call took until its answer began."""
        seconds = self.measure(now)
        self._seconds = blend(seconds, min(took, OUTLIER * seconds))
        self._at = now

    def measure(self, now):
        """Return how many seconds a call is expected to take."""
        kept = 0.5 ** (max(0.0, now - self._at) / FADE_HALF_LIFE)
        return SERVICE_TIME + (self._seconds - SERVICE_TIME) * kept
