"""The calls on a store of items with revisions, watches and leases, and their replies.

One counter counts the revisions of the whole store upwards.
"""

from typing import NamedTuple


class Item(NamedTuple):
    """One stored item; a value of None tells that it was deleted."""

    key: str
    value: bytes | None
    revision: int


class ListItems(NamedTuple):
    """Ask for the items under a prefix whose keys follow ``after``."""

    prefix: str
    after: str = ""


class WatchItems(NamedTuple):
    """Ask for changes later than a revision, and wait ``wait`` seconds for one."""

    prefix: str
    after: int
    wait: float


class Page(NamedTuple):
    """Items as of a revision of the whole store; ``more`` tells of another page."""

    items: tuple[Item, ...]
    revision: int
    more: bool = False


class Changes(NamedTuple):
    """Items that changed up to a revision of the whole store."""

    items: tuple[Item, ...]
    revision: int


class HistoryGone(NamedTuple):
    """The store no longer has the changes that were asked for."""


class Unavailable(NamedTuple):
    """No answer, or a refusal that says nothing about the items."""

    reason: str = ""


class Commit(NamedTuple):
    """Write and delete all or nothing, if each ``expect`` key is at its revision.

    ``expect`` has pairs of key and revision, 0 for a key that must not exist; ``puts``
    has triples of key, value and lease, 0 for none.
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
    """Ask for a lease of so many seconds."""

    ttl: float


class KeepLease(NamedTuple):
    """Renew a lease."""

    lease: int


class EndLease(NamedTuple):
    """Give a lease back; its items are deleted."""

    lease: int


class Leased(NamedTuple):
    """The lease was given or renewed for so many seconds from its arrival."""

    lease: int
    ttl: float


class LeaseGone(NamedTuple):
    """The store knows no such lease."""
