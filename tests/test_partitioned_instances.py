"""Tests of instances that are cut from all upstreams, as processes."""

import threading
import time

from tests.partitions import Partition
from tests.procs import HOST, poll
from tests.test_platform import PlatformCase, answer
from tests.upstreams import RawUpstream

# Seconds after which a cut instance must serve its callers again; the platform allows
# three.
NOTICED_AFTER = 1.5
# Callers that send one request after the other, and seconds that an answer takes; both
# together keep several connections in use.
CALLERS = 6
ANSWER_TIME = 0.03


def answer_slowly(conn, method, path, body):
    """Answer with the upstream's signature after ANSWER_TIME."""
    time.sleep(ANSWER_TIME)
    answer(conn, method, path, body)


def answer_and_close(conn, method, path, body):
    """Answer with the upstream's signature and close the connection."""
    head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nConnection: close\r\n"
    conn.sendall(head + b"Content-Length: 2\r\n\r\nok")
    conn.close()


class PartitionCase(PlatformCase):
    module = "tests.routed_gateway"

    def setUp(self):
        super().setUp()
        self.upstream.script = answer_slowly
        self.other = RawUpstream(answer_slowly)
        self.addCleanup(self.other.close)
        self.register("i-2", address=f"{HOST}:{self.other.port}")
        ports = (self.upstream.port, self.other.port)
        self.whole, self.partition = (Partition(self.procs, ports) for _ in range(2))
        self.addCleanup(self.whole.close)
        self.addCleanup(self.partition.close)
        self.helper = self.start("two", variables=self.whole.variables)
        self.gateway = self.start("one", variables=self.partition.variables)

    def call_for(self, seconds):
        """Send requests to the cut instance for a time; return their statuses."""
        statuses, until = [], time.monotonic() + seconds

        def run():
            while time.monotonic() < until:
                statuses.append(self.call(self.gateway))

        callers = [threading.Thread(target=run) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return statuses


class TestAlone(PartitionCase):
    def setUp(self):
        super().setUp()
        self.helper.kill()

    def test_requests_are_refused_at_once_if_nobody_helps(self):
        # Guards against holding callers whose requests can't be served.
        self.partition.cut("hang")
        poll(lambda: self.call(self.gateway) == 503)
        began = time.monotonic()
        statuses = self.call_for(1.0)
        self.assertEqual(set(statuses), {503})
        longest = CALLERS * (time.monotonic() - began) / len(statuses)
        self.assertLess(longest, 0.1)
        self.partition.heal()
        poll(lambda: self.call(self.gateway) == 200, 1.0)


class TestAccounts(PartitionCase):
    def test_requests_through_another_instance_are_counted_once(self):
        # Guards against usage, attempts or deadlines of their own where the request is
        # only passed on, and against a key that reaches an upstream.
        poll(lambda: self.list_calls("/usage"), 20)
        self.partition.cut("reset")
        poll(lambda: self.call(self.gateway) == 200)
        self.call_for(0.5)
        for upstream in (self.upstream, self.other):
            upstream.heads.clear()
        before = self.read_reported()
        served = self.call_for(1.0).count(200)
        poll(lambda: self.read_reported() >= before + served, 20)
        time.sleep(3.0)
        total = len(self.upstream.seen) + len(self.other.seen)
        self.assertEqual(self.read_reported(), total)
        heads = [fields for _, fields in (*self.upstream.heads, *self.other.heads)]
        self.assertEqual(len(heads), served)
        for fields in heads:
            self.assertEqual(fields["x-tenant"], "insurer")
            self.assertNotIn("authorization", fields)
            self.assertLessEqual(int(fields["x-deadline-ms"]), 2000)

    def read_reported(self):
        """Return the requests reported as usage, each window once."""
        reports = {body["windowId"]: body for _, _, body in self.list_calls("/usage")}
        return sum(body["counts"].get("insurer", 0) for body in reports.values())


class TestCut(PartitionCase):
    """Guard against refusing all callers of an instance that reaches no upstream.

    Other instances still reach the upstreams.
    """

    def expect_served(self, how):
        """Cut the instance and expect two thirds of later first tries to be served."""
        self.call_for(0.3)
        self.partition.cut(how)
        self.call_for(NOTICED_AFTER)
        statuses = self.call_for(1.0)
        self.partition.heal()
        self.assertGreaterEqual(statuses.count(200), len(statuses) * 2 / 3, statuses)
        poll(lambda: self.call(self.gateway) == 200)
        # Soon after the cut its requests don't go through the other instance any more.
        self.call_for(1.0)
        self.helper.freeze()
        self.addCleanup(self.helper.resume)
        self.assertEqual(set(self.call_for(0.5)), {200})

    def test_callers_are_served_after_all_connections_were_reset(self):
        self.expect_served("reset")

    def test_callers_are_served_while_all_connections_hang(self):
        self.expect_served("hang")

    def test_callers_are_served_while_new_connections_are_refused(self):
        self.upstream.script = self.other.script = answer_and_close
        self.expect_served("refuse")
