"""Exchange of the versions that began streams, by single datagrams.

An instance tells a few others which version began a stream (TOLD), and asks a few when
a caller takes one up that it doesn't know (SOUGHT, FOUND). Where it knows only one
version, it reads from the store whether there are others, and asks two instances to do
so if it doesn't reach the store (DOUBTED, CONFIRMED).
"""

import secrets
from functools import partial
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
DOUBTED = 16
CONFIRMED = 17
# Seconds until the instances are asked again, and until the caller is refused although
# some haven't replied. A bad link loses one datagram in thirty, a round trip takes 3 ms
# where nobody is busy, and what the instance told that began the stream may still be on
# its way.
ASK_AGAIN_AFTER = 0.03
GIVE_UP_AFTER = 0.25
# The same while the store is read, which answers in milliseconds but may be slow, and
# until instances are asked meanwhile.
GIVE_UP_READ_AFTER = 0.5
ASK_BESIDE_READ_AFTER = 0.1
# Instances that are asked to read the store for one that doesn't reach it.
READERS = 2
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

    ``at`` is in seconds; ``candidate`` is the only Origin known here, None if there are
    several or the store holds more. ``addresses`` are the instances to ask, and
    ``unheard`` those that haven't replied since they were asked last, which is the
    second time if ``again`` is set.
    """

    relay: Relay
    at: float
    candidate: Origin | None
    addresses: tuple
    unheard: frozenset = frozenset()
    asked_at: float | None = None
    again: bool = False


class StreamExchange(BaseComponent):
    """Tell other instances which versions began streams, and ask them."""

    channel = "stream-exchange"

    def __init__(self, cfg, datagrams, coordinator, gateway, reads=None):
        super().__init__()
        self._reads = reads
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
        gateway.resumptions.is_shared = reads is not None
        datagrams.subscribe(TOLD, self._receive_told)
        datagrams.subscribe(SOUGHT, self._receive_sought)
        datagrams.subscribe(FOUND, self._receive_found)
        datagrams.subscribe(DOUBTED, self._receive_doubted)
        datagrams.subscribe(CONFIRMED, self._receive_confirmed)

    def count_sent(self):
        """Return the datagrams sent about streams, and their bytes."""
        sent, sizes = self._datagrams.sent, self._datagrams.sent_bytes
        kinds = (TOLD, SOUGHT, FOUND, DOUBTED, CONFIRMED)
        return sum(sent[kind] for kind in kinds), sum(sizes[kind] for kind in kinds)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._update_peers()
        for number, lookup in list(self._pending.items()):
            self._advance(number, lookup, now)
        if self._reads is not None:
            self._reads.advance(now)
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
        """Find out a stream's version from others; return whether that can be done."""
        if len(self._pending) >= MAX_PENDING:
            return False
        candidate = None
        if self._reads is not None:
            candidate = self._streams.find_candidate(relay.route, now)
        addresses = self._list_addresses(relay.stream) if relay.demand.resumes else ()
        if candidate is None and not addresses:
            return False
        number = secrets.randbits(NUMBER_BITS)
        lookup = Lookup(relay, now, candidate, addresses)
        self._pending[number] = lookup
        reply = partial(self._receive_read, number)
        if candidate is None or not self._reads.request(reply, now):
            self._ask(number, now)
        return True

    def _list_addresses(self, stream):
        """Return the addresses of the instances to ask for a stream."""
        peers = self._coordinator.peers
        names = self._get_witnesses().list_asked(stream)
        return tuple(peers[name].address for name in names if name in peers)

    def _receive_read(self, number, stored):
        """Go on with a stream if the store holds one version only, or ask others."""
        lookup = self._pending.get(number)
        if lookup is None:
            return
        now = read_boottime()
        if self._is_only(lookup.candidate, lookup.relay.route, stored, now):
            self._end(number, lookup.candidate, now, "store")
            return
        if stored is not None:
            self._pending[number] = lookup._replace(candidate=None)
        if lookup.asked_at is None:
            self._ask(number, now)

    def _is_only(self, origin, route, stored, now):
        """Return whether an Origin is the only one here and in the store."""
        if stored is None or origin != self._streams.find_candidate(route, now):
            return False
        return {item for item in stored.origins if item.pool == origin.pool} <= {origin}

    def _ask(self, number, now):
        """Ask instances for a stream, and some to read the store."""
        lookup = self._pending[number]
        if not lookup.addresses and lookup.candidate is None:
            self._end(number, None, now)
            return
        again = lookup.asked_at is not None
        unheard = frozenset(lookup.addresses)
        lookup = lookup._replace(asked_at=now, again=again, unheard=unheard)
        self._pending[number] = lookup
        for address in lookup.addresses:
            self._datagrams.send(SOUGHT, (number, lookup.relay.stream), address)
        if lookup.candidate is not None:
            version = self._gateway.table.document.version
            for address in self._list_addresses(lookup.relay.stream)[:READERS]:
                fields = (number, *lookup.candidate, version)
                self._datagrams.send(DOUBTED, fields, address)

    def _advance(self, number, lookup, now):
        """Ask, ask once more, or give up an answer."""
        waited = now - lookup.at
        limit = GIVE_UP_AFTER if lookup.candidate is None else GIVE_UP_READ_AFTER
        if waited >= limit or lookup.relay.ended:
            self._end(number, None, now)
        elif lookup.asked_at is None:
            if waited >= ASK_BESIDE_READ_AFTER:
                self._ask(number, now)
        elif now - lookup.asked_at >= ASK_AGAIN_AFTER and not lookup.again:
            self._ask(number, now)

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
            self._end(number, Origin(str(pool), str(version)), now, "instance")
            return
        unheard = lookup.unheard - {address}
        self._pending[number] = lookup._replace(unheard=unheard)
        if lookup.again and not unheard and lookup.candidate is None:
            self._end(number, None, now)

    def _receive_doubted(self, address, number, pool, version, document_version):
        """Read the store for an instance that knows one version only."""
        if address not in self._addresses or self._reads is None:
            return
        origin = Origin(str(pool), str(version))

        def reply(stored):
            if self._is_confirmed(origin, document_version, stored):
                self._datagrams.send(CONFIRMED, (number, *origin), address)

        self._reads.request(reply, read_boottime())

    def _is_confirmed(self, origin, document_version, stored):
        """Return whether streams of a pool can have begun at one Origin only."""
        table, now = self._gateway.table, read_boottime()
        if stored is None or table is None:
            return False
        if table.document.version != document_version:
            return False
        known = self._streams.list_possible(origin.pool, now)
        known.update(
            item.version for item in stored.origins if item.pool == origin.pool
        )
        return known == {origin.version}

    def _receive_confirmed(self, address, number, pool, version):
        lookup = self._pending.get(number)
        if lookup is None or lookup.asked_at is None or address not in self._addresses:
            return
        now, origin = read_boottime(), Origin(str(pool), str(version))
        if origin == self._streams.find_candidate(lookup.relay.route, now):
            self._end(number, origin, now, "store")

    def _end(self, number, origin, now, source=None):
        lookup = self._pending.pop(number)
        relay = lookup.relay
        log_event(
            "stream sought",
            request=relay.demand.request_id,
            resumes=relay.demand.resumes,
            upstream_version=origin.version if origin else None,
            source=source,
            seconds=round(now - lookup.at, 4),
        )
        self._gateway.resume_stream(relay, origin, now)
