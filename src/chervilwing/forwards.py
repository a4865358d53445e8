"""One call to a plain service: its attempts and its answer to the caller."""

from .connections import Call, CallHandlers
from .exceptions import NOT_RUN, RAN, Scope, UpstreamFailed
from .scheduling import CANCELLED, FAILED, REFUSED, SUCCEEDED

# Load: documents pulled all day. Harm: an answer is held whole until its end is known,
# so that no caller gets a part; the limit bounds what one of them can hold.
ANSWER_LIMIT = 16 * 1024 * 1024
PASSED_HEADERS = ("content-type", "accept", "idempotency-key")
ANSWERED_HEADERS = ("content-type", "location", "etag", "cache-control", "retry-after")
BUSY = 503


def pick_headers(headers, names):
    """Return only the named headers."""
    return {name: headers[name] for name in names if name in headers}


class Forward:
    """State of one service call.

    A call that may not be repeated goes out once, on a connection of its own, and is
    never sent again after a byte of it left, unless the service proves it did not run.
    """

    def __init__(self, session, path):
        self.session = session
        self._path = path
        self._call = None
        self._upstream = None
        self._status = 0
        self._fields = {}
        self._body = bytearray()

    def start(self, upstream):
        """Begin an attempt on this upstream."""
        session = self.session
        session.tries += 1
        self._upstream = upstream
        self._body.clear()
        req, cfg = session.exchange.req, session.cfg
        headers = pick_headers(req.headers, PASSED_HEADERS)
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
            fresh=not session.target.idempotent,
        )
        handlers = CallHandlers(self._headed, self._received, self._ended, self._failed)
        self._call = session.client.submit(call, handlers)

    def cancel(self):
        """Stop the attempt, unless it may have an effect that the caller asked for."""
        if self._call is None or self._call.over or not self.session.target.idempotent:
            return
        self.session.client.cancel(self._call)
        self._report(CANCELLED)

    def _headed(self, status, headers):
        self._status = status
        self._fields = headers

    def _received(self, data):
        self._body += data
        if len(self._body) > ANSWER_LIMIT:
            self.session.client.cancel(self._call)
            self._lose(FAILED, UpstreamFailed("The answer is too large.", outcome=RAN))

    def _ended(self):
        if self._status == BUSY and self._fields.get("x-not-run") == "1":
            self._lose(REFUSED, UpstreamFailed("Refused.", outcome=NOT_RUN))
            return
        self._report(SUCCEEDED)
        session = self.session
        fields = pick_headers(self._fields, ANSWERED_HEADERS)
        content_type = fields.pop("content-type", "application/octet-stream")
        session.exchange.answer(
            self._status, bytes(self._body), content_type, session.headers | fields
        )
        session.close()

    def _failed(self, exc):
        self._lose(FAILED, exc)

    def _lose(self, outcome, exc):
        self._report(outcome)
        scope = Scope("upstream", self._upstream.name)
        exc = UpstreamFailed(exc.detail, scope=scope, outcome=exc.outcome)
        self.session.retry(exc, outcome)

    def _report(self, outcome):
        self.session.report(self._upstream.name, outcome, None, 0)
