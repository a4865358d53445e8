"""Connections that wait for the share of time for bulk work."""

import time

from circuits import Timer
from circuits.core import BaseComponent, handler

from .ticks import serve_bulk

# Seconds between two times at which waiting connections are served.
INTERVAL = 0.005


class BulkQueue(BaseComponent):
    """Call ``serve(conn)`` for waiting connections, in order, while time is left."""

    channel = "bulk"

    def __init__(self, bulk_time, serve, channel):
        super().__init__(channel=channel)
        self._bulk_time = bulk_time
        self._serve = serve
        self._conns = {}
        self._scheduled = False

    def is_waiting(self, conn):
        """Return whether a connection waits."""
        return conn in self._conns

    def add(self, conn):
        """Let a connection wait, at the end of the queue."""
        self._conns[conn] = None
        self._schedule()

    def discard(self, conn):
        """Let a connection wait no longer."""
        self._conns.pop(conn, None)

    def _schedule(self):
        if not self._scheduled:
            self._scheduled = True
            Timer(INTERVAL, serve_bulk(), self.channel).register(self)

    @handler("serve_bulk")
    def _on_serve_bulk(self):
        self._scheduled = False
        self._bulk_time.refill(time.monotonic())
        count = self._bulk_time.count_pieces()
        # Bytes to discard are read last: their callers already have their answers.
        for conn in sorted(self._conns, key=lambda conn: conn.closing)[:count]:
            # The handling of another one may have closed it.
            if conn in self._conns:
                self._serve_one(conn)
        if self._conns:
            self._schedule()

    def _serve_one(self, conn):
        del self._conns[conn]
        began = time.monotonic()
        self._serve(conn)
        self._bulk_time.spend(time.monotonic() - began)
