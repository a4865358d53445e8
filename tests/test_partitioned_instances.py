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

    def test_callers_are_served_after_all_connections_were_reset(self):
        self.expect_served("reset")

    def test_callers_are_served_while_all_connections_hang(self):
        self.expect_served("hang")

    def test_callers_are_served_while_new_connections_are_refused(self):
        self.upstream.script = self.other.script = answer_and_close
        self.expect_served("refuse")
