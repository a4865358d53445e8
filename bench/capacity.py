"""Extrapolate the resources needed at the design size from measured unit costs.

``python -m bench.capacity`` measures the unit costs and rewrites the tables of
docs/CAPACITY.md. Each function in ROLES returns the rows of one role; a unit cost that
no benchmark measures has a row with MISSING.
"""

import time
import tracemalloc
import zlib
from functools import cache
from math import ceil
from typing import NamedTuple

from bench import claims, decision, gossip, path, revisions
from bench.pages import DOCS, format_table, write_section
from chervilwing import frames
from chervilwing.claim_keys import ClaimSettings
from chervilwing.frames import Decoder, Frame
from chervilwing.loads import CALLS_PER_SECOND
from chervilwing.messages import Found, Granted, Missing, Read, StoreCall, Written
from chervilwing.orders import Holder, OrderSettings
from chervilwing.stats import LATENCIES, Stats

PAGE = DOCS / "CAPACITY.md"

# The size to design for: a fleet at its peak. TOKEN_GAP is in seconds between tokens of
# a stream; CHANGES_PER_DAY counts changes of the configuration.
NODES = 320
WORKERS = 660
REQUESTS_PER_SECOND = 11_000
TOKENS_PER_SECOND = 3_000_000
TOKEN_GAP = 0.063
CHANGES_PER_DAY = 580
CENTRES = 5
DAY_SECONDS = 86_400

# Assumptions. KEYED_PART is the fraction of requests with an idempotency key,
# MAX_UTILISATION the highest fraction of a core that a process may use.
KEYED_PART = 0.1
CUSTOMERS = 200
CLASSES = 4
POOLS = 40
MAX_UTILISATION = 0.7

# Budgets: CPU in µs/s, memory in bytes and bytes/s per node; store writes and reads per
# second for the fleet. The platform allows several hundred writes a second.
CPU_BUDGET = 12_000
MEMORY_BUDGET = 128_000_000
BYTES_BUDGET = 3_000
WRITES_BUDGET = 300
READS_BUDGET = 2_000

MEASURED = "measured"
EXTRAPOLATED = "extrapolated"
MISSING = "not measured yet"

CPU = "control CPU of the cores, busiest node, µs/s"
IDLE_CPU = "control CPU, a whole idle process, µs/s"
MEMORY = "control memory of the cores, bytes"
IDLE_MEMORY = "memory of a whole idle process, bytes"
BYTES = "control bytes/s sent, mean node"
WRITES = "platform writes/s, fleet"
READS = "platform reads/s, waiting watches included, fleet"

LOAD = path.Load(200, 120, 0.05)


class Row(NamedTuple):
    """A figure at the design size; ``budget`` names the budget it counts towards."""

    role: str
    what: str
    slope: str
    figure: float | None
    basis: str
    command: str
    budget: str = ""


def make_missing_row(role, what, command):
    """Return a row for a figure that no benchmark measures yet."""
    return Row(role, what, "-", None, MISSING, command)


@cache
def measure_path():
    """Return the costs of the data path, measured on real processes."""
    return path.measure_all(LOAD)


def list_path_rows():
    """Return the rows of the entry's data path, per node."""
    role, command = "entry data path", "bench.path"
    figures = measure_path()
    token = figures.longs[1].per_token
    request = figures.shorts[1].seconds / LOAD.streams * 1e6
    tokens, requests = TOKENS_PER_SECOND / NODES, REQUESTS_PER_SECOND / NODES
    cores = (tokens * token + requests * request) / 1e6
    return [
        Row(role, "tokens/s", "letter 1", tokens, "given", "-"),
        Row(role, "requests/s", "letter 1", requests, "given", "-"),
        Row(role, "streams open", "63 ms a token", tokens * TOKEN_GAP, "given", "-"),
        Row(
            role,
            "cores",
            f"{token:.1f} µs a token, {request:.0f} µs a request",
            cores,
            EXTRAPOLATED,
            command,
        ),
        Row(
            role,
            f"processes at {MAX_UTILISATION:.0%} use",
            f"1 a core, {1e6 / token:.0f} tokens/s at most",
            ceil(cores / MAX_UTILISATION),
            EXTRAPOLATED,
            command,
        ),
        Row(
            role,
            "idle process, control included, µs/s",
            f"{figures.idle:.2%} of a core, 1 instance",
            figures.idle * 1e6,
            MEASURED,
            command,
            IDLE_CPU,
        ),
        Row(
            role,
            "idle process, resident bytes",
            "1 instance, after the load",
            figures.resident,
            MEASURED,
            command,
            IDLE_MEMORY,
        ),
        make_missing_row(role, "bytes of memory a stream", "-"),
    ]


