"""The planned stop of a gateway: what is finished, refused and cut, and when."""

from math import inf

from .exceptions import NotReady

# Seconds after which a caller that reached a stopping instance may try another one.
STOPPING_RETRY_AFTER = 0.1
# Part of the time for a stop in which requests are accepted at most. The others need
# the rest.
MAX_LAG_PART = 1 / 3
# Parts of the time for a stop after which requests in flight are cut: first those whose
# callers don't read, then all. The process needs the rest to end before the platform
# kills it. Answers that only wait to be read keep the whole time.
CUT_UNREAD_PART = 0.9
CUT_PART = 0.95
# Seconds without a request after which the connections that are left are closed. A
# request that crosses a close gets no answer.
QUIET_TIME = 0.3


def make_stopping_error():
    """Return the error for a request that a stopping instance doesn't run."""
    return NotReady("This instance is stopping.", retry_after=STOPPING_RETRY_AFTER)


class StopDeadline:
    """When a stopping instance cuts what is in flight; infinite before a stop."""

    def __init__(self, longest):
        self._longest = longest
        self.at = inf

    def is_late(self, relay, estimate, now):
        """Return whether a request is likely to be cut if it is sent now.

        The estimate is an average of the pool. A request that must not be sent again
        has to end in the longest time that its route has recently taken.
        """
        if self.at == inf or relay.exchange.started:
            return False
        seconds = estimate.seconds
        if not relay.route.repeatable:
            seconds = max(seconds, self._longest.get(relay.route.name, now))
        return now + seconds > self.at


class PlannedStop:
    """State of a gateway's stop, which begins with the construction.

    ``tunnels`` serves other instances, ``is_idle()`` returns whether nothing waits to
    be stored, and ``on_draining`` is called once no more requests are accepted.
    """

    def __init__(self, cfg, gateway, tunnels, is_idle, on_draining, now):
        self._gateway = gateway
        self._tunnels = tunnels
        self._is_idle = is_idle
        self._on_draining = on_draining
        self._timeout = cfg.drain_timeout
        self._began = now
        self._draining_at = now + min(cfg.drain_lag, self._timeout * MAX_LAG_PART)
        self._requests, self._quiet_since = 0, now
        # Requests in flight that were cut.
        self._cut = 0
        gateway.stop_deadline.at = now + self._timeout * CUT_PART
        gateway.web.stopping = tunnels.stopping = True

    def advance(self, now):
        """Take the steps that are due; return how many were cut once all is over."""
        if now < self._draining_at:
            return None
        if not self._gateway.draining:
            self._drain()
        elapsed = now - self._began
        self._cut_late(elapsed / self._timeout)
        if elapsed >= self._timeout:
            return self._cut + self._gateway.web.count_unread()
        if self._is_busy(elapsed) or not self._end_callers(now):
            return None
        # A relay ends when its answer is buffered, which its caller may read slowly.
        return None if self._gateway.web.count_unread() else self._cut

    def _drain(self):
        self._gateway.draining = True
        self._on_draining()
        self._gateway.web.refuse_partial(make_stopping_error())

    def _is_busy(self, elapsed):
        helping = self._tunnels.count() and elapsed < self._timeout * CUT_PART
        return helping or self._gateway.relays or not self._is_idle()

    def _end_callers(self, now):
        """Close the listener, and the idle connections once no more requests come.

        Return whether that is done.
        """
        web = self._gateway.web
        web.stop_listening()
        if web.requests != self._requests:
            self._requests, self._quiet_since = web.requests, now
        if now - self._quiet_since < QUIET_TIME:
            return False
        web.close_idle()
        return True

    def _cut_late(self, part):
        """Cut requests in flight that would outlast the time for the stop."""
        if part < CUT_UNREAD_PART:
            return
        self._gateway.refuse_unsent(make_stopping_error())
        self._cut += self._gateway.web.cut_unfinished(part < CUT_PART)
