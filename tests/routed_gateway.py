"""Start the gateway with its connections to upstreams led through relays.

The JSON file named by ROUTES maps addresses to those dialled instead; it is read at
each connection, so that a test can cut one instance from upstreams that others reach.
With LOST_DATAGRAMS in it, datagrams are lost in the directions that it names.
"""

import json
import os
import socket
import sys
from pathlib import Path

from chervilwing.addresses import format_address, parse_address

ROUTES = "TEST_ROUTES"
LOST_DATAGRAMS = "lost datagrams"
SENT, RECEIVED = "sent", "received"


def read_routes():
    """Return the present routes."""
    return json.loads(Path(os.environ[ROUTES]).read_text())


class RoutedSocket(socket.socket):
    """A socket that connects to the address that the file of routes names."""

    def connect_ex(self, address):
        """Connect to the address or to the one that stands for it."""
        name = format_address(address)
        return super().connect_ex(parse_address(read_routes().get(name, name)))

    def sendto(self, data, address):
        """Send a datagram, or lose it."""
        if SENT in read_routes().get(LOST_DATAGRAMS, ()):
            return len(data)
        return super().sendto(data, address)

    def recvfrom(self, size):
        """Return the next datagram that isn't lost."""
        found = super().recvfrom(size)
        while RECEIVED in read_routes().get(LOST_DATAGRAMS, ()):
            found = super().recvfrom(size)
        return found


if __name__ == "__main__":
    socket.socket = RoutedSocket
    from chervilwing.platform.__main__ import run

    sys.exit(run())
