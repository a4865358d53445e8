"""Tests of the splitting of streams into events."""

import random
import unittest

from chervilwing.events import EventReader

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\r\ndata: b\r\n\r\n", b"data: c\rid: 3\r\r")
FORMS = (
    b"id: %d\ndata: a\n\n",
    b"id: %d\r\ndata: b\r\n\r\n",
    b"data: c\rid: %d\r\r",
)


class TestEnds(unittest.TestCase):
    def test_only_the_end_of_an_event_ends_a_stream(self):
        # Guards against a stream that is cut anywhere and counts as whole.
        whole = b"".join(EVENTS)
        ends = {0, *(len(b"".join(EVENTS[:count])) for count in (1, 2, 3))}
        for resumable in (True, False):
            for end in range(len(whole) + 1):
                reader = EventReader(resumable)
                reader.feed(whole[:end])
                # A CR may be a whole line end, so that its LF may be missing.
                at_end = end in ends or whole[:end].endswith(b"\r\n\r")
                self.assertEqual(reader.has_partial, not at_end, whole[:end])

    def test_comments_and_empty_lines_after_an_event_end_a_whole_stream(self):
        # Guards against cutting whole answers whose last line isn't an event's.
        for rest in (b": bye\n", b"\n", b"\r\n", b":\r: x\r", b": a\n\n"):
            for resumable in (True, False):
                reader = EventReader(resumable)
                sent = reader.feed(EVENTS[0]) + reader.feed(rest)
                self.assertFalse(reader.has_partial, rest)
                self.assertEqual(sent + reader.take_rest(), EVENTS[0] + rest)
        reader.feed(b": by")
        self.assertTrue(reader.has_partial)

    def test_any_split_of_the_bytes_gives_the_same_events(self):
        rng = random.Random(1)
        events = [rng.choice(FORMS) % number for number in range(1, 41)]
        whole = b"".join(events)
        for resumable in (True, False):
            reader, data, sent = EventReader(resumable), whole, b""
            while data:
                size = rng.randint(1, 20)
                sent, data = sent + reader.feed(data[:size]), data[size:]
            self.assertEqual(sent + reader.take_rest(), whole)
            self.assertFalse(reader.has_partial)
            known = ("1", "40", 40) if resumable else ("", "", 0)
            self.assertEqual((reader.first_id, reader.last_id, reader.count), known)

    def test_an_endless_event_is_tracked_in_bounded_memory(self):
        reader = EventReader(resumable=False)
        for _ in range(100):
            self.assertEqual(reader.feed(b": x\n" * 5000), b": x\n" * 5000)
        self.assertLess(len(reader._buffer), 100_000)
        self.assertTrue(reader.has_partial)
        reader.feed(b"data: y\n\n")
        self.assertFalse(reader.has_partial)


if __name__ == "__main__":
    unittest.main()
