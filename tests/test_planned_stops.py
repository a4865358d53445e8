"""Planned stops of gateways beside callers that go on: no request may be lost."""

import random
import signal
import threading
import time
import unittest
from collections import Counter

from chervilwing.answer_times import PERIOD, LongestTimes
from chervilwing.clocks import read_boottime
from chervilwing.planned_stops import make_stopping_error
from chervilwing.platform.headers import DIALECT
from tests.deployments import AUTHORISED, Deployment
from tests.gateways import GatewayThread, make_document
from tests.partitions import Partition
from tests.planned_stops import CUT, UNREACHED, Callers, RecordingUpstream, list_faults
from tests.procs import Caller, poll
from tests.test_platform import PlatformCase, answer

SHORT = (("page", 0.02), ("note", 0.03), ("note", 0.3), ("chat", 0.1))
DRAIN_TIMEOUT, DRAIN_LAG = 4.0, 1.25
# What becomes of the connection of an answered call.
KEPT, CLOSED = "kept", "closed"
HEAD = "Host: a.example\r\nAuthorization: Bearer k1\r\n"


def answer_failed(conn, method, path, body):
    """Answer with a failure after the request has run."""
    time.sleep(0.05)
    head = b"HTTP/1.1 500 Oops\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n"
    conn.sendall(head)


class StopCase(PlatformCase):
    module = "tests.routed_gateway"

    def setUp(self):
        super().setUp()
        self.work = self.upstream.script = RecordingUpstream()
        route = self.document["routes"][0] | {"timeoutMs": 10_000, "sloMs": 9_000}
        note = {"name": "r2", "prefix": "/note/", "kind": "unsafe"}
        chat = {"name": "r3", "prefix": "/chat/", "kind": "streaming"}
        self.document["routes"] = [route, route | note, route | chat]
        self.document["version"] += 1
        self.publish()
        self.callers = Callers()
        self.addCleanup(self.callers.close)

    def launch(self, name="one", **options):
        """Start a gateway with a short time for its stop; return it and its paths."""
        paths = Partition(self.procs, (self.upstream.port,))
        self.addCleanup(paths.close)
        times = {"drain_lag": str(DRAIN_LAG), "drain_timeout": str(DRAIN_TIMEOUT)}
        options = {**times, **options}
        return self.start(name, variables=paths.variables, **options), paths

    def stop(self, gateway, during=lambda: None):
        """Stop a gateway beside its callers; return the faults."""
        signal_at = time.monotonic()
        gateway.popen.terminate()
        during()
        self.assertEqual(gateway.popen.wait(12), 0)
        self.lasted = time.monotonic() - signal_at
        self.callers.close()
        sent = [item for item in self.callers.sent if item.ended_at >= signal_at]
        self.counts = Counter(item.result for item in sent)
        return list_faults(self.work, sent, signal_at, DRAIN_TIMEOUT)

    def send(self, gateway, path, method="GET", fields="Content-Length: 0\r\n"):
        """Send the head of a request on a new connection and return that."""
        caller = Caller(gateway.port)
        self.addCleanup(caller.close)
        caller.send(f"{method} {path} HTTP/1.1\r\n{HEAD}{fields}\r\n".encode())
        return caller


class TestCallersGoOn(StopCase):
    """Guard against requests that a stop cuts without an answer."""

    def test_callers_that_send_without_a_pause(self):
        gateway, _ = self.launch()
        for number in range(8):
            self.callers.start(gateway.port, SHORT, kept=bool(number % 2))
        time.sleep(0.5)
        self.assertEqual(self.stop(gateway), {})
        self.assertLess(self.lasted, DRAIN_LAG + 1.0)

    def test_connections_that_are_used_now_and_then(self):
        gateway, _ = self.launch()
        rng = random.Random(5)
        for _ in range(40):
            pause = rng.uniform(0.3, 1.5)
            self.callers.start(gateway.port, SHORT[:2], pause=pause)
        time.sleep(1.5)
        self.assertEqual(self.stop(gateway), {})

    def test_signals_during_a_stop(self):
        gateway, _ = self.launch()
        for number in range(4):
            self.callers.start(gateway.port, SHORT, kept=bool(number % 2))
        time.sleep(0.3)

        def repeat_signals():
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT) * 2:
                time.sleep(0.15)
                gateway.signal(number)

        self.assertEqual(self.stop(gateway, repeat_signals), {})

    def test_a_lag_longer_than_the_time_for_a_stop(self):
        """Guards against requests that are accepted until the process is killed."""
        gateway, _ = self.launch(drain_lag="9")
        for _ in range(4):
            self.callers.start(gateway.port, SHORT)
        time.sleep(0.3)
        self.assertEqual(self.stop(gateway), {})
        self.assertLess(self.lasted, DRAIN_TIMEOUT)
        self.assertGreater(self.counts[503], 0)


