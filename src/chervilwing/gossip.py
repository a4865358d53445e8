"""What spreads between entry instances: items, the table of them, and rumours."""

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

# Within one incarnation a higher rank wins; only the subject itself starts the next
# incarnation (SWIM, Das et al. 2002, section 4.2).
STATES = (LIVE, LEAVING, SUSPECT)
RANKS = {state: rank for rank, state in enumerate(STATES)}

HASH_BYTES = 8
BUCKETS = 32
MAX_NAME = 255
MAX_NUMBER = 2**53


class Record(NamedTuple):
    """One entry instance, as it or a neighbour that can't reach it announced it."""

    name: str
    address: Address
    data_centre: str
    region: str
    state: str = LIVE
    incarnation: int = 1


class Notice(NamedTuple):
    """Something goes away at ``deadline``, in Unix seconds."""

    kind: str
    name: str
    deadline: float


class Revision(NamedTuple):
    """The newest configuration: number, bytes when compressed, and their digest."""

    number: int
    size: int
    digest: bytes


# The order in which items are sent when the byte budget is short: a late notice loses
# work, a late revision breaks a promise, a late record only misinforms.
PRIORITIES = {Notice: 0, Revision: 1, Record: 2}


def digest(data):
    """Return the hash of bytes that all instances agree on."""
    return blake2b(data, digest_size=HASH_BYTES).digest()


def urgency_of(item):
    """Return the key that sorts the most urgent items first."""
    return PRIORITIES[type(item)]


def key_of(item):
    """Return the key under which only the newest item is kept."""
    match item:
        case Record():
            return (Record, item.name)
        case Notice():
            return (Notice, item.kind, item.name)
    return (Revision,)


def order_of(item):
    """Return what decides which of two items with one key is newer.

    The whole item breaks ties: two processes under one name and incarnation would
    otherwise keep every pair of tables different for good.
    """
    match item:
        case Record():
            return (item.incarnation, RANKS[item.state], item)
        case Notice():
            return (item.deadline, 0, item)
    return (item.number, 0, item)


def to_wire(item):
    """Return an item as the list that msgpack carries."""
    match item:
        case Record():
            host, port = item.address
            where = (item.data_centre, item.region)
            state = RANKS[item.state]
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
    if not all(type(value) is str and len(value) <= MAX_NAME for value in values):
        raise ValueError("text")


def _check_numbers(*values):
    if not all(type(value) is int and 0 <= value < MAX_NUMBER for value in values):
        raise ValueError("number")


def from_wire(parts):
    """Return the item in a received list; raise BadFrame on any other shape."""
    try:
        kind, *rest = parts
        _check_numbers(kind)
        return READERS[kind](*rest)
    except (TypeError, ValueError, IndexError) as exc:
        raise BadFrame(f"not an item: {exc}") from exc


def to_body(items):
    """Return the body of a frame that carries items."""
    return [to_wire(item) for item in items]


def read_body(body):
    """Return the items in a received body; raise BadFrame on any other shape."""
    if not isinstance(body, list):
        raise BadFrame("items are a list")
    return [from_wire(parts) for parts in body]


