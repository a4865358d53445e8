"""Measure a part of prompts that crashes engines, at several numbers of instances.

``python -m bench.crashing_parts [PAGE]`` runs gateway processes with a fake platform.
"""

import sys
import time

from bench.pages import format_table, write_section
from tests.part_fleet import KNOWN_AFTER, PartFleet

SIZES = (1, 3, 8)
# Requests with the part per second.
RATES = (2.0, 5.0)
ENGINES = 5
CALM_SECONDS, SECONDS = 4.0, 20.0
INTRODUCTION = """\
## A part of prompts that crashes engines

`python -m bench.crashing_parts`: five engines that are back 4 s after a crash, 30 sound
requests a second beside 2 or 5 with the part for 20 s, all of one customer and with one
first part. *Late* requests with the part reached engines later than 3 s after the fifth
crash. *Served* are sound requests with a 200, of those sent before the first request
with the part, with it, and from 6 s after the fifth crash on (from the middle, if there
are fewer crashes).
"""
HEADS = (
    "instances", "a second", "crashes", "late", "served before", "during", "later",
)  # fmt: skip


def play(size, rate):
    """Return the row of the table for one run."""
    fleet = PartFleet()
    fleet.setUp()
    try:
        fleet.start_all(size, ENGINES, size)
        began = time.monotonic()
        fleet.run_for(CALM_SECONDS)
        bad_from = time.monotonic()
        fleet.run_for(SECONDS, rate)
        fleet.wait()
        later = min(fleet.get_known_at() + KNOWN_AFTER, bad_from + SECONDS / 2)
        return (
            size, f"{rate:.0f}", len(fleet.list_crashes()), fleet.count_late(),
            f"{fleet.rate_sound(began, bad_from):.2f}",
            f"{fleet.rate_sound(bad_from):.2f}", f"{fleet.rate_sound(later):.2f}",
        )  # fmt: skip
    finally:
        fleet.doCleanups()


def main():
    """Print the table, and write it to the page unless an argument is given."""
    table = format_table(HEADS, [play(size, rate) for size in SIZES for rate in RATES])
    print(table)
    if len(sys.argv) == 1:
        write_section("crashing-parts", f"{INTRODUCTION}\n{table}")


if __name__ == "__main__":
    main()
