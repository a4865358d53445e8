"""Tests of gateway processes with a fake platform: outages, lost writes, freezes."""

import json
import os
import signal
import socket
import sys
import time
import unittest
from contextlib import suppress
from pathlib import Path

from chervilwing.relays import MAX_BUFFERED_BYTES
from tests.fakes.control import HOST
from tests.procs import Caller, Processes, call, call_json, poll
from tests.upstreams import RawUpstream

DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/page/",
            "kind": "safe",
            "timeoutMs": 2000,
            "sloMs": 200,
            "priority": 1,
            "service": "web",
            "attempts": 2,
            "noAuth": False,
        }
    ],
    "services": [{"name": "web", "healthPath": "/health", "maxConns": 100}],
    "limits": {
        "headerBytes": 16384,
        "bodyBytes": 65536,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "insurer", "apiKeys": ["k1", "k2"]}],
}
ENGINES = {
    "name": "engines",
    "healthPath": "/health",
    "maxConns": 100,
    "engine": {"slots": 64, "kvCapacity": 100000},
    "scale": {"min": 1, "max": 3, "bootTimeS": 4, "zonePrices": {"a": 1.0, "b": 2.0}},
}


def answer(conn, method, path, body):
    """Answer with the upstream's signature."""
    head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n"
    conn.sendall(head + b"ok")


# The registration entry that an upstream writes.
ENTRY = {
    "service": "web",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
}


class PlatformCase(unittest.TestCase):
    def setUp(self):
        self.procs = Processes()
        self.addCleanup(self.procs.close)
        self.platform = self.procs.start_fake("platform")
        self.upstream = RawUpstream(answer)
        self.addCleanup(self.upstream.close)
        self.document = json.loads(json.dumps(DOCUMENT))
        self.register("i-1")
        self.publish()

    def operate(self, puts=None, deletes=()):
        """Write and delete items as the operator and the upstreams do."""
        puts = {key: json.dumps(value) for key, value in (puts or {}).items()}
        self.platform.post("/-/operate", {"puts": puts, "delete": list(deletes)})

    def publish(self):
        """Publish the routing document."""
        self.operate({"op/config": self.document})

    def register(self, name, **changes):
        """Write a registration of the upstream under this name."""
        address = f"{HOST}:{self.upstream.port}"
        self.operate({f"servers/{name}": ENTRY | {"address": address} | changes})

    # The module that is run as a gateway, and variables of its environment.
    module = "chervilwing.platform"

    def start(self, name, settings_file=None, variables=None, **options):
        """Start a gateway and wait until it is ready.

        With a settings file, the store's address is read from there.
        """
        flags = {
            "listen": f"{HOST}:0",
            "ready-listen": f"{HOST}:0",
            "beacon-listen": f"{HOST}:0",
            "tunnel-listen": f"{HOST}:0",
            "store": f"{HOST}:{self.platform.port}",
            "cloud": f"{HOST}:{self.platform.port}",
            "name": name,
            "data-centre": "a",
            "lease": "1",
            "usage-window": "1",
            **{key.replace("_", "-"): value for key, value in options.items()},
        }
        env = dict(variables or {})
        if settings_file is not None:
            del flags["store"]
            env["CHERVILWING_SETTINGS"] = settings_file
        argv = [f"--{key}={value}" for key, value in flags.items()]
        program = [sys.executable, "-m", self.module, *argv]
        gateway = self.procs.start(program, env)
        poll(lambda: self.is_ready(gateway))
        return gateway

    def is_ready(self, gateway):
        """Return whether a gateway reports that it is ready."""
        with suppress(OSError):
            status, _ = call_json(gateway.info["ready_port"], "GET", "/-/ready")
            return status == 200

    def call(self, gateway, path="/page/x", key="k1"):
        """Send one request and return the status of its answer."""
        head = (
            f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"Authorization: Bearer {key}\r\n\r\n"
        )
        with Caller(gateway.port) as caller:
            caller.send(head.encode())
            return caller.read_answer().status

    def list_calls(self, path):
        """Return (holder, fence, body) of each API call with this path."""
        calls = self.platform.record()["calls"]
        return [tuple(rest) for called, *rest in calls if called == path]


