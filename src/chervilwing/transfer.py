"""Serve the newest configuration to peers and fetch a newer one, in chunks."""

import zlib

from .exceptions import BadFrame, TooLarge
from .gossip import Budget, Revision, digest

MAX_VALUE_BYTES = 1_048_576
CHUNK_BYTES = 49_152


class PendingFetch:
    """Hold a value that is being fetched, and the peers that have all of it."""

    def __init__(self, revision, peer, now):
        self.revision = revision
        self.holders = [peer]
        self.data = bytearray()
        self.requested_at = now

    def request_body(self):
        """Return the body of the next ``fetch``: revision number and byte offset."""
        return [self.revision.number, len(self.data)]


class Transfer:
    """Hold the newest revision with its value, and the pending fetch of a newer one."""

    def __init__(self, cfg):
        self._cfg = cfg
        self._budget = Budget(cfg.transfer_rate, cfg.transfer_burst)
        self._newest = None
        self._compressed = b""
        self._pending = None

    def refill(self, now):
        """Refill the byte budget for serving values; ``now`` in seconds."""
        self._budget.refill(now)

    def newest(self):
        """Return the newest revision held, or None."""
        return self._newest

    def value(self):
        """Return the value of the newest revision, or None."""
        return None if self._newest is None else zlib.decompress(self._compressed)

    def store_value(self, number, value):
        """Store a value unless a newer one is held; return the newest revision.

        Raise TooLarge over ``MAX_VALUE_BYTES``.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise TooLarge(
                f"a configuration of {len(value)} bytes is over {MAX_VALUE_BYTES}"
            )
        if self._is_newer(number):
            compressed = zlib.compress(value)
            self._store(
                Revision(number, len(compressed), digest(compressed)), compressed
            )
        return self._newest

    def record_offer(self, revision, peer, now):
        """Record that a peer has a revision; return the body of a fetch, or None."""
        pending = self._pending
        if not self._is_newer(revision.number):
            return None
        if pending is None or revision.number > pending.revision.number:
            self._pending = PendingFetch(revision, peer, now)
            return self._pending.request_body()
        if revision == pending.revision and peer not in pending.holders:
            pending.holders.append(peer)
        return None

    def retry(self, now):
        """Return the next holder and the body of a fetch if a reply is overdue."""
        pending = self._pending
        if pending is None or abs(now - pending.requested_at) < self._cfg.fetch_timeout:
            return None
        pending.requested_at = now
        pending.holders.append(pending.holders.pop(0))
        return pending.holders[0], pending.request_body()

    def serve(self, number, offset):
        """Return the body that answers a fetch.

        Return None if the revision isn't held, the offset is past its end, or the byte
        budget is used up.
        """
        held = self._newest is not None and self._newest.number == number
        if (
            not held
            or offset >= len(self._compressed)
            or not self._budget.is_above(0.0)
        ):
            return None
        chunk = self._compressed[offset : offset + CHUNK_BYTES]
        self._budget.spend(len(chunk))
        return [number, offset, chunk]

    def receive(self, body, now):
        """Store a chunk; return the revision once complete, else the next fetch.

        Both are returned as a pair, either of them None.
        """
        number, offset, chunk = _check_value_body(body)
        pending = self._pending
        if pending is None or number != pending.revision.number:
            return None, None
        # After a repeated request a chunk can arrive twice. Only a chunk that continues
        # the data may be appended.
        if offset != len(pending.data):
            return None, None
        pending.data += chunk
        pending.requested_at = now
        if len(pending.data) < pending.revision.size:
            return None, pending.request_body()
        return self._finish(pending), None

    def _finish(self, pending):
        compressed = bytes(pending.data)
        self._pending = None
        whole = len(compressed) == pending.revision.size
        if not whole or digest(compressed) != pending.revision.digest:
            raise BadFrame(f"value of revision {pending.revision.number} is damaged")
        _check_compressed(compressed)
        self._store(pending.revision, compressed)
        return pending.revision

    def _is_newer(self, number):
        return self._newest is None or number > self._newest.number

    def _store(self, revision, compressed):
        self._newest = revision
        self._compressed = compressed
        if self._pending and not self._is_newer(self._pending.revision.number):
            self._pending = None


def _check_value_body(body):
    if not isinstance(body, list) or [type(part) for part in body] != [int, int, bytes]:
        raise BadFrame("a value must be a number, an offset and bytes")
    return body


def _check_compressed(compressed):
    # A few kilobytes can decompress to gigabytes; without the limit a faulty peer could
    # use up the memory.
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(compressed, MAX_VALUE_BYTES + 1)
    except zlib.error as exc:
        raise BadFrame(f"value is not compressed: {exc}") from exc
    if len(value) > MAX_VALUE_BYTES or not stream.eof:
        raise BadFrame("value is over its limit or truncated")
