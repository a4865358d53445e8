"""Tests of KV caches on their way between engines: what is held, and what is not."""

import unittest

from chervilwing.caches import BLOB_LIMIT, HeldCaches, submit_bounded
from chervilwing.connections import Call, Client
from chervilwing.models import Address
from tests.procs import HOST
from tests.upstreams import Loop, RawUpstream


def make_cache(size):
    """Return a cache of so many bytes."""
    return {"handle": "h", "blob": "x" * size, "tokens": 1}


class TestHeldCaches(unittest.TestCase):
    def test_a_wave_of_moves_holds_no_more_than_the_limit(self):
        # A data centre is reclaimed and hundreds of requests export at once. Held
        # without a bound, the caches take the instance's memory and it is killed.
        held = HeldCaches(limit=100)
        for number in range(50):
            held.put(f"r{number}", make_cache(30))
        self.assertEqual(held.size, 90)
        self.assertTrue(held.full)
        for number in range(50):
            held.drop(f"r{number}")
        self.assertEqual(held.size, 0)

    def test_a_second_cache_takes_the_place_of_the_first(self):
        held = HeldCaches(limit=100)
        for size in (60, 50, 101):
            held.put("r", make_cache(size))
        self.assertEqual((held.get("r"), held.size), (None, 0))


class TestBoundedCall(unittest.TestCase):
    def test_an_endless_cache_counts_as_none(self):
        # An engine sends a cache of gigabytes. The instance must neither hold it nor
        # wait for its end: the request goes on from its tokens.
        block = b"x" * 65536

        def send(conn, method, path, body):
            engine.send(conn, b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")
            while True:
                engine.send(conn, block)

        engine = RawUpstream(send)
        self.addCleanup(engine.close)
        loop = Loop()
        client = Client(loop.poller).register(loop.root)
        call = Call(Address(HOST, engine.port), "POST", "/v1/kv/export", {})
        replies = []
        submit_bounded(client, call, lambda *reply: replies.append(reply))
        loop.run_until(lambda: replies)
        self.assertEqual((replies, client.count()), ([(0, b"")], 0))
        self.assertLess(engine.sent, 2 * BLOB_LIMIT)