class TestLongRequests(StopCase):
    def test_an_unsafe_request_that_would_be_cut_is_refused(self):
        """Guards against unsafe requests begun too late to end before the cut."""
        gateway, _ = self.launch()
        for _ in range(4):
            self.callers.start(gateway.port, (("note", 3.2),), pause=0.05)
        self.callers.start(gateway.port, (("page", 0.02),), pause=0.05)
        time.sleep(3.9)

        def send_late():
            for _ in range(10):
                self.callers.start(gateway.port, (("note", 3.2),), pause=0.5)
                time.sleep(0.12)

        self.assertEqual(self.stop(gateway, send_late), {})
        self.assertEqual(self.counts[CUT], 0)

    def test_a_body_that_arrives_slowly_is_refused(self):
        """Guards against bodies whose connections end without an answer."""
        gateway, _ = self.launch()
        fields = "Content-Length: 9000\r\n"
        callers = [self.send(gateway, "/note/b/0", "POST", fields) for _ in range(4)]
        callers[1].send(b"x" * 100)
        callers[2].send(b"x" * 6000)
        partial = Caller(gateway.port)
        self.addCleanup(partial.close)
        partial.send(b"POST /note/b/0 HTTP/1.1\r\nHost: a.exa")
        time.sleep(0.2)
        gateway.popen.terminate()
        statuses = [caller.read_answer().status for caller in (*callers, partial)]
        self.assertEqual(statuses, [503] * 5)
        self.assertEqual(gateway.popen.wait(4), 0)
        self.assertNotIn("b", self.work.began)

    def test_a_stream_that_ends_during_a_stop(self):
        """Guards against a close that a kept connection's answer didn't announce."""
        gateway, _ = self.launch()

        def answer_slowly(conn, method, path, body):
            head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 400000"
            conn.sendall(head + b"\r\n\r\n" + bytes(300_000))
            time.sleep(0.6)
            conn.sendall(bytes(100_000))

        self.upstream.script = answer_slowly
        caller = self.send(gateway, "/page/s/0")
        poll(lambda: self.upstream.count("/page/s/0"))
        time.sleep(0.3)
        gateway.popen.terminate()
        answer = caller.read_answer()
        self.assertTrue(answer.whole)
        self.upstream.script = self.work
        if answer.headers["connection"] == "keep-alive":
            caller.send(f"GET /page/t/0 HTTP/1.1\r\n{HEAD}\r\n".encode())
            self.assertEqual(caller.read_answer().status, 200)
        self.assertEqual(gateway.popen.wait(4), 0)


class TestTunnels(StopCase):
    def setUp(self):
        super().setUp()
        self.helper, _ = self.launch("two")
        self.gateway, paths = self.launch("one", drain_timeout="8")
        paths.cut("reset")
        poll(lambda: self.call(self.gateway, "/page/warm/0") == 200)

    def test_an_unsafe_request_in_a_tunnel_has_the_time_of_any_other(self):
        """Guards against a stop that gives requests in tunnels less time."""
        caller = self.send(self.gateway, "/note/long/3.5", "POST")
        poll(lambda: "long" in self.work.began)
        self.helper.popen.terminate()
        self.assertEqual(caller.read_answer().status, 200)
        self.assertEqual(self.helper.popen.wait(4), 0)

    def test_callers_of_an_instance_whose_helper_stops(self):
        """Guards against requests sent into tunnels that are about to end."""
        other, _ = self.launch("three")
        for _ in range(6):
            self.callers.start(self.gateway.port, SHORT)
        time.sleep(1.0)
        self.assertEqual(self.stop(self.helper), {})
        self.assertEqual(set(self.counts), {200})
        self.assertLess(self.lasted, DRAIN_LAG + 1.0)


