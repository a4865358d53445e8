"""Tests of which requests are recognised as retries of one request."""

import unittest

from chervilwing.fingerprints import fingerprint_repeats
from chervilwing.parsers import HttpRequest


def make_request(path="/memo/7", body=b"{}", method="POST", query="", **headers):
    """Return a request with these properties and header fields."""
    fields = {"host": "a.example"} | headers
    return HttpRequest(method, path, query, fields, body, True)


class TestRepeats(unittest.TestCase):
    def test_ids_keys_and_stream_positions_do_not_change_the_digest(self):
        first = fingerprint_repeats(make_request(), "insurer")
        retry = make_request(
            **{
                "host": "A.example:80",
                "x-request-id": "r2",
                "authorization": "Bearer k2",
                "last-event-id": "7",
            }
        )
        self.assertEqual(fingerprint_repeats(retry, "insurer"), first)

    def test_content_host_and_customer_change_the_digest(self):
        digests = {
            fingerprint_repeats(make_request(), "insurer"),
            fingerprint_repeats(make_request(body=b"[]"), "insurer"),
            fingerprint_repeats(make_request(path="/memo/8"), "insurer"),
            fingerprint_repeats(make_request(query="all"), "insurer"),
            fingerprint_repeats(make_request(method="PUT"), "insurer"),
            fingerprint_repeats(make_request(host="b.example"), "insurer"),
            fingerprint_repeats(make_request(), "broker"),
        }
        self.assertEqual(len(digests), 7)
