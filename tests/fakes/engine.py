"""Fake of a model engine: continuous batching, prefix cache, resume, orders."""

import asyncio
import base64
import itertools
import json
import time

from tests.fakes.cache import PrefixCache
from tests.fakes.control import (
    LaggedValue,
    Switches,
    bad_request,
    build_app,
    drop,
    read_json,
    reply,
)
from tests.fakes.generation import UNFINISHED, Attempt, full_text, run_attempt
from tests.fakes.tokens import count_tokens, expected_tokens

ALL_MODELS = "*"
MALFORMED_RESPONSE = b"\x00\xffnot HTTP\r\n\r\n"


def add_options(parser):
    """Add the command-line flags of this fake."""
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
    """State of one engine."""

    def __init__(self, options):
        self.options = options
        # ``die_after``, ``stall_after``, ``garbage``, ``wrong_attempt``: the number of
        # tokens sent before the fault applies. ``slow``: a factor on all times.
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
        self.switches.react = self.restart_if_set
        self.attempts = []
        self.running = 0
        self.waiting = []
        self.arrival_numbers = itertools.count()
        self.cache = PrefixCache(options.cache_blocks, self.add_cache_event)
        self.events = []
        self.event_seq = 0
        self.loaded = set(filter(None, options.models.split(",")))
        self.unloaded = set()
        self.role = "mixed"
        self.fence = 0
        self.orders = []
        self.received = []
        self.load = LaggedValue(options.load_lag, self.measure_load())

    def measure_load(self):
        """Return the current load."""
        return {
            "running": self.running,
            "waiting": len(self.waiting),
            "slots": self.options.slots,
            "cached_tokens": self.cache.count_block_tokens(),
        }

    def add_cache_event(self, op, digest):
        """Record a cache event, except every ``event_gap``-th, which is lost."""
        self.event_seq += 1
        if self.event_seq % self.options.event_gap:
            event = {"seq": self.event_seq, "op": op, "prefix": digest}
            self.events.append((time.time(), event))

    async def restart_if_set(self):
        """Lose the models, the orders and the fencing number if a restart is set."""
        if self.switches.take("restarted"):
            self.loaded, self.orders, self.fence = set(), [], 0
            self.received = []

    def serves(self, model):
        """Return whether the model is loaded."""
        serves_all = ALL_MODELS in self.loaded and model not in self.unloaded
        return model in self.loaded or serves_all

    def find_unfinished(self, attempt_id):
        """Return the newest unfinished attempt with this id, or None."""
        for attempt in reversed(self.attempts):
            if attempt.id == attempt_id and attempt.state in UNFINISHED:
                return attempt
        return None


def check_attempt(engine, attempt):
    """Return the response that refuses the attempt, or None if it can start."""
    expected = expected_tokens(attempt.model, attempt.prompt, attempt.offset)
    if attempt.prefix != "".join(expected):
        return reply({"reason": "prefix isn't what this model generated"}, 400)
    if not engine.serves(attempt.model):
        return reply({"reason": "model not loaded"}, 404)
    is_full = engine.running >= engine.options.slots
    is_full = is_full and len(engine.waiting) >= engine.options.queue_limit
    if is_full or engine.switches["refuse"]:
        return reply(engine.measure_load(), 503)
    return None


async def complete(engine, request):
    """Stream one attempt; cancel it when its client disconnects."""
    try:
        attempt = Attempt(await read_json(request))
    except (KeyError, TypeError, ValueError) as exc:
        raise bad_request(repr(exc)) from exc
    if engine.switches["bad_http"]:
        request.transport.write(MALFORMED_RESPONSE)
        request.transport.close()
        await asyncio.Event().wait()
    refusal = check_attempt(engine, attempt)
    if refusal is not None:
        return refusal
    engine.attempts.append(attempt)
    attempt.task = asyncio.create_task(run_attempt(engine, attempt, request))
    try:
        await asyncio.wait({attempt.task})
    finally:
        attempt.task.cancel()
    if attempt.task.cancelled():
        await drop(request)
    return attempt.task.result()


async def cancel(engine, request):
    """Cancel an attempt."""
    attempt = engine.find_unfinished((await read_json(request)).get("attempt"))
    if attempt is not None:
        attempt.task.cancel()
    return reply({"cancelled": attempt is not None})


async def export_kv(engine, request):
    """Return the KV cache of a running attempt."""
    if engine.switches["export_stalls"]:
        await asyncio.Event().wait()
    attempt = engine.find_unfinished((await read_json(request)).get("attempt"))
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
    """Import a KV cache that another engine exported."""
    body = await read_json(request)
    if engine.switches["import_refused"]:
        return reply({"reason": "no room"}, 503)
    try:
        model, text = json.loads(base64.b64decode(body["blob"], validate=True))
    except (KeyError, TypeError, ValueError) as exc:
        raise bad_request(repr(exc)) from exc
    engine.cache.add_import(model, text)
    return reply({"handle": body.get("handle"), "tokens": count_tokens(text)})


async def show_load(engine, request):
    """Return the load as it was ``load_lag`` seconds ago."""
    as_of, load = engine.load.get()
    # An engine that serves every model reports no list of models.
    models = {} if ALL_MODELS in engine.loaded else {"models": sorted(engine.loaded)}
    return reply({**load, **models, "as_of": as_of})


async def show_cache_events(engine, request):
    """Return the cache events after a sequence number, at least ``event_lag`` old."""
    after = int(request.query.get("after", 0))
    visible_until = time.time() - engine.options.event_lag
    events = [event for at, event in engine.events if at <= visible_until]
    newer = [event for event in events if event["seq"] > after]
    return reply({"events": newer, "next": newer[-1]["seq"] if newer else after})


def load_model(engine, name, body):
    """Load a model."""
    engine.loaded.add(name)
    engine.unloaded.discard(name)


def unload_model(engine, name, body):
    """Unload a model."""
    engine.loaded.discard(name)
    engine.unloaded.add(name)


def change_role(engine, name, body):
    """Change the engine's role."""
    engine.role = body.get("role")


ORDERS = {"load": load_model, "unload": unload_model, "role": change_role}


async def handle_order(engine, request):
    """Carry out an order once; if fenced, refuse it for an old fencing number."""
    body = await read_json(request)
    fence, order = body.get("fence", 0), body.get("order")
    engine.received.append({"fence": fence, "order": order, "at": time.time()})
    if body.get("op") not in ORDERS or order is None:
        raise bad_request("unknown op or no order id")
    if any(earlier["order"] == order and earlier["done"] for earlier in engine.orders):
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
    """Return what the engine received and did."""
    return {
        "attempts": [attempt.to_record() for attempt in engine.attempts],
        "orders": engine.orders,
        "received": engine.received,
        "fence": engine.fence,
        "role": engine.role,
        "loaded": sorted(engine.loaded),
        "unloaded": sorted(engine.unloaded),
        **engine.measure_load(),
    }


ROUTES = (
    ("POST", "/v1/completions", complete),
    ("POST", "/v1/cancel", cancel),
    ("POST", "/v1/kv/export", export_kv),
    ("POST", "/v1/kv/import", import_kv),
    ("GET", "/v1/load", show_load),
    ("GET", "/v1/cache-events", show_cache_events),
    ("POST", "/v1/orders", handle_order),
)


async def build(options):
    """Return the web application, and None since there is no second port."""
    engine = Engine(options)
    return build_app(engine, make_record, ROUTES), None
