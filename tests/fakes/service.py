"""Fake of a plain service, which echoes calls and records each effect."""

import asyncio
import hashlib
import time
from collections import Counter

from aiohttp import web

from tests.fakes.control import LaggedValue, Switches, build_app, reply

SAFE_METHODS = {"GET", "HEAD", "OPTIONS"}
FILLER = "chervilwing "
MAX_RECORDED_BODY_BYTES = 200


def add_options(parser):
    """Add the command-line flags of this fake."""
    parser.add_argument("--name", default="service")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--queue-limit", type=int, default=32)
    parser.add_argument("--work-time", type=float, default=0.0)
    parser.add_argument("--load-lag", type=float, default=0.5)


class Service:
    """State of one plain service."""

    def __init__(self, options):
        self.options = options
        # ``slow``: seconds added to the work time.
        self.switches = Switches(
            refuse=False, die_before_effect=False, die_after_effect=False, slow=0
        )
        self.semaphore = asyncio.Semaphore(options.slots)
        self.active_calls = 0
        self.calls = []
        self.effects = []
        self.load = LaggedValue(options.load_lag, self.measure_load())

    def measure_load(self):
        """Return the current load."""
        slots = self.options.slots
        return {
            "running": min(self.active_calls, slots),
            "waiting": max(0, self.active_calls - slots),
            "slots": slots,
        }


async def handle_call(service, request):
    """Run a call to its end even if its client disconnects, as a real service would."""
    body = await request.read()
    call = {
        "method": request.method,
        "path": request.path,
        "key": request.headers.get("Idempotency-Key"),
        "attempt": request.headers.get("X-Attempt-Id"),
        "body": body[:MAX_RECORDED_BODY_BYTES].decode(errors="replace"),
        "body_sha256": hashlib.sha256(body).hexdigest(),
        "at": time.time(),
        "outcome": "running",
    }
    service.calls.append(call)
    limit = service.options.slots + service.options.queue_limit
    if service.switches.take("refuse") or service.active_calls >= limit:
        call["outcome"] = "refused"
        return reply({"reason": "refused"}, 503, X_Not_Run="1")
    return await asyncio.shield(asyncio.ensure_future(run_call(service, call, request)))


async def run_call(service, call, request):
    """Wait for a slot and for the work time, apply the effect and answer."""
    service.active_calls += 1
    service.load.put(service.measure_load())
    try:
        async with service.semaphore:
            await asyncio.sleep(service.options.work_time + service.switches["slow"])
            return await apply_effect(service, call, request)
    finally:
        service.active_calls -= 1
        service.load.put(service.measure_load())


async def apply_effect(service, call, request):
    """Record the effect, between the two points where the service may die."""
    if service.switches.take("die_before_effect"):
        return await abort_connection(call, request)
    if call["method"] not in SAFE_METHODS:
        service.effects.append(call)
    if service.switches.take("die_after_effect"):
        return await abort_connection(call, request)
    call["outcome"] = "answered"
    size = int(request.query.get("size", 0))
    if size:
        return web.Response(text=(FILLER * (size // len(FILLER) + 1))[:size])
    echo = {name: call[name] for name in ("method", "path", "body_sha256", "key")}
    return reply({**echo, "service": service.options.name})


async def abort_connection(call, request):
    """Abort the connection; unlike ``drop``, return, so that the shielded call ends."""
    call["outcome"] = "dropped"
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def show_load(service, request):
    """Return the load as it was ``load_lag`` seconds ago."""
    as_of, load = service.load.get()
    return reply({**load, "as_of": as_of})


def make_record(service):
    """Return the calls and the effects, which are also counted by key and by body."""
    keys = (effect["key"] for effect in service.effects if effect["key"])
    return {
        "calls": service.calls,
        "effects": service.effects,
        "by_key": Counter(keys),
        "by_body": Counter(effect["body"] for effect in service.effects),
    }


ROUTES = (("GET", "/-/load", show_load), ("*", "/{path:.*}", handle_call))


async def build(options):
    """Return the web application, and None since there is no second port."""
    service = Service(options)
    return build_app(service, make_record, ROUTES), None
