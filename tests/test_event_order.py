"""Tests that callers get the events of a stream in order, each once."""

import copy
import threading
import unittest
from unittest.mock import patch

from chervilwing.clocks import read_boottime
from chervilwing.events import EventReader, is_after, read_ids
from chervilwing.exceptions import EventOutOfOrder
from tests.procs import poll
from tests.test_gateway import EVENTS, GatewayCase, close_after_sent, encode_chunk
from tests.versioned_upstreams import LENGTH, Stream, VersionedUpstream

WHOLE = list(range(1, LENGTH + 1))
END = b"0\r\n\r\n"


def make_events(*ids):
    """Return events with these ids, None for one without an id."""
    lines = [b"" if id_ is None else b"id: %b\n" % str(id_).encode() for id_ in ids]
    return b"".join(line + b"data: x\n\n" for line in lines)


class TestIds(unittest.TestCase):
    def test_the_id_of_each_event_is_read_wherever_it_stands(self):
        # Guards against another resumption point than the caller's own.
        cases = {
            b"id: 1\ndata: a\n\nid:2\ndata: b\n\n": [b"1", b"2"],
            b"data: a\r\nid: 3\r\n\r\ndata: b\rid: 4\r\r": [b"3", b"4"],
            b"id: 1\nid: 2\ndata: a\n\n": [b"2"],
            b"id: 1\ndata: id: 9\ndata:\nid: 2\n\n": [b"2"],
            b"v: 3\nid: 1\ndata: a\n\ndata: b\n\n": [b"1", b""],
            b"id:\ndata: a\n\ndata\n\n": [b"", b""],
            b": id: 1\n\nretry: 5\n\nevent: x\n\n\n\n": [],
            b"\nid: 7\n\n": [b"7"],
        }
        for events, ids in cases.items():
            self.assertEqual(read_ids(events), ids, events)

    def test_numbers_have_an_order_and_other_ids_only_repeat(self):
        # Guards against sound streams whose ids aren't numbers that count as repeats.
        pairs = (
            (b"10", b"9"),
            (b"010", b"9"),
            (b"a", b"b"),
            (b"a", b"7"),
            (b"b", b"a"),
        )
        for id_, last_id in pairs:
            self.assertTrue(is_after(id_, last_id), (id_, last_id))
        for id_, last_id in ((b"9", b"10"), (b"07", b"7"), (b"a", b"a")):
            self.assertFalse(is_after(id_, last_id), (id_, last_id))
        self.assertTrue(is_after(b"1" * 5000, b"9" * 4999))


class OrderCase(GatewayCase):
    def setUp(self):
        lines = patch("chervilwing.gateway.log_request")
        self.log_request = lines.start()
        self.addCleanup(lines.stop)

    def start_pair(self, first, second):
        """Start upstreams that send these bytes; the first then breaks off."""

        def break_off(conn, *request):
            conn.sendall(EVENTS + encode_chunk(first))
            self.open_second_upstream()
            close_after_sent(conn)

        return self.start_with_second_closed(break_off, self.make_script(second))

    def make_script(self, body):
        """Return an upstream's script that answers with a whole stream."""
        return lambda conn, *request: conn.sendall(EVENTS + encode_chunk(body) + END)

    def make_whole(self, *ids):
        """Return the script of a whole stream with these ids."""
        return self.make_script(make_events(*ids))

    def get_line(self):
        """Return the log line of the only request."""
        poll(lambda: self.log_request.call_count)
        self.log_request.assert_called_once()
        return self.log_request.call_args[0][0]


class TestLogLine(OrderCase):
    def test_a_line_tells_where_a_stream_goes_on(self):
        # Guards against a stream out of order whose cause the log doesn't tell.
        run = self.start_pair(make_events(5, 6), make_events(7, 8))
        run.call("POST", "/quote/x", Last_Event_Id="4", Resumes="r0")
        line = self.get_line()
        self.assertEqual(
            (line.resumes_after, line.first_event, line.last_event, line.out_of_order),
            ("4", "5", "8", 0),
        )


