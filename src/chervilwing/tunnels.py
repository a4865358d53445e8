"""The protocol by which an instance reaches an upstream through another instance.

The request is CONNECT (RFC 9110, section 9.3.6). After an answer of 200 the asking side
sends bytes as they are. It receives frames, a length of 4 bytes (big-endian) and as
many bytes, so that the end of the upstream's connection can be told from the loss of
the tunnel.
"""

import hmac
import re
from typing import NamedTuple

from .addresses import format_address, parse_address
from .exceptions import (
    BadRequest,
    TunnelLost,
    TunnelNotOpened,
    TunnelRefused,
    TunnelRejected,
)
from .models import Address

CONNECTED = 200
# Answers that say that the upstream itself can't be reached from the other instance:
# it refuses connections, or doesn't answer.
UPSTREAM_REFUSES = 502
UPSTREAM_SILENT = 504
NOT_HELPING = 503
FORBIDDEN = 403
UNREACHABLE_STATUSES = {
    UPSTREAM_REFUSES: TunnelRefused,
    UPSTREAM_SILENT: TunnelRejected,
}
REASONS = {
    CONNECTED: "Connected",
    UPSTREAM_REFUSES: "Bad Gateway",
    UPSTREAM_SILENT: "Gateway Timeout",
    NOT_HELPING: "Service Unavailable",
    FORBIDDEN: "Forbidden",
}
HEAD_END = b"\r\n\r\n"
# Bytes of the head of a request for a tunnel, or of its answer.
MAX_HEAD = 1024
REQUEST_HEAD = re.compile(
    rb"CONNECT ([0-9.]+:[0-9]+) HTTP/1\.1\r\nHost: [0-9.:]+\r\n"
    rb"Proxy-Authorization: Bearer ([0-9a-f]+)\Z"
)
ANSWER_HEAD = re.compile(rb"HTTP/1\.1 ([0-9]{3}) ")
LENGTH_BYTES = 4
# Bytes of a frame, which carries what was read from an upstream at a time.
MAX_FRAME = 65536
# Lengths of the frames that end a tunnel.
END = 0
RESET = 0xFFFFFFFF
END_FRAME = END.to_bytes(LENGTH_BYTES, "big")
RESET_FRAME = RESET.to_bytes(LENGTH_BYTES, "big")


class TunnelPeer(NamedTuple):
    """Another instance that connects to upstreams: its name, address and token."""

    name: str
    address: Address
    token: str


def encode_request(target, token):
    """Return the head that asks for a tunnel to an upstream's address."""
    name = format_address(target)
    lines = (
        f"CONNECT {name} HTTP/1.1",
        f"Host: {name}",
        f"Proxy-Authorization: Bearer {token}",
    )
    return "\r\n".join(lines).encode() + HEAD_END


def read_request(head, token):
    """Return the Address that a head asks for, or None if its token is wrong.

    Raise BadRequest if it isn't the head of a request for a tunnel.
    """
    match = REQUEST_HEAD.match(head)
    if match is None:
        raise BadRequest("The request for a tunnel is malformed.")
    if not hmac.compare_digest(match.group(2), token.encode()):
        return None
    try:
        return parse_address(match.group(1).decode())
    except ValueError as exc:
        raise BadRequest("The address of a tunnel is malformed.") from exc


def encode_answer(status):
    """Return the head of the answer to a request for a tunnel."""
    return f"HTTP/1.1 {status} {REASONS[status]}".encode() + HEAD_END


def encode_frame(data):
    """Return the frame that carries an upstream's bytes."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class Tunnel:
    """State of a tunnel at the side that asked for it.

    ``opened`` is set by an answer of 200. ``ended`` means that the upstream closed its
    connection, ``was_reset`` that it broke off.
    """

    def __init__(self, peer, target):
        self.peer = peer
        self.request = encode_request(target, peer.token)
        self.requested = False
        self.opened = False
        self.ended = False
        self.was_reset = False
        # Whether another request may be sent through it.
        self.reusable = True
        self._buffer = bytearray()

    @property
    def over(self):
        """Return whether the end of the upstream's connection was received."""
        return self.ended or self.was_reset

    def feed(self, data):
        """Return the upstream's bytes; raise a TunnelError if no tunnel is opened."""
        self._buffer += data
        if not self.opened and not self._read_answer():
            return b""
        parts = []
        while not self.over and (part := self._pop_frame()) is not None:
            parts.append(part)
        return b"".join(parts)

    def make_closed_error(self):
        """Return the error for a connection that closed without an end frame."""
        if self.opened:
            return TunnelLost(f"The tunnel through {self.peer.name} was lost.")
        return TunnelNotOpened(f"No tunnel through {self.peer.name}.")

    def _read_answer(self):
        head, end, rest = self._buffer.partition(HEAD_END)
        if not end:
            if len(head) > MAX_HEAD:
                raise TunnelNotOpened("The answer for a tunnel is too long.")
            return False
        match = ANSWER_HEAD.match(head)
        status = int(match.group(1)) if match else 0
        if status in UNREACHABLE_STATUSES:
            error = UNREACHABLE_STATUSES[status]
            raise error(f"{self.peer.name} doesn't reach it: {status}.")
        if status != CONNECTED:
            raise TunnelNotOpened(f"{self.peer.name} opens no tunnel: {status}.")
        self.opened = True
        self._buffer = rest
        return True

    def _pop_frame(self):
        """Return the bytes of the next frame, or None if none is whole."""
        if len(self._buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if size in (END, RESET):
            self.ended, self.was_reset = size == END, size == RESET
            return b""
        if size > MAX_FRAME:
            raise TunnelLost(f"A frame from {self.peer.name} is too long.")
        end = LENGTH_BYTES + size
        if len(self._buffer) < end:
            return None
        part = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return part
