"""Many instances that ask each other for upstreams, over a network that fails them."""

import heapq
import random
from itertools import count
from types import SimpleNamespace
from unittest import mock

import msgpack

from chervilwing import placing
from chervilwing.allowances import Allowances
from chervilwing.balancing import PoolBalance
from chervilwing.coordination import Peer
from chervilwing.demands import Demand, PromptPart
from chervilwing.models import Address
from chervilwing.placing import Placing
from chervilwing.registrations import Registration
from chervilwing.routing import EngineTraits, PoolTraits
from chervilwing.upstream_limits import UpstreamLimits
from tests.gateways import make_settings

CENTRES = ("a", "b", "c")
TRAITS = PoolTraits("engines", engine=EngineTraits(64, 372_000))
TICK = 0.05
# Seconds from its sending until a prompt is read, and until its answer is over.
READ_TIME = 0.1
RUN_TIME = 0.6
DEADLINE = 4.0
# Nanoseconds between two starts of one instance.
BETWEEN_STARTS = 10**9


class Wire:
    """One instance's datagrams; the fleet carries them."""

    def __init__(self, fleet, name):
        self.address = Address("10.0.0.1", fleet.port_of(name))
        self.takers = {}
        self._fleet = fleet
        self._name = name

    def subscribe(self, kind, take):
        self.takers[kind] = take

    def send(self, kind, fields, address):
        self._fleet.carry(self._name, kind, fields, address)


class Instance:
    """One instance: its pool, what it placed and what it was told to send."""

    def __init__(self, fleet, name, engines):
        self.name = name
        self.fleet = fleet
        self.cfg = make_settings(
            name=name,
            data_centre=fleet.centre_of(name),
            incarnation=next(fleet.order) * BETWEEN_STARTS,
        )
        self.upstream_limits = UpstreamLimits(Allowances())
        self.pools = {"engines": PoolBalance(TRAITS, self.cfg.data_centre, fleet.rng)}
        for number in range(engines):
            self.put(f"u{number}", leaving=False)
        self.wire = Wire(fleet, name)
        self.coordinator = SimpleNamespace(
            peers={}, peers_version=0, list_links=lambda: {}
        )
        self.placing = Placing(self.cfg, self.wire, self.coordinator, gateway=self)
        self.sent = []
        # How many requests it asked for in vain.
        self.alone = 0

    def put(self, upstream, leaving):
        """Learn of an upstream, or that it leaves."""
        centre = CENTRES[int(upstream[1:]) % len(CENTRES)]
        address = Address("10.1.0.1", int(upstream[1:]))
        self.pools["engines"].put(
            Registration(upstream, "engines", address, centre, 64, leaving)
        )

    def place_alone(self, relay, now):
        self.alone += 1
        self.choose(relay, now)

    def list_excluded(self, relay, now):
        return relay.tried

    def choose(self, relay, now):
        """Choose an upstream here."""
        origin = self.placing._read_origin()
        self.place(relay, relay.pool.choose(relay.demand, (), now, origin), now)

    def place(self, relay, found, now):
        """Take note of a send; its prompt is read and its answer ends by and by."""
        station, estimate = found
        self.sent.append((relay.demand.request_id, station))
        relay.pool.send(station, relay.demand, estimate, now)
        self.fleet.call(READ_TIME, self._start, relay, station)
        self.fleet.call(RUN_TIME, self._end, relay, station)

    def _start(self, relay, station):
        if relay.pool.start(station, relay.demand, self.fleet.now):
            self.placing._note_started(relay)

    def _end(self, relay, station):
        relay.over = True
        relay.pool.end(station, relay.demand, False, self.fleet.now)
        self.placing._note_ended(relay, False)


class Fleet:
    """All instances; ``lost`` and ``doubled`` are parts of all datagrams.

    Where some are ``late``, they take up to 0.2 s.
    """

    def __init__(self, size, engines, seed, lost=0.0, doubled=0.0, late=False):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.order = count(1)
        self.lost, self.doubled = lost, doubled
        self.delays = (0.001, 0.003, 0.02, 0.2) if late else (0.001, 0.003)
        self.asked = []
        self.cut = set()
        self.dead = set()
        # Whose requests went with their process.
        self.failed = set()
        self._due = []
        self._names = [f"i{number}" for number in range(size)]
        self.instances = {name: Instance(self, name, engines) for name in self._names}
        for instance in self.instances.values():
            self._introduce(instance)

    def _introduce(self, instance):
        peers = {
            other.name: Peer(other.wire.address, other.cfg.data_centre, 10.0)
            for other in self.instances.values()
            if other is not instance
        }
        instance.coordinator.peers = peers
        instance.coordinator.peers_version += 1

    def port_of(self, name):
        return 1 + self._names.index(name)

    def centre_of(self, name):
        return CENTRES[self._names.index(name) % len(CENTRES)]

    def call(self, delay, act, *args):
        heapq.heappush(self._due, (self.now + delay, next(self.order), act, args))

    def carry(self, sender, kind, fields, address):
        """Carry a datagram, late and maybe twice, or lose it."""
        name = self._names[address.port - 1]
        copies = 1 + (self.rng.random() < self.doubled)
        for _ in range(copies):
            if self.rng.random() >= self.lost:
                delay = self.rng.choice(self.delays)
                self.call(delay, self._deliver, sender, name, kind, fields)

    def _deliver(self, sender, name, kind, fields):
        apart = (self.centre_of(sender) in self.cut) != (
            self.centre_of(name) in self.cut
        )
        if name in self.dead or sender in self.dead or apart:
            return
        wire = self.instances[name].wire
        source = self.instances[sender].wire.address
        wire.takers[kind](source, *msgpack.unpackb(msgpack.packb(fields)))

    def ask(self, name):
        """Let a request come to an instance."""
        if name in self.dead:
            return
        number = len(self.asked)
        instance = self.instances[name]
        parts = (PromptPart(f"s{number % 7}", 900), PromptPart(f"o{number}", 500))
        demand = Demand(f"r{number}", self.now + DEADLINE, 1400, 50, 50, parts)
        relay = SimpleNamespace(
            demand=demand,
            pool=instance.pools["engines"],
            tried=set(),
            over=False,
            ticket=None,
        )
        self.asked.append((name, demand.request_id))
        if not instance.placing._ask(relay, self.now):
            instance.choose(relay, self.now)

    def list_living(self):
        return [i for name, i in self.instances.items() if name not in self.dead]

    def kill(self, name):
        """End an instance for good."""
        self.dead.add(name)
        self.failed.add(name)

    def restart(self, name):
        """Start an instance again: it keeps nothing and has another incarnation."""
        sent = self.instances[name].sent
        engines = len(self.instances[name].pools["engines"].stations)
        self.instances[name] = Instance(self, name, engines)
        self.instances[name].sent = sent
        self.failed.add(name)
        self._introduce(self.instances[name])

    def run(self, until):
        """Play until a time; every instance ticks."""
        with mock.patch.object(placing, "read_boottime", lambda: self.now):
            ticks = self.now
            while self.now < until:
                due = self._due[0][0] if self._due else until
                if ticks <= min(due, until):
                    self.now = ticks
                    for name, instance in list(self.instances.items()):
                        if name not in self.dead:
                            instance.placing._on_tick()
                    ticks += TICK
                elif due < until:
                    self.now, _, act, args = heapq.heappop(self._due)
                    act(*args)
                else:
                    self.now = until