class TestConfiguration(PlatformCase):
    def test_a_change_comes_into_force_and_a_revoked_key_is_refused(self):
        gateway = self.start("one")
        self.assertEqual(self.call(gateway), 200)
        self.assertEqual(self.call(gateway, key="k9"), 401)
        self.document["version"] = 7
        self.document["tenants"][0]["apiKeys"] = ["k2"]
        self.publish()
        poll(lambda: self.call(gateway) == 401)
        self.assertEqual(self.call(gateway, key="k2"), 200)

    def test_keys_are_refused_once_the_revoke_bound_has_passed_without_the_store(self):
        # The store refuses the gateway's calls while an operator revokes a key: without
        # a bound, the gateway would accept the key until the store is reachable again.
        gateway = self.start("one", revoke_bound="2")
        self.platform.fault(refuse_calls=True)
        self.document["version"] = 7
        self.document["tenants"][0]["apiKeys"] = ["k2"]
        self.publish()
        poll(lambda: self.call(gateway) == 503)
        self.assertFalse(self.is_ready(gateway))
        self.platform.fault(refuse_calls=False)
        poll(lambda: self.call(gateway) == 401)

    def test_a_change_in_a_dropped_history_is_applied(self):
        # The store's watches report nothing while a key is revoked; then the store
        # drops its history and cuts the watches, so the change is never reported.
        gateway = self.start("one")
        self.platform.fault(report_no_events=True)
        self.document["version"] = 7
        self.document["tenants"][0]["apiKeys"] = ["k2"]
        self.publish()
        self.platform.fault(report_no_events=False)
        self.platform.post("/-/forget", {})
        poll(lambda: self.call(gateway) == 401)

    def test_the_gateway_recovers_from_a_silent_store(self):
        gateway = self.start("one", revoke_bound="2")
        self.platform.fault(silent=True)
        poll(lambda: self.call(gateway) == 503, 15)
        self.platform.fault(silent=False)
        poll(lambda: self.call(gateway) == 200, 15)


class TestUpstreams(PlatformCase):
    def test_a_leaving_upstream_is_replaced_by_its_successor(self):
        gateway = self.start("one")
        self.register("i-1", state="draining")
        poll(lambda: self.call(gateway) == 503)
        self.register("i-2")
        poll(lambda: self.call(gateway) == 200)
        self.assertEqual(self.upstream.heads[-1][1]["x-expect-instance"], "i-2")
        self.operate(deletes=["servers/i-2"])
        poll(lambda: self.call(gateway) == 503)


class TestRollouts(PlatformCase):
    def setUp(self):
        super().setUp()
        self.fails = False
        self.other = RawUpstream(self.answer_new_version)
        self.addCleanup(self.other.close)

    def answer_new_version(self, conn, method, path, body):
        """Answer as an upstream of the new version, with 500 if ``fails`` is set."""
        if not self.fails:
            answer(conn, method, path, body)
            return
        head = b"HTTP/1.1 500 Oops\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n"
        conn.sendall(head)

    def roll_out(self, seconds):
        """Order a roll-out and register an upstream of the new version."""
        order = {"service": "web", "target": "v2", "durationS": seconds}
        self.operate({"op/rollout/web": order})
        address = f"{HOST}:{self.other.port}"
        self.register("i-2", version="v2", address=address)

    def read_status(self):
        """Return the reported roll-out status, an empty dict before the first."""
        return self.platform.record()["values"].get("status/rollout/web", {})

    def call_until_reported(self, gateway, state):
        """Send requests until this state is reported to the operator."""

        def seen():
            for _ in range(40):
                self.call(gateway)
            return self.read_status().get("state") == state

        poll(seen, 30)

    def test_a_good_version_gets_all_traffic_by_the_deadline(self):
        gateway = self.start("one")
        self.assertEqual(self.call(gateway), 200)
        self.roll_out(8)
        self.call_until_reported(gateway, "completed")
        self.assertEqual(self.read_status()["target"], "v2")
        self.operate(deletes=["servers/i-1"])
        before = len(self.upstream.heads)
        self.assertEqual({self.call(gateway) for _ in range(20)}, {200})
        self.assertEqual(len(self.upstream.heads), before)

    def test_a_bad_version_is_rolled_back_and_gets_no_more_traffic(self):
        # Every answer of the new version is an error. Callers are served by the old
        # version at the second attempt, and after the rollback only by it.
        self.fails = True
        gateway = self.start("one")
        self.assertEqual(self.call(gateway), 200)
        self.roll_out(60)
        self.call_until_reported(gateway, "rolled_back")
        before = len(self.other.heads)
        self.assertEqual({self.call(gateway) for _ in range(100)}, {200})
        self.assertEqual(len(self.other.heads), before)

    def test_an_invalid_order_is_ignored(self):
        gateway = self.start("one")
        self.operate({"op/rollout/web": {"target": 7, "durationS": -1}})
        self.operate({"op/rollout/nobody": {"target": "v9", "durationS": 5}})
        poll(lambda: "status/rollout/nobody" in self.platform.record()["values"])
        self.assertEqual(self.call(gateway), 200)
        self.assertEqual(self.read_status(), {})


