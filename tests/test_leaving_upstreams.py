"""Upstreams that state in their answers that they leave."""

import threading
import time
import unittest
from unittest import mock

from chervilwing import gateway as gateway_module
from chervilwing.platform.headers import DIALECT
from tests.deployments import AUTHORISED, Deployment, Upstreams, make_configuration
from tests.gateways import GatewayThread, make_document
from tests.limiting_upstreams import send_steadily
from tests.procs import call, poll
from tests.stating_upstreams import StatingUpstream
from tests.test_platform import PlatformCase
from tests.test_platform import answer as answer_whole
from tests.upstreams import RawUpstream, send_load


class StatingCase(unittest.TestCase):
    def start(self, *upstreams, dialect=DIALECT):
        """Start a gateway in front of these upstreams, named u0, u1 and so on."""
        self.run_ = GatewayThread(dialect, document=make_document())
        self.addCleanup(self.run_.close)
        for number, upstream in enumerate(upstreams):
            self.addCleanup(upstream.close)
            self.put(f"u{number}", upstream)

    def put(self, name, upstream, **fields):
        """Register an upstream, or register it again."""
        found = self.run_.make_registration(name, upstream.port, **fields)
        self.run_.gateway.put_upstream(found)

    def call(self, path="/page/x", count=1):
        """Make calls one after another and return their answers."""
        return [self.run_.call("POST", path, b"%d" % n) for n in range(count)]

    def call_until_stated(self, upstream, path="/page/x"):
        """Make calls until an answer of an upstream has made a statement."""
        while not upstream.stated:
            self.call(path)


class TestOneInstance(StatingCase):
    def test_nothing_is_sent_to_an_upstream_after_its_answer_said_that_it_leaves(self):
        # The store is away, so that its registration still says that it is ready.
        leaving, other = StatingUpstream(), StatingUpstream()
        self.start(leaving, other)
        leaving.leaving = True
        self.call_until_stated(leaving)
        stated = time.monotonic()
        for path in ("/page/x", "/note/x", "/quote/x"):
            statuses = {answer.status for answer in self.call(path, 20)}
            self.assertEqual(statuses, {200})
        self.assertEqual(leaving.count_since(stated), 0)

    def test_a_registration_does_not_revoke_an_announcement_but_a_restart_does(self):
        # Registrations are written every second, lapse while the store is away and may
        # arrive late.
        leaving, other = StatingUpstream(), StatingUpstream()
        self.start(leaving, other)
        leaving.leaving = True
        self.call_until_stated(leaving)
        count = len(leaving.arrivals)
        self.put("u0", leaving)
        self.call(count=10)
        self.run_.gateway.remove_upstream_now("u0")
        self.put("u0", leaving)
        self.call(count=10)
        self.assertEqual(len(leaving.arrivals), count)
        leaving.leaving = False
        self.put("u0", leaving, started_at=9.0)
        self.call(count=80)
        self.assertGreaterEqual(len(leaving.arrivals), count + 20)

    def test_an_expiring_registration_expires_despite_an_announcement(self):
        # Marked as leaving it would be kept for good.
        leaving = StatingUpstream()
        self.start(leaving)
        leaving.leaving = True
        registry = self.run_.gateway.registry
        registry.remove("u0", 5.0, 4.0)
        self.call()
        self.assertTrue(registry.upstreams["u0"].leaving)
        self.assertEqual(registry.expire(60.0), ["u0"])

    def test_a_stream_at_an_upstream_that_leaves_is_completed(self):
        leaving = StatingUpstream()
        self.start(leaving)
        leaving.leaving = True
        leaving.release.clear()
        answers = []
        thread = threading.Thread(target=lambda: answers.extend(self.call("/quote/x")))
        thread.start()
        poll(lambda: self.run_.gateway.registry.count_leaving())
        self.assertEqual(self.call("/note/x")[0].status, 503)
        leaving.release.set()
        thread.join()
        self.assertEqual(answers[0].status, 200)

    def test_an_upstream_that_keeps_its_name_gets_requests_after_its_restart(self):
        # The file of routes doesn't tell the new process from the one that left.
        leaving, other = StatingUpstream(), StatingUpstream()
        self.start(leaving, other)
        gateway = self.run_.gateway
        gateway.cfg = gateway.cfg._replace(routes="routes.toml")
        leaving.leaving = True
        with mock.patch.object(gateway_module, "REUSED_NAME_PAUSE", 0.5):
            self.call_until_stated(leaving)
        leaving.leaving = False
        count = len(leaving.arrivals)
        self.call(count=20)
        self.assertEqual(len(leaving.arrivals), count)
        time.sleep(0.5)
        self.call(count=80)
        self.assertGreaterEqual(len(leaving.arrivals), count + 20)


class TestEntryInstance(unittest.TestCase):
    def test_a_service_that_announces_its_end_gets_no_calls_or_polls(self):
        # A poll of its load may be the first answer that announces it.
        def answer(conn, method, path, body):
            head = b"HTTP/1.1 200 OK\r\nChervilwing-Leaving: 1\r\n"
            conn.sendall(head + b"Content-Length: 2\r\n\r\n{}")

        def answer_load(conn, method, path, body):
            if path == "/-/load":
                send_load(conn)
            else:
                answer_whole(conn, method, path, body)

        leaving, other = RawUpstream(answer), RawUpstream(answer_load)
        deployment = Deployment()
        self.addCleanup(deployment.close)
        deployment.upstreams = Upstreams((), (leaving, other))
        for upstream in (leaving, other):
            self.addCleanup(upstream.close)
        deployment.put_configuration(make_configuration(deployment.upstreams))
        entry = deployment.start_entry("one")
        poll(lambda: leaving.seen)
        time.sleep(0.1)
        seen = len(leaving.seen)
        for _ in range(40):
            path = "/services/portal/notes"
            found = call(entry.port, "POST", path, b"", AUTHORISED)
            self.assertEqual(found.status, 200)
            time.sleep(0.025)
        self.assertEqual(len(leaving.seen), seen)


class TestSeveralInstances(PlatformCase):
    def test_all_instances_know_what_one_of_them_was_told(self):
        # The store is away, and the upstream ends while most of them never asked it.
        self.leaving, self.other = StatingUpstream(), StatingUpstream()
        for number, upstream in enumerate((self.leaving, self.other)):
            self.addCleanup(upstream.close)
            self.upstream = upstream
            self.register(f"i-l{number}")
        self.operate(deletes=["servers/i-1"])
        gateways = [self.start(name) for name in ("one", "two", "three")]
        call_any = lambda number: self.call(gateways[number % 3])
        # Instances learn of each other within a second.
        send_steadily(call_any, 20.0, 1.5)
        self.platform.fault(refuse_calls=True)
        self.leaving.leaving = True
        poll(lambda: self.call(gateways[0]) == 200 and self.leaving.stated)
        time.sleep(0.2)
        stated = time.monotonic()
        statuses = send_steadily(call_any, 40.0, 1.5)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.leaving.count_since(stated), 0)


if __name__ == "__main__":
    unittest.main()
