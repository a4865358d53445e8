"""Count what the spread of the configuration costs a fleet, in simulated time."""

import json
import random
import time
from collections import Counter
from typing import NamedTuple

from chervilwing import frames
from chervilwing.frames import Frame
from chervilwing.messages import Found, Missing, Read, StoreCall
from chervilwing.revisions import Adopted, Revisions, RevisionSettings, Stamp

TICK = 0.1
SECONDS = 30.0
CENTRES = "abcde"
HEADER_BYTES = 52


class Spending(NamedTuple):
    """What one instance spends a second, and what a change costs it in messages."""

    messages: float
    bytes: float
    microseconds: float
    watches: int
    reads: float
    seconds: float | None
    offers: float


def read_stamp(value):
    """Return the stamp in a value of this bench."""
    revision, operation = json.loads(value)
    return Stamp(revision, operation)


class Fleet:
    """Hold the instances, the stored value and the counts."""

    def __init__(self, size):
        self.now = 0.0
        self.value = json.dumps([1, "first"])
        self.sent = Counter()
        self.reads = 0
        self.bytes = 0
        self.waiting = {}
        self.adopted = set()
        members = {f"entry-{n}": CENTRES[n % len(CENTRES)] for n in range(size)}
        cfg = RevisionSettings()
        self.nodes = {
            name: Revisions(cfg, name, read_stamp, random.Random(name))
            for name in members
        }
        for name, node in self.nodes.items():
            node.enlist(members)
            self.apply(name, node.start(self.now))

    def run(self, seconds, until=None):
        """Tick all; return the seconds until all adopted revision ``until``."""
        start = self.now
        while self.now < start + seconds:
            self.now += TICK
            for name, node in self.nodes.items():
                self.apply(name, node.tick(self.now))
            self._answer_watches()
            if until and len(self.adopted) == len(self.nodes):
                return self.now - start
        return None

    def write(self, value):
        """Store a new value."""
        self.value = value
        self.adopted.clear()

    def apply(self, name, actions):
        """Carry out what an instance asks for, and all that follows from it."""
        todo = [(name, action) for action in actions]
        while todo:
            name, action = todo.pop(0)
            if isinstance(action, Adopted):
                self.adopted.add(name)
            elif isinstance(action, StoreCall):
                todo += [(name, next_) for next_ in self._store(name, action)]
            else:
                todo += self._forward(name, action)

    def _store(self, name, action):
        self.reads += 1
        if not isinstance(action.request, Read):
            self.waiting[action.token] = name, action.request, self.now
            return ()
        reply = Found(self.value, self._version())
        return self.nodes[name].receive(action.token, reply, self.now)

    def _forward(self, name, action):
        kind = type(action.message).__name__
        body = [kind, list(action.message)]
        self.sent[kind] += 1
        self.bytes += len(frames.encode(Frame("message", body))) + HEADER_BYTES
        peer = self.nodes[action.instance]
        outcome = peer.hear(name, action.message, self.now)
        return [(action.instance, next_) for next_ in outcome]

    def _answer_watches(self):
        for token, (name, request, since) in list(self.waiting.items()):
            newer = self._version() > request.after
            if not newer and self.now - since < request.wait:
                continue
            del self.waiting[token]
            reply = Found(self.value, self._version()) if newer else Missing()
            self.apply(name, self.nodes[name].receive(token, reply, self.now))

    def _version(self):
        return json.loads(self.value)[0]


def measure(size):
    """Return what an instance spends when quiet, and what one change costs."""
    fleet = Fleet(size)
    fleet.run(SECONDS)
    sent, size_before, reads = fleet.sent.total(), fleet.bytes, fleet.reads
    start = time.process_time()
    fleet.run(SECONDS)
    cpu = time.process_time() - start
    share = SECONDS * size
    quiet = (
        (fleet.sent.total() - sent) / share,
        (fleet.bytes - size_before) / share,
        cpu * 1e6 / share,
        len(fleet.waiting),
        (fleet.reads - reads) / SECONDS,
    )
    offers = fleet.sent["Offer"]
    fleet.write(json.dumps([2, "second"]))
    seconds = fleet.run(SECONDS, until=True)
    return Spending(*quiet, seconds, (fleet.sent["Offer"] - offers) / size)
