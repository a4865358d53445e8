"""Sums of instances' work and load, with lost, late and reordered reports."""

import unittest

from chervilwing.crash_records import CrashReport
from chervilwing.instance_reports import Counts, ReportSums, read_crash_reports
from chervilwing.upstream_states import UpstreamLoad


def make_counts(work, requests=0):
    """Return the Counts of one instance."""
    return Counts(1, {"": {"u": UpstreamLoad(requests, 0, 0)}}, {"engines": work})


def measure_work(sums, now):
    """Return the summed engine seconds."""
    return sums.compute_sums(now).work.get("engines", 0.0)


class TestReadReports(unittest.TestCase):
    def test_malformed_fingerprint_rejects_the_datagram(self):
        # An instance that accepted a malformed fingerprint would fail at each attempt
        # to write it to the store.
        reports = [["0123456789abcdef", "u1", 0.5], ["", "u1", 0.0]]
        found = read_crash_reports(reports)
        self.assertEqual(found[0], CrashReport("0123456789abcdef", "u1", 0.5))
        for fingerprint in ("f" * 14, "no hex at all 16"):
            with self.assertRaises(ValueError):
                read_crash_reports([[fingerprint, "u1", 0.0]])


class TestReportSums(unittest.TestCase):
    def test_work_grows_by_differences(self):
        sums = ReportSums()
        sums.add_report("two", 1, make_counts(500.0), 0.0)
        sums.add_report("two", 1, make_counts(540.0), 0.4)
        self.assertEqual(measure_work(sums, 0.4), 40.0)

    def test_reordered_reports_change_nothing(self):
        sums = ReportSums()
        for work in (0.0, 20.0, 10.0, 30.0):
            sums.add_report("two", 1, make_counts(work), 0.0)
        self.assertEqual(measure_work(sums, 0.0), 30.0)

    def test_returning_leader_adds_no_old_work(self):
        # A leader is cut off for half a minute while its successor sums all work; then
        # it leads again. If it added all work since the last reports that it had itself
        # received, eleven times the needed machines would be ordered.
        sums = ReportSums()
        sums.add_report("two", 1, make_counts(10.0), 0.0)
        sums.add_report("two", 1, make_counts(310.0), 30.0)
        self.assertLessEqual(measure_work(sums, 30.0), 20.0)
        sums.add_report("two", 1, make_counts(330.0), 30.2)
        self.assertLessEqual(measure_work(sums, 30.2), 40.0)

    def test_work_of_a_late_report_counts(self):
        # In a burst a small instance reports two seconds late. If the report were
        # ignored, work would be missing from the sums just when it is needed most.
        sums = ReportSums()
        sums.add_report("two", 1, make_counts(0.0), 0.0)
        sums.add_report("two", 1, make_counts(200.0), 2.0)
        self.assertGreaterEqual(measure_work(sums, 2.0), 140.0)

    def test_restarted_instance_counts_from_zero(self):
        sums = ReportSums()
        sums.add_report("three", 1, make_counts(900.0), 0.0)
        sums.add_report("three", 2, make_counts(20.0), 0.0)
        self.assertEqual(measure_work(sums, 0.0), 20.0)

    def test_load_of_a_silent_instance_expires(self):
        sums = ReportSums()
        sums.add_report("two", 1, make_counts(0.0, requests=9), 0.0)
        self.assertEqual(sums.compute_sums(0.0).in_flight[""]["u"].requests, 9)
        self.assertEqual(sums.compute_sums(5.0).in_flight, {})


if __name__ == "__main__":
    unittest.main()
