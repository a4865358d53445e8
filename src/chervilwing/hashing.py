"""Hashes that are the same in every process, unlike the built-in one."""

from bisect import bisect_left
from functools import lru_cache
from hashlib import blake2b
from itertools import islice

# Points an upstream has on the ring; 64 keep arcs within about an eighth.
POINTS = 64


def hash_text(text):
    """Return a 64-bit number for the text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=2048)
def make_points(name):
    """Return the ring points of one name, kept since most names stay."""
    return tuple((hash_text(f"{name}#{index}"), name) for index in range(POINTS))


class Ring:
    """Consistent hashing of keys to names, with membership as its only input.

    A look-up costs a bisection, so that a decision at 660 upstreams costs about
    what it costs at 8; rendezvous hashing would hash every upstream each time.
    """

    def __init__(self, names=()):
        points = sorted(point for name in names for point in make_points(name))
        self._keys = [key for key, _ in points]
        self._names = [name for _, name in points]

    def find(self, key, count, live):
        """Return the first ``count`` live names that stand in for the key."""
        return list(islice(self._walk(key, live), count))

    def _walk(self, key, live):
        """Yield distinct live names from the key's place onwards."""
        start = bisect_left(self._keys, hash_text(key))
        seen = set()
        for step in range(len(self._names)):
            name = self._names[(start + step) % len(self._names)]
            if name in seen or name not in live:
                continue
            seen.add(name)
            yield name
