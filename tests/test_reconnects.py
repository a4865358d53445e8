"""Tests of callers that reconnect: the answers they get and the limits on them."""

import unittest

from tests.deployments import AUTHORISED, OTHER, Deployment, complete
from tests.fakes.tokens import expected_tokens
from tests.procs import HOST, Caller, call, poll
from tests.resuming import PATH, Reader

# Factor by which the engine is slowed down.
SLOW = 100
MAX_KEPT_BYTES = 2000
# Long ids make long events, so that fewer events fill the kernel's buffers.
LONG_NAME = "entry-" + "x" * 58
LONG_ID = "r" * 64


class ReconnectCase(unittest.TestCase):
    options = ()
    names = ("one",)

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment()
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start_upstreams(1, 1, ("--token-time", "0.001"))
        start = cls.deployment.start_entry
        cls.entries = [
            start(name, *cls.options, data_centre=name[0]) for name in cls.names
        ]
        cls.port = cls.entries[0].port
        (cls.engine,), _ = cls.deployment.upstreams

    def setUp(self):
        self.engine.fault(slow=1)

    def count_attempts(self, prompt):
        rows = self.engine.record()["attempts"]
        return sum(row["prompt"] == prompt for row in rows)

    def give_notice(self, entry):
        """Give the instance a-one notice that it is reclaimed in 1 s."""
        row = {"name": "a-one", "role": "entry", "data_centre": "a", "zone": "a"}
        row |= {"host": HOST, "port": entry.port}
        cloud = self.deployment.cloud
        self.assertEqual(cloud.post("/-/instances", {"instances": [row]})[0], 200)
        notice = {"name": "a-one", "seconds": 1}
        self.assertEqual(cloud.post("/-/notice", notice)[0], 200)

    def wait_idle(self, entry):
        poll(lambda: entry.get("/-/status")[1]["in_flight"] == 0)


class TestSameInstance(ReconnectCase):
    def test_a_complete_answer_is_repeated_byte_for_byte(self):
        # The last bytes of an answer are lost between balancer and caller, after the
        # instance has sent them. A reconnect must get exactly the same answer.
        headers = {"X-Request-Id": "memo-1"}
        first = complete(self.entries[0], "whole", headers=headers)
        again = complete(self.entries[0], "whole", headers=headers)
        self.assertEqual((first.status, first.body), (200, again.body))
        self.assertEqual(self.count_attempts("whole"), 1)

    def test_an_id_reused_by_another_request_or_customer_is_separate(self):
        headers = {"X-Request-Id": "memo-2"}
        for prompt, count, key in (
            ("mine", 8, AUTHORISED),
            ("mine", 9, AUTHORISED),
            ("other", 8, AUTHORISED),
            ("mine", 8, OTHER),
        ):
            answer = complete(self.entries[0], prompt, count, headers=headers | key)
            text = "".join(expected_tokens("memo", prompt, count))
            self.assertEqual(answer.json()["choices"][0]["text"], text)
        self.assertEqual(self.count_attempts("mine"), 3)

    def test_a_reader_misses_no_event_wherever_it_stopped(self):
        text = "".join(expected_tokens("memo", "events", 8))
        for last in (None, "", "/0", "/5", "/7"):
            with self.subTest(last=last):
                reader = Reader("stream-1", "events", 8, True)
                reader.last = None if last is None else f"stream-1{last}"
                reader.connect(self.port)
                poll(lambda reader=reader: reader.ended)
                self.assertTrue(reader.whole)
                after = int(last[1:]) if last else -1
                self.assertEqual(reader.indexes, list(range(after + 1, 8)))
                self.assertTrue(text.endswith(reader.text))
        self.assertEqual(self.count_attempts("events"), 1)

    def test_an_unsent_or_malformed_event_id_is_refused(self):
        complete(self.entries[0], "short", headers={"X-Request-Id": "s-9"}, stream=True)
        body = {"model": "memo", "prompt": "short", "max_tokens": 8, "stream": True}
        for last, status in (
            ("s-9/8", 410),
            ("s-9/999999999999", 410),
            ("s-9/" + "9" * 6000, 410),
            ("s-9/-1", 400),
            ("s-9/x", 400),
            ("s-9/1/2", 400),
            ("s-8/1", 400),
            ("", 400),
        ):
            with self.subTest(last=last[:20]):
                headers = {"X-Request-Id": "s-9", "Last-Event-ID": last}
                answer = call(self.port, "POST", PATH, body, AUTHORISED | headers)
                self.assertEqual(answer.status, status, answer.body)

    def test_a_reconnect_moves_the_stream_to_the_new_connection(self):
        # The balancer opens a new connection for a reader and keeps the old one open.
        # The rest must be sent on the new one only, and the old one must not end
        # normally.
        self.engine.fault(slow=SLOW)
        old = Reader("stream-2", "twice", 30, True)
        old.connect(self.port)
        poll(lambda: len(old.tokens) > 3)
        new = Reader("stream-2", "twice", 30, True)
        new.last = old.last
        new.connect(self.port)
        poll(lambda: old.ended)
        self.engine.fault(slow=1)
        poll(lambda: new.ended)
        self.assertEqual((old.whole, new.whole), (False, True))
        self.assertEqual(new.indexes[-1], 29)
        self.assertEqual(self.count_attempts("twice"), 1)


