"""Test that the documentation and the examples match the code."""

import re
import unittest

from jayshunt.config.models import ConfigDocument
from jayshunt.settings.loader import load_settings, load_toml
from jayshunt_measure.reference import REFERENCE, render

ROOT = REFERENCE.parent.parent
EXAMPLES = ROOT / "examples"


class ReferenceTest(unittest.TestCase):
    """Guard against documentation that differs from the program."""

    def test_reference_is_fresh(self):
        """A stale reference describes settings and codes that do not exist."""
        fresh = REFERENCE.read_text() == render()
        self.assertTrue(fresh, "docs/reference.md is stale, run script/reference")

    def test_links_of_the_operators_page_exist(self):
        """A broken link would leave an operator without help in an emergency."""
        page = ROOT / "docs" / "operators.md"
        for link in re.findall(r"\]\(([^)#:]+)[#)]", page.read_text()):
            with self.subTest(link):
                self.assertTrue((page.parent / link).exists())

    def test_commands_of_the_operators_page_exist(self):
        """An operator cannot follow instructions with a command that does not exist."""
        text = (ROOT / "docs" / "operators.md").read_text()
        reference = REFERENCE.read_text()
        for name in set(re.findall(r"jayshunt ([a-z]+) ", text)):
            with self.subTest(name):
                self.assertIn(f"| `{name}` |", reference)


class ExamplesTest(unittest.TestCase):
    """Guard against examples that the program rejects."""

    def test_each_deployment_has_valid_files(self):
        """A new user must be able to start with the examples without an error."""
        folders = sorted(path for path in EXAMPLES.iterdir() if path.is_dir())
        self.assertEqual(len(folders), 2)
        for folder in folders:
            with self.subTest(folder.name):
                load_settings(folder / "entry.toml")
                document = load_toml(folder / "configuration.toml", ConfigDocument)
                self.assertEqual(len(document.pools), 5)
                self.assertEqual(sum(p.spare for p in document.pools.values()), 1)

    def test_alert_rules_name_existing_metrics(self):
        """An alert rule on a metric that does not exist never fires."""
        rules = (EXAMPLES / "alerts.yml").read_text()
        names = set(re.findall(r"\bjayshunt_[a-z_]+", rules))
        self.assertGreater(len(names), 5)
        for name in names:
            with self.subTest(name):
                self.assertIn(f"| `{name}` |", REFERENCE.read_text())
