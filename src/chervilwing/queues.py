"""Fair queue by weight, cost, priority band and deadline."""

from heapq import heappop, heappush, heapreplace
from itertools import count
from typing import NamedTuple

from .rates import DECAY_TIME, Rate
from .work import Work

# Priority bands, the most urgent first. Priorities above the last count as the last.
BANDS = (0, 1, 2)
LOWEST_BAND = BANDS[-1]
SHORT = "short"
LONG = "long"
# A lane is a band with a size class of work.
LANES = tuple((band, size) for band in BANDS for size in (SHORT, LONG))

# Fraction of the service that a band is guaranteed while more urgent bands have queued
# work. It keeps a customer with only less urgent work from starving behind another
# customer's short requests, and is small enough for the short requests to meet their
# latency target.
GUARANTEED_SHARE = {0: 1.0, 1: 0.3, 2: 0.1}


class QueuedWork(NamedTuple):
    """Queued work with the estimates made on its arrival.

    ``cost`` is in decoded tokens; ``latest_start`` is the latest time at which the work
    can start and still meet its deadline.
    """

    work: Work
    cost: float
    lane: tuple[int, str]
    latest_start: float

    @property
    def band(self):
        """Return the priority band."""
        return self.lane[0]


class Flow:
    """The queued work of one customer in one band, and its virtual start time."""

    def __init__(self, weight, decay_time=DECAY_TIME):
        self.weight = weight
        self.start_tag = 0.0
        self.size = 0
        self.cost = 0.0
        # Total cost of the work that has left the queue.
        self.removed_cost = 0.0
        self.served_rate = Rate(decay_time)
        self.heaps = {SHORT: [], LONG: []}
        self.active = set()


class Band:
    """The totals, virtual time and credit of one priority band."""

    def __init__(self, decay_time=DECAY_TIME):
        self.size = 0
        self.cost = 0.0
        self.weight = 0.0
        self.served_rate = Rate(decay_time)
        self.virtual_time = 0.0
        self.credit = 0.0


