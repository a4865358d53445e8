"""Tests of what an instance remembers, infers and is told of streams."""

import unittest
from types import SimpleNamespace

from chervilwing.exceptions import BadConfiguration
from chervilwing.instance_records import Peer
from chervilwing.models import Address
from chervilwing.routing import STREAM, Route, Target
from chervilwing.stream_exchange import FOUND, SOUGHT, TOLD, StreamExchange
from chervilwing.stream_versions import (
    MAX_ASKED,
    MAX_STREAMS,
    Origin,
    StreamVersions,
    Witnesses,
    decode_origin,
    encode_origin,
    get_life,
    make_key,
)

OLD, NEW = Origin("web", "v1"), Origin("web", "v2")
ROUTE = Route("q", "h", "/", STREAM, (Target("web"),), time_limit=4.0, resumable=True)
LIFE = get_life(ROUTE)


class TestStreamVersions(unittest.TestCase):
    def setUp(self):
        self.registered = {"web": frozenset({"v1"})}
        self.streams = StreamVersions(lambda pool: self.registered.get(pool, ()))
        self.streams.configure((ROUTE,), 0.0)

    def test_two_origins_of_one_stream_are_not_believed(self):
        # Guards against a late or false word that decides where a stream goes on.
        for first, second in ((OLD, NEW), (NEW, OLD)):
            self.streams.record("s", first, 10.0)
            self.streams.record("s", second, 10.0)
            self.assertIsNone(self.streams.find("s", 1.0))

    def test_a_stream_is_forgotten_after_its_life(self):
        # Guards against state that is never dropped.
        self.streams.record("s", OLD, 8.0)
        self.assertEqual(self.streams.find("s", 7.9), OLD)
        self.assertIsNone(self.streams.find("s", 8.0))
        self.streams.expire(8.0)
        self.assertEqual(len(self.streams), 0)
        for number in range(MAX_STREAMS + 5):
            self.streams.record_begun(str(number), OLD, 8.0)
        self.assertEqual(len(self.streams), MAX_STREAMS)
        self.streams.expire(9.0)
        self.assertFalse(self.streams.has_untold)

    def test_only_a_version_without_alternative_is_inferred(self):
        # Guards against a guess.
        infer = lambda now=100.0: self.streams.infer(ROUTE, now)
        self.assertEqual(infer(), OLD)
        self.streams.put_stored(make_key(NEW), NEW)
        self.assertIsNone(infer())
        self.streams.put_stored(make_key(NEW), None)
        self.assertEqual(infer(), OLD)
        self.streams.are_fresh = lambda: False
        self.assertIsNone(infer())
        self.streams.are_fresh = lambda: True
        self.registered["web"] = frozenset()
        self.assertIsNone(infer())

    def test_a_version_that_was_registered_stays_possible(self):
        self.streams.observe((ROUTE,), 10.0)
        self.registered["web"] = frozenset({"v2"})
        self.streams.observe((ROUTE,), 11.0)
        self.assertIsNone(self.streams.infer(ROUTE, 10.0 + LIFE - 0.1))
        self.streams.expire(10.0 + LIFE)
        self.assertEqual(self.streams.infer(ROUTE, 10.0 + LIFE), NEW)

    def test_a_route_that_led_to_another_pool_allows_no_inference(self):
        # Guards against a stream that goes on at another service.
        moved = ROUTE._replace(targets=(Target("new"),))
        split = ROUTE._replace(targets=(Target("new"), Target("web")))
        self.registered["new"] = frozenset({"v1"})
        self.streams.configure((moved,), 10.0)
        self.assertIsNone(self.streams.infer(moved, 10.0 + LIFE - 0.1))
        self.assertEqual(self.streams.infer(moved, 10.0 + LIFE), Origin("new", "v1"))
        self.streams.configure((split,), 30.0)
        self.assertIsNone(self.streams.infer(split, 100.0))

    def test_stored_versions_are_read_as_written_and_others_refused(self):
        self.assertEqual(decode_origin("k", encode_origin(OLD)), OLD)
        for data in (b"", b"1", b'["web"]', b'["web", 1]', b"\xff"):
            with self.assertRaises(BadConfiguration):
                decode_origin("k", data)


