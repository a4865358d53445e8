"""What a useful unit of work costs by planner, against simpler ways to buy.

``python -m bench.planner`` writes its section of docs/MEASUREMENTS.md. A simulated day
in steps of a minute, fixed seeds: load by day, prices that wander, instances reclaimed
singly and by zone, starts refused for a while after a zone was reclaimed.
"""

from math import pi, sin
from random import Random
from typing import NamedTuple

from bench.pages import format_table, write_section
from chervilwing.fleets import FleetPlanner, Machine, Situation
from chervilwing.models import Fleet
from chervilwing.planner import Offer, Owned

STEP = 60.0
HOURS = 24
SEEDS = (1, 2, 3)
START = 180.0
REFUSED_FOR = 900.0
ZONE_RECLAIMS = 0.08
MACHINES = {"standard": Machine(8), "large": Machine(16)}
FLEET = Fleet("f", "pool", ("standard", "large"), max_instances=200)


class Way(NamedTuple):
    """One way to buy: its fleet, and the markets it buys in."""

    name: str
    fleet: Fleet
    markets: tuple[str, ...]


WAYS = (
    Way("planner", FLEET, ("reclaimable", "on_demand")),
    Way("planner, half spare", FLEET._replace(spare=0.5), ("reclaimable", "on_demand")),
    Way("always on demand", FLEET._replace(spare=0.0), ("on_demand",)),
    Way("cheapest, no spare room", FLEET._replace(spare=0.0), ("reclaimable",)),
)


class Running(NamedTuple):
    """One instance and when it is of use."""

    owned: Owned
    offer: Offer
    ready_at: float


class Market:
    """Prices, capacity and reclaims of three zones, the same for all ways."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.level = dict.fromkeys("abc", 1.0)
        self.closed = dict.fromkeys("abc", 0.0)

    def advance(self, now):
        """Move the prices; return the zone that is reclaimed now, or None."""
        for zone, level in self.level.items():
            moved = level * (1 + self.rng.gauss(0, 0.02))
            self.level[zone] = min(2.5, max(0.7, moved))
        if self.rng.random() < ZONE_RECLAIMS * STEP / 3600:
            zone = self.rng.choice("abc")
            self.closed[zone] = now + REFUSED_FOR
            return zone
        return None

    def list_offers(self, markets):
        """Return what is on sale; on-demand prices stay as they are."""
        rows = []
        for zone in "abc":
            for kind, base in (("standard", 1.0), ("large", 2.1)):
                price = 0.3 * base * self.level[zone]
                rows.append(Offer(zone, kind, "reclaimable", price, 0.05))
                rows.append(Offer(zone, kind, "on_demand", base, 0.0))
        return tuple(row for row in rows if row.market in markets)


def measure_load(now, rng):
    """Return the slots that callers want: a day's curve with noise."""
    day = 1 + 0.6 * sin(2 * pi * now / 86400)
    return max(1.0, 60 * day * (1 + rng.gauss(0, 0.05)))


def run(way, seed):
    """Return cost a useful slot hour, part of the load unserved, and starts."""
    market, noise, luck = Market(seed), Random(seed + 100), Random(seed + 200)
    planner, running = FleetPlanner(way.fleet), []
    paid = useful = lost = wanted = 0.0
    starts = 0
    for step in range(int(HOURS * 3600 / STEP)):
        now = step * STEP
        zone = market.advance(now)
        running = [item for item in running if not is_reclaimed(item, zone, luck)]
        load = measure_load(now, noise)
        offers = market.list_offers(way.markets)
        starts += buy(planner, running, offers, load, market, now)
        slots = sum(item.owned.slots for item in running if item.ready_at <= now)
        prices = {offer[:3]: offer.price for offer in offers}
        paid += sum(prices[item.offer[:3]] for item in running) * STEP / 3600
        useful += min(load, slots) * STEP / 3600
        lost += max(0.0, load - slots) * STEP / 3600
        wanted += load * STEP / 3600
    return paid / useful, lost / wanted, starts


def is_reclaimed(item, zone, luck):
    """Tell whether an instance goes now, alone or with its zone."""
    if item.offer.market != "reclaimable":
        return False
    alone = luck.random() < item.offer.reclaim_rate * STEP / 3600
    return alone or item.offer.zone == zone


def buy(planner, running, offers, load, market, now):
    """Take the steps that fit into one step of time; return how many were starts."""
    starts = 0
    for number in range(int(STEP)):
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
        if offer.market == "reclaimable" and market.closed[offer.zone] > now:
            planner.refusals.record(offer, now)
            continue
        planner.refusals.forget(offer)
        starts += 1
        slots = MACHINES[offer.machine_class].slots
        owned = Owned(f"{now}-{number}", offer.zone, 0.0, slots, *offer[1:3])
        running.append(Running(owned, offer, now + START))
    return starts


def main():
    """Run all ways and write the section."""
    rows = []
    for way in WAYS:
        for seed in SEEDS:
            cost, lost, starts = run(way, seed)
            row = (way.name, str(seed), f"{cost:.4f}", f"{lost * 100:.2f}", str(starts))
            rows.append(row)
    heads = ("way", "seed", "price a useful slot hour", "load unserved, %", "starts")
    text = (
        "## Buying instances\n\n"
        f"Written by `python -m bench.planner`: {HOURS} simulated hours, three zones, "
        f"two machine\nclasses, a start takes {START:g} s, a zone is reclaimed about "
        f"every {1 / ZONE_RECLAIMS:g} h and refuses\nreclaimable starts for "
        f"{REFUSED_FOR / 60:g} min. A useful slot hour is one that a request used.\n\n"
    )
    write_section("buying instances", text + format_table(heads, rows))


if __name__ == "__main__":
    main()
