"""Measure what callers see while instances reach no upstream.

``python -m bench.partitions`` runs gateways with a fake platform in front of two
upstreams, under a steady load, cuts half of them (the only one, one of three, four of
eight) from all upstreams for some seconds, and restores the paths. Processor time is
that of the instances that aren't cut, against as many seconds before the cut.
"""

import json
import os
import sys
import time
from datetime import datetime
from pathlib import Path

from bench.pages import format_table, write_section
from tests.limiting_upstreams import send_steadily
from tests.partitions import CUTS, Partition
from tests.procs import HOST, read_file
from tests.test_partitioned_instances import answer_slowly
from tests.test_platform import PlatformCase
from tests.upstreams import RawUpstream

SIZES = {1: 1, 3: 1, 8: 4}
# Requests per second for each instance.
RATE_EACH = 20.0
# Seconds before, of and after a cut, and from its start and end on in which requests
# aren't counted as served during and after it.
BEFORE, CUT, AFTER = 4.0, 5.0, 3.0
SETTLED = 1.0
TICKS = os.sysconf("SC_CLK_TCK")
INTRODUCTION = """\
## Instances that reach no upstream

`python -m bench.partitions`. *Served* is the share of first tries with an answer of
200, from a second after the cut on. *Seen* is the time until all cut instances had
logged the cut, *end seen* until they had logged its end. Processor time is that of the
instances that aren't cut, in ms per request of their own callers, before and during the
cut.
"""
HEADS = (
    "instances", "cut", "connections", "served there", "elsewhere", "p99 ms there",
    "p99 ms elsewhere", "seen s", "end seen s", "helpers' ms before", "during",
)  # fmt: skip


class PartitionedDeployment(PlatformCase):
    """Gateways before two upstreams, each with paths of its own."""

    module = "tests.routed_gateway"

    def __init__(self, size, cut_count):
        super().__init__()
        self.setUp()
        self.upstream.script = answer_slowly
        other = RawUpstream(answer_slowly)
        self.addCleanup(other.close)
        self.register("i-2", address=f"{HOST}:{other.port}")
        self.names = [f"g{number}" for number in range(size)]
        self.cut_names = self.names[:cut_count]
        self.gateways, self.partitions = {}, {}
        for name in self.names:
            ports = (self.upstream.port, other.port)
            partition = self.partitions[name] = Partition(self.procs, ports)
            self.addCleanup(partition.close)
            self.gateways[name] = self.start(name, variables=partition.variables)

    def send(self, number):
        """Send one request to an instance; return its name, status and seconds."""
        name, began = self.names[number % len(self.names)], time.monotonic()
        try:
            status = self.call(self.gateways[name])
        except (OSError, EOFError):
            status = 0
        return name, status, time.monotonic() - began

    def load(self, seconds):
        """Send requests for some seconds and return what came of each."""
        return send_steadily(self.send, RATE_EACH * len(self.names), seconds)

    def measure_cpu(self):
        """Return the processor seconds of the instances that aren't cut."""
        total = 0
        for name in set(self.names) - set(self.cut_names):
            stat = Path(f"/proc/{self.gateways[name].popen.pid}/stat").read_text()
            fields = stat.rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS

    def find_logged(self, message, since):
        """Return after how many seconds all cut instances had logged a message."""
        found = []
        for name in self.cut_names:
            lines = map(json.loads, read_file(self.gateways[name].stdout).splitlines())
            times = (
                datetime.fromisoformat(line["at"]).timestamp()
                for line in lines
                if line.get("message") == message
            )
            found.append(min((at - since for at in times if at > since), default=None))
        return "-" if None in found else f"{max(found):.2f}"


def summarise(rows, names):
    """Return the share served, and the 99th percentile in ms, at some instances."""
    rows = [row for row in rows if row[0] in names]
    if not rows:
        return "-", "-"
    seconds = sorted(row[2] for row in rows)
    served = sum(row[1] == 200 for row in rows) / len(rows)
    return f"{served:.3f}", round(1000 * seconds[int(len(seconds) * 0.99)])


def run(size, cut_count, how):
    """Return the row of the table for one run."""
    deployment = PartitionedDeployment(size, cut_count)
    others = set(deployment.names) - set(deployment.cut_names)
    try:
        deployment.load(SETTLED)
        cpu = [deployment.measure_cpu()]
        deployment.load(BEFORE)
        cpu.append(deployment.measure_cpu())
        cut_at = time.time()
        for name in deployment.cut_names:
            deployment.partitions[name].cut(how)
        deployment.load(SETTLED)
        cpu.append(deployment.measure_cpu())
        during = deployment.load(CUT - SETTLED)
        cpu.append(deployment.measure_cpu())
        healed_at = time.time()
        for name in deployment.cut_names:
            deployment.partitions[name].heal()
        deployment.load(AFTER)
        there, elsewhere = (
            summarise(during, names) for names in (deployment.cut_names, others)
        )
        own = RATE_EACH * len(others)
        costs = ("-", "-")
        if others:
            calm = 1000 * (cpu[1] - cpu[0]) / (own * BEFORE)
            helping = 1000 * (cpu[3] - cpu[2]) / (own * (CUT - SETTLED))
            costs = f"{calm:.2f}", f"{helping:.2f}"
        return (
            size, cut_count, how, there[0], elsewhere[0], there[1], elsewhere[1],
            deployment.find_logged("upstreams out of reach", cut_at),
            deployment.find_logged("upstreams in reach", healed_at), *costs,
        )  # fmt: skip
    finally:
        deployment.doCleanups()


def main():
    """Run all cases and write the table into docs/MEASUREMENTS.md."""
    rows = [run(size, count, how) for size, count in SIZES.items() for how in CUTS]
    table = format_table(HEADS, rows)
    print(table)
    write_section("partitions", f"{INTRODUCTION}\n{table}")


if __name__ == "__main__":
    sys.exit(main())
