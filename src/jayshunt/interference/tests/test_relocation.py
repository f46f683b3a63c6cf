"""Test moving throttled filling tasks to other workers."""

import unittest

from jayshunt.dispatch.free_capacity import fits, step_key
from jayshunt.dispatch.models import RunningRun, RunReport
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_job,
    build_step,
    build_tracker,
    place,
)
from jayshunt.interference.control import InterferenceControl
from jayshunt.interference.tests.builders import SERVING, TARGET_MS, train


class RelocatorTest(unittest.TestCase):
    """Test which task of two busy workers moves to an idle one."""

    def start(self, **changes) -> None:
        """Start two workers with a serving and a harmful filling task, and an idle one.

        `changes` are those of the filling step. Both filling tasks are throttled.
        """
        self.control = InterferenceControl()
        self.now_s = float(train(self.control.model, 20, {"loud": 0.6}))
        serving = build_step(
            task_count=2, is_long_running=True, image=SERVING, target_ms=TARGET_MS
        )
        step = {"is_long_running": True, "image": "loud", "fills": True}
        filling = build_step(**{**step, "has_checkpoints": True, **changes})
        jobs = build_job(serving, number=1), build_job(filling, number=2)
        self.tracker = build_tracker(*jobs)
        self.views = [add_worker_view(self.tracker, f"w{n}") for n in range(3)]
        self.filling = []
        for index, view in enumerate(self.views[:2]):
            tasks = [place(self.tracker, jobs[0], index, view, 1.0)]
            if index < filling.task_count:
                tasks.append(place(self.tracker, jobs[1], index, view, 1.0))
                self.filling.append(tasks[-1])
            rows = tuple(RunningRun(t.key, t.run, "", 100) for t in tasks)
            report = RunReport(1_000, 1, rows, ())
            self.tracker.apply_run_report(view, report, 1.5, 1.5)
        for task in self.filling:
            task.pace = 10

    def choose(self, after_s: float = 0.5):
        """Return the task that is moved after a time, with fresh reports."""
        self.now_s += after_s
        for view in self.views:
            view.last_answer_s = self.now_s
        task = self.control.choose_move(self.tracker, self.candidates, self.now_s)
        if task is not None:
            self.tracker.stop(task)
        return task

    def candidates(self, pool):
        """Return the workers with the steps that they avoid."""
        avoided = self.control.relocator.avoided_steps(self.now_s)
        rows = []
        for view in self.views:
            candidate = view.as_candidate(self.now_s, False, False, False)
            candidate.avoided_steps = avoided.get(view.worker.worker, frozenset())
            rows.append(candidate)
        return rows

    def test_throttled_task_moves_once_and_not_back(self) -> None:
        """Moves back and forth, or of many at once, lose more work than they gain."""
        self.start()
        self.assertIsNone(self.choose(), "it was not throttled for long")
        moved = self.choose(6)
        self.assertIs(self.filling[0], moved)
        origin, _, idle = self.candidates(self.views[0].worker.pool)
        self.assertFalse(fits(moved.spec, origin, step_key(moved)))
        self.assertTrue(fits(moved.spec, idle, step_key(moved)))
        self.assertIsNone(self.choose(1), "one move every 5 s")
        self.assertIsNone(self.choose(6), "one move at a time in a pool")
        self.now_s += 30
        origin = self.candidates(self.views[0].worker.pool)[0]
        self.assertTrue(fits(moved.spec, origin, step_key(moved)))

    def test_no_move_that_loses_more_than_it_gains(self) -> None:
        """Without a checkpoint all work since the start is lost."""
        self.start(has_checkpoints=False)
        self.choose()
        self.assertIsNone(self.choose(6))

    def test_no_move_without_a_better_worker(self) -> None:
        """The task would start again beside the same images."""
        self.start()
        self.tracker.workers.pop(self.views.pop().worker.worker)
        self.choose()
        self.assertIsNone(self.choose(6))

    def test_no_move_beyond_the_budget(self) -> None:
        """A task that is back since less than the notice still counts as down."""
        for since_s, moves in ((3.0, False), (9.0, True)):
            self.start(task_count=2, max_unavailable=1)
            self.choose()
            self.filling[1].running_s = self.now_s + 6 - since_s
            self.assertEqual(moves, self.choose(6) is not None)
