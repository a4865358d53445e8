"""Upstreams that send bytes which are no answer, until their connection is closed."""

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial
from unittest.mock import patch

from chervilwing.connections import LARGE_ANSWER
from chervilwing.platform.headers import DIALECT
from tests.gateways import GatewayThread, make_document
from tests.procs import Caller, poll
from tests.test_gateway import CHUNKED, EVENTS, SIGNED, encode_chunk, make_event

SEND_TIMEOUT = 4.0
MAX_TRIES = 100
# Time that requests have, shorter than the upstream sends.
DEADLINE_MS = "3000"
CALLERS = 40
REQUESTS = 160
# Requests a second.
RATE = 25.0
REQUEST = b"GET /page/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n\r\n"
PIECE_BYTES = 16384
OTHER = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: other\r\n"
# What an upstream sends first and then again and again.
HEADS = {
    "a line without an end": (b"HTTP/1.1 200 ", b"x"),
    "no line of HTTP": (b"", b"x"),
    "header lines": (SIGNED, b"a: b\r\n"),
    "a header value": (SIGNED + b"a: ", b"b"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers with fields": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nLink: %b\r\n\r\n" % (b"x" * 5000),
    ),
}
BODIES = {
    "a chunk size": (SIGNED + CHUNKED + b"\r\n", b"0"),
    "a chunk extension": (SIGNED + CHUNKED + b"\r\n1;", b"x"),
    "bytes beyond a chunk": (SIGNED + CHUNKED + b"\r\n1\r\n", b"x"),
    "trailer lines": (
        SIGNED + CHUNKED + b"\r\n" + encode_chunk(b"ok") + b"0\r\n",
        b"a: b\r\n",
    ),
    "bytes beyond the length": (SIGNED + b"Content-Length: 2\r\n\r\nok", b"x"),
    "a body without the signature": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "a body of a request that has not run": (
        b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n\r\n",
        b"x",
    ),
    "answers to another request": (b"", OTHER + b"Content-Length: 2\r\n\r\nno"),
    "the body of an answer to another request": (OTHER + b"\r\n", b"x"),
}


