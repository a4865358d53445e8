"""An epoll poller that calls the owner of a ready socket instead of firing events."""

import select
import time

from circuits.core.pollers import EPoll

CLOSED_EVENTS = select.EPOLLHUP | select.EPOLLERR
# Ready sockets handled before timers and other events have their turn.
MAX_READY = 128
# Seconds between two looks for urgent sockets while others are handled.
URGENT_INTERVAL = 0.01


class DirectPoller(EPoll):
    """Call ``handle_ready(sock, readable, writable)`` on a socket's owner.

    circuits' poller fires an event for each ready socket, which takes 20 us of
    processor time (bench/path.py). A node passes 9,400 tokens a second, and each makes
    a socket ready. The timers, the event loop and all other events remain circuits'.

    Urgent sockets don't wait until all other ready ones have been handled.
    """

    def __init__(self):
        super().__init__()
        self._owners = {}
        self._urgent_poller = None
        self._urgent = set()
        # Called with the times at which each wait for events began and ended.
        self.on_wait = lambda began, ended: None

    def watch(self, owner, sock, reading, writing, urgent=False):
        """Call ``owner`` when ``sock`` is ready; replace an earlier watch on it."""
        mask = (select.EPOLLIN if reading else 0) | (select.EPOLLOUT if writing else 0)
        fileno = sock.fileno()
        if fileno in self._owners:
            self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
        self._owners[fileno] = (owner, sock)
        if urgent:
            self._watch_urgent(fileno, mask)

    def _watch_urgent(self, fileno, mask):
        if self._urgent_poller is None:
            self._urgent_poller = select.epoll()
        if fileno in self._urgent:
            self._urgent_poller.modify(fileno, mask)
            return
        self._urgent_poller.register(fileno, mask)
        self._urgent.add(fileno)

    def unwatch(self, sock):
        """Stop watching a socket; must be called before it is closed."""
        fileno = sock.fileno()
        if self._owners.pop(fileno, None) is not None:
            self._poller.unregister(fileno)
        if fileno in self._urgent:
            self._urgent.remove(fileno)
            self._urgent_poller.unregister(fileno)

    def _generate_events(self, event):
        timeout = event.time_left
        began = time.monotonic()
        ready = self._poller.poll(None if timeout < 0 else timeout, MAX_READY)
        ended = time.monotonic()
        self.on_wait(began, ended)
        urgent_at = ended + URGENT_INTERVAL
        for fileno, mask in ready:
            self._process(fileno, mask)
            if self._urgent and time.monotonic() >= urgent_at:
                self._process_urgent()
                urgent_at = time.monotonic() + URGENT_INTERVAL

    def _process_urgent(self):
        for fileno, mask in self._urgent_poller.poll(0):
            self._process(fileno, mask)

    def _process(self, fileno, event):
        found = self._owners.get(fileno)
        if found is None:
            super()._process(fileno, event)
            return
        owner, sock = found
        closed = event & CLOSED_EVENTS
        owner.handle_ready(
            sock, event & select.EPOLLIN or closed, event & select.EPOLLOUT or closed
        )
