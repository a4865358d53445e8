"""Servers other than upstreams whose replies have no end, beside ordinary callers."""

import time
import unittest

from tests.crowded_gateway import MIB, REQUEST, MemoryWatch, OrdinaryCallers, Ports
from tests.fakes.control import HOST
from tests.fakes.endless import KINDS
from tests.procs import poll
from tests.test_platform import PlatformCase

SECONDS = 2.0
# Bytes at which a process is stopped, long before the machine is harmed.
MAX_MEMORY = 400 * MIB
# Memory as a multiple of that in calm, and the part of requests that are served.
MEMORY_FACTOR = 1.5
SERVED_PART = 0.99


class TestPlatformReplies(PlatformCase):
    def start_behind_relay(self, *names):
        """Start a gateway that reaches the named services through a relay."""
        target = f"{HOST}:{self.platform.port}"
        self.relay = self.procs.start_fake("relay", "--to", target)
        address = f"{HOST}:{self.relay.port}"
        options = dict.fromkeys(names, address)
        gateway = self.start("one", revoke_bound="30", **options)
        peers = {self.relay.port, self.upstream.port}
        ports = Ports({gateway.port, gateway.info["ready_port"]}, peers)
        self.watch = MemoryWatch(gateway, ports, MAX_MEMORY)
        self.addCleanup(self.watch.close)
        return gateway

    def measure(self, gateway, kind):
        """Return the Outcomes of ordinary callers during one kind of reply."""
        callers = OrdinaryCallers(gateway.port, gateway.info["ready_port"], REQUEST)
        self.relay.fault(endless=kind)
        time.sleep(SECONDS)
        return callers.stop()

    def check(self, kinds, *names):
        """Play kinds of replies of the named services one after another."""
        gateway = self.start_behind_relay(*names)
        self.measure(gateway, "")
        calm = self.watch.peak
        for kind in kinds:
            begun = self.relay.record()["endless_replies"]
            with self.subTest(kind):
                outcomes = self.measure(gateway, kind)
                self.assertFalse(self.watch.exceeded)
                self.assertLess(self.watch.peak, MEMORY_FACTOR * calm)
                self.assertGreaterEqual(outcomes.served, SERVED_PART, outcomes)
                self.assertEqual(outcomes.ready, outcomes.checks)
                replies = self.relay.record()["endless_replies"]
                self.assertGreater(replies, begun, "no reply without end was begun")
        self.relay.fault(endless="")
        self.check_recovery(gateway)

    def check_recovery(self, gateway):
        """Check that a change comes into force once replies end again."""
        self.document["version"] += 1
        self.document["tenants"][0]["apiKeys"] = ["k2"]
        self.publish()
        poll(lambda: self.call(gateway) == 401, 20)
        self.assertEqual(self.call(gateway, key="k2"), 200)

    def test_replies_of_the_platform_without_end(self):
        """Guards against replies of the store that fill the memory."""
        self.check(KINDS, "store", "cloud")

    def test_replies_of_the_api_without_end(self):
        """Guards against replies to the holder of the duties that fill the memory."""
        self.check(("chunks", "length", "until close"), "cloud")


if __name__ == "__main__":
    unittest.main()
