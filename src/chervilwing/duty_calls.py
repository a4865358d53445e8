"""The platform calls that only the holder of the duties makes, and their replies."""

from typing import NamedTuple


class ReportUsage(NamedTuple):
    """Report one window's request counts by organisation."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int
    send_before: float


class OrderInstances(NamedTuple):
    """Order ``count`` machines, reclaimable or not, for a pool in a data centre."""

    pool: str
    data_centre: str
    count: int
    reclaimable: bool
    holder: str
    fence: int
    send_before: float


class Accepted(NamedTuple):
    """The platform accepted the call."""


class Denied(NamedTuple):
    """The platform has no such machines at present."""

    text: str


class Outdated(NamedTuple):
    """The platform has seen a higher fencing number."""

    text: str


class NoAnswer(NamedTuple):
    """No reply, or one that is inconclusive; the call may take effect later."""

    status: int
