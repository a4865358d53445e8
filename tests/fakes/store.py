"""Fake of a key-value store: compare-and-swap, leases, watches, rates, outages."""

import asyncio
import copy
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

MAX_VALUE_BYTES = 1_000_000
CONTROL_PREFIX = "/-/"


def add_options(parser):
    """Add the command-line flags of this fake."""
    parser.add_argument("--writes", type=float, default=500, help="limit per second")
    parser.add_argument("--reads", type=float, default=2000, help="limit per second")


class TokenBucket:
    """A token bucket with room for the calls of one second."""

    def __init__(self, limit):
        self.limit = self.tokens = max(1, limit)
        self.refilled_at = time.monotonic()

    def acquire(self):
        """Return whether one more call is within the rate, and count it."""
        now = time.monotonic()
        self.tokens = min(
            self.limit, self.tokens + (now - self.refilled_at) * self.limit
        )
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Store:
    """State of the store: its keys, versions, leases and counters."""

    def __init__(self, options):
        # ``down``: a key of OUTAGES. ``slow``: seconds per call. ``reject``: the share
        # of calls that are rejected.
        self.switches = Switches(down=False, slow=0, lose_answer=False, reject=0)
        self.switches.react = self.end_watches
        self.rates = {
            "writes": TokenBucket(options.writes),
            "reads": TokenBucket(options.reads),
        }
        self.calls = dict.fromkeys(("writes", "reads", "over_rate", "rejected"), 0)
        self.lost_answers = 0
        self.values = {}
        # Kept after a deletion, so that the version of a key never decreases.
        self.versions = {}
        self.key_leases = {}
        self.leases = {}
        self.lease_ids = itertools.count(1)
        self.writes = []
        self.due_rejections = 0.0
        self.changed = asyncio.Event()
        self.epoch = 1
        self.saved = None

    def save_copy(self):
        """Save a copy, to which a drill returns."""
        data = (self.values, self.versions, self.key_leases, next(self.lease_ids))
        self.saved = copy.deepcopy(
            (*data, {k: v["ttl"] for k, v in self.leases.items()})
        )

    def restore_copy(self):
        """Return to the copy: versions and lost leases' ids are given out again."""
        data = copy.deepcopy(self.saved)
        for lease in list(self.leases):
            self.leases.pop(lease)["timer"].cancel()
        self.values, self.versions, self.key_leases, next_lease, leases = data
        self.lease_ids = itertools.count(next_lease)
        for lease, ttl in leases.items():
            self.start_lease(lease, ttl)
        self.epoch += 1
        self.wake_watches()

    def version(self, key):
        """Return the version of a key, or 0 if it doesn't exist."""
        return self.versions[key] if key in self.values else 0

    def make_entry(self, key):
        """Return the value and version of a key."""
        return {"value": self.values.get(key), "version": self.version(key)}

    def put(self, key, value, lease):
        """Write a key, attach it to its lease and wake the watches."""
        self.values[key] = value
        self.versions[key] = self.versions.get(key, 0) + 1
        self.key_leases[key] = lease
        entry = {"key": key, "version": self.versions[key], "at": time.time()}
        self.writes.append(entry)
        self.wake_watches()

    def delete(self, key):
        """Delete a key but keep its version."""
        del self.values[key]
        del self.key_leases[key]
        self.wake_watches()

    def wake_watches(self):
        """Make each watch check its key again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def end_watches(self):
        """Make each watch check for an outage."""
        self.wake_watches()

    def end_lease(self, lease):
        """End a lease and delete its keys."""
        self.leases.pop(lease)["timer"].cancel()
        for key in [key for key, held in self.key_leases.items() if held == lease]:
            self.delete(key)

    def start_lease(self, lease, ttl):
        """Start or renew a lease of ``ttl`` seconds."""
        if lease in self.leases:
            self.leases[lease]["timer"].cancel()
        timer = asyncio.get_running_loop().call_later(ttl, self.end_lease, lease)
        self.leases[lease] = {"ttl": ttl, "timer": timer}


def unavailable(reason):
    """Return a 503 response with this reason."""
    return reply({"reason": reason}, 503)


async def refuse(request):
    """Return the response of a store that is down."""
    return unavailable("down")


async def hang(request):
    """Keep the connection open and never answer."""
    await asyncio.Event().wait()


OUTAGES = {True: refuse, "refuse": refuse, "drop": drop, "hang": hang}


def count_call(store, request):
    """Count a call; return why it is refused, or None."""
    kind = "reads" if request.method == "GET" else "writes"
    store.calls[kind] += 1
    store.due_rejections += store.switches["reject"]
    if store.due_rejections >= 1:
        store.due_rejections -= 1
        store.calls["rejected"] += 1
        return "rejected"
    if not store.rates[kind].acquire():
        store.calls["over_rate"] += 1
        return "over rate"
    return None


def make_middleware(store):
    """Return the middleware that counts calls and applies the faults."""

    @web.middleware
    async def apply_faults(request, handler):
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        if outage := OUTAGES.get(store.switches["down"]):
            return await outage(request)
        if reason := count_call(store, request):
            return unavailable(reason)
        if request.method == "GET":
            await asyncio.sleep(store.switches["slow"])
            response = await handler(request)
        else:
            response = await run_write(store, request, handler)
        response.headers["Store-Epoch"] = str(store.epoch)
        return response

    return apply_faults


async def run_write(store, request, handler):
    """Carry out a write even if its client disconnects; a fault may lose its answer.

    Half of the ``slow`` delay comes before the effect and half after it, so that a
    client's timeout can fall on either side.
    """
    await request.read()
    half = store.switches["slow"] / 2

    async def run():
        await asyncio.sleep(half)
        response = await handler(request)
        await asyncio.sleep(half)
        return response

    response = await asyncio.shield(asyncio.ensure_future(run()))
    if response.status < 300 and store.switches.take("lose_answer"):
        store.lost_answers += 1
        await drop(request)
    return response


async def read_key(store, request):
    """Return a key's value and version."""
    key = request.match_info["key"]
    if key not in store.values:
        return reply({"reason": "no such key"}, 404)
    return reply(store.make_entry(key))


