"""Test which jobs are refused under overload, and when refused callers return."""

import threading
import unittest
from types import SimpleNamespace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.link import answer_call
from jayshunt.dispatch.tests.builders import (
    POOL,
    QUEUE,
    add_worker_view,
    build_config,
    build_job,
    build_queue,
    build_spec,
    build_step,
    build_tracker,
)
from jayshunt.ids import JobId
from jayshunt.overload.admission import ReturnBook, refuse
from jayshunt.overload.duty import AdmissionDuty
from jayshunt.overload.models import PoolCapacity, QueueOutlook, Refusal
from jayshunt.overload.outlook import Forecast, decode_outlooks, encode_outlooks
from jayshunt.overload.service_order import ServiceOrder
from jayshunt.overload.tests.builders import (
    build_kinds_config,
    build_load,
    build_workers,
)
from jayshunt.overload.tests.load_player import LoadPlayer


class RefusalTest(unittest.TestCase):
    """Test the decision of an entry; the objective is 2.2 s for a run of 1 s."""

    def test_job_is_refused_only_beyond_its_use(self) -> None:
        """A late job is still of use to its caller up to 6.6 s."""
        for wait_s, late_wait_s, expected in (
            (1.1, 60.0, None),
            (1.3, 5.5, None),
            (1.3, 6.0, Refusal(0.4, 1.0)),
        ):
            outlook = QueueOutlook(QUEUE, ((4.0, wait_s),), late_wait_s)
            found = refuse(build_spec(), build_queue(), outlook)
            if expected is None:
                self.assertIsNone(found, wait_s)
            else:
                self.assertAlmostEqual(expected.after_s, found.after_s)

    def test_long_running_job_is_never_refused(self) -> None:
        """A backlog of short jobs says nothing about jobs that run until cancelled."""
        outlook = QueueOutlook(QUEUE, ((4.0, 60.0),), 60.0)
        spec = build_spec(build_step(is_long_running=True))
        self.assertIsNone(refuse(spec, build_queue(), outlook))

    def test_small_job_waits_only_for_small_ones(self) -> None:
        """It is served before large jobs, whose work would have it refused."""
        outlook = QueueOutlook(QUEUE, ((2.0, 0.5), (256.0, 9.0)), 60.0)
        self.assertIsNone(refuse(build_spec(), build_queue(), outlook))
        wide = build_spec(build_step(task_count=100))
        self.assertIsNotNone(refuse(wide, build_queue(), outlook))


class ForecastTest(unittest.TestCase):
    """Test the predicted waits; each job has 100 core seconds of work."""

    def update(self, jobs: list, pool: PoolCapacity, fetchable=0.0) -> QueueOutlook:
        """Return the outlook at 7 s."""
        forecast = Forecast()
        outlooks = forecast.update(build_config(), jobs, {POOL: pool}, fetchable, 7.0)
        self.assertEqual(outlooks, decode_outlooks(encode_outlooks(outlooks)))
        return outlooks[QUEUE]

    def test_jobs_past_their_use_do_not_count(self) -> None:
        """After an outage, they would have all new jobs refused."""
        step = build_step(task_count=100)
        ages = (0.0, 3.0, 6.9)
        jobs = [build_job(step, number=n, accepted_s=at) for n, at in enumerate(ages)]
        found = self.update(jobs, PoolCapacity(100.0, used=85.0))
        self.assertAlmostEqual(100 / 85, found.wait_s(100.0), 2)
        self.assertAlmostEqual(2 + (200 - 170) / 85, found.late_wait_s, 2)

    def test_cores_on_their_way_count_once_moved(self) -> None:
        """A pool that grows does the rest of its work faster, but not the first."""
        job = build_job(build_step(task_count=500), accepted_s=6.9)
        pool = PoolCapacity(100.0, used=85.0, moving=65.0)
        found = self.update([job], pool, fetchable=100.0)
        self.assertAlmostEqual(2 + (500 - 170) / 250, found.late_wait_s, 2)


class ReturnBookTest(unittest.TestCase):
    """Test the return times of callers of a queue that does 50 core seconds a second.

    Half of that is for callers who return.
    """

    def setUp(self) -> None:
        """Build an empty book."""
        self.book = ReturnBook()
        self.outlook = QueueOutlook(QUEUE, capacity=50.0)

    def refuse(self, number: int, now_s: float) -> float:
        """Refuse a job of 5 core seconds that is of use after 2 s."""
        job = JobId(f"{number:016x}")
        return self.book.book(job, Refusal(2.0, 5.0), self.outlook, now_s)

    def test_callers_return_as_a_trickle_in_order(self) -> None:
        """Told the same time, they would return as one burst and be refused again."""
        due = [n * 0.01 + self.refuse(n, n * 0.01) for n in range(100)]
        self.assertEqual(sorted(due), due)
        self.assertEqual(2.0, due[0])
        # 100 jobs of 5 core seconds take 20 s at 25 core seconds a second.
        self.assertAlmostEqual(22.0, due[-1], delta=1.0)

    def test_caller_is_not_refused_twice_for_the_same_shortage(self) -> None:
        """It would use up its attempts although it waited its time."""
        after_s = self.refuse(1, 0.0)
        self.assertEqual(0.0, self.refuse(1, after_s))
        self.assertEqual(0.0, self.refuse(1, after_s + 1.0), "its call may be repeated")

    def test_early_caller_keeps_its_time(self) -> None:
        """Otherwise, callers would gain by not waiting, or lose by asking."""
        due_s = self.refuse(1, 0.0)
        self.assertEqual(due_s - 1.0, self.refuse(1, 1.0))

    def test_lost_capacity_is_another_shortage(self) -> None:
        """A pool that lost workers cannot take the work that it promised to take."""
        after_s = self.refuse(1, 0.0)
        self.outlook = QueueOutlook(QUEUE, capacity=30.0)
        self.assertGreater(self.refuse(1, after_s), 0.0)


