"""A stand-in plain service: echoes calls and records each effect."""

import asyncio
import hashlib
import time
from collections import Counter

from aiohttp import web

from tests.fakes.control import Lagged, Switches, build_app, reply

SAFE_METHODS = {"GET", "HEAD", "OPTIONS"}
FILLER = "chervilwing "
BODY_SHOWN = 200


def add_options(parser):
    """Add the flags of this role."""
    parser.add_argument("--name", default="service")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--queue-limit", type=int, default=32)
    parser.add_argument("--work-time", type=float, default=0.0)
    parser.add_argument("--load-lag", type=float, default=0.5)


class Service:
    """Everything that one plain service knows."""

    def __init__(self, options):
        self.options = options
        self.switches = Switches(
            refuse=False, die_before_effect=False, die_after_effect=False, slow=0
        )
        self.semaphore = asyncio.Semaphore(options.slots)
        self.present = 0
        self.calls = []
        self.effects = []
        self.load = Lagged(options.load_lag, self.measure())

    def measure(self):
        """Return the load of now."""
        slots = self.options.slots
        return {
            "running": min(self.present, slots),
            "waiting": max(0, self.present - slots),
            "slots": slots,
        }


async def answer(service, request):
    """Run one call to its end, also when its caller leaves, as a real service would."""
    body = await request.read()
    call = {
        "method": request.method,
        "path": request.path,
        "key": request.headers.get("Idempotency-Key"),
        "attempt": request.headers.get("X-Attempt-Id"),
        "body": body[:BODY_SHOWN].decode(errors="replace"),
        "body_sha256": hashlib.sha256(body).hexdigest(),
        "at": time.time(),
        "outcome": "running",
    }
    service.calls.append(call)
    limit = service.options.slots + service.options.queue_limit
    if service.switches.take("refuse") or service.present >= limit:
        call["outcome"] = "refused"
        return reply({"reason": "refused"}, 503, X_Not_Run="1")
    return await asyncio.shield(asyncio.ensure_future(run(service, call, request)))


async def run(service, call, request):
    """Take a slot, work, take effect and answer."""
    service.present += 1
    service.load.put(service.measure())
    try:
        async with service.semaphore:
            await asyncio.sleep(service.options.work_time + service.switches["slow"])
            return await take_effect(service, call, request)
    finally:
        service.present -= 1
        service.load.put(service.measure())


async def take_effect(service, call, request):
    """Record the effect between the two points where the service may die."""
    if service.switches.take("die_before_effect"):
        return await break_off(call, request)
    if call["method"] not in SAFE_METHODS:
        service.effects.append(call)
    if service.switches.take("die_after_effect"):
        return await break_off(call, request)
    call["outcome"] = "answered"
    size = int(request.query.get("size", 0))
    if size:
        return web.Response(text=(FILLER * (size // len(FILLER) + 1))[:size])
    echo = {name: call[name] for name in ("method", "path", "body_sha256", "key")}
    return reply({**echo, "service": service.options.name})


async def break_off(call, request):
    """Drop the connection; unlike ``drop`` this returns, as the work is shielded."""
    call["outcome"] = "dropped"
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def show_load(service, request):
    """Report the load as it was a moment ago."""
    as_of, load = service.load.get()
    return reply({**load, "as_of": as_of})


def make_record(service):
    """Return calls and effects; an effect counts by its key and by its body."""
    keys = (effect["key"] for effect in service.effects if effect["key"])
    return {
        "calls": service.calls,
        "effects": service.effects,
        "by_key": Counter(keys),
        "by_body": Counter(effect["body"] for effect in service.effects),
    }


ROUTES = (("GET", "/-/load", show_load), ("*", "/{path:.*}", answer))


async def build(options):
    """Make the application."""
    service = Service(options)
    return build_app(service, make_record, ROUTES), None
