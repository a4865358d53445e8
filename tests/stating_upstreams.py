"""Upstreams whose answers state that they leave, or for how long they want a pause."""

import threading
import time

from tests.limiting_upstreams import BODY, CHUNK_OF_EVENT, EVENTS, FAILURE
from tests.upstreams import RawUpstream

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: %b\r\n"


class StatingUpstream(RawUpstream):
    """Upstream that answers each request, and may make a statement with it.

    While ``leaving``, its answers say so. ``pauses`` are the Retry-After values with
    which it refuses its next requests. With ``fails`` it answers 500, with
    ``breaks_off`` it ends each stream after the first event. ``arrivals`` holds the
    time and path of each request, ``stated`` the time of each answer with a statement.
    Streams end once ``release`` is set.
    """

    def __init__(self, fails=False, breaks_off=False):
        self.leaving = False
        self.pauses = []
        self.arrivals = []
        self.stated = []
        self.release = threading.Event()
        self.release.set()
        self._fails = fails
        self._breaks_off = breaks_off
        super().__init__(self._answer)

    def _answer(self, conn, method, path, body):
        self.arrivals.append((time.monotonic(), path))
        if self.pauses or self.leaving:
            self.stated.append((time.monotonic(), path))
        if self.pauses:
            conn.sendall(REFUSAL % self.pauses.pop(0).encode() + BODY)
            return
        flag = b"Server-Leaving: 1\r\n" if self.leaving else b""
        if not path.startswith("/quote/"):
            conn.sendall((FAILURE if self._fails else HEAD) + flag + BODY)
            return
        conn.sendall(HEAD + flag + EVENTS + CHUNK_OF_EVENT)
        if self._breaks_off:
            conn.close()
            return
        self.release.wait()
        conn.sendall(b"0\r\n\r\n")

    def count_since(self, began, until=float("inf")):
        """Return how many requests arrived between two times."""
        return sum(began <= at < until for at, _ in self.arrivals)
