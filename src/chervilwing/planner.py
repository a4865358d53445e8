"""What instances to buy and to return, by price, reclaim risk and latency target."""

from collections import Counter
from typing import NamedTuple

# Slots are kept this busy at most: above it the measured first token leaves the
# target (docs/MEASUREMENTS.md, steady at 0.7 against full at 1x).
BUSY = 0.75
# What a reclaim costs, in hours of the instance's price: its start, its empty cache
# and the work that moves.
RECLAIM_HOURS = 0.25
# A refused offer isn't asked for again for so long, each time twice as long.
FIRST_WAIT = 20.0
LONGEST_WAIT = 600.0
# Capacity is returned only when it is this much over the need, so that a load that
# swings round a step doesn't buy and return in turn.
SURPLUS = 1.25


class Offer(NamedTuple):
    """One line of the cloud's price list; ``reclaim_rate`` is reclaims an hour."""

    zone: str
    machine_class: str
    market: str
    price: float
    reclaim_rate: float = 0.0

    @property
    def key(self):
        """What the cloud may refuse as a whole."""
        return self.zone, self.machine_class, self.market


class Owned(NamedTuple):
    """An instance that runs or starts; leaving ones don't count.

    The inventory's own are ``kept``, and never returned.
    """

    name: str
    zone: str
    price: float
    slots: int
    machine_class: str = ""
    market: str = ""
    kept: bool = False

    @property
    def key(self):
        """What the cloud sells it as."""
        return self.zone, self.machine_class, self.market


class Need(NamedTuple):
    """What a pool has to carry: slots busy at the peak, slots of one instance.

    ``starts`` is how many new instances the weight store can feed in this round.
    ``spare`` is the part of the load that has to fit into what a loss leaves, ``least``
    the fewest instances; ``classes`` gives the slots of a machine class where they
    differ, ``sites`` the data centre of a zone where the loss of that counts.
    """

    busy: float
    slots: int
    starts: int
    zones_lost: int = 1
    spare: float = 1.0
    least: int = 0
    classes: dict[str, int] = {}
    sites: dict[str, str] = {}


class Plan(NamedTuple):
    """What to ask the cloud for, and what to drain and return."""

    buys: tuple[Offer, ...] = ()
    returns: tuple[str, ...] = ()


class Refusals:
    """Which offers were refused, and until when they aren't asked for again.

    Load: a reclaim wave, in which everyone asks for the same zone. Harm prevented:
    the same refused request over and over, while another zone would have sold.
    """

    def __init__(self):
        self._waits = {}

    def record(self, offer, now):
        """Take note of a refused start."""
        _, wait = self._waits.get(offer.key, (0.0, FIRST_WAIT / 2))
        wait = min(LONGEST_WAIT, wait * 2)
        self._waits[offer.key] = (now + wait, wait)

    def forget(self, offer):
        """Take note of a start that was granted."""
        self._waits.pop(offer.key, None)

    def allows(self, offer, now):
        """Tell whether the offer may be asked for."""
        return self._waits.get(offer.key, (0.0, 0.0))[0] <= now


def rate_offer(offer):
    """Return what an hour of the offer costs with its reclaims counted in."""
    return offer.price * (1.0 + offer.reclaim_rate * RECLAIM_HOURS)


def count_left(slots_by_zone, zones_lost):
    """Return the slots that are left when the largest zones are lost."""
    largest = sorted(slots_by_zone.values(), reverse=True)[:zones_lost]
    return sum(slots_by_zone.values()) - sum(largest)


def plan(need, owned, offers, refusals, now):
    """Return what to buy or return so that the loss of a zone is survived.

    Buys go one by one to the cheapest offer of those that help most against the
    loss of the largest zones; no more than the weight store can feed.
    """
    wanted = need.busy / BUSY
    slots = Counter()
    for instance in owned:
        slots[_find_site(need, instance)] += instance.slots
    allowed = [offer for offer in offers if refusals.allows(offer, now)]
    buys = _buy(need, wanted, slots, allowed, need.least - len(owned))
    if buys:
        return Plan(buys=buys)
    return Plan(returns=_return(need, wanted, slots, owned))


def _buy(need, wanted, slots, offers, missing):
    slots = Counter(slots)
    enough = min(wanted, _find_reachable(need, slots, offers))
    buys = []
    while offers and len(buys) < need.starts:
        usable = _count_usable(need, slots)
        if usable >= enough and slots.total() >= wanted and len(buys) >= missing:
            break
        best = min(offers, key=lambda offer: _rank(need, slots, offer))
        slots[_find_site(need, best)] += _count_slots(need, best)
        buys.append(best)
    return tuple(buys)


def _find_reachable(need, slots, offers):
    """Return the slots that can be left after a loss, however many are bought.

    Load: a wave in which all but one zone refuse. Harm prevented: endless buying in
    that zone, which never makes its own loss bearable.
    """
    zones = {_find_site(need, offer) for offer in offers}
    if len(zones) > need.zones_lost:
        return float("inf")
    others = {zone: held for zone, held in slots.items() if zone not in zones}
    return count_left(others, need.zones_lost - len(zones)) / (need.spare or 1.0)


def _rank(need, slots, offer):
    """Return the order of an offer: by the price of each usable slot that it adds.

    Two zones of equal size have to grow in turn before a loss leaves more, so the
    slots that the offer's zone holds already decide between those that add nothing.
    """
    site, size = _find_site(need, offer), _count_slots(need, offer)
    after = slots + Counter({site: size})
    gain = _count_usable(need, after) - _count_usable(need, slots)
    if gain > 0:
        return False, rate_offer(offer) / gain, offer.key
    return True, rate_offer(offer) / size + 1e-6 * slots[site], offer.key


def _count_usable(need, slots):
    """Return the slots that may be in use so that the spare part of them is left."""
    if not need.spare:
        return slots.total()
    return min(slots.total(), count_left(slots, need.zones_lost) / need.spare)


def _find_site(need, item):
    return need.sites.get(item.zone, item.zone)


def _count_slots(need, offer):
    return need.classes.get(offer.machine_class, need.slots)


def _return(need, wanted, slots, owned):
    """Return the dearest instance whose loss leaves more than enough, if any."""
    if len(owned) <= need.least:
        return ()
    for instance in sorted(owned, key=lambda item: (-item.price, item.name)):
        rest = Counter(slots)
        rest[_find_site(need, instance)] -= instance.slots
        if not instance.kept and _count_usable(need, rest) >= wanted * SURPLUS:
            return (instance.name,)
    return ()
