"""Allowances over all instances: bursts, partitions, restarts, lowered limits."""

import unittest

from chervilwing.allowances import Allowances
from chervilwing.exceptions import CustomerLimit
from chervilwing.routing import Organisation
from chervilwing.tallies import Counts, Tally

RATE, BURST = 100.0, 50.0
INSURER = Organisation("insurer", ("k",), rate=RATE, burst=BURST)


def make_allowances(known=1):
    """Return allowances of one organisation."""
    allowances = Allowances()
    allowances.configure([INSURER], 0.0)
    allowances.set_known(known)
    return allowances


class Others:
    """Other instances' words as the one that adds them up hands them on."""

    def __init__(self, allowances):
        self._allowances = allowances
        self._tally = Tally()
        # The one that adds them up hears the others all the time.
        self.hear("two", 1, 0.0, 0.0)

    def hear(self, name, incarnation, spent, now):
        """Take one instance's total and hand the sum on."""
        counts = Counts(1, {"insurer": spent}, {}, {})
        self._tally.hear(name, incarnation, counts, now)
        sums = self._tally.measure(now)
        self._allowances.hear(("hub", 1), sums.spent, sums.instances, now)


def spend_all(allowances, now, cost=10.0):
    """Spend until refused and return what was spent."""
    spent = 0.0
    while True:
        try:
            allowances.charge(INSURER, cost, now)
        except CustomerLimit as exc:
            return spent, exc.retry_after
        spent += cost


def refill(allowances, now):
    """Let the allowance of the time up to now come in."""
    allowances.configure([INSURER], now)


