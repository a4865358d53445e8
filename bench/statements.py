"""Measure what follows when an upstream leaves or asks for a pause.

``python -m bench.statements`` runs gateway processes with a fake platform in front of
three upstreams. One of them states in its answers that it leaves, or refuses a request
of each instance with a Retry-After; its registration does not change. In the runs with
faults, one instance is killed, one frozen for a second and one added meanwhile.
"""

import sys
import threading
import time
from contextlib import suppress
from typing import NamedTuple

from bench.pages import format_table, write_section
from tests.limiting_upstreams import send_steadily
from tests.stating_upstreams import StatingUpstream
from tests.test_platform import PlatformCase

SIZES = (1, 3, 8)
UPSTREAMS = 3
# Requests per second, and seconds before the statement, after it, and of a pause.
RATE = 60.0
WARM_UP = 2.0
OBSERVED = 6.0
PAUSE = 2.0
# Seconds until the faults, and for which an instance is frozen.
FAULT_AFTER = 0.5
FROZEN_FOR = 1.0
# Seconds within which all instances know that an upstream leaves.
KNOWN_AFTER = 0.1
# Seconds over which the share of requests is measured once a pause has ended.
SHARE_WINDOW = 1.0
HEADS = (
    "statement", "instances", "faults", "to the instance that was told",
    "to others", "served", "p50 ms", "p99 ms", "longest ms", "share back",
)  # fmt: skip


class Sent(NamedTuple):
    """Status of a caller's request, and the seconds that it took."""

    status: int
    seconds: float


class Deployment(PlatformCase):
    """Gateways by name in front of three upstreams; the first one states something."""

    def __init__(self, size):
        super().__init__()
        self.setUp()
        self.upstreams = [StatingUpstream() for _ in range(UPSTREAMS)]
        for number, upstream in enumerate(self.upstreams):
            self.addCleanup(upstream.close)
            self.upstream = upstream
            self.register(f"i-s{number}")
        self.operate(deletes=["servers/i-1"])
        self.gateways = {f"g{n}": self.start(f"g{n}") for n in range(size)}

    def send(self, number):
        """Send a request to an instance, and to another one if that is gone."""
        began = time.monotonic()
        names = sorted(self.gateways)
        for offset in range(len(names)):
            name = names[(number + offset) % len(names)]
            with suppress(OSError, EOFError, KeyError):
                status = self.call(self.gateways[name], f"/page/{name}")
                return Sent(status, time.monotonic() - began)
        return Sent(0, time.monotonic() - began)

    def cause_faults(self):
        """Kill one instance, freeze another and add one."""
        time.sleep(FAULT_AFTER)
        names = sorted(self.gateways)
        frozen = self.gateways[names[0]]
        if len(names) > 1:
            self.gateways[names[-1]].kill()
            del self.gateways[names[-1]]
        frozen.freeze()
        added = threading.Thread(target=self.add)
        added.start()
        time.sleep(FROZEN_FOR)
        frozen.resume()
        added.join()

    def add(self):
        """Start another instance."""
        gateway = self.start("g9")
        self.gateways["g9"] = gateway


def run(statement, size, faults):
    """Return the row of the table for one run."""
    deployment = Deployment(size)
    try:
        send_steadily(deployment.send, RATE, WARM_UP)
        stating = deployment.upstreams[0]
        began = time.monotonic()
        if statement == "leaving":
            stating.leaving = True
        else:
            stating.pauses = [f"{PAUSE}"] * size
        causing = threading.Thread(target=deployment.cause_faults)
        if faults:
            causing.start()
        sent = send_steadily(deployment.send, RATE, OBSERVED)
        if faults:
            causing.join()
        told = find_told(stating, statement, began)
        share = "" if statement == "leaving" else measure_share(stating)
        return (statement, size, "yes" if faults else "no", *told, *summarise(sent),
                share)  # fmt: skip
    finally:
        deployment.doCleanups()


def find_told(stating, statement, began):
    """Return how many requests followed a statement, from its receiver and others.

    Of the requests of other instances, those are counted that were sent once all
    instances knew. A pause concerns its receiver only.
    """
    first = {}
    for at, path in stating.stated:
        first.setdefault(path, at)
    until = PAUSE if statement == "pause" else float("inf")
    receivers = sum(
        path in first and first[path] < at < first[path] + until
        for at, path in stating.arrivals
    )
    if statement == "pause":
        return receivers, ""
    known_at = min(first.values()) + KNOWN_AFTER
    return receivers, sum(at > known_at for at, _ in stating.arrivals)


def summarise(sent):
    """Return the share that was served and the callers' delays in milliseconds."""
    served = sum(item.status == 200 for item in sent) / len(sent)
    delays = sorted(item.seconds * 1000 for item in sent)
    figures = [delays[int(len(delays) * part)] for part in (0.5, 0.99)]
    return (f"{served:.3f}", *(f"{ms:.0f}" for ms in (*figures, delays[-1])))


def measure_share(stating):
    """Return the part of its usual share that the upstream gets after its pauses."""
    ended = max(at for at, _ in stating.stated) + PAUSE
    count = stating.count_since(ended, ended + SHARE_WINDOW)
    return f"{count / (RATE * SHARE_WINDOW / UPSTREAMS):.2f}"


def main():
    """Run all cases and write the table into docs/MEASUREMENTS.md."""
    rows = [
        run(statement, size, faults)
        for statement in ("leaving", "pause")
        for size in SIZES
        for faults in (False, True)
    ]
    table = format_table(HEADS, rows)
    print(table)
    write_section("statements", f"## Upstreams that leave or want a pause\n\n{table}")


if __name__ == "__main__":
    sys.exit(main())
