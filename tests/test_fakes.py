"""Tests of the fakes: each follows its protocol, and its faults act as named."""

import json
import time
import unittest

from tests.fakes.tokens import expected_tokens
from tests.procs import Caller, Processes, call, call_json, poll

PROMPT = "the loss history of truck 17 and of its three drivers since the year 2019"


def make_completion(attempt="a1", count=6, **fields):
    """Return the body of a completion request."""
    body = {"model": "demo", "prompt": PROMPT, "max_tokens": count, "attempt": attempt}
    return {**body, **fields}


def read_tokens(answer):
    """Return the tokens in the events of an answer."""
    events = [json.loads(data) for data in answer.events() if data[0] == "{"]
    return [event["token"] for event in events if "token" in event]


class FakeCase(unittest.TestCase):
    def setUp(self):
        self.processes = Processes()
        self.addCleanup(self.processes.close)
        self.start = self.processes.start_fake


class TestEngine(FakeCase):
    def complete(self, engine, **fields):
        return call(engine.port, "POST", "/v1/completions", make_completion(**fields))

    def test_resumed_attempt_recomputes_tokens_only_without_kv_import(self):
        first, second = self.start("engine"), self.start("engine", "--token-time", "60")
        tokens = expected_tokens("demo", PROMPT, 6)
        answer = self.complete(first)
        self.assertEqual(answer.headers["x-attempt-id"], "a1")
        self.assertEqual(read_tokens(answer), tokens)
        self.assertEqual(answer.events()[-1], "[DONE]")
        repeat = json.loads(self.complete(first, attempt="again").events()[-2])
        self.assertGreater(repeat["usage"]["cached_tokens"], 0)
        with Caller(second.port) as caller:
            resume_fields = {"offset": 4, "prefix": "".join(tokens[:4])}
            caller.request(
                "POST", "/v1/completions", make_completion("a2", 9, **resume_fields)
            )
            caller.read_head()
            export = {"attempt": "a2"}
            status, kv_cache = call_json(second.port, "POST", "/v1/kv/export", export)
        self.assertEqual((status, kv_cache["tokens"]), (200, 4))
        self.assertEqual(second.record()["attempts"][0]["recomputed"], 4)
        third = self.start("engine")
        self.assertEqual(
            call_json(third.port, "POST", "/v1/kv/import", kv_cache)[0], 200
        )
        answer = self.complete(third, attempt="a3", **resume_fields)
        self.assertEqual(read_tokens(answer), tokens[4:])
        self.assertEqual(third.record()["attempts"][0]["recomputed"], 0)
        poll(lambda: second.record()["attempts"][0]["state"] == "cancelled")
        self.assertEqual(second.record()["running"], 0)

    def test_queues_by_priority_and_refuses_when_full(self):
        engine = self.start("engine", "--slots", "1", "--queue-limit", "2")
        engine.fault(stall_after=0)
        callers = [Caller(engine.port) for _ in range(3)]
        for number, priority in enumerate((1, 2, 0)):
            body = make_completion(f"a{number}", priority=priority)
            callers[number].request("POST", "/v1/completions", body)
            poll(lambda n=number: len(engine.record()["attempts"]) == n + 1)
        refused = self.complete(engine, attempt="a4")
        self.assertEqual((refused.status, refused.json()["waiting"]), (503, 2))
        callers[0].read_head()
        engine.fault(stall_after=None)
        callers[0].close()
        for caller in callers[1:]:
            self.assertTrue(caller.read_answer().whole)
            caller.close()
        first, low, high = engine.record()["attempts"]
        self.assertEqual(first["state"], "cancelled")
        self.assertLess(high["started"], low["started"])

    def test_faults_break_the_answer_as_named(self):
        engine = self.start("engine")
        engine.fault(die_after=3)
        answer = self.complete(engine)
        self.assertEqual((len(read_tokens(answer)), answer.whole), (3, False))
        engine.fault(die_after=None, no_end_mark=True)
        answer = self.complete(engine, attempt="a2")
        self.assertEqual((len(read_tokens(answer)), answer.whole), (6, True))
        self.assertNotIn("[DONE]", answer.events())
        engine.fault(no_end_mark=False, wrong_attempt=2)
        answer = self.complete(engine, attempt="a3")
        self.assertIn('"attempt":"a2"', answer.events()[2])
        engine.fault(wrong_attempt=None, garbage=1)
        self.assertIn(b"not JSON", self.complete(engine, attempt="a4").raw)
        engine.fault(garbage=None, stall_after=2)
        with Caller(engine.port) as caller:
            caller.request("POST", "/v1/completions", make_completion("a5"))
            caller.read_until(b'"index":1')
            stopped = call_json(engine.port, "POST", "/v1/cancel", {"attempt": "a5"})
            self.assertEqual(stopped, (200, {"cancelled": True}))
            self.assertRaises(EOFError, caller.read_until, b"[DONE]")
        states = [attempt["state"] for attempt in engine.record()["attempts"]]
        self.assertEqual(states[0], "dropped")
        self.assertEqual(states[4], "cancelled")

    def test_orders_run_once_and_only_fenced_engines_refuse_old_ones(self):
        for flag, status in (("--fenced", 409), ("--unfenced", 200)):
            with self.subTest(flag):
                engine = self.start("engine", flag)
                order = {"op": "load", "model": "m", "fence": 7, "order": "o1"}
                path = "/v1/orders"
                self.assertEqual(call_json(engine.port, "POST", path, order)[0], 200)
                self.assertEqual(call_json(engine.port, "POST", path, order)[0], 200)
                old = {**order, "op": "unload", "fence": 6, "order": "o2"}
                answer = call_json(engine.port, "POST", path, old)
                self.assertEqual(answer[0], status)
                done = [entry["done"] for entry in engine.record()["orders"]]
                self.assertEqual(done, [True, status == 200])


