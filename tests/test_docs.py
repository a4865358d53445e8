"""Tests that what the pages point at is there: links, modules, scenarios, tests."""

import importlib.util
import re
import unittest

from tests.procs import ROOT

LINK = re.compile(r"\]\((?!https?://)([^)#]+)")
MODULE = re.compile(r"python -m ((?:bench|tests|chervilwing|unittest)[\w.]*)")
TARGET = re.compile(r"(?:`|^    )make (\w+)", re.MULTILINE)
SOURCE = re.compile(r"`((?:src|tests|bench|docs|examples)/[\w./-]+\.\w+)`")


def find_pages():
    """Return every page of the repository."""
    return sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])


class TestPages(unittest.TestCase):
    def check(self, pattern, holds):
        """Check each thing that a pattern finds in each page."""
        for page in find_pages():
            for found in sorted(set(pattern.findall(page.read_text()))):
                with self.subTest(page=page.name, found=found):
                    self.assertTrue(holds(page, found))

    def test_links_lead_to_files(self):
        self.check(LINK, lambda page, found: (page.parent / found).exists())

    def test_files_that_are_named_exist(self):
        def exists(page, found):
            return "/NAME." in found or (ROOT / found).exists()

        self.check(SOURCE, exists)

    def test_modules_that_are_run_exist(self):
        self.check(MODULE, lambda page, found: importlib.util.find_spec(found))

    def test_targets_of_make_exist(self):
        makefile = (ROOT / "Makefile").read_text()
        self.check(TARGET, lambda page, found: f"\n{found}:" in makefile)
