"""Test keeping harmful pairs of images apart."""

import unittest

from jayshunt.dispatch.free_capacity import CandidateWorker
from jayshunt.dispatch.placement_policy import PlacementPolicy
from jayshunt.dispatch.placing import plan_placements, prioritize_jobs
from jayshunt.dispatch.tests.builders import (
    POOL,
    build_candidate,
    build_job,
    build_step,
)
from jayshunt.ids import WorkerId
from jayshunt.interference.control import InterferenceControl
from jayshunt.interference.tests.builders import (
    SERVING,
    TARGET_MS,
    build_random_fleet,
    observe_beside,
    train,
)


def build_serving(image: str = SERVING):
    """Return a serving step."""
    return build_step(is_long_running=True, image=image, target_ms=TARGET_MS)


def build_filling(image: str):
    """Return a filling step."""
    return build_step(is_long_running=True, image=image, fills=True)


def occupy(name: str, *steps) -> CandidateWorker:
    """Return a worker that runs the steps."""
    candidate = build_candidate(name)
    for number, step in enumerate(steps):
        candidate.reserve(build_job(step, number=500 + number).tasks()[0])
    return candidate


class NeighborHarmTest(unittest.TestCase):
    """Test where serving and filling tasks are placed."""

    def setUp(self) -> None:
        """Teach that one filling image harms the serving image, and one does not."""
        self.control = InterferenceControl()
        self.now_s = train(self.control.model, 20, {"loud": 0.6, "quiet": 0.0})

    def place(self, step, *candidates: CandidateWorker, learned=True) -> WorkerId:
        """Return where a task of a step is placed."""
        policy = PlacementPolicy(prioritize_jobs)
        if learned:
            harm = self.control.begin_round(self.now_s)
            policy = PlacementPolicy(prioritize_jobs, neighbor_cost=harm.neighbor_cost)
        (placement,) = plan_placements(
            [build_job(step)], {POOL: list(candidates)}, self.now_s, policy=policy
        )
        loads = {c.worker.worker: c.load for c in candidates}
        if learned:
            loads[placement.worker].remove(placement.task)
            self.control.record_placement(placement.task, loads[placement.worker])
        return placement.worker

    def test_harmful_neighbor_is_avoided_both_ways(self) -> None:
        """Counting neighbors prefers one loud task to two quiet ones."""
        loud = occupy("loud", build_filling("loud"))
        quiet = occupy("quiet", build_filling("quiet"), build_filling("quiet"))
        chosen = self.place(build_serving(), loud, quiet, learned=False)
        self.assertEqual("loud", chosen)
        loud = occupy("loud", build_filling("loud"))
        self.assertEqual("quiet", self.place(build_serving(), loud, quiet))
        serving = occupy("serving", build_serving())
        others = occupy("others", build_serving("other"), build_serving("other"))
        self.assertEqual("others", self.place(build_filling("loud"), serving, others))
        self.assertEqual(2, self.control.counts["avoided"])

    def test_harmful_neighbor_is_accepted_without_room_elsewhere(self) -> None:
        """A task must not wait because of a pair."""
        loud = occupy("loud", build_filling("loud"))
        self.assertEqual("loud", self.place(build_serving(), loud))
        self.assertEqual(1, self.control.counts["accepted"])

    def test_without_evidence_the_choice_is_as_before(self) -> None:
        """Unknown images must not change where tasks are packed."""
        self.control = InterferenceControl()
        for step in (build_serving("new"), build_filling("new")):
            choices = [
                self.place(
                    step,
                    occupy("a", build_filling("x"), build_serving("y")),
                    occupy("b", build_filling("x"), build_serving("y"), build_step()),
                    occupy("c", build_filling("x"), build_filling("z")),
                    occupy("d", build_serving("x"), build_serving("z")),
                    learned=learned,
                )
                for learned in (False, True)
            ]
            self.assertEqual(choices[0], choices[1])

    def test_unknown_pair_is_tried_where_the_target_is_far(self) -> None:
        """Trying it beside a task near its target would break the target."""
        for worker, (image, ratio) in enumerate((("near", 0.8), ("far", 0.2))):
            for second in range(5):
                now_s = self.now_s - 5 + second
                observe_beside(self.control.model, {}, ratio, now_s, worker, image)
        near = occupy("near", build_serving("near"))
        far = occupy("far", build_serving("far"))
        self.assertEqual("far", self.place(build_filling("new"), near, far))


class PlacementComparisonTest(unittest.TestCase):
    """Compare placement by the model with counting neighbors and with the truth."""

    def test_less_true_harm_than_by_counting_neighbors(self) -> None:
        """Estimates of paced pairs must be good enough to keep pairs apart.

        Of the harm that counting neighbors causes in 4 fleets, at most half remains.
        """
        plain = learned = 0.0
        for seed in range(4):
            fleet, control = build_random_fleet(seed), InterferenceControl()
            fleet.run(20, control=control)
            plain += self.place_all(fleet, None)
            learned += self.place_all(fleet, control.begin_round(fleet.now_s))
        self.assertLess(learned, 0.5 * plain)

    def place_all(self, fleet, harm) -> float:
        """Place 4 tasks of each filling image and return their sum of true effects."""
        policy = PlacementPolicy(prioritize_jobs)
        if harm is not None:
            policy = PlacementPolicy(prioritize_jobs, neighbor_cost=harm.neighbor_cost)
        effects = fleet.truth.effects
        images = sorted({aggressor for aggressor, _ in effects}) * 4
        jobs = [
            build_job(build_filling(m), number=9000 + n) for n, m in enumerate(images)
        ]
        candidates = [
            worker.view.as_candidate(fleet.now_s, False, False, False)
            for worker in fleet.workers
        ]
        plan = plan_placements(jobs, {POOL: candidates}, fleet.now_s, policy=policy)
        self.assertEqual(len(images), len(plan))
        return sum(
            effects.get((placement.task.spec.image, victim.spec.image), 0.0)
            for placement in plan
            for worker in fleet.workers
            if worker.view.worker.worker == placement.worker
            for victim in worker.serving
        )
