"""Tests that a stream goes on only at the version that began it."""

import json
import time
import unittest

from chervilwing.rollouts import UNKNOWN_VERSION_WAIT
from chervilwing.stream_versions import ANNOUNCED, VERSIONS
from tests.gateways import make_document
from tests.procs import HOST, call, poll
from tests.test_gateway import GatewayCase
from tests.test_platform import PlatformCase
from tests.versioned_upstreams import LENGTH, Stream, VersionedUpstream

# Seconds within which a stream that can't go on is refused.
AT_ONCE = 0.6
QUOTE = {"name": "q", "prefix": "/quote/", "kind": "streaming", "canResume": True}


class VersionsCase(PlatformCase):
    versions = ("v1", "v1", "v2", "v2")
    make_upstream = VersionedUpstream
    # Streams are remembered for twice this time.
    time_limit_ms = 10000

    def setUp(self):
        super().setUp()
        route = self.document["routes"][0] | QUOTE
        self.document["routes"].append(route | {"timeoutMs": self.time_limit_ms})
        self.document["version"] = 4
        self.publish()
        self.operate(deletes=["servers/i-1"])
        self.upstreams = [self.make_upstream(version) for version in self.versions]
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

    def release_all(self):
        """Let upstreams send whole streams."""
        self.set_all(hold_after=LENGTH)
        for upstream in self.upstreams:
            upstream.release.set()

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

    def list_stored(self):
        """Return how many versions the store holds as known to all instances."""
        keys = self.platform.record()["keys"]
        keys = [key for key in keys if key.startswith(VERSIONS)]
        return sum(not key.startswith(ANNOUNCED) for key in keys)

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
        self.take_up_all(streams, two)

    def test_streams_of_a_frozen_instance_go_on_at_their_version(self):
        # Guards against a stream that only an instance without answers knows.
        one, two, _ = self.start_all("one", "two", "three")
        streams = self.begin(one, 6)
        one.freeze()
        self.take_up_all(streams, two)

    def test_streams_go_on_at_an_instance_that_started_after_them(self):
        # Guards against knowledge that ends with the instances of the time.
        one, _, three = self.start_all("one", "two", "three")
        streams = self.begin(one, 6)
        one.kill()
        three.kill()
        four = self.start("four")
        # The others answer it once they know it.
        for upstream in self.upstreams:
            upstream.release.set()
        poll(lambda: streams[0].take_up(four.port) == 200, 3.0)
        self.expect_gone_on(streams[0])
        self.take_up_all(streams[1:], four)

    def test_a_stream_that_breaks_off_again_names_its_first_attempt(self):
        # Guards against a chain of breaks of which each names another request.
        gateways = self.start_all("one", "two", "three")
        (stream,) = self.begin(gateways[0], 1)
        for gateway in gateways[1:]:
            with stream.open(gateway.port) as caller:
                stream.read(caller, 1)
        self.take_up_all([stream], gateways[0])
        self.assertEqual(stream.first, f"{stream.name}.1")

    def take_up_all(self, streams, gateway):
        """Take streams up again and expect that they go on at their version."""
        for upstream in self.upstreams:
            upstream.release.set()
        for stream in streams:
            self.assertEqual(stream.take_up(gateway.port), 200, stream.body)
            self.expect_gone_on(stream)


class TestRoutesFile(GatewayCase):
    def test_a_stream_goes_on_in_a_pool_that_only_a_route_names(self):
        # Guards against losing streams of pools that have no settings of their own.
        document = make_document(pools=())
        upstreams = [VersionedUpstream("v1") for _ in range(2)]
        run = self.start(document=document)
        for number, upstream in enumerate(upstreams):
            self.addCleanup(upstream.close)
            registration = run.make_registration(f"u{number}", upstream.port)
            run.gateway.put_upstream(registration)
            upstream.breaks, upstream.hold_after = True, 2
        stream = Stream("s1")
        with stream.open(run.port) as caller:
            stream.read(caller, 1)
        self.assertEqual(stream.take_up(run.port), 200)
        self.assertTrue(stream.whole)
        self.assertEqual(stream.numbers, list(range(1, LENGTH + 1)))


