"""Tests of which requests are recognised as retries of one request."""

import unittest

from chervilwing.fingerprints import make_retry_fingerprint
from chervilwing.parsers import HttpRequest


def make_request(path="/memo/7", body=b"{}", method="POST", query="", **headers):
    """Return a request with these properties and header fields."""
    fields = {"host": "a.example"} | headers
    return HttpRequest(method, path, query, fields, body, True)


class TestRepeats(unittest.TestCase):
    def test_ids_keys_and_stream_positions_do_not_change_the_digest(self):
        first = make_retry_fingerprint(make_request(), "insurer")
        retry = make_request(
            **{
                "host": "A.example:80",
                "x-request-id": "r2",
                "authorization": "Bearer k2",
                "last-event-id": "7",
            }
        )
        self.assertEqual(make_retry_fingerprint(retry, "insurer"), first)

    def test_content_host_and_customer_change_the_digest(self):
        digests = {
            make_retry_fingerprint(make_request(), "insurer"),
            make_retry_fingerprint(make_request(body=b"[]"), "insurer"),
            make_retry_fingerprint(make_request(path="/memo/8"), "insurer"),
            make_retry_fingerprint(make_request(query="all"), "insurer"),
            make_retry_fingerprint(make_request(method="PUT"), "insurer"),
            make_retry_fingerprint(make_request(host="b.example"), "insurer"),
            make_retry_fingerprint(make_request(), "broker"),
        }
        self.assertEqual(len(digests), 7)
