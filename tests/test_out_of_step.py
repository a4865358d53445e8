"""Tests of instances that are out of step while versions of upstreams change."""

import json
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

from tests.procs import HOST, poll
from tests.routed_gateway import LOST_DATAGRAMS, RECEIVED, ROUTES, SENT
from tests.test_stream_versions import VersionsCase

BOTH = (SENT, RECEIVED)
# Seconds for which an instance is cut off.
CUT_TIME = 2.5
# Callers at once, and seconds between them.
CALLERS, PAUSE = 32, 0.04
# The same where a trial sends one stream in twenty to the new version.
TRIAL_TIME, TRIAL_PAUSE = 4.0, 0.005
# Events that callers read before their streams break off.
READ = 2


class OutOfStepCase(VersionsCase):
    """Three gateways, of which one can be cut off from the store and the others."""

    module = "tests.routed_gateway"
    versions = ("v1", "v1")

    def setUp(self):
        super().setUp()
        self.routes = {}
        self.gateways = {name: self.launch(name) for name in ("one", "two", "three")}
        for gateway in self.gateways.values():
            poll(lambda gateway=gateway: self.begin_whole(gateway).whole)
        poll(lambda: self.list_stored() == 1)

    def launch(self, name):
        """Start a gateway whose links can be cut."""
        routes = tempfile.NamedTemporaryFile("w", suffix=".json")
        self.addCleanup(routes.close)
        store = self.procs.start_fake("relay", "--to", f"{HOST}:{self.platform.port}")
        self.routes[name] = (Path(routes.name), store)
        self.set_lost(name, ())
        variables = {ROUTES: routes.name}
        return self.start(name, variables=variables, store=f"{HOST}:{store.port}")

    def set_lost(self, name, directions):
        """Lose a gateway's datagrams in some directions from now on."""
        file = self.routes[name][0]
        new = file.with_suffix(".new")
        new.write_text(json.dumps({LOST_DATAGRAMS: directions}))
        new.replace(file)

    def cut(self, name, directions=BOTH):
        """Cut a gateway off from the store and from other gateways."""
        self.set_lost(name, directions)
        self.routes[name][1].fault(hold=True)

    def heal(self, name):
        """Restore a gateway's links."""
        self.set_lost(name, ())
        self.routes[name][1].fault(hold=False)

    def add_version(self, version):
        """Register two upstreams of a version that hold their streams."""
        for _ in range(2):
            new = self.make_upstream(version, hold_after=READ)
            new.release.clear()
            self.addCleanup(new.close)
            self.upstreams.append(new)
            self.register_version(len(self.upstreams) - 1)

    def take_up_begun(self, seconds, pause=PAUSE):
        """Begin streams at one gateway, take them up at another; return them."""
        until, begun = time.monotonic() + seconds, []
        with ThreadPoolExecutor(CALLERS) as callers:
            while time.monotonic() < until:
                begun.append(stream := self.make_stream())
                callers.submit(self.take_up_elsewhere, stream)
                time.sleep(pause)
        return [stream for stream in begun if stream.tries > 1]

    def take_up_elsewhere(self, stream):
        """Begin a stream, and take it up elsewhere if it is of the new version."""
        with suppress(OSError, EOFError):
            with stream.open(self.gateways["one"].port) as caller:
                stream.read(caller, READ)
            if stream.versions == {"v2"}:
                stream.take_up(self.gateways["three"].port)

    def expect_separate(self, streams, least=20):
        """Expect streams that nobody joined from two versions."""
        self.assertGreater(len(streams), least)
        mixed = [stream.events for stream in streams if len(stream.versions) > 1]
        self.assertEqual(mixed, [])

    def release_all(self):
        super().release_all()
        for upstream in self.upstreams:
            upstream.release.set()


class TestReplacedUpstreams(OutOfStepCase):
    def replace_upstreams(self):
        """Let a new version take the place of the old one at once."""
        self.add_version("v2")
        self.operate(deletes=["servers/u-0", "servers/u-1"])

    def test_an_instance_that_missed_a_release_joins_no_versions(self):
        # Guards against a stream that goes on at the only version an instance knows.
        for directions in (BOTH, (RECEIVED,)):
            with self.subTest(lost=directions):
                self.cut("three", directions)
                self.replace_upstreams()
                streams = self.take_up_begun(CUT_TIME)
                self.heal("three")
                self.expect_separate(streams)
                self.release_all()
                last = streams[-1]
                poll(lambda last=last: last.whole or last.take_up(self.port) == 200)
                self.expect_gone_on(last)
            self.doCleanups()
            self.setUp()

    @property
    def port(self):
        return self.gateways["three"].port


class TestOrderedRollOut(OutOfStepCase):
    def test_an_instance_that_missed_an_order_joins_no_versions(self):
        # Guards against the same where a trial sends a few streams to a new version.
        self.cut("three")
        order = {"service": "web", "target": "v2", "durationS": 10}
        self.operate({"op/rollout/web": order})
        self.add_version("v2")
        streams = self.take_up_begun(TRIAL_TIME, TRIAL_PAUSE)
        self.heal("three")
        self.expect_separate(streams, least=5)


if __name__ == "__main__":
    unittest.main()
