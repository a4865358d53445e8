"""HTTP calls to upstreams and to the platform, one call at a time on a connection."""

import errno
import re
import time
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .addresses import format_address
from .bodies import LENGTH_FRAMING
from .clocks import read_boottime
from .exceptions import (
    NOT_RUN,
    UNKNOWN,
    BadRequest,
    ConnectionBroken,
    ConnectionRefused,
    PathBroken,
    PathSilent,
    PathUnavailable,
    ReplyTooLarge,
    ReplyTooSlow,
    TunnelLost,
    TunnelNotOpened,
    TunnelRefused,
    TunnelRejected,
    UpstreamFailed,
    UpstreamSilent,
    UpstreamUnreachable,
)
from .logs import log_event, log_failure
from .models import Address
from .parsers import HttpHead, ResponseReader
from .reply_bounds import (
    KEPT_REPLY,
    MAX_SHARED_BYTES,
    RefusedReplies,
    ReplyBound,
    check_size,
    check_time,
)
from .sockets import StreamHandlers, Streams
from .tunnels import Tunnel, TunnelPeer
from .work import FAILED, PATH_SILENT, SILENT

# Idle connections kept for each address, as many as a pool worker has slots. Without
# them a burst of short calls would cost one handshake each; without a limit the number
# of sockets would grow without bound.
MAX_IDLE_CONNECTIONS = 8
# Method and target of a request that only tests whether a server is available
# (RFC 9110, section 9.3.7).
PROBE_REQUEST = ("OPTIONS", "*")
# Methods whose empty body needs no Content-Length (RFC 9110, section 8.6).
BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})
KEEP_ALIVE_PATTERN = re.compile(r"timeout=([0-9]{1,6})")
# Seconds by which a connection stops being reused before the upstream would close it.
# If the upstream closes a connection while a request is on its way, it is unknown
# whether the request ran. The margin covers the network delay and a late timer at the
# upstream.
IDLE_MARGIN = 0.5
# Answers to earlier calls, and bytes of their bodies, that are skipped before a call's
# own answer. An upstream may send them without end.
MAX_SKIPPED_ANSWERS = 16
MAX_SKIPPED_BYTES = 4 * 1024 * 1024
# Bytes from which on an answer counts as large, and the part of their time in which the
# large answers of a process are read. An answer without end would otherwise keep the
# event loop busy until its deadline, and new connections would be rejected meanwhile.
LARGE_ANSWER = 1024 * 1024
LARGE_ANSWERS_PART = 0.5
# The same for a shared reply, which nobody waits for.
LARGE_REPLY = 128 * 1024
# Bytes of a request's body that are written together with its head.
MAX_JOINED_BODY = 16384
# Failure types and the outcomes reported to the scheduler; the first match counts.
FAILURE_OUTCOMES = (
    (PathSilent, PATH_SILENT),
    (UpstreamSilent, SILENT),
    (UpstreamFailed, FAILED),
)
# Failure types by the error of a connection through another instance.
TUNNEL_FAILURES = {
    TunnelNotOpened: PathUnavailable,
    TunnelRefused: UpstreamUnreachable,
    TunnelRejected: UpstreamUnreachable,
    TunnelLost: PathBroken,
}


def get_attempt_outcome(exc):
    """Return the scheduler's outcome for a call that failed with ``exc``."""
    return next(
        outcome for exc_type, outcome in FAILURE_OUTCOMES if isinstance(exc, exc_type)
    )


class Call(NamedTuple):
    """One HTTP request to an outside system; times are in seconds.

    ``new_connection`` opens a new connection: the upstream may already have closed one
    that was kept alive, and it is then unknown whether a request written to it ran.
    ``send_before`` is a time on the monotonic clock, from which on the request is no
    longer sent. ``probe_if_silent`` makes the client send a probe on a new connection
    before a silent call fails. ``host`` replaces the address in the Host field.
    Connections idle for ``max_idle_time`` or longer are not reused, and at most
    ``max_idle`` idle ones are kept for the address. ``is_answer`` returns False for the
    answer to an earlier call. ``is_unmarked`` returns True for an answer that doesn't
    state its call; it belongs to none if the answer before it on the connection did
    state its own. ``body_until_close`` accepts an orderly close of the
    connection as the end of an answer that has no length. ``via`` is the instance
    through which to connect, None for a direct connection. ``connect_only`` ends the
    call once a new connection is open, without sending anything. A reply beyond
    ``bound`` fails with ReplyTooLarge or ReplyTooSlow.
    """

    address: Address
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    connect_timeout: float = 1.0
    silence_timeout: float = 5.0
    new_connection: bool = False
    send_before: float = float("inf")
    probe_if_silent: bool = True
    host: str = ""
    max_idle_time: float = float("inf")
    max_idle: int = MAX_IDLE_CONNECTIONS
    is_answer: Callable[[HttpHead], bool] | None = None
    is_unmarked: Callable[[HttpHead], bool] | None = None
    body_until_close: bool = False
    via: TunnelPeer | None = None
    connect_only: bool = False
    bound: ReplyBound = KEPT_REPLY


