"""Room in a pool's engines: what may be sent to them now, by band."""

from typing import NamedTuple

from ..balancing import USABLE_MEMORY_FRACTION
from ..queues import BANDS

# Seconds of prefill that an engine is sent in advance. Reports of prompts that were
# read take up to a tick (0.05 s) at the sender and one at the placer; without the next
# prompt the engine would be idle for that time.
SENT_IN_ADVANCE = 0.15


class Room(NamedTuple):
    """Capacity of a pool for the deciding instance, in prompt tokens.

    ``rate`` is the number of tokens per second that the engines prefill. ``queued``
    holds, by band, the tokens that wait in the engines in that and more urgent bands,
    and ``free`` the tokens that may be sent in addition.
    """

    rate: float
    queued: tuple[float, ...]
    free: tuple[float, ...]

    def take(self, request):
        """Return the Room that is left after a request was admitted."""
        band, cost = request.band, request.cost
        queued = (*self.queued[:band], *(item + cost for item in self.queued[band:]))
        free = (*self.free[:band], *(item - cost for item in self.free[band:]))
        return self._replace(queued=queued, free=free)


def measure_room(pool, now, placing, share=1.0, scale=1.0):
    """Return the Room of a pool, given its PoolBalancer.

    An instance that decides for itself only has a ``share`` of the engines below 1 and
    counts its own requests; the others have theirs. ``scale`` corrects the estimated
    speed of the engines.
    """
    states = pool.list_part()
    alone = share < 1.0
    queued, free = [0.0] * len(BANDS), [0.0] * len(BANDS)
    rate = usable_rate = 0.0
    paced = pool.paces.is_active(now)
    engine, speed = pool.spec.engine, pool.rate * scale
    for state in states:
        if paced:
            speed = pool.rate * scale / pool.paces.compute_pace(state, now)
        rate += speed
        window = 0.0
        if _has_slot(engine, state.count(now, placing)):
            window = speed * SENT_IN_ADVANCE
            usable_rate += speed
        loads = state.count_by_band(now, placing, own=alone)
        for band, tokens in enumerate(loads):
            queued[band] += tokens
            if tokens < window:
                free[band] += window - tokens
    if alone:
        window = usable_rate * SENT_IN_ADVANCE * share
        free = [max(0.0, window - tokens) for tokens in queued]
    return Room(rate * share, tuple(queued), tuple(free))


def _has_slot(engine, load):
    usable_tokens = engine.memory_tokens * USABLE_MEMORY_FRACTION
    return load.requests < engine.slots and load.tokens < usable_tokens
