"""A stand-in model engine: continuous batching, prefix cache, resume, orders."""

import asyncio
import base64
import heapq
import itertools
import json
import time

from aiohttp import web

from tests.fakes.cache import PrefixCache
from tests.fakes.control import Lagged, Switches, build_app, drop, read_json, reply
from tests.fakes.tokens import count_tokens, expected_tokens, make_token

ALL_MODELS = "*"
END_MARK = b"data: [DONE]\n\n"
GARBAGE_EVENT = b"data: {\xff\xfe not JSON\n\n"
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


class Attempt:
    """One try of a completion, as the record shows it."""

    def __init__(self, body):
        self.id = str(body["attempt"])
        self.model = str(body["model"])
        self.prompt = str(body["prompt"])
        self.max_tokens = int(body["max_tokens"])
        self.priority = int(body.get("priority", 1))
        self.offset = int(body.get("offset") or 0)
        self.prefix = str(body.get("prefix") or "")
        self.state = "waiting"
        self.sent = self.cached = self.recomputed = 0
        self.task = None

    def show(self):
        """Return the record of this attempt."""
        hidden = ("task", "prompt", "prefix")
        return {key: value for key, value in vars(self).items() if key not in hidden}


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
        )
        self.attempts = []
        self.running = 0
        self.waiting = []
        self.tickets = itertools.count()
        self.cache = PrefixCache(options.cache_blocks, self.publish)
        self.events = []
        self.event_seq = 0
        self.loaded = set(options.models.split(","))
        self.unloaded = set()
        self.role = "mixed"
        self.fence = 0
        self.orders = []
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

    def serves(self, model):
        """Tell whether the model is loaded."""
        every = ALL_MODELS in self.loaded and model not in self.unloaded
        return model in self.loaded or every

    def find(self, attempt_id):
        """Return the newest attempt of this id that still runs, or None."""
        for attempt in reversed(self.attempts):
            if attempt.id == attempt_id and attempt.state in ("waiting", "running"):
                return attempt
        return None


async def acquire(engine, priority):
    """Wait for a slot, the most urgent first and then in order of arrival."""
    if engine.running < engine.options.slots:
        engine.running += 1
        return
    fut = asyncio.get_running_loop().create_future()
    heapq.heappush(engine.waiting, (priority, next(engine.tickets), fut))
    engine.load.put(engine.measure())
    try:
        await fut
    except asyncio.CancelledError:
        if fut.done() and not fut.cancelled():
            release(engine)
        engine.waiting = [item for item in engine.waiting if item[2] is not fut]
        heapq.heapify(engine.waiting)
        raise


def release(engine):
    """Hand the slot to the next in the queue, or free it."""
    while engine.waiting:
        fut = heapq.heappop(engine.waiting)[2]
        if not fut.done():
            fut.set_result(None)
            return
    engine.running -= 1


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
        raise web.HTTPBadRequest(text=repr(exc)) from exc
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


async def work(engine, attempt, request):
    """Take a slot, generate, and note how it ended."""
    try:
        await acquire(engine, attempt.priority)
        attempt.state = "running"
        engine.load.put(engine.measure())
        try:
            return await generate(engine, attempt, request)
        finally:
            release(engine)
            engine.load.put(engine.measure())
    except (asyncio.CancelledError, ConnectionError):
        if attempt.state != "dropped":
            attempt.state = "cancelled"
        raise


async def generate(engine, attempt, request):
    """Prefill what isn't cached, then send a token a step, the figures and the end."""
    await prefill(engine, attempt)
    headers = {"Content-Type": "text/event-stream", "X-Attempt-Id": attempt.id}
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    for index in range(attempt.offset, attempt.max_tokens):
        await strike(engine, attempt, request, response)
        await asyncio.sleep(engine.options.token_time * engine.switches["slow"])
        await response.write(make_event(engine, attempt, index))
        attempt.sent += 1
    await strike(engine, attempt, request, response)
    await response.write(encode(make_usage(attempt)))
    if not engine.switches["no_end_mark"]:
        await response.write(END_MARK)
    await response.write_eof()
    attempt.state = "completed"
    engine.cache.store(attempt.model, full_text(attempt))
    return response


async def prefill(engine, attempt):
    """Spend the time of the uncached tokens and count the recomputed ones."""
    text = attempt.prompt + attempt.prefix
    attempt.cached = engine.cache.match(attempt.model, text)
    kept = max(0, attempt.cached - count_tokens(attempt.prompt))
    attempt.recomputed = attempt.offset - kept
    uncached = count_tokens(text) - attempt.cached
    await asyncio.sleep(
        uncached * engine.options.prefill_time * engine.switches["slow"]
    )
    engine.cache.store(attempt.model, text)


def full_text(attempt):
    """Return the prompt and everything generated so far."""
    count = attempt.offset + attempt.sent
    return attempt.prompt + "".join(
        expected_tokens(attempt.model, attempt.prompt, count)
    )


def encode(data):
    """Return one server-sent event."""
    return b"data: " + json.dumps(data, separators=(",", ":")).encode() + b"\n\n"


def make_event(engine, attempt, index):
    """Return a token's event, of another attempt when ``wrong_attempt`` says so."""
    start = engine.switches["wrong_attempt"]
    crossed = start is not None and attempt.sent >= start
    others = [other for other in engine.attempts if other.id != attempt.id]
    source = others[-1] if crossed and others else attempt
    token = make_token(source.model, source.prompt, index)
    return encode({"attempt": source.id, "index": index, "token": token})


def make_usage(attempt):
    """Return the figures event."""
    usage = {
        "prompt_tokens": count_tokens(attempt.prompt),
        "cached_tokens": attempt.cached,
        "completion_tokens": attempt.sent,
        "recomputed_tokens": attempt.recomputed,
    }
    return {"attempt": attempt.id, "usage": usage, "finish_reason": "length"}


async def die(attempt, request, response):
    """Drop the connection in the middle of the answer."""
    attempt.state = "dropped"
    await drop(request)


async def stall(attempt, request, response):
    """Send nothing more and keep the connection."""
    await asyncio.Event().wait()


async def send_garbage(attempt, request, response):
    """Send an event that isn't JSON."""
    await response.write(GARBAGE_EVENT)


# Each strikes once the attempt has sent as many tokens as its switch says.
TOKEN_FAULTS = {"die_after": die, "stall_after": stall, "garbage": send_garbage}


async def strike(engine, attempt, request, response):
    """Let the faults act that are due after this many tokens."""
    for name, fault in TOKEN_FAULTS.items():
        if engine.switches[name] == attempt.sent:
            await fault(attempt, request, response)


async def cancel(engine, request):
    """Stop an attempt."""
    attempt = engine.find((await read_json(request)).get("attempt"))
    if attempt is not None:
        attempt.task.cancel()
    return reply({"cancelled": attempt is not None})


async def export_kv(engine, request):
    """Hand out what a running attempt has computed."""
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
    try:
        model, text = json.loads(base64.b64decode(body["blob"], validate=True))
    except (KeyError, TypeError, ValueError) as exc:
        raise web.HTTPBadRequest(text=repr(exc)) from exc
    engine.cache.load(model, text)
    return reply({"handle": body.get("handle"), "tokens": count_tokens(text)})


async def show_load(engine, request):
    """Report the load as it was a moment ago."""
    as_of, load = engine.load.get()
    return reply({**load, "as_of": as_of})


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
    if body.get("op") not in ORDERS or order is None:
        raise web.HTTPBadRequest(text="unknown op or no order id")
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
    record = lambda: make_record(engine)
    return build_app(engine, engine.switches, record, ROUTES), None
