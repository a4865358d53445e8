"""Tests of purchases with real processes, checked against the cloud's own record."""

import unittest

from chervilwing.models import Fleet
from tests.deployments import Deployment, Upstreams, make_configuration
from tests.procs import HOST, poll


class TestBuyer(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        self.cloud = self.deployment.cloud
        start = self.deployment.processes.start_fake
        self.engines = [start("engine") for _ in range(5)]

    def put_fleet(self, min_instances):
        """Apply a fleet of at least ``min_instances``, one from the inventory."""
        upstreams = Upstreams(tuple(self.engines[:1]), ())
        configuration = make_configuration(upstreams)
        fleet = Fleet(
            "f", "engines", min_instances=min_instances, max_instances=9, spare=0.0
        )
        rules = configuration.rules._replace(fleets=(fleet,))
        self.deployment.put_configuration(configuration._replace(rules=rules))
        self.deployment.list_instances(configuration)
        spares = [{"host": HOST, "port": item.port} for item in self.engines[1:]]
        self.assertEqual(self.cloud.post("/-/market", {"spares": spares})[0], 200)

    def list_live(self, entry):
        """Return the names of the upstreams that an instance sends to."""
        rows = entry.get("/-/status")[1]["upstreams"]
        return {row["name"] for row in rows if row["state"] == "live"}

    def find_holder(self, entries):
        """Return the instance that holds the lease to buy, or None."""
        for entry in entries:
            if entry.get("/-/status")[1]["purchases"].get("engines") == "holding":
                return entry
        return None

    def test_lost_answer_refused_zone_and_frozen_holder_buy_no_instance_twice(self):
        # The cheapest zone has no capacity, and the answer to the first purchase is
        # lost. Then the lease holder is frozen while an engine is reclaimed; it resumes
        # unaware that another instance has bought the replacement.
        self.cloud.fault(refused_zones=["a"], lose_answers=1)
        self.put_fleet(3)
        entries = [self.deployment.start_entry(name) for name in ("one", "two")]
        for entry in entries:
            poll(lambda e=entry: self.list_live(e) >= {"i-1", "i-2"}, 30.0)
        record = self.cloud.record()
        self.assertEqual(len(record["bought"]), 2)
        self.assertEqual({row["zone"] for row in record["bought"]}, {"b"})
        self.assertGreater(len(record["requests"]), len(set(record["requests"])))
        holder = poll(lambda: self.find_holder(entries))
        other = next(entry for entry in entries if entry is not holder)
        holder.freeze()
        self.cloud.post("/-/notice", {"name": "i-1", "seconds": 1})
        poll(lambda: "i-3" in self.list_live(other), 40.0)
        holder.resume()
        poll(lambda: "i-3" in self.list_live(holder), 20.0)
        poll(lambda: self.find_holder([holder]) is None)
        self.assertEqual(len(self.cloud.record()["bought"]), 3)
