"""Tests that the documentation refers to existing files, modules and make targets."""

import importlib.util
import re
import unittest

from tests.procs import ROOT

LINK_PATTERN = re.compile(r"\]\((?!https?://)([^)#]+)")
MODULE_PATTERN = re.compile(r"python -m ((?:bench|tests|chervilwing|unittest)[\w.]*)")
MAKE_TARGET_PATTERN = re.compile(r"(?:`|^    )make (\w+)", re.MULTILINE)
SOURCE_PATTERN = re.compile(r"`((?:src|tests|bench|docs|examples)/[\w./-]+\.\w+)`")


def find_pages():
    """Return the paths of all Markdown pages."""
    return sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])


class TestPages(unittest.TestCase):
    def check_references(self, pattern, is_valid):
        """Check that each reference that ``pattern`` finds in a page is valid."""
        for page in find_pages():
            for reference in sorted(set(pattern.findall(page.read_text()))):
                with self.subTest(page=page.name, reference=reference):
                    self.assertTrue(is_valid(page, reference))

    def test_links_point_to_existing_files(self):
        self.check_references(
            LINK_PATTERN, lambda page, reference: (page.parent / reference).exists()
        )

    def test_source_files_exist(self):
        def exists(page, reference):
            # NAME is a placeholder for any file name.
            return "/NAME." in reference or (ROOT / reference).exists()

        self.check_references(SOURCE_PATTERN, exists)

    def test_modules_of_commands_exist(self):
        self.check_references(
            MODULE_PATTERN, lambda page, reference: importlib.util.find_spec(reference)
        )

    def test_make_targets_exist(self):
        makefile = (ROOT / "Makefile").read_text()
        self.check_references(
            MAKE_TARGET_PATTERN, lambda page, reference: f"\n{reference}:" in makefile
        )
