"""A process in a crowd: its memory, its ordinary callers and its readiness."""

import resource
import socket
import sys
import tempfile
import threading
import time
from contextlib import suppress
from typing import NamedTuple

from tests.deployments import API_KEY, Deployment
from tests.procs import HOST, Caller, Processes, call_json, poll, read_file

MIB = 1024 * 1024
PAGE_BYTES = resource.getpagesize()
LISTENING = "0A"
SAMPLE_PAUSE = 0.02
ORDINARY_PAUSE = 0.1
# The deadline of plain requests on the pages; a second try follows the first.
DEADLINE = 2.5
RETRY_PAUSE = 0.3
READY_PAUSE = 0.5
READY_TIMEOUT = 1.0
ROUTES = """
version = 1
[[pools]]
name = "web"
connections = 4000
[[routes]]
name = "page"
host = "a.example"
prefix = "/page/"
kind = "idempotent"
pools = ["web"]
attempts = 2
[[routes]]
name = "slow"
host = "a.example"
prefix = "/slow/"
kind = "idempotent"
pools = ["web"]
[[routes]]
name = "large"
host = "a.example"
prefix = "/large/"
kind = "idempotent"
pools = ["web"]
[[routes]]
name = "note"
host = "a.example"
prefix = "/note/"
kind = "non-idempotent"
pools = ["web"]
[[routes]]
name = "stream"
host = "a.example"
prefix = "/stream/"
kind = "stream"
pools = ["web"]
[[organisations]]
name = "insurer"
keys = ["k1"]
[limits]
head_bytes = 16384
body_bytes = 4194304
head_timeout = 3.0
idle_timeout = 15.0
"""
UPSTREAM = '[[upstreams]]\nname = "{}"\npool = "web"\naddress = "{}"\nslots = 1000\n'
REQUEST = b"GET /page/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n\r\n"


