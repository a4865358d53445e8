"""Measure how a configuration revision spreads from the store, in simulated time.

``python -m bench.revisions`` rewrites its section of docs/MEASUREMENTS.md. Each
instance has a Revisions core and a Membership that sends the values between instances.
"""

import random
import time
from typing import NamedTuple

from bench.gossip import SEED, SETTLE_TIME, make_value, show
from bench.pages import format_table, write_section
from chervilwing.membership import Heard
from chervilwing.messages import Found, Missing, Read, Unanswered
from chervilwing.revisions import Adopted, Revisions, RevisionSettings, Stamp
from tests.fleet import Fleet

TICK = 0.1
IDLE_TIME = 30.0
TIMEOUT = 60.0
RESTARTS = 5
NONE, HALF, ALL = "none", "half", "all"
CASES = ((7, "abc"), (80, "abcde"), (320, "abcde"))


class Spending(NamedTuple):
    """Cost of the Revisions cores when idle, and of a change.

    ``microseconds`` are per instance and second, ``reads`` per second in the fleet;
    ``seconds`` is the time to spread a change, ``value_bytes`` its bytes per instance.
    """

    microseconds: float
    watches: int
    reads: float
    seconds: float | None
    value_bytes: float


def read_stamp(value):
    """Return the stamp of a value of bench.gossip, whose first item is its number."""
    number, _, _ = value[1:].partition(",")
    return Stamp(int(number), f"op-{number}")


class Bench(Fleet):
    """A fleet with a Revisions core per instance, and a simulated store."""

    def __init__(self, size, centres):
        super().__init__(size, SEED, centres=centres)
        self.introduce()
        self.run(SETTLE_TIME)
        self.value = make_value(1).decode()
        self.store_down = False
        self.frozen = set()
        self.calls = 0
        self.spent = 0.0
        self.waiting = {}
        self.cores = {}
        for address in self.nodes:
            self.start_core(address)

    def start_core(self, address):
        """Start the Revisions core of an instance."""
        name = self.nodes[address].members()[0].name
        members = {record.name: record.data_centre for record in self.list_records()}
        rng = random.Random(self.rng.random())
        core = Revisions(RevisionSettings(), name, read_stamp, rng)
        core.enlist(members)
        self.cores[address] = core
        self.apply(address, core.start(self.now))

    def list_records(self):
        """Return the membership record of each instance, in order of the nodes."""
        by_address = {
            record.address: record
            for node in self.nodes.values()
            for record in node.members()
        }
        return [by_address[address] for address in self.nodes]

    def take(self, address, outcome):
        """Carry out a membership's actions and pass received values to the core."""
        super().take(address, outcome)
        for entry in outcome:
            if isinstance(entry, Heard) and entry.value:
                core = self.cores[address]
                self.apply(address, core.hear(entry.value.decode(), self.now))

    def apply(self, address, actions):
        """Carry out the actions of a core."""
        for action in actions:
            if isinstance(action, Adopted):
                value = action.value.encode()
                node = self.nodes[address]
                node.publish_revision(action.stamp.revision, value, self.now)
            else:
                self.call_store(address, action)

    def call_store(self, address, action):
        """Reply to a read at once; queue a watch until the value changes."""
        self.calls += 1
        if self.store_down:
            self.reply(address, action.token, Unanswered())
        elif isinstance(action.request, Read):
            self.reply(address, action.token, self.make_found())
        else:
            self.waiting[action.token] = address, action.request, self.now

    def reply(self, address, token, reply):
        """Pass a reply of the store to a core."""
        self.apply(address, self.cores[address].receive(token, reply, self.now))

    def make_found(self):
        """Return the store's reply with its current value."""
        return Found(self.value, read_stamp(self.value).revision)

    def publish(self, number):
        """Write a new value to the store, as an operator does."""
        self.value = make_value(number).decode()

    def freeze(self, which):
        """Freeze none, half or all of the watchers; they stay listed as members."""
        watchers = [at for at, core in self.cores.items() if core.elected]
        step = {NONE: len(watchers) + 1, HALF: 2, ALL: 1}[which]
        self.frozen = set(watchers[step - 1 :: step])
        for address in self.frozen:
            node = self.nodes[address]
            node.tick = node.receive = lambda *args: ()

    def pass_time(self, seconds, until=None):
        """Run cores and memberships; return the seconds until ``until()``, or None."""
        start = self.now
        while self.now < start + seconds:
            self.run(TICK)
            self.tick()
            if until and until():
                return self.now - start
        return None

    def tick(self):
        """Tick the cores that are not frozen; reply to changed or expired watches."""
        begun = time.process_time()
        due = [
            (address, core.tick(self.now))
            for address, core in self.cores.items()
            if address not in self.frozen
        ]
        self.spent += time.process_time() - begun
        for address, actions in due:
            self.apply(address, actions)
        for token, (address, watch, since) in list(self.waiting.items()):
            found = self.make_found()
            newer = found.version > watch.after
            if address in self.frozen or not newer and self.now - since < watch.wait:
                continue
            del self.waiting[token]
            self.reply(address, token, found if newer else Missing())

    def all_hold(self, number):
        """Return whether all instances that are not frozen have the revision."""
        return all(
            core.stamp.revision == number
            for address, core in self.cores.items()
            if address not in self.frozen
        )


