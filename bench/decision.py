"""Time scheduling decisions at several sizes: ``python -m bench.decision``.

A decision is an offer, its dispatch and its finish, plus one load report.
"""

import sys
from random import Random
from time import perf_counter

from chervilwing.models import (
    MODEL,
    Address,
    Configuration,
    Customer,
    Inventory,
    Pool,
    Rules,
    Upstream,
    WorkClass,
)
from chervilwing.scheduling import Scheduler, SchedulingSettings
from chervilwing.work import OK, Work

from .pages import format_table, write_section

UPSTREAMS = (8, 132, 660)
CUSTOMERS = (5, 500)
DECISIONS = 20_000
SLOTS = 8
SEED = 3
INTRO = """## Cost of a decision

Written by `python -m bench.decision`: mean microseconds of an offer with its dispatch
and finish and one load report, over {decisions} of them, on one core, with half of the
slots busy (calm) and with all of them busy and a queue that stays full (full)."""


def main():
    """Time all sizes, print the table and write it to the page."""
    rows = [_measure(size, customers) for size in UPSTREAMS for customers in CUSTOMERS]
    heads = ("upstreams", "customers", "calm, µs", "full, µs")
    text = f"{INTRO.format(decisions=DECISIONS)}\n\n{format_table(heads, rows)}"
    print(text)
    if "--print" not in sys.argv:
        write_section("cost of a decision", text)


def _measure(size, customers):
    calm = time_decision(size, customers, SLOTS * size // 2)
    full = time_decision(size, customers, 2 * SLOTS * size)
    return size, customers, f"{calm:.0f}", f"{full:.0f}"


def _build(size, customers):
    scheduler = Scheduler(SchedulingSettings("a", 1), Random(SEED))
    upstreams = tuple(
        Upstream(f"u{n}", MODEL, "pool", Address("127.0.0.1", 1), "abc"[n % 3])
        for n in range(size)
    )
    names = tuple(Customer(f"c{n}", queue_limit=100_000) for n in range(customers))
    classes = tuple(WorkClass(f"k{n}", n, 1e9, 1e9) for n in range(3))
    inventory = Inventory((Pool("pool", MODEL),), upstreams)
    rules = Rules(names, classes)
    scheduler.configure(Configuration(1, "bench", inventory, rules))
    return scheduler


def time_decision(size, customers, started):
    """Return microseconds per decision with ``started`` requests already offered."""
    scheduler = _build(size, customers)
    rng = Random(SEED)
    running = []
    works = [_make_work(n, customers, rng) for n in range(started + DECISIONS)]
    for work in works[:started]:
        scheduler.offer(work, 0.0)
        running.extend(scheduler.dispatch(0.0))
    begun = perf_counter()
    for number, work in enumerate(works[started:]):
        now = number * 1e-3
        scheduler.offer(work, now)
        running.extend(scheduler.dispatch(now))
        done = running.pop(rng.randrange(len(running)))
        scheduler.finish(done.request_id, done.upstream, OK, 0.2, 5.0, 100, now)
        name = f"u{number % size}"
        scheduler.report_load(name, SLOTS // 2, 0, SLOTS, now, now)
    return (perf_counter() - begun) / DECISIONS * 1e6


def _make_work(number, customers, rng):
    return Work(
        str(number),
        f"c{rng.randrange(customers)}",
        f"k{rng.randrange(3)}",
        "pool",
        1e9,
        prompt_tokens=1000,
        max_tokens=rng.randrange(50, 400),
        prefix=f"p{rng.randrange(2000)}",
    )


if __name__ == "__main__":
    main()
