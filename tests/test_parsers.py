"""The bytes that show each fault of circuits.web's parser, and what comes out now."""

import random
import unittest
from typing import NamedTuple

from chervilwing.exceptions import (
    BadRequest,
    ChervilwingError,
    LengthRequired,
    TooLarge,
)
from chervilwing.parsers import RequestReader, ResponseReader

SEED, ROUNDS = 20261202, 4000
PLAIN = b"POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nxyz"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\nA;x=y\r\n, 0\r\n\r\nfoo\r\n0\r\nTrailer: t\r\n\r\n"
)
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nhello, 0\r\n\r\nfoo"


class Limits(NamedTuple):
    """The settings that a reader looks at."""

    head_limit: int = 200
    body_limit: int = 50


def read(*parts):
    """Return every whole request in the bytes, fed part by part."""
    reader, found = RequestReader(Limits()), []
    for part in parts:
        reader.feed(part)
        while (req := reader.take()) is not None:
            found.append(req)
    return found


def answer(*parts, method="GET"):
    """Return the reader and the body after an answer came in these parts."""
    reader = ResponseReader(method)
    return reader, b"".join(reader.feed(part) for part in parts)


def cuts(data):
    """Yield the bytes in two parts, cut at each position, and byte by byte."""
    for at in range(1, len(data)):
        yield data[:at], data[at:]
    yield tuple(bytes([byte]) for byte in data)


def get(fields=b"", target=b"/", version=b"HTTP/1.1"):
    """Return a request head with these fields."""
    return b"GET " + target + b" " + version + b"\r\n" + fields + b"\r\n"


