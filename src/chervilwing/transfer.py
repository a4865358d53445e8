"""Fetch the value of a newer configuration from a peer, in chunks."""

import zlib

from .exceptions import BadFrame, TooLarge
from .gossip import Budget, Revision, digest

MAX_VALUE = 1_048_576
CHUNK = 49_152


class Pending:
    """A value on its way: what is here of it, and who has the whole of it."""

    def __init__(self, revision, peer, now):
        self.revision = revision
        self.holders = [peer]
        self.data = bytearray()
        self.asked = now

    def ask(self):
        """Return the body of the next fetch."""
        return [self.revision.number, len(self.data)]


class Transfer:
    """Hold the newest revision with its value, and the fetch of a newer one."""

    def __init__(self, cfg):
        self._cfg = cfg
        self._budget = Budget(cfg.transfer_rate, cfg.transfer_burst)
        self._newest = None
        self._packed = b""
        self._pending = None

    def refill(self, now):
        """Add what the time since the last call allows to the bytes to serve."""
        self._budget.refill(now)

    def newest(self):
        """Return the newest revision held, or None."""
        return self._newest

    def value(self):
        """Return the value of the newest revision, or None."""
        return None if self._newest is None else zlib.decompress(self._packed)

    def keep(self, number, value):
        """Keep a value unless a newer one is here; raise TooLarge over a megabyte."""
        if len(value) > MAX_VALUE:
            raise TooLarge(f"a configuration of {len(value)} bytes is over {MAX_VALUE}")
        if self._is_newer(number):
            packed = zlib.compress(value)
            self._store(Revision(number, len(packed), digest(packed)), packed)
        return self._newest

    def offer(self, revision, peer, now):
        """Note that a peer has a revision; return the body of a fetch, or None."""
        pending = self._pending
        if not self._is_newer(revision.number):
            return None
        if pending is None or revision.number > pending.revision.number:
            self._pending = Pending(revision, peer, now)
            return self._pending.ask()
        if revision == pending.revision and peer not in pending.holders:
            pending.holders.append(peer)
        return None

    def ask_again(self, now):
        """Return the next holder and the body of a fetch when an answer is overdue."""
        pending = self._pending
        if pending is None or abs(now - pending.asked) < self._cfg.fetch_timeout:
            return None
        pending.asked = now
        pending.holders.append(pending.holders.pop(0))
        return pending.holders[0], pending.ask()

    def serve(self, number, offset):
        """Return the body that answers a fetch, or None when it can't be answered."""
        held = self._newest is not None and self._newest.number == number
        if not held or offset >= len(self._packed) or not self._budget.has(0.0):
            return None
        chunk = self._packed[offset : offset + CHUNK]
        self._budget.spend(len(chunk))
        return [number, offset, chunk]

    def receive(self, body, now):
        """Take a chunk; return the revision when it is whole, and the next fetch."""
        number, offset, chunk = _check_value(body)
        pending = self._pending
        if pending is None or number != pending.revision.number:
            return None, None
        # A chunk asked for twice also arrives twice; only the one that continues the
        # data counts, else the value would be spliced wrongly.
        if offset != len(pending.data):
            return None, None
        pending.data += chunk
        pending.asked = now
        if len(pending.data) < pending.revision.size:
            return None, pending.ask()
        return self._finish(pending), None

    def _finish(self, pending):
        packed = bytes(pending.data)
        self._pending = None
        whole = len(packed) == pending.revision.size
        if not whole or digest(packed) != pending.revision.digest:
            raise BadFrame(f"value of revision {pending.revision.number} is damaged")
        _check_packed(packed)
        self._store(pending.revision, packed)
        return pending.revision

    def _is_newer(self, number):
        return self._newest is None or number > self._newest.number

    def _store(self, revision, packed):
        self._newest = revision
        self._packed = packed
        if self._pending and not self._is_newer(self._pending.revision.number):
            self._pending = None


def _check_value(body):
    if not isinstance(body, list) or [type(part) for part in body] != [int, int, bytes]:
        raise BadFrame("a value is a number, an offset and bytes")
    return body


def _check_packed(packed):
    # A few kilobytes can unpack to gigabytes; the limit keeps one bad peer from
    # taking all of the memory.
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(packed, MAX_VALUE + 1)
    except zlib.error as exc:
        raise BadFrame(f"value is not compressed: {exc}") from exc
    if len(value) > MAX_VALUE or not stream.eof:
        raise BadFrame("value is over its limit or cut short")
