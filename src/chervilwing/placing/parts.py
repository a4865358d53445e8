"""Parts of a pool's upstreams, one for each of several placers."""

from collections import Counter
from functools import lru_cache
from math import ceil
from typing import NamedTuple

from ..hashing import hash_text

# Number of instances up to which one placer chooses for all.
ONE_PLACER_INSTANCES = 256
# Asks per second that each instance sends in the largest deployment: 11,000 requests
# per second at 320 instances.
ASKS_PER_INSTANCE = 11_000 / 320
# Asks per second that a placer is meant to answer. It is three quarters of what it may
# answer, as the subjects' shares of the requests differ.
PLACER_ASKS = 750
# Upstreams in a placer's part: those that serve PLACER_ASKS in the largest deployment,
# with 11,000 requests per second before 660 upstreams.
UPSTREAMS_PER_PLACER = 45
# Seconds added to the expected wait at an upstream of another placer's part. Its load
# is known only from reports that are older than a prompt takes to be read: at 0.05 s
# twice as many answers were late in the model as at 0.2 s, without such upstreams half
# as many more.
OTHER_PART_COST = 0.2
# Seconds between two assignments of upstreams to placers, which take 10 ms: hundreds of
# upstreams may register within a second.
ASSIGN_INTERVAL = 1.0
# Pairs of names whose hashes are kept: 1,320 upstreams and 24 placers.
MAX_WEIGHTS = 2**15


class PlacerPart(NamedTuple):
    """Names of all placers in rank order, and which of them this instance is."""

    placers: tuple[str, ...]
    own: str


@lru_cache(maxsize=MAX_WEIGHTS)
def weigh(placer, name):
    """Return the rendezvous hash of a placer for a name."""
    return hash_text(f"{placer}/{name}")


def list_placers(ranked):
    """Return the names of the placers among all ranked instances."""
    if len(ranked) <= ONE_PLACER_INSTANCES:
        return tuple(ranked[:1])
    count = ceil(len(ranked) * ASKS_PER_INSTANCE / PLACER_ASKS)
    return tuple(ranked[:count])


def list_pool_placers(placers, pool, upstream_count):
    """Return the placers of a pool, which are more the more upstreams it has."""
    count = max(1, ceil(upstream_count / UPSTREAMS_PER_PLACER))
    if count >= len(placers):
        return placers
    return tuple(sorted(placers, key=lambda name: -weigh(name, pool))[:count])


@lru_cache(maxsize=2**12)
def rank_by_subject(placers, subject):
    """Return the placers in the order in which they are asked for a subject.

    A placer that joins or leaves changes the first one for its share of the subjects
    only.
    """
    return sorted(placers, key=lambda name: -hash_text(f"{name}/{subject}"))


def assign_upstreams(upstreams, placers):
    """Return the placer of each upstream, by rendezvous hashing with equal parts.

    Without the bound on each part, their sizes would differ by an eighth at 55
    upstreams each, and the smallest would be overloaded first.
    """
    most = ceil(len(upstreams) / len(placers))
    sizes, owners = Counter(), {}
    for upstream in sorted(upstreams, key=hash_text):
        free = (name for name in placers if sizes[name] < most)
        owner = max(free, key=lambda name: weigh(name, upstream))
        owners[upstream] = owner
        sizes[owner] += 1
    return owners


class PoolParts:
    """Which upstreams of a pool belong to this placer's part."""

    def __init__(self, upstream_states):
        self._upstream_states = upstream_states
        self._part = None
        self._owners = {}
        self._assigned_at = float("-inf")

    def set_part(self, part, now):
        """Set the PlacerPart, None for all; return whether the part has changed."""
        if part is None or len(part.placers) < 2:
            changed, self._part = self._part is not None, None
            return changed
        assigned = len(self._owners) == len(self._upstream_states)
        if part == self._part and (
            assigned or now - self._assigned_at < ASSIGN_INTERVAL
        ):
            return False
        self._part, self._assigned_at = part, now
        self._owners = assign_upstreams(self._upstream_states, part.placers)
        return True

    def owns(self, name):
        """Return whether an upstream belongs to the part."""
        return self._part is None or self._owners.get(name) == self._part.own
