"""Exchange of placement requests between instances, one datagram per message.

An instance asks the placer for the upstream of a request (ASK), receives its choice
(ANSWER) and reports when placed requests begin and end, and what their upstreams stated
about their load (PROGRESS).
"""

from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .balancing import Estimate, PlacementOrigin, PoolBalancer
from .clocks import read_boottime
from .leader_queries import rank_leaders
from .logs import log_event
from .placer_selection import (
    ANSWER_TIMEOUT,
    Answer,
    Ask,
    AskRateLimit,
    PlacementHooks,
    PlacementId,
    PlacerSelector,
    make_ask,
    order_placers,
    read_demand,
)
from .relays import Relay
from .upstream_pace import StatedReports, read_reports
from .upstream_states import UpstreamState
from .usage import name_process

# Kinds of datagrams; see the head of this module.
ASK = 7
ANSWER = 8
PROGRESS = 9
# Seconds between two checks for placed requests that are no longer reported on.
EXPIRE_INTERVAL = 1.0


class PendingAsk(NamedTuple):
    """A request that waits for a placer's answer; ``sent_at`` is in seconds."""

    relay: Relay
    placer: str
    sent_at: float


class PlacedRequest(NamedTuple):
    """Where another instance's request was placed, and when its deadline passes."""

    pool: PoolBalancer
    upstream_state: UpstreamState
    deadline: float