def measure_change(bench, number):
    """Return the seconds until a new revision is in force, and bytes per instance."""
    before = bench.value_bytes
    bench.publish(number)
    seconds = bench.pass_time(TIMEOUT, lambda: bench.all_hold(number))
    bench.pass_time(2.0)
    return seconds, (bench.value_bytes - before) / len(bench.nodes)


def measure(size, centres="abcde", frozen=NONE):
    """Return the Spending of a fleet when idle and on one change."""
    bench = Bench(size, centres)
    bench.pass_time(SETTLE_TIME)
    bench.freeze(frozen)
    calls, spent = bench.calls, bench.spent
    bench.pass_time(IDLE_TIME)
    reads = (bench.calls - calls) / IDLE_TIME
    micros = (bench.spent - spent) * 1e6 / IDLE_TIME / size
    watches = sum(address not in bench.frozen for address, *_ in bench.waiting.values())
    return Spending(micros, watches, reads, *measure_change(bench, 2))


def measure_restarts(size, centres):
    """Return the worst seconds until a replaced instance is current, and is ready.

    The store is down, and the instances start without stored data.
    """
    bench = Bench(size, centres)
    bench.pass_time(SETTLE_TIME)
    bench.store_down = True
    held, ready = [], []
    for number, (address, node) in list(enumerate(bench.nodes.items()))[-RESTARTS:]:
        bench.start(f"entry-{number}", node.centre, number, incarnation=2)
        bench.start_core(address)
        core = bench.cores[address]
        start = bench.now
        bench.pass_time(TIMEOUT, lambda core=core: core.stamp.revision)
        held.append(bench.now - start)
        bench.pass_time(TIMEOUT, lambda core=core: not core.explain_not_ready())
        ready.append(bench.now - start)
    return max(held), max(ready)


def main():
    """Run all measurements and rewrite the section."""
    rows, restarts = [], []
    for size, centres in CASES:
        for frozen in (NONE, HALF, ALL):
            spent = measure(size, centres, frozen)
            seconds = "not in 60" if spent.seconds is None else f"{spent.seconds:.1f}"
            kilobytes = f"{spent.value_bytes / 1000:.1f}"
            rows.append([size, frozen, f"{spent.reads:.2f}", seconds, kilobytes])
            print(*rows[-1], flush=True)
        restarts.append([size, *map(show, measure_restarts(size, centres))])
        print(*restarts[-1], flush=True)
    write_section("revisions", render(rows, restarts))


def render(rows, restarts):
    """Return the section as Markdown."""
    spread = format_table(
        [
            "instances",
            "watchers frozen, but listed live",
            "store calls/s, fleet, quiet",
            "revision in force on all others, s",
            "KB of value per instance",
        ],
        rows,
    )
    restart = format_table(
        ["instances", "newest revision held, worst s", "ready, worst s"], restarts
    )
    return f"""## Revisions from the store into force

`python -m bench.revisions`; cores of the configuration and of the membership in one
process and simulated time, seed {SEED}, delays as in the section on gossip, none to the
store. Times are in steps of {TICK} s. The value is {len(make_value(1)) / 1000:.0f} KB.

{spread}

Store down, {RESTARTS} instances replaced one after the other by ones that know nothing:

{restart}
"""


if __name__ == "__main__":
    main()
