"""A planned stop: not ready at once, no request cut, then the end."""

import time

from circuits.core import BaseComponent, handler

from .logs import log_event


class Drain(BaseComponent):
    """Stop one instance without cutting a request.

    The balancer lags: it goes on sending for a while after ``/-/ready`` says no. The
    listener stays open for that long; closed at once it would refuse callers that the
    balancer still sends here. After that the listener closes, what is in flight ends,
    and the process with it.
    """

    channel = "drain"

    def __init__(self, cfg, dispatcher, web, claimant, leave):
        super().__init__()
        self._cfg = cfg
        self._dispatch = dispatcher
        self._web = web
        self._claimant = claimant
        self._leave = leave
        self._began = None

    def begin(self):
        """Start the planned stop; a second call changes nothing."""
        if self._began is not None:
            return
        self._began = time.monotonic()
        self._dispatch.draining = True
        self._leave()
        log_event("draining", in_flight=len(self._dispatch.sessions))

    @handler("tick", channel="*")
    def _on_tick(self):
        if self._began is None:
            return
        waited = time.monotonic() - self._began
        if waited < self._cfg.drain_lag:
            return
        if not self._web.stopping:
            self._web.stop_listening()
        # Guard: outcomes of keyed calls are written a little after their answers; an
        # end between the two would leave their keys unknown for ever.
        done = self._web.count() == 0 and self._claimant.is_idle()
        if done or waited > self._cfg.drain_timeout:
            log_event("stopped", cut=self._web.count())
            self.root.stop()
