"""Tests of streams that end with their connection, and whose upstream may be gone."""

import socket
import sys
import threading
import time
import unittest

from chervilwing.end_checks import CONNECT_TIMEOUT
from tests.gateways import KEY
from tests.procs import HOST, Caller, Processes, call, poll
from tests.test_broken_answers import EVENT, BrokenCase, end_in_order, frame_close
from tests.test_detours import DetourCase
from tests.test_gateway import reset
from tests.test_platform import PlatformCase
from tests.unframed_upstream import make_events
from tests.upstreams import RawUpstream

HELD = 3
WHOLE = make_events(1, 6)


def end_after(then):
    """Return a script that calls ``then`` and ends a stream in order."""

    def script(conn, *request):
        then()
        end_in_order(frame_close(EVENT))(conn, *request)

    return script


class ProcessCase(BrokenCase):
    """Upstreams that are processes of their own."""

    def start_upstream(self, name, *options):
        """Start an upstream process and register it."""
        process = self.processes.start(
            [sys.executable, "-m", "tests.unframed_upstream", *options]
        )
        registration = self.gateway_run.make_registration(name, process.port)
        self.gateway_run.gateway.put_upstream(registration)
        return process

    def setUp(self):
        self.processes = Processes()
        self.addCleanup(self.processes.close)
        self.start()

    def read_killed(self, path, version="1.1", after=lambda: None):
        """Read a stream whose process is killed once all it sent was relayed."""
        process = self.start_upstream("u0", "--hold-after", str(HELD))
        found = []
        reader = threading.Thread(target=lambda: found.append(self.read(path, version)))
        reader.start()
        gateway = self.gateway_run.gateway
        poll(lambda: any(relay.first_byte_at for relay in gateway.relays))
        after()
        process.kill()
        reader.join()
        gateway.remove_upstream_now("u0")
        return found[0]


class TestKilledUpstreams(ProcessCase):
    def test_a_stream_cut_between_two_events_by_a_kill_never_looks_complete(self):
        # Guards against the close that the kernel sends for a killed process and that
        # passes for the end of the stream.
        for version in ("1.0", "1.1"):
            body, whole = self.read_killed("/chat/x", version)
            self.assertEqual((body, whole), (make_events(1, HELD), False), version)

    def test_a_resumable_stream_goes_on_elsewhere_after_a_kill(self):
        # Guards against a stream that ends as complete before its last event.
        second = lambda: self.start_upstream("u1")
        for version in ("1.0", "1.1"):
            found = self.read_killed("/quote/x", version, second)
            self.assertEqual(found, (WHOLE, True), version)
            self.gateway_run.gateway.remove_upstream_now("u1")

    def test_whole_streams_of_a_running_process_stay_whole(self):
        self.start_upstream("u0")
        for path in ("/chat/x", "/quote/x"):
            for version in ("1.0", "1.1"):
                self.assertEqual(self.read(path, version), (WHOLE, True))
        self.assertEqual(self.count_ends(), (4, 0))

    def count_ends(self):
        checks = self.gateway_run.gateway.end_checks
        return checks.checked, checks.broken


class TestGateways(PlatformCase):
    def test_a_killed_upstreams_stream_is_cut_and_its_refusal_is_checked(self):
        # Guards against a short stream that looks whole to the callers of a gateway
        # process that asks another one about the upstream.
        upstream = self.procs.start(
            [sys.executable, "-m", "tests.unframed_upstream", f"--hold-after={HELD}"]
        )
        self.upstream.port = upstream.port
        self.register("i-1")
        self.document["routes"][0]["kind"] = "streaming"
        self.publish()
        gateway, _ = self.start("one"), self.start("two")
        with Caller(gateway.port) as caller:
            caller.send(
                b"GET /page/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\n\r\n"
            )
            caller.read_head()
            self.assertEqual(caller.read_chunk(), make_events(1, HELD))
            upstream.kill()
            with self.assertRaises(EOFError):
                caller.read_chunk()
        figures = self.read_figures(gateway)
        self.assertEqual(figures["chervilwing_gateway_stream_ends_checked"], "1")
        self.assertEqual(figures["chervilwing_gateway_stream_ends_broken"], "1")

    def read_figures(self, gateway):
        """Return a gateway's figures by name."""
        answer = call(gateway.info["ready_port"], "GET", "/-/metrics")
        lines = answer.body.decode().splitlines()
        return dict(line.rsplit(" ", 1) for line in lines if line[0] != "#")


class StalledUpstream(RawUpstream):
    """Accepts one connection; later ones get no answer once its queue is full."""

    def accept(self):
        """Serve the first connection."""
        self.waiting = []
        self.conns.append(self.listener.accept()[0])
        self.serve(self.conns[0])

    def stall(self):
        """Fill the queue of connections to be accepted."""
        self.listener.listen(0)
        for _ in range(4):
            conn = socket.socket()
            conn.setblocking(False)
            conn.connect_ex((HOST, self.port))
            self.waiting.append(conn)

    def close(self):
        """Close all connections."""
        super().close()
        for conn in self.waiting:
            conn.close()


