"""Asks for upstreams and their answers, as single datagrams between instances."""

from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .balancing import Estimate, Origin, PoolBalance
from .clocks import read_boottime
from .fanout import rank
from .logs import log_event
from .placers import (
    ANSWER_WAIT,
    Answer,
    Ask,
    AskBound,
    PlacerChoice,
    PlacingHooks,
    Ticket,
    make_ask,
    order_placers,
    read_demand,
)
from .relays import Relay
from .stations import Station
from .usage import name_process

# Kinds of datagrams.
ASK = 7
PLACED = 8
NOTES = 9
# Seconds between two looks for placed requests of which nobody speaks any more.
EXPIRE_EVERY = 1.0


class OpenAsk(NamedTuple):
    """A request for which another instance was asked, and when."""

    relay: Relay
    name: str
    at: float


class PlacedRequest(NamedTuple):
    """Where another instance's request was placed, and until when it may run."""

    pool: PoolBalance
    station: Station
    over_by: float


class Placing(BaseComponent):
    """Ask the placer for upstreams, and choose them for those that ask this one."""

    channel = "placing"

    def __init__(self, cfg, datagrams, coordinator, gateway):
        super().__init__()
        self._cfg = cfg
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._gateway = gateway
        self._key = name_process(cfg.name, cfg.incarnation)
        self._choice = PlacerChoice()
        self._bound = AskBound()
        self._names = [cfg.name]
        self._ranked = None
        self._target = None
        # Numbers go on from the time of the start. Guard: an answer to a process that
        # was here before would pass for one to another request of this one.
        self._number = cfg.incarnation
        self._open = {}
        # Numbers of requests that began and ended, by the instance that placed them.
        self._notes = {}
        self._known = {}
        self._expire_at = 0.0
        gateway.placing = PlacingHooks(
            self._ask, self._read_origin, self._note_started, self._note_ended
        )
        datagrams.subscribe(ASK, self._answer)
        datagrams.subscribe(PLACED, self._hear)
        datagrams.subscribe(NOTES, self._hear_notes)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._rank()
        self._find_target(now)
        for number, item in list(self._open.items()):
            if now - item.at >= ANSWER_WAIT:
                self._miss(number, item, now)
        self._send_notes()
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_EVERY
            self._expire(now)

    def _rank(self):
        """Rank the instances anew when some came or went."""
        if self._ranked == self._coordinator.peers_version:
            return
        self._ranked = self._coordinator.peers_version
        peers = self._coordinator.peers
        near = {n for n, p in peers.items() if p.data_centre == self._cfg.data_centre}
        links = self._coordinator.list_links()
        ranked = rank([self._cfg.name, *peers], links)
        self._names = order_placers(ranked, near | {self._cfg.name})

    def _find_target(self, now):
        target = self._choice.choose(self._names, now)
        if target != self._target:
            log_event("placer", placer=target or "", was=self._target or "")
            self._target = target
        return target

    def _ask(self, relay, now):
        """Ask for a request's upstream; tell whether another instance was asked."""
        target = self._find_target(now)
        peer = self._coordinator.peers.get(target)
        if peer is None:
            return False
        self._number += 1
        self._open[self._number] = OpenAsk(relay, target, now)
        excluded = self._gateway.list_excluded(relay, now)
        ask = make_ask(self._number, self._cfg, relay, excluded, now)
        self._datagrams.send(ASK, ask, peer.address)
        return True

    def _read_origin(self):
        """Return the Origin of a choice that this instance makes itself."""
        places = self._target == self._cfg.name
        return Origin(self._cfg.data_centre, self._key if places else "")

    def _miss(self, number, item, now):
        """Choose here for a request whose ask wasn't answered."""
        del self._open[number]
        self._choice.note_miss(item.name, now)
        # It may have been placed all the same.
        self._tell_ended(Ticket(number, item.name))
        if not item.relay.over:
            self._gateway.place_alone(item.relay, now)

    def _answer(self, address, *fields):
        """Choose an upstream for another instance's request."""
        now = read_boottime()
        ask = Ask(*fields)
        pool = self._gateway.pools.get(ask.pool)
        key = (address, ask.number)
        # A datagram may come twice; the request was placed by the first one.
        if pool is None or key in self._known or not self._bound.take(now):
            return
        demand = read_demand(ask, now)
        origin = self._read_origin()._replace(centre=ask.centre)
        limits = self._gateway.upstream_limits
        exhausted = limits.list_exhausted(pool.stations, now)
        limits.seek(exhausted, now)
        excluded = exhausted.union(ask.excluded)
        found = pool.choose(demand, excluded, now, origin)
        answer = Answer(ask.number, self._cfg.name, self._key)
        if found is not None:
            station, estimate = found
            name = station.registration.name
            charged = limits.is_limited(name) and limits.charge(name, now)
            pool.place(key, demand, found, now)
            self._known[key] = PlacedRequest(pool, station, demand.deadline)
            answer = describe(answer, station, estimate._replace(charged=charged))
        self._datagrams.send(PLACED, answer, address)

    def _hear(self, address, *fields):
        """Take the answer to an ask; one that comes late is of no use any more."""
        now = read_boottime()
        answer = Answer(*fields)
        item = self._open.pop(answer.number, None)
        if item is None:
            return
        self._choice.note_answer(answer.name)
        relay, ticket = item.relay, Ticket(answer.number, answer.name)
        found = None if relay.over else self._read_found(relay, answer, now)
        if found is not None:
            relay.ticket = ticket
            self._gateway.place(relay, found, now)
            return
        self._tell_ended(ticket)
        if not relay.over:
            self._gateway.place_alone(relay, now)

    def _read_found(self, relay, answer, now):
        """Return the station and Estimate of an answer, None where it is of no use.

        What this instance knows of an upstream may be younger than what the placer did.
        """
        station = relay.pool.stations.get(answer.upstream)
        if station is None or station.registration.leaving:
            return None
        if answer.upstream in self._gateway.list_excluded(relay, now):
            return None
        limits = self._gateway.upstream_limits
        stations = {answer.upstream: station}
        if not answer.charged and limits.list_exhausted(stations, now):
            return None
        source = relay.pool.stations.get(answer.source)
        return station, Estimate(
            answer.seconds,
            answer.prefill,
            source,
            answer.ahead,
            answer.alone,
            answer.placer,
            answer.charged,
        )

    def _tell_ended(self, ticket, failed=None):
        """Tell a placer that a request is over, or doesn't go where it was placed."""
        _, ended = self._notes.setdefault(ticket.name, ([], []))
        ended.append((ticket.number, failed))

    def _note_started(self, relay):
        if relay.ticket is not None:
            started, _ = self._notes.setdefault(relay.ticket.name, ([], []))
            started.append((relay.ticket.number, read_boottime()))

    def _note_ended(self, relay, failed):
        if relay.ticket is not None:
            self._tell_ended(relay.ticket, failed)
            relay.ticket = None

    def _send_notes(self):
        notes, self._notes = self._notes, {}
        now = read_boottime()
        for name, (started, ended) in notes.items():
            peer = self._coordinator.peers.get(name)
            if peer is None:
                continue
            # Told as ages, since two machines' clocks have nothing in common.
            ages = [(number, now - at) for number, at in started]
            self._datagrams.send(NOTES, (ages, ended), peer.address)

    def _hear_notes(self, address, started, ended):
        """Take which placed requests began and ended."""
        now = read_boottime()
        for number, age in started:
            key = (address, number)
            known = self._known.get(key)
            if known is not None:
                known.pool.start_placed(known.station, key, now - age)
        for number, failed in ended:
            key = (address, number)
            known = self._known.pop(key, None)
            if known is not None:
                known.pool.end_placed(known.station, key, failed, now)

    def _expire(self, now):
        for pool in self._gateway.pools.values():
            pool.expire_placed(now)
        gone = [key for key, known in self._known.items() if now >= known.over_by]
        for key in gone:
            del self._known[key]


def describe(answer, station, estimate):
    """Return the answer that names a station."""
    source = estimate.source
    return answer._replace(
        upstream=station.registration.name,
        seconds=estimate.seconds,
        prefill=estimate.prefill,
        source=source.registration.name if source else "",
        ahead=estimate.ahead,
        alone=estimate.alone,
        charged=estimate.charged,
    )
