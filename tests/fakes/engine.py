"""A stand-in model engine: continuous batching, prefix cache, resume, orders."""

import asyncio
import base64
import itertools
import json
import time

from tests.fakes.cache import PrefixCache
from tests.fakes.control import (
    Lagged,
    Switches,
    bad_request,
    build_app,
    drop,
    read_json,
    reply,
)
from tests.fakes.generation import UNFINISHED, Attempt, full_text, work
from tests.fakes.tokens import count_tokens, expected_tokens

ALL_MODELS = "*"
GARBAGE_HEAD = b"\x00\xffnot HTTP\r\n\r\n"


def add_options(parser):
    """Add the flags of this role."""
    parser.add_argument("--name", default="engine")
    parser.add_argument("--models", default=ALL_MODELS)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--queue-limit", type=int, default=32)
    parser.add_argument("--token-time", type=float, default=0.002)
    parser.add_argument("--prefill-time", type=float, default=0.0001)
    parser.add_argument("--cache-blocks", type=int, default=1024)
    parser.add_argument("--load-lag", type=float, default=0.5)
    parser.add_argument("--event-lag", type=float, default=0.5)
    parser.add_argument("--event-gap", type=int, default=10)
    parser.add_argument("--fenced", action="store_true", default=True)
    parser.add_argument("--unfenced", dest="fenced", action="store_false")


class Engine:
    """Everything that one engine knows."""

    def __init__(self, options):
        self.options = options
        self.switches = Switches(
            refuse=False,
            bad_http=False,
            die_after=None,
            stall_after=None,
            garbage=None,
            wrong_attempt=None,
            no_end_mark=False,
            slow=1,
            export_stalls=False,
            import_refused=False,
            restarted=False,
        )
        self.switches.react = self.forget
        self.attempts = []
        self.running = 0
        self.waiting = []
        self.tickets = itertools.count()
        self.cache = PrefixCache(options.cache_blocks, self.publish)
        self.events = []
        self.event_seq = 0
        self.loaded = set(filter(None, options.models.split(",")))
        self.unloaded = set()
        self.role = "mixed"
        self.fence = 0
        self.orders = []
        self.received = []
        self.load = Lagged(options.load_lag, self.measure())

    def measure(self):
        """Return the load of now."""
        return {
            "running": self.running,
            "waiting": len(self.waiting),
            "slots": self.options.slots,
            "cached_tokens": self.cache.count(),
        }

    def publish(self, op, digest):
        """Add a cache event; every ``event_gap``-th is lost."""
        self.event_seq += 1
        if self.event_seq % self.options.event_gap:
            event = {"seq": self.event_seq, "op": op, "prefix": digest}
            self.events.append((time.time(), event))

    async def forget(self):
        """Be as after a restart, once: no models, no orders known."""
        if self.switches.take("restarted"):
            self.loaded, self.orders, self.fence = set(), [], 0
            self.received = []

    def serves(self, model):
        """Tell whether the model is loaded."""
        every = ALL_MODELS in self.loaded and model not in self.unloaded
        return model in self.loaded or every

    def find(self, attempt_id):
        """Return the newest attempt of this id that still runs, or None."""
        for attempt in reversed(self.attempts):
            if attempt.id == attempt_id and attempt.state in UNFINISHED:
                return attempt
        return None


def check(engine, attempt):
    """Return why the attempt can't start as an answer, or None."""
    expected = expected_tokens(attempt.model, attempt.prompt, attempt.offset)
    if attempt.prefix != "".join(expected):
        return reply({"reason": "prefix isn't what this model generated"}, 400)
    if not engine.serves(attempt.model):
        return reply({"reason": "model not loaded"}, 404)
    full = engine.running >= engine.options.slots
    full = full and len(engine.waiting) >= engine.options.queue_limit
    if full or engine.switches["refuse"]:
        return reply(engine.measure(), 503)
    return None


async def complete(engine, request):
    """Stream one attempt; cancel it when its caller leaves."""
    try:
        attempt = Attempt(await read_json(request))
    except (KeyError, TypeError, ValueError) as exc:
        raise bad_request(repr(exc)) from exc
    if engine.switches["bad_http"]:
        request.transport.write(GARBAGE_HEAD)
        request.transport.close()
        await asyncio.Event().wait()
    refusal = check(engine, attempt)
    if refusal is not None:
        return refusal
    engine.attempts.append(attempt)
    attempt.task = asyncio.create_task(work(engine, attempt, request))
    try:
        await asyncio.wait({attempt.task})
    finally:
        attempt.task.cancel()
    if attempt.task.cancelled():
        await drop(request)
    return attempt.task.result()


