"""What is known of one request from its first byte to its answer's last."""

import time

from .exceptions import NOT_RUN, RAN, UNKNOWN, HandedOver
from .logs import RequestLine, log_request
from .work import LEAVING

LEFT = "caller-left"
HANDED = "handed-over"


class Session:
    """State of one accepted request; its run is a Generation or a Forward."""

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
        # A model request has a key, by which its caller may ask for it again.
        self.key = None
        self.named = False
        self.moving = False
        self.parked_at = ""
        self.tries = 0
        self.touched = False
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
        """Return when the request is given up on, on the monotonic clock."""
        return self.began + self.cfg.request_timeout

    @property
    def stream(self):
        """Tell whether the answer goes out token by token."""
        return self.run.completion.stream

    @property
    def may_move(self):
        """Tell whether its caller can ask another entry instance for it."""
        return self.key is not None and (self.named or self.exchange.started)

    def place(self, upstream):
        """Start an attempt on an upstream."""
        self.upstream = upstream
        self.placed_at = time.monotonic()
        self.run.start(upstream)

    def record_tokens(self, count, now):
        """Count tokens that the caller is given now."""
        if self.last_token is None:
            self._series.record_first_token(now - self.began)
        else:
            self._series.record_gap((now - self.last_token) / count, count)
        self.last_token = now
        self.tokens += count

    def report(self, outcome, first_token, tokens):
        """Tell the scheduler how the attempt under way ended."""
        now = time.monotonic()
        duration = now - self.placed_at
        # A service's answer comes at once as a whole.
        first_token = duration if first_token is None else first_token
        self._dispatcher.scheduler.finish(
            self.serial, self.upstream.name, outcome, first_token, duration, tokens, now
        )

    def retry(self, exc, outcome):
        """Try elsewhere where that is allowed, or give the caller the failure."""
        if self.closed:
            return
        self.touched = self.touched or exc.outcome != NOT_RUN
        # A call that may not be repeated goes out again only if it certainly did not
        # run.
        if not self.target.idempotent and exc.outcome != NOT_RUN:
            self.refuse(exc)
            return
        self._dispatcher.retry(self, exc, outcome)

    def move(self):
        """Go on elsewhere: the upstream of the attempt under way is leaving."""
        if not self.closed:
            self.run.move(LEAVING)

    def refuse(self, exc):
        """Give the caller a failure as the final answer, at once."""
        if self.closed:
            return
        # Guard: a refusal in the queue says "not run", but an attempt before it may
        # have run; whoever believed the refusal would send the work a second time.
        if exc.outcome == NOT_RUN and (self.touched or self.run.running):
            exc.outcome = UNKNOWN
        self.outcome = exc.outcome
        self.cause = exc.type
        # A keyed call that is still under way settles its claim when its answer comes.
        if self.claimant is not None and not self.run.running:
            self.claimant.fail(self, exc)
        self.exchange.refuse(exc, self.headers)
        self.close()

    def leave(self):
        """Stop the work of a caller that has gone, unless it may come back for it."""
        if not self.closed and not self._dispatcher.reconnects.detach(self):
            self.abandon()

    def abandon(self):
        """Stop the work, unless it must run to its end."""
        if self.closed or not self.run.cancel():
            return
        self.outcome = LEFT
        self.close()

    def attach(self, exchange):
        """Answer to this exchange from now on; the caller has left the old one."""
        old, self.exchange = self.exchange, exchange
        old.tag = None
        # Guard: a balancer may keep the connection of a caller that has reconnected
        # elsewhere; left open, it would take the rest of the answer.
        old.abort()
        exchange.tag = self
        # Guard: the engine was held up for a caller that read slowly; nothing of the
        # new connection would let it go on, and the answer would never end.
        self.run.release()

    def park(self, parked):
        """Leave the KV cache where the next entry instance finds it, if it can be."""
        upstream = None if self.closed else self._dispatcher.choose_keeper(self)
        if upstream is None:
            parked()
            return
        self.parked_at = upstream.name
        self.run.park(upstream.address, parked)

    def suspend(self):
        """Stop generating, queued or running, and keep what there is."""
        if not self.closed:
            self.run.cancel()
            self._dispatcher.withdraw(self)

    def make_state(self):
        """Return what another entry instance needs to go on."""
        elapsed = time.monotonic() - self.began
        return self.run.make_state(self.key, elapsed, self.parked_at)

    def finish_move(self):
        """End the request here: another entry instance goes on with it."""
        if self.closed:
            return
        self.outcome = self.cause = HANDED
        exc = HandedOver("Send the same request again.", retry_after=1.0)
        self.exchange.refuse(exc, self.headers)
        self.close()

    def close(self):
        """Forget the request and write its line in the log."""
        if self.closed:
            return
        self.closed = True
        self._record()
        self._dispatcher.forget(self)
        self._dispatcher.reconnects.end(self)

    def _record(self):
        seconds = time.monotonic() - self.began
        series = self._series
        # A refusal takes no time; counted as an answer it would hide slow ones.
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
