"""Requests that crash the upstreams that run them and are sent again and again."""

import socket
import threading
import time
import unittest

from chervilwing.clocks import read_boottime
from chervilwing.crash_records import CRASH_LIMIT
from chervilwing.fingerprints import make_retry_fingerprint
from chervilwing.parsers import HttpRequest
from chervilwing.platform.headers import DIALECT
from tests.crashing_upstreams import (
    COMPLETE,
    CRASHING,
    HEAD,
    CrashingUpstream,
    count_crashed,
)
from tests.gateways import GatewayThread, make_document
from tests.procs import CHUNK, HOST, Caller, poll
from tests.test_gateway import break_off
from tests.test_platform import PlatformCase

TRIES = 8
# Seconds within which a crashed upstream's registration lapses, with 2 s heartbeats.
LAPSED_AFTER = 10.0
# Seconds between two tries of a caller; instances exchange reports in half that time.
PAUSE = 1.5


class TestOneInstance(unittest.TestCase):
    def start(self, begins=False):
        """Start a gateway in front of upstreams that a request may crash."""
        self.run_ = GatewayThread(DIALECT, document=make_document())
        self.addCleanup(self.run_.close)
        self.upstreams = [CrashingUpstream(begins) for _ in range(TRIES * 3)]
        for number, upstream in enumerate(self.upstreams):
            self.addCleanup(upstream.close)
            found = self.run_.make_registration(f"u{number}", upstream.port)
            self.run_.gateway.put_upstream(found)

    def repeat(self, path, **headers):
        """Send the request repeatedly under new ids; return the answers."""
        return [
            self.run_.call("POST", path, CRASHING, X_Request_Id=f"r{number}", **headers)
            for number in range(TRIES)
        ]

    def check_barred(self, path, **headers):
        """Check that the request crashes three upstreams and is then refused."""
        answers = self.repeat(path, **headers)
        self.assertEqual(count_crashed(self.upstreams), CRASH_LIMIT)
        self.assertEqual(answers[-1].status, 503)
        # Callers are spread between half and the whole of the two seconds.
        self.assertGreaterEqual(float(answers[-1].headers["retry-after"]), 1.0)
        # Other requests of the same customer and route are served.
        self.assertEqual(self.run_.call("POST", path, b"other").status, 200)

    def test_a_crashing_request_that_may_run_once_crashes_three_upstreams(self):
        # Only its caller sends it again after each crash.
        self.start()
        self.check_barred("/note/x")

    def test_a_crashing_request_that_is_retried_crashes_three_upstreams(self):
        # Both the instance and the caller retry it.
        self.start()
        self.check_barred("/page/x")

    def test_a_crashing_stream_crashes_three_upstreams(self):
        # Each attempt sends some events before the crash.
        self.start(begins=True)
        self.check_barred("/chat/x")

    def test_a_crashing_stream_that_is_resumed_crashes_three_upstreams(self):
        # Both the instance and the caller resume it after the last event.
        self.start(begins=True)
        self.check_barred("/quote/x", Last_Event_Id="1")


def answer_nothing(conn, method, path, body):
    """Leave a request unanswered."""


def answer_once(listener):
    """Accept one connection and answer its request."""
    with listener.accept()[0] as conn:
        conn.recv(CHUNK)
        conn.sendall(COMPLETE)


def close_in_turn(upstream, conn):
    """Close the listener and one connection, and the others a moment later."""
    upstream.listener.shutdown(socket.SHUT_RDWR)
    conn.shutdown(socket.SHUT_RDWR)
    time.sleep(0.05)
    upstream.close()


def end_unframed(upstream, conn):
    """Send part of an answer without a length, and close the upstream."""
    conn.sendall(HEAD + b"\r\npart")
    upstream.close()


