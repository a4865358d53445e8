"""Consistent hashing, with hashes that are the same in every process."""

from bisect import bisect_left
from functools import lru_cache
from hashlib import blake2b
from itertools import islice

# Points of each name on the ring; with 64 the names' shares differ by about an eighth.
POINTS_PER_NAME = 64


def hash_text(text):
    """Return a 64-bit hash of the text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=2048)
def make_points(name):
    """Return the ring points of a name; cached, as most names stay on the ring."""
    return tuple(
        (hash_text(f"{name}#{index}"), name) for index in range(POINTS_PER_NAME)
    )


class Ring:
    """Consistent hashing of keys to names; depends on the set of names only.

    A lookup takes one bisection, so that with 660 upstreams it takes about as long as
    with 8; rendezvous hashing would hash every upstream for each lookup.
    """

    def __init__(self, names=()):
        points = sorted(point for name in names for point in make_points(name))
        self._keys = [key for key, _ in points]
        self._names = [name for _, name in points]

    def find(self, key, count, live):
        """Return the first ``count`` live names on the ring after the key."""
        return list(islice(self.iterate_from(key, live), count))

    def iterate_from(self, key, live):
        """Yield distinct live names in ring order, starting at the key's position."""
        start = bisect_left(self._keys, hash_text(key))
        seen = set()
        for step in range(len(self._names)):
            name = self._names[(start + step) % len(self._names)]
            if name in seen or name not in live:
                continue
            seen.add(name)
            yield name
