"""Engines that copy the KV cache of their runs to each other, for tests of moves."""

import json
import threading
import time
from contextlib import suppress

from tests.procs import HOST, Caller
from tests.test_gateway import CHUNKED, EVENTS, encode_chunk, reset
from tests.upstreams import RawUpstream

# Field by which a pool's upstreams state their pace.
PACE = b"X-Server-Load: 1,0,64,100\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
# Seconds for which two engines may work on one request.
OVERLAP = 0.4
# Seconds by which a call that hangs is late.
HANG_TIME = 1.2


class Run:
    """One request's run: who serves it, and its copies."""

    def __init__(self, length):
        self.length = length
        # Times at which each engine's work on it began and ended.
        self.served = []
        self.done = False
        # Whether a copy can still be used, by handle.
        self.handles = {}


class Engines:
    """What the engines of a test know together: runs by id, engines by address."""

    def __init__(self):
        self.runs = {}
        self.engines = {}

    def find_overlaps(self):
        """Return the ids of runs that two engines worked on for too long."""
        found = set()
        for name, run in self.runs.items():
            spans = sorted((began, ended or began) for began, ended in run.served)
            pairs = zip(spans, spans[1:], strict=False)
            if any(a[1] > b[0] + OVERLAP for a, b in pairs):
                found.add(name)
        return found

    def count_held(self):
        """Return how many copies are neither used nor freed by a living source.

        After its end only the time limit of a copy frees it.
        """
        runs = self.runs.values()
        held = [key for run in runs for key, item in run.handles.items() if item]
        ports = {item.port for item in self.engines.values() if not item.dead}
        return sum(int(key.rpartition("-")[2]) in ports for key in held)


