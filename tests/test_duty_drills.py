"""Randomised runs of instances that claim one duty on a store that returns from copies.

Besides the faults of ``test_duty_leases_randomised``, the store comes back from a copy
some seconds old: claims and leases since are gone, and their numbers are given out
again. Instances learn of it from their next reply.
"""

import copy

from chervilwing.store_calls import Committed, Item, KeepLease, Leased
from chervilwing.store_epochs import StoreEpochs, make_revision
from tests import test_duty_leases_randomised as randomised
from tests.test_duty_leases_randomised import KEY, TTL, Store, World

# Seconds between two copies, mean seconds between two drills, and the probability that
# a drill follows the last one within a second.
COPY_INTERVAL = 4.0
MEAN_DRILL_INTERVAL = 12.0
SERIES = 0.3


class RestoredStore(Store):
    """A simulated store that also has the instances' records."""

    def __init__(self):
        super().__init__()
        self.epoch = 1
        self.next_lease = 1
        self.records = {}
        self.save()

    def save(self):
        """Save a copy."""
        state = (self.revision, self.item, self.lease_of_item, self.leases)
        self.saved = copy.deepcopy((*state, self.records, self.next_lease))

    def restore(self, now):
        """Return from the copy; the leases in it run again."""
        state = copy.deepcopy(self.saved)
        self.revision, self.item, self.lease_of_item, self.leases = state[:4]
        self.records, self.next_lease = state[4:]
        self.leases = dict.fromkeys(self.leases, now + TTL)
        self.epoch += 1
        if self.item is not None:
            self.item = self.item._replace(revision=self.date(self.item.revision))

    def date(self, revision):
        """Return a revision of the present epoch."""
        return make_revision(self.epoch, revision & 0xFFFF)

    def carry_out(self, call, now):
        """Carry out a call; leases have the numbers of those that were lost."""
        self.expire(now)
        if not isinstance(call, KeepLease) and hasattr(call, "ttl"):
            self.next_lease += 1
            self.leases[self.next_lease] = now + call.ttl
            self.durations[self.next_lease] = call.ttl
            return Leased(self.next_lease, call.ttl)
        reply = super().carry_out(call, now)
        if isinstance(reply, Committed):
            ((key, value, lease),) = call.puts
            if key == KEY:
                self.item = Item(KEY, value, self.date(self.revision))
            else:
                self.records[key] = Item(key, value, self.date(self.revision)), lease
            reply = Committed(self.date(self.revision))
        self.records = {k: v for k, v in self.records.items() if v[1] in self.leases}
        return reply


class DrillWorld(World):
    """Instances whose store is restored at random times."""

    def __init__(self, seed):
        super().__init__(seed)
        self.store = RestoredStore()
        self.epochs = [StoreEpochs() for _ in self.duties]
        self.reply_epochs = {}
        self.now = 0.0
        for duty, epochs in zip(self.duties, self.epochs, strict=True):
            handle = lambda epoch, duty=duty: duty.enter_epoch(epoch, self.now)
            epochs.subscribe(handle)
        self.copied_at = 0.0
        self.drill_at = self.rng.uniform(8.0, 20.0)

    def arrive(self, number, tag, call, now, fault):
        """Let the store carry out a call, in its present epoch."""
        # The reply's epoch by the time of its sending, for its delivery.
        self.reply_epochs[number, tag] = self.store.epoch
        super().arrive(number, tag, call, now, fault)

    def answer(self, number, tag, reply, now):
        """Deliver a reply; one of an earlier epoch is taken for none."""
        self.now = now
        if reply is not None and now >= self.frozen[number]:
            if not self.epochs[number].note(self.reply_epochs[number, tag]):
                reply = None
        super().answer(number, tag, reply, now)

    def step(self, now):
        """Save copies, run drills and let the instances step."""
        self.now = now
        if now - self.copied_at >= COPY_INTERVAL:
            self.copied_at = now
            self.store.save()
        if now >= self.drill_at and not self.fault_free:
            self.store.restore(now)
            soon = self.rng.random() < SERIES
            wait = self.rng.expovariate(1 / MEAN_DRILL_INTERVAL)
            self.drill_at = now + (self.rng.random() if soon else wait)
        for number, duty in enumerate(self.duties):
            if now >= self.frozen[number] and self.rng.random() < 0.3:
                self.observe(number, duty)
        super().step(now)

    def observe(self, number, duty):
        """Let an instance see the whole store."""
        self.epochs[number].note(self.store.epoch)
        revision = self.store.date(self.store.revision)
        duty.observe(self.store.item, revision)
        record = self.store.records.get(duty.record.key)
        duty.confirm_lease(record and record[0], revision)


class TestDrills(randomised.TestRandomisedRuns):
    """The same promises; another instance claims a lost duty only after a wait."""

    world = DrillWorld
    held_from = 72

    def test_the_duty_is_held_in_each_run(self):
        for seed in randomised.SEEDS:
            with self.subTest(seed=seed):
                self.assertTrue(DrillWorld(seed).run())
