"""Tests of sockets: no file descriptor is left, a path has gone silent."""

import errno
import socket
import unittest
from unittest import mock

from chervilwing.models import Address
from chervilwing.sockets import (
    PATH_TIMEOUT_MS,
    StreamHandlers,
    Streams,
    watch_path,
)

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


class TestPaths(unittest.TestCase):
    def test_dialled_connections_end_when_their_path_is_silent(self):
        # A partition swallows what is sent and resets nothing: without these options
        # the call would wait for its caller's whole deadline.
        with socket.socket() as sock:
            watch_path(sock)
            get = lambda name: sock.getsockopt(socket.IPPROTO_TCP, name)
            self.assertEqual(get(socket.TCP_USER_TIMEOUT), PATH_TIMEOUT_MS)
            self.assertEqual(get(socket.TCP_KEEPIDLE), 1)
            self.assertTrue(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
