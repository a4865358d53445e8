"""Upstreams that refuse a request and state for how long they want no more."""

import time
import unittest

from tests.stating_upstreams import StatingUpstream
from tests.test_leaving_upstreams import StatingCase

PAUSE = 1.0


class TestOneInstance(StatingCase):
    def test_nothing_is_sent_to_an_upstream_during_the_pause_that_it_asked_for(self):
        # The other upstream fails, so that each request is retried here. Retry-After
        # was ignored, and the requests went on to overload this one.
        paused, other = StatingUpstream(), StatingUpstream(fails=True)
        self.start(paused, other)
        paused.pauses = [f"{PAUSE}"]
        self.call_until_stated(paused)
        stated = paused.stated[0][0]
        while time.monotonic() < stated + PAUSE:
            self.call()
        self.assertEqual(paused.count_since(stated, stated + PAUSE), 0)


if __name__ == "__main__":
    unittest.main()
