"""The decision at the door: let work in, or refuse it with cause and scope."""

from math import sqrt
from typing import NamedTuple

from .exceptions import CustomerLimit, NoUpstream, PoolFull, Scope

# Predictions err by about a quarter in the measured loads; a request let in at
# the very edge would be given up on after it had waited.
MARGIN = 1.25
# A queue that stays over the latency target this long is a standing queue, which
# only adds delay (RFC 8289 makes the same difference); a shorter one is a burst.
STANDING = 0.25
# Only this long without one makes the next one a new burst: refusals empty the
# queue for a moment, and letting all in again then would fill it up every time.
QUIET = 10.0
# A wait for one request to end spreads like an exponential, a wait for many is close
# to its mean; this many deviations are over nine in ten.
DEVIATIONS = 1.5
SHORTEST_RETRY = 0.5
LONGEST_RETRY = 60.0


class Prospect(NamedTuple):
    """What new work would meet: seconds of waiting, to first token, to the end.

    ``ends`` is how many requests have to end before it starts.
    """

    wait: float
    ends: float
    first_token: float
    service: float


class Congestion:
    """When each band of work first and last met more than its latency target."""

    def __init__(self):
        self._spells = {}

    def is_standing(self, key, over, now):
        """Take note whether work is over its target; tell if that has lasted."""
        if not over:
            return False
        first, last = self._spells.get(key, (now, now))
        if now - last > QUIET:
            first = now
        self._spells[key] = (first, now)
        return now - first >= STANDING


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
    ends = max(1.0, prospect.ends)
    wait = prospect.wait * (1.0 + DEVIATIONS / sqrt(ends))
    return wait + prospect.first_token > first_token
