"""Assemble one answer from the attempts that make it, token by token."""

from typing import TypedDict

import msgspec

from .exceptions import UpstreamFailed

EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"
# Load: an engine that sends bytes and never the end of an event. Harm: they would be
# kept without end. A token's event has about a hundred bytes.
EVENT_LIMIT = 1024 * 1024


class Usage(TypedDict, total=False):
    """An engine's figures for one attempt, in tokens."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    recomputed_tokens: int


class EngineEvent(TypedDict, total=False):
    """One event of an engine's answer: a token, or the figures at its end."""

    attempt: str
    index: int
    token: str
    usage: Usage
    finish_reason: str | None


# msgspec reads and checks an event in a tenth of the time that json takes, and there is
# one for each of 9,400 tokens a second (letter 1).
read_event = msgspec.json.Decoder(EngineEvent).decode


class Answer:
    """The tokens of one request, whichever upstream they came from.

    Guard against late and crossed answers: each event carries the id of its attempt,
    and only events of the attempt under way count. Guard against gaps and repeats after
    a resume: each event carries the token's index, and only the next one is taken.
    Guard against half answers: complete means that the figures of this attempt and the
    end mark were read, never that a connection was closed.
    """

    def __init__(self):
        self.tokens: list[str] = []
        self.complete = False
        self.usage = {}
        self.finish_reason = None
        self.recomputed = 0
        self._attempt = None
        self._buffer = b""
        self._figures = None
        self._start = 0

    @property
    def offset(self):
        """Return how many tokens the answer has so far."""
        return len(self.tokens)

    @property
    def text(self):
        """Return the tokens so far as one text."""
        return "".join(self.tokens)

    def begin(self, attempt):
        """Take events of this attempt from now on."""
        self._attempt = attempt
        self._buffer = b""
        self._figures = None
        self._start = len(self.tokens)

    def restore(self, state):
        """Take what another entry instance has of the answer."""
        self.tokens = list(state.tokens)
        self.recomputed = state.recomputed
        self.complete = state.complete
        self.finish_reason = state.finish_reason
        if state.complete:
            count = len(state.tokens)
            self.usage = Usage(
                prompt_tokens=state.prompt_tokens, completion_tokens=count
            )

    def feed(self, data):
        """Return the tokens that these bytes add; raises UpstreamFailed on nonsense."""
        *events, self._buffer = (self._buffer + data).split(EVENT_END)
        if len(self._buffer) > EVENT_LIMIT:
            raise UpstreamFailed("An event is too long.")
        before = len(self.tokens)
        for event in events:
            if event.startswith(DATA) and not self.complete:
                self._take(event[len(DATA) :])
        return self.tokens[before:]

    def _take(self, data):
        if data == DONE:
            self._finish()
            return
        try:
            event = read_event(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise UpstreamFailed("An event can't be read.") from exc
        if event.get("attempt") != self._attempt:
            return
        if "token" in event:
            self._add(event)
        elif "usage" in event:
            self._figures = event

    def _add(self, event):
        index = event.get("index", -1)
        if index < 0 or index > len(self.tokens):
            raise UpstreamFailed("A token is missing.")
        if index == len(self.tokens):
            self.tokens.append(event["token"])

    def _finish(self):
        if self._figures is None:
            raise UpstreamFailed("The end mark came without this attempt's figures.")
        usage = self._figures["usage"]
        if usage.get("completion_tokens") != len(self.tokens) - self._start:
            raise UpstreamFailed("The figures don't match the tokens that came.")
        self.usage = usage | {"completion_tokens": len(self.tokens)}
        self.recomputed += usage.get("recomputed_tokens", 0)
        self.finish_reason = self._figures.get("finish_reason")
        self.complete = True
