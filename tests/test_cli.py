"""Tests of the operators' tool against the stand-in store and real entry instances."""

import json
import unittest

from typer.testing import CliRunner

from chervilwing import operators
from chervilwing.cli import app
from chervilwing.documents import hash_key
from chervilwing.exceptions import NotAllowed
from tests.procs import ROOT, Processes, call_json, poll

ANDESUR = ROOT / "examples" / "andesur"
FILES = (str(ANDESUR / "inventory.toml"), str(ANDESUR / "rules.toml"))
CONFIG = "/kv/chervilwing/config"


class CliTest(unittest.TestCase):
    """Runs the tool in this process; the stores are processes of their own."""

    def setUp(self):
        self.processes = Processes()
        self.addCleanup(self.processes.close)

    def run_tool(self, *args, code=0, text=None, environ=()):
        """Run the tool, check its exit code and return its output."""
        environ = {"USER": "ana", **dict(environ)}
        result = CliRunner().invoke(app, args, input=text, env=environ)
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def start_store(self):
        """Start a stand-in store with the example of Andesur in revisions 1 and 2."""
        store = self.processes.start_fake("store")
        self.store = store
        self.options = ["--store", f"127.0.0.1:{store.port}", "--pause", "0"]
        self.edit("config", "apply", *FILES)
        self.edit("rules", "edit", "--set", "classes.memo.first_token=1.2")
        return store

    def edit(self, *args, code=0, text=None):
        """Run a command on the store."""
        return self.run_tool(*self.options, *args, code=code, text=text).output

    def read(self, *args):
        """Run a command that prints JSON and return the value."""
        return json.loads(self.edit(*args, "--json"))

    def start_daemon(self, name, store, *options):
        """Start an entry instance and wait for its configuration."""
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
    def test_only_the_operators_key_reads_figures_and_drains(self):
        # A caller finds `/-/drain` on the port that it calls anyway, and stops one
        # instance after the other; `/-/status` tells it what to ask next.
        store = self.start_store()
        digest = ("--operator-key-hash", hash_key("secret"))
        entry = self.start_daemon("one", store, *digest)
        paths = ("/-/status", "/-/metrics", "/-/histograms")
        calls = [("GET", path) for path in paths] + [("POST", "/-/drain")]
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            for method, path in calls:
                status, body = call_json(entry.port, method, path, {}, headers)
                found = (status, body["type"].rpartition("/")[2])
                self.assertEqual(found, (401, "wrong-operator-key"))
        self.assertEqual(entry.get("/-/live")[0], 200)
        self.assertIn(" 401 ", self.edit("drain", "one", code=1))
        self.assertEqual(entry.get("/-/ready")[0], 200)
        environ = {"CHERVILWING_OPERATOR_KEY": "secret"}
        for command in (("instances",), ("stats",), ("drain", "one")):
            self.run_tool(*self.options, *command, environ=environ)
        poll(lambda: entry.popen.poll() == 0)

    def test_without_a_key_a_stop_is_only_taken_from_the_machine_itself(self):
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
        self.edit("rules", "edit", "--set", "customers.austral-buses.weight=2")
        weights = [
            row.get("weight")
            for row in self.read("rules", "show")["rules"]["customers"]
        ]
        self.assertEqual(weights, [4.0, 4.0, None, 2.0, None])
        output = self.edit("config", "rollback", "2")
        self.assertIn("~ customers.austral-buses weight: 2.0 -> null", output)
        history = self.read("config", "history")
        self.assertEqual([row["revision"] for row in history], [4, 3, 2, 1])
        self.assertEqual({row["author"] for row in history}, {"ana"})
        old = self.read("rules", "show", "--revision", "3")["rules"]["customers"][3]
        self.assertEqual(old["weight"], 2.0)

    def test_dry_run_shows_the_changes_and_writes_nothing(self):
        store = self.start_store()
        writes = store.record()["calls"]["writes"]
        remove = ("rules", "edit", "--remove", "customers.norte-minero", "--dry-run")
        self.assertEqual(self.edit(*remove).strip(), "- customers.norte-minero")
        self.assertEqual(store.record()["calls"]["writes"], writes)

    def test_a_file_undoes_no_edit_made_since_it_was_shown(self):
        # Ana saves rules.toml at revision 2. Bo raises a customer's weight. Ana applies
        # her file with another change. Her file still holds the old weight: taken as
        # the whole truth it would undo Bo's edit without a word.
        self.start_store()
        shown = self.edit("rules", "show")
        self.edit("rules", "edit", "--set", "customers.austral-buses.weight=2")
        changed = shown.replace("deadline = 5.0", "deadline = 6.0")
        self.edit("rules", "apply", "-", text=changed)
        rules = self.read("rules", "show")["rules"]
        self.assertEqual(rules["customers"][3]["weight"], 2.0)
        self.assertEqual(rules["classes"][0]["deadline"], 6.0)
        lost = shown.replace("weight = 1.0", "").replace(
            'name = "austral-buses"', 'name = "austral-buses"\nweight = 3'
        )
        result = self.run_tool(
            *self.options, "rules", "apply", "-", "--json", text=lost, code=3
        )
        overlap = json.loads(result.stderr)["overlaps"][0]
        self.assertEqual(
            (overlap["ours"]["weight"], overlap["theirs"]["weight"]), (3, 2)
        )

    def test_a_lost_answer_is_settled_without_a_second_revision(self):
        # The edit takes effect but its answer is lost. A tool that reported a failure
        # would make the operator enter it again.
        store = self.start_store()
        store.fault(lose_answer=1)
        self.edit("rules", "edit", "--set", "classes.memo.priority=2")
        self.assertEqual(store.record()["lost_answers"], 1)
        self.assertEqual(len(self.read("config", "history")), 3)

    def test_failures_have_their_own_exit_codes(self):
        store = self.start_store()
        edit = ("rules", "edit", "--set")
        self.assertIn("customers.c", self.edit(*edit, "customers.c.weight=0", code=6))
        self.assertIn("inventory", self.edit(*edit, "pools.p.kind=model", code=6))
        self.edit("rules", "show", "--revision", "99", code=1)
        self.edit("rules", "shwo", code=2)
        self.run_tool("rules", "show", code=2)
        self.run_tool("--store", "localhost:1", "rules", "show", code=2)
        store.fault(down=True)
        self.edit("rules", "show", code=4)
        self.edit(*edit, "classes.memo.priority=2", code=4)

    def test_a_deleted_configuration_goes_on_after_its_revision(self):
        store = self.start_store()
        store_version = store.get(CONFIG)[1]["version"]
        call_json(store.port, "DELETE", CONFIG, {"expect": store_version})
        self.edit("config", "apply", *FILES)
        self.assertEqual(self.read("inventory", "show")["revision"], 3)


