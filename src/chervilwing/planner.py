"""Which instances to buy for a pool, where, and which to give back."""

from collections import Counter
from math import exp
from typing import NamedTuple

# Load: bursts, which queue where every slot is in use. Harm: first tokens late for the
# latency target. This many times the slots in use keeps short work from waiting.
ROOM = 1.25
# Load: a peak of every hour. Harm: instances given back and bought again each time,
# with models to load. What is needed falls by a factor e in this many seconds.
NEED_FALL = 600.0
# A reclaimed instance is paid for and of no use for about this part of an hour, until
# another has started and loaded its models.
RESTART_HOURS = 0.1
# Load: a zone without capacity. Harm: calls that grow with the lack, and a zone that
# is never asked again. Times in seconds.
FIRST_BACKOFF = 30.0
LONGEST_BACKOFF = 600.0
# Load: prices that move by the hour. Harm: instances changed for a small gain, which
# the loading of models eats up. Over this ratio a cheaper offer replaces one.
TOO_DEAR = 1.5
# An instance is given back only if what remains has this much over what is needed.
KEEP = 1.1
USUAL_SLOTS = 8


class Offer(NamedTuple):
    """What the cloud sells in one zone, by the hour; ``reclaim_rate`` an hour."""

    zone: str
    machine_class: str
    market: str
    price: float
    reclaim_rate: float = 0.0


class Machine(NamedTuple):
    """What was measured of a machine class; 0 seconds when nothing was."""

    slots: int = USUAL_SLOTS
    first_token: float = 0.0


class Owned(NamedTuple):
    """An instance that runs or was asked for; one without a market wasn't bought."""

    name: str
    zone: str
    machine_class: str
    slots: int
    market: str = ""


class Situation(NamedTuple):
    """What a plan is made from; ``centres`` gives the data centre of a zone."""

    offers: tuple[Offer, ...]
    owned: tuple[Owned, ...]
    needed: float
    machines: dict[str, Machine] = {}
    centres: dict[str, str] = {}
    first_token: float = float("inf")


def measure_cost(offer, machine):
    """Return the price of one slot's useful hour."""
    useful = max(0.1, 1.0 - offer.reclaim_rate * RESTART_HOURS)
    return offer.price / machine.slots / useful


def measure_usable(owned, fleet, centres):
    """Return the slots that may be counted on, also once a part is lost.

    Load: a zone or a data centre reclaimed at once, starts refused. Harm: the rest is
    flooded just as nothing can be bought. ``spare`` is the part of the load that has
    to fit into what remains.
    """
    zones, sites = Counter(), Counter()
    for item in owned:
        zones[item.zone] += item.slots
        sites[centres.get(item.zone, item.zone)] += item.slots
    total = sum(zones.values())
    if not fleet.spare:
        return float(total)
    largest = max(sites.values(), default=0)
    return min(total, (total - largest) / fleet.spare)


class Planner:
    """The state of one fleet: what was needed of late and what was refused."""

    def __init__(self, fleet):
        self.fleet = fleet
        self._needed = 0.0
        self._measured_at = 0.0
        self._began_at = None
        self._refused = {}

    def measure(self, slots, now):
        """Take in the slots in use and waited for; return what is needed."""
        self._began_at = now if self._began_at is None else self._began_at
        fallen = self._needed * exp((self._measured_at - now) / NEED_FALL)
        self._needed, self._measured_at = max(slots, fallen), now
        return self._needed

    def refuse(self, offer, now):
        """Leave an offer alone for a while, each time for longer."""
        _, pause = self._refused.get(offer[:3], (0.0, FIRST_BACKOFF / 2))
        pause = min(LONGEST_BACKOFF, 2 * pause)
        self._refused[offer[:3]] = now + pause, pause

    def accept(self, offer):
        """Forget the refusals of an offer that was bought."""
        self._refused.pop(offer[:3], None)

    def choose_offer(self, situation, now):
        """Return the offer to buy now, or None.

        An offer that was refused gives way to the next: another zone or class, and in
        the end on-demand, which costs most.
        """
        kept = self._leave_out_dear(situation, now)
        bought = sum(bool(item.market) for item in situation.owned)
        if bought >= self.fleet.max_instances or not self._lacks(situation, kept):
            return None
        offers = self._list_eligible(situation, now)
        return min(
            offers, key=lambda offer: self._weigh(situation, kept, offer), default=None
        )

    def choose_surplus(self, situation, now):
        """Return the bought instance to give back now, the dearest first, or None.

        A holder that is new knows nothing of the last peak, and waits.
        """
        if self._began_at is None or now - self._began_at < NEED_FALL:
            return None
        more = situation._replace(needed=situation.needed * KEEP)
        prices = _find_prices(situation)
        # One of each kind is tried: the others of its kind would leave the same.
        kinds = {_key(item): item for item in situation.owned if item.market}
        for item in sorted(
            kinds.values(), key=lambda item: -prices.get(_key(item), 0.0)
        ):
            rest = tuple(other for other in situation.owned if other != item)
            if not self._lacks(more, rest):
                return item
        return None

    def _lacks(self, situation, owned):
        if len(owned) < self.fleet.min_instances:
            return True
        usable = measure_usable(owned, self.fleet, situation.centres)
        return usable < situation.needed * ROOM

    def _list_eligible(self, situation, now):
        fleet = self.fleet
        ceiling = fleet.price_ceiling or float("inf")
        return [
            offer
            for offer in situation.offers
            if offer.machine_class in fleet.machine_classes
            and offer.price <= ceiling
            and self._refused.get(offer[:3], (now, 0.0))[0] <= now
            and _find_machine(situation, offer).first_token <= situation.first_token
        ]

    def _weigh(self, situation, owned, offer):
        """Return what an offer costs for each slot that it adds to the usable ones."""
        machine = _find_machine(situation, offer)
        item = Owned("", offer.zone, offer.machine_class, machine.slots)
        centres = situation.centres
        before = measure_usable(owned, self.fleet, centres)
        gain = measure_usable((*owned, item), self.fleet, centres) - before
        cost = measure_cost(offer, machine)
        # The first instance of a fleet with spare room gains nothing by itself, as
        # its zone is the one that may be lost.
        return gain <= 0, cost * machine.slots / gain if gain > 0 else cost, offer

    def _leave_out_dear(self, situation, now):
        """Return what is owned without what a far cheaper offer would replace.

        The surplus that the replacement makes is the dear one.
        """
        cheapest = {}
        for offer in self._list_eligible(situation, now):
            place = self._find_place(situation, offer)
            cost = _price(situation, offer)
            cheapest[place] = min(cost, cheapest.get(place, cost))
        dear = {
            row[:3]
            for row in situation.offers
            if _price(situation, row)
            > TOO_DEAR * cheapest.get(self._find_place(situation, row), float("inf"))
        }
        return tuple(item for item in situation.owned if _key(item) not in dear)

    def _find_place(self, situation, offer):
        """Return what prices are compared within.

        With spare room the sites are all needed: judged by the cheapest one, the
        others' instances would be replaced for ever (bench/planner.py, seed 1: 1,398
        starts a day in place of 159).
        """
        if not self.fleet.spare:
            return ""
        return situation.centres.get(offer.zone, offer.zone)


def _key(item):
    return item.zone, item.machine_class, item.market


def _find_prices(situation):
    return {offer[:3]: offer.price for offer in situation.offers}


def _price(situation, offer):
    return measure_cost(offer, _find_machine(situation, offer))


def _find_machine(situation, offer):
    return situation.machines.get(offer.machine_class, Machine())
