"""The bound on what a customer runs, over many instances and an unreliable network.

In any window of W seconds, the cost that runs is at most the burst, plus the rate times
W, plus the rate times the larger of OVERDRAFT_SECONDS and IN_TRANSIT_SECONDS, plus one
request over the burst. This holds whatever the instances know of each other;
``docs/design/ALLOWANCES.md`` derives it.
"""

import math
import random
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from chervilwing.allowances import OVERDRAFT_SECONDS
from chervilwing.routing import Organisation
from tests.credit_fleet import (
    Fleet,
    Traffic,
    measure_most,
    refuse_by_one_bucket,
)

WINDOW = 8.0
SETTLE_SECONDS = 4.0
# Fraction of the admissible cost that may be refused while instances are connected,
# where a single shared bucket refuses nothing.
REFUSED_FRACTION = 0.005
# The same for requests nearly as large as the burst, in addition to the cost that a
# single shared bucket refuses.
LARGE_REFUSED_FRACTION = 0.03


def make_traffic(rate, burst, asked, cost, node_fraction=1.0):
    """Return a customer's traffic; burst and asked cost are multiples of ``rate``."""
    organisation = Organisation("insurer", ("k",), rate=rate, burst=burst * rate)
    mean = cost * math.exp(0.5)
    return Traffic(
        organisation, asked * rate * cost / mean, cost, 1.0, 56_000.0, node_fraction
    )


def sum_costs(requests):
    """Return the total cost of requests."""
    return sum(item.cost for item in requests)


