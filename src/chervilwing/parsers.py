"""HTTP/1.1 messages by circuits.web's parser, with guards for what it lets through.

Each guard below stands for a fault seen in circuits 3.2.5; tests/test_parsers.py holds
the bytes that show it.
"""

import re
from typing import NamedTuple

from circuits.web.parsers import HttpParser

from .exceptions import BadRequest, LengthRequired, TooLarge

REQUEST = 0
RESPONSE = 1
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
DIGITS = re.compile(rb"[0-9]{1,18}\Z")
FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")


class HttpRequest(NamedTuple):
    """One whole request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


class HttpHead(NamedTuple):
    """The status and headers of an answer."""

    status: int
    headers: dict[str, str]


def lower_headers(parser):
    """Return the parser's headers with names in lower case."""
    return {name.lower(): value for name, value in parser.get_headers().items()}


def escape_head(head):
    r"""Keep backslashes as they are.

    Guard: the parser decodes each line with ``unicode_escape``, so the four bytes
    ``\x0a`` in a value become a line feed, and a lone backslash raises. Doubled
    backslashes decode to the byte that was sent.
    """
    return head.replace(b"\\", b"\\\\")


def check_fields(head):
    """Raise BadRequest on a field that could be framed in two ways.

    Guard: the parser joins folded lines, takes the last of two lengths, and ignores a
    Content-Length that is no number. Two readers of one stream would then disagree
    where the next request starts (RFC 9112, section 11.2). Returns the body's length.
    """
    length = None
    for line in head.split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not FIELD_NAME.match(name) or b"\0" in value or b"\n" in value:
            raise BadRequest("A header line is malformed.")
        name = name.lower()
        if name == b"transfer-encoding":
            raise LengthRequired("Send the body with a Content-Length.")
        if name == b"content-length":
            if length is not None or not DIGITS.match(value.strip()):
                raise BadRequest("Content-Length is malformed or given twice.")
            length = int(value)
    return length or 0


def parse_head(head):
    """Return the parser after it has read a whole request head, or raise BadRequest."""
    parser = HttpParser(REQUEST)
    data = escape_head(head) + HEAD_END
    try:
        parser.execute(data, len(data))
    except Exception as exc:  # Guard: it raises what its helpers raise.
        raise BadRequest("The request head can't be parsed.") from exc
    if parser.errno is not None or not parser.is_headers_complete():
        raise BadRequest("The request head can't be parsed.")
    if parser.get_version() not in ((1, 0), (1, 1)):
        raise BadRequest("Only HTTP/1.0 and HTTP/1.1 are served.")
    return parser


class RequestReader:
    """Cut a byte stream into requests; keeps what belongs to the next one."""

    def __init__(self, cfg):
        self._cfg = cfg
        self._buffer = bytearray()
        self._parser = None
        self._length = 0

    @property
    def idle(self):
        """Tell whether no part of a request has come yet."""
        return not self._buffer and self._parser is None

    def feed(self, data):
        """Add bytes; over-long input raises TooLarge."""
        self._buffer += data
        limit = self._cfg.head_limit + self._cfg.body_limit
        if len(self._buffer) > limit:
            raise TooLarge(f"More than {limit} bytes are waiting.")

    def take(self):
        """Return the next whole request, or None."""
        if self._parser is None and not self._take_head():
            return None
        if len(self._buffer) < self._length:
            return None
        body = bytes(self._buffer[: self._length])
        del self._buffer[: self._length]
        parser, self._parser = self._parser, None
        return HttpRequest(
            parser.get_method(),
            parser.get_path(),
            parser.get_query_string(),
            lower_headers(parser),
            body,
            parser.should_keep_alive(),
        )

    def _take_head(self):
        end = self._buffer.find(HEAD_END)
        if max(end, 0) > self._cfg.head_limit or (
            end < 0 and len(self._buffer) > self._cfg.head_limit
        ):
            raise TooLarge(f"The head is over {self._cfg.head_limit} bytes.")
        if end < 0:
            return False
        head = bytes(self._buffer[:end])
        del self._buffer[: end + len(HEAD_END)]
        parser = parse_head(head)
        self._length = check_fields(head)
        if self._length > self._cfg.body_limit:
            raise TooLarge(f"The body is over {self._cfg.body_limit} bytes.")
        self._parser = parser
        return True


class ResponseReader:
    """Parse one answer as it comes, without keeping its body."""

    def __init__(self, method="GET"):
        self._bodiless = method == "HEAD"
        self._parser = HttpParser(RESPONSE)
        self._early = b""
        self._tail = b""
        self._head = None

    @property
    def reusable(self):
        """Tell whether the connection stands exactly behind the answer.

        Guard: the parser calls a chunked answer complete at ``0`` and drops what
        follows; the connection may carry a new request only when the whole last chunk
        was seen.
        """
        if not self.complete or not self._parser.should_keep_alive():
            return False
        return not self._parser.is_chunked() or self._tail == LAST_CHUNK

    @property
    def complete(self):
        """Tell whether the end of the answer has come."""
        return self._parser.is_message_complete()

    @property
    def head(self):
        """Return the status and headers, or None as long as they are incomplete."""
        if self._head is None and self._parser.is_headers_complete():
            parser = self._parser
            self._head = HttpHead(parser.get_status_code(), lower_headers(parser))
        return self._head

    def feed(self, data):
        """Return the part of the body that these bytes complete.

        Raises BadRequest when they are no HTTP answer.
        """
        self._tail = (self._tail + data)[-len(LAST_CHUNK) :]
        if self._head is None:
            return self._feed_head(data)
        self._execute(data)
        return self._parser.recv_body()

    def _feed_head(self, data):
        data = self._gather_head(data)
        if data:
            self._execute(data)
        self._finish_empty()
        return self._parser.recv_body() if self.head else b""

    def _gather_head(self, data):
        """Hand the head over in one piece.

        Guard: the parser looks for the end of a line only within the newest bytes and
        waits for ever when a read ends between CR and LF.
        """
        self._early += data
        end = self._early.find(HEAD_END)
        if end < 0:
            return b""
        head, rest = self._early[:end], self._early[end:]
        self._early = b""
        return escape_head(head) + rest

    def _execute(self, data):
        parser = self._parser
        try:
            parser.execute(data, len(data))
        except Exception as exc:  # Guard: it raises what its helpers raise.
            raise BadRequest("The answer can't be parsed.") from exc
        if parser.errno is None:
            return
        # Guard: a read that ends between a chunk and its CRLF is called an error,
        # though the parser has kept the bytes and goes on well with the next ones.
        if "missing terminator" in parser.errstr:
            parser.errno = None
            return
        raise BadRequest("The answer can't be parsed.")

    def _finish_empty(self):
        """Mark an answer of no bytes complete: the parser waits for a body for ever."""
        head = self.head
        if head is None or self.complete:
            return
        empty = head.headers.get("content-length") == "0" or head.status in (204, 304)
        if empty or self._bodiless:
            self._parser.execute(b"", 0)
