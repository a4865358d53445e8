"""Tests of the operators' tool with a fake key-value service and real instances."""

import json
import unittest

from typer.testing import CliRunner

from chervilwing import operators
from chervilwing.cli import app
from chervilwing.documents import hash_key
from chervilwing.exceptions import NotAllowed
from tests.procs import ROOT, Processes, call_json, poll

EXAMPLE_DIR = ROOT / "examples" / "andesur"
CONFIG_FILES = (str(EXAMPLE_DIR / "inventory.toml"), str(EXAMPLE_DIR / "rules.toml"))
CONFIG_PATH = "/kv/chervilwing/config"


class CliTest(unittest.TestCase):
    """Runs the tool in this process; stores and instances run as child processes."""

    def setUp(self):
        self.processes = Processes()
        self.addCleanup(self.processes.close)

    def run_tool(self, *args, code=0, text=None, environ=()):
        """Run the tool, check its exit code and return the Result of CliRunner."""
        environ = {"USER": "ana", **dict(environ)}
        result = CliRunner().invoke(app, args, input=text, env=environ)
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def start_store(self):
        """Start a fake store that holds two revisions of the configuration.

        Revision 1 is examples/andesur, revision 2 an edit of it.
        """
        store = self.processes.start_fake("store")
        self.store = store
        self.options = ["--store", f"127.0.0.1:{store.port}", "--pause", "0"]
        self.run_on_store("config", "apply", *CONFIG_FILES)
        self.run_on_store("rules", "edit", "--set", "classes.memo.first_token=1.2")
        return store

    def run_on_store(self, *args, code=0, text=None):
        """Run a command with the options for the store and return its output."""
        return self.run_tool(*self.options, *args, code=code, text=text).output

    def run_json(self, *args):
        """Run a command with --json and return the decoded output."""
        return json.loads(self.run_on_store(*args, "--json"))

    def start_instance(self, name, store, *options):
        """Start an entry instance and wait until it is ready."""
        daemon = self.processes.start_daemon(
            *("--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"),
            *("--name", name, "--data-centre", "scl-a", "--drain-lag", "0.1"),
            *("--store", f"127.0.0.1:{store.port}"),
            *options,
        )
        poll(lambda: daemon.get("/-/ready")[0] == 200)
        self.options += ["--instance", f"127.0.0.1:{daemon.port}"]
        return daemon


class TestOperatorKey(CliTest):
    def test_status_metrics_and_drain_require_the_operator_key(self):
        # These paths share a port with the customers' requests. Without a check of the
        # key a customer could read `/-/status` and drain one instance after the other.
        store = self.start_store()
        digest = ("--operator-key-hash", hash_key("secret"))
        entry = self.start_instance("one", store, *digest)
        paths = ("/-/status", "/-/metrics", "/-/histograms")
        calls = [("GET", path) for path in paths] + [("POST", "/-/drain")]
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            for method, path in calls:
                status, body = call_json(entry.port, method, path, {}, headers)
                refusal = (status, body["type"].rpartition("/")[2])
                self.assertEqual(refusal, (401, "wrong-operator-key"))
        self.assertEqual(entry.get("/-/live")[0], 200)
        self.assertIn(" 401 ", self.run_on_store("drain", "one", code=1))
        self.assertEqual(entry.get("/-/ready")[0], 200)
        environ = {"CHERVILWING_OPERATOR_KEY": "secret"}
        for command in (("instances",), ("stats",), ("drain", "one")):
            self.run_tool(*self.options, *command, environ=environ)
        poll(lambda: entry.popen.poll() == 0)

    def test_without_a_key_only_loopback_may_stop_an_instance(self):
        for host, allowed in (("127.0.0.1", True), ("::1", True), ("10.2.0.5", False)):
            with self.subTest(host):
                if allowed:
                    operators.check_stop("", {}, host)
                    continue
                with self.assertRaises(NotAllowed):
                    operators.check_stop("", {}, host)