class TestWitnesses(unittest.TestCase):
    def test_whoever_is_told_is_asked(self):
        # Guards against instances that ask others than those that were told.
        for size in (2, 3, 9, 320):
            centres = {f"i{number}": "abc"[number % 3] for number in range(size)}
            witnesses = Witnesses(centres)
            missed = 0
            for number in range(300):
                teller = f"i{number % size}"
                told = witnesses.list_told(f"s{number}", teller)
                asked = witnesses.list_asked(f"s{number}")
                self.assertNotIn(teller, told)
                self.assertEqual(len(told), min(2, size - 1))
                self.assertLessEqual(len(asked), MAX_ASKED + 2)
                missed += len(set(told) - set(asked))
                if size > 3:
                    self.assertEqual(len({centres[name] for name in told}), 2)
            self.assertLessEqual(missed, 6, size)


class TestDatagrams(unittest.TestCase):
    def setUp(self):
        self.streams = StreamVersions(lambda pool: {"v1", "v2"})
        self.sent = []
        self.peer = Address("10.0.0.2", 1)
        coordinator = SimpleNamespace(
            peers={"two": Peer(self.peer, "b", 1.0)}, peers_version=1
        )
        datagrams = SimpleNamespace(
            subscribe=lambda *args: None, send=lambda *args: self.sent.append(args)
        )
        gateway = SimpleNamespace(
            resumptions=SimpleNamespace(streams=self.streams), table=None
        )
        cfg = SimpleNamespace(name="one", data_centre="a")
        self.exchange = StreamExchange(cfg, datagrams, coordinator, gateway)
        self.exchange._on_tick()

    def test_only_instances_are_believed_and_answered(self):
        # Guards against anybody who reaches the port.
        stranger = Address("10.0.0.9", 1)
        row = ("s", "web", "v1", 5.0)
        self.exchange._receive_told(stranger, [row])
        self.assertEqual(len(self.streams), 0)
        for seconds in (float("nan"), float("inf"), -1.0, 1e9):
            self.exchange._receive_told(self.peer, [("t", "web", "v1", seconds)])
        self.assertEqual(len(self.streams), 0)
        self.exchange._receive_told(self.peer, [row])
        self.assertEqual(len(self.streams), 1)
        self.exchange._receive_sought(stranger, 7, "s")
        self.assertEqual(self.sent, [])
        self.exchange._receive_sought(self.peer, 7, "s")
        self.assertEqual(self.sent, [(FOUND, (7, "web", "v1"), self.peer)])

    def test_a_reply_counts_once_and_from_whom_was_asked(self):
        # Guards against made-up, late and repeated replies.
        found = []
        self.exchange._gateway.resume_stream = lambda *args: found.append(args[1])
        demand = SimpleNamespace(resumes="r", request_id="r2")
        relay = SimpleNamespace(demand=demand, stream="s", ended=False)
        self.assertTrue(self.exchange._seek(relay, 0.0))
        ((kind, (number, stream), _),) = self.sent
        self.assertEqual((kind, stream), (SOUGHT, "s"))
        stranger = Address("10.0.0.9", 1)
        self.exchange._receive_found(stranger, number, "web", "v2")
        self.exchange._receive_found(self.peer, number + 1, "web", "v2")
        self.assertEqual(found, [])
        for _ in range(2):
            self.exchange._receive_found(self.peer, number, "web", "v1")
        self.assertEqual(found, [OLD])

    def test_streams_are_told_of_once_and_only_if_somebody_listens(self):
        self.streams.record_begun("s", OLD, 50.0)
        self.exchange._tell(0.0)
        self.exchange._tell(0.0)
        (kind, (rows,), address) = self.sent.pop()
        self.assertEqual((kind, address, self.sent), (TOLD, self.peer, []))
        self.assertEqual(rows, [("s", *OLD, 50.0)])
        self.exchange._addresses = frozenset()
        self.streams.record_begun("t", OLD, 50.0)
        self.exchange._tell(0.0)
        self.assertTrue(self.streams.has_untold)


if __name__ == "__main__":
    unittest.main()
