"""Compute how many upstreams of each kind a pool should have in each data centre.

Reclaimable upstreams cost a fraction of on-demand ones, but all reclaimable upstreams
of a data centre may be reclaimed within seconds, and for a while none may be available
anywhere. So reclaimable upstreams do the work, spread over the data centres, with spare
capacity for the loss of one data centre. On-demand upstreams are ordered while the
reclaimable ones could not replace the loss of another data centre.
"""

from collections import deque
from math import ceil
from typing import NamedTuple

from .costs import update_average

# Upstreams per unit of work (engine seconds per second): 1.2 for bursts, times 1.5 so
# that two of three data centres suffice.
HEADROOM = 1.8
# Upstreams per unit of work (engine seconds per second) below which callers have to
# wait, so that on-demand upstreams are ordered at once.
MIN_HEADROOM = 1.3
# Fewest upstreams in a data centre: a single one is lost with each crash or release.
MIN_PER_CENTRE = 2
# Fewest upstreams that may remain while on-demand upstreams boot.
MIN_UPSTREAMS = 3
# Seconds between two measurements of the work, and the weight of each: a burst of three
# seconds moves the rate by half.
MEASURE_INTERVAL = 0.5
MEASURE_WEIGHT = 0.12
# Seconds after a refused order until the same order is repeated.
DENIED_WAIT = 3.0
# Longest wait in seconds until a refused order is repeated. The wait doubles with each
# refusal, since each order costs money.
MAX_DENIED_WAIT = 6.0
# Seconds for which the highest number of required on-demand upstreams is kept. The work
# is measured every half second while upstreams come and go: an order withdrawn at the
# next measurement would end an upstream before it has booted. A longer time would pay
# for upstreams that are no longer needed.
KEEP_ON_DEMAND_FOR = 2.0
# Seconds after a reclaim notice or a refused order for which further reclaims are
# expected.
SCARCITY_TIME = 8.0
# Seconds beyond the boot time after which an order without effect is repeated.
REPEAT_ORDER_AFTER = 3.0
# Seconds of measurement until the measured work is trusted. When all instances start at
# once, or all were killed, the work seems to be zero while callers continue: the
# upstreams that do it would be released, and would be back a boot time too late.
SETTLE_TIME = 5.0
# Fraction of the allowed maximum that is ordered before the measured work is trusted.
# Operators limit a pool to several times its usual size, and with cold caches each
# prompt is read completely, which takes twice the upstreams needed later. Too many
# reclaimable upstreams for some seconds cost little; too few leave most callers of
# these seconds unserved.
INITIAL_FRACTION = 0.35
# Seconds over which the peak of the work determines the number of reclaimable
# upstreams. With bursts of some seconds, upstreams would otherwise be released after
# each burst and booted for the next one, and each order costs money.
PEAK_WINDOW = 8.0


class InstanceKind(NamedTuple):
    """Upstreams of one pool that are ordered together; on-demand if not reclaimable."""

    data_centre: str
    reclaimable: bool


class WorkMeter:
    """Work that all instances send, in engine seconds per second."""

    def __init__(self):
        self.rate = 0.0
        self._totals = {}
        self._measured_at = None
        self._measured_since = None
        self._count = 0
        self._peaks = deque()

    def update(self, totals, now):
        """Update the rate from the work totals of all instances.

        ``totals`` maps an instance's name to its start time and its total since then.
        """
        if self._measured_at is not None and now - self._measured_at < MEASURE_INTERVAL:
            return
        gained = sum(
            max(0.0, total - self._totals[name][1])
            for name, (start, total) in totals.items()
            if name in self._totals and self._totals[name][0] == start
        )
        if self._measured_at is not None:
            self._blend(gained / (now - self._measured_at), now)
        self._totals, self._measured_at = dict(totals), now
        self._peaks.append((now, self.rate))
        while now - self._peaks[0][0] > PEAK_WINDOW:
            self._peaks.popleft()

    def _blend(self, rate, now):
        if rate and self._measured_since is None:
            self._measured_since = now
        if self._measured_since is not None:
            # The first measurements have equal weight, as there is no earlier rate.
            self._count += 1
            weight = max(MEASURE_WEIGHT, 1.0 / self._count)
            self.rate = update_average(self.rate, rate, weight)

    def is_settled(self, now):
        """Return whether work has been measured for long enough to be trusted."""
        return (
            self._measured_since is not None
            and now - self._measured_since >= SETTLE_TIME
        )

    def measure_peak(self):
        """Return the highest recent rate."""
        return max([self.rate, *(rate for _, rate in self._peaks)])


