"""Tests of the statistics: limits, memory, exposition and merging."""

import json
import tracemalloc
import unittest

from chervilwing.exceptions import BadRequest
from chervilwing.reports import make_report, merge_reports, render_metrics, summarise
from chervilwing.stats import MAX_CAUSES, OTHER, Stats, make_histogram

# Bytes. A histogram takes 21.5 to 21.6 kB; a wider range or more digits would exceed
# this.
MAX_HISTOGRAM_SIZE = 22_000


def make_stats(customer="c", gap=0.05):
    """Return the Stats of one instance with 100 token gaps of one customer."""
    stats = Stats(pairs=4)
    series = stats.select(customer, "memo")
    series.record_first_token(0.8)
    for _ in range(100):
        series.record_gap(gap)
    series.record_answer(5.8)
    series.record_outcome("ran")
    series.record_tokens(101, recomputed=7)
    return stats


class TestStats(unittest.TestCase):
    def test_histogram_size_is_bounded(self):
        tracemalloc.start()
        kept = [make_histogram() for _ in range(20)]
        size = tracemalloc.get_traced_memory()[0] / len(kept)
        tracemalloc.stop()
        self.assertLess(size, MAX_HISTOGRAM_SIZE)

    def test_pairs_beyond_the_limit_share_one_series(self):
        stats = Stats(pairs=2)
        for i in range(50):
            stats.select(f"c{i}", "memo").record_outcome("ran")
        self.assertEqual(len(stats.series), 3)
        self.assertEqual(stats.select(OTHER, OTHER).outcomes.total(), 48)

    def test_causes_beyond_the_limit_are_counted_together(self):
        series = Stats(pairs=1).select("c", "memo")
        for i in range(1000):
            series.record_outcome("not_run", f"cause-{i}")
        self.assertLessEqual(len(series.outcomes), MAX_CAUSES + 1)
        self.assertEqual(series.outcomes.total(), 1000)

    def test_latencies_out_of_range_are_still_counted(self):
        series = Stats(pairs=1).select("c", "memo")
        for seconds in (0, 1e-9, 1e9):
            series.record_answer(seconds)
        self.assertEqual(series.latencies["whole_answer"].get_total_count(), 3)


class TestReports(unittest.TestCase):
    def test_text_exposition(self):
        text = "".join(render_metrics(make_stats('a"b')))
        labels = r'customer="a\"b",class="memo"'
        self.assertIn(f"chervilwing_tokens_total{{{labels}}} 101\n", text)
        self.assertIn(f"chervilwing_recomputed_tokens_total{{{labels}}} 7\n", text)
        self.assertIn(
            f"chervilwing_between_tokens_seconds_count{{{labels}}} 100\n", text
        )
        self.assertIn('outcome="ran",cause=""} 1\n', text)
        for line in text.splitlines():
            self.assertRegex(
                line, r"^(# (HELP|TYPE) chervilwing_|chervilwing_\w+\{.*\} \d)"
            )

    def test_reports_of_two_instances_merge(self):
        reports = [make_report(make_stats(gap=gap)) for gap in (0.05, 0.2)]
        reports = json.loads(json.dumps(reports))
        (row,) = summarise(merge_reports(reports).unwrap())
        self.assertEqual((row["requests"], row["tokens"]), (2, 202))
        self.assertAlmostEqual(row["between_tokens"]["p50"], 0.05, delta=0.001)
        self.assertAlmostEqual(row["between_tokens"]["p95"], 0.2, delta=0.002)

    def test_a_malformed_report_is_a_bad_request(self):
        bad = make_report(make_stats())
        bad["series"][0]["latencies"]["first_token"]["histogram"] = "AAAA"
        for report in (bad, {}, [], {"version": 2}):
            with self.subTest(report=str(report)[:40]):
                self.assertIsInstance(merge_reports([report]).failure(), BadRequest)
