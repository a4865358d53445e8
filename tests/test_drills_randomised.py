"""Gateways whose store returns from copies, with faults in random orders, seeded.

``DRILL_SEEDS=50 python -m unittest tests.test_drills_randomised`` plays more seeds.
"""

import json
import os
import random
import threading
import time
import unittest
from contextlib import suppress

from tests.fakes.control import HOST
from tests.procs import poll
from tests.test_platform import PlatformCase, answer
from tests.upstreams import RawUpstream

SEEDS = int(os.environ.get("DRILL_SEEDS", "1"))
STEPS = 16
GATEWAYS = 3
# Seconds within which a change holds, and after a fault until an instance counts as in
# touch again.
APPLY_BOUND = 2.0
IN_TOUCH_AFTER = 2.5
LAPSE_AFTER = 3.0
USAGE_WINDOW = "3"


class Soak(PlatformCase):
    """One seed's run; a test calls ``play``."""

    def begin(self, seed):
        """Start gateways, upstreams and a steady load."""
        self.setUp()
        self.rng = random.Random(seed)
        self.version, self.key = 3, "k2"
        self.upstreams, self.left_at, self.arrivals = {}, {}, {}
        self.statuses, self.closing = [], False
        self.calm_at = 0.0
        for _ in range(3):
            self.join()
        self.operate(deletes=["servers/i-1"])
        self.gateways = {}
        self.untroubled_at = {}
        for number in range(GATEWAYS):
            self.add(f"g{number}")
        self.caller = threading.Thread(target=self.load)
        self.caller.start()
        self.addCleanup(self.end_load)

    def add(self, name):
        """Start one gateway."""
        self.gateways[name] = self.start(name, usage_window=USAGE_WINDOW)
        self.untroubled_at[name] = time.monotonic() + IN_TOUCH_AFTER

    def end_load(self):
        """Stop the load."""
        self.closing = True
        self.caller.join()

    def load(self):
        """Send requests to all gateways in turn."""
        number = 0
        while not self.closing:
            number += 1
            gateways = list(self.gateways.values())
            with suppress(OSError, EOFError):
                status = self.call(gateways[number % len(gateways)])
                self.statuses.append(status)
            time.sleep(0.02)

    def join(self):
        """Register one more upstream."""
        name = f"i-u{len(self.arrivals)}"
        arrivals = self.arrivals[name] = []

        def serve(conn, method, path, body):
            arrivals.append(time.monotonic())
            answer(conn, method, path, body)

        upstream = self.upstreams[name] = RawUpstream(serve)
        self.addCleanup(upstream.close)
        self.register(name, address=f"{HOST}:{upstream.port}")

    def leave(self):
        """Let the upstream leave that is registered for longest, and one join."""
        self.join()
        time.sleep(0.5)
        name = min(set(self.upstreams) - set(self.left_at), key=lambda n: int(n[3:]))
        self.operate(deletes=[f"servers/{name}"])
        self.left_at[name] = max(time.monotonic(), self.calm_at)

    def change(self):
        """Replace a key, and check that all in touch go by it in time."""
        self.version += 1
        old, self.key = self.key, f"v{self.version}"
        self.document["version"] = self.version
        self.document["tenants"][0]["apiKeys"] = ["k1", self.key]
        self.publish()
        began = time.monotonic()
        if began < self.calm_at:
            return
        for name, gateway in list(self.gateways.items()):
            if self.untroubled_at[name] <= began:
                left = max(0.5, began + APPLY_BOUND - time.monotonic())
                poll(lambda g=gateway: self.call(g, key=self.key) == 200, left)
                poll(lambda g=gateway, k=old: self.call(g, key=k) == 401, left)

    def save(self):
        """Save the copy to which the next drill returns."""
        self.platform.post("/-/save", {})

    def drill(self):
        """Take the store away and return it; what it lost is written again."""
        self.platform.fault(refuse_calls=True)
        time.sleep(self.rng.uniform(0.1, 1.5))
        self.platform.post("/-/restore", {})
        if self.rng.random() < 0.5:
            # The numbers pass the watched ones before any watch arrives.
            for number in range(60):
                self.operate({f"op/note/{number}": number})
        self.platform.fault(refuse_calls=False)
        time.sleep(self.rng.uniform(0.0, 0.8))
        self.publish()
        for name in set(self.upstreams) - set(self.left_at):
            port = self.upstreams[name].port
            self.register(name, address=f"{HOST}:{port}", seq=self.version)
        threading.Timer(LAPSE_AFTER, self.lapse).start()
        self.calm_at = time.monotonic() + IN_TOUCH_AFTER

    def lapse(self):
        """Delete the entries of upstreams that are gone."""
        with suppress(OSError):
            self.operate(deletes=[f"servers/{name}" for name in self.left_at])

    def freeze(self):
        """Freeze a gateway for a while."""
        name = self.rng.choice(sorted(self.gateways))
        self.gateways[name].freeze()
        time.sleep(self.rng.uniform(0.3, 2.5))
        self.gateways[name].resume()
        self.untroubled_at[name] = time.monotonic() + IN_TOUCH_AFTER

    def replace(self):
        """Kill a gateway and start it again."""
        name = self.rng.choice(sorted(self.gateways))
        self.gateways.pop(name).kill()
        self.add(name)

    def play(self, seed):
        """Play one seed and check the promises at its end."""
        self.begin(seed)
        self.save()
        steps = (
            self.change,
            self.leave,
            self.save,
            self.drill,
            self.freeze,
            self.replace,
        )
        for step in self.rng.choices(steps, (5, 3, 3, 4, 1, 1), k=STEPS):
            step()
            time.sleep(self.rng.uniform(0.0, 1.0))
        time.sleep(IN_TOUCH_AFTER)
        self.calm_at = 0.0
        self.change()
        self.end_load()
        time.sleep(8.0)
        self.check_leaves()
        self.check_usage()
        refused = sum(status != 200 for status in self.statuses)
        self.assertLessEqual(refused, 0.01 * len(self.statuses))

    def check_leaves(self):
        """Check that nothing reached an upstream 2 s after its leave."""
        for name, left_at in self.left_at.items():
            late = [at - left_at for at in self.arrivals[name] if at > left_at + 2.0]
            self.assertEqual(late[:3], [], name)

    def check_usage(self):
        """Check that no window has two counts, and no fence two holders."""
        reports, holders = {}, {}
        for holder, fence, body in self.list_calls("/usage"):
            counts = json.dumps(body["counts"], sort_keys=True)
            reports.setdefault(body["windowId"], set()).add(counts)
            holders.setdefault(fence, set()).add(holder)
        self.assertTrue(reports)
        self.assertEqual([w for w, found in reports.items() if len(found) > 1], [])
        self.assertEqual([f for f, names in holders.items() if len(names) > 1], [])


class TestDrillsInRandomOrders(unittest.TestCase):
    def test_promises_hold_in_any_order_of_drills_and_faults(self):
        # Guards against a return of the store that one of the orders hides: revisions,
        # leases and reports of before it are taken for those of after it.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                soak = Soak()
                try:
                    soak.play(seed)
                finally:
                    soak.doCleanups()
