"""Test that no task starts on a worker that its step or its queue excludes."""

import unittest
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.messages import StartTask
from jayshunt.dispatch.models import OrderAnswer, RunEnd
from jayshunt.dispatch.order_sender import OrderSender
from jayshunt.dispatch.placing import plan_placements
from jayshunt.dispatch.tasks import Task, TaskPhase
from jayshunt.dispatch.tests.builders import (
    POOL,
    SPARE,
    add_worker_view,
    build_end,
    build_job,
    build_queue,
    build_report,
    build_session_context,
    build_step,
    build_tracker,
    place,
)
from jayshunt.dispatch.tests.fakes import FakeWorkerApi, run_steps
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

    def test_start_in_flight_counts_once_its_task_is_done_elsewhere(self) -> None:
        """Another task started beside it, and nothing stopped it."""
        late, other = self.job.tasks()
        place(self.tracker, self.job, 0, self.views[0])
        old_run = late.run
        self.tracker.unplace(late, 0.5)
        self.tracker.record_order(late, self.views[1], old_run + 1, 1.0)
        self.tracker.record_sent(late, 1.0)
        end = build_end(1, late, RunEnd.DONE, old_run)
        self.tracker.apply_run_report(self.views[0], build_report(ends=[end]), 1.1, 1.1)
        stops = self.tracker.apply_run_report(self.views[1], build_report(), 0.9, 1.2)
        self.assertEqual([late.key], [stop.task for stop in stops])
        self.assertEqual([], self.choose(self.views[1]))
        self.tracker.record_stop_accepted(stops[0], 1.4)
        self.tracker.apply_run_report(self.views[1], build_report(), 1.5, 1.6)
        self.assertEqual([other], self.choose(self.views[1]))

    def test_limit_counts_starts_that_the_next_life_of_a_worker_may_take(self) -> None:
        """Such a start counted as lost, and another task of the step started there."""
        sent, other = self.job.tasks()
        self.tracker.record_order(sent, self.views[0], 16, 0.0)
        self.tracker.record_sent(sent, 0.1)
        restarted = build_report(started_ms=2)
        self.tracker.apply_run_report(self.views[0], restarted, 0.2, 0.3)
        next_view = self.tracker.workers.get(WorkerId("w1"))
        if next_view is None:
            next_view = add_worker_view(self.tracker, "w1", started_ms=2)
        for running in ((), (sent,)):
            report = build_report(*running, started_ms=2)
            self.tracker.apply_run_report(next_view, report, 0.4, 0.5)
            for task in self.choose(self.views[1])[:1]:
                place(self.tracker, self.job, task.key.index, self.views[1], 0.6)
            self.assertEqual([], self.choose(next_view))
        self.assertEqual([WorkerId("w1"), WorkerId("w2")], [sent.worker, other.worker])


class ChangeBeforeStartTest(unittest.TestCase):
    """Change what a placement relied on before the start order is sent."""

    def setUp(self) -> None:
        """Place one of two tasks, which need a label and must not share a worker."""
        step = build_step(task_count=2, max_per_worker=1, required_label="arm")
        self.job = build_job(step)
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker, labels=frozenset({"arm"}))
        self.task, self.other = self.job.tasks()
        self.tracker.record_order(self.task, self.view, 16, 0.0)

    def is_sent(self) -> bool:
        """Return whether the start is sent; else the task has to wait again."""
        worker_api = FakeWorkerApi()
        worker_api.start_answers = [OrderAnswer(None)]
        context = build_session_context(self.tracker, ManualClock(0.0))
        orders = OrderSender(self.view, worker_api, context)
        run_steps(orders._send_start(StartTask(self.task, 16, "payload")))
        self.assertEqual(not worker_api.sent, self.task in self.job.ready_tasks())
        return bool(worker_api.sent)

    def test_start_is_sent_if_nothing_changed(self) -> None:
        """A check that always fails would withhold every start."""
        self.assertTrue(self.is_sent())

    def test_worker_listed_in_another_pool_is_not_started_on(self) -> None:
        """A task ran in a pool to which no configuration sends its queue."""
        self.view.worker = replace(self.view.worker, pool=SPARE)
        self.assertFalse(self.is_sent())

    def test_task_is_not_started_in_the_former_pool_of_its_queue(self) -> None:
        """A new configuration sent the queue elsewhere while the start waited."""
        self.job.config = build_queue(pool=SPARE)
        self.assertFalse(self.is_sent())

    def test_gang_starts_as_a_whole_in_the_former_pool_of_its_queue(self) -> None:
        """Members that were started before the new configuration waited in vain."""
        self.task.spec = replace(self.task.spec, is_gang=True)
        self.tracker.apply_config(self.job, build_queue(pool=SPARE))
        self.assertTrue(self.is_sent())

    def test_worker_listed_without_the_label_is_not_started_on(self) -> None:
        """A task ran on a worker of another kind than it requires."""
        self.view.worker = replace(self.view.worker, labels=frozenset({"x86"}))
        self.assertFalse(self.is_sent())

    def test_worker_that_left_the_list_is_not_started_on(self) -> None:
        """Its pool and labels are no longer known."""
        self.view.is_listed = False
        self.assertFalse(self.is_sent())

    def test_start_that_would_exceed_the_limit_is_not_sent(self) -> None:
        """A run that another term started was found after the task was placed."""
        self.other.run = 7
        report = build_report(self.other)
        self.tracker.apply_run_report(self.view, report, 0.5, 0.5)
        self.assertIs(TaskPhase.RUNNING, self.other.phase)
        self.assertFalse(self.is_sent())


if __name__ == "__main__":
    unittest.main()
