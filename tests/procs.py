"""Start processes for tests, and call them with a blocking HTTP client."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_TIMEOUT = 20.0
STOP_TIMEOUT = 10.0
CALL_TIMEOUT = 10.0
POLL = 0.01
CHUNK = 65536
BODILESS = {204, 304}


def poll(check, timeout=10.0):
    """Return the first truthy ``check()``; raise AssertionError after the timeout."""
    deadline = time.monotonic() + timeout
    while not (found := check()):
        if time.monotonic() > deadline:
            raise AssertionError(f"never became true within {timeout} s")
        time.sleep(POLL)
    return found


def call_json(port, method, path, body=None, headers=()):
    """Send one request; return status and JSON body, None for an empty body."""
    conn = http.client.HTTPConnection(HOST, port, timeout=CALL_TIMEOUT)
    try:
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, dict(headers))
        response = conn.getresponse()
        content = response.read()
        return response.status, json.loads(content) if content else None
    finally:
        conn.close()


class Process:
    """A child process that prints a line of JSON when it is ready."""

    def __init__(self, argv, env=None):
        # Files, because a full pipe that is not read would block the child.
        self.stdout = tempfile.TemporaryFile("w+")
        self.stderr = tempfile.TemporaryFile("w+")
        paths = {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        self.popen = subprocess.Popen(
            argv,
            cwd=ROOT,
            env={**os.environ, **paths, **(env or {})},
            stdout=self.stdout,
            stderr=self.stderr,
        )
        self.info = {}

    def wait_ready(self):
        """Wait for the JSON line and return the process."""
        line = poll(self.read_line, START_TIMEOUT)
        self.info = json.loads(line)
        return self

    def read_line(self):
        """Return the first line, or None; AssertionError if the process ended."""
        line = read_file(self.stdout).partition("\n")
        if not line[1] and self.popen.poll() is not None:
            code = self.popen.returncode
            raise AssertionError(f"exit {code}: {read_file(self.stderr)}")
        return line[0] if line[1] else None

    @property
    def port(self):
        """Return the port from the JSON line."""
        return self.info["port"]

    @property
    def control(self):
        """Return the port for control requests."""
        return self.info.get("control", self.port)

    def get(self, path):
        """Send GET to the control port; return status and JSON body."""
        return call_json(self.control, "GET", path)

    def post(self, path, body):
        """Send POST to the control port; return status and JSON body."""
        return call_json(self.control, "POST", path, body)

    def put(self, path, body):
        """Send PUT to the control port; return status and JSON body."""
        return call_json(self.control, "PUT", path, body)

    def fault(self, **switches):
        """Set faults of a fake by name; AssertionError if one is unknown."""
        status, body = self.post("/-/fault", switches)
        assert status == 200, body
        return body

    def record(self):
        """Return a fake's record of its requests."""
        return self.get("/-/record")[1]

    def signal(self, number):
        """Send a signal to this process only."""
        self.popen.send_signal(number)

    def freeze(self):
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume a frozen process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def kill(self):
        """Kill the process with SIGKILL."""
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT)

    def terminate(self):
        """Send SIGTERM and return the exit code."""
        self.popen.terminate()
        return self.popen.wait(STOP_TIMEOUT)

    def close(self):
        """Terminate the process, or kill it after a timeout; close its files."""
        if self.popen.poll() is None:
            self.resume()
            try:
                self.terminate()
            except subprocess.TimeoutExpired:
                self.kill()
        self.stdout.close()
        self.stderr.close()


def read_file(file):
    """Return the file's content without moving the offset that a child writes at."""
    return os.pread(file.fileno(), 1 << 24, 0).decode(errors="replace")


