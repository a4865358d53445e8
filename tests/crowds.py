"""Crowds of callers that misbehave, run as a process of their own.

python -m tests.crowds NAME --port 8080 [--path /page/x] [--count 120] [--seconds 8]

It prints a line of JSON when all connections have begun, and another at its end.
"""

import argparse
import json
import re
import resource
import selectors
import socket
import sys
import time
from collections import Counter
from contextlib import suppress
from math import inf
from typing import NamedTuple

HOST = "127.0.0.1"
RECONNECT_PAUSE = 0.05
READ_BYTES = 65536
SEND_BYTES = 65536
# The limits that the callers' requests stay within, or exceed.
HEAD_BYTES = 16384
BODY_BYTES = 4 * 1024 * 1024
STATUS = re.compile(rb"HTTP/1\.1 ([0-9]{3}) ")
ALL, NOTHING, SLOWLY = "all", "nothing", "slowly"


class Plan(NamedTuple):
    """What each caller of a crowd sends and how it reads.

    It sends ``start`` and then ``size`` bytes of repeated ``piece``, at most ``step``
    bytes each ``pause`` seconds. ``repeats`` starts again once it was answered.
    """

    start: bytes
    piece: bytes = b""
    size: float = 0
    step: int = SEND_BYTES
    pause: float = 0.0
    reads: str = ALL
    repeats: bool = False


def make_head(path, *fields, method="POST"):
    """Return the head of a request; its id is filled in by each caller."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example", "X-Request-Id: %ID%"]
    lines += ["Authorization: Bearer %KEY%", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def plan_bodies(path, length=BODY_BYTES, **changes):
    """Return a plan of bodies with a Content-Length."""
    head = make_head(path, f"Content-Length: {length}")
    return Plan(head, b"x" * SEND_BYTES, length)._replace(**changes)


def plan_chunks(path, size, chunk, **changes):
    """Return a plan of bodies in chunks of one size."""
    head = make_head(path, "Transfer-Encoding: chunked")
    piece = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    piece *= max(1, SEND_BYTES // len(piece))
    return Plan(head, piece, size)._replace(**changes)


def make_short_fields(size):
    """Return as many header fields as fit into ``size`` bytes."""
    letters = "abcdefghijklmnopqrstuvwxyz0123456789"
    names = (f"{a}{b}{c}" for a in letters for b in letters for c in letters)
    return [f"{name}:1" for name, _ in zip(names, range(size // 7), strict=False)]


def plan_many_fields(path):
    """Return a plan of heads of legal size with very many fields."""
    fields = make_short_fields(HEAD_BYTES - 300)
    return Plan(make_head(path, *fields, method="GET"), repeats=True)


def plan_many_parts(path):
    """Return a plan of heads with very many short entries in one field."""
    entries = ",".join(f"{number:x}:1" for number in range((HEAD_BYTES - 400) // 6))
    return Plan(
        make_head(path, f"X-Prompt-Prefix: {entries}", method="GET"), repeats=True
    )


def plan_json(path):
    """Return a plan of JSON bodies of legal size with very many short values."""
    start = b'{"model":"memo","prompt":"x","max_tokens":1,"more":['
    body = start + b"[]," * ((BODY_BYTES - len(start) - 4) // 3) + b"[]]}"
    head = make_head(path, f"Content-Length: {len(body)}")
    return Plan(head + body, repeats=True)


def plan_pipelined(path):
    """Return a plan of many requests sent ahead, whose answers are never read."""
    request = make_head(path, method="GET")
    return Plan(b"", request * 100, 20_000 * len(request), reads=NOTHING)


PLANS = {
    "whole bodies": plan_bodies,
    "bodies in pieces": lambda path: plan_bodies(path, step=1000, pause=0.002),
    "oversized bodies": lambda path: plan_bodies(path, 64 * BODY_BYTES),
    "endless chunks": lambda path: plan_chunks(path, inf, 16384),
    "tiny chunks": lambda path: plan_chunks(path, inf, 1),
    "slow bodies": lambda path: plan_bodies(path, step=2000, pause=0.5),
    "stopped bodies": lambda path: plan_bodies(path)._replace(size=BODY_BYTES // 2),
    "many fields": plan_many_fields,
    "many parts": plan_many_parts,
    "many values": plan_json,
    "pipelined": plan_pipelined,
    "silent": lambda path: Plan(b""),
    "slow heads": lambda path: Plan(b"", b"G" * SEND_BYTES, inf, 100, 0.5),
    "answers not read": lambda path: Plan(
        make_head(path, method="GET"), reads=NOTHING, repeats=True
    ),
    "answers read slowly": lambda path: Plan(
        make_head(path, method="GET"), reads=SLOWLY, repeats=True
    ),
}


class CrowdCaller:
    """One caller, which reconnects whenever its connection has ended."""

    def __init__(self, crowd, number):
        self.crowd = crowd
        self.number = number
        self.attempt = 0
        self.sock = None
        self.due_at = 0.0

    def connect(self, now):
        """Open a new connection and begin the plan."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if self.crowd.plan.reads != ALL:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.sock.connect_ex((HOST, self.crowd.port))
        self.crowd.counts["connections"] += 1
        self.begin()
        self.due_at = now
        self.crowd.selector.register(self.sock, selectors.EVENT_WRITE, self)

    def begin(self):
        """Begin to send the plan's bytes."""
        self.attempt += 1
        self.request_id = f"{self.number}-{self.attempt}"
        start = self.crowd.plan.start.replace(b"%ID%", self.request_id.encode(), 1)
        self.unsent = memoryview(start)
        self.left = self.crowd.plan.size
        self.answered = False

    def close(self, now):
        """Close the connection; another is opened later."""
        self.crowd.selector.unregister(self.sock)
        self.sock.close()
        self.sock = None
        self.due_at = now + RECONNECT_PAUSE

    def handle(self, mask, now):
        """Send or read what the socket allows."""
        try:
            if mask & selectors.EVENT_READ:
                self.read(now)
            if mask & selectors.EVENT_WRITE and self.sock is not None:
                self.send(now)
        except BlockingIOError:
            pass
        except OSError:
            self.crowd.counts["broken"] += 1
            self.close(now)

    def read(self, now):
        """Read some bytes and note the status of an answer."""
        slow = self.crowd.plan.reads == SLOWLY
        data = self.sock.recv(512 if slow else READ_BYTES)
        if not data:
            self.close(now)
            return
        found = STATUS.match(data)
        if found:
            self.crowd.record(self.request_id, int(found.group(1)))
        self.answered = True
        if slow:
            self.wait(now + 0.5)
        elif self.crowd.plan.repeats and not self.unsent and not self.left:
            self.begin()
            self.watch(selectors.EVENT_READ | selectors.EVENT_WRITE)

    def send(self, now):
        """Send the next bytes of the plan."""
        plan = self.crowd.plan
        if not self.unsent and self.left:
            size = int(min(len(plan.piece), self.left))
            self.unsent = memoryview(plan.piece)[:size]
            self.left -= size
        if self.unsent:
            sent = self.sock.send(self.unsent[: plan.step])
            self.unsent = self.unsent[sent:]
            self.crowd.counts["bytes"] += sent
        if not self.unsent and not self.left:
            reads = plan.reads != NOTHING
            self.watch(selectors.EVENT_READ if reads else 0)
        elif plan.pause:
            self.wait(now + plan.pause)
        elif plan.reads != NOTHING:
            self.watch(selectors.EVENT_READ | selectors.EVENT_WRITE)

    def watch(self, mask):
        """Wait for these events."""
        with suppress(KeyError):
            self.crowd.selector.unregister(self.sock)
        if mask:
            self.crowd.selector.register(self.sock, mask, self)

    def wait(self, until):
        """Do nothing until a time."""
        self.due_at = until
        with suppress(KeyError):
            self.crowd.selector.unregister(self.sock)
        self.crowd.waiting.append(self)


