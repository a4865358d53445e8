"""Roll-out of a new version of a pool's upstreams, with a trial and a rollback.

An operator orders that a pool's work moves to a new version by a deadline. During the
trial the new version gets a small fraction of the requests, drawn at random for each
request, so that the fraction is bounded without coordination. The instance that holds
the duty lease evaluates the answers that all instances received and writes its decision
to the store; a decision never returns to an earlier state. docs/design/ROLLOUTS.md has
the bound, the statistical test and the alternatives.
"""

from math import comb
from typing import NamedTuple

import msgspec
from msgspec.structs import replace

from .exceptions import DECODE_ERRORS, BadConfiguration
from .instance_reports import add_growth
from .store_calls import Commit
from .store_epochs import get_epoch, get_number

DECISIONS = "chervilwing/instances-rollouts/"
# Kinds of totals, named after the fields of Answers to which they are added.
COUNT_FIELD, BAD_FIELD = "count", "bad"
# States of a decision, and for each the states that may follow it.
RUNNING, SHIFTING = "running", "shifting"
COMPLETED, ROLLED_BACK = "completed", "rolled_back"
NEXT_STATES = {
    RUNNING: (SHIFTING, COMPLETED, ROLLED_BACK),
    SHIFTING: (COMPLETED, ROLLED_BACK),
    COMPLETED: (),
    ROLLED_BACK: (),
}
# Fraction of the requests that a version on trial gets. Operators tolerate a tenth; as
# it is drawn for each request, the fraction stays below that for any number of requests
# and instances.
TRIAL_FRACTION = 0.04
# Requests that may reach a bad version by the deadline: this fraction of all requests
# plus this number.
EXPOSED_FRACTION = 0.1
EXPOSED_ALLOWANCE = 40
# Age in seconds from which the known decisions are too old to send trial requests.
MAX_DECISION_AGE = 2.5
# Seconds for which a new version without an order gets no requests. The watch on orders
# may deliver the order later than the watch on upstreams delivers the version, but by
# less than this.
UNKNOWN_VERSION_WAIT = 2.0
# Seconds for which work moves to the new version before the old one is stopped: all
# instances know a decision within 1.3 s, and calls without a stream end soon after.
SHIFT_TIME = 2.0
# Seconds before the deadline at which the final decision is written.
DEADLINE_MARGIN = 0.5
# Fewest answers of a new version for which it may be completed.
MIN_ANSWERS = 10
# Failure rate expected of any version before it is measured, and the number of measured
# answers that this expectation weighs as much as.
BASE_FAILURE_RATE = 0.02
PRIOR_ANSWERS = 20
# P-values below which a version counts as bad: during the trial, where it is tested
# every half second, and at the deadline.
BAD_P_VALUE = 1e-4
DOUBTFUL_P_VALUE = 0.01
# Fewest failures on a route for which it is tested.
MIN_FAILURES = 3
# From this number of failures on, a version counts as bad at this higher p-value: soon
# after that many failures, no request may be sent to a bad version.
MANY_FAILURES = 40
MANY_FAILURES_P_VALUE = 0.1


class RolloutOrder(NamedTuple):
    """An operator's order to move a pool to the version ``target`` in some seconds."""

    pool: str
    target: str
    seconds: float


class Decision(msgspec.Struct, frozen=True):
    """Decision on an order; ``order`` is the store's number of that order's revision.

    ``began_at`` is the Unix time, by the instances' common clock, at which the order
    was first seen.
    """

    order: int
    target: str
    state: str
    began_at: float


class Answers(NamedTuple):
    """Number of answers, and how many of them were failed or slow."""

    count: int = 0
    bad: int = 0


class Rollout(NamedTuple):
    """An order with its revision, and the decision on it.

    ``decision`` is None if there is none or if it belongs to an older order;
    ``decided_at`` is the revision of the decision's key in either case. ``unsaved`` is
    true if the store doesn't have the decision any more, or for the order's number of
    an earlier epoch only.
    """

    order: RolloutOrder
    revision: int
    decision: Decision | None = None
    decided_at: int = 0
    unsaved: bool = False


