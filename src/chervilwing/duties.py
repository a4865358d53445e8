"""The calls of the duties that one instance has at a time, and their replies."""

from typing import NamedTuple


class ReportUsage(NamedTuple):
    """Report the counts of one window."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int
    send_before: float


class OrderInstances(NamedTuple):
    """Order so many instances of one kind for a pool in a data centre."""

    pool: str
    data_centre: str
    count: int
    reclaimable: bool
    holder: str
    fence: int
    send_before: float


class Accepted(NamedTuple):
    """The platform took the call."""


class Denied(NamedTuple):
    """The platform has no such instances at the moment."""

    text: str


class Outdated(NamedTuple):
    """The platform saw a higher fencing number."""

    text: str


class NoAnswer(NamedTuple):
    """No answer, or one that says nothing; the call may take effect later."""

    status: int
