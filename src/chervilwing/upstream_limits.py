"""Limits that upstreams name in their answers, on what all instances send together.

Each limit is an allowance that the instances share like a customer's: whoever chooses
an upstream spends credit for one request, and credit is passed on to where it is asked
for. Limits are told with the claims for credit and the answers to them.
"""

from math import inf
from typing import NamedTuple

# What one request costs, in units of credit. Those are whole when they are passed on,
# and hundreds of instances may share one request a second.
REQUEST = 10_000
# Seconds of a limit that may be saved up, but one request at least. Load: requests come
# unevenly. Harm: more is sent at once than an upstream in need can bear.
SAVED_FOR = 0.25
# Fewest requests a second that are sent to an upstream, whatever it names: nobody would
# learn that a limit of nothing has ended.
LEAST_RATE = 0.2
# Seconds for which an instance asks for credit after it could have used some.
SOUGHT_FOR = 1.0
# Seconds for which the end of a limit is told: all instances hear of it meanwhile.
ENDED_KEPT = 10.0
# Seconds for which a limit outlasts its upstream's registration, which may lapse while
# the store is away.
GONE_KEPT = 30.0
# Seconds between two looks for limits to forget.
EXPIRE_EVERY = 1.0
# Bounds of the seconds until a refused caller may come back.
SHORTEST_RETRY = 0.25
LONGEST_RETRY = 5.0
NONE = frozenset()


class NamedLimit(NamedTuple):
    """Requests a second, infinity where the limit has ended, and when that was known.

    A limit is known from the arrival of the answer that names it, its end from the
    sending of the request whose answer doesn't.
    """

    rate: float
    at: float


class Account(NamedTuple):
    """An upstream's limit as an allowance, in units of credit."""

    name: str
    rate: float
    burst: float


def make_account(upstream, rate):
    """Return the Account of an upstream that takes so many requests a second."""
    rate = max(LEAST_RATE, rate)
    burst = max(1.0, rate * SAVED_FOR)
    return Account(f"upstream:{upstream}", rate * REQUEST, burst * REQUEST)


def read_rate(limit):
    """Return the rate of a NamedLimit, None where there is none."""
    return None if limit is None or limit.rate == inf else limit.rate


class UpstreamLimits:
    """State of the limits known here, by upstream; times are seconds on one clock.

    ``on_change`` is called with an upstream, its limit now and the one before, each
    None where there is none.
    """

    def __init__(self, allowances, on_change=lambda upstream, rate, was: None):
        self._allowances = allowances
        self._on_change = on_change
        self._limits = {}
        # The Account of each upstream that has a limit now.
        self._accounts = {}
        self._seen = {}
        self._expire_at = float("-inf")

    def note_answer(self, upstream, limit, sent_at, now):
        """Take what an answer says of its upstream's limit; see Verdict.

        Guard: answers overtake each other. One without a limit ends it only if its
        request was sent after the limit was known; an older one says nothing new.
        """
        if limit is None:
            return
        if limit < inf:
            self._learn(upstream, NamedLimit(limit, now), now)
        elif upstream in self._limits:
            self._learn(upstream, NamedLimit(inf, sent_at), now)

    def note_restarted(self, upstream, now):
        """Forget the limit of an upstream that has started again."""
        if upstream in self._limits:
            self._learn(upstream, NamedLimit(inf, now), now)

    def list_told(self, now):
        """Return what other instances are told: upstream, rate and seconds since."""
        return [(name, limit.rate, now - limit.at) for name, limit in self._items()]

    def hear(self, told, now):
        """Take what another instance knows, as ``list_told`` returned it there."""
        for upstream, rate, age in told:
            if rate < inf or upstream in self._limits:
                self._learn(upstream, NamedLimit(rate, now - age), now)

    def is_limited(self, upstream):
        """Tell whether an upstream has a limit."""
        return upstream in self._accounts

    def list_exhausted(self, stations, now):
        """Return the names of the stations that have no room for one more request."""
        if not self._accounts:
            return NONE
        limited = stations.keys() & self._accounts.keys()
        return {name for name in limited if not self._covers(name, now)}

    def seek(self, upstreams, now):
        """Ask for credit for these upstreams with the next claims.

        Only who chooses for others may. Load: a request that is refused for all looks
        once more at each instance. Harm: credit for one request a second lay where the
        next one doesn't come, and the limits weren't used.
        """
        for upstream in upstreams:
            account = self._accounts[upstream]
            self._allowances.seek(account, REQUEST, now + SOUGHT_FOR)

    def _covers(self, upstream, now):
        return self._allowances.covers(self._accounts[upstream], REQUEST, now)

    def charge(self, upstream, now):
        """Spend one request of an upstream's limit; tell whether there was room."""
        account = self._accounts.get(upstream)
        return account is None or self._allowances.charge(account, REQUEST, now)

    def measure_wait(self, stations):
        """Return seconds until one of the stations has room, None without a limit."""
        limited = stations.keys() & self._accounts.keys()
        if not limited:
            return None
        rate = sum(self._accounts[upstream].rate for upstream in limited)
        return min(LONGEST_RETRY, max(SHORTEST_RETRY, REQUEST / rate))

    def expire(self, members, now):
        """Forget what ended, and limits of upstreams that are no members any more."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_EVERY
        for upstream, limit in list(self._items()):
            if upstream in members:
                self._seen[upstream] = now
            kept, since = GONE_KEPT, max(limit.at, self._seen.get(upstream, limit.at))
            if limit.rate == inf:
                kept, since = ENDED_KEPT, limit.at
            if now - since > kept:
                self._forget(upstream)

    def count(self):
        """Return how many upstreams have a limit."""
        return len(self._accounts)

    def _items(self):
        return self._limits.items()

    def _learn(self, upstream, limit, now):
        """Take a limit, unless what is known is younger."""
        known = self._limits.get(upstream)
        if known is not None and limit.at <= known.at:
            return
        self._limits[upstream] = limit
        if known is not None and known.rate == limit.rate:
            return
        if limit.rate < inf:
            account = self._accounts[upstream] = make_account(upstream, limit.rate)
            self._allowances.set_limit(account, now)
        else:
            self._lift(upstream)
        self._on_change(upstream, read_rate(limit), read_rate(known))

    def _lift(self, upstream):
        account = self._accounts.pop(upstream, None)
        if account is not None:
            self._allowances.lift_limit(account)

    def _forget(self, upstream):
        self._lift(upstream)
        del self._limits[upstream]
        self._seen.pop(upstream, None)
