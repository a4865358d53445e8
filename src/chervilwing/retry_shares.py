"""How many attempts beyond the first one instance may send to a pool."""

# The part of the pool's budget that is used: the others' counts are a moment old.
USED_PART = 0.6


class RetryShares:
    """State of one instance's share of each pool's retry budget.

    Load: a pool that fails or refuses widely. Harm prevented: retries that add to the
    load which made them. The instances share one budget; each earns by its own first
    attempts, and has an equal part of what may be used at once.
    """

    def __init__(self, owner):
        self._owner = owner
        self.instances = 1
        self._levels = {}

    def set_instances(self, count):
        """Set how many instances share the budget."""
        self.instances = max(1, count)

    def note_first(self, pool):
        """Take note of a first attempt."""
        earned = self._owner.cfg.retry_ratio * USED_PART
        self._levels[pool] = min(self._capacity(), self._level(pool) + earned)

    def may_retry(self, pool):
        """Tell whether another attempt may be sent now."""
        return self._level(pool) >= 1.0

    def note_retry(self, pool):
        """Take note of an attempt beyond the first."""
        self._levels[pool] = self._level(pool) - 1.0

    def _level(self, pool):
        return self._levels.get(pool, self._capacity())

    def _capacity(self):
        return max(1.0, self._owner.cfg.retry_burst * USED_PART / self.instances)
