"""Capacity reserved for callers that were refused and return at a stated time."""

from collections import deque
from typing import NamedTuple

from ..queues import BANDS

# Seconds after the stated time at which an unused reservation expires.
EXPIRES_AFTER = 1.0
# A caller that returns at most this many seconds early is in time: its clock, the
# rounding of Retry-After to milliseconds and the path account for that.
EARLY_TOLERANCE = 0.02
# Fraction of the capacity that may be reserved for each band. Most returning callers
# have missed their latency target, and a twentieth of the engines' time may be spent
# on work that isn't in time.
RESERVED_SHARE = 0.05
# Callers wait at most this fraction of the time that they have left.
MAX_WAIT_PART = 1 / 3
# Shortest stated time, in seconds; queues change little in less.
MIN_RETRY_AFTER = 0.1
# Seconds over which the returns of callers without a reservation are spread, and the
# part of it between two of them, which spreads any number evenly.
SPREAD = 1.0
GOLDEN_RATIO = 0.618


class Reservation(NamedTuple):
    """What a refused caller was told; times are seconds on one clock.

    ``target_at`` is when the latency target passes, counted from the caller's first
    try. ``reserved`` is false if no capacity is expected while the caller waits.
    """

    at: float
    target_at: float
    band: int
    reserved: bool


class Reservations:
    """Reservations of one pool by request fingerprint."""

    def __init__(self):
        self._by_fingerprint = {}
        self._expiries = deque()
        # By band, the time from which further capacity may be reserved.
        self._next_at = [0.0] * len(BANDS)
        self._phase = 0.0

    def __len__(self):
        return len(self._by_fingerprint)

    def find(self, fingerprint):
        """Return the Reservation of a request, or None."""
        return self._by_fingerprint.get(fingerprint)

    def take(self, fingerprint):
        """Remove a reservation that is used."""
        self._by_fingerprint.pop(fingerprint, None)

    def add(self, request, wait, rate, now):
        """Reserve capacity for a refused request and return its Reservation.

        ``wait`` is the seconds until capacity is expected, and ``rate`` the prompt
        tokens per second that the pool prefills. Less urgent requests are told times
        after the reservations of more urgent ones.
        """
        at = max(now + max(wait, MIN_RETRY_AFTER), *self._next_at[: request.band + 1])
        reserved = at <= now + (request.deadline - now) * MAX_WAIT_PART
        if reserved:
            seconds = request.cost / max(1.0, rate * RESERVED_SHARE)
            self._next_at[request.band] = at + seconds
        else:
            self._phase = (self._phase + GOLDEN_RATIO) % 1.0
            at += self._phase * SPREAD
        item = Reservation(at, request.target_at, request.band, reserved)
        if request.fingerprint:
            self._by_fingerprint[request.fingerprint] = item
            self._expiries.append((at + EXPIRES_AFTER, request.fingerprint))
        return item

    def expire(self, now):
        """Remove unused reservations; return the bands of those that were reserved."""
        bands = []
        # Entries are nearly in order of time; one behind a later one is kept longer.
        while self._expiries and now >= self._expiries[0][0]:
            at, fingerprint = self._expiries.popleft()
            item = self._by_fingerprint.get(fingerprint)
            if item is not None and item.at + EXPIRES_AFTER <= at:
                del self._by_fingerprint[fingerprint]
                if item.reserved:
                    bands.append(item.band)
        return bands
