"""KV caches on their way from an engine that leaves to the one that goes on."""

import json
import time
from typing import TypedDict

import msgspec

from .connections import Call, CallHandlers

EXPORT_PATH = "/v1/kv/export"
IMPORT_PATH = "/v1/kv/import"
JSON_HEADERS = {"Content-Type": "application/json"}
HTTP_OK = 200
# Seconds for an export or an import. Load: a reclaim wave with engines that answer
# slowly. Harm: the engine is gone before its requests were moved. The limit is within
# the last call of 1.5 s in which the scheduler moves everything left.
TRANSFER_LIMIT = 1.0
# The same while a request changes its entry instance: both ways and the offers to peers
# must fit between the hand-over's start and the instance's end.
PARK_LIMIT = 0.4
# Load: a data centre reclaimed, hundreds of requests moved at once. Harm: memory for
# control is 128 MB a node (letter 1). One cache may take a quarter of what all may;
# what doesn't fit is resumed from its tokens alone.
BLOB_LIMIT = 8 * 1024 * 1024
HELD_LIMIT = 32 * 1024 * 1024


class Exported(TypedDict):
    """An engine's KV cache of one attempt."""

    handle: str
    blob: str
    tokens: int


read_exported = msgspec.json.Decoder(Exported).decode


class HeldCaches:
    """KV caches by request, between their export and the first sign of their use."""

    def __init__(self, limit=HELD_LIMIT):
        self._limit = limit
        self._caches = {}
        self.size = 0

    @property
    def full(self):
        """Tell whether another cache might not fit."""
        return self.size + BLOB_LIMIT > self._limit

    def put(self, serial, cache):
        """Keep a cache if there is room for it."""
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
    """Return the call that moves a cache one way."""
    connect = min(cfg.connect_timeout, limit)
    data = json.dumps(body).encode()
    return Call(address, "POST", path, JSON_HEADERS, data, connect, limit)


def export_cache(client, cfg, address, attempt, reply, limit=TRANSFER_LIMIT):
    """Ask for the cache of a running attempt; ``reply`` gets it, or None."""
    call = make_call(cfg, address, EXPORT_PATH, {"attempt": attempt}, limit)

    def read(status, body):
        reply(read_answer(body) if status == HTTP_OK else None)

    return submit_bounded(client, call, read)


def read_answer(body):
    """Return an exported cache, or None when it can't be read."""
    try:
        return read_exported(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def import_cache(client, cfg, address, cache, reply, limit=TRANSFER_LIMIT):
    """Give an engine a cache; ``reply`` is called whatever comes of it."""
    body = {"handle": cache["handle"], "blob": cache["blob"]}
    call = make_call(cfg, address, IMPORT_PATH, body, limit)
    return submit_bounded(client, call, lambda status, answer: reply())


def submit_bounded(client, call, reply):
    """Start a call whose answer is bounded in size and time; return its state.

    Guard: an engine may answer with a cache of gigabytes, which would take the memory
    of every other request, or send one byte at a time, never silent and never done,
    until it is reclaimed; beyond size or time the call ends as if it had failed.
    """
    body, statuses, began = bytearray(), [], time.monotonic()

    def take(data):
        body.extend(data)
        late = time.monotonic() - began > call.silence_timeout
        if late or len(body) > BLOB_LIMIT:
            client.cancel(exchange)
            reply(0, b"")

    handlers = CallHandlers(
        lambda status, headers: statuses.append(status),
        take,
        lambda: reply(statuses[0], bytes(body)),
        lambda exc: reply(0, b""),
    )
    exchange = client.submit(call, handlers)
    return exchange
