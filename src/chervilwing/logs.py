"""Structured log lines in JSON or text, one for each finished request.

No line contains a prompt, a key or a body. A request's line has the fields of
RequestLine only. A failure's line has the type and the traceback's locations, but the
message only for a ChervilwingError, as other exceptions may quote their input.
"""

import json
import os
import time
import traceback
from typing import NamedTuple

from loguru import logger

from .exceptions import ChervilwingError

# Rate limit of the log lines of requests. A line takes 60 us of processor time, so that
# tens of thousands of refusals a second would delay the answers. A node is designed for
# 34 requests a second.
LINES_PER_SECOND = 300.0
LINE_BURST = 600.0
MAX_FRAMES = 12
MAX_VALUE_LENGTH = 256


class RequestLine(NamedTuple):
    """The log fields of one finished request; times are in seconds."""

    request: str
    customer: str
    work_class: str
    upstream: str
    tries: int
    tokens: int
    recomputed: int
    outcome: str
    cause: str = ""
    status: int = 0
    seconds: float = 0.0


def set_up_logs(cfg, sink):
    """Write log lines of at least the configured level to one sink.

    ``diagnose`` stays off, as it would print the values of variables, such as prompts.
    Return loguru's id of the sink.
    """
    render = RENDERERS[cfg.log_format]

    def format_record(record):
        record["extra"] = {"line": render(record)}
        return "{extra[line]}\n"

    logger.remove()
    return logger.add(
        sink,
        level=cfg.log_level.upper(),
        format=format_record,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )


class _RateLimit:
    """Token bucket for the log lines of requests, and the number of lines dropped."""

    tokens = float(LINE_BURST)
    updated_at = 0.0
    dropped = 0


def count_dropped_lines():
    """Return the number of lines dropped since the start."""
    return _RateLimit.dropped


def _is_allowed(now):
    gained = (now - _RateLimit.updated_at) * LINES_PER_SECOND
    _RateLimit.tokens = min(LINE_BURST, _RateLimit.tokens + gained)
    _RateLimit.updated_at = now
    if _RateLimit.tokens < 1:
        _RateLimit.dropped += 1
        return False
    _RateLimit.tokens -= 1
    return True


class NonBlockingSink:
    """Write lines to a file descriptor without ever blocking on its reader.

    A pipe buffers 64 KB. If the reader of the log stalls, the next blocking write would
    stop every request of the process.
    """

    def __init__(self, fileno):
        self._fileno = fileno
        self._unwritten = b""
        os.set_blocking(fileno, False)

    def write(self, message):
        """Write one whole line, or drop it if the last one is still unwritten."""
        if not self._flush():
            _RateLimit.dropped += 1
            return
        self._unwritten = message.encode()
        self._flush()

    def _flush(self):
        while self._unwritten:
            try:
                written = os.write(self._fileno, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed its end, so no line can be written any more.
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


def log_request(line):
    """Write the log line of a finished request, subject to the rate limit."""
    if not _is_allowed(time.monotonic()):
        return
    logger.bind(**line._asdict()).info("request")


def log_event(message, **fields):
    """Write a line about the instance, with a constant message and plain fields."""
    logger.bind(**fields).info(message)


def log_failure(action, exc, **fields):
    """Write a line about a failure of ``action``: its type and its locations."""
    logger.bind(**fields, **describe_failure(exc)).error(action)


def describe_failure(exc):
    """Return the log fields of a failure: its type and the traceback's locations.

    The message is included only for a ChervilwingError, as the messages of other
    libraries can quote their input, such as a caller's body.
    """
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    places = [f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames]
    fields = {"error": type(exc).__name__, "places": places}
    if isinstance(exc, ChervilwingError):
        fields["detail"] = exc.detail
    return fields


def _read_fields(record):
    fields = dict(record["extra"])
    if record["exception"] is not None and record["exception"].value is not None:
        fields.update(describe_failure(record["exception"].value))
    return {name: _truncate(value) for name, value in fields.items()}


def _truncate(value):
    """Return a value of bounded length, as a caller may send a huge request id."""
    if isinstance(value, str):
        return value[:MAX_VALUE_LENGTH]
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, (list, tuple)):
        return [_truncate(item) for item in value]
    return str(value)[:MAX_VALUE_LENGTH]


def _render_json(record):
    line = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "message": record["message"],
    }
    return json.dumps({**line, **_read_fields(record)}, separators=(",", ":"))


def _render_text(record):
    at = record["time"].strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
    level = record["level"].name.lower()
    # JSON quoting prevents a line break in a caller's request id from forging a line.
    fields = (f"{name}={json.dumps(v)}" for name, v in _read_fields(record).items())
    return " ".join([at, level, json.dumps(record["message"])[1:-1], *fields])


RENDERERS = {"json": _render_json, "text": _render_text}
