"""One request of a caller and its answer, and the answers to failures."""

import json
from typing import NamedTuple

from .exceptions import ChervilwingError
from .response_heads import encode_head, encode_problem

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
EVENTS_TYPE = "text/event-stream"
CHUNKED_END = b"0\r\n\r\n"
BODILESS_STATUSES = (204, 304)


class Exchange:
    """One request and its answer on a caller's connection."""

    __slots__ = (
        "req",
        "started",
        "disconnected",
        "finished",
        "on_drain",
        "has_length",
        "bodiless",
        "_web",
        "_conn",
        "tag",
    )

    def __init__(self, req, web, conn):
        self.req = req
        self.started = False
        self.finished = False
        self.disconnected = False
        self.on_drain = None
        self.has_length = False
        self.bodiless = req.method == "HEAD"
        self.tag = None
        self._web = web
        self._conn = conn

    @property
    def congested(self):
        """Return whether the caller reads more slowly than the answer is written."""
        return self._conn.congested

    def may_buffer(self, size):
        """Return whether ``size`` bytes of the answer may be kept until it is whole."""
        return self._web.may_buffer(self._conn, size)

    @property
    def host(self):
        """Return the IP address of the caller, or of the proxy in front of it."""
        return self._conn.address.host

    def answer(self, status, body=b"", content_type=JSON_TYPE, headers=None):
        """Send a whole answer."""
        fields = {"Content-Type": content_type, "Content-Length": str(len(body))}
        if status in BODILESS_STATUSES:
            fields = {}
        data = encode_head(
            status, fields | (headers or {}) | self._make_connection_field()
        )
        self.started = True
        bodiless = status in BODILESS_STATUSES or self.bodiless
        self._write(data if bodiless else data + body)
        self._end()

    def answer_json(self, status, value, headers=None):
        """Send a JSON document."""
        body = json.dumps(value).encode() + b"\n"
        self.answer(status, body, JSON_TYPE, headers)

    def answer_problem(self, exc, headers=None):
        """Send a failure as a problem document, or abort an answer already started."""
        if self.started:
            self.abort()
            return
        value, extra = encode_problem(exc)
        body = json.dumps(value).encode() + b"\n"
        self.answer(exc.status, body, PROBLEM_TYPE, extra | (headers or {}))

    def start(self, status, content_type, headers=None):
        """Send the head of an answer whose body is written in pieces.

        An HTTP/1.0 caller can't read chunks: its answer ends with the connection, which
        is therefore not kept alive.
        """
        fields = {"Content-Type": content_type}
        if self.req.accepts_chunks:
            fields["Transfer-Encoding"] = "chunked"
        else:
            self._end_with_connection()
        data = encode_head(
            status, fields | (headers or {}) | self._make_connection_field()
        )
        self.started = True
        self._write(data)

    def relay_head(self, status, headers, length):
        """Send the head of an answer with the upstream's own header fields.

        ``length`` is the body's length in bytes, or None if it is not known. Without a
        body, none is sent of what follows (RFC 9112, section 6.3).
        """
        self.has_length = length is not None
        self.bodiless = self.bodiless or status in BODILESS_STATUSES
        if status in BODILESS_STATUSES:
            framing = {}
        elif self.has_length:
            framing = {"Content-Length": str(length)}
        elif self.bodiless:
            framing = {}
        elif self.req.accepts_chunks:
            framing = {"Transfer-Encoding": "chunked"}
        else:
            framing = {}
            self._end_with_connection()
        self.started = True
        fields = {**headers, **framing, **self._make_connection_field()}
        self._write(encode_head(status, fields))

    def write(self, data):
        """Send one piece of the body."""
        # An empty chunk would end the body.
        if data and not self.bodiless:
            self._write(self._frame(data))

    def finish(self, data=b""):
        """Send the last piece of the body, if any, and end the answer."""
        chunked = self.req.accepts_chunks and not self.has_length
        if not self.bodiless:
            end = CHUNKED_END if chunked else b""
            self._write((self._frame(data) if data else b"") + end)
        self._end()

    def _frame(self, data):
        if self.has_length or not self.req.accepts_chunks:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def discard_body(self):
        """Drop the request's body, which is no longer needed."""
        if self.req.body:
            self.req = self.req._replace(body=b"")

    def abort(self):
        """Close the connection; without its end the answer is visibly incomplete."""
        if self.disconnected or self.finished:
            return
        self.finished = True
        self._web.drop(self._conn)

    def _end_with_connection(self):
        self.req = self.req._replace(keep_alive=False)
        self._web.reset_if_cut(self._conn)

    def _make_connection_field(self):
        if self.req.keep_alive and self._web.stopping:
            self.req = self.req._replace(keep_alive=False)
        return {"Connection": "keep-alive" if self.req.keep_alive else "close"}

    def _write(self, data):
        if not self.disconnected and not self.finished:
            self._web.send(self._conn, data)

    def _end(self):
        if self.disconnected or self.finished:
            return
        self.finished = True
        self._web.end_exchange(self._conn, self.req.keep_alive)


class _UnreadableRequest(NamedTuple):
    method: str = ""
    keep_alive: bool = False
    accepts_chunks: bool = True


UNREADABLE_REQUEST = _UnreadableRequest()


def ignore(exchange, exc):
    """Take no action on a failure."""


def answer_failures(serve, on_failure=ignore):
    """Return ``serve`` wrapped so that each failure is answered as a problem document.

    ``on_failure`` is called first. Exceptions that are no ChervilwingError are answered
    as internal failures and raised again.
    """

    def served(exchange):
        try:
            serve(exchange)
        except ChervilwingError as exc:
            on_failure(exchange, exc)
            exchange.answer_problem(exc)
        except Exception:
            on_failure(exchange, ChervilwingError())
            exchange.answer_problem(ChervilwingError())
            raise

    return served