class Processes:
    """All processes of a test; ``close`` ends them."""

    def __init__(self):
        self.started = []

    def start(self, argv, env=None):
        """Start a process and wait for its JSON line."""
        return self.run(argv, env).wait_ready()

    def run(self, argv, env=None):
        """Start a process without waiting for a JSON line."""
        process = Process(argv, env)
        self.started.append(process)
        return process

    def start_fake(self, role, *options):
        """Start a fake on a free port."""
        return self.start(
            [sys.executable, "-m", "tests.fakes", role, "--port", "0", *options]
        )

    def start_daemon(self, *options, env=None):
        """Start an entry instance."""
        argv = [sys.executable, "-m", "chervilwing.daemon", *options]
        return self.start(argv, env)

    def close(self):
        """End every process that this test started."""
        for process in reversed(self.started):
            process.close()


class NotHttp(Exception):
    """The received bytes are not an HTTP response."""


class Answer(NamedTuple):
    """An HTTP answer; ``whole`` is true if its body was received to the end."""

    status: int
    headers: dict[str, str]
    body: bytes
    chunks: tuple[bytes, ...]
    raw: bytes
    whole: bool

    def json(self):
        """Return the body, decoded from JSON."""
        return json.loads(self.body)

    def events(self):
        """Return the data of each server-sent event, as text."""
        lines = self.body.decode(errors="replace").split("\n")
        return [line[6:] for line in lines if line.startswith("data: ")]


class Caller:
    """One connection; it reads only on request, so that tests can read slowly."""

    def __init__(self, port, timeout=CALL_TIMEOUT):
        self.sock = socket.create_connection((HOST, port), timeout)
        self.buffer = b""
        self.raw = b""

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Close the connection."""
        self.sock.close()

    def send(self, data):
        """Send bytes."""
        self.sock.sendall(data)

    def request(self, method, path, body=b"", headers=()):
        """Send one request; encode a body that isn't bytes as JSON."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in dict(headers).items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.send("\r\n".join(lines).encode() + body)

    def fill(self):
        """Read more bytes; raise EOFError if the connection was closed or reset."""
        try:
            data = self.sock.recv(CHUNK)
        except ConnectionError as exc:
            raise EOFError("reset") from exc
        if not data:
            raise EOFError("closed")
        self.buffer += data
        self.raw += data

    def read_until(self, mark):
        """Return the bytes before the mark and skip the mark."""
        while mark not in self.buffer:
            self.fill()
        found, _, self.buffer = self.buffer.partition(mark)
        return found

    def read_bytes(self, count):
        """Return ``count`` bytes."""
        while len(self.buffer) < count:
            self.fill()
        found, self.buffer = self.buffer[:count], self.buffer[count:]
        return found

    def read_head(self):
        """Return status and headers, with names in lower case."""
        first, *lines = self.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        if not first.startswith("HTTP/1."):
            raise NotHttp(first)
        return int(first.split()[1]), headers

    def read_chunk(self):
        """Return the next chunk of a chunked body, empty at its end."""
        size = int(self.read_until(b"\r\n").partition(b";")[0], 16)
        chunk = self.read_bytes(size)
        self.read_until(b"\r\n")
        return chunk

    def read_answer(self):
        """Read one answer, perhaps with a partial body; EOFError without a head."""
        self.raw = self.buffer
        status, headers = self.read_head()
        chunks, whole = [], status in BODILESS
        try:
            if headers.get("transfer-encoding") == "chunked":
                while chunk := self.read_chunk():
                    chunks.append(chunk)
                whole = True
            elif "content-length" in headers:
                chunks.append(self.read_bytes(int(headers["content-length"])))
                whole = True
        except EOFError:
            pass
        return Answer(status, headers, b"".join(chunks), tuple(chunks), self.raw, whole)

    def call(self, method, path, body=b"", headers=()):
        """Send one request and read its answer."""
        self.request(method, path, body, headers)
        return self.read_answer()


def call(port, method, path, body=b"", headers=()):
    """Send one request on a new connection and return the answer."""
    with Caller(port) as caller:
        return caller.call(method, path, body, headers)
