"""Work at upstreams of different paces, in the model without a network."""

import random
import unittest

from tests.outdated_loads import KINDS, PlainSimulation, Simulation

TARGETS = {kind.name: kind.target for kind in KINDS}
# Paces of engines and of plain upstreams that are slow, and of a shared machine.
SLOW_ENGINE, SLOW_SERVICE, SHARED = 5.0, 4.0, 2.5
SLOW_PERIOD = 0.6
# Fraction in time that every kind needs, and that plain calls need.
IN_TIME, CALLS_IN_TIME = 0.97, 0.99
MAX_P95 = 1.5
SECONDS = 12.0


def state_usual(number, now, pace):
    """State the usual pace whatever it is."""
    return 1.0


def slow_half(number, now):
    """Return the pace of an engine if half of them are slow from the third second."""
    return SLOW_ENGINE if number % 2 and now >= 2.0 else 1.0


def flap(number, now):
    """Return the pace of an engine that is slow in a seventh of short periods."""
    period = int((now + number * 0.037) / SLOW_PERIOD)
    slow = random.Random(f"{number}-{period}").random() < 1 / 7
    return SHARED if slow else 1.0


class TestEngines(unittest.TestCase):
    def simulate(
        self,
        engines,
        load,
        paces,
        prepare=lambda model: None,
        seconds=SECONDS,
        **options,
    ):
        """Run the model; return it and the fraction in time by kind."""
        model = Simulation(
            8, engines, (0.3, 0.9), load=load, placer=True, paces=paces, **options
        )
        prepare(model)
        return model, model.run(seconds)

    def check_in_time(self, fractions):
        for kind, fraction in fractions.items():
            with self.subTest(kind=kind):
                self.assertGreaterEqual(fraction, IN_TIME)

    def test_work_goes_to_the_fast_half_of_the_engines(self):
        # With one rate for all engines, only 0.86 of the urgent work was in time.
        model, fractions = self.simulate(24, 0.5, slow_half)
        self.check_in_time(fractions)

    def test_engines_that_hide_their_slowness_are_found(self):
        # Slow engines that stated a usual pace would get as much work as the others.
        model, _ = self.simulate(24, 0.5, slow_half, stated=state_usual)
        late = {
            kind: waits[len(waits) * 2 // 3 :] for kind, waits in model.waits.items()
        }
        self.check_in_time(
            {
                kind: sum(wait <= TARGETS[kind] for wait in waits) / len(waits)
                for kind, waits in late.items()
                if waits
            }
        )

    def test_short_slow_periods_do_not_hurt(self):
        # A machine that was slow for 0.6 s must neither be used as before meanwhile
        # nor be avoided for long afterwards.
        model, fractions = self.simulate(15, 0.5, flap)
        self.check_in_time(fractions)

    def test_recovered_engines_are_used_again(self):
        # Engines that are avoided give no answers that could show their recovery.
        def recover(number, now):
            return SLOW_ENGINE if number % 2 and now < 4.0 else 1.0

        model, _ = self.simulate(15, 0.5, recover)
        sent = [name for at, name in model.sent if at >= 8.0]
        self.assertGreater(sum(int(name[1:]) % 2 for name in sent), len(sent) / 4)

    def test_a_slow_data_centre_is_told_from_slow_engines(self):
        # Each of its engines would be logged and learned on its own.
        def slow_centre(number, now):
            return 3.0 if number % 3 == 1 else 1.0

        def spread(model):
            for pool in model.pools:
                for number, state in enumerate(pool.upstream_states.values()):
                    centre = "abc"[number % 3]
                    state.registration = state.registration._replace(data_centre=centre)
            for second in range(1, int(SECONDS)):
                model._push(float(second), list_changes, model)

        def list_changes(now, model):
            changes.extend((now, item) for item in model.placer.paces.list_changes(now))

        changes = []
        model, fractions = self.simulate(24, 0.5, slow_centre, spread)
        self.check_in_time(fractions)
        # Some engines are known to be slow before half of the data centre is.
        later = [item for now, item in changes if now > SECONDS / 3]
        self.assertFalse([item for item in later if item.upstream])
        centres = [(item.data_centre, item.slow) for _, item in changes if not item[0]]
        self.assertEqual(centres, [("b", True)])
        # The pool's rate is that of the usual engines.
        self.assertGreater(model.placer.rate, 0.8 * 36_000.0)

    def test_a_replacement_placer_learns_the_paces(self):
        # It starts at the usual pace for all and knows no request that was placed.
        def prepare(model):
            model._push(6.0, model.replace_placer)

        model, fractions = self.simulate(24, 0.5, slow_half, prepare, 20.0)
        self.check_in_time(fractions)


class TestPlainUpstreams(unittest.TestCase):
    def simulate(self, paces, prepare=lambda model: None, **options):
        """Return the fraction in time, and p95 as a multiple of a calm one."""
        calm = PlainSimulation(
            3, 3, (0.05, 0.3), placer=True, paces=lambda number, now: 1.0
        )
        calm.run(SECONDS)
        model = PlainSimulation(3, 3, (0.05, 0.3), placer=True, paces=paces, **options)
        prepare(model)
        fraction = model.run(SECONDS)["page"]
        return fraction, model.compute_p95() / calm.compute_p95()

    def check(self, *args, **options):
        fraction, p95 = self.simulate(*args, **options)
        self.assertGreaterEqual(fraction, CALLS_IN_TIME)
        self.assertLessEqual(p95, MAX_P95)

    def test_one_slow_upstream_at_a_time(self):
        # p95 was 3.4 times that of calm upstreams, and 0.97 in time.
        for period in (1.0, 2.0, 4.0):
            with self.subTest(period=period):
                self.check(
                    lambda number, now, period=period: (
                        SLOW_SERVICE if int(now / period) % 3 == number else 1.0
                    )
                )

    def test_one_slow_upstream_at_a_time_that_states_the_usual_pace(self):
        # Its own figures would make it look as good as the others.
        self.check(
            lambda number, now: SLOW_SERVICE if int(now / 4.0) % 3 == number else 1.0,
            stated=state_usual,
        )

    def test_one_upstream_at_a_time_is_occupied_by_others(self):
        # The gateways know only their own calls, so that it looked idle.
        def occupy(model):
            for number in range(3):
                at = 1.0 + 3.0 * number
                model._push(at, model.occupy, f"u{number}", 290.0, at + 2.0)

        self.check(lambda number, now: 1.0, occupy)


if __name__ == "__main__":
    unittest.main()
