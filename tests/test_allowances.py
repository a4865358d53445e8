"""Allowances over all instances: bursts, partitions, restarts, lowered limits."""

import unittest

from chervilwing.allowances import MIN_RETRY_AFTER, PEER_TIMEOUT, Allowances
from chervilwing.exceptions import AllowanceUnknown
from chervilwing.routing import Organisation

RATE, BURST = 100.0, 50.0
INSURER = Organisation("insurer", ("k",), rate=RATE, burst=BURST)
# Seconds in which an empty bucket accrues the whole burst.
FILL_SECONDS = BURST / RATE


def make_allowances(instance_count=1, name="one", incarnation=1):
    """Return allowances of one organisation with full buckets."""
    allowances = Allowances(name, incarnation)
    allowances.configure([INSURER], -FILL_SECONDS)
    allowances.set_instance_count(instance_count, -FILL_SECONDS)
    allowances.advance(0.0)
    return allowances


def spend_all(allowances, now, cost=10.0):
    """Spend until no credit is left and return the spent cost."""
    spent = 0.0
    while allowances.charge(INSURER, cost, now):
        spent += cost
    return spent


class Pair:
    """A parent and a child that pass credit; each has accrued half of the burst."""

    def __init__(self):
        self.parent = make_allowances(instance_count=2, name="parent", incarnation=7)
        self.child = make_allowances(instance_count=2, name="child", incarnation=3)

    def exchange(self, now):
        """Send the child's claim and the parent's grant; return both messages."""
        claim = self.child.claim("parent", now)
        grant = self.parent.receive_claim(claim, now)
        self.child.receive_grant(grant, now)
        return claim, grant

    def spend_all(self, now, cost=1.0):
        """Return the cost that both can spend now, with several claims in between."""
        spent = 0.0
        for _ in range(5):
            spent += spend_all(self.child, now, cost) + spend_all(
                self.parent, now, cost
            )
            self.child.add_waiting(INSURER, cost)
            self.exchange(now)
            self.child.remove_waiting(INSURER, cost)
        return spent


class TestOneInstance(unittest.TestCase):
    def test_spends_the_burst_and_then_the_rate(self):
        allowances = make_allowances()
        self.assertEqual(spend_all(allowances, 0.0), BURST)
        self.assertEqual(spend_all(allowances, 0.3), 30.0)

    def test_refusal_says_when_to_retry(self):
        allowances = make_allowances()
        spend_all(allowances, 0.0, cost=50.0)
        exc = allowances.make_limit_error(INSURER, 50.0)
        self.assertAlmostEqual(exc.retry_after, 0.5, places=1)

    def test_request_over_the_burst_is_served_from_a_full_bucket(self):
        # A request larger than the burst would otherwise be refused however long it
        # waits.
        allowances = make_allowances()
        self.assertTrue(allowances.charge(INSURER, 4 * BURST, 0.0))
        self.assertFalse(allowances.charge(INSURER, 1.0, 0.5))

    def test_request_that_did_not_run_is_refunded(self):
        allowances = make_allowances()
        spend_all(allowances, 0.0)
        allowances.refund(INSURER, 10.0, 0.2)
        self.assertTrue(allowances.charge(INSURER, 10.0, 0.0))

    def test_late_refund_is_ignored(self):
        # A thousand requests wait at engines for ten seconds and are cancelled
        # together. Their credit has accrued again meanwhile; refunds on top of it would
        # give the customer twice its burst.
        allowances = make_allowances()
        spend_all(allowances, 0.0)
        allowances.refund(INSURER, 10.0, 10.0)
        self.assertFalse(allowances.charge(INSURER, 1.0, 0.0))

    def test_no_credit_accrues_before_the_instance_count_is_known(self):
        # Hundreds of instances start at once. If each assumed that it is the only one,
        # each would spend the whole rate, hundreds of times the customer's limit in the
        # first second.
        allowances = Allowances("new")
        allowances.configure([INSURER], 0.0)
        self.assertEqual(spend_all(allowances, 5.0, cost=0.1), 0.0)

    def test_lowered_limit_applies_at_once(self):
        allowances = make_allowances()
        allowances.configure([INSURER._replace(rate=10.0, burst=5.0)], 0.0)
        self.assertTrue(allowances.charge(INSURER, 5.0, 0.0))
        self.assertFalse(allowances.charge(INSURER, 5.0, 0.0))

    def test_organisation_without_limit_is_never_refused(self):
        allowances = Allowances()
        plain = Organisation("plain")
        allowances.configure([plain], 0.0)
        for _ in range(1000):
            self.assertTrue(allowances.charge(plain, 1e6, 0.0))