class FairQueue:
    """The queued requests of one pool.

    Bands are served in order of priority, each with a guaranteed share. Within a band,
    start-time fair queueing divides the service between customers by cost: the customer
    with the least service for its weight is next. In a single queue, small customers
    would wait behind all the work of one customer that offers many times theirs. An
    unused share goes to other customers and isn't owed back: a customer that was idle
    returns at the current virtual time, so its first request gets the next free slot
    and it has its full share again within one service time.

    Long and short work wait in separate lanes, so that blocked work at the head of one
    lane doesn't block the other.

    ``decay_time`` is that of the measured service rates, in seconds.
    """

    def __init__(self, decay_time=DECAY_TIME):
        self._decay_time = decay_time
        self._items = {}
        self._flows = {}
        self._sizes_by_customer = {}
        self._bands = {band: Band(decay_time) for band in BANDS}
        self._active = {lane: [] for lane in LANES}
        self._sequence = count()

    def __len__(self):
        return len(self._items)

    def count(self, customer):
        """Return how many requests of the customer are queued."""
        return self._sizes_by_customer.get(customer, 0)

    def count_before(self, band):
        """Return how many queued requests may start before new work of the band."""
        return sum(self._bands[other].size for other in BANDS[: band + 1])

    def find(self, request_id):
        """Return the queued item of a request, or None."""
        return self._items.get(request_id)

    def list_waiting(self):
        """Return all queued items."""
        return tuple(self._items.values())

    def push(self, item, weight, front=False):
        """Add work to its customer's queue, ahead of the rest if ``front``."""
        customer = item.work.customer
        flow = self._start_flow(item, weight)
        if not flow.size:
            self._bands[item.band].weight += weight
        self._items[item.work.request_id] = item
        self._add_to_totals(item, 1)
        sort_key = (not front, item.work.deadline, next(self._sequence))
        heappush(flow.heaps[item.lane[1]], (*sort_key, item.work.request_id))
        if item.lane not in flow.active:
            flow.active.add(item.lane)
            entry = (flow.start_tag, next(self._sequence), customer)
            heappush(self._active[item.lane], entry)

    def remove(self, request_id):
        """Remove and return one item, or return None if it isn't queued."""
        item = self._items.pop(request_id, None)
        if item is None:
            return None
        self._add_to_totals(item, -1)
        flow = self._flows[item.work.customer, item.band]
        flow.removed_cost += item.cost
        if not flow.size:
            self._bands[item.band].weight -= flow.weight
        return item

    def has_credit(self, item):
        """Return whether the guaranteed credit of the item's band covers its cost."""
        return self._bands[item.band].credit >= item.cost

    def peek(self, blocked, defer_lowest):
        """Return the item to place next outside the blocked lanes, or None.

        With ``defer_lowest``, the lowest band waits while any other work is queued.
        This is used while the surviving upstreams take over from a reclaimed zone.
        """
        heads = [self._find_band_head(band, blocked) for band in BANDS]
        candidates = [item for item in heads if item is not None]
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        for item in reversed(candidates):
            deferred = defer_lowest and item.band == LOWEST_BAND
            if not deferred and self.has_credit(item):
                return item
        return candidates[0]

    def dequeue(self, item, now):
        """Remove the item that ``peek`` returned and charge its customer."""
        self.remove(item.work.request_id)
        self._charge_served(item, now)
        return item

    def serve_directly(self, item, weight, now):
        """Charge a customer for work that is placed without being queued."""
        self._start_flow(item, weight)
        self._charge_served(item, now)

    def _start_flow(self, item, weight):
        """Return the item's Flow; an idle one continues at the present virtual time."""
        key = (item.work.customer, item.band)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = Flow(weight, self._decay_time)
        if not flow.size:
            virtual_time = self._bands[item.band].virtual_time
            flow.start_tag = max(flow.start_tag, virtual_time)
            flow.weight = weight
        return flow

    def _charge_served(self, item, now):
        flow = self._flows[item.work.customer, item.band]
        band = self._bands[item.band]
        band.virtual_time = max(band.virtual_time, flow.start_tag)
        band.credit = max(0.0, band.credit - item.cost)
        flow.start_tag += item.cost / flow.weight
        for totals in (flow, band):
            totals.served_rate.record(item.cost, now)
        for lower_band in BANDS[item.band + 1 :]:
            if self._bands[lower_band].size:
                self._bands[lower_band].credit += (
                    item.cost * GUARANTEED_SHARE[lower_band]
                )

    def charge(self, customer, band, cost):
        """Add the cost that the estimate missed to a customer's account."""
        flow = self._flows.get((customer, band))
        if flow is not None:
            flow.start_tag = max(0.0, flow.start_tag + cost / flow.weight)

    def count_band(self, band):
        """Return how many requests of the band are queued."""
        return self._bands[band].size

    def measure_served(self, band, now):
        """Return the cost per second that the band was served recently."""
        return self._bands[band].served_rate.measure(now)

    def get_credit(self, band):
        """Return the cost that the band is owed of its guaranteed share."""
        return self._bands[band].credit

    def get_flow_costs(self, customer, band):
        """Return a flow's queued cost, and the total cost that has left its queue."""
        flow = self._flows.get((customer, band))
        return (flow.cost, flow.removed_cost) if flow else (0.0, 0.0)

    def estimate_wait(self, customer, weight, band, cost, total_rate, band_rate, now):
        """Return the seconds that new work would wait for its turn.

        ``total_rate`` is the cost per second that the pool serves and ``band_rate`` the
        part of it available to the band. The customer gets its fair share of that or
        what the other customers leave, whichever is more.
        """
        totals = self._bands[band]
        urgent_cost = sum(self._bands[other].cost for other in BANDS[:band])
        flow = self._flows.get((customer, band))
        if flow is None or not flow.size:
            fair_rate = band_rate * weight / (totals.weight + weight)
            return urgent_cost / total_rate + cost / fair_rate
        others_rate = totals.served_rate.measure(now) - flow.served_rate.measure(now)
        fair_rate = band_rate * flow.weight / totals.weight
        return urgent_cost / total_rate + (flow.cost + cost) / max(
            fair_rate, band_rate - others_rate
        )

    def _add_to_totals(self, item, sign):
        customer = item.work.customer
        self._sizes_by_customer[customer] = (
            self._sizes_by_customer.get(customer, 0) + sign
        )
        for totals in (self._flows[customer, item.band], self._bands[item.band]):
            totals.size += sign
            totals.cost = max(0.0, totals.cost + sign * item.cost)

    def _find_band_head(self, band, blocked):
        """Return the next item of the band, from the lane with the lowest start tag."""
        heads = [
            self._find_head((band, size))
            for size in (SHORT, LONG)
            if (band, size) not in blocked
        ]
        candidates = [head for head in heads if head is not None]
        return min(candidates, key=lambda head: head[0])[1] if candidates else None

    def _find_head(self, lane):
        """Return the start tag and item at the head of a lane; drop stale entries."""
        active = self._active[lane]
        while active:
            start_tag, sequence, customer = active[0]
            flow = self._flows[customer, lane[0]]
            item = self._find_queued(flow.heaps[lane[1]])
            if item is None:
                heappop(active)
                flow.active.discard(lane)
            elif start_tag < flow.start_tag:
                heapreplace(active, (flow.start_tag, sequence, customer))
            else:
                return start_tag, item
        return None

    def _find_queued(self, heap):
        while heap:
            item = self._items.get(heap[0][-1])
            if item is not None:
                return item
            heappop(heap)
        return None
