"""One holder of a duty: lapses, lost answers, frozen holders, A after B after A."""

import random
import unittest

from chervilwing.items import (
    Commit,
    Committed,
    Conflict,
    Item,
    KeepLease,
    Leased,
    LeaseGone,
    TakeLease,
    Unavailable,
)
from chervilwing.tenures import Record, Tenure

TTL = 3.0


class TestTenure(unittest.TestCase):
    def setUp(self):
        record = Record("instances/one", b"10.0.0.1:1")
        self.tenure = Tenure("duty", record, "one", TTL, random.Random(1))

    def answer(self, reply, sent, at=None):
        """Make the call that is due, answer it and return it."""
        call = self.tenure.next_call(sent)
        self.assertIsNotNone(call)
        self.tenure.receive(reply, sent if at is None else at)
        return call

    def hold(self, revision=9):
        """Go through lease, record and claim."""
        self.assertEqual(self.answer(Leased(7, TTL), 0.0), TakeLease(TTL))
        enlisted = self.answer(Committed(5), 0.0)
        self.assertEqual(enlisted.puts[0][0], "instances/one")
        self.tenure.observe(None, 5)
        claim = self.answer(Committed(revision), 0.1)
        self.assertEqual(claim, Commit((("duty", 0),), (("duty", b"one/7", 7),)))

    def test_the_revision_of_the_claim_is_the_fence(self):
        self.hold(9)
        self.assertEqual(self.tenure.fence(0.2), 9)

    def test_a_patient_instance_leaves_a_vacant_duty_to_others_for_a_while(self):
        # The holder dies and hundreds see it at once: all would write, and all but one
        # in vain, just as the store has other things to do.
        self.tenure.patience = 0.5
        self.answer(Leased(7, TTL), 0.0)
        self.answer(Committed(5), 0.0)
        self.tenure.observe(None, 5)
        self.assertIsNone(self.tenure.next_call(0.1))
        self.assertIsNone(self.tenure.next_call(0.4))
        self.tenure.observe(Item("duty", b"two/8", 6), 6)
        self.assertIsNone(self.tenure.next_call(0.7))
        self.tenure.observe(None, 8)
        self.assertIsNone(self.tenure.next_call(0.8))
        self.assertIsInstance(self.tenure.next_call(1.0), KeepLease)
        self.tenure.receive(Leased(7, TTL), 1.0)
        self.assertIsInstance(self.tenure.next_call(1.35), Commit)

    def test_nobody_acts_on_a_lease_that_may_have_lapsed(self):
        # The holder is frozen or cut off for longer than its lease: another one holds
        # the duty by the time it wakes, and both would act.
        self.hold()
        self.assertIsNone(self.tenure.fence(TTL))

    def test_the_lease_counts_from_the_sending_of_its_renewal(self):
        self.hold()
        renewal = self.answer(Leased(7, TTL), 1.0, at=2.9)
        self.assertEqual(renewal, KeepLease(7))
        self.assertIsNone(self.tenure.fence(1.0 + TTL))

    def test_a_lapsed_lease_ends_the_tenure(self):
        self.hold()
        self.answer(LeaseGone(), 1.0)
        self.assertIsNone(self.tenure.fence(1.0))
        self.assertEqual(self.tenure.next_call(1.1), TakeLease(TTL))

    def test_a_claim_whose_answer_was_lost_is_found(self):
        # The write took effect and its answer never came: nobody would do the duty
        # until the lease ends, which its owner keeps alive.
        self.answer(Leased(7, TTL), 0.0)
        self.answer(Committed(5), 0.0)
        self.tenure.observe(None, 5)
        self.answer(Unavailable(), 0.1)
        self.tenure.observe(Item("duty", b"one/7", 8), 8)
        self.assertEqual(self.tenure.fence(0.2), 8)

    def test_a_claim_of_an_earlier_process_is_not_ours(self):
        self.answer(Leased(7, TTL), 0.0)
        self.tenure.observe(Item("duty", b"one/6", 8), 8)
        self.assertIsNone(self.tenure.fence(0.2))

    def test_older_knowledge_does_not_end_a_tenure(self):
        self.hold(9)
        self.tenure.observe(None, 6)
        self.assertEqual(self.tenure.fence(0.2), 9)
        self.tenure.observe(Item("duty", b"two/3", 12), 12)
        self.assertIsNone(self.tenure.fence(0.2))

    def test_a_taken_duty_is_not_claimed_again_at_once(self):
        self.answer(Leased(7, TTL), 0.0)
        self.answer(Committed(5), 0.0)
        self.tenure.observe(None, 5)
        self.answer(Conflict(), 0.1)
        self.assertIsNone(self.tenure.next_call(0.2))

    def test_a_returning_holder_waits_out_its_own_last_act(self):
        # A acts, loses the duty to B and gets it back at once: the platform would see
        # A, B, A within one lease.
        self.hold(9)
        self.tenure.note_act(0.5)
        self.tenure.observe(Item("duty", b"two/3", 12), 12)
        self.tenure.observe(None, 14)
        self.answer(Committed(15), 0.6)
        self.assertIsNone(self.tenure.fence(0.7))
        self.answer(Leased(7, TTL), 1.8)
        self.assertEqual(self.tenure.fence(0.5 + TTL), 15)
