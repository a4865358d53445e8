"""Frames between entry instances: a length, then a msgpack map with v, t and b."""

from typing import Any, NamedTuple

import msgpack

from .exceptions import BadFrame

VERSION = 1
MAX_FRAME = 65_536
LENGTH_BYTES = 4
KEYS = {"v", "t", "b"}


class Frame(NamedTuple):
    """One message: its type and a body that msgpack can carry."""

    type: str
    body: Any


def encode(frame):
    """Return the bytes of a frame; raise BadFrame when it is over ``MAX_FRAME``."""
    payload = msgpack.packb({"v": VERSION, "t": frame.type, "b": frame.body})
    if len(payload) > MAX_FRAME:
        raise BadFrame(f"{len(payload)} bytes are over the limit of {MAX_FRAME}")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode(payload):
    """Return the frame in the bytes that follow a length; raise only BadFrame."""
    try:
        message = msgpack.unpackb(payload)
    # Bytes from the network make msgpack raise its own types, ValueError, TypeError
    # (an unhashable key) or RecursionError (deep nesting). Any of them escaping would
    # end the task that serves every peer, so all become the one failure that ends
    # this connection only.
    except Exception as exc:
        raise BadFrame(f"not msgpack: {type(exc).__name__}") from exc
    if not isinstance(message, dict) or set(message) != KEYS:
        raise BadFrame("a frame is a map of v, t and b")
    if type(message["v"]) is not int or message["v"] != VERSION:
        raise BadFrame(f"protocol version {message['v']!r} is unknown")
    if not isinstance(message["t"], str):
        raise BadFrame("the type of a frame is a string")
    return Frame(message["t"], message["b"])


class Decoder:
    """Hold the bytes of one stream that don't make a whole frame yet."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Return the frames that ``data`` completes; raise BadFrame, then stop using.

        The length is checked before the body arrives: a peer that announces
        gigabytes would otherwise make this process hold them.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if size > MAX_FRAME:
                raise BadFrame(f"{size} bytes are over the limit of {MAX_FRAME}")
            end = LENGTH_BYTES + size
            if len(self._buffer) < end:
                break
            frames.append(decode(bytes(self._buffer[LENGTH_BYTES:end])))
            del self._buffer[:end]
        return tuple(frames)
