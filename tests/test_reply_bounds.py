"""Tests of replies beyond the limits of their calls."""

import time
import unittest
from unittest.mock import patch

from chervilwing.connections import Call, Client
from chervilwing.exceptions import ReplyTooLarge, ReplyTooSlow
from chervilwing.models import Address
from chervilwing.reply_bounds import KEPT_REPLY, STREAMED_REPLY, ReplyBound
from tests.procs import HOST
from tests.test_connections import CallRecorder
from tests.upstreams import CHUNKED_END, CHUNKED_HEAD, Loop, RawUpstream

OK = b"HTTP/1.1 200 OK\r\n"
SILENCE_TIMEOUT = 0.3
PAUSE = 0.05
# Registrations and instances of the largest design, and the bytes of one item in a
# reply of the platform's store.
ITEMS, ITEM_BYTES = 660 + 320, 500


class TestReplyBounds(unittest.TestCase):
    def setUp(self):
        self.loop = Loop()
        self.client = Client(self.loop.poller).register(self.loop.root)
        self.addCleanup(self.loop.run_until, lambda: not self.client.count_idle())

    def submit(self, script, path="/", **options):
        """Start a call to a scripted server and return its recorder."""
        upstream = RawUpstream(script)
        self.addCleanup(upstream.close)
        return self.submit_to(upstream.port, path, **options)

    def submit_to(self, port, path="/", **options):
        """Start a call to a port and return its recorder."""
        recorder = CallRecorder()
        options = {"probe_if_silent": False, "new_connection": True} | options
        call = Call(Address(HOST, port), "GET", path, {}, **options)
        recorder.state = self.client.submit(call, recorder.handlers)
        return recorder

    def call(self, script, **options):
        """Make a call to a scripted server and return its recorder."""
        recorder = self.submit(script, **options)
        self.loop.run_until(lambda: recorder.finished)
        return recorder

    def make_script(self, *pieces, pause=0.0):
        """Return a script that sends pieces with pauses between them."""

        def script(conn, method, path, body):
            for piece in pieces:
                conn.sendall(piece)
                time.sleep(pause)

        return script

    def test_a_reply_of_the_limit_is_accepted_and_a_larger_one_refused(self):
        """Guards against a limit that cuts a reply which fits."""
        body = b"x" * 5000
        head = OK + b"Content-Length: 5000\r\n\r\n"
        bound = KEPT_REPLY._replace(max_bytes=len(head + body))
        found = self.call(self.make_script(head + body), bound=bound)
        self.assertEqual((found.failure, found.body), (None, body))
        bound = bound._replace(max_bytes=bound.max_bytes - 1)
        found = self.call(self.make_script(head + body), bound=bound)
        self.assertIs(type(found.failure), ReplyTooLarge)

    def test_a_length_beyond_the_limit_is_refused_before_the_body(self):
        """Guards against reading megabytes of a reply that can't be accepted."""
        for head in (
            OK + b"Content-Length: 99999999\r\n\r\n",
            CHUNKED_HEAD + b"fffffff\r\n",
        ):
            found = self.call(self.make_script(head, pause=SILENCE_TIMEOUT))
            self.assertIs(type(found.failure), ReplyTooLarge)

    def test_ten_times_the_list_of_the_largest_design_is_accepted(self):
        """Guards against a limit that a large deployment's store exceeds."""
        body = b"x" * (10 * ITEMS * ITEM_BYTES)
        head = OK + b"Content-Length: %d\r\n\r\n" % len(body)
        found = self.call(self.make_script(head + body))
        self.assertEqual((found.failure, len(found.body)), (None, len(body)))

    def test_a_reply_of_single_bytes_is_refused_after_its_time(self):
        """Guards against calls that such a reply keeps open for ever."""
        bound = KEPT_REPLY._replace(max_seconds=0.2)
        script = self.make_script(CHUNKED_HEAD, *[b"1\r\nx\r\n"] * 100, pause=PAUSE)
        began = time.monotonic()
        found = self.call(script, bound=bound, silence_timeout=SILENCE_TIMEOUT)
        self.assertIs(type(found.failure), ReplyTooSlow)
        self.assertLess(time.monotonic() - began, 2.0)

    def test_interim_heads_do_not_extend_the_time_of_a_reply(self):
        """Guards against 100 Continue sent slowly in place of a reply."""
        bound = KEPT_REPLY._replace(max_seconds=0.2)
        heads = [b"HTTP/1.1 100 Continue\r\n\r\n"] * 90
        script = self.make_script(*heads, pause=PAUSE)
        found = self.call(script, bound=bound, silence_timeout=SILENCE_TIMEOUT)
        self.assertIs(type(found.failure), ReplyTooSlow)

    def test_a_reply_that_waits_within_its_silence_timeout_is_kept(self):
        """Guards against a limit that cuts a watch which waits for changes."""

        def script(conn, method, path, body):
            conn.sendall(CHUNKED_HEAD)
            time.sleep(0.5)
            conn.sendall(b"1\r\nx\r\n" + CHUNKED_END)

        bound = KEPT_REPLY._replace(max_seconds=0.1)
        found = self.call(script, bound=bound, silence_timeout=1.0)
        self.assertEqual((found.failure, found.body), (None, b"x"))

    def test_streamed_replies_have_no_limit(self):
        """Guards against a limit on answers that are passed on to callers."""
        self.assertEqual(STREAMED_REPLY.max_bytes, float("inf"))
        body = b"x" * 200_000
        head = OK + b"Content-Length: 200000\r\n\r\n"
        with patch("chervilwing.connections.MAX_SHARED_BYTES", 1000):
            found = self.call(self.make_script(head + body), bound=STREAMED_REPLY)
        self.assertEqual((found.failure, found.body), (None, body))

    def test_the_largest_of_many_replies_is_refused(self):
        """Guards against many replies that each take the limit of one."""
        small = CHUNKED_HEAD + b"4\r\nokok\r\n"
        large = [CHUNKED_HEAD, *[b"3e8\r\n" + b"x" * 1000 + b"\r\n"] * 20]
        with patch("chervilwing.connections.MAX_SHARED_BYTES", 5000):
            first = self.submit(self.make_script(small, CHUNKED_END, pause=0.5))
            second = self.submit(self.make_script(*large, pause=PAUSE))
            self.loop.run_until(lambda: first.finished and second.finished)
        self.assertEqual((first.failure, first.body), (None, b"okok"))
        self.assertIs(type(second.failure), ReplyTooLarge)
        # The refused reply no longer counts.
        found = self.call(self.make_script(small + CHUNKED_END))
        self.assertEqual(found.body, b"okok")

    def test_a_change_is_logged_once(self):
        """Guards against a line for each of the calls that are repeated."""
        replies = []
        upstream = RawUpstream(lambda conn, *rest: conn.sendall(replies.pop()))
        self.addCleanup(upstream.close)
        whole = OK + b"Content-Length: 2\r\n\r\nok"
        large = OK + b"Content-Length: 200\r\n\r\n"
        replies += [large, whole, whole, large, large]
        bound = ReplyBound(100, 1.0)
        with patch("chervilwing.connections.log_event") as log:
            for number in range(5):
                found = self.submit_to(upstream.port, f"/p?n={number}", bound=bound)
                self.loop.run_until(lambda found=found: found.finished)
        lines = [item.args[0] for item in log.call_args_list]
        expected = ["reply refused", "replies accepted again", "reply refused"]
        self.assertEqual(lines, expected)
        self.assertEqual(log.call_args_list[0].kwargs["call"], "GET /p")
        self.assertEqual(self.client.refused_replies.count, 3)


if __name__ == "__main__":
    unittest.main()
