"""Revisions of the configuration: learn them, pass them on, never go back."""

import itertools
import math
from typing import NamedTuple

from .exceptions import BadConfiguration, ChervilwingError, NoConfiguration
from .messages import Forward, Missing, Read, StoreCall, Unanswered, Watch
from .ranking import rank

WATCH = "watch"
READ = "read"


class RevisionSettings(NamedTuple):
    """Settings of the revisions; times in seconds.

    ``audit_every`` is the mean time between two reads by the fleet as a whole.
    """

    key: str = "configuration"
    watchers: int = 2
    watch_wait: float = 10.0
    watch_retry: float = 1.0
    gossip_every: float = 1.0
    gossip_to: int = 2
    offer_wait: float = 0.5
    audit_every: float = 1.0
    fanout: int = 4
    asked: int = 8
    peer_wait: float = 3.0


class Stamp(NamedTuple):
    """A value's revision, its operation id and those of the revisions before it."""

    revision: int
    operation: str
    recent: tuple[str, ...] = ()


class Have(NamedTuple):
    """Tell a peer which revision this instance has in force; 0 for none."""

    revision: int


class Want(NamedTuple):
    """Ask a peer for its value if it is newer than this revision."""

    revision: int


class Offer(NamedTuple):
    """A peer's whole value; empty if it has none."""

    value: str


class Adopted(NamedTuple):
    """This value is in force from now on."""

    value: str
    stamp: Stamp


class Ignored(NamedTuple):
    """A newer value can't be read, so the one in force stays."""

    source: str
    failure: ChervilwingError


