"""A local mirror of all items under one prefix of the platform's store.

The mirror lists the items once and then watches for changes. It makes one call at a
time, so that a slow reply can't arrive after a newer one, and it records how old its
knowledge may be.

A store that returns from a copy begins a new epoch. The mirror then lists it, and keeps
in force what the store has lost until it is written again, or for a limited time.
"""

from typing import NamedTuple

from .items_in_force import ItemsInForce, hold_nothing
from .kept_changes import KeptChanges
from .replaced_items import identify
from .store_calls import (
    Changes,
    HistoryGone,
    Item,
    ListItems,
    Page,
    Unavailable,
    WatchItems,
)
from .store_epochs import (
    get_epoch,
    get_number,
    is_return,
    make_return_revision,
    make_revision,
)

# First and longest delay, in seconds, before a failed call is repeated; it doubles each
# time. Without it, hundreds of instances whose store has just recovered would all call
# at once and exhaust the store's rate limit.
MIN_BACKOFF = 0.1
MAX_BACKOFF = 1.0


class News(NamedTuple):
    """One instance's report of a prefix to another; ages are in seconds.

    ``items`` are all changes after the requested revision up to ``revision``, or None
    where they are unknown or too large. ``more`` is true where later changes were left
    out. ``seconds_since_regained`` is how long ago the store became reachable again,
    None where it never was lost. ``keys`` are the keys of all items, where the changes
    alone don't show which items were deleted.
    """

    age: float
    seconds_since_regained: float | None
    revision: int
    items: tuple[Item, ...] | None
    more: bool
    keys: tuple[str, ...] | None = None


