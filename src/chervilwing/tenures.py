"""Who holds a duty: one instance at a time, by a lease and a fencing number.

The holder creates one key under its lease. The key's revision is the fencing number:
the store counts revisions upwards, so that every later holder has a higher one.
"""

from typing import NamedTuple

from .items import (
    Commit,
    Committed,
    Conflict,
    KeepLease,
    Leased,
    LeaseGone,
    TakeLease,
    Unavailable,
)

# Part of the lease after which it is renewed, and part after which its holder no longer
# acts on it: the rest covers a call that is on its way and the drift of two clocks.
RENEW_PART = 0.3
TRUST_PART = 0.7
# Seconds between tries after a failure, spread so that instances don't meet.
RETRY_WAIT = 0.5


class Record(NamedTuple):
    """The key and value under which an instance is found by the others."""

    key: str
    value: bytes


class Tenure:
    """State of one instance's part in a duty; times are seconds on one clock.

    The same lease carries the instance's own record. ``patience`` is for how many
    seconds a vacant duty is left to others. Load: hundreds of instances see the end of
    a holder at once. Harm: each writes, and all but one in vain.

    The clock must go on while the machine is suspended: on one that stands still, a
    holder would wake and act under a lease that lapsed while it slept.
    """

    def __init__(self, key, record, name, ttl, rng):
        self.key = key
        self.lease = None
        self._record = record
        self._enlisted = False
        self._vacant = False
        self._vacant_since = None
        self.patience = 0.0
        self._name = name
        self._ttl = ttl
        self._rng = rng
        self._call = None
        self._until = float("-inf")
        self._fence = 0
        self._sent = None
        self._due = 0.0
        self._renew_at = 0.0
        self._acted = float("-inf")
        self._acted_fence = 0

    def fence(self, now):
        """Return the fencing number to act under now, or None.

        Guard: after the duty went to another instance and came back, the platform may
        see the holders in the order A, B, A; a returning holder waits until its own
        last act under the older number is a whole lease ago.
        """
        if not self._fence or now >= self._until:
            return None
        if self._acted_fence != self._fence and now < self._acted + self._ttl:
            return None
        return self._fence

    def note_act(self, now):
        """Take note of a call that was made under the present number."""
        self._acted, self._acted_fence = now, self._fence

    def drop(self):
        """Give the duty up after somebody with a higher number was seen."""
        self._fence = 0

    def observe(self, item, revision):
        """Take the duty's key as of a revision of the store, None if there is none.

        Guard: what is known of the key may be older than our own claim; taken for
        news, it would end a tenure that has just begun.
        """
        if revision < self._fence:
            return
        if item is None or item.revision != self._fence:
            self._fence = 0
        if item is not None and self.lease is not None:
            owner, _, lease = item.value.decode().rpartition("/")
            # A claim whose answer was lost took effect all the same.
            if owner == self._name and lease == str(self.lease):
                self._fence = item.revision
        self._vacant = item is None

    def next_call(self, now):
        """Return the call to make now, or None."""
        if self._sent is not None or now < self._due:
            return None
        call = self._choose(now)
        if call is not None:
            self._sent, self._call = now, call
        return call

    def _choose(self, now):
        if self.lease is None:
            return TakeLease(self._ttl)
        if now >= self._renew_at:
            return KeepLease(self.lease)
        if not self._enlisted:
            put = (self._record.key, self._record.value, self.lease)
            return Commit(puts=(put,))
        if self._may_claim(now):
            value = f"{self._name}/{self.lease}".encode()
            put = (self.key, value, self.lease)
            return Commit(expect=((self.key, 0),), puts=(put,))
        return None

    def _may_claim(self, now):
        if not self._vacant or self._fence:
            self._vacant_since = None
            return False
        if self._vacant_since is None:
            self._vacant_since = now
        return now < self._until and now - self._vacant_since >= self.patience

    def receive(self, reply, now):
        """Take the answer to the last call."""
        sent, self._sent = self._sent, None
        RECEIVERS[type(reply)](self, reply, sent, now)

    def _receive_leased(self, reply, sent, now):
        self.lease = reply.lease
        # From the sending, not from the answer: the store counts from the arrival.
        self._until = sent + reply.ttl * TRUST_PART
        self._renew_at = sent + reply.ttl * RENEW_PART

    def _receive_gone(self, reply, sent, now):
        self.lease = None
        self._enlisted = False
        self._fence = 0
        self._until = float("-inf")

    def _receive_claimed(self, reply, sent, now):
        if not self._call.expect:
            self._enlisted = True
            return
        self._fence = reply.revision
        self._vacant = False

    def _receive_taken(self, reply, sent, now):
        self._vacant = False
        self._receive_nothing(reply, sent, now)

    def _receive_nothing(self, reply, sent, now):
        self._due = now + RETRY_WAIT * self._rng.uniform(0.5, 1.5)


RECEIVERS = {
    Leased: Tenure._receive_leased,
    LeaseGone: Tenure._receive_gone,
    Committed: Tenure._receive_claimed,
    Conflict: Tenure._receive_taken,
    Unavailable: Tenure._receive_nothing,
}
