"""Non-blocking TCP sockets on circuits' poller: accept, dial, read and write.

`circuits.net` fires three events for each chunk of data and doesn't report when a slow
reader has caught up. Here the poller calls the component directly, each write is tried
at once, and the size of the write buffers is known.
"""

import errno
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple

from circuits.core import BaseComponent, handler

from .exceptions import TunnelError
from .logs import log_failure
from .models import Address

READ_SIZE = 65536
ACCEPTS_PER_EVENT = 64
# Connections that wait to be accepted. Beyond it, opening packets are dropped and sent
# again a second later.
BACKLOG = 4096
# Bytes buffered for a slow reader above which its sender must pause, and the level at
# which the sender may continue. They bound the memory for stalled readers: 590 streams
# of 64 KB stay under 40 MB, and a node has 128 MB for the control plane.
HIGH_WATER = 65536
LOW_WATER = 16384
# Bytes of a socket's kernel buffer in each direction. By default it grows to 4 MB and
# more, so that an engine would write a whole answer to a caller that reads nothing.
# Callers are at most three milliseconds away, so 128 KB in flight carry 40 MB a second.
KERNEL_BUFFER_SIZE = 131072
# A probe is sent after a second without data and again after each further second. The
# connection of a peer that falls silent for a second or two must survive, although its
# last data may be a second old when that begins.
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
# Linux gives up on unanswered probes after TCP_USER_TIMEOUT, whatever their number, so
# that both must say the same.
PATH_TIMEOUT_MS = 1000 * KEEPALIVE_SECONDS * (1 + KEEPALIVE_PROBES)
# Bytes of the kernel's receive buffer of a dialled connection. While it isn't read, as
# its caller reads slowly, that is what this process holds for it.
RECEIVE_BUFFER_SIZE = 32768
# Seconds that a new connection waits while there are too many and none can be closed.
PLACE_WAIT = 0.8
# Seconds for which others are reset after that, so that they don't wait for as long one
# after the other.
FULL_TIME = 0.05
# Values of SO_LINGER: a reset, which discards what wasn't sent yet; an end in order.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ORDERLY_CLOSE = struct.pack("ii", 0, 0)
WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINPROGRESS)


def configure_socket(sock, receive_buffer=RECEIVE_BUFFER_SIZE):
    """Make a new socket non-blocking and set its buffer sizes and TCP_NODELAY."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_SIZE)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)


def set_path_timeout(sock):
    """Make the kernel close a connection whose path no longer responds.

    During a network partition nothing is answered or reset, so that a call would wait
    for its caller's whole deadline. With these options, unacknowledged data and
    unanswered keepalive probes close the connection within PATH_TIMEOUT_MS. The kernel
    of a slow upstream still acknowledges.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, PATH_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def get_family(address):
    """Return the family of the sockets for an Address."""
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET


def begin_connect(sock, address):
    """Begin to connect; return the OSError if that fails at once, or None.

    The poller reports nothing useful of a socket whose connecting has not begun.
    """
    try:
        code = sock.connect_ex(address)
    except OSError as exc:
        return exc
    return None if code in (0, *WOULD_BLOCK) else OSError(code, "connect failed")


class StreamHandlers(NamedTuple):
    """Callbacks for the events of a connection."""

    opened: Callable[["Conn"], None]
    received: Callable[["Conn", bytes], None]
    closed: Callable[["Conn", OSError | None], None]
    drained: Callable[["Conn"], None] = lambda conn: None
    # Called when the peer has closed its sending half. If it returns True, this side
    # may still send; otherwise the connection is closed.
    half_closed: Callable[["Conn"], bool] = lambda conn: False
    # Called with the bytes that were read and discarded from a closing connection.
    discarded: Callable[["Conn", int], None] = lambda conn, size: None


class Acceptance(NamedTuple):
    """Which connections a listener accepts.

    ``intake`` may reject new connections while the processor is busy, None for never.
    ``make_place`` is called before one is opened and returns whether there is room for
    it; without room, it waits for PLACE_WAIT and is reset then. ``receive_buffer`` is
    in bytes: what the kernel may hold of each connection, also before it is accepted.
    """

    intake: Any = None
    make_place: Callable[[], bool] = lambda: True
    receive_buffer: int = KERNEL_BUFFER_SIZE


ACCEPT_ALL = Acceptance()


class UnplacedSocket(NamedTuple):
    """A new connection that waits for a place since a time in seconds."""

    sock: socket.socket
    address: tuple
    since: float


# What is read from closing connections; its content doesn't matter.
DISCARDED = bytearray(READ_SIZE)


