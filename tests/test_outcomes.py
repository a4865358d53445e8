"""Tests of what callers get under load: schedulers round modelled upstreams."""

import unittest
from collections import Counter
from functools import cache

from bench.deployments import ANDESUR, TOURNELLE
from bench.loads import LOADS
from bench.measures import measure
from bench.policies import POLICIES
from bench.simulation import Run

BY_LOAD = {load.name: load for load in LOADS}
BY_POLICY = {policy.name: policy for policy in POLICIES}
OURS = "chervilwing"
SECONDS = 60.0


@cache
def play(deployment, load, policy=OURS):
    """Return a run that has ended and its figures."""
    shorter = BY_LOAD[load]._replace(duration=SECONDS)
    run = Run(deployment, shorter, BY_POLICY[policy])
    run.play()
    return run, measure(run)


class TestOutcomes(unittest.TestCase):
    def test_every_request_ends_in_one_answer_or_one_refusal(self):
        for load in ("burst", "saturation 5x", "reclaimed"):
            run, _ = play(ANDESUR, load)
            for request in run.requests:
                self.assertTrue(request.closed, request.name)
                self.assertEqual(bool(request.cause), request.finished is None)

    def test_calm_load_is_answered_in_target(self):
        for deployment in (ANDESUR, TOURNELLE):
            _, figures = play(deployment, "steady")
            self.assertGreater(min(figures.in_target.values()), 0.9)

    def test_a_burst_does_not_multiply_attempts(self):
        """Three times the usual load arrives for five seconds.

        Balancers that send at once fill every upstream and then try the siblings,
        which are full of the same burst.
        """
        _, ours = play(ANDESUR, "burst")
        _, other = play(ANDESUR, "burst", "least outstanding")
        self.assertLess(ours.attempts, 1.1)
        self.assertGreater(other.attempts, 1.1)

    def test_skewed_demand_leaves_small_customers_in_target(self):
        """One customer sends 72% of a load that is 30% over capacity.

        In one line everybody would wait behind it.
        """
        _, ours = play(TOURNELLE, "skewed")
        _, other = play(TOURNELLE, "skewed", "least outstanding")
        self.assertGreater(ours.fairness, other.fairness)
        for name in ("org-2", "org-3", "org-4"):
            self.assertLess(ours.customers[name][0], 0.5 * other.customers[name][0])

    def test_a_slow_upstream_gets_less_before_it_is_declared_sick(self):
        """One worker takes four times as long from the 20th second on.

        It still answers and reports a load like the others'. Sent an equal share,
        it would make a fifth of the callers late.
        """
        run, ours = play(ANDESUR, "slow upstream")
        memos = [req for req in run.requests if req.kind.prefix and req.finished]
        later = [req for req in memos if req.arrival > SECONDS / 2]
        counts = Counter(req.last_upstream for req in later)
        self.assertLess(counts["memos-0"] / len(later), 0.16)
        _, other = play(ANDESUR, "slow upstream", "round robin")
        self.assertGreater(ours.in_target["memo"], other.in_target["memo"])

    def test_short_work_does_not_wait_behind_long(self):
        """Questions of 60 tokens meet plans of 500 and more, to full slots.

        A slot that a plan takes stays taken for half a minute.
        """
        _, mixed = play(TOURNELLE, "long/short")
        _, ours = play(TOURNELLE, "full 1x")
        _, other = play(TOURNELLE, "full 1x", "round robin")
        for name in ("explanation", "briefing"):
            self.assertGreater(mixed.in_target[name], 0.95)
            self.assertGreater(ours.in_target[name], other.in_target[name])

    def test_useful_throughput_holds_in_saturation(self):
        """Callers offer twice and five times what the pools can do.

        Without refusals everything is served late, to callers who have hung up.
        """
        for deployment in (ANDESUR, TOURNELLE):
            _, full = play(deployment, "full 1x")
            for load in ("saturation 2x", "saturation 5x"):
                _, ours = play(deployment, load)
                _, other = play(deployment, load, "no admission")
                self.assertGreater(ours.useful, 0.75 * full.useful)
                self.assertGreater(ours.useful, 2 * other.useful)
                self.assertLess(ours.attempts, 1.1)

    def test_in_saturation_urgent_work_goes_before_work_that_can_wait(self):
        _, figures = play(ANDESUR, "saturation 2x")
        self.assertGreater(figures.in_target["binding"], figures.in_target["document"])
        self.assertGreater(figures.in_target["quote"], figures.in_target["document"])

    def test_a_reclaimed_data_centre_loses_no_accepted_answer_to_a_break(self):
        """A data centre with two of five workers is reclaimed on 10 s of notice.

        What can't end in the notice moves, urgent work first, and is resumed where
        it was; no caller sees a broken answer and no binding note is repeated.
        """
        for deployment in (ANDESUR, TOURNELLE):
            run, ours = play(deployment, "reclaimed")
            _, other = play(deployment, "reclaimed", "least outstanding")
            self.assertNotIn("upstream-failed", ours.causes)
            self.assertLess(ours.recomputed_rate, other.recomputed_rate)
            notes = [req for req in run.requests if not req.kind.idempotent]
            self.assertEqual([req for req in notes if req.runs > 1], [])
