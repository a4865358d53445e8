"""Tests of the daemon's settings: sources, checks, help and the documented table."""

import unittest
from pathlib import Path

from returns.pipeline import is_successful

from chervilwing.models import Address
from chervilwing.settings import (
    FIELDS,
    Settings,
    read_settings,
    render_help,
    render_table,
)

OPERATIONS = Path(__file__).resolve().parent.parent / "docs" / "OPERATIONS.md"
STORE = ["--store", "127.0.0.1:9000"]


class TestSettings(unittest.TestCase):
    def test_table_and_settings_have_the_same_fields(self):
        self.assertEqual(tuple(field.name for field in FIELDS), Settings._fields)

    def test_flag_overrides_variable_and_variable_overrides_default(self):
        environ = {"CHERVILWING_LISTEN": "10.0.0.1:1", "CHERVILWING_REGION": "south"}
        cfg = read_settings([*STORE, "--listen", "10.0.0.2:2"], environ).unwrap()
        self.assertEqual(cfg.listen, Address("10.0.0.2", 2))
        self.assertEqual((cfg.region, cfg.data_centre), ("south", "local"))

    def test_flags_are_parsed_by_type(self):
        argv = ["--embedded", "--peers=10.0.0.1:1, [::1]:2", "--name", "e1"]
        cfg = read_settings(argv, {}).unwrap()
        self.assertTrue(cfg.embedded)
        self.assertEqual(cfg.peers, (Address("10.0.0.1", 1), Address("::1", 2)))
        self.assertEqual(cfg.name, "e1")

    def test_each_bad_setting_is_named_in_a_one_line_error(self):
        cases = {
            "--listen": ["--listen", "localhost:80"],
            "--peers": ["--peers", "10.0.0.1"],
            "--body-limit": ["--body-limit", "0"],
            "--log-format": ["--log-format", "xml"],
            "--head-timeout": ["--head-timeout", "nan"],
            "--data-centre": ["--data-centre", "a b"],
            "--embedded": ["--embedded=maybe"],
            "--drain-timeout": ["--drain-timeout", "5"],
            "--silence-timeout": ["--silence-timeout", "500"],
            "--peer-listen": ["--peer-listen", "127.0.0.1:8080"],
            "--lisen": ["--lisen", "x"],
            "--region": ["--region"],
        }
        for flag, argv in cases.items():
            with self.subTest(flag=flag):
                result = read_settings([*STORE, *argv], {})
                self.assertFalse(is_successful(result))
                text = str(result.failure())
                self.assertIn(flag, text)
                self.assertNotIn("\n", text)

    def test_errors_name_a_bad_variable(self):
        for variable in ("CHERVILWING_IDLE_TIMEOUT", "CHERVILWING_IDEL_TIMEOUT"):
            result = read_settings(STORE, {variable: "soon"})
            self.assertIn(variable, str(result.failure()))

    def test_store_is_required_unless_embedded(self):
        self.assertIn("--store", str(read_settings([], {}).failure()))
        self.assertTrue(is_successful(read_settings(["--embedded"], {})))

    def test_drain_timeout_covers_the_load_balancers_lag(self):
        # The load balancer may send a last request just before the listener closes. If
        # the drain timeout only covered a request's own timeout, that request could be
        # interrupted.
        argv = ["--request-timeout", "100", "--drain-lag", "5", "--drain-timeout"]
        self.assertFalse(is_successful(read_settings([*STORE, *argv, "104"], {})))
        self.assertTrue(is_successful(read_settings([*STORE, *argv, "105"], {})))

    def test_help_and_operations_page_match_the_table(self):
        for field in FIELDS:
            self.assertIn(field.flag, render_help())
        self.assertIn(render_table(), OPERATIONS.read_text())
