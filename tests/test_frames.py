"""Tests of the frames between entry instances."""

import random
import unittest

import msgpack

from chervilwing import frames
from chervilwing.exceptions import BadFrame
from chervilwing.frames import Decoder, Frame


def wrap(payload):
    return len(payload).to_bytes(4, "big") + payload


class TestFrames(unittest.TestCase):
    def test_frames_survive_any_split(self):
        rng = random.Random(4)
        sent = tuple(Frame("ping", [n, b"x" * n, {"k": None}]) for n in range(50))
        stream = b"".join(frames.encode(frame) for frame in sent)
        decoder, got = Decoder(), []
        while stream:
            cut = rng.randint(1, 40)
            got += decoder.feed(stream[:cut])
            stream = stream[cut:]
        self.assertEqual(tuple(got), sent)

    def test_wrong_frames_are_bad_frames(self):
        deep = b"\x91" * 5000 + b"\xc0"
        cases = {
            "oversize": (frames.MAX_FRAME + 1).to_bytes(4, "big"),
            "unknown version": wrap(msgpack.packb({"v": 2, "t": "ping", "b": 0})),
            "version is a truth value": wrap(
                msgpack.packb({"v": True, "t": "ping", "b": 0})
            ),
            "not msgpack": wrap(b"\xc1\xc1"),
            "empty": wrap(b""),
            "trailing bytes": wrap(msgpack.packb({"v": 1, "t": "p", "b": 0}) + b"\0"),
            "list": wrap(msgpack.packb([1, "ping", 0])),
            "missing key": wrap(msgpack.packb({"v": 1, "t": "ping"})),
            "extra key": wrap(msgpack.packb({"v": 1, "t": "p", "b": 0, "x": 0})),
            "type is a number": wrap(msgpack.packb({"v": 1, "t": 7, "b": 0})),
            "unhashable key": wrap(b"\x81\x90\x01"),
            "deep nesting": wrap(deep),
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(BadFrame):
                Decoder().feed(data)

    def test_oversize_message_is_refused_by_its_sender(self):
        with self.assertRaises(BadFrame):
            frames.encode(Frame("value", b"x" * (frames.MAX_FRAME + 1)))

    def test_random_and_damaged_bytes_raise_only_bad_frame(self):
        rng = random.Random(11)
        good = frames.encode(Frame("items", [[1, "entry", "a", 5.0], {"k": b"v"}]))
        for _ in range(20_000):
            data = bytearray(good)
            for _ in range(rng.randint(1, 6)):
                data[rng.randrange(4, len(data))] = rng.randrange(256)
            payload = rng.choice([bytes(data), wrap(rng.randbytes(rng.randint(0, 40)))])
            try:
                Decoder().feed(payload)
            except BadFrame:
                continue
