"""What the operators' rules let a fleet buy and return, by the planner."""

from math import exp
from typing import NamedTuple

from .planner import Need, Offer, Owned, Plan, Refusals, plan, rate_offer

# Load: a peak of every hour. Harm: instances given back and bought again each time,
# with models to load. What is needed falls by a factor e in this many seconds.
NEED_FALL = 600.0
# Load: prices that move by the hour. Harm: instances changed for a small gain, which
# the loading of models eats up. Over this ratio a cheaper offer replaces one.
TOO_DEAR = 1.5
USUAL_SLOTS = 8


class Machine(NamedTuple):
    """What was measured of a machine class; 0 seconds when nothing was."""

    slots: int = USUAL_SLOTS
    first_token: float = 0.0


class Situation(NamedTuple):
    """What a plan is made from; ``centres`` gives the data centre of a zone."""

    offers: tuple[Offer, ...]
    owned: tuple[Owned, ...]
    needed: float
    machines: dict[str, Machine] = {}
    centres: dict[str, str] = {}
    first_token: float = float("inf")


class FleetPlanner:
    """The state of one fleet: what was needed of late and what was refused."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.refusals = Refusals()
        self._needed = 0.0
        self._measured_at = 0.0
        self._began_at = None

    def measure(self, slots, now):
        """Take in the slots in use and waited for; return what is needed."""
        self._began_at = now if self._began_at is None else self._began_at
        fallen = self._needed * exp((self._measured_at - now) / NEED_FALL)
        self._needed, self._measured_at = max(slots, fallen), now
        return self._needed

    def plan(self, situation, now):
        """Return a Plan of one purchase or one return at most.

        An offer that was refused gives way to the next: another zone or class, and in
        the end on-demand, which costs most.
        """
        prices = {offer.key: offer.price for offer in situation.offers}
        owned = tuple(
            item._replace(price=prices.get(item.key, 0.0)) for item in situation.owned
        )
        offers = self._list_eligible(situation)
        bought = sum(not item.kept for item in owned)
        starts = 1 if bought < self.fleet.max_instances else 0
        need = self._make_need(situation, starts)
        allowed = [offer for offer in offers if self.refusals.allows(offer, now)]
        worth = self._leave_out_dear(situation, owned, allowed)
        buys = plan(need, worth, allowed, self.refusals, now).buys
        # A holder that is new knows nothing of the last peak, and returns nothing yet.
        if buys or self._began_at is None or now - self._began_at < NEED_FALL:
            return Plan(buys)
        return plan(need._replace(starts=0), owned, (), self.refusals, now)

    def _make_need(self, situation, starts):
        fleet = self.fleet
        return Need(
            situation.needed,
            USUAL_SLOTS,
            starts,
            zones_lost=1 if fleet.spare else 0,
            spare=fleet.spare,
            least=fleet.min_instances,
            classes={name: item.slots for name, item in situation.machines.items()},
            sites=situation.centres,
        )

    def _list_eligible(self, situation):
        fleet = self.fleet
        ceiling = fleet.price_ceiling or float("inf")
        return [
            offer
            for offer in situation.offers
            if offer.machine_class in fleet.machine_classes
            and offer.price <= ceiling
            and _find_machine(situation, offer).first_token <= situation.first_token
        ]

    def _leave_out_dear(self, situation, owned, offers):
        """Return what is owned without what a far cheaper offer would replace.

        The surplus that the replacement makes is the dear one.
        """
        cheapest = {}
        for offer in offers:
            place, cost = self._find_place(situation, offer), _rate(situation, offer)
            cheapest[place] = min(cost, cheapest.get(place, cost))
        dear = {
            row.key
            for row in situation.offers
            if _rate(situation, row)
            > TOO_DEAR * cheapest.get(self._find_place(situation, row), float("inf"))
        }
        return tuple(item for item in owned if item.key not in dear)

    def _find_place(self, situation, offer):
        """Return what prices are compared within.

        With spare room the sites are all needed: judged by the cheapest one, the
        others' instances would be replaced for ever.
        """
        if not self.fleet.spare:
            return ""
        return situation.centres.get(offer.zone, offer.zone)


def _rate(situation, offer):
    return rate_offer(offer) / _find_machine(situation, offer).slots


def _find_machine(situation, offer):
    return situation.machines.get(offer.machine_class, Machine())