class Mirror:
    """State of one prefix; times are seconds on one clock, passed by the caller.

    ``items`` are those that the store has, ``in_force`` those to go by. They differ in
    the keys of ``held_until`` only; see ItemsInForce, also for ``compute_hold``.

    ``as_of`` is when the last answered call was sent: every write that was acknowledged
    before that time is included. The arrival of the reply would be too late a time, as
    the reply may have been delayed. ``lost_since`` is when calls began to fail, or
    None, and ``regained_at`` when they last worked again. After a change the next call
    waits for ``spacing`` seconds, so that changes that come together cost one call. A
    ``passive`` mirror makes no calls except to list: another instance sends it the
    news. ``unreachable`` is true where the mirror's own last call had no reply.
    ``wait`` is how many seconds a watch waits; it may be changed. ``list_delay`` is for
    how many seconds the news of a leader are waited for after a return of the store.
    ``lists_may_be_stale`` allows a cheaper list first where a leader has told which
    revision it must reach.
    """

    def __init__(self, prefix, wait, rng, spacing=0.0, compute_hold=hold_nothing):
        self.prefix = prefix
        self.items = {}
        self._holds = ItemsInForce(compute_hold)
        self.in_force = self._holds.items
        self.held_until = self._holds.held_until
        self.complete = False
        self.as_of = float("-inf")
        self.regained_at = float("-inf")
        self.lost_since = None
        self.passive = False
        self.unreachable = False
        self.wait = wait
        self.list_delay = 0.0
        self.lists_may_be_stale = False
        # The revision that a stale list must have reached, None to list without one.
        self._required_revision = None
        self._spacing = spacing
        self._rng = rng
        self.revision = None
        self._listing = None
        # Whether the items must be listed again: another instance has changes that are
        # too large to send, or the store has no history from the known revision on.
        self._must_list = False
        self._watched_revision = None
        self._has_history = True
        self._sent_at = None
        self._next_call_at = 0.0
        self._backoff = MIN_BACKOFF
        self._changes = KeptChanges()
        # The latest epoch of the store that is known here.
        self._store_epoch = 0
        # The latest epoch of which this mirror has all items.
        self._carried_epoch = 0

    def next_call(self, now):
        """Return the call to make now, or None while one runs or none is due."""
        if self._sent_at is not None or now < self._next_call_at:
            return None
        up_to_date = self.revision is not None and not self._must_list
        if self.passive and up_to_date:
            return None
        self._sent_at = now
        if up_to_date:
            self._watched_revision = self.revision
            return WatchItems(self.prefix, self.revision, self.wait)
        if self._listing is None:
            self._listing = (None, {})
        last = max(self._listing[1], default="")
        return ListItems(self.prefix, last, self._required_revision is not None)

    def receive(self, reply, now):
        """Apply the reply to the last call and return the items that changed."""
        sent_at, self._sent_at = self._sent_at, None
        return RECEIVERS[type(reply)](self, reply, sent_at, now)

    def _receive_page(self, page, sent_at, now):
        self._mark_reachable(now)
        if self._listing is None:
            # Another instance sent the rest of the list while this page was on its way.
            return []
        first, found = self._listing
        restored = first is not None and get_epoch(first) != get_epoch(page.revision)
        if restored or self._is_outdated(page.revision):
            # The store was restored between two pages, or after this one.
            self._listing = None
            return []
        required, self._required_revision = self._required_revision, None
        if required is not None and (page.more or page.revision < required):
            self._listing = None
            return []
        if required is not None:
            # How old the list is isn't known; the leader's next news tell it.
            sent_at = self.as_of
        # Pages are no snapshot: changes after the first page's revision are watched
        # for.
        first = page.revision if first is None else first
        found.update((item.key, item) for item in page.items)
        self._listing = (first, found)
        if page.more and page.items:
            return []
        return self._replace(first, found, sent_at, now)

    def _replace(self, revision, found, sent_at, now):
        deleted = [
            Item(key, None, self._date_deletion(item, revision))
            for key, item in self.items.items()
            if key not in found and item.revision <= revision
        ]
        self._listing = None
        self._must_list = False
        self._has_history = True
        self.as_of = max(self.as_of, sent_at)
        self.complete = True
        self._carried_epoch = get_epoch(revision)
        self._store_epoch = max(self._store_epoch, self._carried_epoch)
        is_new_epoch = self._is_new_epoch(revision)
        if is_new_epoch:
            self._enter_epoch(revision, (), now)
        changed = self._apply_items([*found.values(), *deleted], now)
        self.revision = revision
        if is_new_epoch:
            self._changes.add(changed)
        else:
            self._changes.reset(revision)
        return self._holds.apply(changed, now)

    def _is_new_epoch(self, revision):
        return self.revision is not None and get_epoch(revision) > get_epoch(
            self.revision
        )

    def _is_outdated(self, revision):
        return get_epoch(revision) < self._store_epoch

    def _enter_epoch(self, revision, items, now):
        """Record the change to a revision of a later epoch.

        ``items`` are those received together with it. The store was away, so that
        entries may lapse now whose owners couldn't renew them.
        """
        self._store_epoch = max(self._store_epoch, get_epoch(revision))
        epoch = get_epoch(self.revision)
        known = [item.revision for item in items if get_epoch(item.revision) == epoch]
        self._changes.enter_epoch(max([self.revision, *known]), revision)
        self.regained_at = max(self.regained_at, now)

    def _receive_changes(self, changes, sent_at, now):
        self._mark_reachable(now)
        if get_epoch(self._watched_revision) != get_epoch(changes.revision):
            # The number that was watched belongs to another history: what the store
            # wrote below it is missing.
            self._plan_listing(get_epoch(changes.revision), now)
            return []
        if changes.items:
            self._next_call_at = now + self._spacing
        changed = self._apply_changes(changes.items, changes.revision, now)
        self.as_of = max(self.as_of, sent_at)
        return self._holds.apply(changed, now)

    def _apply_changes(self, items, revision, now):
        """Apply changes up to a revision and return the items that changed.

        The reply to a watch and another instance's news may cross. A change that is
        older than the present revision would restore an item that was deleted since.
        """
        later = [
            item
            for item in items
            if item.revision > self.revision or is_return(item.revision)
        ]
        changed = self._apply_items(later, now)
        self.revision = max(self.revision, revision)
        self._changes.add(changed)
        return changed

    def make_news(self, revision, now):
        """Return the News after a revision for an instance that queries this one."""
        if self.revision is None or not self._has_history:
            return None
        if get_epoch(self.revision) != self._carried_epoch:
            # The other instance would take the items of two epochs for those of one.
            return None
        keys = None
        if revision is not None and not self._changes.cover(revision):
            keys = tuple(self.items)
        items, more = self._changes.select(revision, self.items.values(), keys)
        last_revision = items[-1].revision if more else self.revision
        return News(
            now - self.as_of,
            None if self.regained_at == float("-inf") else now - self.regained_at,
            last_revision,
            items,
            more,
            keys if items is not None else None,
        )

    def apply_news(self, news, queried_at, now):
        """Apply another instance's News and return the items that changed.

        Its age counts from the sending of the query, which the reply can't precede, so
        that a delay of the reply or a suspension of this instance doesn't matter.
        """
        if self.revision is None or not self._has_history:
            return []
        if self._is_outdated(news.revision):
            return []
        if news.items is None:
            # The present items stay meanwhile: another instance may send the changes
            # before the store can be listed.
            if self.lists_may_be_stale and not self._must_list:
                self._required_revision = news.revision
            self._must_list = True
            return []
        self._must_list = False
        self._required_revision = None
        self._listing = None
        if news.seconds_since_regained is not None:
            self.regained_at = max(
                self.regained_at, queried_at - news.seconds_since_regained
            )
        items = news.items
        if news.keys is not None:
            items = [*items, *self._find_deleted(news)]
        if self._is_new_epoch(news.revision):
            self._enter_epoch(news.revision, items, now)
        changed = self._apply_changes(items, news.revision, now)
        if news.keys is not None:
            self._changes.reset(self.revision)
        if not news.more:
            self.as_of = max(self.as_of, queried_at - news.age)
            self._carry_over()
        return self._holds.apply(changed, now)

    def _find_deleted(self, news):
        """Return deletions of the items that another instance no longer has."""
        keys = set(news.keys)
        return [
            Item(key, None, self._date_deletion(item, news.revision))
            for key, item in self.items.items()
            if key not in keys and item.revision < news.revision
        ]

    def _date_deletion(self, item, revision):
        """Return the revision of the deletion of an item that is missing at a revision.

        Where the store has returned meanwhile, it counts as lost.
        """
        epoch = get_epoch(revision)
        if get_epoch(item.revision) < epoch:
            return make_return_revision(epoch)
        return revision

    def _carry_over(self):
        """Move the items that the store still has into the present epoch."""
        epoch = get_epoch(self.revision)
        if epoch == self._carried_epoch:
            return
        self._carried_epoch = epoch
        for item in list(self.items.values()):
            if get_epoch(item.revision) < epoch:
                revision = make_revision(epoch, get_number(item.revision))
                self._renumber(item._replace(revision=revision))

    def _renumber(self, item):
        """Replace an item by the same write with its revision of another epoch."""
        self.items[item.key] = item
        self._holds.renumber(item)

    def _apply_items(self, items, now):
        """Apply items to ``items``; return those that changed."""
        changed = []
        for item in items:
            current = self.items.get(item.key)
            if current is not None and current.revision >= item.revision:
                continue
            if current is not None and identify(current) == identify(item):
                self._renumber(item)
                continue
            if item.value is not None:
                self.items[item.key] = item
            elif current is None:
                continue
            else:
                del self.items[item.key]
            if current is not None:
                self._holds.record_replaced(current, now)
            changed.append(item)
        return changed

    def expire_held(self, now):
        """Put what the store has in force where the hold is over; return the items."""
        return self._holds.expire(self.items, self.revision, now)

    def _receive_history_gone(self, reply, sent_at, now):
        self._mark_reachable(now)
        if reply.epoch > get_epoch(self.revision):
            self._plan_listing(reply.epoch, now)
            return []
        self._must_list = True
        self._has_history = False
        self._listing = None
        return []

    def _plan_listing(self, epoch, now):
        """List the items soon if the store has reached a later epoch."""
        if epoch > get_epoch(self.revision):
            # News of an earlier epoch don't replace the list, however fresh they are.
            self._store_epoch = max(self._store_epoch, epoch)
            self._must_list = True
            self._next_call_at = now + self.list_delay

    def _receive_failure(self, reply, sent_at, now):
        self.unreachable = True
        if self.lost_since is None:
            self.lost_since = now
        self._next_call_at = now + self._backoff * self._rng.uniform(0.5, 1.5)
        self._backoff = min(MAX_BACKOFF, self._backoff * 2)
        return []

    def _mark_reachable(self, now):
        if self.lost_since is not None:
            self.regained_at = now
        self.lost_since = None
        self.unreachable = False
        self._backoff = MIN_BACKOFF


RECEIVERS = {
    Page: Mirror._receive_page,
    Changes: Mirror._receive_changes,
    HistoryGone: Mirror._receive_history_gone,
    Unavailable: Mirror._receive_failure,
}
