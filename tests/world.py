"""A simulated deployment for the scenarios: clock, store with faults, service, engines.

A note is a non-idempotent request that must run at most once on the service.
"""

import heapq
import itertools
import random
import uuid
from typing import NamedTuple

from chervilwing import messages as m
from chervilwing import orders as o
from chervilwing.claim_keys import ClaimKey, ClaimSettings
from chervilwing.claims import ClaimGranted, ClaimRecorded, ClaimRefused, Ledger
from chervilwing.exceptions import BadConfiguration
from chervilwing.models import Address, Upstream
from chervilwing.revisions import Adopted, Revisions, RevisionSettings, Stamp
from chervilwing.segments import Outcome

# In seconds; EPOCH is the Unix time at which a simulation starts.
EPOCH = 1.8e9
TICK = 0.02
STORE_TIMEOUT = 0.5
LIST_LAG = 3.0
# The gossip is simulated by delays, in seconds: the longest until a configuration value
# reaches another instance, and the interval at which an instance exchanges values with
# a random one.
MAX_VALUE_DELAY = 0.5
EXCHANGE_INTERVAL = 1.0
CONFIG_KEY = RevisionSettings().key


class Effect(NamedTuple):
    """Record that the service ran a note; each note may have one ``Effect`` at most."""

    time: float
    note: str
    operation: str


class Call:
    """Hold a caller's request and the result that it got.

    ``kind`` is None before a reply, then "ran", "recorded", "no-connection" or the type
    of the error. ``told`` is the outcome that the error reports, and ``told_at`` the
    time of the error. ``cut`` is true if the instance died before its reply.
    """

    def __init__(self, note, node, operation):
        self.note = note
        self.node = node
        self.operation = operation
        self.kind = None
        self.told = None
        self.body = None
        self.cut = False
        self.sent_at = 0.0
        self.told_at = 0.0


def make_key(time, rng):
    """Return a UUIDv7 (RFC 9562, 5.7) for a Unix time in seconds."""
    high = int(time * 1000) << 16 | 7 << 12 | rng.getrandbits(12)
    low = 2 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=high << 64 | low))


def read_stamp(value):
    """Return the Stamp in a value such as ``3 op-3``: revision and operation."""
    try:
        revision, operation = value.split()
        return Stamp(int(revision), operation)
    except ValueError as exc:
        raise BadConfiguration(value) from exc


class Store:
    """Simulate a key-value store that can be down, slow or lose replies."""

    def __init__(self, world):
        self.world = world
        self.records = {}
        self.versions = itertools.count(1)
        self.leases = {}
        self.watches = []
        self.counts = {}
        self.faults = {}

    def get_fault(self, fault):
        """Return the value of an active fault, else None."""
        until, value = self.faults.get(fault, (0.0, None))
        return value if self.world.now < until else None

    def call(self, node, request, reply):
        """Accept a request; ``reply`` is called with the reply or Unanswered."""
        name = type(request).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        later, unanswered = self.world.later, m.Unanswered()
        if self.cut_off(node):
            return later(STORE_TIMEOUT, reply, unanswered)
        if self.get_fault("down"):
            return later(0.005, reply, unanswered)
        if self.get_fault("drops") and name == "Write":
            return later(STORE_TIMEOUT, reply, unanswered)
        delay = 0.001 * self.world.rng.uniform(0.5, 1.5) + (
            self.get_fault("slow") or 0.0
        )
        delay += (self.get_fault("delays") or 0.0) if name == "Write" else 0.0
        loses_reply = self.get_fault("loses") and name == "Write"
        if delay > STORE_TIMEOUT or loses_reply:
            later(STORE_TIMEOUT, reply, unanswered)
            reply = lambda _: None

        def answer(found):
            cut_off = self.cut_off(node)
            later(
                STORE_TIMEOUT if cut_off else 0.001,
                reply,
                unanswered if cut_off else found,
            )

        return later(delay, self.serve, request, answer)

    def cut_off(self, node):
        """Return whether a node can't reach the store."""
        return bool({node.name, node.zone} & self.world.partitions)

    def serve(self, request, reply):
        """Process a request when it reaches the store."""
        now = self.world.now
        for lease in [name for name, until in self.leases.items() if until <= now]:
            del self.leases[lease]
            expired_keys = [k for k, found in self.records.items() if found[2] == lease]
            for key in expired_keys:
                del self.records[key]
        if isinstance(request, m.Watch):
            self.watches.append((request, now + request.wait, reply))
            return self.answer_watches()
        return reply(getattr(self, f"_{type(request).__name__.lower()}")(request))

    def answer_watches(self):
        """Reply to the watches whose key has changed or whose wait is over."""
        waiting, self.watches = self.watches, []
        for watch, until, reply in waiting:
            found = self.records.get(watch.key)
            if self.get_fault("down"):
                reply(m.Unanswered())
            elif found and found[1] > watch.after:
                reply(m.Found(*found[:2]))
            elif self.world.now >= until:
                reply(m.Missing())
            else:
                self.watches.append((watch, until, reply))

    def _read(self, request):
        found = self.records.get(request.key)
        return m.Found(*found[:2]) if found else m.Missing()

    def _write(self, request):
        value, version, _ = self.records.get(request.key, ("", 0, None))
        if request.lease and request.lease not in self.leases:
            return m.Missing()
        if version != request.expect:
            return m.Rejected(value, version)
        version = next(self.versions)
        self.records[request.key] = request.value, version, request.lease
        self.answer_watches()
        return m.Written(version)

    def _grant(self, request):
        lease = f"lease-{next(self.versions)}"
        self.leases[lease] = self.world.now + request.ttl
        return m.Granted(lease, request.ttl)

    def _renew(self, request):
        if request.lease not in self.leases:
            return m.Missing()
        self.leases[request.lease] = self.world.now + 9.0
        return m.Granted(request.lease, 9.0)


