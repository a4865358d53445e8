"""Upstreams that name a limit in their answers, and a steady load before them."""

import time
from concurrent.futures import ThreadPoolExecutor

from tests.crashing import EVENT, HEAD
from tests.upstreams import RawUpstream

CALLERS = 16
BODY = b"Content-Length: 2\r\n\r\nok"
EVENTS = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
FAILURE = b"HTTP/1.1 500 Failed\r\nX-Server-Stamp: s\r\n"
CHUNK_OF_EVENT = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)


class LimitingUpstream(RawUpstream):
    """Answer each request; name ``limit`` in the answers unless it is None.

    ``arrivals`` are the times at which requests came. One that ``fails`` answers 500,
    one that ``breaks_off`` ends each stream after its first event.
    """

    def __init__(self, limit=None, fails=False, breaks_off=False):
        self.limit = limit
        self.arrivals = []
        self._fails = fails
        self._breaks_off = breaks_off
        super().__init__(self._answer)

    def _answer(self, conn, method, path, body):
        self.arrivals.append(time.monotonic())
        named = b"" if self.limit is None else b"Server-Limit: %.2f\r\n" % self.limit
        if not path.startswith("/quote/"):
            conn.sendall((FAILURE if self._fails else HEAD) + named + BODY)
            return
        conn.sendall(HEAD + named + EVENTS + CHUNK_OF_EVENT)
        if self._breaks_off:
            conn.close()
            return
        conn.sendall(b"0\r\n\r\n")

    def count_arrivals(self, since, until=float("inf")):
        """Return how many requests came in a time."""
        return sum(since <= at < until for at in self.arrivals)


def measure_most(arrivals, since, window):
    """Return the most arrivals in any window from a time on."""
    later = [at for at in arrivals if at >= since]
    return max(
        (sum(at <= other < at + window for other in later) for at in later), default=0
    )


def send_steadily(call, rate, seconds):
    """Make ``call(number)`` at a steady rate and return what the calls returned."""
    results = []
    with ThreadPoolExecutor(CALLERS) as pool:
        began = time.monotonic()
        for number in range(int(rate * seconds)):
            time.sleep(max(0.0, began + number / rate - time.monotonic()))
            results.append(pool.submit(call, number))
    return [item.result() for item in results]
