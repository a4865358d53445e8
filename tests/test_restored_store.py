"""Tests of gateway processes whose store returns from a copy some seconds old."""

import time

from tests.fakes.control import HOST
from tests.procs import poll
from tests.test_platform import PlatformCase, answer
from tests.upstreams import RawUpstream

# Seconds within which a change of the configuration or a leave holds everywhere.
APPLY_BOUND = 2.0


class DrillCase(PlatformCase):
    """Gateways whose store is restored."""

    def write_unrelated(self, count):
        """Write items that the gateways ignore, which raises the store's revision."""
        for number in range(count):
            self.operate({f"op/note/{number}": number})

    def wait_until_known(self, *gateways):
        """Wait until these gateways know the store's present revision."""
        time.sleep(1.0)

    def publish_keys(self, version, *keys):
        """Publish a version whose only customer has these API keys."""
        self.document["version"] = version
        self.document["tenants"][0]["apiKeys"] = list(keys)
        self.publish()


class TestChangesAfterARestore(DrillCase):
    def lose_a_change(self, *gateways):
        """Confirm version 7, with key k3, and restore a copy from before it."""
        self.platform.post("/-/save", {})
        self.write_unrelated(20)
        self.publish_keys(7, "k1", "k3")
        for gateway in gateways:
            poll(lambda gateway=gateway: self.call(gateway, key="k3") == 200)
        self.wait_until_known()
        self.platform.post("/-/restore", {})

    def test_a_change_after_a_restore_is_in_force_in_time(self):
        # Revisions begin again below the known ones: a changed item that is ordered by
        # its number alone is taken for an older one, and a revoked key still works.
        gateway = self.start("one")
        self.lose_a_change(gateway)
        time.sleep(1.0)
        self.publish_keys(9, "k1")
        poll(lambda: self.call(gateway, key="k3") == 401, APPLY_BOUND)

    def test_a_change_whose_revision_was_passed_before_the_watch_is_in_force(self):
        # The numbers given out again pass the watched one before the gateway reaches
        # the store: no call gets 410, and the watch skips all changes below it.
        gateway = self.start("one")
        self.lose_a_change(gateway)
        self.platform.fault(refuse_calls=True)
        self.publish_keys(9, "k1")
        self.write_unrelated(40)
        self.platform.fault(refuse_calls=False)
        poll(lambda: self.call(gateway, key="k3") == 401, APPLY_BOUND)

    def test_a_confirmed_change_that_the_store_lost_stays_in_force(self):
        # The copy has the version before; serving it would take back what was
        # acknowledged to the operator.
        gateway = self.start("one")
        self.lose_a_change(gateway)
        end = time.monotonic() + 2.0
        while time.monotonic() < end:
            self.assertEqual(self.call(gateway, key="k3"), 200)
            self.assertEqual(self.call(gateway, key="k2"), 401)

    def test_an_instance_that_starts_after_a_restore_has_the_confirmed_version(self):
        # The store has the version before; the instances that know better tell it.
        gateway = self.start("one")
        self.lose_a_change(gateway)
        added = self.start("two")
        poll(lambda: self.call(added, key="k3") == 200, APPLY_BOUND)
        self.assertEqual(self.call(added, key="k2"), 401)
        self.publish_keys(9, "k1")
        poll(lambda: self.call(added, key="k3") == 401, APPLY_BOUND)


class TestLeavesAfterARestore(DrillCase):
    def test_a_leave_after_a_restore_reaches_an_instance_that_knew_more(self):
        # A follower that saw a higher revision before the restore asks its leader for
        # later changes, gets none, and sends requests to the upstream that left.
        gateways = [self.start(name) for name in ("one", "two", "three")]
        self.platform.post("/-/save", {})
        self.write_unrelated(20)
        self.wait_until_known(*gateways)
        self.platform.post("/-/restore", {})
        self.wait_until_known(*gateways)
        self.operate(deletes=["servers/i-1"])
        deadline = time.monotonic() + APPLY_BOUND
        for gateway in gateways:
            left = deadline - time.monotonic()
            poll(lambda gateway=gateway: self.call(gateway) == 503, left)


