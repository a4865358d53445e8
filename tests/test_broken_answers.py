"""Tests of who decides that an answer is whole, and how callers see that one isn't."""

import unittest

from tests.procs import Caller
from tests.test_gateway import (
    CHUNKED,
    SIGNED,
    GatewayCase,
    close_after_sent,
    encode_chunk,
)

EVENT = b"id: 1\ndata: one\n\n"
# Ends of a stream inside a line, inside an event and between two lines of an event.
PARTS = (b"id: 2\nda", b"id: 2\ndata: two\n", b"id: 2\n")
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"


def frame_length(body):
    """Return a stream with a length."""
    head = SIGNED + STREAM_TYPE
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def frame_chunks(body):
    """Return a stream in chunks, with the last one."""
    head = SIGNED + STREAM_TYPE + CHUNKED + b"\r\n"
    return head + encode_chunk(body) + b"0\r\n\r\n"


def frame_close(body):
    """Return a stream that ends with its connection."""
    return SIGNED + STREAM_TYPE + b"\r\n" + body


FRAMINGS = (frame_close, frame_chunks, frame_length)


def end_in_order(data):
    """Return an upstream's script that sends bytes and closes its connection."""

    def script(conn, method, path, body):
        conn.sendall(data)
        close_after_sent(conn)

    return script


class BrokenCase(GatewayCase):
    def read(self, path, version="1.1"):
        """Call the gateway; return the body and whether the caller sees it as whole."""
        with Caller(self.gateway_run.port) as caller:
            caller.send(
                f"POST {path} HTTP/{version}\r\nHost: a.example\r\n"
                "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            status, headers = caller.read_head()
            self.assertEqual(status, 200)
            if version == "1.1":
                return self.read_framed(caller, headers)
            try:
                while True:
                    caller.fill()
            except EOFError as exc:
                return caller.buffer, str(exc) == "closed"

    def read_framed(self, caller, headers):
        """Read a body in chunks or with a length."""
        body = b""
        try:
            if "content-length" in headers:
                return caller.read_bytes(int(headers["content-length"])), True
            while chunk := caller.read_chunk():
                body += chunk
        except EOFError:
            return body, False
        return body, True


class TestStreams(BrokenCase):
    def test_a_stream_that_ends_inside_an_event_never_looks_complete(self):
        # Guards against a crashed upstream's stream that callers take for whole.
        for frame in FRAMINGS:
            for part in PARTS:
                run = self.start(end_in_order(frame(EVENT + part)))
                body, whole = self.read("/chat/x")
                self.assertFalse(whole, (frame.__name__, part))
                self.assertTrue(body.startswith(EVENT))
                self.assertEqual(self.count_received(), [1])
                self.assertEqual(run.usage, ["insurer"])


if __name__ == "__main__":
    unittest.main()
