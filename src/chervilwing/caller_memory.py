"""Account of the memory that callers make a process hold, and what each one holds.

A limit for each connection is no limit: thousands of them multiply it. All ports of a
process share one account. A part of it is kept for small requests, so that a crowd of
callers with large bodies or unread answers leaves ordinary callers alone.
"""

from .exceptions import InstanceFull

KIB = 1024
# Part of the room that everything large may take together.
BULK_PART = 0.6
# Kinds of memory that one caller holds, and the bytes from which each counts as bulk.
INPUT, REQUEST, BODY, ANSWER = range(4)
BULK_FROM = (0, 64 * KIB, 32 * KIB, 0)
# Estimated bytes of a request in flight, with its call to an upstream: without header
# fields, for each byte of its head, for each field and for each entry of a list.
REQUEST_BYTES = 12 * KIB
BYTES_PER_HEAD_BYTE = 3
BYTES_PER_FIELD = 400
BYTES_PER_ENTRY = 300
# Seconds after which a caller that was refused for lack of memory may come back.
RETRY_AFTER = 1.0


def estimate_request(head):
    """Return the bytes that a request takes while it is in flight, given its head.

    Thousands of short fields or list entries take forty times their own size.
    """
    return (
        REQUEST_BYTES
        + BYTES_PER_HEAD_BYTE * len(head)
        + BYTES_PER_FIELD * head.count(b"\n")
        + BYTES_PER_ENTRY * head.count(b",")
    )


class CallerMemory:
    """Bytes held for all callers of a process, out of ``room`` bytes."""

    def __init__(self, room):
        self.room = room
        self.used = 0
        self.bulk_used = 0
        # Bytes that were refused since the last call of ``take_shortage``.
        self._shortage = 0
        self.refused = 0

    @property
    def bulk_room(self):
        """Return the bytes that may be held in bulk."""
        return int(self.room * BULK_PART)

    def change(self, old, new, bulk_from, force=False):
        """Replace a piece of ``old`` bytes by one of ``new``; return whether it fits.

        A single bulk piece may take all of the room, so that the largest legal request
        is served on the smallest machine. With ``force`` the piece is always held.
        """
        used = self.used + new - old
        bulk = new if new > bulk_from else 0
        bulk_used = self.bulk_used + bulk - (old if old > bulk_from else 0)
        if new > old and not force:
            too_much_bulk = bulk and bulk_used > max(bulk, self.bulk_room)
            if used > self.room or too_much_bulk:
                self._shortage += new - old
                self.refused += 1
                return False
        self.used, self.bulk_used = used, bulk_used
        return True

    @property
    def excess(self):
        """Return the bytes that are held beyond the room, by force."""
        return max(0, self.bulk_used - self.bulk_room, self.used - self.room)

    def take_shortage(self):
        """Return the bytes to free: what was refused, or what is held too much."""
        shortage, self._shortage = self._shortage, 0
        return max(shortage, self.excess)


class CallerHolding:
    """Bytes that one caller's connection holds, by kind."""

    __slots__ = ("_memory", "_sizes")

    def __init__(self, memory):
        self._memory = memory
        self._sizes = [0, 0, 0, 0]

    def get(self, kind):
        """Return the bytes held of a kind."""
        return self._sizes[kind]

    def hold(self, kind, size, force=False):
        """Hold ``size`` bytes of a kind; return False, unchanged, without room."""
        old = self._sizes[kind]
        if size == old or self._memory is None:
            return True
        if not self._memory.change(old, size, BULK_FROM[kind], force):
            return False
        self._sizes[kind] = size
        return True

    def reserve(self, kind, size):
        """Hold ``size`` bytes of a kind, or raise InstanceFull."""
        if not self.hold(kind, size):
            raise InstanceFull(retry_after=RETRY_AFTER)

    def release(self, *kinds):
        """Hold nothing of these kinds any more, of all without an argument."""
        for kind in kinds or range(len(BULK_FROM)):
            self.hold(kind, 0)

    def close(self):
        """Release everything; what is held later isn't accounted for."""
        self.release()
        self._memory = None
