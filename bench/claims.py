"""Measure the load of claims on the store: ``python -m bench.claims``.

An in-memory store counts the requests; the delay to it is 1 ms each way, and 1.5 ms
between instances. Time is simulated, but the processor time of the ledgers is real.
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
REQUESTS_PER_SECOND = 11_000
TABLE_HEADS = (
    "way", "instances", "keyed/s", "writes/s", "rejected/s", "reads/s", "KB/s",
    "p50 ms", "p99 ms", "refused", "busiest %",
)  # fmt: skip


class Case(NamedTuple):
    """A measurement; ``way`` is "one write", "alone" or "owners".

    These write each request to the store, batch the requests of an instance, or batch
    them at the owner of their shard. ``keyed`` is in requests per second.
    """

    way: str
    instances: int
    keyed: float


class OneWrite:
    """The simplest scheme: a key in the store for each request, written twice."""

    def __init__(self, cfg, name):
        self.calls = {}
        self.versions = {}

    def claim(self, operation, key, fingerprint, now):
        """Create the key of the request in the store."""
        self.calls[operation] = key
        return (m.StoreCall(operation, m.Write(str(key), "claimed", m.ABSENT)),)

    def settle(self, operation, outcome, now):
        """Overwrite the request's key with its outcome."""
        key = str(self.calls.pop(operation))
        request = m.Write(key, outcome.body, self.versions[operation])
        return (m.StoreCall(operation, request),)

    def receive(self, token, reply, now):
        """Grant the claim once the store confirms its write."""
        if token not in self.calls:
            return ()
        self.versions[token] = reply.version
        return (ClaimGranted(token, self.calls[token], now),)

    def tick(self, now):
        """Return no actions: nothing is scheduled."""
        return ()


class Bench:
    """A fleet of ledgers on a simulated clock, with a store that counts requests."""

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

    def schedule(self, delay, act, *args):
        """Schedule a call of ``act`` after ``delay`` seconds."""
        entry = (self.now + delay, next(self.order), act, args)
        heapq.heappush(self.events, entry)

    def run(self):
        """Send the keyed requests and run until two seconds after the last."""
        for number in range(int(self.case.keyed * SECONDS)):
            name = self.rng.choice(list(self.ledgers))
            self.schedule(number / self.case.keyed, self.claim, name, f"op-{number}")
        for name in self.ledgers:
            self.schedule(self.rng.uniform(0, TICK), self.tick, name)
        while self.events and self.now < EPOCH + SECONDS + 2:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)

    def tick(self, name):
        """Tick a ledger now and every TICK seconds."""
        self.call(name, "tick")
        self.schedule(TICK, self.tick, name)

    def claim(self, name, operation):
        """Claim a new key at an instance."""
        self.asked[operation] = self.now
        key = ClaimKey("andesur", make_key(self.now, self.rng))
        self.call(name, "claim", operation, key, "0123456789abcdef")

    def call(self, name, method, *args):
        """Call a ledger's method, add up its processor time, carry out its actions."""
        begun = time.process_time()
        actions = getattr(self.ledgers[name], method)(*args, self.now)
        spent = time.process_time() - begun
        self.spent[name] = self.spent.get(name, 0.0) + spent
        for action in actions:
            HANDLERS.get(type(action), lambda *_: None)(self, name, action)

    def store(self, name, action):
        """Send a request to the store after the store delay."""
        self.schedule(STORE_DELAY, self.serve, name, *action)

    def serve(self, name, token, request):
        """Execute a store request, count it and send the reply."""
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
        self.schedule(STORE_DELAY, self.call, name, "receive", token, reply)

    def forward(self, name, action):
        """Deliver a message to another instance after the peer delay."""
        args = action.instance, "hear", name, action.message
        self.schedule(PEER_DELAY, self.call, *args)

    def granted(self, name, action):
        """Record the latency of the claim and settle it after a random duration."""
        self.waits.append(self.now - self.asked[action.operation])
        args = name, "settle", action.operation, Outcome(200, BODY)
        self.schedule(self.rng.expovariate(1 / MEAN_WORK), self.call, *args)

    def refuse(self, name, action):
        """Count a refused claim."""
        self.refused += 1


HANDLERS = {
    m.StoreCall: Bench.store,
    m.Forward: Bench.forward,
    ClaimGranted: Bench.granted,
    ClaimRefused: Bench.refuse,
}


def measure(case, cfg):
    """Run a case and return its row of the table, in the order of TABLE_HEADS."""
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
    """Print a row for each scheme, fleet size and load."""
    print(" | ".join(TABLE_HEADS))
    loads = [
        (7, 2),
        (7, 100),
        (320, REQUESTS_PER_SECOND * 0.05),
        (320, REQUESTS_PER_SECOND * 0.1),
    ]
    for way in ("one write", "alone", "owners"):
        for instances, keyed in loads:
            row = measure(Case(way, instances, keyed), ClaimSettings())
            print(" | ".join(str(field) for field in row), flush=True)


if __name__ == "__main__":
    sys.exit(main())
