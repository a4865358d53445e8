"""Choose an upstream for each request, by cached prefix, load and data centre."""

from collections import OrderedDict, defaultdict

from .bounds import keep_latest
from .concurrency_limits import Pace
from .hashing import Ring
from .upstreams import UpstreamState

# Upstreams per prefix: two spread the load of a hot prefix; with more, each cache would
# hold fewer prefixes.
PREFIX_OWNERS = 2
# Ratio of an owner's load to the pool's mean above which work goes elsewhere
# (bounded-load consistent hashing, Mirrokni et al. 2016, with c = 1.25).
LOAD_BOUND = 1.25
# Fraction of the prompt that a ring owner is assumed to have cached if no hint says so.
ASSUMED_CACHED_PART = 0.5
# Below this many prompt tokens, a cached prefix saves less than sending to another data
# centre costs.
MIN_AFFINITY_TOKENS = 128
# Prefixes with cache hints; the least recently used are dropped first.
MAX_HINTS = 4096
# Each further sequence in a batch adds about this fraction of the time that a sequence
# takes alone.
BATCH_SLOWDOWN = 0.15
# Upstreams sampled at random before the pool is treated as full.
RANDOM_PICKS = 4
# Upstreams sampled among those that serve a model, if not all do. More than
# RANDOM_PICKS, because the sets by model also hold full and distant upstreams.
MODEL_PICKS = 8


class RandomSet:
    """A set from which random members are drawn in constant time."""

    def __init__(self):
        self._names = []
        self._index = {}

    def __len__(self):
        return len(self._names)

    def __contains__(self, name):
        return name in self._index

    def add(self, name):
        """Add a name."""
        if name not in self._index:
            self._index[name] = len(self._names)
            self._names.append(name)

    def discard(self, name):
        """Remove a name if it is present."""
        index = self._index.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if index < len(self._names):
            self._names[index] = last
            self._index[last] = index

    def sample(self, rng, count):
        """Return up to ``count`` distinct members, drawn at random."""
        if len(self._names) <= count:
            return list(self._names)
        drawn = [rng.choice(self._names) for _ in range(count)]
        return list(dict.fromkeys(drawn))


class CacheHints:
    """Upstreams that recently received or reported each prefix.

    The hints come from this instance's own placements and from cache events, which are
    late and incomplete.
    """

    def __init__(self):
        self._upstreams_by_prefix = OrderedDict()

    def add(self, prefix, name):
        """Record that an upstream has the prefix; the newest PREFIX_OWNERS are kept."""
        recent = self._upstreams_by_prefix.pop(prefix, ())
        others = tuple(other for other in recent if other != name)
        self._upstreams_by_prefix[prefix] = (name, *others)[:PREFIX_OWNERS]
        keep_latest(self._upstreams_by_prefix, MAX_HINTS)

    def find(self, prefix):
        """Return the names of the upstreams that may have the prefix cached."""
        return self._upstreams_by_prefix.get(prefix, ())


