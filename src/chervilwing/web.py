"""HTTP server: read callers' requests and write answers with bounded buffers."""

import json
import time
from collections.abc import Callable
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .exceptions import ChervilwingError, SlowSender
from .parsers import RequestReader
from .response_heads import encode_head, encode_problem
from .sockets import StreamHandlers, Streams

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
EVENTS_TYPE = "text/event-stream"
CHUNKED_END = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODILESS_STATUSES = (204, 304)
# Seconds within which a caller must close its half of a connection after the last byte
# of the answer. Callers refused during a large upload would hold their sockets longer.
LINGER_TIMEOUT = 2.0


class WebHandlers(NamedTuple):
    """Callbacks for a whole request and for a caller that has disconnected."""

    requested: Callable[["Exchange"], None]
    disconnected: Callable[["Exchange"], None]


class WebOptions(NamedTuple):
    """Protocol options of one listener.

    ``accept_chunked_bodies`` accepts chunked request bodies. ``answer_half_closed``
    still answers a caller that has closed its sending half.
    """

    accept_chunked_bodies: bool = False
    answer_half_closed: bool = True


class Exchange:
    """One request and its answer on a caller's connection."""

    __slots__ = (
        "req",
        "started",
        "disconnected",
        "finished",
        "on_drain",
        "has_length",
        "bodiless",
        "_web",
        "_conn",
        "tag",
    )

    def __init__(self, req, web, conn):
        self.req = req
        self.started = False
        self.finished = False
        self.disconnected = False
        self.on_drain = None
        self.has_length = False
        self.bodiless = req.method == "HEAD"
        self.tag = None
        self._web = web
        self._conn = conn

    @property
    def congested(self):
        """Return whether the caller reads more slowly than the answer is written."""
        return self._conn.congested

    @property
    def host(self):
        """Return the IP address of the caller, or of the proxy in front of it."""
        return self._conn.address.host

    def answer(self, status, body=b"", content_type=JSON_TYPE, headers=None):
        """Send a whole answer."""
        fields = {"Content-Type": content_type, "Content-Length": str(len(body))}
        if status in BODILESS_STATUSES:
            fields = {}
        data = encode_head(
            status, fields | (headers or {}) | self._make_connection_field()
        )
        self.started = True
        bodiless = status in BODILESS_STATUSES or self.bodiless
        self._write(data if bodiless else data + body)
        self._end()

    def answer_json(self, status, value, headers=None):
        """Send a JSON document."""
        body = json.dumps(value).encode() + b"\n"
        self.answer(status, body, JSON_TYPE, headers)

    def answer_problem(self, exc, headers=None):
        """Send a failure as a problem document, or abort an answer already started."""
        if self.started:
            self.abort()
            return
        value, extra = encode_problem(exc)
        body = json.dumps(value).encode() + b"\n"
        self.answer(exc.status, body, PROBLEM_TYPE, extra | (headers or {}))

    def start(self, status, content_type, headers=None):
        """Send the head of an answer whose body is written in pieces.

        An HTTP/1.0 caller can't read chunks: its answer ends with the connection, which
        is therefore not kept alive.
        """
        fields = {"Content-Type": content_type}
        if self.req.accepts_chunks:
            fields["Transfer-Encoding"] = "chunked"
        else:
            self._end_with_connection()
        data = encode_head(
            status, fields | (headers or {}) | self._make_connection_field()
        )
        self.started = True
        self._write(data)

    def relay_head(self, status, headers, length):
        """Send the head of an answer with the upstream's own header fields.

        ``length`` is the body's length in bytes, or None if it is not known. Without a
        body, none is sent of what follows (RFC 9112, section 6.3).
        """
        self.has_length = length is not None
        self.bodiless = self.bodiless or status in BODILESS_STATUSES
        if status in BODILESS_STATUSES:
            framing = {}
        elif self.has_length:
            framing = {"Content-Length": str(length)}
        elif self.bodiless:
            framing = {}
        elif self.req.accepts_chunks:
            framing = {"Transfer-Encoding": "chunked"}
        else:
            framing = {}
            self._end_with_connection()
        self.started = True
        fields = {**headers, **framing, **self._make_connection_field()}
        self._write(encode_head(status, fields))

    def write(self, data):
        """Send one piece of the body."""
        # An empty chunk would end the body.
        if data and not self.bodiless:
            self._write(self._frame(data))

    def finish(self, data=b""):
        """Send the last piece of the body, if any, and end the answer."""
        chunked = self.req.accepts_chunks and not self.has_length
        if not self.bodiless:
            end = CHUNKED_END if chunked else b""
            self._write((self._frame(data) if data else b"") + end)
        self._end()

    def _frame(self, data):
        if self.has_length or not self.req.accepts_chunks:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def abort(self):
        """Close the connection; without its end the answer is visibly incomplete."""
        if self.disconnected or self.finished:
            return
        self.finished = True
        self._web.drop(self._conn)

    def _end_with_connection(self):
        self.req = self.req._replace(keep_alive=False)
        self._web.reset_if_cut(self._conn)

    def _make_connection_field(self):
        keep = self.req.keep_alive and not self._web.stopping
        return {"Connection": "keep-alive" if keep else "close"}

    def _write(self, data):
        if not self.disconnected and not self.finished:
            self._web.send(self._conn, data)

    def _end(self):
        if self.disconnected or self.finished:
            return
        self.finished = True
        self._web.end_exchange(self._conn, self.req.keep_alive)


