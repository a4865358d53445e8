"""Replies without an end, by kind, as a faulty server sends them."""

import asyncio
from typing import NamedTuple

PIECE_BYTES = 65536
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Kind(NamedTuple):
    """What is sent first, what is sent again and again, and the pause in seconds."""

    start: bytes
    piece: bytes
    pause: float = 0.0


def repeat(piece):
    """Return a piece as often as fits in one write."""
    return piece * max(1, PIECE_BYTES // len(piece))


KINDS = {
    "chunks": Kind(CHUNKED, b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n"),
    "tiny chunks": Kind(CHUNKED, repeat(b"1\r\nx\r\n")),
    "one chunk": Kind(CHUNKED + b"fffffffff\r\n", repeat(b"x")),
    "length": Kind(
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", repeat(b"x")
    ),
    "until close": Kind(b"HTTP/1.1 200 OK\r\n\r\n", repeat(b"x")),
    "head": Kind(b"HTTP/1.1 200 OK\r\na: ", repeat(b"x")),
    "header lines": Kind(b"HTTP/1.1 200 OK\r\n", repeat(b"a: b\r\n")),
    "trailer lines": Kind(CHUNKED + b"0\r\n", repeat(b"a: b\r\n")),
    "interim heads": Kind(b"", repeat(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "slow chunks": Kind(CHUNKED, b"1\r\nx\r\n", 0.2),
    "slow interim heads": Kind(b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0.2),
}


async def send(kind, writer):
    """Send a kind until the connection is closed."""
    try:
        writer.write(kind.start)
        while True:
            writer.write(kind.piece)
            await writer.drain()
            await asyncio.sleep(kind.pause)
    finally:
        writer.transport.abort()
