"""The attempts of a request at upstreams, and what each outcome leads to."""

from functools import partial
from math import inf

from .clocks import read_boottime
from .connections import IDLE_LIMIT, Call, CallHandlers
from .dialects import HOP_BY_HOP, Errand
from .exceptions import (
    NOT_RUN,
    ChervilwingError,
    ConnectionBroken,
    NoUpstream,
    PoolFull,
    UpstreamFailed,
)
from .routing import STREAM

EVENT_STREAM = "text/event-stream"
HTTP_OK = 200
SERVER_ERROR = 500
# Seconds until a refused caller may come back: an instance that starts, or an upstream
# that takes another's place, is known in about that time.
RETURN_WAIT = 0.5
# Seconds that a connection may take to open before another upstream is tried. Links
# between data centres take 1.5 ms; a lost packet is sent again after one second.
CONNECT_TIMEOUT = 0.6
# Seconds that a kept connection to an upstream may have been unused. A call that meets
# the upstream's close can't be told from one that ran, so those that may not be
# repeated take only connections that were used a moment ago.
IDLE_FOR_REPEATABLE = 8.0
IDLE_FOR_OTHERS = 1.0
# Part of an upstream's connections that all instances together may leave unused.
IDLE_PART = 0.4
# Statuses that promise callers that the request has not run and never will.
PROMISES = (429, 503)
# Upstreams that are tried for one request at most, those that can't be reached
# included. Load: a data centre is cut off. Harm: each costs CONNECT_TIMEOUT.
MOST_TRIED = 4


def pass_headers(headers):
    """Return an answer's fields that are passed on."""
    return {name: value for name, value in headers.items() if name not in HOP_BY_HOP}


def count_idle(traits, instances):
    """Return how many unused connections to keep to one upstream.

    Guard: an upstream takes so many connections of all callers together and resets the
    rest; unused ones of a large fleet would take the places of those in use.
    """
    return min(IDLE_LIMIT, max(1, int(traits.connections * IDLE_PART / instances)))


