"""Revisions of the configuration: put newer ones in force, never an older one."""

import itertools
import math
from collections import deque
from typing import NamedTuple

from .exceptions import BadConfiguration, ChervilwingError, NoConfiguration
from .messages import ABSENT, Missing, Read, StoreCall, Unanswered, Watch, Write
from .ranking import rank

WATCH = "watch"
READ = "read"
REWRITE = "rewrite"
# Operation ids of adopted values that are kept, to recognise those of a restored store.
MAX_OPERATIONS = 64

STORE = "key-value service"
PEERS = "peers"


class RevisionSettings(NamedTuple):
    """Configure the revisions; times in seconds.

    ``watchers`` is the number of instances in each data centre that watch the store for
    a new revision, and ``watch_wait`` the long-poll time of one watch. Besides, all
    instances read the store now and then, so that the fleet makes one read in each
    ``audit_interval`` on average. An instance that starts while the store is
    unreachable waits ``peer_wait`` for the revisions of its peers.
    """

    key: str = "configuration"
    watchers: int = 2
    watch_wait: float = 10.0
    watch_retry_delay: float = 1.0
    audit_interval: float = 1.0
    peer_wait: float = 3.0


class Stamp(NamedTuple):
    """Identify a value by its revision and operation id, with recent operation ids."""

    revision: int
    operation: str
    recent: tuple[str, ...] = ()


class Adopted(NamedTuple):
    """Report that a value is now in force."""

    value: str
    stamp: Stamp


class Ignored(NamedTuple):
    """Report that a value can't be read and is ignored."""

    source: str
    failure: ChervilwingError


