"""Bounded queues with weighted fair shares on cost, priority and deadline."""

from heapq import heappop, heappush, heapreplace
from itertools import count
from typing import NamedTuple

from .work import Work

URGENT = "urgent"
YIELDING = "yielding"
SHORT = "short"
LONG = "long"
LANES = tuple((band, lane) for band in (URGENT, YIELDING) for lane in (SHORT, LONG))

# Work of this priority or a higher number (batch, documents) yields to the rest.
YIELDING_PRIORITY = 2
# What yielding work gets for sure while urgent work waits: enough that a customer
# with nothing but batch work is never starved, too little to delay a memo.
YIELDING_SHARE = 0.1


class Queued(NamedTuple):
    """Work that waits, with what was estimated when it came in."""

    work: Work
    cost: float
    priority: int
    lane: tuple[str, str]
    give_up: float


class Flow:
    """What one customer has waiting, and its place in virtual time."""

    def __init__(self, weight):
        self.weight = weight
        self.tag = 0.0
        self.size = 0
        self.cost = dict.fromkeys((URGENT, YIELDING), 0.0)
        self.heaps = {lane: [] for lane in LANES}
        self.active = set()


class FairQueue:
    """The requests that wait for one pool.

    Start-time fair queueing over customers, on cost: whoever has had least for its
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
        self._active = {lane: [] for lane in LANES}
        self._order = count()
        self._virtual = 0.0
        self._credit = 0.0
        self.weight = 0.0
        self.cost = dict.fromkeys((URGENT, YIELDING), 0.0)

    def __len__(self):
        return len(self._items)

    def __contains__(self, request_id):
        return request_id in self._items

    def count(self, customer):
        """Return how many requests of the customer wait."""
        flow = self._flows.get(customer)
        return flow.size if flow else 0

    def find(self, request_id):
        """Return the waiting request, or None."""
        return self._items.get(request_id)

    def list_waiting(self):
        """Return all that wait."""
        return tuple(self._items.values())

    def push(self, item, weight, front=False):
        """Put work in its customer's queue; ``front`` goes before its priority."""
        flow = self._flows.setdefault(item.work.customer, Flow(weight))
        if not flow.size:
            flow.tag = max(flow.tag, self._virtual)
            flow.weight = weight
            self.weight += weight
        self._items[item.work.request_id] = item
        self._count(item, flow, 1)
        heap = flow.heaps[item.lane]
        rank = (item.priority, not front, item.work.deadline, next(self._order))
        heappush(heap, (*rank, item.work.request_id))
        if item.lane not in flow.active:
            flow.active.add(item.lane)
            entry = (flow.tag, next(self._order), item.work.customer)
            heappush(self._active[item.lane], entry)

    def remove(self, request_id):
        """Take one request out, or return None when it doesn't wait."""
        item = self._items.pop(request_id, None)
        if item is None:
            return None
        flow = self._flows[item.work.customer]
        self._count(item, flow, -1)
        if not flow.size:
            self.weight -= flow.weight
        return item

    def peek(self, blocked, spare_urgent):
        """Return the work to be placed next outside the blocked lanes, or None.

        With ``spare_urgent`` yielding work waits for as long as any urgent work
        does: while survivors take over from a reclaimed zone.
        """
        heads = {lane: self._find_head(lane) for lane in LANES if lane not in blocked}
        urgent = self._pick(heads, URGENT)
        yielding = self._pick(heads, YIELDING)
        if urgent is None or yielding is None:
            return urgent or yielding
        due = self._credit >= yielding.cost and not spare_urgent
        return yielding if due else urgent

    def take(self, item):
        """Take out what ``peek`` returned and charge its customer."""
        self.remove(item.work.request_id)
        flow = self._flows[item.work.customer]
        self._virtual = max(self._virtual, flow.tag)
        flow.tag += item.cost / flow.weight
        if item.lane[0] == YIELDING:
            self._credit = max(0.0, self._credit - item.cost)
        elif self.cost[YIELDING] > 0:
            self._credit += item.cost * YIELDING_SHARE
        return item

    def charge(self, customer, cost):
        """Correct a customer's account by cost that the estimate missed."""
        flow = self._flows.get(customer)
        if flow is not None:
            flow.tag = max(0.0, flow.tag + cost / flow.weight)

    def measure_ahead(self, customer, weight, band):
        """Return the cost that is served before new work of the customer.

        It is the least of all that waits and of what fair shares let pass while
        the customer's own queue is served.
        """
        total = self._sum(self.cost, band)
        flow = self._flows.get(customer)
        if flow is None or not flow.size:
            return min(total, self._estimate_round(weight))
        own = self._sum(flow.cost, band)
        return min(total, own * self.weight / flow.weight)

    def _estimate_round(self, weight):
        if not self._items:
            return 0.0
        mean = sum(self.cost.values()) / len(self._items)
        return mean * self.weight / max(weight, 1e-9)

    def _sum(self, costs, band):
        return costs[URGENT] + (costs[YIELDING] if band == YIELDING else 0.0)

    def _count(self, item, flow, sign):
        band = item.lane[0]
        flow.size += sign
        flow.cost[band] = max(0.0, flow.cost[band] + sign * item.cost)
        self.cost[band] = max(0.0, self.cost[band] + sign * item.cost)

    def _pick(self, heads, band):
        able = [(tag, item) for lane, (tag, item) in heads.items() if lane[0] == band]
        able = [(tag, item) for tag, item in able if item is not None]
        return min(able, key=lambda pair: pair[0])[1] if able else None

    def _find_head(self, lane):
        """Return tag and item of the lane's next request, dropping stale entries."""
        active = self._active[lane]
        while active:
            tag, order, customer = active[0]
            flow = self._flows[customer]
            item = self._find_first(flow.heaps[lane])
            if item is None:
                heappop(active)
                flow.active.discard(lane)
            elif tag < flow.tag:
                heapreplace(active, (flow.tag, order, customer))
            else:
                return tag, item
        return 0.0, None

    def _find_first(self, heap):
        while heap:
            item = self._items.get(heap[0][-1])
            if item is not None:
                return item
            heappop(heap)
        return None
