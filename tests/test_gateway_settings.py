"""Tests of the gateway's settings: flags, environment variables and the file."""

import unittest

from returns.pipeline import is_successful

from chervilwing.gateway_settings import read_gateway_settings
from chervilwing.models import Address

FILE = """
# Filled by the platform.
CHERVILWING_LISTEN=127.0.0.1:8080
CHERVILWING_READY_LISTEN=127.0.0.1:8081
CHERVILWING_BEACON_LISTEN=127.0.0.1:8082
CHERVILWING_NAME=one
CHERVILWING_STORE=127.0.0.1:7000
CHERVILWING_REVOKE_BOUND=4000ms
CHERVILWING_OF_TOMORROW=whatever
"""


class TestGatewaySettings(unittest.TestCase):
    def read(self, *argv, environ=None, text=FILE):
        """Return the settings, or the text of the BadSetting."""
        result = read_gateway_settings(argv, environ or {}, text)
        if is_successful(result):
            return result.unwrap()
        return str(result.failure())

    def test_the_file_is_read_and_unknown_names_are_ignored(self):
        cfg = self.read()
        self.assertEqual(cfg.listen, Address("127.0.0.1", 8080))
        self.assertEqual(cfg.revoke_bound, 4.0)

    def test_flags_override_variables_and_variables_override_the_file(self):
        environ = {"CHERVILWING_NAME": "two", "CHERVILWING_LEASE": "9"}
        cfg = self.read("--lease", "5", environ=environ)
        self.assertEqual((cfg.name, cfg.lease), ("two", 5.0))

    def test_errors_name_the_setting_and_the_fault(self):
        cases = {
            ("--lease", "soon"): "--lease: 'soon' is not a number of seconds",
            ("--store", "store:1"): "--store: 'store' is not an IP number",
            ("--leese", "1"): "unrecognized arguments: --leese 1",
        }
        for argv, detail in cases.items():
            with self.subTest(argv=argv):
                self.assertEqual(self.read(*argv), detail)

    def test_empty_values_in_the_file_keep_their_default(self):
        # A platform writes an empty value, or only the unit, for a setting that it
        # doesn't have. If that were an error, no instance would start.
        text = FILE + "CHERVILWING_LEASE=ms\nCHERVILWING_CLOUD=\n"
        cfg = self.read(text=text)
        self.assertEqual((cfg.lease, cfg.cloud), (3.0, None))

    def test_placeholders_in_the_file_keep_the_default(self):
        # Guards against a start that fails where the platform lacks a value.
        text = FILE + "CHERVILWING_MEMORY_LIMIT={{limits.memoryMb}}\n"
        self.assertIsNone(self.read(text=text).memory_limit)

    def test_a_missing_required_setting_is_reported(self):
        text = FILE.replace("CHERVILWING_STORE", "CHERVILWING_STALL")
        self.assertEqual(
            self.read(text=text), "--store: required, unless --routes is given"
        )
