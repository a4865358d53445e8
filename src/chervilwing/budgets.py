"""Retry budgets: what bounds the number of attempts per request."""

# Each first attempt earns a twentieth of a retry, so that in saturation attempts
# stay below 1.05 a request (RFC 5390: unbounded retries made 18 requests of one).
EARNED = 0.05
# Enough for the requests that one lost upstream had in flight, and no more.
CAPACITY = 10.0


class Budget:
    """A bucket of retries that first attempts fill.

    Load: a pool that fails or refuses widely. Harm prevented: retries that add to
    the load which made them, until no first attempt gets through.
    """

    def __init__(self):
        self.tokens = CAPACITY

    def earn(self):
        """Take note of one first attempt."""
        self.tokens = min(CAPACITY, self.tokens + EARNED)

    def has_one(self):
        """Tell whether a retry may be spent."""
        return self.tokens >= 1.0

    def spend(self):
        """Use up one retry."""
        self.tokens -= 1.0


class Budgets:
    """The budgets of all customers and pools."""

    def __init__(self):
        self._budgets = {}

    def find(self, key):
        """Return the budget of one customer or pool."""
        return self._budgets.setdefault(key, Budget())

    def earn(self, work):
        """Credit the customer and the pool with one first attempt."""
        for budget in self._of(work):
            budget.earn()

    def spend(self, work):
        """Use up a retry of both, or return False and use up neither."""
        budgets = self._of(work)
        if not all(budget.has_one() for budget in budgets):
            return False
        for budget in budgets:
            budget.spend()
        return True

    def _of(self, work):
        customer = self.find(("customer", work.customer))
        return customer, self.find(("pool", work.pool))
