"""Writes that were replaced recently, to recognise them in a restored store.

A store that returns from a copy has some writes again that were replaced or deleted
since. Unlike writes of the new epoch, they must not take effect a second time.
"""

from collections import OrderedDict

from .store_epochs import get_number

# Seconds for which a replaced write is remembered, well above the age of a copy, and
# the maximum number of them.
MAX_COPY_AGE = 60.0
MAX_REPLACED = 4096


def identify(item):
    """Return what identifies the write of an item in every epoch that contains it."""
    return item.key, get_number(item.revision), item.value


class ReplacedItems:
    """Recently replaced and deleted writes; times are seconds on one clock."""

    def __init__(self):
        self._replaced_at = OrderedDict()

    def add(self, item, now):
        """Remember the write of an item that was replaced or deleted now."""
        self._replaced_at[identify(item)] = now
        self._replaced_at.move_to_end(identify(item))
        while len(self._replaced_at) > MAX_REPLACED or self._is_oldest_expired(now):
            self._replaced_at.popitem(last=False)

    def _is_oldest_expired(self, now):
        return now - next(iter(self._replaced_at.values())) > MAX_COPY_AGE

    def contains(self, item):
        """Return whether the write of an item was replaced recently."""
        return identify(item) in self._replaced_at
