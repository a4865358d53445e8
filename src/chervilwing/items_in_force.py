"""The items to go by where a restored store has lost some or took them back."""

from .replaced_items import ReplacedItems
from .store_calls import Item
from .store_epochs import is_return


def hold_nothing(key, known, lost):
    """Return the seconds for which a key keeps what a restored store took back."""
    return 0.0


class ItemsInForce:
    """The items in force under one prefix; times are seconds on one clock.

    They differ from the store's in the keys of ``held_until`` only: the store lost a
    write or a deletion of these when it returned from a copy, and nobody has written
    them since. ``compute_hold(key, known, lost)`` returns for how many seconds such a
    key is held; ``known`` is the item in force, None if it was deleted, and ``lost`` is
    true if the store doesn't have the key any more.
    """

    def __init__(self, compute_hold):
        self.items = {}
        self.held_until = {}
        self._compute_hold = compute_hold
        self._replaced = ReplacedItems()

    def record_replaced(self, item, now):
        """Record that the store has replaced or deleted an item."""
        self._replaced.add(item, now)

    def renumber(self, item):
        """Replace an item by the same write with its revision of another epoch."""
        if item.key not in self.held_until:
            self.items[item.key] = item

    def apply(self, changed, now):
        """Apply changes of the store's items; return those that change what holds."""
        return [item for item in changed if self._apply_item(item, now)]

    def _apply_item(self, item, now):
        known = self.items.get(item.key)
        hold = 0.0 if is_same_value(known, item) else self._measure_hold(known, item)
        if hold:
            self.held_until[item.key] = now + hold
            return False
        was_held = self.held_until.pop(item.key, None) is not None
        if was_held and known is None and item.value is None:
            return False
        self._set(item)
        return True

    def _measure_hold(self, known, item):
        """Return for how many seconds a change of the store's items doesn't hold."""
        lost = item.value is None and is_return(item.revision)
        restored = item.value is not None and self._replaced.contains(item)
        return self._compute_hold(item.key, known, lost) if lost or restored else 0.0

    def expire(self, stored, revision, now):
        """Put the store's items in force where the hold is over; return them."""
        due = [key for key, until in self.held_until.items() if now >= until]
        changed = [stored.get(key) or Item(key, None, revision) for key in due]
        for item in changed:
            del self.held_until[item.key]
            self._set(item)
        return changed

    def _set(self, item):
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item


def is_same_value(known, item):
    """Return whether an item has the value that is known, which may be None."""
    return (known.value if known else None) == item.value
