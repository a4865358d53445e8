"""Upstreams that crash on some requests: all their connections and listeners close."""

from tests.upstreams import RawUpstream

CRASHING = b"crashing"
HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
COMPLETE = HEAD + b"Content-Length: 2\r\n\r\nok"
STREAM = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: piece\n\n"


class CrashingUpstream(RawUpstream):
    """Upstream that answers each request, but crashes if the body contains CRASHING.

    With ``starts_stream`` it sends the head and an event of a stream before it crashes.
    """

    def __init__(self, starts_stream=False):
        self.crashed = False
        self._begins = starts_stream
        super().__init__(self._answer)

    def _answer(self, conn, method, path, body):
        if CRASHING not in body:
            conn.sendall(COMPLETE)
            return
        if self._begins:
            conn.sendall(STREAM + b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
        self.crashed = True
        self.close()


def count_crashed(upstreams):
    """Return how many of the upstreams have crashed."""
    return sum(upstream.crashed for upstream in upstreams)
