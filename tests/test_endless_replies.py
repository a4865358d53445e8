"""Servers other than upstreams whose replies have no end, beside ordinary callers."""

import itertools
import json
import time
import unittest

from tests.crowded_gateway import (
    MIB,
    REQUEST,
    CrowdedEntry,
    MemoryWatch,
    OrdinaryCallers,
    Ports,
)
from tests.deployments import API_KEY, Deployment, Upstreams, make_configuration
from tests.fakes.control import HOST
from tests.fakes.endless import KINDS
from tests.procs import poll
from tests.test_platform import PlatformCase
from tests.upstreams import CHUNKED_HEAD, RawUpstream, make_chunk, send_load

SECONDS = 2.0
# Seconds until a reply of a kind has begun, longer than any call lasts.
BEGIN_TIMEOUT = 20.0
# Bytes at which a process is stopped, long before the machine is harmed.
MAX_MEMORY = 400 * MIB
# Memory as a multiple of that in calm, and the part of requests that are served.
MEMORY_FACTOR = 1.5
SERVED_PART = 0.99

COMPLETION_BODY = b'{"model": "memo", "prompt": "hello", "max_tokens": 8}'
COMPLETION = (
    b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %b\r\n"
    b"Content-Length: %d\r\n\r\n%b"
    % (API_KEY.encode(), len(COMPLETION_BODY), COMPLETION_BODY)
)
TOKEN = "x" * 4000


def send_tokens(conn, method, path, body):
    """Answer as an engine whose tokens don't end."""
    if path == "/v1/load":
        send_load(conn)
        return
    if path != "/v1/completions":
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return
    attempt = json.loads(body)["attempt"]
    conn.sendall(CHUNKED_HEAD)
    for index in itertools.count():
        event = {"attempt": attempt, "index": index, "token": TOKEN}
        conn.sendall(make_chunk(event))


class Play:
    """Play kinds of replies at a relay before a process, and check the process."""

    def watch_process(self, process, ready_port, request):
        """Watch the memory of a process that calls servers through the relay."""
        self.ports, self.request = (process.port, ready_port), request
        ports = Ports(set(self.ports), {self.relay.port})
        self.watch = MemoryWatch(process, ports, MAX_MEMORY)
        self.addCleanup(self.watch.close)

    def count_begun(self):
        """Return how many replies without end were begun."""
        return self.relay.record()["endless_replies"]

    def measure(self, kind):
        """Return the Outcomes of ordinary callers during one kind of reply."""
        callers = OrdinaryCallers(*self.ports, self.request)
        begun = self.count_begun()
        self.relay.fault(endless=kind)
        # Calls may still be busy with what was received of the kind before.
        poll(lambda: not kind or self.count_begun() > begun, BEGIN_TIMEOUT)
        time.sleep(SECONDS)
        return callers.stop()

    def check(self, kinds):
        """Play kinds of replies one after another, and then none."""
        self.measure("")
        calm = self.watch.peak
        for kind in kinds:
            with self.subTest(kind):
                outcomes = self.measure(kind)
                self.assertFalse(self.watch.exceeded)
                self.assertLess(self.watch.peak, MEMORY_FACTOR * calm)
                self.assertGreaterEqual(outcomes.served, SERVED_PART, outcomes)
                self.assertEqual(outcomes.ready, outcomes.checks)
        self.relay.fault(endless="")


class TestPlatformReplies(Play, PlatformCase):
    def start_behind_relay(self, *names):
        """Start a gateway that reaches the named services through a relay."""
        target = f"{HOST}:{self.platform.port}"
        self.relay = self.procs.start_fake("relay", "--to", target)
        options = dict.fromkeys(names, f"{HOST}:{self.relay.port}")
        gateway = self.start("one", revoke_bound="120", **options)
        self.watch_process(gateway, gateway.info["ready_port"], REQUEST)
        return gateway

    def check_recovery(self, gateway):
        """Check that a change comes into force once replies end again."""
        self.document["version"] += 1
        self.document["tenants"][0]["apiKeys"] = ["k2"]
        self.publish()
        poll(lambda: self.call(gateway) == 401, 20)
        self.assertEqual(self.call(gateway, key="k2"), 200)

    def test_replies_of_the_platform_without_end(self):
        """Guards against replies of the store that fill the memory."""
        gateway = self.start_behind_relay("store", "cloud")
        self.check(KINDS)
        self.check_recovery(gateway)

    def test_replies_of_the_api_without_end(self):
        """Guards against replies to the holder of the duties that fill the memory."""
        gateway = self.start_behind_relay("cloud")
        self.check(("chunks", "length", "until close"))
        self.check_recovery(gateway)


class TestEntryReplies(Play, unittest.TestCase):
    kinds = ("chunks", "length")

    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        self.deployment.start_upstreams(2, 2)

    def start_relay(self, process):
        """Start the relay before a process and return it."""
        options = ("--to", f"{HOST}:{process.port}")
        self.relay = self.deployment.processes.start_fake("relay", *options)
        return self.relay

    def start_entry(self, **options):
        """Start the entry instance and watch it."""
        entry = self.deployment.start_entry("one", **options)
        self.watch_process(entry, entry.port, CrowdedEntry.request)

    def configure(self, engines, services):
        """Put a configuration with these upstreams into force."""
        found = make_configuration(Upstreams(engines, services), revision=2)
        self.deployment.put_configuration(found, expect=1)
        self.deployment.list_instances(found)

    def test_replies_of_the_key_value_service_without_end(self):
        """Guards against replies of the key-value service that fill the memory."""
        self.start_entry(store=self.start_relay(self.deployment.store))
        self.check(self.kinds)

    def test_replies_of_the_cloud_without_end(self):
        """Guards against notices and lists of the cloud that fill the memory."""
        self.start_entry(cloud=self.start_relay(self.deployment.cloud))
        self.check(self.kinds)

    def test_load_reports_of_engines_without_end(self):
        """Guards against one engine whose load reports fill the memory."""
        (first, *others), services = self.deployment.upstreams
        self.configure((self.start_relay(first), *others), services)
        self.start_entry()
        self.check(self.kinds)

    def test_tokens_of_engines_without_end(self):
        """Guards against one engine whose tokens fill the memory.

        A request that reaches it still waits until its deadline.
        """
        endless = RawUpstream(send_tokens)
        self.addCleanup(endless.close)
        engines, services = self.deployment.upstreams
        self.configure((endless, *engines), services)
        self.relay = self.start_relay(self.deployment.cloud)
        self.start_entry()
        calm = self.watch.read()
        self.request = COMPLETION
        outcomes = self.measure("")
        self.assertGreater(endless.count("/v1/completions"), 0)
        self.assertLess(self.watch.peak, MEMORY_FACTOR * calm)
        self.assertEqual(outcomes.ready, outcomes.checks)

    def test_answers_of_services_without_end(self):
        """Guards against one service whose answers and reports fill the memory."""
        engines, (first, *others) = self.deployment.upstreams
        self.configure(engines, (self.start_relay(first), *others))
        self.start_entry()
        self.check(self.kinds)


if __name__ == "__main__":
    unittest.main()