class MovingEngine(RawUpstream):
    """Engine whose streams have as many events as output tokens were requested.

    ``faults`` maps "copy", "last" or "report" to what happens once: "lose" loses the
    call's answer, "hang" delays it, "die" ends the engine. "refuse" maps to whether the
    last call is refused, or the first. After ``resets_after`` events of a new stream it
    resets the connection and works on; while ``silent_calls`` is set, it resets those
    of calls. Its report is ``report_lag`` seconds old.
    """

    def __init__(self, shared, pace=0.02, copy_time=0.02):
        self.shared, self.pace, self.copy_time = shared, pace, copy_time
        self.faults = {}
        self.head = EVENTS.removesuffix(b"\r\n") + PACE
        self.stops, self.backups, self.busy = {}, {}, set()
        self.moves, self.dead = 0, False
        # Whether streams are sent in chunks; events after which they end by themselves.
        self.chunked, self.ends_after = True, None
        self.resets_after, self.silent_calls, self.report_lag = None, False, 0.0
        # Events that the caller has and a stream that goes on from a copy repeats.
        self.overlap = 0
        # Bytes that follow each event, in the same chunk.
        self.note = b""
        self.spans = []
        super().__init__(None)
        self.address = f"{HOST}:{self.port}"
        shared.engines[self.address] = self

    def die(self):
        """End as a killed process does."""
        self.dead = True
        with suppress(OSError):
            self.listener.shutdown(2)
        self.listener.close()
        for conn in self.conns:
            with suppress(OSError):
                reset(conn)

    def serve(self, conn):
        """Answer requests until the connection closes."""
        reader = Caller.__new__(Caller)
        reader.sock, reader.buffer, reader.raw = conn, b"", b""
        with suppress(OSError, EOFError), conn:
            while not self.dead:
                line, *lines = reader.read_until(b"\r\n\r\n").decode().split("\r\n")
                method, path, _ = line.split(" ")
                fields = dict(item.split(": ", 1) for item in lines)
                fields = {name.lower(): value for name, value in fields.items()}
                body = reader.read_bytes(int(fields.get("content-length", 0)))
                if path.startswith("/-/"):
                    self.answer_call(conn, method, path, body)
                elif not self.stream(conn, fields):
                    return

    def answer_call(self, conn, method, path, body):
        """Answer a call about copies."""
        if self.silent_calls:
            reset(conn)
            return
        if method == "DELETE":
            self.free(path.rpartition("/")[2])
            status, value = 200, {}
        elif path == "/-/report":
            status, value = 200, {"runs": self.list_runs()}
            self.meet_fault("report", conn)
        else:
            call = json.loads(body)
            fault = "last" if call.get("last") else "copy"
            if self.faults.get(fault) == "die":
                self.die()
            status, value = self.copy_once(call, fault)
            self.meet_fault(fault, conn)
        data = json.dumps(value).encode()
        head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n\r\n"
        conn.sendall(head.encode() + data)

    def list_runs(self):
        """Return the runs of some time ago, in the form of the platform's report."""
        at = time.monotonic() - self.report_lag
        spans = [(name, began, ended) for name, (began, ended) in self.spans]
        names = [n for n, began, ended in spans if began <= at < (ended or at + 1)]
        return [[name, 800, 1, 1] for name in names]

    def meet_fault(self, kind, conn):
        """Lose the answer of a call if the test wants it."""
        if self.faults.get(kind) == "lose":
            del self.faults[kind]
            reset(conn)

    def free(self, handle):
        """Free a copy that wasn't used."""
        for run in self.shared.runs.values():
            if run.handles.get(handle):
                run.handles[handle] = False

    def copy_once(self, call, fault):
        """Copy a run unless another call does; see ``copy``."""
        if call["id"] in self.busy:
            return 409, {}
        self.busy.add(call["id"])
        if self.faults.get(fault) == "hang":
            del self.faults[fault]
            time.sleep(HANG_TIME)
        try:
            return self.copy(call)
        finally:
            self.busy.discard(call["id"])

    def copy(self, call):
        """Copy a run; return the answer's status and fields."""
        run, stop = self.shared.runs.get(call["id"]), self.stops.get(call["id"])
        handle = f"h-{call['id']}-{self.port}"
        if run is None or run.done or (stop is None and handle not in run.handles):
            return 404, {}
        time.sleep(self.copy_time if handle not in run.handles else 0.002)
        target = self.shared.engines[call["target"]]
        refused = target.dead
        if self.faults.get("refuse") is call.get("last", False):
            refused = self.faults.pop("refuse") is not None
        if call.get("last") and stop is not None:
            stop.set()
        if refused and not call.get("last"):
            return 503, {}
        if self.dead:
            return 404, {}
        run.handles.setdefault(handle, True)
        self.moves += 1
        return 503 if refused else 200, {"handle": handle, "createRev": 1}

    def take_copy(self, fields):
        """Return whether the copy that a request names may be used, and mark it."""
        address, _, handle = fields["kv-from"].partition("/")
        run = self.shared.runs.get(fields["x-request-id"])
        if address == self.address and handle in self.backups:
            return self.backups.pop(handle) is not None
        if run is None or not run.handles.get(handle):
            return False
        run.handles[handle] = False
        return True

    def stream(self, conn, fields):
        """Stream events; return whether the stream ended whole."""
        name = fields["x-request-id"]
        if "kv-from" in fields and not self.take_copy(fields):
            conn.sendall(NOT_RUN)
            return True
        length = self.ends_after or int(fields["x-token-count"].split(",")[1])
        run = self.shared.runs.setdefault(name, Run(length))
        span = [time.monotonic(), None]
        run.served.append(span)
        self.spans.append((name, span))
        stop = self.stops[name] = threading.Event()
        try:
            encode = encode_chunk if self.chunked else bytes
            conn.sendall(self.head if self.chunked else self.head.replace(CHUNKED, b""))
            after = int(fields.get("last-event-id", 0))
            after -= self.overlap if "kv-from" in fields else 0
            for number in range(after + 1, length + 1):
                if stop.wait(self.pace) or self.dead:
                    return False
                if number == self.resets_after and "kv-from" not in fields:
                    reset(conn)
                if conn.fileno() >= 0:
                    event = b"id: %d\ndata: v1\n\n" % number
                    conn.sendall(encode(event + self.note))
                backup = self.shared.engines.get(fields.get("x-kv-backup"))
                if backup is not None:
                    backup.backups[name] = number
            run.done = True
            conn.sendall(b"0\r\n\r\n" if self.chunked else b"")
            return self.chunked
        finally:
            span[1] = time.monotonic()
            if self.stops.get(name) is stop:
                del self.stops[name]
