"""Fake of the cloud's API, whose instance list lags behind."""

import asyncio
import itertools
import time

from tests.fakes.control import (
    LaggedValue,
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
    """Add the command-line flags of this fake."""
    parser.add_argument(
        "--lag", type=float, default=2.0, help="of the instance list, seconds"
    )


class Cloud:
    """State of the cloud: its instances, purchases and notices."""

    def __init__(self, options):
        self.switches = Switches(
            refuse_starts=False, refused_zones=(), lose_answers=0, list_frozen=False
        )
        self.switches.react = self.update_frozen_list
        self.instances = {}
        self.lagged_list = LaggedValue(options.lag, [])
        self.frozen_list = None
        self.purchases = {}
        self.requests = []
        self.spares = []
        self.prices = PRICES
        self.refused_starts = 0
        self.returned = []
        self.notices = []
        self.instance_numbers = itertools.count(1)
        self.notice_added = asyncio.Event()

    def publish(self):
        """Record the current instance list, which callers see after the lag."""
        self.lagged_list.put([dict(entry) for entry in self.instances.values()])

    async def update_frozen_list(self):
        """Freeze the list as callers see it now, or unfreeze it."""
        frozen = self.switches["list_frozen"]
        self.frozen_list = self.lagged_list.get() if frozen else None

    def start_instance(self, purchase):
        """List a spare process, if there is one, as the purchased instance."""
        if self.spares:
            row = {**purchase, **self.spares.pop(0), "name": purchase["instance"]}
            row |= {"role": "model", "data_centre": purchase["zone"], "state": "live"}
            self.instances[row["name"]] = row
            self.publish()

    def remove(self, name):
        """Remove an instance from the list."""
        if self.instances.pop(name, None):
            self.publish()

    def give_notice(self, name, seconds):
        """Give an instance notice of this many seconds, and remove it at their end."""
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
    """Return the hourly prices."""
    return reply({"prices": cloud.prices})


async def buy_instance(cloud, request):
    """Start an instance, at most once per request id."""
    body = await read_json(request)
    request_id = body.get("request")
    cloud.requests.append(request_id)
    if request_id not in cloud.purchases:
        refused = body.get("zone") in cloud.switches["refused_zones"]
        if refused or cloud.switches.take("refuse_starts"):
            cloud.refused_starts += 1
            return reply({"reason": "no capacity"}, 503)
        cloud.purchases[request_id] = {
            **body,
            "instance": f"i-{next(cloud.instance_numbers)}",
        }
        cloud.start_instance(cloud.purchases[request_id])
    if cloud.switches.take("lose_answers"):
        await drop(request)
    return reply({"instance": cloud.purchases[request_id]["instance"]}, 201)


async def return_instance(cloud, request):
    """Remove an instance that its buyer returns."""
    name = request.match_info["name"]
    cloud.returned.append(name)
    cloud.remove(name)
    return reply({})


async def show_notices(cloud, request):
    """Return the notices after a sequence number, as soon as there is one."""
    after = int(request.query.get("after", 0))
    find_newer = lambda: [notice for notice in cloud.notices if notice["seq"] > after]
    seconds = float(request.query.get("wait", 0))
    found = await wait_until(find_newer, lambda: cloud.notice_added, seconds)
    return reply({"notices": found or []})


async def show_list(cloud, request):
    """Return the instance list as callers see it: delayed, or frozen by a fault."""
    as_of, instances = cloud.frozen_list or cloud.lagged_list.get()
    return reply({"as_of": as_of, "instances": instances})


async def add_instances(cloud, request):
    """Add the instances in the body to the list."""
    for entry in (await read_json(request))["instances"]:
        cloud.instances[entry["name"]] = {"state": "live", **entry}
    cloud.publish()
    return reply({})


async def set_up_market(cloud, request):
    """Add spare processes for purchases, and replace the prices if the body has any."""
    body = await read_json(request)
    cloud.spares += body.get("spares", [])
    cloud.prices = body.get("prices", cloud.prices)
    return reply({})


async def issue_notices(cloud, request):
    """Give notice, in seconds, to an instance, a zone or a data centre."""
    body = await read_json(request)
    criteria = {
        key: body[key] for key in ("name", "zone", "data_centre") if key in body
    }
    names = [
        name
        for name, entry in cloud.instances.items()
        if all(entry.get(key) == value for key, value in criteria.items())
    ]
    for name in names:
        cloud.give_notice(name, float(body["seconds"]))
    cloud.publish()
    cloud.notice_added.set()
    cloud.notice_added = asyncio.Event()
    return reply({"noticed": names})


def make_record(cloud):
    """Return what the cloud did; ``instances`` is the current list, without the lag."""
    return {
        "instances": list(cloud.instances.values()),
        "requests": cloud.requests,
        "bought": list(cloud.purchases.values()),
        "refused_starts": cloud.refused_starts,
        "returned": cloud.returned,
        "notices": cloud.notices,
    }


ROUTES = (
    ("GET", "/prices", show_prices),
    ("POST", "/instances", buy_instance),
    ("DELETE", "/instances/{name}", return_instance),
    ("GET", "/notices", show_notices),
    ("GET", "/list", show_list),
    ("POST", "/-/instances", add_instances),
    ("POST", "/-/market", set_up_market),
    ("POST", "/-/notice", issue_notices),
)


async def build(options):
    """Return the web application, and None since there is no second port."""
    cloud = Cloud(options)
    return build_app(cloud, make_record, ROUTES), None
