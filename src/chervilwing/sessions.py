"""State of one request, from its arrival to the end of its answer."""

import time

from .exceptions import NOT_RUN, RAN, UNKNOWN, HandedOver
from .logs import RequestLine, log_request
from .work import LEAVING

CALLER_LEFT = "caller-left"
HANDED_OVER = "handed-over"


class Session:
    """State of one accepted request; ``run`` is a Generation or a Forward."""

    def __init__(self, dispatcher, exchange, request_id, serial, target):
        self._dispatcher = dispatcher
        self.cfg = dispatcher.cfg
        self.client = dispatcher.client
        self.caches = dispatcher.caches
        self.exchange = exchange
        self.request_id = request_id
        self.serial = serial
        self.target = target
        self.headers = {"X-Request-Id": request_id}
        self.work = None
        self.run = None
        self.claimant = None
        # Model requests have a key with which their callers can reconnect.
        self.key = None
        self.has_caller_id = False
        self.handing_over = False
        self.cache_engine = ""
        self.tries = 0
        self.may_have_run = False
        self.tokens = 0
        self.recomputed = 0
        self.upstream = None
        self.placed_at = 0.0
        self.began = time.monotonic()
        self.last_token = None
        self.outcome = RAN
        self.cause = ""
        self.closed = False
        self._series = dispatcher.stats.select(
            target.customer.name, target.work_class.name
        )

    @property
    def deadline(self):
        """Return when the request times out, in seconds of the monotonic clock."""
        return self.began + self.cfg.request_timeout

    @property
    def stream(self):
        """Return whether the answer is streamed token by token."""
        return self.run.completion.stream

    @property
    def can_hand_over(self):
        """Return whether another entry instance could give the caller the answer."""
        return self.key is not None and (self.has_caller_id or self.exchange.started)

    def place(self, upstream):
        """Start an attempt on an upstream."""
        self.upstream = upstream
        self.placed_at = time.monotonic()
        self.run.start(upstream)

    def record_tokens(self, count, now):
        """Record tokens sent to the caller at ``now`` and their latency."""
        if self.last_token is None:
            self._series.record_first_token(now - self.began)
        else:
            self._series.record_gap((now - self.last_token) / count, count)
        self.last_token = now
        self.tokens += count

    def record_answer_head(self, status, headers):
        """Record what the head of an answer states of its upstream."""
        self._dispatcher.record_answer_head(self.upstream.name, status, headers)

    def is_upstream_paused(self):
        """Return whether the current attempt's upstream asked for a pause."""
        scheduler = self._dispatcher.scheduler
        return scheduler.is_paused(self.upstream.name, time.monotonic())

    def report(self, outcome, first_token, tokens):
        """Report the outcome of the current attempt to the scheduler."""
        now = time.monotonic()
        duration = now - self.placed_at
        # A service's answer has no tokens: count its whole duration as the time to the
        # first token.
        first_token = duration if first_token is None else first_token
        self._dispatcher.scheduler.finish(
            self.serial, self.upstream.name, outcome, first_token, duration, tokens, now
        )

    def retry(self, exc, outcome):
        """Retry on another upstream if that is allowed, else refuse the request."""
        if self.closed:
            return
        self.may_have_run = self.may_have_run or exc.outcome != NOT_RUN
        # A non-idempotent call is retried only if it certainly did not run.
        if not self.target.idempotent and exc.outcome != NOT_RUN:
            self.refuse(exc)
            return
        self._dispatcher.retry(self, exc, outcome)

    def move(self):
        """Move the current attempt away from an upstream that is leaving."""
        if not self.closed:
            self.run.move(LEAVING)

    def refuse(self, exc):
        """Answer the caller with this error and close the session."""
        if self.closed:
            return
        # A refusal in the queue says "not run", but an earlier attempt may have run. A
        # caller that relied on the refusal would send the work a second time.
        if exc.outcome == NOT_RUN and (self.may_have_run or self.run.running):
            exc.outcome = UNKNOWN
        self.outcome = exc.outcome
        self.cause = exc.type
        # If an attempt is still running, its answer settles the claim instead.
        if self.claimant is not None and not self.run.running:
            self.claimant.record_failure(self, exc)
        self.exchange.answer_problem(exc, self.headers)
        self.close()

    def leave(self):
        """Stop the work for a caller that disconnected, unless it may reconnect."""
        if not self.closed and not self._dispatcher.reconnects.detach(self):
            self.abandon()

    def abandon(self):
        """Cancel the request, unless its attempt must run to the end."""
        if self.closed or not self.run.cancel():
            return
        self.outcome = CALLER_LEFT
        self.close()

    def attach(self, exchange):
        """Send the answer to this exchange from now on and abort the old one."""
        old, self.exchange = self.exchange, exchange
        old.tag = None
        # A balancer may keep the old connection of a caller that has reconnected open;
        # without the abort it would receive the rest of the answer.
        old.abort()
        exchange.tag = self
        # Reading from the engine may be paused because the old connection was slow. The
        # new one would never resume it, and the answer would never end.
        self.run.resume()

    def store_cache(self, done):
        """Copy the KV cache to an engine for the next entry instance; call ``done``.

        ``done`` is also called if the cache can't be stored.
        """
        upstream = None if self.closed else self._dispatcher.choose_cache_engine(self)
        if upstream is None:
            done()
            return
        self.cache_engine = upstream.name
        self.run.store_cache(upstream.address, done)

    def suspend(self):
        """Cancel the attempt or the place in the queue, keeping the tokens so far."""
        if not self.closed:
            self.run.cancel()
            self._dispatcher.withdraw(self)

    def make_state(self):
        """Return the state with which another entry instance can continue."""
        elapsed = time.monotonic() - self.began
        return self.run.make_state(self.key, elapsed, self.cache_engine)

    def finish_hand_over(self):
        """Close the session after another entry instance has accepted its state."""
        if self.closed:
            return
        self.outcome = self.cause = HANDED_OVER
        exc = HandedOver("Send the same request again.", retry_after=1.0)
        self.exchange.answer_problem(exc, self.headers)
        self.close()

    def close(self):
        """Write the request's log line and remove it from the dispatcher."""
        if self.closed:
            return
        self.closed = True
        self._record()
        self._dispatcher.remove(self)
        self._dispatcher.reconnects.end(self)

    def _record(self):
        seconds = time.monotonic() - self.began
        series = self._series
        # Refusals are fast; in the latency figures they would hide slow answers.
        if self.outcome == RAN:
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
