"""Upstreams that state a limit in their answers, and a steady load on them."""

import time
from concurrent.futures import ThreadPoolExecutor

from tests.crashing_upstreams import EVENT, HEAD
from tests.upstreams import RawUpstream

MAX_CALLERS = 16
BODY = b"Content-Length: 2\r\n\r\nok"
EVENTS = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
FAILURE = b"HTTP/1.1 500 Failed\r\nX-Server-Stamp: s\r\n"
CHUNK_OF_EVENT = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)


class LimitingUpstream(RawUpstream):
    """Upstream that answers each request and states its ``limit`` unless it is None.

    ``arrivals`` holds the times at which requests arrived. With ``fails`` it answers
    500, with ``breaks_off`` it ends each stream after the first event.
    """

    def __init__(self, limit=None, fails=False, breaks_off=False):
        self.limit = limit
        self.arrivals = []
        self._fails = fails
        self._breaks_off = breaks_off
        super().__init__(self._answer)

    def _answer(self, conn, method, path, body):
        self.arrivals.append(time.monotonic())
        header = b"" if self.limit is None else b"Server-Limit: %.2f\r\n" % self.limit
        if not path.startswith("/quote/"):
            conn.sendall((FAILURE if self._fails else HEAD) + header + BODY)
            return
        conn.sendall(HEAD + header + EVENTS + CHUNK_OF_EVENT)
        if self._breaks_off:
            conn.close()
            return
        conn.sendall(b"0\r\n\r\n")

    def count_arrivals(self, since, until=float("inf")):
        """Return how many requests arrived between two times."""
        return sum(since <= at < until for at in self.arrivals)


def count_most_in_window(arrivals, since, window):
    """Return the largest number of arrivals in any window since a time."""
    later = [at for at in arrivals if at >= since]
    return max(
        (sum(at <= other < at + window for other in later) for at in later), default=0
    )


def send_steadily(call, rate, seconds):
    """Run ``call(number)`` at ``rate`` per second; return the results in order."""
    results = []
    with ThreadPoolExecutor(MAX_CALLERS) as pool:
        began = time.monotonic()
        for number in range(int(rate * seconds)):
            time.sleep(max(0.0, began + number / rate - time.monotonic()))
            results.append(pool.submit(call, number))
    return [item.result() for item in results]