class Node:
    """Simulate an entry instance: its cores, and a process that may freeze or die.

    ``pause`` is the time in seconds for which the process freezes before it next sends
    a granted request or an order.
    """

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.boot_count = 0
        self.alive = False
        self.frozen = False
        self.pause = 0.0
        self.deferred = []
        self.calls = {}

    def boot(self):
        """Start or restart without any state."""
        world = self.world
        if self.alive:
            world.kill(self.name)
        self.boot_count += 1
        self.alive, self.frozen, self.deferred, self.calls = True, False, [], {}
        self.ledger = Ledger(world.cfg, self.name)
        self.revisions = Revisions(
            RevisionSettings(),
            self.name,
            read_stamp,
            random.Random(world.gossip_rng.random()),
        )
        self.published = 0
        self.holder = o.Holder(o.OrderSettings(), self.name, self.zone, "pool")
        self.operations = itertools.count()
        world.enlist(self)
        world.update_list()
        self.apply_actions(self.revisions.start(world.now))
        for peer in world.list_others(self):
            world.exchange(self, peer)
        self.tick(self.boot_count)
        self.exchange_values(self.boot_count)

    def run(self, boot, method, *args):
        """Call a method of this node: later if it is frozen, never if it died since."""
        if not self.alive or boot != self.boot_count:
            return
        if self.frozen:
            self.deferred.append((boot, method, *args))
            return
        method(*args)

    def resume(self):
        """End a freeze and process all deferred calls."""
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for item in deferred:
            self.run(*item)

    def tick(self, boot):
        """Tick the cores and record the revision in force."""
        now = self.world.now
        for core in (self.ledger, self.revisions, self.holder):
            self.apply_actions(core.tick(now))
        if self.revisions.explain_not_ready() is None:
            revision = self.revisions.stamp.revision
            self.world.in_force.append((now, self.name, revision))
        self.world.later(TICK, self.run, boot, self.tick, boot)

    def exchange_values(self, boot):
        """Exchange the configuration in force with a random instance.

        The real membership does this after a ping shows that the two tables differ.
        """
        world = self.world
        if others := world.list_others(self):
            world.exchange(self, world.gossip_rng.choice(others))
        world.later(EXCHANGE_INTERVAL, self.run, boot, self.exchange_values, boot)

    def apply_actions(self, actions):
        """Perform the actions that a core returned."""
        for action in actions:
            ACTIONS.get(type(action), lambda *_: None)(self, action)

    def call_core(self, core, method, *args):
        """Call a method of a core with the current time and perform its actions."""
        self.apply_actions(getattr(core, method)(*args, self.world.now))

    def accept_request(self, call, key, fingerprint):
        """Accept a caller's request with its idempotency key."""
        call.operation = f"{self.name}.{self.boot_count}.{next(self.operations)}"
        self.calls[call.operation] = call
        args = call.operation, key, fingerprint
        self.call_core(self.ledger, "claim", *args)

    def finish(self, call, body):
        """Pass the service's response to the caller and record the outcome."""
        if call.kind is None:
            call.kind, call.body = "ran", body
        self.call_core(self.ledger, "settle", call.operation, Outcome(200, body))

    def _send_store_call(self, action):
        def reply(found):
            self.run(
                boot, self.call_core, self.find_core(token), "receive", token, found
            )

        token, request = action
        boot = self.boot_count
        self.world.store.call(self, request, reply)

    def find_core(self, token):
        """Return the core that a store call's token belongs to."""
        kind = token.split("-")[0]
        return {"claims": self.ledger, "revisions": self.revisions}.get(
            kind, self.holder
        )

    def _forward(self, action):
        self.world.forward(self, action)

    def receive_message(self, sender, message):
        """Handle a message from another instance."""
        self.call_core(self.ledger, "hear", sender, message)

    def _on_adopted(self, action):
        # The membership spreads only a revision newer than the one it holds.
        if action.stamp.revision > self.published:
            self.published = action.stamp.revision
            for peer in self.world.list_others(self):
                self.world.send_value(self, peer)

    def _on_granted(self, action):
        call = self.calls[action.operation]
        if not self.ledger.may_start(action.operation, self.world.now):
            return
        # The process may be paused after this check and before it sends the request.
        self._apply_pause()
        self.world.later(0.001, self.run, self.boot_count, self.world.serve, self, call)

    def _apply_pause(self):
        pause, self.pause = self.pause, 0.0
        if pause:
            self.world.freeze(self.name, pause)

    def _on_recorded(self, action):
        call = self.calls[action.operation]
        call.kind, call.body = "recorded", action.outcome.body

    def _on_refused(self, action):
        call = self.calls[action.operation]
        call.kind, call.told = action.failure.type, action.failure.outcome
        call.told_at = self.world.now

    def _on_order(self, action):
        boot, world = self.boot_count, self.world
        if world.now < action.send_before:
            self._apply_pause()
            world.later(0.001, self.run, boot, world.apply_order, self, action)

    def _on_order_refused(self, action):
        self.world.orders_refused.append((action.order_id, action.failure.type))


