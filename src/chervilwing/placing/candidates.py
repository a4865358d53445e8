"""Index of the upstreams of a large pool that are worth scoring for a request.

To score an upstream takes 2.6 µs, so that to score all of 660 takes longer than the
millisecond that a placer has for an ask.
"""

from ..demands import Demand
from ..placement import RandomSet
from .load_order import LoadOrder

# Upstreams of a pool up to which all are scored: this takes 0.4 ms.
MAX_SCORED_UPSTREAMS = 160
# Candidates of each kind: holders of the prompt's parts, the least loaded ones of the
# pool and of the sender's data centre, and random ones, which limit the harm where the
# order is outdated. HOLDERS are those of each part.
HOLDERS = 4
LEAST_LOADED = 4
LEAST_LOADED_NEAR = 3
RANDOM = 2
# Holders of a part from which the least loaded ones are taken. A part that all prompts
# share is held by hundreds, and most of a few random ones are busy.
HOLDER_DRAWS = 16
# Random upstreams of other placers' parts, for when the own part is busier.
RANDOM_OTHERS = 3
# Seconds within which all waits are computed again, as failure rates and the others'
# loads change with time alone, and most upstreams at a choice.
REFRESH_TIME = 2.0
MAX_REFRESHED = 16
# The request for which upstreams are ordered. Its size matters only where their paces
# differ: a slow upstream without any load would otherwise seem to be the best.
USUAL_DEMAND = Demand("", 0.0, 2000)


class CandidateIndex:
    """Upstreams of one pool by estimated wait, and draws of candidates from them.

    ``estimate_wait(state, now, placing)`` returns the seconds that a usual request is
    expected to take at an upstream until its first byte.
    """

    def __init__(self, rng, upstream_states, caches, parts, estimate_wait):
        self._rng = rng
        self._upstream_states = upstream_states
        self._caches = caches
        self._parts = parts
        self._estimate_wait = estimate_wait
        self._changed = dict.fromkeys(upstream_states)
        self._placing = None
        self._order = LoadOrder()
        self._near_orders = {}
        # The data centre under which each name is indexed.
        self._centres = {}
        self._names = RandomSet()
        # The upstreams of other placers' parts.
        self._others = RandomSet()
        # Names in the order in which their waits are computed again.
        self._rotation = []
        self._refreshed_at = float("-inf")
        # Candidates scored and choices made, for the metrics.
        self.scored = self.choices = 0

    def __len__(self):
        return len(self._centres)

    def mark_changed(self, name):
        """Note that an upstream's load, failures or registration changed."""
        self._changed[name] = None

    def mark_all_changed(self):
        """Note that this placer's part of the pool changed."""
        self._changed = dict.fromkeys(self._upstream_states)

    def list_candidates(self, shared, excluded, origin, now):
        """Return the names to score, and a list of holders of the shared parts.

        The holders may be excluded: other upstreams can fetch from them. The names are
        empty if so many upstreams are excluded that the index doesn't find the least
        loaded ones.
        """
        self._update(now, bool(origin.placer))
        rng = self._rng
        holders = self._draw_holders(shared)
        least = self._order.draw_least(rng, LEAST_LOADED, excluded)
        if len(least) < LEAST_LOADED:
            return [], holders
        names = holders + least
        near = self._near_orders.get(origin.data_centre)
        if near is not None:
            names += near.draw_least(rng, LEAST_LOADED_NEAR, excluded)
        names += self._names.sample(rng, RANDOM)
        names += self._others.sample(rng, RANDOM_OTHERS)
        names = [name for name in dict.fromkeys(names) if self._accepts(name, excluded)]
        self.choices += 1
        self.scored += len(names)
        return names, holders

    def _accepts(self, name, excluded):
        if name in excluded:
            return False
        return not self._upstream_states[name].registration.leaving

    def _draw_holders(self, shared):
        """Return the least loaded of some holders of each part, the last part first."""
        holders = {}
        for part in reversed(shared):
            found = self._caches.find_holders(part.name).sample(self._rng, HOLDER_DRAWS)
            found = [name for name in found if name not in holders]
            holders.update(dict.fromkeys(self._order.pick_least(found, HOLDERS)))
        return [name for name in holders if name in self._upstream_states]

    def _update(self, now, placing):
        """Compute the waits of changed upstreams again, and of some others."""
        if placing != self._placing:
            # Other loads count.
            self._placing = placing
            self._changed = dict.fromkeys(self._upstream_states)
        for name in self._changed:
            self._put(name, now)
        self._changed.clear()
        part = min(1.0, (now - self._refreshed_at) / REFRESH_TIME)
        count = int(len(self._upstream_states) * part)
        if count:
            self._refreshed_at = now
        for _ in range(min(MAX_REFRESHED, count)):
            if not self._rotation:
                self._rotation = list(self._upstream_states)
            self._put(self._rotation.pop(), now)

    def _put(self, name, now):
        state = self._upstream_states.get(name)
        if state is None or state.registration.leaving:
            self._discard(name)
            return
        if not self._parts.owns(name):
            self._discard(name)
            self._others.add(name)
            return
        centre = state.registration.data_centre
        if self._centres.get(name, centre) != centre:
            self._discard(name)
        self._centres[name] = centre
        self._names.add(name)
        self._others.discard(name)
        wait = self._estimate_wait(state, now, self._placing)
        self._order.put(name, wait)
        self._near_orders.setdefault(centre, LoadOrder()).put(name, wait)

    def _discard(self, name):
        self._order.discard(name)
        self._names.discard(name)
        self._others.discard(name)
        centre = self._centres.pop(name, None)
        if centre is not None:
            self._near_orders[centre].discard(name)
