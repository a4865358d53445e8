"""Plan which instances to buy and return, by price, reclaim risk and target."""

from collections import Counter
from typing import NamedTuple

# Maximum utilisation of the slots; above it, the first token misses its target (it
# holds at a load of 0.7 and fails at 1).
MAX_UTILISATION = 0.75
# Cost of one reclaim, as a multiple of the instance's hourly price: starting a
# replacement, filling its cache and moving the work.
RECLAIM_COST_HOURS = 0.25
# Backoff of a refused offer in seconds, doubled each time up to the maximum.
INITIAL_BACKOFF = 20.0
MAX_BACKOFF = 600.0
# Capacity is returned only above this multiple of the need, so that a load that varies
# around a step doesn't cause buying and returning in turn.
RETURN_SURPLUS = 1.25


class Offer(NamedTuple):
    """One row of the cloud's price list.

    ``price`` is per hour; ``reclaim_rate`` is the number of reclaims per hour.
    """

    zone: str
    machine_class: str
    market: str
    price: float
    reclaim_rate: float = 0.0

    @property
    def key(self):
        """Return the zone, machine class and market: the unit of a refusal."""
        return self.zone, self.machine_class, self.market


class Owned(NamedTuple):
    """An instance that is running or starting, but not leaving.

    Instances ``from_inventory`` are never returned.
    """

    name: str
    zone: str
    price: float
    slots: int
    machine_class: str = ""
    market: str = ""
    from_inventory: bool = False

    @property
    def key(self):
        """Return the zone, machine class and market, as in the matching offer."""
        return self.zone, self.machine_class, self.market


class Need(NamedTuple):
    """What a pool has to carry.

    ``busy_slots`` is the number of busy slots at the peak, and ``max_starts`` the
    number of instances that may be started in this round. The loss of the
    ``zones_lost`` largest zones must leave enough slots for the fraction ``spare_part``
    of the load. ``slots_by_class`` gives the slots of machine classes that differ from
    ``slots_per_instance``. ``data_centres`` maps zones to data centres; the zones of
    one data centre count as one zone.
    """

    busy_slots: float
    slots_per_instance: int
    max_starts: int
    zones_lost: int = 1
    spare_part: float = 1.0
    min_instances: int = 0
    slots_by_class: dict[str, int] = {}
    data_centres: dict[str, str] = {}


class Plan(NamedTuple):
    """The offers to buy, and the names of instances to drain and return."""

    buys: tuple[Offer, ...] = ()
    returns: tuple[str, ...] = ()


class Refusals:
    """The offers that the cloud refused, and when each may be requested again.

    In a reclaim wave, all users of the cloud request instances in the same zone.
    Without a backoff, the same refused request would be repeated while another zone has
    capacity.
    """

    def __init__(self):
        self._backoffs = {}

    def record(self, offer, now):
        """Record a refused start and double its backoff."""
        _, backoff = self._backoffs.get(offer.key, (0.0, INITIAL_BACKOFF / 2))
        backoff = min(MAX_BACKOFF, backoff * 2)
        self._backoffs[offer.key] = (now + backoff, backoff)

    def forget(self, offer):
        """Clear the backoff of an offer after a successful start."""
        self._backoffs.pop(offer.key, None)

    def allows(self, offer, now):
        """Return whether the offer may be requested now."""
        return self._backoffs.get(offer.key, (0.0, 0.0))[0] <= now


def get_effective_price(offer):
    """Return the hourly price of the offer with the cost of its reclaims."""
    return offer.price * (1.0 + offer.reclaim_rate * RECLAIM_COST_HOURS)


def count_remaining(slots_by_zone, zones_lost):
    """Return the slots that remain after the loss of the largest zones."""
    largest = sorted(slots_by_zone.values(), reverse=True)[:zones_lost]
    return sum(slots_by_zone.values()) - sum(largest)


def plan(need, owned, offers, refusals, now):
    """Return what to buy or return so that the loss of a zone is survived.

    Offers are chosen one by one: each time the one with the lowest effective price per
    usable slot that it adds. At most ``need.max_starts`` are bought. Instances are
    returned only if nothing is bought.
    """
    wanted_slots = need.busy_slots / MAX_UTILISATION
    slots = Counter()
    for instance in owned:
        slots[_find_data_centre(need, instance)] += instance.slots
    allowed = [offer for offer in offers if refusals.allows(offer, now)]
    buys = _plan_buys(
        need, wanted_slots, slots, allowed, need.min_instances - len(owned)
    )
    if buys:
        return Plan(buys=buys)
    return Plan(returns=_plan_returns(need, wanted_slots, slots, owned))


def _plan_buys(need, wanted_slots, slots, offers, missing_instances):
    slots = Counter(slots)
    target = min(wanted_slots, _find_max_usable(need, slots, offers))
    buys = []
    while offers and len(buys) < need.max_starts:
        usable = _count_usable(need, slots)
        if (
            usable >= target
            and slots.total() >= wanted_slots
            and len(buys) >= missing_instances
        ):
            break
        best = min(offers, key=lambda offer: _make_sort_key(need, slots, offer))
        slots[_find_data_centre(need, best)] += _count_slots(need, best)
        buys.append(best)
    return tuple(buys)


def _find_max_usable(need, slots, offers):
    """Return the highest number of usable slots that buying these offers can give.

    In a reclaim wave, all zones but one may refuse. Instances bought in that zone can't
    cover its own loss; without this bound, the planner would go on buying there.
    """
    zones = {_find_data_centre(need, offer) for offer in offers}
    if len(zones) > need.zones_lost:
        return float("inf")
    others = {
        zone: slot_count for zone, slot_count in slots.items() if zone not in zones
    }
    return count_remaining(others, need.zones_lost - len(zones)) / (
        need.spare_part or 1.0
    )


def _make_sort_key(need, slots, offer):
    """Return the sort key of an offer: its price per usable slot that it adds.

    Two zones of equal size have to grow in turn before the slots left after a loss
    increase. Offers that add no usable slot are therefore also ordered by the slots of
    their zone.
    """
    data_centre, added_slots = _find_data_centre(need, offer), _count_slots(need, offer)
    slots_after = slots + Counter({data_centre: added_slots})
    gain = _count_usable(need, slots_after) - _count_usable(need, slots)
    if gain > 0:
        return False, get_effective_price(offer) / gain, offer.key
    return (
        True,
        get_effective_price(offer) / added_slots + 1e-6 * slots[data_centre],
        offer.key,
    )


def _count_usable(need, slots):
    """Return the highest load, in slots, that the loss of the largest zones permits.

    The fraction ``spare_part`` of that load still fits after the loss. The result is at
    most the number of all slots.
    """
    if not need.spare_part:
        return slots.total()
    return min(slots.total(), count_remaining(slots, need.zones_lost) / need.spare_part)


def _find_data_centre(need, item):
    return need.data_centres.get(item.zone, item.zone)


def _count_slots(need, offer):
    return need.slots_by_class.get(offer.machine_class, need.slots_per_instance)


def _plan_returns(need, wanted_slots, slots, owned):
    """Return the most expensive instance that isn't needed, as a tuple, or ()."""
    if len(owned) <= need.min_instances:
        return ()
    for instance in sorted(owned, key=lambda item: (-item.price, item.name)):
        remaining = Counter(slots)
        remaining[_find_data_centre(need, instance)] -= instance.slots
        if (
            not instance.from_inventory
            and _count_usable(need, remaining) >= wanted_slots * RETURN_SURPLUS
        ):
            return (instance.name,)
    return ()