def list_membership_rows():
    """Return the rows of peers and membership, per node."""
    role, command = "peers and membership", "bench.gossip"
    fleet = gossip.make_fleet(NODES)
    idle = gossip.measure_idle(fleet)
    wave = gossip.spread_notices(fleet, gossip.NOTICE_BURST)
    memory = gossip.measure_memory(NODES)
    return [
        Row(role, "messages/s sent", "quiet", idle.frames, MEASURED, command),
        Row(role, "bytes/s, mean", "quiet", idle.bytes, MEASURED, command, BYTES),
        Row(role, "bytes/s, worst node", "quiet", idle.worst, MEASURED, command),
        Row(
            role,
            f"bytes a node for {gossip.NOTICE_BURST} notices",
            f"at once, all heard in {wave.seconds or 0:.1f} s",
            wave.bytes,
            MEASURED,
            command,
        ),
        Row(
            role,
            "bytes/s over the worst minute, bound",
            f"rate {fleet.cfg.rate:,.0f} + burst {fleet.cfg.burst:,.0f} / 60",
            fleet.cfg.rate + fleet.cfg.burst / 60,
            "by settings",
            "-",
        ),
        Row(role, "CPU, µs/s", "quiet", idle.microseconds, MEASURED, command, CPU),
        Row(
            role,
            "bytes of memory",
            f"{memory / NODES:.0f} a record",
            memory,
            MEASURED,
            command,
            MEMORY,
        ),
        Row(role, "calls on the platform", "none", 0, "by design", "-"),
    ]


def list_configuration_rows():
    """Return the rows of the configuration, per node and for the fleet."""
    role, command = "configuration", "bench.revisions"
    spending = revisions.measure(NODES)
    value = gossip.make_value(1)
    return [
        Row(
            role,
            "bytes/s of its own, quiet",
            "none: its number is an item of the membership",
            0,
            "by design",
            "-",
        ),
        Row(
            role,
            "bytes/s of values, mean of a day",
            f"{spending.value_bytes / 1000:.1f} KB a change and node, "
            f"for a value of {len(value) / 1000:.0f} KB",
            spending.value_bytes * CHANGES_PER_DAY / DAY_SECONDS,
            EXTRAPOLATED,
            command,
            BYTES,
        ),
        Row(
            role,
            "CPU, µs/s",
            "quiet, without parsing",
            spending.microseconds,
            MEASURED,
            command,
            CPU,
        ),
        Row(
            role,
            "seconds until all hold a change",
            "ticks of 0.1 s, no delay to the store",
            spending.seconds,
            MEASURED,
            command,
        ),
        Row(
            role,
            "watches waiting, fleet",
            f"2 a data centre, {CENTRES} of them",
            spending.watches,
            MEASURED,
            command,
            READS,
        ),
        Row(
            role,
            "reads/s, fleet",
            "watches renewed and audits; does not grow",
            spending.reads,
            MEASURED,
            command,
            READS,
        ),
        Row(
            role,
            "writes/s, fleet",
            f"{CHANGES_PER_DAY} changes a day",
            CHANGES_PER_DAY / DAY_SECONDS,
            "given",
            "-",
            WRITES,
        ),
        Row(
            role,
            "streams of its own",
            "none: those of the membership",
            0,
            "by design",
            "-",
        ),
        Row(
            role,
            "bytes of memory",
            "the value, and once more compressed",
            len(value) + len(zlib.compress(value)),
            EXTRAPOLATED,
            command,
            MEMORY,
        ),
    ]


def list_claim_rows():
    """Return the rows of the claims, for the fleet and the busiest node."""
    role, command = "claims for at-most-once", "bench.claims"
    cfg = ClaimSettings()
    keyed = REQUESTS_PER_SECOND * KEYED_PART
    bench = claims.Bench(claims.Case("owners", NODES, keyed), cfg)
    bench.run()
    writes, reads, size = (
        bench.counts[name] / claims.SECONDS for name in ("Write", "Read", "bytes")
    )
    spent = [value / claims.SECONDS * 1e6 for value in bench.spent.values()]
    slope = f"{keyed:.0f} keyed requests/s, {cfg.shards} shards"
    return [
        Row(role, "writes/s, fleet", slope, writes, MEASURED, command, WRITES),
        Row(role, "reads/s, fleet", slope, reads, MEASURED, command, READS),
        Row(role, "bytes/s to the platform, fleet", slope, size, MEASURED, command),
        Row(
            role,
            "bytes/s to the platform, mean node",
            "the fleet's / 320",
            size / NODES,
            MEASURED,
            command,
            BYTES,
        ),
        Row(
            role,
            "bytes/s to the platform, owner of a shard",
            f"the fleet's / {cfg.shards}",
            size / cfg.shards,
            EXTRAPOLATED,
            command,
        ),
        Row(role, "CPU, µs/s, busiest node", slope, max(spent), MEASURED, command, CPU),
        Row(role, "CPU, µs/s, mean", slope, sum(spent) / NODES, MEASURED, command),
        make_missing_row(role, "bytes of memory", "-"),
    ]


