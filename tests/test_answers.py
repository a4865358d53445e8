"""Tests of how an answer is assembled from the events of its attempts."""

import json
import unittest

from chervilwing.answers import EVENT_LIMIT, TEXT_LIMIT, Answer
from chervilwing.exceptions import UpstreamFailed

DONE = b"data: [DONE]\n\n"


def event(attempt="a", **fields):
    """Return one event of an engine."""
    return b"data: " + json.dumps({"attempt": attempt, **fields}).encode() + b"\n\n"


def token(index, attempt="a"):
    """Return the event of a token whose text is its index."""
    return event(attempt, index=index, token=f" {index}")


def usage_event(count, attempt="a"):
    """Return the event with an attempt's usage."""
    usage = {"completion_tokens": count, "recomputed_tokens": 1}
    return event(attempt, usage=usage, finish_reason="length")


class TestAnswer(unittest.TestCase):
    def setUp(self):
        self.answer = Answer()
        self.answer.begin("a")

    def check_failure(self, data):
        with self.assertRaises(UpstreamFailed):
            self.answer.feed(data)
        self.assertFalse(self.answer.complete)

    def test_invalid_events_raise_upstream_failed(self):
        rows = (
            b"data: {\n\n",
            b"data: 7\n\n",
            b"data: \xff\n\n",
            event(index="0", token="x"),
            event(index=-1, token="x"),
            event(token="x"),
            event(index=1, token="x"),
            event(index=0, token=7),
            event(usage=5) + DONE,
            event(usage={"completion_tokens": "0"}) + DONE,
            event(usage={}) + DONE,
            usage_event(1) + DONE,
            usage_event(0, "b") + DONE,
            DONE,
            b"x" * (EVENT_LIMIT + 1),
        )
        for data in rows:
            with self.subTest(data=data[:60]):
                self.setUp()
                self.check_failure(data)

    def test_tokens_beyond_the_requested_number_are_ignored(self):
        """Guards against an engine whose tokens fill the memory."""
        self.answer = Answer(max_tokens=2)
        self.answer.begin("a")
        self.assertEqual(self.answer.feed(token(0) + token(1)), [" 0", " 1"])
        for index in (2, 3, 9):
            self.assertEqual(self.answer.feed(token(index)), [])
        self.check_failure(usage_event(5) + DONE)
        # The next attempt goes on with the tokens before.
        self.answer.begin("b")
        self.answer.feed(usage_event(0, "b") + DONE)
        self.assertEqual((self.answer.text, self.answer.complete), (" 0 1", True))

    def test_a_text_without_end_raises_upstream_failed(self):
        """Guards against an engine whose few tokens fill the memory."""
        text = "x" * (EVENT_LIMIT // 2)
        allowed = TEXT_LIMIT // len(text)
        for index in range(allowed):
            self.answer.feed(event(index=index, token=text))
        self.check_failure(event(index=allowed, token=text))
        self.assertEqual(len(self.answer.tokens), allowed)

    def test_events_of_other_attempts_are_ignored(self):
        self.answer.feed(token(0) + token(1, "late") + token(1))
        self.answer.begin("b")
        added = self.answer.feed(token(2, "a") + token(1, "b") + token(2, "b"))
        self.assertEqual(added, [" 2"])
        self.answer.feed(usage_event(3, "a") + usage_event(1, "b") + DONE)
        self.assertEqual((self.answer.text, self.answer.complete), (" 0 1 2", True))
        self.assertEqual(self.answer.recomputed, 1)

    def test_events_after_the_end_mark_are_ignored(self):
        self.answer.feed(token(0) + usage_event(1) + DONE + token(1) + DONE)
        self.answer.feed(token(1))
        self.assertEqual(self.answer.text, " 0")

    def test_events_split_between_reads_give_the_same_tokens(self):
        data = token(0) + token(1) + usage_event(2) + DONE
        for at in range(len(data)):
            self.setUp()
            added = self.answer.feed(data[:at]) + self.answer.feed(data[at:])
            self.assertEqual((added, self.answer.complete), ([" 0", " 1"], True))


if __name__ == "__main__":
    unittest.main()
