"""Simulation of instances that ask each other for upstreams over a faulty network."""

import heapq
import random
from itertools import count
from types import SimpleNamespace
from unittest import mock

import msgpack

from chervilwing import placement_exchange
from chervilwing.allowances import Allowances
from chervilwing.balancing import PoolBalancer
from chervilwing.brittle_upstreams import BrittleUpstreams
from chervilwing.coordination import Peer
from chervilwing.demands import Demand, PromptPart
from chervilwing.models import Address
from chervilwing.placement_exchange import Placing
from chervilwing.pool_admission import AdmissionControl
from chervilwing.registrations import Registration
from chervilwing.resumptions import Resumptions
from chervilwing.rollouts import Rollouts
from chervilwing.routing import EngineSpec, PoolSpec
from chervilwing.upstream_limits import UpstreamLimits
from tests.gateways import make_settings

CENTRES = ("a", "b", "c")
SPEC = PoolSpec("engines", engine=EngineSpec(64, 372_000))
TICK = 0.05
# Seconds from sending a request until its prompt is read, and until its answer ends.
READ_TIME = 0.1
RUN_TIME = 0.6
DEADLINE = 4.0
# Nanoseconds between two starts of one instance.
BETWEEN_STARTS = 10**9


class FakeDatagrams:
    """Datagram interface of one instance; the fleet delivers the datagrams."""

    def __init__(self, fleet, name):
        self.address = Address("10.0.0.1", fleet.get_port(name))
        self.handlers = {}
        self._fleet = fleet
        self._name = name

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, kind, fields, address):
        self._fleet.deliver_later(self._name, kind, fields, address)


class Instance:
    """One instance: its pool, its Placing component and the requests that it sent."""

    def __init__(self, fleet, name, engines):
        self.name = name
        self.fleet = fleet
        self.cfg = make_settings(
            name=name,
            data_centre=fleet.get_centre(name),
            incarnation=next(fleet.order) * BETWEEN_STARTS,
        )
        self.upstream_limits = UpstreamLimits(Allowances())
        self.brittle_upstreams = BrittleUpstreams(self.upstream_limits)
        self.rollouts = Rollouts()
        self.resumptions = Resumptions(self)
        self.admissions = AdmissionControl()
        self.pools = {"engines": PoolBalancer(SPEC, self.cfg.data_centre, fleet.rng)}
        for number in range(engines):
            self.put(f"u{number}", leaving=False)
        self.datagrams = FakeDatagrams(fleet, name)
        self.coordinator = SimpleNamespace(
            peers={}, peers_version=0, list_links=lambda: {}
        )
        self.placing = Placing(self.cfg, self.datagrams, self.coordinator, gateway=self)
        self.sent = []
        # Number of requests whose ask failed, so that it chose the upstream itself.
        self.unanswered = 0

    def put(self, upstream, leaving):
        """Register an upstream, or mark it as leaving."""
        centre = CENTRES[int(upstream[1:]) % len(CENTRES)]
        address = Address("10.1.0.1", int(upstream[1:]))
        self.pools["engines"].put_upstream(
            Registration(upstream, "engines", address, centre, 64, leaving)
        )

    def place_locally(self, relay, now, refused=False):
        self.unanswered += 1
        self.choose_upstream(relay, now)

    def list_excluded_upstreams(self, relay, now):
        return relay.tried

    def choose_upstream(self, relay, now):
        """Choose an upstream here and send the request."""
        origin = self.placing._get_origin(relay.pool)
        self.send_to_choice(
            relay, relay.pool.choose(relay.demand, (), now, origin), now
        )

    def send_to_choice(self, relay, found, now):
        """Record a request as sent, and schedule its first byte and its end."""
        upstream_state, estimate = found
        self.sent.append((relay.demand.request_id, upstream_state))
        relay.pool.record_sent(upstream_state, relay.demand, estimate, now)
        self.fleet.call_later(READ_TIME, self._start, relay, upstream_state)
        self.fleet.call_later(RUN_TIME, self._end, relay, upstream_state)

    def _start(self, relay, upstream_state):
        if relay.pool.record_first_byte(upstream_state, relay.demand, self.fleet.now):
            self.placing._queue_started(relay)

    def _end(self, relay, upstream_state):
        relay.ended = True
        relay.pool.record_end(upstream_state, relay.demand, False, self.fleet.now)
        self.placing._queue_placed_ended(relay, False)