def list_load_rows():
    """Return the rows of load reports and cache state, per node."""
    role = "load and cache knowledge"
    near = WORKERS / CENTRES
    busy = decision.SLOTS * WORKERS
    calm, full = (
        decision.time_decision(WORKERS, CUSTOMERS, started)
        for started in (busy // 2, 2 * busy)
    )
    return [
        Row(
            role,
            "polls/s",
            f"CALLS_PER_SECOND = {CALLS_PER_SECOND}",
            CALLS_PER_SECOND,
            "by settings",
            "-",
        ),
        Row(
            role,
            "age of a load, s, all workers polled",
            f"{WORKERS} in turn",
            WORKERS / CALLS_PER_SECOND,
            EXTRAPOLATED,
            "-",
        ),
        Row(
            role,
            "age of a load, s, own data centre only",
            f"{near:.0f} in turn",
            near / CALLS_PER_SECOND,
            EXTRAPOLATED,
            "-",
        ),
        Row(
            role,
            "polls/s, fleet",
            f"{CALLS_PER_SECOND} a node",
            CALLS_PER_SECOND * NODES,
            EXTRAPOLATED,
            "-",
        ),
        make_missing_row(role, "bytes/s", "-"),
        Row(
            role,
            "CPU of decisions, µs/s, half of the slots busy",
            f"{calm:.0f} µs, one pool of {WORKERS}; part of the data path",
            calm * REQUESTS_PER_SECOND / NODES,
            EXTRAPOLATED,
            "bench.decision",
        ),
        Row(
            role,
            "CPU of decisions, µs/s, all busy and a full queue",
            f"{full:.0f} µs, one pool of {WORKERS}; part of the data path",
            full * REQUESTS_PER_SECOND / NODES,
            EXTRAPOLATED,
            "bench.decision",
        ),
        make_missing_row(role, "bytes of memory a prefix", "-"),
    ]


def list_order_rows():
    """Return the rows of the planner and orders, for the fleet."""
    role, command = "planner and orders", "bench.capacity"
    writes, reads = measure_holders()
    holders = POOLS * CENTRES
    slope = f"{{:.2f}} a pool and data centre, {holders} of them"
    return [
        Row(
            role,
            "writes/s, fleet",
            slope.format(writes),
            writes * holders,
            EXTRAPOLATED,
            command,
            WRITES,
        ),
        Row(
            role,
            "reads/s, fleet",
            slope.format(reads),
            reads * holders,
            EXTRAPOLATED,
            command,
            READS,
        ),
        make_missing_row(role, "CPU, µs a plan", "-"),
        make_missing_row(role, "bytes/s", "-"),
    ]


def measure_holders(seconds=300):
    """Return writes and reads per second of all contenders for one pool's lease.

    A renewal counts as a write.
    """
    cfg = OrderSettings()
    names = [f"entry-{n}" for n in range(NODES // CENTRES)]
    holders = [Holder(cfg, name, "a", "pool") for name in names]
    record, calls = [], []
    for holder in holders:
        holder.enlist(names)
    for step in range(seconds * 10):
        for holder in holders:
            for action in holder.tick(step / 10):
                if isinstance(action, StoreCall):
                    calls.append(type(action.request) is Read)
                    answer_holder(holder, action, record, step / 10)
    return calls.count(False) / seconds, calls.count(True) / seconds


def answer_holder(holder, action, record, now):
    """Reply to a call as the key-value store does, and to the calls that follow."""
    pending = [action]
    while pending:
        call = pending.pop()
        kind = type(call.request).__name__
        if kind == "Write":
            record.append(call.request.value)
        found = Found(record[0], 1) if record else Missing()
        granted = Granted("lease-1", holder.cfg.ttl)
        replies = {
            "Read": found,
            "Write": Written(1),
            "Grant": granted,
            "Renew": granted,
        }
        pending += holder.receive(call.token, replies[kind], now)


def list_metric_rows():
    """Return the rows of the metrics, per node."""
    role, command = "metrics", "bench.capacity"
    pair, record = measure_series()
    pairs = CUSTOMERS * CLASSES
    bound = 64
    return [
        Row(
            role,
            "bytes of memory at the default bound of pairs",
            f"{pair / 1000:.1f} KB a customer and class, {bound} pairs",
            pair * bound,
            EXTRAPOLATED,
            command,
            MEMORY,
        ),
        Row(
            role,
            "bytes of memory with all pairs",
            f"{CUSTOMERS} customers x {CLASSES} classes",
            pair * pairs,
            EXTRAPOLATED,
            command,
        ),
        Row(
            role,
            "CPU, µs/s, every token recorded",
            f"{record:.2f} µs a value; part of the data path",
            record * TOKENS_PER_SECOND / NODES,
            EXTRAPOLATED,
            command,
        ),
        make_missing_row(role, "bytes/s of a scrape", "-"),
    ]


def measure_series(pairs=20, values=50_000):
    """Return the bytes per customer and class, and the µs to record a value."""
    tracemalloc.start()
    stats = Stats(pairs)
    before, _ = tracemalloc.get_traced_memory()
    for number in range(pairs):
        series = stats.select(f"customer-{number}", "standard")
        for kind in LATENCIES:
            series.record_latency(kind, 0.05)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    start = time.process_time()
    for number in range(values):
        series.record_gap(0.01 + number % 100 / 1000)
    return (after - before) / pairs, (time.process_time() - start) / values * 1e6


def list_frame_rows():
    """Return the rows of the frame codec, which all traffic between instances uses."""
    role, command = "frames between instances", "bench.capacity"
    frame = Frame("ping", b"12345678")
    return [
        Row(
            role,
            "µs to encode and decode a ping",
            f"{len(frames.encode(frame))} bytes",
            measure_frame(frame),
            MEASURED,
            command,
        ),
        Row(
            role,
            "µs to encode and decode 16 KB",
            "one chunk of a value",
            measure_frame(Frame("value", [1, 0, bytes(16_384)])),
            MEASURED,
            command,
        ),
    ]


def measure_frame(frame, times=20_000):
    """Return the µs to encode and decode a frame."""
    decoder = Decoder()
    start = time.process_time()
    for _ in range(times):
        decoder.feed(frames.encode(frame))
    return (time.process_time() - start) / times * 1e6


ROLES = (
    list_path_rows,
    list_membership_rows,
    list_configuration_rows,
    list_claim_rows,
    list_load_rows,
    list_order_rows,
    list_metric_rows,
    list_frame_rows,
)

BUDGETS = {
    CPU: CPU_BUDGET,
    IDLE_CPU: CPU_BUDGET,
    MEMORY: MEMORY_BUDGET,
    IDLE_MEMORY: MEMORY_BUDGET,
    BYTES: BYTES_BUDGET,
    WRITES: WRITES_BUDGET,
    READS: READS_BUDGET,
}


def show(figure):
    """Return a figure as text: whole from 100 up, else with three digits."""
    if figure is None:
        return MISSING
    return f"{figure:,.0f}" if figure >= 100 else f"{figure:.3g}"


def list_budget_rows(rows):
    """Return a line per budget with its sum, and the roles that lack a figure."""
    unmeasured = sorted({row.role for row in rows if row.figure is None})
    lines = []
    for name, budget in BUDGETS.items():
        parts = [row for row in rows if row.budget == name]
        total = sum(row.figure for row in parts)
        bases = {row.basis for row in parts}
        basis = EXTRAPOLATED if EXTRAPOLATED in bases else MEASURED
        names = " + ".join(f"{row.role} {show(row.figure)}" for row in parts)
        lines.append(
            [
                name,
                show(budget),
                show(total),
                "over" if total > budget else "within",
                basis,
                names,
            ]
        )
    return lines, unmeasured


def main():
    """Measure every role, print the tables and rewrite the page's sections."""
    rows = [row for list_rows in ROLES for row in list_rows()]
    table = format_table(
        ["role", "what", "slope", "at the design size", "basis", "command"],
        [[*row[:3], show(row.figure), row.basis, row.command] for row in rows],
    )
    lines, unmeasured = list_budget_rows(rows)
    budgets = format_table(["budget", "limit", "figure", "", "basis", "made of"], lines)
    rest = ", ".join(unmeasured)
    budgets += f"\n\nNot in these sums, since not measured yet: parts of {rest}."
    print(f"{table}\n\n{budgets}")
    write_section("roles", table, PAGE)
    write_section("budgets", budgets, PAGE)


if __name__ == "__main__":
    main()