class PlayedAdmissionTest(unittest.TestCase):
    """Play queues that take turns at twice what the pool can do."""

    def play(self, seed: int, admits: bool) -> tuple[int, dict[str, float]]:
        """Return how many accepted jobs were of no use, and the measures."""
        player = LoadPlayer(build_load(seed), build_workers()).use(ServiceOrder())
        if admits:
            player.admit = PlayedEntry(player).admit
        measures = player.play()
        result = player.result
        self.assertLessEqual(max(result.refusals.values(), default=0), 1)
        of_no_use = sum(
            id(job) not in result.of_use and job.spec.job not in result.refusals
            for job in player.jobs[1:]
        )
        return of_no_use, measures

    def test_fewer_accepted_jobs_are_useless(self) -> None:
        """Callers of jobs that end beyond their use should know at once.

        In-time jobs count from the first submission, so that a refused caller's job is
        never in time. Refusing must not cost the largest jobs their share either.
        """
        large = in_time = 0.0
        for seed in (7, 8):
            useless_before, before = self.play(seed, admits=False)
            useless, measures = self.play(seed, admits=True)
            self.assertLess(useless, 0.75 * useless_before)
            self.assertGreaterEqual(measures["all"], before["all"])
            large += measures["large"]
            in_time += measures["all"]
        self.assertGreaterEqual(large, 0.5 * in_time)


class DutyTest(unittest.TestCase):
    """Test the answers of the dispatcher to entries."""

    def test_entry_gets_outlooks_and_return_times(self) -> None:
        """Jobs that are known must not be refused when their callers ask again."""
        jobs = [build_job(build_step(task_count=900), number=n) for n in (1, 2)]
        tracker = build_tracker(*jobs)
        add_worker_view(tracker)
        dispatcher = SimpleNamespace(
            lock=threading.RLock(),
            tracker=tracker,
            job_room=tracker.memory.room,
            fleet=SimpleNamespace(
                inventory=SimpleNamespace(vms={}), fetchable_cores=lambda: 0.0
            ),
        )
        duty = AdmissionDuty(dispatcher, ManualClock(0.0), build_config, True)
        dispatcher.planner = SimpleNamespace(
            refusals=dict,
            workspace_refusals=dict,
            admission=duty,
            service_order=ServiceOrder(),
        )
        outlooks = decode_outlooks(answer_call(dispatcher, "refusals", {})["outlooks"])
        self.assertGreater(outlooks[QUEUE].late_wait_s, 30.0)
        for job, expected in ((jobs[0].spec.job, 0.0), (JobId("c"), 3.0)):
            body = {"job": job, "queue": QUEUE, "after_s": 2.4, "core_s": 1.0}
            answer = answer_call(dispatcher, "book_return", body)
            self.assertEqual(expected, answer["retry_after_s"])


class PlayedEntry:
    """Admit the jobs of a played load by an outlook of up to 0.4 s of age."""

    def __init__(self, player: LoadPlayer) -> None:
        """Start without an outlook."""
        self._player = player
        self._config = build_kinds_config()
        self._forecast = Forecast()
        self._book = ReturnBook()
        self._outlooks: dict = {}
        self._polled_s = float("-inf")

    def admit(self, job, active: list, now_s: float) -> float:
        """Return after how many seconds a caller may return, 0 to accept."""
        if now_s - self._polled_s >= 0.4:
            self._polled_s = now_s
            free = sum(w.free.cpu_millicores for w in self._player.workers) / 1000
            pools = {POOL: PoolCapacity(336.0, used=336.0 - free)}
            self._outlooks = self._forecast.update(
                self._config, active, pools, 0.0, now_s
            )
        outlook = self._outlooks.get(job.spec.queue)
        refusal = outlook and refuse(job.spec, job.config, outlook)
        if not refusal:
            return 0.0
        is_known = job.spec.job in self._book.refused
        after_s = self._book.book(job.spec.job, refusal, outlook, now_s)
        if not is_known:
            self._player.order.record_refused(POOL, job.spec.queue, refusal.core_s)
        return after_s


if __name__ == "__main__":
    unittest.main()
