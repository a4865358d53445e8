"""A stand-in key-value service: compare-and-swap, leases, watches, rates, outages."""

import asyncio
import itertools
import time

from aiohttp import web

from tests.fakes.control import (
    Switches,
    build_app,
    drop,
    read_json,
    reply,
    wait_until,
)

VALUE_LIMIT = 1_000_000
CONTROL = "/-/"


def add_options(parser):
    """Add the flags of this role."""
    parser.add_argument("--writes", type=float, default=500, help="a second")
    parser.add_argument("--reads", type=float, default=2000, help="a second")


class Rate:
    """A token bucket that holds one second's calls."""

    def __init__(self, limit):
        self.limit = self.left = max(1, limit)
        self.filled = time.monotonic()

    def take(self):
        """Tell whether one more call is within the rate."""
        now = time.monotonic()
        self.left = min(self.limit, self.left + (now - self.filled) * self.limit)
        self.filled = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Store:
    """Keys, versions, leases and counts."""

    def __init__(self, options):
        self.switches = Switches(down=False, slow=0, lose_answer=False, reject=0)
        self.switches.react = self.end_watches
        self.rates = {"writes": Rate(options.writes), "reads": Rate(options.reads)}
        self.calls = dict.fromkeys(("writes", "reads", "over_rate", "rejected"), 0)
        self.lost = 0
        self.values = {}
        # Outlives the values, so that a version never falls after a deletion.
        self.versions = {}
        self.owners = {}
        self.leases = {}
        self.lease_ids = itertools.count(1)
        self.writes = []
        self.reject_debt = 0.0
        self.written = asyncio.Event()

    def version(self, key):
        """Return the version of a key, 0 when it doesn't exist."""
        return self.versions[key] if key in self.values else 0

    def shown(self, key):
        """Return the value and version of a key."""
        return {"value": self.values.get(key), "version": self.version(key)}

    def put(self, key, value, lease):
        """Write a key, tie it to its lease and wake the watches."""
        self.values[key] = value
        self.versions[key] = self.versions.get(key, 0) + 1
        self.owners[key] = lease
        entry = {"key": key, "version": self.versions[key], "at": time.time()}
        self.writes.append(entry)
        self.wake()

    def delete(self, key):
        """Delete a key but remember its version."""
        del self.values[key]
        del self.owners[key]
        self.wake()

    def wake(self):
        """Let each watch look again."""
        self.written.set()
        self.written = asyncio.Event()

    async def end_watches(self):
        """Let the watches see an outage."""
        self.wake()

    def end_lease(self, lease):
        """End a lease and delete its keys."""
        self.leases.pop(lease)["timer"].cancel()
        for key in [key for key, owner in self.owners.items() if owner == lease]:
            self.delete(key)

    def start_lease(self, lease, ttl):
        """Start or prolong a lease."""
        if lease in self.leases:
            self.leases[lease]["timer"].cancel()
        timer = asyncio.get_running_loop().call_later(ttl, self.end_lease, lease)
        self.leases[lease] = {"ttl": ttl, "timer": timer}


def unavailable(reason):
    """Make the answer of a service that is down or over its rate."""
    return reply({"reason": reason}, 503)


async def refuse(request):
    """Answer 503."""
    return unavailable("down")


async def hang(request):
    """Keep the connection and never answer."""
    await asyncio.Event().wait()


OUTAGES = {True: refuse, "refuse": refuse, "drop": drop, "hang": hang}


def count_call(store, request):
    """Count a call; return why it is refused, or None."""
    kind = "reads" if request.method == "GET" else "writes"
    store.calls[kind] += 1
    store.reject_debt += store.switches["reject"]
    if store.reject_debt >= 1:
        store.reject_debt -= 1
        store.calls["rejected"] += 1
        return "rejected"
    if not store.rates[kind].take():
        store.calls["over_rate"] += 1
        return "over rate"
    return None


def make_gate(store):
    """Return the middleware that counts calls and lets the faults act."""

    @web.middleware
    async def gate(request, handler):
        if request.path.startswith(CONTROL):
            return await handler(request)
        if outage := OUTAGES.get(store.switches["down"]):
            return await outage(request)
        if reason := count_call(store, request):
            return unavailable(reason)
        if request.method == "GET":
            await asyncio.sleep(store.switches["slow"])
            return await handler(request)
        return await write(store, request, handler)

    return gate


