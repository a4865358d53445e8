"""Overload state of a pool, with hysteresis."""

# Seconds without a waiting or refused request after which a pool is normal again.
NORMAL_AFTER = 1.0


class OverloadState:
    """Whether a pool is overloaded; times are seconds on one clock."""

    def __init__(self):
        self.active = False
        self._last_at = float("-inf")

    def record(self, now):
        """Record that a request waits or is refused for lack of capacity."""
        self._last_at = now

    def update(self, now):
        """Update the state; return whether it changed."""
        active = now < self._last_at + NORMAL_AFTER
        changed, self.active = active != self.active, active
        return changed
