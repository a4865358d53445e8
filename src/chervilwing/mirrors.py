"""A mirror of all items under one prefix of the platform's store.

The mirror lists once and then watches. It makes one call at a time, so that one slow
answer can't cross a newer one, and it knows how old its knowledge may be.
"""

from collections import deque
from typing import NamedTuple

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
# Changes kept to tell other instances: a wave takes some hundred upstreams at once, and
# the others ask several times a second.
CHANGES_KEPT = 1024
# Bytes of keys and values told at once, so that three prefixes fit into a datagram of
# some frames. An item that is larger is read from the store.
NEWS_BYTES = 1200
# Bytes of keys told to one that knows less than the changes that are kept: those of a
# thousand upstreams, or of two hundred where it takes several pieces. Load: hundreds of
# instances start at once. Harm: told again with each piece, more would fill their
# links; one list from the store is cheaper.
KEYS_BYTES = 24_000
REPEATED_KEYS_BYTES = 4800


class News(NamedTuple):
    """What one instance tells another of a prefix; ages are in seconds.

    ``items`` are all changes after the revision that was asked for and up to
    ``revision``, or None where they aren't known or too large. ``more`` tells that
    later ones were left out. ``regained`` is how long ago the store was regained, None
    where it never was lost. ``keys`` are those of all items, where the changes alone
    don't tell which are gone.
    """

    age: float
    regained: float | None
    revision: int
    items: tuple[Item, ...] | None
    more: bool
    keys: tuple[str, ...] | None = None


