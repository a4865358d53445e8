"""Roll-outs of new versions, in simulations with random failures and no network."""

import random
import unittest
from types import SimpleNamespace

from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.rollouts import (
    COMPLETED,
    MAX_DECISION_AGE,
    NEXT_STATES,
    ROLLED_BACK,
    RUNNING,
    SHIFTING,
    Answers,
    Decision,
    RolloutOrder,
    Rollouts,
    compute_p_value,
    decide,
    split_answers,
)

# Requests that operators tolerate at a bad version: a tenth of all, and 50 more.
TOLERATED_FRACTION, TOLERATED_MORE = 0.1, 50
# Seconds after the 50th bad answer from which a bad version gets no requests.
ROLLED_BACK_IN = 5.0
# Seconds until all instances know a decision, and until the holder of the duty lease
# knows the answers.
DECISION_AGE, ANSWER_AGE = 1.3, 1.2
EVALUATE_INTERVAL = 0.5
ORDER = RolloutOrder("engines", "v2", 12.0)


def make_upstream_states(versions):
    """Return upstreams by name, one of each of these versions."""
    upstream_states = {}
    for number, version in enumerate(versions):
        name = f"u{number}"
        registration = Registration(
            name, "engines", Address("10.0.0.1", number), "a", version=version
        )
        upstream_states[name] = SimpleNamespace(registration=registration)
    return upstream_states


UPSTREAM_STATES = make_upstream_states(["v1"] * 3 + ["v2"] * 3)
OLD, NEW = {"u0", "u1", "u2"}, {"u3", "u4", "u5"}


def make_rollouts(state=None, now=0.0):
    """Return the Rollouts of an instance that knows both versions and an order."""
    rollouts = Rollouts()
    rollouts.record_version("engines", "v1", -100.0)
    rollouts.record_version("engines", "v2", -50.0)
    rollouts.put_order(ORDER, 7)
    if state is not None:
        rollouts.put_decision("engines", Decision(7, "v2", state, 0.0), 9)
    rollouts.updated_at = now
    return rollouts


class TestExcludedUpstreams(unittest.TestCase):
    def expect(self, state, drawn, excluded, now=0.0):
        rollouts = make_rollouts(state)
        found = rollouts.list_excluded("engines", UPSTREAM_STATES, drawn, now)
        self.assertEqual(found, excluded)

    def test_each_state_excludes_the_right_versions(self):
        for state, drawn, excluded in (
            (RUNNING, 0.01, OLD),
            (RUNNING, 0.5, NEW),
            # A retry is never part of a trial.
            (RUNNING, None, NEW),
            (None, 0.5, NEW),
            (SHIFTING, 0.5, OLD),
            (COMPLETED, None, OLD),
            (ROLLED_BACK, 0.01, NEW),
        ):
            with self.subTest(state=state, drawn=drawn):
                self.expect(state, drawn, excluded)

    def test_an_instance_with_outdated_decisions_sends_no_trial_requests(self):
        # An instance that is cut off from the store doesn't learn that a version was
        # rolled back. Without a bound on the age of its decisions, it would go on
        # sending requests to that version.
        later = MAX_DECISION_AGE + 0.1
        for state in (RUNNING, SHIFTING):
            self.expect(state, 0.01, NEW, now=later)

    def test_a_rolled_back_version_gets_nothing_even_if_it_is_the_only_one(self):
        rollouts = make_rollouts(ROLLED_BACK)
        alone = make_upstream_states(["v2"])
        found = rollouts.list_excluded("engines", alone, 0.01, 0.0)
        self.assertEqual(found, {"u0"})

    def test_a_new_version_without_an_order_gets_no_requests_at_first(self):
        # The watch of upstreams may deliver the new version before the watch of orders
        # delivers the order; for a second it would get as many requests as any other.
        rollouts = Rollouts()
        rollouts.record_version("engines", "v1", 0.0)
        rollouts.record_version("engines", "v2", 60.0)
        at_first = rollouts.list_excluded("engines", UPSTREAM_STATES, 0.5, 61.0)
        later = rollouts.list_excluded("engines", UPSTREAM_STATES, 0.5, 63.0)
        self.assertEqual((at_first, later), (NEW, frozenset()))

    def test_a_version_that_returns_is_new_again(self):
        # Guards against streams of a version that other instances think is impossible.
        rollouts = Rollouts()
        for version in ("v1", "v2"):
            rollouts.record_version("engines", version, 0.0)
        rollouts.keep_versions("engines", {"v1"})
        rollouts.record_version("engines", "v2", 60.0)
        self.assertTrue(rollouts.is_new("engines", "v2", 61.0))
        self.assertFalse(rollouts.is_new("engines", "v2", 63.0))
        self.assertFalse(rollouts.is_new("engines", "v1", 61.0))

    def test_only_a_stored_version_is_used_by_an_instance_that_starts(self):
        # Guards against the same where a version appears just before.
        rollouts = Rollouts()
        for version in ("v2", "v1"):
            rollouts.record_version("engines", version, 60.0)
        self.assertFalse(rollouts.is_new("engines", "v2", 60.1))
        rollouts.is_known = lambda pool, version: version == "v1"
        self.assertTrue(rollouts.is_new("engines", "v2", 60.1))
        self.assertFalse(rollouts.is_new("engines", "v1", 60.1))

    def test_without_a_roll_out_no_upstream_is_excluded(self):
        rollouts = Rollouts()
        rollouts.record_version("engines", "v1", 0.0)
        self.assertEqual(
            rollouts.list_excluded("engines", UPSTREAM_STATES, 0.0, 0.0), set()
        )

    def test_an_order_for_the_current_version_excludes_nothing(self):
        rollouts = make_rollouts()
        same = make_upstream_states(["v2"] * 3)
        for drawn in (0.01, 0.5):
            found = rollouts.list_excluded("engines", same, drawn, 0.0)
            self.assertEqual(found, set())


