"""One model request: its attempts on engines and its answer to the caller."""

import json
import time

from . import completions
from .answers import Answer
from .connections import Call, CallHandlers, find_outcome
from .exceptions import NOT_RUN, Scope, UpstreamFailed
from .web import EVENTS_TYPE
from .work import BUSY, CANCELLED, FAILED, OK

COMPLETIONS_PATH = "/v1/completions"
CANCEL_PATH = "/v1/cancel"
HTTP_OK = 200
HTTP_BUSY = 503
JSON_HEADERS = {"Content-Type": "application/json"}


def ignore(*args):
    """Do nothing: the handler of a report that nobody waits for."""


IGNORED = CallHandlers(ignore, ignore, ignore, ignore)


class Generation:
    """State of one model request.

    Model work is idempotent: an attempt that breaks off is resumed elsewhere at the
    next token, with the tokens so far given as a prefix, so that the caller sees no
    gap.
    """

    def __init__(self, session, completion, version):
        self.session = session
        self.completion = completion
        self.version = version
        self.answer = Answer()
        self._call = None
        self._attempt = None
        self._upstream = None
        self._began = 0.0
        self._first_token = None
        self._offset = 0
        self._created = int(time.time())
        self._write = completions.make_chunk_writer(
            completion, session.request_id, self._created
        )

    @property
    def running(self):
        """Tell whether an attempt is under way."""
        return self._call is not None and not self._call.over

    def start(self, upstream):
        """Begin an attempt on this upstream."""
        session = self.session
        session.tries += 1
        attempt = f"{session.serial}.{session.tries}"
        self._attempt, self._upstream = attempt, upstream
        self._began = time.monotonic()
        self._first_token = None
        self._offset = self.answer.offset
        self.answer.begin(attempt)
        call = self._make_call(attempt, upstream)
        handlers = CallHandlers(self._headed, self._received, self._ended, self._failed)
        self._call = session.client.submit(call, handlers)

    def cancel(self):
        """Stop the attempt under way, here and on the engine; return True."""
        if self.running:
            self.session.client.cancel(self._call)
            self._cancel_upstream()
            self._report(CANCELLED)
        return True

    def move(self, outcome):
        """Break the attempt off and resume it elsewhere at the next token."""
        if self.running:
            self._abandon(outcome, "The engine is leaving.")

    def _make_call(self, attempt, upstream):
        completion, cfg = self.completion, self.session.cfg
        body = {
            "model": self.version,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "priority": self.session.target.work_class.priority,
            "attempt": attempt,
            "offset": self.answer.offset,
            "prefix": self.answer.text,
        }
        headers = JSON_HEADERS | {"X-Attempt-Id": attempt}
        return Call(
            upstream.address,
            "POST",
            COMPLETIONS_PATH,
            headers,
            json.dumps(body).encode(),
            cfg.connect_timeout,
            cfg.silence_timeout,
        )

    def _headed(self, status, headers):
        if status == HTTP_OK:
            return
        outcome = BUSY if status == HTTP_BUSY else FAILED
        self._abandon(outcome, f"The engine answered {status}.")

    def _received(self, data):
        before, failure = self.answer.offset, None
        try:
            self.answer.feed(data)
        except UpstreamFailed as exc:
            failure = exc
        # Guard: tokens that came in one read with the nonsense behind them count as
        # given, so that the next attempt goes on after them; unless they are written,
        # the caller sees a gap.
        tokens = self.answer.tokens[before:]
        if tokens:
            self._emit(tokens)
        if failure is not None:
            self._abandon(FAILED, failure.detail)
        elif self.answer.complete:
            self._complete()

    def _ended(self):
        if not self.answer.complete:
            self._lose(FAILED, "The answer ended without its end mark.")

    def _failed(self, exc):
        if not self.answer.complete:
            self._lose(find_outcome(exc), exc.detail)

    def _emit(self, tokens):
        now = time.monotonic()
        if self._first_token is None:
            self._first_token = now - self._began
        self.session.record_tokens(len(tokens), now)
        if not self.completion.stream:
            return
        exchange = self.session.exchange
        if not exchange.started:
            exchange.start(HTTP_OK, EVENTS_TYPE, self.session.headers)
            exchange.on_drain = self._resume_reading
        first = self.answer.offset - len(tokens)
        events = [self._write(first + i, token) for i, token in enumerate(tokens)]
        exchange.write("".join(events).encode())
        # Load: a caller that reads more slowly than the engine writes. Harm: the answer
        # piles up here. The engine is slowed by its own full socket instead.
        if exchange.congested:
            self.session.client.pause(self._call)

    def _resume_reading(self):
        if self._call is not None and not self.session.exchange.congested:
            self.session.client.resume(self._call)

    def _complete(self):
        self._report(OK)
        session = self.session
        session.recomputed = self.answer.recomputed
        if self.completion.stream:
            if not session.exchange.started:
                session.exchange.start(HTTP_OK, EVENTS_TYPE, session.headers)
            end = completions.format_end(
                self.completion, session.request_id, self.answer, self._created
            )
            session.exchange.finish(end)
        else:
            value = completions.format_answer(
                self.completion, session.request_id, self.answer, self._created
            )
            session.exchange.answer_json(HTTP_OK, value, session.headers)
        session.close()

    def _abandon(self, outcome, detail):
        self.session.client.cancel(self._call)
        if outcome != BUSY:
            self._cancel_upstream()
        self._lose(outcome, detail)

    def _lose(self, outcome, detail):
        self._report(outcome)
        scope = Scope("upstream", self._upstream.name)
        run = NOT_RUN if outcome == BUSY else None
        self.session.retry(UpstreamFailed(detail, scope=scope, outcome=run), outcome)

    def _cancel_upstream(self):
        body = json.dumps({"attempt": self._attempt}).encode()
        address = self._upstream.address
        call = Call(address, "POST", CANCEL_PATH, JSON_HEADERS, body)
        self.session.client.submit(call, IGNORED)

    def _report(self, outcome):
        done = self.answer.offset - self._offset
        self.session.report(outcome, self._first_token, done)
