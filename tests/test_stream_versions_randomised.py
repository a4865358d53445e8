"""Random series of kills, freezes, stops and version changes under open streams.

Run more seeds by hand: python -m tests.test_stream_versions_randomised FIRST COUNT
"""

import random
import sys
import threading
import time
import unittest

from tests.procs import NotHttp, poll
from tests.test_stream_versions import VersionsCase
from tests.versioned_upstreams import LENGTH, VersionedUpstream

SEEDS = (1,)
INSTANCES = ("one", "two", "three")
STEPS = 6
CALLERS = 6
MAX_TRIES = 8


class RandomUpstream(VersionedUpstream):
    """Upstream that breaks off some of its streams, and sends slowly."""

    def answer(self, conn, fields):
        self.hold_after = random.choice((1, 2, 4, LENGTH, LENGTH))
        self.breaks = True
        time.sleep(random.random() * 0.1)
        super().answer(conn, fields)


class RandomisedCase(VersionsCase):
    make_upstream = RandomUpstream

    def launch(self, name):
        self.gateways[name] = self.start(name)

    def run_caller(self, stopped):
        """Read one stream after the other, and take up those that break off."""
        while not stopped.is_set():
            with self.lock:
                stream = self.make_stream()
                self.streams.append(stream)
            while not stream.whole and stream.tries < MAX_TRIES:
                gateway = self.gateways[random.choice(INSTANCES)]
                try:
                    stream.take_up(gateway.port)
                except (OSError, EOFError, NotHttp, ValueError):
                    stream.status = 0
                if stream.status == 503 and "retry-after" not in stream.headers:
                    break
                time.sleep(random.random() * 0.3)

    def run_step(self):
        """Disturb one instance, or replace an upstream by one of another version."""
        name = self.rng.choice(INSTANCES[:2])
        action = self.rng.choice(("kill", "freeze", "stop", "replace", "replace"))
        gateway = self.gateways[name]
        if action == "freeze":
            gateway.freeze()
            time.sleep(self.rng.uniform(0.2, 1.5))
            gateway.resume()
        elif action == "replace":
            self.replace_upstream()
        else:
            gateway.kill() if action == "kill" else gateway.terminate()
            self.launch(name)
        time.sleep(self.rng.uniform(0.2, 2.0))

    def replace_upstream(self):
        number = self.rng.randrange(len(self.upstreams))
        old = self.upstreams[number]
        self.operate(deletes=[f"servers/{old.name}"])
        new = self.make_upstream(self.rng.choice(("v1", "v2", "v3")))
        self.addCleanup(new.close)
        self.serial += 1
        new.name = f"r-{self.serial}"
        self.upstreams[number] = new
        self.register(new.name, version=new.version, address=f"127.0.0.1:{new.port}")
        old.close()

    def play(self, seed):
        """Play one series of disruptions and check what callers read."""
        self.rng, self.lock, self.serial = random.Random(seed), threading.Lock(), 0
        self.gateways, self.streams = {}, []
        for number, upstream in enumerate(self.upstreams):
            upstream.name = f"u-{number}"
        for name in INSTANCES:
            self.launch(name)
        stopped = threading.Event()
        callers = [
            threading.Thread(target=self.run_caller, args=(stopped,))
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        try:
            for _ in range(STEPS):
                self.run_step()
        finally:
            stopped.set()
            for caller in callers:
                caller.join()
        self.check_streams()
        for gateway in self.gateways.values():
            poll(lambda gateway=gateway: self.begin_whole(gateway).whole)

    def check_streams(self):
        """Expect one version in each stream, without gaps, and most of them whole."""
        for stream in self.streams:
            self.assertLessEqual(len(stream.versions), 1, stream.events)
            self.assertEqual(stream.numbers, list(range(1, len(stream.events) + 1)))
            if stream.whole:
                self.assertEqual(len(stream.events), LENGTH)
        whole = sum(stream.whole for stream in self.streams)
        self.assertGreater(whole, len(self.streams) / 2)


class TestRandomised(RandomisedCase):
    """Guard against streams of two versions, gaps and repeats over a caller's tries."""

    def test_series_of_kills_freezes_stops_and_new_versions(self):
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