class TestDuties(PlatformCase):
    def read_reports(self):
        """Return a list of the reported counts for each window."""
        reports = {}
        for _, _, body in self.list_calls("/usage"):
            reports.setdefault(body["windowId"], []).append(body["counts"])
        return reports

    def count_reported(self):
        """Return the customer's reported requests, summed over all windows."""
        return sum(
            counts[0].get("insurer", 0) for counts in self.read_reports().values()
        )

    def test_the_usage_of_all_instances_is_reported_once(self):
        gateways = [self.start(name) for name in ("one", "two")]
        for gateway in gateways * 5:
            self.assertEqual(self.call(gateway), 200)
        poll(lambda: self.count_reported() == 10, 20)
        for counts in self.read_reports().values():
            self.assertEqual(counts, counts[:1] * len(counts))

    def test_the_next_holder_reports_the_same_counts_of_a_window(self):
        # The lease holder computes the counts and is killed before or after it sends
        # them. If the next holder computed them again, the platform would receive two
        # different reports of one window.
        first = self.start("one")
        holder = poll(lambda: self.list_calls("/usage"), 20)[0][0]
        self.assertEqual(holder, "one")
        second = self.start("two")
        self.platform.fault(lose_writes=2)
        for _ in range(5):
            self.assertEqual(self.call(second), 200)
        first.kill()
        poll(lambda: "two" in {call[0] for call in self.list_calls("/usage")}, 20)
        for counts in self.read_reports().values():
            self.assertEqual(counts, counts[:1] * len(counts))
        fences = [(fence, holder) for holder, fence, _ in self.list_calls("/usage")]
        self.assertEqual(fences, sorted(fences))

    def test_the_counts_of_a_killed_instance_are_reported(self):
        # An instance is killed before the end of a window in which it served requests.
        # If no other instance had its counts, they would be missing in the report.
        metrics = f"{HOST}:0"
        first = self.start("one", usage_window="3", metrics_listen=metrics)
        second = self.start("two", usage_window="3")
        poll(lambda: self.list_calls("/usage"), 20)
        for _ in range(10):
            self.assertEqual(self.call(second), 200)
        expected = "chervilwing_gateway_usage_heard 10\n"
        port = first.info["metrics_port"]
        poll(lambda: expected in call(port, "GET", "/-/metrics").body.decode())
        second.kill()
        poll(lambda: self.count_reported() == 10, 30)
        self.assertIsNone(first.popen.poll())

    def test_fences_never_decrease_after_a_frozen_holder_resumes(self):
        first = self.start("one")
        poll(lambda: self.list_calls("/usage"), 20)
        self.start("two")
        first.freeze()
        poll(lambda: "two" in {call[0] for call in self.list_calls("/usage")}, 20)
        seen = len(self.list_calls("/usage"))
        first.resume()
        poll(lambda: len(self.list_calls("/usage")) > seen + 2, 20)
        highest = 0
        for _, fence, _ in self.list_calls("/usage")[seen:]:
            highest = max(highest, fence)
            self.assertGreaterEqual(fence, highest)

    def test_only_one_holder_orders_instances(self):
        self.document["services"].append(ENGINES)
        self.publish()
        for name in ("one", "two"):
            self.start(name, buys="true")
        poll(lambda: len(self.list_calls("/scale")) >= 4, 20)
        calls = self.list_calls("/scale")
        self.assertEqual(len({(holder, fence) for holder, fence, _ in calls}), 1)
        kinds = [(body["zone"], body.get("spot", False)) for _, _, body in calls]
        self.assertEqual(len(set(kinds[:4])), 4)


