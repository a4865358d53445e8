"""Choose the upstream of a pool that is expected to answer a request first.

Load reports are outdated when they arrive, and all instances receive the same ones, so
that all would choose the same upstream. Therefore each instance adds the requests that
it has in flight itself to those that the other instances last reported.
"""

from functools import partial
from heapq import nlargest
from types import MappingProxyType
from typing import NamedTuple

from .costs import update_average
from .hashing import Ring
from .placing import (
    MAX_SCORED_UPSTREAMS,
    OTHER_PART_COST,
    CandidateIndex,
    PeerLoads,
    PlacerPart,
    PoolParts,
)
from .placing.candidates import USUAL_DEMAND
from .prompt_caches import PromptCaches
from .service_times import ServiceTime
from .upstream_pace import PoolPaces
from .upstream_states import NO_LOAD, READ_REPORT_TIMEOUT, SentRequest, UpstreamState

# Prompt tokens per second that an engine reads while it also generates; the value used
# until about twenty answers have been measured.
INITIAL_PREFILL_RATE = 34_000.0
# Bounds of the measured rate, in tokens per second.
MIN_PREFILL_RATE = 4_000.0
MAX_PREFILL_RATE = 200_000.0
# An engine with fewer requests than this and no waiting prompt is lightly loaded: its
# answer times show the engine's own speed.
LIGHT_LOAD_REQUESTS = 6
# Prompt tokens below which an answer isn't used to measure the rate: the time of a
# single engine step dominates.
MIN_MEASURED_TOKENS = 1500
# Seconds from a request's arrival at an idle engine to the first token, and seconds
# added for each request that the engine is already running.
FIRST_TOKEN_TIME = 0.015
FIRST_TOKEN_TIME_PER_REQUEST = 0.0006
# Engine seconds of one generated token in a full batch.
TOKEN_TIME = 0.000115
# Seconds added to the expected wait for a failure rate of 1: about the time that a
# caller loses when an attempt fails and is retried.
FAILURE_COST = 3.0
# Seconds added for an upstream in another data centre: traffic between data centres is
# billed and a round trip takes 3 ms. Small enough to decide only between equal
# upstreams.
REMOTE_COST = 0.008
# Weight of the prompt tokens that other instances have waiting at one upstream; the
# rest of the weight goes to the mean of all upstreams. The reports are older than a
# prompt takes to be read: at full weight, all instances would send to the upstream that
# looked idle until the next reports arrive. Memory and requests in flight change more
# slowly and count in full.
PEER_PREFILL_WEIGHT = 0.25
# Largest random increase of an estimate, as a fraction, so that instances with the same
# information choose different upstreams.
ESTIMATE_JITTER = 0.15
# Fraction of an engine's KV memory from which it counts as full; generated tokens need
# the rest.
USABLE_MEMORY_FRACTION = 0.9
# Fraction of a pool's shortest latency target that a prompt may wait before it is read;
# the rest is for reading it. The second value is the wait in seconds that is always
# allowed.
MAX_QUEUE_FRACTION = 0.8
MIN_QUEUE_LIMIT = 0.1
# Fewest tokens worth fetching from another engine: an engine reads 512 tokens in 11 to
# 20 ms, while a fetch takes about 6 ms and uses the links.
MIN_FETCHED_TOKENS = 512
# Seconds until a fetch begins: 4 ms at the engines plus a round trip.
FETCH_SETUP_TIME = 0.006
# Weight of a busy period of an engine in the measured rate; it covers many prompts.
READING_WEIGHT = 0.2


class Estimate(NamedTuple):
    """Estimate of a request at one upstream, in seconds until the first byte.

    ``prefill`` is the number of prompt tokens that the upstream has to read for it, and
    ``queued_tokens`` those of other requests that it reads before. ``source`` is the
    upstream from which it fetches cached tokens, or None. ``lightly_loaded`` is true if
    the upstream has little other work. ``placer`` is as in SentRequest. ``charged`` is
    true if the process that chose the upstream has already charged the request to the
    upstream's limit. ``pace`` is the upstream's pace, which ``seconds`` includes.
    ``unqueued_seconds`` is the estimate without the prompts that are read before.
    """

    seconds: float
    prefill: int
    source: UpstreamState | None = None
    queued_tokens: int = 0
    lightly_loaded: bool = False
    placer: str = ""
    charged: bool = False
    pace: float = 1.0
    unqueued_seconds: float = 0.0


