"""Allowances over all instances, bounded by what each of them holds.

An organisation has one, and so has an upstream that names a limit on what it is sent.
An instance spends only credit that it holds. Credit comes into being at each of N
instances at an N-th of the allowance's rate, and is passed on to where it is asked
for: children give back to their parent what they don't need, and the parent grants it
to whoever lacks some. Passing on makes no credit, and nobody takes another's word for
what is left. docs/design/ALLOWANCES.md has the bound and the ways weighed.
"""

from math import ceil
from typing import NamedTuple

from .credit import Child, Claim, CreditSession, Entry, Grant
from .exceptions import AllowanceUnknown, CustomerLimit, Scope

SHORTEST_RETRY = 0.25
LONGEST_RETRY = 10.0
# Seconds until a caller may try another instance.
ELSEWHERE_WAIT = 0.1
# Part of all instances up to which those that reach each other are the cut-off ones.
MINOR_PART = 0.5
# Seconds between two claims. Credit of those that need none is under way for so long;
# a leader of 24 answers 80 claims a second, 1 % of a small instance's core.
CLAIM_EVERY = 0.3
# Seconds after which a word no longer counts: two claims in a row are not lost by
# chance. The bound on spending grows by the rate times this.
HEARD_FOR = 0.8
# Seconds between two looks at all holdings: the credit of so short a time is nothing.
ADVANCE_EVERY = 0.005
# Seconds after a charge for which it is given back where nothing ran. Later the credit
# would come on top of what has come into being since, which has filled its room.
REFUND_FOR = 1.0
# Part of a burst that all instances together hold ready, at the full rate, for what was
# asked of them of late. More would leave too little for those that suddenly need much.
READY_PART = 0.25
# Times what is held ready beyond which credit is given back.
SPARE_RATIO = 1.5
# Part of what may be held that counts as full: others hold some of it ready.
FULL_PART = 0.65
# Seconds of the rate that are held beside the burst, as that much is always under way
# between instances: what comes into being is given back after CLAIM_EVERY, through two
# of them. Load: a customer whose requests are nearly as large as its burst. Harm: with
# that counted in the burst it would hardly ever have enough for one of them.
UNDER_WAY = 2 * CLAIM_EVERY
# Seconds of an instance's part that a single request may take in advance where nobody
# can be asked. Load: long prompts at an instance that is cut off. Harm without it: none
# would ever be served there; the bound grows by the rate times this.
OVERDRAWN_FOR = 1.5
# Seconds after which use counts half; at a steady rate the sum stands for 1.44 of it.
USE_HALF_LIFE = 1.0
USE_SECONDS = 1.44


class Holding:
    """State of one allowance's credit here; ``use`` is what was asked of late."""

    __slots__ = ("level", "rate", "burst", "use")

    def __init__(self):
        self.level = 0.0
        self.rate = 0.0
        self.burst = 0.0
        self.use = 0.0

    def measure_ready(self):
        """Return the credit to hold for the next requests."""
        return self.burst * READY_PART * self.use / USE_SECONDS / self.rate


class Sought(NamedTuple):
    """Credit that could be of use here, and until when it is asked for."""

    cost: float
    until: float


