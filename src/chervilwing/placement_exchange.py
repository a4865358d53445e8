"""Exchange of placement requests between instances, one datagram per message.

An instance asks the placer for the upstream of a request (ASK), receives its choice
(ANSWER) and reports when placed requests begin and end, and what their upstreams stated
about their load (PROGRESS).
"""

from functools import partial
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .balancing import Estimate, PlacementOrigin, PoolBalancer
from .clocks import read_boottime
from .leader_queries import rank_leaders
from .logs import log_event
from .placer_selection import (
    ANSWER_TIMEOUT,
    AVOID_FOR,
    MAX_ASKED_PLACERS,
    MAX_TIMEOUTS,
    RENEWAL_INTERVAL,
    Answer,
    Ask,
    AskRateLimit,
    PlacementHooks,
    PlacementId,
    PlacerSelector,
    add_admission,
    make_ask,
    order_placers,
    read_admission_request,
    read_demand,
    trim_answer,
    trim_ask,
)
from .placing import PlacerPart, list_placers, list_pool_placers, rank_by_subject
from .pool_admission import ADMIT, WAIT, Capacity, Refuse
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
    """A request that waits for a placer's answer; ``sent_at`` is in seconds.

    ``queued`` is set once the placer keeps the ask, ``answered`` while it has answered
    the last renewal, and ``missed`` counts those without an answer. ``asked`` names the
    placers that were asked before.
    """

    relay: Relay
    placer: str
    sent_at: float
    queued: bool = False
    answered: bool = False
    missed: int = 0
    asked: tuple[str, ...] = ()