def encode_decision(decision):
    """Return the stored form of a decision."""
    return msgspec.json.encode(decision)


def decode_decision(key, data):
    """Return the Decision stored under a key, or raise BadConfiguration."""
    try:
        decision = msgspec.json.decode(data, type=Decision)
    except DECODE_ERRORS as exc:
        raise BadConfiguration(f"{key}: {type(exc).__name__} {exc}") from exc
    if decision.state not in NEXT_STATES:
        raise BadConfiguration(f"{key}: unknown state {decision.state}")
    return decision


def encode_answer_key(pool, version, route, which):
    """Return the key under which instances report a number of answers."""
    return msgspec.json.encode((pool, version, route, which)).decode()


def compute_tail_probability(answers, rate):
    """Return the probability of at least as many bad answers at a given rate."""
    fewer = sum(
        comb(answers.count, k) * rate**k * (1 - rate) ** (answers.count - k)
        for k in range(answers.bad)
    )
    return max(0.0, 1.0 - fewer)


def compute_p_value(tried, current):
    """Return the p-value of the hypothesis that the new version is no worse.

    ``tried`` and ``current`` hold the Answers of the new and of all other versions by
    route. The failure rate of the current version is the measured one, but at least
    BASE_FAILURE_RATE, since a version isn't to blame for, say, a lossy link. Each route
    is tested separately, as a version may be bad on one route only, and the lowest
    p-value is returned.
    """
    p_values = [1.0]
    for route, answers in tried.items():
        if answers.bad < MIN_FAILURES:
            continue
        baseline = current.get(route, Answers())
        usual_rate = (baseline.bad + BASE_FAILURE_RATE * PRIOR_ANSWERS) / (
            baseline.count + PRIOR_ANSWERS
        )
        p_values.append(
            compute_tail_probability(answers, max(BASE_FAILURE_RATE, usual_rate))
        )
    return min(p_values)


def may_follow(decision, state):
    """Return whether a state may follow a decision, which is None if there is none."""
    return decision is None or state in NEXT_STATES[decision.state]


def is_decision_on(decision, rollout):
    """Return whether a stored decision belongs to a roll-out's order."""
    number, target = get_number(rollout.revision), rollout.order.target
    return (decision.order, decision.target) == (number, target)


def is_earlier(decision, known):
    """Return whether a decision, None if there is none, precedes the known one."""
    return decision is None or known.state in NEXT_STATES[decision.state]


def is_written_again(rollout, order, revision):
    """Return whether an order is the known one, written again in a later epoch."""
    return order == rollout.order and get_epoch(revision) > get_epoch(rollout.revision)


def sum_answers(by_route):
    """Return the sum of the Answers of all routes."""
    return Answers(
        sum(item.count for item in by_route.values()),
        sum(item.bad for item in by_route.values()),
    )


def decide(rollout, tried, current, now):
    """Return the next state of a roll-out, or None for no change.

    ``now`` is Unix time by the instances' common clock. A version is completed as late
    as its deadline allows, so that a version that turns out bad later has got only its
    small fraction until then.
    """
    decision = rollout.decision
    if decision is None:
        return RUNNING
    if not NEXT_STATES[decision.state]:
        return None
    p_value = compute_p_value(tried, current)
    many_failures = sum_answers(tried).bad >= MANY_FAILURES
    if p_value < (MANY_FAILURES_P_VALUE if many_failures else BAD_P_VALUE):
        return ROLLED_BACK
    left = decision.began_at + rollout.order.seconds - DEADLINE_MARGIN - now
    if left <= 0:
        enough = sum_answers(tried).count >= MIN_ANSWERS
        return COMPLETED if enough and p_value > DOUBTFUL_P_VALUE else ROLLED_BACK
    if decision.state == RUNNING and left <= SHIFT_TIME:
        return SHIFTING if may_shift(rollout, tried, current, left, now) else None
    return None


