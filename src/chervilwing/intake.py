"""Limit on new connections by the processor time that an instance has left.

While most new connections reach one instance, it can't serve all of their requests in
time. A queue would only make them older. A request that no instance has read may be
sent again, whatever its kind: it was never applied (RFC 9110, section 9.2.2).
"""

# Seconds over which the use of the processor is measured.
WINDOW = 0.2
# Weight of the latest window in the mean time of a request.
NEWEST_WEIGHT = 0.3
# Part of its time that an event loop is busy from which connections may be rejected.
BUSY = 0.85
# Part of its time for which new work is then accepted; in the rest it catches up.
ACCEPTED_PART = 0.9
# Seconds of accepted work above which no further connection is accepted, as its request
# would wait for as long. Below it, one is accepted however long a request takes.
MAX_BACKLOG = 0.2


class Intake:
    """Whether an instance accepts a new connection; times are seconds on one clock.

    An event loop that never waits for events is at its limit, whatever part of a
    processor it has. The work that is accepted is estimated by the number of requests
    and the mean time of one, since most of a request's work comes after its first byte.
    ``has_peers`` returns whether callers can try another instance.
    """

    def __init__(self, has_peers=lambda: True):
        self._has_peers = has_peers
        self._window_began = None
        self._waited = self._rejecting = 0.0
        self._requests = 0
        self._request_time = 0.0
        self._is_busy = False
        self._backlog = 0.0
        self._updated_at = 0.0
        self.rejected = 0

    def record_wait(self, began, ended):
        """Record that the event loop waited for events from one time to another."""
        if self._window_began is None:
            self._window_began = began
        self._waited += ended - began
        elapsed = ended - self._window_began
        if elapsed >= WINDOW:
            self._end_window(elapsed)
            self._window_began = ended

    def record_request(self, now, is_first):
        """Record that a request was read, the first of its connection or a later one.

        The first one's work was added when the connection was accepted.
        """
        self._requests += 1
        if not is_first:
            self._add_work(now)

    def accept(self, now):
        """Return whether to accept a new connection."""
        self._drain(now)
        full = self._is_busy and self._backlog > MAX_BACKLOG
        if full and self._has_peers():
            self.rejected += 1
            return False
        self._add_work(now)
        return True

    def record_rejecting(self, seconds):
        """Record the time that the rejection of a connection took."""
        self._rejecting += seconds

    def _end_window(self, elapsed):
        busy = max(0.0, elapsed - self._waited)
        self._is_busy = busy >= BUSY * elapsed
        if self._requests:
            mean = max(0.0, busy - self._rejecting) / self._requests
            self._request_time += NEWEST_WEIGHT * (mean - self._request_time)
        self._waited = self._rejecting = 0.0
        self._requests = 0

    def _add_work(self, now):
        self._drain(now)
        self._backlog += self._request_time

    def _drain(self, now):
        done = ACCEPTED_PART * (now - self._updated_at)
        self._backlog = max(0.0, self._backlog - done)
        self._updated_at = now
