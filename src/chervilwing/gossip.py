"""The items gossiped between entry instances, their table, and rumours."""

from hashlib import blake2b
from typing import NamedTuple

import msgpack

from .exceptions import BadFrame
from .models import Address

LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"

UPSTREAM = "upstream"
ENTRY = "entry"
DATA_CENTRE = "data_centre"

NOTICE_KINDS = (UPSTREAM, ENTRY, DATA_CENTRE)

# Within an incarnation the state of higher rank wins; only the instance itself starts
# its next incarnation (SWIM, Das et al. 2002, section 4.2).
STATES = (LIVE, LEAVING, SUSPECT)
STATE_RANKS = {state: rank for rank, state in enumerate(STATES)}

HASH_BYTES = 8
BUCKETS = 32
MAX_NAME_LENGTH = 255
MAX_NUMBER = 2**53


class Record(NamedTuple):
    """Describe an entry instance.

    The instance announces its record; a peer that can't reach it marks it suspect.
    """

    name: str
    address: Address
    data_centre: str
    region: str
    state: str = LIVE
    incarnation: int = 1


class Notice(NamedTuple):
    """Announce that an upstream, entry or data centre goes away at ``deadline``.

    The deadline is in Unix seconds.
    """

    kind: str
    name: str
    deadline: float


class Revision(NamedTuple):
    """Identify a configuration: its number, compressed size in bytes and digest."""

    number: int
    size: int
    digest: bytes


# The order in which items are sent when the byte budget is short. A late notice loses
# work, a late revision breaks the time limit for changes, a late record only leaves
# outdated information.
PRIORITIES = {Notice: 0, Revision: 1, Record: 2}


def digest(data):
    """Return the 8 byte hash of ``data``, the same on every instance."""
    return blake2b(data, digest_size=HASH_BYTES).digest()


def priority_of(item):
    """Return the sort key of an item, 0 for the most urgent."""
    return PRIORITIES[type(item)]


def key_of(item):
    """Return the key of an item in the table, which holds the newest item of a key."""
    match item:
        case Record():
            return (Record, item.name)
        case Notice():
            return (Notice, item.kind, item.name)
    return (Revision,)


def version_of(item):
    """Return the sort key that orders items of the same key from old to new.

    The item itself breaks ties. Otherwise two processes with the same name and
    incarnation would make the tables of all instances differ for good.
    """
    match item:
        case Record():
            return (item.incarnation, STATE_RANKS[item.state], item)
        case Notice():
            return (item.deadline, 0, item)
    return (item.number, 0, item)


def to_wire(item):
    """Return an item as a list for msgpack."""
    match item:
        case Record():
            host, port = item.address
            where = (item.data_centre, item.region)
            state = STATE_RANKS[item.state]
            return [0, item.name, host, port, *where, state, item.incarnation]
        case Notice():
            return [1, NOTICE_KINDS.index(item.kind), item.name, item.deadline]
    return [2, *item]


def _read_record(name, host, port, data_centre, region, state, incarnation):
    _check_texts(name, host, data_centre, region)
    _check_numbers(port, state, incarnation)
    address = Address(host, port)
    return Record(name, address, data_centre, region, STATES[state], incarnation)


def _read_notice(kind, name, deadline):
    _check_texts(name)
    _check_numbers(kind)
    if type(deadline) not in (int, float) or not 0 <= deadline < 1e12:
        raise ValueError("deadline")
    return Notice(NOTICE_KINDS[kind], name, float(deadline))


def _read_revision(number, size, value_digest):
    _check_numbers(number, size)
    if type(value_digest) is not bytes or len(value_digest) != HASH_BYTES:
        raise ValueError("digest")
    return Revision(number, size, value_digest)


READERS = (_read_record, _read_notice, _read_revision)


def _check_texts(*values):
    if not all(
        type(value) is str and len(value) <= MAX_NAME_LENGTH for value in values
    ):
        raise ValueError("text")


def _check_numbers(*values):
    if not all(type(value) is int and 0 <= value < MAX_NUMBER for value in values):
        raise ValueError("number")


def from_wire(parts):
    """Return the item that a received list encodes; raise BadFrame if malformed."""
    try:
        kind, *rest = parts
        _check_numbers(kind)
        return READERS[kind](*rest)
    except (TypeError, ValueError, IndexError) as exc:
        raise BadFrame(f"not an item: {exc}") from exc


def encode_items(items):
    """Return items as the body of a frame."""
    return [to_wire(item) for item in items]


def decode_items(body):
    """Return the items in a received body; raise BadFrame if malformed."""
    if not isinstance(body, list):
        raise BadFrame("items must be a list")
    return [from_wire(parts) for parts in body]


