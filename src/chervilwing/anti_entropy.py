"""Compare two tables by the digests of their buckets, without sending whole tables."""

from .exceptions import BadFrame
from .gossip import HASH_BYTES


def list_differences(table, digests):
    """Return the body of a ``list``: differing buckets and the hashes in them."""
    numbers = table.differing_buckets(digests)
    return [bytes(numbers), b"".join(table.items_in_buckets(numbers))]


def compare_list(table, body):
    """Return the items that the peer lacks, and the body of a ``want`` or None."""
    numbers, theirs = check_pair(body, bytes)
    theirs = _split_hashes(theirs)
    mine = table.items_in_buckets(numbers)
    extra = [item for value, item in mine.items() if value not in theirs]
    missing = b"".join(sorted(theirs - mine.keys()))
    return extra, [numbers, missing] if missing else None


def select_wanted(table, body):
    """Return the items that a ``want`` requests."""
    numbers, wanted = check_pair(body, bytes)
    wanted = _split_hashes(wanted)
    mine = table.items_in_buckets(numbers)
    return [item for value, item in mine.items() if value in wanted]


def check_pair(body, kind):
    """Return a received pair of values of type ``kind``, or raise BadFrame."""
    if not isinstance(body, list) or [type(part) for part in body] != [kind, kind]:
        raise BadFrame(f"the body must be a pair of {kind.__name__}")
    return body


def _split_hashes(data):
    steps = range(0, len(data), HASH_BYTES)
    return {data[start : start + HASH_BYTES] for start in steps}
