"""HTTP/1.1 messages: heads by circuits.web's parser, bodies cut by their framing.

Each guard below stands for a fault seen in circuits 3.2.5; tests/test_parsers.py holds
the bytes that show it. The parser is given only heads that can be read in one way. Its
body side loses, joins or invents bytes when a read ends in the wrong place or a length
is malformed, so bodies are cut here.
"""

import re
from typing import NamedTuple

from circuits.web.parsers import HttpParser

from .bodies import ChunkedBody, SizedBody
from .exceptions import BadRequest, LengthRequired, TooLarge

REQUEST = 0
RESPONSE = 1
CRLF = b"\r\n"
HEAD_END = b"\r\n\r\n"
HTTP_1 = b"HTTP/1."
DIGITS = re.compile(r"[0-9]{1,18}\Z")
FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
# All control characters but the tab; a bare CR or LF would start a line of its own for
# whoever reads the field next.
CONTROLS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
REQUEST_LINE = re.compile(rb"([!-~]+) ([!-~]+) HTTP/([0-9])\.([0-9])\Z")
TARGET = re.compile(r"(?:https?://[^/?#]+)?([^#]*)\Z", re.IGNORECASE)
STATUS_LINE = re.compile(rb"(HTTP/1\.[01]) ([1-5][0-9]{2})(?: .*)?\Z")
VERSIONS = ((1, 0), (1, 1))
# Fields that mean one thing; given twice, two readers could pick a different one.
SINGLE = {
    "authorization",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
    "x-request-id",
}
BODILESS = (204, 304)
SWITCHING_PROTOCOLS = 101
HTTP_OK = 200
# Load: an upstream that sends no line end. Harm: its bytes would be kept without end.
ANSWER_HEAD_LIMIT = 65536


class HttpRequest(NamedTuple):
    """One whole request; header names are in lower case.

    ``chunks`` tells whether its sender reads chunked answers.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    chunks: bool = True

    @property
    def target(self):
        """Return path and query as they stood in the request line."""
        return f"{self.path}?{self.query}" if self.query else self.path


class HttpHead(NamedTuple):
    """The status and headers of an answer."""

    status: int
    headers: dict[str, str]


def check_fields(lines):
    """Raise BadRequest on fields that could be read in two ways.

    Guard: the parser joins folded lines and repeated fields, takes bare CR and LF into
    a value, and ignores a Content-Length that is no number. Two readers of one stream
    would then disagree where the next message starts (RFC 9112, section 11.2).
    """
    seen = set()
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not FIELD_NAME.match(name) or CONTROLS.search(value):
            raise BadRequest("A header line is malformed.")
        name = name.decode().lower()
        if name in SINGLE and name in seen:
            raise BadRequest(f"{name} is given twice.")
        seen.add(name)


def parse_head(kind, first, lines):
    r"""Return the parser after it has read a whole head, or raise BadRequest.

    Guard: the parser decodes each line with ``unicode_escape``, so the four bytes
    ``\x0a`` in a value become a line feed, and a lone backslash raises. Doubled
    backslashes decode to the byte that was sent.
    """
    check_fields(lines)
    parser = HttpParser(kind)
    data = CRLF.join((first, *lines)).replace(b"\\", b"\\\\") + HEAD_END
    try:
        parser.execute(data, len(data))
    except Exception as exc:  # Guard: it raises what its helpers raise.
        raise BadRequest("The head can't be parsed.") from exc
    if parser.errno is not None or not parser.is_headers_complete():
        raise BadRequest("The head can't be parsed.")
    return parser


def lower_headers(parser):
    """Return the parser's headers with names in lower case."""
    return {name.lower(): value for name, value in parser.get_headers().items()}


def read_length(headers):
    """Return the Content-Length, None without one, or raise BadRequest."""
    given = headers.get("content-length")
    if given is None:
        return None
    if not DIGITS.match(given):
        raise BadRequest("Content-Length is malformed.")
    return int(given)


def is_persistent(version, headers):
    """Tell whether the connection may carry another message (RFC 9112, section 9.3)."""
    options = headers.get("connection", "").lower().split(",")
    options = {option.strip() for option in options}
    if "close" in options:
        return False
    return version == (1, 1) or "keep-alive" in options


def split_target(target):
    """Return path and query of a request target, or raise BadRequest.

    Guard: the parser takes ``//notes`` for the name of a host and drops it from the
    path, so that rules and service would see different paths.
    """
    match = TARGET.match(target)
    rest = match.group(1) if match else ""
    if rest == "*":
        return rest, ""
    if match and (not rest or rest[0] == "?"):
        rest = "/" + rest
    if not rest.startswith("/"):
        raise BadRequest("The request target is malformed.")
    path, _, query = rest.partition("?")
    return path, query


def read_request_head(head, chunked=False):
    """Return the request without its body, and the empty reader of its body.

    ``chunked`` takes bodies that come in chunks too.
    """
    first, *lines = head.split(CRLF)
    match = REQUEST_LINE.match(first)
    if match is None:
        raise BadRequest("The request line is malformed.")
    method, target, *version = match.groups()
    version = tuple(map(int, version))
    if version not in VERSIONS:
        raise BadRequest("Only HTTP/1.0 and HTTP/1.1 are served.")
    path, query = split_target(target.decode())
    parser = parse_head(REQUEST, method + b" / HTTP/1.1", lines)
    headers = lower_headers(parser)
    if chunked:
        body = make_request_body(version, headers)
    elif "transfer-encoding" in headers:
        raise LengthRequired("Send the body with a Content-Length.")
    else:
        body = SizedBody(read_length(headers) or 0)
    keep = is_persistent(version, headers)
    chunks = version == (1, 1)
    method = parser.get_method()
    return HttpRequest(method, path, query, headers, b"", keep, chunks), body