class TestInstances(CliTest):
    def test_status_shows_who_follows_who_lags_and_who_is_gone(self):
        other = self.start_store()
        store = self.start_store()
        first = self.start_daemon("e1", store)
        self.edit("rules", "edit", "--set", "customers.austral-buses.weight=2")
        poll(lambda: first.get("/-/status")[1]["revision"] == 3)
        self.edit("config", "status")
        self.start_daemon("e2", other)
        value = json.loads(self.edit("config", "status", "--json", code=7))
        revisions = [row["revision"] for row in value["instances"]]
        self.assertEqual((value["stored"], revisions), (3, [3, 2]))
        # What listens there now is no entry instance; the others are still shown.
        self.options += ["--instance", f"127.0.0.1:{store.port}"]
        rows = json.loads(self.edit("instances", "--json", code=4))
        self.assertEqual([row["name"] for row in rows], ["e1", "e2", None])
        self.assertIn("404", rows[2]["failure"])

    def test_upstreams_stats_and_drain_over_the_list(self):
        store = self.start_store()
        daemons = [self.start_daemon(name, store) for name in ("e1", "e2")]
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
        upstreams = self.read("upstreams")
        self.assertEqual(len(upstreams), 8)
        self.assertEqual(upstreams[0]["state"], {"e1": "live", "e2": "live"})
        self.assertEqual(self.read("stats"), {"instances": 2, "rows": []})
        self.edit("drain", "e3", code=1)
        self.edit("drain", "e2")
        self.assertEqual(daemons[1].popen.wait(10), 0)
        self.assertEqual(daemons[0].get("/-/ready")[0], 200)


class TestKeys(CliTest):
    def test_hash_reads_stdin(self):
        output = self.run_tool("key", "hash", text="example-key\n").output
        self.assertEqual(output.strip(), hash_key("example-key"))
