"""Bounded queues with weighted fair shares on cost, priority and deadline."""

from heapq import heappop, heappush, heapreplace
from itertools import count
from typing import NamedTuple

from .rates import Rate
from .work import Work

# Bands of priority; what the rules number higher than the last falls into it.
BANDS = (0, 1, 2)
YIELDING = BANDS[-1]
SHORT = "short"
LONG = "long"
LANES = tuple((band, size) for band in BANDS for size in (SHORT, LONG))

# The part of the work that a band gets for sure while more urgent bands wait: so
# that a customer with nothing but plans or batch work is never starved by another
# one's short questions, and small enough to keep those within their target.
SURE_SHARE = {0: 1.0, 1: 0.3, 2: 0.1}


class Queued(NamedTuple):
    """Work that waits, with what was estimated when it came in."""

    work: Work
    cost: float
    lane: tuple[int, str]
    give_up: float

    @property
    def band(self):
        """The band of priority."""
        return self.lane[0]


class Flow:
    """What one customer has waiting in one band, and its place in virtual time."""

    def __init__(self, weight):
        self.weight = weight
        self.tag = 0.0
        self.size = 0
        self.cost = 0.0
        self.served = Rate()
        self.heaps = {SHORT: [], LONG: []}
        self.active = set()


class Band:
    """The totals of one band of priority."""

    def __init__(self):
        self.size = 0
        self.cost = 0.0
        self.weight = 0.0
        self.served = Rate()
        self.virtual = 0.0
        self.credit = 0.0


class FairQueue:
    """The requests that wait for one pool.

    Bands go in order of priority, each with a sure share. Within a band it is
    start-time fair queueing over customers, on cost: whoever has had least for its
    weight goes next. Load: one customer offers many times the others' work. Harm
    prevented: in one line the small customers wait behind all of it. A share not
    used is lent, without a debt: an idle customer comes back at the present
    virtual time, so its first request gets the next free slot and its share is
    back within one service time.

    Long and short work wait in lanes of their own, so that the head of one never
    holds up the other.
    """

    def __init__(self):
        self._items = {}
        self._flows = {}
        self._sizes = {}
        self._bands = {band: Band() for band in BANDS}
        self._active = {lane: [] for lane in LANES}
        self._order = count()

    def __len__(self):
        return len(self._items)

    def count(self, customer):
        """Return how many requests of the customer wait."""
        return self._sizes.get(customer, 0)

    def count_before(self, band):
        """Return how many wait that may go before new work of the band."""
        return sum(self._bands[other].size for other in BANDS[: band + 1])

    def find(self, request_id):
        """Return the waiting request, or None."""
        return self._items.get(request_id)

    def list_waiting(self):
        """Return all that wait."""
        return tuple(self._items.values())

    def push(self, item, weight, front=False):
        """Put work in its customer's queue, before the others if ``front``."""
        customer = item.work.customer
        flow = self._flows.setdefault((customer, item.band), Flow(weight))
        band = self._bands[item.band]
        if not flow.size:
            flow.tag = max(flow.tag, band.virtual)
            flow.weight = weight
            band.weight += weight
        self._items[item.work.request_id] = item
        self._count(item, 1)
        rank = (not front, item.work.deadline, next(self._order))
        heappush(flow.heaps[item.lane[1]], (*rank, item.work.request_id))
        if item.lane not in flow.active:
            flow.active.add(item.lane)
            entry = (flow.tag, next(self._order), customer)
            heappush(self._active[item.lane], entry)

    def remove(self, request_id):
        """Take one request out, or return None when it doesn't wait."""
        item = self._items.pop(request_id, None)
        if item is None:
            return None
        self._count(item, -1)
        flow = self._flows[item.work.customer, item.band]
        if not flow.size:
            self._bands[item.band].weight -= flow.weight
        return item

    def is_due(self, item):
        """Tell whether the item's band has its sure share still to get."""
        return self._bands[item.band].credit >= item.cost

    def peek(self, blocked, spare):
        """Return the work to be placed next outside the blocked lanes, or None.

        With ``spare`` the last band waits for as long as any other work does:
        while survivors take over from a reclaimed zone.
        """
        heads = [self._find_band_head(band, blocked) for band in BANDS]
        able = [item for item in heads if item is not None]
        if len(able) < 2:
            return able[0] if able else None
        for item in reversed(able):
            held = spare and item.band == YIELDING
            if not held and self.is_due(item):
                return item
        return able[0]

    def take(self, item, now):
        """Take out what ``peek`` returned and charge its customer."""
        self.remove(item.work.request_id)
        flow = self._flows[item.work.customer, item.band]
        band = self._bands[item.band]
        band.virtual = max(band.virtual, flow.tag)
        band.credit = max(0.0, band.credit - item.cost)
        flow.tag += item.cost / flow.weight
        for totals in (flow, band):
            totals.served.record(item.cost, now)
        for lower in BANDS[item.band + 1 :]:
            if self._bands[lower].size:
                self._bands[lower].credit += item.cost * SURE_SHARE[lower]
        return item

    def charge(self, customer, band, cost):
        """Correct a customer's account by cost that the estimate missed."""
        flow = self._flows.get((customer, band))
        if flow is not None:
            flow.tag = max(0.0, flow.tag + cost / flow.weight)

    def measure_wait(self, customer, weight, band, cost, whole, rate, now):
        """Return how long new work would wait for its turn, in seconds.

        ``whole`` is the cost a second that the pool serves, ``rate`` what of it is
        left to the band. The customer's part of that is its fair share or what the
        others leave, whichever is more.
        """
        totals = self._bands[band]
        urgent = sum(self._bands[other].cost for other in BANDS[:band])
        flow = self._flows.get((customer, band))
        if flow is None or not flow.size:
            fair = rate * weight / (totals.weight + weight)
            return urgent / whole + cost / fair
        others = totals.served.measure(now) - flow.served.measure(now)
        fair = rate * flow.weight / totals.weight
        return urgent / whole + (flow.cost + cost) / max(fair, rate - others)

    def _count(self, item, sign):
        customer = item.work.customer
        self._sizes[customer] = self._sizes.get(customer, 0) + sign
        for totals in (self._flows[customer, item.band], self._bands[item.band]):
            totals.size += sign
            totals.cost = max(0.0, totals.cost + sign * item.cost)

    def _find_band_head(self, band, blocked):
        """Return the band's next request: of the lane whose customer is behind."""
        heads = [
            self._find_head((band, size))
            for size in (SHORT, LONG)
            if (band, size) not in blocked
        ]
        able = [head for head in heads if head is not None]
        return min(able, key=lambda head: head[0])[1] if able else None

    def _find_head(self, lane):
        """Return tag and item of the lane's next request, dropping stale entries."""
        active = self._active[lane]
        while active:
            tag, order, customer = active[0]
            flow = self._flows[customer, lane[0]]
            item = self._find_first(flow.heaps[lane[1]])
            if item is None:
                heappop(active)
                flow.active.discard(lane)
            elif tag < flow.tag:
                heapreplace(active, (flow.tag, order, customer))
            else:
                return tag, item
        return None

    def _find_first(self, heap):
        while heap:
            item = self._items.get(heap[0][-1])
            if item is not None:
                return item
            heappop(heap)
        return None
