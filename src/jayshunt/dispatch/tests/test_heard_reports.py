"""Test that what a worker reported counts, whatever else its report waits for."""

import unittest

from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.job_memory import estimate_job_bytes
from jayshunt.dispatch.models import (
    EndedRun,
    JobState,
    RunEnd,
    RunningRun,
    RunReport,
    TaskKey,
)
from jayshunt.dispatch.records import accepted_key, cancelled_key, encode_job
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_end,
    build_job,
    build_queue,
    build_report,
    build_spec,
    build_step,
    build_tracker,
    place,
)
from jayshunt.dispatch.tests.fleet_builders import FakeFleet
from jayshunt.ids import JobId

TASKS = 4
HELD = JobId(f"{1:016x}")
WAITING = JobId(f"{2:016x}")


class WaitingJobTest(unittest.TestCase):
    """Begin a term with memory for one of two jobs that the last term started."""

    def setUp(self) -> None:
        """Store both jobs and read them."""
        fleet = FakeFleet(0)
        for job in (HELD, WAITING):
            spec = build_spec(build_step(task_count=TASKS), job=job)
            value = encode_job(spec, build_queue(), 0.0)
            fleet.store.transact({}, (Put(accepted_key(job), value),))
        self.store = fleet.store
        self.dispatcher = fleet.build_dispatcher()
        self.addCleanup(self.dispatcher.stop, False)
        self.tracker = self.dispatcher.tracker
        job_bytes = estimate_job_bytes(build_spec(build_step(task_count=TASKS)))
        self.tracker.memory.limit_bytes = int(1.5 * job_bytes)
        self.dispatcher._intake._read_all()
        self.assertEqual([WAITING], list(self.tracker.deferred))

    def report(
        self, name: str, ended: tuple[TaskKey, ...] = (), running=()
    ) -> WorkerView:
        """Apply the first report of a worker, whose ends are numbered from 1."""
        view = self.tracker.workers.get(name)
        if view is None:
            view = add_worker_view(self.tracker, name, last_answer_s=None)
        ends = (EndedRun(n, key, 1, RunEnd.DONE) for n, key in enumerate(ended, 1))
        rows = tuple(RunningRun(key, 1, "", 100) for key in running)
        report = RunReport(1_000, 1, rows, tuple(ends))
        self.tracker.apply_run_report(view, report, 0.5, 0.5)
        return view

    def ready(self, job: JobId) -> list[int]:
        """Return the indexes of a job's tasks that would be placed now."""
        return [task.key.index for task in self.tracker.jobs[job].ready_tasks()]

    def test_end_listed_behind_that_of_a_waiting_job_is_not_run_again(self) -> None:
        """A successor started tasks again whose ends it had heard (review case 6)."""
        ended = (task(WAITING, 0), task(HELD, 0), task(WAITING, 1), task(HELD, 1))
        view = self.report("w1", ended)
        self.assertEqual([2, 3], self.ready(HELD))
        self.assertEqual(0, view.acknowledge_stored_ends(lambda job: 9))

    def test_reported_runs_of_a_waiting_job_count_once_it_is_read(self) -> None:
        """It was placed before the workers that have its runs were asked again."""
        view = self.report("w1", (task(WAITING, 0),))
        self.report("w2", running=(task(WAITING, 1),))
        self.dispatcher._intake._add_deferred()
        self.assertEqual([2, 3], self.ready(WAITING))
        self.assertEqual([task(WAITING, 1)], list(self.tracker.workers["w2"].tasks))
        self.assertEqual(0, view.acknowledge_stored_ends(lambda job: 0))
        self.assertEqual(1, view.acknowledge_stored_ends(lambda job: 9))

    def test_end_of_a_waiting_job_outlives_its_worker(self) -> None:
        """Only this dispatcher still knew of the end once the worker was gone."""
        view = self.report("w1", (task(WAITING, 0),))
        self.tracker.remove_worker(view, 1.0, WorkerEnd.VM_ORDERED)
        self.dispatcher._intake._add_deferred()
        self.assertEqual([1, 2, 3], self.ready(WAITING))

    def test_waiting_job_that_is_not_in_the_store_blocks_nothing(self) -> None:
        """Its ends would never be acknowledged, nor those behind them."""
        view = self.report("w1", (task(WAITING, 0), task(HELD, 0)))
        self.store.transact({}, (), (accepted_key(WAITING),))
        self.dispatcher._intake._add_deferred()
        self.assertEqual({}, self.tracker.deferred)
        self.assertEqual(2, view.acknowledge_stored_ends(lambda job: 9))

    def test_cancelled_job_that_waited_is_stopped_where_it_runs(self) -> None:
        """Its runs counted as stray ones that nobody stopped before the next report."""
        self.report("w1", running=(task(WAITING, 0),))
        self.store.transact({}, (Put(cancelled_key(WAITING), b"{}"),))
        stops = []
        self.dispatcher.send_stops = stops.extend
        self.dispatcher._intake._add_deferred()
        self.assertEqual(JobState.CANCELLED, self.tracker.jobs[WAITING].state)
        self.assertEqual([task(WAITING, 0)], [order.task for order in stops])


class CutListTest(unittest.TestCase):
    """Report more ends than a list has, as while the store acknowledges none."""

    def setUp(self) -> None:
        """Run three tasks of which two have ended; the list has the first end only."""
        self.job = build_job(build_step(task_count=3))
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.tasks = [place(self.tracker, self.job, n, self.view) for n in range(3)]
        self.ends = [
            build_end(number, self.tasks[number - 1], RunEnd.DONE) for number in (1, 2)
        ]
        self.cut = build_report(self.tasks[2], ends=self.ends[:1], may_lack_ends=True)

    def test_run_in_neither_list_is_not_started_again(self) -> None:
        """Tasks that were done ran again while the store was down (review case 1)."""
        self.tracker.apply_run_report(self.view, self.cut, 0.5, 0.5)
        self.assertEqual([], self.job.ready_tasks())
        report = build_report(self.tasks[2], ends=self.ends[1:])
        self.tracker.apply_run_report(self.view, report, 1.5, 1.5)
        self.assertEqual(TaskPhase.DONE, self.tasks[1].phase)

    def test_run_that_a_whole_list_lacks_is_lost(self) -> None:
        """Its task would never run again."""
        self.tracker.apply_run_report(self.view, self.cut, 0.5, 0.5)
        report = build_report(self.tasks[2], ends=self.ends[:1])
        self.tracker.apply_run_report(self.view, report, 1.5, 1.5)
        self.assertEqual([self.tasks[1]], self.job.ready_tasks())

    def test_successor_waits_until_all_ends_are_listed(self) -> None:
        """It started tasks again whose ends it had not been told yet."""
        fleet = FakeFleet(0)
        dispatcher = fleet.build_dispatcher()
        self.addCleanup(dispatcher.stop, False)
        dispatcher.tracker.add_job(self.job)
        self.job.is_inherited = True
        dispatcher.worker_list_read = True
        dispatcher._started_s = -100.0
        view = add_worker_view(dispatcher.tracker)
        dispatcher.tracker.apply_run_report(view, self.cut, 0.5, 0.5)
        self.assertFalse(dispatcher.planner._may_start(1.0)(self.job))
        dispatcher.tracker.apply_run_report(view, build_report(), 1.5, 1.5)
        self.assertTrue(dispatcher.planner._may_start(1.0)(self.job))


def task(job: JobId, index: int) -> TaskKey:
    """Return a task of the only step of a job."""
    return TaskKey(job, 0, 0, index)


if __name__ == "__main__":
    unittest.main()
