"""Test the orders for one worker."""

import unittest
from collections.abc import Callable
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.free_capacity import CandidateWorker, fits
from jayshunt.dispatch.messages import MAX_EXTRA_LANES, PaceTask, StartTask
from jayshunt.dispatch.models import OrderAnswer, Resources, TaskKey
from jayshunt.dispatch.order_queue import MAX_QUEUED_STARTS
from jayshunt.dispatch.order_sender import MAX_LANES, STORE_WAIT_S, OrderSender
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.dispatch.tests.builders import (
    JOB,
    add_worker_view,
    build_job,
    build_session_context,
    build_step,
    build_tracker,
    place,
)
from jayshunt.dispatch.tests.fakes import FakeWorkerApi, no_answer, run_steps
from jayshunt.errors import Outcome
from jayshunt.ids import JobId
from jayshunt.task_loop import Sleep, Steps


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

    def place_many(self, count: int, **changes) -> Job:
        """Return a job whose tasks are placed on the worker, with answers for each."""
        step = build_step(task_count=count, resources=Resources(1, 1), **changes)
        job = build_job(step, number=0xC3)
        self.tracker.add_job(job)
        for task in job.tasks():
            self.tracker.record_order(task, self.view, 16, 0.0)
        self.worker_api.start_answers += [OrderAnswer(None)] * count
        return job

    def stop_order(self, number: int) -> StopOrder:
        """Return the order to stop a run of which the tracker knows nothing."""
        key = TaskKey(JobId(f"{number:016x}"), 0, 0, 0)
        return StopOrder(self.view.worker.worker, key, 16)

    def test_stop_is_sent_before_the_starts_that_wait(self) -> None:
        """Cancelled tasks ran on behind the starts of a large job (review case 14)."""
        for task in self.place_many(5).tasks():
            self.orders.start(StartTask(task, 16, "payload"))
        stop = self.stop_order(1)
        self.orders.stop(stop)
        run_steps(self.background.pop()())
        self.assertEqual((stop.task, stop.run), self.worker_api.sent[0])
        self.assertEqual(6, len(self.worker_api.sent))

    def test_run_that_is_to_be_stopped_is_not_started_first(self) -> None:
        """Each cancelled task cost two orders, and delayed those behind it."""
        job = self.place_many(3)
        for task in job.tasks():
            self.orders.start(StartTask(task, 16, "payload"))
        for order in self.tracker.cancel(job.spec.job):
            self.orders.stop(order)
        run_steps(self.background.pop()())
        self.assertEqual([], self.worker_api.sent)
        self.assertFalse(self.view.tasks, "nothing was sent that could run")

    def test_stop_waits_for_the_start_of_its_task_only(self) -> None:
        """Two orders in flight could overtake each other: a stop its own start."""
        first, *others = self.place_many(40).tasks()
        answers = []

        def answer_late(order, timeout_s):
            self.worker_api.sent.append(order)
            answers.append(order)
            yield Sleep(0.1)
            return OrderAnswer(None)

        self.worker_api.start = answer_late
        for task in (first, *others):
            self.orders.start(StartTask(task, 16, "payload"))
        slow, *lanes = [spawned() for spawned in self.background]
        next(slow)
        self.orders.stop(self.tracker.stop(first))
        self.orders.stop(self.stop_order(1))
        next(lanes[0])
        kinds = [type(item).__name__ for item in self.worker_api.sent]
        self.assertEqual(["StartOrder", "tuple", "StartOrder"], kinds)
        self.assertNotEqual(first.key, self.worker_api.sent[1][0])
        next(slow)
        self.assertEqual((first.key, 16), self.worker_api.sent[3])

    def test_stop_that_waits_is_not_queued_again(self) -> None:
        """Stops of a large job were queued faster than they were sent.

        The queue took 300 MB for 3,000 tasks.
        """
        orders = [self.stop_order(number) for number in range(2_000)]
        for _ in range(5):
            for order in orders:
                self.orders.stop(order)
            self.clock.advance(1.0)
        for spawned in self.background:
            run_steps(spawned())
        self.assertEqual(len(orders), len(self.worker_api.sent))

    def test_accepted_stop_is_repeated_only_after_the_time_that_it_takes(self) -> None:
        """The run is reported until it has ended, and a repeat tells nothing new."""
        order = self.stop_order(1)
        sent = []
        for _ in range(30):
            self.orders.stop(order)
            while self.background:
                run_steps(self.background.pop()())
            sent.append(len(self.worker_api.sent))
            self.clock.advance(0.1)
        self.assertEqual(1, sent[int(self.tracker.stop_s / 0.1)])
        self.assertEqual(2, sent[-1])

    def test_orders_that_pile_up_get_more_lanes_up_to_a_limit(self) -> None:
        """One order at a time takes a large job longer than it may run on."""
        for number in range(2_000):
            self.orders.stop(self.stop_order(number))
        self.assertEqual(MAX_LANES, len(self.background))
        for spawned in self.background:
            run_steps(spawned())
        self.assertEqual(2_000, len(self.worker_api.sent))
        free = self.context.extra_lanes
        self.assertTrue(all(free.acquire(False) for _ in range(MAX_EXTRA_LANES)))
        self.background.clear()
        for number in range(2_000, 4_000):
            self.orders.stop(self.stop_order(number))
        self.assertEqual(1, len(self.background), "the limit of all workers counts")

    def test_few_orders_share_one_connection(self) -> None:
        """Each order in flight beyond the first one may open a connection."""
        for task in self.place_many(8).tasks():
            self.orders.start(StartTask(task, 16, "payload"))
        self.assertEqual(1, len(self.background))

    def test_starts_that_wait_for_the_store_delay_no_other_order(self) -> None:
        """A stop, and the starts of other jobs, waited for up to 0.6 s behind them."""
        lasting, other = self.place_two(), self.place_many(1)
        self.worker_api.start_answers = [OrderAnswer(None)] * 3
        for task in lasting.tasks():
            self.orders.start(StartTask(task, 16, "payload", stored_version=1))
        self.orders.start(StartTask(other.tasks()[0], 16, "payload"))
        steps = self.background.pop()()
        next(steps)
        self.assertEqual(
            [other.tasks()[0].key], [order.task for order in self.worker_api.sent]
        )
        self.tracker.stored_versions[lasting.spec.job] = 1
        self.orders.notify_stored()
        run_steps(steps, self.clock)
        self.assertEqual(3, len(self.worker_api.sent))

    def test_start_that_is_stored_while_it_is_queued_is_sent_at_once(self) -> None:
        """The signal had passed, and the start waited for as long as it may."""
        task = self.place_two().tasks()[0]
        self.worker_api.start_answers = [OrderAnswer(None)]
        self.orders.start(StartTask(task, 16, "payload", stored_version=1))
        self.tracker.stored_versions[task.key.job] = 1
        run_steps(self.background.pop()())
        self.assertEqual(1, len(self.worker_api.sent))
        self.assertEqual(set(), self.context.waiting_for_store)

    def test_queued_starts_are_bounded_by_what_the_planner_is_told(self) -> None:
        """A stop of an inherited queue, or urgent work, came behind thousands."""
        job = self.place_many(MAX_QUEUED_STARTS)
        for task in job.tasks():
            self.orders.start(StartTask(task, 16, "payload"))
        self.assertEqual(0, self.orders.free_starts)
        candidate = CandidateWorker(
            self.view.worker, Resources(1_000, 1_000), free_starts=0
        )
        step = build_step(resources=Resources(1, 1))
        self.assertFalse(fits(step, candidate, (JOB, 0, 0)))
        self.assertTrue(fits(replace(step, is_gang=True), candidate, (JOB, 0, 0)))

    def test_unexpected_error_does_not_block_later_orders(self) -> None:
        """One order that can't be sent must not hold back all others of a worker."""
        task = self.job.steps[0, 0][0]
        self.tracker.record_order(task, self.view, 16, 0.0)
        self.worker_api.start_answers = [RuntimeError("unexpected")]
        self.orders.start(StartTask(task, 16, "payload"))
        self.orders.pace(PaceTask(self.stop_order(1).task, 16, 50))
        self.worker_api.pace_answers = [RuntimeError("unexpected")]
        with self.assertLogs("jayshunt.dispatch.order_sender", "ERROR"):
            run_steps(self.background.pop()())
        self.assertEqual((task.key, 16), self.worker_api.sent[-1])
        self.assertEqual(TaskPhase.STOPPING, task.phase, "it may have been started")


if __name__ == "__main__":
    unittest.main()
