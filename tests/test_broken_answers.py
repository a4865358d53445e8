"""Tests of who decides that an answer is whole, and how callers see that one isn't."""

import time
import unittest

from chervilwing.clocks import read_boottime
from chervilwing.exceptions import ConnectionBroken
from chervilwing.rollouts import BAD_FIELD, RolloutOrder, encode_answer_key
from tests.deployments import AUTHORISED, Deployment, Upstreams, make_configuration
from tests.procs import Caller, call, poll
from tests.test_gateway import (
    CHUNKED,
    SIGNED,
    GatewayCase,
    close_after_sent,
    encode_chunk,
    reset,
)
from tests.test_platform import PlatformCase
from tests.test_tunnels import UNTIL_CLOSE, TunnelCase
from tests.upstreams import RawUpstream, send_load

EVENT = b"id: 1\ndata: one\n\n"
# Ends of a stream inside a line, inside an event and between two lines of an event.
PARTS = (b"id: 2\nda", b"id: 2\ndata: two\n", b"id: 2\n")
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"


def frame_length(body):
    """Return a stream with a length."""
    head = SIGNED + STREAM_TYPE
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def frame_chunks(body):
    """Return a stream in chunks, with the last one."""
    head = SIGNED + STREAM_TYPE + CHUNKED + b"\r\n"
    return head + encode_chunk(body) + b"0\r\n\r\n"


def frame_close(body):
    """Return a stream that ends with its connection."""
    return SIGNED + STREAM_TYPE + b"\r\n" + body


LAST = b"id: 2\ndata: two\n\n"
FRAMINGS = (frame_close, frame_chunks, frame_length)


FINAL = frame_chunks(LAST)


def end_in_order(data):
    """Return an upstream's script that sends bytes and closes its connection."""

    def script(conn, method, path, body):
        conn.sendall(data)
        close_after_sent(conn)

    return script


