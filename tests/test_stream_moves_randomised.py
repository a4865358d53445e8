"""Random series of notices, crashes, kills and lost answers under running streams.

Run more seeds by hand: python -m tests.test_stream_moves_randomised COUNT FIRST
"""

import random
import sys
import threading
import time
import unittest
from contextlib import suppress

from tests.moving_upstreams import Engines, MovingEngine
from tests.procs import HOST, NotHttp, poll
from tests.test_platform import PlatformCase
from tests.test_stream_moves import count
from tests.versioned_upstreams import Stream

SEEDS = (1,)
ENGINES = 5
STEPS = 7
ACTIONS = ("leave", "leave", "leave", "crash", "kill", "freeze", "reset", "reset")
CALLERS = 24
# Seconds of notice; streams take up to 3 s.
NOTICES = (0.5, 1.0, 2.0)
FAULTS = (
    {},
    {"copy": "lose"},
    {"last": "lose"},
    {"last": "lose", "report": "lose"},
    {"copy": "hang"},
    {"last": "hang"},
    {"refuse": False},
    {"refuse": True},
    {"last": "die"},
)
ENGINE = {
    "slots": 64,
    "kvCapacity": 400000,
    "kvTokenBytes": 100,
    "linkMbps": 1000,
    "moves": True,
    "backups": True,
    "handleTtlS": 5,
}


class MovesFleetCase(PlatformCase):
    """Gateway processes before engines that come and go."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(0)
        self.operate(deletes=["servers/i-1"])
        self.document["services"][0]["engine"] = ENGINE
        route = self.document["routes"][0] | {"kind": "streaming", "timeoutMs": 15000}
        self.document["routes"] += [
            route | {"name": "chat", "prefix": "/chat/"},
            route | {"name": "quote", "prefix": "/quote/", "canResume": True},
        ]
        self.document["version"] = 4
        self.publish()
        self.shared, self.upstreams, self.streams = Engines(), {}, []
        self.lock, self.timers = threading.Lock(), []
        for _ in range(ENGINES):
            self.add_engine()

    def add_engine(self):
        engine = MovingEngine(self.shared)
        self.addCleanup(engine.close)
        name = f"e-{len(self.shared.engines)}"
        self.upstreams[name] = engine
        self.announce(name, engine)

    def announce(self, name, engine, **changes):
        """Register an engine or change its registration."""
        address = f"{HOST}:{engine.port}"
        zone = "ab"[int(name[2:]) % 2]
        self.register(name, address=address, zone=zone, slots=64, **changes)

    def leave(self, name, notice):
        """Let an engine end after a notice, and another one start."""
        engine = self.upstreams.pop(name)
        self.announce(name, engine, state="draining", leaves_ms=notice * 1000)
        timer = threading.Timer(notice, self.end, (name, engine))
        timer.start()
        self.addCleanup(timer.cancel)
        self.timers.append(timer)
        self.add_engine()

    def end(self, name, engine):
        engine.die()
        self.operate(deletes=[f"servers/{name}"])

    def run_stream(self, port, path, length):
        """Read one stream to its end, or to where it breaks off."""
        with self.lock:
            stream = Stream(f"s{len(self.streams)}")
            self.streams.append(stream)
        with suppress(OSError, EOFError, NotHttp, ValueError):
            # Equal requests that are in flight at several crashes are barred.
            own = f"{path}/{stream.name}"
            with stream.open(port, own, **count(length)) as caller:
                stream.read(caller)

    def expect_sound(self):
        """Expect no event twice or missing, and nothing run twice."""
        for stream in self.streams:
            numbers = list(range(1, len(stream.events) + 1))
            self.assertEqual(stream.numbers, numbers)
        self.assertEqual(self.shared.find_overlaps(), set())


class TestInstanceKilled(MovesFleetCase):
    def test_a_stream_whose_instance_is_killed_during_its_move_runs_once(self):
        # Guards against a run that goes on although nobody reads it.
        gateway = self.start("one")
        args = (gateway.port, "/chat", 200)
        reader = threading.Thread(target=self.run_stream, args=args)
        reader.start()
        poll(lambda: self.streams and self.streams[0].events)
        found = [k for k, item in self.upstreams.items() if item.stops]
        engine = self.upstreams[found[0]]
        engine.faults = {"last": "hang"}
        # The stream takes twice as long as the notice, so that it is moved.
        self.leave(found[0], 2.0)
        poll(lambda: engine.busy and engine.moves)
        gateway.kill()
        reader.join()
        self.assertFalse(self.streams[0].whole)
        self.expect_sound()
        self.assertEqual(len(self.shared.runs["s0.1"].served), 1)


class RandomisedCase(MovesFleetCase):
    def run_caller(self, rng, stopped):
        """Read one stream after the other."""
        while not stopped.is_set():
            gateway = self.gateways[rng.choice(list(self.gateways))]
            path = rng.choice(("/chat", "/chat", "/quote"))
            self.run_stream(gateway.port, path, rng.choice((5, 40, 80, 150)))
            time.sleep(0.02)

    def run_step(self):
        """Disturb one engine or instance."""
        action = self.rng.choice(ACTIONS)
        name = self.rng.choice(list(self.gateways))
        engine = self.rng.choice(list(self.upstreams))
        if action == "leave":
            self.upstreams[engine].faults = dict(self.rng.choice(FAULTS))
            self.leave(engine, self.rng.choice(NOTICES))
        elif action == "crash":
            self.end(engine, self.upstreams.pop(engine))
            self.add_engine()
        elif action == "reset":
            # It works on after its connections were reset.
            self.upstreams[engine].resets_after = self.rng.choice((1, 10, 30))
        elif action == "kill":
            self.killed = True
            self.gateways[name].kill()
            self.gateways[name] = self.start(name)
        else:
            self.gateways[name].freeze()
            time.sleep(self.rng.uniform(0.1, 0.6))
            self.gateways[name].resume()
        time.sleep(self.rng.uniform(0.2, 1.2))

    def play(self, seed):
        """Play one series of disruptions and check what callers read."""
        self.rng, self.killed = random.Random(seed), False
        self.gateways = {name: self.start(name) for name in ("one", "two")}
        stopped = threading.Event()
        callers = [
            threading.Thread(
                target=self.run_caller, args=(random.Random(f"{seed} {n}"), stopped)
            )
            for n in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        try:
            for _ in range(STEPS):
                self.run_step()
        finally:
            stopped.set()
            for thread in (*callers, *self.timers):
                thread.join()
        self.expect_sound()
        whole = sum(stream.whole for stream in self.streams)
        self.assertGreater(whole, len(self.streams) / 2)
        if not self.killed:
            poll(lambda: self.shared.count_held() == 0, 3.0)
        went_on = sum(len(run.served) > 1 for run in self.shared.runs.values())
        return f"{whole} of {len(self.streams)} whole, {went_on} went on elsewhere"


class TestRandomised(RandomisedCase):
    """Guard against runs twice, gaps, repeated events and copies that nobody frees."""

    def test_series_of_notices_crashes_kills_and_lost_answers(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = self.play(seed)
                if len(SEEDS) > 1:
                    print(f"seed {seed}: {result}", flush=True)
            # Each seed has processes of its own.
            self.doCleanups()
            self.setUp()


if __name__ == "__main__":
    number, first = map(int, sys.argv[1:3])
    SEEDS = range(first, first + number)
    unittest.main(argv=[sys.argv[0], "TestRandomised"])
