"""The HTTP side towards callers: read requests and write bounded answers."""

import json
import time
from collections.abc import Callable
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .exceptions import ChervilwingError, SlowSender
from .heads import encode_head, encode_problem
from .parsers import RequestReader
from .sockets import StreamHandlers, Streams

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
EVENTS_TYPE = "text/event-stream"
CHUNKED_END = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODILESS = (204, 304)
# Seconds that a caller has to close its half after our last byte. Load: callers that
# are refused while they send megabytes. Harm: each holds a socket until it is done.
LINGER_TIMEOUT = 2.0


class WebHandlers(NamedTuple):
    """What the owner does with a request and with a caller that left."""

    requested: Callable[["Exchange"], None]
    left: Callable[["Exchange"], None]


class WebOptions(NamedTuple):
    """How callers of one listener may speak.

    ``chunked`` takes request bodies in chunks. ``half_open`` keeps an exchange whose
    caller has closed its sending half.
    """

    chunked: bool = False
    half_open: bool = True


class Exchange:
    """One request and the answer to it on the caller's connection."""

    __slots__ = (
        "req",
        "started",
        "gone",
        "finished",
        "on_drain",
        "sized",
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
        self.sized = False
        self.tag = None
        self._web = web
        self._conn = conn

    @property
    def congested(self):
        """Tell whether the caller reads more slowly than the answer comes."""
        return self._conn.congested

    @property
    def host(self):
        """Return the caller's IP number, or that of what stands before it."""
        return self._conn.address.host

    def answer(self, status, body=b"", content_type=JSON_TYPE, headers=None):
        """Send a whole answer."""
        fields = {"Content-Type": content_type, "Content-Length": str(len(body))}
        if status in BODILESS:
            fields = {}
        data = encode_head(status, fields | (headers or {}) | self._persistence())
        self.started = True
        bodiless = status in BODILESS or self.req.method == "HEAD"
        self._write(data if bodiless else data + body)
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
        """Open an answer that comes in pieces.

        A caller of HTTP/1.0 can't read chunks: the end of the connection ends its
        answer, so that the connection isn't kept.
        """
        fields = {"Content-Type": content_type}
        if self.req.chunks:
            fields["Transfer-Encoding"] = "chunked"
        else:
            self.req = self.req._replace(keep_alive=False)
        data = encode_head(status, fields | (headers or {}) | self._persistence())
        self.started = True
        self._write(data)

    def relay_head(self, status, headers, length):
        """Open an answer with an upstream's own header fields.

        ``length`` is that of the body, or None for one that comes in pieces.
        """
        self.sized = length is not None
        if self.sized:
            framing = {} if status in BODILESS else {"Content-Length": str(length)}
        elif self.req.chunks:
            framing = {"Transfer-Encoding": "chunked"}
        else:
            framing = {}
            self.req = self.req._replace(keep_alive=False)
        self.started = True
        fields = {**headers, **framing, **self._persistence()}
        self._write(encode_head(status, fields))

    def write(self, data):
        """Send one piece."""
        # An empty chunk would be the end mark.
        if data:
            self._write(self._frame(data))

    def finish(self, data=b""):
        """Send a last piece, if any, and the end mark."""
        end = CHUNKED_END if self.req.chunks and not self.sized else b""
        self._write((self._frame(data) if data else b"") + end)
        self._end()

    def _frame(self, data):
        if self.sized or not self.req.chunks:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

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

    __slots__ = ("reader", "exchange", "since", "sent", "advancing", "idle_limit")

    def __init__(self, reader, now, idle_limit):
        self.reader = reader
        self.idle_limit = idle_limit
        self.exchange = None
        self.since = now
        self.sent = 0
        self.advancing = False


class Web(BaseComponent):
    """Serve HTTP/1.1 on one listening address."""

    channel = "web"

    def __init__(self, cfg, poller, handlers, channel="web", options=None):
        super().__init__(channel=channel)
        self._cfg = cfg
        self._options = options or WebOptions()
        self._owner = handlers
        self.stopping = False
        self._callers = set()
        streams = StreamHandlers(
            self._opened, self._received, self._closed, self._drained, self._ended
        )
        self._streams = Streams(poller, streams, f"{channel}-streams").register(self)

    def listen(self, address):
        """Accept callers and return the address that was bound."""
        return self._streams.listen(address)

    def stop_listening(self):
        """Close the listener and end keep-alive; requests in flight go on.

        A request that has come in part is in flight too.
        """
        self.stopping = True
        self._streams.stop_listening()
        for conn in list(self._callers):
            if conn.state.exchange is None and conn.state.reader.idle:
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
        caller.idle_limit = self._cfg.idle_timeout
        if self.stopping or conn.ended or not keep_alive:
            self._streams.linger(conn)
            return
        self._advance(conn)

    def count(self):
        """Return how many callers are connected."""
        return len(self._callers)

    @handler("tick", channel="*")
    def _on_tick(self):
        """Cut off slow senders, idle connections and readers that have stopped.

        Load: callers that open connections and send or read a byte now and then. Harm:
        each holds a socket and a buffer for ever. The limits are settings in seconds.
        """
        now = time.monotonic()
        for conn in list(self._callers):
            if conn.state.exchange is None:
                self._check_waiting(conn, now)

    def _check_waiting(self, conn, now):
        caller = conn.state
        if conn.sent != caller.sent:
            caller.sent, caller.since = conn.sent, now
        waited = now - caller.since
        if conn.lingering and not conn.pending:
            if waited > LINGER_TIMEOUT:
                self._streams.drop(conn)
        elif conn.pending or caller.reader.idle:
            # A caller counts on the limit that stood when it got its last answer.
            if waited > max(caller.idle_limit, self._cfg.idle_timeout):
                self._streams.drop(conn)
        elif waited > self._cfg.head_timeout:
            self._reject(conn, SlowSender())

    def _opened(self, conn):
        reader = RequestReader(self._cfg, self._options.chunked)
        conn.state = _Caller(reader, time.monotonic(), self._cfg.idle_timeout)
        self._callers.add(conn)

    def _received(self, conn, data):
        caller = conn.state
        if caller.exchange is None and caller.reader.idle:
            caller.since = time.monotonic()
        caller.reader.feed(data)
        self._advance(conn)

    def _advance(self, conn):
        """Serve what has come, one request at a time and in order.

        Guard: a caller may pipeline hundreds of requests. An answer that is given at
        once calls this again from within, which would exhaust the stack; answers that
        nobody reads would pile up, and so would requests.
        """
        caller = conn.state
        if caller.advancing:
            return
        caller.advancing = True
        while caller.exchange is None and not (conn.congested or conn.closing):
            if not self._take(conn):
                break
        caller.advancing = False
        if caller.exchange is None and not conn.congested:
            self._streams.resume(conn)
        elif not caller.reader.idle:
            self._streams.pause(conn)

    def _take(self, conn):
        """Serve the next whole request, if there is one."""
        caller = conn.state
        try:
            req = caller.reader.take()
        except ChervilwingError as exc:
            self._reject(conn, exc)
            return False
        if req is None:
            if caller.reader.expects_continue:
                self._streams.send(conn, CONTINUE)
            return False
        caller.exchange = Exchange(req, self, conn)
        self._owner.requested(caller.exchange)
        return True

    def _reject(self, conn, exc):
        conn.state.exchange = Exchange(NO_REQUEST, self, conn)
        conn.state.exchange.refuse(exc)

    def _drained(self, conn):
        exchange = conn.state.exchange
        if exchange is None:
            self._advance(conn)
        elif exchange.on_drain is not None:
            exchange.on_drain()

    def _ended(self, conn):
        """Tell whether a caller that has closed its half still waits for an answer.

        Guard: a caller that has left looks the same until something is written to it.
        A stream is written to all the time; before that, an early answer that every
        client passes over brings out the reset (RFC 9110, section 15.2).
        """
        exchange = conn.state.exchange
        if exchange is None or not self._options.half_open:
            return False
        if exchange.req.chunks and not exchange.started:
            self._streams.send(conn, CONTINUE)
        return True

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
    chunks: bool = True


NO_REQUEST = _NoRequest()


def ignore(exchange, exc):
    """Do nothing about a failure but answer it."""


def guard(serve, note=ignore):
    """Answer every typed failure of ``serve`` as a problem document, and note it."""

    def served(exchange):
        try:
            serve(exchange)
        except ChervilwingError as exc:
            note(exchange, exc)
            exchange.refuse(exc)
        except Exception:
            note(exchange, ChervilwingError())
            exchange.refuse(ChervilwingError())
            raise

    return served
