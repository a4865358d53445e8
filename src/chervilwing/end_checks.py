"""Whether the upstream of a stream that ended with its connection is still running.

Such a stream has neither a length nor chunks, and the kernel closes the connections of
a crashed process in order, so that the close alone doesn't show that the stream is
whole. The upstream of a whole one still accepts connections, unless it was leaving.
"""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .bodies import CLOSE_FRAMING
from .clocks import read_boottime
from .detours import TUNNEL_TIMEOUT, get_tunnel
from .exceptions import TunnelRefused
from .logs import log_event
from .registrations import Registration, get_process
from .sockets import StreamHandlers, Streams
from .tunnels import Tunnel, TunnelPeer

# Seconds between the end of a stream and the connection attempt. The kernel closes the
# sockets of a process one by one, and its listener may be the last of them.
CONNECT_DELAY = 0.02
# Seconds that the connection may take to open; a longer time proves nothing.
CONNECT_TIMEOUT = 0.25
# Attempts at an upstream that refuses while other connections to it are open, and
# seconds between two of them.
MAX_TRIES = 2
RETRY_AFTER = 0.1
REFUSED = (ConnectionRefusedError, TunnelRefused)


class EndCheck(NamedTuple):
    """A connection attempt that shows whether an upstream's process has ended.

    ``peer`` is the instance through which to connect, None for a direct connection, and
    ``at`` the time of the attempt. The callbacks in ``waiting`` get the result.
    """

    registration: Registration
    peer: TunnelPeer | None
    at: float
    waiting: list[Callable[[bool], None]]
    tries: int = 1


class EndChecks(BaseComponent):
    """Connect to the upstreams whose streams ended with their connections.

    ``checked`` counts the streams, and ``broken`` those whose upstream had ended.
    """

    channel = "end-checks"

    def __init__(self, poller, gateway, client):
        super().__init__()
        self._gateway = gateway
        self._client = client
        self.checked = self.broken = 0
        self._due = []
        self._dialled = {}
        handlers = StreamHandlers(self._opened, self._received, self._closed)
        self._streams = Streams(poller, handlers, "end-check-streams").register(self)

    def is_needed(self, relay):
        """Return whether a crash of the upstream may have ended a relay's stream.

        A leaving upstream may end right after its last answer. Upstreams from a routes
        file announce their end to nobody.
        """
        if not relay.has_events or relay.framing != CLOSE_FRAMING:
            return False
        registration = relay.upstream_state.registration
        known = self._gateway.registry.upstreams.get(registration.name)
        if known is None or get_process(known) != get_process(registration):
            return False
        return not known.leaving and not self._gateway.cfg.routes

    def check(self, relay, on_result):
        """Call ``on_result`` later with whether a relay's upstream has ended."""
        self.checked += 1
        registration, tunnel = relay.upstream_state.registration, get_tunnel(relay)
        peer = tunnel.peer if tunnel else None
        for check in self._due:
            if check.tries == 1 and check[:2] == (registration, peer):
                check.waiting.append(on_result)
                return
        at = read_boottime() + CONNECT_DELAY
        self._due.append(EndCheck(registration, peer, at, [on_result]))

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        due = [check for check in self._due if now >= check.at]
        self._due = [check for check in self._due if now < check.at]
        for check in due:
            self._dial(check._replace(at=now))
        for conn, check in list(self._dialled.items()):
            timeout = TUNNEL_TIMEOUT if check.peer else CONNECT_TIMEOUT
            if now - check.at >= timeout:
                self._streams.drop(conn)

    def _dial(self, check):
        address = check.registration.address
        tunnel = Tunnel(check.peer, address) if check.peer else None
        conn = self._streams.dial(address, tunnel)
        self._dialled[conn] = check

    def _opened(self, conn):
        check = self._dialled.pop(conn)
        self._streams.drop(conn)
        self._end(check, gone=False)

    def _received(self, conn, data):
        self._streams.drop(conn)

    def _closed(self, conn, exc):
        check = self._dialled.pop(conn, None)
        if check is None:
            return
        if not isinstance(exc, REFUSED):
            # No answer, or an error on this side, doesn't show that it has ended.
            log_event("stream end not checked", upstream=check.registration.name)
            self._end(check, gone=False)
        elif check.peer is not None:
            self._end(check, gone=True)
        elif self._client.is_connected(check.registration.address):
            self._retry(check)
        else:
            self._ask(check)

    def _retry(self, check):
        """Try again to connect to an upstream whose other connections are open.

        It may be full, or the ends of its other connections are still to be read.
        """
        if check.tries == MAX_TRIES:
            self._end(check, gone=False)
            return
        at = read_boottime() + RETRY_AFTER
        self._due.append(check._replace(at=at, tries=check.tries + 1))

    def _ask(self, check):
        """Ask another instance about an upstream that refuses direct connections."""
        registration = check.registration
        self._gateway.paths.record_failed(registration.name, read_boottime())
        end = partial(self._end_asked, check)
        self._gateway.detours.check_path(registration, end)

    def _end_asked(self, check, reached):
        """Handle whether another instance reached an upstream, None if unknown."""
        self._end(check, gone=not reached)

    def _end(self, check, gone):
        self.broken += gone * len(check.waiting)
        for on_result in check.waiting:
            on_result(gone)