class CachedPrefixes(NamedTuple):
    """Leading prompt tokens that each upstream probably has in its KV cache.

    ``tokens`` maps upstream names to token counts. ``largest`` names the two upstreams
    with the highest counts, highest first: for any upstream, one of the two is the best
    other upstream to fetch from.
    """

    tokens: dict[str, int]
    largest: tuple[str, ...]


NO_CACHED_PREFIXES = CachedPrefixes({}, ())
NO_LOADS = MappingProxyType({})


class PlacementOrigin(NamedTuple):
    """Where a request is sent from, and which process chooses its upstream.

    ``data_centre`` is that of the instance that will send the request.
    ``placer`` is the name of this process if it chooses for all instances, and so knows
    what it has placed; it is empty if the process chooses for itself only.
    ``part`` is the PlacerPart of one of several placers, None if there is only one.
    """

    data_centre: str
    placer: str = ""
    part: PlacerPart | None = None


class PoolBalancer:
    """State of one pool: its upstreams' loads and their measured speed."""

    def __init__(self, spec, data_centre, rng):
        self.spec = spec
        self.upstream_states = {}
        self.paces = PoolPaces(self.upstream_states)
        self.caches = PromptCaches()
        self.rate = INITIAL_PREFILL_RATE
        # The prefill rate of lightly loaded engines.
        self.light_load_rate = INITIAL_PREFILL_RATE
        self.service_time = ServiceTime()
        # Engine seconds of work requested by callers, here and at each other instance.
        self.work = 0.0
        self.peer_work = {}
        self._own_origin = PlacementOrigin(data_centre)
        # This process, if it has chosen upstreams for all instances.
        self._placer = None
        self._rng = rng
        # Built on first use: hundreds of upstreams register at once, and rebuilding the
        # ring for each of them would take half a minute of CPU time.
        self._ring = None
        # Versions of the registered upstreams, None if they may have changed.
        self._versions = None
        # Only while the pool is large; see CandidateIndex and PeerLoads.
        self.index = None
        self._peer_loads = None
        self._parts = PoolParts(self.upstream_states)

    @property
    def is_large(self):
        """Return whether only candidates of the index are scored."""
        return len(self.upstream_states) > MAX_SCORED_UPSTREAMS

    def summarise_index(self):
        """Return the index's number of upstreams and mean candidates per choice."""
        if self.index is None:
            return 0, 0.0
        return len(self.index), round(self.index.scored / max(1, self.index.choices), 1)

    def _mark_changed(self, name):
        if self.index is not None:
            self.index.mark_changed(name)

    def put_upstream(self, registration):
        """Add an upstream, or update its registration."""
        self._versions = None
        self._mark_changed(registration.name)
        existing = self.upstream_states.get(registration.name)
        if existing is not None:
            existing.registration = registration
            return
        name = registration.name
        on_change = partial(self._mark_changed, name)
        self.upstream_states[name] = UpstreamState(registration, on_change)
        self._ring = None
        if self._peer_loads is not None:
            self._peer_loads.add_member(name)
            self.upstream_states[name].peer_loads = self._peer_loads

    def set_peer_loads(self, peer_loads, until, unplaced=NO_LOADS):
        """Update the loads reported by all other instances, by upstream name.

        ``unplaced`` is the part of them that this instance did not place. The loads
        count until the time ``until``.
        """
        if self.is_large:
            self.update_peer_loads(peer_loads, until, unplaced, complete=True)
            return
        self._set_shared_peer_loads(None)
        peer_loads = self._smooth_prefill(peer_loads)
        unplaced = self._smooth_prefill(unplaced) if unplaced else unplaced
        for name, upstream_state in self.upstream_states.items():
            upstream_state.set_peer_load(
                peer_loads[name], until, unplaced.get(name, NO_LOAD)
            )

    def update_peer_loads(self, peer_loads, until, unplaced=NO_LOADS, complete=False):
        """Update the loads at a large pool; the cost is that of what changed.

        Unless ``complete``, upstreams that aren't named keep their loads.
        """
        if self._peer_loads is None:
            shared = PeerLoads(self.upstream_states, PEER_PREFILL_WEIGHT)
            self._set_shared_peer_loads(shared)
        changed = self._peer_loads.update(peer_loads, until, unplaced, complete)
        for name in changed:
            if name in self.upstream_states:
                self._mark_changed(name)

    def _set_shared_peer_loads(self, peer_loads):
        if peer_loads is self._peer_loads:
            return
        self._peer_loads = peer_loads
        for upstream_state in self.upstream_states.values():
            upstream_state.peer_loads = peer_loads

    def _smooth_prefill(self, loads):
        """Return the load of each upstream, with prefill tokens moved towards the mean.

        See PEER_PREFILL_WEIGHT.
        """
        upstream_loads = {
            name: loads.get(name, NO_LOAD) for name in self.upstream_states
        }
        mean = sum(load.prefill for load in upstream_loads.values()) / max(
            1, len(upstream_loads)
        )
        return {
            name: load._replace(
                prefill=round(mean + PEER_PREFILL_WEIGHT * (load.prefill - mean))
            )
            for name, load in upstream_loads.items()
        }

    def add_reported_prompts(self, cached_prompts):
        """Record where other instances recently sent long prompts."""
        if self.spec.engine is not None:
            reported = [
                item for item in cached_prompts if item.upstream in self.upstream_states
            ]
            self.caches.add_reported(reported, self.spec.engine.memory_tokens)

    def remove(self, name):
        """Remove an upstream and return its address, or None if it is unknown."""
        upstream_state = self.upstream_states.pop(name, None)
        if upstream_state is None:
            return None
        self._ring = self._versions = None
        self.caches.remove_upstream(name)
        self._mark_changed(name)
        if self._peer_loads is not None:
            self._peer_loads.remove_member(name)
        if not self.is_large:
            self.index = None
        return upstream_state.registration.address

    def list_versions(self):
        """Return the versions of all registered upstreams."""
        if self._versions is None:
            states = self.upstream_states.values()
            self._versions = frozenset(state.registration.version for state in states)
        return self._versions

    def list_other_versions(self, version):
        """Return the names of the upstreams that have another version."""
        return frozenset(
            name
            for name, state in self.upstream_states.items()
            if state.registration.version != version
        )

    def list_accepting(self, excluded=()):
        """Return the upstreams that accept new requests, except excluded names."""
        return [
            upstream_state
            for name, upstream_state in self.upstream_states.items()
            if not upstream_state.registration.leaving and name not in excluded
        ]

    def list_part(self):
        """Return the upstreams that accept new requests in this placer's part."""
        return [
            state
            for state in self.list_accepting()
            if self._parts.owns(state.registration.name)
        ]

    def choose(self, demand, excluded, now, origin=None):
        """Return the best upstream and its Estimate, or None if there is none.

        Without an ``origin`` this instance chooses for itself.
        """
        origin = origin or self._own_origin
        placing = bool(origin.placer)
        if self._parts.set_part(origin.part, now) and self.index is not None:
            self.index.mark_all_changed()
        self._placer = origin.placer or self._placer
        candidates, asked = self._list_candidates(demand, excluded, origin, now)
        if not candidates:
            return None
        prefixes = self._find_cached_prefixes(demand, candidates, placing, asked)
        ranked = []
        for upstream_state in candidates:
            estimate = self.estimate(upstream_state, demand, now, prefixes, placing)
            score = self._score(upstream_state, estimate, origin.data_centre, now)
            if not self._parts.owns(upstream_state.registration.name):
                score += OTHER_PART_COST
            ranked.append((score, len(ranked), estimate))
        _, index, estimate = min(ranked)
        return candidates[index], estimate._replace(placer=origin.placer)

    def _list_candidates(self, demand, excluded, origin, now):
        """Return the upstreams to score, and the names to ask for cached parts.

        In a large pool these are the index's candidates, or all if it finds too few.
        """
        if not self.is_large:
            return self.list_accepting(excluded), self.upstream_states
        if self.index is None:
            self.index = CandidateIndex(
                self._rng,
                self.upstream_states,
                self.caches,
                self._parts,
                self._estimate_wait,
            )
        shared = self._list_shared(demand)
        names, holders = self.index.list_candidates(shared, excluded, origin, now)
        if not names:
            return self.list_accepting(excluded), self.upstream_states
        if shared and not origin.placer:
            names += self._find_live_owner(demand, excluded, names)
        states = [self.upstream_states[name] for name in names]
        return states, dict.fromkeys(holders + names)

    def _estimate_wait(self, upstream_state, now, placing):
        """Return the seconds that a usual request would take at an upstream."""
        estimate = self.estimate(upstream_state, USUAL_DEMAND, now, placing=placing)
        return estimate.seconds + upstream_state.get_failure_rate(now) * FAILURE_COST

    def _list_shared(self, demand):
        return demand.parts[:-1] if self.spec.engine is not None else ()

    def _find_live_owner(self, demand, excluded, known):
        """Return the subject's upstream on the ring, unless excluded or known."""
        for name in self._get_ring().iterate_from(demand.subject, self.upstream_states):
            state = self.upstream_states[name]
            if name not in excluded and not state.registration.leaving:
                return [] if name in known else [name]
        return []

    def estimate(
        self, upstream_state, demand, now, prefixes=NO_CACHED_PREFIXES, placing=False
    ):
        """Return the Estimate of a request at an upstream, ignoring failure rates.

        ``prefixes`` holds the prompt tokens that each upstream probably has cached.
        """
        load = upstream_state.count(now, placing)
        pace = self.paces.compute_pace(upstream_state, now)
        if self.spec.engine is None:
            slots = max(1, upstream_state.registration.slots)
            unknown = self.paces.count_unknown_calls(upstream_state, now)
            rounds = (load.requests + unknown + 1) / slots
            seconds = self.service_time.estimate(now) * max(1.0, rounds) * pace
            return Estimate(seconds, 0, pace=pace)
        cached, fetched, source = self._plan_fetch(upstream_state, prefixes)
        prefill = max(0, demand.prompt_tokens - cached - fetched)
        queued = load.prefill
        if demand.band is not None:
            # Engines read more urgent prompts first.
            queued -= upstream_state.count_less_urgent(demand.band, placing)
        seconds = (queued + prefill) / self.rate
        seconds += FIRST_TOKEN_TIME + FIRST_TOKEN_TIME_PER_REQUEST * load.requests
        seconds *= pace
        if source is not None:
            seconds += self._estimate_fetch_time(fetched)
        unqueued = seconds - queued / self.rate * pace
        if self._is_full(load, demand):
            seconds += self._estimate_slot_wait(load)
        lightly_loaded = not load.prefill and load.requests < LIGHT_LOAD_REQUESTS
        return Estimate(
            seconds,
            prefill,
            source,
            queued,
            lightly_loaded,
            pace=pace,
            unqueued_seconds=unqueued,
        )

    def is_overloaded(self, estimate, shortest_target):
        """Return whether the queue is too long to meet the shortest latency target.

        ``shortest_target`` is that target in seconds, of all routes to the pool. Under
        an overload of several seconds, each prompt would wait for all before it, all
        answers would start late and the engines' work would be wasted; so no queue may
        grow beyond what that target allows. The bound is the same for requests of all
        kinds and sizes: a longer queue for some would leave no room for the rest.
        Return False if the request was not placed by a placer, as the queue lengths are
        not known well enough then.
        """
        if self.spec.engine is None or not estimate.placer:
            return False
        limit = max(MIN_QUEUE_LIMIT, shortest_target * MAX_QUEUE_FRACTION)
        return estimate.queued_tokens / self.rate * estimate.pace > limit

    def _plan_fetch(self, upstream_state, prefixes):
        """Return the tokens that an upstream has cached, may fetch, and the source."""
        name = upstream_state.registration.name
        cached = prefixes.tokens.get(name, 0)
        best = next((other for other in prefixes.largest if other != name), None)
        if not self.spec.engine.link_rate or best is None:
            return cached, 0, None
        missing = prefixes.tokens[best] - cached
        if missing < MIN_FETCHED_TOKENS:
            return cached, 0, None
        return cached, missing, self.upstream_states[best]

    def _estimate_fetch_time(self, tokens):
        engine = self.spec.engine
        return FETCH_SETUP_TIME + tokens * engine.token_bytes * 8 / engine.link_rate

    def _is_full(self, load, demand):
        capacity = self.spec.engine.memory_tokens * USABLE_MEMORY_FRACTION
        tokens = load.tokens + demand.prompt_tokens + demand.output_tokens
        return load.requests >= self.spec.engine.slots or tokens > capacity

    def _estimate_slot_wait(self, load):
        """Return roughly the seconds until one of the running requests ends."""
        return 1.0 + load.requests / self.spec.engine.slots

    def _score(self, upstream_state, estimate, centre, now):
        remote = upstream_state.registration.data_centre != centre
        seconds = estimate.seconds * self._rng.uniform(1.0, 1.0 + ESTIMATE_JITTER)
        seconds += upstream_state.get_failure_rate(now) * FAILURE_COST
        return seconds + (REMOTE_COST if remote else 0.0)

    def _find_cached_prefixes(self, demand, candidates, placing=False, names=None):
        """Return the CachedPrefixes of a prompt's shared parts.

        If no upstream is known to have all of the shared parts, the subject's upstream
        on the hash ring is assumed to have them: other instances use the same ring and
        may just have sent the subject there. A process that is placing for all
        instances knows where it sent them and assumes nothing. ``names`` are the
        upstreams that may have some of the parts.
        """
        shared = self._list_shared(demand)
        if not shared:
            return NO_CACHED_PREFIXES
        names = self.upstream_states if names is None else names
        counted = ((name, self.caches.count_cached(name, shared)) for name in names)
        tokens = {name: count for name, count in counted if count}
        total = sum(part.tokens for part in shared)
        if not placing and total not in tokens.values():
            for owner in self._find_ring_owner(demand, candidates):
                tokens[owner] = total
        return CachedPrefixes(tokens, tuple(nlargest(2, tokens, key=tokens.get)))

    def _find_ring_owner(self, demand, candidates):
        """Return the subject's upstream on the hash ring, as a list of at most one."""
        names = {upstream_state.registration.name for upstream_state in candidates}
        return self._get_ring().find(demand.subject, 1, names)

    def _get_ring(self):
        if self._ring is None:
            self._ring = Ring(self.upstream_states)
        return self._ring

    def record_work(self, demand, estimate):
        """Add a request's work to the total, once, whatever its outcome.

        The work is counted at the speed of lightly loaded engines and not per attempt.
        Overloaded engines are slow, and refused requests are sent twice: if the current
        speed were used, or each attempt counted, the work would seem to grow as engines
        are lost, and ever more upstreams would be ordered.
        """
        self.work += estimate.prefill / self.light_load_rate
        self.work += demand.expected_tokens * TOKEN_TIME

    def record_sent(self, upstream_state, demand, estimate, now):
        """Record that this instance sends a request to an upstream."""
        sent = make_sent(demand, estimate, now)
        upstream_state.own_requests.add(demand.request_id, sent)
        upstream_state.pace.record_sent(now)
        self._record_prompt(upstream_state, demand, now)

    def record_placed(self, key, demand, found, now):
        """Record that an upstream was chosen for another instance's request.

        ``key`` identifies the request among those of all other instances. ``found`` is
        the pair of upstream and Estimate.
        """
        upstream_state, estimate = found
        sent = make_sent(demand, estimate, now)._replace(
            assumed_read_at=now + 2 * estimate.seconds + READ_REPORT_TIMEOUT,
            assumed_ended_at=demand.deadline,
        )
        upstream_state.placed_requests.add(key, sent)
        upstream_state.pace.record_sent(now)
        self._record_prompt(upstream_state, demand, now)

    def _record_prompt(self, upstream_state, demand, now):
        if self.spec.engine is not None:
            self.caches.record(
                upstream_state.registration.name,
                demand.parts[:-1],
                self.spec.engine.memory_tokens,
                now,
            )

    def record_first_byte(self, upstream_state, demand, now):
        """Record an answer's first byte; return whether it is the first such call."""
        sent = upstream_state.own_requests.start(demand.request_id)
        return self._update_speed(upstream_state, sent, now)

    def record_placed_first_byte(self, upstream_state, key, now):
        """Record the first byte of an answer to another instance's request."""
        sent = upstream_state.placed_requests.start(key)
        return self._update_speed(upstream_state, sent, now)

    def record_stated_load(self, upstream_state, load, at, now):
        """Record the StatedLoad that an upstream stated at the time ``at``."""
        self.paces.record_stated(upstream_state, load, at, now)
        self._mark_changed(upstream_state.registration.name)

    def _update_speed(self, upstream_state, sent, now):
        """Update the measured speed from a request whose prompt was just read.

        Return False, and change nothing, if ``sent`` is None.
        """
        if sent is None:
            return False
        elapsed = now - sent.at
        tokens = sent.prefill + sent.queued_tokens
        if self.spec.engine is None:
            predicted = self.service_time.estimate(now)
            pace = self.paces.record_sample(upstream_state, elapsed, predicted, now)
            self.service_time.record(elapsed / pace, now)
        elif sent.band is not None and not sent.lightly_loaded:
            # More urgent prompts that came later may have been read first.
            self._record_reading(upstream_state, sent, now)
        elif tokens >= MIN_MEASURED_TOKENS and elapsed > FIRST_TOKEN_TIME:
            rate = tokens / (elapsed - FIRST_TOKEN_TIME)
            rate *= self.paces.record_sample(
                upstream_state, 1.0 / rate, 1.0 / self.rate, now
            )
            rate = min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, rate))
            self.rate = update_average(self.rate, rate)
            if sent.lightly_loaded:
                self.light_load_rate = update_average(self.light_load_rate, rate)
        return True

    def _record_reading(self, upstream_state, sent, now):
        """Update the measured speed by a busy period of an engine.

        Only the process that chose the upstream knows all that the engine has to read.
        """
        if sent.placer != self._placer:
            return
        own, placed = upstream_state.own_load, upstream_state.placed_requests.load
        measured = upstream_state.reading_rate.record(
            sent.prefill, now, own.prefill + placed.prefill
        )
        if measured is not None:
            measured *= self.paces.record_sample(
                upstream_state, 1.0 / measured, 1.0 / self.rate, now
            )
            rate = min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, measured))
            self.rate = update_average(self.rate, rate, READING_WEIGHT)

    def record_placed_end(self, upstream_state, key, failed, now):
        """Record the end of another instance's attempt.

        ``failed`` is None if the attempt says nothing about the upstream.
        """
        upstream_state.placed_requests.remove(key)
        if failed is not None:
            upstream_state.record(failed, now)

    def expire_placed(self, now):
        """Expire placed requests that other instances have not reported in time."""
        for upstream_state in self.upstream_states.values():
            upstream_state.placed_requests.expire(now)

    def record_end(self, upstream_state, demand, failed, now):
        """Record the end of an attempt of this instance.

        ``failed`` is None if the attempt says nothing about the upstream.
        """
        upstream_state.own_requests.remove(demand.request_id)
        if failed is not None:
            upstream_state.record(failed, now)


def make_sent(demand, estimate, now):
    """Return the SentRequest of a request that is sent to an upstream now."""
    return SentRequest(
        estimate.prefill,
        demand.prompt_tokens + demand.output_tokens,
        estimate.queued_tokens,
        now,
        estimate.lightly_loaded,
        placer=estimate.placer,
        band=demand.band,
    )
