"""A mirror of all items under one prefix of the platform's store.

The mirror lists once and then watches. It makes one call at a time, so that one slow
answer can't cross a newer one, and it knows how old its knowledge may be.
"""

from .items import (
    Changes,
    HistoryGone,
    Item,
    ListItems,
    Page,
    Unavailable,
    WatchItems,
)

# Seconds before a call is repeated that failed: doubled up to the second figure. Load:
# hundreds of instances whose store has just come back. Harm: all ask at once, and the
# store's rates are used up by questions.
FIRST_WAIT = 0.1
LONGEST_WAIT = 1.0


class Mirror:
    """State of one prefix; times are seconds on one clock, read by the caller.

    ``as_of`` is when the last answered call was sent: whatever was acknowledged before
    is known here. The time of the answer would claim too much, as it may have been
    long on its way. ``lost_since`` is when calls began to fail, or None, and
    ``regained_at`` when they last worked again. After a change the next call waits for
    ``spacing``: changes that come together cost one call in place of one each.
    """

    def __init__(self, prefix, wait, rng, spacing=0.0):
        self.prefix = prefix
        self.items = {}
        self.complete = False
        self.as_of = float("-inf")
        self.regained_at = float("-inf")
        self.lost_since = None
        self._wait = wait
        self._spacing = spacing
        self._rng = rng
        self.revision = None
        self._listing = None
        self._sent = None
        self._due = 0.0
        self._backoff = FIRST_WAIT

    def next_call(self, now):
        """Return the call to make now, or None while one runs or is not due."""
        if self._sent is not None or now < self._due:
            return None
        self._sent = now
        if self.revision is not None:
            return WatchItems(self.prefix, self.revision, self._wait)
        if self._listing is None:
            self._listing = (None, {})
        last = max(self._listing[1], default="")
        return ListItems(self.prefix, last)

    def receive(self, reply, now):
        """Take the answer to the last call and return the items that changed."""
        sent, self._sent = self._sent, None
        return RECEIVERS[type(reply)](self, reply, sent, now)

    def _receive_page(self, page, sent, now):
        first, found = self._listing
        # Pages are no snapshot: changes behind the first page's revision come again.
        first = page.revision if first is None else first
        found.update((item.key, item) for item in page.items)
        self._listing = (first, found)
        self._recover(now)
        if page.more and page.items:
            return []
        return self._replace(first, found, sent)

    def _replace(self, revision, found, sent):
        gone = [
            Item(key, None, revision)
            for key, item in self.items.items()
            if key not in found and item.revision <= revision
        ]
        self._listing = None
        self.revision = revision
        self.complete = True
        self.as_of = sent
        return self._apply([*found.values(), *gone])

    def _receive_changes(self, changes, sent, now):
        self._recover(now)
        self.revision = max(self.revision, changes.revision)
        self.as_of = sent
        if changes.items:
            self._due = now + self._spacing
        return self._apply(changes.items)

    def _apply(self, items):
        changed = []
        for item in items:
            known = self.items.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            if item.value is not None:
                self.items[item.key] = item
            elif known is None:
                continue
            else:
                del self.items[item.key]
            changed.append(item)
        return changed

    def _receive_gone(self, reply, sent, now):
        self.revision = None
        self._listing = None
        return []

    def _receive_nothing(self, reply, sent, now):
        if self.lost_since is None:
            self.lost_since = now
        self._due = now + self._backoff * self._rng.uniform(0.5, 1.5)
        self._backoff = min(LONGEST_WAIT, self._backoff * 2)
        return []

    def _recover(self, now):
        if self.lost_since is not None:
            self.regained_at = now
        self.lost_since = None
        self._backoff = FIRST_WAIT


RECEIVERS = {
    Page: Mirror._receive_page,
    Changes: Mirror._receive_changes,
    HistoryGone: Mirror._receive_gone,
    Unavailable: Mirror._receive_nothing,
}
