"""Test the session that renews the lease of one worker."""

import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.fleet import PendingEnd, StrayRun
from jayshunt.dispatch.models import OrderAnswer, OrderRefusal
from jayshunt.dispatch.sessions import ACKNOWLEDGE_WITHIN_S, WorkerSession
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_job,
    build_report,
    build_session_context,
    build_step,
    build_tracker,
    place,
)
from jayshunt.dispatch.tests.fakes import FakeWorkerApi, no_answer, run_steps
from jayshunt.errors import Outcome
from jayshunt.task_loop import Sleep

LEASE_S = 5.0
SLOW_ANSWER_S = 1.2


class SessionTest(unittest.TestCase):
    """Cover the lease of an unresponsive worker."""

    def setUp(self) -> None:
        """Create a session with a worker and a job with one task."""
        self.clock = ManualClock(start_s=0.0)
        self.job = build_job()
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.worker_api = FakeWorkerApi()
        self.deposed: list[str] = []
        self.confirmed_s = float("inf")
        self.context = build_session_context(
            self.tracker,
            self.clock,
            lease_s=LEASE_S,
            term_confirmed_s=lambda: min(self.clock.monotonic_s(), self.confirmed_s),
            on_deposed=self.deposed.append,
        )
        self.session = WorkerSession(self.view, self.worker_api, self.context)

    def lose_worker(self, polls: int):
        """Run a task, and leave polls unanswered until the worker is removed."""
        task = place(self.tracker, self.job, 0, self.view)
        unanswered = [no_answer(Outcome.UNKNOWN)] * polls
        self.worker_api.poll_answers = [build_report(task), *unanswered]
        run_steps(self.session._poll_once())
        for _ in range(40):
            self.clock.advance(0.25)
            run_steps(self.session._poll_once())
            if self.view.is_ended:
                break
        return task

    def test_tasks_of_a_silent_worker_run_again_after_its_lease(self) -> None:
        """Polls without an answer must not extend the lease indefinitely."""
        task = self.lose_worker(polls=40)
        self.assertEqual(TaskPhase.WAITING, task.phase)
        self.assertGreaterEqual(self.clock.monotonic_s(), LEASE_S)
        self.assertLess(self.clock.monotonic_s(), LEASE_S * 1.2)

    def test_stray_runs_of_a_silent_worker_end_with_its_lease(self) -> None:
        """A workspace was charged for them for ever, up to its limit."""
        task = place(self.tracker, self.job, 0, self.view)
        unanswered = [no_answer(Outcome.UNKNOWN)] * 40
        self.worker_api.poll_answers = [build_report(task), *unanswered]
        run_steps(self.session._poll_once())
        self.view.release(task)
        self.view.add_stray(task.key, StrayRun.of_task(task, task.run))
        for _ in range(40):
            self.clock.advance(0.25)
            run_steps(self.session._poll_once())
        self.assertTrue(self.view.is_ended)
        self.assertEqual({}, self.view.strays)

    def test_holder_that_may_be_replaced_gives_no_worker_up(self) -> None:
        """A successor that reaches the worker goes on renewing its lease.

        The dispatcher of a zone that was cut off started a long task again on a worker
        of its zone 6.0 s after the cut, while the first run went on under its successor
        (further/kpdm-jaya trouble-1, seed 57441642845).
        """
        self.confirmed_s = 0.5
        self.lose_worker(polls=60)
        self.assertGreater(self.clock.monotonic_s(), 1.5 * LEASE_S)
        self.assertFalse(self.view.is_ended)
        self.assertEqual([], self.job.ready_tasks())
        self.confirmed_s = float("inf")
        run_steps(self.session._poll_once())
        self.assertTrue(self.view.is_ended)

    def test_first_answer_bounds_the_leases_of_earlier_terms(self) -> None:
        """The first answer limits how long leases of earlier terms can last.

        Otherwise the tasks of a worker lost after a takeover wait twice as long. It may
        hold the longest lease of all, by a call that was meant for its former life.
        """
        self.view.last_answer_s = None
        self.view.lease_end_s = 100.0
        self.worker_api.poll_answers = [build_report()]
        run_steps(self.session._poll_once())
        self.assertGreater(self.view.lease_end_s, self.tracker.max_lease_s)
        self.assertLess(self.view.lease_end_s, self.tracker.max_lease_s * 1.1)

    def test_stored_progress_ends_the_wait_of_just_its_sessions(self) -> None:
        """A session waits for stored ends on its event instead of polling.

        Sessions that checked 40 times a second used a tenth of the CPU.
        """
        self.view.pending.append(PendingEnd(1, self.job.spec.job, 1))
        steps = self.session._wait_until_stored()
        wait = next(steps)
        self.assertFalse(wait.signal.is_set)
        self.assertEqual({self.session}, self.context.waiting_for_store)
        self.tracker.stored_versions[self.job.spec.job] = 1
        self.session.notify_stored()
        self.assertTrue(wait.signal.is_set)
        with self.assertRaises(StopIteration):
            next(steps)
        self.assertFalse(self.view.pending)
        self.assertEqual(1, self.view.noted_upto)
        self.assertEqual(set(), self.context.waiting_for_store)

    def test_slow_worker_keeps_its_lease(self) -> None:
        """A worker that only answers slowly must not lose its running work."""
        task = place(self.tracker, self.job, 0, self.view)

        def answer_slowly(noted, until_ms, wait_ms, timeout_s):
            took_s = min(wait_ms / 1000 + SLOW_ANSWER_S, timeout_s)
            self.clock.advance(took_s)
            if took_s >= timeout_s:
                raise no_answer(Outcome.UNKNOWN)
            leases.append(until_ms)
            return build_report(task, clock_ms=int(self.clock.monotonic_s() * 1000))
            yield

        leases: list[int | None] = []
        self.worker_api.poll_runs = answer_slowly
        while self.clock.monotonic_s() < 4 * LEASE_S:
            run_steps(self.session._poll_once())
            self.clock.advance(0.25)
        self.assertEqual(TaskPhase.RUNNING, task.phase)
        now_ms = self.clock.monotonic_s() * 1000
        self.assertGreater(max(t for t in leases if t is not None), now_ms)

    def test_worker_that_leaves_a_poll_unanswered_fell_silent(self) -> None:
        """Its later crash counted like one that breaks the connection at once."""
        for waited_s, fell_silent in ((0.2, False), (60.0, True)):
            self.setUp()

            def fail(noted, until_ms, wait_ms, timeout_s):
                self.clock.advance(min(waited_s, timeout_s))
                raise no_answer(Outcome.UNKNOWN)
                yield

            self.worker_api.poll_runs = fail
            run_steps(self.session._poll_once())
            self.assertEqual(fell_silent, self.view.fell_silent)

    def test_lease_is_extended_again_after_an_answer(self) -> None:
        """A single unanswered poll must not make a worker lose its runs."""
        task = place(self.tracker, self.job, 0, self.view)
        self.worker_api.poll_answers = [
            no_answer(Outcome.UNKNOWN),
            build_report(task),
            build_report(task),
        ]
        for _ in range(3):
            run_steps(self.session._poll_once())
        self.assertIsNone(self.worker_api.sent[1])
        self.assertIsNotNone(self.worker_api.sent[2])

    def test_polls_leave_time_to_stop_many_runs(self) -> None:
        """Each listed thousands of runs, and stops got through at a ninth of the rate.

        The next poll still acknowledges what the last one reported.
        """
        job = build_job(build_step(task_count=3_000), number=0xB2)
        self.tracker.add_job(job)
        tasks = [place(self.tracker, job, n, self.view) for n in range(3_000)]
        self.worker_api.poll_answers = [build_report(*tasks)]
        steps = self.session.run_polls()
        self.worker_api.poll_answers.append(build_report(*tasks))
        self.tracker.cancel(job.spec.job)
        step = next(steps)
        self.assertIsInstance(step, Sleep)
        self.assertTrue(0.1 <= step.duration_s < ACKNOWLEDGE_WITHIN_S)

    def test_later_term_at_a_worker_ends_this_one(self) -> None:
        """A dispatcher resumed after a later term began must stop giving orders."""
        self.worker_api.poll_answers = [OrderAnswer(OrderRefusal.FENCED)]
        run_steps(self.session._poll_once())
        self.assertEqual(1, len(self.deposed))


if __name__ == "__main__":
    unittest.main()
