"""Test the loading of settings files and the messages about mistakes in them."""

import tempfile
import unittest
from pathlib import Path

from jayshunt.settings.loader import InvalidFile, load_settings

VALID = """
[identity]
entry = "north-0"
zone = "north"
region = "local"

[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
peers = "127.0.0.1:3"

[platform]
store_url = "http://127.0.0.1:4"
inventory_url = "http://127.0.0.1:5"

[operators]
token_file = "token"
"""


class LoadSettingsTest(unittest.TestCase):
    """Test that invalid settings are rejected with the key and what is allowed."""

    def load(self, text: str):
        """Write the text to a file and load it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.toml"
            path.write_text(text)
            return load_settings(path)

    def test_valid_file_is_read(self) -> None:
        """A valid file must be accepted."""
        self.assertEqual(self.load(VALID).identity.zone, "north")

    def test_unknown_key_is_named(self) -> None:
        """A misspelled key must be reported, not ignored silently."""
        with self.assertRaises(InvalidFile) as caught:
            self.load(VALID + "\n[limit]\nmax = 1\n")
        self.assertIn("limit: unknown key", caught.exception.detail)

    def test_host_name_is_refused(self) -> None:
        """A host name instead of an IP address must be rejected with the reason."""
        with self.assertRaises(InvalidFile) as caught:
            self.load(VALID.replace("127.0.0.1:1", "localhost:1"))
        self.assertIn("listen.callers = 'localhost:1'", caught.exception.detail)
        self.assertIn("IP number", caught.exception.detail)

    def test_every_mistake_is_listed(self) -> None:
        """All mistakes must be reported at once, not only the first one."""
        with self.assertRaises(InvalidFile) as caught:
            self.load(VALID.replace('zone = "north"', "zone = 7").replace(":3", ":x"))
        self.assertEqual(len(caught.exception.problems), 2)
