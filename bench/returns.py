"""Measure what callers and operators see when the store returns from a copy.

``python -m bench.returns`` runs gateways with a fake platform in front of three
upstreams, under a steady load. The store is away for a second and returns from a copy
that lacks a confirmed change of the configuration, twice in a row. Then a key is
revoked and an upstream leaves. In the runs with faults, one instance is killed, one
frozen for a second and one added meanwhile.
"""

import sys
import threading
import time
from contextlib import suppress

from bench.pages import format_table, write_section
from bench.statements import Deployment, summarise
from tests.limiting_upstreams import send_steadily

SIZES = (1, 3, 8)
RATE = 60.0
# Seconds of load; the first copy is saved after SAVE_AFTER, and the store is away from
# each of AWAY_AT for AWAY_FOR. The last change and the leave follow at CHANGE_AT.
OBSERVED = 16.0
SAVE_AFTER = 2.0
AWAY_AT = (5.0, 7.0)
AWAY_FOR = 1.0
CHANGE_AT = 9.0
# Seconds after which a leave has to hold, and until all usage is reported.
LEAVE_BOUND = 2.0
USAGE_WAIT = 18.0
USAGE_WINDOW = "3"
UNRELATED_WRITES = 20
INTRODUCTION = """\
## Returns of the store from a copy

`python -m bench.returns`. Two returns within three seconds lose a confirmed change;
*change lost* counts requests that an instance refused by the older version 0.3 s after
each return. Then a key is revoked and an upstream leaves.
"""
HEADS = (
    "instances", "faults", "served", "p99 ms", "longest ms", "change lost",
    "change in force s", "after the leave", "usage reported", "windows told apart",
    "fences with two holders", "fences that fell",
)  # fmt: skip


class RestoredDeployment(Deployment):
    """Gateways whose store is restored twice while requests are sent."""

    def __init__(self, size):
        super().__init__(size)
        self.lost = 0
        self.left_at = self.in_force_after = None

    def start(self, name, **options):
        """Start a gateway with the windows of usage of this measurement."""
        return super().start(name, usage_window=USAGE_WINDOW, **options)

    def publish_keys(self, version, *keys):
        """Publish a version whose only customer has these keys."""
        self.document["version"] = version
        self.document["tenants"][0]["apiKeys"] = list(keys)
        self.publish()

    def drill(self):
        """Take the store away and return it from the saved copy."""
        self.platform.fault(refuse_calls=True)
        time.sleep(AWAY_FOR)
        self.platform.post("/-/restore", {})
        self.platform.fault(refuse_calls=False)

    def run_drills(self, began):
        """Change the configuration, lose the change twice, and change it again."""
        wait = lambda at: time.sleep(max(0.0, began + at - time.monotonic()))
        wait(SAVE_AFTER)
        self.platform.post("/-/save", {})
        for number in range(UNRELATED_WRITES):
            self.operate({f"op/note/{number}": number})
        self.publish_keys(7, "k1", "k3")
        for at in AWAY_AT:
            wait(at)
            self.drill()
            time.sleep(0.3)
            self.lost += sum(
                self.try_call(gateway, "k3") == 401
                for gateway in list(self.gateways.values())
            )
        wait(CHANGE_AT)
        changed_at = self.left_at = time.monotonic()
        self.publish_keys(9, "k1")
        self.operate(deletes=["servers/i-s0"])
        while any(self.try_call(g, "k3") == 200 for g in list(self.gateways.values())):
            time.sleep(0.02)
        self.in_force_after = time.monotonic() - changed_at

    def try_call(self, gateway, key):
        """Return the status of a request, 0 where the instance is gone."""
        with suppress(OSError, EOFError):
            return self.call(gateway, key=key)
        return 0


def run(size, faults):
    """Return the row of the table for one run."""
    deployment = RestoredDeployment(size)
    try:
        began = time.monotonic()
        drilling = threading.Thread(target=deployment.run_drills, args=(began,))
        drilling.start()
        causing = threading.Timer(AWAY_AT[0], deployment.cause_faults)
        if faults:
            causing.start()
        sent = send_steadily(deployment.send, RATE, OBSERVED)
        drilling.join()
        if faults:
            causing.join()
        left = deployment.upstreams[0]
        known_at = deployment.left_at + LEAVE_BOUND
        late = sum(at > known_at for at, _ in left.arrivals)
        time.sleep(USAGE_WAIT)
        served, _, p99, longest = summarise(sent)
        return (
            size, "yes" if faults else "no", served, p99, longest, deployment.lost,
            f"{deployment.in_force_after:.2f}", late, *check_duties(deployment),
        )  # fmt: skip
    finally:
        deployment.doCleanups()


def check_duties(deployment):
    """Return the share of usage that was reported, and faults of the duties' calls."""
    reports, holders = {}, {}
    highest = falls = 0
    for holder, fence, body in deployment.list_calls("/usage"):
        reports.setdefault(body["windowId"], []).append(body["counts"])
        holders.setdefault(fence, set()).add(holder)
        falls += fence < highest
        highest = max(highest, fence)
    counted = sum(counts[0].get("insurer", 0) for counts in reports.values())
    ran = sum(len(upstream.arrivals) for upstream in deployment.upstreams)
    apart = sum(
        any(item != counts[0] for item in counts) for counts in reports.values()
    )
    shared = sum(len(names) > 1 for names in holders.values())
    return f"{counted / ran:.3f}", apart, shared, falls


def main():
    """Run all cases and write the table into docs/MEASUREMENTS.md."""
    rows = [run(size, faults) for size in SIZES for faults in (False, True)]
    table = format_table(HEADS, rows)
    print(table)
    write_section("returns", f"{INTRODUCTION}\n{table}")


if __name__ == "__main__":
    sys.exit(main())
