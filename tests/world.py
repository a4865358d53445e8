"""A simulated world for the scenarios: clock, store with faults, service, engines."""

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

EPOCH = 1.8e9
TICK = 0.02
STORE_WAIT = 0.5
LIST_LAG = 3.0
# Of the membership: how long a value is on its way at most, and its exchanges.
SPREAD = 0.5
EXCHANGE_EVERY = 1.0
CONFIGURATION = RevisionSettings().key


class Effect(NamedTuple):
    """What the service saw: the oracle of at-most-once."""

    time: float
    note: str
    operation: str


class Call:
    """What a caller sent and what it was told."""

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
    """Return a UUIDv7 (RFC 9562, 5.7) for a Unix time."""
    high = int(time * 1000) << 16 | 7 << 12 | rng.getrandbits(12)
    low = 2 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=high << 64 | low))


def read_stamp(value):
    """Read the values of these tests: a revision and an operation."""
    try:
        revision, operation = value.split()
        return Stamp(int(revision), operation)
    except ValueError as exc:
        raise BadConfiguration(value) from exc


class Store:
    """A counting key-value store that can be down, be slow and lose answers."""

    def __init__(self, world):
        self.world = world
        self.records = {}
        self.versions = itertools.count(1)
        self.leases = {}
        self.waiting = []
        self.counts = {}
        self.faults = {}

    def has(self, fault):
        """Return the fault's value while it lasts, else None."""
        until, value = self.faults.get(fault, (0.0, None))
        return value if self.world.now < until else None

    def call(self, node, request, reply):
        """Take a request; ``reply`` hears the answer or Unanswered."""
        name = type(request).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        later, lost = self.world.later, m.Unanswered()
        if self.cut_off(node):
            return later(STORE_WAIT, reply, lost)
        if self.has("down"):
            return later(0.005, reply, lost)
        if self.has("drops") and name == "Write":
            return later(STORE_WAIT, reply, lost)
        delay = 0.001 * self.world.rng.uniform(0.5, 1.5) + (self.has("slow") or 0.0)
        delay += (self.has("delays") or 0.0) if name == "Write" else 0.0
        losing = self.has("loses") and name == "Write"
        if delay > STORE_WAIT or losing:
            later(STORE_WAIT, reply, lost)
            reply = lambda _: None

        def answer(got):
            cut_off = self.cut_off(node)
            later(STORE_WAIT if cut_off else 0.001, reply, lost if cut_off else got)

        return later(delay, self.serve, request, answer)

    def cut_off(self, node):
        """Return whether nothing passes between a node and the store."""
        return bool({node.name, node.zone} & self.world.islands)

    def serve(self, request, reply):
        """Carry a request out at the time that it reaches the store."""
        now = self.world.now
        for lease in [name for name, until in self.leases.items() if until <= now]:
            del self.leases[lease]
            lapsed = [k for k, got in self.records.items() if got[2] == lease]
            for key in lapsed:
                del self.records[key]
        if isinstance(request, m.Watch):
            self.waiting.append((request, now + request.wait, reply))
            return self.wake()
        return reply(getattr(self, f"_{type(request).__name__.lower()}")(request))

    def wake(self):
        """Answer the watches that have seen something new or waited long enough."""
        waiting, self.waiting = self.waiting, []
        for watch, until, reply in waiting:
            found = self.records.get(watch.key)
            if self.has("down"):
                reply(m.Unanswered())
            elif found and found[1] > watch.after:
                reply(m.Found(*found[:2]))
            elif self.world.now >= until:
                reply(m.Missing())
            else:
                self.waiting.append((watch, until, reply))

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
        self.wake()
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
    """An entry instance: its core, and an edge that may freeze or die."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.boots = 0
        self.alive = False
        self.frozen = False
        self.pause = 0.0
        self.inbox = []
        self.calls = {}

    def boot(self):
        """Start with nothing known."""
        world = self.world
        if self.alive:
            world.kill(self.name)
        self.boots += 1
        self.alive, self.frozen, self.inbox, self.calls = True, False, [], {}
        self.ledger = Ledger(world.cfg, self.name)
        self.revisions = Revisions(
            RevisionSettings(),
            self.name,
            read_stamp,
            random.Random(world.spread_rng.random()),
        )
        self.published = 0
        self.holder = o.Holder(o.OrderSettings(), self.name, self.zone, "pool")
        self.operations = itertools.count()
        world.enlist(self)
        world.relist()
        self.act(self.revisions.start(world.now))
        for peer in world.others(self):
            world.exchange(self, peer)
        self.tick(self.boots)
        self.gossip(self.boots)

    def on(self, boot, method, *args):
        """Run something on this node: later if frozen, never if it restarted."""
        if not self.alive or boot != self.boots:
            return
        if self.frozen:
            self.inbox.append((boot, method, *args))
            return
        method(*args)

    def thaw(self):
        """Go on with all that has come in."""
        self.frozen = False
        inbox, self.inbox = self.inbox, []
        for item in inbox:
            self.on(*item)

    def tick(self, boot):
        """Give the core its tick, and see what is in force."""
        now = self.world.now
        for part in (self.ledger, self.revisions, self.holder):
            self.act(part.tick(now))
        if self.revisions.explain_not_ready() is None:
            revision = self.revisions.stamp.revision
            self.world.in_force.append((now, self.name, revision))
        self.world.later(TICK, self.on, boot, self.tick, boot)

    def gossip(self, boot):
        """Exchange values with one instance picked at random, as digests lead to."""
        world = self.world
        if others := world.others(self):
            world.exchange(self, world.spread_rng.choice(others))
        world.later(EXCHANGE_EVERY, self.on, boot, self.gossip, boot)

    def act(self, actions):
        """Carry out what the core asks for."""
        for action in actions:
            ACTIONS.get(type(action), lambda *_: None)(self, action)

    def take(self, part, method, *args):
        """Hand an input to one part of the core."""
        self.act(getattr(part, method)(*args, self.world.now))

    def send(self, call, key, fingerprint):
        """Take a caller's keyed request."""
        call.operation = f"{self.name}.{self.boots}.{next(self.operations)}"
        self.calls[call.operation] = call
        args = call.operation, key, fingerprint
        self.take(self.ledger, "claim", *args)

    def finish(self, call, body):
        """Answer the caller with what the service said."""
        if call.kind is None:
            call.kind, call.body = "ran", body
        self.take(self.ledger, "settle", call.operation, Outcome(200, body))

    def _store(self, action):
        def reply(got):
            self.on(boot, self.take, self.part_of(token), "receive", token, got)

        token, request = action
        boot = self.boots
        self.world.store.call(self, request, reply)

    def part_of(self, token):
        """Return the part of the core that a token belongs to."""
        kind = token.split("-")[0]
        return {"claims": self.ledger, "revisions": self.revisions}.get(
            kind, self.holder
        )

    def _forward(self, action):
        self.world.carry(self, action)

    def hear(self, sender, message):
        """Take a message of a peer."""
        self.take(self.ledger, "hear", sender, message)

    def _adopted(self, action):
        # The membership makes a rumour only of a number above the one it holds.
        if action.stamp.revision > self.published:
            self.published = action.stamp.revision
            for peer in self.world.others(self):
                self.world.bring(self, peer)

    def _granted(self, action):
        call = self.calls[action.operation]
        if not self.ledger.may_start(action.operation, self.world.now):
            return
        # A pause may fall between the check and the send.
        self._pause()
        self.world.later(0.001, self.on, self.boots, self.world.serve, self, call)

    def _pause(self):
        pause, self.pause = self.pause, 0.0
        if pause:
            self.world.freeze(self.name, pause)

    def _recorded(self, action):
        call = self.calls[action.operation]
        call.kind, call.body = "recorded", action.outcome.body

    def _refused(self, action):
        call = self.calls[action.operation]
        call.kind, call.told = action.failure.type, action.failure.outcome
        call.told_at = self.world.now

    def _order(self, action):
        boot, world = self.boots, self.world
        if world.now < action.send_before:
            self._pause()
            world.later(0.001, self.on, boot, world.obey, self, action)

    def _order_refused(self, action):
        self.world.orders_refused.append((action.order_id, action.failure.type))


