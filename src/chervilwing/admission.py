"""Admission control: admit work, or refuse it with a cause and a scope."""

from math import sqrt
from typing import NamedTuple

from .exceptions import CustomerLimit, NoUpstream, PoolFull, PoolPaused, Scope

# Predictions err by about a quarter. Work admitted without this margin would often wait
# and then miss its deadline.
WAIT_MARGIN = 1.25
# How long, in seconds, the latency target must be exceeded before the queue counts as
# standing: one that only adds delay (RFC 8289 makes the same distinction). A shorter
# excess is a burst.
STANDING_SECONDS = 0.25
# How long, in seconds, the target must be met before the next excess counts as a new
# burst. Refusals empty the queue for a moment; if that already ended the congestion,
# all work would be admitted again and refill the queue.
QUIET_SECONDS = 10.0
# The wait for one completion is about exponentially distributed; the wait for many is
# close to its mean. More than nine in ten waits are below the mean plus this many
# standard deviations.
WAIT_DEVIATIONS = 1.5
# Bounds of the Retry-After time, in seconds.
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0


class Prediction(NamedTuple):
    """The predicted times of new work, in seconds.

    ``wait`` lasts until it starts, ``first_token`` from the start to the first token,
    and ``service_time`` from the start to the end. ``completions_ahead`` is the number
    of requests that have to complete before it starts.
    """

    wait: float
    completions_ahead: float
    first_token: float
    service_time: float


class Congestion:
    """Track when each band first and last exceeded its latency target."""

    def __init__(self):
        self._periods = {}

    def is_standing(self, band, over_target, now):
        """Record whether work exceeds its target; return whether that has persisted."""
        if not over_target:
            return False
        first, last = self._periods.get(band, (now, now))
        if now - last > QUIET_SECONDS:
            first = now
        self._periods[band] = (first, now)
        return now - first >= STANDING_SECONDS


def compute_retry_after(seconds, excess, rng):
    """Return the Retry-After time in seconds.

    It grows with ``excess``, the ratio of offered to admitted load, and is randomised
    from half to three halves of that. With one constant, all callers would leave and
    return together (RFC 5390, REQ 7).
    """
    randomised = max(MIN_RETRY_AFTER, seconds) * excess * rng.uniform(0.5, 1.5)
    return round(min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, randomised)), 2)


def make_no_upstream_error(pool, retry_after):
    """Return the error for a pool without an available upstream."""
    detail = f"no upstream of pool {pool} takes new work"
    return NoUpstream(detail, scope=Scope("pool", pool), retry_after=retry_after)


def make_customer_limit_error(customer, retry_after):
    """Return the error for a customer whose queue is full."""
    detail = f"the queue of customer {customer} is full"
    scope = Scope("customer", customer)
    return CustomerLimit(detail, scope=scope, retry_after=retry_after)


def make_pool_full_error(pool, retry_after):
    """Return the error for work that would miss its latency target or deadline."""
    detail = f"pool {pool} can't serve the request in time"
    return PoolFull(detail, scope=Scope("pool", pool), retry_after=retry_after)


def make_pool_paused_error(pool, wait, rng):
    """Return the error for work whose deadline passes while all upstreams pause.

    ``wait`` is the time until the first pause ends, in seconds; callers return later.
    """
    detail = f"all upstreams of pool {pool} asked for a pause"
    retry_after = wait * rng.uniform(*PoolPaused.retry_jitter)
    return PoolPaused(detail, scope=Scope("pool", pool), retry_after=retry_after)


def misses_deadline(prediction, work, now):
    """Return whether the answer would be complete only after the deadline."""
    wait = prediction.wait * WAIT_MARGIN
    return now + wait + prediction.service_time > work.deadline


def misses_target(prediction, first_token):
    """Return whether the first token would miss the latency target of the class."""
    completions_ahead = max(1.0, prediction.completions_ahead)
    wait = prediction.wait * (1.0 + WAIT_DEVIATIONS / sqrt(completions_ahead))
    return wait + prediction.first_token > first_token