class TestCredit(unittest.TestCase):
    def test_one_instance_can_spend_the_whole_allowance(self):
        # All connections of a customer reach one of two instances, which must obtain
        # the whole allowance.
        pair = Pair()
        spent = spend_all(pair.child, 0.0)
        pair.child.add_waiting(INSURER, 30.0)
        pair.exchange(0.0)
        self.assertGreaterEqual(spent + spend_all(pair.child, 0.0), 0.9 * BURST)

    def test_two_instances_spend_one_allowance_together(self):
        pair = Pair()
        self.assertLessEqual(pair.spend_all(0.0), BURST)
        self.assertLessEqual(pair.spend_all(0.2), 20.0)

    def test_lost_duplicated_or_late_messages_create_no_credit(self):
        # Datagrams are lost, duplicated and reordered. Applied without regard to
        # totals, returned or granted credit would count twice.
        pair = Pair()
        spent, messages = 0.0, []
        for at in range(5):
            messages.append(pair.exchange(at / 100))
            spent += spend_all(pair.parent, at / 100, cost=1.0)
        for claim, grant in reversed(messages):
            pair.parent.receive_claim(claim, 0.05)
            pair.child.receive_grant(grant, 0.05)
        spent += pair.spend_all(0.05)
        self.assertLessEqual(spent, BURST + 0.05 * RATE)

    def test_granted_totals_count_once(self):
        # Each grant carries the total since the session began. A child that added each
        # total as new credit would count the first grant again with the second.
        pair = Pair()
        pair.exchange(0.0)
        spent = 0.0
        for at in range(1, 4):
            spent += spend_all(pair.child, at / 100, cost=1.0)
            pair.child.add_waiting(INSURER, 8.0)
            pair.exchange(at / 100)
            pair.child.remove_waiting(INSURER, 8.0)
        spent += spend_all(pair.child, 0.03, cost=1.0)
        self.assertLessEqual(spent, BURST + 0.03 * RATE)

    def test_restarted_parent_counts_no_credit_twice(self):
        # The child has returned credit, then the parent restarts. It doesn't know the
        # child's earlier total and must not count it as new credit.
        pair = Pair()
        pair.exchange(0.0)
        pair.exchange(0.01)
        pair.parent = make_allowances(instance_count=2, name="parent", incarnation=8)
        spend_all(pair.parent, 0.0, cost=1.0)
        pair.exchange(0.02)
        self.assertLessEqual(spend_all(pair.parent, 0.02, cost=0.1), 0.02 * RATE)

    def test_forgotten_child_brings_back_no_old_credit(self):
        # The child is cut off for longer than PEER_TIMEOUT and then claims again. The
        # parent has forgotten it, so credit that it returned before would count a
        # second time.
        pair = Pair()
        pair.exchange(0.0)
        pair.exchange(0.01)
        spend_all(pair.parent, 0.01, cost=1.0)
        later = 0.01 + 2 * PEER_TIMEOUT
        pair.parent.advance(later)
        spend_all(pair.parent, later, cost=0.1)
        claim = pair.child.claim("parent", later)
        self.assertFalse(pair.parent.receive_claim(claim, later).session_known)
        self.assertEqual(spend_all(pair.parent, later, cost=0.1), 0.0)

    def test_request_over_the_burst_is_granted_whole(self):
        # A long prompt reaches one of two instances. It costs more than a bucket holds,
        # and a partial grant would be of no use.
        pair = Pair()
        for at in range(10):
            pair.exchange(at / 10)
        pair.child.add_waiting(INSURER, 3 * BURST)
        pair.exchange(1.0)
        self.assertTrue(pair.child.charge(INSURER, 3 * BURST, 1.0))
        # The parent is overdrawn; only the child's own accrual since then can be spent.
        self.assertLessEqual(pair.spend_all(2.0), RATE / 2)

    def test_credit_too_small_for_a_request_is_not_granted(self):
        # If a parent granted half of what one long prompt needs, that credit would lie
        # idle at the child for half a second while short requests elsewhere are
        # refused.
        pair = Pair()
        pair.exchange(0.0)
        spend_all(pair.child, 0.0, cost=1.0)
        spend_all(pair.parent, 0.0, cost=1.0)
        pair.child.add_waiting(INSURER, 40.0)
        _, grant = pair.exchange(0.1)
        self.assertEqual(grant.totals, {})
        self.assertGreaterEqual(spend_all(pair.parent, 0.1, cost=1.0), 5.0)

    def test_credit_that_accrues_later_is_granted_to_waiting_children(self):
        pair = Pair()
        pair.exchange(0.0)
        spend_all(pair.child, 0.0, cost=1.0)
        spend_all(pair.parent, 0.0, cost=1.0)
        pair.child.add_waiting(INSURER, 10.0)
        pair.exchange(0.0)
        self.assertEqual(pair.parent.grant_waiting(), {})
        pair.parent.advance(0.3)
        grants = pair.parent.grant_waiting()
        pair.child.receive_grant(grants["child"], 0.3)
        self.assertTrue(pair.child.charge(INSURER, 10.0, 0.3))