async def cancel(engine, request):
    """Stop an attempt."""
    attempt = engine.find((await read_json(request)).get("attempt"))
    if attempt is not None:
        attempt.task.cancel()
    return reply({"cancelled": attempt is not None})


async def export_kv(engine, request):
    """Hand out what a running attempt has computed."""
    if engine.switches["export_stalls"]:
        await asyncio.Event().wait()
    attempt = engine.find((await read_json(request)).get("attempt"))
    if attempt is None or attempt.state != "running":
        return reply({"reason": "attempt is gone"}, 404)
    state = json.dumps([attempt.model, full_text(attempt)]).encode()
    return reply(
        {
            "handle": f"{engine.options.name}/{attempt.id}",
            "tokens": attempt.offset + attempt.sent,
            "blob": base64.b64encode(state).decode(),
        }
    )


async def import_kv(engine, request):
    """Take over what another engine computed."""
    body = await read_json(request)
    if engine.switches["import_refused"]:
        return reply({"reason": "no room"}, 503)
    try:
        model, text = json.loads(base64.b64decode(body["blob"], validate=True))
    except (KeyError, TypeError, ValueError) as exc:
        raise bad_request(repr(exc)) from exc
    engine.cache.load(model, text)
    return reply({"handle": body.get("handle"), "tokens": count_tokens(text)})


async def show_load(engine, request):
    """Report the load as it was a moment ago."""
    as_of, load = engine.load.get()
    # One that serves every model has no list to tell.
    said = {} if ALL_MODELS in engine.loaded else {"models": sorted(engine.loaded)}
    return reply({**load, **said, "as_of": as_of})


async def show_cache_events(engine, request):
    """Report the cache events that are old enough to be seen."""
    after = int(request.query.get("after", 0))
    seen = time.time() - engine.options.event_lag
    events = [event for at, event in engine.events if at <= seen]
    fresh = [event for event in events if event["seq"] > after]
    return reply({"events": fresh, "next": fresh[-1]["seq"] if fresh else after})


def load_model(engine, name, body):
    """Make a model available."""
    engine.loaded.add(name)
    engine.unloaded.discard(name)


def unload_model(engine, name, body):
    """Take a model away."""
    engine.loaded.discard(name)
    engine.unloaded.add(name)


def change_role(engine, name, body):
    """Take on another role."""
    engine.role = body.get("role")


ORDERS = {"load": load_model, "unload": unload_model, "role": change_role}


async def take_order(engine, request):
    """Carry out an order once; refuse an old fencing number where these are checked."""
    body = await read_json(request)
    fence, order = body.get("fence", 0), body.get("order")
    engine.received.append({"fence": fence, "order": order, "at": time.time()})
    if body.get("op") not in ORDERS or order is None:
        raise bad_request("unknown op or no order id")
    if any(done["order"] == order and done["done"] for done in engine.orders):
        return reply({"order": order, "repeated": True})
    refused = engine.options.fenced and fence < engine.fence
    engine.orders.append({**body, "at": time.time(), "done": not refused})
    if refused:
        return reply({"fence": engine.fence}, 409)
    engine.fence = max(engine.fence, fence)
    parts = (body.get("model"), body.get("version"), body.get("adapter"))
    ORDERS[body["op"]](engine, ":".join(part for part in parts if part), body)
    return reply({"order": order})


def make_record(engine):
    """Return what this engine saw and did."""
    return {
        "attempts": [attempt.show() for attempt in engine.attempts],
        "orders": engine.orders,
        "received": engine.received,
        "fence": engine.fence,
        "role": engine.role,
        "loaded": sorted(engine.loaded),
        "unloaded": sorted(engine.unloaded),
        **engine.measure(),
    }


ROUTES = (
    ("POST", "/v1/completions", complete),
    ("POST", "/v1/cancel", cancel),
    ("POST", "/v1/kv/export", export_kv),
    ("POST", "/v1/kv/import", import_kv),
    ("GET", "/v1/load", show_load),
    ("GET", "/v1/cache-events", show_cache_events),
    ("POST", "/v1/orders", take_order),
)


async def build(options):
    """Make the application."""
    engine = Engine(options)
    return build_app(engine, make_record, ROUTES), None
