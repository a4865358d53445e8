"""Measure the speed and cost of gossip to all instances, in simulated time.

``python -m bench.gossip`` rewrites its section of docs/MEASUREMENTS.md.
"""

import json
import statistics
import time
import tracemalloc
from functools import partial
from math import ceil
from typing import NamedTuple

from bench.pages import format_table, write_section
from chervilwing.gossip import UPSTREAM, Notice
from tests.fleet import Fleet

SIZES = (8, 64, 320)
LOSSES = (0.0, 0.05, 0.2)
SEED = 1
NOTICE_COUNT = 4
NOTICE_BURST = 130
TIMEOUT = 60.0
SETTLE_TIME = 12.0
IDLE_TIME = 20.0
# Seconds from a partition or crash to its repair or to the later notices.
FAULT = 30.0
# Seconds from a partition or crash to the first notice.
NOTICE_DELAY = 0.5


class Spread(NamedTuple):
    """Seconds to reach all instances, None on a timeout, and bytes per instance."""

    seconds: float | None
    bytes: float


class Idle(NamedTuple):
    """Cost of an idle instance per second; ``memory`` is in bytes."""

    bytes: float
    worst: float
    frames: float
    microseconds: float
    memory: float


def make_fleet(size, loss=0.0):
    """Return a fleet whose members are introduced and have chosen their links."""
    fleet = Fleet(size, SEED, loss)
    fleet.introduce()
    fleet.run(SETTLE_TIME)
    return fleet


def make_value(number):
    """Return a JSON configuration of the design size: 660 engines, 200 customers."""
    upstreams = [
        {
            "name": f"engine-{n}",
            "kind": "model",
            "pool": f"pool-{n % 40}",
            "address": f"10.{n % 5}.{n // 200}.{n % 200}:8000",
            "data_centre": "abcde"[n % 5],
            "machine_class": "large",
            "slots": 8,
        }
        for n in range(660)
    ]
    customers = [
        {"name": f"customer-{n}", "key": f"{n * 7919**9:064x}"[:64], "weight": 1.0}
        for n in range(200)
    ]
    return json.dumps([number, upstreams, customers]).encode()


def sum_bytes(fleet):
    """Return the bytes sent so far per instance, including headers."""
    return fleet.sent_bytes.total() / len(fleet.nodes)


def spread_notices(fleet, count):
    """Publish notices at one instance and wait until all instances received them."""
    address = fleet.rng.choice(list(fleet.nodes))
    stamp = f"{fleet.now:.3f}"
    notices = [
        Notice(UPSTREAM, f"engine-{stamp}-{number}", fleet.now + 30)
        for number in range(count)
    ]
    before = sum_bytes(fleet)
    for notice in notices:
        fleet.take(address, fleet.nodes[address].publish(notice, fleet.now))
    seconds = fleet.run(TIMEOUT, partial(received_by_all, fleet, notices))
    return Spread(seconds, sum_bytes(fleet) - before)


def received_by_all(fleet, notices):
    """Return whether all instances received all notices."""
    return all(fleet.all_heard(notice) for notice in notices)


def spread_revision(fleet, number):
    """Publish a configuration at one instance and wait until all instances have it."""
    address = fleet.rng.choice(list(fleet.nodes))
    before = fleet.value_bytes
    node = fleet.nodes[address]
    node.publish_revision(number, make_value(number), fleet.now)
    seconds = fleet.run(TIMEOUT, partial(held_by_all, fleet, number))
    return Spread(seconds, (fleet.value_bytes - before) / len(fleet.nodes))


def held_by_all(fleet, number):
    """Return whether all instances have the value of a revision."""
    return all(node.revision() == number for node in fleet.nodes.values())


def measure_idle(fleet):
    """Return the Idle cost per instance, without any notices."""
    before, headers = fleet.sent_bytes.copy(), fleet.headers
    start = time.process_time()
    fleet.run(IDLE_TIME)
    cpu = time.process_time() - start
    fleet.sent_bytes.subtract(before)
    spent = [fleet.sent_bytes[at] / IDLE_TIME for at in fleet.nodes]
    frames = (fleet.headers - headers) / 52 / IDLE_TIME / len(fleet.nodes)
    micros = cpu * 1e6 / IDLE_TIME / len(fleet.nodes)
    return Idle(statistics.mean(spent), max(spent), frames, micros, 0.0)


def measure_memory(size):
    """Return the bytes that the records of ``size`` others take at one instance."""
    tracemalloc.start()
    fleet = Fleet(1, SEED)
    records = Fleet(size, SEED)
    node = next(iter(fleet.nodes.values()))
    before, _ = tracemalloc.get_traced_memory()
    for other in list(records.nodes.values()):
        (record,) = other.members()
        node._keep(record._replace(name="".join(record.name)))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def measure_start(size):
    """Return the Spread until all instances, started at once, know each other."""
    fleet = Fleet(size, SEED)
    seconds = fleet.run(TIMEOUT, fleet.agree)
    return Spread(seconds, sum_bytes(fleet))


