"""Encode and decode the frames between entry instances.

A frame is a length of 4 bytes, big-endian, then a msgpack map with the keys v (protocol
version), t (type) and b (body).
"""

from typing import Any, NamedTuple

import msgpack

from .exceptions import BadFrame

VERSION = 1
MAX_FRAME = 65_536
LENGTH_BYTES = 4
FRAME_KEYS = {"v", "t", "b"}


class Frame(NamedTuple):
    """Hold the type of a message and its body, which msgpack can encode."""

    type: str
    body: Any


def encode(frame):
    """Return the bytes of a frame; raise BadFrame over ``MAX_FRAME`` bytes."""
    payload = msgpack.packb({"v": VERSION, "t": frame.type, "b": frame.body})
    if len(payload) > MAX_FRAME:
        raise BadFrame(f"{len(payload)} bytes are over the limit of {MAX_FRAME}")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode(payload):
    """Return the frame in a payload without its length; raise only BadFrame."""
    try:
        message = msgpack.unpackb(payload)
    # On malformed bytes msgpack raises its own exceptions, ValueError, TypeError (an
    # unhashable key) or RecursionError (deep nesting). Any of them would end the task
    # that serves all peers; BadFrame ends only this connection.
    except Exception as exc:
        raise BadFrame(f"not msgpack: {type(exc).__name__}") from exc
    if not isinstance(message, dict) or set(message) != FRAME_KEYS:
        raise BadFrame("a frame is a map of v, t and b")
    if type(message["v"]) is not int or message["v"] != VERSION:
        raise BadFrame(f"protocol version {message['v']!r} is unknown")
    if not isinstance(message["t"], str):
        raise BadFrame("the type of a frame is a string")
    return Frame(message["t"], message["b"])


class Decoder:
    """Buffer the bytes of one stream until they form complete frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Return the frames that ``data`` completes.

        Raise BadFrame on a malformed frame; the decoder can't be used after that. The
        length is checked before the body arrives, since a peer that announces gigabytes
        would otherwise make this process buffer them.
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
