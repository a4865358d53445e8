"""Tests of the parsers with bytes on which circuits.web's own parser fails."""

import random
import unittest
from typing import NamedTuple
from unittest.mock import patch

from chervilwing.bodies import ChunkedBody
from chervilwing.caller_memory import CallerHolding, CallerMemory
from chervilwing.exceptions import (
    BadRequest,
    ChervilwingError,
    LengthRequired,
    TooLarge,
)
from chervilwing.parsers import ResponseReader
from chervilwing.request_reader import ReaderOptions, RequestReader

SEED, ROUNDS = 20261202, 4000
SIZED_REQUEST = b"POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nxyz"
CHUNKED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\nA;x=y\r\n, 0\r\n\r\nfoo\r\n0\r\nTrailer: t\r\n\r\n"
)
SIZED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nhello, 0\r\n\r\nfoo"


class Limits(NamedTuple):
    """The settings that a reader uses; in bytes."""

    head_limit: int = 200
    body_limit: int = 50


def make_reader(chunked=False):
    """Return a reader with a megabyte of room."""
    options = ReaderOptions(chunked=chunked)
    return RequestReader(Limits(), CallerHolding(CallerMemory(1 << 20)), options)


def read_requests(*parts):
    """Return all whole requests in the bytes, fed part by part."""
    reader, found = make_reader(), []
    for part in parts:
        reader.feed(part)
        while (req := reader.pop_request()) is not None:
            found.append(req)
    return found


def read_answer(*parts, method="GET"):
    """Return the reader and the body after an answer was fed in these parts."""
    reader = ResponseReader(method)
    return reader, b"".join(reader.feed(part) for part in parts)


def split_everywhere(data):
    """Yield the bytes split in two at each position, and then byte by byte."""
    for at in range(1, len(data)):
        yield data[:at], data[at:]
    yield tuple(bytes([byte]) for byte in data)


def make_head(fields=b"", target=b"/", version=b"HTTP/1.1"):
    """Return the head of a GET request with these fields."""
    return b"GET " + target + b" " + version + b"\r\n" + fields + b"\r\n"