class Conn:
    """State of one connected, or connecting, socket.

    ``tunnel`` is its Tunnel if it leads through another instance, and else None. Until
    the tunnel is open, the connection counts as connecting.
    """

    __slots__ = (
        "sock",
        "address",
        "connecting",
        "closing",
        "error",
        "lingering",
        "marks_answers",
        "half_closed",
        "last_activity",
        "idle_limit",
        "paused",
        "pending",
        "pending_size",
        "progress_at",
        "reading",
        "resets",
        "sent",
        "tunnel",
        "writing",
        "state",
    )

    def __init__(self, sock, address, connecting):
        self.sock = sock
        self.address = address
        self.connecting = connecting
        self.closing = False
        # The error that a write met, None without one.
        self.error = None
        self.lingering = False
        self.half_closed = False
        # Whether the last answer on it stated to which call it belongs.
        self.marks_answers = False
        # Monotonic time at which the owner last received data, or connected.
        self.last_activity = 0.0
        # Seconds for which the connection may be reused after its last activity.
        self.idle_limit = float("inf")
        self.paused = False
        self.pending = deque()
        self.pending_size = 0
        # Monotonic time at which pending data was last written, or began to wait.
        self.progress_at = 0.0
        self.reading = False
        self.writing = False
        # Whether it is reset if it closes before all data has been written.
        self.resets = False
        self.sent = 0
        self.tunnel = None
        self.state: Any = None

    @property
    def congested(self):
        """Return whether so much data is buffered that its sender should pause."""
        return self.pending_size > HIGH_WATER


def is_opening_tunnel(conn):
    """Return whether a connection waits for the answer that opens its tunnel."""
    return conn.tunnel is not None and conn.tunnel.requested