ACTIONS = {
    m.StoreCall: Node._store,
    m.Forward: Node._forward,
    ClaimGranted: Node._granted,
    ClaimRecorded: Node._recorded,
    ClaimRefused: Node._refused,
    Adopted: Node._adopted,
    o.OrderSend: Node._order,
    o.OrderRefused: Node._order_refused,
}


class World:
    """Everything in one scenario, on a simulated clock."""

    def __init__(self, seed=1, cfg=None):
        self.cfg = cfg or ClaimSettings()
        self.rng = random.Random(seed)
        # One of its own: how values spread must not change the keys of the notes.
        self.spread_rng = random.Random(f"spread-{seed}")
        self.now = EPOCH
        self.events = []
        self.order = itertools.count()
        self.store = Store(self)
        self.nodes = {}
        self.listed = {}
        self.keys = {}
        self.calls = []
        self.effects = []
        self.in_force = []
        self.islands = set()
        self.work = 0.2
        self.engines = {}
        self.obeyed = []
        self.orders_refused = []

    def later(self, delay, act, *args):
        """Run something after a delay in seconds."""
        entry = (self.now + delay, next(self.order), act, args)
        heapq.heappush(self.events, entry)

    def run(self, seconds):
        """Let simulated time pass."""
        end = self.now + seconds
        self.later(0.0, self._watch_store, end)
        while self.events and self.events[0][0] <= end:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)
        self.now = end

    def _watch_store(self, end):
        self.store.wake()
        if self.now < end:
            self.later(0.1, self._watch_store, end)

    def start(self):
        """Start all instances; the list shows them."""
        self.listed = {node.name: node.zone for node in self.nodes.values()}
        for node in self.nodes.values():
            node.boot()

    def relist(self):
        """Show a change of the live instances to all, late."""
        self.later(LIST_LAG, self._refresh)

    def _refresh(self):
        live = [node for node in self.nodes.values() if node.alive]
        self.listed = {node.name: node.zone for node in live}
        for node in live:
            self.enlist(node)

    def enlist(self, node):
        """Show an instance the list."""
        mates = [name for name, zone in self.listed.items() if zone == node.zone]
        node.ledger.enlist(self.listed)
        node.revisions.enlist(self.listed)
        node.holder.enlist(mates)

    def carry(self, node, action):
        """Bring a message to another instance, unless a cut is in between."""
        peer = self.nodes[action.instance]
        if self.reaches(node, peer):
            delay = 0.0015 * self.rng.uniform(0.7, 2.0)
            args = node.name, action.message
            self.later(delay, peer.on, peer.boots, peer.hear, *args)

    def reaches(self, node, peer):
        """Tell whether something sent now arrives: no cut, and the other end lives."""
        far = {node.zone, peer.zone} & self.islands and node.zone != peer.zone
        pair = frozenset([node.name, peer.name])
        return peer.alive and not far and pair not in self.islands

    def others(self, node):
        """Return the other instances, whether they are reachable or not."""
        return [peer for peer in self.nodes.values() if peer is not node]

    def exchange(self, node, peer):
        """Bring each of two instances the value of the other."""
        self.bring(node, peer)
        self.bring(peer, node)

    def bring(self, node, peer):
        """Bring an instance's value to another, as the membership does."""
        delay = SPREAD * self.spread_rng.uniform(0.2, 1.0)
        self.later(delay, node.on, node.boots, self._bring, node, peer)

    def _bring(self, node, peer):
        # Older values come too, which the membership itself would leave out: that
        # the core never goes back must not hang on that.
        if node.revisions.value and self.reaches(node, peer):
            args = peer.take, peer.revisions, "hear", node.revisions.value
            peer.on(peer.boots, *args)

    def send(self, note, name, altered=False, age=0.0):
        """Send a caller's note to an instance; its key stays the same."""
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
        node.on(node.boots, node.send, call, key, fingerprint)

    def serve(self, node, call):
        """Run a note on the recording service."""
        self.effects.append(Effect(self.now, call.note, call.operation))
        body = f"{call.note} bound by {call.operation}"
        self.later(self.work, node.on, node.boots, node.finish, call, body)

    def obey(self, node, send):
        """Bring an order to its engine, and the engine's answer back."""
        name = send.order.upstream.name
        newest = max([0, *(o[3] for o in self.obeyed if o[1] == name)])
        if send.order.upstream.fenced and send.fence < newest:
            args = send.order_id, newest
        else:
            self.obeyed.append((self.now, name, send.order_id, send.fence))
            args = (send.order_id,)
        answer = lambda: node.act(node.holder.finish(*args))
        self.later(0.002, node.on, node.boots, answer)

    def give_order(self, name, what, engine):
        """Let an operator's order come up on one instance."""
        node = self.nodes[name]
        order = o.Order("load", self.engines[engine], what)
        args = o.name_order(1, order), order
        node.on(node.boots, node.take, node.holder, "order", *args)

    def add_engine(self, name, zone, fenced=True):
        """Set an engine up."""
        address = Address("127.0.0.1", 1)
        self.engines[name] = Upstream(
            name, "model", "pool", address, zone, fenced=fenced
        )

    def freeze(self, name, seconds):
        """Stop an instance, its process unaware, and let it go on later."""
        node = self.nodes[name]
        if node.alive and not node.frozen:
            node.frozen = True
            self.later(seconds, node.thaw)

    def kill(self, name):
        """End an instance with all that it knows."""
        node = self.nodes[name]
        node.alive = False
        for call in self.calls:
            if call.node == name and call.kind is None:
                call.cut = True
        self.relist()

    def cut(self, what, seconds):
        """Cut a zone off from the others and the store, or an instance from it."""
        self.islands.add(what)
        self.later(seconds, self.islands.discard, what)

    def publish_next(self):
        """Write the revision after the newest."""
        newest = self.store.records.get(CONFIGURATION, ("0 none",))[0]
        self.publish(read_stamp(newest).revision + 1)

    def publish(self, revision):
        """Write a revision into the store, as an operator does."""
        version = next(self.store.versions)
        value = f"{revision} op-{revision}"
        self.store.records[CONFIGURATION] = value, version, None
        self.store.wake()
