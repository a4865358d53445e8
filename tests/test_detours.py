"""Tests of requests that reach their upstream through another instance, in process."""

import threading
import time
import unittest
from contextlib import suppress
from types import SimpleNamespace

from chervilwing.caller_budget import CallerBudget
from chervilwing.clocks import read_boottime
from chervilwing.models import Address
from chervilwing.path_checks import PathChecks
from chervilwing.platform.headers import DIALECT
from chervilwing.tunnel_server import TunnelServer
from chervilwing.tunnels import TunnelPeer
from chervilwing.upstream_paths import UpstreamPaths
from tests.gateways import GatewayThread, make_document
from tests.procs import HOST, Caller, poll
from tests.upstreams import CHUNKED_END, Loop

SIGNED = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
STREAM_HEAD = (
    SIGNED + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def send_events(conn, first, last):
    """Send numbered events, one in each chunk."""
    for number in range(first, last):
        data = b"id: %d\ndata: x\n\n" % number
        conn.sendall(b"%x\r\n%b\r\n" % (len(data), data))


class Helper:
    """Another instance that opens tunnels; its loop runs in a thread."""

    def __init__(self, name, registry):
        self.loop = Loop()
        gateway = SimpleNamespace(
            budget=CallerBudget(),
            registry=registry,
            paths=UpstreamPaths(),
            detours=SimpleNamespace(record_direct=lambda name: None),
        )
        self.server = TunnelServer(self.loop.poller, gateway).register(self.loop.root)
        address = self.server.listen(Address(HOST, 0))
        self.peer = TunnelPeer(name, address, self.server.token)
        self.running = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        """Handle events until the helper is killed."""
        while self.running:
            self.loop.run_once()

    def freeze(self):
        """Handle no events from now on; connections stay open."""
        self.running = False
        self.thread.join()

    def kill(self):
        """Close all connections without an end frame, as the kernel does."""
        self.freeze()
        for tunnel in list(self.server._tunnels):
            tunnel.conn.sock.close()
            if tunnel.upstream_conn is not None:
                tunnel.upstream_conn.sock.close()
        self.server._callers._listener.close()


class DetourCase(unittest.TestCase):
    def start(self, script):
        """Start a gateway that is cut off, before one upstream, with two helpers."""
        self.run_ = GatewayThread(DIALECT, script, document=make_document())
        self.addCleanup(self.run_.close)
        self.gateway, self.upstream = self.run_.gateway, self.run_.upstreams[0]
        self.helpers = [
            Helper(name, self.gateway.registry) for name in ("two", "three")
        ]
        for helper in self.helpers:
            self.addCleanup(helper.freeze)
        now = read_boottime()
        self.gateway.paths.record_failed("u0", now)
        self.gateway.paths.record_reached("u0", now)
        self.gateway.tunnel_peers.set_peers(["two", "three"], [])
        # The loads make "two" the first choice.
        for helper, load in zip(self.helpers, (0, 5), strict=True):
            self.gateway.tunnel_peers.record_reply(helper.peer, True, load, now)

    def open_stream(self):
        """Send a request for a resumable stream; return the caller."""
        caller = Caller(self.run_.port)
        self.addCleanup(caller.close)
        head = b"GET /quote/x HTTP/1.1\r\nHost: a.example\r\n"
        caller.send(head + b"Authorization: Bearer k1\r\n\r\n")
        return caller

    def answer_in_parts(self, conn, method, path, body):
        """Send three events and wait; the next run goes on after the last id."""
        fields = self.upstream.heads[-1][1]
        first = int(fields.get("last-event-id", "0")) + 1
        conn.sendall(STREAM_HEAD)
        if first == 1:
            send_events(conn, 1, 4)
            poll(lambda: len(self.upstream.heads) > 1)
            return
        send_events(conn, first, 7)
        conn.sendall(CHUNKED_END)


class TestStreams(DetourCase):
    def check_resumed(self, lose):
        """Expect each event once although a helper is lost after the third."""
        self.start(self.answer_in_parts)
        caller = self.open_stream()
        poll(lambda: self.upstream.heads)
        poll(lambda: any(relay.events.last_id == "3" for relay in self.gateway.relays))
        lose(self.helpers[0])
        answer = caller.read_answer()
        numbers = [event.split("\n")[0] for event in answer.body.decode().split("\n\n")]
        self.assertEqual(numbers[:-1], [f"id: {n}" for n in range(1, 7)])
        self.assertEqual(self.run_.usage, ["insurer"])

    def test_a_stream_goes_on_after_its_helping_instance_is_killed(self):
        self.check_resumed(Helper.kill)

    def test_a_stream_goes_on_after_its_helping_instance_stands_still(self):
        def freeze(helper):
            helper.freeze()
            self.gateway.detours.leave_tunnels("two")

        self.check_resumed(freeze)


class TestNotes(DetourCase):
    def test_a_note_whose_helping_instance_is_killed_is_not_sent_again(self):
        # Guards against a request that must not be repeated and runs twice.
        self.start(lambda conn, *rest: time.sleep(5))
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(self.run_.call("POST", "/note/x", b"n"))
        )
        caller.start()
        poll(lambda: self.upstream.seen)
        self.helpers[0].kill()
        caller.join()
        self.assertEqual(answers[0].status, 502)
        self.assertEqual(len(self.upstream.seen), 1)

    def test_a_note_is_sent_through_another_instance_if_the_first_has_gone(self):
        # Nothing was sent yet, so that it can't have run.
        body = SIGNED + b"Content-Length: 2\r\n\r\nok"
        self.start(lambda conn, *rest: conn.sendall(body))
        self.helpers[0].kill()
        self.assertEqual(self.run_.call("POST", "/note/x", b"n").status, 200)
        self.assertEqual(len(self.upstream.seen), 1)

    def test_a_stopping_instance_need_not_wait_for_idle_tunnels(self):
        # Guards against planned stops that are held up for seconds.
        body = SIGNED + b"Content-Length: 2\r\n\r\nok"
        self.start(lambda conn, *rest: conn.sendall(body))
        self.assertEqual(self.run_.call("POST", "/note/x", b"n").status, 200)
        self.assertEqual(self.helpers[0].server.count(), 1)
        self.gateway.detours.close_idle_tunnels("three")
        self.gateway.detours.close_idle_tunnels("two")
        poll(lambda: not self.helpers[0].server.count())

    def test_a_caller_that_leaves_ends_the_work_at_the_upstream(self):
        # Guards against work for callers who are gone.
        ended = threading.Event()

        def wait(conn, *rest):
            with suppress(ConnectionResetError):
                conn.recv(1)
            ended.set()

        self.start(wait)
        caller = self.open_stream()
        poll(lambda: self.upstream.seen)
        caller.close()
        self.assertTrue(ended.wait(1.0))


class TestCrashes(DetourCase):
    def test_an_upstream_that_another_instance_reaches_has_not_crashed(self):
        # Guards against barring requests because this instance's own connections were
        # reset.
        self.start(lambda conn, *rest: conn.close())
        PathChecks(self.gateway, self.run_.client).register(self.run_.loop.root)
        detection = self.gateway.crash_detection
        registration = self.gateway.registry.upstreams["u0"]
        outcomes = []
        detection._prove = lambda name, *found: outcomes.append("proved")
        detection._abandon = lambda probe, suspicions: outcomes.append("dismissed")
        probe = SimpleNamespace(upstream="u0", in_flight=[])
        check = lambda reached: detection._end_check(probe, (), reached)
        self.gateway.detours.check_path(registration, check)
        poll(lambda: outcomes)
        self.upstream.close()
        self.gateway.detours.check_path(registration, check)
        poll(lambda: len(outcomes) == 2)
        self.assertEqual(outcomes, ["dismissed", "proved"])


if __name__ == "__main__":
    unittest.main()
