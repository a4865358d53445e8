"""Non-blocking TCP sockets on circuits' poller: accept, dial, read and write.

`circuits.net` fires three events for each chunk that passes and gives no sign when a
slow reader has caught up. This component is called by the poller, tries each write at
once and knows the size of its buffers.
"""

import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from circuits.core import BaseComponent, handler

from .logs import log_failure
from .models import Address

READ_SIZE = 65536
ACCEPTS_PER_EVENT = 64
BACKLOG = 1024
# Bytes waiting for a slow reader before its sender is asked to pause, and the level at
# which the sender may go on. Load: hundreds of streams with some stalled readers. Harm:
# memory for control is 128 MB a node (letter 1); 590 streams at 64 KB stay under 40 MB.
HIGH_WATER = 65536
LOW_WATER = 16384
# What the kernel may keep for one reader; left alone it grows to 4 MB and more, and an
# engine would write a whole answer to a caller that reads nothing. Callers are at most
# three milliseconds away: 128 KB in flight still carry 40 MB a second.
KERNEL_BUFFER = 131072
# Until a silent path counts as dead: three lost packets in a row are sent again within
# 1.4 s, and callers of quick requests leave after four seconds.
PATH_TIMEOUT_MS = 2000
PROBE_SECONDS = 1
PROBES = 2
WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINPROGRESS)


def prepare(sock):
    """Set the options of a new connection."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER)


def watch_path(sock):
    """Let the system end a connection whose path has gone silent.

    Guard: behind a network partition nothing is answered and nothing is reset, so that
    a call waits out its caller's whole deadline. Bytes that aren't acknowledged, or
    probes of a quiet connection, end it within PATH_TIMEOUT; an upstream that is slow
    still acknowledges.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, PATH_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


class StreamHandlers(NamedTuple):
    """What the owner of the sockets does when one of them changes."""

    opened: Callable[["Conn"], None]
    received: Callable[["Conn", bytes], None]
    closed: Callable[["Conn", OSError | None], None]
    drained: Callable[["Conn"], None] = lambda conn: None
    # The other end has sent its last byte; True keeps the connection for writing.
    ended: Callable[["Conn"], bool] = lambda conn: False


class Conn:
    """State of one connected, or connecting, socket."""

    __slots__ = (
        "sock",
        "address",
        "connecting",
        "closing",
        "lingering",
        "ended",
        "heard",
        "idle_limit",
        "paused",
        "pending",
        "pending_size",
        "reading",
        "sent",
        "writing",
        "state",
    )

    def __init__(self, sock, address, connecting):
        self.sock = sock
        self.address = address
        self.connecting = connecting
        self.closing = False
        self.lingering = False
        self.ended = False
        # When its owner last had a sign of the other end, on the monotonic clock.
        self.heard = 0.0
        # Seconds that its other end keeps it open without use.
        self.idle_limit = float("inf")
        self.paused = False
        self.pending = deque()
        self.pending_size = 0
        self.reading = False
        self.writing = False
        self.sent = 0
        self.state: Any = None

    @property
    def congested(self):
        """Tell whether more bytes wait for the reader than a sender should add to."""
        return self.pending_size > HIGH_WATER


