"""Helpers in the test's process: a scripted upstream and an event loop."""

import json
import socket
import threading
import time
from contextlib import suppress

from circuits.core import BaseComponent

from chervilwing.pollers import DirectPoller
from chervilwing.ticks import tick
from tests.procs import HOST, Caller, poll

SEND_BUFFER = 8192
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_END = b"0\r\n\r\n"


class RawUpstream:
    """An upstream that runs ``script(conn, method, path, body)`` for each request."""

    def __init__(self, script):
        self.script = script
        self.seen = []
        self.heads = []
        self.conns = []
        self.sent = 0
        self.listener = socket.create_server((HOST, 0), backlog=64)
        # With a small buffer, the bytes that a script has sent are nearly those that
        # the instance has received.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Serve each connection in its own thread."""
        with suppress(OSError):
            while True:
                conn = self.listener.accept()[0]
                self.conns.append(conn)
                threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        """Read requests and run the script for each until the connection closes."""
        reader = Caller.__new__(Caller)
        reader.sock, reader.buffer, reader.raw = conn, b"", b""
        with suppress(OSError, EOFError), conn:
            while True:
                line, *lines = reader.read_until(b"\r\n\r\n").decode().split("\r\n")
                method, path, _ = line.split(" ")
                fields = dict(line.lower().split(": ", 1) for line in lines)
                self.heads.append((line, fields))
                body = reader.read_bytes(int(fields.get("content-length", 0)))
                number = self.conns.index(conn)
                self.seen.append((number, method, path, body))
                self.script(conn, method, path, body)

    def send(self, conn, data):
        """Send bytes and add them to ``sent``."""
        conn.sendall(data)
        self.sent += len(data)

    def count(self, path):
        """Return how many requests for this path were received."""
        return sum(item[2] == path for item in self.seen)

    def close_listener(self):
        """Close the listener, so that new connections are refused at once.

        Without the shutdown, a listener that a thread waits for in accept() takes one
        more connection after its close.
        """
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def close(self):
        """Close the listener and every connection."""
        self.close_listener()
        for sock in self.conns:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Loop:
    """An event loop for components that runs only while the test calls it."""

    def __init__(self):
        self.root = BaseComponent()
        self.poller = DirectPoller().register(self.root)
        self.root._running = True

    def run_once(self):
        """Handle pending events and fire one tick."""
        self.root.fire(tick(), "*")
        self.root.tick(0.01)

    def run_until(self, check):
        """Handle events until ``check`` returns a true value."""

        def step():
            self.run_once()
            return check()

        return poll(step)


def send_load(conn):
    """Send an idle engine's load report as an HTTP answer."""
    load = {"running": 0, "waiting": 0, "slots": 8, "as_of": time.time()}
    body = json.dumps(load | {"cached_tokens": 0}).encode()
    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def make_chunk(value):
    """Return one server-sent event as one chunk of chunked transfer coding."""
    data = f"data: {value if isinstance(value, str) else json.dumps(value)}\n\n"
    return b"%x\r\n%b\r\n" % (len(data), data.encode())
