"""Rules for another attempt after one that returned no complete answer."""

from typing import NamedTuple

from .exceptions import (
    NOT_RUN,
    UNKNOWN,
    CustomerLimit,
    DeadlinePassed,
    PoolFull,
    Scope,
    UpstreamFailed,
)
from .work import BUSY, CANCELLED, EXHAUSTED, FAILED, LEAVING, PATH, SILENT

# Two retries survive the loss of one upstream and of one successor. A request that
# fails a third time is more likely the cause itself.
MAX_ATTEMPTS = 3


class RetryRule(NamedTuple):
    """Whether and how a request is retried after an outcome.

    ``not_run``: the upstream didn't start the request. ``retryable``: another attempt
    is allowed. ``budgeted``: it uses the retry budgets. ``excludes``: it must not go to
    the same upstream; with ``reuse_if_only``, it may if there is no other.
    ``counts_attempt``: the attempt counts towards MAX_ATTEMPTS.
    """

    not_run: bool
    retryable: bool
    budgeted: bool
    excludes: bool
    reuse_if_only: bool = False
    counts_attempt: bool = True


# EXHAUSTED: a resource that the other upstreams share is used up, so none of them is
# tried (RFC 5390: retries at siblings of a full server turned one request into 18).
# LEAVING uses no budget, because the number of running requests bounds the moves of
# accepted work.
# PATH: old connections to the upstream are silent, although it has just answered on a
# new one. A retry uses no budget. It prefers another upstream, because an upstream may
# answer probes while its work hangs, but uses the same one if there is no other.
RULES = {
    BUSY: RetryRule(not_run=True, retryable=True, budgeted=True, excludes=False),
    EXHAUSTED: RetryRule(not_run=True, retryable=False, budgeted=True, excludes=False),
    FAILED: RetryRule(not_run=False, retryable=True, budgeted=True, excludes=True),
    SILENT: RetryRule(not_run=False, retryable=True, budgeted=True, excludes=True),
    PATH: RetryRule(False, True, budgeted=False, excludes=True, reuse_if_only=True),
    LEAVING: RetryRule(
        not_run=False,
        retryable=True,
        budgeted=False,
        excludes=True,
        counts_attempt=False,
    ),
    CANCELLED: RetryRule(
        not_run=False, retryable=False, budgeted=False, excludes=False
    ),
}


def count_attempt(rule, work, upstream):
    """Return the work with the ended attempt counted."""
    excluded = work.excluded | {upstream} if rule.excludes else work.excluded
    return work._replace(
        excluded=excluded,
        attempts=work.attempts + 1,
        moves=work.moves + (not rule.counts_attempt),
    )


def may_retry(rule, work):
    """Return whether another attempt is safe and allowed.

    A reclaim wave may take one engine after the other. If moves counted as attempts, a
    long request would be refused although no upstream failed. Each move leaves its
    upstream for good, so there are no more moves than upstreams.
    """
    safe = rule.not_run or work.idempotent
    return rule.retryable and safe and work.attempts - work.moves < MAX_ATTEMPTS


def get_outcome(rule):
    """Return the outcome to report for the request: not run, or unknown."""
    return NOT_RUN if rule.not_run else UNKNOWN


def make_not_retried_error(rule, work, upstream, retry_after):
    """Return the error for an attempt that isn't retried."""
    if rule.not_run:
        detail = f"upstream {upstream} has no capacity and the request isn't retried"
        scope = Scope("pool", work.pool)
        return PoolFull(detail, scope=scope, retry_after=retry_after)
    detail = f"upstream {upstream} failed and the request isn't retried"
    scope = Scope("upstream", upstream)
    return UpstreamFailed(detail, scope=scope, retry_after=retry_after)


def make_retry_budget_error(rule, work, retry_after):
    """Return the error for a retry beyond the customer's or the pool's budget."""
    if rule.not_run:
        detail = f"the retry budget for pool {work.pool} is spent"
        scope = Scope("pool", work.pool)
        return PoolFull(detail, scope=scope, retry_after=retry_after)
    detail = f"the retry budget of customer {work.customer} is spent"
    scope = Scope("customer", work.customer)
    return CustomerLimit(
        detail, scope=scope, retry_after=retry_after, outcome=get_outcome(rule)
    )


def make_too_late_error(rule, work, retry_after):
    """Return the error for work whose deadline leaves no time for a retry."""
    detail = "no time is left for another attempt"
    scope = Scope("pool", work.pool)
    return DeadlinePassed(
        detail, scope=scope, retry_after=retry_after, outcome=get_outcome(rule)
    )
