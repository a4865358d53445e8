"""Announcements of leaving upstreams, passed on to all instances by datagrams.

In a large deployment, most instances send an upstream a request only now and then.
Without this, some would send it one in its last moments, which might be cut off.
"""

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .registrations import ProcessId

# Kind of datagrams.
LEAVING = 10
# Datagrams sent to each instance for one announcement, and seconds between two of
# them. A bad link loses one in thirty.
COPIES = 3
COPY_INTERVAL = 0.3


class LeavingExchange(BaseComponent):
    """Tell the other instances which upstreams announced their end to this one."""

    channel = "leaving-exchange"

    def __init__(self, cfg, datagrams, coordinator, gateway):
        super().__init__()
        self._name = cfg.name
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._gateway = gateway
        # Announcements that are still being sent, with the number of copies left.
        self._copies_left = {}
        self._next_copy = float("-inf")
        gateway.on_upstream_leaving = self._announce
        datagrams.subscribe(LEAVING, self._receive)

    def _announce(self, process):
        """Tell the other instances that an upstream announced its end to this one."""
        self._copies_left[process] = COPIES
        self._next_copy = read_boottime()

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if not self._copies_left or now < self._next_copy:
            return
        self._next_copy = now + COPY_INTERVAL
        fields = (self._name, list(self._copies_left))
        for peer in self._coordinator.peers.values():
            self._datagrams.send(LEAVING, fields, peer.address)
        self._copies_left = {
            process: copies - 1
            for process, copies in self._copies_left.items()
            if copies > 1
        }

    def _receive(self, address, name, processes):
        now = read_boottime()
        for upstream, started_at in processes:
            process = ProcessId(str(upstream), float(started_at))
            self._gateway.record_leaving(process, now, reported_by=name)
