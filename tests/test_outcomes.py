"""Tests of callers' outcomes under load, with the real scheduler in a simulation."""

import unittest
from collections import Counter
from functools import cache

from bench.deployments import ANDESUR, TOURNELLE
from bench.loads import LOADS
from bench.measures import measure
from bench.policies import POLICIES
from bench.simulation import Run

LOADS_BY_NAME = {load.name: load for load in LOADS}
POLICIES_BY_NAME = {policy.name: policy for policy in POLICIES}
OUR_POLICY = "chervilwing"
DURATION = 60.0


@cache
def simulate(deployment, load, policy=OUR_POLICY):
    """Return a finished simulation run and its measurements."""
    shorter = LOADS_BY_NAME[load]._replace(duration=DURATION)
    run = Run(deployment, shorter, POLICIES_BY_NAME[policy])
    run.play()
    return run, measure(run)


class TestOutcomes(unittest.TestCase):
    def test_every_request_is_answered_or_refused_once(self):
        for load in ("burst", "saturation 5x", "reclaimed"):
            run, _ = simulate(ANDESUR, load)
            for request in run.requests:
                self.assertTrue(request.closed, request.name)
                self.assertEqual(bool(request.cause), request.finished is None)

    def test_steady_load_is_answered_within_target(self):
        for deployment in (ANDESUR, TOURNELLE):
            _, figures = simulate(deployment, "steady")
            self.assertGreater(min(figures.in_target.values()), 0.9)

    def test_a_burst_does_not_multiply_attempts(self):
        """Three times the usual load arrives for five seconds.

        A load balancer without a queue fills every upstream and then retries on others,
        which are full of the same burst.
        """
        _, ours = simulate(ANDESUR, "burst")
        _, other = simulate(ANDESUR, "burst", "least outstanding")
        self.assertLess(ours.attempts, 1.1)
        self.assertGreater(other.attempts, 1.1)

    def test_skewed_demand_does_not_delay_small_customers(self):
        """One customer sends 72% of a load that is 30% over capacity.

        In a single queue all customers would wait behind its requests.
        """
        _, ours = simulate(TOURNELLE, "skewed")
        _, other = simulate(TOURNELLE, "skewed", "least outstanding")
        self.assertGreater(ours.fairness, other.fairness)
        for name in ("org-2", "org-3", "org-4"):
            self.assertLess(ours.customers[name][0], 0.5 * other.customers[name][0])

    def test_a_slow_upstream_receives_fewer_requests(self):
        """One upstream becomes four times slower from the 20th second on.

        It still answers and reports a load like that of the others. With an equal share
        of the requests, it would make a fifth of the answers late.
        """
        run, ours = simulate(ANDESUR, "slow upstream")
        memos = [req for req in run.requests if req.kind.prefix and req.finished]
        later = [req for req in memos if req.arrival > DURATION / 2]
        counts = Counter(req.last_upstream for req in later)
        self.assertLess(counts["memos-0"] / len(later), 0.16)
        _, other = simulate(ANDESUR, "slow upstream", "round robin")
        self.assertGreater(ours.in_target["memo"], other.in_target["memo"])

    def test_short_requests_do_not_wait_behind_long_ones(self):
        """Requests of 60 tokens compete for slots with requests of 500 and more.

        A slot that a long request occupies stays occupied for half a minute.
        """
        _, mixed = simulate(TOURNELLE, "long/short")
        _, ours = simulate(TOURNELLE, "full 1x")
        _, other = simulate(TOURNELLE, "full 1x", "round robin")
        for name in ("explanation", "briefing"):
            self.assertGreater(mixed.in_target[name], 0.95)
            self.assertGreater(ours.in_target[name], other.in_target[name])

    def test_useful_throughput_is_maintained_in_saturation(self):
        """The load is two and five times the capacity of the pools.

        Without refusals every answer would be late, for callers that have given up.
        """
        for deployment in (ANDESUR, TOURNELLE):
            _, full = simulate(deployment, "full 1x")
            for load in ("saturation 2x", "saturation 5x"):
                _, ours = simulate(deployment, load)
                _, other = simulate(deployment, load, "no admission")
                self.assertGreater(ours.useful, 0.75 * full.useful)
                self.assertGreater(ours.useful, 2 * other.useful)
                self.assertLess(ours.attempts, 1.1)

    def test_in_saturation_urgent_classes_are_preferred(self):
        _, figures = simulate(ANDESUR, "saturation 2x")
        self.assertGreater(figures.in_target["binding"], figures.in_target["document"])
        self.assertGreater(figures.in_target["quote"], figures.in_target["document"])

    def test_a_reclaimed_data_centre_breaks_no_accepted_answer(self):
        """A data centre with two of five upstreams is reclaimed with 10 s of notice.

        Requests that can't finish in that time move to other upstreams, urgent ones
        first, and resume where they stopped. No answer may break off, and no
        non-idempotent request may run twice.
        """
        for deployment in (ANDESUR, TOURNELLE):
            run, ours = simulate(deployment, "reclaimed")
            _, other = simulate(deployment, "reclaimed", "least outstanding")
            self.assertNotIn("upstream-failed", ours.causes)
            self.assertLess(ours.recomputed_rate, other.recomputed_rate)
            notes = [req for req in run.requests if not req.kind.idempotent]
            self.assertEqual([req for req in notes if req.runs > 1], [])
