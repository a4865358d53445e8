"""Open tunnels to upstreams for instances that don't reach them themselves."""

import secrets

from circuits.core import BaseComponent, handler

from .caller_memory import ANSWER, CallerHolding
from .clocks import read_boottime
from .exceptions import BadRequest
from .logs import log_event
from .sockets import (
    RECEIVE_BUFFER_SIZE,
    Acceptance,
    StreamHandlers,
    Streams,
    set_path_timeout,
)
from .tunnels import (
    CONNECTED,
    END_FRAME,
    FORBIDDEN,
    HEAD_END,
    MAX_HEAD,
    NOT_HELPING,
    RESET_FRAME,
    UPSTREAM_REFUSES,
    UPSTREAM_SILENT,
    encode_answer,
    encode_frame,
    read_request,
)

# Seconds that a connection to an upstream may take to open. Links between data centres
# take 1.5 ms.
CONNECT_TIMEOUT = 0.3
# Tunnels at the same time. Each takes two sockets and, with a slow reader, 64 KB.
MAX_TUNNELS = 512
# Seconds between two ticks that show that this process is too busy to open tunnels.
LATE_AFTER = 0.25
# Seconds between two ticks that show that it was suspended. What waited unread must
# not be sent, since its caller may be gone.
SUSPENDED_AFTER = 0.6


class ServedTunnel:
    """State of one tunnel: the connections to the asking instance and the upstream."""

    def __init__(self, conn, now):
        self.conn = conn
        self.upstream = ""
        self.upstream_conn = None
        self.head = b""
        self.began = now
        self.opened = False
        # What the two ends haven't read, set once the connection is accepted.
        self.holding = None

    def update_holding(self):
        """Account for the bytes that wait for either end to read them."""
        size = self.conn.pending_size + self.upstream_conn.pending_size
        self.holding.hold(ANSWER, size, force=True)


