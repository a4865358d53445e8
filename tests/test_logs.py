"""Tests of the log lines: their formats, limits and what they must not contain."""

import io
import json
import os
import unittest

from loguru import logger

from chervilwing.exceptions import PoolFull
from chervilwing.logs import (
    NonBlockingSink,
    RequestLine,
    count_dropped_lines,
    log_event,
    log_failure,
    log_request,
    set_up_logs,
)
from chervilwing.settings import read_settings

SECRET = "driver 4711 lost his licence"
LOG_ENTRY = RequestLine("r-1", "c", "memo", "e1", 2, 101, 7, "ran", seconds=5.8)


class TestLogs(unittest.TestCase):
    def collect(self, log_format, write):
        """Return the lines logged while ``write`` runs."""
        cfg = read_settings(["--embedded", "--log-format", log_format], {}).unwrap()
        sink = io.StringIO()
        set_up_logs(cfg, sink)
        self.addCleanup(logger.remove)
        write()
        return sink.getvalue().splitlines()

    def test_json_line_contains_every_field_of_a_request(self):
        (text,) = self.collect("json", lambda: log_request(LOG_ENTRY))
        fields = json.loads(text)
        for name, value in LOG_ENTRY._asdict().items():
            self.assertEqual(fields.pop(name), value)
        self.assertEqual(sorted(fields), ["at", "level", "message"])

    def test_text_line(self):
        (text,) = self.collect("text", lambda: log_request(LOG_ENTRY))
        self.assertIn('info request request="r-1" customer="c"', text)

    def test_no_line_holds_a_prompt_a_key_or_a_body(self):
        # A parser fails on a prompt, and its message quotes the prompt. With loguru's
        # defaults the traceback would include the message and the variables of each
        # frame, so that confidential data would reach a third party's logs.
        def fail():
            prompt = SECRET
            try:
                raise ValueError(prompt)
            except ValueError as exc:
                log_failure("parse", exc, request="r-1")
                logger.exception("unexpected")
                logger.opt(exception=exc).error("again")

        for log_format in ("json", "text"):
            with self.subTest(form=log_format):
                lines = self.collect(log_format, fail)
                self.assertEqual(len(lines), 3)
                for text in lines:
                    self.assertNotIn(SECRET, text)
                    self.assertIn("ValueError", text)
                    self.assertIn("test_logs.py", text)

    def test_messages_of_own_exceptions_are_logged(self):
        (text,) = self.collect(
            "json", lambda: log_failure("admit", PoolFull("memo full"))
        )
        self.assertEqual(json.loads(text)["detail"], "memo full")

    def test_a_request_id_is_escaped_and_truncated(self):
        line = LOG_ENTRY._replace(request="x\n{braces} <red>" + "y" * 9000)
        for log_format in ("json", "text"):
            (text,) = self.collect(log_format, lambda: log_request(line))
            self.assertLess(len(text), 1000)

    def test_event_fields_are_logged_and_lower_levels_are_not(self):
        def write():
            log_event("started", port=8080)
            logger.debug("hidden")

        (text,) = self.collect("json", write)
        self.assertEqual(json.loads(text)["port"], 8080)


class TestLimits(unittest.TestCase):
    def test_a_stalled_reader_does_not_block_the_writer(self):
        # The log collector stops reading and the pipe fills up. A blocking write of the
        # next line would stop every request of the process.
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        sink, before = NonBlockingSink(writing), count_dropped_lines()
        for _ in range(200):
            sink.write("x" * 1000 + "\n")
        self.assertGreater(count_dropped_lines(), before)
        read = b""
        while len(read) < 60000:
            read += os.read(reading, 65536)
        sink.write("whole again\n")
        rest = os.read(reading, 65536)
        lines = (read + rest).split(b"\n")
        self.assertEqual({len(line) for line in lines[:-2]}, {1000})
        self.assertEqual(lines[-2], b"whole again")

    def test_request_log_lines_beyond_the_rate_limit_are_dropped(self):
        sink = io.StringIO()
        cfg = read_settings(["--embedded"], {}).unwrap()
        set_up_logs(cfg, sink)
        self.addCleanup(logger.remove)
        before = count_dropped_lines()
        for _ in range(2000):
            log_request(LOG_ENTRY)
        written = len(sink.getvalue().splitlines())
        self.assertEqual(written + count_dropped_lines() - before, 2000)
        self.assertLess(written, 1500)
