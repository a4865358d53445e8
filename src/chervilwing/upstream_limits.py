"""Request rate limits that upstreams state in their answers.

A limit covers the requests of all instances together. The instances share it as they
share a customer's allowance: the instance that chooses an upstream spends credit for
one request, and credit moves to the instances that ask for it. Limits are sent along
with claims for credit and the answers to them.
"""

from math import inf
from typing import NamedTuple

# Units of credit that one request costs. Credit moves between instances in whole units,
# and hundreds of instances may share one request per second.
REQUEST_COST = 10_000
# Seconds of a limit that may be saved up, but at least one request. Requests arrive
# unevenly, and an overloaded upstream must not receive too many at once.
BURST_TIME = 0.25
# Requests per second that are sent to an upstream even if its limit is lower; otherwise
# no instance would learn that a limit of zero has ended.
MIN_RATE = 0.2
# Seconds for which an instance keeps asking for credit after it was short of some.
SEEK_TIME = 1.0
# Seconds for which the end of a limit is reported, so that all instances receive it.
KEEP_ENDED_FOR = 10.0
# Seconds for which a limit is kept after its upstream's registration has lapsed. A
# registration may lapse while the store is unavailable, although the upstream runs.
KEEP_UNREGISTERED_FOR = 30.0
# Seconds between two checks for expired limits.
EXPIRE_INTERVAL = 1.0
# Least and greatest number of seconds until a refused caller may retry.
MIN_RETRY_AFTER = 0.25
MAX_RETRY_AFTER = 5.0
NO_UPSTREAMS = frozenset()


class NamedLimit(NamedTuple):
    """A limit in requests per second, and the time from which it holds.

    ``rate`` is infinity if the limit has ended. ``at`` is the arrival time of the
    answer that stated the limit, or the sending time of the request whose answer stated
    none.
    """

    rate: float
    at: float


class Account(NamedTuple):
    """An upstream's limit as an allowance, in units of credit per second."""

    name: str
    rate: float
    burst: float


def make_account(upstream, rate):
    """Return the Account of an upstream with a limit in requests per second."""
    rate = max(MIN_RATE, rate)
    burst = max(1.0, rate * BURST_TIME)
    return Account(f"upstream:{upstream}", rate * REQUEST_COST, burst * REQUEST_COST)


def read_rate(limit):
    """Return the rate of a NamedLimit, or None if there is no limit."""
    return None if limit is None or limit.rate == inf else limit.rate


class UpstreamLimits:
    """Upstreams' limits known to this instance; times are seconds on one clock.

    ``on_change`` is called with an upstream's name, its new limit and its previous one,
    in requests per second or None for no limit.
    """

    def __init__(self, allowances, on_change=lambda upstream, rate, was: None):
        self._allowances = allowances
        self._on_change = on_change
        self._limits = {}
        # The Account of each upstream that has a limit now.
        self._accounts = {}
        self._registered_at = {}
        self._next_expire = float("-inf")

    def record_answer(self, upstream, limit, sent_at, now):
        """Update an upstream's limit from an answer.

        ``limit`` is that of dialects.AnswerStatus: infinity if the answer states that
        there is no limit, and None if it states nothing. Answers may overtake each
        other, so an answer without a limit ends a limit only if its request was sent
        after the limit became known.
        """
        if limit is None:
            return
        if limit < inf:
            self._update(upstream, NamedLimit(limit, now), now)
        elif upstream in self._limits:
            self._update(upstream, NamedLimit(inf, sent_at), now)

    def record_restart(self, upstream, now):
        """End the limit of an upstream that has restarted."""
        if upstream in self._limits:
            self._update(upstream, NamedLimit(inf, now), now)

    def list_reports(self, now):
        """Return the limits to report: triples of upstream, rate and age in seconds."""
        return [(name, limit.rate, now - limit.at) for name, limit in self._items()]

    def merge_reports(self, reported, now):
        """Merge the limits that another instance's ``list_reports`` returned."""
        for upstream, rate, age in reported:
            if rate < inf or upstream in self._limits:
                self._update(upstream, NamedLimit(rate, now - age), now)

    def is_limited(self, upstream):
        """Return whether an upstream has a limit."""
        return upstream in self._accounts

    def list_exhausted(self, upstream_states, now):
        """Return the names of the upstreams whose limit allows no further request."""
        if not self._accounts:
            return NO_UPSTREAMS
        limited = upstream_states.keys() & self._accounts.keys()
        return {name for name in limited if not self._has_credit(name, now)}

    def request_credit(self, upstreams, now):
        """Ask for credit for these upstreams with the next claims.

        Only the instance that chooses for all may call this. A request that no upstream
        has credit for is tried at several instances; if each of them asked, credit for
        one request per second would lie where the next request doesn't arrive, and the
        limits would not be used up.
        """
        for upstream in upstreams:
            account = self._accounts[upstream]
            self._allowances.request_credit(account, REQUEST_COST, now + SEEK_TIME)

    def _has_credit(self, upstream, now):
        return self._allowances.has_credit(self._accounts[upstream], REQUEST_COST, now)

    def charge(self, upstream, now):
        """Spend credit for one request; return False if there was not enough."""
        account = self._accounts.get(upstream)
        return account is None or self._allowances.charge(account, REQUEST_COST, now)

    def get_retry_after(self, names):
        """Return the seconds until one of the upstreams has credit for a request.

        Return None if none of them has a limit.
        """
        limited = names & self._accounts.keys()
        if not limited:
            return None
        rate = sum(self._accounts[upstream].rate for upstream in limited)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, REQUEST_COST / rate))

    def expire(self, members, now):
        """Remove ended limits, and limits of upstreams that are no longer registered.

        ``members`` are the names of the registered upstreams.
        """
        if now < self._next_expire:
            return
        self._next_expire = now + EXPIRE_INTERVAL
        for upstream, limit in list(self._items()):
            if upstream in members:
                self._registered_at[upstream] = now
            keep_for, since = (
                KEEP_UNREGISTERED_FOR,
                max(limit.at, self._registered_at.get(upstream, limit.at)),
            )
            if limit.rate == inf:
                keep_for, since = KEEP_ENDED_FOR, limit.at
            if now - since > keep_for:
                self._forget(upstream)

    def count(self):
        """Return how many upstreams have a limit."""
        return len(self._accounts)

    def _items(self):
        return self._limits.items()

    def _update(self, upstream, limit, now):
        """Store a limit unless a newer one is known."""
        current = self._limits.get(upstream)
        if current is not None and limit.at <= current.at:
            return
        self._limits[upstream] = limit
        if current is not None and current.rate == limit.rate:
            return
        if limit.rate < inf:
            account = self._accounts[upstream] = make_account(upstream, limit.rate)
            self._allowances.set_limit(account, now)
        else:
            self._lift(upstream)
        self._on_change(upstream, read_rate(limit), read_rate(current))

    def _lift(self, upstream):
        account = self._accounts.pop(upstream, None)
        if account is not None:
            self._allowances.remove_limit(account)

    def _forget(self, upstream):
        self._lift(upstream)
        del self._limits[upstream]
        self._registered_at.pop(upstream, None)
