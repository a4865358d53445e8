"""The gateway between callers and upstreams that refuse, break off or fall silent."""

import socket
import struct
import threading
import time
import unittest

from chervilwing.attempts import count_idle
from chervilwing.platform.headers import DIALECT
from chervilwing.routing import Organisation, PoolTraits
from tests.gateways import GatewayRun, make_document
from tests.procs import Caller, poll

SIGNED = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = SIGNED + b"Content-Type: text/event-stream\r\n" + CHUNKED + b"\r\n"


def encode_chunk(data):
    """Return one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_event(number):
    """Return one event as one chunk."""
    return encode_chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))


def answer(body=b"whole", status=b"200 OK", extra=b""):
    """Return a script that answers with a length."""

    def script(conn, method, path, sent):
        conn.sendall(
            b"HTTP/1.1 %b\r\nX-Server-Stamp: s\r\n%bContent-Length: %d\r\n\r\n%b"
            % (status, extra, len(body), body)
        )

    return script


def reset(conn):
    """Close the connection with a reset."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


def end(conn):
    """Close the connection behind what was sent; a reset could overtake it."""
    conn.shutdown(socket.SHUT_RDWR)


def break_off(conn, method, path, body):
    """Reset before a byte of an answer."""
    reset(conn)


def shed(conn, method, path, body):
    """Refuse without running."""
    conn.sendall(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull")


class GatewayCase(unittest.TestCase):
    def start(self, *scripts, document=None, **options):
        """Start a gateway before upstreams with these scripts."""
        document = make_document() if document is None else document
        self.run_ = GatewayRun(DIALECT, *scripts, document=document, **options)
        self.addCleanup(self.run_.close)
        return self.run_

    def start_first(self, *scripts):
        """Start before two upstreams of which the second takes no work yet."""
        run = self.start(*scripts)
        second = run.register("u1", run.upstreams[1].port, leaving=True)
        run.gateway.put_upstream(second)
        return run

    def open_second(self):
        """Let the second upstream take work."""
        second = self.run_.register("u1", self.run_.upstreams[1].port)
        self.run_.gateway.put_upstream(second)

    def call_until_seen(self, index, *args, check):
        """Make calls until the upstream has seen one, and check every answer.

        Which upstream gets a call is drawn; a test that never met the sick one would
        pass without having shown anything.
        """
        for _ in range(60):
            check(self.run_.call(*args))
            if self.run_.upstreams[index].seen:
                return
        self.fail(f"upstream {index} got no call")

    def check_served(self, found):
        """Check that a call was answered well."""
        self.assertEqual(found.status, 200)

    def count_seen(self):
        """Return how many requests reached each upstream."""
        return [len(upstream.seen) for upstream in self.run_.upstreams]


class TestPassing(GatewayCase):
    def test_method_path_query_and_body_pass_unchanged(self):
        run = self.start(answer())
        found = run.call("PUT", "/page/a%20b/../c?x=1&y=", b"body", X_Request_Id="r1")
        self.assertEqual((found.status, found.body), (200, b"whole"))
        self.assertEqual(found.headers["x-server-stamp"], "s")
        _, method, path, body = run.upstreams[0].seen[0]
        self.assertEqual((method, body), ("PUT", b"body"))
        self.assertEqual(path, "/page/a%20b/../c?x=1&y=")

    def test_a_body_in_chunks_arrives_whole(self):
        run = self.start(answer())
        with Caller(run.port) as caller:
            caller.send(
                b"POST /page/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
            )
            self.assertEqual(caller.read_answer().status, 200)
        self.assertEqual(run.upstreams[0].seen[0][3], b"abcdefg")

    def test_two_framings_are_refused_before_any_upstream(self):
        # A second request hidden in the body would run unchecked.
        run = self.start(answer())
        with Caller(run.port) as caller:
            caller.send(
                b"POST /page/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                b"GET /page/y HTTP/1.1\r\n\r\n"
            )
            self.assertEqual(caller.read_answer().status, 400)
        self.assertEqual(self.count_seen(), [0])

    def test_what_only_the_system_may_say_is_left_out(self):
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

    def test_the_deadline_is_what_is_left(self):
        run = self.start(answer())
        run.call("GET", "/page/x", X_Deadline_Ms="1500")
        left = int(run.upstreams[0].heads[0][1]["x-deadline-ms"])
        self.assertTrue(1000 < left <= 1500, left)

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        def script(conn, method, path, body):
            conn.sendall(SIGNED + b"\r\nall of it")
            conn.shutdown(socket.SHUT_WR)

        found = self.start(script).call("GET", "/page/x")
        self.assertEqual((found.body, found.whole), (b"all of it", True))

    def test_answers_without_a_body_keep_their_form(self):
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
            found = run.send(caller, "DELETE", "/page/x")
        self.assertEqual(found.status, 204)
        self.assertNotIn("content-length", found.headers)

    def test_unused_connections_leave_room_for_a_large_fleet(self):
        traits = PoolTraits("web", connections=470)
        for instances, most in ((7, 8), (68, 2), (320, 1)):
            self.assertEqual(count_idle(traits, instances), most)


class TestRefusals(GatewayCase):
    def test_without_a_configuration_the_caller_is_told_to_come_back(self):
        run = GatewayRun(DIALECT)
        self.addCleanup(run.close)
        found = run.call("GET", "/page/x")
        self.assertEqual(found.status, 503)
        self.assertLess(float(found.headers["retry-after"]), 1.0)

    def test_unknown_routes_and_keys(self):
        run = self.start(answer())
        self.assertEqual(run.call("GET", "/none/x").status, 404)
        self.assertEqual(
            run.call("GET", "/page/x", Authorization="Bearer k9").status, 401
        )
        self.assertEqual(self.count_seen(), [0])

    def test_keys_known_too_long_ago_are_not_honoured(self):
        # An instance is cut off from the store while a key is taken away: it would go
        # on to honour it for as long as the cut lasts.
        run = self.start(answer(), fresh=lambda: False)
        self.assertEqual(run.call("GET", "/page/x").status, 503)
        self.assertEqual(self.count_seen(), [0])

    def test_a_used_up_allowance_says_when_to_return(self):
        small = Organisation("insurer", ("k1",), rate=1.0, burst=1.0)
        run = self.start(answer(), document=make_document(organisations=(small,)))
        # An instance that starts has no credit; it comes in at the rate.
        time.sleep(small.burst / small.rate)
        self.assertEqual(run.call("GET", "/page/x").status, 200)
        found = run.call("GET", "/page/x")
        self.assertEqual(found.status, 429)
        self.assertGreater(float(found.headers["retry-after"]), 0.0)
        self.assertEqual(self.count_seen(), [1])

    def test_no_upstream_is_refused_at_once(self):
        self.assertEqual(self.start().call("GET", "/page/x").status, 503)


class TestFailures(GatewayCase):
    def test_an_idempotent_request_goes_elsewhere(self):
        self.start(break_off, answer())
        self.call_until_seen(0, "GET", "/page/x", check=self.check_served)

    def test_what_may_have_run_is_never_sent_twice_nor_called_unrun(self):
        # The upstream books the note and its answer is lost: sent once more, the note
        # would be booked twice; called not run, its caller would send it again.
        run = self.start(break_off, break_off)
        found = run.call("POST", "/note/x", b"n")
        self.assertEqual(found.status, 502)
        self.assertEqual(sum(self.count_seen()), 1)

    def test_what_an_upstream_refused_unrun_goes_elsewhere(self):
        self.start(shed, answer())
        self.call_until_seen(0, "POST", "/note/x", b"n", check=self.check_served)

    def test_refused_everywhere_is_called_not_run(self):
        run = self.start(shed, shed)
        found = run.call("POST", "/note/x", b"n")
        self.assertEqual(found.status, 503)
        self.assertIn("retry-after", found.headers)

    def test_a_dead_address_is_left_for_another(self):
        run = self.start(answer())
        run.gateway.put_upstream(run.register("gone", 1))
        for _ in range(4):
            self.assertEqual(run.call("POST", "/note/x", b"n").status, 200)

    def test_what_reached_nobody_is_called_not_run(self):
        # A data centre is cut off and none of its upstreams can be reached. Told by a
        # status that promises nothing, the caller of a note may not try again.
        run = self.start()
        run.gateway.put_upstream(run.register("gone", 1))
        found = run.call("POST", "/note/x", b"n")
        self.assertEqual(found.status, 503)
        self.assertIn("retry-after", found.headers)

    def test_upstreams_out_of_reach_are_no_attempts(self):
        # The route allows one attempt; two upstreams can't be reached, the third can.
        run = self.start(answer())
        for name, port in (("gone1", 1), ("gone2", 2)):
            run.gateway.put_upstream(run.register(name, port))
        for _ in range(4):
            self.assertEqual(run.call("GET", "/short/x").status, 200)
        self.assertEqual(self.count_seen(), [4])

    def test_a_cut_answer_is_asked_for_again_and_no_part_is_shown(self):
        def cut(conn, method, path, body):
            conn.sendall(SIGNED + b"Content-Length: 9\r\n\r\nhalf")
            end(conn)

        def check(found):
            self.assertEqual(found.body, b"the whole")

        self.start(cut, answer(b"the whole"))
        self.call_until_seen(0, "GET", "/page/x", check=check)

    def test_an_unsigned_success_is_not_the_upstreams_answer(self):
        def unsigned(conn, method, path, body):
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")

        run = self.start(unsigned, unsigned)
        self.assertEqual(run.call("GET", "/page/x").status, 502)

    def test_a_failure_of_the_upstream_passes_as_it_is(self):
        run = self.start(answer(b"broken", b"500 Oops"), answer(b"broken", b"500 Oops"))
        found = run.call("GET", "/page/x")
        self.assertEqual((found.status, found.body), (500, b"broken"))
        self.assertEqual(self.count_seen(), [1, 1])

    def test_the_answer_to_an_earlier_request_is_passed_over(self):
        # A faulty upstream answers twice; the second answer comes as the next request
        # waits on the connection, and its caller would read a stranger's answer.
        def twice(conn, method, path, body):
            name = path.rpartition("/")[2].encode()
            head = b"X-Request-Id: %b\r\n"
            if name == b"r2":
                answer(b"old", extra=head % b"r1")(conn, method, path, body)
            answer(name, extra=head % name)(conn, method, path, body)

        run = self.start(twice)
        with Caller(run.port) as caller:
            for name in ("r1", "r2", "r3"):
                found = run.send(
                    caller, "GET", f"/page/{name}", headers={"X-Request-Id": name}
                )
                self.assertEqual(found.body, name.encode())

    def test_the_time_limit_of_a_route_ends_in_an_answer(self):
        hold = threading.Event()
        self.addCleanup(hold.set)
        run = self.start(lambda *args: hold.wait(9))
        self.assertEqual(run.call("GET", "/short/x").status, 504)

    def test_a_caller_that_leaves_ends_the_work(self):
        gone = threading.Event()

        def work(conn, method, path, body):
            if not conn.recv(1):
                gone.set()

        run = self.start(work)
        with Caller(run.port) as caller:
            caller.send(
                b"GET /page/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\n\r\n"
            )
            poll(lambda: run.upstreams[0].seen)
        self.assertTrue(gone.wait(5))


class TestStreams(GatewayCase):
    def test_events_pass_as_they_come(self):
        hold = threading.Event()
        self.addCleanup(hold.set)

        def script(conn, method, path, body):
            conn.sendall(EVENTS + make_event(1))
            hold.wait(5)
            conn.sendall(make_event(2) + b"0\r\n\r\n")

        run = self.start(script)
        with Caller(run.port) as caller:
            caller.send(
                b"POST /chat/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
            )
            self.assertEqual(caller.read_head()[0], 200)
            self.assertIn(b"piece 1", caller.read_chunk())
            hold.set()
            self.assertIn(b"piece 2", caller.read_chunk())
            self.assertEqual(caller.read_chunk(), b"")
        self.assertEqual(run.runs, ["insurer"])

    def test_a_stream_that_breaks_off_never_looks_whole(self):
        def script(conn, method, path, body):
            conn.sendall(EVENTS + make_event(1))
            end(conn)

        found = self.start(script, script).call("POST", "/chat/x")
        self.assertFalse(found.whole)
        self.assertEqual(sum(self.count_seen()), 1)

    def test_a_stream_goes_on_elsewhere_at_the_next_whole_event(self):
        # The first upstream dies in the middle of its third event: the caller reads
        # each event once, under the first upstream's head.
        def dying(conn, method, path, body):
            conn.sendall(EVENTS + make_event(1) + make_event(2))
            conn.sendall(encode_chunk(b"id: 3\ndata: pie"))
            self.open_second()
            end(conn)

        def going_on(conn, method, path, body):
            first = int(run.upstreams[1].heads[-1][1].get("last-event-id", 0)) + 1
            pieces = b"".join(make_event(n) for n in range(first, 5))
            conn.sendall(EVENTS + pieces + b"0\r\n\r\n")

        run = self.start_first(dying, going_on)
        found = run.call("POST", "/quote/x")
        self.assertTrue(found.whole)
        pieces = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5)]
        self.assertEqual(found.body, b"".join(pieces))
        self.assertEqual(self.count_seen(), [1, 1])

    def test_a_failure_never_stands_in_the_middle_of_a_stream(self):
        # A stream goes on elsewhere, and that upstream answers with a failure: passed
        # on, its body would be read as an event.
        def dying(conn, method, path, body):
            conn.sendall(EVENTS + make_event(1))
            self.open_second()
            end(conn)

        run = self.start_first(dying, answer(b"broken", b"500 Oops"))
        found = run.call("POST", "/quote/x")
        self.assertEqual(found.body, b"id: 1\ndata: piece 1\n\n")
        self.assertFalse(found.whole)
        self.assertEqual(self.count_seen(), [1, 1])


