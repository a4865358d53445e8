"""The rules for another attempt after one that brought no whole answer."""

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

# With two tries after the first, one lost upstream and one lost successor are
# survived; a request that meets a third is more likely their cause.
MAX_ATTEMPTS = 3


class RetryRule(NamedTuple):
    """What an outcome says about trying again."""

    not_run: bool
    again: bool
    budgeted: bool
    elsewhere: bool
    same_if_alone: bool = False


# EXHAUSTED names a resource that the siblings share, so that none of them is
# asked (RFC 5390: retries at siblings of a full server made 18 requests of one).
# LEAVING costs no budget: moves of accepted work are bounded by what was running.
# PATH neither, and where there is no other it goes to the same upstream, which has just
# answered on a new connection. Not by choice: one whose work hangs may answer probes.
RULES = {
    BUSY: RetryRule(not_run=True, again=True, budgeted=True, elsewhere=False),
    EXHAUSTED: RetryRule(not_run=True, again=False, budgeted=True, elsewhere=False),
    FAILED: RetryRule(not_run=False, again=True, budgeted=True, elsewhere=True),
    SILENT: RetryRule(not_run=False, again=True, budgeted=True, elsewhere=True),
    PATH: RetryRule(False, True, budgeted=False, elsewhere=True, same_if_alone=True),
    LEAVING: RetryRule(not_run=False, again=True, budgeted=False, elsewhere=True),
    CANCELLED: RetryRule(not_run=False, again=False, budgeted=False, elsewhere=False),
}


def count_attempt(rule, work, upstream):
    """Return the work as it goes into its next attempt."""
    excluded = work.excluded | {upstream} if rule.elsewhere else work.excluded
    return work._replace(excluded=excluded, attempts=work.attempts + 1)


def may_repeat(rule, work):
    """Tell whether another attempt is safe and allowed at all."""
    safe = rule.not_run or work.idempotent
    return rule.again and safe and work.attempts < MAX_ATTEMPTS


def find_outcome(rule):
    """Return what may be said about the request: not run, or unknown."""
    return NOT_RUN if rule.not_run else UNKNOWN


def refuse_repeat(rule, work, upstream, retry_after):
    """Return the failure for an attempt that isn't repeated."""
    if rule.not_run:
        detail = f"upstream {upstream} and those that share its limit are full"
        scope = Scope("pool", work.pool)
        return PoolFull(detail, scope=scope, retry_after=retry_after)
    detail = f"upstream {upstream} broke off and the request isn't repeated"
    scope = Scope("upstream", upstream)
    return UpstreamFailed(detail, scope=scope, retry_after=retry_after)


def refuse_spent(rule, work, retry_after):
    """Return the failure for a customer or pool whose retry budget is spent."""
    if rule.not_run:
        detail = f"the retry budget for pool {work.pool} is spent"
        scope = Scope("pool", work.pool)
        return PoolFull(detail, scope=scope, retry_after=retry_after)
    detail = f"the retry budget of customer {work.customer} is spent"
    scope = Scope("customer", work.customer)
    return CustomerLimit(
        detail, scope=scope, retry_after=retry_after, outcome=find_outcome(rule)
    )


def refuse_late(rule, work, retry_after):
    """Return the failure for work whose deadline leaves no time to try again."""
    detail = "no time is left for another attempt"
    scope = Scope("pool", work.pool)
    return DeadlinePassed(
        detail, scope=scope, retry_after=retry_after, outcome=find_outcome(rule)
    )
