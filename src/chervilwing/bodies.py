"""Where the body of an answer ends: by its length or by its chunks."""

import math
import re

from .exceptions import BadRequest

CRLF = b"\r\n"
# Python's own int() takes signs, underscores and a 0x as well.
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;.*)?\Z")
CHUNK_LINE_LIMIT = 8192
CHUNK_LINE_SIZE = 18


def read_whole_chunk(data):
    """Return the body of exactly one chunk, or nothing when the bytes are another.

    An engine's token comes as one read of one chunk, 9,400 times a second a node
    (letter 1); the steps below take 2 us longer for it.
    """
    end = data.find(CRLF, 0, CHUNK_LINE_SIZE)
    match = CHUNK_LINE.match(data, 0, end) if end > 0 else None
    if match is None:
        return b""
    start, stop = end + len(CRLF), len(data) - len(CRLF)
    if int(match.group(1), 16) != stop - start or not data.endswith(CRLF):
        return b""
    return data[start:stop]


class SizedBody:
    """A body of known length, or one that only the end of the connection ends."""

    def __init__(self, length):
        self._left = math.inf if length is None else length
        self.rest = b""

    @property
    def complete(self):
        """Tell whether the end has come; a closed connection proves none."""
        return self._left == 0

    @property
    def endless(self):
        """Tell whether only the end of the connection ends this body."""
        return self._left == math.inf

    @property
    def excess(self):
        """Tell whether bytes came after the end."""
        return bool(self.rest)

    def take(self, data):
        """Return what of these bytes belongs to the body."""
        if len(data) <= self._left:
            self._left -= len(data)
            return data
        part, self.rest = data[: self._left], self.rest + data[self._left :]
        self._left = 0
        return part


class ChunkedBody:
    """A chunked body; each step reads one piece of its framing."""

    endless = False

    def __init__(self):
        self._buffer = bytearray()
        self._left = 0
        self._step = self._read_size
        self.complete = False

    @property
    def excess(self):
        """Tell whether bytes came after the end mark."""
        return self.complete and bool(self._buffer)

    @property
    def rest(self):
        """Return the bytes behind the end mark."""
        return bytes(self._buffer) if self.complete else b""

    def take(self, data):
        """Return what of these bytes belongs to the body."""
        if self._step == self._read_size and not self._buffer:
            part = read_whole_chunk(data)
            if part:
                return part
        self._buffer += data
        parts = []
        while not self.complete and self._step(parts):
            pass
        return b"".join(parts)

    def _take_line(self):
        end = self._buffer.find(CRLF)
        if (len(self._buffer) if end < 0 else end) > CHUNK_LINE_LIMIT:
            raise BadRequest("A line between chunks is too long.")
        if end < 0:
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(CRLF)]
        return line

    def _read_size(self, parts):
        line = self._take_line()
        if line is None:
            return False
        match = CHUNK_LINE.match(line)
        if match is None:
            raise BadRequest("A chunk's size is malformed.")
        self._left = int(match.group(1), 16)
        self._step = self._read_data if self._left else self._read_trailer
        return True

    def _read_data(self, parts):
        part = bytes(self._buffer[: self._left])
        del self._buffer[: self._left]
        parts.append(part)
        self._left -= len(part)
        if self._left:
            return False
        self._step = self._read_end
        return True

    def _read_end(self, parts):
        if len(self._buffer) < len(CRLF):
            return False
        if not self._buffer.startswith(CRLF):
            raise BadRequest("A chunk is longer than its size.")
        del self._buffer[: len(CRLF)]
        self._step = self._read_size
        return True

    def _read_trailer(self, parts):
        line = self._take_line()
        self.complete = line == b""
        return bool(line)
