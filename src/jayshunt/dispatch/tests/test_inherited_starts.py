"""Test that a successor waits for the workers of stored starts, and for no others."""

import json
import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.const import (
    LATE_CALL_S,
    STORED_START_VALID_S,
    VM_LIST_LAG_S,
)
from jayshunt.dispatch.inherited_starts import EndFact
from jayshunt.dispatch.models import RunningRun, RunReport
from jayshunt.dispatch.records import (
    STARTS_STORED_KEY,
    apply_progress,
    encode_progress,
)
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_job,
    build_report,
    build_step,
    build_tracker,
    build_vm,
    place,
)
from jayshunt.dispatch.tests.fleet_builders import FakeFleet
from jayshunt.ids import WorkerId

# The term before was ended on suspicion.
COUNTS_FROM_S = STORED_START_VALID_S + LATE_CALL_S + VM_LIST_LAG_S
VMS = [build_vm("w1"), build_vm("w2")]
LASTING = build_step(task_count=3, is_long_running=True)


class InheritedStartTest(unittest.TestCase):
    """Begin a term after one that started two of three lasting tasks, on w1 and w2."""

    def setUp(self) -> None:
        """Store the starts, and read them in a term in which no worker answered."""
        before = build_job(LASTING)
        tracker = build_tracker(before)
        for index, name in enumerate(("w1", "w2")):
            place(tracker, before, index, add_worker_view(tracker, name))
        self.job = build_job(LASTING, is_inherited=True)
        apply_progress(self.job, encode_progress(before))
        fleet = FakeFleet(0)
        self.dispatcher = fleet.build_dispatcher()
        self.addCleanup(self.dispatcher.stop, False)
        clock = self.dispatcher._clock = ManualClock(0.0)
        self.dispatcher.planner._clock = clock
        self.dispatcher._own._now_s = clock.monotonic_s
        self.dispatcher._own.record_renewal(0.0)
        self.dispatcher._started_s = 0.0
        self.starts = self.dispatcher.inherited_starts
        self.starts.are_complete = True
        self.starts._started_s = 0.0
        self.tracker = self.dispatcher.tracker
        self.tracker.add_job(self.job)
        self.starts.add_job(self.job)
        self.views = [
            add_worker_view(self.tracker, name, last_answer_s=None)
            for name in ("w1", "w2")
        ]

    def may_start(self, now_s: float = 0.0) -> list[int]:
        """Return the indices of the tasks that may be started."""
        self.starts.settle(now_s)
        self.assertTrue(self.dispatcher.planner._may_start(now_s)(self.job))
        ready = self.job.ready_tasks()
        return [task.key.index for task in ready if task.inherited_start is None]

    def test_task_without_a_stored_start_waits_for_no_worker(self) -> None:
        """All tasks of a pool waited for one worker that did not answer."""
        self.assertEqual([2], self.may_start())

    def test_job_of_a_version_that_stores_no_starts_is_held_back(self) -> None:
        """Its tasks would run twice after an upgrade, as no start of them is stored."""
        self.starts.are_complete = False
        self.dispatcher.worker_list_read = True
        self.assertFalse(self.dispatcher.planner._may_start(0.0)(self.job))
        self.dispatcher._intake._mark_starts_stored()
        self.assertFalse(self.starts.are_complete)
        for view in self.views:
            self.tracker.apply_run_report(view, build_report(), 0.1, 0.1)
        self.may_start()
        self.tracker.dirty.clear()
        self.dispatcher._intake._mark_starts_stored()
        self.assertTrue(self.starts.are_complete)
        self.assertIsNotNone(self.dispatcher._store.get(STARTS_STORED_KEY))

    def test_answer_frees_the_tasks_that_it_lacks(self) -> None:
        """Those that it reports go on, and those of other workers wait."""
        first, second = self.job.tasks()[:2]
        self.tracker.apply_run_report(self.views[0], build_report(), 0.1, 0.1)
        self.assertEqual([0, 2], self.may_start())
        rows = (RunningRun(second.key, second.run, "", 100),)
        report = RunReport(1_000, 1, rows, ())
        self.tracker.apply_run_report(self.views[1], report, 0.2, 0.2)
        self.assertEqual([0, 2], self.may_start())
        self.assertEqual(TaskPhase.RUNNING, second.phase)
        self.assertIsNone(second.inherited_start)

    def test_answer_that_lacks_ends_frees_nothing(self) -> None:
        """The run may have ended, and its end is listed later."""
        report = build_report(may_lack_ends=True)
        self.tracker.apply_run_report(self.views[0], report, 0.1, 0.1)
        self.assertEqual([2], self.may_start())

    def test_vm_list_without_the_worker_frees_its_tasks(self) -> None:
        """A list that is read too early may show the time before the last start."""
        inventory = self.dispatcher.fleet.inventory
        inventory.apply_list(VMS[1:], COUNTS_FROM_S - 0.1)
        self.assertEqual([2], self.may_start())
        inventory.apply_list(VMS, COUNTS_FROM_S)
        self.assertEqual([2], self.may_start())
        for _ in range(2):
            self.assertEqual([2], self.may_start())
            inventory.apply_list(VMS[1:], COUNTS_FROM_S)
        self.assertEqual([0, 2], self.may_start())

    def test_longest_lease_frees_all_tasks(self) -> None:
        """Without a VM list, only the lease bounds the runs of a silent worker."""
        self.dispatcher._clock.advance(self.dispatcher.inherited_runs_end_s)
        self.dispatcher._own.record_renewal(self.dispatcher._clock.monotonic_s())
        self.assertEqual([0, 1, 2], self.may_start())

    def test_next_term_learns_of_starts_that_are_still_unknown(self) -> None:
        """Two changes of the term can follow each other before a worker answers."""
        third = build_job(LASTING, is_inherited=True)
        apply_progress(third, encode_progress(self.job))
        starts = [task.inherited_start for task in third.tasks()]
        self.assertEqual([task.inherited_start for task in self.job.tasks()], starts)
        self.assertEqual("w1", starts[0].worker)

    def test_job_whose_task_is_free_is_not_held_back_by_a_handoff(self) -> None:
        """The handoff named the task, and its worker was still silent."""
        names = frozenset({self.job.tasks()[0].key.name})
        self.dispatcher.handoff = {WorkerId("w1"): names}
        self.dispatcher.worker_list_read = True
        self.assertEqual([2], self.may_start())
        self.starts._find_end_fact = lambda *_: EndFact.GONE
        self.assertEqual([0, 1, 2], self.may_start())

    def test_run_that_ended_is_stored_no_more(self) -> None:
        """A successor would wait for the worker of a run that is over."""
        self.tracker.apply_run_report(self.views[0], build_report(), 0.1, 0.1)
        self.may_start()
        self.assertIn(self.job.spec.job, self.tracker.dirty)
        rows = json.loads(encode_progress(self.job))["starts"]
        self.assertEqual(["w2"], [row["worker"] for row in rows])

    def test_start_is_sent_once_it_is_stored(self) -> None:
        """A successor would take a task for free that a worker runs."""
        self.tracker.apply_run_report(self.views[0], build_report(), 0.1, 0.1)
        self.starts.settle(0.2)
        before = self.tracker.versions[self.job.spec.job]
        self.dispatcher.sessions["w1"] = None
        _, item = self.dispatcher.planner._start_run(self.job.tasks()[2], "w1", 0.2)
        self.assertGreater(item.stored_version, before)


if __name__ == "__main__":
    unittest.main()
