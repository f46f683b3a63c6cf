"""Test how much memory jobs take at the dispatcher, and what it holds of them."""

import tracemalloc
import unittest

from jayshunt.dispatch.job_memory import JobMemory, estimate_job_bytes
from jayshunt.dispatch.memory_budget import divide_memory
from jayshunt.dispatch.models import (
    EndedRun,
    JobState,
    RunEnd,
    RunningRun,
    RunReport,
    TaskKey,
)
from jayshunt.dispatch.records import accepted_key, cancelled_key, progress_key
from jayshunt.dispatch.run_tracker import ENDED_DETAILS_S
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.tests.builders import (
    JOB,
    QUEUE,
    add_worker_view,
    build_end,
    build_job,
    build_report,
    build_spec,
    build_step,
    build_tracker,
    place,
)
from jayshunt.dispatch.tests.fleet_builders import TASKS_PER_JOB, FakeFleet
from jayshunt.ids import JobId, WorkspaceName

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


class JobRoomTest(unittest.TestCase):
    """Decide which jobs a dispatcher with 300 MB may hold."""

    def setUp(self) -> None:
        """Start without jobs."""
        self.memory = JobMemory(divide_memory(300).jobs_bytes)

    def test_estimate_covers_what_jobs_take(self) -> None:
        """A low estimate lets the sum of jobs exceed the memory."""
        many = tuple(build_step(task_count=2_000) for _ in range(5))
        for steps, changes in (
            (many, {}),
            ((build_step(),), {}),
            ((build_step(required_label="x" * 200),) * 64, {}),
            ((build_step(),), {"times": 5_000, "interval_ms": 1}),
        ):
            tracemalloc.start()
            job = build_job(*steps, **changes)
            job.create_due_occurrences(1e15)
            job.ready_tasks()
            taken_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertLess(taken_bytes, estimate_job_bytes(job.spec))

    def test_largest_job_fits_while_there_are_few(self) -> None:
        """A single job inside the limits is served."""
        spec = build_spec(*[build_step(task_count=10_000)] * 5)
        self.assertTrue(self.memory.room().has_room(estimate_job_bytes(spec)))

    def test_large_jobs_leave_memory_for_small_ones(self) -> None:
        """Ordinary callers were refused, or the process ended, beside large jobs."""
        large = estimate_job_bytes(build_spec(build_step(task_count=10_000)))
        small = estimate_job_bytes(build_spec(build_step(task_count=50)))
        while self.memory.room().has_room(large):
            self.memory.held_bytes += large
        for _ in range(100):
            self.assertTrue(self.memory.room().has_room(small))
            self.memory.held_bytes += small
        self.assertLess(self.memory.held_bytes, self.memory.limit_bytes)

    def test_job_larger_than_the_limit_is_not_held(self) -> None:
        """One that was accepted with more memory left none for other jobs."""
        self.assertFalse(self.memory.may_hold(self.memory.limit_bytes))
        self.assertTrue(self.memory.may_hold(self.memory.limit_bytes // 2))


class DeferredJobTest(unittest.TestCase):
    """Read more accepted jobs from the store than there is memory for."""

    def setUp(self) -> None:
        """Store three jobs of a size of which two can be held."""
        self.fleet = FakeFleet(0)
        self.fleet.add_long_running_jobs(3)
        self.dispatcher = self.fleet.build_dispatcher()
        self.addCleanup(self.dispatcher.stop, False)
        self.tracker = self.dispatcher.tracker
        step = build_step(task_count=TASKS_PER_JOB, is_long_running=True)
        self.job_bytes = estimate_job_bytes(build_spec(step))
        self.tracker.memory.limit_bytes = 3 * self.job_bytes
        self.intake = self.dispatcher._intake
        self.intake._read_all()

    def test_jobs_beyond_the_memory_wait_in_the_store(self) -> None:
        """A successor that read all accepted jobs at once ran out of memory."""
        self.assertEqual(2, len(self.tracker.jobs))
        self.assertEqual(1, len(self.tracker.deferred))
        self.assertFalse(self.dispatcher.job_room().has_room(self.job_bytes))
        self.assertTrue(self.dispatcher.job_room().has_room(self.job_bytes // 100))
        self.assertEqual(3, self.dispatcher.count_waiting(QUEUE))

    def test_records_beyond_the_memory_are_not_decoded(self) -> None:
        """Their values alone exceed it; an ended one does not run again."""
        dispatcher = self.fleet.build_dispatcher()
        self.addCleanup(dispatcher.stop, False)
        ended = JobId(f"{0:016x}")
        self.fleet.store.transact(
            {}, (Put(progress_key(ended), b'{"state":"completed"}'),)
        )
        dispatcher.tracker.memory.limit_bytes = 1
        dispatcher._intake._read_all()
        self.assertEqual({}, dispatcher.tracker.jobs)
        self.assertEqual([ended], list(dispatcher.tracker.ended))
        self.assertEqual(2, len(dispatcher.tracker.deferred))
        self.assertIsNone(dispatcher.job_state(ended, WorkspaceName("")))
        dispatcher.tracker.memory.limit_bytes = 2 * self.job_bytes
        dispatcher._intake._add_deferred()
        self.assertEqual(1, len(dispatcher.tracker.jobs))
        self.assertEqual(1, len(dispatcher.tracker.deferred))

    def test_job_with_a_reported_run_is_added_whatever_it_takes(self) -> None:
        """Its ends were acknowledged and lost, and its other runs were stopped."""
        (waiting,) = self.tracker.deferred
        view = add_worker_view(self.tracker, last_answer_s=None)
        running, done = (TaskKey(waiting, 0, 0, index) for index in (0, 1))
        report = RunReport(
            1_000,
            1,
            (RunningRun(running, 1, "", 100),),
            (EndedRun(1, done, 1, RunEnd.DONE),),
        )
        self.assertEqual([], self.tracker.apply_run_report(view, report, 0.5, 0.5))
        self.assertEqual(0, view.acknowledge_stored_ends(lambda job: 9))
        self.intake._add_deferred()
        self.assertEqual([running], list(view.tasks))
        self.assertEqual({}, view.strays)
        self.assertEqual(1, view.acknowledge_stored_ends(lambda job: 9))

    def test_notice_does_not_load_a_waiting_job(self) -> None:
        """Without the progress of earlier terms, its done tasks would run again."""
        (waiting,) = self.tracker.deferred
        self.tracker.memory.limit_bytes *= 10
        item = self.fleet.store.get(accepted_key(waiting))
        self.dispatcher.notify_accepted(waiting, item.value, item.created)
        self.assertNotIn(waiting, self.tracker.jobs)

    def test_waiting_job_is_added_once_there_is_memory(self) -> None:
        """An accepted job must run in the end, unless it was cancelled meanwhile."""
        (waiting,) = self.tracker.deferred
        key = cancelled_key(waiting)
        self.fleet.store.transact({}, (Put(key, b"{}"),))
        self.intake._add_deferred()
        self.assertNotIn(waiting, self.tracker.jobs)
        ended = next(iter(self.tracker.jobs.values()))
        ended.state = JobState.CANCELLED
        self.tracker.record_stored(ended, 1, JobState.CANCELLED, 0.0)
        self.tracker.forget_details(FORGOTTEN_S)
        self.intake._add_deferred()
        self.assertEqual({}, self.tracker.deferred)
        self.assertEqual(JobState.CANCELLED, self.tracker.jobs[waiting].state)


if __name__ == "__main__":
    unittest.main()
