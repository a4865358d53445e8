"""One model request: its attempts on engines and its answer to the caller."""

import json
import time

from . import caches, completions
from .answers import Answer
from .connections import Call, CallHandlers, find_outcome
from .exceptions import NOT_RUN, Scope, UpstreamFailed
from .handoffs import State
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

    def __init__(self, session, completion, version, state=None):
        self.session = session
        self.completion = completion
        self.version = version
        self.answer = Answer()
        self._call = None
        self._export = None
        self._export_began = 0.0
        self._parking = False
        self._attempt = None
        self._upstream = None
        self._began = 0.0
        self._first_token = None
        self._offset = 0
        self._created = int(time.time())
        if state is not None:
            self.answer.restore(state)
            self._created = state.created
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
        cache = session.caches.get(session.serial)
        if cache is None:
            self._send()
            return
        # Whatever comes of the import, prompt and tokens so far are enough to go on.
        self._call = caches.import_cache(
            session.client, session.cfg, upstream.address, cache, self._send
        )

    def cancel(self):
        """Stop the attempt under way, here and on the engine; return True."""
        if self.running:
            self._stop_call()
            self._cancel_upstream()
            self._report(CANCELLED)
        return True

    def move(self, outcome):
        """Resume elsewhere at the next token, with the KV cache where it can be had.

        It is called again and again until the attempt is over. The attempt runs on
        during the export: engines export running attempts only.
        """
        if not self.running or self._parking:
            return
        session, now = self.session, time.monotonic()
        if self._export is not None:
            # Guard: an engine may send its cache too slowly to come to an end; it would
            # be reclaimed with the request still on it.
            if now - self._export_began > caches.TRANSFER_LIMIT:
                self._leave_engine(outcome)
            return
        if session.caches.full:
            self._leave_engine(outcome)
            return

        def exported(cache):
            if cache is not None:
                session.caches.put(session.serial, cache)
            self._leave_engine(outcome)

        self._export_began = now
        self._export = caches.export_cache(
            session.client, session.cfg, self._upstream.address, self._attempt, exported
        )

    def park(self, address, parked):
        """Leave the KV cache at an engine; ``parked`` is called whatever comes of it.

        The attempt runs on until then, since engines export running attempts only.
        """
        session = self.session
        client, cfg, limit = session.client, session.cfg, caches.PARK_LIMIT
        self._stop_export()

        def end():
            session.caches.drop(session.serial)
            self._parking = False
            parked()

        def put(cache):
            if cache is None:
                end()
                return
            session.caches.put(session.serial, cache)
            caches.import_cache(client, cfg, address, cache, end, limit)

        # One that was to go to the next engine anyway.
        cache = session.caches.get(session.serial)
        if cache is None and (not self.running or session.caches.full):
            parked()
            return
        self._parking = True
        if cache is not None:
            put(cache)
            return
        source, attempt = self._upstream.address, self._attempt
        caches.export_cache(client, cfg, source, attempt, put, limit)

    def make_state(self, key, elapsed, upstream):
        """Return what another entry instance needs to go on."""
        completion, answer = self.completion, self.answer
        return State(
            key=key,
            version=self.version,
            created=self._created,
            tokens=tuple(answer.tokens),
            recomputed=answer.recomputed,
            elapsed=elapsed,
            upstream=upstream,
            complete=answer.complete,
            finish_reason=answer.finish_reason,
            prompt_tokens=answer.usage.get("prompt_tokens", 0),
            **completion._asdict(),
        )

    def replay(self, after):
        """Give a caller that reconnected what follows token ``after``, and go on."""
        tokens = self.answer.tokens[after + 1 :]
        if self.completion.stream and tokens:
            self._write_tokens(after + 1, tokens)
        if self.answer.complete:
            self._finish()

    def release(self):
        """Read on from the engine although the caller has gone."""
        if self.running:
            self.session.client.resume(self._call)

    def _leave_engine(self, outcome):
        if self.running:
            self._abandon(outcome, "The engine is leaving.")

    def _send(self):
        call = self._make_call(self._attempt, self._upstream)
        handlers = CallHandlers(self._headed, self._received, self._ended, self._failed)
        self._call = self.session.client.submit(call, handlers)

    def _stop_call(self):
        self.session.client.cancel(self._call)
        self._stop_export()

    def _stop_export(self):
        if self._export is not None:
            self.session.client.cancel(self._export)
            self._export = None

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
            self.session.caches.drop(self.session.serial)
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
        if self.completion.stream:
            self._write_tokens(self.answer.offset - len(tokens), tokens)

    def _write_tokens(self, first, tokens):
        exchange = self.session.exchange
        if not exchange.started:
            exchange.start(HTTP_OK, EVENTS_TYPE, self.session.headers)
            exchange.on_drain = self._resume_reading
        events = [self._write(first + i, token) for i, token in enumerate(tokens)]
        exchange.write("".join(events).encode())
        # Load: a caller that reads more slowly than the engine writes. Harm: the answer
        # piles up here. The engine is slowed by its own full socket instead.
        if exchange.congested and self.running:
            self.session.client.pause(self._call)

    def _resume_reading(self):
        if self._call is not None and not self.session.exchange.congested:
            self.session.client.resume(self._call)

    def _complete(self):
        self._stop_export()
        self._report(OK)
        session = self.session
        session.recomputed = self.answer.recomputed
        self._finish()
        session.close()

    def _finish(self):
        session = self.session
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

    def _abandon(self, outcome, detail):
        self._stop_call()
        if outcome != BUSY:
            self._cancel_upstream()
        self._lose(outcome, detail)

    def _lose(self, outcome, detail):
        self._stop_export()
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