class TestAllowances(unittest.TestCase):
    def test_a_burst_and_then_the_rate(self):
        allowances = make_allowances()
        self.assertEqual(spend_all(allowances, 0.0)[0], BURST)
        self.assertEqual(spend_all(allowances, 0.3)[0], 30.0)

    def test_a_refused_caller_is_told_when_there_is_room(self):
        allowances = make_allowances()
        _, wait = spend_all(allowances, 0.0, cost=50.0)
        self.assertAlmostEqual(wait, 0.5, places=1)

    def test_a_request_over_the_burst_is_served_from_a_full_bucket(self):
        # One large request would otherwise never fit, however long its caller waits.
        allowances = make_allowances()
        allowances.charge(INSURER, 4 * BURST, 0.0)
        with self.assertRaises(CustomerLimit):
            allowances.charge(INSURER, 1.0, 0.5)

    def test_what_others_spend_is_spent_here(self):
        allowances = make_allowances(known=2)
        others = Others(allowances)
        others.hear("three", 1, 500.0, 0.0)
        others.hear("three", 1, 540.0, 0.0)
        self.assertEqual(spend_all(allowances, 0.0)[0], 10.0)

    def test_a_repeated_or_lost_message_changes_nothing(self):
        allowances = make_allowances(known=2)
        others = Others(allowances)
        for at, total in ((0.0, 0.0), (0.01, 10.0), (0.02, 10.0), (0.03, 30.0)):
            others.hear("two", 1, total, at)
        self.assertEqual(spend_all(allowances, 0.03)[0], 20.0)

    def test_words_that_overtake_each_other_change_nothing(self):
        # The older word comes last; measured from it, the next one would count what
        # was spent between the two a second time.
        allowances = make_allowances(known=2)
        others = Others(allowances)
        for total in (0.0, 20.0, 10.0, 30.0):
            others.hear("two", 1, total, 0.0)
        self.assertEqual(spend_all(allowances, 0.0)[0], 20.0)

    def test_another_one_that_adds_up_brings_no_old_spending(self):
        # The instance that everybody asks dies; the next one's sum is another, since
        # it heard of others, and none of it is news.
        allowances = make_allowances(known=2)
        allowances.hear(("hub", 1), {"insurer": 900.0}, 1, 0.0)
        allowances.hear(("next", 1), {"insurer": 4000.0}, 1, 0.0)
        allowances.hear(("next", 1), {"insurer": 4010.0}, 1, 0.0)
        self.assertEqual(spend_all(allowances, 0.0)[0], 40.0)

    def test_one_that_leads_again_brings_no_old_spending(self):
        # A leader is cut off, the next one takes its place for half a minute and tells
        # what all spend; then the first leads again. Measured from the words it had
        # heard last, all of that would be spent a second time at once: customers far
        # below their limits were refused for ten seconds, and eleven times the
        # instances were ordered that the work needed.
        allowances = make_allowances(known=2)
        others = Others(allowances)
        others.hear("two", 1, 10.0, 0.0)
        self.assertEqual(spend_all(allowances, 0.0)[0], 40.0)
        # Meanwhile the others were heard through somebody else.
        allowances.hear(("hub", 1), {"insurer": 10.0}, 1, 30.2)
        refill(allowances, 30.2)
        others.hear("two", 1, 310.0, 30.2)
        self.assertGreaterEqual(spend_all(allowances, 30.2)[0], 30.0)
        self.assertEqual(spend_all(allowances, 30.2)[0], 0.0)
        others.hear("two", 1, 330.0, 30.4)
        self.assertEqual(spend_all(allowances, 30.4)[0], 0.0)

    def test_what_one_spent_that_was_heard_late_counts(self):
        # In a burst a small instance is two seconds late with its word. The others
        # took it to be heard for most of that time and spent its part as well; passed
        # over, its own spending came on top, a tenth more than the customer may.
        allowances = make_allowances(known=2)
        others = Others(allowances)
        others.hear("two", 1, 0.0, 0.0)
        spend_all(allowances, 0.0)
        refill(allowances, 2.0)
        others.hear("two", 1, 200.0, 2.0)
        self.assertEqual(spend_all(allowances, 2.0)[0], 0.0)

    def test_a_restarted_instance_counts_from_nothing(self):
        # Its total falls back; taken as it stands the difference would be negative.
        allowances = make_allowances(known=2)
        others = Others(allowances)
        others.hear("three", 1, 900.0, 0.0)
        others.hear("three", 2, 20.0, 0.0)
        self.assertEqual(spend_all(allowances, 0.0)[0], 30.0)

    def test_an_instance_that_hears_nobody_keeps_to_its_part(self):
        # Cut off, both parts of the system would spend the whole rate.
        allowances = make_allowances(known=5)
        spend_all(allowances, 0.0)
        spent = sum(spend_all(allowances, tenth / 10)[0] for tenth in range(1, 101))
        self.assertAlmostEqual(spent, 10 * RATE / 5, delta=10.0)

    def test_many_that_are_cut_off_together_spend_no_burst_each(self):
        # Twenty of sixty instances are cut off from each other, and a customer sends
        # many times its usual. Each has the whole bucket and finds it full: a tenth
        # more than all sixty may spend in eight seconds went through the twenty alone.
        cut_off = [make_allowances(known=60) for _ in range(20)]
        spent = sum(spend_all(item, 0.0, cost=0.1)[0] for item in cut_off)
        self.assertLessEqual(spent, BURST)

    def test_one_that_is_cut_off_still_serves_a_large_request(self):
        # Its part of the burst is smaller than the request; it waits for that part.
        allowances = make_allowances(known=10)
        allowances.charge(INSURER, 20.0, 0.0)
        with self.assertRaises(CustomerLimit):
            allowances.charge(INSURER, 20.0, 0.5)
        allowances.charge(INSURER, 20.0, 3.0)

    def test_a_lowered_limit_binds_at_once(self):
        allowances = make_allowances()
        allowances.configure([INSURER._replace(rate=10.0, burst=5.0)], 0.0)
        with self.assertRaises(CustomerLimit):
            for _ in range(2):
                allowances.charge(INSURER, 5.0, 0.0)

    def test_no_limit_is_no_limit(self):
        allowances = Allowances()
        plain = Organisation("plain")
        allowances.configure([plain], 0.0)
        for _ in range(1000):
            allowances.charge(plain, 1e6, 0.0)
        self.assertEqual(allowances.spent["plain"], 1e9)