class TestConfiguration(CliTest):
    def test_apply_show_edit_history_and_rollback(self):
        self.start_store()
        self.run_on_store("rules", "edit", "--set", "customers.austral-buses.weight=2")
        weights = [
            row.get("weight")
            for row in self.run_json("rules", "show")["rules"]["customers"]
        ]
        self.assertEqual(weights, [4.0, 4.0, None, 2.0, None])
        output = self.run_on_store("config", "rollback", "2")
        self.assertIn("~ customers.austral-buses weight: 2.0 -> null", output)
        history = self.run_json("config", "history")
        self.assertEqual([row["revision"] for row in history], [4, 3, 2, 1])
        self.assertEqual({row["author"] for row in history}, {"ana"})
        old = self.run_json("rules", "show", "--revision", "3")["rules"]["customers"][3]
        self.assertEqual(old["weight"], 2.0)

    def test_dry_run_shows_the_changes_and_writes_nothing(self):
        store = self.start_store()
        writes = store.record()["calls"]["writes"]
        remove = ("rules", "edit", "--remove", "customers.norte-minero", "--dry-run")
        self.assertEqual(self.run_on_store(*remove).strip(), "- customers.norte-minero")
        self.assertEqual(store.record()["calls"]["writes"], writes)

    def test_applying_an_old_file_keeps_edits_made_since_it_was_shown(self):
        # Ana saves rules.toml at revision 2. Then Bo raises a customer's weight, and
        # Ana applies her file with another change. The file still has the old weight:
        # if it replaced everything, it would silently undo Bo's edit.
        self.start_store()
        shown = self.run_on_store("rules", "show")
        self.run_on_store("rules", "edit", "--set", "customers.austral-buses.weight=2")
        changed = shown.replace("deadline = 5.0", "deadline = 6.0")
        self.run_on_store("rules", "apply", "-", text=changed)
        rules = self.run_json("rules", "show")["rules"]
        self.assertEqual(rules["customers"][3]["weight"], 2.0)
        self.assertEqual(rules["classes"][0]["deadline"], 6.0)
        conflicting = shown.replace("weight = 1.0", "").replace(
            'name = "austral-buses"', 'name = "austral-buses"\nweight = 3'
        )
        result = self.run_tool(
            *self.options, "rules", "apply", "-", "--json", text=conflicting, code=3
        )
        overlap = json.loads(result.stderr)["overlaps"][0]
        self.assertEqual(
            (overlap["ours"]["weight"], overlap["theirs"]["weight"]), (3, 2)
        )

    def test_a_lost_response_does_not_add_a_second_revision(self):
        # The write takes effect but its response is lost. If the tool reported a
        # failure, the operator would enter the edit again.
        store = self.start_store()
        store.fault(lose_answer=1)
        self.run_on_store("rules", "edit", "--set", "classes.memo.priority=2")
        self.assertEqual(store.record()["lost_answers"], 1)
        self.assertEqual(len(self.run_json("config", "history")), 3)

    def test_failures_have_their_own_exit_codes(self):
        store = self.start_store()
        set_key = ("rules", "edit", "--set")
        self.assertIn(
            "customers.c", self.run_on_store(*set_key, "customers.c.weight=0", code=6)
        )
        self.assertIn(
            "inventory", self.run_on_store(*set_key, "pools.p.kind=model", code=6)
        )
        self.run_on_store("rules", "show", "--revision", "99", code=1)
        self.run_on_store("rules", "shwo", code=2)
        self.run_tool("rules", "show", code=2)
        self.run_tool("--store", "localhost:1", "rules", "show", code=2)
        store.fault(down=True)
        self.run_on_store("rules", "show", code=4)
        self.run_on_store(*set_key, "classes.memo.priority=2", code=4)

    def test_after_a_deletion_the_revision_number_continues(self):
        store = self.start_store()
        store_version = store.get(CONFIG_PATH)[1]["version"]
        call_json(store.port, "DELETE", CONFIG_PATH, {"expect": store_version})
        self.run_on_store("config", "apply", *CONFIG_FILES)
        self.assertEqual(self.run_json("inventory", "show")["revision"], 3)


class TestInstances(CliTest):
    def test_status_shows_lagging_and_unreachable_instances(self):
        old_store = self.start_store()
        store = self.start_store()
        first = self.start_instance("e1", store)
        self.run_on_store("rules", "edit", "--set", "customers.austral-buses.weight=2")
        poll(lambda: first.get("/-/status")[1]["revision"] == 3)
        self.run_on_store("config", "status")
        self.start_instance("e2", old_store)
        value = json.loads(self.run_on_store("config", "status", "--json", code=7))
        revisions = [row["revision"] for row in value["instances"]]
        self.assertEqual((value["stored"], revisions), (3, [3, 2]))
        # This address belongs to the store, not to an entry instance: the row shows a
        # failure, and the other rows are still complete.
        self.options += ["--instance", f"127.0.0.1:{store.port}"]
        rows = json.loads(self.run_on_store("instances", "--json", code=4))
        self.assertEqual([row["name"] for row in rows], ["e1", "e2", None])
        self.assertIn("404", rows[2]["failure"])

    def test_upstreams_stats_and_drain_with_instances_from_the_list(self):
        store = self.start_store()
        daemons = [self.start_instance(name, store) for name in ("e1", "e2")]
        rows = [
            {
                "name": item.info["name"],
                "role": "entry",
                "host": "127.0.0.1",
                "port": item.port,
            }
            for item in daemons
        ]
        rows.append({"name": "u", "role": "engine", "host": "127.0.0.1", "port": 1})
        cloud = self.processes.start_fake("cloud", "--lag", "0")
        cloud.post("/-/instances", {"instances": rows})
        self.options = ["--list", f"127.0.0.1:{cloud.port}"]
        upstreams = self.run_json("upstreams")
        self.assertEqual(len(upstreams), 8)
        self.assertEqual(upstreams[0]["state"], {"e1": "live", "e2": "live"})
        self.assertEqual(self.run_json("stats"), {"instances": 2, "rows": []})
        self.run_on_store("drain", "e3", code=1)
        self.run_on_store("drain", "e2")
        self.assertEqual(daemons[1].popen.wait(10), 0)
        self.assertEqual(daemons[0].get("/-/ready")[0], 200)


class TestKeys(CliTest):
    def test_hash_reads_stdin(self):
        output = self.run_tool("key", "hash", text="example-key\n").output
        self.assertEqual(output.strip(), hash_key("example-key"))
