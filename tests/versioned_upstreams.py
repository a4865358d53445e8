"""Upstreams of several software versions, whose streams name the version."""

import re
import threading
import time
from contextlib import suppress

from tests.procs import Caller
from tests.test_gateway import SIGNED, close_after_sent, encode_chunk
from tests.upstreams import RawUpstream

HEAD = SIGNED + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
# Events of one stream.
LENGTH = 6


def make_prompt_fields(parts, output_tokens):
    """Return the header fields of a prompt of (name, tokens) parts."""
    total = sum(tokens for _, tokens in parts)
    return {
        "X-Model": "m",
        "X-Token-Count": f"{total},{output_tokens}",
        "X-Prompt-Prefix": ",".join(f"{name}:{tokens}" for name, tokens in parts),
    }


def read_subject(fields):
    """Return the name of a prompt's first part, empty without a prompt."""
    return fields.get("x-prompt-prefix", "").partition(":")[0]


class VersionedUpstream(RawUpstream):
    """Upstream whose streams go on after Last-Event-Id.

    New streams stop after ``hold_after`` events until ``release`` is set; with
    ``breaks`` they break off instead. ``served`` has the id, the first event
    and the header fields of each stream. While ``full``, requests are refused.
    """

    def __init__(self, version, hold_after=LENGTH):
        self.version = version
        self.hold_after = hold_after
        self.breaks = False
        # Seconds before each event.
        self.pace = 0.0
        self.full = False
        self.release = threading.Event()
        self.release.set()
        self.served = []
        super().__init__(None)

    def serve(self, conn):
        """Read requests and stream events until the connection closes."""
        reader = Caller.__new__(Caller)
        reader.sock, reader.buffer, reader.raw = conn, b"", b""
        with suppress(OSError, EOFError), conn:
            while True:
                _, *lines = reader.read_until(b"\r\n\r\n").decode().split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in lines)
                reader.read_bytes(int(fields.get("content-length", 0)))
                self.answer(conn, fields)

    def answer(self, conn, fields):
        """Send the events after the last one that the caller has read."""
        if self.full:
            conn.sendall(
                b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        after = int(fields.get("last-event-id", 0))
        self.served.append((fields.get("x-request-id"), after, fields))
        conn.sendall(HEAD)
        for number in range(after + 1, LENGTH + 1):
            if not after and number > self.hold_after:
                if self.breaks:
                    close_after_sent(conn)
                    return
                self.release.wait(20)
            time.sleep(self.pace)
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            conn.sendall(encode_chunk(event))
        conn.sendall(b"0\r\n\r\n")


class Stream:
    """What a caller has read of one stream, over all its tries."""

    def __init__(self, name):
        self.name = name
        self.tries = 0
        self.events = []
        self.whole = False
        self.status = 0
        self.headers = {}
        self.body = b""

    @property
    def versions(self):
        """Return the versions whose events the caller has read."""
        return {version for _, version in self.events}

    @property
    def numbers(self):
        """Return the ids of the events in the order of their arrival."""
        return [number for number, _ in self.events]

    def open(self, port, path="/quote/x", **fields):
        """Send the request, or take the stream up again; return its connection."""
        self.tries += 1
        lines = [f"POST {path} HTTP/1.1", "Host: a.example"]
        lines += ["Authorization: Bearer k1", "Content-Length: 0"]
        lines += [f"X-Request-Id: {self.name}.{self.tries}"]
        if self.events:
            lines += [f"Last-Event-Id: {self.numbers[-1]}"]
            lines += [f"Resumes: {self.first}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        caller = Caller(port)
        caller.send("\r\n".join([*lines, "", ""]).encode())
        return caller

    def read(self, caller, count=None):
        """Read the head and ``count`` more events, or all to the end."""
        with suppress(EOFError, OSError):
            self.status, self.headers = caller.read_head()
            if "transfer-encoding" not in self.headers:
                size = int(self.headers["content-length"])
                self.body = caller.read_bytes(size)
                return
            wanted = None if count is None else len(self.events) + count
            while len(self.events) != wanted:
                chunk = caller.read_chunk()
                if not chunk:
                    self.whole = True
                    return
                self._add(chunk)

    def take_up(self, port, **fields):
        """Take the stream up again and read to its end; return the status."""
        self.status = 0
        with self.open(port, **fields) as caller:
            self.read(caller)
        return self.status

    def _add(self, chunk):
        if not self.events:
            self.first = f"{self.name}.{self.tries}"
        found = EVENT.findall(chunk)
        self.events += [(int(number), version.decode()) for number, version in found]