class TestOrderOfStates(unittest.TestCase):
    def test_a_final_decision_is_never_changed(self):
        for state in (COMPLETED, ROLLED_BACK):
            rollout = make_rollouts(state).rollouts_by_pool["engines"]
            for now in (1.0, 11.6, 60.0):
                found = decide(rollout, {"r": Answers(9, 9)}, {}, now)
                self.assertIsNone(found)

    def test_a_newer_order_starts_from_the_first_state(self):
        rollouts = make_rollouts(ROLLED_BACK)
        rollouts.put_order(ORDER._replace(target="v3"), 20)
        rollout = rollouts.rollouts_by_pool["engines"]
        self.assertEqual(decide(rollout, {}, {}, 30.0), RUNNING)
        # The next write replaces the decision on the older order.
        self.assertEqual(rollout.decided_at, 9)

    def test_a_repeated_order_changes_nothing(self):
        rollouts = make_rollouts(ROLLED_BACK)
        rollouts.put_order(ORDER, 7)
        self.assertEqual(
            rollouts.rollouts_by_pool["engines"].decision.state, ROLLED_BACK
        )

    def test_a_version_without_answers_is_not_completed(self):
        rollout = make_rollouts(RUNNING).rollouts_by_pool["engines"]
        self.assertEqual(decide(rollout, {}, {}, 11.9), ROLLED_BACK)


class TestReports(unittest.TestCase):
    def test_totals_of_a_new_source_are_not_counted_as_answers(self):
        # When the leader fails, the next one starts its totals anew: they are lower, or
        # begin below zero, and then grow by the answers actually seen.
        rollouts = make_rollouts()
        for source, total in (("a", 40.0), ("a", 44.0), ("b", -7.0), ("b", -4.0)):
            rollouts.add_peer_answers(source, {"x": total})
        self.assertEqual(rollouts.peer_answers, {"x": 7.0})


class TestPValue(unittest.TestCase):
    def test_failures_that_the_current_version_has_too_are_not_blamed(self):
        # One kind of request fails in a seventh of all cases with any version.
        current = {"pdf": Answers(400, 56), "note": Answers(900, 3)}
        self.assertGreater(compute_p_value({"pdf": Answers(40, 9)}, current), 0.01)
        self.assertLess(compute_p_value({"note": Answers(40, 9)}, current), 1e-4)

    def test_a_single_bad_route_is_detected(self):
        current = {"pdf": Answers(400, 0), "note": Answers(4000, 0)}
        tried = {"pdf": Answers(20, 8), "note": Answers(400, 0)}
        self.assertLess(compute_p_value(tried, current), 1e-4)


