"""Queries for instances that open tunnels, by single datagrams."""

from collections import Counter

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .logs import log_event
from .models import Address
from .tunnels import TunnelPeer

# Kinds of datagrams.
TUNNEL_QUERY = 11
TUNNEL_REPLY = 12


class TunnelExchange(BaseComponent):
    """Ask other instances whether they open tunnels, and reply to their queries."""

    channel = "tunnel-exchange"

    def __init__(self, cfg, datagrams, coordinator, gateway, server):
        super().__init__()
        self._cfg = cfg
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._gateway = gateway
        self._peers = gateway.tunnel_peers
        self._server = server
        self._peers_version = None
        self._was_cut = False
        datagrams.subscribe(TUNNEL_QUERY, self._receive_query)
        datagrams.subscribe(TUNNEL_REPLY, self._receive_reply)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._update_peers()
        self._count_in_use()
        for name in self._peers.avoid_silent(now):
            self._gateway.detours.leave_tunnels(name)
        paths = self._gateway.paths
        self._log_cut(paths.is_cut())
        needed = bool(paths.list_suspected(now) or paths.list_detours())
        needed = needed or paths.is_cut() or bool(self._peers.in_use)
        for name in self._peers.list_queries(needed, now):
            peer = self._coordinator.peers.get(name)
            if peer is not None:
                fields = (self._cfg.name, self._cfg.incarnation)
                self._datagrams.send(TUNNEL_QUERY, fields, peer.address)

    def _update_peers(self):
        if self._peers_version == self._coordinator.peers_version:
            return
        self._peers_version = self._coordinator.peers_version
        near, far = [], []
        for name, peer in self._coordinator.peers.items():
            is_near = peer.data_centre == self._cfg.data_centre
            (near if is_near else far).append(name)
        self._peers.set_peers(near, far)

    def _count_in_use(self):
        tunnels = (
            relay.call.conn.tunnel for relay in self._gateway.relays if relay.call
        )
        self._peers.in_use = Counter(item.peer.name for item in tunnels if item)

    def _log_cut(self, cut):
        if cut == self._was_cut:
            return
        self._was_cut = cut
        now = read_boottime()
        detours, helper = self._gateway.paths.list_detours(), self._peers.choose(now)
        log_event(
            "upstreams out of reach" if cut else "upstreams in reach",
            detours=len(detours),
            helper=helper.name if helper else "",
        )

    def _receive_query(self, address, name, incarnation):
        """Reply to a registered instance; the token is for nobody else."""
        peer = self._coordinator.peers.get(name)
        if peer is None or peer.address != address:
            return
        load = len(self._gateway.relays) + self._server.count()
        helps = self._server.is_helping()
        port, token = self._server.port, self._server.token
        fields = (self._cfg.name, incarnation, port, token, helps, load)
        self._datagrams.send(TUNNEL_REPLY, fields, address)

    def _receive_reply(self, address, name, incarnation, port, token, helps, load):
        """Record a reply to a query of this process."""
        known = self._coordinator.peers.get(name)
        if incarnation != self._cfg.incarnation:
            return
        if known is None or known.address != address:
            return
        peer = TunnelPeer(str(name), Address(address.host, int(port)), str(token))
        self._peers.record_reply(peer, bool(helps), int(load), read_boottime())
        if not helps:
            # An instance that is stopping waits for its tunnels to end.
            self._gateway.detours.retire_tunnels(name)
