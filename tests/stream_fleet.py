"""Instances that take up streams of several versions, over a faulty network."""

import heapq
import random
from collections import Counter
from itertools import count
from types import SimpleNamespace
from unittest import mock

import msgpack

from chervilwing.balancing import PoolBalancer
from chervilwing.demands import Demand
from chervilwing.exceptions import ChervilwingError
from chervilwing.instance_records import Peer
from chervilwing.models import Address
from chervilwing.parsers import HttpRequest
from chervilwing.registrations import Registration
from chervilwing.relays import Relay
from chervilwing.resumptions import Resumptions
from chervilwing.rollouts import Rollouts
from chervilwing.routing import STREAM, PoolSpec, Route, Target
from chervilwing.store_calls import Changes, Item, ListItems, Page, Unavailable
from chervilwing.stream_exchange import StreamExchange
from chervilwing.stream_versions import (
    ANNOUNCED,
    Origin,
    encode_origin,
    get_life,
    make_key,
)
from chervilwing.version_reads import VersionReads

CENTRES = ("a", "b", "c")
ROUTE = Route("q", "h", "/", STREAM, (Target("web"),), time_limit=4.0, resumable=True)
REQUEST = HttpRequest("POST", "/", "", {}, b"", True)
TICK = 0.05
# Greatest age in seconds of fresh knowledge of the registrations.
FRESH_FOR = 2.0
# Seconds until a leader has stored a version, until it has announced it, which a store
# that refuses writes delays, and until an instance knows a change.
STORED_AFTER = 2.5
ANNOUNCED_AFTER = (0.3, 0.7, 3.5)
KNOWN_AFTER = (0.01, 0.3, 1.0)
# Seconds for which an upstream answers after its registration has gone.
LEAVES_AFTER = 4.0
MAX_TRIES = 4
# Seconds until the store's reply, and until a call without a reply has failed.
REPLY_AFTER, FAILED_AFTER = 0.004, 1.0


class Stream:
    """A stream: the versions whose events its caller has read, and its refusals."""

    def __init__(self, name):
        self.name = name
        self.versions = set()
        # The attempt that brought the first event.
        self.first = ""
        self.tries = 0
        self.gone_on = 0
        self.refusals = []


class Instance:
    """One process of an instance, with its own knowledge of upstreams."""

    def __init__(self, fleet, name):
        self.name, self.fleet = name, fleet
        self.known_at = fleet.now
        self.pool = PoolBalancer(PoolSpec("web"), fleet.get_centre(name), fleet.rng)
        self.pools = {"web": self.pool}
        self.rollouts = Rollouts()
        document = SimpleNamespace(version=1)
        self.table = SimpleNamespace(resumable=(ROUTE,), document=document)
        self.resumptions = Resumptions(self)
        self.resumptions.streams.are_fresh = self.is_fresh
        self.resumptions.streams.configure((ROUTE,), fleet.now)
        cfg = SimpleNamespace(name=name, data_centre=fleet.get_centre(name))
        self.handlers = {}
        self.coordinator = SimpleNamespace(peers={}, peers_version=0)
        mirror = SimpleNamespace(prefix="m", revision=1)
        reads = VersionReads(self, mirror, mirror)
        self.exchange = StreamExchange(cfg, self, self.coordinator, self, reads)
        for name in sorted(fleet.upstreams):
            self.put_upstream(name, fleet.upstreams[name])
        self.resumptions.streams.are_announced = True
        self.follow_store(fleet.stored)

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, kind, fields, address):
        self.fleet.deliver_later(self, kind, fields, address)

    def submit(self, call, reply):
        """Make a call on the store."""
        if self.name in self.fleet.blind:
            self.fleet.call_later(FAILED_AFTER, reply, Unavailable())
        else:
            self.fleet.call_later(REPLY_AFTER / 2, self.fleet.answer, call, reply)

    def get_or_create_pool(self, name):
        return self.pool

    def is_fresh(self):
        return self.fleet.now - self.known_at <= FRESH_FOR

    def follow_store(self, stored):
        """Learn what the store holds of the versions."""
        streams = self.resumptions.streams
        for key in stored.keys() ^ streams.stored.keys():
            streams.put_stored(key, stored.get(key))

    def put_upstream(self, name, version):
        """Learn of an upstream, or of its end if it has no version."""
        if version is None:
            self.pool.remove(name)
            self.rollouts.keep_versions("web", self.pool.list_versions())
            return
        self.rollouts.record_version("web", version, self.fleet.now)
        self.pool.put_upstream(
            Registration(name, "web", Address("h", 1), "a", version=version)
        )

    def take(self, stream):
        """Take a caller's attempt; return its Relay."""
        stream.tries += 1
        demand = Demand(f"{stream.name}.{stream.tries}", self.fleet.now + 4.0)
        demand = demand._replace(resumes=stream.first)
        exchange = SimpleNamespace(req=REQUEST, stream=stream)
        return Relay(exchange, ROUTE, None, self.pool, demand, self.fleet.now)

    def resume_stream(self, relay, origin, now):
        """Go on with a stream as the gateway does."""
        try:
            self.resumptions.bind(relay, origin)
            self.fleet.relay(self, relay.exchange.stream, relay)
        except ChervilwingError as exc:
            self.fleet.refuse(relay.exchange.stream, exc)


