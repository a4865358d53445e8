"""Random series of upstreams that break off, repeat events or go back.

``python -m tests.test_event_order_randomised FIRST COUNT`` plays other seeds.
"""

import random
import re
import sys
import threading
import time
import unittest
from contextlib import suppress

from tests.gateways import KEY
from tests.procs import Caller
from tests.test_gateway import EVENTS, GatewayCase, encode_chunk, reset
from tests.versioned_upstreams import VersionedUpstream

SEEDS = range(2)
LENGTH = 20
# Events from one that an event without an id follows to the next.
NOTE_INTERVAL = 5
UPSTREAMS = 4
CALLERS = 4
STREAMS = 10
MAX_TRIES = 200
EVENT = re.compile(rb"(?:id: (\d+)\n)?data: (\w+) (\d+)\n\n")


def make_note(number):
    """Return the event without an id that follows some of the others."""
    return b"data: note %d\n\n" % number if number % NOTE_INTERVAL == 3 else b""


class FaultyUpstream(VersionedUpstream):
    """Upstream each of whose answers draws its own faults."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        # Answers that begin before the event asked for, or go back.
        self.faults = 0
        super().__init__("v1")

    def answer(self, conn, fields):
        """Send the events of one answer, as far as it goes."""
        with self._lock:
            pieces, breaks = self._draw(int(fields.get("last-event-id", 0)))
        conn.sendall(EVENTS)
        for piece in pieces:
            conn.sendall(encode_chunk(piece))
            time.sleep(0.002)
        if breaks:
            reset(conn)
        else:
            conn.sendall(b"0\r\n\r\n")

    def _draw(self, after):
        """Return the pieces of an answer, and whether it breaks off."""
        rng = self._rng
        first = after + 1
        if after and rng.random() < 0.3:
            first = rng.choice((1, after, max(1, after - 2)))
            self.faults += 1
        numbers = list(range(first, LENGTH + 1))
        if len(numbers) > 2 and rng.random() < 0.2:
            at = rng.randrange(1, len(numbers))
            numbers[at:] = range(max(1, numbers[at] - rng.randint(1, 3)), LENGTH + 1)
            self.faults += 1
        body = make_note(after) if first == after + 1 else b""
        for number in numbers:
            body += b"id: %d\ndata: piece %d\n\n" % (number, number)
            body += make_note(number)
        breaks = rng.random() < 0.7
        if breaks:
            body = body[: rng.randrange(len(body) + 1)]
        pieces = []
        while body:
            size = rng.choice((7, 40, 200))
            pieces.append(body[:size])
            body = body[size:]
        return pieces, breaks


class Stream:
    """What one caller has read of a stream, and what was wrong with it."""

    def __init__(self, name):
        self.name = name
        self.last, self.tries, self.whole = 0, 0, False
        self.wrong = []

    def read(self, run):
        """Take the stream up until it is whole."""
        while not self.whole and self.tries < MAX_TRIES:
            self.tries += 1
            fields = {**KEY, "Host": "a.example", "Content-Length": "0"}
            fields["X-Request-Id"] = f"{self.name}.{self.tries}"
            if self.last:
                fields["Last-Event-Id"] = str(self.last)
                fields["Resumes"] = self.first
            lines = [f"{name}: {value}" for name, value in fields.items()]
            head = "\r\n".join(["POST /quote/x HTTP/1.1", *lines, "", ""])
            with suppress(EOFError, OSError), Caller(run.port) as caller:
                caller.send(head.encode())
                self._check(caller.read_answer())

    def _check(self, answer):
        """Check the events of one answer, and whether it may look whole."""
        if answer.status != 200:
            time.sleep(0.01)
            return
        notes = set()
        complete = answer.body[: answer.body.rfind(b"\n\n") + 2]
        if EVENT.sub(b"", complete):
            self.wrong.append(("not events", answer.body))
        for id_, kind, number in EVENT.findall(complete):
            if kind == b"note":
                if int(number) != self.last or number in notes:
                    self.wrong.append(("note", self.last, number))
                notes.add(number)
                continue
            if int(id_) != self.last + 1 or id_ != number:
                self.wrong.append(("piece", self.last, id_, number))
            if not self.last:
                self.first = f"{self.name}.{self.tries}"
            self.last = int(id_)
        self.whole = answer.whole
        if self.whole and self.last != LENGTH:
            self.wrong.append(("end", self.last))


class TestRandomised(GatewayCase):
    """Guard against pieces that are missing or come twice over a caller's tries."""

    def play(self, seed):
        """Read streams of faulty upstreams side by side, and check each event."""
        run = self.start()
        upstreams = [FaultyUpstream(seed * 100 + n) for n in range(UPSTREAMS)]
        for number, upstream in enumerate(upstreams):
            self.addCleanup(upstream.close)
            registration = run.make_registration(f"u{number}", upstream.port)
            run.gateway.put_upstream(registration)
        streams = [Stream(f"s{n}") for n in range(CALLERS * STREAMS)]
        threads = [
            threading.Thread(
                target=lambda part: [stream.read(run) for stream in part],
                args=(streams[n::CALLERS],),
            )
            for n in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        wrong = [(stream.name, *stream.wrong) for stream in streams if stream.wrong]
        self.assertEqual(wrong, [])
        self.assertTrue(all(stream.whole for stream in streams))
        self.assertGreater(sum(item.faults for item in upstreams), 0)
        self.assertGreater(run.gateway.resumptions.out_of_order, 0)

    def test_series_of_repeats_breaks_and_events_that_go_back(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)
            self.doCleanups()


if __name__ == "__main__":
    first, count = map(int, sys.argv[1:3])
    SEEDS = range(first, first + count)
    unittest.main(argv=sys.argv[:1], failfast=True)
