"""Share of the processor for callers that send or are served in bulk.

Bodies, requests sent ahead and discarded bytes can keep an event loop busy without end.
Other requests, the readiness check and the leases then come too late.
"""

# Part of the time that bulk work may take.
PART = 0.5
# Seconds saved up at most. More would let bulk work delay other callers for longer.
MAX_SAVED = 0.01
NEWEST_WEIGHT = 0.1


class BulkTime:
    """Seconds left for bulk work, and the mean time of one piece of it."""

    def __init__(self):
        self.left = 0.0
        self._mean = 1e-4
        self._refilled_at = None

    def refill(self, now):
        """Add the share of the time since the last call; ``now`` is in seconds."""
        if self._refilled_at is not None:
            self.left += PART * (now - self._refilled_at)
            self.left = min(self.left, MAX_SAVED)
        self._refilled_at = now

    def spend(self, seconds):
        """Record one piece of bulk work; return whether there is time for more."""
        self.left -= seconds
        self._mean += NEWEST_WEIGHT * (seconds - self._mean)
        return self.left > 0.0

    def count_pieces(self):
        """Return how many pieces fit into the time left."""
        return max(0, int(self.left / max(self._mean, 1e-6)))
