"""Random requests of callers and answers of upstreams; the same for the same seed."""

import random
from typing import NamedTuple

from chervilwing.relays import MAX_BUFFERED_BYTES
from chervilwing.sockets import HIGH_WATER

# Sizes around each limit of a buffer on the way of an answer.
LIMITS = (HIGH_WATER, MAX_BUFFERED_BYTES, 2 * MAX_BUFFERED_BYTES)
SIZES = (0, 1, 800, *(limit + step for limit in LIMITS for step in (-1, 0, 1)))
LARGE_SIZES = (1_000_000, 4 * 1024 * 1024)
STATUSES = (200, 200, 200, 201, 204, 206, 302, 304, 400, 404, 500, 503)
BODILESS_STATUSES = (204, 304)
LENGTH, CHUNKS, CLOSE = "length", "chunks", "close"
# How an answer ends: in order, with bytes beyond its end, after a half of it by a close
# or a reset, or never.
WHOLE, EXCESS, HALFWAY, RESET, NEVER = "whole", "excess", "halfway", "reset", "never"
ENDINGS = (WHOLE,) * 12 + (EXCESS, HALFWAY, RESET, RESET, NEVER)
AT_ONCE, SLOWLY, IN_BURSTS, LEAVES = "at once", "slowly", "in bursts", "leaves"
PACES = (AT_ONCE,) * 4 + (SLOWLY, IN_BURSTS, LEAVES)
METHODS = ("GET", "GET", "POST", "POST", "PUT", "HEAD")


class GeneratedRequest(NamedTuple):
    """A request; ``pipelined`` is sent with the one before on its connection."""

    id: str
    method: str
    path: str
    body: bytes
    chunked: bool
    expects_continue: bool
    pace: str
    pipelined: bool


class GeneratedAnswer(NamedTuple):
    """An upstream's answer to one run of a request."""

    status: int
    framing: str
    size: int
    interim_heads: int
    ending: str
    events: bool

    @property
    def bodiless(self):
        """Return whether its status allows no body."""
        return self.status in BODILESS_STATUSES


def draw_requests(rng, prefix):
    """Return the requests that a caller sends on one connection."""
    return [
        draw_request(rng, f"{prefix}-{number}", number)
        for number in range(rng.randint(1, 4))
    ]


def draw_request(rng, request_id, number):
    """Return one request; the path ends with its id."""
    method = rng.choice(METHODS)
    size = rng.choice((0, 10, 70_000)) if method in ("POST", "PUT") else 0
    body = make_bytes(f"{request_id} sent", size)
    return GeneratedRequest(
        request_id,
        method,
        f"/{rng.choice(('page', 'note'))}/{request_id}",
        body,
        bool(size) and rng.random() < 0.4,
        bool(size) and rng.random() < 0.2,
        rng.choice(PACES),
        number > 0 and rng.random() < 0.4,
    )


def draw_answer(seed, request_id, run):
    """Return the answer to a run, the first of a request having the number 0."""
    rng = random.Random(f"{seed} {request_id} {run}")
    status = rng.choice(STATUSES)
    framing = rng.choice((LENGTH, LENGTH, CHUNKS, CLOSE))
    size = rng.choice(LARGE_SIZES if rng.random() < 0.04 else SIZES)
    ending = rng.choice(ENDINGS)
    if framing == CLOSE and ending in (EXCESS, HALFWAY):
        # Nobody could see that this answer isn't whole.
        ending = RESET
    events = status == 200 and rng.random() < 0.2
    return GeneratedAnswer(
        status, framing, size, rng.choice((0, 0, 0, 1, 3)), ending, events
    )


def make_answer_body(request_id, run, answer):
    """Return the body of a run's answer."""
    if answer.bodiless:
        return b""
    body = make_bytes(f"{request_id}.{run}", answer.size)
    # A stream is whole only if it ends after an event.
    return body + b"\n\n" if answer.events else body


def make_bytes(mark, size):
    """Return bytes that show which text they belong to, and where they stand."""
    line = f"data: {mark} ".encode()
    lines = (b"%b%d\n" % (line, number) for number in range(size // len(line) + 1))
    return b"".join(lines)[:size]
