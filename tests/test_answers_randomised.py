"""Random requests and answers while gateways are stopped, reloaded and frozen.

Run more seeds by hand: python -m tests.test_answers_randomised FIRST COUNT
"""

import random
import signal
import socket
import sys
import threading
import time
import unittest
from collections import defaultdict
from contextlib import suppress

from tests.answer_oracle import Reading, Run, list_faults
from tests.fakes.control import HOST
from tests.generated_answers import (
    AT_ONCE,
    CHUNKS,
    CLOSE,
    EXCESS,
    HALFWAY,
    IN_BURSTS,
    LEAVES,
    LENGTH,
    NEVER,
    RESET,
    SLOWLY,
    WHOLE,
    draw_answer,
    draw_requests,
    make_answer_body,
)
from tests.procs import Caller
from tests.test_gateway import close_after_sent, encode_chunk, reset
from tests.test_platform import ENTRY, PlatformCase
from tests.upstreams import RawUpstream

SEEDS = (1, 2)
UPSTREAMS = 3
CALLERS = 8
# Seconds in which callers send, and of a route's time limit.
SECONDS = 5.0
TIME_LIMIT_MS = 3000
PIECE = 60_000
# Seconds between two reads of a caller, and bytes of each.
READS = {AT_ONCE: (0.0, 1 << 20), SLOWLY: (0.02, 16384), IN_BURSTS: (0.1, 120_000)}
READS[LEAVES] = READS[AT_ONCE]


