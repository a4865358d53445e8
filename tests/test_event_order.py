"""Tests that callers get the events of a stream in order, each once."""

import unittest
from unittest.mock import patch

from chervilwing.events import EventReader, is_after, read_ids
from tests.procs import poll
from tests.test_gateway import EVENTS, GatewayCase, close_after_sent, encode_chunk

LENGTH = 6
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

        def end(conn, *request):
            conn.sendall(EVENTS + encode_chunk(second) + END)

        return self.start_with_second_closed(break_off, end)

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


class TestReader(unittest.TestCase):
    def test_events_out_of_order_are_counted(self):
        # Guards against repeats at the join of two runs that no log shows.
        reader = EventReader(after="4")
        for id_ in (4, 5, 6, 6, 7, 3, 4):
            reader.feed(make_events(id_))
        self.assertEqual((reader.out_of_order, reader.count), (3, 7))


if __name__ == "__main__":
    unittest.main()
