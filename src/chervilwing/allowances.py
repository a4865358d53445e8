"""Allowances of customers and limits of upstreams, shared by all instances.

An organisation has an allowance, and so has an upstream that sets a limit on what it is
sent. Each is a distributed token bucket: an instance spends only credit that it holds.
Each of N instances accrues credit at 1/N of the allowance's rate. Instances form a
tree: a child returns credit that it doesn't need to its parent, and the parent grants
it to the children that request it. Moving credit creates none, and no instance relies
on another's statement of what is left. docs/design/ALLOWANCES.md derives the bound on
spending and compares alternatives.
"""

from math import ceil
from typing import NamedTuple

from .credit import ChildSession, Claim, Entry, Grant, ParentSession
from .exceptions import AllowanceUnknown, CustomerLimit, Scope

# Minimum and maximum seconds after which a refused caller is asked to retry.
MIN_RETRY_AFTER = 0.25
MAX_RETRY_AFTER = 10.0
# Seconds after which a caller may retry at another instance.
OTHER_INSTANCE_RETRY = 0.1
# Fraction of all instances up to which a group of instances that reach each other is
# assumed to be the cut-off side of a partition.
MINORITY_FRACTION = 0.5
# Seconds between two claims. Credit that an instance doesn't need stays there for up to
# this time. A leader of 24 instances answers 80 claims a second, 1 % of a small
# instance's core.
CLAIM_INTERVAL = 0.3
# Seconds without a message after which a parent or child counts as lost. Two claims in
# a row are hardly ever lost by chance. The bound on spending grows by what the rate
# accrues in this time.
PEER_TIMEOUT = 0.8
# Seconds between two updates of all buckets; the credit of so short a time is
# negligible.
ADVANCE_INTERVAL = 0.005
# Seconds after a charge within which a request that did not run is refunded. Later, the
# bucket has already accrued that credit again.
REFUND_WINDOW = 1.0
# Fraction of a burst that all instances together keep in reserve at the full rate, in
# proportion to recent use. A larger reserve would leave too little for instances whose
# load rises suddenly.
RESERVE_FRACTION = 0.25
# An instance returns credit beyond this multiple of its reserve.
SPARE_RATIO = 1.5
# A bucket counts as full from this fraction of its capacity, because other instances
# hold part of the credit in reserve.
FULL_FRACTION = 0.65
# An instance with children and no parent may hold the burst plus what accrues in this
# many seconds, because about that much credit is always in transit between instances:
# accrued credit is returned after CLAIM_INTERVAL, through two instances. A customer
# whose requests are nearly as large as its burst would otherwise hardly ever have
# enough credit at one instance.
IN_TRANSIT_SECONDS = 2 * CLAIM_INTERVAL
# Seconds of an instance's share that a single request may overdraw where there is no
# parent to ask. Without it, an instance that is cut off would never serve a long
# prompt. The bound on spending grows by what the rate accrues in this time.
OVERDRAFT_SECONDS = 1.5
# Half-life, in seconds, of recorded use; at a steady rate the decayed sum equals 1.44
# seconds of use.
USE_HALF_LIFE = 1.0
STEADY_USE_SECONDS = 1.44


class Bucket:
    """Token bucket of one allowance at this instance; ``use`` is decayed recent use."""

    __slots__ = ("level", "rate", "burst", "use")

    def __init__(self):
        self.level = 0.0
        self.rate = 0.0
        self.burst = 0.0
        self.use = 0.0

    def compute_reserve(self):
        """Return the credit to keep in reserve for the next requests."""
        return self.burst * RESERVE_FRACTION * self.use / STEADY_USE_SECONDS / self.rate


class CreditRequest(NamedTuple):
    """Credit to request in advance, up to the time ``until``."""

    cost: float
    until: float