class _Caller:
    """State of one caller's connection."""

    __slots__ = (
        "reader",
        "exchange",
        "waiting_since",
        "last_sent",
        "serving",
        "idle_limit",
        "has_sent",
    )

    def __init__(self, reader, now, idle_limit):
        self.reader = reader
        self.idle_limit = idle_limit
        self.exchange = None
        self.waiting_since = now
        self.last_sent = 0
        self.serving = False
        # Whether a request was received on the connection.
        self.has_sent = False


class Web(BaseComponent):
    """Serve HTTP/1.1 on one listening address."""

    channel = "web"

    def __init__(self, cfg, poller, handlers, channel="web", options=None):
        super().__init__(channel=channel)
        self._cfg = cfg
        self._options = options or WebOptions()
        self._callbacks = handlers
        self.stopping = False
        self._callers = set()
        self._intake = None
        streams = StreamHandlers(
            self._opened, self._received, self._closed, self._drained, self._half_closed
        )
        self._streams = Streams(poller, streams, f"{channel}-streams").register(self)

    def listen(self, address, intake=None):
        """Accept callers and return the address that was bound.

        With an Intake, callers beyond its limit are rejected before they are read.
        """
        self._intake = intake
        return self._streams.listen(address, intake)

    def stop_listening(self):
        """Close the listener and end keep-alive; requests in flight continue.

        A partly received request is in flight too.
        """
        self.stopping = True
        self._streams.stop_listening()
        for conn in list(self._callers):
            if conn.state.exchange is None and conn.state.reader.idle:
                self._streams.close(conn)

    def send(self, conn, data):
        """Write bytes to a caller's connection."""
        self._streams.send(conn, data)

    def drop(self, conn):
        """Close a caller's connection at once."""
        self._streams.drop(conn)

    def reset_if_cut(self, conn):
        """Reset a caller's connection if it closes before the answer's end."""
        self._streams.reset_if_cut(conn)

    def end_exchange(self, conn, keep_alive):
        """End an exchange.

        Close the connection, or serve the requests received in the meantime.
        """
        caller = conn.state
        caller.exchange = None
        caller.waiting_since = time.monotonic()
        caller.idle_limit = self._cfg.idle_timeout
        if self.stopping or conn.half_closed or not keep_alive:
            self._streams.linger(conn)
            return
        self._serve_received(conn)

    def count(self):
        """Return the number of connected callers."""
        return len(self._callers)

    def count_unread(self):
        """Return the number of callers that have not read all of their answers yet."""
        return sum(1 for conn in self._callers if conn.pending or conn.lingering)

    @handler("tick", channel="*")
    def _on_tick(self):
        """Close connections that are idle, send too slowly or have stopped reading.

        Callers that open connections and send or read a byte now and then would each
        hold a socket and a buffer forever. The limits are settings in seconds.
        """
        now = time.monotonic()
        for conn in list(self._callers):
            if conn.state.exchange is None:
                self._check_timeouts(conn, now)

    def _check_timeouts(self, conn, now):
        caller = conn.state
        if conn.sent != caller.last_sent:
            caller.last_sent, caller.waiting_since = conn.sent, now
        waited = now - caller.waiting_since
        if conn.lingering and not conn.pending:
            if waited > LINGER_TIMEOUT:
                self._streams.drop(conn)
        elif conn.pending or caller.reader.idle:
            # A caller relies on the limit in force when it received its last answer.
            if waited > max(caller.idle_limit, self._cfg.idle_timeout):
                self._streams.drop(conn)
        elif waited > self._cfg.head_timeout:
            self._reject(conn, SlowSender())

    def _opened(self, conn):
        reader = RequestReader(self._cfg, self._options.accept_chunked_bodies)
        conn.state = _Caller(reader, time.monotonic(), self._cfg.idle_timeout)
        self._callers.add(conn)

    def _received(self, conn, data):
        caller = conn.state
        if caller.exchange is None and caller.reader.idle:
            caller.waiting_since = time.monotonic()
        caller.reader.feed(data)
        self._serve_received(conn)

    def _serve_received(self, conn):
        """Serve the received requests one at a time and in order.

        A caller may pipeline hundreds of requests. An answer sent at once calls this
        method recursively, which would exhaust the stack, hence ``serving``. While the
        caller doesn't read its answers, no further request is served or read.
        """
        caller = conn.state
        if caller.serving:
            return
        caller.serving = True
        while caller.exchange is None and not (conn.congested or conn.closing):
            if not self._serve_next(conn):
                break
        caller.serving = False
        if caller.exchange is None and not conn.congested:
            self._streams.resume(conn)
        elif not caller.reader.idle:
            self._streams.pause(conn)

    def _serve_next(self, conn):
        """Serve the next whole request and return whether there was one."""
        caller = conn.state
        try:
            req = caller.reader.pop_request()
        except ChervilwingError as exc:
            self._reject(conn, exc)
            return False
        if req is None:
            if caller.reader.expects_continue:
                self._streams.send(conn, CONTINUE)
            return False
        caller.exchange = Exchange(req, self, conn)
        if self._intake is not None:
            self._intake.record_request(time.monotonic(), not caller.has_sent)
        caller.has_sent = True
        self._callbacks.requested(caller.exchange)
        return True

    def _reject(self, conn, exc):
        conn.state.exchange = Exchange(UNREADABLE_REQUEST, self, conn)
        conn.state.exchange.answer_problem(exc)

    def _drained(self, conn):
        exchange = conn.state.exchange
        if exchange is None:
            self._serve_received(conn)
        elif exchange.on_drain is not None:
            exchange.on_drain()

    def _half_closed(self, conn):
        """Return whether a caller that has closed its sending half still waits.

        A caller that has disconnected looks the same until something is written to it.
        A stream is written to constantly; before it starts, an interim response, which
        every client ignores, triggers the reset (RFC 9110, section 15.2).
        """
        exchange = conn.state.exchange
        if exchange is None or not self._options.answer_half_closed:
            return False
        if exchange.req.accepts_chunks and not exchange.started:
            self._streams.send(conn, CONTINUE)
        return True

    def _closed(self, conn, exc):
        self._callers.discard(conn)
        exchange = conn.state.exchange
        if exchange is None or exchange.finished:
            return
        exchange.disconnected = True
        self._callbacks.disconnected(exchange)


class _UnreadableRequest(NamedTuple):
    method: str = ""
    keep_alive: bool = False
    accepts_chunks: bool = True


UNREADABLE_REQUEST = _UnreadableRequest()


def ignore(exchange, exc):
    """Take no action on a failure."""


def answer_failures(serve, on_failure=ignore):
    """Return ``serve`` wrapped so that each failure is answered as a problem document.

    ``on_failure`` is called first. Exceptions that are no ChervilwingError are answered
    as internal failures and raised again.
    """

    def served(exchange):
        try:
            serve(exchange)
        except ChervilwingError as exc:
            on_failure(exchange, exc)
            exchange.answer_problem(exc)
        except Exception:
            on_failure(exchange, ChervilwingError())
            exchange.answer_problem(ChervilwingError())
            raise

    return served
