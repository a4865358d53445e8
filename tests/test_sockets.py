"""Tests of sockets when the process has no file descriptor left."""

import errno
import unittest
from unittest import mock

from chervilwing.models import Address
from chervilwing.sockets import StreamHandlers, Streams

NO_FILES = OSError(errno.EMFILE, "too many open files")


class Listener:
    """A listening socket whose accept fails."""

    def accept(self):
        raise NO_FILES


class TestOutOfFiles(unittest.TestCase):
    def setUp(self):
        self.poller = mock.Mock()
        self.closed = []
        handlers = StreamHandlers(
            opened=lambda conn: None,
            received=lambda conn, data: None,
            closed=lambda conn, exc: self.closed.append((conn, exc)),
        )
        self.streams = Streams(self.poller, handlers, "test")

    def test_a_listener_without_descriptors_waits_for_the_next_tick(self):
        # Callers open connections until no descriptor is left. The listener stays
        # readable, accept fails, and the loop would spin instead of serving those it
        # has.
        listener = self.streams._listener = Listener()
        self.streams.handle_ready(listener, True, False)
        watch = self.poller.watch
        watch.assert_called_with(self.streams, listener, reading=False, writing=False)
        self.streams._on_tick()
        watch.assert_called_with(self.streams, listener, reading=True, writing=False)

    def test_a_dial_without_descriptors_is_a_failed_connection(self):
        # A request is placed while no descriptor is left. The failure is told as that
        # of a connection that took no byte; raised, it would leave the caller waiting.
        with mock.patch("socket.socket", side_effect=NO_FILES):
            conn = self.streams.dial(Address("127.0.0.1", 1))
        self.streams.send(conn, b"data")
        self.assertEqual((self.closed, conn.sent), ([], 0))
        self.streams._on_tick()
        self.assertEqual(self.closed, [(conn, NO_FILES)])