class PoolState:
    """The upstreams of one pool, as one entry instance sees them.

    Upstreams with free room are indexed in sets that are updated at each start, end and
    load report, so that a placement examines a few upstreams whatever the pool's size.
    """

    def __init__(self, name, data_centre, initial_pace):
        self.name = name
        self.upstream_states = {}
        self.cache_hints = CacheHints()
        self.pace = Pace(initial_pace)
        self.running = 0
        self.non_urgent_count = 0
        self.entry_count = 1
        self.reserved_slots = 0
        self.overcommit = 0
        self._data_centre = data_centre
        self._ring = Ring()
        # Keyed by keep_reserve: whether the work must leave the reserved slots free.
        self._with_room = {False: RandomSet(), True: RandomSet()}
        self._near_with_room = {False: RandomSet(), True: RandomSet()}
        self._live = RandomSet()
        self._total_load = 0
        self._total_slots = 0
        self._total_running = 0
        self._contributions = {}
        # Live upstreams by the models that they report, and those that don't report
        # their models.
        self._by_model = defaultdict(RandomSet)
        self._models_unknown = RandomSet()
        self._indexed_models = {}

    def update(self, upstreams, leaving):
        """Set the members of the pool; the state of those that stay is kept."""
        members_by_name = {upstream.name: upstream for upstream in upstreams}
        if members_by_name == {
            name: state.upstream for name, state in self.upstream_states.items()
        }:
            return
        for name in [
            name for name in self.upstream_states if name not in members_by_name
        ]:
            lost_attempts = self.upstream_states.pop(name).running.values()
            self.running -= len(lost_attempts)
            self.non_urgent_count -= sum(
                attempt.non_urgent for attempt in lost_attempts
            )
            self._update_indexes(name)
        for name, upstream in members_by_name.items():
            state = self.upstream_states.setdefault(
                name, UpstreamState(upstream, self.entry_count)
            )
            state.upstream = upstream
            state.leaving = name in leaving
        self._rebuild_ring()

    def refresh(self, name):
        """Update the totals and sets after one upstream changed."""
        self._update_indexes(name)

    def set_models(self, name, models):
        """Set the models that an upstream reports as loaded, or None."""
        self.upstream_states[name].models = models
        self._update_indexes(name)

    def is_restricted(self, work):
        """Return whether some live upstreams can't run this work."""
        return bool(work.excluded) or self._find_serving_sets(work) is not None

    def set_reserve(self, reserved_slots):
        """Reserve this many slots of each upstream for short urgent work."""
        if reserved_slots == self.reserved_slots:
            return
        self.reserved_slots = reserved_slots
        for name in self.upstream_states:
            self._update_indexes(name)

    def set_service_estimate(self, seconds, overcommit):
        """Set the typical service time and the overcommit of each upstream.

        ``seconds`` is the time that typical work takes; ``overcommit`` is the number of
        requests that may wait in each upstream beyond its slots.
        """
        for state in self.upstream_states.values():
            state.typical_seconds = seconds
        if overcommit == self.overcommit:
            return
        self.overcommit = overcommit
        for name in self.upstream_states:
            self._update_indexes(name)

    def set_entry_count(self, entry_count):
        """Set the number of entry instances that share the pool."""
        self.entry_count = max(1, entry_count)
        for name, state in self.upstream_states.items():
            state.entry_count = self.entry_count
            self._update_indexes(name)

    def count_slots(self):
        """Return the number of slots of all live upstreams."""
        return self._total_slots

    def get_load(self):
        """Return the number of requests on all live upstreams."""
        return self._total_load

    def count_live(self):
        """Return how many upstreams accept new work."""
        return len(self._live)

    def has_other(self, excluded):
        """Return whether an upstream outside ``excluded`` accepts new work."""
        upstream_states = self.upstream_states
        excluded_live = sum(
            upstream_states[name].is_live()
            for name in excluded
            if name in upstream_states
        )
        return len(self._live) > excluded_live

    def get_pause_end(self):
        """Return when the first live upstream takes new work again, 0 if one has room.

        The time may have passed already.
        """
        if len(self._with_room[False]):
            return 0.0
        ends = (self.upstream_states[n].paused_until for n in self._contributions)
        return min(ends, default=0.0)

    def count_with_room(self, keep_reserve):
        """Return how many upstreams have room for another request."""
        return len(self._with_room[keep_reserve])

    def count_free_slots(self):
        """Return the estimated number of free slots on all live upstreams."""
        live = (self.upstream_states[name] for name in self._contributions)
        return sum(max(0, state.slots - state.load) for state in live)

    def estimate_concurrency(self):
        """Return how many requests this entry instance can have running at once.

        Its requests on overcommitted upstreams don't all run: some wait there. They are
        therefore scaled by slots over load. The result is at least this instance's
        share of the slots, and at least 1.
        """
        started = self._total_running * min(
            1.0, self._total_slots / max(self._total_load, 1e-9)
        )
        return max(started, self.get_slot_share(), 1.0)

    def get_slot_share(self):
        """Return this entry instance's equal share of all live slots."""
        return self._total_slots / self.entry_count

    def choose(self, work, keep_reserve, extra, estimate, rng):
        """Return the best upstream's name, its cost and its cached tokens, or None.

        A few prefixes make up most of the requests. If each request went to the least
        loaded upstream, every prefix would be computed on every upstream; if each
        prefix always went to the same upstream, a hot prefix would overload it. The
        choice therefore weighs cached tokens against load.

        ``keep_reserve`` is set if the work must leave the reserved slots free.
        ``extra`` is the number of requests that may be sent to a full upstream in
        addition to the overcommit. ``estimate`` returns the cost of work for a number
        of cached tokens.
        """
        if self._can_use_cache(work, keep_reserve):
            cached = work.prompt_tokens + work.tokens
            return work.cache_engine, estimate(work, cached), cached
        owners = self._find_owners(work)
        serving_sets = self._find_serving_sets(work)
        if serving_sets is None:
            names = list(owners) + self._sample_with_room(rng, work, keep_reserve)
        else:
            names = self._sample_serving(rng, serving_sets)
        candidates = [
            name for name in names if self._has_room_for(name, work, keep_reserve)
        ]
        if serving_sets is not None:
            candidates = self._prefer_near(candidates)
        if not candidates and serving_sets is None:
            candidates = self._sample_full(rng, work, keep_reserve, extra)
        if not candidates:
            return None
        scored = [self._score(name, work, owners, estimate) for name in candidates]
        _, name, cost, cached = min(scored)
        return name, cost, cached

    def _can_use_cache(self, work, keep_reserve):
        """Return whether to send the work to the upstream that has its KV cache.

        When the entry instances of a data centre are reclaimed, other instances resume
        all their work. Sent elsewhere, it would all be computed a second time, on
        engines that are scarce at that moment. If the upstream with the cache has no
        room, waiting for it would cost more than computing again.
        """
        return work.cache_engine in self.upstream_states and self._has_room_for(
            work.cache_engine, work, keep_reserve
        )

    def _find_owners(self, work):
        """Map each upstream that may have the prefix to its assumed cached tokens."""
        if not work.prefix or work.prompt_tokens < MIN_AFFINITY_TOKENS:
            return {}
        owners = {}
        for name in self._ring.find(work.prefix, PREFIX_OWNERS, self._live):
            if self._is_within_bound(name):
                owners[name] = int(work.prompt_tokens * ASSUMED_CACHED_PART)
                break
        for name in self.cache_hints.find(work.prefix):
            if name in self._live:
                owners[name] = work.prompt_tokens
        return owners

    def _find_serving_sets(self, work):
        """Return the sets of live upstreams that serve the model, or None for all.

        While the engines of a pool load a new version, an engine without it answers
        with an error, and the caller loses a retry. If no engine reports the model, any
        of them may be chosen, because the report may be late.
        """
        if not work.model or len(self._models_unknown) == len(self._live):
            return None
        reporting = self._by_model.get(work.model, ())
        count = len(reporting) + len(self._models_unknown)
        if count in (0, len(self._live)):
            return None
        return (
            [reporting, self._models_unknown] if reporting else [self._models_unknown]
        )

    def _sample_serving(self, rng, serving_sets):
        return [
            name for group in serving_sets for name in group.sample(rng, MODEL_PICKS)
        ]

    def _prefer_near(self, names):
        near = [name for name in names if self._is_near(name)]
        return near or names

    def _is_near(self, name):
        return self.upstream_states[name].upstream.data_centre == self._data_centre

    def _is_within_bound(self, name):
        state = self.upstream_states[name]
        mean = self._total_load / max(1, self._total_slots)
        return state.load <= LOAD_BOUND * mean * state.slots + 1

    def _sample_with_room(self, rng, work, keep_reserve):
        """Return random upstreams with room.

        These are up to two from this data centre or, if the work may run on none of
        them, up to RANDOM_PICKS from all data centres.

        Many entry instances decide independently. If each chose the least loaded
        upstream, all would send to the same one; the better of two random choices is
        enough to spread load.
        """
        names = self._near_with_room[keep_reserve].sample(rng, 2)
        if any(name not in work.excluded for name in names):
            return names
        return self._with_room[keep_reserve].sample(rng, RANDOM_PICKS)

    def _sample_full(self, rng, work, keep_reserve, extra):
        """Return random full upstreams that may get this work beyond their slots.

        While an entry instance is below its share of the slots, it may send one more
        request. Under saturation, an instance that starts late finds every slot in use
        by the others and would otherwise get none.
        """
        if not keep_reserve and self.running < self.get_slot_share():
            extra += 1
        if not extra:
            return []
        names = self._live.sample(rng, RANDOM_PICKS)
        return [
            name
            for name in names
            if self._has_room_for(name, work, keep_reserve, extra)
        ]

    def _has_room_for(self, name, work, keep_reserve, extra=0):
        state = self.upstream_states[name]
        if name in work.excluded or not state.is_live() or state.paused_until:
            return False
        extra += self.overcommit
        return state.has_room(self.reserved_slots if keep_reserve else 0, extra)

    def _score(self, name, work, owners, estimate):
        """Return the expected seconds, the upstream's name, cost and cached tokens."""
        state = self.upstream_states[name]
        cached = owners.get(name, 0)
        cost = estimate(work, cached)
        pace = state.limit.pace or self.pace.mean
        slowdown = 1.0 + BATCH_SLOWDOWN * state.load
        queued = max(0.0, state.load + 1 - state.slots)
        wait = queued * state.typical_seconds / state.slots
        return wait + cost * pace * slowdown, name, cost, cached

    def _rebuild_ring(self):
        self._ring = Ring(self.upstream_states)
        for name in self.upstream_states:
            self._update_indexes(name)

    def _update_indexes(self, name):
        """Update the totals and sets with the present state of one upstream."""
        load, slots, running = self._contributions.pop(name, (0, 0, 0))
        self._total_load -= load
        self._total_slots -= slots
        self._total_running -= running
        state = self.upstream_states.get(name)
        live = state is not None and state.is_live()
        self._set_member(self._live, name, live)
        if live:
            running = len(state.running)
            self._contributions[name] = (state.load, state.slots, running)
            self._total_load += state.load
            self._total_slots += state.slots
            self._total_running += running
        ready = live and not state.paused_until
        near = live and self._is_near(name)
        self._index_models(name, state.models if live else frozenset())
        for keep_reserve in (False, True):
            reserved = self.reserved_slots if keep_reserve else 0
            has_room = ready and state.has_room(reserved, self.overcommit)
            self._set_member(self._with_room[keep_reserve], name, has_room)
            self._set_member(
                self._near_with_room[keep_reserve], name, has_room and near
            )

    def _index_models(self, name, models):
        """Update the sets by model; ``models`` is None if they aren't reported."""
        old_models = self._indexed_models.get(name, frozenset())
        if old_models == models:
            return
        for model in old_models or ():
            self._by_model[model].discard(name)
            if not len(self._by_model[model]):
                del self._by_model[model]
        for model in models or ():
            self._by_model[model].add(name)
        self._set_member(self._models_unknown, name, models is None)
        self._indexed_models[name] = models
        if models == frozenset():
            del self._indexed_models[name]

    def _set_member(self, members, name, present):
        if present:
            members.add(name)
        else:
            members.discard(name)
