"""Test that no task starts on a worker that its step or its queue excludes."""

import unittest

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.placing import plan_placements
from jayshunt.dispatch.tasks import Task
from jayshunt.dispatch.tests.builders import (
    POOL,
    add_worker_view,
    build_job,
    build_report,
    build_step,
    build_tracker,
    place,
)
from jayshunt.ids import WorkerId


class LimitPerWorkerTest(unittest.TestCase):
    """Run tasks of a step of which at most one may run on a worker."""

    def setUp(self) -> None:
        """Set up two workers and a job of two tasks."""
        self.job = build_job(build_step(task_count=2, max_per_worker=1))
        self.tracker = build_tracker(self.job)
        self.views = [add_worker_view(self.tracker, name) for name in ("w1", "w2")]

    def choose(self, view: WorkerView) -> list[Task]:
        """Return the tasks that a placement round would start on a worker."""
        candidate = view.as_candidate(2.0, False, False, False)
        found = plan_placements([self.job], {POOL: [candidate]}, 2.0)
        return [placement.task for placement in found]

    def test_no_task_starts_beside_a_run_that_is_being_stopped(self) -> None:
        """A start that was carried out late left two tasks of a step on a worker."""
        late, other = self.job.tasks()
        place(self.tracker, self.job, 0, self.views[0])
        report = build_report(late)
        self.tracker.unplace(late, 0.5)
        place(self.tracker, self.job, 0, self.views[1], 1.0)
        stops = self.tracker.apply_run_report(self.views[0], report, 1.5, 1.5)
        self.assertEqual(
            [(WorkerId("w1"), late.key)], [(s.worker, s.task) for s in stops]
        )
        self.assertEqual([], self.choose(self.views[0]))
        self.tracker.apply_run_report(self.views[0], build_report(), 1.8, 1.8)
        self.assertEqual([other], self.choose(self.views[0]))


if __name__ == "__main__":
    unittest.main()
