"""Compare the cost of a useful slot hour under the planner and simpler policies.

``python -m bench.planner`` writes its section of docs/MEASUREMENTS.md. It simulates a
day in steps of a minute with fixed seeds: a daily load curve, random-walk prices,
instances reclaimed singly and by zone, and refused starts after a zone reclaim.
"""

from math import pi, sin
from random import Random
from typing import NamedTuple

from bench.pages import format_table, write_section
from chervilwing.fleets import FleetPlanner, Machine, Situation
from chervilwing.models import Fleet
from chervilwing.planner import Offer, Owned

STEP_SECONDS = 60.0
HOURS = 24
SEEDS = (1, 2, 3)
# Seconds until a started instance is ready.
START_DELAY = 180.0
# Seconds for which a reclaimed zone refuses starts of reclaimable instances.
REFUSAL_TIME = 900.0
ZONE_RECLAIMS_PER_HOUR = 0.08
MACHINES = {"standard": Machine(8), "large": Machine(16)}
FLEET = Fleet("f", "pool", ("standard", "large"), max_instances=200)


class PurchasePolicy(NamedTuple):
    """A purchase policy: its fleet settings and the markets it buys in."""

    name: str
    fleet: Fleet
    markets: tuple[str, ...]


PURCHASE_POLICIES = (
    PurchasePolicy("planner", FLEET, ("reclaimable", "on_demand")),
    PurchasePolicy(
        "planner, half spare", FLEET._replace(spare=0.5), ("reclaimable", "on_demand")
    ),
    PurchasePolicy("always on demand", FLEET._replace(spare=0.0), ("on_demand",)),
    PurchasePolicy(
        "cheapest, no spare room", FLEET._replace(spare=0.0), ("reclaimable",)
    ),
)


class Running(NamedTuple):
    """An instance and the time in seconds at which it is ready."""

    owned: Owned
    offer: Offer
    ready_at: float


class Market:
    """Prices, capacity and reclaims of three zones; equal for equal seeds."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.price_level = dict.fromkeys("abc", 1.0)
        self.refused_until = dict.fromkeys("abc", 0.0)

    def advance(self, now):
        """Advance the prices one step; return the zone reclaimed now, or None."""
        for zone, level in self.price_level.items():
            moved = level * (1 + self.rng.gauss(0, 0.02))
            self.price_level[zone] = min(2.5, max(0.7, moved))
        if self.rng.random() < ZONE_RECLAIMS_PER_HOUR * STEP_SECONDS / 3600:
            zone = self.rng.choice("abc")
            self.refused_until[zone] = now + REFUSAL_TIME
            return zone
        return None

    def list_offers(self, markets):
        """Return the offers of the given markets; on-demand prices are constant."""
        rows = []
        for zone in "abc":
            for kind, base in (("standard", 1.0), ("large", 2.1)):
                price = 0.3 * base * self.price_level[zone]
                rows.append(Offer(zone, kind, "reclaimable", price, 0.05))
                rows.append(Offer(zone, kind, "on_demand", base, 0.0))
        return tuple(row for row in rows if row.market in markets)


def measure_load(now, rng):
    """Return the slots demanded at a time: a daily curve with noise."""
    day = 1 + 0.6 * sin(2 * pi * now / 86400)
    return max(1.0, 60 * day * (1 + rng.gauss(0, 0.05)))


def run(policy, seed):
    """Return cost per useful slot hour, fraction of the load unserved, and starts."""
    market, load_rng, reclaim_rng = Market(seed), Random(seed + 100), Random(seed + 200)
    planner, running = FleetPlanner(policy.fleet), []
    paid = useful = lost = wanted = 0.0
    starts = 0
    for step in range(int(HOURS * 3600 / STEP_SECONDS)):
        now = step * STEP_SECONDS
        zone = market.advance(now)
        running = [
            item for item in running if not is_reclaimed(item, zone, reclaim_rng)
        ]
        load = measure_load(now, load_rng)
        offers = market.list_offers(policy.markets)
        starts += buy(planner, running, offers, load, market, now)
        slots = sum(item.owned.slots for item in running if item.ready_at <= now)
        prices = {offer[:3]: offer.price for offer in offers}
        paid += sum(prices[item.offer[:3]] for item in running) * STEP_SECONDS / 3600
        useful += min(load, slots) * STEP_SECONDS / 3600
        lost += max(0.0, load - slots) * STEP_SECONDS / 3600
        wanted += load * STEP_SECONDS / 3600
    return paid / useful, lost / wanted, starts


def is_reclaimed(item, zone, reclaim_rng):
    """Return whether an instance is reclaimed now, alone or with its zone."""
    if item.offer.market != "reclaimable":
        return False
    alone = reclaim_rng.random() < item.offer.reclaim_rate * STEP_SECONDS / 3600
    return alone or item.offer.zone == zone


def buy(planner, running, offers, load, market, now):
    """Buy and return instances as planned in one time step; return the starts."""
    starts = 0
    for number in range(int(STEP_SECONDS)):
        owned = tuple(item.owned for item in running)
        needed = planner.measure(load, now)
        situation = Situation(offers, owned, needed, MACHINES)
        plan = planner.plan(situation, now)
        running[:] = [item for item in running if item.owned.name not in plan.returns]
        if not plan.buys:
            if not plan.returns:
                break
            continue
        offer = plan.buys[0]
        if offer.market == "reclaimable" and market.refused_until[offer.zone] > now:
            planner.refusals.record(offer, now)
            continue
        planner.refusals.forget(offer)
        starts += 1
        slots = MACHINES[offer.machine_class].slots
        owned = Owned(f"{now}-{number}", offer.zone, 0.0, slots, *offer[1:3])
        running.append(Running(owned, offer, now + START_DELAY))
    return starts


def main():
    """Run all purchase policies and write the section."""
    rows = []
    for policy in PURCHASE_POLICIES:
        for seed in SEEDS:
            cost, lost, starts = run(policy, seed)
            row = (
                policy.name,
                str(seed),
                f"{cost:.4f}",
                f"{lost * 100:.2f}",
                str(starts),
            )
            rows.append(row)
    heads = ("way", "seed", "price a useful slot hour", "load unserved, %", "starts")
    text = (
        "## Buying instances\n\n"
        f"Written by `python -m bench.planner`: {HOURS} simulated hours, three zones, "
        f"two machine\nclasses, a start takes {START_DELAY:g} s, "
        "a zone is reclaimed about "
        f"every {1 / ZONE_RECLAIMS_PER_HOUR:g} h and refuses\nreclaimable starts for "
        f"{REFUSAL_TIME / 60:g} min. A useful slot hour is one that a request used.\n\n"
    )
    write_section("buying instances", text + format_table(heads, rows))


if __name__ == "__main__":
    main()
