"""Tests of the HTTP server: malformed, slow, pipelining and disconnecting callers."""

import json
import random
import select
import signal
import socket
import struct
import unittest
from contextlib import ExitStack, contextmanager, suppress

from chervilwing import exceptions as exc
from chervilwing.settings import read_settings
from chervilwing.web import Web, WebHandlers
from tests.deployments import (
    API_KEY,
    AUTHORISED,
    Deployment,
    Upstreams,
    complete,
    make_configuration,
    read_stream,
)
from tests.fakes.tokens import expected_tokens
from tests.procs import HOST, Caller, call, poll
from tests.upstreams import (
    CHUNKED_END,
    CHUNKED_HEAD,
    Loop,
    RawUpstream,
    make_chunk,
    send_load,
)

COMPLETIONS, CHAT_COMPLETIONS = "/v1/completions", "/v1/chat/completions"
NOTES = "/services/portal/notes"
BODY_LIMIT = 100_000
CALLER_COUNT = 150
# Factor by which an engine's 1 ms per token is multiplied, which gives half a second.
SLOWDOWN = 500
# Long names make long events, which fill the kernel's buffers sooner.
LONG_NAME = "entry-" + "x" * 58
LONG_ID = "r" * 64
AUTHORISATION = f"Authorization: {AUTHORISED['Authorization']}\r\n".encode()
COMPLETION = {"model": "memo", "prompt": "hello", "max_tokens": 8}
CHAT = {"model": "memo", "messages": [{"role": "user", "content": "hello"}]}
DEEPLY_NESTED = b'{"prompt":' + b"[" * 40_000
BAD_VALUES = (None, 7, 1.5, True, "x", [], {}, -1, 10**30)
IS_VALID = {
    "model": lambda value: isinstance(value, str),
    "prompt": lambda value: isinstance(value, str),
    "max_tokens": lambda value: type(value) is int and 0 < value < 100,
    "stream": lambda value: isinstance(value, bool),
}


def make_head(line, *fields):
    """Return the bytes of a request head."""
    return "\r\n".join((line, f"Host: {HOST}", *fields, "", "")).encode()


def disconnect(caller, reset):
    """Close the caller's connection, with a reset or an orderly close."""
    if reset:
        linger = struct.pack("ii", 1, 0)
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.close()


def drop_field(value, name):
    """Return the dict without one field."""
    return {key: item for key, item in value.items() if key != name}


