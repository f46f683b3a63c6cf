"""Test what operators see of interference."""

import json
import unittest

from jayshunt.interference.control import InterferenceControl
from jayshunt.interference.decision_log import LINES_PER_S, DecisionLog
from jayshunt.interference.diagnostics import describe, metrics
from jayshunt.interference.tests.builders import build_random_fleet


class DiagnosticsTest(unittest.TestCase):
    """Test metrics, dump and log of a fleet that was paced for a while."""

    def test_metrics_and_worst_pairs(self) -> None:
        """The dump must name what is throttled, and labels must not name images."""
        fleet, control = build_random_fleet(1), InterferenceControl()
        fleet.run(20, control=control)
        values = {
            (sample.name, *sample.labels.values()): sample.value
            for family in metrics(control, fleet.tracker.workers)
            for sample in family.samples
        }
        self.assertEqual(10, len(values))
        self.assertGreater(values["jayshunt_interference_pairs", "harmful"], 0)
        self.assertGreater(values["jayshunt_interference_throttled_tasks",], 0)
        text = json.loads(json.dumps(describe(control)))
        worst = text["worst_pairs"][0]
        effect = fleet.truth.effects[worst["aggressor"], worst["victim"]]
        self.assertGreater(effect, 0.0)
        self.assertGreater(worst["evidence"], 0)

    def test_log_is_bounded(self) -> None:
        """A fleet that is throttled as a whole must not fill the disk."""
        log = DecisionLog()
        with self.assertLogs() as lines:
            for number in range(200):
                log.record(1.0 + number / 1000, "a task is throttled")
            log.record(2.5, "a task is throttled")
        self.assertEqual(LINES_PER_S + 1, len(lines.records))
        self.assertEqual(200 - LINES_PER_S, lines.records[-1].left_out)