class TestUpstreamsThatLeave(GatewayCase):
    def test_a_leaving_upstream_gets_no_new_work(self):
        run = self.start(answer(b"one"), answer(b"two"))
        leaving = run.register("u0", run.upstreams[0].port, leaving=True)
        run.gateway.put_upstream(leaving)
        bodies = {run.call("GET", "/page/x").body for _ in range(6)}
        self.assertEqual(bodies, {b"two"})

    def test_an_address_used_again_by_another_gets_nothing_to_run(self):
        # The upstream is gone and another service answers at its address: it refuses
        # what expects another instance, and the request goes where it belongs.
        def other(conn, method, path, body):
            conn.sendall(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")

        self.start(other, answer())
        self.call_until_seen(0, "POST", "/note/x", b"n", check=self.check_served)

    def test_connections_to_one_that_is_gone_are_closed(self):
        # Its address is given to another service; a kept connection would lead there.
        run = self.start(answer())
        run.call("GET", "/page/x")
        poll(lambda: run.client.count_idle() == 1)
        run.gateway.remove_upstream("u0", float("-inf"))
        self.assertEqual(run.client.count_idle(), 0)

    def test_one_that_started_again_gets_new_connections_and_no_old_credit(self):
        # An upstream restarts under its name. A kept connection to the process before
        # looks open until something is sent on it, and that may have run for all that
        # anybody can tell; its caller could not even be told to come back.
        run = self.start(answer())
        self.assertEqual(run.call("GET", "/page/x").status, 200)
        port = run.upstreams[0].port
        pool = run.gateway.pools["web"]
        before = pool.stations["u0"]
        run.gateway.put_upstream(run.register("u0", port, started_at=9.0))
        self.assertIsNot(pool.stations["u0"], before)
        self.assertEqual(run.call("POST", "/note/x").status, 200)
        self.assertEqual(len(run.upstreams[0].conns), 2)

    def test_an_older_document_never_replaces_a_newer_one(self):
        run = self.start(answer(), document=make_document(version=5))
        self.assertFalse(run.gateway.configure(make_document(4, routes=())))
        self.assertEqual(run.call("GET", "/page/x").status, 200)