class PlacedRequest(NamedTuple):
    """Where another instance's request was placed, and when its deadline passes.

    ``answer`` is the Answer if the request was admitted, None otherwise.
    """

    pool: PoolBalancer
    upstream_state: UpstreamState
    deadline: float
    answer: Answer | None = None


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
        # All placers, by rank; only in a large deployment there are several.
        self._placers = (cfg.name,)
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
        # When other instances last asked this one, by address.
        self._asked_at = {}
        self._next_expire = 0.0
        gateway.placing = PlacementHooks(
            self._send_ask,
            self._get_origin,
            self._queue_started,
            self._queue_placed_ended,
            self._queue_stated,
            lambda: len(self._placers),
        )
        gateway.admissions.get_capacity = self._get_capacity
        datagrams.subscribe(ASK, self._receive_ask)
        datagrams.subscribe(ANSWER, self._receive_answer)
        datagrams.subscribe(PROGRESS, self._receive_progress)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._update_ranking()
        self._select_placer(now)
        for number, item in list(self._pending.items()):
            self._check_pending(number, item, now)
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
        placers = list_placers(ranked)
        if len(placers) != len(self._placers):
            log_event("placers", count=len(placers), was=len(self._placers))
        self._placers = placers

    def _select_placer(self, now):
        target = self._selector.choose(self._placer_names, now)
        if target != self._placer:
            log_event("placer", placer=target or "", was=self._placer or "")
            self._placer = target
        return target

    def _select_placer_for(self, relay, now):
        """Return the placer to ask for a request, or None where none answers."""
        if len(self._placers) < 2:
            return self._select_placer(now)
        return self._selector.choose(self._list_targets(relay), now)

    def _list_targets(self, relay):
        """Return the names in the order in which a request's upstream is asked for.

        Of several placers, the one for the prompt's subject knows where it is cached.
        Requests without a subject are spread over all.
        """
        if len(self._placers) < 2:
            return self._placer_names
        subject = relay.demand.subject or relay.demand.request_id
        ranked = rank_by_subject(self._list_pool_placers(relay.pool), subject)
        return list(dict.fromkeys([*ranked, *self._placer_names]))

    def _list_pool_placers(self, pool):
        count = len(pool.upstream_states)
        return list_pool_placers(self._placers, pool.spec.name, count)

    def _send_ask(self, relay, now):
        """Ask the placer for a request's upstream; return whether an ask was sent."""
        return self._ask(relay, self._select_placer_for(relay, now), now)

    def _ask(self, relay, target, now, asked=()):
        if target not in self._coordinator.peers:
            return False
        self._last_number += 1
        item = PendingAsk(relay, target, now, asked=asked)
        self._pending[self._last_number] = item
        self._transmit_ask(self._last_number, item, now)
        return True

    def _transmit_ask(self, number, item, now):
        """Send an ask, or send it again to renew it."""
        relay = item.relay
        peer = self._coordinator.peers.get(item.placer)
        if peer is None:
            return
        excluded = self._gateway.list_excluded_upstreams(relay, now)
        # The placer excludes other versions itself: their names might not fit.
        excluded = excluded - self._gateway.resumptions.list_excluded(relay)
        ask = make_ask(number, self._cfg, relay, excluded, now)
        if ask.priority is not None and self._gateway.needs_admission(relay):
            ask = add_admission(ask, relay, now)
        self._datagrams.send(ASK, trim_ask(ask), peer.address)

    def _get_origin(self, pool=None):
        """Return the PlacementOrigin of the choices that this instance makes."""
        own, part = self._cfg.name, None
        places = self._placer == own
        if len(self._placers) > 1 and pool is not None:
            placers = self._list_pool_placers(pool)
            if own in placers:
                places, part = True, PlacerPart(placers, own)
        return PlacementOrigin(self._cfg.data_centre, self._key if places else "", part)

    def _get_capacity(self, pool):
        """Return what part of a pool this instance decides on.

        The first placer decides on the whole pool, each of several on its part.
        One that takes its place for some instances decides on their shares, because
        others may do so for the rest.
        """
        if len(self._placers) > 1:
            placers = self._list_pool_placers(pool)
            if self._cfg.name in placers:
                # The pool knows its part; only that is measured.
                return Capacity(placing=True)
        if self._placer == self._cfg.name == self._placer_names[0]:
            return Capacity(placing=True)
        placing = self._placer == self._cfg.name or bool(self._asked_at)
        deciding = 1 + len(self._asked_at)
        instances = 1 + len(self._coordinator.peers)
        return Capacity(placing, min(1.0, deciding / instances))

    def _check_pending(self, number, item, now):
        """Renew a queued ask in time, and handle one without an answer."""
        if item.queued and item.relay.ended:
            self._pending.pop(number)
            self._queue_ended(PlacementId(number, item.placer))
        elif not item.answered:
            if now - item.sent_at >= ANSWER_TIMEOUT:
                self._handle_timeout(number, item, now)
        elif now - item.sent_at >= RENEWAL_INTERVAL:
            self._renew(number, item._replace(answered=False), now)

    def _renew(self, number, item, now):
        self._pending[number] = item._replace(sent_at=now)
        self._transmit_ask(number, item, now)

    def _handle_timeout(self, number, item, now):
        """Choose the upstream here after an ask has timed out.

        A request that has yet to be admitted goes to the next placer first, and a
        renewal is repeated once.
        """
        self._selector.record_timeout(item.placer, now)
        if item.queued and item.missed + 1 < MAX_TIMEOUTS:
            self._renew(number, item._replace(missed=item.missed + 1), now)
            return
        del self._pending[number]
        # The ask may have arrived, and only its answer been lost.
        self._queue_ended(PlacementId(number, item.placer))
        if not item.relay.ended and not self._ask_next(item, now):
            self._gateway.place_locally(item.relay, now)

    def _ask_next(self, item, now):
        """Ask the next placer for a request to admit; return whether it was asked."""
        asked = (*item.asked, item.placer)
        if item.relay.demand.band is None or len(asked) >= MAX_ASKED_PLACERS:
            return False
        if not self._gateway.needs_admission(item.relay):
            return False
        targets = self._list_targets(item.relay)
        names = [name for name in targets if name not in asked]
        return self._ask(item.relay, self._selector.choose(names, now), now, asked)

    def _receive_ask(self, address, *fields):
        """Choose an upstream for another instance's request and send the answer.

        Where admission by urgency is active, the request may be queued or refused.
        """
        now = read_boottime()
        ask = Ask(*fields)
        pool = self._gateway.pools.get(ask.pool)
        key = (address, ask.number)
        # Datagrams may be duplicated; the first copy has placed the request.
        if pool is None or self._repeat_answer(key, now):
            return
        if not self._rate_limit.allow(now):
            return
        self._asked_at[address] = now
        found = self._choose_for(ask, pool, now)
        admissions = self._gateway.admissions
        if found is None or ask.target_left is None or not admissions.is_active(pool):
            self._place(key, ask, found, now)
            return
        request = read_admission_request(ask, key, found[1], now)
        decide_later = partial(self._answer_queued, key, ask, found[1], now)
        decision = admissions.decide(pool, request, now, decide_later, renewed=True)
        if decision is ADMIT:
            self._place(key, ask, found, now)
            return
        if decision is not WAIT:
            pool.record_work(read_demand(ask, now), found[1])
        self._answer_decision(key, decision)

    def _repeat_answer(self, key, now):
        """Answer an ask again that waits or was placed; return whether it did."""
        placed = self._placed.get(key)
        if placed is not None:
            if placed.answer is not None:
                self._datagrams.send(ANSWER, trim_answer(placed.answer), key[0])
            return True
        if not self._gateway.admissions.renew(key, now):
            return False
        self._asked_at[key[0]] = now
        self._answer_decision(key, WAIT)
        return True

    def _answer_decision(self, key, decision):
        """Answer an ask that waits or is refused."""
        answer = Answer(key[1], self._cfg.name, self._key)
        if decision is WAIT:
            answer = answer._replace(queued=True)
        else:
            answer = answer._replace(retry_after=decision.retry_after)
        self._datagrams.send(ANSWER, trim_answer(answer), key[0])

    def _answer_queued(self, key, ask, estimate, asked_at, decision, now):
        """Answer an ask that has waited since ``asked_at``."""
        pool = self._gateway.pools[ask.pool]
        ask = ask._replace(seconds_left=ask.seconds_left - (now - asked_at))
        if decision is not ADMIT:
            pool.record_work(read_demand(ask, now), estimate)
            self._answer_decision(key, decision)
            return
        self._place(key, ask, self._choose_for(ask, pool, now), now)

    def _choose_for(self, ask, pool, now):
        """Return the upstream and Estimate for an ask, or None."""
        origin = self._get_origin(pool)._replace(data_centre=ask.centre)
        limits = self._gateway.upstream_limits
        exhausted = limits.list_exhausted(pool.upstream_states, now)
        limits.request_credit(exhausted, now)
        brittle = self._gateway.brittle_upstreams
        exhausted |= brittle.list_full(pool, now, placing=bool(origin.placer))
        excluded = exhausted.union(ask.excluded)
        if ask.version is not None:
            excluded |= pool.list_other_versions(ask.version)
        return pool.choose(read_demand(ask, now), excluded, now, origin)

    def _place(self, key, ask, found, now):
        """Record where an ask's request is placed, and answer with it."""
        pool = self._gateway.pools[ask.pool]
        answer = Answer(ask.number, self._cfg.name, self._key)
        if found is not None:
            upstream_state, estimate = found
            limits = self._gateway.upstream_limits
            placing = bool(self._get_origin(pool).placer)
            name = upstream_state.registration.name
            charged = limits.is_limited(name) and limits.charge(name, now)
            self._gateway.brittle_upstreams.charge(pool, upstream_state, now, placing)
            demand = read_demand(ask, now)
            pool.record_placed(key, demand, found, now)
            answer = fill_answer(
                answer, upstream_state, estimate._replace(charged=charged)
            )
            self._placed[key] = PlacedRequest(
                pool,
                upstream_state,
                demand.deadline,
                None if ask.target_left is None else answer,
            )
        self._datagrams.send(ANSWER, trim_answer(answer), key[0])

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
        if answer.queued:
            self._pending[answer.number] = item._replace(
                queued=True, answered=True, missed=0
            )
            return
        if answer.retry_after is not None:
            if not item.relay.ended:
                refusal = Refuse(answer.retry_after)
                self._gateway.refuse_overload(item.relay, refusal, now)
            return
        relay, placement_id = item.relay, PlacementId(answer.number, answer.name)
        if answer.upstream and relay.demand.band is not None:
            relay.admitted = True
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
            else:
                self._gateway.admissions.remove(key)
        self._gateway.admissions.run(self._gateway.pools, now)

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
        self._asked_at = {
            address: at
            for address, at in self._asked_at.items()
            if now < at + AVOID_FOR
        }


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