class TestRefusals(VersionsCase):
    def expect_refused(self, stream, gateway, problem):
        """Expect a refusal at once that nothing was run for; return its fields."""
        before = sum(len(upstream.served) for upstream in self.upstreams)
        began = time.monotonic()
        self.assertEqual(stream.take_up(gateway.port), 503)
        self.assertLess(time.monotonic() - began, AT_ONCE)
        self.assertTrue(json.loads(stream.body)["type"].endswith(problem), stream.body)
        self.assertEqual(len(stream.versions), 1)
        after = sum(len(upstream.served) for upstream in self.upstreams)
        self.assertEqual(after, before)
        return stream.headers

    def test_a_stream_that_nobody_knows_is_refused(self):
        # Guards against a guess where all that knew the stream have started again.
        one, two = self.start_all("one", "two")
        (stream,) = self.begin(one, 1)
        for gateway in (one, two):
            gateway.kill()
        self.release_all()
        (three,) = self.start_all("three")
        headers = self.expect_refused(stream, three, "/stream-unknown")
        self.assertIn("retry-after", headers)

    def test_a_stream_that_names_no_request_is_refused_for_good(self):
        # Guards against tries that never can be served.
        (one,) = self.start_all("one")
        (stream,) = self.begin(one, 1)
        stream.first = ""
        headers = self.expect_refused(stream, one, "/stream-unknown")
        self.assertNotIn("retry-after", headers)

    def test_a_stream_whose_version_is_gone_is_told_that_it_never_goes_on(self):
        # Guards against tries that can't be served, and against another version.
        one, two = self.start_all("one", "two")
        streams = self.begin(one, 8)
        for number in (0, 1):
            self.register_version(number, state="draining")
        old = [stream for stream in streams if stream.versions == {"v1"}]
        new = [stream for stream in streams if stream.versions == {"v2"}]
        self.assertTrue(old and new)
        poll(lambda: "gateway_upstreams_leaving 2" in self.read_metrics(two))
        for stream in old:
            headers = self.expect_refused(stream, two, "/version-gone")
            self.assertNotIn("retry-after", headers)
        for stream in new:
            self.assertEqual(stream.take_up(two.port), 200)
            self.expect_gone_on(stream)

    def test_a_broken_answer_without_its_version_is_cut(self):
        # Guards against events of another version in place of a visible break.
        (gateway,) = self.start_all("one")
        self.upstreams[1].close()
        self.operate(deletes=["servers/u-1"])
        poll(lambda: "gateway_upstreams 3" in self.read_metrics(gateway))
        self.set_all(hold_after=2, breaks=True)
        streams = [self.begin_whole(gateway) for _ in range(12)]
        for stream in streams:
            self.assertEqual(len(stream.versions), 1)
            self.assertEqual(stream.whole, stream.versions == {"v2"}, stream.events)

    def read_metrics(self, gateway):
        """Return a gateway's metrics."""
        return call(gateway.info["ready_port"], "GET", "/-/metrics").body.decode()


class TestBusy(VersionsCase):
    def test_a_stream_waits_for_its_busy_version(self):
        # Guards against refusing a stream while upstreams of its version serve.
        one, two = self.start_all("one", "two")
        (stream,) = self.begin(one, 1)
        one.kill()
        same = [item for item in self.upstreams if {item.version} == stream.versions]
        same[0].full = True
        self.release_all()
        poll(lambda: stream.take_up(two.port) == 200, 2.0)
        self.expect_gone_on(stream)


class TestFirstStart(VersionsCase):
    versions = ("v1", "v1")

    def test_an_instance_is_ready_only_when_streams_can_begin(self):
        # Guards against refused streams at an instance that has just said it is ready.
        gateway = self.start("one")
        for _ in range(40):
            self.expect_gone_on(self.begin_whole(gateway))


class TestOneVersion(VersionsCase):
    versions = ("v1", "v1")
    time_limit_ms = 2000

    def test_streams_go_on_after_all_instances_have_started_again(self):
        # Guards against refusing streams that only one version can have begun.
        one, two = self.start_all("one", "two")
        streams = self.begin(one, 3)
        for gateway in (one, two):
            gateway.kill()
        self.release_all()
        (three,) = self.start_all("three")
        for stream in streams:
            self.assertEqual(stream.take_up(three.port), 200, stream.body)
            self.expect_gone_on(stream)

    def test_a_version_that_is_gone_is_still_possible_after_a_restart(self):
        # Guards against a guess where the version that began a stream has left.
        one, two = self.start_all("one", "two")
        (stream,) = self.begin(one, 1)
        poll(lambda: self.list_stored() == 1)
        for upstream in self.upstreams:
            upstream.version = "v2"
        for number in (0, 1):
            self.operate(deletes=[f"servers/u-{number}"])
            self.register(
                f"w-{number}",
                version="v2",
                address=f"{HOST}:{self.upstreams[number].port}",
            )
        poll(lambda: self.list_stored() == 2)
        for gateway in (one, two):
            gateway.kill()
        three = self.start("three")
        self.set_all(hold_after=LENGTH)
        # It knows the stored versions a moment after the upstreams.
        time.sleep(0.5)
        self.assertEqual(stream.take_up(three.port), 503)
        self.assertIn(b"/stream-unknown", stream.body)
        self.assertEqual(stream.versions, {"v1"})
        # None of the first version's streams can be taken up any more.
        poll(lambda: self.list_stored() == 1, 15)

    def test_a_version_that_was_withdrawn_while_all_were_down(self):
        # Guards against streams of a version that only instances which ended knew.
        gateways = self.start_all("one", "two")
        poll(lambda: self.list_stored() == 1)
        self.platform.fault(refuse_writes=True)
        names = ("w-0", "w-1")
        for name in names:
            new = self.make_upstream("v2", hold_after=2)
            new.release.clear()
            self.addCleanup(new.close)
            self.register(name, version="v2", address=f"{HOST}:{new.port}")
        # A version that isn't in the store gets requests when it has been known for two
        # seconds, but no streams that may be taken up.
        time.sleep(UNKNOWN_VERSION_WAIT + 0.3)
        streams = [item for gateway in gateways for item in self.begin(gateway, 6)]
        for gateway in gateways:
            gateway.kill()
        self.operate(deletes=[f"servers/{name}" for name in names])
        self.platform.fault(refuse_writes=False)
        self.release_all()
        three = self.start("three")
        for stream in streams:
            poll(lambda stream=stream: stream.take_up(three.port) == 200, 3.0)
            self.expect_gone_on(stream)


if __name__ == "__main__":
    unittest.main()