class Fleet:
    """All instances and the network between them.

    ``lost`` and ``doubled`` are the fractions of datagrams that are lost or duplicated.
    With ``late``, some datagrams take up to 0.2 s.
    """

    def __init__(
        self,
        size,
        engines,
        seed,
        lost=0.0,
        doubled=0.0,
        late=False,
        instance_type=Instance,
    ):
        self._instance_type = instance_type
        self.rng = random.Random(seed)
        self.now = 0.0
        self.order = count(1)
        self.lost, self.doubled = lost, doubled
        self.delays = (0.001, 0.003, 0.02, 0.2) if late else (0.001, 0.003)
        self.requests = []
        self.cut_centres = set()
        self.dead = set()
        # Instances whose datagrams all arrive 0.2 s late.
        self.slow = set()
        # Instances that were killed or restarted and so lost their requests.
        self.lost_instances = set()
        self._due = []
        self._names = [f"i{number}" for number in range(size)]
        self.instances = {
            name: instance_type(self, name, engines) for name in self._names
        }
        for instance in self.instances.values():
            self._introduce(instance)

    def _introduce(self, instance):
        peers = {
            other.name: Peer(other.datagrams.address, other.cfg.data_centre, 10.0)
            for other in self.instances.values()
            if other is not instance
        }
        instance.coordinator.peers = peers
        instance.coordinator.peers_version += 1

    def get_port(self, name):
        return 1 + self._names.index(name)

    def get_centre(self, name):
        return CENTRES[self._names.index(name) % len(CENTRES)]

    def call_later(self, delay, action, *args):
        heapq.heappush(self._due, (self.now + delay, next(self.order), action, args))

    def deliver_later(self, sender, kind, fields, address):
        """Schedule the delivery of a datagram: once, twice or, if lost, never."""
        name = self._names[address.port - 1]
        copies = 1 + (self.rng.random() < self.doubled)
        for _ in range(copies):
            if self.rng.random() >= self.lost:
                delay = self.rng.choice(self.delays)
                delay += 0.2 if {sender, name} & self.slow else 0.0
                self.call_later(delay, self._deliver, sender, name, kind, fields)

    def _deliver(self, sender, name, kind, fields):
        apart = (self.get_centre(sender) in self.cut_centres) != (
            self.get_centre(name) in self.cut_centres
        )
        if name in self.dead or sender in self.dead or apart:
            return
        datagrams = self.instances[name].datagrams
        source = self.instances[sender].datagrams.address
        datagrams.handlers[kind](source, *msgpack.unpackb(msgpack.packb(fields)))

    def ask(self, name):
        """Let a new request arrive at an instance."""
        if name in self.dead:
            return
        number = len(self.requests)
        instance = self.instances[name]
        parts = (PromptPart(f"s{number % 7}", 900), PromptPart(f"o{number}", 500))
        demand = Demand(f"r{number}", self.now + DEADLINE, 1400, 50, 50, parts)
        relay = SimpleNamespace(
            demand=demand,
            pool=instance.pools["engines"],
            tried=set(),
            origin=None,
            ended=False,
            placement_id=None,
        )
        self.requests.append((name, demand.request_id))
        if not instance.placing._send_ask(relay, self.now):
            instance.choose_upstream(relay, self.now)

    def list_living(self):
        return [i for name, i in self.instances.items() if name not in self.dead]

    def list_placers(self):
        """Return the names of the placers of the pool."""
        instance = next(iter(self.instances.values()))
        return instance.placing._list_pool_placers(instance.pools["engines"])

    def kill(self, name):
        """Stop an instance permanently."""
        self.dead.add(name)
        self.lost_instances.add(name)

    def restart(self, name):
        """Restart an instance without its state, under a new incarnation."""
        sent = self.instances[name].sent
        engines = len(self.instances[name].pools["engines"].upstream_states)
        self.instances[name] = self._instance_type(self, name, engines)
        self.instances[name].sent = sent
        self.lost_instances.add(name)
        self._introduce(self.instances[name])

    def tick(self, name, instance):
        """Let an instance handle one tick."""
        instance.placing._on_tick()

    def run(self, until):
        """Run events and ticks of all instances until a time in seconds."""
        with mock.patch.object(placement_exchange, "read_boottime", lambda: self.now):
            ticks = self.now
            while self.now < until:
                due = self._due[0][0] if self._due else until
                if ticks <= min(due, until):
                    self.now = ticks
                    for name, instance in list(self.instances.items()):
                        if name not in self.dead:
                            self.tick(name, instance)
                    ticks += TICK
                elif due < until:
                    self.now, _, action, args = heapq.heappop(self._due)
                    action(*args)
                else:
                    self.now = until
