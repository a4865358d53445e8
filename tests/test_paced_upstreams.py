"""Gateway processes before plain upstreams that work, and state, at different paces."""

import random
import threading
import time
import unittest
from contextlib import suppress

from chervilwing.platform.headers import DIALECT
from tests.gateways import GatewayThread, make_document
from tests.limiting_upstreams import send_steadily
from tests.procs import HOST, poll
from tests.test_platform import PlatformCase
from tests.upstreams import RawUpstream

SLOTS = 6
# Seconds of a call at the usual pace, and calls per second: half of the capacity.
CALL_SECONDS = 0.05
RATE = 150.0
SLOW_PACE = 4.0
# Seconds in which one upstream is slow, and the latency target of a call.
SLOW_PERIOD = 2.0
TARGET = 0.3
HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n"


class PacedUpstream(RawUpstream):
    """Upstream with SLOTS that states its load, and ``pace`` unless it is None.

    A silent one doesn't answer until it is closed.
    """

    def __init__(self):
        self.pace, self.stated_pace = 1.0, lambda: self.pace
        self.silent = False
        self.calls = 0
        self._slots = threading.Semaphore(SLOTS)
        self._lock = threading.Lock()
        self._rng = random.Random(1)
        super().__init__(self._answer)

    def _count(self, change):
        with self._lock:
            self.calls += change
            return self.calls

    def _answer(self, conn, method, path, body):
        if self.silent:
            return
        self._count(1)
        with self._slots:
            time.sleep(CALL_SECONDS * self._rng.uniform(0.8, 1.2) * self.pace)
        calls = self._count(-1) + 1
        running, waiting = min(calls, SLOTS), max(0, calls - SLOTS)
        load = f"{running},{waiting},{SLOTS}"
        if self.stated_pace() is not None:
            load += f",{self.stated_pace() * 100:.0f}"
        conn.sendall(HEAD + f"X-Server-Load: {load}\r\n\r\nok".encode())


class TestPlainUpstreams(PlatformCase):
    def setUp(self):
        super().setUp()
        self.upstreams = [PacedUpstream() for _ in range(3)]
        for number, upstream in enumerate(self.upstreams):
            self.addCleanup(upstream.close)
            address = f"{HOST}:{upstream.port}"
            self.register(f"i-p{number}", address=address, slots=SLOTS)
        self.operate(deletes=["servers/i-1"])

    def send(self, gateways, seconds):
        """Send calls at RATE; return their durations in seconds, sorted."""

        def call(number):
            began = time.monotonic()
            status = self.call(gateways[number % len(gateways)])
            return time.monotonic() - began if status == 200 else float("inf")

        return sorted(send_steadily(call, RATE, seconds))

    def test_calls_avoid_the_upstream_that_is_slow(self):
        # A third of all calls took four times as long as usual while one upstream at a
        # time was slow, although the others had room for all.
        gateways = [self.start(name) for name in ("one", "two", "three")]
        self.send(gateways, 1.0)
        calm = self.send(gateways, 4.0)

        def slow_down():
            for number in (0, 1, 2):
                self.upstreams[number].pace = SLOW_PACE
                time.sleep(SLOW_PERIOD)
                self.upstreams[number].pace = 1.0

        thread = threading.Thread(target=slow_down)
        thread.start()
        durations = self.send(gateways, 3 * SLOW_PERIOD)
        thread.join()
        p95 = [found[int(len(found) * 0.95)] for found in (calm, durations)]
        self.assertLess(p95[1], 1.5 * p95[0])
        in_time = sum(seconds <= TARGET for seconds in durations) / len(durations)
        self.assertGreaterEqual(in_time, 0.99)

    def test_only_idempotent_calls_leave_a_silent_upstream(self):
        # Its calls waited for their deadlines although another one was idle. A call
        # that must not run twice has to wait all the same.
        document = make_document()
        scripts = [upstream._answer for upstream in self.upstreams[:2]]
        gateway = GatewayThread(DIALECT, *scripts, document=document)
        self.addCleanup(gateway.close)
        for _ in range(40):
            gateway.call("GET", "/page/a")
        self.upstreams[0].silent = True
        for number in range(20):
            began = time.monotonic()
            self.assertEqual(gateway.call("GET", f"/page/{number}").status, 200)
            self.assertLess(time.monotonic() - began, 10 * CALL_SECONDS)
        first, other = gateway.upstreams
        moved = [seen[2] for seen in first.seen if other.count(seen[2])]
        self.assertTrue(moved)

        def send_notes():
            # The silent upstream counts as slow, and is tried again after seconds.
            with suppress(OSError, EOFError):
                for number in range(1000):
                    gateway.call("POST", f"/note/{number}")

        threading.Thread(target=send_notes, daemon=True).start()
        notes = poll(
            lambda: [seen[2] for seen in first.seen if seen[2].startswith("/note/")]
        )
        time.sleep(20 * CALL_SECONDS)
        self.assertEqual(other.count(notes[0]), 0)


if __name__ == "__main__":
    unittest.main()
