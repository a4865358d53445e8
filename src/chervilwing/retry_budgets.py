"""Retry budgets, which bound the number of attempts per request."""

# Retries that each first attempt earns, so that under saturation attempts stay below
# 1.05 per request (RFC 5390: unbounded retries turned one request into 18).
RETRIES_PER_REQUEST = 0.05
# Maximum number of retries that a budget holds: enough for the requests in flight on
# one lost upstream.
MAX_RETRIES = 10.0


class Budget:
    """A token bucket of retries, filled by first attempts.

    When a pool fails or refuses widely, unbounded retries would add to the load that
    caused them, until no first attempt succeeds.
    """

    def __init__(self):
        self.tokens = MAX_RETRIES

    def earn(self):
        """Credit one first attempt."""
        self.tokens = min(MAX_RETRIES, self.tokens + RETRIES_PER_REQUEST)

    def has_retry(self):
        """Return whether a retry is available."""
        return self.tokens >= 1.0

    def spend(self):
        """Use one retry."""
        self.tokens -= 1.0


class Budgets:
    """The retry budgets of all customers and pools."""

    def __init__(self):
        self._budgets = {}

    def find(self, key):
        """Return the budget of one customer or pool; create it if needed."""
        return self._budgets.setdefault(key, Budget())

    def earn(self, work):
        """Credit the customer and the pool with one first attempt."""
        for budget in self._find_both(work):
            budget.earn()

    def spend(self, work):
        """Use one retry of both budgets, or return False and use neither."""
        budgets = self._find_both(work)
        if not all(budget.has_retry() for budget in budgets):
            return False
        for budget in budgets:
            budget.spend()
        return True

    def _find_both(self, work):
        customer = self.find(("customer", work.customer))
        return customer, self.find(("pool", work.pool))
