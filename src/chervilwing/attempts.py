"""Attempts to send a request to upstreams, and the reaction to each outcome."""

from functools import partial
from math import inf

from .bodies import CLOSE_FRAMING
from .clocks import read_boottime
from .connections import MAX_IDLE_CONNECTIONS, Call, CallHandlers
from .detours import CONNECT_TIMEOUT, RETRY_AFTER
from .dialects import HOP_BY_HOP, AttemptContext
from .events import is_event_stream
from .exceptions import (
    NOT_RUN,
    ChervilwingError,
    ConnectionBroken,
    EventOutOfOrder,
    NoUpstream,
    PathBroken,
    PoolFull,
    UpstreamEnded,
    UpstreamFailed,
)
from .logs import log_event
from .parsers import read_length
from .registrations import get_process
from .reply_bounds import STREAMED_REPLY
from .routing import IDEMPOTENT, STREAM
from .stream_moves.mover import Mover
from .upstream_pace import is_better_elsewhere

HTTP_OK = 200
REQUEST_ID = "x-request-id"
MIN_SERVER_ERROR = 500
# Longest idle time, in seconds, of a pooled connection that a request may reuse. If the
# upstream closes the connection as the request arrives, it is unknown whether the
# request ran, so one that must not be repeated uses only recently used connections.
MAX_IDLE_REPEATABLE = 8.0
MAX_IDLE_NON_REPEATABLE = 1.0
# Part of an upstream's connection limit that the idle connections of all instances
# together may occupy.
MAX_IDLE_PART = 0.4
# Statuses that tell callers that the request has not run and never will.
NOT_RUN_STATUSES = (429, 503)
# Upstreams tried for one request at most, including unreachable ones. While a data
# centre is cut off, each unreachable upstream delays the request by CONNECT_TIMEOUT.
MAX_TRIED_UPSTREAMS = 4


def is_unmarked(head):
    """Return whether an answer doesn't state the id of its request."""
    return REQUEST_ID not in head.headers


def drop_hop_by_hop(headers):
    """Return an answer's header fields without the hop-by-hop ones."""
    return {name: value for name, value in headers.items() if name not in HOP_BY_HOP}


def compute_max_idle_connections(spec, instances):
    """Return how many idle connections this instance may keep to one upstream.

    An upstream limits its connections from all instances together and resets the
    excess, so the idle connections of a large fleet could displace those in use.
    """
    return min(
        MAX_IDLE_CONNECTIONS, max(1, int(spec.connections * MAX_IDLE_PART / instances))
    )


