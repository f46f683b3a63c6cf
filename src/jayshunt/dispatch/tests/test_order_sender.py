"""Test the orders for one worker."""

import unittest
from collections.abc import Callable
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.messages import PaceTask, StartTask
from jayshunt.dispatch.models import OrderAnswer, Resources
from jayshunt.dispatch.order_sender import STORE_WAIT_S, OrderSender
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_job,
    build_session_context,
    build_step,
    build_tracker,
    place,
)
from jayshunt.dispatch.tests.fakes import FakeWorkerApi, no_answer, run_steps
from jayshunt.errors import Outcome
from jayshunt.task_loop import Steps


class OrderSenderTest(unittest.TestCase):
    """Cover refused, unanswered and cancelled starts, and the order of the orders."""

    def setUp(self) -> None:
        """Create the sender for a worker, and a job with one task."""
        self.job = build_job()
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.worker_api = FakeWorkerApi()
        self.background: list[Callable[[], Steps]] = []
        self.clock = ManualClock(start_s=0.0)
        self.context = build_session_context(
            self.tracker, self.clock, spawn=self.background.append
        )
        self.orders = OrderSender(self.view, self.worker_api, self.context)

    def test_start_without_an_answer_is_stopped(self) -> None:
        """The order may arrive late; a second run would then run the task twice."""
        task = self.job.steps[0, 0][0]
        self.tracker.record_order(task, self.view, 16, 0.0)
        self.worker_api.start_answers = [no_answer(Outcome.UNKNOWN)]
        run_steps(self.orders._send_start(StartTask(task, 16, "payload")))
        self.assertEqual(TaskPhase.STOPPING, task.phase)
        self.assertEqual([], self.job.ready_tasks())

    def test_start_that_was_not_sent_waits_again(self) -> None:
        """A start order that was certainly not sent can be placed again at once."""
        task = self.job.steps[0, 0][0]
        self.tracker.record_order(task, self.view, 16, 0.0)
        self.worker_api.start_answers = [no_answer(Outcome.NOT_RUN)]
        run_steps(self.orders._send_start(StartTask(task, 16, "payload")))
        self.assertEqual([task], self.job.ready_tasks())

    def test_cancelled_job_is_not_started(self) -> None:
        """A start order queued before the cancellation must not be sent after it."""
        task = self.job.steps[0, 0][0]
        self.tracker.record_order(task, self.view, 16, 0.0)
        self.job.cancel()
        run_steps(self.orders._send_start(StartTask(task, 16, "payload")))
        self.assertEqual([], self.worker_api.sent)

    def test_start_that_a_shrunk_worker_has_no_room_for_is_not_sent(self) -> None:
        """A worker that shrank while orders waited would start all of them."""
        job = build_job(build_step(task_count=4, resources=Resources(20_000, 1_000)))
        self.tracker.add_job(job)
        tasks = job.tasks()
        place(self.tracker, job, 0, self.view)
        for task in tasks[1:]:
            self.tracker.record_order(task, self.view, 16, 0.0)
        small = replace(self.view.worker, capacity=Resources(45_000, 9_000))
        self.view.worker = small
        self.worker_api.start_answers = [OrderAnswer(None)] * 3
        for task in tasks[1:]:
            run_steps(self.orders._send_start(StartTask(task, 16, "payload")))
        self.assertEqual(1, len(self.worker_api.sent))
        self.assertEqual(2, len(job.ready_tasks()))

    def place_two(self) -> Job:
        """Return a job with two tasks that are placed on the worker."""
        job = build_job(build_step(task_count=2), number=0xB2)
        self.tracker.add_job(job)
        for task in job.tasks():
            self.tracker.record_order(task, self.view, 16, 0.0)
        return job

    def test_starts_behind_one_without_an_answer_are_not_sent(self) -> None:
        """A worker that crashed on a start looked as if it crashed on the next too."""
        job = self.place_two()
        first, second = job.tasks()
        self.worker_api.start_answers = [no_answer(Outcome.UNKNOWN)]
        self.orders.start(StartTask(first, 16, "payload"))
        self.orders.start(StartTask(second, 16, "payload"))
        run_steps(self.background.pop()())
        self.assertEqual(TaskPhase.STOPPING, first.phase)
        self.assertEqual([second], job.ready_tasks())

    def test_start_on_a_worker_whose_poll_failed_is_not_sent(self) -> None:
        """Its start could not be told from one that crashed the worker."""
        job = self.place_two()
        self.view.is_failing = True
        run_steps(self.orders._send_start(StartTask(job.tasks()[0], 16, "payload")))
        self.assertEqual([], self.worker_api.sent)
        self.assertFalse(self.view.is_usable(0.0, 2.0))

    def test_start_is_not_sent_if_the_capacity_may_be_outdated(self) -> None:
        """An unguarded worker that shrank during an outage of the store was overfilled.

        The list of workers was 5.5 s old (soak seed 2003).
        """
        task = self.job.tasks()[0]
        self.tracker.record_order(task, self.view, 16, 0.0)
        self.context.knows_capacity = lambda pool: False
        run_steps(self.orders._send_start(StartTask(task, 16, "payload")))
        self.assertEqual([], self.worker_api.sent)
        self.assertEqual([task], self.job.ready_tasks())

    def test_suspect_is_started_only_once_its_start_is_stored(self) -> None:
        """A successor lost count of the workers that crashed under the suspect.

        The round that placed the task took two seconds, as over 1,600 workers: starts
        that were withheld for that were placed and withheld again without end.
        """
        for is_stored, sent in ((False, 0), (True, 1)):
            job = build_job(number=0xB3 + is_stored)
            self.tracker.add_job(job)
            (task,) = job.tasks()
            task.is_suspect = True
            now_s = self.clock.monotonic_s()
            self.tracker.record_order(task, self.view, 16, now_s - 2.0)
            version = self.tracker.versions[job.spec.job]
            self.worker_api.start_answers = [OrderAnswer(None)]
            self.orders.start(StartTask(task, 16, "payload", version))
            steps = self.background.pop()()
            next(steps)
            if is_stored:
                self.tracker.stored_versions[job.spec.job] = version
                self.orders.notify_stored()
            run_steps(steps, self.clock)
            self.assertEqual(sent, len(self.worker_api.sent))
            self.assertEqual(not is_stored, task in job.ready_tasks())

    def test_starts_that_cannot_be_stored_delay_other_orders_only_once(self) -> None:
        """During an outage, each start that waits delayed the worker's next orders."""
        job = self.place_two()
        self.worker_api.start_answers = [OrderAnswer(None)]
        for task in job.tasks():
            self.orders.start(StartTask(task, 16, "payload", stored_version=1))
        run_steps(self.background.pop()(), self.clock)
        self.assertEqual([], self.worker_api.sent)
        self.assertAlmostEqual(STORE_WAIT_S, self.clock.monotonic_s())

    def test_orders_of_one_worker_share_one_background_call(self) -> None:
        """Two orders in flight could overtake each other: a stop its own start."""
        task = self.job.steps[0, 0][0]
        self.tracker.record_order(task, self.view, 16, 0.0)
        self.worker_api.start_answers = [OrderAnswer(None)]
        self.orders.start(StartTask(task, 16, "payload"))
        self.orders.stop(self.tracker.stop(task))
        self.assertEqual(1, len(self.background))
        task.phase = TaskPhase.ORDERED
        run_steps(self.background.pop()())
        kinds = [type(item).__name__ for item in self.worker_api.sent]
        self.assertEqual(["StartOrder", "tuple"], kinds)
        self.orders.pace(PaceTask(task.key, 16, 50))
        self.assertEqual(1, len(self.background), "the next order starts the sending")

    def test_unexpected_error_does_not_block_later_orders(self) -> None:
        """One order that can't be sent must not hold back all others of a worker."""
        task = self.job.steps[0, 0][0]
        self.tracker.record_order(task, self.view, 16, 0.0)
        self.worker_api.start_answers = [RuntimeError("unexpected")]
        self.orders.start(StartTask(task, 16, "payload"))
        self.orders.stop(StopOrder(self.view.worker.worker, task.key, 16))
        with self.assertLogs("jayshunt.dispatch.order_sender", "ERROR"):
            run_steps(self.background.pop()())
        self.assertEqual((task.key, 16), self.worker_api.sent[-1])
        self.assertEqual(TaskPhase.STOPPING, task.phase, "it may have been started")


if __name__ == "__main__":
    unittest.main()