class TestEnds(BrokenCase):
    """Ends in order between two events, by what the upstream does next."""

    def start_ending(self, then):
        """Start with an upstream that calls ``then`` before it ends a stream."""
        run = self.start(end_after(lambda: then(run.upstreams[0])))
        return run

    def leave(self, upstream):
        """Announce the end of an upstream as planned, and refuse connections."""
        run = self.gateway_run
        leaving = run.make_registration("u0", upstream.port, leaving=True)
        run.gateway.put_upstream(leaving)
        upstream.close_listener()

    def unregister(self, upstream):
        """Remove an upstream's registration, and refuse connections."""
        self.gateway_run.gateway.remove_upstream_now("u0")
        upstream.close_listener()

    def test_an_end_is_whole_unless_the_upstream_refuses_connections(self):
        # Guards against cutting off the whole streams of upstreams that end as planned.
        for then in (lambda upstream: None, self.leave, self.unregister):
            self.start_ending(then)
            self.assertEqual(self.read("/chat/x"), (EVENT, True))
        self.start_ending(lambda upstream: upstream.close_listener())
        self.assertEqual(self.read("/chat/x"), (EVENT, False))

    def test_an_upstream_that_resets_new_connections_is_running(self):
        # Guards against taking an upstream that is full for one that has ended.
        def fill(upstream):
            upstream.serve = reset

        self.start_ending(fill)
        self.assertEqual(self.read("/chat/x"), (EVENT, True))

    def test_an_upstream_that_answers_no_new_connection_may_be_running(self):
        # Guards against cutting off whole streams in a cut, where nothing is answered.
        upstream = StalledUpstream(end_after(lambda: upstream.stall()))
        self.addCleanup(upstream.close)
        run = self.start()
        run.gateway.put_upstream(run.make_registration("u0", upstream.port))
        began = time.monotonic()
        self.assertEqual(self.read("/chat/x"), (EVENT, True))
        self.assertGreater(time.monotonic() - began, CONNECT_TIMEOUT)
        self.assertEqual(run.gateway.end_checks.checked, 1)

    def test_all_streams_of_a_crashed_upstream_are_broken(self):
        # Guards against taking a refusal for that of a full upstream while the ends of
        # its other streams are still to be read.
        count = 8
        run = self.start(None)
        ready = threading.Barrier(count, run.upstreams[0].close_listener)
        run.upstreams[0].script = end_after(ready.wait)
        found = []
        readers = [
            threading.Thread(target=lambda: found.append(self.read("/chat/x")))
            for _ in range(count)
        ]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        self.assertEqual(found, [(EVENT, False)] * count)
        self.assertEqual(run.gateway.end_checks.broken, count)

    def test_a_refusal_from_here_alone_proves_no_crash(self):
        # Guards against a cut that rejects connections and looks like many crashes.
        run = self.start_ending(lambda upstream: upstream.close_listener())
        asked = []

        def check_path(registration, on_result):
            asked.append(registration.name)
            on_result(True)

        run.gateway.detours.check_path = check_path
        self.assertEqual(self.read("/chat/x"), (EVENT, True))
        self.assertEqual(asked, ["u0"])

    def test_a_caller_that_leaves_during_the_check_ends_its_request(self):
        # Guards against an answer to a request that has ended.
        run = self.start(end_in_order(frame_close(EVENT)))
        with Caller(run.port) as caller:
            fields = "".join(f"{k}: {v}\r\n" for k, v in KEY.items())
            caller.send(
                f"GET /chat/x HTTP/1.1\r\nHost: a.example\r\n{fields}\r\n".encode()
            )
            poll(lambda: run.upstreams[0].seen)
        poll(lambda: not run.gateway.relays)
        self.assertEqual(self.read("/chat/x"), (EVENT, True))


class TestTunnels(DetourCase):
    def read_ended(self, then):
        """Read a stream through another instance; it ends between two events."""
        self.start(end_after(then))
        caller = Caller(self.run_.port)
        self.addCleanup(caller.close)
        caller.send(
            b"GET /chat/x HTTP/1.1\r\nHost: a.example\r\n"
            b"Authorization: Bearer k1\r\n\r\n"
        )
        return caller.read_answer()

    def test_a_crash_is_seen_through_another_instance(self):
        # Guards against a cut stream that looks complete to an instance that is cut
        # off from its upstreams.
        found = self.read_ended(lambda: self.upstream.close_listener())
        self.assertEqual((found.body, found.whole), (EVENT, False))

    def test_whole_streams_through_another_instance_stay_whole(self):
        found = self.read_ended(lambda: None)
        self.assertEqual((found.body, found.whole), (EVENT, True))

    def test_an_end_is_whole_if_no_instance_can_be_asked(self):
        # Guards against cutting off whole streams whose helping instance has gone.
        def stop():
            for helper in self.helpers:
                helper.server.stopping = True

        found = self.read_ended(stop)
        self.assertEqual((found.body, found.whole), (EVENT, True))


if __name__ == "__main__":
    unittest.main()
