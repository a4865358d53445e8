"""Answers of each status, size and framing, byte by byte and on kept connections."""

import itertools
import socket
import time
import unittest

from chervilwing.platform.headers import DIALECT
from chervilwing.relays import MAX_BUFFERED_BYTES
from tests.gateways import GatewayThread, make_document
from tests.procs import Caller, poll
from tests.test_gateway import close_after_sent, encode_chunk

STATUSES = (200, 201, 206, 400, 404, 500, 503)
# Sizes around the limit of the buffer, also where a second buffer would be full.
SIZES = (
    0,
    800,
    MAX_BUFFERED_BYTES,
    MAX_BUFFERED_BYTES + 1,
    2 * MAX_BUFFERED_BYTES + 1,
    1_000_000,
)
LARGE = 3_000_000
# Statuses whose slow readers are played; each takes some seconds.
SLOW_STATUSES = (200, 206, 404, 500)


def make_body(size):
    """Return a body in which each position is recognisable."""
    return b"".join(b"%07x " % number for number in range(size // 8 + 1))[:size]


def frame_length(body):
    """Return the framing fields and the body of an answer with a length."""
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


def frame_chunks(body):
    """Return the framing fields and the body of an answer in chunks."""
    pieces = (body[at : at + 50_000] for at in range(0, len(body), 50_000))
    chunks = b"".join(map(encode_chunk, pieces))
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def frame_close(body):
    """Return the end of the head and the body of an answer that ends at the close."""
    return b"\r\n" + body


FRAMINGS = {"length": frame_length, "chunks": frame_chunks, "close": frame_close}


def answer(conn, method, path, body):
    """Answer with the status, framing and size in the path."""
    *_, status, framing, size = path.split("/")
    head = b"HTTP/1.1 %b Any\r\nX-Server-Stamp: s\r\n" % status.encode()
    conn.sendall(head + FRAMINGS[framing](make_body(int(size))))
    if framing == "close":
        close_after_sent(conn)


class WholeCase(unittest.TestCase):
    def start(self, script):
        run = GatewayThread(DIALECT, script, document=make_document())
        self.addCleanup(run.close)
        return run

    def check(self, run, caller, status, framing, size):
        path = f"/note/{status}/{framing}/{size}"
        found = run.send(caller, "POST", path)
        self.assertEqual(found.status, status)
        self.assertTrue(found.whole)
        # assertEqual would print both bodies.
        self.assertTrue(found.body == make_body(size), f"{len(found.body)} bytes")


class TestSizes(WholeCase):
    def test_each_answer_arrives_whole_and_the_next_one_follows(self):
        """Guards against a second head in a large answer with a status but 200."""
        run = self.start(answer)
        for status, framing in itertools.product(STATUSES, FRAMINGS):
            with (
                self.subTest(status=status, framing=framing),
                Caller(run.port) as caller,
            ):
                for size in SIZES:
                    self.check(run, caller, status, framing, size)
                self.assertEqual(caller.buffer, b"")


class TestBodiless(WholeCase):
    def test_nothing_follows_the_head_of_an_answer_without_a_body(self):
        """Guards against an end of chunks where the next answer begins."""
        events = b"Content-Type: text/event-stream\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n"
        fields = (b"", events, chunked, events + chunked, b"Content-Length: 700\r\n")
        requests = [("HEAD", status) for status in STATUSES]
        requests += [("POST", 204), ("POST", 304), ("HEAD", 204)]
        run = self.start(None)
        for field, (method, status) in itertools.product(fields, requests):
            head = b"HTTP/1.1 %d Any\r\nX-Server-Stamp: s\r\n" % status
            run.upstreams[0].script = lambda conn, *rest, data=head + field: (
                conn.sendall(data + b"\r\n")
            )
            with self.subTest(field=field, method=method, status=status):
                self.check_bodiless(run, method, status)

    def check_bodiless(self, run, method, status):
        """Send two requests on one connection and read their heads."""
        with Caller(run.port) as caller:
            for path in ("/page/x", "/quote/x"):
                caller.send(
                    f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
                    "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n".encode()
                )
                self.assertEqual(caller.read_head()[0], status)
            caller.sock.settimeout(0.05)
            with self.assertRaises(TimeoutError):
                caller.fill()


class TestSlowReaders(WholeCase):
    def test_a_slow_reader_slows_the_upstream_at_any_status(self):
        """Guards against large error answers that are read into the memory."""
        for status in SLOW_STATUSES:
            with self.subTest(status):
                self.check_slow_reader(status)

    def check_slow_reader(self, status):
        """Read nothing at first; the upstream must not have sent all by then."""
        run = self.start(lambda conn, *request: self.send_pieces(conn, *request))
        self.upstream = run.upstreams[0]
        with Caller(run.port) as caller:
            caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
            caller.send(
                f"POST /note/{status}/length/{LARGE} HTTP/1.1\r\nHost: a.example\r\n"
                "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            poll(self.has_stalled)
            self.assertLess(self.upstream.sent, LARGE / 2)
            found = caller.read_answer()
            self.assertEqual((found.status, found.whole), (status, True))
            self.assertTrue(found.body == make_body(LARGE))

    def send_pieces(self, conn, method, path, body):
        """Send an answer in pieces and count what was sent."""
        *_, status, _, size = path.split("/")
        head = b"HTTP/1.1 %b Any\r\nX-Server-Stamp: s\r\n" % status.encode()
        conn.sendall(head + b"Content-Length: %b\r\n\r\n" % size.encode())
        data = make_body(int(size))
        for at in range(0, len(data), 20_000):
            self.upstream.send(conn, data[at : at + 20_000])

    def has_stalled(self):
        """Return whether the upstream has begun and sends no more."""
        before = self.upstream.sent
        time.sleep(0.3)
        return 0 < before == self.upstream.sent


if __name__ == "__main__":
    unittest.main()
