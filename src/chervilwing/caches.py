"""Transfer KV caches from a leaving engine to the next one."""

import json
import time
from typing import TypedDict

import msgspec

from .connections import Call, CallHandlers
from .exceptions import DECODE_ERRORS
from .reply_bounds import ReplyBound

EXPORT_PATH = "/v1/kv/export"
IMPORT_PATH = "/v1/kv/import"
JSON_HEADERS = {"Content-Type": "application/json"}
HTTP_OK = 200
# Seconds for an export or an import. If a slow engine had longer, it could be reclaimed
# before its requests were moved. The scheduler moves all remaining requests 1.5 s
# before the deadline, which leaves time for one transfer.
TRANSFER_TIMEOUT = 1.0
# The same while a request is handed over to another entry instance: export, import and
# the offers to peers must all end before the instance does.
HAND_OVER_TIMEOUT = 0.4
# Bytes of one cache and of all buffered caches. When a data centre is reclaimed,
# hundreds of requests move at once, and the control plane may use 128 MB of memory per
# node. A request whose cache doesn't fit is resumed from its tokens alone.
MAX_CACHE_BYTES = 8 * 1024 * 1024
BUFFER_LIMIT = 32 * 1024 * 1024
# Room for a cache with its framing; submit_bounded() limits the cache itself.
CACHE_REPLY = ReplyBound(2 * MAX_CACHE_BYTES, 1.0, shared=False)


class Exported(TypedDict):
    """The exported KV cache of one attempt."""

    handle: str
    blob: str
    tokens: int


read_exported = msgspec.json.Decoder(Exported).decode


class CacheBuffer:
    """Buffer KV caches by request, from export until the next engine answers."""

    def __init__(self, limit=BUFFER_LIMIT):
        self._limit = limit
        self._caches = {}
        self.size = 0

    @property
    def full(self):
        """Return whether a cache of the maximum size would not fit."""
        return self.size + MAX_CACHE_BYTES > self._limit

    def put(self, serial, cache):
        """Store a cache if it fits, in place of the request's earlier one."""
        self.drop(serial)
        size = len(cache["blob"])
        if self.size + size <= self._limit:
            self._caches[serial] = cache
            self.size += size

    def get(self, serial):
        """Return the cache of a request, or None."""
        return self._caches.get(serial)

    def drop(self, serial):
        """Free the cache of a request, if any."""
        cache = self._caches.pop(serial, None)
        if cache is not None:
            self.size -= len(cache["blob"])


def make_call(cfg, address, path, body, limit):
    """Return the call for an export or import; ``limit`` is its timeout in seconds."""
    connect = min(cfg.connect_timeout, limit)
    data = json.dumps(body).encode()
    return Call(
        address, "POST", path, JSON_HEADERS, data, connect, limit, bound=CACHE_REPLY
    )


def export_cache(client, cfg, address, attempt, reply, limit=TRANSFER_TIMEOUT):
    """Request the cache of a running attempt; pass it, or None, to ``reply``."""
    call = make_call(cfg, address, EXPORT_PATH, {"attempt": attempt}, limit)

    def read(status, body):
        reply(parse_exported(body) if status == HTTP_OK else None)

    return submit_bounded(client, call, read)


def parse_exported(body):
    """Return the exported cache in a body, or None if it can't be decoded."""
    try:
        return read_exported(body)
    except DECODE_ERRORS:
        return None


def import_cache(client, cfg, address, cache, reply, limit=TRANSFER_TIMEOUT):
    """Send a cache to an engine; call ``reply`` on success and on failure."""
    body = {"handle": cache["handle"], "blob": cache["blob"]}
    call = make_call(cfg, address, IMPORT_PATH, body, limit)
    return submit_bounded(client, call, lambda status, answer: reply())


def submit_bounded(client, call, reply):
    """Start a call whose answer is limited in size and time; return its exchange.

    Pass status and body to ``reply``; status 0 stands for a failure or an answer beyond
    a limit. Without the limits, an engine could fill the memory with a cache of
    gigabytes, or keep the call open until it is reclaimed by sending single bytes, each
    of which restarts the silence timeout.
    """
    body, statuses, began = bytearray(), [], time.monotonic()

    def append(data):
        body.extend(data)
        late = time.monotonic() - began > call.silence_timeout
        if late or len(body) > MAX_CACHE_BYTES:
            client.cancel(exchange)
            reply(0, b"")

    handlers = CallHandlers(
        lambda status, headers: statuses.append(status),
        append,
        lambda: reply(statuses[0], bytes(body)),
        lambda exc: reply(0, b""),
    )
    exchange = client.submit(call, handlers)
    return exchange
