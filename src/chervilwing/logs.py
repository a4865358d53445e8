"""Structured log lines: JSON or text, one for each finished request.

No line holds a prompt, a key or a body: a request's line has the fields of RequestLine
and no others, and a failure's line has the type and the places, never the message of an
exception that we didn't write.
"""

import json
import os
import time
import traceback
from typing import NamedTuple

from loguru import logger

from .exceptions import ChervilwingError

# Load: tens of thousands of refusals a second. Harm: a line costs 60 us of processor
# time, and what is spent on lines is missing for answers. A node's usual requests are
# 34 a second at the design size.
LINES_PER_SECOND = 300.0
LINES_AT_ONCE = 600.0
FRAMES_MAX = 12
VALUE_MAX = 256


class RequestLine(NamedTuple):
    """What is logged of one finished request; times in seconds."""

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
    """Send all log lines to one sink, in the form and from the level of the settings.

    ``diagnose`` stays off: it would print the values of variables, prompts among them.
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


class _Bound:
    """How many request lines may still be written, and how many were left out."""

    level = float(LINES_AT_ONCE)
    at = 0.0
    dropped = 0


def count_dropped():
    """Return how many lines were left out so far."""
    return _Bound.dropped


def _may_write(now):
    gained = (now - _Bound.at) * LINES_PER_SECOND
    _Bound.level = min(LINES_AT_ONCE, _Bound.level + gained)
    _Bound.at = now
    if _Bound.level < 1:
        _Bound.dropped += 1
        return False
    _Bound.level -= 1
    return True


class NonBlockingSink:
    """Write lines to a descriptor that may be full, and never wait for its reader.

    Guard: whoever reads the log stalls; a pipe holds 64 KB, and the next line would
    stop every request of the process.
    """

    def __init__(self, fileno):
        self._fileno = fileno
        self._rest = b""
        os.set_blocking(fileno, False)

    def write(self, message):
        """Write one line whole, or leave it out."""
        if not self._flush():
            _Bound.dropped += 1
            return
        self._rest = message.encode()
        self._flush()

    def _flush(self):
        while self._rest:
            try:
                written = os.write(self._fileno, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone for good; there is nobody to tell.
                self._rest = b""
                return True
            self._rest = self._rest[written:]
        return True


def log_request(line):
    """Write the one line of a finished request, unless there are too many."""
    if not _may_write(time.monotonic()):
        return
    logger.bind(**line._asdict()).info("request")


def log_event(message, **fields):
    """Write a line about the instance itself, with a fixed message and plain fields."""
    logger.bind(**fields).info(message)


def log_failure(doing, exc, **fields):
    """Write a line about a failure: what was being done, its type and its places."""
    logger.bind(**fields, **describe_failure(exc)).error(doing)


def describe_failure(exc):
    """Return a failure's type and places; its text only if the type is our own.

    Messages of other libraries can quote their input, a caller's body for example.
    """
    frames = traceback.extract_tb(exc.__traceback__)[-FRAMES_MAX:]
    places = [f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames]
    fields = {"error": type(exc).__name__, "places": places}
    if isinstance(exc, ChervilwingError):
        fields["detail"] = exc.detail
    return fields


def _read_fields(record):
    fields = dict(record["extra"])
    if record["exception"] is not None and record["exception"].value is not None:
        fields.update(describe_failure(record["exception"].value))
    return {name: _clip(value) for name, value in fields.items()}


def _clip(value):
    """Return a value that is safe in a line: a caller may send a huge request id."""
    if isinstance(value, str):
        return value[:VALUE_MAX]
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, (list, tuple)):
        return [_clip(item) for item in value]
    return str(value)[:VALUE_MAX]


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
    # JSON quoting keeps a line break in a caller's request id from forging a line.
    fields = (f"{name}={json.dumps(v)}" for name, v in _read_fields(record).items())
    return " ".join([at, level, json.dumps(record["message"])[1:-1], *fields])


RENDERERS = {"json": _render_json, "text": _render_text}
