"""Test what is known of a worker's runs once it started again under its id."""

import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.crash_models import RunAtRisk
from jayshunt.dispatch.fleet import WorkerEnd
from jayshunt.dispatch.messages import StartTask
from jayshunt.dispatch.models import OrderAnswer, RunEnd
from jayshunt.dispatch.order_sender import OrderSender
from jayshunt.dispatch.records import apply_progress, encode_progress
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.sessions import STORE_WAIT_S, WorkerSession
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_end,
    build_job,
    build_report,
    build_session_context,
    build_step,
    build_tracker,
    build_worker,
    place,
)
from jayshunt.dispatch.tests.fakes import FakeWorkerApi, no_answer, run_steps
from jayshunt.errors import Outcome

NEXT_MS = 2


class WorkerRestartTest(unittest.TestCase):
    """Let a worker run a task and take more starts, of which some came too late."""

    def setUp(self) -> None:
        """Place three tasks; a report of the first life shows that the first runs."""
        self.job = build_job(build_step(task_count=3))
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.reported = place(self.tracker, self.job, 0, self.view)
        report = build_report(self.reported)
        self.tracker.apply_run_report(self.view, report, 0.5, 0.5)
        self.accepted = place(self.tracker, self.job, 1, self.view, 1.0)
        self.unanswered = self.job.steps[0, 0][2]
        run = self.tracker.next_run(self.unanswered)
        self.tracker.record_order(self.unanswered, self.view, run, 1.0)
        self.tracker.record_sent(self.unanswered, 1.0)

    def report(self, *tasks, ends=(), sent_s: float = 2.0) -> list[StopOrder]:
        """Apply a report of the next life."""
        view = self.tracker.workers["w1"]
        report = build_report(*tasks, ends=ends, started_ms=NEXT_MS)
        return self.tracker.apply_run_report(view, report, sent_s, sent_s + 0.1)

    def test_run_that_the_next_life_has_is_not_started_again(self) -> None:
        """A start that reached the next life ran twice at once (review case 2)."""
        self.assertEqual([], self.report(self.accepted))
        self.assertEqual(TaskPhase.RUNNING, self.accepted.phase)
        self.assertEqual([self.reported], self.job.ready_tasks())

    def test_end_in_the_next_life_counts(self) -> None:
        """A task that the next life had done already was started again."""
        self.report(ends=[build_end(1, self.accepted, RunEnd.DONE)])
        self.assertEqual(TaskPhase.DONE, self.accepted.phase)

    def test_accepted_start_that_the_next_life_lacks_is_lost(self) -> None:
        """Otherwise a task of the former life never runs again."""
        self.report()
        self.assertEqual([self.reported, self.accepted], self.job.ready_tasks())

    def test_start_without_an_answer_is_stopped_before_a_new_run(self) -> None:
        """The next life may still carry it out, seconds later."""
        self.tracker.stop(self.unanswered)
        order = StopOrder("w1", self.unanswered.key, self.unanswered.run)
        self.assertEqual([order], self.report())
        self.assertNotIn(self.unanswered, self.job.ready_tasks())
        self.tracker.record_stop_accepted(order, 2.2)
        self.report(sent_s=2.3)
        self.assertIn(self.unanswered, self.job.ready_tasks())

    def test_stop_that_the_former_life_accepted_is_sent_again(self) -> None:
        """The next life knows nothing of it and may still get the start."""
        stop = self.tracker.stop(self.unanswered)
        self.tracker.record_stop_accepted(stop, 1.5)
        self.assertEqual([stop], self.report())

    def test_stopped_start_is_stopped_in_the_next_life_too(self) -> None:
        """The next life carried it out late: too many tasks of a step ran there."""
        worker_api, run = FakeWorkerApi(), self.unanswered.run
        worker_api.start_answers = [no_answer(Outcome.UNKNOWN)]
        context = build_session_context(self.tracker, ManualClock(1.4))
        orders = OrderSender(self.view, worker_api, context)
        run_steps(orders._send_start(StartTask(self.unanswered, run, "")))
        stop = StopOrder("w1", self.unanswered.key, run)
        self.tracker.record_stop_accepted(stop, 1.5)
        self.tracker.apply_run_report(self.view, build_report(self.reported), 1.6, 1.7)
        self.assertIn(self.unanswered, self.job.ready_tasks())
        self.assertEqual([stop], self.report())
        view = self.tracker.workers["w1"]
        self.assertEqual([(stop.task, run)], list(view.strays))
        self.assertEqual([stop], self.report(sent_s=2.3), "until it is accepted")
        self.tracker.record_stop_accepted(stop, 2.5)
        self.assertEqual([], self.report(sent_s=2.6))
        self.assertEqual({}, view.strays)

    def test_answer_of_the_former_life_to_a_stop_does_not_count(self) -> None:
        """It arrived after the next life's report, whose stop was then not repeated."""
        worker_api, run = FakeWorkerApi(), self.unanswered.run
        context = build_session_context(self.tracker, ManualClock(2.3))
        orders = OrderSender(self.view, worker_api, context)
        stop = self.tracker.stop(self.unanswered)
        self.assertEqual([stop], self.report())
        run_steps(orders._send_stop(stop))
        self.assertEqual([("w1", run)], [(s.worker, s.run) for s in self.report()])

    def test_listed_life_is_asked_which_runs_it_has(self) -> None:
        """An entry of the list tells of a next life, but not what it runs."""
        worker = build_worker(started_ms=NEXT_MS)
        self.tracker.replace_worker(self.view, worker, WorkerEnd.REPLACED, 1.5)
        self.assertEqual([self.reported], self.job.ready_tasks())
        self.report(self.accepted)
        self.assertEqual(TaskPhase.RUNNING, self.accepted.phase)
        self.assertEqual([self.reported], self.job.ready_tasks())

    def test_task_that_runs_in_the_next_life_is_not_blamed(self) -> None:
        """A job whose task survived a crash of its worker counted as its cause."""
        self.report(self.accepted)
        self.assertEqual(0, self.accepted.crashes.total)
        self.assertFalse(self.accepted.is_suspect)
        self.assertEqual(1, self.unanswered.crashes.uncertain)

    def test_one_start_without_an_answer_counts_as_one_crash(self) -> None:
        """A job was failed after two crashes of its worker and one open start."""
        self.tracker.stop(self.unanswered)
        view = self.tracker.workers["w1"]
        self.unanswered.run_at_risk = RunAtRisk("w1", 1, view.worker.vm, True, False)
        self.report()
        self.assertEqual(1, self.unanswered.crashes.total)
        progress = encode_progress(self.job)
        view = self.tracker.workers["w1"]
        report = build_report(started_ms=NEXT_MS + 1)
        self.tracker.apply_run_report(view, report, 3.0, 3.1)
        self.assertEqual(1, self.unanswered.crashes.total)
        successor = build_job(build_step(task_count=3), is_inherited=True)
        apply_progress(successor, progress)
        self.assertEqual((), successor.steps[0, 0][2].unsettled_runs)

    def test_life_that_answers_has_not_ended(self) -> None:
        """An odd entry of the list ended a live worker, which was never used again."""
        odd = build_worker(started_ms=9)
        self.tracker.replace_worker(self.view, odd, WorkerEnd.REPLACED, 1.5)
        view = self.tracker.workers["w1"]
        self.tracker.apply_run_report(view, build_report(), 2.0, 2.0)
        self.assertEqual(1, self.tracker.workers["w1"].worker.started_ms)
        self.assertFalse(self.tracker.is_over(build_worker(), 3.0))

    def test_late_report_of_the_former_life_places_nothing(self) -> None:
        """A task that was placed on it again was never resolved."""
        self.report()
        stops = self.tracker.apply_run_report(
            self.view, build_report(self.reported), 2.1, 2.3
        )
        self.assertEqual([], stops)
        self.assertEqual(TaskPhase.WAITING, self.reported.phase)