class TunnelServer(BaseComponent):
    """Connect other instances to registered upstreams and copy the bytes.

    ``token`` must be shown by whoever asks for a tunnel.
    """

    channel = "tunnel-server"

    def __init__(self, poller, gateway):
        super().__init__()
        self._gateway = gateway
        self.token = secrets.token_hex(16)
        # The port that it listens on, 0 if it helps nobody.
        self.port = 0
        self.stopping = False
        # In the order in which they were accepted.
        self._tunnels = {}
        budget = gateway.budget
        self._memory = budget.memory
        self._max_tunnels = min(MAX_TUNNELS, budget.max_callers // 4)
        self._ticked_at = read_boottime()
        self._late = False
        asking = StreamHandlers(
            self._accepted, self._received, self._closed, self._drained
        )
        upstream = StreamHandlers(
            self._connected, self._answered, self._upstream_closed, self._sent
        )
        self._callers = Streams(poller, asking, "tunnel-callers").register(self)
        self._upstreams = Streams(poller, upstream, "tunnel-upstreams").register(self)

    def listen(self, address):
        """Accept requests for tunnels and return the address that was bound."""
        acceptance = Acceptance(
            make_place=self._make_place, receive_buffer=RECEIVE_BUFFER_SIZE
        )
        address = self._callers.listen(address, acceptance)
        self.port = address.port
        return address

    def count(self):
        """Return the number of open tunnels."""
        return len(self._tunnels)

    def _make_place(self):
        """Return whether one more connection may be accepted.

        If there are too many, the oldest that hasn't asked for an upstream is closed.
        """
        if len(self._tunnels) < self._max_tunnels:
            return True
        tunnel = next((i for i in self._tunnels if i.upstream_conn is None), None)
        if tunnel is not None:
            self._callers.drop(tunnel.conn)
        return tunnel is not None

    def is_helping(self):
        """Return whether this instance opens tunnels now."""
        full = len(self._tunnels) >= self._max_tunnels
        if not self.port or self.stopping or self._late or full:
            return False
        return not self._gateway.paths.is_doubtful(read_boottime())

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._late = now - self._ticked_at >= LATE_AFTER
        self._ticked_at = now
        for tunnel in [item for item in self._tunnels if not item.opened]:
            if now - tunnel.began < CONNECT_TIMEOUT:
                continue
            if tunnel.upstream_conn is None:
                self._callers.drop(tunnel.conn)
            else:
                self._refuse_unreached(tunnel, UPSTREAM_SILENT)

    def _accepted(self, conn):
        # An asking instance that loses power must not keep upstreams at work.
        set_path_timeout(conn.sock)
        conn.state = ServedTunnel(conn, read_boottime())
        conn.state.holding = CallerHolding(self._memory)
        self._tunnels[conn.state] = None

    def _received(self, conn, data):
        tunnel = conn.state
        if read_boottime() - self._ticked_at >= SUSPENDED_AFTER:
            self._callers.drop(conn, reset=True)
            return
        if tunnel.opened:
            self._upstreams.send(tunnel.upstream_conn, data)
            tunnel.update_holding()
            if tunnel.upstream_conn.congested:
                self._callers.pause(conn)
            return
        tunnel.head += data
        if tunnel.upstream_conn is not None or len(tunnel.head) > MAX_HEAD:
            # Nothing may follow the head before the answer.
            self._callers.drop(conn)
        elif tunnel.head.endswith(HEAD_END):
            self._open(tunnel)

    def _open(self, tunnel):
        try:
            target = read_request(tunnel.head.removesuffix(HEAD_END), self.token)
        except BadRequest:
            self._callers.drop(tunnel.conn)
            return
        registered = self._gateway.registry.upstreams.values()
        names = [item.name for item in registered if item.address == target]
        if not names:
            self._answer_and_close(tunnel, FORBIDDEN)
        elif not self.is_helping():
            self._answer_and_close(tunnel, NOT_HELPING)
        else:
            tunnel.upstream = names[0]
            tunnel.upstream_conn = self._upstreams.dial(target)
            tunnel.upstream_conn.state = tunnel

    def _answer_and_close(self, tunnel, status):
        self._callers.send(tunnel.conn, encode_answer(status))
        self._callers.close(tunnel.conn)

    def _connected(self, conn):
        tunnel = conn.state
        tunnel.opened = True
        self._gateway.detours.record_direct(tunnel.upstream)
        self._callers.send(tunnel.conn, encode_answer(CONNECTED))

    def _answered(self, conn, data):
        tunnel = conn.state
        self._callers.send(tunnel.conn, encode_frame(data))
        tunnel.update_holding()
        if tunnel.conn.congested:
            self._upstreams.pause(conn)

    def _drained(self, conn):
        if conn.state.upstream_conn is not None:
            conn.state.update_holding()
            self._upstreams.resume(conn.state.upstream_conn)

    def _sent(self, conn):
        if conn.state is not None:
            conn.state.update_holding()
            self._callers.resume(conn.state.conn)

    def _upstream_closed(self, conn, exc):
        tunnel = conn.state
        if tunnel is None or tunnel not in self._tunnels:
            return
        if not tunnel.opened:
            refused = isinstance(exc, ConnectionRefusedError)
            status = UPSTREAM_REFUSES if refused else UPSTREAM_SILENT
            self._refuse_unreached(tunnel, status)
            return
        self._callers.send(tunnel.conn, RESET_FRAME if exc else END_FRAME)
        self._callers.close(tunnel.conn)

    def _refuse_unreached(self, tunnel, status):
        """Refuse a tunnel to an upstream to which no connection opened.

        An instance that may be cut off itself says nothing about the upstream.
        """
        self._gateway.paths.record_failed(tunnel.upstream, read_boottime())
        if not self.is_helping():
            status = NOT_HELPING
        log_event("tunnel not opened", upstream=tunnel.upstream, status=status)
        self._answer_and_close(tunnel, status)

    def _closed(self, conn, exc):
        tunnel = conn.state
        self._tunnels.pop(tunnel, None)
        tunnel.holding.close()
        if tunnel.upstream_conn is not None:
            self._upstreams.drop(tunnel.upstream_conn, reset=True)