class Streams(BaseComponent):
    """Own the sockets of one role and report their events to its callbacks."""

    channel = "streams"

    def __init__(self, poller, handlers, channel, urgent=False):
        super().__init__(channel=channel)
        self._poller = poller
        # Whether its sockets don't wait for other roles' ready ones.
        self._urgent = urgent
        self._callbacks = handlers
        self._conns: dict[socket.socket, Conn] = {}
        self._listener: socket.socket | None = None
        self._listener_paused = False
        # A new connection that waits for a place, and until when others are reset.
        self._unplaced = None
        self._full_until = 0.0
        self._acceptance = ACCEPT_ALL
        self._failed_dials: list[tuple[Conn, OSError]] = []

    def listen(self, address, acceptance=ACCEPT_ALL):
        """Accept connections and return the address that was bound.

        Connections that an Acceptance rejects are reset before they are read.
        """
        self._acceptance = acceptance
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it, and already have it before they are accepted.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, acceptance.receive_buffer)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
        self._listener = sock
        self._watch_listener(True)
        return Address(*sock.getsockname())

    def stop_listening(self):
        """Close the listener; open connections and those in its queue continue."""
        if self._listener is None:
            return
        # The kernel resets what it still holds for a closed listener.
        self._accept()
        self._poller.unwatch(self._listener)
        self._listener.close()
        self._listener = None
        if self._unplaced is not None:
            self._reset_new(self._unplaced.sock)
            self._unplaced = None

    def dial(self, address, tunnel=None):
        """Return a new connection; ``opened`` or ``closed`` is called later.

        With a Tunnel it leads through another instance.
        """
        target = address if tunnel is None else tunnel.peer.address
        try:
            sock = socket.socket(get_family(target), socket.SOCK_STREAM)
        except OSError as exc:
            return self._fail_later(address, exc)
        configure_socket(sock)
        set_path_timeout(sock)
        error = begin_connect(sock, target)
        if error is not None:
            sock.close()
            return self._fail_later(address, error)
        conn = Conn(sock, address, connecting=True)
        conn.tunnel = tunnel
        self._conns[sock] = conn
        self._watch(conn, reading=False, writing=True)
        return conn

    def _fail_later(self, address, exc):
        """Return a connection that is reported closed at the next tick.

        Without a free file descriptor no socket can be created, and an address may be
        one that can't be connected to. Raised here, the error would abort the handling
        of the request, whose caller would wait forever. Reported as a failed
        connection, the request is sent elsewhere or refused as not run.
        """
        conn = Conn(object(), address, connecting=True)
        self._failed_dials.append((conn, exc))
        return conn

    def send(self, conn, data):
        """Write what the socket accepts now and buffer the rest."""
        if conn.sock not in self._conns or conn.closing:
            return
        if conn.pending or conn.connecting:
            self._buffer_data(conn, data)
            return
        sent = self._try_send(conn, data)
        if sent < len(data):
            self._watch(conn, conn.reading, writing=True)
            rest = memoryview(data)[sent:]
            # A view would keep all of the data in memory for a small rest of it.
            self._buffer_data(conn, bytes(rest) if sent > len(rest) else rest)

    def pause(self, conn):
        """Stop reading, so that TCP flow control slows the peer down."""
        if conn.paused or conn.half_closed or conn.sock not in self._conns:
            return
        conn.paused = True
        self._watch(conn, False, conn.writing)

    def resume(self, conn):
        """Read again after ``pause``."""
        if not conn.paused or conn.sock not in self._conns:
            return
        conn.paused = False
        self._watch(conn, True, conn.writing)

    def reset_if_cut(self, conn):
        """Make each close but ``close`` and ``linger`` a reset, also if killed.

        The peer of an answer that ends with its connection sees no other sign that the
        answer is incomplete.
        """
        if conn.sock in self._conns:
            conn.resets = True
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def close(self, conn):
        """Close the connection once all buffered data has been written."""
        if conn.pending and not conn.connecting:
            conn.closing = True
            return
        self._close_in_order(conn)

    def linger(self, conn):
        """Close the sending half, and read until the peer closes its own.

        Closing a socket with unread data resets the connection, and the reset discards
        an answer that the peer has not read yet: a caller whose request is too large
        would see a broken connection in place of the error. The owner has to drop the
        connection if the peer takes too long.
        """
        if conn.half_closed:
            self.close(conn)
            return
        conn.closing = conn.lingering = True
        self.resume(conn)
        if not conn.pending:
            self._shut_down(conn)

    def drop(self, conn, exc=None, reset=False):
        """Close the connection at once and call ``closed``.

        With ``reset``, data that the peer hasn't received is discarded.
        """
        if self._conns.pop(conn.sock, None) is None:
            return
        self._poller.unwatch(conn.sock)
        if reset:
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.sock.close()
        # Its owner may keep the connection for longer than what it had to send.
        conn.pending.clear()
        self._callbacks.closed(conn, exc)

    def count(self):
        """Return the number of connections, including those being opened."""
        return len(self._conns)

    def _close_in_order(self, conn):
        self._cancel_reset(conn)
        self.drop(conn)

    def _cancel_reset(self, conn):
        if conn.resets and conn.sock in self._conns:
            conn.resets = False
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ORDERLY_CLOSE)

    def _shut_down(self, conn):
        self._cancel_reset(conn)
        try:
            conn.sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            self.drop(conn, exc)

    def widen(self, conn, size):
        """Let the kernel receive up to ``size`` bytes that aren't read yet."""
        if conn.sock in self._conns:
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            # Otherwise the window stays within the buffer that the listener had.
            with suppress(OSError):
                conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)

    def _buffer_data(self, conn, data):
        if not conn.pending:
            conn.progress_at = time.monotonic()
        conn.pending.append(data)
        conn.pending_size += len(data)

    def _try_send(self, conn, data):
        try:
            sent = conn.sock.send(data)
        except OSError as exc:
            # The poller reports a broken connection later; closing it here would call
            # back into the sender in the middle of its work. The kernel reports a reset
            # only once: the next read would say that the peer closed in order. EPIPE
            # says that it had done so before.
            if exc.errno not in (*WOULD_BLOCK, errno.EPIPE) and conn.error is None:
                conn.error = exc
            return 0
        conn.sent += sent
        return sent

    def handle_ready(self, sock, readable, writable):
        """Read from, write to or accept on a socket that the poller found ready.

        An exception in the handling of one connection closes that connection only;
        raised into the event loop, it would leave the caller waiting forever.
        """
        conn = self._conns.get(sock)
        if conn is None:
            if sock is self._listener:
                self._accept()
            return
        try:
            if writable:
                self._on_writable(conn)
            if readable and (not conn.connecting or is_opening_tunnel(conn)):
                self._on_readable(conn)
        except Exception as exc:
            log_failure("connection handler", exc, role=self.channel)
            self.drop(conn, OSError(errno.ECONNABORTED, "handler failed"))

    def _watch(self, conn, reading, writing):
        conn.reading = reading
        conn.writing = writing
        self._poller.watch(self, conn.sock, reading, writing, self._urgent)

    def _on_readable(self, conn):
        # A readable event for a paused connection means that the peer has closed it.
        try:
            if conn.closing:
                self._discard(conn)
                return
            data = conn.sock.recv(READ_SIZE)
        except OSError as exc:
            if exc.errno not in WOULD_BLOCK:
                self.drop(conn, exc)
            return
        if conn.tunnel is not None:
            self._read_tunnel(conn, data)
        elif not data:
            self._end_reading(conn)
        else:
            self._callbacks.received(conn, data)

    def _discard(self, conn):
        """Read into nothing, so that the peer can send on and read its answer."""
        size = conn.sock.recv_into(DISCARDED)
        if size:
            self._callbacks.discarded(conn, size)
        elif conn.tunnel is not None:
            self.drop(conn, conn.tunnel.make_closed_error())
        else:
            self._end_reading(conn)

    def _read_tunnel(self, conn, data):
        """Handle bytes from the other end of a tunnel, none if it has closed."""
        tunnel = conn.tunnel
        if not data:
            self.drop(conn, tunnel.make_closed_error())
            return
        try:
            payload = tunnel.feed(data)
        except TunnelError as exc:
            self.drop(conn, exc)
            return
        if conn.connecting and tunnel.opened:
            self._set_connected(conn)
        if payload and conn.sock in self._conns:
            self._callbacks.received(conn, payload)
        if tunnel.over:
            error = ConnectionResetError(errno.ECONNRESET, "reset by the upstream")
            self.drop(conn, error if tunnel.was_reset else None)

    def _end_reading(self, conn):
        # Nothing is read after the peer's half-close, so a second event is a reset.
        if conn.half_closed or not self._stays_open_for_writing(conn):
            self.drop(conn, conn.error)
            return
        conn.half_closed = True
        self._watch(conn, False, conn.writing)

    def _stays_open_for_writing(self, conn):
        if conn.closing:
            return bool(conn.pending)
        return self._callbacks.half_closed(conn) and conn.sock in self._conns

    def _on_writable(self, conn):
        if conn.connecting and not self._finish_connect(conn):
            return
        self._send_pending(conn)

    def _accept(self):
        for _ in range(ACCEPTS_PER_EVENT):
            try:
                sock, address = self._listener.accept()
            except OSError as exc:
                if exc.errno not in WOULD_BLOCK:
                    self._pause_listener()
                return
            now = time.monotonic()
            if self._intake_rejects(now):
                self._reset_new(sock)
                self._acceptance.intake.record_rejecting(time.monotonic() - now)
            elif self._acceptance.make_place():
                self._open(sock, address)
            elif now < self._full_until:
                self._reset_new(sock)
            else:
                self._unplaced = UnplacedSocket(sock, address, now)
                self._pause_listener()
                return

    def _intake_rejects(self, now):
        intake = self._acceptance.intake
        return intake is not None and not intake.accept(now)

    def _open(self, sock, address):
        configure_socket(sock, self._acceptance.receive_buffer)
        conn = Conn(sock, Address(*address), connecting=False)
        self._conns[sock] = conn
        self._watch(conn, reading=True, writing=False)
        self._callbacks.opened(conn)

    def _reset_new(self, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()

    def _place_waiting(self, now):
        """Open the connection that waits for a place, or reset it after a while.

        Return whether it still waits.
        """
        sock, address, since = self._unplaced
        if self._acceptance.make_place():
            self._open(sock, address)
        elif now - since < PLACE_WAIT:
            return True
        else:
            self._reset_new(sock)
            self._full_until = now + FULL_TIME
        self._unplaced = None
        return False

    def _watch_listener(self, reading):
        self._poller.watch(self, self._listener, reading, False, self._urgent)

    def _pause_listener(self):
        """Accept no connection until the next tick.

        Without a free file descriptor accept fails and the poller reports the listener
        again at once, so that the loop would spin and delay the open connections.
        """
        self._listener_paused = True
        self._watch_listener(False)

    @handler("tick", channel="*")
    def _on_tick(self):
        failed, self._failed_dials = self._failed_dials, []
        for conn, exc in failed:
            self._callbacks.closed(conn, exc)
        if self._unplaced is not None and self._place_waiting(time.monotonic()):
            return
        if self._listener_paused and self._listener is not None:
            self._listener_paused = False
            self._watch_listener(True)

    def _finish_connect(self, conn):
        code = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.drop(conn, OSError(code, "connect failed"))
            return False
        try:
            conn.sock.getpeername()
        except OSError:
            # Within one batch of events, a new socket can get the file descriptor of a
            # closed one and receive its event before it is connected.
            return False
        if conn.tunnel is not None:
            # A head of some hundred bytes fits into an empty send buffer.
            if not conn.tunnel.requested:
                conn.tunnel.requested = True
                self._watch(conn, reading=True, writing=False)
                conn.sock.send(conn.tunnel.request)
            return False
        self._set_connected(conn)
        return conn.sock in self._conns

    def _set_connected(self, conn):
        conn.connecting = False
        self._watch(conn, not conn.paused, writing=True)
        self._callbacks.opened(conn)

    def _send_pending(self, conn):
        while conn.pending:
            data = conn.pending[0]
            sent = self._try_send(conn, data)
            conn.pending_size -= sent
            if sent:
                conn.progress_at = time.monotonic()
            if sent < len(data):
                # Copying the rest at each write would take quadratic time.
                conn.pending[0] = memoryview(data)[sent:]
                break
            conn.pending.popleft()
        if not conn.pending:
            self._watch(conn, conn.reading, writing=False)
            if conn.lingering and not conn.half_closed:
                self._shut_down(conn)
                return
            if conn.closing:
                self._close_in_order(conn)
                return
        if conn.pending_size <= LOW_WATER:
            self._callbacks.drained(conn)
