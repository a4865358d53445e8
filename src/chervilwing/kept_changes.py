"""The changes of one prefix that are kept for other instances."""

from collections import deque

from .store_epochs import get_epoch

# Changes kept for other instances: a reclaim wave takes some hundred upstreams at once,
# and other instances query several times a second.
MAX_CHANGES = 1024
# Bytes of keys and values in one News, so that three prefixes fit into a datagram of a
# few IP fragments. A larger item is read from the store.
MAX_NEWS_BYTES = 1200
# Bytes of keys sent to an instance whose revision is older than the kept changes: the
# keys of a thousand upstreams, or of two hundred where the changes need several News.
# The keys are repeated with each News, and hundreds of instances may start at once.
# More keys would fill the links, and one list call to the store is cheaper.
MAX_KEYS_BYTES = 24_000
MAX_REPEATED_KEYS_BYTES = 4800


class KeptChanges:
    """The latest changes, in the order of their revisions.

    All changes after the revision ``since`` are kept. Items that were created and
    deleted between two lists, or before another instance's list was applied, were never
    seen here. News based on earlier changes would omit their deletion, and other
    instances would keep them for good.
    """

    def __init__(self):
        self._changes = deque()
        self._since = None
        # The revision at which the present epoch was entered, and the last revision
        # known of each earlier one. The kept changes lead from there to the present
        # epoch, but not from any other revision.
        self._entered_at = 0
        self._last_revisions = {}

    def reset(self, revision):
        """Drop the kept changes; keep those after a revision from now on."""
        self._changes.clear()
        self._since = self._entered_at = revision

    def add(self, changed):
        """Keep changes that are later than all before."""
        self._changes.extend(sorted(changed, key=lambda item: item.revision))
        while len(self._changes) > MAX_CHANGES:
            dropped = self._changes.popleft()
            self._since = max(self._since, dropped.revision)

    def enter_epoch(self, last_revision, revision):
        """Record that a revision of a later epoch follows the last one of the epoch."""
        self._last_revisions[get_epoch(last_revision)] = last_revision
        self._entered_at = revision

    def cover(self, revision):
        """Return whether all changes after a revision are kept."""
        if revision < self._since:
            return False
        epoch = get_epoch(revision)
        if epoch == get_epoch(self._entered_at):
            return revision >= self._entered_at
        return revision <= self._last_revisions.get(epoch, -1)

    def select(self, revision, items, keys):
        """Return the changes after a revision that fit, and whether more follow.

        The changes are None where they can't be sent. With ``keys``, the present
        ``items`` are selected instead of the kept changes.
        """
        keys_size = sum(map(len, keys or ()))
        if revision is None or keys_size > MAX_KEYS_BYTES:
            return None, False
        changes = self._changes if keys is None else items
        later = [item for item in changes if item.revision > revision]
        later.sort(key=lambda item: item.revision)
        fitting, size = [], 0
        for item in later:
            size += len(item.key) + len(item.value or b"")
            if size > MAX_NEWS_BYTES:
                break
            fitting.append(item)
        if len(fitting) == len(later):
            return tuple(fitting), False
        if keys_size > MAX_REPEATED_KEYS_BYTES:
            return None, False
        # Changes written by one commit have one revision and are sent together.
        first_left_out = later[len(fitting)].revision
        fitting = [item for item in fitting if item.revision < first_left_out]
        return (tuple(fitting), True) if fitting else (None, False)