class Table:
    """Hold the newest item of each key, with digests by which two tables compare."""

    def __init__(self):
        self._items = {}
        self._kinds = {Record: {}, Notice: {}, Revision: {}}
        self._hashes = {}
        self._places = {}
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
        """Keep an item if it is newer; return whether it was."""
        key = key_of(item)
        old = self._items.get(key)
        if old is not None and order_of(old) >= order_of(item):
            return False
        self.drop(key)
        self._items[key] = self._kinds[type(item)][key] = item
        self._places[key] = bucket_of(key)
        # XOR sums of a linear hash such as CRC-32 come out equal when two tables
        # differ in like ways (each saw another instance restart), and the tables
        # would then never be compared; a cryptographic hash has no such pattern.
        self._hashes[key] = digest(msgpack.packb(to_wire(item)))
        self._fold(key)
        return True

    def drop(self, key):
        """Forget a key."""
        if key in self._items:
            self._fold(key)
            del self._kinds[key[0]][key]
            del self._items[key], self._hashes[key], self._places[key]

    def digest(self):
        """Return the digest of the whole table."""
        total = 0
        for value in self._buckets:
            total ^= value
        return total.to_bytes(HASH_BYTES, "big")

    def bucket_digests(self):
        """Return the digests of all buckets, one after the other."""
        return b"".join(value.to_bytes(HASH_BYTES, "big") for value in self._buckets)

    def differing_buckets(self, digests):
        """Return the numbers of the buckets that aren't as in ``digests``."""
        if type(digests) is not bytes or len(digests) != BUCKETS * HASH_BYTES:
            raise BadFrame("bucket digests have the wrong size")
        mine = self.bucket_digests()
        steps = range(0, len(mine), HASH_BYTES)
        return [
            number
            for number, at in enumerate(steps)
            if mine[at : at + HASH_BYTES] != digests[at : at + HASH_BYTES]
        ]

    def in_buckets(self, numbers):
        """Return hash to item for everything in these buckets."""
        wanted = set(numbers)
        return {
            value: self._items[key]
            for key, value in self._hashes.items()
            if self._places[key] in wanted
        }

    def _fold(self, key):
        self._buckets[self._places[key]] ^= int.from_bytes(self._hashes[key], "big")


def bucket_of(key):
    """Return the bucket of a key, the same on every instance."""
    kind, *names = key
    return digest("/".join([kind.__name__, *names]).encode())[0] % BUCKETS


class Rumour:
    """One item still being pushed: pushes left, and who is known to have it."""

    __slots__ = ("item", "copies", "told")

    def __init__(self, item, copies, told=()):
        self.item = item
        self.copies = copies
        self.told = set(told)


class Rumours:
    """Hold what this instance still has to push, the urgent first."""

    def __init__(self, copies):
        self._copies = copies
        self._rumours = {}

    def __len__(self):
        return len(self._rumours)

    def add(self, item, source=None):
        """Start pushing an item to all but the peer that it came from."""
        told = () if source is None else (source,)
        self._rumours[key_of(item)] = Rumour(item, self._copies, told)

    def note_known(self, item, peer):
        """Remember that a peer has an item, so that it isn't sent back."""
        rumour = self._rumours.get(key_of(item))
        if rumour is not None and rumour.item == item:
            rumour.told.add(peer)

    def pick(self, peer, limit):
        """Return the items to push to a peer, at most ``limit`` of them.

        Among equally urgent ones the least told go first: in a wave each peer then
        gets another part, and all parts travel on at once.
        """
        fitting = [
            rumour for rumour in self._rumours.values() if peer not in rumour.told
        ]
        fitting.sort(key=lambda rumour: (urgency_of(rumour.item), len(rumour.told)))
        return [rumour.item for rumour in fitting[:limit]]

    def note_pushed(self, items, peer):
        """Count a push; an item whose copies are used up is no longer a rumour."""
        for item in items:
            rumour = self._rumours[key_of(item)]
            rumour.told.add(peer)
            rumour.copies -= 1
            if rumour.copies == 0:
                del self._rumours[key_of(item)]

    def drop(self, item):
        """Stop pushing an item."""
        self._rumours.pop(key_of(item), None)

    def prune(self, neighbours):
        """Drop what every neighbour has."""
        if not neighbours:
            return
        for key, rumour in list(self._rumours.items()):
            if rumour.told.issuperset(neighbours):
                del self._rumours[key]


class Budget:
    """A token bucket of bytes: ``rate`` a second, ``burst`` at most at once."""

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = None

    def refill(self, now):
        """Add what the time since the last call allows."""
        passed = 0 if self._at is None else max(0, now - self._at)
        self._left = min(self._burst, self._left + passed * self._rate)
        self._at = now

    def has(self, reserve):
        """Tell whether more than a part, 0 to 1, of the burst is left."""
        return self._left > reserve * self._burst

    def spend(self, size):
        """Take ``size`` bytes out, down to none: answers to probes are always sent."""
        self._left = max(0.0, self._left - size)
