"""The socket for messages between instances that may be lost: single datagrams."""

import socket
from collections import Counter

import msgpack
from circuits.core import BaseComponent

from .logs import log_event
from .models import Address

READ_SIZE = 65536
# Datagrams read in a row before other events are handled.
MAX_READS = 256


class Datagrams(BaseComponent):
    """Send and receive datagrams of several kinds; own their socket.

    ``subscribe`` registers the function that receives a kind: its arguments are the
    sender's address and then the fields.
    """

    channel = "datagrams"

    def __init__(self, listen, poller):
        super().__init__()
        self._receivers = {}
        # Datagrams sent and their bytes, by kind.
        self.sent = Counter()
        self.sent_bytes = Counter()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self.address = Address(*self._sock.getsockname())
        poller.watch(self, self._sock, reading=True, writing=False)

    def subscribe(self, kind, receive):
        """Register the function that receives datagrams of this kind."""
        self._receivers[kind] = receive

    def send(self, kind, fields, address):
        """Send one datagram; delivery is not confirmed."""
        data = msgpack.packb([kind, *fields])
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)
        try:
            self._sock.sendto(data, address)
        except OSError as exc:
            # The next datagram repeats the figures, so a full buffer is no failure.
            log_event("datagram not sent", code=exc.errno or 0)

    def handle_ready(self, sock, readable, writable):
        """Receive all datagrams that have arrived."""
        for _ in range(MAX_READS):
            try:
                data, address = sock.recvfrom(READ_SIZE)
            except OSError:
                # No datagram is left to read, or the error is that a datagram sent
                # earlier found no listener.
                return
            self._receive(data, Address(*address))

    def _receive(self, data, address):
        try:
            kind, *fields = msgpack.unpackb(data, strict_map_key=False)
            receive = self._receivers.get(kind)
            if receive is not None:
                receive(address, *fields)
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            log_event("datagram ignored", error=type(exc).__name__)