def cut_some(fleet, rng):
    """Cut off a third of the instances, each from all others."""
    names = sorted(fleet.nodes)
    some = rng.sample(names, max(1, len(names) // 3))
    fleet.cut({name: 1 + place for place, name in enumerate(some)})


def cut_all(fleet, rng):
    """Cut off all instances from each other."""
    fleet.cut({name: 1 + place for place, name in enumerate(sorted(fleet.nodes))})


def cut_centre(fleet, rng):
    """Partition the instances into two sides."""
    fleet.cut({name: name % 3 == 0 for name in fleet.nodes})


def heal(fleet, rng):
    """Reconnect all instances."""
    fleet.cut({})


def freeze_some(fleet, rng):
    """Suspend a fifth of the instances for up to three seconds."""
    names = sorted(fleet.nodes)
    for name in rng.sample(names, max(1, len(names) // 5)):
        fleet.nodes[name].frozen_until = fleet.now + rng.uniform(0.2, 3.0)


def restart_some(fleet, rng):
    """Restart a tenth, half or all of the instances without any saved state."""
    names = sorted(fleet.nodes)
    part = rng.choice((0.1, 0.5, 1.0))
    for name in rng.sample(names, max(1, int(len(names) * part))):
        fleet.start(name, len(names))


def add_some(fleet, rng):
    """Add half as many instances; those that are cut off don't learn of them."""
    count = max(1, len(fleet.nodes) // 2)
    instance_count = len(fleet.nodes) + count
    for _ in range(count):
        fleet.start(max(fleet.nodes) + 1, instance_count)
    for name, node in fleet.nodes.items():
        if not fleet.side[name]:
            node.allowances.set_instance_count(instance_count, fleet.now)


def change_limit(fleet, rng):
    """Apply a limit that is the first one or half of it."""
    item = fleet.traffic[0]
    organisation = fleet.limits[0]
    factor = rng.choice((0.5, 1.0))
    changed = organisation._replace(
        rate=organisation.rate * factor, burst=organisation.burst * factor
    )
    fleet.configure([item._replace(organisation=changed)])


FAULTS = {
    function.__name__: function
    for function in (
        cut_some,
        cut_all,
        cut_centre,
        heal,
        freeze_some,
        restart_some,
        change_limit,
    )
}


def run_faults(size, traffic, faults, seed, loss=0.001, disorder=0.001):
    """Run a fleet through faults, each followed by some seconds."""
    rng = random.Random(seed)
    fleet = Fleet(size, [traffic], seed, loss, disorder)
    fleet.limits = fleet.organisations
    fleet.run(SETTLE_SECONDS)
    for name, seconds in faults:
        FAULTS[name](fleet, rng)
        fleet.run(seconds)
    return fleet


class TestBound(unittest.TestCase):
    def check(self, fleet, traffic, shares=1.0):
        """Check the bound in every window; ``shares`` sums the instances' shares."""
        organisation = traffic.organisation
        largest = max((item.cost for item in fleet.ran), default=0.0)
        bound = organisation.burst + organisation.rate * shares * (
            WINDOW + OVERDRAFT_SECONDS
        )
        bound += largest if largest > organisation.burst else 0.0
        self.assertLessEqual(measure_most(fleet.ran, "insurer", WINDOW), bound)

    @settings(
        max_examples=25,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        size=st.sampled_from((6, 30, 67)),
        rate=st.sampled_from((36_000.0, 460_000.0)),
        burst=st.sampled_from((0.3, 1.0, 3.0)),
        asked=st.sampled_from((0.5, 2.0, 6.0)),
        node_fraction=st.sampled_from((0.1, 1.0)),
        faults=st.lists(
            st.tuples(st.sampled_from(sorted(FAULTS)), st.floats(0.1, 2.5)),
            min_size=3,
            max_size=8,
        ),
        bad_fraction=st.sampled_from((0.001, 0.05)),
        seed=st.integers(0, 10_000),
    )
    def test_no_window_is_above_the_bound(
        self, size, rate, burst, asked, node_fraction, faults, bad_fraction, seed
    ):
        # Partitions, freezes, restarts and changed limits come in any order, while
        # datagrams are lost, delayed, duplicated and reordered.
        traffic = make_traffic(rate, burst, asked, 6000.0, node_fraction)
        fleet = run_faults(
            size, traffic, faults, seed, loss=bad_fraction, disorder=bad_fraction
        )
        self.check(fleet, traffic)

    def test_bound_holds_at_any_size_while_a_third_is_cut_off(self):
        # With eight instances, what each overspends stays within the tolerance of the
        # bound; with hundreds it adds up beyond it. A customer sends six times its
        # limit from the start, and later a third of the instances is cut off.
        for size in (8, 67, 195, 320):
            with self.subTest(size=size):
                traffic = make_traffic(460_000.0, 1.0, 6.0, 6000.0)
                fleet = run_faults(size, traffic, [("cut_some", 6.0), ("heal", 3.0)], 1)
                self.check(fleet, traffic)

    def test_bound_holds_with_instances_added_during_a_partition(self):
        # The instances that are cut off don't learn that half as many were added and
        # keep their old shares; all others use smaller ones.
        traffic = make_traffic(460_000.0, 1.0, 4.0, 6000.0)
        fleet = Fleet(60, [traffic], 3)
        fleet.limits = fleet.organisations
        fleet.run(SETTLE_SECONDS)
        rng = random.Random(3)
        cut_some(fleet, rng)
        fleet.run(0.5)
        add_some(fleet, rng)
        fleet.run(10.0)
        self.check(fleet, traffic, shares=20 / 60 + 70 / 90)


class TestServedLoad(unittest.TestCase):
    def measure_refused(self, size, traffic, faults=(), seed=1):
        """Return the fraction of the requested cost that was refused."""
        fleet = run_faults(size, traffic, faults, seed)
        fleet.asked.clear()
        fleet.refused.clear()
        fleet.run(10.0)
        return sum_costs(fleet.refused) / sum_costs(fleet.asked)

    def test_load_below_the_limit_is_not_refused(self):
        # A customer uses half of its limit, through all instances or a tenth of them.
        for size in (8, 67, 195):
            for node_fraction in (0.1, 1.0):
                with self.subTest(size=size, node_fraction=node_fraction):
                    traffic = make_traffic(460_000.0, 1.0, 0.5, 6000.0, node_fraction)
                    refused = self.measure_refused(size, traffic)
                    self.assertLessEqual(refused, REFUSED_FRACTION)

    def test_overloading_customer_gets_its_whole_limit(self):
        # A customer sends three times its limit; the whole limit must run.
        for size in (8, 67, 195):
            with self.subTest(size=size):
                traffic = make_traffic(460_000.0, 1.0, 3.0, 6000.0)
                fleet = run_faults(size, traffic, (), 1)
                fleet.ran.clear()
                fleet.run(10.0)
                self.assertGreaterEqual(sum_costs(fleet.ran), 0.95 * 10.0 * 460_000.0)

    def test_requests_nearly_as_large_as_the_burst_are_served(self):
        # A customer's burst equals a dozen requests, and some requests are as large as
        # the burst. When credit in transit counted towards the burst, no instance ever
        # held enough for the large ones, and a sixth of all cost was refused.
        for size in (8, 30):
            with self.subTest(size=size):
                asked = refused = exact = 0.0
                for seed in range(3):
                    traffic = make_traffic(60_000.0, 1.0, 0.6, 5000.0)
                    fleet = Fleet(size, [traffic], seed)
                    fleet.run(SETTLE_SECONDS)
                    fleet.asked.clear()
                    fleet.refused.clear()
                    fleet.run(30.0)
                    asked += sum_costs(fleet.asked)
                    refused += sum_costs(fleet.refused)
                    exact += refuse_by_one_bucket(fleet.asked, traffic.organisation)
                self.assertLessEqual(refused, exact + LARGE_REFUSED_FRACTION * asked)

    def test_losing_the_root_instance_refuses_little(self):
        # The instance that grants to all others is killed. They detect it after two
        # thirds of a second, and until then have only their own accrual.
        traffic = make_traffic(460_000.0, 1.0, 0.5, 6000.0)
        fleet = Fleet(67, [traffic], 1)
        fleet.run(SETTLE_SECONDS)
        fleet.refused.clear()
        fleet.asked.clear()
        fleet.stop(0)
        fleet.run(4.0)
        self.assertLessEqual(sum_costs(fleet.refused), 0.1 * sum_costs(fleet.asked))


if __name__ == "__main__":
    unittest.main()
