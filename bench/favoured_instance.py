"""Measure instances with a quarter of a core, of which one gets most connections.

``python -m bench.favoured_instance [PAGE]`` runs gateway processes with a fake platform
and lets each run for a quarter of each tenth of a second.
"""

import json
import signal
import sys
import threading
import time

from bench.pages import format_table, write_section
from tests.busy_instances import Callers, summarise
from tests.procs import read_file
from tests.test_platform import PlatformCase

SIZES = (1, 3, 5, 8)
# Requests a second for each instance while calm; then there are twice as many.
RATE_EACH = 25.0
SHARE = 0.9
CALM_SECONDS, SECONDS = 5.0, 15.0
# Seconds from which the requests count.
CONTACT = 3.0
# Seconds in which a process runs once, and the part of them in which it does.
PERIOD, RUNNING_PART = 0.1, 0.25
INTRODUCTION = """\
## An instance that gets most new connections

`python -m bench.favoured_instance`: processes that run for a quarter of each tenth of a
second; 25 requests a second for each of them, then twice as many, nine in ten to
one instance. *Served* are requests with a 200 at the first try that an instance read,
from 3 s on; the median is that of all tries' time together, in seconds.
"""
HEADS = ("instances", "served before", "median", "served with one favoured", "median")


class Instance:
    """A gateway process that runs for a part of the time."""

    def __init__(self, process):
        self.process = process
        self.port = process.port
        self._read = None

    @property
    def read(self):
        """Return the ids of the requests in the process's log, once it has ended."""
        if self._read is None:
            lines = read_file(self.process.stdout).splitlines()[1:]
            found = [json.loads(line) for line in lines]
            self._read = {line.get("request") for line in found}
        return self._read

    def throttle(self, stopped):
        """Suspend the process for most of each period until an event is set."""
        while not stopped.wait(PERIOD * RUNNING_PART):
            self.process.signal(signal.SIGSTOP)
            time.sleep(PERIOD * (1 - RUNNING_PART))
            self.process.signal(signal.SIGCONT)


def play(size):
    """Return the row of the table for one run."""
    case = PlatformCase()
    case.setUp()
    try:
        case.document["routes"][0]["timeoutMs"] = 4000
        case.document["version"] += 1
        case.publish()
        instances = [Instance(case.start(f"g{number}")) for number in range(size)]
        stopped = threading.Event()
        throttles = [
            threading.Thread(target=instance.throttle, args=(stopped,))
            for instance in instances
        ]
        for thread in throttles:
            thread.start()
        callers = Callers(instances, size)
        callers.send(CALM_SECONDS, RATE_EACH * size)
        favoured_at = time.monotonic()
        callers.send(SECONDS, 2 * RATE_EACH * size, instances[0], SHARE)
        results = callers.wait()
        stopped.set()
        for thread in throttles:
            thread.join()
        before = [item for item in results if item.sent_at < favoured_at]
        after = [item for item in results if item.sent_at >= favoured_at + CONTACT]
        rows = [summarise(before), summarise(after)]
        return (size, *(f"{value:.2f}" for row in rows for value in row))
    finally:
        case.doCleanups()


def main():
    """Print the table, and write it to the page unless an argument is given."""
    table = format_table(HEADS, [play(size) for size in SIZES])
    print(table)
    if len(sys.argv) == 1:
        write_section("favoured-instance", f"{INTRODUCTION}\n{table}")


if __name__ == "__main__":
    main()
