"""Test the HTML report."""

import re
import unittest

from jayshunt.cli.report_page import report_page


class ReportPageTest(unittest.TestCase):
    """Test that the report is correct and self-contained."""

    def setUp(self):
        """Render a report of two zones."""
        move = {
            "at_s": 60.0,
            "vm": "vm-1",
            "before": "desk",
            "after": "yard",
            "reason": "<b>yard</b> needs it",
        }
        buffer = [{"at_s": 0.0, "cores": 64.0}, {"at_s": 1800.0, "cores": 64.0}]
        zone = {"interval_s": 1800.0, "buffer": buffer, "moves": [move]}
        roll_out = {"version": 1, "accepted_s": 5.0, "took_s": 0.4, "entry": "north-0"}
        self.page = report_page(
            {
                "zones": {"north": zone, "south": {**zone, "moves": []}},
                "roll_outs": [roll_out],
                "entries": 2,
                "missing": {"south-1": "lost"},
            }
        )

    def test_buffer_is_summed_over_zones(self):
        """The reported buffer must be the sum over all zones, not that of one."""
        self.assertIn("128.00 core-hours", self.page)
        self.assertIn("No answer from south-1.", self.page)

    def test_needs_no_other_file_and_escapes_reasons(self):
        """The page must load no other file, as it may be read offline."""
        self.assertIn("&lt;b&gt;yard&lt;/b&gt; needs it", self.page)
        self.assertEqual(self.page.count("<svg"), 3)
        self.assertIsNone(re.search(r"<(script|link|img)[^>]+(src|href)=", self.page))
