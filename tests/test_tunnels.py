"""Tests of tunnels to upstreams through another instance."""

import random
import socket
import struct
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from chervilwing.caller_budget import CallerBudget
from chervilwing.connections import Call, CallHandlers, Client
from chervilwing.exceptions import (
    NOT_RUN,
    BadRequest,
    ConnectionBroken,
    PathBroken,
    PathUnavailable,
    TunnelLost,
    TunnelNotOpened,
    TunnelRefused,
    TunnelRejected,
    UpstreamUnreachable,
)
from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.reply_bounds import STREAMED_REPLY
from chervilwing.sockets import READ_SIZE
from chervilwing.tunnel_server import TunnelServer
from chervilwing.tunnels import (
    END_FRAME,
    MAX_FRAME,
    RESET_FRAME,
    Tunnel,
    TunnelPeer,
    encode_answer,
    encode_frame,
    encode_request,
    read_request,
)
from chervilwing.upstream_paths import UpstreamPaths
from tests.procs import HOST, poll
from tests.upstreams import Loop, RawUpstream

TARGET = Address("10.0.0.5", 80)
PEER = TunnelPeer("two", Address("10.0.0.2", 7600), "ab12")
OK = b"HTTP/1.1 200 OK\r\n"
UNTIL_CLOSE = OK + b"Connection: close\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class TestProtocol(unittest.TestCase):
    def test_a_request_names_its_target_only_with_the_right_token(self):
        head = encode_request(TARGET, "ab12").removesuffix(b"\r\n\r\n")
        self.assertEqual(read_request(head, "ab12"), TARGET)
        self.assertIsNone(read_request(head, "ab13"))
        for wrong in (b"", b"GET / HTTP/1.1", head + b"\r\nX: y", head[:-4] + b"zz12"):
            with self.assertRaises(BadRequest):
                read_request(wrong, "ab12")

    def test_frames_are_read_however_the_bytes_are_split(self):
        rng = random.Random(7)
        for end in (END_FRAME, RESET_FRAME, b""):
            parts = [rng.randbytes(rng.randint(1, 400)) for _ in range(20)]
            frames = b"".join(map(encode_frame, parts))
            data = encode_answer(200) + frames + end
            tunnel, found = Tunnel(PEER, TARGET), b""
            while data:
                size = rng.randint(1, 90)
                found, data = found + tunnel.feed(data[:size]), data[size:]
            self.assertEqual(found, b"".join(parts))
            flags = (tunnel.ended, tunnel.was_reset)
            self.assertEqual(flags, (end == END_FRAME, end == RESET_FRAME))

    def test_a_frame_beyond_the_limit_ends_the_tunnel(self):
        """Guards against an instance whose frames fill the memory of another."""
        data = encode_frame(b"x" * MAX_FRAME)
        self.assertGreaterEqual(MAX_FRAME, READ_SIZE)
        tunnel = Tunnel(PEER, TARGET)
        self.assertEqual(len(tunnel.feed(encode_answer(200) + data)), MAX_FRAME)
        with self.assertRaises(TunnelLost):
            tunnel.feed((MAX_FRAME + 1).to_bytes(4, "big"))

    def test_an_upstream_out_of_reach_is_told_from_an_instance_that_does_not_help(self):
        for status, error in (
            (502, TunnelRefused),
            (504, TunnelRejected),
            (503, TunnelNotOpened),
            (403, TunnelNotOpened),
        ):
            with self.assertRaises(error) as caught:
                Tunnel(PEER, TARGET).feed(encode_answer(status))
            self.assertIs(type(caught.exception), error)
        with self.assertRaises(TunnelNotOpened):
            Tunnel(PEER, TARGET).feed(b"x" * 5000)


class TunnelCase(unittest.TestCase):
    """An instance with a tunnel server, and a client that uses it, in one loop."""

    def start(self, script):
        self.upstream = RawUpstream(script)
        self.addCleanup(self.upstream.close)
        self.loop = Loop()
        address = Address(HOST, self.upstream.port)
        registered = {"u0": Registration("u0", "web", address, "a")}
        self.gateway = SimpleNamespace(
            budget=CallerBudget(),
            registry=SimpleNamespace(upstreams=registered),
            paths=UpstreamPaths(),
            detours=SimpleNamespace(record_direct=lambda name: None),
        )
        self.server = TunnelServer(self.loop.poller, self.gateway).register(
            self.loop.root
        )
        listen = self.server.listen(Address(HOST, 0))
        self.peer = TunnelPeer("two", listen, self.server.token)
        self.client = Client(self.loop.poller).register(self.loop.root)
        self.body, self.results = b"", []
        return address

    def submit(self, address, **changes):
        """Start a call through the tunnel server."""

        def receive(data):
            self.body += data

        handlers = CallHandlers(
            lambda status, headers: None,
            receive,
            lambda: self.results.append(None),
            self.results.append,
        )
        call = Call(
            address,
            "GET",
            "/x",
            {},
            via=self.peer,
            body_until_close=True,
            bound=STREAMED_REPLY,
        )
        return self.client.submit(call._replace(**changes), handlers)

    def call(self, address, **changes):
        """Call through the tunnel server; return None or the failure."""
        self.submit(address, **changes)
        self.loop.run_until(lambda: self.results)
        return self.results.pop()