class TestService(FakeCase):
    def test_records_effects_even_if_the_answer_is_lost(self):
        service = self.start("service")
        post = lambda: call(
            service.port, "POST", "/notes", b"note-17", {"Idempotency-Key": "k"}
        )
        service.fault(refuse=1)
        self.assertEqual(post().headers["x-not-run"], "1")
        for fault, effects in (("die_before_effect", 0), ("die_after_effect", 1)):
            service.fault(**{fault: 1})
            self.assertRaises(EOFError, post)
            self.assertEqual(service.record()["by_body"].get("note-17", 0), effects)
        self.assertEqual(post().json()["path"], "/notes")
        self.assertEqual(service.record()["by_key"], {"k": 2})


class TestStore(FakeCase):
    def put(self, store, value, expect, lease=None):
        body = {"value": value, "expect": expect, "lease": lease}
        return call_json(store.port, "PUT", "/kv/config/now", body)

    def test_writes_need_expected_version_and_leases_expire(self):
        store = self.start("store")
        lease = call_json(store.port, "POST", "/leases", {"ttl": 1})[1]["lease"]
        self.assertEqual(self.put(store, "a", 0, lease), (200, {"version": 1}))
        self.assertEqual(self.put(store, "b", 0)[0], 409)
        poll(lambda: call_json(store.port, "GET", "/kv/config/now")[0] == 404)
        renew = call_json(store.port, "POST", f"/leases/{lease}/renew")
        self.assertEqual(renew[0], 404)
        with Caller(store.port) as caller:
            caller.request("GET", "/watch?key=config/now&after=1&wait=9")
            self.assertEqual(self.put(store, "c", 0), (200, {"version": 2}))
            self.assertEqual(caller.read_answer().json(), {"value": "c", "version": 2})
        self.assertEqual(self.put(store, "x" * 1_000_001, 2)[0], 413)

    def test_faults_lose_answers_end_watches_and_limit_rates(self):
        store = self.start("store", "--writes", "3")
        store.fault(lose_answer=1)
        put = json.dumps({"value": "a", "expect": 0}).encode()
        with self.assertRaises(EOFError):
            call(store.port, "PUT", "/kv/config/now", put)
        self.assertEqual(store.record()["keys"], {"config/now": 1})
        with Caller(store.port) as caller:
            caller.request("GET", "/watch?key=config/now&after=1&wait=9")
            poll(lambda: store.record()["calls"]["reads"] == 1)
            store.fault(down=True)
            self.assertEqual(caller.read_answer().status, 503)
        store.fault(down=False)
        poll(lambda: self.put(store, "b", 9)[0] == 503)
        self.assertGreater(store.record()["calls"]["over_rate"], 0)


class TestCloud(FakeCase):
    def test_notices_arrive_at_once_and_the_list_lags(self):
        cloud = self.start("cloud", "--lag", "0.2")
        entry = {"name": "w1", "zone": "a", "port": 1}
        cloud.post("/-/instances", {"instances": [entry]})
        listed = lambda: cloud.get("/list")[1]["instances"]
        self.assertLessEqual(cloud.get("/list")[1]["as_of"], time.time() - 0.2)
        poll(listed)
        cloud.fault(list_frozen=True, refuse_starts=1)
        with Caller(cloud.port) as caller:
            caller.request("GET", "/notices?after=0&wait=9")
            cloud.post("/-/notice", {"zone": "a", "seconds": 0.1})
            notices = caller.read_answer().json()["notices"]
        self.assertEqual(notices[0]["instance"], "w1")
        poll(lambda: not cloud.record()["instances"])
        self.assertEqual(listed()[0]["state"], "live")
        cloud.fault(list_frozen=False)
        poll(lambda: not listed())
        buy = lambda: cloud.post("/instances", {"zone": "a", "request": "r1"})
        self.assertEqual(buy()[0], 503)
        self.assertEqual(buy(), buy())


class TestRelay(FakeCase):
    def test_cuts_silences_and_holds_connections(self):
        service = self.start("service")
        relay = self.start("relay", "--to", f"127.0.0.1:{service.port}")
        with Caller(relay.port) as old:
            self.assertEqual(old.call("GET", "/one").status, 200)
            old.sock.settimeout(0.2)
            relay.fault(silent=True)
            self.assertRaises(TimeoutError, old.call, "GET", "/two")
            self.assertEqual(call(relay.port, "GET", "/three").status, 200)
            self.assertRaises(TimeoutError, old.read_answer)
        with Caller(relay.port) as held:
            relay.fault(hold=True, delay=0.01)
            held.request("GET", "/four")
            relay.fault(hold=False)
            self.assertEqual(held.read_answer().status, 200)
            relay.fault(cut=True)
            self.assertRaises((EOFError, OSError), held.call, "GET", "/five")
        self.assertRaises(ConnectionRefusedError, Caller, relay.port)
        relay.fault(cut=False)
        self.assertEqual(call(relay.port, "GET", "/six").status, 200)
        paths = [recorded["path"] for recorded in service.record()["calls"]]
        self.assertEqual(paths, ["/one", "/three", "/four", "/six"])
