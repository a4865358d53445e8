"""Entry instances whose key-value service returns from a copy some seconds old."""

import json
import time
import unittest

from chervilwing.documents import CONFIG_KEY
from tests.deployments import AUTHORISED, Deployment, make_configuration, new_key
from tests.procs import call, poll


class TestRestoredDaemon(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        self.deployment.start_upstreams()
        self.entries = [self.deployment.start_entry(name) for name in ("one", "two")]
        self.store = self.deployment.store

    def read_revision(self, entry):
        """Return the revision in force at an instance."""
        return entry.get("/-/status")[1]["revision"]

    def read_stored(self):
        """Return the stored configuration's revision and version."""
        value = self.store.get(f"/kv/{CONFIG_KEY}")[1]
        return json.loads(value["value"])["revision"], value["version"]

    def put(self, revision, expect, operation):
        """Store a configuration with this revision and operation."""
        upstreams = self.deployment.upstreams
        configuration = make_configuration(upstreams, revision, operation)
        return self.deployment.put_configuration(configuration, expect)

    def test_a_lost_configuration_is_stored_again_and_the_next_edit_holds(self):
        # Edited from the older one, the next configuration would have a revision that
        # all instances have passed.
        self.store.post("/-/save", {})
        version = self.put(2, 1, "second")
        self.put(3, version, "third")
        for entry in self.entries:
            poll(lambda entry=entry: self.read_revision(entry) == 3)
        self.store.post("/-/restore", {})
        self.assertEqual(self.put(2, 1, "edit"), 2)
        poll(lambda: self.read_stored()[0] == 4, 15)
        self.assertEqual(self.read_stored()[1], 3)
        for entry in self.entries:
            poll(lambda entry=entry: self.read_revision(entry) == 4, 16)

    def test_a_call_whose_claim_was_lost_does_not_run_again(self):
        headers = AUTHORISED | {"Idempotency-Key": new_key(time.time())}

        def send(entry):
            path = "/services/portal/notes"
            return call(entry.port, "POST", path, b"note", headers)

        self.store.post("/-/save", {})
        first = send(self.entries[0])
        self.assertEqual(first.status, 200)
        time.sleep(1.0)
        self.store.post("/-/restore", {})
        time.sleep(2.0)
        again = send(self.entries[1])
        self.assertEqual((again.status, again.body), (first.status, first.body))
        self.assertEqual(again.headers.get("idempotent-replay"), "true")

    def test_a_lost_configuration_is_stored_again(self):
        self.store.post("/-/save", {})
        self.put(2, 1, "second")
        for entry in self.entries:
            poll(lambda entry=entry: self.read_revision(entry) == 2)
        self.store.post("/-/restore", {})
        poll(lambda: self.read_stored()[0] == 2, 15)
        time.sleep(2.0)
        self.assertEqual(self.read_stored(), (2, 2))
