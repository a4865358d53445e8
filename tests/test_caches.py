"""Tests of KV caches on their way between engines: what is held, and what is not."""

import threading
import unittest

from chervilwing.caches import MAX_CACHE_BYTES, CacheBuffer, submit_bounded
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
        held = CacheBuffer(limit=100)
        for number in range(50):
            held.put(f"r{number}", make_cache(30))
        self.assertEqual(held.size, 90)
        self.assertTrue(held.full)
        for number in range(50):
            held.drop(f"r{number}")
        self.assertEqual(held.size, 0)

    def test_a_second_cache_takes_the_place_of_the_first(self):
        held = CacheBuffer(limit=100)
        for size in (60, 50, 101):
            held.put("r", make_cache(size))
        self.assertEqual((held.get("r"), held.size), (None, 0))


class TestBoundedCall(unittest.TestCase):
    def check_given_up(self, script, limit):
        """Check that a call to such an engine ends by itself, as one without answer."""
        engine = RawUpstream(lambda *request: script(engine, *request))
        self.addCleanup(engine.close)
        loop = Loop()
        client = Client(loop.poller).register(loop.root)
        address = Address(HOST, engine.port)
        call = Call(address, "POST", "/v1/kv/export", {}, silence_timeout=limit)
        replies = []
        submit_bounded(client, call, lambda *reply: replies.append(reply))
        loop.run_until(lambda: replies)
        self.assertEqual((replies, client.count()), ([(0, b"")], 0))
        return engine

    def test_an_endless_cache_counts_as_none(self):
        # An engine sends a cache of gigabytes. The instance must neither hold it nor
        # wait for its end: the request goes on from its tokens.
        def send(engine, conn, method, path, body):
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")
            while True:
                engine.send(conn, b"x" * 65536)

        engine = self.check_given_up(send, 60.0)
        self.assertLess(engine.sent, 2 * MAX_CACHE_BYTES)

    def test_a_cache_that_comes_byte_by_byte_counts_as_none(self):
        # An engine on a dying machine sends a byte now and then. Never silent for long
        # enough, it would hold the request until the instance is gone.
        done = threading.Event()
        self.addCleanup(done.set)

        def send(engine, conn, method, path, body):
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
            while not done.wait(0.02):
                conn.sendall(b"x")

        self.check_given_up(send, 0.3)
