"""Test the demo's counts of faults."""

import unittest

from jayshunt_measure.demo_callers import Sent
from jayshunt_measure.demo_counts import StoppedEntry, count_requests


def sent(request: str, status: int, outcome: str, is_complete: bool = False) -> Sent:
    """Return a request in flight at entry a from 10 s to 11 s."""
    return Sent(request, "a", 10.0, 11.0, status, outcome, is_complete)


class CountRequestsTest(unittest.TestCase):
    """Guard against counts that report a fault as a success."""

    def test_each_fault_is_counted(self):
        """A fault that is not counted would make a failed demo look successful."""
        counts = count_requests(
            [
                sent("fine", 200, "ran", True),
                sent("never-ran", 200, "ran", True),
                sent("other-answer", 200, "ran", False),
                sent("refused", 503, "not_run"),
                sent("refused-but-ran", 503, "not_run"),
                sent("twice", 200, "ran", True),
                sent("unknown", 504, "unknown"),
                sent("cut", 0, "unknown"),
            ],
            ["fine", "other-answer", "refused-but-ran", "twice", "twice"],
            [],
        )
        self.assertEqual(counts.requests, 8)
        self.assertEqual(counts.answered, 2)
        self.assertEqual(counts.wrong_answer, 2)
        self.assertEqual((counts.refused_not_run, counts.false_not_run), (2, 1))
        self.assertEqual((counts.run_twice, counts.unknown, counts.lost), (1, 1, 1))
        self.assertEqual(counts.cut_by_planned_stop, 0)

    def test_only_requests_during_the_stop_of_their_entry_are_cut_by_it(self):
        """A loss at another entry or time must not be attributed to a planned stop."""
        cases = {
            ("a", 10.5, 12.0): 1,
            ("a", 9.0, 10.5): 1,
            ("b", 9.0, 12.0): 0,
            ("a", 11.5, 12.0): 0,
            ("a", 8.0, 9.5): 0,
        }
        for stop, expected in cases.items():
            with self.subTest(stop):
                counts = count_requests(
                    [sent("x", 0, "unknown")], [], [StoppedEntry(*stop)]
                )
                self.assertEqual(counts.cut_by_planned_stop, expected)
