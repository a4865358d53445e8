"""Tests of the streams between entry instances: bad bytes end one stream only."""

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
from chervilwing.peers import split
from chervilwing.segments import Outcome, Verdict
from chervilwing.wire import rebuild
from tests.deployments import Deployment, complete
from tests.procs import HOST, poll, read_file

SEED = 20261202


class Sample(NamedTuple):
    """One field of each form that messages have."""

    name: str
    number: float
    count: int
    names: tuple[str, ...]
    outcome: Outcome | None = None


GOOD = ["a", 1, 2, ["b"], [200, "body", True]]


class TestWire(unittest.TestCase):
    def test_a_message_comes_back_as_its_type(self):
        sample = rebuild(Sample, GOOD)
        self.assertEqual(sample.outcome, Outcome(200, "body"))
        self.assertEqual(sample.names, ("b",))
        verdict = Verdict("claim", "op", "granted", 3.0)
        frame = Decoder().feed(encode(Frame("message", list(verdict))))[0]
        self.assertEqual(rebuild(Verdict, frame.body), verdict)

    def test_a_large_message_goes_in_parts_that_each_fit_a_frame(self):
        # A recorded outcome may be larger than a frame. Sent as one it was refused at
        # the sender, and the caller's retry on another instance never saw it.
        body = packb(["Verdict", ["x" * 900_000]])
        data = b"".join(encode(frame) for frame in split(body))
        found = Decoder().feed(data)
        self.assertEqual(b"".join(frame.body for frame in found), body)
        self.assertEqual([frame.type for frame in found][-2:], ["part", "message"])

    def test_wrong_shapes_are_bad_frames(self):
        # A peer of another version sends a message with other fields. Anything but a
        # BadFrame would end the task that serves all peers.
        rng = random.Random(SEED)
        junk = (None, True, 7, -1.5, "x", b"y", [], [[]], {"k": 1}, ["a"] * 9)
        for _ in range(2000):
            fields = list(GOOD)
            fields[rng.randrange(len(fields))] = rng.choice(junk)
            value = rng.choice((fields, fields[: rng.randrange(5)], rng.choice(junk)))
            try:
                rebuild(Sample, value)
            except BadFrame:
                continue
            self.assertEqual(len(value), len(GOOD))


class TestPeerPort(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        self.deployment.start_upstreams()

    def test_garbage_ends_its_own_connection_and_nothing_else(self):
        # A port scanner, or an instance of a future version, connects to the peer port.
        # Its stream ends with a typed failure; callers and other peers notice nothing.
        entry = self.deployment.start_entry("one")
        port = entry.info["peer_port"]
        record = Record("stranger", Address(HOST, 1), "a", "local")
        hello = encode(Frame("hello", to_wire(record)))
        attacks = (
            b"GET / HTTP/1.1\r\n\r\n",
            (MAX_FRAME + 1).to_bytes(4, "big"),
            hello + encode(Frame("message", packb(["Verdict", ["too", "few"]]))),
            hello + encode(Frame("message", packb([[], 1]))),
            hello + encode(Frame("message", b"\xc1")),
            hello + encode(Frame("part", bytes(MAX_FRAME - 64))) * 40,
            encode(Frame("no-such-type", None)),
            encode(Frame("hello", [0, "x"])),
        )
        for data in attacks:
            with self.subTest(data=data[:20]):
                with socket.create_connection((HOST, port), 10) as sock:
                    with contextlib.suppress(ConnectionError):
                        sock.sendall(data)
                        while sock.recv(65536):
                            pass
        poll(lambda: read_file(entry.stderr).count('"bad frame"') == len(attacks))
        self.assertEqual(complete(entry).status, 200)
