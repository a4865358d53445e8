"""Tests of sockets without free file descriptors and of silent network paths."""

import errno
import socket
import unittest
from unittest import mock

from chervilwing.models import Address
from chervilwing.sockets import (
    PATH_TIMEOUT_MS,
    StreamHandlers,
    Streams,
    set_path_timeout,
)

NO_DESCRIPTORS = OSError(errno.EMFILE, "too many open files")


class FailingListener:
    """A listening socket whose accept fails."""

    def accept(self):
        raise NO_DESCRIPTORS


class TestNoDescriptors(unittest.TestCase):
    def setUp(self):
        self.poller = mock.Mock()
        self.closed = []
        handlers = StreamHandlers(
            opened=lambda conn: None,
            received=lambda conn, data: None,
            closed=lambda conn, exc: self.closed.append((conn, exc)),
        )
        self.streams = Streams(self.poller, handlers, "test")

    def test_accept_without_descriptors_pauses_until_the_next_tick(self):
        # Callers open connections until no file descriptor is free. The listener stays
        # readable and accept fails, so the loop would spin instead of serving the open
        # connections.
        listener = self.streams._listener = FailingListener()
        self.streams.handle_ready(listener, True, False)
        watch = self.poller.watch
        watch.assert_called_with(self.streams, listener, reading=False, writing=False)
        self.streams._on_tick()
        watch.assert_called_with(self.streams, listener, reading=True, writing=False)

    def test_dial_without_descriptors_reports_a_failed_connection(self):
        # A request is sent while no file descriptor is free. It must be reported as a
        # failed connection that sent no byte; an exception would leave the caller
        # waiting.
        with mock.patch("socket.socket", side_effect=NO_DESCRIPTORS):
            conn = self.streams.dial(Address("127.0.0.1", 1))
        self.streams.send(conn, b"data")
        self.assertEqual((self.closed, conn.sent), ([], 0))
        self.streams._on_tick()
        self.assertEqual(self.closed, [(conn, NO_DESCRIPTORS)])


class TestPaths(unittest.TestCase):
    def test_dialled_connections_close_when_their_path_is_silent(self):
        # A network partition drops all packets without a reset. Without these options
        # the call would wait for its caller's whole deadline.
        with socket.socket() as sock:
            set_path_timeout(sock)
            read_option = lambda name: sock.getsockopt(socket.IPPROTO_TCP, name)
            self.assertEqual(read_option(socket.TCP_USER_TIMEOUT), PATH_TIMEOUT_MS)
            self.assertEqual(read_option(socket.TCP_KEEPIDLE), 1)
            self.assertTrue(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
