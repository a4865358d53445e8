"""Heads of answers as bytes, and failures as problem documents."""

from http import HTTPStatus

PROBLEM_BASE = "https://chervilwing.example/problems/"
REASONS = {status.value: status.phrase for status in HTTPStatus}


def encode_head(status, headers):
    """Return the status line and header fields of an answer as bytes."""
    # A service may answer a status that has no registered reason.
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_problem(exc):
    """Return the problem document of a failure (RFC 9457) and its extra headers."""
    body = {
        "type": PROBLEM_BASE + exc.type,
        "title": exc.title,
        "status": exc.status,
        "detail": exc.detail,
        "outcome": exc.outcome,
        "scope": exc.scope._asdict(),
    }
    if exc.retry_after is None:
        return body, {}
    body["retry_after"] = exc.retry_after
    # The header takes whole seconds only; rounding up keeps its promise.
    return body, {"Retry-After": str(max(1, -int(-exc.retry_after // 1)))}
