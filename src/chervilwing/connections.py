"""HTTP calls to upstreams and to the platform, one call at a time on a connection."""

import time
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .exceptions import NOT_RUN, UNKNOWN, BadRequest, UpstreamFailed, UpstreamSilent
from .logs import log_failure
from .models import Address
from .parsers import ResponseReader
from .sockets import StreamHandlers, Streams

# Idle connections kept for each address. Load: bursts of short calls. Harm: one more
# handshake each; sockets without end. Eight is a pool worker's slots.
IDLE_LIMIT = 8


class Call(NamedTuple):
    """One HTTP request to an outside system; times are in seconds.

    ``fresh`` asks for a new connection: one kept alive may have been closed by the
    other end already, and what was written to it can't be told from what was run.
    ``send_before`` is on the monotonic clock: nothing is sent from then on.
    """

    address: Address
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    connect_timeout: float = 1.0
    silence_timeout: float = 5.0
    fresh: bool = False
    send_before: float = float("inf")


class CallHandlers(NamedTuple):
    """What the caller of ``submit`` does as the answer comes."""

    head: Callable[[int, dict[str, str]], None]
    data: Callable[[bytes], None]
    done: Callable[[], None]
    failed: Callable[[UpstreamFailed], None]


class Exchange:
    """State of one call; ``cancel`` is idempotent."""

    __slots__ = (
        "call",
        "handlers",
        "reader",
        "conn",
        "over",
        "headed",
        "heard",
        "held",
    )

    def __init__(self, call, handlers, now):
        self.call = call
        self.handlers = handlers
        self.reader = ResponseReader(call.method)
        self.conn = None
        self.over = False
        self.headed = False
        self.heard = now
        self.held = False


def encode_call(call):
    """Return the request as bytes."""
    lines = [f"{call.method} {call.path} HTTP/1.1"]
    lines.append(f"Host: {call.address.host}:{call.address.port}")
    lines.append(f"Content-Length: {len(call.body)}")
    lines += [f"{name}: {value}" for name, value in call.headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + call.body


class Client(BaseComponent):
    """Own the connections to outside systems.

    Guard against crossed answers: a connection carries one call at a time and is closed
    unless the whole answer, end mark included, was read from it.
    """

    channel = "client"

    def __init__(self, poller, channel="client"):
        super().__init__(channel=channel)
        self._idle: dict[Address, list] = defaultdict(list)
        self._live: set[Exchange] = set()
        handlers = StreamHandlers(self._opened, self._received, self._closed)
        self._streams = Streams(poller, handlers, f"{channel}-streams").register(self)

    def submit(self, call, handlers):
        """Start a call and return its state."""
        exchange = Exchange(call, handlers, time.monotonic())
        self._live.add(exchange)
        conn = self._take_idle(call)
        if conn is None:
            conn = self._streams.dial(call.address)
        conn.state = exchange
        conn.sent = 0
        exchange.conn = conn
        self._streams.send(conn, encode_call(call))
        return exchange

    def cancel(self, exchange):
        """Give the call up without a report and close its connection."""
        if exchange.over:
            return
        self._end(exchange)
        self._streams.drop(exchange.conn)

    def pause(self, exchange):
        """Stop reading the answer until ``resume``."""
        # The connection of a call that is over may carry somebody else's by now.
        if exchange.over:
            return
        exchange.held = True
        self._streams.pause(exchange.conn)

    def resume(self, exchange):
        """Read the answer again."""
        if exchange.over or not exchange.held:
            return
        exchange.held = False
        exchange.heard = time.monotonic()
        self._streams.resume(exchange.conn)

    def retire(self, address):
        """Close idle connections to an address whose path has gone silent."""
        for conn in self._idle.pop(address, []):
            self._streams.drop(conn)

    def count(self):
        """Return how many calls are under way."""
        return len(self._live)

    def count_idle(self):
        """Return how many connections wait for a call."""
        return sum(map(len, self._idle.values()))

    @handler("tick", channel="*")
    def _on_tick(self):
        """End calls on connections that have gone silent.

        Guard: something between the two ends loses track of a connection; neither end
        hears of it, and without a deadline on silence the caller would wait for ever.
        """
        now = time.monotonic()
        for exchange in list(self._live):
            if exchange.held or exchange.over:
                continue
            call = exchange.call
            connecting = exchange.conn.connecting
            limit = call.connect_timeout if connecting else call.silence_timeout
            if now - exchange.heard > limit:
                self.retire(call.address)
                what = "connect" if connecting else "answer"
                self._fail(exchange, f"No {what} for {limit:g} s.", UpstreamSilent)

    def _take_idle(self, call):
        if call.fresh:
            return None
        idle = self._idle.get(call.address)
        return idle.pop() if idle else None

    def _opened(self, conn):
        exchange = conn.state
        if exchange is None:
            return
        exchange.heard = time.monotonic()
        # Guard: a process frozen while it connects goes on, unaware, with an order of
        # a lease that has lapsed; the check before ``submit`` is long over by then.
        if exchange.heard >= exchange.call.send_before:
            self._fail(exchange, "Too late to be sent.")

    def _received(self, conn, data):
        exchange = conn.state
        if exchange is None:
            self._streams.drop(conn)
            return
        exchange.heard = time.monotonic()
        try:
            body = exchange.reader.feed(data)
        except BadRequest as exc:
            self._fail(exchange, str(exc))
            return
        try:
            self._report(exchange, body)
        except Exception as exc:
            # Guard: a defect in the handling of an answer shows as a caller that waits
            # for ever; told as a failure, the request gets an answer all the same.
            log_failure("answer handler", exc)
            self._abandon(exchange)

    def _abandon(self, exchange):
        if not exchange.over:
            self._end(exchange)
            self._streams.drop(exchange.conn)
        exchange.handlers.failed(UpstreamFailed("The answer was not handled."))

    def _report(self, exchange, body):
        if not exchange.headed and exchange.reader.head is not None:
            exchange.headed = True
            exchange.handlers.head(*exchange.reader.head)
        if body and not exchange.over:
            exchange.handlers.data(body)
        if exchange.reader.complete and not exchange.over:
            self._release(exchange)
            exchange.handlers.done()

    def _release(self, exchange):
        conn = exchange.conn
        # Guard: an answer can end in the read that paused it; left paused, the
        # connection would never bring the next call's answer.
        self.resume(exchange)
        self._end(exchange)
        idle = self._idle[exchange.call.address]
        if exchange.reader.reusable and len(idle) < IDLE_LIMIT:
            idle.append(conn)
            return
        self._streams.drop(conn)

    def _closed(self, conn, exc):
        idle = self._idle.get(conn.address, [])
        if conn in idle:
            idle.remove(conn)
        exchange = conn.state
        if exchange is None or exchange.over:
            return
        self._fail(exchange, "The connection broke off.")

    def _fail(self, exchange, detail, kind=UpstreamFailed):
        conn = exchange.conn
        # Only a connection that took no byte proves that nothing ran.
        outcome = UNKNOWN if conn.sent else NOT_RUN
        self._end(exchange)
        self._streams.drop(conn)
        exchange.handlers.failed(kind(detail, outcome=outcome))

    def _end(self, exchange):
        exchange.over = True
        exchange.conn.state = None
        self._live.discard(exchange)