class TestNoCrash(unittest.TestCase):
    def start(self, *scripts):
        """Start a gateway in front of upstreams with these scripts."""
        self.run_ = GatewayThread(DIALECT, *scripts, document=make_document())
        self.addCleanup(self.run_.close)
        return self.run_

    def start_crashed(self):
        """Start a gateway with one upstream and let a request crash it."""
        run = self.start(break_off)
        upstream = run.upstreams[0]
        upstream.script = lambda *request: upstream.close()
        self.assertEqual(run.call("POST", "/note/x", b"n").status, 502)
        self.assertEqual(self.count(b"n"), 1)
        return run, upstream

    def count(self, body):
        """Return the number of suspected crashes once no probe is open."""
        poll(lambda: not self.run_.gateway.crash_detection.is_probing)
        return self.count_now(body)

    def count_now(self, body, path="/note/x"):
        """Return the number of crashes that a request is suspected of now."""
        req = HttpRequest("POST", path, "", {"host": "a.example"}, body, True)
        fingerprint = make_retry_fingerprint(req, "insurer")
        return self.run_.gateway.crashes.count(fingerprint, read_boottime())

    def test_a_reset_connection_bars_no_request(self):
        # A link keeps resetting connections, but the upstreams behind it are running.
        self.start(break_off)
        for _ in range(TRIES):
            self.assertEqual(self.run_.call("POST", "/note/x", b"n").status, 502)
        self.assertEqual(self.count(b"n"), 0)

    def test_an_upstream_that_answers_again_had_not_crashed(self):
        # Its data centre was cut off, so that connections were reset and refused.
        run, upstream = self.start_crashed()
        with socket.create_server((HOST, upstream.port)) as listener:
            back = threading.Thread(target=answer_once, args=(listener,))
            back.start()
            self.assertEqual(run.call("POST", "/note/x", b"other").status, 200)
            back.join()
        self.assertEqual(self.count(b"n"), 0)

    def test_an_upstream_that_is_full_and_refuses_connections_has_not_crashed(self):
        # A full upstream keeps its connections and resets new ones. If it counted as
        # crashed, its most frequent requests would soon be refused.
        self.start(answer_nothing)
        run, upstream = self.run_, self.run_.upstreams[0]
        beside = threading.Thread(target=run.call, args=("POST", "/note/x", b"slow"))
        beside.start()
        poll(lambda: upstream.seen)
        upstream.script = break_off
        upstream.listener.shutdown(socket.SHUT_RDWR)
        kept = run.gateway.relays.copy()
        run.gateway.crash_detection.handle_broken(next(iter(kept)), read_boottime())
        self.assertEqual(self.count(b"slow"), 0)
        upstream.close()
        beside.join()

    def test_a_crash_is_detected_while_some_connections_are_still_open(self):
        # Guards against a crash that counts only once its registration lapses, as one
        # idle connection's end is seen a little later than that of the request's.
        both = threading.Barrier(2)
        self.start(lambda conn, *rest: (both.wait(), conn.sendall(COMPLETE)))
        run, upstream = self.run_, self.run_.upstreams[0]
        beside = threading.Thread(target=run.call, args=("POST", "/note/x", b"other"))
        beside.start()
        run.call("POST", "/note/x", b"answered")
        beside.join()
        upstream.script = lambda conn, *rest: close_in_turn(upstream, conn)
        self.assertEqual(run.call("POST", "/note/x", b"n").status, 502)
        self.assertEqual(self.count(b"n"), 1)

    def test_an_upstream_that_stays_registered_has_not_crashed(self):
        # All requests of its pool are barred, so no answer can show that it is running.
        run, _ = self.start_crashed()
        run.gateway.registrations_fresh_since = lambda: float("-inf")
        watch = run.gateway.crash_detection
        watch.clear_registered(read_boottime() + LAPSED_AFTER - 1.0)
        self.assertEqual(self.count_now(b"n"), 1)
        watch.clear_registered(read_boottime() + LAPSED_AFTER + 0.1)
        self.assertEqual(self.count_now(b"n"), 0)

    def test_a_crash_still_counts_after_the_registration_has_lapsed(self):
        run, _ = self.start_crashed()
        watch = run.gateway.crash_detection
        # No registration lapses while the store is unavailable and some seconds after.
        for since in (read_boottime() + 1.0, float("inf")):
            run.gateway.registrations_fresh_since = lambda since=since: since
            watch.clear_registered(read_boottime() + LAPSED_AFTER + 0.1)
            self.assertEqual(self.count_now(b"n"), 1)
        run.gateway.registrations_fresh_since = lambda: float("-inf")
        run.gateway.remove_upstream("u0", float("-inf"))
        watch.clear_registered(read_boottime() + LAPSED_AFTER + 0.1)
        self.assertEqual(self.count_now(b"n"), 1)

    def test_requests_at_a_leaving_upstream_are_not_suspected(self):
        # Reclaimed upstreams end in the middle of their last requests.
        upstream = CrashingUpstream()
        self.addCleanup(upstream.close)
        run = self.start()
        run.gateway.put_upstream(run.make_registration("u0", upstream.port))
        upstream.script = lambda *request: self.leave(upstream)
        self.assertEqual(run.call("POST", "/note/x", b"n").status, 502)
        self.assertEqual(self.count(b"n"), 0)

    def leave(self, upstream):
        """Register an upstream as leaving, then close it."""
        found = self.run_.make_registration("u0", upstream.port, leaving=True)
        self.run_.gateway.put_upstream(found)
        upstream.close()

    def test_a_crash_after_the_caller_left_is_detected_by_the_registration(self):
        # When a caller leaves, the connection to the upstream is closed, so the crash
        # is detected only when the upstream's registration lapses.
        upstream = CrashingUpstream()
        self.addCleanup(upstream.close)
        upstream.script = lambda *request: None
        run = self.start()
        run.gateway.put_upstream(run.make_registration("u0", upstream.port))
        with Caller(run.port) as caller:
            head = "POST /note/x HTTP/1.1\r\nHost: a.example\r\n"
            head += "Authorization: Bearer k1\r\nContent-Length: 1\r\n\r\n"
            caller.send(head.encode() + b"n")
            poll(lambda: upstream.seen)
        poll(lambda: not run.gateway.relays)
        self.assertEqual(self.count(b"n"), 0)
        upstream.close()
        run.gateway.remove_upstream("u0", float("-inf"))
        self.assertEqual(self.count(b"n"), 1)

    def test_an_answer_that_ends_with_its_connection_clears_no_request(self):
        # An answer without a length looks complete even if its upstream crashed while
        # sending it. If it cleared the request, the request would be sent forever.
        first, second = CrashingUpstream(), CrashingUpstream()
        self.addCleanup(first.close)
        self.addCleanup(second.close)
        run = self.start()
        run.gateway.put_upstream(run.make_registration("u0", first.port))
        run.call("POST", "/note/x", CRASHING)
        self.assertEqual(self.count(CRASHING), 1)
        run.gateway.remove_upstream("u0", float("-inf"))
        second.script = lambda conn, *rest: end_unframed(second, conn)
        run.gateway.put_upstream(run.make_registration("u1", second.port))
        self.assertEqual(run.call("POST", "/note/x", CRASHING).status, 200)
        self.assertEqual(self.count(CRASHING), 1)
        # Its registration lapses and it refuses connections, so it has crashed.
        run.gateway.remove_upstream("u1", float("-inf"))
        self.assertEqual(self.count(CRASHING), 2)

    def test_a_request_sent_after_the_crash_is_not_suspected(self):
        upstream = CrashingUpstream()
        self.addCleanup(upstream.close)
        run = self.start()
        run.gateway.put_upstream(run.make_registration("u0", upstream.port))
        run.call("POST", "/note/x", CRASHING)
        self.assertEqual(self.count(CRASHING), 1)
        # The registration of the crashed upstream lasts some seconds longer.
        self.assertEqual(run.call("POST", "/note/x", b"n").status, 503)
        self.assertEqual(self.count(b"n"), 0)

    def test_each_crash_of_an_upstream_that_keeps_its_name_counts(self):
        # The upstream restarts under the same name. If its crashes counted as one, a
        # request could crash it forever.
        run = self.start()
        run.gateway.cfg = run.gateway.cfg._replace(routes="upstreams.toml")
        for number in range(CRASH_LIMIT):
            upstream = CrashingUpstream()
            self.addCleanup(upstream.close)
            run.gateway.remove_upstream_now("u0")
            run.gateway.put_upstream(run.make_registration("u0", upstream.port))
            self.assertEqual(run.call("POST", "/note/x", b"n").status, 200)
            self.assertEqual(run.call("POST", "/note/x", CRASHING).status, 502)
            self.assertEqual(self.count(CRASHING), number + 1)
        self.assertEqual(run.call("POST", "/note/x", CRASHING).status, 503)

    def test_an_upstream_that_restarts_during_a_request_has_crashed(self):
        # The new registration arrives before the old connection is seen to close.
        upstream = CrashingUpstream()
        self.addCleanup(upstream.close)
        upstream.script = lambda *request: None
        run = self.start()
        run.gateway.put_upstream(run.make_registration("u0", upstream.port))
        caller = threading.Thread(target=run.call, args=("POST", "/note/x", b"n"))
        caller.start()
        poll(lambda: upstream.seen)
        # The upstream may read the request before the gateway's thread has counted it.
        poll(lambda: any(item.call.conn.sent for item in list(run.gateway.relays)))
        again = run.make_registration("u0", upstream.port, started_at=9.0)
        run.gateway.put_upstream(again)
        self.assertEqual(self.count_now(b"n"), 1)
        upstream.close()
        caller.join()

    def test_harmless_requests_at_a_crash_are_cleared_by_an_answer(self):
        # Until then they are suspected too, as the cause of the crash is unknown.
        first, second = CrashingUpstream(), CrashingUpstream()
        self.addCleanup(first.close)
        self.addCleanup(second.close)
        run = self.start()
        run.gateway.put_upstream(run.make_registration("u0", first.port))
        first.script = lambda *request: None
        beside = threading.Thread(target=run.call, args=("POST", "/page/x", b"n"))
        beside.start()
        poll(lambda: first.seen)
        first.script = lambda *request: first.close()
        run.gateway.put_upstream(run.make_registration("u1", second.port, leaving=True))
        run.call("POST", "/note/x", CRASHING)
        beside.join()
        poll(lambda: self.count_now(b"n", "/page/x") == 1)
        run.gateway.put_upstream(run.make_registration("u1", second.port))
        self.assertEqual(run.call("POST", "/page/x", b"n").status, 200)
        self.assertEqual(self.count_now(b"n", "/page/x"), 0)
        self.assertEqual(self.count_now(CRASHING), 1)


