"""Encoders of response heads and of problem documents."""

from http import HTTPStatus

PROBLEM_TYPE_BASE = "https://chervilwing.example/problems/"
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def encode_head(status, headers):
    """Return the status line and header fields of an answer as bytes."""
    # A service may answer with a status that has no registered reason phrase.
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_problem(exc):
    """Return the problem document of a failure (RFC 9457) and its extra headers."""
    body = {
        "type": PROBLEM_TYPE_BASE + exc.type,
        "title": exc.title,
        "status": exc.status,
        "detail": exc.detail,
        "outcome": exc.outcome,
        "scope": exc.scope._asdict(),
    }
    if exc.retry_after is None:
        return body, {}
    body["retry_after"] = exc.retry_after
    # The field holds whole seconds; rounded down, it would invite a retry too early.
    return body, {"Retry-After": str(max(1, -int(-exc.retry_after // 1)))}