class TestWaiting(unittest.TestCase):
    def start(self, script):
        """Start a gateway that gives up what it can 0.1 s after each request."""
        thread = GatewayThread(DIALECT, script, document=make_document())
        self.addCleanup(thread.close)
        gateway = thread.gateway

        def refuse_late(now):
            if all(now - relay.received_at > 0.1 for relay in gateway.relays):
                gateway.refuse_unsent(make_stopping_error())

        gateway.retry_waiting_requests = refuse_late
        return thread

    def test_a_request_that_waits_is_refused(self):
        """Guards against requests that wait at an instance until it ends."""
        thread = self.start(answer)
        hooks = thread.gateway.placing
        thread.gateway.placing = hooks._replace(request_placement=lambda *_: True)
        refusal = thread.call("POST", "/note/x")
        self.assertEqual(refusal.status, 503)
        self.assertEqual(refusal.json()["outcome"], "not_run")
        self.assertEqual(thread.upstreams[0].seen, [])

    def test_a_request_that_an_upstream_works_on_is_not_refused(self):
        thread = self.start(RecordingUpstream())
        self.assertEqual(thread.call("POST", "/note/x/0.3").status, 200)

    def test_a_retry_that_would_be_cut_is_not_sent(self):
        """Guards against attempts that a stop cuts soon after they began."""
        thread = self.start(answer_failed)
        thread.gateway.stop_deadline.at = read_boottime() + 0.2
        self.assertEqual(thread.call("GET", "/page/x").status, 500)
        self.assertEqual(thread.upstreams[0].count("/page/x"), 1)


class TestLongestTimes(unittest.TestCase):
    def test_a_time_is_forgotten_after_one_to_two_periods(self):
        times = LongestTimes()
        times.record("note", 3.0, 100.0)
        times.record("note", 1.0, 101.0)
        self.assertEqual(times.get("note", 100.0 + PERIOD), 3.0)
        self.assertEqual(times.get("page", 101.0), 0.0)
        self.assertEqual(times.get("note", 101.0 + 2 * PERIOD), 0.0)


class TestEntryInstance(unittest.TestCase):
    def test_callers_that_go_on(self):
        """Guards against requests that the stop of chervilwingd doesn't answer."""
        deployment = Deployment()
        self.addCleanup(deployment.close)
        deployment.start_upstreams(1, 1, ("--token-time", "0.001"))
        self.entry = deployment.start_entry("one", "--drain-lag", "0.7")
        self.results, self.stop = Counter(), threading.Event()
        threads = [
            threading.Thread(target=self.run_caller, args=(n,)) for n in range(20)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.8)
        self.entry.popen.terminate()
        self.assertEqual(self.entry.popen.wait(10), 0)
        self.stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(set(self.results), {KEPT, CLOSED, UNREACHED}, self.results)

    def run_caller(self, seed):
        """Send model calls on a kept connection until the instance has ended."""
        rng, caller = random.Random(seed), None
        while not self.stop.is_set():
            try:
                caller = caller or Caller(self.entry.port)
            except OSError:
                self.results[UNREACHED] += 1
                time.sleep(0.02)
                continue
            time.sleep(rng.uniform(0, 0.25))
            result = call_model(caller)
            self.results[result] += 1
            if result != KEPT:
                caller.close()
                caller = None


def call_model(caller):
    """Send a model call; return what became of it and of its connection."""
    body = {"model": "memo", "prompt": "hello", "max_tokens": 8}
    try:
        answer = caller.call("POST", "/v1/completions", body, AUTHORISED)
    except (EOFError, OSError):
        return CUT
    if answer.status != 200 or not answer.whole:
        return answer.status
    return CLOSED if answer.headers["connection"] == "close" else KEPT
