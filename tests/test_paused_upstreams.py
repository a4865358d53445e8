"""Upstreams that refuse a request and state for how long they want no more."""

import socket
import threading
import time
import unittest
from types import SimpleNamespace

from chervilwing.completions import Completion
from chervilwing.exceptions import NOT_RUN
from chervilwing.forwards import Forward
from chervilwing.generations import Generation
from chervilwing.registrations import ProcessId, Registration
from chervilwing.upstream_pauses import UpstreamPauses
from chervilwing.upstream_states import UpstreamState
from chervilwing.work import BUSY
from tests.deployments import AUTHORISED, Deployment, Upstreams, make_configuration
from tests.limiting_upstreams import send_steadily
from tests.procs import HOST, call, poll
from tests.stating_upstreams import REFUSAL, StatingUpstream
from tests.test_leaving_upstreams import StatingCase
from tests.test_platform import PlatformCase
from tests.upstreams import RawUpstream, send_load

COMPLETION = Completion("memo", "hello", 8, True, False)
PAUSE = 1.0
# Seconds after the end of a pause within which an upstream must have its share again.
BACK_AFTER = 1.0


class TestOneInstance(StatingCase):
    def pause(self, paused, other):
        """Start a gateway and let the first upstream ask for a pause; return when."""
        self.start(paused, other)
        paused.pauses = [f"{PAUSE}"]
        self.call_until_stated(paused)
        return paused.stated[0][0]

    def test_nothing_is_sent_to_an_upstream_during_the_pause_that_it_asked_for(self):
        # The other upstream fails, so that each request is retried here. Retry-After
        # was ignored, and the requests went on to overload this one.
        paused, other = StatingUpstream(), StatingUpstream(fails=True, breaks_off=True)
        stated = self.pause(paused, other)
        while time.monotonic() < stated + PAUSE:
            self.call("/page/x")
            self.call("/quote/x")
        self.assertEqual(paused.count_since(stated, stated + PAUSE), 0)

    def test_callers_lose_nothing_and_the_share_is_back_after_the_pause(self):
        paused, other = StatingUpstream(), StatingUpstream()
        stated = self.pause(paused, other)
        answers = []
        while time.monotonic() < stated + PAUSE + BACK_AFTER:
            answers += self.call("/note/x")
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(paused.count_since(stated, stated + PAUSE), 0)
        share = paused.count_since(stated + PAUSE) / other.count_since(stated + PAUSE)
        self.assertGreater(share, 1 / 3)

    def test_requests_are_refused_at_once_until_the_first_pause_ends(self):
        # A Retry-After that was too short would bring the callers back in vain.
        upstreams = [StatingUpstream(), StatingUpstream()]
        self.start(*upstreams)
        for upstream, pause in zip(upstreams, ("2", "60"), strict=True):
            upstream.pauses = [pause, "0.1"]
        began = time.monotonic()
        answers = self.call("/note/x", 10)
        took = time.monotonic() - began
        self.assertLess(took, 1.0)
        self.assertEqual(sum(len(item.arrivals) for item in upstreams), 2)
        for answer in answers:
            self.assertIn(b"pool-paused", answer.body)
            self.assertGreaterEqual(float(answer.headers["retry-after"]), 2 - took)

    def test_requests_that_wait_for_a_connection_are_placed_again(self):
        # They would reach the upstream once the connection opens, during its pause.
        listener = socket.create_server((HOST, 0), backlog=0)
        self.addCleanup(listener.close)
        other = StatingUpstream()
        self.start()
        self.addCleanup(other.close)
        self.put("u0", SimpleNamespace(port=listener.getsockname()[1]))
        results = []
        call = lambda: results.extend(self.call("/page/x"))
        threads = [threading.Thread(target=call) for _ in range(2)]
        threads[0].start()
        conn, _ = listener.accept()
        self.addCleanup(conn.close)
        conn.recv(4096)
        self.fill_backlog(listener)
        threads[1].start()
        relays = self.run_.gateway.relays
        poll(lambda: any(item.call and item.call.conn.connecting for item in relays))
        self.put("u1", other)
        began = time.monotonic()
        conn.sendall(REFUSAL % b"60" + b"Content-Length: 0\r\n\r\n")
        for thread in threads:
            thread.join()
        # A connection that doesn't open would be given up after 0.6 s only.
        self.assertLess(time.monotonic() - began, 0.4)
        self.assertEqual([answer.status for answer in results], [200, 200])

    def test_no_prompt_is_fetched_from_a_paused_upstream_or_one_that_has_left(self):
        # It would be work for the former, and go to an unknown one for the latter.
        self.start()
        gateway, source = self.run_.gateway, self.run_.make_registration("u0", 1)
        gateway.record_pause(source, 3.0, 10.0)
        self.assertFalse(gateway.may_fetch_from(source, 12.9))
        gateway.record_announcement(source, 13.0)
        self.assertTrue(gateway.may_fetch_from(source, 13.0))
        self.assertFalse(gateway.may_fetch_from(source, 13.1 + gateway.cfg.leave_bound))

    def fill_backlog(self, listener):
        """Fill the listener's backlog, so that no further connection opens."""
        for _ in range(4):
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())


class TestSeveralInstances(PlatformCase):
    def test_only_the_instance_that_was_asked_for_a_pause_makes_one(self):
        # One instance places the requests of all; it does not know of the pause.
        self.paused, self.other = StatingUpstream(), StatingUpstream()
        for number, upstream in enumerate((self.paused, self.other)):
            self.addCleanup(upstream.close)
            self.upstream = upstream
            self.register(f"i-p{number}")
        self.operate(deletes=["servers/i-1"])
        names = ("one", "two", "three")
        gateways = [self.start(name) for name in names]

        def call(number):
            place = number % len(names)
            return self.call(gateways[place], f"/page/{names[place]}")

        send_steadily(call, 30.0, 1.0)
        self.paused.pauses = ["2"]
        statuses = send_steadily(call, 60.0, 2.5)
        self.assertEqual(set(statuses), {200})
        stated, path = self.paused.stated[0]
        sent = [p for at, p in self.paused.arrivals if stated < at < stated + 2.0]
        self.assertNotIn(path, sent)
        self.assertEqual(len(set(sent)), 2)


