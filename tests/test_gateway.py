"""Tests of the gateway with upstreams that refuse, fail or do not answer."""

import socket
import struct
import threading
import time
import unittest

from chervilwing.attempts import compute_max_idle_connections
from chervilwing.platform.headers import DIALECT
from chervilwing.routing import Organisation, PoolSpec
from tests.gateways import GatewayThread, make_document
from tests.procs import Caller, poll

SIGNED = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = SIGNED + b"Content-Type: text/event-stream\r\n" + CHUNKED + b"\r\n"


def encode_chunk(data):
    """Return the data as one chunk of chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_event(number):
    """Return one server-sent event as one chunk."""
    return encode_chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))


def answer(body=b"whole", status=b"200 OK", extra=b""):
    """Return an upstream's script that answers with a Content-Length."""

    def script(conn, method, path, sent):
        conn.sendall(
            b"HTTP/1.1 %b\r\nX-Server-Stamp: s\r\n%bContent-Length: %d\r\n\r\n%b"
            % (status, extra, len(body), body)
        )

    return script


def reset(conn):
    """Close the connection with a TCP reset."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


def close_after_sent(conn):
    """Close the connection after the sent bytes; a reset could discard them."""
    conn.shutdown(socket.SHUT_RDWR)


def break_off(conn, method, path, body):
    """Reset the connection before the first byte of an answer."""
    reset(conn)


def refuse_not_run(conn, method, path, body):
    """Refuse the request with the mark that it has not run."""
    conn.sendall(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull")


class GatewayCase(unittest.TestCase):
    def start(self, *scripts, document=None, **options):
        """Start a gateway with one upstream for each script."""
        document = make_document() if document is None else document
        self.gateway_run = GatewayThread(
            DIALECT, *scripts, document=document, **options
        )
        self.addCleanup(self.gateway_run.close)
        return self.gateway_run

    def start_with_second_closed(self, *scripts):
        """Start with two upstreams, the second of which accepts no requests yet."""
        run = self.start(*scripts)
        second = run.make_registration("u1", run.upstreams[1].port, leaving=True)
        run.gateway.put_upstream(second)
        return run

    def open_second_upstream(self):
        """Make the second upstream accept requests."""
        second = self.gateway_run.make_registration(
            "u1", self.gateway_run.upstreams[1].port
        )
        self.gateway_run.gateway.put_upstream(second)

    def call_until_received(self, index, *args, check):
        """Make calls until this upstream has received one, and check every answer.

        The upstream of a call is chosen at random; a test whose calls all went to the
        healthy upstream would pass without testing anything.
        """
        for _ in range(60):
            check(self.gateway_run.call(*args))
            if self.gateway_run.upstreams[index].seen:
                return
        self.fail(f"upstream {index} got no call")

    def check_success(self, response):
        """Check that a call succeeded."""
        self.assertEqual(response.status, 200)

    def count_received(self):
        """Return how many requests each upstream received."""
        return [len(upstream.seen) for upstream in self.gateway_run.upstreams]


class TestRelaying(GatewayCase):
    def test_method_path_query_and_body_pass_unchanged(self):
        run = self.start(answer())
        response = run.call(
            "PUT", "/page/a%20b/../c?x=1&y=", b"body", X_Request_Id="r1"
        )
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(response.headers["x-server-stamp"], "s")
        _, method, path, body = run.upstreams[0].seen[0]
        self.assertEqual((method, body), ("PUT", b"body"))
        self.assertEqual(path, "/page/a%20b/../c?x=1&y=")

    def test_a_chunked_body_arrives_complete(self):
        run = self.start(answer())
        with Caller(run.port) as caller:
            caller.send(
                b"POST /page/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
            )
            self.assertEqual(caller.read_answer().status, 200)
        self.assertEqual(run.upstreams[0].seen[0][3], b"abcdefg")

    def test_a_request_with_two_body_lengths_is_refused_and_not_sent(self):
        # A second request smuggled in the body would run without authentication.
        run = self.start(answer())
        with Caller(run.port) as caller:
            caller.send(
                b"POST /page/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                b"GET /page/y HTTP/1.1\r\n\r\n"
            )
            self.assertEqual(caller.read_answer().status, 400)
        self.assertEqual(self.count_received(), [0])

    def test_reserved_header_fields_of_callers_are_dropped(self):
        run = self.start(answer())
        run.call(
            "GET",
            "/page/x",
            X_Tenant="other",
            X_Expect_Instance="i-0",
            X_Hold="h",
            Kv_From="10.0.0.1:1/h",
            X_Kv_Backup="10.0.0.1:1",
            X_Pin_Ms="9",
        )
        _, fields = run.upstreams[0].heads[0]
        self.assertEqual(fields["x-tenant"], "insurer")
        self.assertEqual(fields["x-expect-instance"], "u0")
        for name in ("x-hold", "kv-from", "x-kv-backup", "x-pin-ms", "authorization"):
            self.assertNotIn(name, fields)

    def test_the_upstream_receives_the_remaining_time(self):
        run = self.start(answer())
        run.call("GET", "/page/x", X_Deadline_Ms="1500")
        remaining = int(run.upstreams[0].heads[0][1]["x-deadline-ms"])
        self.assertTrue(1000 < remaining <= 1500, remaining)

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        def script(conn, method, path, body):
            conn.sendall(SIGNED + b"\r\nall of it")
            conn.shutdown(socket.SHUT_WR)

        response = self.start(script).call("GET", "/page/x")
        self.assertEqual((response.body, response.whole), (b"all of it", True))

    def test_answers_without_a_body_are_relayed_without_one(self):
        def script(conn, method, path, body):
            status = b"204 No Content" if method == "DELETE" else b"200 OK"
            length = b"" if method == "DELETE" else b"Content-Length: 700\r\n"
            conn.sendall(
                b"HTTP/1.1 %b\r\nX-Server-Stamp: s\r\n%b\r\n" % (status, length)
            )

        run = self.start(script)
        with Caller(run.port) as caller:
            caller.send(
                b"HEAD /page/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\n\r\n"
            )
            self.assertEqual(caller.read_head()[1]["content-length"], "700")
            response = run.send(caller, "DELETE", "/page/x")
        self.assertEqual(response.status, 204)
        self.assertNotIn("content-length", response.headers)

    def test_an_instance_keeps_fewer_idle_connections_in_a_larger_fleet(self):
        spec = PoolSpec("web", connections=470)
        for instances, expected in ((7, 8), (68, 2), (320, 1)):
            self.assertEqual(compute_max_idle_connections(spec, instances), expected)


class TestRefusals(GatewayCase):
    def test_without_a_configuration_requests_are_refused_with_retry_after(self):
        run = GatewayThread(DIALECT)
        self.addCleanup(run.close)
        response = run.call("GET", "/page/x")
        self.assertEqual(response.status, 503)
        self.assertLess(float(response.headers["retry-after"]), 1.0)

    def test_unknown_routes_and_keys_are_refused(self):
        run = self.start(answer())
        self.assertEqual(run.call("GET", "/none/x").status, 404)
        self.assertEqual(
            run.call("GET", "/page/x", Authorization="Bearer k9").status, 401
        )
        self.assertEqual(self.count_received(), [0])

    def test_stale_keys_are_refused(self):
        # An instance is cut off from the store while a key is revoked. If it kept using
        # its copy of the keys, it would accept the key until the connection returns.
        run = self.start(answer(), keys_are_fresh=lambda: False)
        self.assertEqual(run.call("GET", "/page/x").status, 503)
        self.assertEqual(self.count_received(), [0])

    def test_an_exhausted_allowance_is_refused_with_retry_after(self):
        small = Organisation("insurer", ("k1",), rate=1.0, burst=1.0)
        run = self.start(answer(), document=make_document(organisations=(small,)))
        # A starting instance has no credit; it accrues at the allowance's rate.
        time.sleep(small.burst / small.rate)
        self.assertEqual(run.call("GET", "/page/x").status, 200)
        response = run.call("GET", "/page/x")
        self.assertEqual(response.status, 429)
        self.assertGreater(float(response.headers["retry-after"]), 0.0)
        self.assertEqual(self.count_received(), [1])

    def test_a_request_without_an_upstream_is_refused(self):
        self.assertEqual(self.start().call("GET", "/page/x").status, 503)


class TestFailures(GatewayCase):
    def test_an_idempotent_request_is_retried_at_another_upstream(self):
        self.start(break_off, answer())
        self.call_until_received(0, "GET", "/page/x", check=self.check_success)

    def test_a_non_idempotent_request_that_may_have_run_is_not_retried(self):
        # The upstream books the note and its answer is lost. If the gateway retried, or
        # reported that the request had not run, the note would be booked twice.
        run = self.start(break_off, break_off)
        response = run.call("POST", "/note/x", b"n")
        self.assertEqual(response.status, 502)
        self.assertEqual(sum(self.count_received()), 1)

    def test_a_request_refused_as_not_run_is_retried_elsewhere(self):
        self.start(refuse_not_run, answer())
        self.call_until_received(0, "POST", "/note/x", b"n", check=self.check_success)

    def test_a_request_refused_by_all_upstreams_is_reported_as_not_run(self):
        run = self.start(refuse_not_run, refuse_not_run)
        response = run.call("POST", "/note/x", b"n")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)

    def test_an_unreachable_upstream_is_replaced_by_another(self):
        run = self.start(answer())
        run.gateway.put_upstream(run.make_registration("gone", 1))
        for _ in range(4):
            self.assertEqual(run.call("POST", "/note/x", b"n").status, 200)

    def test_a_request_that_reached_no_upstream_is_reported_as_not_run(self):
        # A data centre is cut off and none of its upstreams can be reached. After a
        # status that leaves open whether the note has run, its caller may not retry it.
        run = self.start()
        run.gateway.put_upstream(run.make_registration("gone", 1))
        response = run.call("POST", "/note/x", b"n")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)

    def test_unreachable_upstreams_do_not_count_as_attempts(self):
        # The route allows one attempt; two of the three upstreams are unreachable.
        run = self.start(answer())
        for name, port in (("gone1", 1), ("gone2", 2)):
            run.gateway.put_upstream(run.make_registration(name, port))
        for _ in range(4):
            self.assertEqual(run.call("GET", "/short/x").status, 200)
        self.assertEqual(self.count_received(), [4])

    def test_a_truncated_answer_is_retried_and_not_relayed(self):
        def truncate(conn, method, path, body):
            conn.sendall(SIGNED + b"Content-Length: 9\r\n\r\nhalf")
            close_after_sent(conn)

        def check(response):
            self.assertEqual(response.body, b"the whole")

        self.start(truncate, answer(b"the whole"))
        self.call_until_received(0, "GET", "/page/x", check=check)

    def test_a_success_without_the_upstreams_signature_is_not_relayed(self):
        def unsigned(conn, method, path, body):
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")

        run = self.start(unsigned, unsigned)
        self.assertEqual(run.call("GET", "/page/x").status, 502)

    def test_an_error_of_the_upstream_is_relayed_unchanged(self):
        run = self.start(answer(b"broken", b"500 Oops"), answer(b"broken", b"500 Oops"))
        response = run.call("GET", "/page/x")
        self.assertEqual((response.status, response.body), (500, b"broken"))
        self.assertEqual(self.count_received(), [1, 1])

    def test_an_answer_to_an_earlier_request_is_discarded(self):
        # A faulty upstream answers a request twice. The second answer arrives while the
        # next request waits on the same connection. If it were not discarded, that
        # request's caller would receive it.
        def answer_twice(conn, method, path, body):
            name = path.rpartition("/")[2].encode()
            head = b"X-Request-Id: %b\r\n"
            if name == b"r2":
                answer(b"old", extra=head % b"r1")(conn, method, path, body)
            answer(name, extra=head % name)(conn, method, path, body)

        run = self.start(answer_twice)
        with Caller(run.port) as caller:
            for name in ("r1", "r2", "r3"):
                response = run.send(
                    caller, "GET", f"/page/{name}", headers={"X-Request-Id": name}
                )
                self.assertEqual(response.body, name.encode())

    def test_an_answer_without_the_requests_id_is_discarded(self):
        # Guards against relaying a promise that the request has not run though it has.
        def answer_with_more(conn, method, path, body):
            name = path.rpartition("/")[2].encode()
            if name == b"r2":
                conn.sendall(b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n")
            answer(name, extra=b"X-Request-Id: %b\r\n" % name)(conn, method, path, body)

        run = self.start(answer_with_more)
        with Caller(run.port) as caller:
            for name in ("r1", "r2", "r3"):
                response = run.send(
                    caller, "POST", f"/note/{name}", headers={"X-Request-Id": name}
                )
                self.assertEqual((response.status, response.body), (200, name.encode()))

    def test_a_request_past_its_routes_time_limit_is_answered_with_504(self):
        release = threading.Event()
        self.addCleanup(release.set)
        run = self.start(lambda *args: release.wait(9))
        self.assertEqual(run.call("GET", "/short/x").status, 504)

    def test_a_callers_disconnect_cancels_its_request(self):
        disconnected = threading.Event()

        def run_until_disconnect(conn, method, path, body):
            if not conn.recv(1):
                disconnected.set()

        run = self.start(run_until_disconnect)
        with Caller(run.port) as caller:
            caller.send(
                b"GET /page/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\n\r\n"
            )
            poll(lambda: run.upstreams[0].seen)
        self.assertTrue(disconnected.wait(5))


class TestStreams(GatewayCase):
    def test_events_are_relayed_without_delay(self):
        release = threading.Event()
        self.addCleanup(release.set)

        def script(conn, method, path, body):
            conn.sendall(EVENTS + make_event(1))
            release.wait(5)
            conn.sendall(make_event(2) + b"0\r\n\r\n")

        run = self.start(script)
        with Caller(run.port) as caller:
            caller.send(
                b"POST /chat/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
            )
            self.assertEqual(caller.read_head()[0], 200)
            self.assertIn(b"piece 1", caller.read_chunk())
            release.set()
            self.assertIn(b"piece 2", caller.read_chunk())
            self.assertEqual(caller.read_chunk(), b"")
        self.assertEqual(run.usage, ["insurer"])

    def test_a_broken_stream_never_appears_complete(self):
        def script(conn, method, path, body):
            conn.sendall(EVENTS + make_event(1))
            close_after_sent(conn)

        response = self.start(script, script).call("POST", "/chat/x")
        self.assertFalse(response.whole)
        self.assertEqual(sum(self.count_received()), 1)

    def test_a_stream_is_resumed_elsewhere_after_the_last_complete_event(self):
        # The first upstream fails in the middle of its third event: the caller must
        # read each event once, in the answer that the first upstream began.
        def failing(conn, method, path, body):
            conn.sendall(EVENTS + make_event(1) + make_event(2))
            conn.sendall(encode_chunk(b"id: 3\ndata: pie"))
            self.open_second_upstream()
            close_after_sent(conn)

        def resuming(conn, method, path, body):
            first = int(run.upstreams[1].heads[-1][1].get("last-event-id", 0)) + 1
            pieces = b"".join(make_event(n) for n in range(first, 5))
            conn.sendall(EVENTS + pieces + b"0\r\n\r\n")

        run = self.start_with_second_closed(failing, resuming)
        response = run.call("POST", "/quote/x")
        self.assertTrue(response.whole)
        pieces = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5)]
        self.assertEqual(response.body, b"".join(pieces))
        self.assertEqual(self.count_received(), [1, 1])

    def test_an_error_body_is_never_inserted_into_a_stream(self):
        # A stream is resumed at another upstream, which answers with an error: if its
        # body were relayed, the caller would read it as an event.
        def failing(conn, method, path, body):
            conn.sendall(EVENTS + make_event(1))
            self.open_second_upstream()
            close_after_sent(conn)

        run = self.start_with_second_closed(failing, answer(b"broken", b"500 Oops"))
        response = run.call("POST", "/quote/x")
        self.assertEqual(response.body, b"id: 1\ndata: piece 1\n\n")
        self.assertFalse(response.whole)
        self.assertEqual(self.count_received(), [1, 1])


class TestUpstreamChanges(GatewayCase):
    def test_a_leaving_upstream_gets_no_new_work(self):
        run = self.start(answer(b"one"), answer(b"two"))
        leaving = run.make_registration("u0", run.upstreams[0].port, leaving=True)
        run.gateway.put_upstream(leaving)
        bodies = {run.call("GET", "/page/x").body for _ in range(6)}
        self.assertEqual(bodies, {b"two"})

    def test_a_request_refused_at_a_reassigned_address_is_retried_elsewhere(self):
        # The upstream is gone and another service answers at its address: it refuses
        # requests for another upstream with 421, and the gateway retries elsewhere.
        def other(conn, method, path, body):
            conn.sendall(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")

        self.start(other, answer())
        self.call_until_received(0, "POST", "/note/x", b"n", check=self.check_success)

    def test_connections_to_a_removed_upstream_are_closed(self):
        # The address may be reassigned to another service, which would then receive
        # requests through a connection that was kept.
        run = self.start(answer())
        run.call("GET", "/page/x")
        poll(lambda: run.client.count_idle() == 1)
        run.gateway.remove_upstream("u0", float("-inf"))
        self.assertEqual(run.client.count_idle(), 0)

    def test_a_restarted_upstream_gets_new_connections_and_new_state(self):
        # An upstream restarts under its old name. A pooled connection to the previous
        # process looks open until a request is sent on it. It is then unknown whether
        # the request ran, so a non-idempotent one could not be retried.
        run = self.start(answer())
        self.assertEqual(run.call("GET", "/page/x").status, 200)
        port = run.upstreams[0].port
        pool = run.gateway.pools["web"]
        old_state = pool.upstream_states["u0"]
        run.gateway.put_upstream(run.make_registration("u0", port, started_at=9.0))
        self.assertIsNot(pool.upstream_states["u0"], old_state)
        self.assertEqual(run.call("POST", "/note/x").status, 200)
        self.assertEqual(len(run.upstreams[0].conns), 2)

    def test_an_older_document_never_replaces_a_newer_one(self):
        run = self.start(answer(), document=make_document(version=5))
        self.assertFalse(run.gateway.configure(make_document(4, routes=())))
        self.assertEqual(run.call("GET", "/page/x").status, 200)