class Allowances:
    """State of all allowances in one instance; times are seconds on one clock.

    A limited organisation or upstream is passed as an item with ``name``, ``rate`` and
    ``burst``. ``started_at`` is when this process began; credit accrues from then on.
    """

    def __init__(self, name="", incarnation=1, started_at=None):
        self._name = name
        self._incarnation = incarnation
        self._buckets = {}
        self._organisations = set()
        # Credit requested in advance, with no request waiting for it yet, by name.
        self._requested = {}
        self._children = {}
        self._session = None
        self._session_number = incarnation
        self._last_answer_at = float("-inf")
        self._advanced_at = started_at
        # Number of instances that share each allowance, 0 while it is unknown.
        self._instance_count = 0
        # Costs of the requests that wait for credit, by organisation.
        self.waiting = {}

    def configure(self, organisations, now):
        """Apply the limits of the organisations."""
        limited = {item.name: item for item in organisations if item.rate > 0}
        for name in self._organisations - set(limited):
            del self._buckets[name]
        self._organisations = set(limited)
        for item in limited.values():
            self.set_limit(item, now)

    def set_limit(self, item, now):
        """Apply one limit; credit beyond a smaller burst is dropped."""
        self.advance(now)
        bucket = self._buckets.setdefault(item.name, Bucket())
        bucket.rate, bucket.burst = item.rate, item.burst
        bucket.level = min(bucket.level, item.burst)

    def remove_limit(self, item):
        """Remove a limit that ended, and its credit."""
        self._buckets.pop(item.name, None)
        self._requested.pop(item.name, None)

    def set_instance_count(self, instance_count, now):
        """Set how many instances share the allowances, recently lost ones included.

        No credit accrues before this is set: an instance that starts beside hundreds of
        others and doesn't know of them would take the whole rate for itself.
        """
        self.advance(now)
        self._instance_count = max(1, instance_count)
        if self._advanced_at is None:
            self._advanced_at = now

    def advance(self, now):
        """Accrue credit, and drop what exceeds the capacity of a bucket.

        A parent that is cut off holds credit on behalf of other instances, which
        meanwhile accrue their own. An instance without an answering parent therefore
        keeps only its subtree's share of the burst, less the credit that its children
        hold.
        """
        if not self._instance_count or now < self._advanced_at + ADVANCE_INTERVAL:
            return
        elapsed, self._advanced_at = now - self._advanced_at, now
        self._forget_children(now)
        share, parentless = self._compute_share(), self._has_no_parent(now)
        in_transit = IN_TRANSIT_SECONDS if self._children else 0.0
        decay = 0.5 ** (elapsed / USE_HALF_LIFE)
        for name, bucket in self._buckets.items():
            bucket.use *= decay
            capacity = bucket.burst
            if parentless:
                capacity = (capacity + bucket.rate * in_transit) * share
                capacity = max(0.0, capacity - self._compute_lent(name))
            accrued = bucket.rate * elapsed / self._instance_count
            bucket.level = min(bucket.level + accrued, capacity)

    def has_credit(self, item, cost, now):
        """Return whether this instance has the credit for a cost."""
        bucket = self._find_bucket(item)
        if bucket is None:
            return True
        self.advance(now)
        return bucket.level >= cost or self._may_overdraw(bucket, cost)

    def charge(self, item, cost, now):
        """Spend the cost; return whether the credit for it was available."""
        if not self.has_credit(item, cost, now):
            return False
        bucket = self._find_bucket(item)
        if bucket is None:
            return True
        bucket.level -= cost
        bucket.use += cost
        return True

    def request_credit(self, item, cost, until):
        """Request credit in the claims up to ``until``; no request waits for it yet."""
        self._requested[item.name] = CreditRequest(cost, until)

    def add_waiting(self, organisation, cost):
        """Record that a request waits for credit."""
        self.waiting.setdefault(organisation.name, []).append(cost)

    def remove_waiting(self, organisation, cost):
        """Record that a request no longer waits."""
        self.waiting[organisation.name].remove(cost)
        if not self.waiting[organisation.name]:
            del self.waiting[organisation.name]

    def refund(self, organisation, cost, seconds_ago):
        """Return the cost of a request that did not run, charged ``seconds_ago``."""
        bucket = self._find_bucket(organisation)
        if bucket is not None and seconds_ago <= REFUND_WINDOW:
            bucket.level = min(bucket.burst, bucket.level + cost)

    def make_limit_error(self, organisation, cost):
        """Return the refusal of a request for which there is not enough credit.

        An instance that is cut off may have used up its share while the customer is far
        below its limit. Such an instance returns a short wait, so that the caller soon
        tries again: its next connection may reach an instance that isn't cut off.
        """
        scope = Scope("customer", organisation.name)
        if (
            self._has_no_parent(self._advanced_at)
            and self._compute_share() <= MINORITY_FRACTION
        ):
            return AllowanceUnknown(scope=scope, retry_after=OTHER_INSTANCE_RETRY)
        wait = cost / self._buckets[organisation.name].rate
        wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        return CustomerLimit(
            "The allowance is used up.",
            scope=scope,
            retry_after=round(wait, 2),
        )

    def claim(self, parent, now):
        """Return the Claim to send to a parent."""
        self.advance(now)
        self._requested = {
            n: item for n, item in self._requested.items() if now < item.until
        }
        if self._session is None or self._session.parent != parent:
            self._session_number += 1
            self._session = ParentSession(parent, self._session_number)
        session = self._session
        session.claims += 1
        entries = {name: self._make_entry(name) for name in self._buckets}
        instances = self._count_subtree()
        return Claim(
            self._name,
            session.number,
            session.claims,
            session.incarnation,
            instances,
            entries,
        )

    def receive_claim(self, claim, now):
        """Apply a child's claim and return the Grant to answer it with.

        A parent that restarted, or that has forgotten the child, doesn't know which
        returned credit it has already counted. It rejects such a session, and the child
        opens a new one, so that no credit is counted twice.
        """
        self.advance(now)
        unknown = Grant(claim.session, self._incarnation, False, {})
        if claim.parent not in (0, self._incarnation):
            return unknown
        child = self._children.get(claim.name)
        if child is None or claim.session > child.session:
            if claim.parent:
                return unknown
            child = self._children[claim.name] = ChildSession(claim.session)
        if claim.session < child.session:
            return unknown
        if claim.number > child.number:
            for name, amount in child.receive(claim, now).items():
                self._add_credit(name, amount)
        return self._grant_child(child)

    def receive_grant(self, grant, now):
        """Apply the parent's grant; return whether it grants new credit."""
        session = self._session
        if session is None or grant.session != session.number:
            return False
        if not grant.session_known:
            self._session = None
            return False
        self._last_answer_at = now
        granted = session.receive(grant)
        for name, amount in granted.items():
            self._add_credit(name, amount)
        return bool(granted)

    def grant_waiting(self):
        """Return the new Grants for children that still lack credit, by child."""
        grants = {}
        for name, child in self._children.items():
            before = dict(child.granted)
            grant = self._grant_child(child)
            if child.granted != before:
                grants[name] = grant
        return grants

    @property
    def lacks_credit(self):
        """Return whether a child wants more credit than was granted to it."""
        return any(self._list_child_wants(name) for name in self._buckets)

    def _find_bucket(self, item):
        return item and self._buckets.get(item.name)

    def _add_credit(self, name, amount):
        if name in self._buckets:
            self._buckets[name].level += amount

    def _grant_child(self, child):
        for name in child.entries:
            bucket = self._buckets.get(name)
            wanted, minimum = child.compute_wanted(name)
            if bucket is None or not wanted:
                continue
            amount = max(0, min(wanted, int(bucket.level)))
            if self._may_overdraw(bucket, wanted):
                amount = wanted
            # Credit that is too little for a request would lie idle at the child until
            # it is returned, while other instances lack it.
            if amount >= minimum:
                bucket.level -= amount
                bucket.use += amount
                child.grant(name, amount)
        return Grant(child.session, self._incarnation, True, dict(child.granted))

    def _may_overdraw(self, bucket, cost):
        """Return whether a full bucket may pay a cost beyond its capacity.

        Only an instance without an answering parent may overdraw; its bucket is full
        again only after the time in which such a cost accrues. If its subtree has more
        than half of all instances, which is true of at most one instance, it may pay
        any cost; a single request then exceeds the bound. Otherwise the cost may exceed
        the capacity by what its share of the rate accrues in OVERDRAFT_SECONDS.
        """
        share = self._compute_share()
        capacity = bucket.burst * share
        if cost <= capacity or not self._has_no_parent(self._advanced_at):
            return False
        upper_limit = capacity + bucket.rate * share * OVERDRAFT_SECONDS
        return (
            share > MINORITY_FRACTION or cost <= upper_limit
        ) and bucket.level >= capacity * FULL_FRACTION

    def _make_entry(self, name):
        """Return the Entry of an allowance, after returning credit that is not needed.

        Credit is returned only to a parent that has answered in this session: a new
        process under the parent's name could otherwise count it twice.
        """
        bucket, session = self._buckets[name], self._session
        reserve = bucket.compute_reserve()
        waiting = [*self.waiting.get(name, ()), *self._list_requested(name)]
        children = self._list_child_wants(name)
        wants = [*waiting, *(wanted for wanted, _ in children)]
        needs = [*waiting, *(minimum for _, minimum in children if minimum)]
        # The wanted credit is at most one burst for all requests together, or the cost
        # of the largest single request if that is more.
        wanted = max([min(sum(wants), bucket.burst), *wants])
        spare = int(bucket.level - SPARE_RATIO * reserve - wanted)
        if spare > 0 and session.incarnation:
            bucket.level -= spare
            session.returned[name] = session.returned.get(name, 0) + spare
        upper_limit = max([bucket.burst, *wants])
        minimum = min(needs) - bucket.level if needs else 0.0
        return Entry(
            session.returned.get(name, 0),
            session.granted.get(name, 0),
            ceil(bucket.level + self._compute_lent(name)),
            ceil(max(0.0, min(upper_limit, wanted + reserve - bucket.level))),
            ceil(max(0.0, minimum)),
        )

    def _list_requested(self, name):
        """Return the cost requested in advance as a list of at most one item."""
        requested = self._requested.get(name)
        return [] if requested is None else [requested.cost]

    def _list_child_wants(self, name):
        """Return wanted and smallest useful credit of each child that wants any."""
        wants = (child.compute_wanted(name) for child in self._children.values())
        return [pair for pair in wants if pair[0]]

    def _compute_lent(self, name):
        return sum(child.compute_held(name) for child in self._children.values())

    def _has_no_parent(self, now):
        """Return whether no parent answers; ``now`` is None before the first update."""
        return now is None or now - self._last_answer_at > PEER_TIMEOUT

    def _count_subtree(self):
        return 1 + sum(child.instances for child in self._children.values())

    def _compute_share(self):
        """Return the fraction of all instances that are in this one's subtree."""
        return min(1.0, self._count_subtree() / max(1, self._instance_count))

    def _forget_children(self, now):
        """Forget children that sent no claim of late; they keep their credit."""
        gone = [
            name
            for name, child in self._children.items()
            if now - child.last_claim_at > PEER_TIMEOUT
        ]
        for name in gone:
            del self._children[name]