class TestDutiesAfterARestore(DrillCase):
    def call_for(self, seconds, *gateways):
        """Send requests to these gateways; return how many were served."""
        served, end = 0, time.monotonic() + seconds
        while time.monotonic() < end:
            for gateway in gateways:
                served += self.call(gateway) == 200
            time.sleep(0.02)
        return served

    def read_reports(self):
        """Return a list of the reported counts for each window."""
        reports = {}
        for _, _, body in self.list_calls("/usage"):
            reports.setdefault(body["windowId"], []).append(body["counts"])
        return reports

    def check_usage(self, served):
        """Wait until all requests are reported, and check that each counts once."""

        def count_reported():
            reports = self.read_reports().values()
            return sum(counts[0].get("insurer", 0) for counts in reports)

        poll(lambda: count_reported() >= served, 20)
        time.sleep(2.0)
        self.assertEqual(count_reported(), served)
        for counts in self.read_reports().values():
            self.assertEqual(counts, counts[:1] * len(counts))
        fences = [fence for _, fence, _ in self.list_calls("/usage")]
        self.assertEqual(fences, sorted(fences))

    def test_usage_around_restores_is_reported_once(self):
        # The store loses counts and reports that the platform has accepted: counted
        # again, a window is reported with other counts.
        gateways = [self.start(name) for name in ("one", "two", "three")]
        served = self.call_for(1.5, *gateways)
        for _ in range(3):
            self.platform.post("/-/save", {})
            served += self.call_for(3.0, *gateways)
            self.platform.post("/-/restore", {})
        served += self.call_for(3.0, *gateways)
        self.check_usage(served)

    def test_usage_is_reported_once_where_the_holder_ends_with_the_store(self):
        # The next holder finds an older report than the last one that was sent.
        first, second = self.start("one"), self.start("two")
        poll(lambda: self.list_calls("/usage"), 20)
        self.platform.post("/-/save", {})
        self.call_for(4.0, second)
        holder, other = first, second
        if self.list_calls("/usage")[-1][0] == "two":
            holder, other = second, first
        holder.kill()
        self.platform.post("/-/restore", {})
        seen = len(self.list_calls("/usage"))
        poll(lambda: len(self.list_calls("/usage")) > seen + 2, 20)
        for counts in self.read_reports().values():
            self.assertEqual(counts, counts[:1] * len(counts))
        self.assertEqual(self.list_calls("/usage")[-1][0], other.info["name"])

    def test_a_restarted_instance_reports_no_window_from_before_a_restore(self):
        # Nobody is left who knows which windows were reported.
        gateway = self.start("one", usage_window="2")
        poll(lambda: self.list_calls("/usage"), 20)
        self.platform.post("/-/save", {})
        self.call_for(7.0, gateway)
        gateway.kill()
        self.platform.post("/-/restore", {})
        seen = len(self.list_calls("/usage"))
        self.start("one", usage_window="2")
        poll(lambda: len(self.list_calls("/usage")) > seen + 2, 20)
        for counts in self.read_reports().values():
            self.assertEqual(counts, counts[:1] * len(counts))


class TestRolloutsAfterARestore(DrillCase):
    def read_status(self):
        """Return the reported roll-out status, an empty dict before the first."""
        return self.platform.record()["values"].get("status/rollout/web", {})

    def test_a_completed_roll_out_is_not_begun_again(self):
        # The store lost the order, its decision and its status. The operator writes the
        # order again: requests would go back to the version that was replaced.
        other = RawUpstream(answer)
        self.addCleanup(other.close)
        order = {"op/rollout/web": {"service": "web", "target": "v2", "durationS": 6}}
        gateway = self.start("one")
        self.assertEqual(self.call(gateway), 200)
        self.write_unrelated(20)
        self.platform.post("/-/save", {})
        self.operate(order)
        self.register("i-2", version="v2", address=f"{HOST}:{other.port}")

        def is_completed():
            for _ in range(40):
                self.call(gateway)
            return self.read_status().get("state") == "completed"

        poll(is_completed, 30)
        self.platform.post("/-/restore", {})
        self.register("i-2", version="v2", address=f"{HOST}:{other.port}")
        self.operate(order)
        before = len(self.upstream.heads)
        poll(lambda: self.read_status().get("state") == "completed", 10)
        self.assertEqual({self.call(gateway) for _ in range(100)}, {200})
        self.assertEqual(len(self.upstream.heads), before)
