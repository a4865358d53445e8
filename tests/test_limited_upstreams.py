"""Overloaded upstreams that limit the requests per second of all instances."""

import time
import unittest

from chervilwing.platform.headers import DIALECT
from tests.gateways import GatewayThread, make_document
from tests.limiting_upstreams import (
    LimitingUpstream,
    count_most_in_window,
    send_steadily,
)
from tests.test_platform import PlatformCase

# Requests per second that upstreams state as their limit, and that callers send.
LIMIT = 1.0
RATE = 20.0
# Seconds of a window, in which an upstream may get its limit plus one request.
WINDOW = 4.0
MOST = LIMIT * WINDOW + 1
# Seconds within which all instances must know of a limit or of its end.
KNOWN_AFTER = 2.0
# Seconds after the first answer within which one instance must comply with the limit.
COMPLIES_AFTER = 0.5


class LimitedCase(unittest.TestCase):
    def start(self, *upstreams):
        """Start a gateway in front of these upstreams."""
        self.run_ = GatewayThread(DIALECT, document=make_document())
        self.addCleanup(self.run_.close)
        for number, upstream in enumerate(upstreams):
            self.addCleanup(upstream.close)
            found = self.run_.make_registration(f"u{number}", upstream.port)
            self.run_.gateway.put_upstream(found)

    def call(self, path):
        """Return a function for ``send_steadily`` that calls a path."""
        return lambda number: self.run_.call("POST", path, b"%d" % number)

    def check_limit_is_met(self, upstream):
        """Check that an upstream gets its limit and at most that in any window."""
        since = upstream.arrivals[0] + COMPLIES_AFTER
        most = count_most_in_window(upstream.arrivals, since, WINDOW)
        self.assertLessEqual(most, MOST)
        self.assertGreaterEqual(
            upstream.count_arrivals(since, since + WINDOW), WINDOW - 1
        )


class TestOneInstance(LimitedCase):
    def test_an_upstream_gets_its_limit_and_the_others_the_rest(self):
        # Without limits the gateway would split the requests evenly. The other upstream
        # has capacity for all of them.
        limited, other = LimitingUpstream(LIMIT), LimitingUpstream()
        self.start(limited, other)
        answers = send_steadily(
            self.call("/page/x"), RATE, COMPLIES_AFTER + WINDOW + 0.5
        )
        self.check_limit_is_met(limited)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(len(limited.arrivals) + len(other.arrivals), len(answers))

    def test_retries_count_towards_the_limit(self):
        # The other upstream fails every request, so that each is retried.
        limited, other = LimitingUpstream(LIMIT), LimitingUpstream(fails=True)
        self.start(limited, other)
        send_steadily(self.call("/page/x"), RATE, COMPLIES_AFTER + WINDOW + 0.5)
        self.check_limit_is_met(limited)

    def test_resumed_streams_count_towards_the_limit(self):
        # The other upstream breaks off each stream, which is resumed elsewhere.
        limited, other = LimitingUpstream(LIMIT), LimitingUpstream(breaks_off=True)
        self.start(limited, other)
        send_steadily(self.call("/quote/x"), RATE, COMPLIES_AFTER + WINDOW + 0.5)
        self.check_limit_is_met(limited)

    def test_requests_beyond_all_limits_are_refused_at_once(self):
        # All upstreams state limits. If requests were held until their deadlines,
        # callers would wait in vain; if they were sent, the limits would be exceeded.
        upstreams = [LimitingUpstream(LIMIT), LimitingUpstream(LIMIT)]
        self.start(*upstreams)
        self.run_.call("POST", "/note/x", b"a")
        self.run_.call("POST", "/note/x", b"b")
        began = time.monotonic()
        answers = [self.run_.call("POST", "/note/x", b"n%d" % n) for n in range(20)]
        self.assertLess(time.monotonic() - began, 1.0)
        refused = [answer for answer in answers if answer.status == 503]
        self.assertGreaterEqual(len(refused), 15)
        for answer in refused:
            self.assertIn(b"pool-limited", answer.body)
            self.assertGreater(float(answer.headers["retry-after"]), 0.0)
        served = len(answers) - len(refused)
        self.assertEqual(sum(len(item.arrivals) for item in upstreams), 2 + served)

    def test_an_upstream_has_its_share_again_soon_after_its_limit_ends(self):
        # Its answers stop stating a limit.
        limited, other = LimitingUpstream(LIMIT), LimitingUpstream()
        self.start(limited, other)
        send_steadily(self.call("/page/x"), RATE, 2.0)
        limited.limit = None
        ended = time.monotonic()
        send_steadily(self.call("/page/x"), RATE, KNOWN_AFTER + 1.0)
        count = limited.count_arrivals(ended + KNOWN_AFTER)
        self.assertGreaterEqual(count, RATE / 4)


class TestSeveralInstances(PlatformCase):
    def setUp(self):
        super().setUp()
        self.limited, self.other = LimitingUpstream(LIMIT), LimitingUpstream()
        for number, upstream in enumerate((self.limited, self.other)):
            self.addCleanup(upstream.close)
            self.upstream = upstream
            self.register(f"i-c{number}")
        self.operate(deletes=["servers/i-1"])
        self.gateways = [self.start(name) for name in ("one", "two", "three")]

    def call_any(self, number):
        """Make one call, to each instance in turn."""
        return self.call(self.gateways[number % len(self.gateways)])

    def test_all_instances_together_comply_with_the_limit_and_use_it(self):
        # If each instance used the whole limit, they would send three times as much.
        statuses = send_steadily(self.call_any, RATE, KNOWN_AFTER + WINDOW + 1.0)
        since = self.limited.arrivals[0] + KNOWN_AFTER
        most = count_most_in_window(self.limited.arrivals, since, WINDOW)
        self.assertLessEqual(most, MOST)
        count = self.limited.count_arrivals(since, since + WINDOW)
        self.assertGreaterEqual(count, WINDOW - 1)
        self.assertEqual(set(statuses), {200})

    def test_the_end_of_a_limit_is_known_to_all_instances(self):
        # Only the instance that sent the next request learns of it from the answer.
        send_steadily(self.call_any, RATE, 2.0)
        self.limited.limit = None
        ended = time.monotonic()
        send_steadily(self.call_any, RATE, 2 * KNOWN_AFTER)
        self.assertGreaterEqual(
            self.limited.count_arrivals(ended + KNOWN_AFTER), RATE / 4
        )
