"""Holding the duties, such as ordering machines, by one instance at a time.

The holder creates one key under its lease. The key's revision is the fencing number:
revisions only grow, over all epochs of the store, so every later holder has a higher
number.

A store that returns from a copy may have lost the key, the lease or both, and may grant
the lease's number to another instance. In a new epoch an instance therefore relies on
its lease again only when it sees its own record in the store.
"""

from typing import NamedTuple

from .store_calls import (
    Commit,
    Committed,
    Conflict,
    KeepLease,
    Leased,
    LeaseGone,
    TakeLease,
    Unavailable,
)
from .store_epochs import get_epoch
from .store_leases.durations import RENEW_FRACTION, LeaseTerms, is_kept

# Fraction of the lease after which its holder no longer relies on it: the rest covers a
# call in transit and the drift of two clocks.
TRUST_FRACTION = 0.7
# Mean seconds between two tries after a failure, randomised so that instances don't
# retry together.
RETRY_INTERVAL = 0.5
# Fraction of a long lease between two tries. When the store rejects a third of hundreds
# of instances for seconds, each rejected call still counts against its rate.
LONG_RETRY_FRACTION = 0.1


class Record(NamedTuple):
    """The key and value by which other instances find this one."""

    key: str
    value: bytes


class DutyLease:
    """State of one instance's claim to a duty; times are seconds on one clock.

    The instance's own record is stored under the same lease. This instance claims a
    vacant duty only after ``claim_delay`` seconds. When a holder ends, hundreds of
    instances see it at once; if each claimed the duty, all writes but one would be in
    vain.

    ``wanted_terms`` are the LeaseTerms to change to. Under a longer lease than that of
    the duties, the instance claims nothing. A lease can't be extended, so that the
    instance takes another one and writes its record under it; the previous one lapses.

    The clock must include suspended time: otherwise a resumed holder would act under a
    lease that lapsed during the suspension.
    """

    def __init__(self, key, record, name, ttl, rng):
        self.key = key
        self.lease = None
        self.record = record
        self._record_written = False
        self._vacant = False
        self._vacant_since = None
        self.claim_delay = 0.0
        self._name = name
        self._ttl = ttl
        self.wanted_terms = LeaseTerms(ttl, ttl * RENEW_FRACTION)
        # Terms of the present lease, and those of a lease that is being taken.
        self.terms = self.wanted_terms
        self._taken_terms = self.wanted_terms
        self._rng = rng
        self._call = None
        self._trusted_until = float("-inf")
        self._fence = 0
        self._sent_at = None
        self._next_call_at = 0.0
        self._renew_at = 0.0
        self._last_act_at = float("-inf")
        self._last_act_fence = 0
        self._epoch = 0
        self._lease_confirmed = True
        self._act_from = float("-inf")

    @property
    def confirmed_lease(self):
        """Return the lease if it is known to be this instance's own, or None."""
        return self.lease if self._lease_confirmed else None

    def enter_epoch(self, epoch, now):
        """Rely on no lease and no duty of an earlier epoch of the store.

        The holder of that epoch may not know of the return yet. Others leave the duty
        to it until it no longer relies on its lease either.
        """
        if self.lease is not None and self.fence(now) is None:
            self._act_from = now + self._ttl * TRUST_FRACTION
        self._epoch = epoch
        self._fence = 0
        self._vacant = False
        self._lease_confirmed = self.lease is None

    def confirm_lease(self, record, revision):
        """Apply this instance's record as the store has it, None if it has none.

        The record is written under the lease. If the store still has it, it has the
        lease too.
        """
        if self._lease_confirmed or get_epoch(revision) < self._epoch:
            return
        if record is not None and record.value == self.record.value:
            self._lease_confirmed = True
            return
        self._end_lease()

    def fence(self, now):
        """Return the fencing number to act under now, or None.

        If the duty went to another instance and came back, the platform could see the
        holders in the order A, B, A. A returning holder therefore waits until its last
        act under the older number is a whole lease ago.
        """
        relies = self._lease_confirmed and self._act_from <= now < self._trusted_until
        if not self._fence or not relies:
            return None
        if self._last_act_fence != self._fence and now < self._last_act_at + self._ttl:
            return None
        return self._fence

    def record_act(self, now):
        """Record a call that was made under the present fencing number."""
        self._last_act_at, self._last_act_fence = now, self._fence

    def give_up(self):
        """Give the duty up after a higher fencing number was seen."""
        self._fence = 0

    def observe(self, item, revision):
        """Apply the duty's key as of a revision of the store, None if there is none.

        An observation may be older than this instance's own claim, and must not end a
        hold that has just begun.
        """
        if revision < self._fence or get_epoch(revision) < self._epoch:
            return
        if item is None or item.revision != self._fence:
            self._fence = 0
        if item is not None and self.lease is not None:
            owner, _, lease = item.value.decode().rpartition("/")
            # A claim whose reply was lost took effect all the same.
            if owner == self._name and lease == str(self.lease):
                self._fence = item.revision
        self._vacant = item is None

    def next_call(self, now):
        """Return the call to make now, or None."""
        if self._sent_at is not None or now < self._next_call_at:
            return None
        call = self._choose_call(now)
        if call is not None:
            self._sent_at, self._call = now, call
        return call

    def _choose_call(self, now):
        if self.lease is None or self._must_replace(now):
            self._taken_terms = self.wanted_terms
            return TakeLease(self._taken_terms.ttl)
        if now >= self._renew_at:
            return KeepLease(self.lease)
        if not self._lease_confirmed:
            return None
        if not self._record_written:
            put = (self.record.key, self.record.value, self.lease)
            return Commit(puts=(put,))
        if self._may_claim(now):
            value = f"{self._name}/{self.lease}".encode()
            put = (self.key, value, self.lease)
            return Commit(expect=((self.key, 0),), puts=(put,))
        return None

    def _must_replace(self, now):
        """Return whether to take a lease with other terms.

        The key of a duty that is held is under the present lease. A longer lease can
        wait until the present one is due for renewal.
        """
        if self._fence or is_kept(self.terms, self.wanted_terms):
            return False
        return now >= self._renew_at or self.wanted_terms.ttl < self.terms.ttl

    def _may_claim(self, now):
        if not self._vacant or self._fence or self.terms.ttl > self._ttl:
            self._vacant_since = None
            return False
        if self._vacant_since is None:
            self._vacant_since = now
        if now < max(self._act_from, self._vacant_since + self.claim_delay):
            return False
        return now < self._trusted_until

    def receive(self, reply, now):
        """Apply the reply to the last call."""
        sent_at, self._sent_at = self._sent_at, None
        RECEIVERS[type(reply)](self, reply, sent_at, now)

    def _receive_leased(self, reply, sent_at, now):
        if isinstance(self._call, TakeLease):
            self.terms = self._taken_terms
            self._record_written = False
        self.lease = reply.lease
        # The lease counts from the call's arrival at the store. Counting from its
        # sending, which is earlier, is safe.
        self._trusted_until = sent_at + reply.ttl * TRUST_FRACTION
        renew_fraction = self.terms.renew_after / self.terms.ttl
        self._renew_at = sent_at + reply.ttl * renew_fraction

    def _receive_lease_gone(self, reply, sent_at, now):
        self._end_lease()

    def _end_lease(self):
        self.lease = None
        self._lease_confirmed = True
        self._record_written = False
        self._fence = 0
        self._trusted_until = float("-inf")

    def _receive_committed(self, reply, sent_at, now):
        if not self._call.expect:
            self._record_written = True
            return
        self._fence = reply.revision
        self._vacant = False

    def _receive_conflict(self, reply, sent_at, now):
        self._vacant = False
        self._receive_failure(reply, sent_at, now)

    def _receive_failure(self, reply, sent_at, now):
        interval = RETRY_INTERVAL
        if self.terms.ttl > self._ttl:
            interval = max(interval, self.terms.ttl * LONG_RETRY_FRACTION)
        self._next_call_at = now + interval * self._rng.uniform(0.5, 1.5)


RECEIVERS = {
    Leased: DutyLease._receive_leased,
    LeaseGone: DutyLease._receive_lease_gone,
    Committed: DutyLease._receive_committed,
    Conflict: DutyLease._receive_conflict,
    Unavailable: DutyLease._receive_failure,
}