def measure_partition(size, centres):
    """Return a row on a partition: a notice during it, both sides' notices after it."""
    fleet = make_fleet(size)
    fleet.cut = set(centres)
    fleet.run(NOTICE_DELAY)
    sides = [
        [at for at, node in fleet.nodes.items() if (node.centre in centres) is inside]
        for inside in (False, True)
    ]
    notices = [
        Notice(UPSTREAM, f"engine-{number}", fleet.now + 600) for number in (0, 1)
    ]
    for side, notice in zip(sides, notices, strict=True):
        node = fleet.nodes[side[0]]
        fleet.take(side[0], node.publish(notice, fleet.now))
    during = fleet.run(TIMEOUT, partial(fleet.all_heard, notices[0], sides[0]))
    fleet.run(FAULT)
    suspects = sum(node.describe().suspects for node in fleet.nodes.values())
    fleet.cut = set()
    healed = fleet.run(TIMEOUT, partial(received_by_all, fleet, notices))
    fleet.run(SETTLE_TIME)
    later = [spread_notices(fleet, 1).seconds or TIMEOUT for _ in range(NOTICE_COUNT)]
    what = f"{' and '.join(centres)} cut off"
    return [size, what, show(during), show(healed), show(max(later)), suspects]


def measure_reclaim(size):
    """Return a row on a notice just after a whole data centre crashed."""
    fleet = make_fleet(size)
    for address, node in list(fleet.nodes.items()):
        if node.centre == "c":
            fleet.stop(address)
    fleet.run(NOTICE_DELAY)
    during = spread_notices(fleet, 1).seconds
    fleet.run(FAULT)
    later = [spread_notices(fleet, 1).seconds or TIMEOUT for _ in range(NOTICE_COUNT)]
    suspects = sum(node.describe().suspects for node in fleet.nodes.values())
    return [size, "c killed", show(during), "-", show(max(later)), suspects]


def show(seconds):
    """Return seconds as text, or a note that TIMEOUT was exceeded."""
    return f"not in {TIMEOUT:.0f}" if seconds is None else f"{seconds:.2f}"


def show_rounds(seconds, fleet):
    """Return the number of push intervals in a time, rounded up."""
    return "-" if seconds is None else ceil(seconds / fleet.cfg.interval)


def measure_spread(size, loss):
    """Return a row of the spread table and the fleet it was measured on."""
    fleet = make_fleet(size, loss)
    spreads = []
    for _ in range(NOTICE_COUNT):
        spreads.append(spread_notices(fleet, 1))
        fleet.run(2.0)
    worst = max(spreads, key=lambda spread: spread.seconds or TIMEOUT)
    typical = statistics.median(spread.seconds or TIMEOUT for spread in spreads)
    wave = spread_notices(fleet, NOTICE_BURST)
    fleet.run(SETTLE_TIME)
    revision = spread_revision(fleet, 1)
    row = [
        size,
        f"{loss:.0%}",
        f"{typical:.2f}",
        show(worst.seconds),
        show_rounds(worst.seconds, fleet),
        f"{statistics.mean(spread.bytes for spread in spreads):.0f}",
        show(wave.seconds),
        f"{wave.bytes / 1000:.1f}",
        show(revision.seconds),
        f"{revision.bytes / 1000:.1f}",
    ]
    return row, fleet


def main():
    """Run all measurements and rewrite the section."""
    spread_rows, idle_rows, fault_rows = [], [], []
    for size in SIZES:
        for loss in LOSSES:
            row, _ = measure_spread(size, loss)
            spread_rows.append(row)
            print(*row, flush=True)
        idle = measure_idle(make_fleet(size))
        start = measure_start(size)
        idle_rows.append(
            [
                size,
                f"{idle.bytes:.0f}",
                f"{idle.worst:.0f}",
                f"{idle.frames:.1f}",
                f"{idle.microseconds:.0f}",
                f"{measure_memory(size) / 1000:.0f}",
                show(start.seconds),
                f"{start.bytes / 1000:.1f}",
            ]
        )
        print(*idle_rows[-1], flush=True)
        lost = [
            measure_partition(size, "c"),
            measure_partition(size, "de"),
            measure_reclaim(size),
        ]
        for row in lost:
            print(*row, flush=True)
        fault_rows += lost
    write_section("gossip", render(spread_rows, idle_rows, fault_rows))


def render(spread_rows, idle_rows, fault_rows):
    """Return the section as Markdown."""
    value = make_value(1)
    spread = format_table(
        [
            "instances",
            "frames lost",
            "notice, median s",
            "worst s",
            "worst, rounds of 0.2 s",
            "bytes per instance and notice",
            f"{NOTICE_BURST} notices at once, s",
            "KB per instance",
            "revision, s",
            "KB of value per instance",
        ],
        spread_rows,
    )
    idle = format_table(
        [
            "instances",
            "bytes/s sent, mean",
            "worst instance",
            "frames/s sent",
            "CPU µs per instance and second",
            "table, KB",
            "start of all at once, s",
            "KB sent each",
        ],
        idle_rows,
    )
    cut = format_table(
        [
            "instances",
            "what",
            f"notice {NOTICE_DELAY:.1f} s into it, to all that can be reached, s",
            "news of both sides everywhere, s after healing",
            f"worst of {NOTICE_COUNT} later notices, s",
            "false suspicions",
        ],
        fault_rows,
    )
    return f"""## Gossip between entry instances

`python -m bench.gossip`; in-process instances in simulated time, seed {SEED}, one
way 0.5 ms in a data centre, 1.5 ms in a region, 50 ms between regions (assumed). Bytes
are encoded frames and 52 bytes of IP and TCP headers for each; acknowledgements that
carry no data and stream set-up by TCP are not counted. CPU is the process's own time
and includes the loop that passes frames, but no sockets. Each notice or revision is
given to one instance. The revision's value is {len(value) / 1000:.0f} KB.

{spread}

Quiet, no loss; and all instances started at once with three seeds:

{idle}

Frames dropped without a word for {FAULT:.0f} s between data centre c and the others, or
between the regions (d and e are the second), a notice on each side; and all instances
of a data centre killed at once, where none is left to suspect them:

{cut}
"""


if __name__ == "__main__":
    main()
