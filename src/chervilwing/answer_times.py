"""The longest times that the requests of each route recently took."""

# Seconds for which a time counts at least, and at most twice as long.
PERIOD = 30.0


class LongestTimes:
    """The longest recent time of each name; times are in seconds on one clock."""

    def __init__(self):
        self._ends_at = 0.0
        self._current, self._previous = {}, {}

    def record(self, name, seconds, now):
        """Record how long something took."""
        self._advance(now)
        if seconds > self._current.get(name, 0.0):
            self._current[name] = seconds

    def get(self, name, now):
        """Return the longest recent time, 0 if nothing was recorded."""
        self._advance(now)
        return max(self._current.get(name, 0.0), self._previous.get(name, 0.0))

    def _advance(self, now):
        if now < self._ends_at:
            return
        is_recent = now < self._ends_at + PERIOD
        self._previous = self._current if is_recent else {}
        self._current, self._ends_at = {}, now + PERIOD
