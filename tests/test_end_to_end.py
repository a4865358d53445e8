"""Tests of requests through all components, in separate processes."""

import time
import unittest

from tests.deployments import AUTHORISED, Deployment, complete, new_key, read_stream
from tests.fakes.tokens import expected_tokens
from tests.procs import call, poll

TEXT = "".join(expected_tokens("memo", "hello", 8))


class TestEndToEnd(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment()
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start_upstreams(engines=3, services=1)
        cls.entries = [cls.deployment.start_entry(name) for name in ("one", "two")]

    def test_a_completion_is_complete_on_both_instances(self):
        for entry in self.entries:
            answer = complete(entry)
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(answer.json()["choices"][0]["text"], TEXT)

    def test_a_stream_is_chunked_and_ends_with_the_end_mark(self):
        answer = complete(self.entries[0], stream=True)
        self.assertEqual(answer.headers["transfer-encoding"], "chunked")
        self.assertTrue(answer.whole)
        self.assertEqual(read_stream(answer), (TEXT, True))

    def test_a_call_sent_twice_under_one_key_takes_effect_once(self):
        # A caller loses the answer to a non-idempotent call and sends the call again;
        # the balancer routes it to the other instance. It must take effect once and get
        # the same answer; status 409 asks for a retry until the first answer is
        # recorded.
        headers = AUTHORISED | {"Idempotency-Key": new_key(time.time())}

        def send(entry):
            path = "/services/portal/notes"
            answer = call(entry.port, "POST", path, b"note-17", headers)
            return None if answer.status == 409 else answer

        first, second = send(self.entries[0]), poll(lambda: send(self.entries[1]))
        self.assertEqual((first.status, second.status), (200, 200))
        self.assertEqual(first.body, second.body)
        record = self.deployment.upstreams.services[0].record()
        key = headers["Idempotency-Key"]
        self.assertEqual(record["by_key"][key], 1)

    def test_each_instance_lists_both_as_members(self):
        for entry in self.entries:
            poll(lambda e=entry: e.get("/-/status")[1]["peers"]["members"] == 2)

    def test_a_refusal_without_a_known_customer_is_counted(self):
        # All calls with a misspelt key are refused before the customer is known. The
        # metrics must show these refusals too, as a series of their own.
        entry = self.entries[0]
        call(entry.port, "GET", "/v1/models", headers={"Authorization": "Bearer no"})
        metrics = call(entry.port, "GET", "/-/metrics").body.decode()
        self.assertIn('customer="(none)"', metrics)
        self.assertIn('cause="unknown-customer"', metrics)
