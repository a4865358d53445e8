"""Start the gateway with its connections to upstreams led through relays.

The JSON file named by ROUTES maps addresses to those dialled instead; it is read at
each connection, so that a test can cut one instance from upstreams that others reach.
"""

import json
import os
import socket
import sys
from pathlib import Path

from chervilwing.addresses import format_address, parse_address

ROUTES = "TEST_ROUTES"


class RoutedSocket(socket.socket):
    """A socket that connects to the address that the file of routes names."""

    def connect_ex(self, address):
        """Connect to the address or to the one that stands for it."""
        routes = json.loads(Path(os.environ[ROUTES]).read_text())
        name = format_address(address)
        return super().connect_ex(parse_address(routes.get(name, name)))


if __name__ == "__main__":
    socket.socket = RoutedSocket
    from chervilwing.platform.__main__ import run

    sys.exit(run())
