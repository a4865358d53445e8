"""Which version of an upstream's software began each stream.

What two versions write doesn't fit together, so that a stream goes on only at the
version that began it. docs/design/STREAM-VERSIONS.md compares the alternatives.
"""

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from .exceptions import DECODE_ERRORS, BadConfiguration
from .hashing import Ring

# Prefix of the keys under which the store holds the versions that streams may have
# begun at; a digest follows.
VERSIONS = "chervilwing/instances-versions/"
# The same for versions that some instances may not know yet. They are written before
# the first stream begins there.
ANNOUNCED = VERSIONS + "announced/"
# The same for versions at which no stream begins any more.
RETIRED = VERSIONS + "retired/"
# Bytes of the digests of versions and of requests' ids, which may be long.
DIGEST_SIZE = 12
# A caller's tries take at most this many times the time limit of its route.
LIFE_FACTOR = 2.0
# Streams remembered at once, for about 20 MB; the oldest are dropped first.
MAX_STREAMS = 65_536
# Instances that are told of a stream, in two data centres if there are two.
WITNESSES = 2
# Instances that are asked for a stream.
MAX_ASKED = 8


class Origin(NamedTuple):
    """The pool and the version of the upstream that began a stream."""

    pool: str
    version: str


class Entry(NamedTuple):
    """A stream's Origin, None if two were reported, and how long it is remembered."""

    origin: Origin | None
    until: float


def get_life(route):
    """Return the seconds for which a route's streams may be taken up again."""
    return LIFE_FACTOR * route.time_limit


def make_key(origin, prefix=VERSIONS):
    """Return the store's key of a version that streams may have begun at."""
    text = f"{origin.pool}\0{origin.version}".encode()
    return prefix + blake2b(text, digest_size=DIGEST_SIZE).hexdigest()


def make_stream_id(request_id):
    """Return the id of the stream whose first event a request's answer brought."""
    return blake2b(request_id.encode(), digest_size=DIGEST_SIZE).hexdigest()


def encode_origin(origin):
    """Return the stored form of an Origin."""
    return msgspec.json.encode(origin)


def decode_origin(key, data):
    """Return the Origin stored under a key, or raise BadConfiguration."""
    try:
        return msgspec.json.decode(data, type=Origin)
    except DECODE_ERRORS as exc:
        raise BadConfiguration(f"{key}: {type(exc).__name__} {exc}") from exc


