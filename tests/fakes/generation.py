"""Attempts of the fake engine: slots, prefill, streamed tokens and their faults."""

import asyncio
import heapq
import json
import time

from aiohttp import web

from tests.fakes.control import drop
from tests.fakes.tokens import count_tokens, expected_tokens, make_token

UNFINISHED = ("waiting", "running")
END_MARK = b"data: [DONE]\n\n"
GARBAGE_EVENT = b"data: {\xff\xfe not JSON\n\n"


class Attempt:
    """One attempt at a completion; the record shows most of its attributes by name."""

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
        self.started = None
        self.task = None

    def to_record(self):
        """Return the attributes for the record, by name."""
        hidden = ("task", "prefix")
        return {key: value for key, value in vars(self).items() if key not in hidden}


async def acquire(engine, priority):
    """Wait for a slot; the lowest priority number goes first, then the earliest."""
    if engine.running < engine.options.slots:
        engine.running += 1
        return
    fut = asyncio.get_running_loop().create_future()
    heapq.heappush(engine.waiting, (priority, next(engine.arrival_numbers), fut))
    engine.load.put(engine.measure_load())
    try:
        await fut
    except asyncio.CancelledError:
        if fut.done() and not fut.cancelled():
            release(engine)
        engine.waiting = [item for item in engine.waiting if item[2] is not fut]
        heapq.heapify(engine.waiting)
        engine.load.put(engine.measure_load())
        raise


def release(engine):
    """Pass the slot to the next attempt in the queue, or free it."""
    while engine.waiting:
        fut = heapq.heappop(engine.waiting)[2]
        if not fut.done():
            fut.set_result(None)
            return
    engine.running -= 1


async def run_attempt(engine, attempt, request):
    """Acquire a slot, generate the answer, and record how the attempt ended."""
    try:
        await acquire(engine, attempt.priority)
        attempt.state = "running"
        attempt.started = time.time()
        engine.load.put(engine.measure_load())
        try:
            return await generate(engine, attempt, request)
        finally:
            release(engine)
            engine.load.put(engine.measure_load())
    except (asyncio.CancelledError, ConnectionError):
        if attempt.state in UNFINISHED:
            attempt.state = "cancelled"
        raise


async def generate(engine, attempt, request):
    """Prefill the uncached tokens, then send each token, the usage and the end mark."""
    await prefill(engine, attempt)
    headers = {"Content-Type": "text/event-stream", "X-Attempt-Id": attempt.id}
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    for index in range(attempt.offset, attempt.max_tokens):
        await apply_token_faults(engine, attempt, request, response)
        await asyncio.sleep(engine.options.token_time * engine.switches["slow"])
        await response.write(make_token_event(engine, attempt, index))
        attempt.sent += 1
    await apply_token_faults(engine, attempt, request, response)
    await response.write(encode_event(make_usage_event(attempt)))
    # Set before the end mark is sent, since its reader may fetch the record or
    # disconnect at once.
    attempt.state = "completed"
    engine.cache.add_text(attempt.model, full_text(attempt))
    if not engine.switches["no_end_mark"]:
        await response.write(END_MARK)
    await response.write_eof()
    return response


async def prefill(engine, attempt):
    """Sleep as long as the uncached tokens take, and count the recomputed ones."""
    text = attempt.prompt + attempt.prefix
    attempt.cached = engine.cache.count_cached_tokens(attempt.model, text)
    reused = max(0, attempt.cached - count_tokens(attempt.prompt))
    attempt.recomputed = attempt.offset - reused
    uncached = count_tokens(text) - attempt.cached
    await asyncio.sleep(
        uncached * engine.options.prefill_time * engine.switches["slow"]
    )
    engine.cache.add_text(attempt.model, text)


def full_text(attempt):
    """Return the prompt followed by all tokens generated so far."""
    count = attempt.offset + attempt.sent
    return attempt.prompt + "".join(
        expected_tokens(attempt.model, attempt.prompt, count)
    )


def encode_event(data):
    """Return one server-sent event."""
    return b"data: " + json.dumps(data, separators=(",", ":")).encode() + b"\n\n"


def find_other(engine, attempt):
    """Return the newest attempt with another id, or this one if there is none."""
    others = (other for other in reversed(engine.attempts) if other.id != attempt.id)
    return next(others, attempt)


def make_token_event(engine, attempt, index):
    """Return a token's event, of another attempt after ``wrong_attempt`` tokens."""
    start = engine.switches["wrong_attempt"]
    crossed = start is not None and attempt.sent >= start
    source = find_other(engine, attempt) if crossed else attempt
    token = make_token(source.model, source.prompt, index)
    return encode_event({"attempt": source.id, "index": index, "token": token})


def make_usage_event(attempt):
    """Return the event with the token counts."""
    usage = {
        "prompt_tokens": count_tokens(attempt.prompt),
        "cached_tokens": attempt.cached,
        "completion_tokens": attempt.sent,
        "recomputed_tokens": attempt.recomputed,
    }
    return {"attempt": attempt.id, "usage": usage, "finish_reason": "length"}


async def abort_connection(attempt, request, response):
    """Abort the connection in the middle of the answer."""
    attempt.state = "dropped"
    await drop(request)


async def stall(attempt, request, response):
    """Send nothing more and keep the connection open."""
    await asyncio.Event().wait()


async def send_garbage(attempt, request, response):
    """Send an event that isn't JSON."""
    await response.write(GARBAGE_EVENT)


# Each fault applies when the attempt has sent as many tokens as its switch says.
TOKEN_FAULTS = {
    "die_after": abort_connection,
    "stall_after": stall,
    "garbage": send_garbage,
}


async def apply_token_faults(engine, attempt, request, response):
    """Apply the faults that are set for the number of tokens sent so far."""
    for name, fault in TOKEN_FAULTS.items():
        if engine.switches[name] == attempt.sent:
            await fault(attempt, request, response)
