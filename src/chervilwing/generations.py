"""Run one model request: its attempts on engines and its answer to the caller."""

import json
import time

from . import caches, completions
from .answers import Answer
from .connections import Call, CallHandlers, get_attempt_outcome
from .exceptions import NOT_RUN, Scope, UpstreamFailed
from .exchanges import EVENTS_TYPE
from .handoffs import State
from .reply_bounds import STREAMED_REPLY
from .work import BUSY, CANCELLED, FAILED, OK

COMPLETIONS_PATH = "/v1/completions"
CANCEL_PATH = "/v1/cancel"
HTTP_OK = 200
HTTP_BUSY = 503
JSON_HEADERS = {"Content-Type": "application/json"}


def ignore(*args):
    """Ignore the reply to a call."""


IGNORE_REPLY = CallHandlers(ignore, ignore, ignore, ignore)


class Generation:
    """State of one model request.

    Model work is idempotent. After a failed attempt the next engine continues with the
    next token; it gets the tokens so far as a prefix, so that the caller sees no gap.
    """

    def __init__(self, session, completion, version, state=None):
        self.session = session
        self.completion = completion
        self.version = version
        self.answer = Answer(completion.max_tokens)
        self._call = None
        self._export = None
        self._export_began = 0.0
        self._storing_cache = False
        self._attempt = None
        self._upstream = None
        self._began = 0.0
        self._first_token = None
        self._offset = 0
        self._created = int(time.time())
        if state is not None:
            self.answer.restore(state)
            self._created = state.created
        self._format_chunk = completions.make_chunk_formatter(
            completion, session.request_id, self._created
        )

    @property
    def running(self):
        """Return whether an attempt is running."""
        return self._call is not None and not self._call.finished

    def start(self, upstream):
        """Start an attempt on this upstream."""
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
        # Send the request even if the import fails: the prompt and the tokens so far
        # are enough to continue.
        self._call = caches.import_cache(
            session.client, session.cfg, upstream.address, cache, self._send
        )

    def cancel(self):
        """Cancel the running attempt, here and on the engine; return True."""
        if self.running:
            self._stop_call()
            self._cancel_upstream()
            self._report(CANCELLED)
        return True

    def move(self, outcome):
        """Resume on another engine at the next token, with the KV cache if possible.

        Called on each tick until the attempt has ended. The attempt keeps running
        during the export, because engines export only running attempts.
        """
        if not self.running or self._storing_cache:
            return
        session, now = self.session, time.monotonic()
        if self._export is not None:
            # If the engine sends its cache too slowly, give the cache up: otherwise the
            # engine would be reclaimed with the request still on it.
            if now - self._export_began > caches.TRANSFER_TIMEOUT:
                self._stop_on_engine(outcome)
            return
        if session.caches.full:
            self._stop_on_engine(outcome)
            return

        def exported(cache):
            if cache is not None:
                session.caches.put(session.serial, cache)
            self._stop_on_engine(outcome)

        self._export_began = now
        self._export = caches.export_cache(
            session.client, session.cfg, self._upstream.address, self._attempt, exported
        )

    def withdraw_unsent(self):
        """Retry elsewhere if the attempt still waits for a connection."""
        if self.running and self._call.conn.connecting:
            self._abort_attempt(BUSY, "The request was not sent.")

    def store_cache(self, address, done):
        """Copy the KV cache to an engine; call ``done`` on success and on failure.

        The attempt keeps running until then, because engines export only running
        attempts.
        """
        session = self.session
        client, cfg, limit = session.client, session.cfg, caches.HAND_OVER_TIMEOUT
        self._stop_export()

        def end():
            session.caches.drop(session.serial)
            self._storing_cache = False
            done()

        def put(cache):
            if cache is None:
                end()
                return
            session.caches.put(session.serial, cache)
            caches.import_cache(client, cfg, address, cache, end, limit)

        # A cache that was exported earlier, on its way to the next engine.
        cache = session.caches.get(session.serial)
        if cache is None and (not self.running or session.caches.full):
            done()
            return
        self._storing_cache = True
        if cache is not None:
            put(cache)
            return
        source, attempt = self._upstream.address, self._attempt
        caches.export_cache(client, cfg, source, attempt, put, limit)

    def make_state(self, key, elapsed, upstream):
        """Return the state with which another entry instance can continue."""
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
        """Send a reconnected caller the tokens after index ``after``."""
        tokens = self.answer.tokens[after + 1 :]
        if self.completion.stream and tokens:
            self._write_tokens(after + 1, tokens)
        if self.answer.complete:
            self._finish()

    def resume(self):
        """Resume reading from the engine if it was paused for a slow caller."""
        if self.running:
            self.session.client.resume(self._call)

    def _stop_on_engine(self, outcome):
        if self.running:
            self._abort_attempt(outcome, "The engine is leaving.")

    def _send(self):
        # The engine may have asked for a pause while its cache was imported.
        if self.session.is_upstream_paused():
            self._fail_attempt(BUSY, "The engine asked for a pause.")
            return
        call = self._make_call(self._attempt, self._upstream)
        handlers = CallHandlers(
            self._handle_headers,
            self._handle_data,
            self._handle_end,
            self._handle_failure,
        )
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
            bound=STREAMED_REPLY,
        )

    def _handle_headers(self, status, headers):
        self.session.record_answer_head(status, headers)
        if status == HTTP_OK:
            self.session.caches.drop(self.session.serial)
            return
        outcome = BUSY if status == HTTP_BUSY else FAILED
        self._abort_attempt(outcome, f"The engine answered {status}.")

    def _handle_data(self, data):
        before, failure = self.answer.offset, None
        try:
            self.answer.feed(data)
        except UpstreamFailed as exc:
            failure = exc
        # Tokens read together with an invalid event behind them are part of the answer,
        # and the next attempt continues after them. They must be sent to the caller,
        # who would otherwise see a gap.
        tokens = self.answer.tokens[before:]
        if tokens:
            self._emit(tokens)
        if failure is not None:
            self._abort_attempt(FAILED, failure.detail)
        elif self.answer.complete:
            self._complete()

    def _handle_end(self):
        if not self.answer.complete:
            self._fail_attempt(FAILED, "The answer ended without its end mark.")

    def _handle_failure(self, exc):
        if not self.answer.complete:
            self._fail_attempt(get_attempt_outcome(exc), exc.detail)

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
        events = [
            self._format_chunk(first + i, token) for i, token in enumerate(tokens)
        ]
        exchange.write("".join(events).encode())
        # If the caller reads more slowly than the engine writes, the answer would pile
        # up in memory. Stop reading, so that the full socket slows the engine down.
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

    def _abort_attempt(self, outcome, detail):
        self._stop_call()
        if outcome != BUSY:
            self._cancel_upstream()
        self._fail_attempt(outcome, detail)

    def _fail_attempt(self, outcome, detail):
        self._stop_export()
        self._report(outcome)
        scope = Scope("upstream", self._upstream.name)
        run = NOT_RUN if outcome == BUSY else None
        self.session.retry(UpstreamFailed(detail, scope=scope, outcome=run), outcome)

    def _cancel_upstream(self):
        body = json.dumps({"attempt": self._attempt}).encode()
        address = self._upstream.address
        call = Call(address, "POST", CANCEL_PATH, JSON_HEADERS, body)
        self.session.client.submit(call, IGNORE_REPLY)

    def _report(self, outcome):
        done = self.answer.offset - self._offset
        self.session.report(outcome, self._first_token, done)
