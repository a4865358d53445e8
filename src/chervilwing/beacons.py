"""What instances tell each other several times a second, as single datagrams.

Each datagram has totals since its sender's start, so that one that is lost or comes
twice changes nothing. It carries what a decision needs fresh and may lose: what was
spent of allowances, what is in flight at each upstream, the time of day.
"""

import socket
import time

import msgpack
from circuits.core import BaseComponent, handler

from .balancing import InFlight
from .clocks import read_boottime
from .logs import log_event
from .models import Address

FORMAT = 1
# Seconds between two datagrams to each other instance. Load that is half a second old
# makes all instances choose the same upstream.
INTERVAL = 0.25
# Datagrams a second that an instance sends to all others together; with more of them
# the interval grows. At 7 instances 24 a second take 0.2 % of a small core; at 90, four
# a second to each would take every instance 7 %.
DATAGRAMS_PER_SECOND = 60.0
# Intervals for which a word counts: four datagrams in a row are not lost by chance.
KEPT_INTERVALS = 4.0


READ_SIZE = 65536
READS = 256


def name_process(name, incarnation):
    """Return the name of one process of an instance."""
    return f"{name}.{incarnation}"


def find_interval(peers):
    """Return the seconds between two datagrams to each of so many instances."""
    return max(INTERVAL, peers / DATAGRAMS_PER_SECOND)


class Beacons(BaseComponent):
    """Send and take datagrams; own their socket."""

    channel = "beacons"

    def __init__(self, cfg, poller, gateway, list_peers, agreed):
        super().__init__()
        # What is sent and heard of usage; set once the usage is counted.
        self.list_usage = lambda: {}
        self.hear_usage = lambda process, windows: None
        self._cfg = cfg
        self._gateway = gateway
        self._list_peers = list_peers
        self._agreed = agreed
        self._incarnation = cfg.incarnation
        self._due = 0.0
        self._interval = INTERVAL
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(cfg.beacon_listen)
        self.address = Address(*self._sock.getsockname())
        poller.watch(self, self._sock, reading=True, writing=False)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if now < self._due:
            return
        peers = self._list_peers()
        self._interval = find_interval(len(peers))
        self._due = now + self._interval
        if not peers:
            return
        data = msgpack.packb(self._describe())
        for address in peers.values():
            self._send(data, address)

    def _send(self, data, address):
        try:
            self._sock.sendto(data, address)
        except OSError as exc:
            # The next datagram says the same and more; a full buffer is no failure.
            log_event("beacon not sent", code=exc.errno or 0)

    def _describe(self):
        in_flight = {
            name: list(station.own())
            for pool in self._gateway.pools.values()
            for name, station in pool.stations.items()
            if station.sent
        }
        work = {
            name: pool.work for name, pool in self._gateway.pools.items() if pool.work
        }
        spent = self._gateway.allowances.spent
        return [
            FORMAT,
            self._cfg.name,
            self._incarnation,
            time.time(),
            spent,
            in_flight,
            work,
            self.list_usage(),
        ]

    def handle_ready(self, sock, readable, writable):
        """Take all datagrams that have come."""
        for _ in range(READS):
            try:
                data = sock.recv(READ_SIZE)
            except OSError:
                # Nothing more has come, or an earlier datagram found no listener.
                return
            self._take(data)

    def _take(self, data):
        try:
            kind, *fields = msgpack.unpackb(data, strict_map_key=False)
            if kind == FORMAT:
                self._hear(*fields)
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            log_event("beacon ignored", error=type(exc).__name__)

    def _hear(self, name, incarnation, time_of_day, spent, in_flight, work, usage):
        now = read_boottime()
        self.hear_usage(name_process(name, incarnation), usage)
        until = now + self._interval * KEPT_INTERVALS
        self._gateway.allowances.hear(name, incarnation, spent, until)
        self._agreed.hear(name, time_of_day, now)
        for pool_name, pool in self._gateway.pools.items():
            pool.peers_work[name] = (incarnation, work.get(pool_name, 0.0))
            for upstream, station in pool.stations.items():
                load = InFlight(*in_flight.get(upstream, (0, 0, 0)))
                station.peers[name] = (load, until)