class Simulation:
    """A random roll-out with several instances, until a second after its deadline.

    ``fails(age, drawn)`` returns whether the new version answers a request badly at an
    age in seconds, for a random number from 0 to 1.
    """

    def __init__(self, seed, instances, fails):
        self.rng = random.Random(seed)
        self.rate = self.rng.uniform(20.0, 300.0)
        seconds = self.rng.uniform(10.0, 40.0)
        self.order = ORDER._replace(seconds=seconds)
        self.base_rate = self.rng.choice((0.0, 0.01, 0.14))
        self.fails = fails
        self.instances = [make_rollouts() for _ in range(instances)]
        for rollouts in self.instances:
            rollouts.rollouts_by_pool.clear()
            rollouts.put_order(self.order, 7)
        self.requests = self.exposed = self.bad = 0
        self.fiftieth_at = None
        self.late_requests = 0
        self.state = None

    def run(self):
        """Run the roll-out in steps of a tenth of a second."""
        answers, reports, due = {}, [], []
        for step in range(int((self.order.seconds + 1.0) * 10)):
            now = step / 10
            for at, decision in [item for item in due if item[0] <= now]:
                for rollouts in self.instances:
                    rollouts.put_decision("engines", decision, int(at * 10))
            due = [item for item in due if item[0] > now]
            self._ask(now)
            reports.append((now, self._sum_answers()))
            while reports and now - reports[0][0] >= ANSWER_AGE:
                answers = reports.pop(0)[1]
            if step % int(EVALUATE_INTERVAL * 10) == 0:
                self._evaluate(answers, due, now)
        return self

    def _ask(self, now):
        for _ in range(int(self.rate / 10 + self.rng.random())):
            rollouts = self.rng.choice(self.instances)
            rollouts.updated_at = now
            excluded = rollouts.list_excluded(
                "engines", UPSTREAM_STATES, self.rng.random(), now
            )
            tried = "u3" not in excluded
            bad = self.rng.random() < self.base_rate
            if tried:
                bad = bad or self.fails(now, self.rng.random())
                self._expose(bad, now)
            self.requests += now <= self.order.seconds
            version = "v2" if tried else "v1"
            rollouts.record_answer("engines", version, "r", bad)

    def _expose(self, bad, now):
        self.exposed += now <= self.order.seconds
        self.bad += bad
        if self.bad == 50 and self.fiftieth_at is None:
            self.fiftieth_at = now
        late = self.fiftieth_at is not None and now > self.fiftieth_at + ROLLED_BACK_IN
        self.late_requests += late

    def _sum_answers(self):
        total = {}
        for rollouts in self.instances:
            for name, number in rollouts.answers.items():
                total[name] = total.get(name, 0.0) + number
        return total

    def _evaluate(self, answers, due, now):
        decision = self.state and Decision(7, "v2", self.state, 0.0)
        rollout = (
            self.instances[0].rollouts_by_pool["engines"]._replace(decision=decision)
        )
        state = decide(rollout, *split_answers(answers, rollout), now)
        if state is not None:
            assert self.state is None or state in NEXT_STATES[self.state]
            self.state = state
            due.append((now + DECISION_AGE, Decision(7, "v2", state, 0.0)))


BAD = {
    "a third fails": lambda now, drawn: drawn < 0.35,
    "all are slow": lambda now, drawn: True,
    "half fail, later": lambda now, drawn: now > 5.0 and drawn < 0.5,
}


class TestRandomRollouts(unittest.TestCase):
    def test_bad_versions_stay_within_the_tolerated_exposure(self):
        # Some answers of a new version fail or are slow, at once or later. Each
        # instance sees only a few of them, and more instances must not increase the
        # exposure.
        for instances in (8, 73, 320):
            for name, fails in BAD.items():
                for seed in range(6):
                    run = Simulation(seed, instances, fails).run()
                    with self.subTest(instances=instances, name=name, seed=seed):
                        tolerated = TOLERATED_FRACTION * run.requests + TOLERATED_MORE
                        self.assertLessEqual(run.exposed, tolerated)
                        self.assertEqual(run.late_requests, 0)
                        self.assertEqual(run.state, ROLLED_BACK)

    def test_good_versions_are_completed(self):
        states = [
            Simulation(s, 8, lambda now, drawn: False).run().state for s in range(60)
        ]
        self.assertGreaterEqual(states.count(COMPLETED), 59)


if __name__ == "__main__":
    unittest.main()
