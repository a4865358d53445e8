"""Measure streams that callers take up again, before engines of one or two versions.

``python -m bench.stream_versions [PAGE]`` runs gateways with a fake platform before
four engines that break off some streams and keep a few prompts in memory. One instance
is killed and started again midway.
"""

import random
import re
import sys
import threading
import time
from collections import OrderedDict
from contextlib import suppress

from bench.pages import format_table, write_section
from tests.procs import NotHttp, call
from tests.test_platform import ENGINES
from tests.test_stream_versions import QUOTE, VersionsCase
from tests.versioned_upstreams import (
    VersionedUpstream,
    make_prompt_fields,
    read_subject,
)

SIZES = (1, 3, 8)
VERSIONS = {1: ("v1",) * 4, 2: ("v1", "v1", "v2", "v2")}
# Callers of each instance, one stream after the other.
CALLERS_EACH = 4
# Seconds until the counts begin, until an instance is killed, and until the end.
SETTLED, KILLED_AT, SECONDS = 3.0, 8.0, 13.0
# Seconds before each event.
PACE = 0.03
BREAK_PART = 0.15
SUBJECTS, SUBJECT_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 40, 900, 100, 60
# Subjects that an engine keeps in memory.
KEPT = 12
MAX_TRIES = 6
COUNTERS = re.compile(r"chervilwing_gateway_stream_(datagrams|bytes)_sent (\d+)")
INTRODUCTION = """\
## Streams and versions

`python -m bench.stream_versions`. *Mixed* streams hold events of two versions. Of the
callers' further tries (*taken up*), *gone on* brought more events; *unknown* and *gone*
were refused, the rest met the killed instance. Datagrams and bytes are those about
streams, without UDP's and IP's 28 bytes each, for each new stream until an instance is
killed. *Cached* is the part of the prompts' shared tokens that engines had in memory.
"""
HEADS = (
    "instances", "versions", "streams", "whole", "mixed", "taken up", "gone on",
    "unknown", "gone", "datagrams a stream", "bytes", "cached",
)  # fmt: skip


class Engine(VersionedUpstream):
    """Engine that keeps the latest subjects, and breaks off some streams."""

    def __init__(self, version):
        self.kept = OrderedDict()
        self.cached = self.shared = 0
        super().__init__(version)
        self.pace = PACE

    def answer(self, conn, fields):
        subject = read_subject(fields)
        if subject:
            self.shared += 1
            self.cached += subject in self.kept
            self.kept[subject] = self.kept.pop(subject, None)
            if len(self.kept) > KEPT:
                self.kept.popitem(last=False)
        self.breaks = random.random() < BREAK_PART
        self.hold_after = random.randint(1, 4) if self.breaks else 99
        super().answer(conn, fields)


class Deployment(VersionsCase):
    """Gateways before engines, with callers that take up broken streams."""

    make_upstream = Engine

    def __init__(self, size, versions):
        super().__init__()
        self.versions = VERSIONS[versions]
        self.setUp()
        self.document["services"].append(ENGINES)
        route = self.document["routes"][0] | QUOTE
        self.document["routes"][1] = route | {"service": "engines"}
        self.document["version"] = 5
        self.publish()
        for number in range(len(self.upstreams)):
            self.register_version(number, service="engines")
        self.names = [f"g{number}" for number in range(size)]
        self.gateways = {name: self.start(name) for name in self.names}
        self.streams, self.unknown, self.gone = [], 0, 0
        self.taken_up = self.gone_on = 0
        self.lock, self.stopped = threading.Lock(), threading.Event()

    def run_caller(self):
        while not self.stopped.is_set():
            with self.lock:
                stream = self.make_stream()
                self.streams.append(stream)
            subject = random.randrange(SUBJECTS)
            parts = ((f"{subject:x}", SUBJECT_TOKENS), (stream.name, OWN_TOKENS))
            fields = make_prompt_fields(parts, OUTPUT_TOKENS)
            while not stream.whole and stream.tries < MAX_TRIES:
                self.try_once(stream, fields)

    def try_once(self, stream, fields):
        gateway, before = random.choice(list(self.gateways.values())), stream.numbers
        stream.status, stream.body = 0, b""
        with suppress(OSError, EOFError, NotHttp, ValueError):
            stream.take_up(gateway.port, **fields)
        with self.lock:
            self.taken_up += bool(before)
            self.gone_on += bool(before) and len(stream.numbers) > len(before)
            self.unknown += b"stream-unknown" in stream.body
            self.gone += b"version-gone" in stream.body
        if stream.status != 200:
            time.sleep(0.3)

    def count_sent(self):
        """Return the datagrams and bytes sent about streams, and the streams so far."""
        totals = {"datagrams": 0, "bytes": 0}
        for gateway in self.gateways.values():
            text = call(gateway.info["ready_port"], "GET", "/-/metrics").body.decode()
            for name, number in COUNTERS.findall(text):
                totals[name] += int(number)
        return totals["datagrams"], totals["bytes"], len(self.streams)

    def play(self):
        """Run the callers and return the row of the table."""
        callers = [
            threading.Thread(target=self.run_caller)
            for _ in range(CALLERS_EACH * len(self.names))
        ]
        for caller in callers:
            caller.start()
        time.sleep(SETTLED)
        first = self.count_sent()
        time.sleep(KILLED_AT - SETTLED)
        last = self.count_sent()
        self.gateways["g0"].kill()
        self.gateways["g0"] = self.start("g0")
        time.sleep(SECONDS - KILLED_AT)
        self.stopped.set()
        for caller in callers:
            caller.join()
        datagrams, size, streams = (b - a for a, b in zip(first, last, strict=True))
        shared = sum(engine.shared for engine in self.upstreams)
        cached = sum(engine.cached for engine in self.upstreams)
        return (
            len(self.names), len(set(self.versions)), len(self.streams),
            sum(stream.whole for stream in self.streams),
            sum(len(stream.versions) > 1 for stream in self.streams),
            self.taken_up, self.gone_on, self.unknown, self.gone,
            f"{datagrams / streams:.2f}", f"{size / streams:.0f}",
            f"{cached / shared:.3f}",
        )  # fmt: skip


def run(size, versions):
    """Return the row of the table for one run."""
    deployment = Deployment(size, versions)
    try:
        return deployment.play()
    finally:
        deployment.doCleanups()


def main():
    """Print the table, and write it to the page unless an argument is given."""
    rows = [run(size, versions) for size in SIZES for versions in VERSIONS]
    table = format_table(HEADS, rows)
    print(table)
    if len(sys.argv) == 1:
        write_section("stream-versions", f"{INTRODUCTION}\n{table}")


if __name__ == "__main__":
    main()
