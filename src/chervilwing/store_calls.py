"""The calls on a store of items with revisions, watches and leases, and their replies.

A revision is a number that grows with each write to the whole store, and with each
return of the store from a copy; see ``store_epochs``.
"""

from typing import NamedTuple


class Item(NamedTuple):
    """One stored item; a value of None means that it was deleted."""

    key: str
    value: bytes | None
    revision: int


class ListItems(NamedTuple):
    """List the items under a prefix whose keys sort after ``after``.

    A ``stale`` list may be some seconds old. It costs the store less.
    """

    prefix: str
    after: str = ""
    stale: bool = False


class WatchItems(NamedTuple):
    """Request changes later than a revision; wait up to ``wait`` seconds for one."""

    prefix: str
    after: int
    wait: float


class Page(NamedTuple):
    """Items as of a revision of the whole store; ``more`` if another page follows."""

    items: tuple[Item, ...]
    revision: int
    more: bool = False


class Changes(NamedTuple):
    """Items that changed up to a revision of the whole store."""

    items: tuple[Item, ...]
    revision: int


class HistoryGone(NamedTuple):
    """The store, in its present epoch, doesn't have the requested changes."""

    epoch: int = 0


class Unavailable(NamedTuple):
    """No reply, or an error that says nothing about the items."""

    reason: str = ""


class Commit(NamedTuple):
    """Write and delete all or nothing, if each ``expect`` key is at its revision.

    ``expect`` has pairs of key and revision, 0 for a key that must not exist; ``puts``
    has triples of key, value and lease, 0 for no lease.
    """

    expect: tuple[tuple[str, int], ...] = ()
    puts: tuple[tuple[str, bytes, int], ...] = ()
    deletes: tuple[str, ...] = ()


class Committed(NamedTuple):
    """The writes took effect at this revision of the store."""

    revision: int


class Conflict(NamedTuple):
    """A key was at another revision; nothing was written."""


class TakeLease(NamedTuple):
    """Request a lease of ``ttl`` seconds."""

    ttl: float


class KeepLease(NamedTuple):
    """Renew a lease."""

    lease: int


class EndLease(NamedTuple):
    """End a lease; its items are deleted."""

    lease: int


class Leased(NamedTuple):
    """The lease was granted or renewed for ``ttl`` seconds from the call's arrival."""

    lease: int
    ttl: float


class LeaseGone(NamedTuple):
    """The store has no such lease."""
