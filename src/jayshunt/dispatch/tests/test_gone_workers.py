"""Test that what the VM list shows of a silent worker ends the wait for its runs."""

import unittest
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.const import LATE_CALL_S, VM_LIST_LAG_S
from jayshunt.dispatch.fleet_duty import FleetDuty
from jayshunt.dispatch.models import Bounds, WorkerState
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_config,
    build_job,
    build_report,
    build_step,
    build_tracker,
    build_vm,
    place,
)
from jayshunt.dispatch.tests.fakes import (
    FakeMachines,
    FakeStore,
    build_fleet_dispatcher,
)
from jayshunt.dispatch.vms import VmState
from jayshunt.ids import WorkerId

LEASE_END_S = 100.0
COUNTS_FROM_S = LATE_CALL_S + VM_LIST_LAG_S
OTHER = build_vm("w2")
GONE = (OTHER,)


class GoneWorkerTest(unittest.TestCase):
    """Let a worker with lasting tasks fall silent while its lease goes on."""

    def setUp(self) -> None:
        """Start tasks on a worker, which reports them once and answers no more."""
        self.job = build_job(build_step(task_count=2, is_long_running=True))
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.view.lease_end_s = LEASE_END_S
        self.task = place(self.tracker, self.job, 0, self.view)
        self.other = place(self.tracker, self.job, 1, self.view)
        report = build_report(self.task, self.other)
        self.tracker.apply_run_report(self.view, report, 0.1, 0.1)
        self.view.is_failing = True
        self.clock = ManualClock(COUNTS_FROM_S)

    def is_free_after(self, *lists, is_complete: bool = True, **changes) -> bool:
        """Return whether the task may run elsewhere after these lists of VMs.

        All are read at the present time; `changes` are those of the dispatcher.
        """
        dispatcher = build_fleet_dispatcher(self.tracker)
        vars(dispatcher).update(changes)
        machines = FakeMachines()
        machines.is_complete = is_complete
        duty = FleetDuty(
            dispatcher, FakeStore(), machines, self.clock, build_config, Bounds()
        )
        for machines.vms in lists:
            duty.inventory.listed_s = None
            duty._round()
        return self.task in self.job.ready_tasks()

    def test_tasks_of_a_worker_whose_vm_left_start_elsewhere(self) -> None:
        """They waited for the longest lease after a takeover (lost-tmsh-sched)."""
        self.assertTrue(self.is_free_after(GONE, GONE))
        self.assertTrue(self.tracker.is_over(self.view.worker, COUNTS_FROM_S))

    def test_worker_that_never_answered_a_successor_is_not_waited_for(self) -> None:
        """It held all jobs of its pool back for 11.5 s (lost-kuppi-jono)."""
        self.view.last_answer_s = None
        self.assertTrue(self.is_free_after(GONE, GONE))
        self.assertEqual([], self.tracker.silent_workers())

    def test_vm_that_is_not_up_with_the_worker_ends_its_runs(self) -> None:
        """Crashed, moving and reused VMs stay in the list."""
        for changes in (
            {"state": VmState.DOWN, "worker": None},
            {"state": VmState.MOVING, "worker": None},
            {"worker": WorkerId("w9")},
        ):
            with self.subTest(changes):
                self.setUp()
                vms = (build_vm("w1", **changes),)
                self.assertTrue(self.is_free_after(vms, vms))

    def test_departure_by_notice_is_no_crash(self) -> None:
        """The tasks counted as suspects of a crash once the VM was back."""
        for state, expected in ((WorkerState.READY, 1), (WorkerState.DRAINING, 0)):
            self.setUp()
            self.view.worker = replace(self.view.worker, state=state)
            self.assertTrue(self.is_free_after(GONE, GONE))
            self.assertEqual(expected, len(self.task.unsettled_runs))

    def test_cut_off_worker_keeps_its_tasks(self) -> None:
        """It runs on, and its tasks would run twice."""
        self.assertFalse(self.is_free_after(*[(build_vm("w1"), OTHER)] * 2))
        moved = build_vm("w3", worker=WorkerId("w1"))
        self.assertFalse(
            self.is_free_after(*[(moved, build_vm("w1", worker=None))] * 2)
        )

    def test_worker_that_answers_keeps_its_tasks(self) -> None:
        """The list may be older than a worker that came back."""
        self.view.is_failing = False
        self.assertFalse(self.is_free_after(GONE, GONE))

    def test_worker_that_just_joined_keeps_its_tasks(self) -> None:
        """Its VM was still shown as moving, and one call that failed doubled its runs.

        Once a list has named the worker, a later one counts at once.
        """
        self.view.first_seen_s = COUNTS_FROM_S - 1.5
        moving = (build_vm("w1", state=VmState.MOVING, worker=None),)
        self.assertFalse(self.is_free_after(moving, moving))
        self.assertTrue(self.is_free_after((build_vm("w1"),), moving, moving))

    def test_one_list_ends_no_worker(self) -> None:
        """A VM that left while its pages were read hid the one that followed."""
        self.assertFalse(self.is_free_after(GONE))
        self.assertFalse(self.is_free_after(GONE, (build_vm("w1"),), GONE))

    def test_list_that_cannot_be_read_in_full_ends_no_worker(self) -> None:
        """The row that can't be read may be that of the worker's VM."""
        down = build_vm("w1", state=VmState.DOWN, worker=None)
        for vms in (
            (replace(down, is_readable=False),),
            (OTHER, replace(build_vm("w7"), is_readable=False)),
            (build_vm("w1", worker=None),),
            (),
        ):
            self.assertFalse(self.is_free_after(vms, vms))
        self.assertFalse(self.is_free_after(GONE, GONE, is_complete=False))

    def test_start_that_the_next_life_may_take_stays_placed(self) -> None:
        """A call that finds its worker down reaches the next life a moment later."""
        self.task.running_s = self.task.acked_s = None
        self.tracker.record_sent(self.task, 1.0)
        self.assertFalse(self.is_free_after(GONE, GONE))
        self.clock.advance(1.0)
        down = (build_vm("w1", state=VmState.DOWN, worker=None),)
        self.assertFalse(self.is_free_after(down, down))
        self.assertIn(self.other, self.job.ready_tasks())
        self.assertTrue(self.is_free_after(GONE, GONE))

    def test_suspected_dispatcher_may_still_start_tasks(self) -> None:
        """It may reach the worker's next life until its own lease is over."""
        self.view.last_answer_s = None
        self.assertFalse(self.is_free_after(GONE, GONE, predecessor_end_s=1.0))

    def test_successor_may_see_the_same_list(self) -> None:
        """Both started the task elsewhere, out of each other's reach."""
        confirmed_s = COUNTS_FROM_S - 0.1
        changes = {"term_confirmed_s": lambda: confirmed_s}
        self.assertFalse(self.is_free_after(GONE, GONE, **changes))


if __name__ == "__main__":
    unittest.main()