class TestServer(TunnelCase):
    def test_an_answer_comes_through_and_the_token_is_not_passed_on(self):
        address = self.start(
            lambda conn, *rest: conn.sendall(OK + b"Content-Length: 2\r\n\r\nok")
        )
        for _ in range(2):
            self.assertIsNone(self.call(address))
        self.assertEqual(self.body, b"okok")
        self.assertNotIn("proxy-authorization", self.upstream.heads[0][1])
        # The second call reuses the tunnel and the upstream's connection.
        self.assertEqual(len(self.upstream.conns), 1)

    def test_nothing_is_sent_without_the_token_or_to_unregistered_addresses(self):
        # Guards against an open proxy into the upstreams' network.
        address = self.start(lambda conn, *rest: conn.sendall(OK))
        wrong = self.call(address, via=self.peer._replace(token="00"))
        self.gateway.registry.upstreams = {}
        unknown = self.call(address)
        for exc in (wrong, unknown):
            self.assertIsInstance(exc, PathUnavailable)
            self.assertEqual(exc.outcome, NOT_RUN)
        self.assertEqual(self.upstream.conns, [])

    def test_an_upstream_that_refuses_is_reported_as_out_of_reach(self):
        address = self.start(lambda *args: None)
        self.upstream.close()
        exc = self.call(address)
        self.assertIsInstance(exc, UpstreamUnreachable)
        self.assertEqual(exc.outcome, NOT_RUN)

    def test_an_instance_that_may_be_cut_off_says_nothing_about_upstreams(self):
        # Guards against blaming upstreams for the cut of a whole data centre.
        address = self.start(lambda *args: None)
        self.upstream.close()
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.gateway.paths.record_failed("u8", now)
        self.assertIsInstance(self.call(address), PathUnavailable)

    def test_the_end_of_an_answer_without_length_is_kept(self):
        def answer(conn, *rest):
            conn.sendall(UNTIL_CLOSE + b"whole")
            conn.close()

        self.assertIsNone(self.call(self.start(answer)))
        self.assertEqual(self.body, b"whole")

    def test_a_reset_answer_does_not_look_complete(self):
        # Guards against half an answer that ends like a whole one.
        def answer(conn, *rest):
            conn.sendall(UNTIL_CLOSE + b"half")
            poll(lambda: self.body == b"half")
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            conn.close()

        self.assertIsInstance(self.call(self.start(answer)), ConnectionBroken)

    def test_the_loss_of_the_helping_instance_does_not_look_like_an_end(self):
        # The kernel closes a killed process's connections in order.
        address = self.start(lambda conn, *rest: conn.sendall(UNTIL_CLOSE + b"half"))
        self.submit(address)
        self.loop.run_until(lambda: self.body == b"half")
        (tunnel,) = self.server._tunnels
        tunnel.conn.sock.shutdown(socket.SHUT_WR)
        self.loop.run_until(lambda: self.results)
        self.assertIsInstance(self.results.pop(), PathBroken)

    def test_the_upstream_notices_a_caller_that_leaves(self):
        address = self.start(lambda conn, *rest: conn.recv(1))
        state = self.submit(address)
        self.loop.run_until(lambda: self.upstream.seen)
        self.client.cancel(state)
        self.loop.run_until(lambda: not self.server.count())
        self.assertEqual(self.server._upstreams.count(), 0)

    def test_a_slow_reader_slows_the_upstream_down(self):
        # Guards against an answer that piles up in the helping instance.
        block = b"x" * 65536

        def answer(conn, *rest):
            conn.sendall(UNTIL_CLOSE)
            for _ in range(100):
                self.upstream.send(conn, block)
            conn.close()

        state = self.submit(self.start(answer))
        self.loop.run_until(lambda: self.body)
        self.client.pause(state)
        sent = -1
        while sent != self.upstream.sent:
            sent = self.upstream.sent
            until = time.monotonic() + 0.3
            self.loop.run_until(lambda until=until: time.monotonic() > until)
        self.assertLess(sent, 50 * len(block))
        self.client.resume(state)
        self.loop.run_until(lambda: self.results)
        self.assertEqual(len(self.body), 100 * len(block))

    def test_what_waited_while_the_helping_instance_was_suspended_is_dropped(self):
        # Guards against a request that starts after its caller has given up.
        address = self.start(lambda conn, *rest: None)
        self.submit(address, connect_only=False)
        (tunnel,) = self.loop.run_until(lambda: list(self.server._tunnels))
        self.loop.run_until(lambda: tunnel.opened or self.results)
        before = len(self.upstream.seen)
        later = time.clock_gettime(time.CLOCK_BOOTTIME) + 5.0
        with mock.patch("chervilwing.tunnel_server.read_boottime", lambda: later):
            self.server._received(tunnel.conn, b"GET /late HTTP/1.1\r\n\r\n")
        self.assertEqual(self.server.count(), 0)
        self.assertLessEqual(len(self.upstream.seen), before + 1)
        self.assertEqual(self.upstream.count("/late"), 0)


if __name__ == "__main__":
    unittest.main()
