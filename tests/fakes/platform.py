"""Fake of the users' platform: its store, and its API of usage reports and orders.

It implements the platform's documented interface: items under a global revision
counter, watches, leases, conditional writes, drills in which the store returns from a
copy, and API calls with a fencing token.
"""

import asyncio
import base64
import copy
import itertools
import json
import time

from tests.fakes.control import (
    Switches,
    build_app,
    drop,
    read_json,
    reply,
    wait_until,
)

UNAVAILABLE = 503
TICK = 0.05


def add_options(parser):
    """Add the command-line flags of this fake."""


class Platform:
    """State of the store, and the recorded calls to the API."""

    def __init__(self, options):
        # ``report_no_events``: watches report no events. ``lose_writes``: this many
        # writes are carried out, but their answers are lost. ``refuse_calls``: all
        # calls to the store but the operator's are refused, ``refuse_writes``: only
        # conditional writes. ``state_era``: replies
        # state the store's era.
        self.switches = Switches(
            refuse_calls=False,
            refuse_writes=False,
            silent=False,
            lose_writes=0,
            report_no_events=False,
            refuse_orders=False,
            state_era=True,
        )
        self.switches.react = self.notify_watches
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.revision = 1
        self.leases = {}
        self.ttls = {}
        self.lease_ids = itertools.count(100)
        self.changed = asyncio.Event()
        self.calls = []
        self.fences = {}
        self.era = 1
        self.saved = None

    def save_copy(self):
        """Save a copy of the store, to which a drill returns."""
        data = (self.items, self.history, self.compacted_revision, self.revision)
        self.saved = copy.deepcopy((*data, set(self.leases), next(self.lease_ids)))

    async def restore_copy(self):
        """Return to the saved copy, cut the watches and start its leases again."""
        *data, leases, next_lease = copy.deepcopy(self.saved)
        self.items, self.history, self.compacted_revision, self.revision = data
        now = time.monotonic()
        self.leases = {name: now + self.ttls[name] / 1000 for name in leases}
        # The numbers of lost leases are granted again.
        self.lease_ids = itertools.count(next_lease)
        self.era += 1
        await self.notify_watches()

    async def notify_watches(self):
        """Make every watch check for events again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write an item at the store's current revision."""
        item = {"key": key, "value": value, "revision": self.revision, "lease": lease}
        created = self.items.get(key, item).get("createRev", self.revision)
        self.items[key] = item | {"createRev": created}
        self.history.append(self.items[key])

    def delete(self, key):
        """Delete an item at the store's current revision."""
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append(event)

    async def write(self, puts, deletes):
        """Write and delete items at one new revision."""
        self.revision += 1
        for put in puts:
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self.delete(key)
        await self.notify_watches()

    async def end_leases(self):
        """End the expired leases and delete the items attached to them."""
        now = time.monotonic()
        for lease in [
            name for name, expires_at in self.leases.items() if expires_at <= now
        ]:
            await self.end_lease(lease)

    async def end_lease(self, lease):
        """End one lease and delete the items attached to it."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.write([], keys)

    def select(self, prefix, after):
        """Return the events of keys with a prefix that are later than a revision."""
        return [
            event
            for event in self.history
            if event["key"].startswith(prefix) and event["revision"] > after
        ]


def apply_faults(handler):
    """Wrap a handler of the store so that the set faults apply before it."""

    async def handle(state, request):
        await state.end_leases()
        if state.switches["silent"]:
            await asyncio.Event().wait()
        if state.switches["refuse_calls"]:
            response = reply({"error": "busy"}, UNAVAILABLE)
        else:
            response = await handler(state, request)
        if state.switches["state_era"]:
            response.headers["Store-Era"] = str(state.era)
        return response

    return handle


@apply_faults
async def list_items(state, request):
    """List the items whose keys have a prefix."""
    prefix, after = request.query["prefix"], request.query.get("after", "")
    items = [state.items[key] for key in sorted(state.items) if key.startswith(prefix)]
    items = [item for item in items if item["key"] > after]
    value = {"items": items, "truncated": False, "storeRevision": state.revision}
    return reply(value)


@apply_faults
async def watch(state, request):
    """Wait for events of keys with a prefix."""
    after, prefix = int(request.query["after"]), request.query["prefix"]
    era = state.era
    if not state.compacted_revision <= after <= state.revision:
        return reply({"error": "compacted"}, 410)

    def find():
        return (
            None if state.switches["report_no_events"] else state.select(prefix, after)
        )

    wait = int(request.query["waitMs"]) / 1000
    events = await wait_until(find, lambda: state.changed, wait) or []
    cut = state.switches["refuse_calls"] or state.era != era
    if cut or after < state.compacted_revision:
        await drop(request)
    return reply({"events": events, "storeRevision": state.revision})


@apply_faults
async def commit(state, request):
    """Write items if the expected revisions match."""
    if state.switches["refuse_writes"]:
        return reply({"error": "busy"}, UNAVAILABLE)
    body = await read_json(request)
    expected = {row["key"]: row["revision"] for row in body.get("ifRev", ())}
    actual = {key: state.items.get(key, {}).get("revision", 0) for key in expected}
    if actual != expected:
        return reply({"items": []}, 412)
    leases = {put.get("lease", 0) for put in body.get("puts", ())} - {0}
    if leases - set(state.leases):
        return reply({"error": "no such lease"}, 404)
    await state.write(body.get("puts", ()), body.get("delete", ()))
    if state.switches.take("lose_writes"):
        await drop(request)
    return reply({"revision": state.revision})


@apply_faults
async def grant(state, request):
    """Grant a lease."""
    ttl = (await read_json(request))["ttlMs"]
    lease = next(state.lease_ids)
    state.leases[lease] = time.monotonic() + ttl / 1000
    state.ttls[lease] = ttl
    return reply({"lease": lease, "ttlMs": ttl})


@apply_faults
async def keep(state, request):
    """Renew a lease."""
    lease = int(request.match_info["lease"])
    if lease not in state.leases:
        return reply({"error": "ended"}, 404)
    ttl = state.ttls[lease]
    state.leases[lease] = time.monotonic() + ttl / 1000
    return reply({"ttlMs": ttl})


@apply_faults
async def end(state, request):
    """Handle a request to end a lease."""
    await state.end_lease(int(request.match_info["lease"]))
    return reply({})


async def operate(state, request):
    """Write or delete as the operator and the upstreams do, unaffected by faults."""
    body = await read_json(request)
    puts = [
        {"key": key, "value": base64.b64encode(value.encode()).decode()}
        for key, value in body.get("puts", {}).items()
    ]
    await state.write(puts, body.get("delete", ()))
    return reply({"revision": state.revision})


async def forget(state, request):
    """Drop the event history and close the watches."""
    state.compacted_revision = state.revision
    state.history.clear()
    await state.notify_watches()
    return reply({})


async def save_copy(state, request):
    """Save the copy to which the next drill returns."""
    state.save_copy()
    return reply({"revision": state.revision})


async def restore_copy(state, request):
    """Run a drill: the store has what it had when the copy was saved."""
    await state.restore_copy()
    return reply({"revision": state.revision})


async def handle_api_call(state, request):
    """Accept a usage report or an order unless its fencing token is outdated."""
    body = await read_json(request)
    fence = int(request.headers["X-Fence-Token"])
    subject = (request.path, body.get("service"), body.get("zone"))
    holder = request.headers["X-Duty-Holder"]
    state.calls.append([request.path, holder, fence, body])
    if fence < state.fences.get(subject, 0):
        return reply({"error": "a higher fence was seen"}, 409)
    state.fences[subject] = fence
    if (
        request.path == "/scale"
        and state.switches["refuse_orders"]
        and body.get("spot")
    ):
        return reply({"error": "none of that kind is to be had"}, 409)
    return reply({})


def make_record(state):
    """Return the state and the received calls, for tests."""
    keys = {key: item["revision"] for key, item in state.items.items()}
    statuses = {
        key: json.loads(base64.b64decode(item["value"]))
        for key, item in state.items.items()
        if key.startswith("status/")
    }
    return {
        "keys": keys,
        "values": statuses,
        "calls": state.calls,
        "revision": state.revision,
        "leases": sorted(state.leases),
    }


async def build(options):
    """Return the web application, and None since there is no second port."""
    state = Platform(options)
    routes = (
        ("GET", "/-/kv-range", list_items),
        ("GET", "/-/kv-watch", watch),
        ("POST", "/-/kv-txn", commit),
        ("POST", "/-/kv-lease", grant),
        ("POST", "/-/kv-keep/{lease}", keep),
        ("DELETE", "/-/kv-lease-end/{lease}", end),
        ("POST", "/-/operate", operate),
        ("POST", "/-/forget", forget),
        ("POST", "/-/save", save_copy),
        ("POST", "/-/restore", restore_copy),
        ("POST", "/usage", handle_api_call),
        ("POST", "/scale", handle_api_call),
    )
    app = build_app(state, make_record, routes)
    app.cleanup_ctx.append(lambda app: run_leases(state))
    return app, None


async def run_leases(state):
    """End expired leases periodically while the application runs."""

    async def tick():
        while True:
            await asyncio.sleep(TICK)
            await state.end_leases()

    task = asyncio.create_task(tick())
    yield
    task.cancel()
