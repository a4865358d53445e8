"""Tests of the streams between entry instances: bad data closes one stream only."""

import contextlib
import random
import socket
import unittest
from typing import NamedTuple

from msgpack import packb

from chervilwing.exceptions import BadFrame
from chervilwing.frames import MAX_FRAME, Decoder, Frame, encode
from chervilwing.gossip import Record, to_wire
from chervilwing.models import Address
from chervilwing.peers import split_message
from chervilwing.segments import Outcome, Verdict
from chervilwing.wire import rebuild
from tests.deployments import Deployment, complete
from tests.procs import HOST, poll, read_file

SEED = 20261202


class Sample(NamedTuple):
    """Hold a message with one field of each supported type."""

    name: str
    number: float
    count: int
    names: tuple[str, ...]
    outcome: Outcome | None = None


VALID_FIELDS = ["a", 1, 2, ["b"], [200, "body", True]]


class TestWire(unittest.TestCase):
    def test_message_is_rebuilt_as_its_type(self):
        sample = rebuild(Sample, VALID_FIELDS)
        self.assertEqual(sample.outcome, Outcome(200, "body"))
        self.assertEqual(sample.names, ("b",))
        verdict = Verdict("claim", "op", "granted", 3.0)
        frame = Decoder().feed(encode(Frame("message", list(verdict))))[0]
        self.assertEqual(rebuild(Verdict, frame.body), verdict)

    def test_large_message_is_sent_in_parts_that_fit_a_frame(self):
        # A recorded outcome may be larger than a frame. In a single frame the sender
        # refused it, and the caller's retry on another instance never got the outcome.
        body = packb(["Verdict", ["x" * 900_000]])
        data = b"".join(encode(frame) for frame in split_message(body))
        frames = Decoder().feed(data)
        self.assertEqual(b"".join(frame.body for frame in frames), body)
        self.assertEqual([frame.type for frame in frames][-2:], ["part", "message"])

    def test_malformed_fields_raise_bad_frame(self):
        # A peer of another version sends a message with different fields. Any exception
        # other than BadFrame would end the task that serves all peers.
        rng = random.Random(SEED)
        invalid_values = (None, True, 7, -1.5, "x", b"y", [], [[]], {"k": 1}, ["a"] * 9)
        for _ in range(2000):
            fields = list(VALID_FIELDS)
            fields[rng.randrange(len(fields))] = rng.choice(invalid_values)
            value = rng.choice(
                (fields, fields[: rng.randrange(5)], rng.choice(invalid_values))
            )
            try:
                rebuild(Sample, value)
            except BadFrame:
                continue
            self.assertEqual(len(value), len(VALID_FIELDS))


class TestPeerPort(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        self.deployment.start_upstreams()

    def test_malformed_data_closes_only_its_own_connection(self):
        # A port scanner or an instance of a future version connects to the peer port.
        # Only its stream is closed, with a BadFrame; callers and other peers are
        # served.
        entry = self.deployment.start_entry("one")
        port = entry.info["peer_port"]
        record = Record("stranger", Address(HOST, 1), "a", "local")
        hello = encode(Frame("hello", to_wire(record)))
        inputs = (
            b"GET / HTTP/1.1\r\n\r\n",
            (MAX_FRAME + 1).to_bytes(4, "big"),
            hello + encode(Frame("message", packb(["Verdict", ["too", "few"]]))),
            hello + encode(Frame("message", packb([[], 1]))),
            hello + encode(Frame("message", b"\xc1")),
            hello + encode(Frame("part", bytes(MAX_FRAME - 64))) * 40,
            encode(Frame("no-such-type", None)),
            encode(Frame("hello", [0, "x"])),
        )
        for data in inputs:
            with self.subTest(data=data[:20]):
                with socket.create_connection((HOST, port), 10) as sock:
                    with contextlib.suppress(ConnectionError):
                        sock.sendall(data)
                        while sock.recv(65536):
                            pass
        poll(lambda: read_file(entry.stderr).count('"bad frame"') == len(inputs))
        self.assertEqual(complete(entry).status, 200)
