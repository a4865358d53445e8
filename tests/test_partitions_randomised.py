"""Random series of cuts, kills, freezes and stops of gateway processes.

Run more seeds by hand: python -m tests.test_partitions_randomised FIRST COUNT
"""

import random
import sys
import threading
import time
import unittest
from collections import Counter
from contextlib import suppress

from tests.partitions import CUTS, Partition
from tests.procs import HOST, Caller, NotHttp, poll
from tests.test_platform import PlatformCase
from tests.upstreams import RawUpstream

SEEDS = (1,)
INSTANCES = ("one", "two", "three")
STEPS = 6
CALLERS_EACH = 3
# Seconds after the start of a cut from which on its instance must serve its callers;
# the platform allows three.
NOTICED_AFTER = 3.0
# Statuses that promise that a request hasn't run and never will.
NOT_RUN_STATUSES = (429, 503)
KINDS = ("safe", "unsafe")


class Record:
    """What callers were answered, and what upstreams ran."""

    def __init__(self):
        self.lock = threading.Lock()
        self.ran = Counter()
        self.answers = []
        self.serial = 0

    def next_id(self):
        """Return an id for a request."""
        with self.lock:
            self.serial += 1
            return f"q{self.serial}"


class RandomisedCase(PlatformCase):
    module = "tests.routed_gateway"

    def start_all(self, rng):
        """Start three gateways before three upstreams, each with its own paths."""
        self.rng, self.record = rng, Record()
        self.document["routes"].append(
            self.document["routes"][0]
            | {"name": "r2", "prefix": "/note/", "kind": "unsafe"}
        )
        self.document["version"] = 4
        self.publish()
        upstreams = [RawUpstream(self.answer) for _ in range(2)]
        self.upstream.script = self.answer
        for number, upstream in enumerate(upstreams):
            self.addCleanup(upstream.close)
            self.register(f"i-{number + 2}", address=f"{HOST}:{upstream.port}")
        ports = [self.upstream.port, *(upstream.port for upstream in upstreams)]
        self.partitions, self.gateways, self.cut_at = {}, {}, {}
        for name in INSTANCES:
            self.partitions[name] = Partition(self.procs, ports)
            self.addCleanup(self.partitions[name].close)
            self.launch(name)

    def launch(self, name):
        """Start a gateway."""
        variables = self.partitions[name].variables
        self.gateways[name] = self.start(name, variables=variables)

    def answer(self, conn, method, path, body):
        """Answer with the request's own path, after a random time."""
        with self.record.lock:
            self.record.ran[path] += 1
        time.sleep(random.random() * 0.05)
        body = path.encode()
        head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
        conn.sendall(head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def run_caller(self, name, stopped):
        """Send requests over one connection until it closes, and then over another."""
        while not stopped.is_set():
            # A killed or stopped process closes or refuses connections.
            with suppress(OSError, EOFError, NotHttp, ValueError):
                with Caller(self.gateways[name].port, timeout=4.0) as caller:
                    while not stopped.is_set():
                        self.send_one(name, caller)
            time.sleep(0.02)

    def send_one(self, name, caller):
        """Send one request and record its answer."""
        kind = random.choice(KINDS)
        prefix = "/page/" if kind == "safe" else "/note/"
        path = prefix + self.record.next_id()
        began = time.monotonic()
        head = f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
        caller.send(f"{head}Authorization: Bearer k1\r\n\r\n".encode())
        answer = caller.read_answer()
        row = (name, began, path, answer.status, answer.body, answer.whole)
        self.record.answers.append(row)

    def run_step(self):
        """Cut, heal, kill, freeze or stop one instance; at least one always runs on."""
        name = self.rng.choice(INSTANCES[:2])
        action = self.rng.choice(("cut", "cut", "heal", "kill", "freeze", "stop"))
        gateway = self.gateways[name]
        if action == "cut" and name not in self.cut_at:
            how = self.rng.choice(sorted(CUTS))
            self.partitions[name].cut(how)
            self.cut_at[name] = time.monotonic()
        elif action == "heal":
            self.cut_at.pop(name, None)
            self.partitions[name].heal()
        elif action == "freeze":
            gateway.freeze()
            time.sleep(self.rng.uniform(0.2, 1.5))
            gateway.resume()
        elif action in ("kill", "stop"):
            gateway.kill() if action == "kill" else gateway.terminate()
            self.launch(name)
        time.sleep(self.rng.uniform(0.5, 4.0))

    def play(self, seed):
        """Play one series of disruptions and check what callers saw."""
        self.start_all(random.Random(seed))
        stopped = threading.Event()
        callers = [
            threading.Thread(target=self.run_caller, args=(name, stopped))
            for name in INSTANCES
            for _ in range(CALLERS_EACH)
        ]
        for caller in callers:
            caller.start()
        try:
            for _ in range(STEPS):
                self.run_step()
            self.check_cut_instances()
        finally:
            stopped.set()
            for caller in callers:
                caller.join()
        self.check_answers()
        for partition in self.partitions.values():
            partition.heal()
        for gateway in self.gateways.values():
            poll(lambda gateway=gateway: self.call(gateway) == 200)

    def check_cut_instances(self):
        """Expect instances that have long been cut to serve two thirds of requests."""
        time.sleep(NOTICED_AFTER)
        since = time.monotonic()
        time.sleep(1.0)
        for name in self.cut_at:
            rows = [row for row in self.record.answers if row[0] == name]
            statuses = [row[3] for row in rows if row[1] >= since]
            self.assertTrue(statuses)
            served = statuses.count(200)
            self.assertGreaterEqual(served, len(statuses) * 2 / 3, Counter(statuses))

    def check_answers(self):
        """Expect no mixed answers, no broken promise and at most one run of a note."""
        for _, _, path, status, body, whole in self.record.answers:
            if status == 200 and whole:
                self.assertEqual(body, path.encode())
            elif status == 200:
                # Its instance was killed; the length shows that some is missing.
                self.assertTrue(path.encode().startswith(body), (path, body))
            elif status in NOT_RUN_STATUSES and path.startswith("/note/"):
                self.assertEqual(self.record.ran[path], 0, path)
        notes = {k: n for k, n in self.record.ran.items() if k.startswith("/note/")}
        self.assertEqual({k: n for k, n in notes.items() if n > 1}, {})


class TestRandomised(RandomisedCase):
    """Guard against requests that run twice or are mixed up on their detours."""

    def test_series_of_cuts_kills_freezes_and_stops(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)
            # Each seed has processes of its own.
            self.doCleanups()
            self.setUp()


if __name__ == "__main__":
    first, count = map(int, sys.argv[1:3])
    SEEDS = range(first, first + count)
    unittest.main(argv=sys.argv[:1], failfast=True)