class Revisions:
    """Hold the revision that this instance has in force and decide on newer ones.

    Pass values that the membership receives from peers to ``hear``. ``read_stamp``
    returns the Stamp of a value or raises BadConfiguration; ``renumber`` returns a
    value with another revision. ``rng`` is a random.Random. Call ``start`` once, after
    the first ``enlist``.

    A store that returns from a copy may have an older value than is in force, or none.
    The watchers write the value in force again. A value that is new and was edited from
    an older one is stored under a higher revision, so that it is adopted.
    """

    def __init__(self, cfg, instance, read_stamp, rng, renumber=None):
        self.cfg = cfg
        self.instance = instance
        self.value = ""
        self.stamp = Stamp(0, "")
        self._read_stamp = read_stamp
        self._renumber = renumber
        # Operations whose values were in force; the epoch of the store that had the
        # present one, and the store's latest.
        self._operations = deque(maxlen=MAX_OPERATIONS)
        self._stored_epoch = self._epoch = 0
        self._rng = rng
        self._members = {}
        self._elected = False
        self._version = 0
        self._tokens = (f"revisions-{instance}-{n}" for n in itertools.count())
        self._calls = {}
        self._store_answered = False
        self._ready = False
        self._peer_wait_until = math.inf
        self._watch_at = 0.0
        self._audit_at = math.inf

    def enlist(self, members):
        """Set the live instances, name to data centre, and elect the watchers.

        The watchers of a data centre are its first few instances by rank. Their number
        doesn't grow with the fleet, and the next in rank replaces one that dies.
        """
        self._members = dict(members)
        data_centre = self._members.get(self.instance)
        candidates = [
            name for name, place in self._members.items() if place == data_centre
        ]
        watchers = rank(f"{WATCH}/{data_centre}", candidates)[: self.cfg.watchers]
        self._elected = self.instance in watchers

    @property
    def elected(self):
        """Return whether this instance is one of its data centre's watchers."""
        return self._elected

    def start(self, now):
        """Read the configuration from the store; return the store call."""
        self._peer_wait_until = now + self.cfg.peer_wait
        self._audit_at = now + self._rng.uniform(0, self._mean_audit_interval())
        return (self._make_call(READ, Read(self.cfg.key)),)

    def explain_not_ready(self):
        """Return None if ready, else a NoConfiguration with the reason."""
        if self._ready:
            return None
        store = "holds none" if self._store_answered else "no answer"
        known_peers = len(self._members.keys() - {self.instance})
        received = f"revision {self.stamp.revision}" if self.stamp.revision else "none"
        return NoConfiguration(
            f"{STORE}: {store}; {PEERS}: {known_peers} known, {received} heard"
        )

    def hear(self, value, now):
        """Handle a value that the membership received; return actions."""
        actions = self._adopt_if_newer(value, PEERS)
        self._end_peer_wait(now)
        return actions

    def receive(self, token, reply, now):
        """Handle the store's reply to a call; return actions."""
        kind = self._calls.pop(token, None)
        if kind is None:
            return ()
        if isinstance(reply, Unanswered):
            self._watch_at = now + self.cfg.watch_retry_delay
            return ()
        self._store_answered = True
        if kind == REWRITE:
            # The next watch or read shows what the store has now.
            return self._watch(now)
        if isinstance(reply, Missing):
            rewrites = self._rewrite(None, ABSENT) if kind == READ else ()
            return (*rewrites, *self._watch(now))
        rewrites = self._rewrite(reply.value, reply.version)
        self._version = max(self._version, reply.version)
        actions = self._adopt_if_newer(reply.value, STORE)
        # The store has the newest revision, so the one in force is the newest as well.
        self._ready = self.stamp.revision > 0
        return (*actions, *rewrites, *self._watch(now))

    def enter_epoch(self, epoch):
        """Read the store again in a later epoch of it; return the store call."""
        self._epoch = epoch
        return (self._make_call(READ, Read(self.cfg.key)),)

    def _rewrite(self, value, version):
        """Return the write for a restored store that lacks the value in force."""
        if not self.stamp.revision or self._stored_epoch >= self._epoch:
            return ()
        stored = self._find_stamp(value)
        if stored is None and value is not None:
            return ()
        if stored is not None and stored.revision > self.stamp.revision:
            return ()
        if stored is not None and stored.operation == self.stamp.operation:
            self._stored_epoch = self._epoch
            return ()
        wanted = self.value
        if stored is not None and stored.operation not in self._operations:
            wanted = self._renumber(value, self.stamp.revision + 1)
        if not self._elected or REWRITE in self._calls.values():
            return ()
        write = Write(self.cfg.key, wanted, version)
        return (self._make_call(REWRITE, write),)

    def _find_stamp(self, value):
        try:
            return None if value is None else self._read_stamp(value)
        except BadConfiguration:
            return None

    def tick(self, now):
        """Return the store calls that are due; call it a few times a second."""
        self._end_peer_wait(now)
        actions = [*self._watch(now)]
        if now >= self._audit_at:
            self._audit_at = (
                now + self._rng.uniform(0.5, 1.5) * self._mean_audit_interval()
            )
            actions.append(self._make_call(READ, Read(self.cfg.key)))
        return tuple(actions)

    def _watch(self, now):
        watching = WATCH in self._calls.values()
        if not self._elected or watching or now < self._watch_at:
            return ()
        request = Watch(self.cfg.key, self._version, self.cfg.watch_wait)
        return (self._make_call(WATCH, request),)

    def _mean_audit_interval(self):
        # All watchers may be frozen while the member list shows them as live; no
        # instance would then learn of a new revision. So each instance also reads from
        # time to time. The fleet's total read rate does not depend on its size.
        return self.cfg.audit_interval * max(len(self._members), 1)

    def _make_call(self, kind, request):
        token = next(self._tokens)
        self._calls[token] = kind
        return StoreCall(token, request)

    def _adopt_if_newer(self, value, source):
        try:
            stamp = self._read_stamp(value)
        except BadConfiguration as exc:
            return (Ignored(source, exc),)
        # A stale peer or a delayed reply can carry an older revision. It would undo an
        # operator's edit until the newer revision arrives again.
        if stamp.revision <= self.stamp.revision:
            return ()
        self.value = value
        self.stamp = stamp
        self._operations.append(stamp.operation)
        if source == STORE:
            self._stored_epoch = self._epoch
        return (Adopted(value, stamp),)

    def _end_peer_wait(self, now):
        # An instance that restarts while the store is unreachable may receive the value
        # of a stale peer first, and would serve an older revision than the fleet. The
        # wait gives the membership time to fetch the newest revision it can reach.
        if self.stamp.revision and now >= self._peer_wait_until:
            self._ready = True
