"""Test throttling the filling tasks that harm serving tasks most."""

import random
import unittest

from jayshunt.dispatch.pacing import Pacer
from jayshunt.interference.control import InterferenceControl
from jayshunt.interference.tests.builders import (
    TARGET_MS,
    SimulatedFleet,
    Truth,
    build_random_fleet,
    drift,
    observe_beside,
)


class InterferencePacerTest(unittest.TestCase):
    """Test the paces on one worker with a serving task and two filling ones."""

    def setUp(self) -> None:
        """Start a worker without reports."""
        self.control = InterferenceControl()
        fleet = SimulatedFleet(Truth({}, {}), [(["serving"], ["loud", "quiet"])], 1)
        self.view = fleet.workers[0].view
        self.serving = fleet.workers[0].serving[0]
        self.loud, self.quiet = fleet.workers[0].filling
        fleet.truth.bases["serving"] = 0.35
        fleet.run(0.2)
        self.tracker = fleet.tracker
        self.now_s = fleet.now_s

    def teach(self) -> None:
        """Teach that one filling image is harmful and the other is not."""
        for second in range(30):
            now_s = self.now_s - 30 + second
            rows = ({}, 0.3), ({"quiet": 1.0}, 0.3), ({"loud": 1.0}, 0.9)
            for worker, (paces, ratio) in enumerate(rows):
                observe_beside(self.control.model, paces, ratio, now_s, worker)

    def report(self, ratio: float, after_s: float) -> list:
        """Report a latency of the serving task; return the changes of pace."""
        self.now_s += after_s
        self.serving.load = ratio * TARGET_MS
        self.view.last_answer_s = self.now_s
        return self.decide(0.0)

    def decide(self, after_s: float) -> list:
        """Decide without a new report and apply the changes; return them."""
        self.now_s += after_s
        self.control.observe(self.tracker.workers, lambda worker: False, self.now_s)
        changes = self.control.pacer.decide(self.view.tasks.values(), self.now_s)
        for task, pace in changes:
            task.pace = pace
        return changes

    def test_culprit_is_throttled_first(self) -> None:
        """Throttling the harmless task costs its callers and helps no one."""
        self.teach()
        self.report(0.95, 1.0)
        self.assertLess(self.loud.pace, 100)
        self.assertEqual(100, self.quiet.pace)

    def test_all_stop_after_a_second_over_the_target(self) -> None:
        """The promise holds even if the model blames the wrong task."""
        self.teach()
        self.report(1.1, 1.0)
        self.assertEqual((0, 100), (self.loud.pace, self.quiet.pace))
        self.report(1.1, 1.0)
        self.assertEqual((0, 0), (self.loud.pace, self.quiet.pace))

    def test_all_stop_over_the_target_while_nothing_is_known(self) -> None:
        """Without evidence the pacer must not be later than the plain one."""
        self.report(1.5, 1.0)
        self.assertEqual((0, 0), (self.loud.pace, self.quiet.pace))

    def test_one_report_is_not_answered_twice(self) -> None:
        """A repeated decision would halve the pace again before its effect shows."""
        self.report(0.9, 1.0)
        paces = (self.loud.pace, self.quiet.pace)
        self.assertEqual([], self.decide(0.4))
        self.assertEqual(paces, (self.loud.pace, self.quiet.pace))

    def test_stop_is_repeated_while_the_target_is_missed(self) -> None:
        """An order may be lost, and the task would go on at full pace."""
        self.report(1.5, 1.0)
        orders = [len(self.report(1.5, 1.0)) for _ in range(4)]
        self.assertEqual([2, 2, 0, 0], orders, "not for as long as a miss lasts")

    def test_least_harmful_task_recovers_first(self) -> None:
        """The harmful one would take the room that the other could use."""
        self.teach()
        self.loud.pace = self.quiet.pace = 0
        self.report(0.5, 1.0)
        self.assertGreater(self.quiet.pace, self.loud.pace)

    def test_pace_of_an_inherited_run_is_sent_once(self) -> None:
        """An earlier term may have stopped it, which its report does not show."""
        self.quiet.ordered_s = 0.0
        self.assertEqual([(self.quiet, 100)], self.report(0.3, 1.0))
        self.assertEqual([], self.report(0.3, 1.0))

    def test_inherited_harmful_run_does_not_start_at_full_pace(self) -> None:
        """Each takeover would end the throttling, and unlearn why it was there."""
        self.teach()
        self.loud.ordered_s = 0.0
        before = self.control.model.observations
        ((_, pace),) = self.report(0.3, 0.1)
        self.assertEqual(before, self.control.model.observations)
        self.assertLess(pace, 100)


class PacingComparisonTest(unittest.TestCase):
    """Compare pacing by the model with the plain pacer and with the known truth."""

    def run_fleets(self, kind: str) -> tuple[float, float, float]:
        """Return time over target, longest miss and filling work of three fleets.

        Times are in seconds; effects and loads change every 3 s.
        """
        over_s = longest_s = work_s = 0.0
        for seed in range(3):
            fleet, rng = build_random_fleet(seed), random.Random(seed)
            control = InterferenceControl() if kind == "model" else None
            pacer = Pacer() if kind == "plain" else None
            for _ in range(10):
                fleet.run(3, pacer, control, ideal=kind == "ideal")
                drift(fleet.truth, rng)
            over_s += fleet.outcome.over_target_s
            longest_s = max(longest_s, fleet.outcome.longest_miss_s)
            work_s += fleet.outcome.filling_s
        return over_s, longest_s, work_s

    def test_less_time_over_target_with_more_filling_work(self) -> None:
        """Throttling by the model must gain for both, and be near the best.

        At least half of the time over target goes, no miss lasts as long as is
        promised, and a third of the filling work lost to throttling comes back.
        """
        plain, model = self.run_fleets("plain"), self.run_fleets("model")
        ideal = self.run_fleets("ideal")
        self.assertLess(model[0], 0.6 * plain[0])
        self.assertLess(model[1], 4.0)
        self.assertGreater(model[2] - plain[2], 0.33 * (ideal[2] - plain[2]))