REJECTED_REQUESTS = {
    "two lengths": (
        BadRequest,
        make_head(b"Content-Length: 1\r\nContent-Length: 2\r\n"),
    ),
    "equal lengths": (
        BadRequest,
        make_head(b"Content-Length: 1\r\nContent-Length: 1\r\n"),
    ),
    "plus": (BadRequest, make_head(b"Content-Length: +1\r\n")),
    "minus": (BadRequest, make_head(b"Content-Length: -1\r\n")),
    "underscore": (BadRequest, make_head(b"Content-Length: 1_0\r\n")),
    "list": (BadRequest, make_head(b"Content-Length: 1, 1\r\n")),
    "word": (BadRequest, make_head(b"Content-Length: many\r\n")),
    "chunked body": (LengthRequired, make_head(b"Transfer-Encoding: chunked\r\n")),
    "both": (
        LengthRequired,
        make_head(b"Content-Length: 1\r\nTransfer-Encoding: x\r\n"),
    ),
    "folded": (BadRequest, make_head(b"A: b\r\n c\r\n")),
    "space before colon": (BadRequest, make_head(b"A : b\r\n")),
    "no name": (BadRequest, make_head(b": b\r\n")),
    "no colon": (BadRequest, make_head(b"abc\r\n")),
    "NUL": (BadRequest, make_head(b"A: b\0c\r\n")),
    "bare LF": (BadRequest, make_head(b"A: b\nC: d\r\n")),
    "bare CR": (BadRequest, make_head(b"A: b\rC: d\r\n")),
    "two keys": (BadRequest, make_head(b"Authorization: a\r\nauthorization: b\r\n")),
    "two hosts": (BadRequest, make_head(b"Host: a\r\nHost: b\r\n")),
    "two ids": (BadRequest, make_head(b"Idempotency-Key: a\r\nIdempotency-Key: a\r\n")),
    "HTTP/2.0": (BadRequest, make_head(version=b"HTTP/2.0")),
    "HTTP/1x1": (BadRequest, make_head(version=b"HTTP/1x1")),
    "LF in the line": (BadRequest, make_head(target=b"/\nx")),
    "tab in the line": (BadRequest, b"GET\t/ HTTP/1.1\r\n\r\n"),
    "raw byte in the path": (BadRequest, make_head(target=b"/\xff")),
    "fragment": (BadRequest, make_head(target=b"/a#b")),
    "relative target": (BadRequest, make_head(target=b"a")),
    "garbage": (BadRequest, b"\x16\x03\x01\x02\0\xff\r\n\r\n"),
    "HTTP/2 preface": (BadRequest, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    "long head": (TooLarge, make_head(b"A: " + b"b" * 300 + b"\r\n")),
    "endless head": (TooLarge, b"GET / HTTP/1.1\r\nA: " + b"b" * 300),
    "long body": (TooLarge, make_head(b"Content-Length: 51\r\n")),
    "huge body": (BadRequest, make_head(b"Content-Length: " + b"9" * 30 + b"\r\n")),
}

MALFORMED_ANSWERS = {
    "no HTTP": b"\0\xffnot HTTP",
    "no status": b"HTTP/1.1 OK\r\n\r\n",
    "status 999": b"HTTP/1.1 999 X\r\n\r\n",
    "101": b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\nA: " + b"b" * 100_000,
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "minus": b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
    "underscore": b"HTTP/1.1 200 OK\r\nContent-Length: 1_0\r\n\r\nhello",
    "word": b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nhello",
    "both": CHUNKED_ANSWER.replace(b"\r\n\r\n", b"\r\nContent-Length: 9\r\n\r\n", 1),
    "other coding": CHUNKED_ANSWER.replace(b"chunked", b"gzip, chunked"),
    "bare LF": b"HTTP/1.1 200 OK\r\nA: b\nSet-Cookie: c\r\n\r\n",
    "negative chunk": CHUNKED_ANSWER.replace(b"5\r\nhello", b"-5\r\nhello"),
    "0x chunk": CHUNKED_ANSWER.replace(b"5\r\nhello", b"0x5\r\nhello"),
    "no chunk size": CHUNKED_ANSWER.replace(b"5\r\nhello", b"\r\nhello"),
    "chunk too long": CHUNKED_ANSWER.replace(b"hello", b"hello!"),
    "endless chunk line": CHUNKED_ANSWER.replace(b"5\r\n", b"5;" + b"x" * 100_000),
}


class TestRequests(unittest.TestCase):
    def test_ambiguous_and_oversized_requests_are_rejected(self):
        # If a load balancer and this instance disagree where a request ends, bytes that
        # one of them reads as a body are run by the other as another caller's request.
        for name, (kind, data) in REJECTED_REQUESTS.items():
            for parts in ((data,), *split_everywhere(data)):
                with self.subTest(name, parts=len(parts), first=len(parts[0])):
                    with self.assertRaises(ChervilwingError) as caught:
                        read_requests(*parts)
                    self.assertIs(type(caught.exception), kind)

    def test_backslashes_are_preserved(self):
        # circuits.web decodes each line with unicode_escape: the four bytes \x0a in a
        # value become a line feed, and a single backslash raises an exception.
        for value in (rb"a\x0ab", rb"\N{BULLET}", rb"a\b", b"end\\", b"\\"):
            with self.subTest(value=value):
                (req,) = read_requests(make_head(b"A: " + value + b"\r\n"))
                self.assertEqual(req.headers["a"], value.decode())

    def test_a_request_split_anywhere_is_parsed_the_same(self):
        (whole,) = read_requests(SIZED_REQUEST)
        self.assertEqual(whole[:3], ("POST", "/a", "b=c"))
        self.assertEqual((whole.body, whole.keep_alive), (b"xyz", True))
        for parts in split_everywhere(SIZED_REQUEST):
            self.assertEqual(read_requests(*parts), [whole])

    def test_pipelined_requests_are_returned_one_by_one(self):
        # Together they exceed the size limits of one request, but none does alone.
        found = read_requests(
            SIZED_REQUEST * 9 + SIZED_REQUEST[:-1], SIZED_REQUEST[-1:]
        )
        self.assertEqual([req.body for req in found], [b"xyz"] * 10)

    def test_paths_and_queries_are_preserved(self):
        # urlsplit takes //notes for a host name and raises on //[.
        for target, path, query in (
            (b"//services//x", "//services//x", ""),
            (b"//[", "//[", ""),
            (b"/a%2Fb?c=%20&d=/?", "/a%2Fb", "c=%20&d=/?"),
            (b"http://host:1/a?b", "/a", "b"),
            (b"http://host", "/", ""),
            (b"*", "*", ""),
        ):
            with self.subTest(target=target):
                (req,) = read_requests(make_head(target=target))
                self.assertEqual((req.path, req.query), (path, query))

    def test_a_target_is_sent_on_as_it_came(self):
        """Guards against an empty query that is dropped on the way."""
        for target in (b"/a", b"/a?", b"/a??", b"/a?b", b"/?"):
            with self.subTest(target=target):
                (req,) = read_requests(make_head(target=target))
                self.assertEqual(req.target.encode(), target)

    def test_persistence_follows_version_and_header(self):
        for version, field, expected in (
            (b"HTTP/1.1", b"", True),
            (b"HTTP/1.1", b"Connection: TE, Close\r\n", False),
            (b"HTTP/1.0", b"", False),
            (b"HTTP/1.0", b"Connection: Keep-Alive\r\n", True),
        ):
            (req,) = read_requests(b"\r\n" + make_head(field, version=version))
            self.assertEqual(req.keep_alive, expected, (version, field))


class TestAnswers(unittest.TestCase):
    def test_an_answer_split_anywhere_gives_the_same_body(self):
        # circuits.web looks for the end of a line in the latest bytes only, and reports
        # an error if a read ends between a chunk and its CRLF.
        for data in (CHUNKED_ANSWER, SIZED_ANSWER):
            for parts in ((data,), *split_everywhere(data)):
                reader, body = read_answer(*parts)
                self.assertEqual(body, b"hello, 0\r\n\r\nfoo")
                self.assertTrue(reader.complete and reader.reusable)

    def test_a_truncated_answer_is_not_complete(self):
        for data in (CHUNKED_ANSWER, SIZED_ANSWER):
            for at in range(len(data)):
                reader, _ = read_answer(data[:at])
                self.assertFalse(reader.complete, data[:at])

    def test_bytes_after_an_answer_are_not_part_of_it(self):
        # The bytes of another answer on the connection would reach the wrong caller.
        for data in (CHUNKED_ANSWER, SIZED_ANSWER):
            reader, body = read_answer(data + SIZED_ANSWER)
            self.assertEqual(body, b"hello, 0\r\n\r\nfoo")
            self.assertTrue(reader.complete)
            self.assertFalse(reader.reusable)

    def test_answers_without_a_body_are_complete(self):
        for head, method in (
            (b"HTTP/1.1 204 No Content\r\n\r\n", "GET"),
            (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "GET"),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HEAD"),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HEAD"),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "GET"),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 00\r\n\r\n", "GET"),
        ):
            for parts in ((head,), *split_everywhere(head)):
                reader, body = read_answer(*parts, method=method)
                self.assertEqual((reader.complete, body), (True, b""), head)
                self.assertTrue(reader.reusable)

    def test_any_reason_phrase_is_accepted_after_100_continue(self):
        # circuits.web accepts only letters in a reason phrase, so that 207 Multi-Status
        # would be rejected and the outcome of a request that ran reported as unknown.
        for line in (b"207 Multi-Status", b"418 I'm a teapot", b"200", b"200 "):
            data = b"HTTP/1.1 " + line + b"\r\nContent-Length: 2\r\n\r\nok"
            reader, body = read_answer(b"HTTP/1.1 100 Continue\r\n\r\n" + data)
            self.assertEqual((reader.head.status, body), (int(line[:3]), b"ok"))
            self.assertTrue(reader.complete)

    def test_a_closing_connection_is_not_reused(self):
        for old, new in (
            (b"OK\r\n", b"OK\r\nConnection: x, Close\r\n"),
            (b"1.1", b"1.0"),
        ):
            reader, _ = read_answer(SIZED_ANSWER.replace(old, new, 1))
            self.assertEqual((reader.complete, reader.reusable), (True, False))

    def test_malformed_answers_raise_bad_request(self):
        for name, data in MALFORMED_ANSWERS.items():
            for parts in ((data,), (data[:7], data[7:])):
                with self.subTest(name), self.assertRaises(BadRequest):
                    read_answer(*parts)


