"""Tests of the frames between entry instances."""

import random
import unittest

import msgpack

from chervilwing import frames
from chervilwing.exceptions import BadFrame
from chervilwing.frames import Decoder, Frame


def prepend_length(payload):
    return len(payload).to_bytes(4, "big") + payload


class TestFrames(unittest.TestCase):
    def test_frames_are_decoded_from_any_chunks(self):
        rng = random.Random(4)
        sent = tuple(Frame("ping", [n, b"x" * n, {"k": None}]) for n in range(50))
        stream = b"".join(frames.encode(frame) for frame in sent)
        decoder, decoded = Decoder(), []
        while stream:
            size = rng.randint(1, 40)
            decoded += decoder.feed(stream[:size])
            stream = stream[size:]
        self.assertEqual(tuple(decoded), sent)

    def test_malformed_frames_raise_bad_frame(self):
        deep = b"\x91" * 5000 + b"\xc0"
        cases = {
            "oversize": (frames.MAX_FRAME + 1).to_bytes(4, "big"),
            "unknown version": prepend_length(
                msgpack.packb({"v": 2, "t": "ping", "b": 0})
            ),
            "version is a boolean": prepend_length(
                msgpack.packb({"v": True, "t": "ping", "b": 0})
            ),
            "not msgpack": prepend_length(b"\xc1\xc1"),
            "empty": prepend_length(b""),
            "trailing bytes": prepend_length(
                msgpack.packb({"v": 1, "t": "p", "b": 0}) + b"\0"
            ),
            "list": prepend_length(msgpack.packb([1, "ping", 0])),
            "missing key": prepend_length(msgpack.packb({"v": 1, "t": "ping"})),
            "extra key": prepend_length(
                msgpack.packb({"v": 1, "t": "p", "b": 0, "x": 0})
            ),
            "type is a number": prepend_length(msgpack.packb({"v": 1, "t": 7, "b": 0})),
            "unhashable key": prepend_length(b"\x81\x90\x01"),
            "deep nesting": prepend_length(deep),
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(BadFrame):
                Decoder().feed(data)

    def test_encoding_an_oversize_frame_raises_bad_frame(self):
        with self.assertRaises(BadFrame):
            frames.encode(Frame("value", b"x" * (frames.MAX_FRAME + 1)))

    def test_random_and_damaged_bytes_raise_only_bad_frame(self):
        rng = random.Random(11)
        valid = frames.encode(Frame("items", [[1, "entry", "a", 5.0], {"k": b"v"}]))
        for _ in range(20_000):
            data = bytearray(valid)
            for _ in range(rng.randint(1, 6)):
                data[rng.randrange(4, len(data))] = rng.randrange(256)
            payload = rng.choice(
                [bytes(data), prepend_length(rng.randbytes(rng.randint(0, 40)))]
            )
            try:
                Decoder().feed(payload)
            except BadFrame:
                continue