class TestSeveralInstances(PlatformCase):
    def setUp(self):
        super().setUp()
        self.document["routes"][0]["attempts"] = 1
        self.document["version"] += 1
        self.publish()
        self.upstreams = [CrashingUpstream() for _ in range(TRIES * 3)]
        for number, upstream in enumerate(self.upstreams):
            self.addCleanup(upstream.close)
            self.upstream = upstream
            self.register(f"i-c{number}")
        self.operate(deletes=["servers/i-1"])

    def send(self, gateway, number, body=CRASHING):
        """Send a request under a new id; return its status."""
        head = (
            "POST /page/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n"
            f"X-Request-Id: r{number}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        with Caller(gateway.port) as caller:
            caller.send(head.encode() + body)
            return caller.read_answer().status

    def repeat(self, gateways):
        """Send the request as its caller does, to one instance after the other."""
        for number in range(TRIES):
            self.send(gateways[number % len(gateways)], number)
            time.sleep(PAUSE)
            self.lapse()

    def lapse(self):
        """Delete the registrations of crashed upstreams, as the platform does."""
        crashed = [f"servers/i-c{n}" for n, u in enumerate(self.upstreams) if u.crashed]
        self.operate(deletes=crashed)

    def test_a_crashing_request_is_barred_by_all_instances(self):
        # The caller uses a different instance each time; none sees all of the crashes.
        gateways = [self.start(name) for name in ("one", "two", "three")]
        self.repeat(gateways)
        self.assertEqual(count_crashed(self.upstreams), CRASH_LIMIT)
        for number, gateway in enumerate(gateways):
            self.assertEqual(self.send(gateway, f"n{number}"), 503)
            self.assertEqual(self.send(gateway, f"o{number}", b"other"), 200)

    def test_a_crashing_request_is_barred_by_instances_that_start_later(self):
        # All instances are killed and restarted, and a new one is added.
        gateways = [self.start(name) for name in ("one", "two")]
        self.repeat(gateways)
        for gateway in gateways:
            gateway.kill()
        for number, name in enumerate(("one", "two", "four")):
            gateway = self.start(name)
            poll(lambda g=gateway: self.send(g, "o", b"other") == 200)
            self.assertEqual(self.send(gateway, f"n{number}"), 503)
        self.assertEqual(count_crashed(self.upstreams), CRASH_LIMIT)