async def write_key(store, request):
    """Write a key if it has the expected version."""
    key, body = request.match_info["key"], await read_json(request)
    value, lease = body.get("value"), body.get("lease")
    if not isinstance(value, str) or not isinstance(body.get("expect"), int):
        return reply({"reason": "needs a string value and expect"}, 400)
    if len(value.encode()) > MAX_VALUE_BYTES:
        return reply({"reason": "value too large"}, 413)
    if lease is not None and lease not in store.leases:
        return reply({"reason": "no such lease"}, 404)
    if store.version(key) != body["expect"]:
        return reply(store.make_entry(key), 409)
    store.put(key, value, lease)
    return reply({"version": store.version(key)})


async def delete_key(store, request):
    """Delete a key if it has the expected version."""
    key, body = request.match_info["key"], await read_json(request)
    if key not in store.values or store.version(key) != body.get("expect"):
        return reply(store.make_entry(key), 409)
    store.delete(key)
    return reply({})


async def list_keys(store, request):
    """Return the keys that start with a prefix, with their versions."""
    prefix = request.query.get("prefix", "")
    keys = sorted(key for key in store.values if key.startswith(prefix))
    return reply(
        {"keys": [{"key": key, "version": store.version(key)} for key in keys]}
    )


async def watch_key(store, request):
    """Wait for a newer version of a key; an outage ends the wait."""
    key, after = request.query["key"], int(request.query.get("after", 0))
    is_wait_over = lambda: store.switches["down"] or store.version(key) > after
    seconds = float(request.query.get("wait", 0))
    if not await wait_until(is_wait_over, lambda: store.changed, seconds):
        return web.Response(status=204)
    if outage := OUTAGES.get(store.switches["down"]):
        return await outage(request)
    return reply(store.make_entry(key))


async def grant_lease(store, request):
    """Grant a lease."""
    ttl = float((await read_json(request)).get("ttl", 0))
    lease = f"lease-{next(store.lease_ids)}"
    store.start_lease(lease, ttl)
    return reply({"lease": lease, "ttl": ttl})


async def renew_lease(store, request):
    """Renew a lease that hasn't expired."""
    lease = request.match_info["lease"]
    if lease not in store.leases:
        return reply({"reason": "lease lapsed"}, 404)
    ttl = store.leases[lease]["ttl"]
    store.start_lease(lease, ttl)
    return reply({"ttl": ttl})


async def end_lease(store, request):
    """End a lease before it expires."""
    lease = request.match_info["lease"]
    if lease not in store.leases:
        return reply({"reason": "lease lapsed"}, 404)
    ttl = store.leases[lease]["ttl"]
    store.end_lease(lease)
    return reply({"ttl": ttl})


async def save_copy(store, request):
    """Save the copy to which the next drill returns."""
    store.save_copy()
    return reply({})


async def restore_copy(store, request):
    """Run a drill: the store has what it had when the copy was saved."""
    store.restore_copy()
    return reply({})


def make_record(store):
    """Return what the store counted and wrote."""
    return {
        "calls": store.calls,
        "lost_answers": store.lost_answers,
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
    ("POST", "/-/save", save_copy),
    ("POST", "/-/restore", restore_copy),
)


async def build(options):
    """Return the web application, and None since there is no second port."""
    store = Store(options)
    middleware = make_middleware(store)
    return build_app(store, make_record, ROUTES, [middleware]), None
