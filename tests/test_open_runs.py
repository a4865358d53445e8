"""Tests of streams whose engine works on after their connection broke off."""

import time
import unittest

from chervilwing.stream_moves.backups import MIN_AGE
from chervilwing.stream_moves.mover import MAX_ENDING_TIME
from tests.test_stream_moves import CHAT, ENGINE, QUOTE, MovesCase

# Events of a stream of 2.4 s, and those after which its connection is reset.
LENGTH, BROKEN_AFTER = 120, 90
OFFERED = ENGINE._replace(backups=True)


class BrokenCase(MovesCase):
    engine = OFFERED

    def run_broken(self, path, length=LENGTH, **attributes):
        """Run a stream whose engine resets its connection; return it at its end."""
        # Backups begin once an answer has stated its engine's pace.
        self.begin(1, length=1)
        self.finish()
        for upstream in self.upstreams:
            upstream.resets_after = BROKEN_AFTER
            for name, value in attributes.items():
                setattr(upstream, name, value)
        (stream,) = self.begin(1, length=length, path=path)
        number = self.find_engine(stream)
        for other, upstream in enumerate(self.upstreams):
            if other != number:
                upstream.resets_after = None
        self.finish()
        self.expect_sound([stream])
        return stream

    def count_ended(self, result):
        """Return how many runs ended with a result."""
        return self.gateway.mover.count().get(f'runs_ended{{result="{result}"}}', 0)

    def expect_gone_on(self, path, result, **attributes):
        stream = self.run_broken(path, **attributes)
        self.assertTrue(stream.whole, stream.numbers[-3:])
        self.assertEqual(self.count_ended(result), 1)

    def expect_cut(self, path, **attributes):
        stream = self.run_broken(path, length=2 * LENGTH, **attributes)
        self.assertFalse(stream.whole)
        self.assertEqual(len(self.shared.runs[f"{stream.name}.1"].served), 1)
        self.assertLess(stream.ended_after, MAX_ENDING_TIME + 1.0)


class TestStopped(BrokenCase):
    def test_a_stream_with_a_backup_goes_on_once_its_engine_was_stopped(self):
        # Guards against two engines that work on one request after a broken connection.
        self.expect_gone_on(CHAT, "continued")

    def test_a_resumable_stream_goes_on_once_its_engine_was_stopped(self):
        # Guards against two engines that work on a stream that is sent again.
        self.expect_gone_on(QUOTE, "continued")

    def test_a_stream_goes_on_at_its_engine_if_the_copy_has_no_room(self):
        # Guards against losing a run that was stopped.
        self.expect_gone_on(CHAT, "continued", faults={"refuse": True})

    def test_a_lost_answer_to_the_call(self):
        # Guards against a send on while it is unknown whether the engine has stopped.
        self.expect_gone_on(CHAT, "continued", faults={"last": "lose"})

    def test_a_stream_whose_engine_answers_no_call_is_cut(self):
        # Guards against a second engine on nothing but the end of a connection.
        self.expect_cut(CHAT, silent_calls=True)
        self.expect_cut(QUOTE, silent_calls=True)

    def test_streams_of_a_crashed_engine_go_on_at_once(self):
        # Guards against pauses at engines that have ended.
        for path in (CHAT, QUOTE):
            self.begin(1, length=1)
            streams = self.begin(6, length=LENGTH, path=path)
            time.sleep(MIN_AGE)
            number = self.find_engine(streams[0])
            self.upstreams[number].die()
            self.gateway.remove_upstream_now(f"u{number}")
            self.expect_whole(streams)
            self.assertLess(max(item.longest_pause for item in streams), 0.4)
        self.assertGreater(self.count_ended("gone"), 0)


class TestVersions(BrokenCase):
    # No engine has room for a copy.
    engine = OFFERED._replace(memory_tokens=1000)
    engines = 4

    def test_a_stream_goes_on_at_its_version_where_no_engine_has_room(self):
        # Guards against going on from a copy at an engine of another version.
        versions = ("v1", "v1", "v2", "v2")
        for number, version in enumerate(versions):
            self.put(number, version=version)
        for _ in range(4):
            stream = self.run_broken(QUOTE)
            self.assertTrue(stream.whole, stream.numbers[-3:])
            name = f"{stream.name}.1"
            found = {
                version
                for version, upstream in zip(versions, self.upstreams, strict=True)
                if name in dict(upstream.spans)
            }
            self.assertEqual(len(found), 1)


class TestAsked(BrokenCase):
    engine = OFFERED._replace(moves=False)

    def test_a_stream_with_a_backup_goes_on_once_its_run_has_ended(self):
        # Guards against two engines where a run can't be stopped.
        self.expect_gone_on(CHAT, "stopped")

    def test_a_resumable_stream_goes_on_once_its_run_has_ended(self):
        # Guards against the same where the stream is sent again.
        self.expect_gone_on(QUOTE, "stopped")

    def test_a_report_from_before_the_break_proves_nothing(self):
        # Guards against reports that don't list a run yet.
        self.expect_cut(CHAT, report_lag=0.45)

    def test_a_stream_whose_engine_works_on_for_long_is_cut(self):
        # Guards against callers that wait for a stream that can't go on.
        self.expect_cut(QUOTE)


if __name__ == "__main__":
    unittest.main()