REFUSED = {
    "two lengths": (BadRequest, get(b"Content-Length: 1\r\nContent-Length: 2\r\n")),
    "equal lengths": (BadRequest, get(b"Content-Length: 1\r\nContent-Length: 1\r\n")),
    "plus": (BadRequest, get(b"Content-Length: +1\r\n")),
    "minus": (BadRequest, get(b"Content-Length: -1\r\n")),
    "underscore": (BadRequest, get(b"Content-Length: 1_0\r\n")),
    "list": (BadRequest, get(b"Content-Length: 1, 1\r\n")),
    "word": (BadRequest, get(b"Content-Length: many\r\n")),
    "chunked body": (LengthRequired, get(b"Transfer-Encoding: chunked\r\n")),
    "both": (LengthRequired, get(b"Content-Length: 1\r\nTransfer-Encoding: x\r\n")),
    "folded": (BadRequest, get(b"A: b\r\n c\r\n")),
    "space before colon": (BadRequest, get(b"A : b\r\n")),
    "no name": (BadRequest, get(b": b\r\n")),
    "no colon": (BadRequest, get(b"abc\r\n")),
    "NUL": (BadRequest, get(b"A: b\0c\r\n")),
    "bare LF": (BadRequest, get(b"A: b\nC: d\r\n")),
    "bare CR": (BadRequest, get(b"A: b\rC: d\r\n")),
    "two keys": (BadRequest, get(b"Authorization: a\r\nauthorization: b\r\n")),
    "two hosts": (BadRequest, get(b"Host: a\r\nHost: b\r\n")),
    "two ids": (BadRequest, get(b"Idempotency-Key: a\r\nIdempotency-Key: a\r\n")),
    "HTTP/2.0": (BadRequest, get(version=b"HTTP/2.0")),
    "HTTP/1x1": (BadRequest, get(version=b"HTTP/1x1")),
    "LF in the line": (BadRequest, get(target=b"/\nx")),
    "tab in the line": (BadRequest, b"GET\t/ HTTP/1.1\r\n\r\n"),
    "raw byte in the path": (BadRequest, get(target=b"/\xff")),
    "fragment": (BadRequest, get(target=b"/a#b")),
    "relative target": (BadRequest, get(target=b"a")),
    "garbage": (BadRequest, b"\x16\x03\x01\x02\0\xff\r\n\r\n"),
    "HTTP/2 preface": (BadRequest, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    "long head": (TooLarge, get(b"A: " + b"b" * 300 + b"\r\n")),
    "endless head": (TooLarge, b"GET / HTTP/1.1\r\nA: " + b"b" * 300),
    "long body": (TooLarge, get(b"Content-Length: 51\r\n")),
    "huge body": (BadRequest, get(b"Content-Length: " + b"9" * 30 + b"\r\n")),
}

SPOILT = {
    "no HTTP": b"\0\xffnot HTTP",
    "no status": b"HTTP/1.1 OK\r\n\r\n",
    "status 999": b"HTTP/1.1 999 X\r\n\r\n",
    "101": b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\nA: " + b"b" * 100_000,
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "minus": b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
    "underscore": b"HTTP/1.1 200 OK\r\nContent-Length: 1_0\r\n\r\nhello",
    "word": b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nhello",
    "both": CHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 9\r\n\r\n", 1),
    "other coding": CHUNKED.replace(b"chunked", b"gzip, chunked"),
    "bare LF": b"HTTP/1.1 200 OK\r\nA: b\nSet-Cookie: c\r\n\r\n",
    "negative chunk": CHUNKED.replace(b"5\r\nhello", b"-5\r\nhello"),
    "0x chunk": CHUNKED.replace(b"5\r\nhello", b"0x5\r\nhello"),
    "no chunk size": CHUNKED.replace(b"5\r\nhello", b"\r\nhello"),
    "chunk too long": CHUNKED.replace(b"hello", b"hello!"),
    "endless chunk line": CHUNKED.replace(b"5\r\n", b"5;" + b"x" * 100_000),
}


class TestRequests(unittest.TestCase):
    def test_what_could_be_read_in_two_ways_is_refused(self):
        # A balancer and this instance disagree where a request ends; what one takes
        # for a body the other runs as somebody's request.
        for name, (kind, data) in REFUSED.items():
            for parts in ((data,), *cuts(data)):
                with self.subTest(name, parts=len(parts), first=len(parts[0])):
                    with self.assertRaises(ChervilwingError) as caught:
                        read(*parts)
                    self.assertIs(type(caught.exception), kind)

    def test_backslashes_stay_as_they_were_sent(self):
        # circuits.web decodes each line with unicode_escape: the four bytes \x0a in a
        # value become a line feed, and a lone backslash raises.
        for value in (rb"a\x0ab", rb"\N{BULLET}", rb"a\b", b"end\\", b"\\"):
            with self.subTest(value=value):
                (req,) = read(get(b"A: " + value + b"\r\n"))
                self.assertEqual(req.headers["a"], value.decode())

    def test_a_request_cut_anywhere_is_the_same(self):
        (whole,) = read(PLAIN)
        self.assertEqual(whole[:3], ("POST", "/a", "b=c"))
        self.assertEqual((whole.body, whole.keep_alive), (b"xyz", True))
        for parts in cuts(PLAIN):
            self.assertEqual(read(*parts), [whole])

    def test_pipelined_requests_come_one_by_one(self):
        # Together they are longer than one may be, each of them is not.
        found = read(PLAIN * 9 + PLAIN[:-1], PLAIN[-1:])
        self.assertEqual([req.body for req in found], [b"xyz"] * 10)

    def test_targets_keep_their_path(self):
        # urlsplit takes //notes for the name of a host and raises on //[.
        for target, path, query in (
            (b"//services//x", "//services//x", ""),
            (b"//[", "//[", ""),
            (b"/a%2Fb?c=%20&d=/?", "/a%2Fb", "c=%20&d=/?"),
            (b"http://host:1/a?b", "/a", "b"),
            (b"http://host", "/", ""),
            (b"*", "*", ""),
        ):
            with self.subTest(target=target):
                (req,) = read(get(target=target))
                self.assertEqual((req.path, req.query), (path, query))

    def test_persistence_follows_version_and_header(self):
        for version, field, expected in (
            (b"HTTP/1.1", b"", True),
            (b"HTTP/1.1", b"Connection: TE, Close\r\n", False),
            (b"HTTP/1.0", b"", False),
            (b"HTTP/1.0", b"Connection: Keep-Alive\r\n", True),
        ):
            (req,) = read(b"\r\n" + get(field, version=version))
            self.assertEqual(req.keep_alive, expected, (version, field))


class TestAnswers(unittest.TestCase):
    def test_an_answer_cut_anywhere_gives_the_same_body(self):
        # circuits.web looks for a line's end within the newest bytes only, and calls a
        # cut between a chunk and its CRLF an error.
        for data in (CHUNKED, SIZED):
            for parts in ((data,), *cuts(data)):
                reader, body = answer(*parts)
                self.assertEqual(body, b"hello, 0\r\n\r\nfoo")
                self.assertTrue(reader.complete and reader.reusable)

    def test_only_the_end_mark_makes_it_complete(self):
        for data in (CHUNKED, SIZED):
            for at in range(len(data)):
                reader, _ = answer(data[:at])
                self.assertFalse(reader.complete, data[:at])

    def test_what_follows_the_answer_is_no_part_of_it(self):
        # Bytes of another answer on the connection would go to the wrong caller.
        for data in (CHUNKED, SIZED):
            reader, body = answer(data + SIZED)
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
            for parts in ((head,), *cuts(head)):
                reader, body = answer(*parts, method=method)
                self.assertEqual((reader.complete, body), (True, b""), head)
                self.assertTrue(reader.reusable)

    def test_any_reason_is_taken_and_early_answers_are_passed_over(self):
        # circuits.web takes letters only: 207 Multi-Status would pass for garbage and
        # a note that was booked for one whose outcome is unknown.
        for line in (b"207 Multi-Status", b"418 I'm a teapot", b"200", b"200 "):
            data = b"HTTP/1.1 " + line + b"\r\nContent-Length: 2\r\n\r\nok"
            reader, body = answer(b"HTTP/1.1 100 Continue\r\n\r\n" + data)
            self.assertEqual((reader.head.status, body), (int(line[:3]), b"ok"))
            self.assertTrue(reader.complete)

    def test_a_connection_that_will_close_is_not_reused(self):
        for old, new in (
            (b"OK\r\n", b"OK\r\nConnection: x, Close\r\n"),
            (b"1.1", b"1.0"),
        ):
            reader, _ = answer(SIZED.replace(old, new, 1))
            self.assertEqual((reader.complete, reader.reusable), (True, False))

    def test_garbage_is_a_typed_failure(self):
        for name, data in SPOILT.items():
            for parts in ((data,), (data[:7], data[7:])):
                with self.subTest(name), self.assertRaises(BadRequest):
                    answer(*parts)


class TestFuzz(unittest.TestCase):
    def mutate(self, rng, data):
        data = bytearray(data)
        for _ in range(rng.randrange(1, 6)):
            at = rng.randrange(len(data))
            piece = rng.choice((b"", b"\r\n", b":", b"\\", b"0", rng.randbytes(2)))
            data[at : at + rng.randrange(3)] = piece
        return bytes(data)

    def test_only_typed_failures_come_out(self):
        rng = random.Random(SEED)
        for _ in range(ROUNDS):
            data = self.mutate(rng, rng.choice((PLAIN, CHUNKED, SIZED)))
            at = rng.randrange(len(data) + 1)
            for parse in (read, answer):
                try:
                    parse(data[:at], data[at:])
                except ChervilwingError:
                    continue
                except Exception as exc:
                    self.fail(f"{parse.__name__} of {data!r} cut at {at}: {exc!r}")


if __name__ == "__main__":
    unittest.main()
