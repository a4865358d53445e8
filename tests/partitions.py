"""Cut a gateway process from all upstreams while others still reach them."""

import json
import socket
import tempfile
from pathlib import Path

from tests.procs import HOST
from tests.routed_gateway import ROUTES

CLOSED = f"{HOST}:9"
# What happens to open connections, and to new ones.
LIVE, RESET, HANG, REFUSE = "live", "reset", "hang", "refuse"
# Each way in which an instance may be cut: (open connections, new connections).
CUTS = {"reset": (RESET, REFUSE), "hang": (HANG, HANG), "refuse": (LIVE, REFUSE)}


class BlackHole:
    """A listener whose queue is full, so that connections to it hang."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.waiting = [socket.socket() for _ in range(4)]
        for sock in self.waiting:
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())

    def close(self):
        """Close all sockets."""
        for sock in (*self.waiting, self.listener):
            sock.close()


class Partition:
    """The paths of one gateway process to the upstreams."""

    def __init__(self, procs, ports):
        self._file = tempfile.NamedTemporaryFile("w", suffix=".json")
        self._hole = BlackHole()
        self.variables = {ROUTES: self._file.name}
        self._relays = {
            f"{HOST}:{port}": procs.start_fake("relay", "--to", f"{HOST}:{port}")
            for port in ports
        }
        self.heal()

    def _write(self, routes):
        file = Path(self._file.name)
        new = file.with_suffix(".new")
        new.write_text(json.dumps(routes))
        new.replace(file)

    def cut(self, how):
        """Cut the paths to all upstreams in one of the ways in CUTS."""
        opened, new = CUTS[how]
        target = {HANG: self._hole.address, REFUSE: CLOSED}[new]
        self._write(dict.fromkeys(self._relays, target))
        for relay in self._relays.values():
            relay.fault(hold=opened == HANG, cut=opened == RESET)

    def heal(self):
        """Restore all paths."""
        for relay in self._relays.values():
            relay.fault(hold=False, cut=False)
        relays = self._relays.items()
        self._write({name: f"{HOST}:{relay.port}" for name, relay in relays})

    def close(self):
        """Close the sockets and the file."""
        self._hole.close()
        self._file.close()