class StreamVersions:
    """The Origins known to one instance; times are seconds on one clock.

    ``list_registered(pool)`` returns the versions of a pool's registered upstreams,
    ``are_fresh()`` whether that and the stored versions are up to date.
    """

    def __init__(self, list_registered):
        self._list_registered = list_registered
        self.are_fresh = lambda: True
        # Whether the store is to hold a version before a stream begins there.
        self.are_announced = False
        self._entries = OrderedDict()
        # Streams that no other instance was told of, as the keys of a dict.
        self._untold = {}
        # Origins in the store by key.
        self.stored = {}
        # Registered versions and those of them that the store lacks, by pool.
        self._unannounced = {}
        # Until when streams of the versions that were registered may be taken up.
        self._seen = {}
        # When the pools of each route last changed, by host and prefix.
        self._targets = {}

    def __len__(self):
        return len(self._entries)

    @property
    def has_untold(self):
        """Return whether no other instance knows some streams."""
        return bool(self._untold)

    def configure(self, routes, now):
        """Record which pools each route leads to."""
        changed_at = now if self._targets else float("-inf")
        known, self._targets = self._targets, {}
        for route in routes:
            key = (route.host, route.prefix)
            pools = frozenset(target.pool for target in route.targets)
            same = key in known and known[key][0] == pools
            self._targets[key] = known[key] if same else (pools, changed_at)

    def put_stored(self, key, origin):
        """Apply a version stored under a key, None if it was deleted."""
        self._unannounced.clear()
        if origin is None:
            self.stored.pop(key, None)
        else:
            self.stored[key] = origin

    def is_stored(self, pool, version):
        """Return whether the store holds a version of a pool."""
        return make_key(Origin(pool, version)) in self.stored

    def is_announced(self, pool, version):
        """Return whether the store holds a version, known to all instances or not."""
        key = make_key(Origin(pool, version), ANNOUNCED)
        return key in self.stored or self.is_stored(pool, version)

    def list_unannounced(self, pool):
        """Return the versions of a pool at which no stream may begin yet.

        If all instances ended, nobody could tell that a stream had begun there.
        """
        if not self.are_announced:
            return frozenset()
        versions = self._list_registered(pool)
        known = self._unannounced.get(pool)
        if known is not None and known[0] == versions:
            return known[1]
        found = frozenset(v for v in versions if not self.is_announced(pool, v))
        self._unannounced[pool] = versions, found
        return found

    def may_begin(self):
        """Return whether a stream may begin in each pool that has upstreams."""
        pools = {pool for names, _ in self._targets.values() for pool in names}
        versions = ((self._list_registered(pool), pool) for pool in pools)
        return all(
            not known or set(known) - self.list_unannounced(pool)
            for known, pool in versions
        )

    def observe(self, routes, now):
        """Remember which versions are registered in the pools of these routes."""
        for route in routes:
            for target in route.targets:
                for version in self._list_registered(target.pool):
                    origin = Origin(target.pool, version)
                    until = now + get_life(route)
                    self._seen[origin] = max(until, self._seen.get(origin, until))

    def list_possible(self, pool, now):
        """Return the versions at which streams of a pool may have begun."""
        found = set(self._list_registered(pool))
        found.update(item.version for item in self.stored.values() if item.pool == pool)
        found.update(
            item.version
            for item, until in self._seen.items()
            if item.pool == pool and now < until
        )
        return found

    def find_candidate(self, route, now):
        """Return the only Origin of a route's streams that is known here, or None.

        Other instances may know more: a stream goes on there only if the store holds no
        other version.
        """
        pools, changed_at = self._targets.get((route.host, route.prefix), ((), now))
        if len(pools) != 1 or now - changed_at < get_life(route):
            return None
        (pool,) = pools
        versions = self.list_possible(pool, now)
        return Origin(pool, *versions) if len(versions) == 1 else None

    def infer(self, route, now):
        """Return the only Origin that all instances can find out, or None."""
        return self.find_candidate(route, now) if self.are_fresh() else None

    def record(self, stream, origin, until):
        """Remember a stream's Origin until a time.

        Two different ones mean that two streams bear one id, and neither is believed.
        """
        known = self._entries.pop(stream, None)
        if known is not None:
            until = max(until, known.until)
            origin = origin if origin == known.origin else None
        self._entries[stream] = Entry(origin, until)
        if len(self._entries) > MAX_STREAMS:
            self._drop_oldest()

    def record_begun(self, stream, origin, until):
        """Remember a stream that this instance relays, and of which to tell others."""
        self.record(stream, origin, until)
        self._untold[stream] = None

    def find(self, stream, now):
        """Return the Origin of a stream, or None if it isn't known."""
        entry = self._entries.get(stream)
        return entry.origin if entry is not None and now < entry.until else None

    def is_disputed(self, stream, now):
        """Return whether two different Origins of a stream were reported."""
        entry = self._entries.get(stream)
        return entry is not None and entry.origin is None and now < entry.until

    def pop_untold(self, now):
        """Return the streams that no other instance knows, and mark them as told.

        The result holds (stream, Origin, seconds) for each.
        """
        untold, self._untold = self._untold, {}
        found = [(name, self._entries.get(name)) for name in untold]
        return [
            (name, item.origin, item.until - now)
            for name, item in found
            if item is not None and item.origin is not None and now < item.until
        ]

    def expire(self, now):
        """Drop the oldest streams whose time is over."""
        while self._entries and now >= next(iter(self._entries.values())).until:
            self._drop_oldest()
        if any(now >= until for until in self._seen.values()):
            self._seen = {key: at for key, at in self._seen.items() if now < at}

    def _drop_oldest(self):
        stream, _ = self._entries.popitem(last=False)
        self._untold.pop(stream, None)


class Witnesses:
    """Choose the instances that are told of a stream and asked for it.

    ``centres`` holds the data centre of each instance by name, this one's included. All
    instances make the same choice if they know the same instances; those that don't,
    differ in the instances that only one of them knows.
    """

    def __init__(self, centres):
        self._centres = centres
        self._ring = Ring(centres)

    def list_asked(self, stream):
        """Return the instances to ask, those that were told first."""
        near = self._ring.find(stream, MAX_ASKED, self._centres)
        return list(dict.fromkeys((*self.list_told(stream), *near)))

    def list_told(self, stream, teller=""):
        """Return WITNESSES of a stream, in different data centres if possible.

        The ``teller`` isn't among them.
        """
        chosen, spare = [], []
        for name in self._ring.iterate_from(stream, self._centres):
            if name == teller:
                continue
            is_near = any(self._centres[item] == self._centres[name] for item in chosen)
            (spare if is_near else chosen).append(name)
            if len(chosen) == WITNESSES or len(spare) == MAX_ASKED:
                break
        return [*chosen, *spare][:WITNESSES]