class Fleet:
    """All instances, upstreams, callers and the network between them.

    ``lost`` is the fraction of datagrams that are lost.
    """

    def __init__(self, size, seed, lost=1 / 30, versions=("v1", "v1", "v2", "v2")):
        self.rng = random.Random(seed)
        self.lost = lost
        self.now = 0.0
        self.order = count()
        self._due = []
        self.names = [f"i{number}" for number in range(size)]
        self.upstreams = {f"u{n}": version for n, version in enumerate(versions)}
        # Those that answer, which they do for a while after they were removed.
        self.answering = dict(self.upstreams)
        origins = (Origin("web", version) for version in set(versions))
        self.stored = {make_key(origin): origin for origin in origins}
        self.streams = []
        # Calls on the store, and datagrams sent.
        self.reads = self.datagrams = 0
        self.dead, self.frozen, self.cut = set(), set(), set()
        # Instances that don't reach the store.
        self.blind = set()
        # Changes of the registrations that an instance doesn't know yet.
        self.behind = Counter()
        self.serials = count()
        self.instances = {name: Instance(self, name) for name in self.names}
        self.now = 10.0
        for name in self.names:
            self.introduce(name)
            self.instances[name].known_at = self.now

    def get_centre(self, name):
        return CENTRES[self.names.index(name) % len(CENTRES)]

    def get_address(self, name):
        return Address("10.0.0.1", 1 + self.names.index(name))

    def introduce(self, name):
        coordinator = self.instances[name].coordinator
        coordinator.peers = {
            other: Peer(self.get_address(other), self.get_centre(other), 1.0)
            for other in self.names
            if other != name
        }
        coordinator.peers_version += 1

    def call_later(self, delay, action, *args):
        heapq.heappush(self._due, (self.now + delay, next(self.order), action, args))

    def deliver_later(self, sender, kind, fields, address):
        self.datagrams += 1
        if self.rng.random() >= self.lost:
            data = msgpack.packb([kind, *fields])
            delay = self.rng.choice((0.001, 0.003, 0.003, 0.02))
            name = self.names[address.port - 1]
            self.call_later(delay, self._deliver, sender.name, name, data)

    def _deliver(self, sender, name, data):
        apart = (sender in self.cut) != (name in self.cut)
        if name in self.dead or apart:
            return
        if name in self.frozen:
            self.call_later(0.1, self._deliver, sender, name, data)
            return
        kind, *fields = msgpack.unpackb(data)
        self.instances[name].handlers[kind](self.get_address(sender), *fields)

    def answer(self, call, reply):
        """Answer a call on the store with what it holds now."""
        self.reads += 1
        found = Changes((), 1)
        if isinstance(call, ListItems):
            items = self.stored.items()
            found = Page(tuple(Item(k, encode_origin(v), 1) for k, v in items), 1)
        self.call_later(REPLY_AFTER / 2, reply, found)

    def list_serving(self):
        return [n for n in self.names if n not in self.dead and n not in self.frozen]

    def put_upstream(self, name, version):
        """Register an upstream with the store, or remove it."""
        if version is None:
            self.upstreams.pop(name, None)
            self.call_later(LEAVES_AFTER, self.answering.pop, name, None)
        else:
            self.upstreams[name] = self.answering[name] = version
        for instance in self.names:
            self.behind[instance] += 1
            self.call_later(
                self.rng.choice(KNOWN_AFTER), self._learn, instance, name, version
            )
        self.call_later(self.rng.choice(ANNOUNCED_AFTER), self._announce)
        self.call_later(STORED_AFTER, self._store)

    def _learn(self, instance, name, version):
        if instance in self.blind or instance in self.frozen:
            self.call_later(0.2, self._learn, instance, name, version)
            return
        self.behind[instance] -= 1
        if self.upstreams.get(name) == version:
            self.instances[instance].put_upstream(name, version)

    def _announce(self):
        """Announce the registered versions, as a leader does."""
        for version in self.upstreams.values():
            origin = Origin("web", version)
            self.stored[make_key(origin, ANNOUNCED)] = origin

    def _store(self):
        """Store the versions in use, as a leader does, and delete old ones."""
        used = {Origin("web", version) for version in self.upstreams.values()}
        for origin in used:
            self.stored[make_key(origin)] = origin
        for key, origin in list(self.stored.items()):
            if origin not in used:
                self.call_later(get_life(ROUTE), self._forget, key)

    def _forget(self, key):
        origin = self.stored.get(key)
        if origin is not None and origin.version not in self.upstreams.values():
            del self.stored[key]

    def open(self, stream):
        """Let a caller begin a stream or take it up again, at any instance."""
        serving = self.list_serving()
        if not serving or stream.tries == MAX_TRIES:
            return
        instance = self.instances[self.rng.choice(serving)]
        relay = instance.take(stream)
        try:
            if instance.resumptions.find_origin(relay, self.now):
                self.relay(instance, stream, relay)
        except ChervilwingError as exc:
            self.refuse(stream, exc)

    def refuse(self, stream, exc):
        """Refuse a caller, who may return."""
        stream.refusals.append(exc.type)
        if exc.retry_after is not None:
            self.call_later(exc.retry_after, self.open, stream)

    def relay(self, instance, stream, relay):
        """Send a request to an upstream; some events come, then it breaks off."""
        if relay.origin is None:
            drawn, states = self.rng.random(), instance.pool.upstream_states
            refused = instance.rollouts.list_excluded("web", states, drawn, self.now)
        else:
            refused = instance.resumptions.list_excluded(relay)
        refused = refused | instance.resumptions.list_unannounced(relay, self.now)
        names = sorted(instance.pool.upstream_states.keys() - refused)
        name = self.rng.choice(names) if names else None
        if name not in self.answering:
            self.call_later(0.1, self.open, stream)
            return
        version = relay.upstream_version = self.answering[name]
        instance.resumptions.begin(relay, self.now)
        stream.gone_on += bool(stream.versions)
        stream.versions.add(version)
        stream.first = stream.first or relay.demand.request_id
        self.call_later(self.rng.uniform(0.02, 2.0), self.open, stream)

    def ask(self):
        """Let a new caller begin a stream."""
        self.streams.append(Stream(f"s{len(self.streams)}"))
        self.open(self.streams[-1])

    def kill(self, name):
        self.dead.add(name)

    def start(self, name):
        """Start an instance again; it knows what the store holds."""
        self.dead.discard(name)
        self.instances[name] = Instance(self, name)
        self.introduce(name)

    def run(self, seconds):
        """Run all that is due in some seconds."""
        end, tick_at = self.now + seconds, self.now
        read_clock = "chervilwing.stream_exchange.read_boottime"
        with mock.patch(read_clock, lambda: self.now):
            while tick_at < end:
                while self._due and self._due[0][0] <= tick_at:
                    self.now, _, action, args = heapq.heappop(self._due)
                    action(*args)
                self.now = tick_at
                self._tick()
                tick_at += TICK

    def _tick(self):
        for name in self.list_serving():
            instance = self.instances[name]
            if name not in self.blind:
                instance.follow_store(self.stored)
            if name not in self.blind and not self.behind[name]:
                instance.known_at = self.now
            instance.exchange._on_tick()