class Sizing:
    """State of the orders of one pool; times are seconds on one clock."""

    def __init__(self):
        self.meter = WorkMeter()
        self._denied_until = {}
        self._scarce_until = float("-inf")
        # Pairs of time and number of required on-demand upstreams, over
        # KEEP_ON_DEMAND_FOR.
        self._shortfalls = deque()
        self._ordered = {}
        self._refusals = {}

    def reset_orders(self):
        """Forget all orders, so that they are issued again.

        Another instance may have issued different orders in the meantime.
        """
        self._ordered = {}

    def record_denied(self, kind, now):
        """Record that an order was refused as no upstream of the kind is available."""
        self._refusals[kind] = self._refusals.get(kind, 0) + 1
        wait = DENIED_WAIT * 2 ** (self._refusals[kind] - 1)
        self._denied_until[kind] = now + min(MAX_DENIED_WAIT, wait)
        if kind.reclaimable:
            self._scarce_until = now + SCARCITY_TIME
        self._ordered.pop(kind, None)

    def record_ordered(self, kind, count, now):
        """Record that an order was accepted."""
        self._ordered[kind] = (count, now)
        self._refusals.pop(kind, None)

    def plan(self, fleet, registrations, now):
        """Return the number of upstreams to have, by InstanceKind."""
        present = count_present(registrations)
        self._check_notices(registrations, now)
        centres = sorted(fleet.prices, key=fleet.prices.get)
        rate = self.meter.rate
        wanted = ceil(self.meter.measure_peak() * HEADROOM)
        wanted = max(MIN_PER_CENTRE * len(centres), wanted)
        if not self.meter.is_settled(now):
            wanted = max(wanted, ceil(fleet.maximum * len(centres) * INITIAL_FRACTION))
        plan = {
            InstanceKind(centre, kind): 0
            for kind in (False, True)
            for centre in centres
        }
        distribute(plan, centres, wanted, True, fleet.maximum)
        on_demand = self._count_on_demand(present, rate, now)
        distribute(plan, centres, on_demand, False, fleet.maximum)
        for centre in centres:
            apply_limits(
                plan, centre, fleet, present.get(InstanceKind(centre, True), 0)
            )
        return plan

    def _count_on_demand(self, present, rate, now):
        """Return how many on-demand upstreams replace missing reclaimable ones.

        The reclaimable upstreams of one data centre after the other may be reclaimed
        while no new ones are available. If on-demand upstreams were ordered only once
        too few are left, they would start after the last reclaimable one is gone. So
        while upstreams are scarce, the remaining ones must suffice even without the
        data centre that has most of them; the next reclaim comes later than on-demand
        upstreams boot.
        """
        centres = {kind: n for kind, n in present.items() if kind.reclaimable}
        remaining = sum(centres.values())
        if now < self._scarce_until:
            remaining -= max(centres.values(), default=0)
        needed = max(MIN_UPSTREAMS, ceil(rate * MIN_HEADROOM))
        self._shortfalls.append((now, max(0, needed - remaining)))
        while now - self._shortfalls[0][0] > KEEP_ON_DEMAND_FOR:
            self._shortfalls.popleft()
        return max(shortfall for _, shortfall in self._shortfalls)

    def _check_notices(self, registrations, now):
        if any(item.leaving and item.reclaimable for item in registrations):
            self._scarce_until = now + SCARCITY_TIME

    def list_due_orders(self, fleet, registrations, now):
        """Return the orders to issue now, as pairs of InstanceKind and count."""
        present = count_present(registrations)
        due = []
        for kind, count in self.plan(fleet, registrations, now).items():
            if now < self._denied_until.get(kind, 0.0):
                continue
            ordered, at = self._ordered.get(kind, (None, 0.0))
            overdue = now - at > fleet.boot_time + REPEAT_ORDER_AFTER
            if count != ordered or (overdue and present.get(kind, 0) != count):
                due.append((kind, count))
        return due


def count_present(registrations):
    """Return the number of upstreams that are not leaving, by InstanceKind."""
    present = {}
    for item in registrations:
        if not item.leaving:
            kind = InstanceKind(item.data_centre, item.reclaimable)
            present[kind] = present.get(kind, 0) + 1
    return present


def distribute(plan, centres, count, reclaimable, maximum):
    """Add upstreams to a plan, one data centre after the other in the given order.

    No data centre gets more than ``maximum`` of them.
    """
    for number in range(count):
        kind = InstanceKind(centres[number % len(centres)], reclaimable)
        if plan[kind] < maximum:
            plan[kind] += 1


def apply_limits(plan, centre, fleet, remaining):
    """Limit a data centre's total of both kinds to the fleet's minimum and maximum.

    ``remaining`` is the number of reclaimable upstreams that stay there. On-demand
    upstreams don't replace them: they need seconds to boot, and when they were ordered
    up to the maximum, all serving reclaimable upstreams were released and for four
    seconds there were none.
    """
    on_demand, reclaimable = InstanceKind(centre, False), InstanceKind(centre, True)
    plan[on_demand] = min(plan[on_demand], max(0, fleet.maximum - remaining))
    plan[reclaimable] = min(plan[reclaimable], fleet.maximum - plan[on_demand])
    missing = fleet.minimum - plan[on_demand] - plan[reclaimable]
    plan[on_demand] += max(0, missing)
