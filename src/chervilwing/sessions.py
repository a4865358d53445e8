"""What is known of one request from its first byte to its answer's last."""

import time

from .exceptions import NOT_RUN, RAN
from .logs import RequestLine, log_request

LEFT = "caller-left"


class Session:
    """State of one accepted request; its run is a Generation or a Forward."""

    def __init__(self, dispatcher, exchange, request_id, serial, target):
        self._dispatcher = dispatcher
        self.cfg = dispatcher.cfg
        self.client = dispatcher.client
        self.exchange = exchange
        self.request_id = request_id
        self.serial = serial
        self.target = target
        self.headers = {"X-Request-Id": request_id}
        self.work = None
        self.run = None
        self.tries = 0
        self.tokens = 0
        self.recomputed = 0
        self.upstream = None
        self.placed_at = 0.0
        self.began = time.monotonic()
        self.first_token = None
        self.last_token = None
        self.outcome = RAN
        self.cause = ""
        self.closed = False
        self._series = dispatcher.stats.select(
            target.customer.name, target.work_class.name
        )

    @property
    def deadline(self):
        """Return when the request is given up on, on the monotonic clock."""
        return self.began + self.cfg.request_timeout

    def place(self, upstream):
        """Start an attempt on an upstream."""
        self.upstream = upstream
        self.placed_at = time.monotonic()
        self.run.start(upstream)

    def record_tokens(self, count, now):
        """Count tokens that the caller is given now."""
        if self.first_token is None:
            self.first_token = now - self.began
            self._series.record_first_token(self.first_token)
        else:
            self._series.record_gap((now - self.last_token) / count, count)
        self.last_token = now
        self.tokens += count

    def report(self, upstream, outcome, first_token, tokens):
        """Tell the scheduler how an attempt ended."""
        now = time.monotonic()
        self._dispatcher.scheduler.finish(
            self.serial,
            upstream,
            outcome,
            first_token,
            now - self.placed_at,
            tokens,
            now,
        )

    def retry(self, exc, outcome):
        """Try elsewhere where that is allowed, or give the caller the failure."""
        if self.closed:
            return
        # A call that may not be repeated goes out again only if it certainly did not
        # run.
        if not self.target.idempotent and exc.outcome != NOT_RUN:
            self.refuse(exc)
            return
        self._dispatcher.retry(self, exc, outcome)

    def refuse(self, exc):
        """Give the caller a failure as the final answer, at once."""
        if self.closed:
            return
        self.outcome = exc.outcome
        self.cause = exc.type
        self.exchange.refuse(exc, self.headers)
        self.close()

    def leave(self):
        """Stop the work of a caller that has gone."""
        if self.closed:
            return
        self.outcome = LEFT
        self.run.cancel()
        self.close()

    def close(self):
        """Forget the request and write its line in the log."""
        if self.closed:
            return
        self.closed = True
        self._record()
        self._dispatcher.forget(self)

    def _record(self):
        seconds = time.monotonic() - self.began
        series = self._series
        series.record_answer(seconds)
        series.record_outcome(self.outcome, self.cause)
        series.record_tokens(self.tokens, self.recomputed)
        log_request(
            RequestLine(
                request=self.request_id,
                customer=self.target.customer.name,
                work_class=self.target.work_class.name,
                upstream=self.upstream.name if self.upstream else "",
                tries=self.tries,
                tokens=self.tokens,
                recomputed=self.recomputed,
                outcome=self.outcome,
                cause=self.cause,
                seconds=round(seconds, 4),
            )
        )
