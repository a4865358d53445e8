"""Tests of what an instance concludes about its own paths to upstreams."""

import unittest

from chervilwing.upstream_paths import UpstreamPaths

NAMES = {f"u{number}": None for number in range(8)}.keys()


class TestPaths(unittest.TestCase):
    def setUp(self):
        self.paths = UpstreamPaths()

    def cut(self, now, *names):
        """Record upstreams that only another instance reached."""
        for name in names:
            self.paths.record_failed(name, now)
            self.assertTrue(self.paths.record_reached(name, now))

    def test_two_upstreams_that_only_others_reach_mean_a_cut(self):
        self.cut(10.0, "u0")
        self.assertFalse(self.paths.is_cut())
        self.assertTrue(self.paths.needs_detour("u0"))
        self.assertFalse(self.paths.needs_detour("u5"))
        self.cut(10.2, "u1")
        self.assertTrue(self.paths.is_cut())
        self.assertTrue(self.paths.needs_detour("u5"))

    def test_one_direct_connection_ends_a_cut(self):
        self.cut(10.0, "u0", "u1")
        self.paths.record_opened("u7", 11.0)
        self.assertFalse(self.paths.is_cut())
        # The upstreams that weren't reached are tried before a request is sent there.
        self.assertTrue(self.paths.needs_detour("u0"))
        self.assertEqual(set(self.paths.list_probes(NAMES, 11.1)), {"u0", "u1"})
        self.paths.record_opened("u0", 11.2)
        self.assertFalse(self.paths.needs_detour("u0"))

    def test_a_second_cut_is_seen_while_one_path_is_still_down(self):
        # Guards against a lasting detour that hides a later cut of all paths.
        self.cut(10.0, "u0")
        self.paths.record_opened("u7", 11.0)
        self.cut(20.0, "u1", "u2")
        self.assertTrue(self.paths.is_cut())

    def test_upstreams_that_nobody_reaches_are_no_cut(self):
        # Guards against taking crashed upstreams for a lost path.
        for name in ("u0", "u1", "u2"):
            self.paths.record_failed(name, 10.0)
            self.paths.record_unreached(name, 10.1)
        self.assertFalse(self.paths.is_cut())
        self.assertFalse(self.paths.is_doubtful(10.1))
        self.assertTrue(self.paths.is_down("u0", 10.5))
        self.assertFalse(self.paths.is_down("u0", 11.2))

    def test_failures_at_the_same_moment_are_doubtful_until_a_connection_opens(self):
        self.paths.record_failed("u0", 10.0)
        self.assertFalse(self.paths.is_doubtful(10.0))
        self.paths.record_failed("u1", 10.1)
        self.assertTrue(self.paths.is_doubtful(10.1))
        self.assertFalse(self.paths.is_doubtful(10.7))
        self.paths.record_failed("u0", 20.0)
        self.paths.record_failed("u1", 20.0)
        self.paths.record_opened("u2", 20.1)
        self.assertFalse(self.paths.is_doubtful(20.1))

    def test_an_instance_that_can_ask_nobody_counts_three_failures(self):
        for number, name in enumerate(("u0", "u1", "u2")):
            self.assertFalse(self.paths.is_cut())
            self.paths.record_failed(name, 10.0 + number / 10)
            self.paths.record_alone(8, 9.0, 10.0 + number / 10)
        self.assertTrue(self.paths.is_cut())
        self.paths.record_opened("u3", 11.0)
        self.assertFalse(self.paths.is_cut())

    def test_the_only_upstream_counts_for_all_where_nobody_can_be_asked(self):
        self.paths.record_failed("u0", 10.0)
        self.paths.record_alone(1, 9.0, 10.0)
        self.assertTrue(self.paths.is_cut())

    def test_an_instance_that_hears_upstreams_is_not_cut_off(self):
        # Guards against refusing all callers because several upstreams crashed.
        for name in ("u0", "u1", "u2", "u3"):
            self.paths.record_failed(name, 10.0)
            self.paths.record_alone(8, 9.9, 10.0)
        self.assertFalse(self.paths.is_cut())

    def test_another_upstream_is_tried_while_failures_are_doubtful(self):
        # Guards against crashed upstreams that nobody is blamed for, because no new
        # connection was needed since.
        for name in ("u0", "u1"):
            self.paths.record_failed(name, 10.0)
        probes = self.paths.list_probes(NAMES, 10.1)
        self.assertEqual(len(probes), 2)
        self.assertFalse({"u0", "u1"} & set(probes))
        self.paths.record_opened(probes[0], 10.2)
        self.assertFalse(self.paths.is_doubtful(10.2))

    def test_a_cut_is_probed_one_upstream_at_a_time_each_in_its_turn(self):
        self.cut(10.0, "u0", "u1")
        tried = []
        for step in range(200):
            found = self.paths.list_probes(NAMES, 10.0 + step * 0.05)
            self.assertLessEqual(len(found), 1)
            tried += found
        self.assertEqual(set(tried), set(NAMES))
        self.assertLessEqual(len(tried), 41)

    def test_an_upstream_that_is_gone_needs_no_detour(self):
        self.cut(10.0, "u0", "u1")
        self.paths.list_probes({}.keys(), 10.1)
        self.assertFalse(self.paths.is_cut())


if __name__ == "__main__":
    unittest.main()
