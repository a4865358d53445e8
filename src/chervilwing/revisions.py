"""Revisions of the configuration: adopt newer ones, never go back."""

import itertools
import math
from typing import NamedTuple

from .exceptions import BadConfiguration, ChervilwingError, NoConfiguration
from .messages import Missing, Read, StoreCall, Unanswered, Watch
from .ranking import rank

WATCH = "watch"
READ = "read"

STORE = "key-value service"
PEERS = "peers"


class RevisionSettings(NamedTuple):
    """Settings of the revisions; times in seconds.

    ``audit_every`` is the mean time between two reads by the fleet as a whole;
    ``peer_wait`` is how long a start without the store collects the peers' revisions.
    """

    key: str = "configuration"
    watchers: int = 2
    watch_wait: float = 10.0
    watch_retry: float = 1.0
    audit_every: float = 1.0
    peer_wait: float = 3.0


class Stamp(NamedTuple):
    """A value's revision, its operation id and those of the revisions before it."""

    revision: int
    operation: str
    recent: tuple[str, ...] = ()


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

    The membership carries the values between instances; ``hear`` takes one. ``read``
    returns a value's Stamp or raises BadConfiguration; ``rng`` is a random.Random.
    ``start`` comes once, after the first ``enlist``.
    """

    def __init__(self, cfg, instance, read, rng):
        self.cfg = cfg
        self.instance = instance
        self.value = ""
        self.stamp = Stamp(0, "")
        self._read = read
        self._rng = rng
        self._members = {}
        self._elected = False
        self._version = 0
        self._tokens = (f"revisions-{instance}-{n}" for n in itertools.count())
        self._calls = {}
        self._store_heard = False
        self._ready = False
        self._peers_until = math.inf
        self._watch_at = 0.0
        self._audit_at = math.inf

    def enlist(self, members):
        """Take the live instances with their data centres, and who watches now.

        The watchers of a data centre are its first few by rank: their number stays
        the same as the fleet grows, and the next in rank follows one that dies.
        """
        self._members = dict(members)
        home = self._members.get(self.instance)
        near = [name for name, place in self._members.items() if place == home]
        chosen = rank(f"{WATCH}/{home}", near)[: self.cfg.watchers]
        self._elected = self.instance in chosen

    @property
    def elected(self):
        """Tell whether this instance is one of its data centre's watchers."""
        return self._elected

    def start(self, now):
        """Ask the store; the peers' values come by ``hear``."""
        self._peers_until = now + self.cfg.peer_wait
        self._audit_at = now + self._rng.uniform(0, self._audit_mean())
        return (self._call(READ, Read(self.cfg.key)),)

    def explain_not_ready(self):
        """Return None once ready, else a NoConfiguration that says what is missing."""
        if self._ready:
            return None
        store = "holds none" if self._store_heard else "no answer"
        known = len(self._members.keys() - {self.instance})
        heard = f"revision {self.stamp.revision}" if self.stamp.revision else "none"
        return NoConfiguration(
            f"{STORE}: {store}; {PEERS}: {known} known, {heard} heard"
        )

    def hear(self, value, now):
        """Take a value that the membership brought."""
        actions = self._consider(value, PEERS)
        self._stop_waiting(now)
        return actions

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
        actions = self._consider(reply.value, STORE)
        # The store's answer is the newest there is, so what is in force is too.
        self._ready = self.stamp.revision > 0
        return (*actions, *self._watch(now))

    def tick(self, now):
        """Do what time has made due; call it some times a second."""
        self._stop_waiting(now)
        actions = [*self._watch(now)]
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
        return (Adopted(value, stamp),)

    def _stop_waiting(self, now):
        # Restarted while the store is out of reach, an instance may hear a stale peer
        # first. Ready at that it would serve an older revision than the fleet; the
        # wait gives the membership the time to bring the newest that it reaches.
        if self.stamp.revision and now >= self._peers_until:
            self._ready = True
