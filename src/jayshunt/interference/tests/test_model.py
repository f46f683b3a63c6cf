"""Test learning which pairs of images interfere."""

import unittest

from jayshunt.interference import const
from jayshunt.interference.control import InterferenceControl
from jayshunt.interference.model import InterferenceModel, is_harmful
from jayshunt.interference.models import ImageName, Pair
from jayshunt.interference.tests.builders import (
    SimulatedFleet,
    Truth,
    build_random_fleet,
    expect,
    observe_beside,
    train,
)


class InterferenceModelTest(unittest.TestCase):
    """Test the estimates from noisy reports."""

    def setUp(self) -> None:
        """Start without observations."""
        self.model = InterferenceModel()

    def test_harmful_pair_is_found_within_five_observations(self) -> None:
        """A pair found late breaks the target again at each recovery."""
        now_s = train(self.model, 5, {"loud": 0.5, "quiet": 0.0})
        self.assertTrue(is_harmful(expect(self.model, "loud", now_s)))

    def test_independent_pairs_raise_few_false_alarms(self) -> None:
        """A false alarm throttles work that harms no one; at most 1 % are allowed."""
        alarms = 0
        for seed in range(50):
            model = InterferenceModel()
            images = {f"quiet{number}": 0.0 for number in range(4)}
            now_s = train(model, 20, images, seed)
            alarms += sum(is_harmful(expect(model, image, now_s)) for image in images)
        self.assertLessEqual(alarms, 2)

    def test_change_of_an_effect_is_followed_within_five_seconds(self) -> None:
        """Effects change within seconds; an old estimate throttles the wrong task."""
        now_s = train(self.model, 20, {"a": 0.6, "b": 0.0})
        now_s = train(self.model, 5, {"a": 0.0, "b": 0.6}, start_s=now_s)
        self.assertLess(
            expect(self.model, "a", now_s).mean, expect(self.model, "b", now_s).mean
        )
        self.assertTrue(is_harmful(expect(self.model, "b", now_s)))

    def test_old_evidence_fades(self) -> None:
        """A pair that was not seen for long must be tried again."""
        now_s = train(self.model, 20, {"loud": 0.6})
        later = expect(self.model, "loud", now_s + 3 * const.PAIR_DECAY_S)
        self.assertFalse(is_harmful(later))

    def test_miss_without_a_neighbor_blames_no_one(self) -> None:
        """A serving image that is slow by itself must not condemn its neighbors."""
        for now_s in range(1, 20):
            observe_beside(self.model, {}, 1.3, now_s)
            observe_beside(self.model, {"quiet": 1.0}, 1.3, now_s, worker=1)
        self.assertFalse(is_harmful(expect(self.model, "quiet", 19)))

    def test_loud_neighbor_among_many_is_told_apart(self) -> None:
        """Otherwise the quiet ones beside it are throttled as well."""
        quiet = {f"quiet{number}": 1.0 for number in range(4)}
        for now_s in range(1, 16):
            observe_beside(self.model, quiet, 0.35, now_s)
            observe_beside(self.model, {**quiet, "loud": 1.0}, 0.95, now_s, worker=1)
        self.assertTrue(is_harmful(expect(self.model, "loud", 15)))
        for image in quiet:
            self.assertFalse(is_harmful(expect(self.model, image, 15)))

    def test_pairs_are_bounded(self) -> None:
        """Callers choose image names, so their number is not limited otherwise."""
        for number in range(const.MAX_PAIRS + 50):
            observe_beside(self.model, {f"image{number}": 1.0}, 0.5, 1.0)
        self.assertEqual(const.MAX_PAIRS, len(self.model.pairs))


class ReportObserverTest(unittest.TestCase):
    """Test what is learned from the reports of workers."""

    def test_pairs_of_a_fleet_are_found_while_it_is_paced(self) -> None:
        """Pacing hides the harm that it prevents, which must not hide the pair.

        Of 5 fleets, at most 2 % of the independent pairs may be called harmful, and
        the estimates of harmful pairs that are observed must be above the others.
        """
        false_alarms = independent = 0
        for seed in range(5):
            fleet, control = build_random_fleet(seed), InterferenceControl()
            fleet.run(20, control=control)
            known = {"harmful": [], "independent": []}
            for (aggressor, victim), effect in fleet.truth.effects.items():
                pair = Pair(ImageName(aggressor), True, ImageName(victim))
                estimate = control.model.expect(pair, fleet.now_s)
                if effect:
                    known["harmful"].append(estimate.mean)
                else:
                    known["independent"].append(estimate.mean)
                    independent += 1
                    false_alarms += is_harmful(estimate)
            means = {kind: sum(rows) / len(rows) for kind, rows in known.items()}
            self.assertGreater(means["harmful"], means["independent"] + 0.1)
        self.assertLessEqual(false_alarms, 0.02 * independent)

    def test_slow_worker_teaches_nothing(self) -> None:
        """Its latencies are high for another reason than its neighbors."""
        truth = Truth({}, {"s": 1.2})
        fleet = SimulatedFleet(truth, [(["s"], ["f"])], 1)
        control = InterferenceControl()
        fleet.slow_workers = set(fleet.tracker.workers)
        fleet.run(5, control=control)
        self.assertEqual(0, control.model.observations)

    def test_cold_serving_task_teaches_nothing(self) -> None:
        """A task that warms up misses its target by itself."""
        fleet = SimulatedFleet(Truth({}, {"s": 1.2}), [(["s"], ["f"])], 1)
        control = InterferenceControl()
        fleet.warm_percent = 50
        fleet.run(5, control=control)
        self.assertEqual(0, control.model.observations)