class Streams(BaseComponent):
    """Own the sockets of one role and report what happens on them."""

    channel = "streams"

    def __init__(self, poller, handlers, channel):
        super().__init__(channel=channel)
        self._poller = poller
        self._owner = handlers
        self._conns: dict[socket.socket, Conn] = {}
        self._listener: socket.socket | None = None
        self._listener_paused = False
        self._failed: list[tuple[Conn, OSError]] = []

    def listen(self, address):
        """Accept connections and return the address that was bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
        self._listener = sock
        self._poller.watch(self, sock, reading=True, writing=False)
        return Address(*sock.getsockname())

    def stop_listening(self):
        """Refuse new connections; open ones go on."""
        if self._listener is None:
            return
        self._poller.forget(self._listener)
        self._listener.close()
        self._listener = None

    def dial(self, address):
        """Start to connect; ``opened`` or ``closed`` follows."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:
            return self._fail_later(address, exc)
        prepare(sock)
        watch_path(sock)
        conn = Conn(sock, address, connecting=True)
        self._conns[sock] = conn
        sock.connect_ex(address)
        self._watch(conn, reading=False, writing=True)
        return conn

    def _fail_later(self, address, exc):
        """Return a connection that is reported closed at the next tick.

        Guard: out of file descriptors there is no socket. Raised into the dialler, that
        would end the handling of whatever it was dialling for, and its caller would
        wait for ever; reported as a failed connection, the request is refused as not
        run.
        """
        conn = Conn(object(), address, connecting=True)
        self._failed.append((conn, exc))
        return conn

    def send(self, conn, data):
        """Write now what the socket takes and keep the rest."""
        if conn.sock not in self._conns or conn.closing:
            return
        if conn.pending or conn.connecting:
            self._keep(conn, data)
            return
        sent = self._try_send(conn, data)
        if sent < len(data):
            self._watch(conn, conn.reading, writing=True)
            self._keep(conn, memoryview(data)[sent:])

    def pause(self, conn):
        """Stop reading, so that the other end feels the pressure."""
        if conn.paused or conn.ended or conn.sock not in self._conns:
            return
        conn.paused = True
        self._watch(conn, False, conn.writing)

    def resume(self, conn):
        """Read again after ``pause``."""
        if not conn.paused or conn.sock not in self._conns:
            return
        conn.paused = False
        self._watch(conn, True, conn.writing)

    def close(self, conn):
        """Close once everything kept has been written."""
        if conn.pending and not conn.connecting:
            conn.closing = True
            return
        self.drop(conn)

    def linger(self, conn):
        """Close towards the other end, and read on until it does the same.

        Guard: a socket closed with unread bytes resets the connection, and the reset
        destroys an answer that the other end has not read yet: a caller that sends too
        much would see a broken connection in place of the failure that says so. The
        owner drops the connection when the other end takes too long.
        """
        if conn.ended:
            self.close(conn)
            return
        conn.closing = conn.lingering = True
        self.resume(conn)
        if not conn.pending:
            self._shut_down(conn)

    def drop(self, conn, exc=None):
        """Close at once and report it."""
        if self._conns.pop(conn.sock, None) is None:
            return
        self._poller.forget(conn.sock)
        conn.sock.close()
        self._owner.closed(conn, exc)

    def count(self):
        """Return how many connections are open."""
        return len(self._conns)

    def _shut_down(self, conn):
        try:
            conn.sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            self.drop(conn, exc)

    def _keep(self, conn, data):
        conn.pending.append(data)
        conn.pending_size += len(data)

    def _try_send(self, conn, data):
        try:
            sent = conn.sock.send(data)
        except OSError as exc:
            if exc.errno in WOULD_BLOCK:
                return 0
            # The reader learns of the loss from the poller in its own turn; closing
            # here would call back into a sender that is in the middle of its work.
            return 0
        conn.sent += sent
        return sent

    def handle_ready(self, sock, readable, writable):
        """Read from, write to or accept on a socket that the poller found ready.

        Guard: a failure in the handling of one connection must end that connection and
        nothing else; raised into the loop it would leave the caller waiting for ever.
        """
        conn = self._conns.get(sock)
        if conn is None:
            if sock is self._listener:
                self._accept()
            return
        try:
            if writable:
                self._on_writable(conn)
            if readable and not conn.connecting:
                self._on_readable(conn)
        except Exception as exc:
            log_failure("connection handler", exc, role=self.channel)
            self.drop(conn, OSError(errno.ECONNABORTED, "handler failed"))

    def _watch(self, conn, reading, writing):
        conn.reading = reading
        conn.writing = writing
        self._poller.watch(self, conn.sock, reading, writing)

    def _on_readable(self, conn):
        # A readable event for a paused connection means that the other end is gone.
        try:
            data = conn.sock.recv(READ_SIZE)
        except OSError as exc:
            if exc.errno not in WOULD_BLOCK:
                self.drop(conn, exc)
            return
        if not data:
            self._end_reading(conn)
        elif not conn.closing:
            self._owner.received(conn, data)

    def _end_reading(self, conn):
        # Nothing is read once the other end has ended; only a reset reports it again.
        if conn.ended or not self._keeps_writing(conn):
            self.drop(conn)
            return
        conn.ended = True
        self._watch(conn, False, conn.writing)

    def _keeps_writing(self, conn):
        if conn.closing:
            return bool(conn.pending)
        return self._owner.ended(conn) and conn.sock in self._conns

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
            prepare(sock)
            conn = Conn(sock, Address(*address), connecting=False)
            self._conns[sock] = conn
            self._watch(conn, reading=True, writing=False)
            self._owner.opened(conn)

    def _pause_listener(self):
        """Take no connection until the next tick.

        Guard: out of file descriptors, accept fails and the poller reports the listener
        again at once: the loop spins, and those it could serve wait.
        """
        self._listener_paused = True
        self._poller.watch(self, self._listener, reading=False, writing=False)

    @handler("tick", channel="*")
    def _on_tick(self):
        failed, self._failed = self._failed, []
        for conn, exc in failed:
            self._owner.closed(conn, exc)
        if self._listener_paused and self._listener is not None:
            self._listener_paused = False
            self._poller.watch(self, self._listener, reading=True, writing=False)

    def _finish_connect(self, conn):
        code = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.drop(conn, OSError(code, "connect failed"))
            return False
        try:
            conn.sock.getpeername()
        except OSError:
            # Guard: within one batch of the poller a closed socket's number can be that
            # of a new one, which then looks ready before it is connected.
            return False
        conn.connecting = False
        self._watch(conn, not conn.paused, writing=True)
        self._owner.opened(conn)
        return conn.sock in self._conns

    def _send_pending(self, conn):
        while conn.pending:
            data = conn.pending[0]
            sent = self._try_send(conn, data)
            conn.pending_size -= sent
            if sent < len(data):
                # A view: copying the rest of a long answer at each write is quadratic.
                conn.pending[0] = memoryview(data)[sent:]
                break
            conn.pending.popleft()
        if not conn.pending:
            self._watch(conn, conn.reading, writing=False)
            if conn.lingering and not conn.ended:
                self._shut_down(conn)
                return
            if conn.closing:
                self.drop(conn)
                return
        if conn.pending_size <= LOW_WATER:
            self._owner.drained(conn)