class CallHandlers(NamedTuple):
    """Callbacks of one call: its head, each piece of the body, its end or failure."""

    head: Callable[[int, dict[str, str]], None]
    data: Callable[[bytes], None]
    done: Callable[[], None]
    failed: Callable[[UpstreamFailed], None]
    # Called when a new connection for the call has opened.
    opened: Callable[[], None] = lambda: None


class CallState:
    """State of one call; ``finished`` is set once it has ended or was cancelled."""

    __slots__ = (
        "call",
        "handlers",
        "reader",
        "began",
        "conn",
        "finished",
        "head_delivered",
        "last_activity",
        "paused",
        "received",
        "skipped_answers",
        "skipped_bytes",
    )

    def __init__(self, call, handlers, now):
        self.call = call
        self.handlers = handlers
        self.reader = ResponseReader(call.method)
        self.conn = None
        self.finished = False
        self.head_delivered = False
        self.began = self.last_activity = now
        self.paused = False
        self.received = 0
        self.skipped_answers = 0
        self.skipped_bytes = 0

    def has_large_answer(self):
        """Return whether its answer is large, and isn't a sized one read slowly.

        If such a call ends at a deadline, its answer may have no end.
        """
        sized = self.reader.framing == LENGTH_FRAMING
        return self.received > LARGE_ANSWER and not (sized and self.paused)