class Attempts:
    """Send requests to upstreams and decide after each outcome.

    ``owner`` is the gateway: it refuses, closes and counts.
    """

    def __init__(self, owner, client, dialect):
        self._owner = owner
        self._client = client
        self._dialect = dialect
        self._retries = owner.retries

    def retire(self, address):
        """Close the unused connections to an address that is given up."""
        self._client.retire(address)

    def send(self, relay, found):
        """Send a request to the upstream that was found for it, if permitted."""
        now = read_boottime()
        station, estimate = found
        relay.station, relay.estimate = station, estimate
        relay.attempts += 1
        relay.tried.add(station.registration.name)
        relay.sent_at = now
        relay.answer = None
        relay.take_held()
        relay.pool.send(station, relay.demand, estimate, now)
        if relay.attempts > 1:
            self._retries.note_retry(relay.pool.traits.name)
        handlers = CallHandlers(
            head=partial(self._head, relay),
            data=partial(self._data, relay),
            done=partial(self._done, relay),
            failed=partial(self._failed, relay),
        )
        relay.call = self._client.submit(self._make_call(relay, now), handlers)

    def _send_again(self, relay):
        now = read_boottime()
        if not self._owner.placing.ask(relay, now):
            self.send_again(relay, self._owner.choose(relay, now))

    def send_again(self, relay, found):
        """Send a request once more, or give it up where that can't be done."""
        try:
            self._owner.permit_send(relay, found, read_boottime())
        except ChervilwingError as exc:
            self._owner.placing.note_ended(relay, None)
            self.give_up(relay, exc)
            return
        self.send(relay, found)

    def _make_call(self, relay, now):
        req = relay.exchange.req
        route = relay.route
        errand = Errand(
            relay.station.registration.name,
            relay.name,
            relay.ends_at - now,
            relay.priority,
            relay.events.last_id if relay.events else "",
            relay.estimate.source and relay.estimate.source.registration.address,
        )
        idle_limit = IDLE_FOR_REPEATABLE if route.repeatable else IDLE_FOR_OTHERS
        return Call(
            relay.station.registration.address,
            req.method,
            req.target,
            self._dialect.write_headers(relay.headers, errand),
            req.body,
            connect_timeout=CONNECT_TIMEOUT,
            silence_timeout=float("inf"),
            probed=False,
            host=relay.headers.get("host", ""),
            idle_limit=idle_limit,
            idle_most=count_idle(relay.pool.traits, self._retries.instances),
            expects=lambda head: self._dialect.is_for(head, relay.demand.request_id),
            until_close=True,
        )

    def _head(self, relay, status, headers):
        relay.answer = (status, headers)
        verdict = self._dialect.judge(status, headers)
        self._note_limit(relay, verdict)
        if verdict.not_run:
            self._retry_unrun(relay)
            return
        self._owner.crash_watch.note_answered(relay)
        if not verdict.sound:
            self._break_off(relay, "The answer is not the upstream's own.")
            return
        streams = status == HTTP_OK and headers.get("content-type", "").startswith(
            EVENT_STREAM
        )
        if relay.exchange.started and not streams:
            # Guard: a stream goes on here, and this is no stream: its bytes would stand
            # in the middle of the caller's events.
            self._break_off(relay, "The answer doesn't go on with the stream.")
        elif streams and not relay.exchange.started:
            relay.exchange.on_drain = partial(self._drained, relay)
            relay.exchange.relay_head(status, pass_headers(headers), None)

    def _note_limit(self, relay, verdict):
        """Take the limit that an answer names for its upstream."""
        if verdict.limit is not None and verdict.limit < inf:
            relay.limit = verdict.limit
        name, now = relay.station.registration.name, read_boottime()
        self._owner.upstream_limits.note_answer(name, verdict.limit, relay.sent_at, now)

    def _retry_unrun(self, relay):
        """Go elsewhere with a request that this upstream has not run."""
        self.end_attempt(relay, failed=True, cancel=True)
        if self._may_retry(relay):
            self._send_again(relay)
            return
        self.give_up(relay, PoolFull(retry_after=RETURN_WAIT))

    def _may_retry(self, relay):
        now = read_boottime()
        if relay.over or relay.attempts >= relay.route.attempts:
            return False
        if self._owner.crashes.is_barred(relay.fingerprint, now):
            return False
        if len(relay.tried) >= MOST_TRIED:
            return False
        if relay.ends_at - now < CONNECT_TIMEOUT / 2:
            return False
        if not relay.pool.list_open(relay.tried):
            return False
        # An upstream that nothing reached costs the pool nothing.
        return not relay.attempts or self._retries.may_retry(relay.pool.traits.name)

    def _data(self, relay, data):
        self._note_run(relay)
        status, headers = relay.answer
        if status == HTTP_OK and relay.exchange.started:
            self._pass_on(relay, data)
        elif not relay.hold(data):
            self._begin_long(relay)

    def _pass_on(self, relay, data):
        if relay.events is not None:
            data = relay.events.feed(data)
        relay.exchange.write(data)
        if relay.exchange.congested and relay.call is not None:
            self._client.pause(relay.call)

    def _drained(self, relay):
        if relay.call is not None:
            self._client.resume(relay.call)

    def _begin_long(self, relay):
        """Pass on what is too large to be held."""
        status, headers = relay.answer
        length = headers.get("content-length")
        relay.exchange.on_drain = partial(self._drained, relay)
        relay.exchange.relay_head(
            status, pass_headers(headers), None if length is None else int(length)
        )
        relay.exchange.write(relay.take_held())

    def _note_run(self, relay):
        if relay.started_at is None:
            relay.started_at = read_boottime()
        if relay.pool.start(relay.station, relay.demand, read_boottime()):
            self._owner.placing.note_started(relay)
            if relay.answer[0] < SERVER_ERROR:
                self._owner.note_answer(relay, failed=False)
        self._count_run(relay)

    def _count_run(self, relay):
        """Count the request once, at the time when it began to run."""
        if relay.counted or not relay.name:
            return
        relay.counted = True
        now = read_boottime()
        began = now if relay.route.kind == STREAM else relay.sent_at
        self._owner.on_run(relay.name, now - began)

    def _done(self, relay):
        status, headers = relay.answer
        self._note_run(relay)
        failed = status >= SERVER_ERROR
        if relay.events is not None and relay.events.inside:
            self._owner.crash_watch.note_broken(relay, read_boottime())
            self._break_off(relay, "The stream ended in the middle of an event.")
            return
        if relay.call.reader.endless:
            # Whether it is whole can't be told: the upstream may have crashed.
            self._owner.crash_watch.note_left(relay, read_boottime())
        elif not failed:
            self._owner.crashes.clear(relay.fingerprint, read_boottime())
        self.end_attempt(relay, failed)
        if failed and relay.route.repeatable and not relay.exchange.started:
            relay.may_have_run = True
            if self._may_retry(relay):
                relay.fallback = (status, headers, relay.take_held())
                self._send_again(relay)
                return
        self._finish(relay, status, headers)

    def _finish(self, relay, status, headers):
        exchange = relay.exchange
        body = relay.take_held()
        if not exchange.started:
            length = len(body)
            if exchange.req.method == "HEAD":
                # Its answer tells the length of a body that doesn't come.
                length = int(headers.get("content-length", 0))
            exchange.relay_head(status, pass_headers(headers), length)
        exchange.finish(body)
        self._owner.close(
            relay, "ok" if status < SERVER_ERROR else "upstream_error", status
        )

    def _failed(self, relay, exc):
        """Decide after an attempt that broke off."""
        if exc.outcome == NOT_RUN:
            # No byte left: this was no attempt, and the route's bound isn't touched.
            relay.attempts -= 1
        else:
            relay.may_have_run = True
            self._count_run(relay)
            if isinstance(exc, ConnectionBroken):
                self._owner.crash_watch.note_broken(relay, read_boottime())
        self.end_attempt(relay, failed=True)
        if relay.over:
            return
        if not relay.route.repeatable and relay.may_have_run:
            self.give_up(relay, exc)
            return
        if relay.exchange.started and relay.events is None:
            self.give_up(relay, exc)
            return
        if relay.events is not None:
            relay.events.restart()
        if self._may_retry(relay):
            self._send_again(relay)
            return
        self.give_up(relay, exc)

    def _break_off(self, relay, detail):
        self._client.cancel(relay.call)
        self._failed(relay, UpstreamFailed(detail))

    def end_attempt(self, relay, failed, cancel=False):
        """Take note that an attempt is over; ``failed`` None says nothing of it."""
        if relay.station is not None:
            now = read_boottime()
            if failed:
                self._owner.note_answer(relay, failed=True)
            relay.pool.end(relay.station, relay.demand, failed, now)
            self._owner.placing.note_ended(relay, failed)
        if cancel:
            self._client.cancel(relay.call)
        relay.call = None

    def give_up(self, relay, exc):
        """Answer with a failure that says truly whether the request ran."""
        if relay.fallback is not None and not relay.exchange.started:
            status, headers, body = relay.fallback
            relay.take_held()
            relay.hold(body)
            self._finish(relay, status, headers)
            return
        if relay.may_have_run and exc.outcome == NOT_RUN:
            exc = UpstreamFailed("An attempt broke off and may have run.")
        elif not relay.may_have_run:
            self._owner.refund(relay, read_boottime())
            if exc.status not in PROMISES:
                # Guard: after another status callers may not try again what may run
                # only once, although here nothing ran.
                exc = NoUpstream(exc.detail, retry_after=RETURN_WAIT)
        self._owner.refuse(relay.exchange, exc)
        self._owner.close(relay, exc.outcome, exc.status, exc.type)