class TestChunks(unittest.TestCase):
    def test_tiny_chunks_are_read_together_after_a_chunk_in_two_reads(self):
        """Guards against tiny chunks that keep the event loop from callers."""
        data = b"1\r\nx\r\n" * 1000
        for cut in range(len(b"1\r\nx\r\n")):
            body = ChunkedBody()
            with patch.object(body, "_pop_line", wraps=body._pop_line) as pop_line:
                found = body.decode(data[:cut]) + body.decode(data[cut:])
            self.assertEqual(found, b"x" * 1000)
            self.assertLess(pop_line.call_count, 10)


class TestFuzz(unittest.TestCase):
    def mutate(self, rng, data):
        data = bytearray(data)
        for _ in range(rng.randrange(1, 6)):
            at = rng.randrange(len(data))
            piece = rng.choice((b"", b"\r\n", b":", b"\\", b"0", rng.randbytes(2)))
            data[at : at + rng.randrange(3)] = piece
        return bytes(data)

    def test_mutated_messages_raise_only_typed_failures(self):
        rng = random.Random(SEED)
        for _ in range(ROUNDS):
            data = self.mutate(
                rng, rng.choice((SIZED_REQUEST, CHUNKED_ANSWER, SIZED_ANSWER))
            )
            at = rng.randrange(len(data) + 1)
            for parse in (read_requests, read_answer):
                try:
                    parse(data[:at], data[at:])
                except ChervilwingError:
                    continue
                except Exception as exc:
                    self.fail(f"{parse.__name__} of {data!r} cut at {at}: {exc!r}")


if __name__ == "__main__":
    unittest.main()
