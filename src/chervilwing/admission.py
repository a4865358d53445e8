"""The decision at the door: let work in, or refuse it with cause and scope."""

from math import exp
from typing import NamedTuple

from .exceptions import CustomerLimit, NoUpstream, PoolFull, Scope

# Predictions err by about a quarter in the measured loads; a request let in at
# the very edge would be given up on after it had waited.
MARGIN = 1.25
# A queue that stays over the latency target this long is a standing queue, which
# only adds delay (RFC 8289 makes the same difference); a shorter one is a burst.
STANDING = 3.0
# Part of the first-token target that may be spent waiting.
WAITING_PART = 0.7
SHORTEST_RETRY = 0.5
LONGEST_RETRY = 60.0
# Seconds over which offered and admitted work are compared.
MEMORY = 5.0


class Prospect(NamedTuple):
    """What new work would meet, in seconds: waiting, first token, whole answer."""

    wait: float
    first_token: float
    service: float


class Flowmeter:
    """Offered and admitted work of a pool, older work counting for less."""

    def __init__(self):
        self._offered = 0.0
        self._admitted = 0.0
        self._at = 0.0

    def record(self, cost, admitted, now):
        """Count one piece of work."""
        fade = exp(-max(0.0, now - self._at) / MEMORY)
        self._at = now
        self._offered = self._offered * fade + cost
        self._admitted = self._admitted * fade + (cost if admitted else 0.0)

    def measure_excess(self):
        """Return offered over admitted work, from 1 up to 20."""
        if self._admitted <= 0:
            return 1.0
        return min(20.0, max(1.0, self._offered / self._admitted))


class Congestion:
    """Since when each customer's class has met more than its latency target."""

    def __init__(self):
        self._since = {}

    def is_standing(self, key, over, now):
        """Take note whether work is over its target; tell if that has lasted."""
        if not over:
            self._since.pop(key, None)
            return False
        return now - self._since.setdefault(key, now) >= STANDING


def grade_retry(seconds, excess, rng):
    """Return when to come back, in seconds.

    It grows with how far the offered load is over what is admitted, and is spread
    over one to three halves of that. RFC 5390 REQ 7: with one constant for all,
    everyone leaves and comes back together.
    """
    graded = max(SHORTEST_RETRY, seconds) * excess * rng.uniform(0.5, 1.5)
    return round(min(LONGEST_RETRY, max(SHORTEST_RETRY, graded)), 2)


def refuse_no_upstream(pool, retry_after):
    """Return the failure for a pool with nothing to send to."""
    detail = f"no upstream of pool {pool} takes new work"
    return NoUpstream(detail, scope=Scope("pool", pool), retry_after=retry_after)


def refuse_customer(customer, retry_after):
    """Return the failure for a customer whose own queue is full."""
    detail = f"the queue of customer {customer} is full"
    scope = Scope("customer", customer)
    return CustomerLimit(detail, scope=scope, retry_after=retry_after)


def refuse_pool(pool, retry_after):
    """Return the failure for work that the pool can't do in time."""
    detail = f"pool {pool} can't meet the deadline"
    return PoolFull(detail, scope=Scope("pool", pool), retry_after=retry_after)


def is_too_late(prospect, work, now):
    """Tell whether the whole answer would come after the deadline."""
    wait = prospect.wait * MARGIN
    return now + wait + prospect.service > work.deadline


def is_over_target(prospect, first_token):
    """Tell whether the first token would come later than the class is promised."""
    return prospect.wait > WAITING_PART * max(0.0, first_token - prospect.first_token)
