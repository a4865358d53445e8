"""Apply the operators' rules of a fleet to the planner's purchases and returns."""

from math import exp
from typing import NamedTuple

from .planner import Need, Offer, Owned, Plan, Refusals, get_effective_price, plan

# Seconds in which the recorded need decays by a factor e. Without it, instances would
# be returned and bought again at each hourly peak, and each would load its models.
NEED_DECAY_SECONDS = 600.0
# Price ratio above which a cheaper offer replaces an instance. Prices change hourly;
# for a small gain, loading the models would cost more than it saves.
REPLACE_RATIO = 1.5
DEFAULT_SLOTS = 8


class Machine(NamedTuple):
    """The slots of a machine class and its first-token time in seconds, or 0."""

    slots: int = DEFAULT_SLOTS
    first_token: float = 0.0


class Situation(NamedTuple):
    """The input of a plan.

    ``first_token`` is the latency target in seconds, and ``data_centres`` gives the
    data centre of each zone.
    """

    offers: tuple[Offer, ...]
    owned: tuple[Owned, ...]
    needed_slots: float
    machines: dict[str, Machine] = {}
    data_centres: dict[str, str] = {}
    first_token: float = float("inf")


class FleetPlanner:
    """The planner of one fleet, with its recent need and its refused offers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.refusals = Refusals()
        self._needed_slots = 0.0
        self._measured_at = 0.0
        self._first_measured_at = None

    def measure(self, slots, now):
        """Record the slots in use or waited for; return their peak, which decays."""
        self._first_measured_at = (
            now if self._first_measured_at is None else self._first_measured_at
        )
        decayed = self._needed_slots * exp(
            (self._measured_at - now) / NEED_DECAY_SECONDS
        )
        self._needed_slots, self._measured_at = max(slots, decayed), now
        return self._needed_slots

    def plan(self, situation, now):
        """Return a Plan of at most one purchase or one return.

        If an offer was refused, the next one is tried: another zone or machine class,
        and finally on-demand, which costs most.
        """
        prices = {offer.key: offer.price for offer in situation.offers}
        owned = tuple(
            item._replace(price=prices.get(item.key, 0.0)) for item in situation.owned
        )
        offers = self._list_eligible_offers(situation)
        bought = sum(not item.from_inventory for item in owned)
        max_starts = 1 if bought < self.fleet.max_instances else 0
        need = self._make_need(situation, max_starts)
        allowed = [offer for offer in offers if self.refusals.allows(offer, now)]
        worth_keeping = self._drop_replaceable(situation, owned, allowed)
        buys = plan(need, worth_keeping, allowed, self.refusals, now).buys
        # A new lease holder doesn't know the last peak, so it returns nothing yet.
        if (
            buys
            or self._first_measured_at is None
            or now - self._first_measured_at < NEED_DECAY_SECONDS
        ):
            return Plan(buys)
        return plan(need._replace(max_starts=0), owned, (), self.refusals, now)

    def _make_need(self, situation, max_starts):
        fleet = self.fleet
        return Need(
            situation.needed_slots,
            DEFAULT_SLOTS,
            max_starts,
            zones_lost=1 if fleet.spare else 0,
            spare_part=fleet.spare,
            min_instances=fleet.min_instances,
            slots_by_class={
                name: item.slots for name, item in situation.machines.items()
            },
            data_centres=situation.data_centres,
        )

    def _list_eligible_offers(self, situation):
        fleet = self.fleet
        ceiling = fleet.price_ceiling or float("inf")
        return [
            offer
            for offer in situation.offers
            if offer.machine_class in fleet.machine_classes
            and offer.price <= ceiling
            and _find_machine(situation, offer).first_token <= situation.first_token
        ]

    def _drop_replaceable(self, situation, owned, offers):
        """Return the owned instances that no far cheaper offer would replace.

        Once the replacement is bought, the expensive instance is surplus and is
        returned.
        """
        cheapest = {}
        for offer in offers:
            group, cost = (
                self._find_price_group(situation, offer),
                _get_slot_price(situation, offer),
            )
            cheapest[group] = min(cost, cheapest.get(group, cost))
        replaceable = {
            offer.key
            for offer in situation.offers
            if _get_slot_price(situation, offer)
            > REPLACE_RATIO
            * cheapest.get(self._find_price_group(situation, offer), float("inf"))
        }
        return tuple(item for item in owned if item.key not in replaceable)

    def _find_price_group(self, situation, offer):
        """Return the key of the group within which prices are compared.

        With spare capacity, all data centres are needed. Compared with the cheapest
        one, the instances of the other data centres would be replaced again and again.
        """
        if not self.fleet.spare:
            return ""
        return situation.data_centres.get(offer.zone, offer.zone)


def _get_slot_price(situation, offer):
    return get_effective_price(offer) / _find_machine(situation, offer).slots


def _find_machine(situation, offer):
    return situation.machines.get(offer.machine_class, Machine())
