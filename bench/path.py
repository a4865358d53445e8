"""Measure the data path: microseconds of processor time per request and per token.

`python -m bench.path` sends the same load through a bare-socket relay and an entry
instance, each in its own process, and prints both costs and their ratio.
"""

import argparse
import json
import multiprocessing
import os
import select
import socket
import sys
import time
from typing import NamedTuple

from chervilwing.documents import CONFIG_KEY, hash_key, serialise
from chervilwing.models import (
    MODEL,
    Address,
    Configuration,
    Customer,
    Inventory,
    ModelRoute,
    Pool,
    Rules,
    Upstream,
    WorkClass,
)
from tests.procs import HOST, Processes, call_json, poll

from . import pages
from .backends import CHUNK_SIZE, serve_engine, serve_relay

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Load(NamedTuple):
    """Concurrent streams, tokens per stream, and seconds between two tokens."""

    streams: int
    tokens: int
    gap: float


class Cost(NamedTuple):
    """Processor seconds of a process under a load, tokens sent and wall seconds."""

    seconds: float
    tokens: int
    wall: float

    @property
    def per_token(self):
        """Return microseconds of processor time per token."""
        return self.seconds / self.tokens * 1e6


def run_load(port, load):
    """Open all streams, read them to the end and return the number of tokens."""
    fields = {"model": "bench", "prompt": "hello", "max_tokens": load.tokens}
    body = json.dumps(fields | {"stream": True, "attempt": "a"}).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: {HOST}\r\n"
    data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    poller, socks = select.epoll(), {}
    for _ in range(load.streams):
        sock = socket.create_connection((HOST, port))
        sock.sendall(data)
        poller.register(sock, select.EPOLLIN)
        socks[sock.fileno()] = [sock, b""]
    tokens = 0
    while socks:
        for fd, _ in poller.poll(20):
            entry = socks[fd]
            data = entry[0].recv(CHUNK_SIZE)
            tokens += data.count(b" token")
            entry[1] = (entry[1] + data)[-64:]
            if not data or entry[1].endswith(b"0\r\n\r\n"):
                poller.unregister(fd)
                entry[0].close()
                del socks[fd]
    return tokens


def read_processor_time(pid):
    """Return the processor seconds that a process has used, from /proc."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_resident(pid):
    """Return the resident memory of a process in bytes, from /proc."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure(pid, port, load):
    """Return the Cost of a load to a process."""
    before, began = read_processor_time(pid), time.monotonic()
    tokens = run_load(port, load)
    wall = time.monotonic() - began
    return Cost(read_processor_time(pid) - before, tokens, wall)


def measure_idle(pid, seconds=10.0):
    """Return the fraction of a core that an idle process uses."""
    before = read_processor_time(pid)
    time.sleep(seconds)
    return (read_processor_time(pid) - before) / seconds


def make_document(port):
    """Return a serialised configuration of one engine with a slot for each stream."""
    address = Address(HOST, port)
    engine = Upstream("engine-0", MODEL, "engines", address, "a", slots=4096)
    inventory = Inventory((Pool("engines", MODEL, ("bench",)),), (engine,))
    rules = Rules(
        (Customer("bench", (hash_key(""),), queue_limit=4096),),
        (WorkClass("standard"),),
        (ModelRoute("bench", "engines"),),
    )
    return serialise(Configuration(1, "bench", inventory, rules))


def start_server(serve, *args):
    """Start a process of the benchmark; return it and its port."""
    ports = multiprocessing.Queue()
    process = multiprocessing.Process(target=serve, args=(ports, *args), daemon=True)
    process.start()
    return process, ports.get(timeout=10)


def start_entry(processes, engine_port):
    """Start a store and an entry instance configured with the engine."""
    store = processes.start_fake("store")
    body = {"value": make_document(engine_port), "expect": 0}
    call_json(store.port, "PUT", f"/kv/{CONFIG_KEY}", body)
    entry = processes.start_daemon(
        *("--listen", f"{HOST}:0", "--peer-listen", f"{HOST}:0"),
        *("--store", f"{HOST}:{store.port}", "--log-level", "warning"),
    )
    poll(lambda: entry.get("/-/ready")[0] == 200)
    return entry


class Figures(NamedTuple):
    """Costs of the relay and the entry instance for long and short answers.

    ``idle`` is the entry instance's fraction of a core, ``resident`` its bytes.
    """

    longs: tuple[Cost, Cost]
    shorts: tuple[Cost, Cost]
    idle: float
    resident: int


def measure_all(load):
    """Return the Figures of both processes under the same load."""
    processes = Processes()
    engine, engine_port = start_server(serve_engine, load.gap)
    relay, relay_port = start_server(serve_relay, engine_port)
    short = Load(load.streams, 1, load.gap)
    try:
        entry = start_entry(processes, engine_port)
        targets = ((relay.pid, relay_port), (entry.popen.pid, entry.port))
        longs = tuple(measure(*target, load) for target in targets)
        shorts = tuple(measure(*target, short) for target in targets)
        idle = measure_idle(entry.popen.pid)
        resident = read_resident(entry.popen.pid)
    finally:
        processes.close()
        engine.kill()
        relay.kill()
    return Figures(longs, shorts, idle, resident)


def run(load):
    """Run the measurement and return the lines of its table."""
    longs, shorts, idle, _ = measure_all(load)
    return make_rows(load, longs, shorts, idle)


def make_rows(load, longs, shorts, idle):
    """Return the lines of the table for the measured costs."""
    bare, ours = longs
    requests = [cost.seconds / load.streams * 1e6 for cost in shorts]
    return [
        "| us of processor time | bare pass-through | entry instance | ratio |",
        "|---|---|---|---|",
        f"| a streamed token | {bare.per_token:.1f} | {ours.per_token:.1f} "
        f"| {ours.per_token / bare.per_token:.1f} |",
        f"| a request of one token | {requests[0]:.0f} | {requests[1]:.0f} "
        f"| {requests[1] / requests[0]:.1f} |",
        "",
        f"{load.streams} streams, {load.streams / load.gap:.0f} tokens a second "
        f"offered; {ours.tokens} tokens in {ours.wall:.1f} s through the entry, "
        f"{bare.wall:.1f} s through the pass-through. An idle entry takes "
        f"{idle * 100:.2f} % of a core. By this slope one process carries "
        f"{1e6 / ours.per_token:.0f} tokens a second at most.",
    ]


def main():
    """Print the costs and write them to docs/MEASUREMENTS.md."""
    parser = argparse.ArgumentParser(prog="python -m bench.path")
    parser.add_argument("--streams", type=int, default=200)
    parser.add_argument("--tokens", type=int, default=120)
    parser.add_argument("--gap", type=float, default=0.05)
    parser.add_argument("--no-write", action="store_true")
    options = parser.parse_args()
    rows = run(Load(options.streams, options.tokens, options.gap))
    print("\n".join(rows))
    if not options.no_write:
        text = "\n".join(["## Data path", "", "`python -m bench.path`", "", *rows])
        pages.write_section("path", text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
