"""Credit that instances pass to each other: a child returns it, a parent grants it.

Two instances that pass credit have a *session*: the child claims, the parent grants.
Both directions carry totals since the session began, so that a datagram that is lost,
duplicated or reordered creates no credit and counts none twice. Credit in transit when
a session ends is lost. All amounts are whole units of cost.
"""

from typing import NamedTuple


class Entry(NamedTuple):
    """A child's figures for one allowance.

    ``returned`` and ``granted`` are the totals that the child has returned and received
    since the session began. ``balance`` is the credit that it and its own children hold
    now, ``wanted`` the credit that it could use in addition, and ``minimum`` the part
    of it that the smallest waiting request needs, 0 where no request waits.
    """

    returned: int
    granted: int
    balance: int
    wanted: int
    minimum: int


class Claim(NamedTuple):
    """A child's claim to its parent; ``number`` grows with each claim of a session.

    ``parent`` is the incarnation of the parent that first answered in this session, 0
    before any answer.
    ``instances`` counts the instances in the child's subtree, itself included.
    """

    name: str
    session: int
    number: int
    parent: int
    instances: int
    entries: dict[str, Entry]


class Grant(NamedTuple):
    """A parent's answer: totals granted since the session began, by allowance.

    ``session_known`` is false where the parent doesn't know the session; the child must
    then open a new one.
    """

    session: int
    parent: int
    session_known: bool
    totals: dict[str, int]


NO_CREDIT = Entry(0, 0, 0, 0, 0)


def read_claim(name, session, number, parent, instances, entries):
    """Return the Claim decoded from a datagram."""
    entries = {key: Entry(*entry) for key, entry in entries.items()}
    return Claim(name, session, number, parent, instances, entries)


class ParentSession:
    """A child's state of a session with its parent."""

    def __init__(self, parent, number):
        self.parent = parent
        self.number = number
        self.incarnation = 0
        self.claims = 0
        self.returned = {}
        self.granted = {}

    def receive(self, grant):
        """Apply a grant and return the newly granted amounts by allowance.

        A parent that restarted doesn't know its earlier grants. Its totals start at
        zero and must not be compared with those of the previous process, so they are
        ignored.
        """
        if not self.incarnation:
            self.incarnation = grant.parent
        if grant.parent != self.incarnation:
            return {}
        granted = {}
        for name, total in grant.totals.items():
            if total > self.granted.get(name, 0):
                granted[name] = total - self.granted.get(name, 0)
                self.granted[name] = total
        return granted


class ChildSession:
    """A parent's state of a session with a child; ``last_claim_at`` is in seconds."""

    def __init__(self, session):
        self.session = session
        self.number = 0
        self.instances = 1
        self.last_claim_at = 0.0
        self.granted = {}
        self.entries = {}

    def receive(self, claim, now):
        """Apply a claim and return the newly returned amounts by allowance."""
        self.number, self.instances, self.last_claim_at = (
            claim.number,
            claim.instances,
            now,
        )
        returned = {}
        for name, entry in claim.entries.items():
            before = self.entries.get(name, NO_CREDIT).returned
            if entry.returned > before:
                returned[name] = entry.returned - before
            self.entries[name] = entry
        return returned

    def compute_held(self, name):
        """Return the credit that the child holds, grants in transit included."""
        entry = self.entries.get(name, NO_CREDIT)
        return entry.balance + self.granted.get(name, 0) - entry.granted

    def compute_wanted(self, name):
        """Return the credit that the child wants and the smallest useful part of it.

        Both exclude grants that are still in transit to the child.
        """
        entry = self.entries.get(name, NO_CREDIT)
        in_transit = self.granted.get(name, 0) - entry.granted
        return max(0, entry.wanted - in_transit), max(0, entry.minimum - in_transit)

    def grant(self, name, amount):
        """Add an amount to the child's total."""
        self.granted[name] = self.granted.get(name, 0) + amount
