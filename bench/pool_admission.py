"""Time of an admission decision, and goodput from 1 to 5 times the capacity.

``python -m bench.pool_admission`` prints both. The time of a decision includes its part
of measuring the room and of the runs through the queue at a thousand decisions per
second, but not the choice of an upstream, which every request needs.
"""

import random
import time

from chervilwing.balancing import PoolBalancer
from chervilwing.models import Address
from chervilwing.placer_selection import ASKS_PER_SECOND
from chervilwing.pool_admission import (
    AdmissionControl,
    AdmissionRequest,
    Capacity,
    PoolAdmission,
    Room,
)
from chervilwing.pool_admission.control import WaitingEntry
from chervilwing.registrations import Registration
from chervilwing.routing import EngineSpec, PoolSpec
from tests.pool_admission_load import KINDS, UrgentLoad

SPEC = PoolSpec("engines", engine=EngineSpec(64, 430_017))
UPSTREAMS = (4, 40, 132, 660)
WAITING = (0, 100, 1000, 10_000)
ROUNDS = 1000
ENGINES = 6
# Factor on the rates of customer A at which they equal the capacity of six engines.
CAPACITY = 0.6
START, END, SECONDS = 2.0, 8.0, 11.0


def make_pool(count):
    """Return a PoolBalancer with this many upstreams."""
    pool = PoolBalancer(SPEC, "a", random.Random(1))
    for number in range(count):
        address = Address("10.0.0.1", number)
        pool.put_upstream(Registration(f"u{number}", "engines", address, "a", 64))
    return pool


def make_request(number):
    """Return a request whose latency target doesn't pass during the bench."""
    band, name = number % 3, f"o{number % 16}"
    return AdmissionRequest(
        number, band, name, 1000.0, 0.02, 1e6, 1e6, 2e6, 0.0, f"f{number}"
    )


def measure_decision(upstreams, waiting):
    """Return the mean seconds of a decision, with a thousand asks per second.

    The runs through the queue make decisions as well; engines are idle, so that they
    admit all that waits within a second.
    """
    control, pool = AdmissionControl(), make_pool(upstreams)
    control.get_capacity = lambda pool: Capacity(placing=True)
    admission = control.pools["engines"] = PoolAdmission()
    closed = Room(1e6, (1e4,) * 3, (0.0,) * 3)
    decided = []
    ignore = lambda decision, now: decided.append(decision)
    for number in range(waiting):
        request = make_request(number)
        admission.decide(request, closed, 0.0)
        control._entries[number] = WaitingEntry("engines", ignore)
    began = time.perf_counter()
    for number in range(waiting, waiting + ROUNDS):
        now = 1.0 + (number - waiting) / ASKS_PER_SECOND
        control.decide(pool, make_request(number), now, ignore)
        control.run({"engines": pool}, now)
    return (time.perf_counter() - began) / (ROUNDS + len(decided))


def measure_goodput(factor, admission):
    """Return the requests in time per second, their part, and that of the files."""
    usual = 0.5 * CAPACITY

    def scale(kind, organisation, now):
        return CAPACITY * factor if START <= now < END else usual

    load = UrgentLoad(ENGINES, scale, admission=admission)
    load.run(SECONDS)
    found = [o for o in load.outcomes if START <= o.sent_at < END]
    per_second = sum(o.in_time for o in found) / (END - START)
    kinds = [load.measure_kind(kind, START, END) for kind in KINDS]
    return per_second, kinds


def main():
    """Print both tables."""
    print("microseconds of a decision by upstreams and waiting requests")
    print("upstreams", *WAITING, sep="\t")
    for upstreams in UPSTREAMS:
        times = [measure_decision(upstreams, waiting) * 1e6 for waiting in WAITING]
        print(upstreams, *(f"{seconds:.0f}" for seconds in times), sep="\t")
    print("requests in time per second, and the part in time by kind")
    names = [kind.name for kind in KINDS]
    print("load", "admission", "in time/s", *names, sep="\t")
    for factor in (1, 2, 3, 4, 5):
        for admission in (False, True):
            per_second, kinds = measure_goodput(factor, admission)
            parts = [f"{part:.2f}" for part in kinds]
            name = "yes" if admission else "no"
            print(factor, name, f"{per_second:.0f}", *parts, sep="\t")


if __name__ == "__main__":
    main()