class BrokenCase(GatewayCase):
    def read(self, path, version="1.1", status=200):
        """Call the gateway; return the body and whether the caller sees it as whole.

        Return None for a failure, if no ``status`` is expected.
        """
        with Caller(self.gateway_run.port) as caller:
            caller.send(
                f"POST {path} HTTP/{version}\r\nHost: a.example\r\n"
                "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            seen, headers = caller.read_head()
            if status is None and seen != 200:
                return None
            self.assertEqual(seen, status or 200)
            if version == "1.1" or "content-length" in headers:
                return self.read_framed(caller, headers)
            try:
                while True:
                    caller.fill()
            except EOFError as exc:
                return caller.buffer, str(exc) == "closed"

    def read_framed(self, caller, headers):
        """Read a body in chunks or with a length."""
        body = b""
        try:
            if "content-length" in headers:
                return caller.read_bytes(int(headers["content-length"])), True
            while chunk := caller.read_chunk():
                body += chunk
        except EOFError:
            return body, False
        return body, True


class TestStreams(BrokenCase):
    def test_a_stream_that_ends_inside_an_event_never_looks_complete(self):
        # Guards against a crashed upstream's stream that callers take for whole.
        for frame in FRAMINGS:
            for part in PARTS:
                run = self.start(end_in_order(frame(EVENT + part)))
                body, whole = self.read("/chat/x")
                self.assertFalse(whole, (frame.__name__, part))
                self.assertTrue(body.startswith(EVENT))
                self.assertEqual(self.count_received(), [1])
                self.assertEqual(run.usage, ["insurer"])

    def test_a_resumable_stream_goes_on_after_each_kind_of_end(self):
        # Guards against half an event in front of the one with which a stream resumes.
        for frame in FRAMINGS:
            for part in PARTS:
                run = self.start_with_second_closed(None, end_in_order(FINAL))
                run.upstreams[0].script = self.end_and_open_second(frame(EVENT + part))
                body, whole = self.read("/quote/x")
                self.assertTrue(whole, (frame.__name__, part))
                self.assertEqual(body, EVENT + LAST)
                self.assertEqual(self.count_received(), [1, 1])

    def end_and_open_second(self, data):
        """Return a script that ends its connection once there is another upstream."""

        def script(*request):
            self.open_second_upstream()
            end_in_order(data)(*request)

        return script

    def test_whole_streams_stay_whole(self):
        # Guards against cutting off streams that end with a comment or an empty line.
        for frame in FRAMINGS:
            for rest in (b"", b"\n", b": bye\n", b"data: x\r\n\r\n"):
                for path in ("/chat/x", "/quote/x"):
                    self.start(end_in_order(frame(EVENT + rest)))
                    found = self.read(path)
                    self.assertEqual(found, (EVENT + rest, True), frame.__name__)

    def test_a_stream_that_ends_inside_an_event_counts_as_broken(self):
        # Guards against an upstream or a version whose streams break off and that
        # counts as healthy, and against a crash without evidence.
        run = self.start(end_in_order(frame_close(EVENT + PARTS[0])))
        run.gateway.rollouts.put_order(RolloutOrder("web", "v2", 30.0), 1)
        self.read("/chat/x")
        upstream_state = run.gateway.pools["web"].upstream_states["u0"]
        poll(lambda: upstream_state.get_failure_rate(read_boottime()))
        answers = run.gateway.rollouts.answers
        self.assertEqual(answers[encode_answer_key("web", "", "chat", BAD_FIELD)], 1)

    def test_a_stream_that_a_crash_ends_inside_an_event_is_evidence(self):
        # Guards against a request that crashes one upstream after the other.
        def crash(conn, *request):
            run.upstreams[0].close_listener()
            end_in_order(frame_close(EVENT + PARTS[0]))(conn, *request)

        run = self.start(crash)
        self.read("/chat/x")
        poll(lambda: run.gateway.crashes.count_suspected(read_boottime())[0])


class TestCallers(BrokenCase):
    """How callers of each version see that an answer is incomplete.

    To HTTP/1.0, an answer without a length ends with its connection.
    """

    def read_broken(self, version, *, ended):
        """Call for a stream that breaks off; return what the caller sees."""

        def script(conn, *request):
            conn.sendall(frame_close(EVENT + PARTS[0]))
            poll(lambda: run.gateway.web.count())
            ended(conn)

        run = self.start(script)
        return self.read("/chat/x", version)

    def test_callers_of_each_version_see_that_a_stream_broke_off(self):
        # Guards against a broken stream that ends in order for HTTP/1.0.
        for version in ("1.0", "1.1"):
            for ended in (close_after_sent, reset):
                self.assertFalse(self.read_broken(version, ended=ended)[1], version)

    def test_other_answers_that_break_off_never_look_complete(self):
        # Guards against half a page that callers take for whole, buffered or not.
        for size in (100, 400_000):
            for head in (b"", CHUNKED, b"Content-Length: 900000\r\n"):
                data = SIGNED + head + b"\r\n"
                data += encode_chunk(bytes(size)) if head == CHUNKED else bytes(size)
                for version in ("1.0", "1.1"):
                    self.start(lambda conn, *rest, data=data: self.cut(conn, data))
                    seen = self.read("/page/x", version, status=None)
                    self.assertFalse(seen and seen[1], (size, head, version))

    def test_no_other_run_follows_part_of_a_page(self):
        # Guards against a page of a resumable route that breaks off and goes on with
        # the events of another run.
        for status, size, has_memory in (
            (b"200 OK", 400_000, True),
            (b"500 Failed", 400_000, True),
            (b"404 Not Found", 1000, False),
        ):
            head = SIGNED.replace(b"200 OK", status) + CHUNKED + b"\r\n"
            data = head + encode_chunk(bytes(size))
            run = self.start_with_second_closed(None, end_in_order(FINAL))
            run.upstreams[0].script = lambda conn, *rest, data=data: (
                self.open_second_upstream(),
                self.cut(conn, data),
            )
            if not has_memory:
                run.gateway.web.may_buffer = lambda conn, size: False
            seen = self.read("/quote/x", status=int(status[:3]))
            self.assertEqual(seen, (bytes(size), False), status)
            self.assertEqual(self.count_received(), [1, 0])

    def cut(self, conn, data):
        """Send bytes, and reset the connection once they were received."""
        conn.sendall(data)
        time.sleep(0.05)
        reset(conn)

    def test_callers_of_each_version_see_whole_streams_as_whole(self):
        body = EVENT * 20000
        for version in ("1.0", "1.1"):
            self.start(end_in_order(frame_close(body)))
            self.assertEqual(self.read("/chat/x", version), (body, True))

    def test_a_caller_that_reads_too_slowly_sees_that_its_answer_was_cut(self):
        # Guards against an answer that is given up with its end unsent and that ends
        # in order for HTTP/1.0.
        seen = [self.read_late(EVENT * count) for count in range(10000, 60000, 3000)]
        self.assertEqual(set(seen), {(True, "closed"), (False, "reset")})

    def read_late(self, body):
        """Read only after the connection has been idle for too long.

        Return whether the whole body came and how the connection ended.
        """
        run = self.start(end_in_order(frame_close(body)))
        run.gateway.limits.idle_timeout = 0.2
        with Caller(run.port) as caller:
            caller.send(
                b"POST /chat/x HTTP/1.0\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
            )
            time.sleep(0.6)
            caller.read_head()
            with self.assertRaises(EOFError) as caught:
                while True:
                    caller.fill()
            return caller.buffer == body, str(caught.exception)


class TestKilled(PlatformCase):
    def test_callers_of_each_version_see_that_a_killed_instance_broke_off(self):
        # Guards against answers of a killed process that end in order for HTTP/1.0: the
        # kernel closes its connections.
        document = self.document["routes"][0]
        document |= {"kind": "streaming"}
        self.publish()
        self.upstream.script = lambda conn, *rest: conn.sendall(frame_close(EVENT))
        for version, seen in (("1.0", "reset"), ("1.1", "closed")):
            gateway = self.start(f"one-{version}")
            with Caller(gateway.port) as caller:
                caller.send(
                    f"GET /page/x HTTP/{version}\r\nHost: a.example\r\n"
                    "Authorization: Bearer k1\r\n\r\n".encode()
                )
                caller.read_head()
                poll(lambda caller=caller: caller.buffer or caller.fill() is None)
                gateway.kill()
                with self.assertRaisesRegex(EOFError, seen):
                    caller.read_until(b"0\r\n\r\n")


class TestPlainServices(unittest.TestCase):
    """Answers of plain services through chervilwingd."""

    def setUp(self):
        deployment = Deployment()
        self.addCleanup(deployment.close)
        self.service = RawUpstream(self.answer)
        self.addCleanup(self.service.close)
        deployment.upstreams = Upstreams((), (self.service,))
        deployment.put_configuration(make_configuration(deployment.upstreams))
        self.entry = deployment.start_entry("one")

    def answer(self, conn, method, path, body):
        if path == "/-/load":
            send_load(conn)
            return
        conn.sendall(self.data)
        self.ended(conn)

    def send(self, data, ended):
        """Send a call that must not be repeated, to a service that answers this."""
        self.data, self.ended = data, ended
        return call(self.entry.port, "POST", "/services/portal/notes", b"", AUTHORISED)

    def test_an_answer_without_a_length_is_whole_if_its_connection_ends_in_order(self):
        # Guards against failing whole answers, and against callers who take half of one
        # for whole.
        body = bytes(100_000)
        for data in (SIGNED + b"\r\n" + body, frame_close(EVENT)):
            answer = self.send(data, close_after_sent)
            self.assertEqual((answer.status, answer.whole), (200, True))
            self.assertTrue(data.endswith(answer.body) and answer.body)
            self.assertEqual(self.send(data, reset).status, 502)
        self.assertEqual(self.service.count("/notes"), 4)

    def test_a_stream_that_ends_inside_an_event_is_no_answer(self):
        # Guards against a crashed service's stream that callers take for whole.
        for frame in FRAMINGS:
            answer = self.send(frame(EVENT + PARTS[0]), close_after_sent)
            self.assertEqual(answer.status, 502, frame.__name__)
        self.assertEqual(self.service.count("/notes"), len(FRAMINGS))


class TestResets(TunnelCase):
    """Resets that meet a request of which a part has not been sent yet."""

    def answer_unread(self, answer):
        """Return the end of a call whose upstream reads little and then closes.

        Its kernel resets a connection that is closed with unread data.
        """

        def serve(conn):
            conn.recv(100)
            conn.sendall(answer)
            conn.close()

        address = self.start(None)
        self.upstream.serve = serve
        body = bytes(8 * 1024 * 1024)
        return [
            self.call(address, method="POST", body=body, via=via)
            for via in (None, self.peer)
        ]

    def test_a_reset_that_a_write_meets_first_is_no_end(self):
        # Guards against half an answer that looks whole, since a failed write takes
        # the connection's error and the next read says that it ended.
        for exc in self.answer_unread(UNTIL_CLOSE + b"half"):
            self.assertIsInstance(exc, ConnectionBroken)

    def test_a_whole_answer_before_the_request_was_read_stays_whole(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
        self.assertEqual(self.answer_unread(answer), [None, None])
        self.assertEqual(self.body, b"whole" * 2)


if __name__ == "__main__":
    unittest.main()