class Allowances:
    """State of all allowances in one instance.

    What has an allowance is given as an item with ``name``, ``rate`` and ``burst``.
    ``started_at`` is when its process began: from then on its part comes into being.
    """

    def __init__(self, name="", incarnation=1, started_at=None):
        self._name = name
        self._incarnation = incarnation
        self._holdings = {}
        self._organisations = set()
        # Sought credit for which no request waits, by name.
        self._sought = {}
        self._children = {}
        self._session = None
        self._sessions = incarnation
        self._answered_at = float("-inf")
        self._at = started_at
        # How many instances share each allowance, 0 before that is known.
        self._known = 0
        # What the requests cost that wait for credit, by organisation.
        self.waiting = {}

    def configure(self, organisations, now):
        """Put the organisations' limits in force."""
        limited = {item.name: item for item in organisations if item.rate > 0}
        for name in self._organisations - set(limited):
            del self._holdings[name]
        self._organisations = set(limited)
        for item in limited.values():
            self.set_limit(item, now)

    def set_limit(self, item, now):
        """Put one limit in force; credit beyond a smaller burst is given up."""
        self.advance(now)
        holding = self._holdings.setdefault(item.name, Holding())
        holding.rate, holding.burst = item.rate, item.burst
        holding.level = min(holding.level, item.burst)

    def lift_limit(self, item):
        """Forget a limit that ended; the credit for it is of no use any more."""
        self._holdings.pop(item.name, None)
        self._sought.pop(item.name, None)

    def set_known(self, count, now):
        """Set how many instances share the allowances, those lost of late included.

        Guard: an instance that starts beside hundreds and doesn't know of them would
        take the whole rate for its own. No credit comes into being before this is set.
        """
        self.advance(now)
        self._known = max(1, count)
        if self._at is None:
            self._at = now

    def advance(self, now):
        """Add the credit that has come into being, and give up what is too much.

        Guard: a parent that is cut off, or a part of the system, holds credit for all.
        Whoever hears of no parent keeps a burst's part for those that it speaks for,
        what these hold included; the other parts fill up their own meanwhile.
        """
        if not self._known or now < self._at + ADVANCE_EVERY:
            return
        passed, self._at = now - self._at, now
        self._forget_children(now)
        part, alone = self._measure_part(), self._is_alone(now)
        under_way = UNDER_WAY if self._children else 0.0
        fade = 0.5 ** (passed / USE_HALF_LIFE)
        for name, holding in self._holdings.items():
            holding.use *= fade
            room = holding.burst
            if alone:
                room = (room + holding.rate * under_way) * part
                room = max(0.0, room - self._measure_lent(name))
            gained = holding.rate * passed / self._known
            holding.level = min(holding.level + gained, room)

    def covers(self, item, cost, now):
        """Tell whether the credit for a cost is here."""
        holding = self._find(item)
        if holding is None:
            return True
        self.advance(now)
        return holding.level >= cost or self._may_overdraw(holding, cost)

    def charge(self, item, cost, now):
        """Spend the cost and return whether the credit for it was here."""
        if not self.covers(item, cost, now):
            return False
        holding = self._find(item)
        if holding is None:
            return True
        holding.level -= cost
        holding.use += cost
        return True

    def seek(self, item, cost, until):
        """Ask for credit until then, with the next claims, though nothing waits."""
        self._sought[item.name] = Sought(cost, until)

    def wait(self, organisation, cost):
        """Take note that a request waits for its credit."""
        self.waiting.setdefault(organisation.name, []).append(cost)

    def stop_waiting(self, organisation, cost):
        """Take note that a request waits no longer."""
        self.waiting[organisation.name].remove(cost)
        if not self.waiting[organisation.name]:
            del self.waiting[organisation.name]

    def refund(self, organisation, cost, seconds_ago):
        """Give back what a request cost that did not run, charged so long ago."""
        holding = self._find(organisation)
        if holding is not None and seconds_ago <= REFUND_FOR:
            holding.level = min(holding.burst, holding.level + cost)

    def refuse(self, organisation, cost):
        """Return the refusal of a request for which the credit is lacking.

        Guard: an instance that is cut off has used up its own part, and the customer is
        far below its limit. Told to wait for the limit, it would stay away for seconds;
        its next connection may come to an instance that is in touch.
        """
        scope = Scope("customer", organisation.name)
        if self._is_alone(self._at) and self._measure_part() <= MINOR_PART:
            return AllowanceUnknown(scope=scope, retry_after=ELSEWHERE_WAIT)
        wait = cost / self._holdings[organisation.name].rate
        wait = min(LONGEST_RETRY, max(SHORTEST_RETRY, wait))
        return CustomerLimit(
            "The allowance is used up.",
            scope=scope,
            retry_after=round(wait, 2),
        )

    def claim(self, parent, now):
        """Return the Claim to send to a parent."""
        self.advance(now)
        self._sought = {n: item for n, item in self._sought.items() if now < item.until}
        if self._session is None or self._session.parent != parent:
            self._sessions += 1
            self._session = CreditSession(parent, self._sessions)
        session = self._session
        session.claims += 1
        entries = {name: self._describe(name) for name in self._holdings}
        parts = self._count_parts()
        return Claim(
            self._name,
            session.number,
            session.claims,
            session.incarnation,
            parts,
            entries,
        )

    def receive_claim(self, claim, now):
        """Take a child's claim and return the Grant to answer it with.

        Guard: a process that forgot what it granted in a session, or never knew, would
        take what was given back in it for new. Such a session isn't known, and begins
        anew.
        """
        self.advance(now)
        unknown = Grant(claim.session, self._incarnation, False, {})
        if claim.parent not in (0, self._incarnation):
            return unknown
        child = self._children.get(claim.name)
        if child is None or claim.session > child.session:
            if claim.parent:
                return unknown
            child = self._children[claim.name] = Child(claim.session)
        if claim.session < child.session:
            return unknown
        if claim.number > child.number:
            for name, amount in child.receive(claim, now).items():
                self._add(name, amount)
        return self._grant(child)

    def receive_grant(self, grant, now):
        """Take the parent's answer; tell whether it grants anything that is new."""
        session = self._session
        if session is None or grant.session != session.number:
            return False
        if not grant.known:
            self._session = None
            return False
        self._answered_at = now
        gained = session.receive(grant)
        for name, amount in gained.items():
            self._add(name, amount)
        return bool(gained)

    def grant_waiting(self):
        """Return the Grants for children that still lack some, by child's name."""
        grants = {}
        for name, child in self._children.items():
            before = dict(child.granted)
            grant = self._grant(child)
            if child.granted != before:
                grants[name] = grant
        return grants

    @property
    def short(self):
        """Tell whether a child wants what isn't here."""
        return any(self._list_wanted(name) for name in self._holdings)

    def _find(self, item):
        return item and self._holdings.get(item.name)

    def _add(self, name, amount):
        if name in self._holdings:
            self._holdings[name].level += amount

    def _grant(self, child):
        for name in child.entries:
            holding = self._holdings.get(name)
            wanted, least = child.measure_wanted(name)
            if holding is None or not wanted:
                continue
            amount = max(0, min(wanted, int(holding.level)))
            if self._may_overdraw(holding, wanted):
                amount = wanted
            # Less than a request needs is of no use to its caller, and would be lacked
            # by others until it is given back.
            if amount >= least:
                holding.level -= amount
                holding.use += amount
                child.grant(name, amount)
        return Grant(child.session, self._incarnation, True, dict(child.granted))

    def _may_overdraw(self, holding, cost):
        """Tell whether a cost over all that may be held is taken from a full holding.

        Only who asks nobody may, and it is full again only after the time in which such
        a cost comes into being. Who speaks for more than half of all instances, one at
        most, may for any cost: a single request goes beyond the bound. The others may
        for what comes into being in OVERDRAWN_FOR.
        """
        part = self._measure_part()
        room = holding.burst * part
        if cost <= room or not self._is_alone(self._at):
            return False
        most = room + holding.rate * part * OVERDRAWN_FOR
        return (part > MINOR_PART or cost <= most) and holding.level >= room * FULL_PART

    def _describe(self, name):
        """Return the Entry of an allowance, after giving back what is too much.

        Credit is given back only to a parent that has answered: whether another one
        that starts under its name would count it twice can't be told.
        """
        holding, session = self._holdings[name], self._session
        ready = holding.measure_ready()
        waiting = [*self.waiting.get(name, ()), *self._list_sought(name)]
        children = self._list_wanted(name)
        wants = [*waiting, *(wanted for wanted, _ in children)]
        needs = [*waiting, *(least for _, least in children if least)]
        # Together no more than a burst, but a single one that is larger is asked for.
        wanted = max([min(sum(wants), holding.burst), *wants])
        spare = int(holding.level - SPARE_RATIO * ready - wanted)
        if spare > 0 and session.incarnation:
            holding.level -= spare
            session.returned[name] = session.returned.get(name, 0) + spare
        most = max([holding.burst, *wants])
        least = min(needs) - holding.level if needs else 0.0
        return Entry(
            session.returned.get(name, 0),
            session.granted.get(name, 0),
            ceil(holding.level + self._measure_lent(name)),
            ceil(max(0.0, min(most, wanted + ready - holding.level))),
            ceil(max(0.0, least)),
        )

    def _list_sought(self, name):
        """Return the cost that is sought of an allowance, if any is."""
        sought = self._sought.get(name)
        return [] if sought is None else [sought.cost]

    def _list_wanted(self, name):
        """Return what each child wants and the least of use, where it wants any."""
        wants = (child.measure_wanted(name) for child in self._children.values())
        return [pair for pair in wants if pair[0]]

    def _measure_lent(self, name):
        return sum(child.measure_held(name) for child in self._children.values())

    def _is_alone(self, now):
        """Tell whether no parent answers; ``now`` is None before the first look."""
        return now is None or now - self._answered_at > HEARD_FOR

    def _count_parts(self):
        return 1 + sum(child.parts for child in self._children.values())

    def _measure_part(self):
        """Return the part of all instances for whom this one speaks."""
        return min(1.0, self._count_parts() / max(1, self._known))

    def _forget_children(self, now):
        """Forget those that aren't heard any more; what they hold stays theirs."""
        gone = [
            name
            for name, child in self._children.items()
            if now - child.heard_at > HEARD_FOR
        ]
        for name in gone:
            del self._children[name]
