"""The HTTP side towards callers: read requests and write bounded answers."""

import json
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .exceptions import ChervilwingError, SlowSender
from .parsers import RequestReader
from .sockets import StreamHandlers, Streams

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
EVENTS_TYPE = "text/event-stream"
CHUNKED_END = b"0\r\n\r\n"
PROBLEM_BASE = "https://chervilwing.example/problems/"
# Callers that have closed their half may still read; a torn connection shows on write.
BODILESS = (204, 304)


class WebHandlers(NamedTuple):
    """What the owner does with a request and with a caller that left."""

    requested: Callable[["Exchange"], None]
    left: Callable[["Exchange"], None]


def encode_head(status, headers):
    """Return the status line and header fields of an answer as bytes."""
    reason = HTTPStatus(status).phrase
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_problem(exc):
    """Return the problem document of a failure (RFC 9457) and its extra headers."""
    body = {
        "type": PROBLEM_BASE + exc.type,
        "title": exc.title,
        "status": exc.status,
        "detail": exc.detail,
        "outcome": exc.outcome,
        "scope": exc.scope._asdict(),
    }
    if exc.retry_after is None:
        return body, {}
    body["retry_after"] = exc.retry_after
    # The header takes whole seconds only; rounding up keeps its promise.
    return body, {"Retry-After": str(max(1, -int(-exc.retry_after // 1)))}


class Exchange:
    """One request and the answer to it on the caller's connection."""

    __slots__ = (
        "req",
        "started",
        "gone",
        "finished",
        "on_drain",
        "_web",
        "_conn",
        "tag",
    )

    def __init__(self, req, web, conn):
        self.req = req
        self.started = False
        self.finished = False
        self.gone = False
        self.on_drain = None
        self.tag = None
        self._web = web
        self._conn = conn

    @property
    def congested(self):
        """Tell whether the caller reads more slowly than the answer comes."""
        return self._conn.congested

    def answer(self, status, body=b"", content_type=JSON_TYPE, headers=None):
        """Send a whole answer."""
        fields = {"Content-Type": content_type, "Content-Length": str(len(body))}
        if status in BODILESS:
            fields = {}
        data = encode_head(status, fields | (headers or {}) | self._persistence())
        self.started = True
        self._write(data if self.req.method == "HEAD" else data + body)
        self._end()

    def answer_json(self, status, value, headers=None):
        """Send a JSON document."""
        body = json.dumps(value).encode() + b"\n"
        self.answer(status, body, JSON_TYPE, headers)

    def refuse(self, exc, headers=None):
        """Send a failure, or cut a stream that can't carry one any more."""
        if self.started:
            self.abort()
            return
        value, extra = encode_problem(exc)
        body = json.dumps(value).encode() + b"\n"
        self.answer(exc.status, body, PROBLEM_TYPE, extra | (headers or {}))

    def start(self, status, content_type, headers=None):
        """Open a chunked answer."""
        fields = {"Content-Type": content_type, "Transfer-Encoding": "chunked"}
        data = encode_head(status, fields | (headers or {}) | self._persistence())
        self.started = True
        self._write(data)

    def write(self, data):
        """Send one chunk."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self, data=b""):
        """Send a last chunk, if any, and the end mark of the chunked answer."""
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        self._write(chunk + CHUNKED_END)
        self._end()

    def abort(self):
        """Cut the connection: the missing end mark tells the answer is not whole."""
        if self.gone or self.finished:
            return
        self.finished = True
        self._web.cut(self._conn)

    def _persistence(self):
        keep = self.req.keep_alive and not self._web.stopping
        return {"Connection": "keep-alive" if keep else "close"}

    def _write(self, data):
        if not self.gone and not self.finished:
            self._web.send(self._conn, data)

    def _end(self):
        if self.gone or self.finished:
            return
        self.finished = True
        self._web.complete(self._conn, self.req.keep_alive)


class _Caller:
    """What is known of one caller's connection."""

    __slots__ = ("reader", "exchange", "since")

    def __init__(self, reader, now):
        self.reader = reader
        self.exchange = None
        self.since = now


class Web(BaseComponent):
    """Serve HTTP/1.1 on one listening address."""

    channel = "web"

    def __init__(self, cfg, poller, handlers, channel="web"):
        super().__init__(channel=channel)
        self._cfg = cfg
        self._owner = handlers
        self.stopping = False
        self._callers = set()
        streams = StreamHandlers(
            self._opened, self._received, self._closed, self._drained
        )
        self._streams = Streams(poller, streams, f"{channel}-streams").register(self)

    def listen(self, address):
        """Accept callers and return the address that was bound."""
        return self._streams.listen(address)

    def stop_listening(self):
        """Close the listener and end keep-alive; requests in flight go on."""
        self.stopping = True
        self._streams.stop_listening()
        for conn in list(self._callers):
            if conn.state.exchange is None:
                self._streams.close(conn)

    def send(self, conn, data):
        """Write to a caller."""
        self._streams.send(conn, data)

    def cut(self, conn):
        """Close a caller's connection at once."""
        self._streams.drop(conn)

    def complete(self, conn, keep_alive):
        """Close the connection, or go on with what the caller has sent meanwhile."""
        caller = conn.state
        caller.exchange = None
        caller.since = time.monotonic()
        if self.stopping or not keep_alive:
            self._streams.close(conn)
            return
        self._streams.resume(conn)
        if not caller.reader.idle:
            self._advance(conn)

    def count(self):
        """Return how many callers are connected."""
        return len(self._callers)

    @handler("tick", channel="*")
    def _on_tick(self):
        """Cut off slow senders and idle connections.

        Load: callers that open connections and send a byte now and then. Harm: each
        holds a socket and a buffer for ever. The limits are settings in seconds.
        """
        now = time.monotonic()
        for conn in list(self._callers):
            caller = conn.state
            if caller.exchange is not None:
                continue
            waited = now - caller.since
            if caller.reader.idle:
                if waited > self._cfg.idle_timeout:
                    self._streams.close(conn)
            elif waited > self._cfg.head_timeout:
                self._reject(conn, SlowSender())

    def _opened(self, conn):
        conn.state = _Caller(RequestReader(self._cfg), time.monotonic())
        self._callers.add(conn)

    def _received(self, conn, data):
        caller = conn.state
        if caller.exchange is None and caller.reader.idle:
            caller.since = time.monotonic()
        try:
            caller.reader.feed(data)
        except ChervilwingError as exc:
            self._reject(conn, exc)
            return
        if caller.exchange is None:
            self._advance(conn)
        else:
            # The caller pipelines: one request at a time, the rest waits in the socket.
            self._streams.pause(conn)

    def _advance(self, conn):
        caller = conn.state
        try:
            req = caller.reader.take()
        except ChervilwingError as exc:
            self._reject(conn, exc)
            return
        if req is None:
            return
        caller.exchange = Exchange(req, self, conn)
        self._owner.requested(caller.exchange)

    def _reject(self, conn, exc):
        caller = conn.state
        if caller.exchange is not None:
            self._streams.drop(conn)
            return
        caller.exchange = Exchange(NO_REQUEST, self, conn)
        caller.exchange.refuse(exc)

    def _drained(self, conn):
        exchange = conn.state.exchange
        if exchange is not None and exchange.on_drain is not None:
            exchange.on_drain()

    def _closed(self, conn, exc):
        self._callers.discard(conn)
        exchange = conn.state.exchange
        if exchange is None or exchange.finished:
            return
        exchange.gone = True
        self._owner.left(exchange)


class _NoRequest(NamedTuple):
    method: str = ""
    keep_alive: bool = False


NO_REQUEST = _NoRequest()


def guard(serve):
    """Answer every typed failure of ``serve`` as a problem document."""

    def served(exchange):
        try:
            serve(exchange)
        except ChervilwingError as exc:
            exchange.refuse(exc)
        except Exception:
            exchange.refuse(ChervilwingError())
            raise

    return served
