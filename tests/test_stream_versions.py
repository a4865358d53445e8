"""Tests that a stream goes on only at the version that began it."""

import unittest

from tests.procs import HOST, poll
from tests.test_platform import PlatformCase
from tests.versioned_upstreams import LENGTH, Stream, VersionedUpstream

QUOTE = {"name": "q", "prefix": "/quote/", "kind": "streaming", "canResume": True}


class VersionsCase(PlatformCase):
    versions = ("v1", "v1", "v2", "v2")

    def setUp(self):
        super().setUp()
        self.document["routes"].append(self.document["routes"][0] | QUOTE)
        self.document["version"] = 4
        self.publish()
        self.operate(deletes=["servers/i-1"])
        self.upstreams = [VersionedUpstream(version) for version in self.versions]
        for number, upstream in enumerate(self.upstreams):
            self.addCleanup(upstream.close)
            self.register_version(number)
        self.count = 0

    def register_version(self, number, **changes):
        """Register one of the upstreams."""
        upstream = self.upstreams[number]
        address = f"{HOST}:{upstream.port}"
        fields = {"version": upstream.version, "address": address} | changes
        self.register(f"u-{number}", **fields)

    def set_all(self, **values):
        """Set attributes of all upstreams."""
        for upstream in self.upstreams:
            for name, value in values.items():
                setattr(upstream, name, value)

    def start_all(self, *names):
        """Start gateways, and return them once they use all versions."""
        gateways = [self.start(name) for name in names]
        for gateway in gateways:
            seen = set()
            poll(lambda gateway=gateway, seen=seen: self.see(gateway, seen))
        return gateways

    def see(self, gateway, seen):
        """Add the versions of a few streams; return whether all were seen."""
        streams = [self.begin_whole(gateway) for _ in range(4)]
        seen.update(*(stream.versions for stream in streams))
        return seen == set(self.versions)

    def make_stream(self):
        self.count += 1
        return Stream(f"s{self.count}")

    def begin_whole(self, gateway):
        """Read a whole stream."""
        stream = self.make_stream()
        stream.take_up(gateway.port)
        return stream

    def begin(self, gateway, count, events=2):
        """Begin streams and read some events of each; return them, open."""
        self.set_all(hold_after=events)
        for upstream in self.upstreams:
            upstream.release.clear()
        begun = []
        for _ in range(count):
            stream = self.make_stream()
            begun.append((stream, caller := stream.open(gateway.port)))
            self.addCleanup(caller.close)
            stream.read(caller, events)
        self.assertEqual({len(stream.events) for stream, _ in begun}, {events})
        return [stream for stream, _ in begun]

    def expect_gone_on(self, stream):
        """Expect that the caller has read a whole stream of one version."""
        self.assertTrue(stream.whole, (stream.status, stream.body))
        self.assertEqual(len(stream.versions), 1, stream.events)
        self.assertEqual(stream.numbers, list(range(1, LENGTH + 1)))


class TestOneAnswer(VersionsCase):
    def test_a_stream_goes_on_at_its_version_within_one_answer(self):
        # Guards against events of two versions in one answer.
        (gateway,) = self.start_all("one")
        self.set_all(hold_after=2, breaks=True)
        for _ in range(12):
            self.expect_gone_on(self.begin_whole(gateway))


class TestTries(VersionsCase):
    def test_streams_of_a_killed_instance_go_on_at_their_version(self):
        # Guards against events of two versions over a caller's tries.
        one, two = self.start_all("one", "two")
        streams = self.begin(one, 12)
        one.kill()
        for stream in streams:
            self.assertEqual(stream.take_up(two.port), 200)
            self.expect_gone_on(stream)


if __name__ == "__main__":
    unittest.main()
