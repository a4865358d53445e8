"""Limits that upstreams name in their answers, on what all instances send together."""

from math import inf
from typing import NamedTuple


class NamedLimit(NamedTuple):
    """Requests a second, infinity where the limit has ended, and when that was known.

    A limit is known from the arrival of the answer that names it, its end from the
    sending of the request whose answer doesn't.
    """

    rate: float
    at: float


def read_rate(limit):
    """Return the rate of a NamedLimit, None where there is none."""
    return None if limit is None or limit.rate == inf else limit.rate


class UpstreamLimits:
    """State of the limits known here, by upstream; times are seconds on one clock.

    ``on_change`` is called with an upstream, its limit now and the one before, each
    None where there is none.
    """

    def __init__(self, on_change=lambda upstream, rate, was: None):
        self._on_change = on_change
        self._limits = {}

    def note_answer(self, upstream, limit, sent_at, now):
        """Take what an answer says of its upstream's limit; see Verdict.

        Guard: answers overtake each other. One without a limit ends it only if its
        request was sent after the limit was known; an older one says nothing new.
        """
        if limit is None:
            return
        if limit < inf:
            self._learn(upstream, NamedLimit(limit, now))
        elif upstream in self._limits:
            self._learn(upstream, NamedLimit(inf, sent_at))

    def _learn(self, upstream, limit):
        """Take a limit, unless what is known is younger."""
        known = self._limits.get(upstream)
        if known is not None and limit.at <= known.at:
            return
        self._limits[upstream] = limit
        if known is None or known.rate != limit.rate:
            self._on_change(upstream, read_rate(limit), read_rate(known))

    def count(self):
        """Return how many upstreams have a limit."""
        return sum(limit.rate < inf for limit in self._limits.values())