class Placing(BaseComponent):
    """Ask the placer for upstreams, and answer the instances that ask this one."""

    channel = "placement-exchange"

    def __init__(self, cfg, datagrams, coordinator, gateway):
        super().__init__()
        self._cfg = cfg
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._gateway = gateway
        self._key = name_process(cfg.name, cfg.incarnation)
        self._selector = PlacerSelector()
        self._rate_limit = AskRateLimit()
        self._placer_names = [cfg.name]
        self._ranked_version = None
        self._placer = None
        # Numbers start at the incarnation, so that an answer to an earlier process at
        # this address can't be taken for the answer to a request of this process.
        self._last_number = cfg.incarnation
        self._pending = {}
        # Requests that began and ended since the last report, by placer: two lists of
        # pairs, (number, time of the first byte) and (number, failed).
        self._progress = {}
        self._stated = StatedReports()
        self._placed = {}
        self._next_expire = 0.0
        gateway.placing = PlacementHooks(
            self._send_ask,
            self._get_origin,
            self._queue_started,
            self._queue_placed_ended,
            self._queue_stated,
        )
        datagrams.subscribe(ASK, self._receive_ask)
        datagrams.subscribe(ANSWER, self._receive_answer)
        datagrams.subscribe(PROGRESS, self._receive_progress)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._update_ranking()
        self._select_placer(now)
        for number, item in list(self._pending.items()):
            if now - item.sent_at >= ANSWER_TIMEOUT:
                self._handle_timeout(number, item, now)
        self._send_stated(now)
        self._send_progress()
        if now >= self._next_expire:
            self._next_expire = now + EXPIRE_INTERVAL
            self._expire(now)

    def _update_ranking(self):
        """Update the order of the placers if the known instances have changed."""
        if self._ranked_version == self._coordinator.peers_version:
            return
        self._ranked_version = self._coordinator.peers_version
        peers = self._coordinator.peers
        same_centre = {
            n for n, p in peers.items() if p.data_centre == self._cfg.data_centre
        }
        links = self._coordinator.list_links()
        ranked = rank_leaders([self._cfg.name, *peers], links)
        self._placer_names = order_placers(ranked, same_centre | {self._cfg.name})

    def _select_placer(self, now):
        target = self._selector.choose(self._placer_names, now)
        if target != self._placer:
            log_event("placer", placer=target or "", was=self._placer or "")
            self._placer = target
        return target

    def _send_ask(self, relay, now):
        """Ask the placer for a request's upstream; return whether an ask was sent."""
        target = self._select_placer(now)
        peer = self._coordinator.peers.get(target)
        if peer is None:
            return False
        self._last_number += 1
        self._pending[self._last_number] = PendingAsk(relay, target, now)
        excluded = self._gateway.list_excluded_upstreams(relay, now)
        # The placer excludes other versions itself: their names might not fit.
        excluded = excluded - self._gateway.resumptions.list_excluded(relay)
        ask = make_ask(self._last_number, self._cfg, relay, excluded, now)
        # An instance of an earlier release doesn't know the last field.
        fields = ask if ask.version is not None else ask[:-1]
        self._datagrams.send(ASK, fields, peer.address)
        return True

    def _get_origin(self):
        """Return the PlacementOrigin of the choices that this instance makes."""
        places = self._placer == self._cfg.name
        return PlacementOrigin(self._cfg.data_centre, self._key if places else "")

    def _handle_timeout(self, number, item, now):
        """Choose the upstream here after an ask has timed out."""
        del self._pending[number]
        self._selector.record_timeout(item.placer, now)
        # The ask may have arrived, and only its answer been lost.
        self._queue_ended(PlacementId(number, item.placer))
        if not item.relay.ended:
            self._gateway.place_locally(item.relay, now)

    def _receive_ask(self, address, *fields):
        """Choose an upstream for another instance's request and send the answer."""
        now = read_boottime()
        ask = Ask(*fields)
        pool = self._gateway.pools.get(ask.pool)
        key = (address, ask.number)
        # Datagrams may be duplicated; the first copy has placed the request.
        if pool is None or key in self._placed or not self._rate_limit.allow(now):
            return
        demand = read_demand(ask, now)
        origin = self._get_origin()._replace(data_centre=ask.centre)
        limits = self._gateway.upstream_limits
        exhausted = limits.list_exhausted(pool.upstream_states, now)
        limits.request_credit(exhausted, now)
        brittle = self._gateway.brittle_upstreams
        exhausted |= brittle.list_full(pool, now, placing=bool(origin.placer))
        excluded = exhausted.union(ask.excluded)
        if ask.version is not None:
            excluded |= pool.list_other_versions(ask.version)
        found = pool.choose(demand, excluded, now, origin)
        answer = Answer(ask.number, self._cfg.name, self._key)
        if found is not None:
            upstream_state, estimate = found
            name = upstream_state.registration.name
            charged = limits.is_limited(name) and limits.charge(name, now)
            brittle.charge(pool, upstream_state, now, bool(origin.placer))
            pool.record_placed(key, demand, found, now)
            self._placed[key] = PlacedRequest(pool, upstream_state, demand.deadline)
            answer = fill_answer(
                answer, upstream_state, estimate._replace(charged=charged)
            )
        self._datagrams.send(ANSWER, answer, address)

    def _receive_answer(self, address, *fields):
        """Send a request to the upstream that the placer chose.

        An answer that arrives after the timeout is ignored.
        """
        now = read_boottime()
        answer = Answer(*fields)
        item = self._pending.pop(answer.number, None)
        if item is None:
            return
        self._selector.record_answer(answer.name)
        relay, placement_id = item.relay, PlacementId(answer.number, answer.name)
        found = None if relay.ended else self._read_choice(relay, answer, now)
        if found is not None:
            relay.placement_id = placement_id
            self._gateway.send_to_choice(relay, found, now)
            return
        self._queue_ended(placement_id)
        if not relay.ended:
            self._gateway.place_locally(relay, now, refused=not answer.upstream)

    def _read_choice(self, relay, answer, now):
        """Return the upstream and Estimate of an answer, or None if it is unusable.

        This instance may know of a change to the upstream that the placer had not yet
        received when it chose.
        """
        upstream_state = relay.pool.upstream_states.get(answer.upstream)
        if upstream_state is None or upstream_state.registration.leaving:
            return None
        if answer.upstream in self._gateway.list_excluded_upstreams(relay, now):
            return None
        limits = self._gateway.upstream_limits
        upstream_states = {answer.upstream: upstream_state}
        if not answer.charged and limits.list_exhausted(upstream_states, now):
            return None
        source = relay.pool.upstream_states.get(answer.source)
        return upstream_state, Estimate(
            answer.seconds,
            answer.prefill,
            source,
            answer.queued_tokens,
            answer.lightly_loaded,
            answer.placer,
            answer.charged,
            relay.pool.paces.compute_pace(upstream_state, now),
        )

    def _queue_ended(self, placement_id, failed=None):
        """Queue a report that a request has ended or isn't sent where it was placed."""
        _, ended = self._progress.setdefault(placement_id.name, ([], []))
        ended.append((placement_id.number, failed))

    def _queue_started(self, relay):
        if relay.placement_id is not None:
            started, _ = self._progress.setdefault(relay.placement_id.name, ([], []))
            started.append((relay.placement_id.number, read_boottime()))

    def _queue_placed_ended(self, relay, failed):
        if relay.placement_id is not None:
            self._queue_ended(relay.placement_id, failed)
            relay.placement_id = None

    def _queue_stated(self, relay, load):
        """Queue what a placed request's upstream stated, if that includes its pace."""
        if relay.placement_id is None or load.pace is None:
            return
        name = relay.upstream_state.registration.name
        now = read_boottime()
        if self._stated.add(relay.placement_id.name, name, load, now):
            self._send_stated(now)

    def _send_stated(self, now):
        """Send the stated loads, apart from other progress.

        An earlier release ignores a datagram with three lists; the requests in the
        other two would count as unread and in flight there.
        """
        for name, stated in self._stated.take(now).items():
            peer = self._coordinator.peers.get(name)
            if peer is not None:
                self._datagrams.send(PROGRESS, ([], [], stated), peer.address)

    def _send_progress(self):
        progress, self._progress = self._progress, {}
        now = read_boottime()
        for name, (started, ended) in progress.items():
            peer = self._coordinator.peers.get(name)
            if peer is None:
                continue
            # Sent as ages in seconds, since the machines' clocks are not comparable.
            ages = [(number, now - at) for number, at in started]
            self._datagrams.send(PROGRESS, (ages, ended), peer.address)

    def _receive_progress(self, address, started, ended, stated=()):
        """Record which placed requests of another instance began and ended.

        ``stated`` is what upstreams stated; an earlier release doesn't send it.
        """
        now = read_boottime()
        for report in read_reports(stated):
            self._record_stated(report, now)
        for number, age in started:
            key = (address, number)
            placed = self._placed.get(key)
            if placed is not None:
                placed.pool.record_placed_first_byte(
                    placed.upstream_state, key, now - age
                )
        for number, failed in ended:
            key = (address, number)
            placed = self._placed.pop(key, None)
            if placed is not None:
                placed.pool.record_placed_end(placed.upstream_state, key, failed, now)

    def _record_stated(self, report, now):
        """Record what an upstream stated in its answer to another instance."""
        for pool in self._gateway.pools.values():
            upstream_state = pool.upstream_states.get(report.upstream)
            if upstream_state is not None:
                at = now - report.age
                pool.record_stated_load(upstream_state, report.load, at, now)

    def _expire(self, now):
        for pool in self._gateway.pools.values():
            pool.expire_placed(now)
        expired = [
            key for key, placed in self._placed.items() if now >= placed.deadline
        ]
        for key in expired:
            del self._placed[key]


def fill_answer(answer, upstream_state, estimate):
    """Return the answer, filled in with the chosen upstream and its Estimate."""
    source = estimate.source
    return answer._replace(
        upstream=upstream_state.registration.name,
        seconds=estimate.seconds,
        prefill=estimate.prefill,
        source=source.registration.name if source else "",
        queued_tokens=estimate.queued_tokens,
        lightly_loaded=estimate.lightly_loaded,
        charged=estimate.charged,
    )
