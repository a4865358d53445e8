"""A stand-in cloud API and its lagging instance list."""

import asyncio
import itertools
import time

from tests.fakes.control import (
    Lagged,
    Switches,
    build_app,
    drop,
    read_json,
    reply,
    wait_until,
)

PRICES = tuple(
    {
        "zone": zone,
        "machine_class": machine_class,
        "market": market,
        "price": round(base * factor * (1 + 0.1 * index), 4),
        "reclaim_rate": rate * (1 + index),
    }
    for index, zone in enumerate("abc")
    for machine_class, base in (("standard", 1.0), ("large", 2.2))
    for market, factor, rate in (("reclaimable", 0.3, 0.05), ("on_demand", 1.0, 0.0))
)


def add_options(parser):
    """Add the flags of this role."""
    parser.add_argument("--lag", type=float, default=2.0, help="of the list, seconds")


class Cloud:
    """Instances, purchases and notices."""

    def __init__(self, options):
        self.switches = Switches(
            refuse_starts=False, refused_zones=(), lose_answers=0, list_frozen=False
        )
        self.switches.react = self.freeze
        self.instances = {}
        self.view = Lagged(options.lag, [])
        self.frozen_view = None
        self.bought = {}
        self.requests = []
        self.spares = []
        self.prices = PRICES
        self.refused = 0
        self.returned = []
        self.notices = []
        self.numbers = itertools.count(1)
        self.noticed = asyncio.Event()

    def publish(self):
        """Give the list its newest state, to be seen after the lag."""
        self.view.put([dict(entry) for entry in self.instances.values()])

    async def freeze(self):
        """Keep the list as callers see it now, or let it go on."""
        frozen = self.switches["list_frozen"]
        self.frozen_view = self.view.get() if frozen else None

    def start(self, bought):
        """List a bought instance as one of the processes that stand ready, if any."""
        if self.spares:
            row = {**bought, **self.spares.pop(0), "name": bought["instance"]}
            row |= {"role": "model", "data_centre": bought["zone"], "state": "live"}
            self.instances[row["name"]] = row
            self.publish()

    def remove(self, name):
        """Take an instance off the list."""
        if self.instances.pop(name, None):
            self.publish()

    def notify(self, name, seconds):
        """Give notice to one instance, which ends when the notice does."""
        entry = self.instances[name]
        entry["state"] = "leaving"
        self.notices.append(
            {
                "seq": len(self.notices) + 1,
                "instance": name,
                "zone": entry["zone"],
                "deadline": time.time() + seconds,
            }
        )
        asyncio.get_running_loop().call_later(seconds, self.remove, name)


async def show_prices(cloud, request):
    """Answer the prices by the hour."""
    return reply({"prices": cloud.prices})


async def buy(cloud, request):
    """Start an instance, once for each request id."""
    body = await read_json(request)
    key = body.get("request")
    cloud.requests.append(key)
    if key not in cloud.bought:
        refused = body.get("zone") in cloud.switches["refused_zones"]
        if refused or cloud.switches.take("refuse_starts"):
            cloud.refused += 1
            return reply({"reason": "no capacity"}, 503)
        cloud.bought[key] = {**body, "instance": f"i-{next(cloud.numbers)}"}
        cloud.start(cloud.bought[key])
    if cloud.switches.take("lose_answers"):
        await drop(request)
    return reply({"instance": cloud.bought[key]["instance"]}, 201)


async def give_back(cloud, request):
    """End an instance."""
    name = request.match_info["name"]
    cloud.returned.append(name)
    cloud.remove(name)
    return reply({})


async def show_notices(cloud, request):
    """Answer the notices after a number, as soon as there is one."""
    after = int(request.query.get("after", 0))
    newer = lambda: [notice for notice in cloud.notices if notice["seq"] > after]
    seconds = float(request.query.get("wait", 0))
    found = await wait_until(newer, lambda: cloud.noticed, seconds)
    return reply({"notices": found or []})


async def show_list(cloud, request):
    """Answer the list as it was."""
    as_of, instances = cloud.frozen_view or cloud.view.get()
    return reply({"as_of": as_of, "instances": instances})


async def add_instances(cloud, request):
    """Put the body's instances on the list."""
    for entry in (await read_json(request))["instances"]:
        cloud.instances[entry["name"]] = {"state": "live", **entry}
    cloud.publish()
    return reply({})


async def set_up_market(cloud, request):
    """Set the processes that stand ready for purchases, or the prices."""
    body = await read_json(request)
    cloud.spares += body.get("spares", [])
    cloud.prices = body.get("prices", cloud.prices)
    return reply({})


async def issue_notices(cloud, request):
    """Give notice to one instance, a zone or a data centre, seconds ahead."""
    body = await read_json(request)
    wanted = {key: body[key] for key in ("name", "zone", "data_centre") if key in body}
    chosen = [
        name
        for name, entry in cloud.instances.items()
        if all(entry.get(key) == value for key, value in wanted.items())
    ]
    for name in chosen:
        cloud.notify(name, float(body["seconds"]))
    cloud.publish()
    cloud.noticed.set()
    cloud.noticed = asyncio.Event()
    return reply({"noticed": chosen})


def make_record(cloud):
    """Return what the cloud did; ``instances`` is the truth that the list lags."""
    return {
        "instances": list(cloud.instances.values()),
        "requests": cloud.requests,
        "bought": list(cloud.bought.values()),
        "refused_starts": cloud.refused,
        "returned": cloud.returned,
        "notices": cloud.notices,
    }


ROUTES = (
    ("GET", "/prices", show_prices),
    ("POST", "/instances", buy),
    ("DELETE", "/instances/{name}", give_back),
    ("GET", "/notices", show_notices),
    ("GET", "/list", show_list),
    ("POST", "/-/instances", add_instances),
    ("POST", "/-/market", set_up_market),
    ("POST", "/-/notice", issue_notices),
)


async def build(options):
    """Make the application."""
    cloud = Cloud(options)
    return build_app(cloud, make_record, ROUTES), None