def make_request_body(version, headers):
    """Return the reader of a request's body, or raise BadRequest.

    Guard: a request with two framings, or with a coding other than ``chunked``, ends at
    one place for us and at another for the upstream; a second request hidden in its
    body would then run without having passed our checks (RFC 9112, section 6.1).
    """
    coding = headers.get("transfer-encoding")
    length = read_length(headers)
    if coding is None:
        return SizedBody(length or 0)
    if length is not None or coding.lower() != "chunked" or version != (1, 1):
        raise BadRequest("The request's framing is ambiguous.")
    return ChunkedBody()


class RequestReader:
    """Cut a byte stream into requests; keeps what belongs to the next one."""

    def __init__(self, cfg, chunked=False):
        self._cfg = cfg
        self._chunked = chunked
        self._buffer = bytearray()
        self._req = None
        self._body = None
        self._parts = []
        self._size = 0

    @property
    def idle(self):
        """Tell whether no part of a request has come yet."""
        return not self._buffer and self._req is None

    @property
    def expects_continue(self):
        """Tell whether the sender keeps its body back until it is asked for it."""
        if self._req is None or self._size or self._buffer or not self._req.chunks:
            return False
        return self._req.headers.get("expect", "").lower() == "100-continue"

    def feed(self, data):
        """Add bytes; ``take`` finds out whether they are too many."""
        self._buffer += data

    def take(self):
        """Return the next whole request, or None."""
        if self._req is None and not self._take_head():
            return None
        self._take_body()
        if not self._body.complete:
            return None
        req, self._req = self._req, None
        self._buffer[:0] = self._body.rest
        body = b"".join(self._parts)
        return req._replace(body=body)

    def _take_body(self):
        part = self._body.take(bytes(self._buffer))
        self._buffer.clear()
        self._parts.append(part)
        self._size += len(part)
        self._check_size(self._size)

    def _check_size(self, size):
        if size > self._cfg.body_limit:
            raise TooLarge(f"The body is over {self._cfg.body_limit} bytes.")

    def _take_head(self):
        # Some senders put an empty line before a request (RFC 9112, section 2.2).
        while self._buffer.startswith(CRLF):
            del self._buffer[: len(CRLF)]
        limit = self._cfg.head_limit
        end = self._buffer.find(HEAD_END)
        if (len(self._buffer) if end < 0 else end) > limit:
            raise TooLarge(f"The head is over {limit} bytes.")
        if end < 0:
            return False
        head = bytes(self._buffer[:end])
        del self._buffer[: end + len(HEAD_END)]
        self._req, self._body = read_request_head(head, self._chunked)
        self._check_size(read_length(self._req.headers) or 0)
        self._parts, self._size = [], 0
        return True


def make_body(status, headers, bodiless):
    """Return the reader of an answer's body, or raise BadRequest.

    Guard: the parser waits for ever for the body of an answer that has none, and where
    two framings are given it takes the one that RFC 9112, section 6.3, overrides.
    """
    length = read_length(headers)
    if bodiless or status in BODILESS:
        return SizedBody(0)
    coding = headers.get("transfer-encoding")
    if coding is None:
        return SizedBody(length)
    if length is not None or coding.lower() != "chunked":
        raise BadRequest("The answer's framing is ambiguous.")
    return ChunkedBody()


class ResponseReader:
    """Parse one answer as it comes, without keeping its body."""

    def __init__(self, method="GET"):
        self._bodiless = method == "HEAD"
        self._early = b""
        self._body = None
        self._keep = False
        self.head = None

    @property
    def reusable(self):
        """Tell whether the connection stands exactly behind the answer."""
        return self.complete and self._keep and not self._body.excess

    @property
    def complete(self):
        """Tell whether the end mark of the answer has come."""
        return self._body is not None and self._body.complete

    @property
    def endless(self):
        """Tell whether only the end of the connection ends the answer."""
        return self._body is not None and self._body.endless

    @property
    def rest(self):
        """Return the bytes that came behind a complete answer."""
        return self._body.rest if self.complete else b""

    def feed(self, data):
        """Return the part of the body that these bytes complete.

        Raises BadRequest when they are no HTTP answer.
        """
        if self._body is None:
            data = self._gather_head(data)
        return b"" if self._body is None else self._body.take(data)

    def _gather_head(self, data):
        """Read the head once it is whole and return the bytes behind it.

        Guard: the parser looks for the end of a line only within the newest bytes and
        waits for ever when a read ends between CR and LF.
        """
        self._early += data
        while self._body is None:
            head, end, rest = self._early.partition(HEAD_END)
            size = min(len(head), len(HTTP_1))
            if len(head) > ANSWER_HEAD_LIMIT or head[:size] != HTTP_1[:size]:
                raise BadRequest("The answer is no HTTP.")
            if not end:
                return b""
            self._early = rest
            self._read_head(head)
        self._early = b""
        return rest

    def _read_head(self, head):
        """Read one head; 100 to 199 only announce the answer.

        Guard: the parser takes letters and spaces alone for a reason, so that
        ``207 Multi-Status`` fails; it is given a reason of ours.
        """
        first, *lines = head.split(CRLF)
        match = STATUS_LINE.match(first)
        if match is None:
            raise BadRequest("The status line is malformed.")
        status = int(match.group(2))
        if status == SWITCHING_PROTOCOLS:
            raise BadRequest("Nobody asked for another protocol.")
        if status < HTTP_OK:
            return
        line = b"%b %b OK" % match.groups()
        parser = parse_head(RESPONSE, line, lines)
        headers = lower_headers(parser)
        self._keep = is_persistent(parser.get_version(), headers)
        self._body = make_body(status, headers, self._bodiless)
        self.head = HttpHead(status, headers)