class Attempts:
    """Send requests to upstreams; retry, answer or give up after each outcome."""

    def __init__(self, gateway, client, dialect):
        self._gateway = gateway
        self._client = client
        self._dialect = dialect
        self._retries = gateway.retries
        self._detours = gateway.detours
        self._detours.end_attempt = self.end_attempt
        self._detours.leave_path = self.leave_path
        self.mover = Mover(gateway, self, client, dialect.moves)

    def close_idle(self, address):
        """Close the idle connections to an address that is no longer used."""
        self._client.close_idle(address)

    def send(self, relay, choice):
        """Send a request to the chosen upstream; the caller has checked the limits."""
        now = read_boottime()
        upstream_state, estimate = choice
        source = estimate.source
        if source and not self._gateway.may_fetch_from(source.registration, now):
            estimate = estimate._replace(source=None)
        relay.upstream_state, relay.estimate = upstream_state, estimate
        relay.attempts += 1
        relay.tried_upstreams.add(upstream_state.registration.name)
        relay.upstream_version = upstream_state.registration.version
        relay.sent_at = now
        relay.answer = None
        relay.start_answer("", has_events=False)
        relay.take_buffered()
        relay.pool.record_sent(upstream_state, relay.demand, estimate, now)
        if relay.attempts > 1:
            self._retries.record_retry(relay.pool.spec.name)
        if relay.copy is None and self.mover.is_active(relay.pool, now):
            relay.backup = self.mover.backups.choose(relay, now)
        self._submit(relay, self._detours.choose_first(relay, now), now)

    def _submit(self, relay, peer, now):
        """Send an attempt directly, or through another instance."""
        handlers = CallHandlers(
            head=partial(self._on_head, relay),
            data=partial(self._on_data, relay),
            done=partial(self._on_done, relay),
            failed=partial(self._on_failure, relay),
            opened=partial(self._detours.record_opened, relay, peer),
        )
        relay.call = self._client.submit(self._make_call(relay, peer, now), handlers)

    def _place_again(self, relay):
        now = read_boottime()
        if not self._gateway.placing.request_placement(relay, now):
            self.resend(relay, self._gateway.choose_upstream(relay, now))

    def resend(self, relay, choice):
        """Send a request once more, or give up if that is not allowed."""
        try:
            self._gateway.check_send(relay, choice, read_boottime())
        except ChervilwingError as exc:
            self._gateway.placing.report_ended(relay, None)
            self.give_up(relay, exc)
            return
        self.send(relay, choice)

    def _make_call(self, relay, peer, now):
        req = relay.exchange.req
        route = relay.route
        context = AttemptContext(
            relay.upstream_state.registration.name,
            relay.organisation_name,
            relay.deadline - now,
            relay.priority,
            relay.events.last_id if relay.events else "",
            relay.estimate.source and relay.estimate.source.registration.address,
            relay.copy,
            relay.backup.address if relay.backup and not relay.copy else None,
        )
        max_idle_time = (
            MAX_IDLE_REPEATABLE if route.repeatable else MAX_IDLE_NON_REPEATABLE
        )
        return Call(
            relay.upstream_state.registration.address,
            req.method,
            req.target,
            self._dialect.write_headers(relay.headers, context),
            req.body,
            connect_timeout=self._detours.get_timeout(peer, now),
            silence_timeout=float("inf"),
            probe_if_silent=False,
            host=relay.headers.get("host", ""),
            max_idle_time=max_idle_time,
            max_idle=compute_max_idle_connections(
                relay.pool.spec, self._retries.instances
            ),
            is_answer=lambda head: self._dialect.belongs_to(
                head, relay.demand.request_id
            ),
            is_unmarked=is_unmarked if REQUEST_ID in relay.headers else None,
            body_until_close=True,
            via=peer,
            bound=STREAMED_REPLY,
        )

    def withdraw_unsent(self, process):
        """Place the requests again that still wait for a connection to a ProcessId."""
        for relay in list(self._gateway.relays):
            call = relay.call
            if call is None or not call.conn.connecting or self.mover.is_sent_on(relay):
                continue
            if get_process(relay.upstream_state.registration) == process:
                self._place_unsent(relay)

    def _place_unsent(self, relay):
        """Place a request again of which no byte was sent."""
        relay.attempts -= 1
        relay.tried_upstreams.discard(relay.upstream_state.registration.name)
        self.end_attempt(relay, failed=None, cancel=True)
        if self._may_retry(relay):
            self._place_again(relay)
            return
        error = self._gateway.make_unavailable_error(relay.pool, read_boottime())
        self.give_up(relay, error)

    def _on_head(self, relay, status, headers):
        relay.answer = (status, headers)
        answer_status = self._dialect.read_answer_head(status, headers)
        self._record_limit(relay, answer_status)
        self._record_load(relay, answer_status)
        self._record_notice(relay, answer_status)
        if answer_status.not_run:
            self._retry_not_run(relay, answer_status)
            return
        self._gateway.crash_detection.handle_answered(relay)
        if not answer_status.authentic:
            detail = "The answer was not sent by the upstream itself."
            self._abort_attempt(relay, UpstreamFailed(detail))
            return
        has_events = is_event_stream(status, headers)
        relay.start_answer(relay.call.reader.framing, has_events)
        if relay.exchange.started and not (has_events and status == HTTP_OK):
            # The caller has received part of a stream; the body of another kind of
            # answer would appear in the middle of its events.
            detail = "The upstream did not resume the stream."
            self._abort_attempt(relay, UpstreamFailed(detail))
        elif has_events and not relay.exchange.started:
            if relay.route.resumable:
                self._gateway.resumptions.begin(relay, read_boottime())
            self.mover.begin_answer(relay, read_boottime())
            relay.streaming = True
            relay.exchange.on_drain = partial(self._on_drain, relay)
            relay.exchange.relay_head(status, drop_hop_by_hop(headers), None)
        else:
            self.mover.handle_started(relay)

    def _record_limit(self, relay, answer_status):
        """Record the request limit that an answer states for its upstream."""
        if answer_status.limit is not None and answer_status.limit < inf:
            relay.limit = answer_status.limit
        name, now = relay.upstream_state.registration.name, read_boottime()
        self._gateway.upstream_limits.record_answer(
            name, answer_status.limit, relay.sent_at, now
        )
        self._gateway.brittle_upstreams.record_answer(
            name, answer_status.refusals, relay.sent_at, now
        )

    def _record_load(self, relay, answer_status):
        """Record the load that an answer states for its upstream."""
        if answer_status.load is not None:
            now = read_boottime()
            relay.pool.record_stated_load(
                relay.upstream_state, answer_status.load, now, now
            )
            self._gateway.placing.report_stated(relay, answer_status.load)

    def _record_notice(self, relay, answer_status):
        """Record that an answer states that its upstream leaves or wants a pause."""
        if not answer_status.leaving and answer_status.retry_after is None:
            return
        registration = relay.upstream_state.registration
        log_event(
            "upstream notice",
            request=relay.demand.request_id,
            upstream=registration.name,
            leaving=answer_status.leaving,
            retry_after=answer_status.retry_after,
        )
        now = read_boottime()
        if answer_status.leaving:
            self._gateway.record_announcement(registration, now)
        if answer_status.retry_after:
            self._gateway.record_pause(registration, answer_status.retry_after, now)

    def _retry_not_run(self, relay, answer_status):
        """Send a request that this upstream has not run to another one, or give up."""
        failed = True
        name = relay.upstream_state.registration.name
        self._gateway.brittle_upstreams.record_refusal(name, read_boottime())
        if self.mover.handle_refused(relay):
            return
        if answer_status.retry_after:
            # The failure rate would keep requests away for longer than the upstream
            # asked for.
            self._gateway.record_answer(relay, failed=True)
            failed = None
        elif self._gateway.admissions.is_active(relay.pool):
            # One refusal only means that the engine had less room than expected.
            repeated = relay.upstream_state.is_repeated_refusal(read_boottime())
            failed = True if repeated else None
        self.end_attempt(relay, failed, cancel=True)
        if self._may_retry(relay):
            self._place_again(relay)
            return
        error = self._gateway.make_paused_error(relay.pool, read_boottime())
        self.give_up(relay, error or PoolFull(retry_after=RETRY_AFTER))

    def _may_retry(self, relay):
        now = read_boottime()
        if relay.ended or relay.attempts >= relay.route.attempts:
            return False
        if self._gateway.crashes.find_barred(relay.suspects, now) is not None:
            return False
        if len(relay.tried_upstreams) >= MAX_TRIED_UPSTREAMS:
            return False
        if relay.deadline - now < CONNECT_TIMEOUT / 2:
            return False
        if self._gateway.stop_deadline.is_late(relay, relay.estimate, now):
            return False
        unavailable = self._gateway.list_unavailable_upstreams(relay, now)
        if not relay.pool.list_accepting(unavailable):
            return False
        # An attempt that never reached an upstream added no load to the pool.
        return not relay.attempts or self._retries.may_retry(relay.pool.spec.name)

    def _on_data(self, relay, data):
        self._record_answer_started(relay)
        if relay.has_events:
            try:
                data = relay.events.feed(data)
            except UpstreamFailed as exc:
                if isinstance(exc, EventOutOfOrder):
                    self._gateway.resumptions.out_of_order += 1
                self._abort_attempt(relay, exc)
                return
        if relay.exchange.started:
            self._forward(relay, data)
        elif not relay.buffer(data) or not relay.may_buffer():
            self._start_unbuffered(relay)

    def _forward(self, relay, data):
        relay.exchange.write(data)
        if relay.exchange.congested and relay.call is not None:
            self._client.pause(relay.call)

    def _on_drain(self, relay):
        if relay.call is not None:
            self._client.resume(relay.call)

    def _start_unbuffered(self, relay):
        """Start relaying a body that is too large to be buffered."""
        status, headers = relay.answer
        relay.exchange.on_drain = partial(self._on_drain, relay)
        relay.exchange.relay_head(
            status, drop_hop_by_hop(headers), read_length(headers)
        )
        self._forward(relay, relay.take_buffered())

    def _record_answer_started(self, relay):
        if relay.first_byte_at is None:
            relay.first_byte_at = read_boottime()
        if relay.pool.record_first_byte(
            relay.upstream_state, relay.demand, read_boottime()
        ):
            self._gateway.placing.report_started(relay)
            if relay.answer[0] < MIN_SERVER_ERROR:
                self._gateway.record_answer(relay, failed=False)
        self._count_usage(relay)

    def _count_usage(self, relay):
        """Report the request as usage once, at the time when it began to run."""
        if relay.usage_counted or not relay.organisation_name:
            return
        relay.usage_counted = True
        now = read_boottime()
        began = now if relay.route.kind == STREAM else relay.sent_at
        self._gateway.on_usage(relay.organisation_name, now - began)

    def _on_done(self, relay):
        if self.mover.handle_ended_in_order(relay):
            return
        if relay.has_partial_event or not self._gateway.end_checks.is_needed(relay):
            self.handle_done(relay)
            return
        end = partial(self._handle_checked_end, relay, relay.call)
        self._gateway.end_checks.check(relay, end)

    def _handle_checked_end(self, relay, call, gone):
        """Handle whether an upstream ended together with the stream of a call."""
        if relay.ended or relay.call is not call:
            return
        if gone:
            self._on_failure(
                relay, UpstreamEnded("The upstream ended with its stream.")
            )
        elif not self.mover.handle_ended_in_order(relay):
            self.handle_done(relay)

    def handle_done(self, relay):
        """Finish the answer of an attempt that ended in order, or send it again."""
        status, headers = relay.answer
        self._record_answer_started(relay)
        failed = status >= MIN_SERVER_ERROR
        if relay.has_partial_event:
            self._fail_partial(relay)
            return
        self._gateway.crash_detection.handle_ended(
            relay, status, relay.call.reader.until_close, read_boottime()
        )
        self.end_attempt(relay, failed)
        if failed and relay.route.repeatable and not relay.exchange.started:
            relay.may_have_run = True
            if self._may_retry(relay):
                relay.fallback = (status, headers, relay.take_buffered())
                self._place_again(relay)
                return
        self._finish(relay, status, headers)

    def _fail_partial(self, relay):
        """Handle a stream that ended in order, but in the middle of an event.

        The kernel closes a crashed upstream's connections in order.
        """
        detail = "The stream ended in the middle of an event."
        if relay.framing == CLOSE_FRAMING:
            self._on_failure(relay, ConnectionBroken(detail))
            return
        self._gateway.crash_detection.handle_broken(relay, read_boottime())
        self._on_failure(relay, UpstreamFailed(detail))

    def _finish(self, relay, status, headers):
        exchange = relay.exchange
        body = relay.take_buffered()
        if relay.has_events:
            body += relay.events.take_rest()
        if not exchange.started:
            length = len(body)
            if exchange.req.method == "HEAD":
                # The answer to HEAD states the length of a body that is not sent.
                length = read_length(headers)
            exchange.relay_head(status, drop_hop_by_hop(headers), length)
        exchange.finish(body)
        self._gateway.close(
            relay, "ok" if status < MIN_SERVER_ERROR else "upstream_error", status
        )

    def _on_failure(self, relay, exc):
        """Retry or give up after an attempt that failed without a complete answer."""
        if self.mover.handle_failure(relay, exc):
            return
        log_event(
            "attempt failed",
            request=relay.demand.request_id,
            upstream=relay.upstream_state.registration.name,
            outcome=exc.outcome,
            detail=exc.detail,
            framing=relay.framing,
            partial=relay.has_partial_event,
            upstream_version=relay.upstream_version,
        )
        now = read_boottime()
        if exc.outcome == NOT_RUN:
            peer = self._detours.choose_next(relay, exc, now)
            if peer is not None:
                self._submit(relay, peer, now)
                return
            # Nothing was sent, so this does not count towards the route's attempts.
            relay.attempts -= 1
        else:
            relay.may_have_run = True
            self._count_usage(relay)
            self._detours.record_broken(relay, exc, now)
            self.mover.record_open_run(relay, exc)
        self._detours.end_failed(relay, exc, now)
        self.recover(relay, exc)

    def recover(self, relay, exc):
        """Continue or retry a request after a failed attempt, or give up.

        Engines that may still work on it are told to stop first.
        """
        if relay.ended:
            return
        has_backup = self.mover.may_use_backup(relay, exc)
        if not has_backup and not self._may_resend(relay):
            self.give_up(relay, exc)
        elif relay.open_runs:
            self.mover.end_open_run(relay, exc)
        elif has_backup:
            self.mover.continue_from_backup(relay, exc)
        else:
            if relay.route.resumable:
                relay.events.restart()
            self._place_again(relay)

    def _may_resend(self, relay):
        """Return whether a request may be sent again after a failed attempt."""
        if not relay.route.repeatable and relay.may_have_run:
            return False
        if relay.exchange.started and not relay.can_resume:
            return False
        return self._may_retry(relay)

    def leave_path(self, relay):
        """Send a request again whose connection is silent, unless that is unsafe.

        Otherwise its answer may still come.
        """
        started = relay.exchange.started and not relay.can_resume
        if not relay.route.repeatable or started:
            return
        name = relay.upstream_state.registration.name
        relay.tried_upstreams.discard(name)
        if not self._may_retry(relay):
            relay.tried_upstreams.add(name)
            return
        if self.mover.is_moving(relay):
            # The move would send the request on as well.
            self._abort_attempt(relay, PathBroken("The path was silent."))
            return
        relay.may_have_run = True
        self._count_usage(relay)
        self.end_attempt(relay, failed=None, cancel=True)
        if relay.route.resumable:
            relay.events.restart()
        self._place_again(relay)

    def leave_slow(self, relay, now):
        """Send an idempotent request elsewhere if its plain upstream is too slow.

        It must not have been answered in part.
        """
        call, pool = relay.call, relay.pool
        if call is None or call.conn.connecting or relay.answer is not None:
            return
        if relay.route.kind != IDEMPOTENT or pool.spec.engine is not None:
            return
        state, seconds = relay.upstream_state, relay.estimate.seconds
        if not pool.paces.is_overdue(state, relay.sent_at, seconds, now):
            return
        choice = self._gateway.choose_upstream(relay, now)
        if choice is None or not self._may_retry(relay):
            return
        if not is_better_elsewhere(now - relay.sent_at, choice[1].seconds):
            return
        log_event(
            "slow attempt",
            request=relay.demand.request_id,
            upstream=state.registration.name,
            seconds=round(now - relay.sent_at, 3),
            expected=round(seconds, 3),
        )
        # Its answer would have begun even later; without this, an upstream whose calls
        # all are sent elsewhere would give no sample.
        if pool.record_first_byte(state, relay.demand, now):
            self._gateway.placing.report_started(relay)
        self._gateway.record_answer(relay, failed=True)
        self._gateway.crash_detection.handle_caller_left(relay, now)
        relay.may_have_run = True
        self._count_usage(relay)
        self.end_attempt(relay, failed=None, cancel=True)
        self._place_again(relay)

    def _abort_attempt(self, relay, exc):
        self._client.cancel(relay.call)
        self._on_failure(relay, exc)

    def end_attempt(self, relay, failed, cancel=False):
        """Record the end of an attempt; ``failed`` is None if its result is unknown."""
        if relay.upstream_state is not None:
            now = read_boottime()
            if failed:
                self._gateway.record_answer(relay, failed=True)
            relay.pool.record_end(relay.upstream_state, relay.demand, failed, now)
            self._gateway.placing.report_ended(relay, failed)
        if cancel:
            self._client.cancel(relay.call)
        relay.call = None

    def give_up_unsent(self, relay, exc):
        """Give a request up unless an upstream may be working on it."""
        if relay.call is not None and not relay.call.conn.connecting:
            return
        if relay.exchange.started or self.mover.is_sent_on(relay):
            return
        if relay.call is not None:
            self.end_attempt(relay, failed=None, cancel=True)
        self.give_up(relay, exc)

    def give_up(self, relay, exc):
        """Answer with an error that states whether the request may have run."""
        if relay.fallback is not None and not relay.exchange.started:
            status, headers, body = relay.fallback
            relay.take_buffered()
            relay.buffer(body)
            self._finish(relay, status, headers)
            return
        if relay.may_have_run and exc.outcome == NOT_RUN:
            exc = UpstreamFailed("An attempt failed, and the request may have run.")
        elif not relay.may_have_run:
            self._gateway.refund(relay, read_boottime())
            if exc.status not in NOT_RUN_STATUSES:
                # After any other status, callers must not retry a non-idempotent
                # request, although this one has not run.
                exc = NoUpstream(exc.detail, retry_after=RETRY_AFTER)
        self._gateway.refuse(relay.exchange, exc)
        self._gateway.close(relay, exc.outcome, exc.status, exc.type)
