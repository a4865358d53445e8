"""Messages between the core and the task that talks to the key-value service."""

from typing import NamedTuple

ABSENT = 0


class Read(NamedTuple):
    """Ask for one key."""

    key: str


class Write(NamedTuple):
    """Compare-and-swap one key; ``expect`` 0 means that it must not exist."""

    key: str
    value: str
    expect: int
    lease: str | None = None


class Watch(NamedTuple):
    """Wait until the key is newer than ``after``, for ``wait`` seconds at most."""

    key: str
    after: int
    wait: float


class Grant(NamedTuple):
    """Ask for a lease of ``ttl`` seconds."""

    ttl: float


class Renew(NamedTuple):
    """Prolong a lease."""

    lease: str


class Found(NamedTuple):
    """The key's value and version."""

    value: str
    version: int


class Missing(NamedTuple):
    """The key or the lease doesn't exist, or the watch saw nothing new."""


class Written(NamedTuple):
    """The write took effect at this version."""

    version: int


class Rejected(NamedTuple):
    """Another writer came first; this is what stands."""

    value: str
    version: int


class Granted(NamedTuple):
    """The lease holds for ``ttl`` seconds from when the request was sent."""

    lease: str
    ttl: float


class Unanswered(NamedTuple):
    """No answer came: a write may or may not have taken effect."""


StoreRequest = Read | Write | Watch | Grant | Renew
StoreReply = Found | Missing | Written | Rejected | Granted | Unanswered


class StoreCall(NamedTuple):
    """Send the request; hand the reply back with the token, ``Unanswered`` if none."""

    token: str
    request: StoreRequest


class Forward(NamedTuple):
    """Send a message to another entry instance; nothing tells whether it arrives."""

    instance: str
    message: NamedTuple
