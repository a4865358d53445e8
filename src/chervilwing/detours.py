"""The paths of attempts at upstreams, and whose failure a failed connection was."""

import copy
import time
from collections import deque

from .clocks import read_boottime
from .exceptions import (
    NOT_RUN,
    RETRY_AFTER,
    ConnectionBroken,
    EventOutOfOrder,
    NoUpstream,
    PathBroken,
    Scope,
    UpstreamSilent,
    UpstreamUnreachable,
)

# Seconds that a direct connection may take to open before another upstream is tried.
# Links between data centres take 1.5 ms; TCP retransmits a lost SYN after one second.
CONNECT_TIMEOUT = 0.6
# The same where another instance may connect instead, and through another instance,
# which itself waits up to 0.3 s.
SHORT_CONNECT_TIMEOUT = 0.3
TUNNEL_TIMEOUT = 0.4
# Instances through which one attempt may be made to reach its upstream.
MAX_TRIED_PEERS = 3
# Seconds after which a broken connection counts as its upstream's failure, unless
# connections to other upstreams failed as well.
VERDICT_DELAY = 0.1
# Seconds without any byte after which a connection counts as hanging once new
# connections hang.
HANGING_AFTER = 0.3


def get_tunnel(relay):
    """Return the Tunnel through which a request in progress is sent, or None."""
    return relay.call.conn.tunnel


