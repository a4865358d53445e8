"""Limits on the bytes and the time of replies, and a record of those beyond them."""

from collections import OrderedDict
from typing import NamedTuple

from .bounds import keep_latest
from .exceptions import ReplyTooLarge, ReplyTooSlow

MIB = 1024 * 1024
# Bytes of all shared replies that are being received at a time. A server that answers
# several calls without end would otherwise take the limit of one reply for each.
MAX_SHARED_BYTES = 8 * MIB
# Calls whose replies were refused, and whose next whole reply is logged.
MAX_RECORDED = 256


class ReplyBound(NamedTuple):
    """Limits on one reply.

    ``max_bytes`` counts the bytes of all heads, of the framing and of skipped replies
    too. ``max_seconds`` may pass from the start of the call in addition to its silence
    timeout. ``shared`` replies also count toward MAX_SHARED_BYTES.
    """

    max_bytes: float
    max_seconds: float
    shared: bool = True


# A reply that is kept until it is whole. A list of all registrations and instances of
# the largest design takes half a MiB, a page of the platform's store 1 MiB.
KEPT_REPLY = ReplyBound(5 * MIB, 10.0)
# A reply that is passed on as it arrives, or whose receiver limits what it keeps.
STREAMED_REPLY = ReplyBound(float("inf"), float("inf"), shared=False)


def check_size(bound, received, missing):
    """Raise ReplyTooLarge if a reply exceeds its bound.

    ``missing`` are the bytes that are known to follow those received.
    """
    if received + missing > bound.max_bytes:
        raise ReplyTooLarge(f"The reply is larger than {bound.max_bytes} bytes.")


def check_time(bound, silence_timeout, seconds):
    """Raise ReplyTooSlow if a reply isn't whole so long after the start of its call."""
    limit = silence_timeout + bound.max_seconds
    if seconds > limit:
        raise ReplyTooSlow(f"The reply isn't whole after {limit:g} s.")


class RefusedReplies:
    """The calls whose latest reply was refused, and the number of refused replies.

    A call is known by its address, method and path without the query. ``on_change`` is
    called with the call's fields and the failure when a whole reply is followed by a
    refused one, and with None instead of the failure in the opposite case.
    """

    def __init__(self, on_change):
        self.count = 0
        self._on_change = on_change
        self._refused = OrderedDict()

    def record_refused(self, call, exc):
        """Record that the reply to a call was refused."""
        self.count += 1
        name = self._name(call)
        known = name in self._refused
        self._refused[name] = None
        self._refused.move_to_end(name)
        keep_latest(self._refused, MAX_RECORDED)
        if not known:
            self._on_change(*name, exc)

    def record_whole(self, call):
        """Record that the reply to a call was received whole."""
        name = self._name(call) if self._refused else None
        if name in self._refused:
            del self._refused[name]
            self._on_change(*name, None)

    def _name(self, call):
        return call.address, call.method, call.path.partition("?")[0]