class TestJoins(OrderCase):
    def expect_cut(self, response, *ids):
        """Expect events with these ids in an answer that is visibly incomplete."""
        self.assertEqual(response.body, make_events(*ids))
        self.assertFalse(response.whole)
        self.assertEqual(self.get_line().out_of_order, 1)

    def expect_joined(self, ids, first, second):
        """Expect that events are relayed if two upstreams send these."""
        run = self.start_pair(make_events(*first), make_events(*second))
        response = run.call("POST", "/quote/x")
        self.assertEqual(response.body, make_events(*ids))
        self.assertTrue(response.whole)

    def test_a_run_that_repeats_the_last_event_is_not_relayed(self):
        # Guards against an upstream that goes on at Last-Event-Id, not after it.
        run = self.start_pair(make_events(1, 2, 3), make_events(3, 4, 5))
        self.expect_cut(run.call("POST", "/quote/x"), 1, 2, 3)

    def test_a_run_that_begins_anew_is_not_relayed(self):
        # Guards against an upstream that ignores Last-Event-Id.
        run = self.start_pair(make_events(1, 2, 3), make_events(1, 2, 3, 4))
        self.expect_cut(run.call("POST", "/quote/x"), 1, 2, 3)

    def test_a_run_that_repeats_an_id_that_is_no_number_is_not_relayed(self):
        # Guards against repeats where ids have no order.
        run = self.start_pair(make_events("a", "c"), make_events("c", "b"))
        self.expect_cut(run.call("POST", "/quote/x"), "a", "c")

    def test_a_run_that_repeats_what_its_caller_has_is_not_relayed(self):
        # Guards against an upstream that ignores the caller's Last-Event-Id.
        for ids in ((1, 2, 3, 4), (3, 4)):
            self.log_request.reset_mock()
            run = self.start(self.make_whole(*ids))
            response = run.call("POST", "/quote/x", Last_Event_Id="3", Resumes="r0")
            self.expect_cut(response)

    def test_a_caller_that_has_read_nothing_makes_no_upstream_fail(self):
        # Guards against a sound upstream that is left for what a caller claims.
        run = self.start(self.make_whole(1, 2))
        for _ in range(6):
            run.call("POST", "/quote/x", Last_Event_Id="99", Resumes="r0")
        (state,) = run.gateway.pools["web"].upstream_states.values()
        self.assertEqual(state.get_failure_rate(read_boottime()), 0.0)

    def test_what_a_caller_has_bounds_each_attempt(self):
        # Guards against a second attempt that only the first one's events bound.
        run = self.start_pair(b": begun\n\n", make_events(3, 4))
        response = run.call("POST", "/quote/x", Last_Event_Id="3", Resumes="r0")
        self.assertEqual(response.body, b": begun\n\n")
        self.assertFalse(response.whole)

    def test_a_caller_that_takes_a_stream_up_gets_the_rest(self):
        # Guards against cutting sound streams at the first event after a caller's last.
        run = self.start(self.make_whole(4, 5))
        response = run.call("POST", "/quote/x", Last_Event_Id="3", Resumes="r0")
        self.assertEqual(response.body, make_events(4, 5))
        self.assertTrue(response.whole)

    def test_a_stream_of_another_success_misses_no_event(self):
        # Guards against a next run that begins after events which nobody has read.
        def break_off(conn, *request):
            head = EVENTS.replace(b"200 OK", b"201 Created")
            conn.sendall(head + encode_chunk(make_events(1, 2)))
            self.open_second_upstream()
            close_after_sent(conn)

        run = self.start_with_second_closed(break_off, self.make_whole(3))
        response = run.call("POST", "/quote/x")
        self.assertEqual((response.status, response.whole), (201, True))
        self.assertEqual(response.body, make_events(1, 2, 3))
        self.assertTrue(run.gateway.resumptions.streams)

    def test_sound_runs_are_joined(self):
        # Guards against cutting streams whose ids have gaps or aren't numbers.
        self.expect_joined((3, 7, 12, 20), (3, 7), (12, 20))
        self.expect_joined(("9", "10", "011"), ("9",), ("10", "011"))
        self.expect_joined(("b", "a", "7"), ("b",), ("a", "7"))