class TestMetrics(PlatformCase):
    def test_metrics_are_served_on_their_own_address(self):
        gateway = self.start("one", metrics_listen=f"{HOST}:0")
        self.call(gateway)
        response = call(gateway.info["metrics_port"], "GET", "/-/metrics")
        self.assertEqual(response.status, 200)
        text = response.body.decode()
        self.assertIn('chervilwing_requests_total{customer="insurer"', text)
        self.assertIn("chervilwing_gateway_configuration_version 3", text)


def read_processor_time(pid):
    """Return the seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class TestStops(PlatformCase):
    def test_a_planned_stop_reports_not_ready_and_cuts_no_request(self):
        gateway = self.start("one", drain_lag="0.5")
        gateway.popen.terminate()
        poll(lambda: not self.is_ready(gateway))
        self.assertEqual(self.call(gateway), 200)
        self.assertEqual(gateway.popen.wait(10), 0)
        self.assertNotIn("chervilwing/instances/one", self.platform.record()["keys"])

    def start_slow_answers(self, gateway, size, count=1):
        """Return a caller whose answers of some bytes each wait to be read."""
        body = bytes(size)

        def answer_large(conn, method, path, data):
            head = b"HTTP/1.1 201 Created\r\nX-Server-Stamp: s\r\nContent-Length: %d"
            conn.sendall(head % size + b"\r\n\r\n" + body)

        self.upstream.script = answer_large
        caller = Caller(gateway.port)
        self.addCleanup(caller.close)
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        req = (
            b"GET /page/x HTTP/1.1\r\nHost: a.example\r\n"
            b"Authorization: Bearer k1\r\n\r\n"
        )
        caller.send(req * count)
        caller.read_until(b"\r\n\r\n")
        return caller

    def test_a_planned_stop_waits_for_callers_that_read_slowly(self):
        """Guards against answers that a stop cuts though their requests have run."""
        gateway = self.start("one", drain_lag="0.1")
        size = 900_000
        caller = self.start_slow_answers(gateway, size)
        gateway.popen.terminate()
        poll(lambda: not self.is_ready(gateway))
        left = size
        while left:
            piece = min(left, 50_000)
            caller.read_bytes(piece)
            left -= piece
            time.sleep(0.1)
        # The process must not wait for a caller that has read everything.
        with self.assertRaises(EOFError):
            caller.read_bytes(1)
        caller.close()
        self.assertEqual(gateway.popen.wait(2), 0)

    def test_a_planned_stop_ends_although_a_caller_reads_nothing(self):
        """Guards against a caller that holds a stopping process for ever."""
        gateway = self.start("one", drain_lag="0.1", drain_timeout="3")
        # The gateway buffers each answer whole, so that both requests are over at once;
        # the kernel has no room for the second one.
        self.start_slow_answers(gateway, MAX_BUFFERED_BYTES, count=2)
        poll(lambda: len(self.upstream.seen) == 2)
        began = time.monotonic()
        gateway.popen.terminate()
        self.assertEqual(gateway.popen.wait(5), 0)
        self.assertGreater(time.monotonic() - began, 2.9)

    def test_sighup_does_not_end_the_gateway(self):
        gateway = self.start("one")
        gateway.signal(signal.SIGHUP)
        self.assertEqual(self.call(gateway), 200)
        self.assertIsNone(gateway.popen.poll())

    def test_sighup_does_not_end_a_gateway_that_starts(self):
        """Guards against a change of the settings that ends a starting process."""
        entry = Path(__file__).resolve().parent.parent / "deploy" / "entry.py"
        argv = [sys.executable, str(entry), "--name=one", f"--listen={HOST}:0"]
        argv += [f"--ready-listen={HOST}:0", f"--beacon-listen={HOST}:0"]
        argv += [f"--store={HOST}:{self.platform.port}", "--data-centre=a"]
        process = self.procs.run(argv)
        # Python itself starts within this time of the processor.
        poll(lambda: read_processor_time(process.popen.pid) > 0.12)
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            process.signal(signal.SIGHUP)
            time.sleep(0.02)
        self.assertIsNone(process.popen.poll())

    def test_a_bad_setting_ends_the_gateway_with_a_message(self):
        argv = [sys.executable, "-m", "chervilwing.platform"]
        argv += ["--name=one", "--lease=soon"]
        process = self.procs.run(argv)
        self.assertEqual(process.popen.wait(10), 2)
        process.stderr.seek(0)
        self.assertIn("--lease", process.stderr.read())
