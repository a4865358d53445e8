"""Tests of the operators' tool against the stand-in store and doubles of instances."""

import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from typer.testing import CliRunner

from chervilwing.cli import app
from chervilwing.documents import hash_key
from chervilwing.reports import make_report
from chervilwing.stats import Stats
from tests.procs import ROOT, Processes, call_json, poll

ANDESUR = ROOT / "examples" / "andesur"
FILES = (str(ANDESUR / "inventory.toml"), str(ANDESUR / "rules.toml"))
CONFIG = "/kv/chervilwing/config"


class InstanceDouble:
    """An entry instance's pages under ``/-/``, from a thread; keeps what is posted."""

    def __init__(self, name, data_centre, revision):
        stats = Stats(pairs=4)
        stats.select("c", "memo").record_first_token(0.5)
        stats.select("c", "memo").record_outcome("ran")
        self.name = name
        self.posted = []
        self.pages = {
            "/-/status": {
                "name": name,
                "data_centre": data_centre,
                "revision": revision,
                "ready": True,
                "in_flight": 0,
                "upstreams": [
                    {"name": "u1", "pool": "p", "data_centre": "a", "state": "live"}
                ],
                "version": "0.1.0",
            },
            "/-/histograms": make_report(stats),
        }
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), self.make_handler())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def make_handler(self):
        double = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                self.reply(200, double.pages[self.path])

            def do_POST(self):
                size = int(self.headers["Content-Length"])
                double.posted.append((self.path, json.loads(self.rfile.read(size))))
                self.reply(202, {"draining": True})

            def reply(self, status, table):
                body = json.dumps(table).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                """Keep the test's output clean."""

        return Handler

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class CliTest(unittest.TestCase):
    """Runs the tool in this process; the stores are processes of their own."""

    def setUp(self):
        self.processes = Processes()
        self.addCleanup(self.processes.close)

    def run_tool(self, *args, code=0, text=None):
        """Run the tool, check its exit code and return its output."""
        result = CliRunner().invoke(app, args, input=text, env={"USER": "ana"})
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

    def double(self, *args):
        """Start the double of an entry instance."""
        double = InstanceDouble(*args)
        self.addCleanup(double.close)
        return double


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
    def test_status_shows_who_lags(self):
        self.start_store()
        ahead, behind = self.double("e1", "scl-a", 2), self.double("e2", "scl-b", 1)
        self.options += ["--instance", ahead.address]
        self.edit("config", "status")
        self.options += ["--instance", behind.address]
        output = self.edit("config", "status", "--json", code=7)
        value = json.loads(output)
        revisions = [row["revision"] for row in value["instances"]]
        self.assertEqual((value["stored"], revisions), (2, [2, 1]))

    def test_an_instance_that_does_not_answer_is_shown_and_gives_code_4(self):
        double, gone = self.double("e1", "a", 1), self.double("e2", "a", 1)
        gone.close()
        self.options = ["--instance", double.address, "--instance", gone.address]
        rows = json.loads(self.edit("instances", "--json", code=4))
        self.assertEqual([row["name"] for row in rows], ["e1", None])
        self.assertIn(gone.address, rows[1]["failure"])

    def test_upstreams_stats_and_drain_over_the_list(self):
        first, second = self.double("e1", "a", 1), self.double("e2", "a", 1)
        cloud = self.processes.start_fake("cloud", "--lag", "0")
        rows = [
            {
                "name": item.name,
                "role": "entry",
                "host": "127.0.0.1",
                "port": item.server.server_port,
            }
            for item in (first, second)
        ]
        rows.append({"name": "u1", "role": "engine", "host": "127.0.0.1", "port": 1})
        cloud.post("/-/instances", {"instances": rows})
        self.options = ["--list", f"127.0.0.1:{cloud.port}"]
        (upstream,) = self.read("upstreams")
        self.assertEqual(upstream["state"], {"e1": "live", "e2": "live"})
        stats = self.read("stats")
        self.assertEqual((stats["instances"], stats["rows"][0]["requests"]), (2, 2))
        self.edit("drain", "e2")
        self.assertEqual(first.posted, [])
        self.assertEqual(second.posted, [("/-/drain", {"name": "e2"})])
        self.edit("drain", "e3", code=1)


class TestDaemon(CliTest):
    def test_an_edit_takes_hold_and_a_drain_ends_the_process(self):
        store = self.start_store()
        daemon = self.processes.start_daemon(
            *("--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"),
            *("--name", "e1", "--data-centre", "scl-a", "--drain-lag", "0.1"),
            *("--store", f"127.0.0.1:{store.port}"),
        )
        self.options += ["--instance", f"127.0.0.1:{daemon.port}"]
        self.edit("rules", "edit", "--set", "customers.austral-buses.weight=2")
        poll(lambda: daemon.get("/-/status")[1]["revision"] == 3)
        self.edit("config", "status")
        self.assertEqual(len(self.read("upstreams")), 8)
        self.assertEqual(self.read("stats")["instances"], 1)
        self.edit("drain", "e1")
        self.assertEqual(daemon.popen.wait(10), 0)


class TestKeys(CliTest):
    def test_hash_reads_stdin(self):
        output = self.run_tool("key", "hash", text="example-key\n").output
        self.assertEqual(output.strip(), hash_key("example-key"))