class RestartedSessionTest(unittest.TestCase):
    """Poll a worker that starts again between two polls."""

    def setUp(self) -> None:
        """Create a session with a worker that has reported an end."""
        self.clock = ManualClock(start_s=0.0)
        self.job = build_job()
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.worker_api = FakeWorkerApi()
        self.context = build_session_context(self.tracker, self.clock)
        self.session = WorkerSession(self.view, self.worker_api, self.context)

    def record_noted(self) -> list[int]:
        """Return up to which end each poll from now on acknowledges; 57 are stored."""
        noted: list[int] = []
        poll = self.worker_api.poll_runs

        def poll_and_record(noted_upto, *args):
            noted.append(noted_upto)
            return poll(noted_upto, *args)

        self.worker_api.poll_runs = poll_and_record
        self.view.noted_upto = 57
        return noted

    def test_session_goes_on_with_the_next_life(self) -> None:
        """It was polled again only once the list showed it, up to a heartbeat later."""
        self.worker_api.poll_answers = [build_report(started_ms=NEXT_MS)]
        run_steps(self.session._poll_once())
        self.assertEqual(NEXT_MS, self.session.view.worker.started_ms)
        self.assertIs(self.session.view, self.tracker.workers["w1"])
        self.assertFalse(self.session.view.is_usable(self.clock.monotonic_s(), 2.0))

    def test_ends_of_the_next_life_are_not_acknowledged_by_number(self) -> None:
        """Ends are numbered anew in each life, so that it forgot ends nobody saw."""
        noted = self.record_noted()
        self.worker_api.poll_answers = [
            no_answer(Outcome.UNKNOWN),
            build_report(started_ms=NEXT_MS),
            build_report(started_ms=NEXT_MS),
        ]
        for _ in range(3):
            run_steps(self.session._poll_once())
        self.assertEqual([57, 0, 0], noted)

    def test_ends_are_acknowledged_only_right_after_an_answer(self) -> None:
        """A worker that started again while the store was slow forgot unread ends."""
        noted = self.record_noted()
        self.worker_api.poll_answers = [build_report()] * 3
        for passed_s in (0.1, STORE_WAIT_S, 0.1):
            self.clock.advance(passed_s)
            run_steps(self.session._poll_once())
        self.assertEqual([57, 0, 57], noted)

    def test_clock_that_is_behind_shows_another_life(self) -> None:
        """One whose clock began a little below the former one's was not seen."""
        self.view.record_clock(60_000, 0.0)
        self.clock.advance(3.0)
        task = self.job.steps[0, 0][0]
        for run, clock_ms, is_other in ((16, 62_950, False), (17, 61_000, True)):
            self.tracker.record_order(task, self.view, run, 3.0)
            self.worker_api.start_answers = [OrderAnswer(None, clock_ms=clock_ms)]
            run_steps(self.session.orders._send_start(StartTask(task, run, "")))
            is_longest = self.view.lease_end_s > self.tracker.max_lease_s
            self.assertEqual(is_other, is_longest, clock_ms)

    def test_lease_of_another_life_is_not_taken_for_short(self) -> None:
        """The end of a lease on the former life's clock is far off on a new one."""
        self.view.record_clock(60_000, 0.0)
        task = self.job.steps[0, 0][0]
        self.tracker.record_order(task, self.view, 16, 0.0)
        self.worker_api.start_answers = [OrderAnswer(None, clock_ms=400)]
        run_steps(self.session.orders._send_start(StartTask(task, 16, "")))
        self.assertGreater(self.view.lease_end_s, self.tracker.max_lease_s)


if __name__ == "__main__":
    unittest.main()
