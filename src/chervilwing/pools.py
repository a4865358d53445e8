"""What one entry instance knows of a pool, and the room it gives to each work."""

from math import exp, log
from typing import NamedTuple, TypedDict

from .admission import Congestion
from .costs import SAMPLE_WEIGHT, blend
from .limits import FALL_WEIGHT
from .models import MODEL, SERVICE
from .placement import PoolState
from .queues import BANDS, LANES, SHORT, SURE_SHARE, FairQueue
from .rates import Excess, Rate

# Seconds that a unit of cost takes before anything was measured.
FIRST_PACE = {MODEL: 0.05, SERVICE: 0.05}
# Work over this many times the pool's usual cost is long.
LONG_RATIO = 4.0
# Other work over its quota leaves one slot in this many of each upstream free.
RESERVE_PART = 4
# Seconds between two settings of the quota, which moves far more slowly.
SHARE_EVERY = 0.1
# An upstream may be sent, beyond its slots, what it clears in this part of the
# tightest first-token target among the pool's classes. Load: peaks at one entry
# instance while others are calm, and work shorter than the time between reports. Harm
# prevented: slots that stand empty until the next report; what would be late for the
# wait is kept back where it can still be reordered, moved or refused.
ENGINE_PART = 0.5
# Urgent work needs this many times the slots of its mean, since it comes in clumps.
URGENT_ROOM = 1.2


class SchedulingSettings(NamedTuple):
    """Where this entry instance runs and how many there are."""

    data_centre: str
    entries: int = 7


class PoolFigures(TypedDict):
    """What ``describe`` tells of one pool."""

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
        self.state = PoolState(name, cfg.data_centre, FIRST_PACE[kind])
        self.state.set_entries(cfg.entries)
        self.excess = Excess()
        self.congestion = Congestion()
        self.regroup_until = 0.0
        self.usual = None
        self.offered = {lane: Rate() for lane in LANES}
        self.top = BANDS[0]
        self.quota = 0.0
        self._shared_at = -SHARE_EVERY
        # Whether anything has come that may let queued work start.
        self.changed = True
        self.first_tokens = {}
        self.targets = {}

    def refresh(self, name):
        """Take note that one upstream changed."""
        self.state.refresh(name)
        self.changed = True

    def learn_first_token(self, work_class, seconds):
        """Keep the mean time from placement to first token of a class."""
        old = self.first_tokens.get(work_class, seconds)
        weight = FALL_WEIGHT if seconds < old else SAMPLE_WEIGHT
        self.first_tokens[work_class] = blend(old, seconds, weight)

    def is_long(self, cost):
        """Tell whether work is long for this pool."""
        return self.usual is not None and cost > LONG_RATIO * exp(self.usual)

    def measure_tightest(self):
        """Return the shortest first-token target among the classes offered here."""
        return min(self.targets.values(), default=0.0)

    def must_yield(self, lane):
        """Tell whether work of the lane has to leave each upstream's reserve.

        It has to when it is over its quota, and so has all work of an entry instance
        that has its part of the slots in use. Load: saturation, with one slot that
        falls free and many entry instances that see it. Harm prevented: all send to
        it at once; those below their part are too few for that.
        """
        if self.state.running >= self.state.measure_part():
            return True
        return lane != (self.top, SHORT) and self.state.yielding + 1 > self.quota

    def measure_rate(self, band, whole, now):
        """Return what more urgent bands leave, or the sure share if that is more.

        Their work counts as offered, whether it was let in or not: it goes first
        as soon as there is room.
        """
        lanes = [lane for lane in LANES if lane[0] < band]
        urgent = sum(self.offered[lane].measure(now) for lane in lanes)
        return max(whole - urgent, whole * SURE_SHARE[band])

    def measure_usual_cost(self):
        """Return the cost of usual work."""
        return 1.0 if self.usual is None else exp(self.usual)

    def measure_usual(self):
        """Return the seconds that usual work takes."""
        return self.measure_usual_cost() * self.state.reference.mean

    def learn_usual(self, cost):
        """Keep the geometric mean of what is offered."""
        self.usual = log(cost) if self.usual is None else blend(self.usual, log(cost))

    def share_out(self, now):
        """Set how many slots may hold work that is long or less urgent.

        Load: saturation with a mix of long and short. Harm prevented: each slot
        that falls free goes to long work, which can wait for it, and once all hold
        long work none falls free within the short work's target. Little's law gives
        the slots that the urgent work offered of late needs; the rest may hold
        other work, and more of it only as its sure share falls due or where an
        upstream keeps a reserve.
        """
        if now - self._shared_at < SHARE_EVERY:
            return
        self._shared_at = now
        rates = [self.offered[band, SHORT].measure(now) for band in BANDS]
        self.top = next((band for band in BANDS if rates[band] > 0), BANDS[0])
        needed = rates[self.top] * self.state.reference.mean
        part = self.state.measure_part()
        self.quota = part - URGENT_ROOM * needed
        slots = self.state.count_slots() // max(1, self.state.count_live())
        self.state.set_reserve(max(1, slots // RESERVE_PART) if slots > 1 else 0)
        usual = max(self.measure_usual(), 1e-6)
        ahead = self.measure_tightest() * ENGINE_PART * slots / usual
        # Before anything was measured nothing may wait in an upstream on a guess.
        measured = self.state.reference.measured
        self.state.set_usual(usual, int(ahead) if measured else 0)

    def describe(self, now):
        """Return figures for the operators."""
        state = self.state
        limits = {name: upstream.limit.value for name, upstream in state.states.items()}
        return PoolFigures(
            waiting=len(self.queue),
            running=state.running,
            live=state.count_live(),
            slots=state.count_slots(),
            pace=state.reference.mean,
            excess=self.excess.measure(now),
            limits=limits,
        )