ACTIONS = {
    m.StoreCall: Node._send_store_call,
    m.Forward: Node._forward,
    ClaimGranted: Node._on_granted,
    ClaimRecorded: Node._on_recorded,
    ClaimRefused: Node._on_refused,
    Adopted: Node._on_adopted,
    o.OrderSend: Node._on_order,
    o.OrderRefused: Node._on_order_refused,
}


class World:
    """Hold the state of a scenario and run its events on a simulated clock."""

    def __init__(self, seed=1, cfg=None):
        self.cfg = cfg or ClaimSettings()
        self.rng = random.Random(seed)
        # A separate generator, so that the spread of values doesn't change the keys.
        self.gossip_rng = random.Random(f"spread-{seed}")
        self.now = EPOCH
        self.events = []
        self.event_ids = itertools.count()
        self.store = Store(self)
        self.nodes = {}
        self.listed = {}
        self.keys = {}
        self.calls = []
        self.effects = []
        self.in_force = []
        self.partitions = set()
        self.work = 0.2
        self.engines = {}
        self.obeyed = []
        self.orders_refused = []

    def later(self, delay, function, *args):
        """Call a function after a delay in seconds."""
        entry = (self.now + delay, next(self.event_ids), function, args)
        heapq.heappush(self.events, entry)

    def run(self, seconds):
        """Simulate a number of seconds."""
        end = self.now + seconds
        self.later(0.0, self._poll_store, end)
        while self.events and self.events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = end

    def _poll_store(self, end):
        self.store.answer_watches()
        if self.now < end:
            self.later(0.1, self._poll_store, end)

    def start(self):
        """Start all instances, which are already on the list."""
        self.listed = {node.name: node.zone for node in self.nodes.values()}
        for node in self.nodes.values():
            node.boot()

    def update_list(self):
        """Publish the cloud's list of live instances, ``LIST_LAG`` seconds later."""
        self.later(LIST_LAG, self._publish_list)

    def _publish_list(self):
        live = [node for node in self.nodes.values() if node.alive]
        self.listed = {node.name: node.zone for node in live}
        for node in live:
            self.enlist(node)

    def enlist(self, node):
        """Pass the listed instances to the cores of a node."""
        zone_members = [name for name, zone in self.listed.items() if zone == node.zone]
        node.ledger.enlist(self.listed)
        node.revisions.enlist(self.listed)
        node.holder.enlist(zone_members)

    def forward(self, node, action):
        """Deliver a message to another instance, unless a partition separates them."""
        peer = self.nodes[action.instance]
        if self.can_reach(node, peer):
            delay = 0.0015 * self.rng.uniform(0.7, 2.0)
            args = node.name, action.message
            self.later(delay, peer.run, peer.boot_count, peer.receive_message, *args)

    def can_reach(self, node, peer):
        """Return whether ``peer`` is alive and no partition separates the two."""
        cut_off = {node.zone, peer.zone} & self.partitions and node.zone != peer.zone
        pair = frozenset([node.name, peer.name])
        return peer.alive and not cut_off and pair not in self.partitions

    def list_others(self, node):
        """Return the other instances, reachable or not."""
        return [peer for peer in self.nodes.values() if peer is not node]

    def exchange(self, node, peer):
        """Send each of two instances the configuration of the other."""
        self.send_value(node, peer)
        self.send_value(peer, node)

    def send_value(self, node, peer):
        """Deliver a node's configuration to a peer after a random delay.

        The delay stands for the gossip of the membership. The value in force at its end
        is delivered, if the peer can be reached then.
        """
        delay = MAX_VALUE_DELAY * self.gossip_rng.uniform(0.2, 1.0)
        self.later(delay, node.run, node.boot_count, self._deliver_value, node, peer)

    def _deliver_value(self, node, peer):
        # Older values are delivered too, although the membership would not send them:
        # the core must never put an older revision in force by itself.
        if node.revisions.value and self.can_reach(node, peer):
            args = peer.call_core, peer.revisions, "hear", node.revisions.value
            peer.run(peer.boot_count, *args)

    def send(self, note, name, altered=False, age=0.0):
        """Send a note to an instance, with the same key each time."""
        if note not in self.keys:
            self.keys[note] = make_key(self.now - age, self.rng)
        node = self.nodes[name]
        call = Call(note, name, "")
        call.sent_at = self.now
        self.calls.append(call)
        if not node.alive:
            call.kind = "no-connection"
            return
        key = ClaimKey("andesur", self.keys[note])
        fingerprint = f"{note}{'!' if altered else ''}"
        node.run(node.boot_count, node.accept_request, call, key, fingerprint)

    def serve(self, node, call):
        """Run a note on the service and record the effect."""
        self.effects.append(Effect(self.now, call.note, call.operation))
        body = f"{call.note} bound by {call.operation}"
        self.later(self.work, node.run, node.boot_count, node.finish, call, body)

    def apply_order(self, node, send):
        """Deliver an order to its engine, and the engine's reply to the node."""
        name = send.order.upstream.name
        newest = max([0, *(o[3] for o in self.obeyed if o[1] == name)])
        if send.order.upstream.fenced and send.fence < newest:
            args = send.order_id, newest
        else:
            self.obeyed.append((self.now, name, send.order_id, send.fence))
            args = (send.order_id,)
        answer = lambda: node.apply_actions(node.holder.finish(*args))
        self.later(0.002, node.run, node.boot_count, answer)

    def give_order(self, name, model, engine):
        """Order an instance to load a model on an engine."""
        node = self.nodes[name]
        order = o.Order("load", self.engines[engine], model)
        args = o.name_order(1, order), order
        node.run(node.boot_count, node.call_core, node.holder, "order", *args)

    def add_engine(self, name, zone, fenced=True):
        """Add an engine to which operators can give orders."""
        address = Address("127.0.0.1", 1)
        self.engines[name] = Upstream(
            name, "model", "pool", address, zone, fenced=fenced
        )

    def freeze(self, name, seconds):
        """Suspend an instance's process for ``seconds``."""
        node = self.nodes[name]
        if node.alive and not node.frozen:
            node.frozen = True
            self.later(seconds, node.resume)

    def kill(self, name):
        """Kill an instance, with all its state."""
        node = self.nodes[name]
        node.alive = False
        for call in self.calls:
            if call.node == name and call.kind is None:
                call.cut = True
        self.update_list()

    def cut(self, target, seconds):
        """Cut off a zone from the others and the store, or an instance from the store.

        A frozenset of two instances cuts them off from each other.
        """
        self.partitions.add(target)
        self.later(seconds, self.partitions.discard, target)

    def publish_next(self):
        """Write the revision that follows the newest one into the store."""
        newest = self.store.records.get(CONFIG_KEY, ("0 none",))[0]
        self.publish(read_stamp(newest).revision + 1)

    def publish(self, revision):
        """Write a revision into the store, as an operator does."""
        version = next(self.store.versions)
        value = f"{revision} op-{revision}"
        self.store.records[CONFIG_KEY] = value, version, None
        self.store.answer_watches()
