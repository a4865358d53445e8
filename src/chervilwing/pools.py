"""The queue, measurements and quotas of one pool at one entry instance."""

from math import exp, log
from typing import NamedTuple, TypedDict

from .admission import Congestion
from .concurrency_limits import FALL_WEIGHT
from .costs import SAMPLE_WEIGHT, update_average
from .models import MODEL, SERVICE
from .placement import PoolState
from .queues import BANDS, GUARANTEED_SHARE, LANES, SHORT, FairQueue
from .rates import Excess, Rate

# Seconds per unit of cost before the first measurement.
INITIAL_PACE = {MODEL: 0.05, SERVICE: 0.05}
# Work above this multiple of the pool's typical cost is long.
LONG_COST_RATIO = 4.0
# One in this many slots of each upstream is reserved; work over its quota must leave
# the reserved slots free.
RESERVE_DIVISOR = 4
# Seconds between updates of the quota, which changes far more slowly.
QUOTA_INTERVAL = 0.1
# Fraction of the pool's tightest first-token target that work may wait inside an
# upstream. An upstream may be sent as many requests beyond its slots as it completes in
# that time. Otherwise slots would stay empty until the next load report, during a burst
# at one entry instance or if work is shorter than the report interval. More work than
# that would be late, so it stays in the queue, where it can still be reordered, moved
# or refused.
OVERCOMMIT_TARGET_FRACTION = 0.5
# Urgent work arrives in bursts and needs this multiple of its mean number of slots.
URGENT_HEADROOM = 1.2


class SchedulingSettings(NamedTuple):
    """The data centre of this entry instance and the number of entry instances."""

    data_centre: str
    entries: int = 7


class PoolFigures(TypedDict):
    """The figures of one pool.

    ``waiting`` and ``running`` count requests, ``live`` counts upstreams. ``pace`` is
    the mean of seconds per unit of cost, ``excess`` the ratio of offered to admitted
    work, and ``limits`` the concurrency limit by upstream.
    """

    waiting: int
    running: int
    live: int
    slots: int
    pace: float
    excess: float
    limits: dict[str, float]


class Pool:
    """The queue, the upstreams and the measurements of one pool."""

    def __init__(self, name, kind, cfg):
        self.name = name
        self.kind = kind
        self.queue = FairQueue()
        self.state = PoolState(name, cfg.data_centre, INITIAL_PACE[kind])
        self.state.set_entry_count(cfg.entries)
        self.excess = Excess()
        self.congestion = Congestion()
        self.recovering_until = 0.0
        self._log_typical_cost = None
        self.offered_rates = {lane: Rate() for lane in LANES}
        self.urgent_band = BANDS[0]
        self.non_urgent_quota = 0.0
        self._quota_set_at = -QUOTA_INTERVAL
        # Set when a change since the last dispatch may let queued work start.
        self.needs_dispatch = True
        self.first_token_seconds = {}
        self.latency_targets = {}

    def refresh(self, name):
        """Update the indexes after one upstream changed."""
        self.state.refresh(name)
        self.needs_dispatch = True

    def record_first_token(self, work_class, seconds):
        """Update the mean time from placement to first token of a class."""
        old = self.first_token_seconds.get(work_class, seconds)
        weight = FALL_WEIGHT if seconds < old else SAMPLE_WEIGHT
        self.first_token_seconds[work_class] = update_average(old, seconds, weight)

    def is_long(self, cost):
        """Return whether the cost is long for this pool."""
        return self._log_typical_cost is not None and cost > LONG_COST_RATIO * exp(
            self._log_typical_cost
        )

    def get_tightest_target(self):
        """Return the shortest first-token target of the classes offered, in seconds."""
        return min(self.latency_targets.values(), default=0.0)

    def must_keep_reserve(self, lane):
        """Return whether work of the lane must leave the reserved slots free.

        It must if it exceeds its quota. So must all work of an entry instance that
        already uses its share of the slots: under saturation, many entry instances see
        the same slot become free, and all of them would send to it. Instances below
        their share are few enough to avoid this.
        """
        if self.state.running >= self.state.get_slot_share():
            return True
        return (
            lane != (self.urgent_band, SHORT)
            and self.state.non_urgent_count + 1 > self.non_urgent_quota
        )

    def get_band_rate(self, band, total_rate, now):
        """Return the cost per second available to a band.

        That is what more urgent bands leave, or the guaranteed share if that is more.
        Their work counts as offered, whether or not it was admitted, because it goes
        first as soon as there is room.
        """
        lanes = [lane for lane in LANES if lane[0] < band]
        urgent = sum(self.offered_rates[lane].measure(now) for lane in lanes)
        return max(total_rate - urgent, total_rate * GUARANTEED_SHARE[band])

    def get_typical_cost(self):
        """Return the typical cost of offered work."""
        return 1.0 if self._log_typical_cost is None else exp(self._log_typical_cost)

    def get_typical_seconds(self):
        """Return the seconds that typical work takes."""
        return self.get_typical_cost() * self.state.pace.mean

    def record_cost(self, cost):
        """Update the geometric mean of the offered costs."""
        self._log_typical_cost = (
            log(cost)
            if self._log_typical_cost is None
            else update_average(self._log_typical_cost, log(cost))
        )

    def update_quota(self, now):
        """Set how many slots may hold work that is long or less urgent.

        Under saturation with a mix of long and short work, each freed slot would go to
        long work, which can wait for it. Once long work holds all slots, none becomes
        free within the target of the short work. By Little's law, the recent rate of
        short urgent work gives the slots that it needs. The rest may hold other work,
        and more of it only if its guaranteed share is due or the upstream keeps its
        reserve.
        """
        if now - self._quota_set_at < QUOTA_INTERVAL:
            return
        self._quota_set_at = now
        rates = [self.offered_rates[band, SHORT].measure(now) for band in BANDS]
        self.urgent_band = next((band for band in BANDS if rates[band] > 0), BANDS[0])
        needed = rates[self.urgent_band] * self.state.pace.mean
        slot_share = self.state.get_slot_share()
        self.non_urgent_quota = slot_share - URGENT_HEADROOM * needed
        slots = self.state.count_slots() // max(1, self.state.count_live())
        self.state.set_reserve(max(1, slots // RESERVE_DIVISOR) if slots > 1 else 0)
        typical_seconds = max(self.get_typical_seconds(), 1e-6)
        overcommit = (
            self.get_tightest_target()
            * OVERCOMMIT_TARGET_FRACTION
            * slots
            / typical_seconds
        )
        # Without a measurement, no work may wait in an upstream on the basis of a
        # guess.
        measured = self.state.pace.measured
        self.state.set_service_estimate(
            typical_seconds, int(overcommit) if measured else 0
        )

    def describe(self, now):
        """Return the figures of this pool for operators."""
        state = self.state
        limits = {
            name: upstream.limit.value
            for name, upstream in state.upstream_states.items()
        }
        return PoolFigures(
            waiting=len(self.queue),
            running=state.running,
            live=state.count_live(),
            slots=state.count_slots(),
            pace=state.pace.mean,
            excess=self.excess.measure(now),
            limits=limits,
        )