class TestEntryInstance(unittest.TestCase):
    """The same for plain services behind an entry instance."""

    def start(self, *retry_afters):
        """Start an entry instance and services that first refuse with these values."""
        deployment = Deployment()
        self.addCleanup(deployment.close)
        self.services = [self.start_service(value) for value in retry_afters]
        deployment.upstreams = Upstreams((), tuple(self.services))
        deployment.put_configuration(make_configuration(deployment.upstreams))
        self.entry = deployment.start_entry("one")

    def start_service(self, retry_after):
        """Start a service that refuses its first call if it has a Retry-After."""
        values = [retry_after] if retry_after else []

        def answer(conn, method, path, body):
            if path == "/-/load":
                send_load(conn)
            elif values:
                head = REFUSAL % values.pop().encode()
                conn.sendall(head + b"Content-Length: 0\r\n\r\n")
            else:
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        service = RawUpstream(answer)
        self.addCleanup(service.close)
        return service

    def send(self):
        """Call the service and return the answer."""
        return call(self.entry.port, "POST", "/services/portal/notes", b"", AUTHORISED)

    def test_nothing_is_sent_to_a_service_during_the_pause_that_it_asked_for(self):
        # Polls of its load count too. The usual pause after a refusal is 0.1 s.
        self.start("2", None)
        paused, _ = self.services
        poll(lambda: self.send().status == 200 and paused.count("/notes"))
        seen, stated = len(paused.seen), time.monotonic()
        while time.monotonic() < stated + 1.5:
            self.assertEqual(self.send().status, 200)
        self.assertEqual(len(paused.seen), seen)
        poll(lambda: self.send().status == 200 and paused.count("/notes") > 1, 2.0)

    def test_calls_are_refused_at_once_if_the_pause_outlasts_their_deadline(self):
        self.start("300")
        began = time.monotonic()
        for _ in range(4):
            answer = self.send()
            self.assertEqual(answer.status, 503, answer.raw)
            self.assertTrue(answer.json()["type"].endswith("/pool-paused"))
            self.assertGreater(float(answer.headers["retry-after"]), 290.0)
        self.assertLess(time.monotonic() - began, 2.0)
        self.assertEqual(self.services[0].count("/notes"), 1)


class TestUnsentAttempts(unittest.TestCase):
    def test_only_an_attempt_without_a_connection_is_withdrawn(self):
        # It would reach the upstream once the connection opens, during its pause.
        for make in (
            lambda session: Forward(session, "/notes"),
            lambda session: Generation(session, COMPLETION, "v1"),
        ):
            for connecting in (True, False):
                outcomes = []
                session = SimpleNamespace(
                    request_id="r",
                    client=SimpleNamespace(cancel=lambda call: None),
                    report=lambda *figures: None,
                    retry=lambda exc, outcome, seen=outcomes: seen.append(
                        (exc.outcome, outcome)
                    ),
                )
                run = make(session)
                conn = SimpleNamespace(connecting=connecting)
                run._call = SimpleNamespace(finished=False, conn=conn)
                run._upstream = SimpleNamespace(name="u0")
                run.withdraw_unsent()
                self.assertEqual(outcomes, [(NOT_RUN, BUSY)] * connecting)

    def test_a_pause_that_begins_during_a_cache_import_is_kept(self):
        # The request followed the import without another look at the engine.
        outcomes = []
        session = SimpleNamespace(
            request_id="r",
            is_upstream_paused=lambda: True,
            report=lambda *figures: None,
            retry=lambda exc, outcome: outcomes.append((exc.outcome, outcome)),
        )
        run = Generation(session, COMPLETION, "v1")
        run._upstream = SimpleNamespace(name="u0")
        run._send()
        self.assertEqual(outcomes, [(NOT_RUN, BUSY)])


class TestPauses(unittest.TestCase):
    def setUp(self):
        self.process = ProcessId("u0", 5.0)
        self.pauses = UpstreamPauses()
        self.pauses.add(self.process, 3.0, 10.0)

    def make_states(self, started_at):
        """Return the state of a pool with this process of the upstream."""
        registration = Registration("u0", "web", None, "a", started_at=started_at)
        return {"u0": UpstreamState(registration)}

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        self.pauses.add(self.process, 1.0, 10.5)
        self.assertTrue(self.pauses.is_paused(self.process, 12.9))
        self.assertFalse(self.pauses.is_paused(self.process, 13.0))
        self.assertEqual(self.pauses.count(13.0), 0)

    def test_a_pause_survives_a_lapsed_registration_but_not_a_restart(self):
        self.assertEqual(self.pauses.list_paused({}, 11.0), set())
        self.assertEqual(self.pauses.list_paused(self.make_states(5.0), 11.0), {"u0"})
        self.assertEqual(self.pauses.list_paused(self.make_states(6.0), 11.0), set())

    def test_the_wait_ends_with_the_first_pause(self):
        states = list(self.make_states(5.0).values())
        self.assertEqual(self.pauses.get_wait(states, 11.0), 2.0)
        self.assertIsNone(self.pauses.get_wait(states, 13.0))
        self.assertIsNone(self.pauses.get_wait([], 11.0))


if __name__ == "__main__":
    unittest.main()
