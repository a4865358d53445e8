"""Run one call to a plain service: its attempts and its answer to the caller."""

from .connections import Call, CallHandlers, get_attempt_outcome
from .events import EventReader, is_event_stream
from .exceptions import (
    NOT_RUN,
    RAN,
    ConnectionBroken,
    KeyExpired,
    Scope,
    UpstreamFailed,
)
from .reply_bounds import STREAMED_REPLY
from .work import BUSY, CANCELLED, FAILED, OK

# Bytes of one answer. An answer is buffered until it has ended, so that no caller gets
# a partial one; the limit bounds the memory of each call.
ANSWER_LIMIT = 16 * 1024 * 1024
FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")
RETURNED_HEADERS = ("content-type", "location", "etag", "cache-control", "retry-after")
HTTP_BUSY = 503


def ends_inside_event(status, headers, body):
    """Return whether a body is a stream that ends in the middle of an event."""
    if not is_event_stream(status, headers):
        return False
    reader = EventReader(resumable=False)
    reader.feed(bytes(body))
    return reader.has_partial


def pick_headers(headers, names):
    """Return the headers with these names, if present."""
    return {name: headers[name] for name in names if name in headers}


class Forward:
    """State of one service call.

    A non-idempotent call is sent on a new connection. Once a byte has been sent it is
    not retried, unless the service reports that it did not run.
    """

    def __init__(self, session, path):
        self.session = session
        self._path = path
        self._call = None
        self._upstream = None
        self._status = 0
        self._headers = {}
        self._body = bytearray()

    @property
    def running(self):
        """Return whether an attempt is running."""
        return self._call is not None and not self._call.finished

    def start(self, upstream):
        """Start an attempt on this upstream."""
        session = self.session
        if session.claimant is not None and not session.claimant.may_send(session):
            self._upstream = upstream
            self._report(CANCELLED)
            session.refuse(
                KeyExpired(
                    "The Idempotency-Key's claim expired before the call was sent.",
                    outcome=NOT_RUN,
                )
            )
            return
        session.tries += 1
        self._upstream = upstream
        self._body.clear()
        req, cfg = session.exchange.req, session.cfg
        headers = pick_headers(req.headers, FORWARDED_HEADERS)
        headers["X-Attempt-Id"] = f"{session.serial}.{session.tries}"
        headers["X-Request-Id"] = session.request_id
        call = Call(
            upstream.address,
            req.method,
            self._path,
            headers,
            req.body,
            cfg.connect_timeout,
            cfg.silence_timeout,
            new_connection=not session.target.idempotent,
            body_until_close=True,
            bound=STREAMED_REPLY,
        )
        handlers = CallHandlers(
            self._handle_headers,
            self._handle_data,
            self._handle_end,
            self._handle_failure,
        )
        self._call = session.client.submit(call, handlers)

    def cancel(self):
        """Cancel the attempt; return False if it must not be cancelled.

        An attempt with a claim runs to its end without its caller: its answer is stored
        for the caller's next attempt.
        """
        if not self.running:
            return True
        if self.session.claimant is not None:
            return False
        self.session.client.cancel(self._call)
        self._report(CANCELLED)
        return True

    def move(self, outcome):
        """Restart an idempotent call on another upstream."""
        if not self.running or not self.session.target.idempotent:
            return
        self.session.client.cancel(self._call)
        self._fail_attempt(outcome, UpstreamFailed("The service is leaving."))

    def withdraw_unsent(self):
        """Retry elsewhere if the attempt still waits for a connection."""
        if not self.running or not self._call.conn.connecting:
            return
        self.session.client.cancel(self._call)
        self._fail_attempt(BUSY, UpstreamFailed("Not sent.", outcome=NOT_RUN))

    def _handle_headers(self, status, headers):
        self.session.record_answer_head(status, headers)
        self._status = status
        self._headers = headers

    def _handle_data(self, data):
        self._body += data
        if len(self._body) > ANSWER_LIMIT:
            self.session.client.cancel(self._call)
            self._fail_attempt(
                FAILED, UpstreamFailed("The answer is too large.", outcome=RAN)
            )

    def _handle_end(self):
        if self._status == HTTP_BUSY and self._headers.get("x-not-run") == "1":
            self._fail_attempt(BUSY, UpstreamFailed("Refused.", outcome=NOT_RUN))
            return
        if ends_inside_event(self._status, self._headers, self._body):
            detail = "The stream ended in the middle of an event."
            self._fail_attempt(FAILED, ConnectionBroken(detail))
            return
        self._report(OK)
        session = self.session
        returned = pick_headers(self._headers, RETURNED_HEADERS)
        content_type = returned.pop("content-type", "application/octet-stream")
        if session.claimant is not None:
            body = bytes(self._body)
            session.claimant.settle(session, self._status, content_type, body)
        # A HEAD answer reports the length of the body that GET would return.
        if session.exchange.req.method == "HEAD" and "content-length" in self._headers:
            returned["Content-Length"] = self._headers["content-length"]
        session.exchange.answer(
            self._status, bytes(self._body), content_type, session.headers | returned
        )
        session.close()

    def _handle_failure(self, exc):
        self._fail_attempt(get_attempt_outcome(exc), exc)

    def _fail_attempt(self, outcome, exc):
        self._report(outcome)
        exc.scope = Scope("upstream", self._upstream.name)
        self.session.retry(exc, outcome)

    def _report(self, outcome):
        self.session.report(outcome, None, 0)