class Table:
    """Hold the newest item of each key, with digests to compare two tables."""

    def __init__(self):
        self._items = {}
        self._kinds = {Record: {}, Notice: {}, Revision: {}}
        self._hashes = {}
        self._bucket_numbers = {}
        self._buckets = [0] * BUCKETS

    def __len__(self):
        return len(self._items)

    def get(self, key):
        """Return the item of a key, or None."""
        return self._items.get(key)

    def items(self, kind):
        """Return all items of one type."""
        return list(self._kinds[kind].values())

    def merge(self, item):
        """Store an item if it is newer; return whether it was."""
        key = key_of(item)
        old = self._items.get(key)
        if old is not None and version_of(old) >= version_of(item):
            return False
        self.drop(key)
        self._items[key] = self._kinds[type(item)][key] = item
        self._bucket_numbers[key] = bucket_of(key)
        # With a linear hash such as CRC-32, the XOR sums of two tables can be equal
        # although similar items differ (each table saw another instance restart), and
        # the difference would stay undetected. A cryptographic hash avoids this.
        self._hashes[key] = digest(msgpack.packb(to_wire(item)))
        self._toggle(key)
        return True

    def drop(self, key):
        """Remove the item of a key, if any."""
        if key in self._items:
            self._toggle(key)
            del self._kinds[key[0]][key]
            del self._items[key], self._hashes[key], self._bucket_numbers[key]

    def digest(self):
        """Return the digest of the whole table."""
        total = 0
        for value in self._buckets:
            total ^= value
        return total.to_bytes(HASH_BYTES, "big")

    def bucket_digests(self):
        """Return the concatenated digests of all buckets."""
        return b"".join(value.to_bytes(HASH_BYTES, "big") for value in self._buckets)

    def differing_buckets(self, digests):
        """Return the numbers of the buckets whose digests differ from ``digests``."""
        if type(digests) is not bytes or len(digests) != BUCKETS * HASH_BYTES:
            raise BadFrame("bucket digests have the wrong size")
        mine = self.bucket_digests()
        steps = range(0, len(mine), HASH_BYTES)
        return [
            number
            for number, start in enumerate(steps)
            if mine[start : start + HASH_BYTES] != digests[start : start + HASH_BYTES]
        ]

    def items_in_buckets(self, numbers):
        """Return the items in these buckets by their hash."""
        wanted = set(numbers)
        return {
            value: self._items[key]
            for key, value in self._hashes.items()
            if self._bucket_numbers[key] in wanted
        }

    def _toggle(self, key):
        self._buckets[self._bucket_numbers[key]] ^= int.from_bytes(
            self._hashes[key], "big"
        )


def bucket_of(key):
    """Return the bucket number of a key, the same on every instance."""
    kind, *names = key
    return digest("/".join([kind.__name__, *names]).encode())[0] % BUCKETS


class Rumour:
    """Hold an item to push, the pushes left, and the peers known to have it."""

    __slots__ = ("item", "pushes_left", "holders")

    def __init__(self, item, pushes_left, holders=()):
        self.item = item
        self.pushes_left = pushes_left
        self.holders = set(holders)


class Rumours:
    """Hold the items to push; each is pushed ``max_pushes`` times at most."""

    def __init__(self, max_pushes):
        self._max_pushes = max_pushes
        self._rumours = {}

    def __len__(self):
        return len(self._rumours)

    def add(self, item, source=None):
        """Start pushing an item to peers other than its source."""
        holders = () if source is None else (source,)
        self._rumours[key_of(item)] = Rumour(item, self._max_pushes, holders)

    def record_holder(self, item, peer):
        """Record that a peer has an item, so that it isn't pushed to this peer."""
        rumour = self._rumours.get(key_of(item))
        if rumour is not None and rumour.item == item:
            rumour.holders.add(peer)

    def select(self, peer, limit):
        """Return at most ``limit`` items to push to a peer, the most urgent first.

        Among equally urgent items, those with the fewest known holders come first.
        Thus, when there are many items, each peer gets different ones and pushes them.
        """
        eligible = [
            rumour for rumour in self._rumours.values() if peer not in rumour.holders
        ]
        eligible.sort(
            key=lambda rumour: (priority_of(rumour.item), len(rumour.holders))
        )
        return [rumour.item for rumour in eligible[:limit]]

    def record_push(self, items, peer):
        """Count a push of these items; stop pushing an item that has no pushes left."""
        for item in items:
            rumour = self._rumours[key_of(item)]
            rumour.holders.add(peer)
            rumour.pushes_left -= 1
            if rumour.pushes_left == 0:
                del self._rumours[key_of(item)]

    def drop(self, item):
        """Stop pushing an item."""
        self._rumours.pop(key_of(item), None)

    def prune(self, neighbours):
        """Drop the items that every neighbour has."""
        if not neighbours:
            return
        for key, rumour in list(self._rumours.items()):
            if rumour.holders.issuperset(neighbours):
                del self._rumours[key]


class Budget:
    """Limit bytes by a token bucket: ``rate`` a second, at most ``burst`` at once."""

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._available = burst
        self._refilled_at = None

    def refill(self, now):
        """Add the bytes allowed for the time since the last call."""
        passed = 0 if self._refilled_at is None else max(0, now - self._refilled_at)
        self._available = min(self._burst, self._available + passed * self._rate)
        self._refilled_at = now

    def is_above(self, reserve):
        """Return whether more than ``reserve``, 0 to 1, of the burst is left."""
        return self._available > reserve * self._burst

    def spend(self, size):
        """Remove ``size`` bytes, but keep at least 0.

        More can be spent than is left, since probes and their replies are always sent.
        """
        self._available = max(0.0, self._available - size)