class WebCase(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment()
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start_upstreams(1, 1, ("--token-time", "0.001"))
        options = ("--head-timeout", "2", "--body-limit", str(BODY_LIMIT))
        cls.entry = cls.deployment.start_entry(LONG_NAME, *options)
        cls.port = cls.entry.port
        (cls.engine,), (cls.service,) = cls.deployment.upstreams

    def setUp(self):
        self.engine.fault(slow=0)

    def check_problem(self, answer, kind):
        self.assertEqual(answer.status, kind.status, answer.raw)
        self.assertEqual(answer.headers["content-type"], "application/problem+json")
        value = answer.json()
        self.assertEqual(value["type"].rpartition("/")[2], kind.type, value)
        self.assertEqual(value["outcome"], kind.outcome)
        self.assertEqual(set(value["scope"]), {"kind", "name"})
        self.assertTrue(answer.whole)

    @contextmanager
    def check_other_stream(self):
        """Check that another caller's stream continues meanwhile and is complete."""
        self.engine.fault(slow=SLOWDOWN)
        with Caller(self.port) as caller:
            caller.request("POST", COMPLETIONS, make_completion(2000), AUTHORISED)
            caller.read_until(b"data: ")
            yield
            self.assertEqual(self.wait_for_attempt("running")["max_tokens"], 2000)
            self.engine.fault(slow=0)
            caller.buffer = caller.raw
            text = "".join(expected_tokens("memo", "hello", 2000))
            self.assertEqual(read_stream(caller.read_answer()), (text, True))

    def send(self, data):
        with Caller(self.port) as caller:
            caller.send(data)
            return caller.read_answer()

    def wait_for_attempt(self, state):
        """Return the newest attempt on the engine once it is in this state."""

        def check():
            newest = self.engine.record()["attempts"][-1]
            return newest["state"] == state and newest

        return poll(check)


def make_completion(count=8, stream=True, prompt="hello"):
    """Return the body of a model call."""
    return COMPLETION | {"max_tokens": count, "stream": stream, "prompt": prompt}


class TestBadInput(WebCase):
    def test_malformed_http_is_answered_and_affects_no_other_caller(self):
        rows = (
            (b"\x16\x03\x01\0\xff\r\n\r\n", exc.BadRequest),
            (make_head("GET / HTTP/2.0"), exc.BadRequest),
            (make_head("GET / HTTP/1.1", "A : b"), exc.BadRequest),
            (make_head("GET / HTTP/1.1", "Content-Length: 1", "Content-Length: 2")[:-1]
             + b"\nx", exc.BadRequest),
            (make_head("POST / HTTP/1.1", "Transfer-Encoding: chunked"),
             exc.LengthRequired),
            (make_head("GET / HTTP/1.1", "A: " + "b" * 20_000), exc.TooLarge),
            (make_head("GET /nowhere HTTP/1.1"), exc.NotFound),
            (make_head("BREW /v1/models HTTP/1.1"), exc.NotFound),
        )  # fmt: skip
        with self.check_other_stream():
            for data, kind in rows:
                with self.subTest(data=data[:40]):
                    self.check_problem(self.send(data), kind)

    def test_a_caller_that_sends_too_much_receives_the_error(self):
        # A caller uploads a file over the size limit. If the instance answered and
        # closed with part of the file unread, the resulting reset would discard the
        # answer, and the caller would see a broken connection.
        size = 4_000_000
        data = make_head("POST /v1/completions HTTP/1.1", f"Content-Length: {size}")
        for _ in range(5):
            with Caller(self.port) as caller:
                caller.send(data)
                try:
                    caller.send(b"x" * size)
                except ConnectionError:
                    self.fail("the connection broke before the answer was read")
                self.check_problem(caller.read_answer(), exc.TooLarge)

    def test_invalid_json_is_answered_with_bad_request(self):
        bodies = [b"", b"{", b"[]", b"null", b"\xff\xfe", DEEPLY_NESTED]
        bodies += [b'{"model":"memo","prompt":"\\ud800"}']
        for name, is_valid in IS_VALID.items():
            values = [value for value in BAD_VALUES if not is_valid(value)]
            bodies += [
                json.dumps(COMPLETION | {name: value}).encode() for value in values
            ]
        bodies += [
            json.dumps(drop_field(COMPLETION, name)).encode() for name in COMPLETION
        ][:2]
        chats = [
            json.dumps(CHAT | {"messages": value}).encode() for value in BAD_VALUES
        ]
        for field in ("role", "content"):
            message = CHAT["messages"][0]
            rows = [message | {field: value} for value in (None, 7, [], "\ud800")]
            rows += [drop_field(message, field)]
            chats += [json.dumps(CHAT | {"messages": [row]}).encode() for row in rows]
        with self.check_other_stream(), Caller(self.port) as caller:
            for path, body in [(COMPLETIONS, b) for b in bodies] + [
                (CHAT_COMPLETIONS, b) for b in chats
            ]:
                with self.subTest(path=path, body=body[:80]):
                    answer = caller.call("POST", path, body, AUTHORISED)
                    self.check_problem(answer, exc.BadRequest)

    def test_unknown_names_and_bad_headers(self):
        key = {"Authorization": "Bearer wrong"}
        bad_id = AUTHORISED | {"X-Request-Id": "a b"}
        bad_key = AUTHORISED | {"Idempotency-Key": "7"}
        rows = (
            (COMPLETIONS, COMPLETION | {"model": "nobody"}, AUTHORISED, exc.NotFound),
            (COMPLETIONS, COMPLETION | {"model": "\ud800"}, AUTHORISED, exc.BadRequest),
            ("/services/nobody/x", {}, AUTHORISED, exc.NotFound),
            (COMPLETIONS, COMPLETION, {}, exc.UnknownCustomer),
            (COMPLETIONS, COMPLETION, key, exc.UnknownCustomer),
            (COMPLETIONS, COMPLETION, bad_id, exc.BadRequest),
            (NOTES, {}, bad_id, exc.BadRequest),
            (NOTES, {}, bad_key, exc.BadKey),
            ("/-/drain", b"{", {}, exc.BadRequest),
        )
        calls = len(self.service.record()["calls"])
        for path, body, headers, kind in rows:
            with self.subTest(path=path, kind=kind.type):
                answer = call(self.port, "POST", path, body, headers)
                self.check_problem(answer, kind)
        self.assertEqual(len(self.service.record()["calls"]), calls)

    def test_a_slow_sender_is_answered_and_disconnected(self):
        key = f"Authorization: Bearer {API_KEY}"
        head = make_head(f"POST {COMPLETIONS} HTTP/1.1", key, "Content-Length: 9")
        starts = (b"G", head + b"x")
        with self.check_other_stream():
            for data in starts:
                answer = self.send(data)
                self.check_problem(answer, exc.SlowSender)

    def test_random_bytes_are_answered_with_client_errors(self):
        rng = random.Random(7)
        with self.check_other_stream():
            for _ in range(CALLER_COUNT):
                with Caller(self.port) as caller:
                    caller.send(rng.randbytes(rng.randrange(1, 300)) + b"\r\n\r\n")
                    self.assertIn(caller.read_answer().status, (400, 411, 413))


class TestDisconnects(WebCase):
    def test_a_disconnect_cancels_the_engine(self):
        # A caller disconnects while its answer is being generated. Without a cancel the
        # engine would continue for nobody. Without streaming, no part of the answer has
        # been sent yet.
        for stream in (True, False):
            for reset in (True, False):
                with self.subTest(stream=stream, reset=reset):
                    self.engine.fault(slow=SLOWDOWN)
                    caller = Caller(self.port)
                    body = make_completion(30_000, stream, f"leaving {stream} {reset} ")
                    caller.request("POST", COMPLETIONS, body, AUTHORISED)
                    if stream:
                        caller.read_until(b"data: ")
                    self.wait_for_attempt("running")
                    disconnect(caller, reset)
                    self.wait_for_attempt("cancelled")
        poll(lambda: self.entry.get("/-/status")[1]["in_flight"] == 0)

    def test_a_disconnect_of_a_pipelining_caller_cancels_the_engine(self):
        # While the second request is buffered, the connection isn't read, so that the
        # instance would not notice its end.
        caller = Caller(self.port)
        self.engine.fault(slow=SLOWDOWN)
        caller.request(
            "POST", COMPLETIONS, make_completion(30_000, False, "two "), AUTHORISED
        )
        caller.request("GET", "/-/live")
        self.wait_for_attempt("running")
        disconnect(caller, reset=True)
        self.wait_for_attempt("cancelled")

    def test_a_half_closed_caller_receives_the_whole_answer(self):
        # `printf ... | nc` sends the request, closes its sending half and waits. To the
        # instance this looks like a disconnected caller.
        for stream in (True, False):
            with Caller(self.port) as caller:
                caller.request(
                    "POST", COMPLETIONS, make_completion(500, stream), AUTHORISED
                )
                caller.sock.shutdown(socket.SHUT_WR)
                answer = caller.read_answer()
                while answer.status == 100:
                    answer = caller.read_answer()
                text = "".join(expected_tokens("memo", "hello", 500))
                if stream:
                    self.assertEqual(read_stream(answer), (text, True))
                else:
                    self.assertEqual(answer.json()["choices"][0]["text"], text)
                with self.assertRaises(EOFError):
                    caller.fill()


class TestStop(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        self.deployment.start_upstreams(1, 1, ("--token-time", "0.001"))

    def test_a_planned_stop_completes_a_partly_received_request(self):
        # An upload is half received when the instance is told to stop. The upload must
        # be completed and answered; the idle connection must close at once.
        entry = self.deployment.start_entry("one")
        with Caller(entry.port) as caller, Caller(entry.port) as idle:
            idle.call("GET", "/-/live")
            first = make_head("POST " + NOTES + " HTTP/1.1", "Content-Length: 8")
            caller.send(first[:-2] + AUTHORISATION + b"\r\nhalf")
            call(entry.port, "GET", "/-/live", headers={"Connection": "close"})
            entry.signal(signal.SIGTERM)
            with self.assertRaises(EOFError):
                idle.fill()
            caller.send(b"half")
            answer = caller.read_answer()
            self.assertEqual((answer.status, answer.whole), (200, True))
            self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(entry.popen.wait(10), 0)


class TestReadiness(unittest.TestCase):
    def test_readiness_checks_are_not_counted_as_refused_requests(self):
        # The load balancer's readiness checks of an instance without a configuration
        # must not be counted in the metrics as a customer's refused requests.
        deployment = Deployment()
        self.addCleanup(deployment.close)
        entry = deployment.start_entry("one", ready=False)
        answer = call(entry.port, "GET", "/-/ready")
        self.assertEqual((answer.status, answer.json()["status"]), (503, 503))
        self.assertEqual(call(entry.port, "GET", "/v1/models").status, 503)
        lines = call(entry.port, "GET", "/-/metrics").body.decode().splitlines()
        counts = [line for line in lines if "(none)" in line and "not_run" in line]
        self.assertEqual([line.split()[-1] for line in counts], ["1"], counts)


class TestWeb(unittest.TestCase):
    def start(self, requested, **changes):
        """Serve callers in the process of the test."""
        cfg = read_settings(["--embedded"], {}).unwrap()._replace(**changes)
        self.loop = Loop()
        handlers = WebHandlers(requested, lambda exchange: None)
        web = Web(cfg, self.loop.poller, handlers).register(self.loop.root)
        self.addCleanup(web.stop_listening)
        return web, web.listen((HOST, 0)).port

    def test_idle_and_stalled_connections_are_closed(self):
        # Idle callers, and callers that stop reading a complete answer, each hold a
        # socket and a buffer. A caller that reads slowly must still be served to the
        # end.
        document = b"x" * 8_000_000
        web, port = self.start(lambda ex: ex.answer(200, document), idle_timeout=2.0)
        with ExitStack() as stack:
            idle, stalled, slow = (stack.enter_context(Caller(port)) for _ in range(3))
            for caller in (stalled, slow):
                caller.request("GET", "/")
            slow.sock.setblocking(False)
            self.loop.run_until(lambda: web.count() == 3)
            received = []

            def read_slowly():
                with suppress(BlockingIOError):
                    received.append(len(slow.sock.recv(3_000)))
                return web.count() == 1

            self.loop.run_until(read_slowly)
            self.assertLess(sum(received), len(document))
            with self.assertRaises(EOFError):
                idle.fill()

            def read_fast():
                with suppress(BlockingIOError):
                    received.append(len(slow.sock.recv(1 << 20)))
                return sum(received) > len(document)

            self.loop.run_until(read_fast)
            with self.assertRaises(EOFError):
                while len(stalled.raw) < len(document):
                    stalled.fill()
        self.loop.run_until(lambda: web.count() == 0)

    def test_requests_are_not_read_while_answers_are_unread(self):
        # A caller pipelines requests without limit and reads nothing. Neither its
        # requests nor the answers may accumulate.
        page, served = b"x" * 10_000, []

        def requested(exchange):
            served.append(exchange)
            exchange.answer(200, page)

        web, port = self.start(requested)
        with Caller(port) as caller:
            caller.sock.setblocking(False)
            data = memoryview(make_head("GET / HTTP/1.1") * 200_000)
            counts = []

            def push():
                nonlocal data
                with suppress(BlockingIOError):
                    data = data[caller.sock.send(data) :]
                counts.append(len(served))
                return len(counts) > 100 and counts[-1] == counts[-50]

            self.loop.run_until(push)
            self.assertLess(len(served), 1000)
            self.assertGreater(len(data), 0)
        self.loop.run_until(lambda: web.count() == 0)


class TestSlowReader(unittest.TestCase):
    def test_a_slow_reader_slows_the_engine_down(self):
        # A caller stops reading. The rest of its answer must not be buffered: the
        # instance stops reading from the engine, and the engine stops writing. Other
        # callers must not be affected.
        engine = RawUpstream(lambda *call: write_answer(engine, *call))
        self.addCleanup(engine.close)
        deployment = Deployment()
        self.addCleanup(deployment.close)
        deployment.upstreams = Upstreams((engine,), ())
        deployment.put_configuration(make_configuration(deployment.upstreams))
        entry = deployment.start_entry(LONG_NAME)
        count, seen = 30_000, []

        def has_stalled():
            seen.append(engine.sent)
            return len(seen) > 100 and len(set(seen[-50:])) == 1

        with Caller(entry.port) as caller:
            headers = AUTHORISED | {"X-Request-Id": LONG_ID}
            caller.request(
                "POST", COMPLETIONS, make_completion(count, True, "slow "), headers
            )
            caller.read_until(b"data: ")
            poll(has_stalled, 60)
            # The limit covers the buffers of the kernel and the instance, but not the
            # whole answer of about 5 MB.
            self.assertLess(seen[-1], 2_000_000)
            other = complete(entry, stream=True)
            self.assertTrue(read_stream(other)[1], other.raw)
            self.assertLess(engine.sent, 2_000_000)
            caller.buffer = caller.raw
            whole = "".join(expected_tokens("memo", "slow ", count))
            self.assertEqual(read_stream(caller.read_answer()), (whole, True))
        self.assertGreater(engine.sent, 4_000_000)


def write_answer(engine, conn, method, path, body):
    """Answer a completion request like an engine, as fast as it is read."""
    if path != COMPLETIONS:
        send_load(conn)
        return
    asked = json.loads(body)
    count, attempt = asked["max_tokens"], asked["attempt"]
    tokens = expected_tokens(asked["model"], asked["prompt"], count)
    engine.send(conn, CHUNKED_HEAD)
    for index, token in enumerate(tokens):
        event = {"attempt": attempt, "index": index, "token": token}
        engine.send(conn, make_chunk(event))
    usage = {"completion_tokens": count, "prompt_tokens": 1}
    event = {"attempt": attempt, "usage": usage, "finish_reason": "length"}
    conn.sendall(make_chunk(event) + make_chunk("[DONE]") + CHUNKED_END)


class TestConnections(WebCase):
    def test_a_connection_serves_several_requests(self):
        with Caller(self.port) as caller:
            for count in (1, 5, 3):
                for stream in (True, False):
                    body = make_completion(count, stream)
                    answer = caller.call("POST", COMPLETIONS, body, AUTHORISED)
                    self.assertTrue(answer.whole)
                    self.assertEqual(answer.headers["connection"], "keep-alive")
            answer = caller.call("GET", "/-/live", headers={"Connection": "close"})
            self.assertEqual(answer.headers["connection"], "close")
            with self.assertRaises(EOFError):
                caller.fill()

    def test_pipelined_requests_are_answered_in_order(self):
        # A caller sends hundreds of requests in one packet. Serving them recursively
        # would exhaust the stack.
        with self.check_other_stream(), Caller(self.port) as caller:
            caller.send(make_head("GET /-/live HTTP/1.1") * 600)
            for _ in range(600):
                self.assertEqual(caller.read_answer().json(), {"live": True})
        with Caller(self.port) as caller:
            for count in range(1, 20):
                body = make_completion(count, count % 2 == 0)
                caller.request("POST", COMPLETIONS, body, AUTHORISED)
            for count in range(1, 20):
                answer = caller.read_answer()
                if count % 2 == 0:
                    self.assertEqual(len(answer.events()), count + 2)
                else:
                    usage = answer.json()["usage"]
                    self.assertEqual(usage["completion_tokens"], count)

    def test_garbage_after_a_request_does_not_truncate_its_answer(self):
        with Caller(self.port) as caller:
            caller.request("POST", COMPLETIONS, make_completion(300), AUTHORISED)
            caller.send(b"\0garbage\r\n\r\n" + b"x" * 2 * BODY_LIMIT)
            text = "".join(expected_tokens("memo", "hello", 300))
            self.assertEqual(read_stream(caller.read_answer()), (text, True))
            self.check_problem(caller.read_answer(), exc.BadRequest)

    def test_requests_after_connection_close_are_not_run(self):
        # "Connection: close" ends the connection; a note sent after it would be stored
        # and its answer discarded.
        with Caller(self.port) as caller:
            note = make_head("POST " + NOTES + " HTTP/1.1", "Content-Length: 4")
            note = note[:-2] + AUTHORISATION + b"\r\nlost"
            caller.send(make_head("GET /-/live HTTP/1.1", "Connection: close") + note)
            self.assertEqual(caller.read_answer().status, 200)
            with self.assertRaises(EOFError):
                caller.fill()
        self.assertNotIn("lost", self.service.record()["by_body"])

    def test_a_stream_is_sent_chunk_by_chunk(self):
        self.engine.fault(slow=SLOWDOWN)
        with Caller(self.port) as caller:
            caller.request("POST", COMPLETIONS, make_completion(2000), AUTHORISED)
            status, headers = caller.read_head()
            self.assertEqual((status, headers["transfer-encoding"]), (200, "chunked"))
            self.assertNotIn("content-length", headers)
            self.assertTrue(caller.read_chunk().endswith(b"\n\n"))
            # The engine is still writing, so the chunk was passed on at once.
            self.assertLess(self.wait_for_attempt("running")["sent"], 2000)
            self.engine.fault(slow=0)
            while caller.read_chunk():
                pass
            self.assertEqual(caller.buffer, b"")

    def test_an_http_1_0_caller_receives_a_stream_without_chunks(self):
        data = json.dumps(make_completion(5)).encode()
        line = f"POST {COMPLETIONS} HTTP/1.0"
        first = make_head(line, f"Content-Length: {len(data)}")[:-2]
        with Caller(self.port) as caller:
            caller.send(first + AUTHORISATION + b"\r\n" + data)
            status, headers = caller.read_head()
            self.assertNotIn("transfer-encoding", headers)
            with self.assertRaises(EOFError):
                while True:
                    caller.fill()
            self.assertTrue(caller.buffer.startswith(b"id: "))
            self.assertTrue(caller.buffer.endswith(b"data: [DONE]\n\n"))

    def test_head_is_answered_like_get_without_a_body(self):
        with Caller(self.port) as caller:
            for path in ("/-/live", "/services/portal/doc?size=5000"):
                full = caller.call("GET", path, headers=AUTHORISED)
                caller.request("HEAD", path, headers=AUTHORISED)
                status, headers = caller.read_head()
                self.assertEqual((status, caller.buffer), (full.status, b""))
                expected = full.headers["content-length"]
                self.assertEqual(headers.get("content-length"), expected)

    def test_a_sender_that_waits_receives_100_continue(self):
        body = b"x" * 5000
        expect = ("Content-Length: 5000", "Expect: 100-continue")
        first = make_head("POST " + NOTES + " HTTP/1.1", *expect)[:-2] + AUTHORISATION
        with Caller(self.port) as caller:
            caller.send(first + b"\r\n")
            self.assertEqual(caller.read_head(), (100, {}))
            caller.send(body)
            self.assertEqual(caller.read_answer().status, 200)
            caller.send(first.replace(b"5000", b"500000") + b"\r\n")
            self.check_problem(caller.read_answer(), exc.TooLarge)

    def test_paths_and_queries_reach_the_service_as_sent(self):
        for path in ("/a%2Fb%20c", "/a;b=c/~d", "/%C3%A9", "//twice", "/"):
            sent = f"/services/portal{path}?q=a%26b&size=0&x=/?"
            answer = call(self.port, "GET", sent, headers=AUTHORISED)
            self.assertEqual(answer.status, 200)
        answer = call(self.port, "GET", "/services/portal/x?size=77", b"", AUTHORISED)
        self.assertEqual(len(answer.body), 77)

    def test_each_caller_receives_its_own_answer_or_an_immediate_refusal(self):
        # There are more requests than the customer's queue holds. The surplus must be
        # refused at once with a retry time; every other caller must receive the whole
        # answer to its own request.
        self.engine.fault(slow=SLOWDOWN)
        with ExitStack() as stack:
            callers = [
                stack.enter_context(Caller(self.port)) for _ in range(CALLER_COUNT)
            ]
            for number, caller in enumerate(callers):
                body = make_completion(20, False, f"caller {number} ")
                caller.request("POST", COMPLETIONS, body, AUTHORISED)
            socks = [caller.sock for caller in callers]
            poll(lambda: select.select(socks, (), (), 0)[0])
            self.engine.fault(slow=0)
            answers = [caller.read_answer() for caller in callers]
        refused = [answer for answer in answers if answer.status != 200]
        self.assertGreater(len(refused), 0)
        self.assertLess(len(refused), CALLER_COUNT)
        for answer in refused:
            self.check_problem(answer, exc.CustomerLimit)
            self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
            self.assertGreater(answer.json()["retry_after"], 0)
        for number, answer in enumerate(answers):
            if answer.status == 200:
                text = "".join(expected_tokens("memo", f"caller {number} ", 20))
                self.assertEqual(answer.json()["choices"][0]["text"], text)


if __name__ == "__main__":
    unittest.main()
