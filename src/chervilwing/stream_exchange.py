"""Exchange of the versions that began streams, by single datagrams.

An instance tells a few others which version began a stream (TOLD), and asks a few when
a caller takes one up that it doesn't know (SOUGHT, FOUND).
"""

import secrets
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .logs import log_event
from .relays import Relay
from .stream_versions import Origin, Witnesses

# Kinds of datagrams; see the head of this module.
TOLD = 13
SOUGHT = 14
FOUND = 15
# Seconds until the instances are asked again, and until the caller is refused although
# some haven't replied. A bad link loses one datagram in thirty, a round trip takes 3 ms
# where nobody is busy, and what the instance told that began the stream may still be on
# its way.
ASK_AGAIN_AFTER = 0.03
GIVE_UP_AFTER = 0.25
# Callers whose streams are being asked for. Without a limit, made-up ids would multiply
# into datagrams.
MAX_PENDING = 512
# Streams in one datagram of about a kilobyte.
MAX_TOLD = 16
# Longest time in seconds for which a told stream is remembered.
MAX_LIFE = 3600.0
# Bits of a lookup's number, which strangers can't guess.
NUMBER_BITS = 62


class Lookup(NamedTuple):
    """A caller's stream that other instances are asked for.

    ``at`` is in seconds; ``unheard`` are the addresses that haven't replied since they
    were asked last, which is the second time if ``again`` is set.
    """

    relay: Relay
    at: float
    addresses: tuple
    unheard: frozenset
    again: bool = False


class StreamExchange(BaseComponent):
    """Tell other instances which versions began streams, and ask them."""

    channel = "stream-exchange"

    def __init__(self, cfg, datagrams, coordinator, gateway):
        super().__init__()
        self._cfg = cfg
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._gateway = gateway
        self._streams = gateway.resumptions.streams
        self._peers_version = None
        self._addresses = frozenset()
        self._witnesses = None
        self._pending = {}
        gateway.resumptions.on_begun = self._tell_begun
        gateway.resumptions.seek = self._seek
        datagrams.subscribe(TOLD, self._receive_told)
        datagrams.subscribe(SOUGHT, self._receive_sought)
        datagrams.subscribe(FOUND, self._receive_found)

    def count_sent(self):
        """Return the datagrams sent about streams, and their bytes."""
        sent, sizes = self._datagrams.sent, self._datagrams.sent_bytes
        kinds = (TOLD, SOUGHT, FOUND)
        return sum(sent[kind] for kind in kinds), sum(sizes[kind] for kind in kinds)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._update_peers()
        for number, lookup in list(self._pending.items()):
            self._advance(number, lookup, now)
        self._streams.expire(now)
        if self._gateway.table is not None:
            self._streams.observe(self._gateway.table.resumable, now)
            self._tell_uncertain(now)

    def _update_peers(self):
        if self._peers_version == self._coordinator.peers_version:
            return
        self._peers_version = self._coordinator.peers_version
        peers = self._coordinator.peers.values()
        self._addresses = frozenset(peer.address for peer in peers)
        self._witnesses = None

    def _get_witnesses(self):
        """Return the Witnesses; their ring of hundreds of instances takes 10 ms."""
        if self._witnesses is None:
            peers = self._coordinator.peers.items()
            centres = {name: peer.data_centre for name, peer in peers}
            centres[self._cfg.name] = self._cfg.data_centre
            self._witnesses = Witnesses(centres)
        return self._witnesses

    def _tell_begun(self, relay, now):
        """Tell of a stream before its first event, unless others can infer its version.

        A datagram that is on its way arrives although this process ends.
        """
        if self._streams.infer(relay.route, now) is None:
            self._tell(now)

    def _tell_uncertain(self, now):
        """Tell of the streams whose version could be inferred until now."""
        if not self._streams.has_untold:
            return
        routes = self._gateway.table.resumable
        if not all(self._streams.infer(route, now) for route in routes):
            self._tell(now)

    def _tell(self, now):
        """Tell of all streams that no other instance has been told of."""
        if not self._addresses:
            return
        told, witnesses = {}, self._get_witnesses()
        for stream, origin, seconds in self._streams.pop_untold(now):
            for name in witnesses.list_told(stream, self._cfg.name):
                told.setdefault(name, []).append((stream, *origin, seconds))
        for name, rows in told.items():
            peer = self._coordinator.peers.get(name)
            for start in range(0, len(rows) if peer else 0, MAX_TOLD):
                fields = (rows[start : start + MAX_TOLD],)
                self._datagrams.send(TOLD, fields, peer.address)

    def _receive_told(self, address, rows):
        if address not in self._addresses:
            return
        now = read_boottime()
        for stream, pool, version, seconds in rows[:MAX_TOLD]:
            if 0.0 < seconds <= MAX_LIFE:
                origin = Origin(str(pool), str(version))
                self._streams.record(str(stream), origin, now + seconds)

    def _seek(self, relay, now):
        """Ask other instances for a caller's stream; return whether any was asked."""
        if len(self._pending) >= MAX_PENDING or not relay.demand.resumes:
            return False
        names = self._get_witnesses().list_asked(relay.stream)
        peers = self._coordinator.peers
        found = tuple(peers[name].address for name in names if name in peers)
        if not found:
            return False
        number = secrets.randbits(NUMBER_BITS)
        self._pending[number] = lookup = Lookup(relay, now, found, frozenset(found))
        self._ask(number, lookup)
        return True

    def _ask(self, number, lookup):
        for address in lookup.addresses:
            self._datagrams.send(SOUGHT, (number, lookup.relay.stream), address)

    def _advance(self, number, lookup, now):
        """Ask once more, or give up an answer."""
        waited = now - lookup.at
        if waited >= GIVE_UP_AFTER or lookup.relay.ended:
            self._end(number, None, now)
        elif waited >= ASK_AGAIN_AFTER and not lookup.again:
            lookup = lookup._replace(again=True, unheard=frozenset(lookup.addresses))
            self._pending[number] = lookup
            self._ask(number, lookup)

    def _receive_sought(self, address, number, stream):
        if address not in self._addresses:
            return
        origin = self._streams.find(str(stream), read_boottime())
        self._datagrams.send(FOUND, (number, *(origin or ("", ""))), address)

    def _receive_found(self, address, number, pool, version):
        """Record a reply of an instance that was asked."""
        lookup = self._pending.get(number)
        if lookup is None or address not in lookup.addresses:
            return
        now = read_boottime()
        if pool:
            self._end(number, Origin(str(pool), str(version)), now)
            return
        unheard = lookup.unheard - {address}
        self._pending[number] = lookup._replace(unheard=unheard)
        if lookup.again and not unheard:
            self._end(number, None, now)

    def _end(self, number, origin, now):
        relay = self._pending.pop(number).relay
        log_event(
            "stream sought",
            request=relay.demand.request_id,
            resumes=relay.demand.resumes,
            upstream_version=origin.version if origin else None,
        )
        self._gateway.resume_stream(relay, origin, now)
