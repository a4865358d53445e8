"""Streams of several versions in fleets of 1 to 320 instances.

Run more seeds by hand: python -m tests.test_stream_versions_model FIRST COUNT
"""

import sys
import unittest

from chervilwing.exceptions import StreamUnknown
from chervilwing.stream_versions import Origin, make_stream_id
from tests.stream_fleet import Fleet, Stream

SIZES = (1, 3, 8, 67, 320)
SECONDS = 20
STREAMS_PER_SECOND = 30
LAST_VERSION = 9


def freeze(fleet, name):
    fleet.frozen.add(name)
    fleet.call_later(fleet.rng.uniform(0.3, 3.0), fleet.frozen.discard, name)


def cut(fleet, name):
    fleet.cut.add(name)
    fleet.call_later(fleet.rng.uniform(0.5, 4.0), fleet.cut.discard, name)


def blind(fleet, name):
    """Cut an instance, or all of them, from the store."""
    names = fleet.names if fleet.rng.random() < 0.3 else [name]
    fleet.blind.update(names)
    fleet.call_later(
        fleet.rng.uniform(0.5, 6.0), fleet.blind.difference_update, list(names)
    )


def isolate(fleet, name):
    """Cut an instance from the store and from the others."""
    seconds = fleet.rng.uniform(0.5, 4.0)
    for apart in (fleet.cut, fleet.blind):
        apart.add(name)
        fleet.call_later(seconds, apart.discard, name)


def release(fleet, name):
    """Replace all upstreams while an instance is out of step."""
    isolate(fleet, name)
    fleet.call_later(fleet.rng.uniform(0.0, 0.4), replace_all, fleet)


def replace_all(fleet):
    """Let upstreams of a new version take the place of all others."""
    for upstream in list(fleet.upstreams):
        fleet.put_upstream(upstream, None)
    version = f"n{next(fleet.serials)}"
    for _ in range(2):
        fleet.put_upstream(f"r{next(fleet.serials)}", version)


def kill(fleet, name):
    fleet.kill(name)
    fleet.call_later(fleet.rng.uniform(0.5, 3.0), fleet.start, name)


def kill_all(fleet, name):
    if fleet.rng.random() < 0.3:
        for each in fleet.names:
            kill(fleet, each)


def replace_upstream(fleet, name):
    """Let an upstream leave, and one of another version start."""
    fleet.put_upstream(fleet.rng.choice(sorted(fleet.upstreams)), None)
    number = fleet.rng.randint(1, LAST_VERSION)
    fleet.put_upstream(f"r{next(fleet.serials)}", f"v{number}")


def unify(fleet, name):
    """Leave one version only, which is then the only possible one."""
    version = fleet.rng.choice(sorted(fleet.upstreams.values()))
    for upstream in list(fleet.upstreams):
        fleet.put_upstream(upstream, None)
    for _ in range(2):
        fleet.put_upstream(f"r{next(fleet.serials)}", version)


FAULTS = (freeze, cut, blind, release, kill, kill_all, replace_upstream, unify)


def run_faults(size, seed):
    """Run a fleet under overlapping faults and return it."""
    fleet = Fleet(size, seed)
    for number in range(SECONDS * STREAMS_PER_SECOND):
        fleet.call_later(number / STREAMS_PER_SECOND, fleet.ask)
    for _ in range(SECONDS):
        fault, name = fleet.rng.choice(FAULTS), fleet.rng.choice(fleet.names)
        fleet.call_later(fleet.rng.uniform(0, SECONDS), fault, fleet, name)
    fleet.run(SECONDS + 10)
    return fleet


def list_mixed(fleet):
    return [stream for stream in fleet.streams if len(stream.versions) > 1]


class TestFaults(unittest.TestCase):
    def test_no_stream_is_mixed_under_any_faults(self):
        # Guards against an instance that guesses, or knows an old version.
        for size in SIZES:
            for seed in range(2 if size > 8 else 6):
                with self.subTest(size=size, seed=seed):
                    self.assertEqual(list_mixed(run_faults(size, seed)), [])


def run_release(size, seed):
    """Replace the only version while an instance, or a tenth, is out of step."""
    fleet = Fleet(size, seed, versions=("v1", "v1"))
    for number in range(400):
        fleet.call_later(number / 100, fleet.ask)
    apart = fleet.rng.sample(fleet.names, max(1, size // 10))
    for name in apart:
        fleet.call_later(1.0 + fleet.rng.uniform(0.0, 0.4), isolate, fleet, name)
    fleet.call_later(1.4, replace_all, fleet)
    fleet.run(10.0)
    return fleet


class TestOutOfStep(unittest.TestCase):
    def test_instances_that_missed_a_release_join_no_versions(self):
        # Guards against an instance that goes on at the only version it knows.
        for size in SIZES:
            for seed in range(2):
                with self.subTest(size=size, seed=seed):
                    self.assertEqual(list_mixed(run_release(size, seed)), [])


class TestDispute(unittest.TestCase):
    def test_a_stream_of_two_origins_is_refused_although_one_version_is_left(self):
        # Guards against a guess where two streams bear one id.
        fleet, stream = Fleet(3, seed=1, versions=("v1",)), Stream("s")
        instance, stream.first = fleet.instances["i0"], "s.1"
        for version in ("v1", "v2"):
            origin = Origin("web", version)
            instance.resumptions.streams.record(make_stream_id("s.1"), origin, 99.0)
        with self.assertRaises(StreamUnknown):
            instance.resumptions.find_origin(instance.take(stream), fleet.now)


class TestBound(unittest.TestCase):
    def share(self, size, lost, fault):
        """Return the part of the streams taken up that go on after a fault."""
        fleet = Fleet(size, seed=1, lost=lost)
        for number in range(200):
            fleet.call_later(number / 100, fleet.ask)
        fleet.call_later(0.5, fault, fleet)
        fleet.run(8.0)
        self.assertEqual(list_mixed(fleet), [])
        gone_on = sum(stream.gone_on for stream in fleet.streams)
        refused = sum(len(stream.refusals) for stream in fleet.streams)
        return gone_on / (gone_on + refused)

    def test_all_streams_go_on_without_loss_of_datagrams_and_one_instance(self):
        # Guards against streams that are lost with one instance.
        for size in SIZES[1:]:
            for fault in (lambda fleet: None, lambda fleet: fleet.kill("i0")):
                self.assertEqual(self.share(size, 0.0, fault), 1.0, size)

    def test_few_streams_are_unknown_if_datagrams_are_lost(self):
        # A stream is unknown if both datagrams about it, or all answers, are lost.
        for size in SIZES[1:]:
            self.assertGreater(self.share(size, 1 / 30, lambda fleet: None), 0.98)


def main(first, number):
    """Run more seeds and print each fleet that mixed streams."""
    failed = 0
    for seed in range(first, first + number):
        for size in SIZES:
            fleet = run_faults(size, seed)
            mixed = list_mixed(fleet)
            failed += bool(mixed)
            for stream in mixed:
                print(size, seed, stream.name, sorted(stream.versions))
    print(f"{number * len(SIZES) - failed} of {number * len(SIZES)} runs passed")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
