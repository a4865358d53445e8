"""How many instances there are, kept in the store for those that start.

Guard: all instances lose power, and their registrations lapse. Each that starts again
sees the few that were sooner, takes a large part of every allowance for its own, and
together they spend many times what a customer may. So the count outlasts them.
"""

from .items import Commit

COUNT = "chervilwing/instances-count"
# Seconds between two writes. Load: dozens of instances join within a second. Harm: each
# would be a call that is paid for, and wakes everyone that watches.
WRITE_EVERY = 2.0
# Seconds for which fewer have to be seen before the count falls. A data centre that
# lost power is back sooner; meanwhile its part of the allowances is not spent.
SHRINK_AFTER = 30.0


class Roster:
    """State of the count as it was stored last; times are seconds on one clock."""

    def __init__(self):
        self.count = 0
        self._revision = 0
        self._fewer_since = None
        self._write_at = 0.0

    def observe(self, item):
        """Take the stored count; one that can't be read counts as none."""
        self._revision = 0 if item.value is None else item.revision
        text = (item.value or b"").decode("latin-1")
        self.count = int(text) if text.isdecimal() else 0

    def next_call(self, seen, now):
        """Return the write that is due where so many instances are seen, or None."""
        if seen >= self.count:
            self._fewer_since = None
        elif self._fewer_since is None:
            self._fewer_since = now
        lasting = self._fewer_since is None or now >= self._fewer_since + SHRINK_AFTER
        if seen == self.count or not lasting or now < self._write_at:
            return None
        self._write_at = now + WRITE_EVERY
        put = (COUNT, str(seen).encode(), 0)
        return Commit(expect=((COUNT, self._revision),), puts=(put,))