class Revisions:
    """The revision that this instance has in force.

    ``read`` returns a value's Stamp or raises BadConfiguration; ``rng`` is a
    random.Random. ``start`` comes once, after the first ``enlist``.
    """

    def __init__(self, cfg, instance, read, rng):
        self.cfg = cfg
        self.instance = instance
        self.value = ""
        self.stamp = Stamp(0, "")
        self._read = read
        self._rng = rng
        self._members = {}
        self._peers = []
        self._wanted = 0
        self._offered_by = 0.0
        self._elected = False
        self._version = 0
        self._tokens = (f"revisions-{instance}-{n}" for n in itertools.count())
        self._calls = {}
        self._asked = set()
        self._heard = set()
        self._store_heard = False
        self._ready = False
        self._peers_until = math.inf
        self._watch_at = 0.0
        self._gossip_at = math.inf
        self._audit_at = math.inf

    def enlist(self, members):
        """Take the live instances with their data centres, and who watches now.

        The watchers of a data centre are its first few by rank: their number stays
        the same as the fleet grows, and the next in rank follows one that dies.
        """
        self._members = dict(members)
        self._peers = sorted(name for name in members if name != self.instance)
        home = self._members.get(self.instance)
        near = [name for name, place in self._members.items() if place == home]
        chosen = rank(f"{WATCH}/{home}", near)[: self.cfg.watchers]
        self._elected = self.instance in chosen

    @property
    def elected(self):
        """Tell whether this instance is one of its data centre's watchers."""
        return self._elected

    def start(self, now):
        """Ask the store and several peers; what follows comes by messages."""
        peers = self._pick(self.cfg.asked)
        self._asked = set(peers)
        self._peers_until = now + self.cfg.peer_wait
        self._gossip_at = now + self._rng.uniform(0, self.cfg.gossip_every)
        self._audit_at = now + self._rng.uniform(0, self._audit_mean())
        asks = [Forward(name, Want(0)) for name in peers]
        return (self._call(READ, Read(self.cfg.key)), *asks)

    def explain_not_ready(self):
        """Return None once ready, else a NoConfiguration that says what is missing."""
        if self._ready:
            return None
        store = "holds none" if self._store_heard else "no answer"
        return NoConfiguration(
            f"key-value service: {store}; "
            f"peers: {len(self._heard)} of {len(self._asked)} answered"
        )

    def hear(self, sender, message, now):
        """Take a message from a peer."""
        return HEARERS[type(message)](self, sender, message, now)

    def receive(self, token, reply, now):
        """Take the store's reply to a call."""
        kind = self._calls.pop(token, None)
        if kind is None:
            return ()
        if isinstance(reply, Unanswered):
            self._watch_at = now + self.cfg.watch_retry
            return ()
        self._store_heard = True
        if isinstance(reply, Missing):
            return self._watch(now)
        self._version = max(self._version, reply.version)
        actions = self._consider(reply.value, "key-value service")
        # The store's answer is the newest there is, so what is in force is too.
        self._ready = self.stamp.revision > 0
        return (*actions, *self._watch(now))

    def tick(self, now):
        """Do what time has made due; call it some times a second."""
        self._stop_waiting(now)
        actions = [*self._watch(now)]
        if now >= self._gossip_at:
            self._gossip_at = now + self.cfg.gossip_every
            actions += self._announce(self.cfg.gossip_to)
        if now >= self._audit_at:
            self._audit_at = now + self._rng.uniform(0.5, 1.5) * self._audit_mean()
            actions.append(self._call(READ, Read(self.cfg.key)))
        return tuple(actions)

    def _watch(self, now):
        watching = WATCH in self._calls.values()
        if not self._elected or watching or now < self._watch_at:
            return ()
        request = Watch(self.cfg.key, self._version, self.cfg.watch_wait)
        return (self._call(WATCH, request),)

    def _audit_mean(self):
        # All watchers of all data centres may be frozen while the list shows them
        # live, so nobody would hear of a new revision. Each instance reads now and
        # then; the fleet's reads a second stay the same however large it is.
        return self.cfg.audit_every * max(len(self._members), 1)

    def _call(self, kind, request):
        token = next(self._tokens)
        self._calls[token] = kind
        return StoreCall(token, request)

    def _consider(self, value, source):
        try:
            stamp = self._read(value)
        except BadConfiguration as exc:
            return (Ignored(source, exc),)
        # A stale peer, or an answer that was overtaken, brings an older revision: it
        # would undo an operator's edit here for as long as nobody tells better.
        if stamp.revision <= self.stamp.revision:
            return ()
        self.value = value
        self.stamp = stamp
        return (Adopted(value, stamp), *self._announce(self.cfg.fanout))

    def _announce(self, count):
        have = Have(self.stamp.revision)
        return tuple(Forward(name, have) for name in self._pick(count))

    def _pick(self, count):
        return self._rng.sample(self._peers, min(count, len(self._peers)))

    def _compare(self, sender, message, now):
        if message.revision > self.stamp.revision:
            return self._want(sender, message.revision, now)
        if message.revision < self.stamp.revision:
            return (Forward(sender, Have(self.stamp.revision)),)
        return ()

    def _want(self, sender, revision, now):
        # Load: an edit of up to a megabyte reaches the whole fleet within seconds,
        # and every instance hears of it from several peers. Asked of each of them it
        # would come several times; a peer that has gone leaves it to the next one.
        if revision <= self._wanted and now < self._offered_by:
            return ()
        self._wanted = revision
        self._offered_by = now + self.cfg.offer_wait
        return (Forward(sender, Want(self.stamp.revision)),)

    def _supply(self, sender, message, now):
        # A starting peer hears also from those that have nothing: it waits for all
        # of the peers it asked, so that a stale one alone doesn't set it back.
        if message.revision < self.stamp.revision or message.revision == 0:
            return (Forward(sender, Offer(self.value)),)
        return ()

    def _accept(self, sender, message, now):
        actions = self._consider(message.value, sender) if message.value else ()
        self._heard.add(sender)
        self._stop_waiting(now)
        return actions

    def _stop_waiting(self, now):
        # Restarted while the store is out of reach, an instance takes the newest of
        # its peers' revisions once all asked have answered or had their time. Ready
        # at the first answer it would serve a stale peer's revision.
        answered = self._asked <= self._heard
        if self.stamp.revision and (answered or now >= self._peers_until):
            self._ready = True


HEARERS = {
    Have: Revisions._compare,
    Want: Revisions._supply,
    Offer: Revisions._accept,
}
