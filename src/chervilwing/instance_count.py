"""The number of instances, kept in the store for instances that start.

If all instances lose power, their registrations lapse. Each instance that restarts
would see only the few that restarted before it and would take a large share of every
allowance; together the instances would spend many times a customer's limit. The stored
count outlives the registrations.
"""

from .decimals import read_number
from .store_calls import Commit

COUNT = "chervilwing/instances-count"
# Seconds between two writes. When dozens of instances join within a second, a write for
# each would be charged for and would wake every watch.
WRITE_INTERVAL = 2.0
# Seconds for which fewer instances have to be seen before the count falls. A data
# centre that lost power is back sooner; meanwhile its share of the allowances is not
# spent.
SHRINK_AFTER = 30.0


class InstanceCount:
    """State of the stored count; times are seconds on one clock."""

    def __init__(self):
        self.count = 0
        self._revision = 0
        self._fewer_since = None
        self._write_at = 0.0

    def observe(self, item):
        """Apply the stored item; an unreadable count is taken as 0."""
        self._revision = 0 if item.value is None else item.revision
        text = (item.value or b"").decode("latin-1")
        self.count = read_number(text) or 0

    def next_call(self, seen, now):
        """Return the write that is due, given the instances seen now, or None."""
        if seen >= self.count:
            self._fewer_since = None
        elif self._fewer_since is None:
            self._fewer_since = now
        settled = self._fewer_since is None or now >= self._fewer_since + SHRINK_AFTER
        if seen == self.count or not settled or now < self._write_at:
            return None
        self._write_at = now + WRITE_INTERVAL
        put = (COUNT, str(seen).encode(), 0)
        return Commit(expect=((COUNT, self._revision),), puts=(put,))
