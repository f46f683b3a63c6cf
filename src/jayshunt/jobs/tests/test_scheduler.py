"""Test the scheduler against failing workers and a failing store."""

import unittest

from jayshunt.errors import JayshuntError
from jayshunt.ids import WorkerId
from jayshunt.jobs.const import (
    LEASE_MARGIN_S,
    MAX_FAILED_WORKERS,
    QUARANTINE_JOBS,
    TASK_LEASE_S,
    UNKNOWN_GRACE_S,
)
from jayshunt.jobs.diagnostics import describe
from jayshunt.jobs.messages import TaskState
from jayshunt.jobs.models import JobState
from jayshunt.jobs.tests.builders import Zone
from jayshunt.pools.models import AssignmentState
from jayshunt.store.tests.builders import DeferredExecutor

LEASE_OVER_S = TASK_LEASE_S + LEASE_MARGIN_S + 1


class SchedulerTest(unittest.TestCase):
    """Check one failure at a time."""

    def setUp(self) -> None:
        """Create a zone with two workers and one scheduler."""
        self.zone = Zone()
        self.scheduler = self.zone.build_scheduler()
        self.zone.step(self.scheduler)
        self.first = self.zone.workers.by_name[WorkerId("w1")]
        self.second = self.zone.workers.by_name[WorkerId("w2")]

    def state(self, job) -> JobState:
        """Return the stored state of a job."""
        return self.zone.read(job).state

    def starts(self, job) -> int:
        """Return how often a job started from the beginning."""
        return sum(1 for t in self.zone.workers.all_starts() if t.job == job)

    def holder(self, job):
        """Return the fake worker that holds a job."""
        return self.zone.workers.by_name[self.zone.read(job).worker]

    def test_job_runs_once_to_its_end(self) -> None:
        """A job must start in the step after its notice and end as finished."""
        job = self.zone.submit()
        self.zone.step(self.scheduler)
        self.assertEqual(self.starts(job), 1)
        self.holder(job).finish()
        self.zone.step(self.scheduler, 5)
        self.assertEqual(self.state(job), JobState.FINISHED)

    def test_lost_answer_to_the_start_does_not_start_it_twice(self) -> None:
        """A start whose answer was lost must be recognized."""
        job = self.zone.submit(repeatable=False)
        self.first.lose_answers = self.second.lose_answers = 1
        self.zone.step(self.scheduler, 5)
        self.assertEqual(self.starts(job), 1)
        self.assertEqual(self.state(job), JobState.PLACED)

    def test_lost_order_is_sent_again(self) -> None:
        """A start that got lost on its way must not leave the job waiting forever."""
        job = self.zone.submit(repeatable=False)
        self.first.lose_orders = self.second.lose_orders = 1
        self.zone.step(self.scheduler, 5)
        self.assertEqual(self.starts(job), 1)

    def test_lost_worker_repeats_only_what_may_be_repeated(self) -> None:
        """A job that may have run must not run again; another must not be lost."""
        safe, marked = self.zone.submit(), self.zone.submit(repeatable=False)
        self.zone.step(self.scheduler)
        lost = self.zone.read(safe).worker
        self.assertEqual(self.zone.read(marked).worker, lost)
        self.zone.workers.by_name[lost].down = True
        self.zone.step(self.scheduler, 2)
        self.zone.step(self.scheduler, 3, LEASE_OVER_S)
        self.assertEqual(self.zone.read(safe).attempt, 2)
        self.zone.step(self.scheduler, 1, UNKNOWN_GRACE_S)
        self.assertEqual(self.state(marked), JobState.UNKNOWN)
        self.assertEqual(self.starts(marked), 1)

    def test_returned_worker_settles_an_unknown_job(self) -> None:
        """A job that finished on a worker thought lost must not stay unknown."""
        job = self.zone.submit(repeatable=False)
        self.zone.step(self.scheduler)
        worker = self.holder(job)
        worker.finish()
        worker.down = True
        self.zone.step(self.scheduler, 4, LEASE_OVER_S + UNKNOWN_GRACE_S)
        self.assertEqual(self.state(job), JobState.UNKNOWN)
        worker.down = False
        self.zone.step(self.scheduler, 4)
        self.assertEqual(self.state(job), JobState.FINISHED)

    def test_unreachable_worker_gives_a_marked_job_back(self) -> None:
        """A job whose order certainly never left must not end as unknown."""
        self.first.unreachable = self.second.unreachable = True
        job = self.zone.submit(repeatable=False)
        self.zone.step(self.scheduler, 3)
        self.first.unreachable = self.second.unreachable = False
        self.zone.step(self.scheduler, 6)
        self.assertEqual(self.state(job), JobState.PLACED)
        self.assertEqual(self.starts(job), 1)

    def test_restarted_worker_lost_its_tasks(self) -> None:
        """A marked job on a worker that restarted must end as unknown at once."""
        safe, marked = self.zone.submit(), self.zone.submit(repeatable=False)
        self.zone.step(self.scheduler)
        self.holder(safe).restart()
        self.zone.step(self.scheduler, 4)
        self.assertEqual(self.state(marked), JobState.UNKNOWN)
        self.assertEqual(self.zone.read(safe).attempt, 2)

    def test_worker_that_fails_everything_is_quarantined(self) -> None:
        """A faulty worker must not fail other teams' jobs."""
        self.first.fail_all = True
        self.second.capacity = self.first.capacity
        jobs = [
            self.zone.submit(team="crew" if n % 2 else "salons")
            for n in range(2 * QUARANTINE_JOBS)
        ]
        self.zone.step(self.scheduler, 12)
        view = {w["worker"]: w for w in describe(self.scheduler)["workers"]}
        self.assertTrue(view["w1"]["is_quarantined"])
        self.assertFalse(view["w2"]["is_quarantined"])
        self.second.finish()
        self.zone.step(self.scheduler, 6)
        self.second.finish()
        self.zone.step(self.scheduler, 6)
        self.assertEqual({self.state(job) for job in jobs}, {JobState.FINISHED})

    def test_job_that_fails_everywhere_ends_and_blames_no_worker(self) -> None:
        """One team's broken jobs must not take workers away from others."""
        zone = Zone(("w1", "w2", "w3", "w4"))
        scheduler = zone.build_scheduler()
        zone.step(scheduler)
        jobs = [zone.submit(command="fail") for _ in range(8)]
        zone.step(scheduler, 40)
        for job in jobs:
            stored = zone.read(job)
            self.assertEqual(stored.state, JobState.FAILED)
            self.assertLessEqual(len(stored.failed_on), MAX_FAILED_WORKERS)
        workers = describe(scheduler)["workers"]
        self.assertFalse(any(worker["is_quarantined"] for worker in workers))

    def test_job_larger_than_any_worker_fails_with_its_reason(self) -> None:
        """A job that can never run must not wait forever."""
        job = self.zone.submit(cpu_cores=20)
        small = self.zone.submit()
        self.zone.step(self.scheduler, 2)
        self.assertEqual(self.state(job), JobState.FAILED)
        self.assertIn("larger_than_any_worker", self.zone.read(job).reason)
        self.assertEqual(self.state(small), JobState.PLACED)

    def test_urgent_job_preempts_by_checkpoint(self) -> None:
        """Urgent work must not wait for ordinary work, nor make it run twice."""
        ordinary = [self.zone.submit(cpu_cores=8, repeatable=False) for _ in "ab"]
        self.zone.step(self.scheduler)
        urgent = self.zone.submit(work_class="settle", cpu_cores=8)
        self.zone.step(self.scheduler, 4, 0.3)
        self.assertEqual(self.starts(urgent), 1)
        self.first.finish()
        self.second.finish()
        self.zone.step(self.scheduler, 6)
        resumed = [*self.first.resumes, *self.second.resumes]
        self.assertEqual(len(resumed), 1)
        self.assertEqual([self.starts(job) for job in ordinary], [1, 1])

    def test_drain_moves_jobs_by_checkpoint(self) -> None:
        """A worker in a planned stop must become empty without a second run."""
        job = self.zone.submit(repeatable=False)
        self.zone.step(self.scheduler)
        left = self.zone.read(job).worker
        self.zone.states[left] = AssignmentState.LEAVING
        self.zone.step(self.scheduler, 5)
        self.assertEqual(self.scheduler.remaining_jobs(left), 0)
        self.assertNotEqual(self.zone.read(job).worker, left)
        self.assertEqual(self.starts(job), 1)

    def test_drain_waits_where_the_platform_cannot_checkpoint(self) -> None:
        """A planned stop must not cut a job."""
        self.first.can_checkpoint = self.second.can_checkpoint = False
        job = self.zone.submit()
        self.zone.step(self.scheduler)
        left = self.zone.read(job).worker
        self.zone.states[left] = AssignmentState.LEAVING
        self.zone.step(self.scheduler, 5)
        self.assertEqual(self.scheduler.remaining_jobs(left), 1)
        self.zone.workers.by_name[left].finish()
        self.zone.step(self.scheduler, 6)
        self.assertEqual(self.state(job), JobState.FINISHED)

    def test_new_controller_counts_no_worker_as_empty_before_it_read_the_jobs(
        self,
    ) -> None:
        """A worker must not be rebooted under jobs its controller has not read."""
        job = self.zone.submit()
        self.zone.step(self.scheduler)
        successor = self.zone.build_scheduler("t2")
        self.assertEqual(successor.remaining_jobs(self.zone.read(job).worker), 1)

    def test_cancel_wave_costs_a_write_per_job_document(self) -> None:
        """A wave of cancellations must not cost more than the work it cancels."""
        jobs = [self.zone.submit(cpu_cores=8) for _ in range(40)]
        self.zone.step(self.scheduler, 2)
        for job in jobs:
            self.zone.intake.cancel(job)
        before = self.zone.store.puts
        self.zone.step(self.scheduler, 5)
        self.assertLessEqual(self.zone.store.puts - before, 4)
        self.assertEqual({self.state(job) for job in jobs}, {JobState.CANCELLED})
        self.assertEqual(self.first.running + self.second.running, [])

    def test_store_outage_keeps_running_jobs_and_their_results(self) -> None:
        """An outage longer than the leases must not stop or lose a job."""
        jobs = [self.zone.submit(repeatable=False) for _ in range(4)]
        self.zone.step(self.scheduler)
        self.zone.store.down = True
        self.zone.step(self.scheduler, 60, 2.0)
        self.assertEqual(len(self.first.running + self.second.running), 4)
        self.first.finish()
        self.second.finish()
        self.zone.step(self.scheduler, 5, 2.0)
        self.zone.store.down = False
        before = self.zone.store.puts
        self.zone.step(self.scheduler, 3)
        self.assertLessEqual(self.zone.store.puts - before, 4)
        self.assertEqual({self.state(job) for job in jobs}, {JobState.FINISHED})

    def test_lease_lost_in_an_outage_does_not_stop_running_jobs(self) -> None:
        """The end of the controller's lease must not end the leases of its jobs."""
        term = ["t9"]
        scheduler = self.zone.build_scheduler("t9", read_term=lambda: term[0])
        self.zone.step(scheduler)
        job = self.zone.submit(repeatable=False)
        self.zone.step(scheduler)
        self.zone.store.down = True
        term[0] = None
        self.zone.step(scheduler, 60, 2.0)
        self.assertEqual(len(self.first.running + self.second.running), 1)
        self.zone.store.down = False
        waiting = self.zone.submit()
        self.zone.step(scheduler, 4)
        self.assertEqual(self.state(waiting), JobState.WAITING)
        self.zone.step(self.zone.build_scheduler("t10"), 3)
        self.zone.step(scheduler)
        self.assertFalse(scheduler.is_scheduling)
        self.assertEqual(self.state(waiting), JobState.PLACED)
        self.assertEqual(self.starts(job), 1)

    def test_one_call_per_worker_and_period(self) -> None:
        """Many jobs on a worker must not cost a call each."""
        for _ in range(16):
            self.zone.submit(cpu_cores=0.5)
        self.zone.step(self.scheduler, 3)
        before = self.first.calls + self.second.calls
        self.zone.step(self.scheduler, 20, 0.5)
        self.assertLessEqual(self.first.calls + self.second.calls - before, 10)

    def test_paused_scheduler_changes_nothing_after_its_term(self) -> None:
        """A scheduler that was paused past its lease must not place a job again."""
        executor = DeferredExecutor()
        paused = self.zone.build_scheduler("t2", executor)
        self.zone.step(paused)
        executor.run()
        job = self.zone.submit(repeatable=False)
        self.zone.step(paused)
        self.assertEqual(self.state(job), JobState.PLACED)
        successor = self.zone.build_scheduler("t3")
        self.zone.step(successor, 3)
        self.assertEqual(self.starts(job), 1)
        executor.run()
        self.zone.step(paused, 3)
        executor.run()
        self.zone.step(paused, 2)
        self.assertFalse(paused.is_scheduling)
        self.assertEqual(self.starts(job), 1)

    def test_silent_worker_delays_nobody(self) -> None:
        """A call that does not return must not hold up other workers' jobs."""
        self.first.down = True
        self.zone.step(self.scheduler, 8)
        job = self.zone.submit()
        self.zone.step(self.scheduler, 1)
        self.assertEqual(self.state(job), JobState.PLACED)
        self.second.finish(TaskState.FINISHED)
        self.zone.step(self.scheduler, 5)
        self.assertEqual(self.state(job), JobState.FINISHED)

    def test_full_shards_refuse_before_anything_is_accepted(self) -> None:
        """A flood of jobs must not grow a document beyond the store's limit."""
        accepted = 0
        with self.assertRaises(JayshuntError) as caught:
            for _ in range(1_000):
                self.zone.submit(command="x" * 8_000)
                accepted += 1
        self.assertEqual(caught.exception.code, "jobs_full")
        sizes = [len(v.value) for v in self.zone.store.values.values()]
        self.assertLess(max(sizes), 1_000_000)
        self.assertGreater(accepted, 100)