class Crowd:
    """All callers of one crowd."""

    def __init__(self, plan, port, count):
        self.plan = plan
        self.port = port
        self.selector = selectors.EpollSelector()
        self.counts = Counter()
        self.statuses = {}
        self.waiting = []
        self.callers = [CrowdCaller(self, number) for number in range(count)]

    def record(self, request_id, status):
        """Record the status of the answer to a request."""
        self.counts[f"status {status}"] += 1
        self.statuses[request_id] = status

    def run(self, seconds):
        """Play the crowd for a time."""
        ends_at = time.monotonic() + seconds
        while (now := time.monotonic()) < ends_at:
            self.wake(now)
            for key, mask in self.selector.select(0.01):
                if key.data.sock is not None and key.fileobj is key.data.sock:
                    key.data.handle(mask, time.monotonic())

    def wake(self, now):
        """Open connections and go on with callers whose pause is over."""
        for caller in self.callers:
            if caller.sock is None and now >= caller.due_at:
                caller.connect(now)
        waiting, self.waiting = self.waiting, []
        for caller in waiting:
            if caller.sock is None:
                continue
            if now < caller.due_at:
                self.waiting.append(caller)
            else:
                caller.watch(selectors.EVENT_READ | selectors.EVENT_WRITE)


def with_key(plan, key):
    """Return a plan whose requests have an API key."""
    parts = {"start": plan.start, "piece": plan.piece}
    fields = {
        name: part.replace(b"%KEY%", key.encode()) for name, part in parts.items()
    }
    return plan._replace(**fields)


def main(argv):
    """Run one crowd."""
    parser = argparse.ArgumentParser()
    parser.add_argument("name", choices=PLANS)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--path", default="/page/x")
    parser.add_argument("--key", default="k1")
    parser.add_argument("--count", type=int, default=120)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args(argv)
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    plan = with_key(PLANS[options.name](options.path), options.key)
    crowd = Crowd(plan, options.port, options.count)
    print(json.dumps({"callers": options.count}), flush=True)
    crowd.run(options.seconds)
    print(json.dumps({"counts": crowd.counts, "statuses": crowd.statuses}), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
