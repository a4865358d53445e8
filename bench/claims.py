"""Measure what claims cost the store: ``python -m bench.claims``.

A counting store in memory answers after a millisecond each way; instances are
1.5 ms apart. Time is simulated, but for the processor time, which is the core's own.
"""

import heapq
import itertools
import random
import sys
import time
from typing import NamedTuple

from chervilwing import messages as m
from chervilwing.claim_keys import ClaimKey, ClaimSettings
from chervilwing.claims import ClaimGranted, ClaimRefused, Ledger
from chervilwing.segments import Outcome
from tests.world import make_key

EPOCH = 1.8e9
STORE_DELAY = 0.001
PEER_DELAY = 0.0015
TICK = 0.05
MEAN_WORK = 3.0
SECONDS = 20
BODY = "x" * 300
RATE = 11_000
HEAD = (
    "way", "instances", "keyed/s", "writes/s", "rejected/s", "reads/s", "KB/s",
    "p50 ms", "p99 ms", "refused", "busiest %",
)  # fmt: skip


class Case(NamedTuple):
    """One measurement: a write a request, each for itself, or with owners."""

    way: str
    instances: int
    keyed: float


class OneWrite:
    """The simplest way: a key of the store's for each request, written twice."""

    def __init__(self, cfg, name):
        self.calls = {}
        self.versions = {}

    def claim(self, operation, key, fingerprint, now):
        """Create the request's own key."""
        self.calls[operation] = key
        return (m.StoreCall(operation, m.Write(str(key), "claimed", m.ABSENT)),)

    def settle(self, operation, outcome, now):
        """Write the outcome over it."""
        key = str(self.calls.pop(operation))
        request = m.Write(key, outcome.body, self.versions[operation])
        return (m.StoreCall(operation, request),)

    def receive(self, token, reply, now):
        """Take the store's reply."""
        if token not in self.calls:
            return ()
        self.versions[token] = reply.version
        return (ClaimGranted(token, self.calls[token], now),)

    def tick(self, now):
        """Nothing comes due."""
        return ()


class Bench:
    """A fleet of ledgers on a simulated clock and a store that counts."""

    def __init__(self, case, cfg):
        self.case = case
        self.now = EPOCH
        self.rng = random.Random(1)
        self.events = []
        self.order = itertools.count()
        self.records = {}
        self.counts = dict.fromkeys(("Read", "Write", "rejected", "bytes"), 0)
        self.asked = {}
        self.waits = []
        self.refused = 0
        self.spent = {}
        names = [f"i{n}" for n in range(case.instances)]
        kind = OneWrite if case.way == "one write" else Ledger
        self.ledgers = {name: kind(cfg, name) for name in names}
        if case.way == "owners":
            for ledger in self.ledgers.values():
                ledger.enlist(names)

    def later(self, delay, act, *args):
        """Run something after a delay in seconds."""
        entry = (self.now + delay, next(self.order), act, args)
        heapq.heappush(self.events, entry)

    def run(self):
        """Send the keyed requests, and let all come to an end."""
        for number in range(int(self.case.keyed * SECONDS)):
            name = self.rng.choice(list(self.ledgers))
            self.later(number / self.case.keyed, self.claim, name, f"op-{number}")
        for name in self.ledgers:
            self.later(self.rng.uniform(0, TICK), self.tick, name)
        while self.events and self.now < EPOCH + SECONDS + 2:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)

    def tick(self, name):
        """Tick one ledger, and again."""
        self.call(name, "tick")
        self.later(TICK, self.tick, name)

    def claim(self, name, operation):
        """Ask for a new key."""
        self.asked[operation] = self.now
        key = ClaimKey("andesur", make_key(self.now, self.rng))
        self.call(name, "claim", operation, key, "0123456789abcdef")

    def call(self, name, method, *args):
        """Hand an input to a ledger and carry out its actions."""
        begun = time.process_time()
        actions = getattr(self.ledgers[name], method)(*args, self.now)
        spent = time.process_time() - begun
        self.spent[name] = self.spent.get(name, 0.0) + spent
        for action in actions:
            HANDLERS.get(type(action), lambda *_: None)(self, name, action)

    def store(self, name, action):
        """Bring a request to the store and its reply back."""
        self.later(STORE_DELAY, self.serve, name, *action)

    def serve(self, name, token, request):
        """Carry a request out and count it."""
        self.counts[type(request).__name__] += 1
        value, version = self.records.get(request.key, ("", 0))
        if isinstance(request, m.Read):
            reply = m.Found(value, version) if version else m.Missing()
        elif request.expect != version:
            self.counts["rejected"] += 1
            reply = m.Rejected(value, version)
        else:
            self.records[request.key] = request.value, version + 1
            self.counts["bytes"] += len(request.value)
            reply = m.Written(version + 1)
        self.later(STORE_DELAY, self.call, name, "receive", token, reply)

    def forward(self, name, action):
        """Bring a message to another instance."""
        args = action.instance, "hear", name, action.message
        self.later(PEER_DELAY, self.call, *args)

    def granted(self, name, action):
        """Count how long the claim took, and settle it later."""
        self.waits.append(self.now - self.asked[action.operation])
        args = name, "settle", action.operation, Outcome(200, BODY)
        self.later(self.rng.expovariate(1 / MEAN_WORK), self.call, *args)

    def refuse(self, name, action):
        """Count a refusal."""
        self.refused += 1


HANDLERS = {
    m.StoreCall: Bench.store,
    m.Forward: Bench.forward,
    ClaimGranted: Bench.granted,
    ClaimRefused: Bench.refuse,
}


def measure(case, cfg):
    """Return the row of one case."""
    bench = Bench(case, cfg)
    bench.run()
    waits = sorted(bench.waits) or [0.0]
    rates = [bench.counts[name] / SECONDS for name in ("Write", "rejected", "Read")]
    return (
        *case,
        *(round(rate, 1) for rate in rates),
        round(bench.counts["bytes"] / SECONDS / 1000),
        round(waits[len(waits) // 2] * 1000, 1),
        round(waits[len(waits) * 99 // 100] * 1000, 1),
        bench.refused,
        round(max(bench.spent.values()) / SECONDS * 100, 1),
    )


def main():
    """Print a row for each way, fleet and load."""
    print(" | ".join(HEAD))
    loads = [(7, 2), (7, 100), (320, RATE * 0.05), (320, RATE * 0.1)]
    for way in ("one write", "alone", "owners"):
        for instances, keyed in loads:
            row = measure(Case(way, instances, keyed), ClaimSettings())
            print(" | ".join(str(field) for field in row), flush=True)


if __name__ == "__main__":
    sys.exit(main())
