"""A caller that loses its connection during an answer and resumes it later."""

import json
import socket
import threading
from contextlib import suppress

from tests.deployments import AUTHORISED, OTHER
from tests.fakes.tokens import expected_tokens
from tests.procs import Caller, poll, read_file

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
        """Reset the state of the last connection, but keep the received tokens."""
        self.caller = None
        self.ended = self.whole = False
        self.status, self.body, self.problem = 0, b"", ""

    def copy(self, headers, repeat):
        """Return a Reader of the same request with other headers.

        It resumes after the last received event, or with ``repeat`` from the start.
        """
        other = Reader(self.request_id, self.prompt, self.count, self.stream, headers)
        other.last = None if repeat else self.last
        return other

    @property
    def text(self):
        """Return the received text."""
        return "".join(self.tokens)

    def connect(self, port):
        """Send the request, with the last event's id if any, and read in a thread."""
        self.clear()
        body = {"model": "memo", "prompt": self.prompt, "max_tokens": self.count}
        headers = dict(self.headers)
        if self.request_id:
            headers["X-Request-Id"] = self.request_id
        if self.last is not None:
            headers["Last-Event-ID"] = self.last
        self.caller = Caller(port, timeout=30.0)
        self.caller.request("POST", PATH, body | {"stream": self.stream}, headers)
        threading.Thread(
            target=self.read_answer, args=(self.caller,), daemon=True
        ).start()

    def drop(self):
        """Shut the connection down."""
        with suppress(OSError):
            self.caller.sock.shutdown(socket.SHUT_RDWR)

    def read_answer(self, caller):
        """Read the answer on one connection to its end."""
        with suppress(OSError, EOFError, ValueError):
            self.status, headers = caller.read_head()
            if headers.get("transfer-encoding") == "chunked":
                self.read_events(caller)
            else:
                self.read_whole(caller, int(headers["content-length"]))
        caller.close()
        # A later connection may have replaced this one.
        if caller is self.caller:
            self.ended = True

    def read_events(self, caller):
        """Read the events of a stream."""
        buffer = b""
        while chunk := caller.read_chunk():
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                self.process_event(event.decode())

    def process_event(self, event):
        """Process one event: a token, usage data or the end mark."""
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        if fields["data"] == "[DONE]":
            self.whole = True
        elif "id" in fields:
            self.last = fields["id"]
            self.indexes.append(int(fields["id"].rpartition("/")[2]))
            self.tokens.append(json.loads(fields["data"])["choices"][0]["text"])

    def read_whole(self, caller, length):
        """Read an answer that is not streamed, or an error."""
        self.body = caller.read_bytes(length)
        value = json.loads(self.body)
        self.problem = value.get("type", "").rpartition("/")[2]
        if "choices" in value:
            self.tokens.append(value["choices"][0]["text"])
            self.whole = True


def make_begin_step(stream):
    def begin(play, name, count, entry):
        reader = Reader(name, f"prompt of {name}", int(count), stream)
        play.readers[name] = reader
        reader.connect(play.entries[entry].port)

    return begin


def wait_for_read(play, name, count):
    poll(lambda: len(play.readers[name].tokens) >= int(count), 20.0)


def wait_for_disconnect(play, name):
    poll(lambda: play.readers[name].ended, 20.0)
    assert not play.readers[name].whole


def reconnect(play, name, entry):
    play.readers[name].connect(play.entries[entry].port)


def reconnect_as_other(play, name, entry, repeat=False):
    """Send the same request with another customer's key."""
    reader = play.readers[name].copy(OTHER, repeat)
    play.readers[f"other-{name}"] = reader
    reader.connect(play.entries[entry].port)


def repeat_as_other(play, name, entry):
    reconnect_as_other(play, name, entry, repeat=True)


def wait_for_caller_left(play, name, entry):
    poll(lambda: "caller-left" in read_outcomes(play, name, entry), 20.0)


def read_outcomes(play, name, entry):
    """Return the outcomes of a request in an entry instance's log."""
    lines = read_file(play.entries[entry].stderr).splitlines()
    rows = [json.loads(line) for line in lines]
    return [row.get("outcome") for row in rows if row.get("request") == name]


def expect_problem(play, name, kind):
    reader = play.readers[name]
    poll(lambda: reader.ended, 20.0)
    assert reader.problem == kind, (reader.status, reader.body)


def expect_complete(play, name):
    reader = play.readers[name]
    poll(lambda: reader.ended, 30.0)
    assert reader.whole, (reader.status, reader.tokens, reader.body)
    expected = expected_tokens("memo", reader.prompt, reader.count)
    assert reader.text == "".join(expected), reader.tokens
    if reader.stream:
        assert reader.indexes == list(range(reader.count)), reader.indexes


def expect_refused(play, name, kind):
    reader = play.readers[name]
    poll(lambda: reader.ended, 20.0)
    assert reader.problem == kind, (reader.status, reader.body)
    assert not reader.tokens, reader.tokens


def expect_ended_by(play, name, entry):
    # The log line is written shortly after the last byte of the answer.
    poll(lambda: "ran" in read_outcomes(play, name, entry))


STEPS = {
    "begin_stream": make_begin_step(True),
    "begin_memo": make_begin_step(False),
    "when_read": wait_for_read,
    "when_cut": wait_for_disconnect,
    "drop": lambda play, name: play.readers[name].drop(),
    "reconnect": reconnect,
    "reconnect_other": reconnect_as_other,
    "repeat_other": repeat_as_other,
    "when_given_up": wait_for_caller_left,
    "expect_gets": expect_problem,
    "expect_joined": expect_complete,
    "expect_refused": expect_refused,
    "expect_by": expect_ended_by,
}