class TestPartitions(unittest.TestCase):
    def test_instance_without_parent_spends_only_its_share(self):
        # During a partition both sides would otherwise spend the whole rate.
        allowances = make_allowances(instance_count=5)
        spend_all(allowances, 0.0, cost=0.1)
        spent = sum(
            spend_all(allowances, tenth / 10, cost=0.1) for tenth in range(1, 101)
        )
        self.assertAlmostEqual(spent, 10 * RATE / 5, delta=10.0)

    def test_cut_off_instances_share_one_burst(self):
        # Twenty of sixty instances are cut off from each other while a customer sends
        # many times its usual load. If each kept a bucket of the whole burst, those
        # twenty alone would run a tenth more than all sixty may in eight seconds.
        cut_off = [make_allowances(instance_count=60) for _ in range(20)]
        spent = sum(spend_all(item, 0.0, cost=0.1) for item in cut_off)
        self.assertLessEqual(spent, BURST * 20 / 60)
        # The same holds after a minute without requests.
        for item in cut_off:
            item.advance(60.0)
        spent = sum(spend_all(item, 60.0, cost=0.1) for item in cut_off)
        self.assertLessEqual(spent, BURST * 20 / 60)

    def test_cut_off_instance_still_serves_a_large_request(self):
        # The instance's share of the burst is smaller than the request; it must be
        # served once the bucket holds that share.
        allowances = make_allowances(instance_count=10)
        self.assertTrue(allowances.charge(INSURER, 20.0, 0.0))
        self.assertFalse(allowances.charge(INSURER, 20.0, 0.5))
        self.assertTrue(allowances.charge(INSURER, 20.0, 3.0))

    def test_cut_off_instance_sends_callers_elsewhere(self):
        # A customer far below its limit reaches an instance that is cut off. If the
        # refusal said that the allowance is used up, the customer would stay away
        # although all other instances would serve it.
        allowances = make_allowances(instance_count=10)
        exc = allowances.make_limit_error(INSURER, 40.0)
        self.assertIsInstance(exc, AllowanceUnknown)
        self.assertLess(exc.retry_after, MIN_RETRY_AFTER)

    def test_cut_off_parent_drops_the_credit_of_others(self):
        # The first of all instances holds the whole burst and is cut off. The others
        # choose another parent and accrue their credit again; the cut-off one would
        # spend a second burst.
        pair = Pair()
        for at in range(10):
            pair.exchange(at / 10)
        later = 1.0 + 2 * PEER_TIMEOUT
        pair.parent.advance(later)
        self.assertLessEqual(spend_all(pair.parent, later, cost=0.1), BURST / 2)


if __name__ == "__main__":
    unittest.main()
