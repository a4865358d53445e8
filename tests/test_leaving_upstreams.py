"""Upstreams that state in their answers that they leave."""

import time
import unittest

from chervilwing.platform.headers import DIALECT
from tests.gateways import GatewayThread, make_document
from tests.stating_upstreams import StatingUpstream


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


if __name__ == "__main__":
    unittest.main()
