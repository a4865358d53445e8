"""A planned stop: not ready at once, no request cut, then the end."""

import time

from circuits.core import BaseComponent, handler

from .logs import log_event

# Seconds before the end at which what still runs goes to a peer. Harm: handed over too
# late it is lost, too early it is moved for nothing. Three offers of half a second.
HAND_OVER_LEAD = 1.5


class Drain(BaseComponent):
    """Stop one instance without cutting a request.

    The balancer lags: it goes on sending for a while after ``/-/ready`` says no. The
    listener stays open for that long; closed at once it would refuse callers that the
    balancer still sends here. After that the listener closes, what is in flight ends,
    and the process with it.
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
        self._until = float("inf")

    def begin(self, deadline=0.0):
        """Start the planned stop; a second call can only bring the end nearer.

        ``deadline`` is in Unix seconds, 0 when nobody has said it.
        """
        now = time.monotonic()
        if deadline:
            self._until = min(self._until, now + max(0.0, deadline - time.time()))
        if self._began is not None:
            return
        self._began = now
        self._until = min(self._until, now + self._cfg.drain_timeout)
        self._dispatch.draining = True
        self._leave()
        log_event("draining", in_flight=len(self._dispatch.sessions))

    @handler("tick", channel="*")
    def _on_tick(self):
        if self._began is None:
            return
        now = time.monotonic()
        if now > self._until - HAND_OVER_LEAD:
            self._reconnects.hand_over()
        waited = now - self._began
        if waited < self._cfg.drain_lag:
            return
        if not self._web.stopping:
            self._web.stop_listening()
        if self._is_empty() or waited > self._cfg.drain_timeout:
            log_event("stopped", cut=self._web.count())
            self.root.stop()

    def _is_empty(self):
        """Tell whether nothing is left to do here.

        What a caller has lost its connection to and not read yet goes to a peer first.
        """
        # Guard: outcomes of keyed calls are written a little after their answers; an
        # end between the two would leave their keys unknown for ever.
        busy = self._dispatch.sessions or not self._claimant.is_idle()
        if self._web.count() or busy:
            return False
        self._reconnects.hand_over()
        return not self._reconnects.busy
