"""HTTP server: read callers' requests and write answers with bounded buffers."""

import time
from collections.abc import Callable
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .bulk_queue import BulkQueue
from .caller_budget import RECEIVE_BUFFER, CallerBudget
from .caller_memory import ANSWER, BODY, REQUEST, RETRY_AFTER, CallerHolding
from .exceptions import ChervilwingError, InstanceFull, SlowSender
from .exchanges import UNREADABLE_REQUEST, Exchange
from .request_reader import DEFAULT_OPTIONS, ReaderOptions, RequestReader
from .sockets import Acceptance, StreamHandlers, Streams
from .waiting_callers import (
    ENDING,
    READING,
    STALLED_AFTER,
    UNUSED,
    USED,
    WaitingCallers,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Seconds within which a caller must close its half of a connection after the last byte
# of the answer. Callers refused during a large upload would hold their sockets longer.
LINGER_TIMEOUT = 2.0
# Bytes of a request's head and body, or of requests sent ahead, from which on a caller
# is served in the share of time for bulk work.
BULK_INPUT = 4096
# Seconds for which one caller's requests sent ahead are served before others' turn, and
# the estimated seconds of such a request's call to an upstream.
MAX_TURN = 0.005
CALL_TIME = 0.0003
# Estimated seconds to read and discard bytes once.
DISCARD_TIME = 0.00002
# Bytes that the kernel may receive of a body for which room was reserved.
BODY_RECEIVE_BUFFER = 65536
# Bytes that the kernel holds of an answer whose caller doesn't read: twice the buffer
# of the connection to the upstream.
UNREAD_UPSTREAM_BYTES = 65536
# Bytes of an answer that are kept until it is whole, however little memory is left.
SMALL_ANSWER = 16384
# Bytes that each unsent piece of an answer takes besides its content.
BYTES_PER_PIECE = 200
# Seconds without progress after which an unread answer gives way while callers have too
# many connections, or hold more than there is room for.
UNREAD_AFTER = 0.1
# Bytes per second below which a body may have to give way to another one.
MIN_BODY_RATE = 65536


def is_slow(caller, now):
    """Return whether a body arrives so slowly that it may give way to another one."""
    return caller.reader.body_size < MIN_BODY_RATE * (now - caller.waiting_since)


def list_unread(conns, now, least_age):
    """Return the connections whose callers don't read, the longest stalled first.

    ``least_age`` is the time without progress in seconds.
    """
    stalled = [
        conn
        for conn in conns
        if conn.pending_size and now - conn.progress_at >= least_age
    ]
    return sorted(stalled, key=lambda conn: conn.progress_at)


def refuse(exchange, exc):
    """Answer a request that is refused before its body was received."""
    exchange.answer_problem(exc)


class WebHandlers(NamedTuple):
    """Callbacks for a whole request and for a caller that has disconnected.

    ``refused`` answers a request that is refused before its body was received.
    """

    requested: Callable[["Exchange"], None]
    disconnected: Callable[["Exchange"], None]
    refused: Callable[["Exchange", ChervilwingError], None] = refuse


class WebOptions(NamedTuple):
    """Protocol options of one listener.

    ``answer_half_closed`` still answers a caller that has closed its sending half.
    ``max_callers`` limits the connections, None for the limit that the budget states.
    ``reader`` says how requests are read. ``urgent`` serves this listener's callers
    before those of others.
    """

    answer_half_closed: bool = True
    max_callers: int | None = None
    reader: ReaderOptions = DEFAULT_OPTIONS
    urgent: bool = False


class _Caller:
    """State of one caller's connection."""

    __slots__ = (
        "reader",
        "exchange",
        "waiting_since",
        "last_sent",
        "serving",
        "widened",
        "idle_limit",
        "has_sent",
        "holding",
    )

    def __init__(self, reader, holding, now, idle_limit):
        self.reader = reader
        self.holding = holding
        self.idle_limit = idle_limit
        self.exchange = None
        self.waiting_since = now
        self.last_sent = 0
        self.serving = False
        # Whether the kernel may receive more of its bodies.
        self.widened = False
        # Whether a request was received on the connection.
        self.has_sent = False


class Web(BaseComponent):
    """Serve HTTP/1.1 on one listening address.

    All listeners of a process share one CallerBudget.
    """

    channel = "web"

    def __init__(self, cfg, poller, handlers, channel="web", options=None, budget=None):
        super().__init__(channel=channel)
        self._cfg = cfg
        self._options = options or WebOptions()
        self._budget = budget or CallerBudget()
        self._callbacks = handlers
        # Whether answers announce the close of their connections, and whether those are
        # closed of which that wasn't announced.
        self.stopping = False
        self._closes_idle = False
        # Requests received whole so far.
        self.requests = 0
        self._callers = set()
        self._waiting = WaitingCallers()
        self._bulk = BulkQueue(
            self._budget.bulk_time, self._serve_bulk, f"{channel}-bulk"
        ).register(self)
        self._intake = None
        streams = StreamHandlers(
            self._opened,
            self._received,
            self._closed,
            self._drained,
            self._half_closed,
            self._discarded,
        )
        self._streams = Streams(
            poller, streams, f"{channel}-streams", self._options.urgent
        ).register(self)

    def listen(self, address, intake=None):
        """Accept callers and return the address that was bound.

        With an Intake, callers beyond its limit are rejected before they are read.
        """
        self._intake = intake
        acceptance = Acceptance(intake, self._make_place, RECEIVE_BUFFER)
        return self._streams.listen(address, acceptance)

    def stop_listening(self):
        """Close the listener and end keep-alive; open connections continue."""
        self.stopping = True
        self._streams.stop_listening()

    def close_idle(self):
        """Close the connections on which no byte of a request has been received."""
        self._closes_idle = True
        for conn in list(self._callers):
            if conn.state.exchange is None and conn.state.reader.idle:
                self._streams.close(conn)

    def refuse_partial(self, exc):
        """Refuse the requests that were received in part, or wait to be served."""
        for conn in list(self._callers):
            caller = conn.state
            if caller.exchange is None and not (caller.reader.idle or conn.closing):
                self._bulk.discard(conn)
                self._reject(conn, exc)

    def send(self, conn, data):
        """Write bytes to a caller's connection."""
        self._streams.send(conn, data)
        if conn.pending_size:
            self._hold_answer(conn)

    def _hold_answer(self, conn):
        """Account for what a caller hasn't read, here and in its upstream's socket."""
        size = conn.pending_size + BYTES_PER_PIECE * len(conn.pending)
        if conn.congested:
            size += UNREAD_UPSTREAM_BYTES
        conn.state.holding.hold(ANSWER, size, force=True)

    def may_buffer(self, conn, size):
        """Return whether ``size`` bytes of an answer may be kept until it is whole."""
        return size <= SMALL_ANSWER or conn.state.holding.hold(ANSWER, size)

    def drop(self, conn):
        """Close a caller's connection at once."""
        self._streams.drop(conn)

    def cut_unfinished(self, unread_only=False):
        """Close the connections whose requests are in flight; return how many.

        With ``unread_only`` only those whose callers don't read their answers.
        """
        now = time.monotonic()
        conns = self._callers
        if unread_only:
            conns = list_unread(conns, now, UNREAD_AFTER)
        unfinished = [conn for conn in conns if conn.state.exchange is not None]
        for conn in unfinished:
            self._streams.drop(conn)
        return len(unfinished)

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
        caller.holding.release(REQUEST, BODY)
        if not conn.pending:
            caller.holding.release(ANSWER)
        if not keep_alive or conn.half_closed or self._ends(caller):
            caller.reader.discard()
            self._hold_answer(conn)
            self._waiting.add(conn, ENDING, caller.waiting_since)
            self._streams.linger(conn)
            return
        self._waiting.add(
            conn, USED if caller.reader.idle else READING, caller.waiting_since
        )
        if not caller.reader.idle and not self._budget.bulk_time.spend(CALL_TIME):
            self._defer(conn)
        self._serve_received(conn)

    def _ends(self, caller):
        """Return whether a kept connection is closed after an answer."""
        return self._closes_idle and caller.reader.idle

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
        self._budget.bulk_time.refill(now)
        # Listeners with a limit of their own have nothing large to free.
        if self._options.max_callers is None:
            self._free_memory(now)
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
            full = self._bulk.is_waiting(conn)
            exc = InstanceFull(retry_after=RETRY_AFTER) if full else SlowSender()
            self._reject(conn, exc)

    def _make_place(self):
        """Return whether one more connection may be accepted.

        If there are too many, one that carries nothing is closed, else one whose
        request or whose answer makes no progress.
        """
        limit = self._options.max_callers or self._budget.max_callers
        if len(self._callers) < limit:
            return True
        now = time.monotonic()
        conn = self._waiting.find_replaceable(now)
        if conn is None:
            conn = next(iter(list_unread(self._callers, now, UNREAD_AFTER)), None)
        if conn is None:
            return False
        self._streams.drop(conn)
        return True

    def _free_memory(self, now):
        """Close connections that make no progress while memory is short."""
        memory = self._budget.memory
        unread_after = UNREAD_AFTER if memory.excess else STALLED_AFTER
        shortage = memory.take_shortage()
        if shortage <= 0:
            return
        for conn in self._waiting.list_stalled(now):
            if shortage > 0 and is_slow(conn.state, now):
                shortage -= conn.state.holding.get(BODY)
                self._reject(conn, SlowSender())
        for conn in list_unread(self._callers, now, unread_after):
            if shortage <= 0:
                return
            shortage -= conn.state.holding.get(ANSWER)
            self._streams.drop(conn)

    def _opened(self, conn):
        holding = CallerHolding(self._budget.memory)
        reader = RequestReader(self._cfg, holding, self._options.reader)
        conn.state = _Caller(reader, holding, time.monotonic(), self._cfg.idle_timeout)
        self._callers.add(conn)
        self._waiting.add(conn, UNUSED, conn.state.waiting_since)

    def _received(self, conn, data):
        caller = conn.state
        began = time.monotonic()
        if caller.exchange is None and caller.reader.idle:
            caller.waiting_since = began
        caller.reader.feed(data)
        if caller.reader.size <= BULK_INPUT:
            self._serve_received(conn)
        elif self._budget.bulk_time.left <= 0.0:
            self._defer(conn)
        else:
            self._serve_received(conn)
            self._budget.bulk_time.spend(time.monotonic() - began)
        if conn in self._callers and not (caller.exchange or caller.reader.idle):
            self._waiting.add_reading(conn, caller.waiting_since)

    def _discarded(self, conn, size):
        if not self._budget.bulk_time.spend(DISCARD_TIME):
            self._defer(conn)

    def _defer(self, conn):
        """Serve and read a caller later, in the share of time for bulk work."""
        self._bulk.add(conn)
        self._streams.pause(conn)

    def _serve_bulk(self, conn):
        if conn.closing:
            self._streams.resume(conn)
        else:
            self._serve_received(conn)

    def _serve_received(self, conn):
        """Serve the received requests one at a time and in order.

        A caller may pipeline hundreds of requests. An answer sent at once calls this
        method recursively, which would exhaust the stack, hence ``serving``. While the
        caller doesn't read its answers, no further request is served or read.
        """
        caller = conn.state
        if caller.serving or self._bulk.is_waiting(conn):
            return
        caller.serving = True
        until = time.monotonic() + MAX_TURN
        while caller.exchange is None and not (conn.congested or conn.closing):
            if not self._serve_next(conn):
                break
            if time.monotonic() > until and not caller.reader.idle:
                self._defer(conn)
                break
        caller.serving = False
        if self._bulk.is_waiting(conn):
            return
        if caller.exchange is None and not conn.congested:
            self._streams.resume(conn)
        elif not caller.reader.idle:
            self._streams.pause(conn)
        elif caller.exchange is not None:
            # Otherwise it would not be noticed that the caller leaves.
            self._streams.resume(conn)

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
            if not caller.widened and caller.holding.get(BODY) > BODY_RECEIVE_BUFFER:
                caller.widened = True
                self._streams.widen(conn, BODY_RECEIVE_BUFFER)
            return False
        self._waiting.remove(conn)
        self.requests += 1
        caller.exchange = Exchange(req, self, conn)
        if self._intake is not None:
            self._intake.record_request(time.monotonic(), not caller.has_sent)
        caller.has_sent = True
        self._callbacks.requested(caller.exchange)
        return True

    def _reject(self, conn, exc):
        """Answer a request that isn't read to its end, and end its connection."""
        caller = conn.state
        self._waiting.remove(conn)
        head = caller.reader.head
        if head is None:
            caller.exchange = Exchange(UNREADABLE_REQUEST, self, conn)
            caller.exchange.answer_problem(exc)
            return
        # What follows on the connection may be the rest of the body.
        caller.exchange = Exchange(head._replace(keep_alive=False), self, conn)
        self._callbacks.refused(caller.exchange, exc)

    def _drained(self, conn):
        exchange = conn.state.exchange
        if conn.state.holding.get(ANSWER) and (exchange is None or exchange.started):
            self._hold_answer(conn)
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
        self._waiting.remove(conn)
        self._bulk.discard(conn)
        conn.state.holding.close()
        exchange = conn.state.exchange
        if exchange is None or exchange.finished:
            return
        exchange.disconnected = True
        self._callbacks.disconnected(exchange)
