"""Structured log lines: JSON or text, one for each finished request.

No line holds a prompt, a key or a body: a request's line has the fields of RequestLine
and no others, and a failure's line has the type and the places, never the message of an
exception that we didn't write.
"""

import json
import traceback
from typing import NamedTuple

from loguru import logger

from .exceptions import ChervilwingError

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


def log_request(line):
    """Write the one line of a finished request."""
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
