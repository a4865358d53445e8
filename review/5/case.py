"""A stream goes on at another worker while the worker before still works on it.

Three engines keep backups of each other's runs. One of them resets the connection of a
stream in its middle, and its answer is lost, but it works on the request to its end:
not all workers drop a request when its connection closes.
"""

import os
import socket
import struct
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402
    HOST,
    Gateway,
    Store,
    Worker,
    main,
    make_document,
    send,
)

EVENTS, INTERVAL, STRIDE = 91, 0.02, 3
REQUESTS = 40
# Requests are sent this many seconds apart.
SPACING = 0.3
# The disruption: one of three engines loses two in five of the answers that it begins
# in four seconds. The site has a share of 0.6 and 0.4 of the answers for as long.
TROUBLE_FROM, TROUBLE_SECONDS, EVERY = 3.0, 4.0, 2.5
LOST_AFTER_EVENTS = 30
# A worker may still work for so long on what goes on elsewhere.
ALLOWED = 0.4
RESET = struct.pack("ii", 1, 0)
ENGINE = {
    "slots": 64,
    "kvCapacity": 373010,
    "kvTokenBytes": 327680,
    "linkMbps": 370000,
    "moves": True,
    "backups": True,
    "handleTtlS": 4,
    "stride": STRIDE,
}
SERVICE = {"name": "llm", "healthPath": "/health", "maxConns": 360, "engine": ENGINE}
ROUTE = {
    "name": "chat",
    "host": "a.example",
    "prefix": "/chat/",
    "kind": "streaming",
    "timeoutMs": 15000,
    "sloMs": 400,
    "gapTargetMs": 250,
    "priority": 2,
    "service": "llm",
    "attempts": 1,
    "sticky": True,
}
FIELDS = {
    "X_Model": "m",
    "X_Token_Count": f"543,{EVENTS * STRIDE}",
    "X_Deadline_Ms": "15000",
}


class Run:
    """Work of one engine on one request; times are seconds, ``ended`` None before."""

    def __init__(self, name, engine):
        self.name, self.engine = name, engine
        self.began, self.ended = time.monotonic(), None

    def measure_overlap(self, later):
        """Return for how long it went on after a later run had begun."""
        return (self.ended or time.monotonic()) - later.began


class Engines:
    """Three engines, in three zones, and all their runs."""

    def __init__(self, store, record, trouble):
        self.runs = []
        self._record, self._trouble = record, trouble
        self._lock = threading.Lock()
        self._begun = self._lost = 0
        self._trouble_from = float("inf")
        # The engine that keeps the backup of each request, and engines by address.
        self._copies, self._addresses = {}, {}
        for name, zone in (("i-1", "a"), ("i-2", "b"), ("i-3", "c")):
            worker = Worker(name, self._make_serve(name))
            self._addresses[f"{HOST}:{worker.port}"] = name
            worker.register(store, "llm", zone, slots=64)

    def begin(self, now):
        """Let the disruption begin at its time after this moment."""
        self._trouble_from = now + TROUBLE_FROM

    def _make_serve(self, engine):
        return lambda conn, fields, count: self._serve(engine, conn, fields)

    def _serve(self, engine, conn, fields):
        name, source = fields["x-request-id"], fields.get("kv-from")
        head = f"X-Request-Id: {name}\r\nX-Server-Load: 1,0,64,100\r\n"
        if source and self._copies.get(name) != engine:
            self._record(f"{engine} has no copy of {name}")
            refusal = f"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n{head}Content-Length: 0"
            conn.sendall(f"{refusal}\r\n\r\n".encode())
            return
        if fields.get("x-kv-backup"):
            self._copies[name] = self._addresses[fields["x-kv-backup"]]
        first = int(fields.get("last-event-id") or 0) + 1
        work = Run(name, engine)
        self.runs.append(work)
        kept = f"Kv-From {source}, backup at {self._copies.get(name)}"
        self._record(f"{engine} runs {name} from event {first}, {kept}")
        loses = not source and engine == "i-1" and self._loses_answer()
        conn.sendall(
            f"HTTP/1.1 200 OK\r\n{head}X-Server-Stamp: {engine}.{name}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        self._generate(work, conn, first, LOST_AFTER_EVENTS if loses else None)
        work.ended = time.monotonic()
        self._record(f"{engine} has ended its work on {name}")

    def _loses_answer(self):
        elapsed = time.monotonic() - self._trouble_from
        if not self._trouble or not 0 <= elapsed < TROUBLE_SECONDS:
            return False
        with self._lock:
            self._begun += 1
            loses = self._lost < int(self._begun / EVERY)
            self._lost += loses
            return loses

    def _generate(self, work, conn, first, lost_after):
        """Send the events; go on without a connection once the answer is lost."""
        is_open = True
        for number in range(first, EVENTS + 1):
            time.sleep(INTERVAL)
            event = f"id: {number}\ndata: {work.name} {number}\n\n".encode()
            if number == lost_after:
                self._record(f"{work.engine} resets {work.name} and works on")
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                os.close(conn.detach())
                is_open = False
            if is_open:
                try:
                    conn.sendall(b"%x\r\n%b\r\n" % (len(event), event))
                except OSError:
                    # A request whose caller has closed the connection is dropped.
                    return
        if is_open:
            with suppress(OSError):
                conn.sendall(b"0\r\n\r\n")


def call(number, port, record):
    """Send one request and record how many events are answered."""
    name = f"chat-{number}"
    prefix = {"X_Prompt_Prefix": f"5c1e07a2:103,{number:08x}:440"}
    status, _, body = send(
        port, name, "/chat/x", body=b"hello", timeout=20, **FIELDS, **prefix
    )
    record(f"client gets {status} for {name} with {body.count(b'id:')} events")


def call_all(port, record):
    """Send all requests, and wait for their answers and the work on them."""
    threads = []
    for number in range(REQUESTS):
        threads.append(threading.Thread(target=call, args=(number, port, record)))
        threads[-1].start()
        time.sleep(SPACING)
    for thread in threads:
        thread.join()
    time.sleep(EVENTS * INTERVAL)


def run(record, temporary, gateways, trouble):
    """Return whether two engines worked on one request for too long."""
    store = Store()
    engines = Engines(store, record, trouble)
    tenants = [{"name": "insurer", "apiKeys": ["key1"]}]
    store.operate("op/config", make_document([ROUTE], [SERVICE], tenants))
    gateways.append(Gateway("front-1", store, temporary))
    gateways[0].wait_ready()
    engines.begin(time.monotonic())
    call_all(gateways[0].port, record)
    runs = engines.runs
    pairs = [(a, b) for a in runs for b in runs if a is not b and a.name == b.name]
    broken = 0
    for before, later in pairs:
        overlap = before.measure_overlap(later)
        if before.began < later.began and overlap > ALLOWED:
            broken += 1
            record(
                f"TWICE: {later.name} went on at {later.engine}, and "
                f"{before.engine} worked on it for {overlap:.2f} s more"
            )
    record(f"{len(runs)} runs of {REQUESTS} requests, {broken} at two engines at once")
    return broken > 0


main(FOLDER, run)