class TestSeveralTries(OrderCase):
    def test_a_stream_that_is_taken_up_while_its_answers_run(self):
        # Guards against answers of one stream that share what was relayed.
        run, upstream = self.start(), VersionedUpstream("v1", hold_after=2)
        self.addCleanup(upstream.close)
        run.gateway.put_upstream(run.make_registration("u0", upstream.port))
        upstream.release.clear()
        stream = Stream("s1")
        with stream.open(run.port) as first:
            stream.read(first, 2)
            upstream.pace = 0.01
            tries = [copy.deepcopy(stream) for _ in range(2)]
            tasks = [
                threading.Thread(target=t.take_up, args=(run.port,)) for t in tries
            ]
            for task in tasks:
                task.start()
            upstream.release.set()
            rest = b""
            while chunk := first.read_chunk():
                rest += chunk
            for task in tasks:
                task.join()
        self.assertEqual(read_ids(rest), [b"%d" % number for number in WHOLE[2:]])
        for item in tries:
            self.assertEqual((item.numbers, item.whole), (WHOLE, True))


class TestEventsWithoutIds(OrderCase):
    """A run that goes on after the last id repeats the events that follow it."""

    def expect_not_resumed(self, body):
        """Expect that a stream isn't gone on with after these bytes."""
        self.log_request.reset_mock()
        run = self.start_pair(body, make_events(None, 3))
        response = run.call("POST", "/quote/x")
        self.assertEqual((response.body, response.whole), (body, False))
        self.assertEqual(self.count_received(), [1, 0])

    def test_a_stream_without_ids_is_not_begun_anew(self):
        # Guards against a second run whose events follow those of the first.
        self.expect_not_resumed(make_events(None, None))

    def test_a_stream_does_not_go_on_after_an_event_without_an_id(self):
        # Guards against an event that the next run sends again.
        self.expect_not_resumed(make_events(1, 2, None))

    def test_an_empty_id_is_none(self):
        # Guards against a next run that begins at the first event.
        self.expect_not_resumed(make_events(1, 2, ""))

    def test_streams_go_on_after_what_is_no_event_and_once_an_id_follows(self):
        # Guards against cutting streams that have heartbeats.
        for rest in (b": a\n\n", b"retry: 9\n\n", make_events(None, 2)):
            self.log_request.reset_mock()
            run = self.start_pair(make_events(1) + rest, make_events(3))
            response = run.call("POST", "/quote/x")
            body = make_events(1) + rest + make_events(3)
            self.assertEqual((response.body, response.whole), (body, True))


class TestOneRun(OrderCase):
    def test_a_stream_whose_ids_go_back_goes_on_elsewhere(self):
        # Guards against numbers that go back within one run.
        def go_back(conn, *request):
            self.open_second_upstream()
            conn.sendall(EVENTS + encode_chunk(make_events(1, 2)))
            conn.sendall(encode_chunk(make_events(3, 2)))

        def end(conn, *request):
            # Nothing was relayed if both chunks were read at once.
            after = int(run.upstreams[1].heads[-1][1].get("last-event-id", 0))
            ids = range(after + 1, LENGTH + 1)
            conn.sendall(EVENTS + encode_chunk(make_events(*ids)) + END)

        run = self.start_with_second_closed(go_back, end)
        response = run.call("POST", "/quote/x")
        self.assertTrue(response.whole)
        self.assertEqual(response.body, make_events(*WHOLE))
        self.assertEqual(self.get_line().out_of_order, 1)
        self.assertEqual(run.gateway.resumptions.out_of_order, 1)

    def test_events_that_have_no_place_in_the_order_are_relayed(self):
        # Guards against cutting streams with comments, retry times or no ids.
        sent = b": a\n\nretry: 5\n\nid: 1\nid: 1\ndata: x\n\n" + make_events(None, None)
        run = self.start(self.make_script(sent))
        response = run.call("POST", "/quote/x")
        self.assertEqual((response.body, response.whole), (sent, True))


class TestReader(unittest.TestCase):
    def test_no_event_of_a_chunk_out_of_order_counts_as_relayed(self):
        # Guards against going on after an event that the caller doesn't have.
        reader = EventReader()
        reader.feed(make_events(1, 2))
        with self.assertRaises(EventOutOfOrder):
            reader.feed(make_events(3, 4, 3))
        self.assertEqual((reader.last_id, reader.count), ("2", 2))
        self.assertEqual((reader.out_of_order, reader.first_id), (1, "1"))


if __name__ == "__main__":
    unittest.main()
