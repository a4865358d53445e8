"""Stop an instance as planned, without cutting a request."""

import time

from circuits.core import BaseComponent, handler

from .logs import log_event
from .planned_stops import QUIET_TIME

# Seconds before the deadline at which running requests are handed over to peers: time
# for three offers of half a second. Later they could be lost; earlier, some would be
# moved that could still finish.
HAND_OVER_LEAD = 1.5


class Drain(BaseComponent):
    """Stop one instance without cutting a request.

    A balancer keeps sending requests for a while after ``/-/ready`` has failed, so the
    listener stays open for ``drain_lag`` seconds; if it closed at once, those requests
    would be refused. Then the listener closes, and the process ends when no request is
    left.
    """

    channel = "drain"

    def __init__(self, cfg, dispatcher, web, claimant, leave, reconnects):
        super().__init__()
        self._cfg = cfg
        self._dispatch = dispatcher
        self._web = web
        self._claimant = claimant
        self._leave = leave
        self._reconnects = reconnects
        self._began = None
        self._deadline = float("inf")

    def begin(self, deadline=0.0):
        """Start the planned stop; a further call can only make its deadline earlier.

        ``deadline`` is in Unix seconds, 0 when it is unknown.
        """
        now = time.monotonic()
        if deadline:
            self._deadline = min(self._deadline, now + max(0.0, deadline - time.time()))
        if self._began is not None:
            return
        self._began = now
        self._deadline = min(self._deadline, now + self._cfg.drain_timeout)
        self._dispatch.draining = True
        self._web.stopping = True
        self._leave()
        log_event("draining", in_flight=len(self._dispatch.sessions))

    @handler("tick", channel="*")
    def _on_tick(self):
        if self._began is None:
            return
        now = time.monotonic()
        if now > self._deadline - HAND_OVER_LEAD:
            self._reconnects.hand_over()
        waited = now - self._began
        if waited < self._cfg.drain_lag:
            return
        self._web.stop_listening()
        if waited >= self._cfg.drain_lag + QUIET_TIME:
            self._web.close_idle()
        if self._is_empty() or waited > self._cfg.drain_timeout:
            log_event("stopped", cut=self._web.count())
            self.root.stop()

    def _is_empty(self):
        """Return whether nothing is left to do.

        Once no request is in flight, answers that their callers haven't read are handed
        over to peers.
        """
        # The outcome of a keyed call is stored shortly after its answer. If the process
        # ended between the two, the outcome would stay unknown.
        busy = self._dispatch.sessions or not self._claimant.is_idle()
        if self._web.count() or busy:
            return False
        self._reconnects.hand_over()
        return not self._reconnects.busy
