"""Test how much memory jobs take at the dispatcher, and what it holds of them."""

import unittest

from jayshunt.dispatch.models import JobState, RunEnd
from jayshunt.dispatch.run_tracker import ENDED_DETAILS_S
from jayshunt.dispatch.tests.builders import (
    JOB,
    add_worker_view,
    build_end,
    build_job,
    build_report,
    build_step,
    build_tracker,
    place,
)

FORGOTTEN_S = 2.0 + ENDED_DETAILS_S


class EndedJobTest(unittest.TestCase):
    """Let a job of two tasks end, and forget its details."""

    def setUp(self) -> None:
        """Run both tasks; the second ends late."""
        self.job = build_job(build_step(task_count=2))
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.tasks = [place(self.tracker, self.job, n, self.view) for n in (0, 1)]
        self.tracker.apply_run_report(self.view, build_report(*self.tasks), 0.5, 0.5)

    def end(self, state: JobState, now_s: float = 1.0) -> None:
        """Store the end of the job."""
        self.tracker.dirty.clear()
        self.job.state = state
        self.tracker.record_stored(self.job, 9, state, now_s)

    def test_tasks_of_ended_jobs_are_not_kept(self) -> None:
        """Jobs of 50,000 tasks that are cancelled at once filled the memory."""
        ends = [build_end(n, task, RunEnd.DONE) for n, task in enumerate(self.tasks, 1)]
        self.tracker.apply_run_report(self.view, build_report(ends=ends), 1.0, 1.0)
        held_bytes = self.tracker.memory.held_bytes
        self.end(JobState.COMPLETED)
        self.tracker.forget_details(FORGOTTEN_S - 2.0)
        self.assertIn(JOB, self.tracker.jobs)
        self.tracker.forget_details(FORGOTTEN_S)
        self.assertNotIn(JOB, self.tracker.jobs)
        self.assertLess(self.tracker.memory.held_bytes, held_bytes / 5)
        self.assertEqual(JobState.COMPLETED, self.tracker.ended[JOB].state)

    def test_job_with_runs_keeps_its_details(self) -> None:
        """A run that is still being stopped would take no room any more."""
        self.end(JobState.CANCELLED)
        self.tracker.forget_details(FORGOTTEN_S)
        self.assertIn(JOB, self.tracker.jobs)

    def test_forgotten_job_is_not_added_again(self) -> None:
        """A late notice of an entry would run the job a second time."""
        self.test_tasks_of_ended_jobs_are_not_kept()
        self.assertFalse(self.tracker.add_job(build_job(build_step(task_count=2))))
        self.assertNotIn(JOB, self.tracker.active)

    def test_run_of_a_forgotten_job_is_stopped(self) -> None:
        """A worker that was out of reach may still have one."""
        self.test_tasks_of_ended_jobs_are_not_kept()
        report = build_report(self.tasks[0])
        stops = self.tracker.apply_run_report(self.view, report, 20.0, 20.0)
        self.assertEqual([self.tasks[0].key], [order.task for order in stops])

    def test_expired_job_leaves_nothing(self) -> None:
        """The versions of all jobs ever accepted were kept."""
        self.test_tasks_of_ended_jobs_are_not_kept()
        self.assertEqual([], self.tracker.expired_jobs(1.0, 10))
        self.assertEqual([JOB], self.tracker.expired_jobs(1.5, 10))
        self.view.pending.clear()
        self.tracker.forget_job(JOB)
        self.assertEqual(0, self.tracker.memory.held_bytes)
        self.assertNotIn(JOB, self.tracker.versions)
        self.assertNotIn(JOB, self.tracker.stored_versions)


if __name__ == "__main__":
    unittest.main()
