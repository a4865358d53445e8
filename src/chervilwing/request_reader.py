"""Split a caller's bytes into requests, within the memory that is left for callers."""

from collections.abc import Callable
from typing import NamedTuple

from .bodies import LENGTH_FRAMING
from .caller_memory import BODY, INPUT, REQUEST, estimate_request
from .exceptions import TooLarge
from .parsers import CRLF, HEAD_END, HttpRequest, read_length, read_request_head

# Bytes first reserved for a body in chunks; doubled whenever they are used up.
FIRST_RESERVATION = 32 * 1024


def accept_head(req):
    """Accept a request whose body isn't received yet."""


class ReaderOptions(NamedTuple):
    """How the requests of one listener are read.

    ``chunked`` accepts chunked bodies. ``check_head`` is called with a request whose
    body isn't received yet, and raises the reason for refusing it. ``skips_bodies``
    returns requests without their bodies, which aren't read, so that the connection
    can't be kept alive. ``copies`` is how often a body is in memory, decoded forms
    included.
    """

    chunked: bool = False
    check_head: Callable[[HttpRequest], None] = accept_head
    skips_bodies: bool = False
    copies: int = 1


DEFAULT_OPTIONS = ReaderOptions()


class RequestReader:
    """Buffer a caller's bytes and return its requests one by one.

    ``holding`` is the CallerHolding of the connection.
    """

    def __init__(self, cfg, holding, options=DEFAULT_OPTIONS):
        self._cfg = cfg
        self._holding = holding
        self._options = options
        self._buffer = bytearray()
        # Bytes of the buffer in which no end of a head was found.
        self._searched = 0
        self._body = None
        self._received = bytearray()
        # The request whose head was read, without its body.
        self.head = None

    @property
    def idle(self):
        """Return whether no byte of the next request has been received."""
        return not self._buffer and self.head is None

    @property
    def size(self):
        """Return the bytes received of the next request and of those after it."""
        return len(self._buffer) + len(self._received)

    @property
    def body_size(self):
        """Return the bytes received of an incomplete body."""
        return len(self._received)

    @property
    def expects_continue(self):
        """Return whether the sender waits for 100 Continue before it sends the body."""
        if self.head is None or self._received or self._buffer:
            return False
        if not self.head.accepts_chunks:
            return False
        return self.head.headers.get("expect", "").lower() == "100-continue"

    def feed(self, data):
        """Buffer bytes; ``pop_request`` enforces the limits."""
        self._buffer += data

    def pop_request(self):
        """Return the next whole request, or None if it is still incomplete.

        What the request takes stays reserved until the holding releases it.
        """
        req = self._read_request()
        if self._buffer or self._holding.get(INPUT):
            self._holding.hold(INPUT, len(self._buffer), force=True)
        return req

    def _read_request(self):
        if self.head is None and not self._parse_head():
            return None
        if self._options.skips_bodies and not self._body.complete:
            req = self.head._replace(keep_alive=False)
            self.discard()
            return req
        self._decode_body()
        if not self._body.complete:
            return None
        req, self.head = self.head, None
        self._buffer[:0] = self._body.rest
        body, self._received = bytes(self._received), bytearray()
        return req._replace(body=body)

    def discard(self):
        """Drop all bytes that were received and not returned."""
        self.head = self._body = None
        self._searched = 0
        self._buffer = bytearray()
        self._received = bytearray()
        self._holding.release(INPUT, REQUEST, BODY)

    def _decode_body(self):
        if self._buffer and not self._body.complete:
            self._received += self._body.decode(self._take_buffer())
        size = len(self._received)
        self._check_size(size)
        reserved = self._holding.get(BODY)
        if size * self._options.copies > reserved:
            # Reserved in growing steps, as the length of a chunked body isn't known.
            needed = max(FIRST_RESERVATION, 2 * size)
            needed = min(needed, self._cfg.body_limit)
            self._holding.reserve(BODY, needed * self._options.copies)

    def _take_buffer(self):
        data = bytes(self._buffer)
        self._buffer.clear()
        return data

    def _check_size(self, size):
        if size > self._cfg.body_limit:
            raise TooLarge(f"The body is over {self._cfg.body_limit} bytes.")

    def _parse_head(self):
        # Some senders put an empty line before a request (RFC 9112, section 2.2).
        while self._buffer.startswith(CRLF):
            del self._buffer[: len(CRLF)]
            self._searched = 0
        end = self._find_head_end()
        if end < 0:
            return False
        head = bytes(self._buffer[:end])
        del self._buffer[: end + len(HEAD_END)]
        self._holding.reserve(REQUEST, estimate_request(head))
        self.head, self._body = read_request_head(head, self._options.chunked)
        if self._options.skips_bodies:
            return True
        length = read_length(self.head.headers) or 0
        self._check_size(length)
        is_sized = self._body.framing == LENGTH_FRAMING
        if not is_sized or len(self._buffer) < length:
            self._options.check_head(self.head)
        self._holding.reserve(BODY, length * self._options.copies)
        return True

    def _find_head_end(self):
        """Return where the head ends in the buffer, or -1 if it is incomplete."""
        limit = self._cfg.head_limit
        # The end may have been received in two parts.
        end = self._buffer.find(HEAD_END, max(0, self._searched - len(HEAD_END)))
        self._searched = len(self._buffer) if end < 0 else 0
        if (len(self._buffer) if end < 0 else end) > limit:
            raise TooLarge(f"The head is over {limit} bytes.")
        return end
