"""A caller that may lose its connection in an answer and come back for the rest."""

import json
import socket
import threading
from contextlib import suppress

from tests.deployments import AUTHORISED
from tests.procs import Caller

PATH = "/v1/completions"


class Reader:
    """State of one request over all its connections."""

    def __init__(self, request_id, prompt, count, stream, headers=AUTHORISED):
        self.request_id = request_id
        self.prompt = prompt
        self.count = count
        self.stream = stream
        self.headers = headers
        self.tokens = []
        self.indexes = []
        self.last = None
        self.clear()

    def clear(self):
        """Forget the last connection, but not what it brought."""
        self.caller = None
        self.ended = self.whole = False
        self.status, self.body, self.problem = 0, b"", ""

    def copy(self, headers, repeat):
        """Return the same request with another key, as if it were a reconnect."""
        other = Reader(self.request_id, self.prompt, self.count, self.stream, headers)
        other.last = None if repeat else self.last
        return other

    @property
    def text(self):
        """Return all that was read."""
        return "".join(self.tokens)

    def connect(self, port):
        """Send the request, with the last event's id if there was one, and read on."""
        self.clear()
        body = {"model": "memo", "prompt": self.prompt, "max_tokens": self.count}
        headers = {**self.headers, "X-Request-Id": self.request_id}
        if self.last is not None:
            headers["Last-Event-ID"] = self.last
        self.caller = Caller(port, timeout=30.0)
        self.caller.request("POST", PATH, body | {"stream": self.stream}, headers)
        threading.Thread(target=self.run, args=(self.caller,), daemon=True).start()

    def drop(self):
        """Lose the connection."""
        with suppress(OSError):
            self.caller.sock.shutdown(socket.SHUT_RDWR)

    def run(self, caller):
        """Read one connection to its end."""
        with suppress(OSError, EOFError, ValueError):
            self.status, headers = caller.read_head()
            if headers.get("transfer-encoding") == "chunked":
                self.read_events(caller)
            else:
                self.read_whole(caller, int(headers["content-length"]))
        caller.close()
        # A later connection's state is its own.
        if caller is self.caller:
            self.ended = True

    def read_events(self, caller):
        """Read a stream's events."""
        buffer = b""
        while chunk := caller.read_chunk():
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                self.take(event.decode())

    def take(self, event):
        """Read one event: a token, the figures or the end mark."""
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        if fields["data"] == "[DONE]":
            self.whole = True
        elif "id" in fields:
            self.last = fields["id"]
            self.indexes.append(int(fields["id"].rpartition("/")[2]))
            self.tokens.append(json.loads(fields["data"])["choices"][0]["text"])

    def read_whole(self, caller, length):
        """Read an answer that comes at once, or a failure."""
        self.body = caller.read_bytes(length)
        value = json.loads(self.body)
        self.problem = value.get("type", "").rpartition("/")[2]
        if "choices" in value:
            self.tokens.append(value["choices"][0]["text"])
            self.whole = True