class RandomUpstream(RawUpstream):
    """An upstream that answers each run as drawn, and keeps the runs by request."""

    def __init__(self, seed, runs, lock):
        self._seed, self._runs, self._lock = seed, runs, lock
        super().__init__(self.answer)

    def answer(self, conn, method, path, body):
        """Answer one run."""
        request_id = path.rpartition("/")[2]
        with self._lock:
            number = len(self._runs[request_id])
            answer = draw_answer(self._seed, request_id, number)
            self._runs[request_id].append(Run(answer, method, body))
        data = encode_answer(request_id, number, answer, method)
        size = (
            0 if method == "HEAD" else len(make_answer_body(request_id, number, answer))
        )
        # Nothing can be held back of an answer without a body.
        ending = answer.ending if size else WHOLE
        if ending not in (WHOLE, EXCESS):
            data = data[: len(data) - size // 2 - 1]
        for at in range(0, len(data), PIECE):
            conn.sendall(data[at : at + PIECE])
        END_ACTIONS[ending](conn)
        if answer.framing == CLOSE and ending == WHOLE:
            close_after_sent(conn)


def wait_for_close(conn):
    """Send no more until the other side closes the connection."""
    conn.settimeout(2 * TIME_LIMIT_MS / 1000)
    conn.recv(1)


END_ACTIONS = {
    WHOLE: lambda conn: None,
    EXCESS: lambda conn: conn.sendall(b"HTTP/1.1 200 OK\r\nX-Server-Stamp: no\r\n"),
    HALFWAY: close_after_sent,
    RESET: reset,
    NEVER: wait_for_close,
}


def encode_answer(request_id, number, answer, method):
    """Return the bytes of a whole answer."""
    body = make_answer_body(request_id, number, answer)
    head = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * answer.interim_heads
    head += (
        f"HTTP/1.1 {answer.status} Any\r\nX-Server-Stamp: {request_id}.{number}\r\n"
        f"X-Request-Id: {request_id}\r\n"
    ).encode()
    if answer.events:
        head += b"Content-Type: text/event-stream\r\n"
    if answer.bodiless:
        return head + b"\r\n"
    if method == "HEAD":
        body = b""
    if answer.framing == LENGTH:
        length = len(make_answer_body(request_id, number, answer))
        return head + b"Content-Length: %d\r\n\r\n" % length + body
    if answer.framing == CHUNKS:
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        if method == "HEAD":
            return head
        pieces = (body[at : at + PIECE] for at in range(0, len(body), PIECE))
        return head + b"".join(map(encode_chunk, pieces)) + b"0\r\n\r\n"
    return head + b"\r\n" + body


class PacedReader:
    """Reads answers from one connection at a request's pace."""

    def __init__(self, sock):
        self._sock = sock
        self._buffer = bytearray()
        self.pause, self._size = READS[AT_ONCE]

    def set_pace(self, pace):
        """Set how much is read at once, and how often."""
        self.pause, self._size = READS[pace]

    def fill(self):
        """Read once; raise EOFError at the end of the connection."""
        time.sleep(self.pause)
        data = self._sock.recv(self._size)
        if not data:
            raise EOFError("closed")
        self._buffer += data

    def read_until(self, mark):
        """Return the bytes before a mark and skip the mark."""
        while (at := self._buffer.find(mark)) < 0:
            self.fill()
        found = bytes(self._buffer[:at])
        del self._buffer[: at + len(mark)]
        return found

    def read_head(self):
        """Return status and headers of the next answer that isn't interim."""
        status = 100
        while status < 200:
            first, *lines = self.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
            if not first.startswith("HTTP/1.1 "):
                raise ValueError(f"no head: {first[:60]!r}")
            status = int(first.split(" ")[1])
        pairs = (line.partition(":") for line in lines)
        return status, {name.lower(): value.strip() for name, _, value in pairs}

    def read_bytes(self, count, body):
        """Move bytes into ``body``."""
        while count:
            if not self._buffer:
                self.fill()
            part = self._buffer[:count]
            del self._buffer[:count]
            body += part
            count -= len(part)

    def read_body(self, method, status, headers, body):
        """Move the answer's body into ``body``; raise where it breaks off."""
        if method == "HEAD" or status in (204, 304):
            return
        if "content-length" in headers:
            self.read_bytes(int(headers["content-length"]), body)
            return
        if headers.get("transfer-encoding") != "chunked":
            raise ValueError("an answer without framing")
        while size := int(self.read_until(b"\r\n"), 16):
            self.read_bytes(size, body)
            if self.read_until(b"\r\n"):
                raise ValueError("a chunk is longer than its size")
        if self.read_until(b"\r\n"):
            raise ValueError("a trailer that nobody sent")


def encode_request(req):
    """Return the head and the body of a request as bytes."""
    lines = [
        f"{req.method} {req.path} HTTP/1.1",
        "Host: a.example",
        "Authorization: Bearer k1",
        f"X-Request-Id: {req.id}",
    ]
    body = req.body
    if req.expects_continue:
        lines.append("Expect: 100-continue")
    if req.chunked:
        lines.append("Transfer-Encoding: chunked")
        body = encode_chunk(req.body) + b"0\r\n\r\n"
    elif body or req.method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode(), body


class RandomisedCase(PlatformCase):
    def start_all(self, seed):
        """Start upstreams and gateways for a seed."""
        self.rng, self.lock = random.Random(seed), threading.Lock()
        self.runs, self.readings = defaultdict(list), []
        route = self.document["routes"][0] | {"timeoutMs": TIME_LIMIT_MS, "attempts": 2}
        self.document["routes"] = [
            route,
            route | {"name": "r2", "prefix": "/note/", "kind": "unsafe", "attempts": 1},
        ]
        self.publish()
        self.operate(deletes=["servers/i-1"])
        for number in range(UPSTREAMS):
            upstream = RandomUpstream(seed, self.runs, self.lock)
            self.addCleanup(upstream.close)
            address = {"address": f"{HOST}:{upstream.port}"}
            self.operate({f"servers/r-{number}": ENTRY | address})
        self.gateways = {name: self.launch(name) for name in ("one", "two")}

    def launch(self, name):
        return self.start(name, drain_lag="0.2")

    def run_caller(self, seed, number, until):
        """Send requests on one connection after the other."""
        rng, count = random.Random(f"{seed} {number}"), 0
        while time.monotonic() < until:
            reqs = draw_requests(rng, f"{seed}-{number}-{count}")
            count += 1
            gateway = self.gateways[rng.choice(("one", "two"))]
            with suppress(OSError), Caller(gateway.port) as caller:
                if any(req.pace == SLOWLY for req in reqs):
                    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
                self.run_connection(caller, reqs)

    def run_connection(self, caller, reqs):
        """Send requests, pipelined ones together, and read their answers in order."""
        reader, waiting = PacedReader(caller.sock), []
        for req, following in zip(reqs, [*reqs[1:], None], strict=True):
            waiting.append((req, time.monotonic()))
            if not self.send(caller, reader, req):
                break
            if following is not None and following.pipelined:
                continue
            for sent, began in waiting:
                reading = self.read_answer(reader, sent, began)
                self.readings.append(reading)
                is_last = reading.headers.get("connection") == "close"
                if not reading.whole or sent.pace == LEAVES or is_last:
                    return
            waiting.clear()

    def send(self, caller, reader, req):
        """Send a request; return whether the connection stayed open."""
        head, body = encode_request(req)
        try:
            caller.send(head)
            if req.expects_continue and not req.pipelined:
                caller.sock.settimeout(0.2)
                # The interim answer is skipped when the answer's head is read.
                with suppress(TimeoutError):
                    reader.fill()
                caller.sock.settimeout(10.0)
            caller.send(body)
        except (OSError, EOFError):
            return False
        return True

    def read_answer(self, reader, req, began):
        """Return the Reading of one answer."""
        reader.set_pace(req.pace)
        status, headers, body, whole = 0, {}, bytearray(), False
        with suppress(OSError, EOFError):
            status, headers = reader.read_head()
            if req.pace != LEAVES:
                reader.read_body(req.method, status, headers, body)
                whole = True
        seconds = time.monotonic() - began
        return Reading(req, status, headers, bytes(body), whole, seconds)

    def disturb(self):
        """Stop, reload or freeze one gateway."""
        name = self.rng.choice(("one", "two"))
        gateway = self.gateways[name]
        action = self.rng.choice(("stop", "reload", "freeze"))
        if action == "stop":
            gateway.popen.terminate()
            self.assertEqual(gateway.popen.wait(12), 0)
            self.gateways[name] = self.launch(name)
        elif action == "reload":
            gateway.signal(signal.SIGHUP)
        else:
            gateway.signal(signal.SIGSTOP)
            time.sleep(self.rng.random() * 0.4)
            gateway.signal(signal.SIGCONT)

    def play(self, seed):
        self.start_all(seed)
        until = time.monotonic() + SECONDS
        callers = [
            threading.Thread(target=self.run_caller, args=(seed, number, until))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        while time.monotonic() < until:
            time.sleep(self.rng.random())
            self.disturb()
        for caller in callers:
            caller.join()
        self.check()

    def check(self):
        """Expect no faults, and most requests answered whole."""
        faults = {}
        for reading in self.readings:
            found = list_faults(reading, self.runs[reading.req.id])
            if found:
                runs = [run.answer for run in self.runs[reading.req.id]]
                shown = reading._replace(body=len(reading.body))
                faults[reading.req.id] = (found, shown._replace(req=None), runs)
        self.assertEqual(faults, {})
        whole = sum(reading.whole for reading in self.readings)
        self.assertGreater(whole, len(self.readings) / 3)


class TestRandomised(RandomisedCase):
    """Guard against answers that aren't the upstream's, byte by byte, at any moment."""

    def test_answers_are_whole_or_seen_to_be_cut(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)
            # Each seed has processes of its own.
            self.doCleanups()
            self.setUp()


if __name__ == "__main__":
    first, count = map(int, sys.argv[1:3])
    SEEDS = range(first, first + count)
    unittest.main(argv=sys.argv[:1], failfast=True)
