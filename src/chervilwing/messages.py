"""Requests to the key-value service, its replies, and messages to other instances."""

from typing import NamedTuple

# The version of a key that doesn't exist.
ABSENT = 0


class Read(NamedTuple):
    """Read one key."""

    key: str


class Write(NamedTuple):
    """Write a key if its version is ``expect``; with 0 the key must not exist."""

    key: str
    value: str
    expect: int
    lease: str | None = None


class Watch(NamedTuple):
    """Wait until the key's version is above ``after``, at most ``wait`` seconds."""

    key: str
    after: int
    wait: float


class Grant(NamedTuple):
    """Request a lease of ``ttl`` seconds."""

    ttl: float


class Renew(NamedTuple):
    """Renew a lease."""

    lease: str


class Found(NamedTuple):
    """Report a key's value and version."""

    value: str
    version: int


class Missing(NamedTuple):
    """Report that the key or lease doesn't exist, or that a watch timed out."""


class Written(NamedTuple):
    """Confirm a write; ``version`` is the key's new version."""

    version: int


class Rejected(NamedTuple):
    """Report a version conflict, with the key's current value and version."""

    value: str
    version: int


class Granted(NamedTuple):
    """Grant a lease that is valid for ``ttl`` seconds from sending the request."""

    lease: str
    ttl: float


class Unanswered(NamedTuple):
    """Report that no reply came; a write may or may not have taken effect."""


StoreRequest = Read | Write | Watch | Grant | Renew
StoreReply = Found | Missing | Written | Rejected | Granted | Unanswered


class StoreCall(NamedTuple):
    """Send a request to the store; its reply is passed back with the token."""

    token: str
    request: StoreRequest


class Forward(NamedTuple):
    """Send a message to another entry instance, without confirmation of delivery."""

    instance: str
    message: NamedTuple
