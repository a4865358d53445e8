"""Admission by urgency under the load patterns of docs/LOAD-SCHEDULING.md.

Undisturbed, all requests are in time at the usual rate of these tests, so that the
bounds relative to that are bounds on the fractions themselves.
"""

import unittest

from tests.pool_admission_load import FILE, KINDS, ORGANISATIONS, TAGS, UrgentLoad

ENGINES = 6
# Factor on the rates of customer A at which six engines are about half busy.
USUAL = 0.3
START, END, SECONDS = 2.0, 10.0, 17.0
# Seconds after a load peak within which the pool has to recover.
RECOVERY = 2.0
QUIET = ORGANISATIONS[1:]


def run(factor, engines=ENGINES, returns="told", prepare=lambda load: None, seed=1):
    """Run a load whose rates have a ``factor`` of kind, organisation and time."""

    def scale(kind, organisation, now):
        during = START <= now < END
        return USUAL * (factor(kind, organisation, now) if during else 1.0)

    load = UrgentLoad(engines, scale, seed, returns)
    prepare(load)
    load.run(SECONDS)
    return load


def noisy(*names, factor=30):
    return lambda kind, organisation, now: factor if organisation in names else 1


class TestPatterns(unittest.TestCase):
    def check_served(self, load, quiet=ORGANISATIONS):
        """Check the most urgent kind, starvation, promises, and the recovery."""
        self.assertGreaterEqual(load.measure_kind(FILE, START, END, quiet), 0.95)
        self.check_nobody_starves(load)
        returned = load.returned or [True]
        self.assertGreaterEqual(sum(returned) / len(returned), 0.9)
        after = load.measure(start=END + RECOVERY, end=SECONDS - 3.0)
        self.assertGreaterEqual(after, 0.95)

    def check_nobody_starves(self, load):
        whole = load.measure(start=START, end=END)
        for kind in KINDS:
            self.assertGreaterEqual(load.measure_kind(kind, START, END), whole / 4)
        for name in ORGANISATIONS:
            of = lambda outcome, name=name: outcome.organisation == name
            self.assertGreaterEqual(load.measure(of, START, END), whole / 4)

    def test_a_flood_of_the_least_urgent_kind_delays_no_other(self):
        # One bound on the queue for all kinds refused a quarter of the urgent ones.
        load = run(lambda kind, organisation, now: 60 if kind is TAGS else 1)
        self.check_served(load)

    def test_a_noisy_organisation_does_not_crowd_out_the_quiet_ones(self):
        # The quiet organisations' middle kind was at 0.09, their least urgent at 0.03.
        load = run(noisy("o0"))
        self.check_served(load, QUIET)
        for kind in KINDS:
            self.assertGreaterEqual(load.measure_kind(kind, START, END, QUIET), 0.9)

    def test_several_noisy_organisations_do_not_crowd_out_the_quiet_ones(self):
        load = run(noisy("o0", "o1", "o2", factor=10))
        self.check_served(load, ORGANISATIONS[3:])
        quiet = lambda outcome: outcome.organisation in ORGANISATIONS[3:]
        self.assertGreaterEqual(load.measure(quiet, START, END), 0.9)

    def test_a_changing_noisy_organisation_does_not_crowd_out_the_others(self):
        # Shares that follow an organisation's past use come too late each time.
        load = run(lambda k, name, now: 30 if name == f"o{int(now) % 3}" else 1)
        self.check_served(load, ORGANISATIONS[3:])
        quiet = lambda outcome: outcome.organisation in ORGANISATIONS[3:]
        self.assertGreaterEqual(load.measure(quiet, START, END), 0.9)

    def test_lost_capacity_makes_the_least_urgent_wait(self):
        # Two of four engines gone: 0.86, 0.27 and 0.24 of the kinds were in time.
        def prepare(load):
            load.set_leaving(START, 3, True)
            load.set_leaving(END, 3, False)

        # The most urgent kind fits beside the share that is guaranteed to the others.
        load = run(lambda kind, *_: 1.2 if kind is FILE else 2.5, prepare=prepare)
        self.check_served(load)

    def test_returning_callers_do_not_return_together(self):
        # All callers refused in the same moment were told about the same time.
        def prepare(load):
            for number in range(1500):
                name = ORGANISATIONS[number % len(ORGANISATIONS)]
                load._push(START, load._begin, TAGS, name)

        load = run(lambda kind, organisation, now: 1, prepare=prepare)
        self.check_served(load)
        times = sorted(load.told)
        most = max(sum(t <= u < t + 0.1 for u in times) for t in times)
        self.assertGreater(len(times), 100)
        self.assertLess(most, len(times) / 4)

    def test_callers_that_return_too_often_gain_nothing(self):
        # Every retry was a new chance, so that those who ignore Retry-After won.
        flood = lambda kind, organisation, now: 60 if kind is TAGS else 1
        load = run(flood, returns="hasty")
        self.check_served(load)

    def test_a_burst_of_huge_prompts_does_not_stop_the_others(self):
        def prepare(load):
            for number in range(60):
                name = ORGANISATIONS[number % len(ORGANISATIONS)]
                load._push(START, load._begin, TAGS, name, 40_000)

        load = run(lambda kind, organisation, now: 1, prepare=prepare)
        self.check_served(load)

    def test_large_prompts_are_served_nearly_as_often(self):
        # A bound on a request's own time refuses large prompts first.
        loads = [run(lambda k, name, now: 4, seed=seed) for seed in (1, 2, 3, 4)]
        outcomes = [o for load in loads for o in load.outcomes]
        for kind in KINDS:
            found = [o for o in outcomes if o.kind == kind.name]
            found = [o for o in found if START <= o.sent_at < END]
            found.sort(key=lambda outcome: -outcome.tokens)
            tenth = len(found) // 10
            whole = sum(o.in_time for o in found) / len(found)
            for part in (found[:tenth], found[tenth : 3 * tenth]):
                served = sum(o.in_time for o in part) / len(part)
                self.assertGreaterEqual(served, whole / 2, kind.name)

    def test_goodput_does_not_fall_with_the_load(self):
        # Without admission, five times the capacity left nothing in time.
        def measure(factor):
            load = run(lambda kind, organisation, now: factor)
            found = [o for o in load.outcomes if START + 1 <= o.sent_at < END]
            tokens = sum(o.tokens for o in found if o.in_time)
            return sum(o.in_time for o in found), tokens, load

        served = [measure(factor) for factor in (2, 4, 6, 8, 10)]
        for count, _, load in served:
            self.assertGreaterEqual(count, 0.95 * served[0][0])
            after = load.measure(start=END + RECOVERY, end=SECONDS - 3.0)
            self.assertGreaterEqual(after, 0.95)
