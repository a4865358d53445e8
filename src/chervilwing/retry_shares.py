"""This instance's share of the retry budget of each pool."""

# Fraction of the pool's budget that is used, since the known number of instances may be
# slightly out of date.
USABLE_FRACTION = 0.6


class RetryShares:
    """State of one instance's share of each pool's retry budget.

    Limits the retries of all instances together, so that the retries of a pool that
    fails or refuses many requests don't add to the load that caused them. An instance
    earns retries by its own first attempts, and its share of the burst is the same as
    that of each other instance.
    """

    def __init__(self, owner):
        self._owner = owner
        self.instances = 1
        self._levels = {}

    def set_instances(self, count):
        """Set the number of instances that share the budget."""
        self.instances = max(1, count)

    def record_first_attempt(self, pool):
        """Record a request's first attempt, which earns part of a retry."""
        earned = self._owner.cfg.retry_ratio * USABLE_FRACTION
        self._levels[pool] = min(self._capacity(), self._level(pool) + earned)

    def may_retry(self, pool, planned=0):
        """Return whether a retry may be sent besides a number of planned ones."""
        return self._level(pool) >= 1.0 + planned

    def record_retry(self, pool):
        """Record a retry, which spends one unit of the share."""
        self._levels[pool] = self._level(pool) - 1.0

    def _level(self, pool):
        return self._levels.get(pool, self._capacity())

    def _capacity(self):
        return max(1.0, self._owner.cfg.retry_burst * USABLE_FRACTION / self.instances)
