"""Check idempotency keys (UUIDv7) and map them to the stored segment of their claim."""

import hashlib
import uuid
from typing import NamedTuple

from .exceptions import BadKey, KeyExpired, Scope

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80
MILLISECONDS = 1000


class ClaimSettings(NamedTuple):
    """Configure the claims; times in seconds, sizes in bytes of JSON.

    All instances must use the same ``shards``, ``slot`` (the length of a time slot) and
    ``ring`` (the number of cells of a shard, reused in turn). ``skew`` is the largest
    difference between two clocks, callers' included.
    """

    shards: int = 16
    slot: float = 1.0
    ring: int = 640
    window: float = 600.0
    skew: float = 5.0
    run_limit: float = 120.0
    claim_timeout: float = 1.0
    owner_timeout: float = 0.05
    suspect_time: float = 5.0
    retry_after: float = 1.0
    probe_interval: float = 1.0
    max_copy_age: float = 1.0
    max_unanswered: int = 2
    writes_per_second: float = 240.0
    write_burst: int = 4
    settle_delay: float = 0.1
    cell_idle_time: float = 30.0
    segment_limit: int = 900_000
    outcome_limit: int = 2_048


class ClaimKey(NamedTuple):
    """Hold a customer's UUIDv7; another customer's same UUID is a different key."""

    customer: str
    uuid: str

    def __str__(self):
        return f"{self.customer}/{self.uuid}"


class Place(NamedTuple):
    """Locate the claim of a key by its shard and the number of its time slot."""

    shard: int
    slot: int


def read_time(key):
    """Return the Unix time in seconds of a UUIDv7 (RFC 9562, 5.7), or raise BadKey."""
    try:
        parsed = uuid.UUID(key.uuid)
    except ValueError as exc:
        raise BadKey("not a UUID", scope=_scope(key)) from exc
    if parsed.version != UUID_VERSION or str(parsed) != key.uuid:
        raise BadKey("not a UUIDv7 in its canonical form", scope=_scope(key))
    return (parsed.int >> TIMESTAMP_SHIFT) / MILLISECONDS


def locate(cfg, key, now):
    """Return the ``Place`` of a key.

    Raise BadKey if it is malformed or its time lies in the future, KeyExpired if it is
    older than the window.
    """
    time = read_time(key)
    if time > now + cfg.skew:
        raise BadKey("the key's time lies in the future", scope=_scope(key))
    if time < now - cfg.window:
        raise KeyExpired(f"the key is older than {cfg.window:.0f} s", scope=_scope(key))
    digest = hashlib.blake2b(str(key).encode(), digest_size=4).digest()
    return Place(int.from_bytes(digest) % cfg.shards, int(time // cfg.slot))


def name_cell(cfg, place):
    """Return the store key of a place's cell; a shard has ``cfg.ring`` cells."""
    return f"claims/{place.shard}/{place.slot % cfg.ring}"


def _scope(key):
    return Scope("key", key.uuid)