def encode_call_head(call):
    """Return the head of the request as bytes."""
    lines = [f"{call.method} {call.path} HTTP/1.1"]
    lines.append(f"Host: {call.host or format_address(call.address)}")
    if call.body or call.method not in BODILESS_METHODS:
        lines.append(f"Content-Length: {len(call.body)}")
    lines += [f"{name}: {value}" for name, value in call.headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def log_refused(address, method, path, exc):
    """Log that replies to a call are refused, or no longer if ``exc`` is None."""
    fields = {"address": format_address(address), "call": f"{method} {path}"}
    if exc is None:
        log_event("replies accepted again", **fields)
        return
    log_event("reply refused", **fields, cause=exc.type, detail=exc.detail)


def read_idle_limit(headers):
    """Return for how many seconds an idle connection to an upstream may be reused.

    That is the timeout in its Keep-Alive field less IDLE_MARGIN, or infinity.
    """
    match = KEEP_ALIVE_PATTERN.search(headers.get("keep-alive", ""))
    return max(0.0, int(match.group(1)) - IDLE_MARGIN) if match else float("inf")


class Client(BaseComponent):
    """Own the connections to outside systems.

    A connection carries one call at a time and is closed unless the whole answer,
    including its end, was read from it. Otherwise a call could receive the rest of an
    earlier call's answer.
    """

    channel = "client"

    def __init__(self, poller, channel="client"):
        super().__init__(channel=channel)
        self._idle: dict[Address, list] = defaultdict(list)
        self._active: set[CallState] = set()
        self._probes: dict[Address, CallState] = {}
        # Calls whose large answers are not read until the next tick, and the seconds
        # left for such answers until then.
        self._deferred: set[CallState] = set()
        self._large_time_left = 0.0
        self._ticked_at = time.monotonic()
        self._shared_bytes = 0
        self.refused_replies = RefusedReplies(log_refused)
        # When bytes last arrived over a direct connection, by read_boottime().
        self.received_at = float("-inf")
        handlers = StreamHandlers(self._opened, self._received, self._closed)
        self._streams = Streams(poller, handlers, f"{channel}-streams").register(self)

    def submit(self, call, handlers):
        """Start a call and return its state."""
        state = CallState(call, handlers, time.monotonic())
        conn = self._pop_idle(call)
        if conn is None:
            tunnel = Tunnel(call.via, call.address) if call.via else None
            conn = self._streams.dial(call.address, tunnel)
            conn.last_activity = state.last_activity
        conn.state = state
        conn.sent = 0
        state.conn = conn
        self._active.add(state)
        if not call.connect_only:
            self._send(conn, call)
        return state

    def _send(self, conn, call):
        # An upstream could answer the head alone and close before the body arrives.
        # Only a close with unread bytes is a reset, by which a broken answer without a
        # length is told from a whole one.
        first = call.body[:MAX_JOINED_BODY]
        self._streams.send(conn, encode_call_head(call) + first)
        if len(call.body) > MAX_JOINED_BODY:
            # A copy of each large body would double the memory that it takes.
            self._streams.send(conn, memoryview(call.body)[MAX_JOINED_BODY:])

    def cancel(self, state):
        """Abort the call, close its connection and run none of its callbacks.

        Does nothing if the call is over.
        """
        if state.finished:
            return
        self._end(state)
        self._drop_call(state.conn)

    def _drop_call(self, conn):
        """Close a call's connection; a tunnel must not deliver what it still holds."""
        self._streams.drop(conn, reset=conn.tunnel is not None)

    def pause(self, state):
        """Stop reading the answer until ``resume``."""
        # The connection of a call that is over may carry another call by now.
        if state.finished:
            return
        state.paused = True
        self._streams.pause(state.conn)

    def resume(self, state):
        """Continue to read a paused answer."""
        if state.finished or not state.paused:
            return
        state.paused = False
        state.last_activity = time.monotonic()
        if state not in self._deferred:
            self._streams.resume(state.conn)

    def close_idle(self, address):
        """Close all idle connections to an address."""
        for conn in self._idle.pop(address, []):
            self._streams.drop(conn)

    def close_idle_matching(self, matches):
        """Close the idle connections for which ``matches`` returns true."""
        for conns in list(self._idle.values()):
            for conn in [conn for conn in conns if matches(conn)]:
                self._streams.drop(conn)

    def is_connected(self, address):
        """Return whether any direct connection to an address is open."""
        if any(conn.tunnel is None for conn in self._idle.get(address, ())):
            return True
        return any(
            item.call.address == address
            and not item.conn.connecting
            and item.conn.tunnel is None
            for item in self._active
        )

    def count_active(self):
        """Return the number of calls in progress."""
        return len(self._active)

    def count_idle(self):
        """Return the number of idle connections."""
        return sum(map(len, self._idle.values()))

    @handler("tick", channel="*")
    def _on_tick(self):
        """Time out calls whose connection has received nothing for too long.

        A device between the two ends can drop a connection's state without notice to
        either; without a timeout the caller would wait forever.
        """
        now = time.monotonic()
        self._resume_large(now)
        for state in list(self._active):
            if state.finished or self._end_slow(state, now):
                continue
            if not self._is_silent(state, now):
                continue
            if state.conn.tunnel is None:
                self.close_idle(state.call.address)
            probe = self._probes.get(state.call.address)
            no_probe = state.conn.connecting or not state.call.probe_if_silent
            if no_probe or state is probe:
                self._fail(state, "No answer in time.", UpstreamSilent)
            elif probe is None:
                self._probe(state.call, now)

    def _resume_large(self, now):
        """Read deferred answers again, for a part of the time until the next tick."""
        self._large_time_left = LARGE_ANSWERS_PART * (now - self._ticked_at)
        self._ticked_at = now
        deferred, self._deferred = self._deferred, set()
        for state in deferred:
            state.last_activity = now
            if not state.paused:
                self._streams.resume(state.conn)

    def _end_slow(self, state, now):
        """Return whether a call ended because its reply takes too long.

        A reply of single bytes never ends by the silence timeout. Without any byte, the
        call is left to that.
        """
        if not state.received:
            return False
        call = state.call
        try:
            check_time(call.bound, call.silence_timeout, now - state.began)
        except ReplyTooSlow as exc:
            self._refuse(state, exc)
        return state.finished

    def _is_silent(self, state, now):
        call = state.call
        connecting = state.conn.connecting
        limit = call.connect_timeout if connecting else call.silence_timeout
        return not state.paused and now - state.last_activity > limit

    def _probe(self, call, now):
        """Test on a new connection whether the upstream or only the path is down."""
        quiet_since = now - call.silence_timeout / 2
        end_calls = lambda answered: self._end_silent_calls(
            call.address, quiet_since, answered
        )
        handlers = CallHandlers(
            head=lambda status, headers: None,
            data=lambda data: None,
            done=lambda: end_calls(True),
            failed=lambda exc: end_calls(False),
        )
        timeout = call.connect_timeout
        probe = Call(
            call.address, *PROBE_REQUEST, {}, b"", timeout, timeout, new_connection=True
        )
        self._probes[call.address] = self.submit(probe, handlers)

    def _end_silent_calls(self, address, quiet_since, answered):
        """Fail the silent calls of an address after its probe has ended.

        If the probe was answered, calls on other old connections fail too: a device
        that dropped the state of one connection has usually dropped that of all
        connections of the same age, and each call would wait for its own timeout. A
        connection that received anything within the last half of the probed call's
        timeout counts as working. A call that must not be repeated, and so has a
        connection of its own, keeps waiting, as it can't be sent elsewhere.
        """
        del self._probes[address]
        now = time.monotonic()
        exc_type = PathSilent if answered else UpstreamSilent
        for state in [item for item in self._active if item.call.address == address]:
            # The callback for one failed call may have cancelled another call.
            if state.finished:
                continue
            stale = (
                not state.call.new_connection and state.conn.last_activity < quiet_since
            )
            lost = answered and stale and not state.paused
            if lost or self._is_silent(state, now):
                self._fail(state, "The connection has gone silent.", exc_type)

    def _pop_idle(self, call):
        if call.new_connection or call.connect_only:
            return None
        idle = self._idle.get(call.address, [])
        now = time.monotonic()
        while idle:
            conn = idle.pop()
            # Where the direct path works, no other instance is to be burdened.
            if conn.tunnel is not None and call.via is None:
                self._streams.drop(conn)
                continue
            if now - conn.last_activity < min(call.max_idle_time, conn.idle_limit):
                return conn
            self._streams.drop(conn)
        return None

    def _opened(self, conn):
        conn.last_activity = time.monotonic()
        state = conn.state
        if state is None:
            return
        state.last_activity = conn.last_activity
        state.handlers.opened()
        if state.call.connect_only:
            self._end(state)
            self._drop_call(conn)
            state.handlers.done()
            return
        # A process that was suspended while it connected would otherwise send an order
        # under a lease that has expired since the check before ``submit``.
        if state.last_activity >= state.call.send_before:
            self._fail(state, "The connection opened too late to send the request.")

    def _received(self, conn, data):
        if conn.tunnel is None:
            self.received_at = read_boottime()
        state = conn.state
        if state is None:
            self._streams.drop(conn)
            return
        state.last_activity = conn.last_activity = time.monotonic()
        state.received += len(data)
        if state.call.bound.shared:
            self._count_shared(len(data))
        if not state.finished:
            self._read(state, data)
        large = LARGE_REPLY if state.call.bound.shared else LARGE_ANSWER
        if state.received > large and not state.finished:
            self._large_time_left -= time.monotonic() - state.last_activity
            if self._large_time_left <= 0.0:
                self._deferred.add(state)
                self._streams.pause(conn)

    def _count_shared(self, size):
        """Count bytes of shared replies; beyond the limit, refuse the largest reply."""
        self._shared_bytes += size
        if self._shared_bytes <= MAX_SHARED_BYTES:
            return
        shared = [state for state in self._active if state.call.bound.shared]
        largest = max(shared, key=lambda state: state.received)
        detail = f"All replies together are larger than {MAX_SHARED_BYTES} bytes."
        self._refuse(largest, ReplyTooLarge(detail))

    def _read(self, state, data):
        try:
            body = self._skip_earlier_answers(state, state.reader.feed(data))
            check_size(state.call.bound, state.received, state.reader.missing)
        except BadRequest as exc:
            self._fail(state, str(exc))
            return
        except ReplyTooLarge as exc:
            self._refuse(state, exc)
            return
        if body is None:
            return
        try:
            self._deliver(state, body)
        except Exception as exc:
            # A bug in a callback would leave the caller waiting forever; reported as a
            # failed call, the request still gets an answer.
            log_failure("answer handler", exc)
            self._fail_unhandled(state)

    def _fail_unhandled(self, state):
        if not state.finished:
            self._end(state)
            self._streams.drop(state.conn)
        state.handlers.failed(
            UpstreamFailed("The answer was not handled: internal error.")
        )

    def _skip_earlier_answers(self, state, body):
        """Return the bytes that belong to the call's own answer, None if none do.

        Raise BadRequest if the answers to earlier calls don't end.
        """
        while self._is_for_earlier_call(state):
            state.skipped_bytes += len(body)
            if state.skipped_bytes > MAX_SKIPPED_BYTES:
                raise BadRequest("The answer to an earlier call is too long.")
            if not state.reader.complete:
                return None
            state.skipped_answers += 1
            if state.skipped_answers > MAX_SKIPPED_ANSWERS:
                raise BadRequest("Too many answers to earlier calls.")
            body = self._read_next_answer(state)
        return body

    def _deliver(self, state, body):
        if not state.head_delivered and state.reader.head is not None:
            state.head_delivered = True
            state.handlers.head(*state.reader.head)
        if body and not state.finished:
            state.handlers.data(body)
        if state.reader.complete and not state.finished:
            self._release(state)
            self.refused_replies.record_whole(state.call)
            state.handlers.done()

    def _is_for_earlier_call(self, state):
        """Return whether the answer being read belongs to an earlier call.

        A faulty upstream may answer one request twice, the second time while the next
        call waits on this connection. The next call's caller would then receive the
        answer to another request.
        """
        head, is_answer = state.reader.head, state.call.is_answer
        if head is not None and self._lost_mark(state, head):
            return True
        return head is not None and is_answer is not None and not is_answer(head)

    def _lost_mark(self, state, head):
        """Return whether only this answer on a connection doesn't state its call.

        Bytes that a faulty upstream sends after an answer may look like another one.
        """
        is_unmarked = state.call.is_unmarked
        return (
            state.conn.marks_answers and is_unmarked is not None and is_unmarked(head)
        )

    def _read_next_answer(self, state):
        rest = state.reader.rest
        state.reader = ResponseReader(state.call.method)
        return state.reader.feed(rest)

    def _release(self, state):
        conn = state.conn
        head = state.reader.head
        # The read that paused an answer may also have completed it. If the connection
        # stayed paused, the next call's answer would never be read.
        self.resume(state)
        self._end(state)
        idle = self._idle[state.call.address]
        # An answer may arrive before the whole request was sent. The upstream would
        # take the next request's bytes for the rest of this request's body.
        reusable = state.reader.reusable and not conn.pending
        if conn.tunnel is not None and not conn.tunnel.reusable:
            reusable = False
        if reusable and len(idle) < state.call.max_idle:
            conn.idle_limit = read_idle_limit(head.headers)
            is_unmarked = state.call.is_unmarked
            conn.marks_answers = is_unmarked is not None and not is_unmarked(head)
            idle.append(conn)
            return
        self._streams.drop(conn)

    def _closed(self, conn, exc):
        idle = self._idle.get(conn.address, [])
        if conn in idle:
            idle.remove(conn)
        state = conn.state
        if state is None or state.finished:
            return
        ends_at_close = state.call.body_until_close and state.reader.until_close
        if exc is None and state.head_delivered and ends_at_close:
            self._end(state)
            state.handlers.done()
            return
        if type(exc) in TUNNEL_FAILURES:
            self._fail(state, str(exc), TUNNEL_FAILURES[type(exc)])
            return
        reason = f": {errno.errorcode.get(exc.errno, exc.errno)}" if exc else ""
        refused = isinstance(exc, ConnectionRefusedError)
        exc_type = ConnectionRefused if refused else ConnectionBroken
        self._fail(state, f"The connection broke off{reason}.", exc_type)

    def _refuse(self, state, exc):
        """Close a call's connection and fail it because its reply exceeds a bound."""
        self.refused_replies.record_refused(state.call, exc)
        self._fail(state, exc.detail, type(exc))

    def _fail(self, state, detail, exc_type=UpstreamFailed):
        conn = state.conn
        # The request certainly did not run only if no byte of it was sent.
        outcome = UNKNOWN if conn.sent else NOT_RUN
        self._end(state)
        self._drop_call(conn)
        state.handlers.failed(exc_type(detail, outcome=outcome))

    def _end(self, state):
        state.finished = True
        state.conn.state = None
        if state in self._active and state.call.bound.shared:
            self._shared_bytes -= state.received
        self._active.discard(state)
        if state in self._deferred:
            # The next call on the connection must be read at once.
            self._deferred.remove(state)
            self._streams.resume(state.conn)
