"""Names in buckets by estimated wait, so that an update takes constant time."""

from heapq import nsmallest
from math import log2

from ..placement import RandomSet

# Width in seconds of the buckets below LINEAR_WAIT: the time of about 140 prompt
# tokens. Estimates get a random increase of up to 15 %, so that finer buckets would
# order nothing.
BUCKET_WIDTH = 0.004
# Seconds of wait from which the buckets' widths grow with the wait, by 4.4 % each.
LINEAR_WAIT = 0.5
BUCKETS_PER_DOUBLING = 16
LINEAR_BUCKETS = round(LINEAR_WAIT / BUCKET_WIDTH)
# The last bucket holds all waits of over two minutes.
LAST_BUCKET = LINEAR_BUCKETS + 8 * BUCKETS_PER_DOUBLING
# Names drawn from a bucket beyond those that are missing, as some may be excluded.
SPARE_DRAWS = 2
# Buckets examined before a draw gives up: where most names are excluded, the caller
# examines all of them instead.
MAX_EXAMINED_BUCKETS = 24


def find_bucket(wait):
    """Return the number of the bucket for a wait in seconds."""
    if wait < LINEAR_WAIT:
        return int(wait / BUCKET_WIDTH)
    steps = log2(wait / LINEAR_WAIT) * BUCKETS_PER_DOUBLING
    return min(LAST_BUCKET, LINEAR_BUCKETS + int(steps))


class LoadOrder:
    """Names ordered by wait; those of one bucket are equal."""

    def __init__(self):
        self._buckets = {}
        self._numbers = {}
        # Bit n is set while bucket n isn't empty, which finds the first in one step.
        self._occupied = 0

    def __len__(self):
        return len(self._numbers)

    def put(self, name, wait):
        """Add a name, or change its wait in seconds."""
        number = find_bucket(wait)
        if self._numbers.get(name) == number:
            return
        self.discard(name)
        self._numbers[name] = number
        self._buckets.setdefault(number, RandomSet()).add(name)
        self._occupied |= 1 << number

    def discard(self, name):
        """Remove a name if it is present."""
        number = self._numbers.pop(name, None)
        if number is None:
            return
        bucket = self._buckets[number]
        bucket.discard(name)
        if not bucket:
            self._occupied &= ~(1 << number)

    def pick_least(self, names, count):
        """Return the ``count`` names with the least waits; unknown names come last."""
        if len(names) <= count:
            return names
        return nsmallest(count, names, key=self._get_bucket)

    def _get_bucket(self, name):
        return self._numbers.get(name, LAST_BUCKET)

    def draw_least(self, rng, count, excluded):
        """Return up to ``count`` names with the least waits, none of the excluded."""
        drawn = []
        left = self._occupied
        for _ in range(MAX_EXAMINED_BUCKETS):
            missing = count - len(drawn)
            if missing <= 0 or not left:
                break
            lowest = left & -left
            left ^= lowest
            bucket = self._buckets[lowest.bit_length() - 1]
            names = bucket.sample(rng, missing + SPARE_DRAWS)
            drawn += [name for name in names if name not in excluded][:missing]
        return drawn
