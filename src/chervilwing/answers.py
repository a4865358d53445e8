"""Assemble one answer, token by token, from the attempts of a request."""

import math
from typing import TypedDict

import msgspec

from .exceptions import DECODE_ERRORS, UpstreamFailed

EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"
# Bytes of one event. Without a limit, an engine that never ends an event would fill the
# memory. The event of a token has about a hundred bytes.
EVENT_LIMIT = 1024 * 1024
# Characters of all tokens of one answer. A token usually has fewer than ten.
TEXT_LIMIT = 4 * 1024 * 1024


class Usage(TypedDict, total=False):
    """An engine's token counts for one attempt."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    recomputed_tokens: int


class EngineEvent(TypedDict, total=False):
    """One event of an engine's answer: a token, or the usage at its end."""

    attempt: str
    index: int
    token: str
    usage: Usage
    finish_reason: str | None


# msgspec decodes and checks an event in a tenth of the time of json; a node receives up
# to 9,400 tokens a second, each in an event.
read_event = msgspec.json.Decoder(EngineEvent).decode


class Answer:
    """Collect the tokens of one request from all its attempts.

    Each event has the id of its attempt; events of other attempts are ignored, so that
    late or crossed answers add nothing. Each token has an index, and only the next
    index is appended, so that a resumed answer has no gaps or repeats. An answer is
    complete only after the usage of the current attempt and the end mark; a closed
    connection doesn't complete it. Tokens beyond ``max_tokens`` are ignored.
    """

    def __init__(self, max_tokens=math.inf):
        self._max_tokens = max_tokens
        self._text_size = 0
        self.tokens: list[str] = []
        self.complete = False
        self.usage = {}
        self.finish_reason = None
        self.recomputed = 0
        self._attempt = None
        self._buffer = b""
        self._usage_event = None
        self._start = 0

    @property
    def offset(self):
        """Return the number of tokens so far."""
        return len(self.tokens)

    @property
    def text(self):
        """Return the tokens so far as one text."""
        return "".join(self.tokens)

    def begin(self, attempt):
        """Accept only events of this attempt from now on."""
        self._attempt = attempt
        self._buffer = b""
        self._usage_event = None
        self._start = len(self.tokens)

    def restore(self, state):
        """Restore the answer from another entry instance's state."""
        self.tokens = list(state.tokens)
        self._text_size = sum(map(len, self.tokens))
        self.recomputed = state.recomputed
        self.complete = state.complete
        self.finish_reason = state.finish_reason
        if state.complete:
            count = len(state.tokens)
            self.usage = Usage(
                prompt_tokens=state.prompt_tokens, completion_tokens=count
            )

    def feed(self, data):
        """Return the tokens that these bytes add; raise UpstreamFailed if invalid."""
        *events, self._buffer = (self._buffer + data).split(EVENT_END)
        if len(self._buffer) > EVENT_LIMIT:
            raise UpstreamFailed("An event is too long.")
        before = len(self.tokens)
        for event in events:
            if event.startswith(DATA) and not self.complete:
                self._handle_event(event[len(DATA) :])
        return self.tokens[before:]

    def _handle_event(self, data):
        if data == DONE:
            self._finish()
            return
        try:
            event = read_event(data)
        except DECODE_ERRORS as exc:
            raise UpstreamFailed("An event could not be decoded.") from exc
        if event.get("attempt") != self._attempt:
            return
        if "token" in event:
            self._add(event)
        elif "usage" in event:
            self._usage_event = event

    def _add(self, event):
        index = event.get("index", -1)
        if index >= self._max_tokens:
            return
        if index < 0 or index > len(self.tokens):
            raise UpstreamFailed("A token is missing.")
        if index < len(self.tokens):
            return
        token = event["token"]
        self._text_size += len(token)
        if self._text_size > TEXT_LIMIT:
            raise UpstreamFailed("The answer is too long.")
        self.tokens.append(token)

    def _finish(self):
        if self._usage_event is None:
            raise UpstreamFailed("The end mark came without the attempt's usage.")
        usage = self._usage_event["usage"]
        if usage.get("completion_tokens") != len(self.tokens) - self._start:
            raise UpstreamFailed("The usage does not match the number of tokens.")
        self.usage = usage | {"completion_tokens": len(self.tokens)}
        self.recomputed += usage.get("recomputed_tokens", 0)
        self.finish_reason = self._usage_event.get("finish_reason")
        self.complete = True
