"""Tests of sockets without free file descriptors and of silent network paths."""

import errno
import socket
import unittest
from unittest import mock

from chervilwing.models import Address
from chervilwing.sockets import (
    KEEPALIVE_PROBES,
    KEEPALIVE_SECONDS,
    PATH_TIMEOUT_MS,
    StreamHandlers,
    Streams,
    set_path_timeout,
)
from tests.partitions import BlackHole
from tests.upstreams import Loop

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
        watch.assert_called_with(self.streams, listener, False, False, False)
        self.streams._on_tick()
        watch.assert_called_with(self.streams, listener, True, False, False)

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


def find_end_of_probing(silent_from):
    """Return when Linux closes an idle connection whose peer fell silent.

    Times are seconds since the last data; a peer that still answers acknowledges each
    probe, which counts like data. Linux gives up at the first probe that is due when
    nothing came for TCP_USER_TIMEOUT and a probe has gone unanswered.
    """
    heard_at, unanswered, now = 0.0, 0, float(KEEPALIVE_SECONDS)
    while True:
        if unanswered and now - heard_at >= PATH_TIMEOUT_MS / 1000:
            return now
        if now < silent_from:
            heard_at = now
        else:
            unanswered += 1
        now += KEEPALIVE_SECONDS


class TestSilence(unittest.TestCase):
    def test_a_silence_of_two_seconds_closes_no_connection(self):
        # Guards against requests lost to an upstream that stands still for a second,
        # where the user timeout counts from data before that.
        for tenths in range(100):
            silent_from = tenths / 10
            ended = find_end_of_probing(silent_from)
            self.assertGreater(ended - silent_from, 1.99)
            self.assertLessEqual(ended - silent_from, 4.0)

    def test_probes_and_the_user_timeout_give_up_at_the_same_time(self):
        probing = KEEPALIVE_SECONDS * (1 + KEEPALIVE_PROBES)
        self.assertEqual(PATH_TIMEOUT_MS, 1000 * probing)

    def test_the_user_timeout_ends_a_connection_that_does_not_open(self):
        # By default the kernel tries for two minutes.
        hole = BlackHole()
        self.addCleanup(hole.close)
        host, _, port = hole.address.partition(":")
        closed, loop = [], Loop()
        handlers = StreamHandlers(
            opened=closed.append,
            received=lambda conn, data: None,
            closed=lambda conn, exc: closed.append(exc.errno),
        )
        streams = Streams(loop.poller, handlers, "test").register(loop.root)
        with mock.patch("chervilwing.sockets.PATH_TIMEOUT_MS", 300):
            streams.dial(Address(host, int(port)))
        loop.run_until(lambda: closed)
        self.assertEqual(closed, [errno.ETIMEDOUT])


class TestPaths(unittest.TestCase):
    def test_dialled_connections_close_when_their_path_is_silent(self):
        # A network partition drops all packets without a reset. Without these options
        # the call would wait for its caller's whole deadline.
        with socket.socket() as sock:
            set_path_timeout(sock)
            read_option = lambda name: sock.getsockopt(socket.IPPROTO_TCP, name)
            self.assertEqual(read_option(socket.TCP_USER_TIMEOUT), PATH_TIMEOUT_MS)
            self.assertEqual(read_option(socket.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
            self.assertEqual(read_option(socket.TCP_KEEPINTVL), KEEPALIVE_SECONDS)
            self.assertEqual(read_option(socket.TCP_KEEPCNT), KEEPALIVE_PROBES)
            self.assertTrue(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
