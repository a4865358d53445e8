"""The socket by which instances tell each other what may be lost: single datagrams."""

import socket

import msgpack
from circuits.core import BaseComponent

from .logs import log_event
from .models import Address

READ_SIZE = 65536
# Datagrams read before others have their turn.
READS = 256


class Datagrams(BaseComponent):
    """Send and take datagrams of several kinds; own their socket.

    ``subscribe`` names the function that takes a kind: the sender's address, then the
    fields.
    """

    channel = "datagrams"

    def __init__(self, listen, poller):
        super().__init__()
        self._takers = {}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self.address = Address(*self._sock.getsockname())
        poller.watch(self, self._sock, reading=True, writing=False)

    def subscribe(self, kind, take):
        """Hand datagrams of this kind to a function."""
        self._takers[kind] = take

    def send(self, kind, fields, address):
        """Send one datagram; nothing tells whether it arrives."""
        try:
            self._sock.sendto(msgpack.packb([kind, *fields]), address)
        except OSError as exc:
            # The next datagram says the same and more; a full buffer is no failure.
            log_event("datagram not sent", code=exc.errno or 0)

    def handle_ready(self, sock, readable, writable):
        """Take all datagrams that have come."""
        for _ in range(READS):
            try:
                data, address = sock.recvfrom(READ_SIZE)
            except OSError:
                # Nothing more has come, or an earlier datagram found no listener.
                return
            self._take(data, Address(*address))

    def _take(self, data, address):
        try:
            kind, *fields = msgpack.unpackb(data, strict_map_key=False)
            take = self._takers.get(kind)
            if take is not None:
                take(address, *fields)
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            log_event("datagram ignored", error=type(exc).__name__)