def read_resident(pid):
    """Return the resident bytes of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def count_unread(ports):
    """Return the bytes that the kernel holds unread in sockets of these ports.

    Sockets that listen on a port of ``ports.own`` or are connected to one of
    ``ports.peers`` belong to the process.
    """
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            _, own, peer, state, queues, *_ = line.split()
            mine = int(own[-4:], 16) in ports.own or int(peer[-4:], 16) in ports.peers
            if mine and state != LISTENING:
                total += int(queues.partition(":")[2], 16)
    return total


class Ports(NamedTuple):
    """The ports that a process listens on, and those that it connects to."""

    own: set[int]
    peers: set[int]


class MemoryWatch:
    """Stop a process once it holds more memory than its machine has."""

    def __init__(self, process, ports, limit):
        self.process = process
        self.ports = ports
        self.limit = limit
        self.peak = 0
        self.exceeded = False
        self._open = True
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self):
        """Stop watching."""
        self._open = False
        self._thread.join()

    def read(self):
        """Return the bytes that the process and the kernel hold now."""
        return read_resident(self.process.popen.pid) + count_unread(self.ports)

    def _run(self):
        while self._open and self.process.popen.poll() is None:
            with suppress(OSError, IndexError, ValueError):
                self.peak = max(self.peak, self.read())
            if self.peak > self.limit:
                self.exceeded = True
                self.process.popen.kill()
            time.sleep(SAMPLE_PAUSE)


class Outcomes(NamedTuple):
    """How ordinary requests and ready checks fared; times in seconds."""

    times: tuple[float, ...]
    failed: int
    ready: int
    checks: int
    # What kept tries of ordinary requests from being served.
    reasons: tuple[str, ...] = ()

    @property
    def served(self):
        """Return the part of the ordinary requests that were served."""
        return len(self.times) / max(1, len(self.times) + self.failed)

    @property
    def p95(self):
        """Return the time within which 95 of 100 served requests were answered."""
        times = sorted(self.times)
        return times[int(0.95 * len(times))] if times else float("inf")


class OrdinaryCallers:
    """Send ordinary requests and ready checks until they are stopped."""

    def __init__(self, port, ready_port, request):
        self.port = port
        self.request = request
        self.ready_port = ready_port
        self._times = []
        self._failed = 0
        self._checks = []
        self._reasons = []
        self._open = True
        self._threads = []
        self._start(self._send)
        self._start(self._check)

    def _start(self, run):
        self._threads.append(threading.Thread(target=run, daemon=True))
        self._threads[-1].start()

    def stop(self):
        """Return the Outcomes after the requests in flight have ended."""
        self._open = False
        for thread in self._threads:
            thread.join()
        ready = sum(self._checks)
        return Outcomes(
            tuple(self._times),
            self._failed,
            ready,
            len(self._checks),
            tuple(self._reasons),
        )

    def _send(self):
        requests = []
        while self._open:
            request = threading.Thread(target=self._request, daemon=True)
            request.start()
            requests.append(request)
            time.sleep(ORDINARY_PAUSE)
        for request in requests:
            request.join()

    def _request(self):
        began = time.monotonic()
        if self._try() or (time.sleep(RETRY_PAUSE) or self._try()):
            self._times.append(time.monotonic() - began)
        else:
            self._failed += 1

    def _try(self):
        began = time.monotonic()
        try:
            with Caller(self.port, DEADLINE) as caller:
                caller.send(self.request)
                reason = caller.read_answer().status
        except (OSError, EOFError) as exc:
            reason = repr(exc)
        if reason != 200:
            self._reasons.append(f"{reason} after {time.monotonic() - began:.3f} s")
        return reason == 200

    def _check(self):
        while self._open:
            self._checks.append(self._is_ready())
            time.sleep(READY_PAUSE)

    def _is_ready(self):
        try:
            with Caller(self.ready_port, READY_TIMEOUT) as caller:
                caller.send(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                return caller.read_answer().status == 200
        except (OSError, EOFError):
            return False


class Crowded:
    """A process with a limit on its memory, and the crowds that call it."""

    request = REQUEST
    key = "k1"

    def __init__(self, procs, memory_mib, descriptors):
        self.procs = procs
        self.limit = memory_mib * MIB
        self.options = {
            "memory-limit": str(memory_mib),
            "descriptor-limit": str(descriptors),
        }
        self.descriptors = descriptors
        self.port = self.ready_port = None

    def watch_process(self, process, ports):
        """Begin to watch a process that was started with the options."""
        self.process = process
        limits = (self.descriptors, self.descriptors)
        resource.prlimit(process.popen.pid, resource.RLIMIT_NOFILE, limits)
        self.watch = MemoryWatch(process, ports, self.limit)
        poll(lambda: call_json(self.ready_port, "GET", "/-/ready")[0] == 200)

    def start_crowd(self, name, count, seconds, path, port):
        """Start a crowd and return its process."""
        argv = [sys.executable, "-m", "tests.crowds", name, "--path", path]
        argv += ["--port", str(port), "--count", str(count), "--key", self.key]
        return self.procs.start([*argv, "--seconds", str(seconds)])

    def measure(self, seconds):
        """Return the Outcomes of ordinary callers during some seconds."""
        callers = OrdinaryCallers(self.port, self.ready_port, self.request)
        time.sleep(seconds)
        return callers.stop()

    def is_alive(self):
        """Return whether the process still runs within its memory."""
        return self.process.popen.poll() is None and not self.watch.exceeded

    def read_log(self):
        """Return the last lines that the process wrote to its standard error."""
        return read_file(self.process.stderr)[-2000:]

    def close(self):
        """End all processes."""
        self.watch.close()
        self.procs.close()


class CrowdedGateway(Crowded):
    """A gateway with three upstreams."""

    def __init__(self, memory_mib=300, descriptors=4100):
        super().__init__(Processes(), memory_mib, descriptors)
        argv = [sys.executable, "-m", "tests.crowd_upstream"]
        self.upstreams = [self.procs.start(argv) for _ in range(3)]
        self.routes = tempfile.NamedTemporaryFile("w", suffix=".toml")
        self.routes.write(ROUTES)
        for number, upstream in enumerate(self.upstreams):
            address = f"{HOST}:{upstream.port}"
            self.routes.write(UPSTREAM.format(f"u{number}", address))
        self.routes.flush()
        process = self._start()
        self.port, self.ready_port = process.info["port"], process.info["ready_port"]
        own = {self.port, self.ready_port, self.tunnel_port}
        peers = {upstream.port for upstream in self.upstreams}
        self.watch_process(process, Ports(own, peers))

    def _start(self):
        with socket.create_server((HOST, 0)) as free:
            self.tunnel_port = free.getsockname()[1]
        flags = {
            "listen": f"{HOST}:0",
            "ready-listen": f"{HOST}:0",
            "beacon-listen": f"{HOST}:0",
            "tunnel-listen": f"{HOST}:{self.tunnel_port}",
            "name": "one",
            "routes": self.routes.name,
            **self.options,
        }
        argv = [f"--{name}={value}" for name, value in flags.items()]
        program = [sys.executable, "-m", "chervilwing.local_gateway", *argv]
        return self.procs.start(program)

    def close(self):
        """End all processes and remove the file of routes."""
        super().close()
        self.routes.close()


class CrowdedEntry(Crowded):
    """An entry instance with an engine and a plain service."""

    request = (
        b"GET /services/portal/documents/1 HTTP/1.1\r\nHost: a\r\n"
        b"Authorization: Bearer %b\r\n\r\n" % API_KEY.encode()
    )
    key = API_KEY

    def __init__(self, memory_mib=300, descriptors=4100):
        deployment = Deployment()
        super().__init__(deployment.processes, memory_mib, descriptors)
        deployment.start_upstreams()
        options = [f"--{name}={value}" for name, value in self.options.items()]
        process = deployment.start_entry("one", "--head-timeout=3", *options)
        self.port = self.ready_port = process.port
        self.peer_port = process.info["peer_port"]
        upstreams = deployment.upstreams
        peers = {item.port for item in (*upstreams.engines, *upstreams.services)}
        self.watch_process(process, Ports({self.port, self.peer_port}, peers))