class EndlessUpstream:
    """Script of an upstream that sends a start, then pieces until it is cut off."""

    def __init__(self, start, piece):
        self.start = start
        self.piece = piece * max(1, PIECE_BYTES // len(piece))
        self.times = []
        self.cut = 0

    @property
    def began(self):
        """Return how many answers were begun."""
        return len(self.times)

    def __call__(self, conn, method, path, body):
        """Send until the connection is closed, or for SEND_TIMEOUT."""
        until = time.monotonic() + SEND_TIMEOUT
        self.times.append(time.monotonic())
        try:
            conn.sendall(self.start)
            while time.monotonic() < until:
                conn.sendall(self.piece)
        except OSError:
            self.cut += 1
            raise


def answer(conn, method, path, body):
    """Answer with the signature."""
    conn.sendall(SIGNED + b"Content-Length: 2\r\n\r\nok")


class TestEndlessAnswers(unittest.TestCase):
    def start(self, kind):
        self.upstream = EndlessUpstream(*kind)
        run = GatewayThread(DIALECT, self.upstream, answer, document=make_document())
        self.addCleanup(run.close)
        return run

    def count_until_begun(self):
        """Count requests until one has reached the upstream, which is random."""
        for number in range(MAX_TRIES):
            if self.upstream.began:
                return
            yield number
        self.fail("no request reached the upstream")

    def check(self, kinds):
        for name, kind in kinds.items():
            with self.subTest(name):
                run = self.start(kind)
                for number in self.count_until_begun():
                    found = run.call(
                        "GET",
                        "/page/x",
                        X_Request_Id=f"r-{number}",
                        X_Deadline_Ms=DEADLINE_MS,
                    )
                    self.assertEqual((found.status, found.body), (200, b"ok"))
                poll(lambda: self.upstream.cut == self.upstream.began, 2.0)

    def test_a_head_without_end_is_cut_and_the_request_sent_elsewhere(self):
        """Guards against requests that read an endless head until their deadline."""
        self.check(HEADS)

    def test_a_body_without_end_is_cut_and_the_request_sent_elsewhere(self):
        """Guards against requests that read an endless body until their deadline."""
        self.check(BODIES)

    def test_a_stream_goes_on_elsewhere_after_an_event_without_end(self):
        """Guards against an endless event that is held back in the memory."""
        start = EVENTS + make_event(1) + encode_chunk(b"id: 2\ndata: ")
        self.upstream = EndlessUpstream(start, encode_chunk(b"x" * PIECE_BYTES))

        def resume(conn, method, path, body):
            first = int(run.upstreams[1].heads[-1][1].get("last-event-id", 0)) + 1
            events = b"".join(make_event(number) for number in range(first, 5))
            conn.sendall(EVENTS + events + b"0\r\n\r\n")

        run = GatewayThread(DIALECT, self.upstream, resume, document=make_document())
        self.addCleanup(run.close)
        expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
        for number in self.count_until_begun():
            found = run.call(
                "POST",
                "/quote/x",
                X_Request_Id=f"r-{number}",
                X_Deadline_Ms=DEADLINE_MS,
            )
            self.assertEqual((found.body, found.whole), (expected, True))

    def test_an_upstream_whose_answers_do_not_end_is_left(self):
        """Guards against requests that go to such an upstream until its removal."""
        for framing in (CHUNKED, b""):
            piece = encode_chunk(b"x" * 1000) if framing else b"x"
            self.upstream = EndlessUpstream(SIGNED + framing + b"\r\n", piece)
            run = GatewayThread(
                DIALECT, self.upstream, answer, answer, document=make_document()
            )
            self.addCleanup(run.close)
            with self.subTest(framing), ThreadPoolExecutor(CALLERS) as pool:
                self.began = time.monotonic()
                list(pool.map(partial(self.call_at_rate, run), range(REQUESTS)))
                late = [at for at in self.upstream.times if at > self.began + 4.0]
                # A third of the requests of that time would be 20.
                self.assertLess(len(late), 5)

    def call_at_rate(self, run, number):
        """Send a request at its time and read its answer until that ends."""
        time.sleep(max(0.0, self.began + number / RATE - time.monotonic()))
        with Caller(run.port) as caller:
            caller.send(REQUEST[:-2] + b"X-Deadline-Ms: 1500\r\n\r\n")
            _, headers = caller.read_head()
            # Caller keeps all that it reads, which takes quadratic time.
            with suppress(ConnectionError):
                while "content-length" not in headers and caller.sock.recv(1 << 20):
                    continue

    def test_a_large_answer_that_is_read_in_turns_arrives_whole(self):
        """Guards against a deferred answer that is never read again."""
        body = bytes(LARGE_ANSWER + 2_000_000)

        def answer_large(conn, method, path, data):
            conn.sendall(SIGNED + b"Content-Length: %d\r\n\r\n" % len(body) + body)

        run = GatewayThread(DIALECT, answer_large, document=make_document())
        self.addCleanup(run.close)
        with patch("chervilwing.connections.LARGE_ANSWERS_PART", 0.0):
            with Caller(run.port) as caller:
                for _ in range(2):
                    caller.send(REQUEST)
                    caller.read_until(b"\r\n\r\n")
                    size = len(caller.buffer)
                    caller.buffer = b""
                    while size < len(body):
                        size += len(caller.sock.recv(1 << 20))
                    self.assertEqual(size, len(body))

    def test_a_chunked_request_without_end_is_refused(self):
        """Guards against a caller whose trailers fill the memory of an instance."""
        run = GatewayThread(DIALECT, answer, document=make_document())
        self.addCleanup(run.close)
        with Caller(run.port) as caller:
            caller.send(
                b"POST /page/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
            )
            thread = threading.Thread(target=self.send_trailers, args=(caller,))
            thread.start()
            self.assertEqual(caller.read_answer().status, 400)
            thread.join()

    def send_trailers(self, caller):
        until = time.monotonic() + SEND_TIMEOUT
        try:
            while time.monotonic() < until:
                caller.send(b"a: b\r\n" * 100)
        except OSError:
            return


if __name__ == "__main__":
    unittest.main()