async def write(store, request, handler):
    """Let a write take effect even when its caller leaves, and perhaps lose its answer.

    Half of the slowness lies before the effect and half after it, so that a caller's
    timeout can fall on either side.
    """
    await request.read()
    half = store.switches["slow"] / 2

    async def act():
        await asyncio.sleep(half)
        response = await handler(request)
        await asyncio.sleep(half)
        return response

    response = await asyncio.shield(asyncio.ensure_future(act()))
    if response.status < 300 and store.switches.take("lose_answer"):
        store.lost += 1
        await drop(request)
    return response


async def read_key(store, request):
    """Answer a key's value and version."""
    key = request.match_info["key"]
    if key not in store.values:
        return reply({"reason": "no such key"}, 404)
    return reply(store.shown(key))


async def write_key(store, request):
    """Compare and swap a key."""
    key, body = request.match_info["key"], await read_json(request)
    value, lease = body.get("value"), body.get("lease")
    if not isinstance(value, str) or not isinstance(body.get("expect"), int):
        return reply({"reason": "needs a string value and expect"}, 400)
    if len(value.encode()) > VALUE_LIMIT:
        return reply({"reason": "value too large"}, 413)
    if lease is not None and lease not in store.leases:
        return reply({"reason": "no such lease"}, 404)
    if store.version(key) != body["expect"]:
        return reply(store.shown(key), 409)
    store.put(key, value, lease)
    return reply({"version": store.version(key)})


async def delete_key(store, request):
    """Compare and delete a key."""
    key, body = request.match_info["key"], await read_json(request)
    if key not in store.values or store.version(key) != body.get("expect"):
        return reply(store.shown(key), 409)
    store.delete(key)
    return reply({})


async def list_keys(store, request):
    """List the keys of a prefix."""
    prefix = request.query.get("prefix", "")
    keys = sorted(key for key in store.values if key.startswith(prefix))
    return reply(
        {"keys": [{"key": key, "version": store.version(key)} for key in keys]}
    )


async def watch_key(store, request):
    """Wait for a newer version; an outage ends the wait."""
    key, after = request.query["key"], int(request.query.get("after", 0))
    changed = lambda: store.switches["down"] or store.version(key) > after
    seconds = float(request.query.get("wait", 0))
    if not await wait_until(changed, lambda: store.written, seconds):
        return web.Response(status=204)
    if outage := OUTAGES.get(store.switches["down"]):
        return await outage(request)
    return reply(store.shown(key))


async def grant_lease(store, request):
    """Start a lease."""
    ttl = float((await read_json(request)).get("ttl", 0))
    lease = f"lease-{next(store.lease_ids)}"
    store.start_lease(lease, ttl)
    return reply({"lease": lease, "ttl": ttl})


async def renew_lease(store, request):
    """Prolong a lease that hasn't lapsed."""
    lease = request.match_info["lease"]
    if lease not in store.leases:
        return reply({"reason": "lease lapsed"}, 404)
    ttl = store.leases[lease]["ttl"]
    store.start_lease(lease, ttl)
    return reply({"ttl": ttl})


async def end_lease(store, request):
    """End a lease before its time."""
    lease = request.match_info["lease"]
    if lease not in store.leases:
        return reply({"reason": "lease lapsed"}, 404)
    ttl = store.leases[lease]["ttl"]
    store.end_lease(lease)
    return reply({"ttl": ttl})


def make_record(store):
    """Return what the service counted and wrote."""
    return {
        "calls": store.calls,
        "lost_answers": store.lost,
        "keys": {key: store.version(key) for key in store.values},
        "leases": sorted(store.leases),
        "writes": store.writes,
    }


ROUTES = (
    ("GET", "/kv/{key:.+}", read_key),
    ("PUT", "/kv/{key:.+}", write_key),
    ("DELETE", "/kv/{key:.+}", delete_key),
    ("GET", "/keys", list_keys),
    ("GET", "/watch", watch_key),
    ("POST", "/leases", grant_lease),
    ("POST", "/leases/{lease}/renew", renew_lease),
    ("DELETE", "/leases/{lease}", end_lease),
)


async def build(options):
    """Make the application."""
    store = Store(options)
    gate = make_gate(store)
    return build_app(store, make_record, ROUTES, [gate]), None
