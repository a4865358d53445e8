"""Tests of the transfer of KV caches between engines."""

import threading
import unittest

from chervilwing.caches import MAX_CACHE_BYTES, CacheBuffer, submit_bounded
from chervilwing.connections import Call, Client
from chervilwing.models import Address
from tests.procs import HOST
from tests.upstreams import Loop, RawUpstream


def make_cache(size):
    """Return a cache of ``size`` bytes."""
    return {"handle": "h", "blob": "x" * size, "tokens": 1}


class TestCacheBuffer(unittest.TestCase):
    def test_size_stays_within_the_limit_when_many_requests_move(self):
        # When a data centre is reclaimed, hundreds of caches are exported at once.
        # Without a limit they would fill the instance's memory, and it would be killed.
        buffer = CacheBuffer(limit=100)
        for number in range(50):
            buffer.put(f"r{number}", make_cache(30))
        self.assertEqual(buffer.size, 90)
        self.assertTrue(buffer.full)
        for number in range(50):
            buffer.drop(f"r{number}")
        self.assertEqual(buffer.size, 0)

    def test_put_replaces_the_earlier_cache(self):
        buffer = CacheBuffer(limit=100)
        for size in (60, 50, 101):
            buffer.put("r", make_cache(size))
        self.assertEqual((buffer.get("r"), buffer.size), (None, 0))


class TestBoundedCall(unittest.TestCase):
    def check_call_fails(self, script, limit):
        """Check that a call ends by itself with status 0 and no body."""
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

    def test_a_cache_beyond_the_size_limit_is_dropped(self):
        # An engine sends a cache of gigabytes. The instance must neither buffer it nor
        # wait for its end; the request is resumed from its tokens.
        def send(engine, conn, method, path, body):
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")
            while True:
                engine.send(conn, b"x" * 65536)

        engine = self.check_call_fails(send, 60.0)
        self.assertLess(engine.sent, 2 * MAX_CACHE_BYTES)

    def test_a_cache_sent_too_slowly_is_dropped(self):
        # An engine on a failing machine sends single bytes. It never reaches the
        # silence timeout and would block the request until the engine is reclaimed.
        done = threading.Event()
        self.addCleanup(done.set)

        def send(engine, conn, method, path, body):
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
            while not done.wait(0.02):
                conn.sendall(b"x")

        self.check_call_fails(send, 0.3)