def may_shift(rollout, tried, current, left, now):
    """Return whether all requests may go to the new version until the deadline.

    A version may fail under full load after a good trial. The requests that it gets
    until the deadline must stay within the exposure that operators tolerate.
    """
    count = sum_answers(tried).count
    if count < MIN_ANSWERS or compute_p_value(tried, current) <= DOUBTFUL_P_VALUE:
        return False
    total = count + sum_answers(current).count
    rate = total / max(1.0, now - rollout.decision.began_at)
    more = rate * (left + DEADLINE_MARGIN)
    return count + more <= EXPOSED_FRACTION * (total + more) + EXPOSED_ALLOWANCE


class Rollouts:
    """State of all roll-outs at one instance; times are seconds on one clock.

    ``answers`` holds the number of answers that this instance saw since its start, by
    encode_answer_key, and ``peer_answers`` those of all other instances.
    """

    def __init__(self):
        self.rollouts_by_pool = {}
        self.answers = {}
        self.peer_answers = {}
        # The last report of the other instances' totals: its source and the totals.
        self._last_report = (None, {})
        # When the known decisions were last up to date with the store.
        self.updated_at = float("-inf")
        self._decisions = {}
        # When each version was first seen, by pool and version, the first one first.
        self._seen = {}
        # Returns whether all instances have known a pool's version for a while.
        self.is_known = lambda pool, version: False

    def record_version(self, pool, version, now):
        """Record that an upstream of a pool has a version."""
        self._seen.setdefault(pool, {}).setdefault(version, now)

    def keep_versions(self, pool, versions):
        """Forget the versions of a pool that have no upstream any more.

        One that returns is new again: other instances may have forgotten it as well.
        """
        seen = self._seen.get(pool, {})
        self._seen[pool] = {item: at for item, at in seen.items() if item in versions}

    def is_new(self, pool, version, now):
        """Return whether a version may still be unknown to other instances.

        The first version that an instance sees is not new, unless it started when a
        second one did.
        """
        if self.compute_age(pool, version, now) >= UNKNOWN_VERSION_WAIT:
            return False
        seen = self._seen.get(pool, {})
        known = [item for item in seen if self.is_known(pool, item)]
        return version not in (known or list(seen)[:1])

    def compute_age(self, pool, version, now):
        """Return for how many seconds a version has been known here."""
        return now - self._seen.get(pool, {}).get(version, now)

    def put_order(self, order, revision):
        """Store an operator's order, unless a newer order for its pool is known.

        An order that is written again after the store lost it keeps its decision. If it
        began anew, requests would go back to the version that was replaced.
        """
        known = self.rollouts_by_pool.get(order.pool)
        if known is not None and revision <= known.revision:
            return
        decision = None
        if known is not None and is_written_again(known, order, revision):
            number = get_number(revision)
            decision = known.decision and replace(known.decision, order=number)
        self.rollouts_by_pool[order.pool] = Rollout(
            order, revision, decision, unsaved=decision is not None
        )
        self._update_rollout(order.pool)

    def put_decision(self, pool, decision, revision):
        """Apply the decision that the store holds for a pool; None if there is none."""
        self._decisions[pool] = (decision, revision)
        self._update_rollout(pool)

    def _update_rollout(self, pool):
        rollout = self.rollouts_by_pool.get(pool)
        if rollout is None:
            return
        decision, decided_at = self._decisions.get(pool, (None, 0))
        if decision is not None and not is_decision_on(decision, rollout):
            decision = None
        is_restored = rollout.unsaved or get_epoch(decided_at) > get_epoch(
            rollout.decided_at
        )
        known = rollout.decision
        unsaved = is_restored and known is not None and is_earlier(decision, known)
        self.rollouts_by_pool[pool] = rollout._replace(
            decision=known if unsaved else decision,
            decided_at=decided_at,
            unsaved=unsaved,
        )

    def list_excluded(self, pool, upstream_states, drawn, now):
        """Return the names of the upstreams that a request must not be sent to.

        ``drawn`` is a random number from 0 to 1 for the request, or None for a retry,
        which is never part of a trial.
        """
        rollout, seen = self.rollouts_by_pool.get(pool), self._seen.get(pool, {})
        if rollout is None and len(seen) < 2:
            return frozenset()
        allowed = self._make_version_filter(pool, rollout, drawn, now)
        names = {
            n for n, s in upstream_states.items() if not allowed(s.registration.version)
        }
        refused = rollout is not None and self._get_state(rollout) == ROLLED_BACK
        if len(names) == len(upstream_states) and not refused:
            return frozenset()
        return frozenset(names)

    def _get_state(self, rollout):
        return rollout.decision.state if rollout.decision else RUNNING

    def _make_version_filter(self, pool, rollout, drawn, now):
        """Return a function that returns whether a version may serve the request."""
        if rollout is None:
            return lambda version: not self.is_new(pool, version, now)
        target, state = rollout.order.target, self._get_state(rollout)
        up_to_date = now - self.updated_at <= MAX_DECISION_AGE
        if state == COMPLETED or (state == SHIFTING and up_to_date):
            return lambda version: version == target
        trial = state == RUNNING and up_to_date and drawn is not None
        if trial and drawn < TRIAL_FRACTION:
            return lambda version: version == target
        return lambda version: version != target

    def is_rolled_back(self, pool, version):
        """Return whether a version was rolled back and gets no requests."""
        rollout = self.rollouts_by_pool.get(pool)
        if rollout is None or rollout.order.target != version:
            return False
        return self._get_state(rollout) == ROLLED_BACK

    @property
    def has_undecided(self):
        """Return whether any order has no final decision yet."""
        return any(
            NEXT_STATES[self._get_state(item)]
            for item in self.rollouts_by_pool.values()
        )

    def is_in_trial(self, pool):
        """Return whether a pool has an order without a final decision."""
        rollout = self.rollouts_by_pool.get(pool)
        return rollout is not None and bool(NEXT_STATES[self._get_state(rollout)])

    def add_peer_answers(self, source, answers):
        """Add the other instances' new answers, from the totals of one source.

        A process that starts to add up totals doesn't know the earlier ones, and two
        such processes don't agree. So only the increase between two reports of the
        same source counts; otherwise the totals would jump and a version would be
        evaluated by old answers.
        """
        last_source, last_answers = self._last_report
        self._last_report = (source, answers)
        if source == last_source:
            add_growth(self.peer_answers, last_answers, answers, 1.0)

    def record_answer(self, pool, version, route, bad):
        """Count one answer of a version; ``bad`` if it failed or was too slow."""
        for which in (COUNT_FIELD, BAD_FIELD) if bad else (COUNT_FIELD,):
            name = encode_answer_key(pool, version, route, which)
            self.answers[name] = self.answers.get(name, 0.0) + 1


def split_answers(answers, rollout):
    """Return the Answers by route: of the target, and of all other versions."""
    tried, current = {}, {}
    for name, number in answers.items():
        pool, version, route, which = msgspec.json.decode(name)
        if pool != rollout.order.pool:
            continue
        by_route = tried if version == rollout.order.target else current
        counts = by_route.get(route, Answers())._asdict()
        counts[which] += round(number)
        by_route[route] = Answers(**counts)
    return tried, current


def make_commit(rollout, decision, status):
    """Return the Commit of a decision; ``status`` is the put of the order's status."""
    key = DECISIONS + rollout.order.pool
    return Commit(
        expect=((key, rollout.decided_at),),
        puts=((key, encode_decision(decision), 0), status),
    )
