"""Replies of the platform, engines and stored values that can't be decoded."""

import json
import unittest
from unittest.mock import Mock

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from chervilwing import segments, stores
from chervilwing.answers import Answer
from chervilwing.caches import parse_exported
from chervilwing.exceptions import BadConfiguration, UpstreamFailed
from chervilwing.instance_count import InstanceCount
from chervilwing.messages import Grant, Read, Unanswered, Watch, Write
from chervilwing.notices import Notices
from chervilwing.parsers import HttpRequest
from chervilwing.platform import store as platform_store
from chervilwing.platform.headers import (
    DEADLINE,
    DIALECT,
    LENGTH_HINT,
    PROMPT_PREFIX,
    TOKEN_COUNT,
)
from chervilwing.platform.store import EPOCH_HEADER
from chervilwing.store_calls import (
    Commit,
    Item,
    ListItems,
    Page,
    TakeLease,
    Unavailable,
    WatchItems,
)
from chervilwing.store_epochs import read_epoch
from chervilwing.usage import decode_counts, decode_report
from tests.test_unreadable_items import FIELD_VALUES, FUZZ, list_paths, replace_field

ITEM = {"key": "a/k", "revision": 4, "value": "aGk="}
PAGE = {"items": [ITEM], "storeRevision": 9, "truncated": False}
# Calls on the platform's store and bodies of their replies.
CALLS = (
    (ListItems("a/"), PAGE),
    (WatchItems("a/", 3, 1.0), {"events": [ITEM], "storeRevision": 9}),
    (Commit(), {"revision": 9}),
    (TakeLease(3.0), {"lease": 5, "ttlMs": 3000}),
)
# Calls on the key-value service of chervilwingd and bodies of their replies.
PLAIN_CALLS = (
    (Read("k"), {"value": "v", "version": 4}),
    (Watch("k", 3, 1.0), {"value": "v", "version": 4}),
    (Write("k", "v", 3, None), {"version": 4}),
    (Grant(3.0), {"lease": "5", "ttl": 3.0}),
)
RUNS = {"runs": [{"id": "r-1"}]}
EVENT = {"attempt": "a", "index": 0, "token": "t"}
SEGMENT = {"slot": 4, "claims": {"k": ["o", "f", "h", 1.5]}}


def feed_event(data):
    """Let an answer read one event."""
    answer = Answer()
    answer.begin("a")
    return answer.feed(b"data: " + data + b"\n\n")


def collect_json(data):
    """Return what the handlers of a JSON answer report."""
    found = []
    handlers = stores.collect_json_response(lambda *reply: found.append(reply))
    handlers.head(200, {})
    handlers.data(data)
    handlers.done()
    return found


# Decoders of bytes from outside, a valid value and the only failure that each raises.
DECODERS = (
    *(
        (lambda data, req=req: platform_store.decode(req, 200, data), value, ())
        for req, value in CALLS
    ),
    *(
        (lambda data, req=req: stores.decode(req, 200, data), value, ())
        for req, value in PLAIN_CALLS
    ),
    (lambda data: decode_counts("k", data), {"one.1": {"b": 4}}, BadConfiguration),
    (
        lambda data: decode_report("k", data),
        {"window": 4, "counts": {"b": 4}},
        BadConfiguration,
    ),
    (lambda data: segments.decode(data.decode()), SEGMENT, ()),
    (collect_json, EVENT, ()),
    (feed_event, EVENT, UpstreamFailed),
    (parse_exported, {"handle": "h", "blob": "b", "tokens": 4}, ()),
    (lambda data: DIALECT.moves.read_copy(200, data), {"handle": "h"}, ()),
    (lambda data: DIALECT.moves.read_report(200, data, "r-1"), RUNS, ()),
)


class TestReplies(unittest.TestCase):
    @FUZZ
    @given(st.data())
    def test_malformed_replies_raise_only_the_typed_failure(self, data):
        """Guards against a reply that nobody handles, so that its caller waits."""
        decode, value, failure = data.draw(st.sampled_from(DECODERS))
        path = data.draw(st.sampled_from(list_paths(value)))
        text = data.draw(FIELD_VALUES)
        whole = data.draw(st.booleans())
        try:
            decode(text.encode() if whole else replace_field(value, path, text))
        except failure:
            pass

    def test_an_item_that_is_not_base64_leaves_the_others_readable(self):
        """Guards against a list that fails as a whole for one item, at each try."""
        value = PAGE | {"items": [ITEM | {"key": "a/b", "value": "a"}, ITEM]}
        body = json.dumps(value).encode()
        page = platform_store.decode(ListItems("a/"), 200, body)
        self.assertEqual(page, Page((Item("a/b", b"", 4), Item("a/k", b"hi", 4)), 9))

    def test_replies_of_another_shape_count_as_none(self):
        """Guards against an AttributeError in the handler of a reply."""
        for body in (b"[]", b"4", b'{"items":[4],"storeRevision":9}'):
            reply = platform_store.decode(ListItems("a/"), 200, body)
            self.assertIsInstance(reply, Unavailable)
            self.assertIsInstance(stores.decode(Read("k"), 200, body), Unanswered)

    def test_numbers_of_any_length_are_read_or_left_out(self):
        """Guards against a request that fails where its numbers are converted."""
        for digits in (4, 15, 16, 400, 5000):
            number = "9" * digits
            headers = {name: number for name in (DEADLINE, LENGTH_HINT)}
            headers |= {TOKEN_COUNT: f"{number},{number}", EPOCH_HEADER: number}
            headers[PROMPT_PREFIX] = f"p:{number}, q:4"
            req = HttpRequest("POST", "/", "", headers, b"", True)
            with self.subTest(digits):
                demand = DIALECT.read_demand(req, 0.0, 2.0)
                self.assertEqual(demand.deadline, 2.0)
                self.assertIn(("q", 4), demand.parts)
                msgpack.packb(demand)
                self.assertLess(float(read_epoch(headers, EPOCH_HEADER)), 1e15)
                count = InstanceCount()
                count.observe(Item("k", number.encode(), 4))
                self.assertLess(float(count.count), 1e15)

    def test_notices_after_a_malformed_one_are_announced(self):
        """Guards against a malformed notice that hides all later ones for good."""
        dispatcher = Mock()
        cfg = Mock()
        cfg.name = "one"
        notices = Notices(cfg, Mock(), dispatcher, Mock(), Mock(), Mock())
        rows = [{"seq": "x"}, 4, {"seq": 2, "instance": "e-1", "deadline": 9}]
        notices._on_notices(200, {"notices": rows})
        dispatcher.mark_leaving.assert_called_once_with("e-1", 9.0)


if __name__ == "__main__":
    unittest.main()