class Detours:
    """Choose the paths of attempts by what this instance's connections tell."""

    def __init__(self, gateway, client):
        self._gateway = gateway
        self._client = client
        self._paths = gateway.paths
        self._peers = gateway.tunnel_peers
        # Copies of relays whose connections broke off, and when that counts.
        self._broken = deque()
        # Set by Attempts: end an attempt, and send a request again along another path.
        self.end_attempt = lambda relay, failed: None
        self.leave_path = lambda relay: None
        # Asks another instance to reach an upstream, see PathChecks.check.
        self.check_path = lambda registration, on_result: on_result(None)

    def choose_first(self, relay, now):
        """Return the TunnelPeer for a new attempt, None for a direct connection."""
        relay.tried_peers = set()
        name = relay.upstream_state.registration.name
        return self._choose_peer(relay, now) if self._paths.needs_detour(name) else None

    def choose_next(self, relay, exc, now):
        """Return the TunnelPeer through which to connect to the same upstream again.

        Return None if that can't help. Nothing was sent yet. The next result tells
        whether the upstream or this instance's path to it is down.
        """
        name = relay.upstream_state.registration.name
        self._record_unconnected(relay, exc, now)
        late = relay.deadline - now < TUNNEL_TIMEOUT / 2
        if self._paths.is_down(name, now) or relay.ended or late:
            return None
        peer = None
        if len(relay.tried_peers) < MAX_TRIED_PEERS:
            peer = self._choose_peer(relay, now)
        if peer is None and get_tunnel(relay) is None:
            count = len(self._gateway.registry.upstreams)
            self._paths.record_alone(count, self._client.received_at, now)
        return peer

    def get_timeout(self, peer, now):
        """Return the seconds that a connection may take to open."""
        if peer is not None:
            return TUNNEL_TIMEOUT
        helped = self._peers.choose(now) is not None
        return SHORT_CONNECT_TIMEOUT if helped else CONNECT_TIMEOUT

    def raise_if_unreachable(self, pool, now):
        """Raise NoUpstream if neither this instance nor another reaches upstreams."""
        if self._paths.is_cut() and self._peers.choose(now) is None:
            scope = Scope("pool", pool.spec.name)
            raise NoUpstream(scope=scope, retry_after=RETRY_AFTER)

    def list_unreachable(self, now):
        """Return the upstreams that no path leads to now."""
        detours = self._paths.list_detours()
        if not detours or self._peers.choose(now) is not None:
            return frozenset()
        return frozenset(detours)

    def record_opened(self, relay, peer):
        """Record that a connection for an attempt has opened."""
        name = relay.upstream_state.registration.name
        if peer is None:
            self.record_direct(name)
        else:
            self.record_reached(name)

    def record_direct(self, name):
        """Record a new direct connection to an upstream."""
        if name in self._paths.list_detours() or self._paths.is_cut():
            self.close_idle_tunnels()
        self._paths.record_opened(name, read_boottime())

    def record_reached(self, name):
        """Record that another instance reached an upstream.

        If only that one did, the failures of the last seconds weren't the upstreams'.
        """
        now = read_boottime()
        if not self._paths.record_reached(name, now):
            return
        for suspected in self._paths.list_suspected(now):
            for pool in self._gateway.pools.values():
                if suspected in pool.upstream_states:
                    pool.upstream_states[suspected].clear_failures()

    def record_broken(self, relay, exc, now):
        """Record a connection that broke off after the request was sent.

        One that was closed for an event out of order would show no crash of its
        upstream any more, which is looked for as well.
        """
        if not isinstance(exc, ConnectionBroken | EventOutOfOrder):
            return
        if isinstance(exc, ConnectionBroken) and get_tunnel(relay) is None:
            self._paths.record_failed(relay.upstream_state.registration.name, now)
        self._gateway.crash_detection.handle_broken(relay, now)

    def end_failed(self, relay, exc, now):
        """Record the end of a failed attempt, and whose failure it was.

        A direct connection that broke off is judged later, since all connections may
        be about to break off.
        """
        if get_tunnel(relay) is not None:
            blamed = isinstance(exc, UpstreamUnreachable | ConnectionBroken)
            self.end_attempt(relay, failed=True if blamed else None)
            if isinstance(exc, PathBroken):
                relay.tried_upstreams.discard(relay.upstream_state.registration.name)
        elif isinstance(exc, ConnectionBroken) and exc.outcome != NOT_RUN:
            self._broken.append((now + VERDICT_DELAY, copy.copy(relay)))
            relay.placement_id = relay.call = None
        elif isinstance(exc, EventOutOfOrder) and not relay.events.count:
            # The order begins with what the caller says that it has read.
            self.end_attempt(relay, failed=None)
        else:
            self.end_attempt(relay, failed=self._judge(now))

    def end_broken(self, now):
        """Record the ends of attempts whose connections broke off a while ago."""
        while self._broken and now >= self._broken[0][0]:
            _, relay = self._broken.popleft()
            self.end_attempt(relay, failed=self._judge(now))

    def close_idle_tunnels(self, name=None):
        """Close the idle connections that lead through an instance, or through any."""
        self._client.close_idle_matching(
            lambda conn: conn.tunnel and name in (None, conn.tunnel.peer.name)
        )

    def retire_tunnels(self, name):
        """Send no more requests through an instance's open tunnels."""
        self.close_idle_tunnels(name)
        for relay in self._list_sent():
            tunnel = get_tunnel(relay)
            if tunnel is not None and tunnel.peer.name == name:
                tunnel.reusable = False

    def leave_silent_paths(self):
        """Give up the direct connections, which hang, and send again what may be."""
        self._client.close_idle_matching(lambda conn: conn.tunnel is None)
        heard_since = time.monotonic() - HANGING_AFTER
        for relay in self._list_sent():
            hangs = relay.call.last_activity <= heard_since
            if get_tunnel(relay) is None and hangs and not relay.call.conn.connecting:
                self.leave_path(relay)

    def leave_tunnels(self, name):
        """Give up the tunnels through an instance, and send again what may be."""
        self.close_idle_tunnels(name)
        for relay in self._list_sent():
            tunnel = get_tunnel(relay)
            if tunnel is not None and tunnel.peer.name == name:
                self.leave_path(relay)

    def _list_sent(self):
        return [relay for relay in self._gateway.relays if relay.call is not None]

    def _choose_peer(self, relay, now):
        """Return the TunnelPeer for an attempt, or None if no instance helps."""
        peer = self._peers.choose(now, relay.tried_peers)
        if peer is not None:
            relay.tried_peers.add(peer.name)
            self._peers.in_use[peer.name] = self._peers.in_use.get(peer.name, 0) + 1
        return peer

    def _record_unconnected(self, relay, exc, now):
        """Record a connection that didn't open."""
        name, tunnel = relay.upstream_state.registration.name, get_tunnel(relay)
        if isinstance(exc, UpstreamUnreachable):
            self._paths.record_unreached(name, now)
        elif tunnel is not None:
            self._peers.avoid(tunnel.peer.name, now)
        else:
            silent = isinstance(exc, UpstreamSilent)
            self._paths.record_failed(name, now, silent)

    def _judge(self, now):
        """Return True if a failure is its upstream's, None if that is doubtful."""
        return None if self._paths.is_doubtful(now) else True