class Mirror:
    """State of one prefix; times are seconds on one clock, read by the caller.

    ``as_of`` is when the last answered call was sent: whatever was acknowledged before
    is known here. The time of the answer would claim too much, as it may have been
    long on its way. ``lost_since`` is when calls began to fail, or None, and
    ``regained_at`` when they last worked again. After a change the next call waits for
    ``spacing``: changes that come together cost one call in place of one each. A
    ``resting`` mirror makes no calls but to list: another instance tells its news.
    ``unreachable`` tells that the last call of its own had no answer. ``wait`` is for
    how many seconds a watch waits, and may change.
    """

    def __init__(self, prefix, wait, rng, spacing=0.0):
        self.prefix = prefix
        self.items = {}
        self.complete = False
        self.as_of = float("-inf")
        self.regained_at = float("-inf")
        self.lost_since = None
        self.resting = False
        self.unreachable = False
        self.wait = wait
        self._spacing = spacing
        self._rng = rng
        self.revision = None
        self._listing = None
        # Whether others know of changes that this one has to list.
        self._lacking = False
        self._sent = None
        self._due = 0.0
        self._backoff = FIRST_WAIT
        self._changes = deque()
        # All changes after this revision are kept. Guard: what came and went between
        # two lists, or before another one told its list, was never seen here; passed
        # off as all changes, those kept here would let others keep it for good.
        self._floor = None

    def next_call(self, now):
        """Return the call to make now, or None while one runs or is not due."""
        if self._sent is not None or now < self._due:
            return None
        known = self.revision is not None and not self._lacking
        if self.resting and known:
            return None
        self._sent = now
        if known:
            return WatchItems(self.prefix, self.revision, self.wait)
        if self._listing is None:
            self._listing = (None, {})
        last = max(self._listing[1], default="")
        return ListItems(self.prefix, last)

    def receive(self, reply, now):
        """Take the answer to the last call and return the items that changed."""
        sent, self._sent = self._sent, None
        return RECEIVERS[type(reply)](self, reply, sent, now)

    def _receive_page(self, page, sent, now):
        if self._listing is None:
            # Another instance told the rest while this was on its way.
            self._recover(now)
            return []
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
        self._lacking = False
        self.revision = revision
        self.as_of = sent
        self.complete = True
        self._begin_changes(revision)
        return self._apply([*found.values(), *gone])

    def _receive_changes(self, changes, sent, now):
        self._recover(now)
        if self.revision is None:
            # Listed anew meanwhile; the list will have these too.
            return []
        if changes.items:
            self._due = now + self._spacing
        changed = self._advance(changes.items, changes.revision)
        self.as_of = max(self.as_of, sent)
        return changed

    def _advance(self, items, revision):
        """Apply changes up to a revision and return what is new.

        Guard: the answer to a watch and another instance's news cross. A change that is
        older than what is known would bring back an item that was deleted since.
        """
        changed = self._apply([item for item in items if item.revision > self.revision])
        self.revision = max(self.revision, revision)
        self._keep(changed)
        return changed

    def tell(self, revision, now):
        """Return the News after a revision for an instance that asks."""
        if self.revision is None:
            return None
        keys = None
        if revision is not None and revision < self._floor:
            keys = tuple(self.items)
        items, more = self._select(revision, keys)
        told = items[-1].revision if more else self.revision
        return News(
            now - self.as_of,
            None if self.regained_at == float("-inf") else now - self.regained_at,
            told,
            items,
            more,
            keys if items is not None else None,
        )

    def _select(self, revision, keys):
        """Return the changes after a revision that fit, and whether more follow.

        None in their place tells that they can't be told. With ``keys`` they are what
        is there now.
        """
        keys_size = sum(map(len, keys or ()))
        if revision is None or keys_size > KEYS_BYTES:
            return None, False
        changes = self._changes if keys is None else self.items.values()
        later = [item for item in changes if item.revision > revision]
        later.sort(key=lambda item: item.revision)
        fitting, size = [], 0
        for item in later:
            size += len(item.key) + len(item.value or b"")
            if size > NEWS_BYTES:
                break
            fitting.append(item)
        if len(fitting) == len(later):
            return tuple(fitting), False
        if keys_size > REPEATED_KEYS_BYTES:
            return None, False
        # What was written together is told together.
        cut = later[len(fitting)].revision
        fitting = [item for item in fitting if item.revision < cut]
        return (tuple(fitting), True) if fitting else (None, False)

    def learn(self, news, asked_at, now):
        """Take another instance's News and return the items that changed.

        Guard: the age counts from the question, which its answer can't precede; how
        long the answer was on its way, or this instance stood still, doesn't matter.
        """
        if self.revision is None:
            return []
        if news.items is None:
            # What is known stays meanwhile: another instance may tell the rest before
            # the store can be asked.
            self._lacking = True
            return []
        self._lacking = False
        self._listing = None
        if news.regained is not None:
            self.regained_at = max(self.regained_at, asked_at - news.regained)
        items = news.items
        if news.keys is not None:
            items = [*items, *self._list_gone(news)]
        changed = self._advance(items, news.revision)
        if news.keys is not None:
            self._begin_changes(self.revision)
        if not news.more:
            self.as_of = max(self.as_of, asked_at - news.age)
        return changed

    def _list_gone(self, news):
        """Return as deleted what another instance doesn't have any more."""
        keys = set(news.keys)
        return [
            Item(key, None, news.revision)
            for key, item in self.items.items()
            if key not in keys and item.revision < news.revision
        ]

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

    def _begin_changes(self, revision):
        """Keep only changes that come after a revision."""
        self._changes.clear()
        self._floor = revision

    def _keep(self, changed):
        self._changes.extend(changed)
        while len(self._changes) > CHANGES_KEPT:
            dropped = self._changes.popleft()
            self._floor = max(self._floor, dropped.revision)

    def _receive_gone(self, reply, sent, now):
        self._list_anew()
        return []

    def _list_anew(self):
        self.revision = None
        self._listing = None

    def _receive_nothing(self, reply, sent, now):
        self.unreachable = True
        if self.lost_since is None:
            self.lost_since = now
        self._due = now + self._backoff * self._rng.uniform(0.5, 1.5)
        self._backoff = min(LONGEST_WAIT, self._backoff * 2)
        return []

    def _recover(self, now):
        if self.lost_since is not None:
            self.regained_at = now
        self.lost_since = None
        self.unreachable = False
        self._backoff = FIRST_WAIT


RECEIVERS = {
    Page: Mirror._receive_page,
    Changes: Mirror._receive_changes,
    HistoryGone: Mirror._receive_gone,
    Unavailable: Mirror._receive_nothing,
}