class TestGrace(ReconnectCase):
    options = ("--reconnect-grace", "0.3", "--reconnect-bytes", str(MAX_KEPT_BYTES))

    def test_the_engine_is_freed_after_the_grace_period(self):
        self.engine.fault(slow=SLOW)
        for has_id in (True, False):
            with self.subTest(has_id=has_id), Caller(self.port) as caller:
                body = {"model": "memo", "prompt": "left", "max_tokens": 3000}
                headers = AUTHORISED | ({"X-Request-Id": "left"} if has_id else {})
                caller.request("POST", PATH, body | {"stream": True}, headers)
                caller.read_until(b"data: ")
            self.wait_idle(self.entries[0])
            self.assertEqual(self.engine.record()["attempts"][-1]["state"], "cancelled")

    def test_kept_answers_stay_within_the_limit(self):
        for number in range(20):
            headers = {"X-Request-Id": f"kept-{number}"}
            prompt = f"kept {number}" + "x" * 500
            complete(self.entries[0], prompt, headers=headers)
        for number, attempts in ((19, 1), (0, 2)):
            prompt = f"kept {number}" + "x" * 500
            complete(
                self.entries[0], prompt, headers={"X-Request-Id": f"kept-{number}"}
            )
            self.assertEqual(self.count_attempts(prompt), attempts)


class TestSlowReader(ReconnectCase):
    names = (LONG_NAME,)

    def test_the_engine_resumes_when_a_slow_reader_disconnects(self):
        # A phone stops reading and then loses its connection. Reading from the engine
        # was paused for it and must resume, so that the answer is complete at the
        # reconnect.
        self.engine.fault(slow=0)
        with Caller(self.port) as caller:
            body = {"model": "memo", "prompt": "phone", "max_tokens": 30_000}
            headers = AUTHORISED | {"X-Request-Id": LONG_ID}
            caller.request("POST", PATH, body | {"stream": True}, headers)
            caller.read_until(b"data: ")
            poll(lambda: self.engine.record()["attempts"][-1]["sent"] == 30_000)
            self.assertEqual(self.entries[0].get("/-/status")[1]["in_flight"], 1)
        self.wait_idle(self.entries[0])
        reader = Reader(LONG_ID, "phone", 30_000, True)
        reader.connect(self.port)
        poll(lambda: reader.ended, 30)
        self.assertTrue(reader.whole)
        self.assertEqual(reader.indexes, list(range(30_000)))
        self.assertEqual(self.count_attempts("phone"), 1)


class TestFullPeer(ReconnectCase):
    names = ("a-one", "b-two")
    options = ("--reconnect-bytes", "10")

    def test_a_request_that_no_peer_accepts_continues_where_it_is(self):
        # A data centre is reclaimed and the other one has no room for more states. A
        # refused request must continue as long as its own instance lives.
        one = self.entries[0]
        poll(lambda: one.get("/-/status")[1]["peers"]["members"] == 2)
        self.engine.fault(slow=SLOW)
        reader = Reader("plan", "full", 20, True)
        reader.connect(one.port)
        poll(lambda: reader.tokens)
        self.give_notice(one)
        poll(lambda: self.count_attempts("full") == 2)
        self.engine.fault(slow=1)
        poll(lambda: reader.ended)
        self.assertTrue(reader.whole)
        self.assertEqual(reader.indexes, list(range(20)))


class TestWithoutRequestId(ReconnectCase):
    names = ("a-one", "b-two")

    def test_a_stream_is_found_by_its_generated_id(self):
        # A caller that sends no request id still receives one with each event. When its
        # instance is reclaimed, it can reconnect with that id.
        one, two = self.entries
        poll(lambda: one.get("/-/status")[1]["peers"]["members"] == 2)
        self.engine.fault(slow=SLOW)
        reader = Reader("", "unnamed", 40, True)
        reader.connect(one.port)
        poll(lambda: len(reader.tokens) > 3)
        self.give_notice(one)
        poll(lambda: reader.ended)
        self.assertFalse(reader.whole)
        reader.request_id = reader.last.partition("/")[0]
        self.engine.fault(slow=1)
        reader.connect(two.port)
        poll(lambda: reader.ended)
        self.assertTrue(reader.whole)
        self.assertEqual(reader.indexes, list(range(40)))


class TestPlannedStop(ReconnectCase):
    names = ("a-one", "b-two")

    def test_an_unread_answer_is_handed_over_at_a_planned_stop(self):
        # The caller's connection breaks, the answer completes, and an operator stops
        # the instance within the grace period. The finished answer must not be lost.
        one, two = self.entries
        poll(lambda: one.get("/-/status")[1]["peers"]["members"] == 2)
        with Caller(one.port) as caller:
            self.engine.fault(slow=SLOW)
            body = {"model": "memo", "prompt": "unread", "max_tokens": 8}
            body["stream"] = False
            headers = AUTHORISED | {"X-Request-Id": "unread"}
            caller.request("POST", PATH, body, headers)
            poll(lambda: self.count_attempts("unread"))
        self.engine.fault(slow=1)
        self.wait_idle(one)
        self.assertEqual(one.terminate(), 0)
        answer = complete(two, "unread", headers=headers)
        text = "".join(expected_tokens("memo", "unread", 8))
        self.assertEqual(answer.json()["choices"][0]["text"], text)
        self.assertEqual(self.count_attempts("unread"), 1)
