"""Test orders for VMs and the conclusions from the VM list."""

import json
import threading
import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.evacuation import BLOCKED_S, EvacuationReason
from jayshunt.dispatch.fleet import PendingEnd, WorkerEnd
from jayshunt.dispatch.fleet_duty import FleetDuty
from jayshunt.dispatch.models import Bounds
from jayshunt.dispatch.records import ORDERED_KEY, TERM_KEY
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.tests.builders import (
    POOL,
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
from jayshunt.dispatch.vms import DutyRefusal, VmState, Wave
from jayshunt.dispatch.wave_book import WaveState
from jayshunt.ids import PoolName, Revision, VmId


class FleetDutyTest(unittest.TestCase):
    """Test stale lists, orders of earlier dispatchers and concurrent orders."""

    def setUp(self) -> None:
        """Set up fakes with one worker."""
        self.job = build_job()
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.store = FakeStore()
        self.clock = ManualClock(0.0)
        self.dispatcher = build_fleet_dispatcher(self.tracker)

    def duty(self, *vms) -> FleetDuty:
        """Return a FleetDuty whose platform lists the VMs."""
        self.machines = FakeMachines(*vms)
        return FleetDuty(
            self.dispatcher,
            self.store,
            self.machines,
            self.clock,
            build_config,
            Bounds(),
        )

    def test_list_that_is_behind_ends_no_worker(self) -> None:
        """A stale list may show a VM as moving although its new worker is running."""
        task = place(self.tracker, self.job, 0, self.view)
        self.duty(build_vm("w1", state=VmState.MOVING, worker=None))._round()
        self.assertEqual(self.view.worker.worker, task.worker)
        self.assertFalse(self.view.is_ended)

    def test_worker_ordered_away_by_an_earlier_holder_is_not_waited_for(self) -> None:
        """A worker that was ordered away stays in the worker list for some seconds."""
        self.view.last_answer_s = None
        moving = build_vm("w1", state=VmState.MOVING, worker=None)
        duty = self.duty(moving)
        duty._round()
        self.assertTrue(duty.may_have_runs(self.view))
        self.store.transact({}, (Put(ORDERED_KEY, b'[["vm-w1", "w1"]]'),))
        duty = self.duty(moving)
        duty._round()
        self.assertFalse(duty.may_have_runs(self.view))

    def test_order_names_a_worker_whose_lease_expired(self) -> None:
        """An order must be stored with its worker even if the worker has no view.

        Otherwise, if only workers with a view are stored, a new dispatcher waits 10 s
        for such a worker.
        """
        self.tracker.remove_worker(self.view, 0.0, WorkerEnd.LEASE_EXPIRED)
        duty = self.duty(build_vm("w1"))
        duty._round()
        move = EvacuationReason.move(PoolName("other"))
        duty.departures.begin(VmId("vm-w1"), move, None, 0.0)
        duty.departures.advance(0.0)
        self.assertEqual(
            [["vm-w1", "w1", 0.0]], json.loads(self.store.get(ORDERED_KEY).value)
        )

    def test_vm_whose_upkeep_is_refused_does_not_hold_up_its_wave(self) -> None:
        """It was chosen again in each round, and the others of its wave never."""
        machines = [build_vm(f"w{n}") for n in range(1, 5)]
        duty = self.duty(*machines)
        self.machines.refused = {VmId("vm-w2"), VmId("vm-w3")}
        names = [vm.vm for vm in machines]
        wave = {"wave": 1, "machines": names, "deadlineS": 30, "maxCount": 1}
        self.store.transact({}, (Put("op/wave/1", json.dumps(wave).encode()),))
        for _ in range(8):
            duty._round()
            self.clock.advance(0.1)
        self.assertIn(("vm-w4", 1), self.machines.orders)

    def run_step_with_budget(self) -> None:
        """Run one of two tasks, of which one may be unavailable, on the worker."""
        step = build_step(task_count=2, is_long_running=True, max_unavailable=1)
        job = build_job(step, number=2)
        self.tracker.add_job(job)
        task = place(self.tracker, job, 0, self.view)
        self.tracker.apply_run_report(self.view, build_report(task), 0.5, 0.5)

    def test_wave_leaves_a_vm_whose_runs_may_not_be_stopped_in_use(self) -> None:
        """A service of such VMs started nothing past the deadline (review case 7)."""
        self.run_step_with_budget()
        duty = self.duty(build_vm("w1"))
        wave = {"wave": 1, "machines": ["vm-w1"], "deadlineS": 30, "maxCount": 1}
        self.store.transact({}, (Put("op/wave/1", json.dumps(wave).encode()),))
        duty._round()
        self.assertIsNone(self.view.evacuation_reason)

    def test_vm_whose_runs_may_no_longer_be_stopped_is_used_again(self) -> None:
        """It was neither emptied nor used until a task elsewhere was back."""
        self.run_step_with_budget()
        duty = self.duty(build_vm("w1"))
        duty._read(0.0)
        move = EvacuationReason.move(PoolName("other"))
        duty.departures.begin(VmId("vm-w1"), move, self.view, 0.0)
        duty.departures.advance(1.0)
        self.assertEqual(move, self.view.evacuation_reason)
        duty.departures.advance(1.0 + BLOCKED_S)
        self.assertIsNone(self.view.evacuation_reason)
        self.assertEqual(set(), duty.departures.being_emptied())

    def test_worker_of_a_vm_that_one_list_lacks_is_used_again(self) -> None:
        """It counted as being emptied for ever, as nothing emptied it any more."""
        duty = self.duty(build_vm("w1"), build_vm("w2"))
        duty._read(0.0)
        move = EvacuationReason.move(PoolName("other"))
        duty.departures.begin(VmId("vm-w1"), move, self.view, 0.0)
        self.machines.vms = (build_vm("w2"),)
        duty._read(4.0)
        self.assertEqual(set(), duty.departures.being_emptied())
        self.assertIsNone(self.view.evacuation_reason)

    def test_orders_for_many_vms_go_out_together(self) -> None:
        """Sent one by one, the orders for a fleet take up most of a burst."""
        vms = [build_vm(f"w{n}") for n in range(1, 9)]
        duty = self.duty(*vms)
        duty._read(0.0)
        for vm in vms:
            move = EvacuationReason.move(PoolName("other"))
            duty.departures.begin(vm.vm, move, None, 0.0)
        self.machines.together = threading.Barrier(len(vms))
        duty.departures.advance(0.0)
        self.assertEqual(len(vms), len(self.machines.orders))

    def test_vm_with_unstored_ends_stays(self) -> None:
        """Its worker holds the only lasting record of the ends.

        If the dispatcher is lost as well, work that had run would run again.
        """
        self.view.last_answer_s = 0.0
        self.view.pending.append(PendingEnd(1, self.job.spec.job, 1))
        duty = self.duty(build_vm("w1"))
        duty._read(0.0)
        move = EvacuationReason.move(PoolName("other"))
        duty.departures.begin(VmId("vm-w1"), move, self.view, 0.0)
        duty.departures.advance(0.0)
        self.assertEqual([], self.machines.orders)
        self.view.pending.clear()
        duty.departures.advance(0.0)
        self.assertEqual(1, len(self.machines.orders))

    def test_busy_vm_does_not_keep_its_worker_unused(self) -> None:
        """The worker stays up if the platform was busy with something else."""
        duty = self.duty(build_vm("w1"))
        duty._read(0.0)
        upkeep = EvacuationReason.upkeep(1)
        duty.departures.begin(VmId("vm-w1"), upkeep, self.view, 0.0)
        evacuation = duty.departures._evacuations[VmId("vm-w1")]
        duty.departures._apply_refusal(evacuation, self.view, DutyRefusal.BUSY)
        self.assertIsNone(self.view.evacuation_reason)
        self.assertFalse(duty.departures.being_emptied())

    def test_wave_is_not_completed_by_a_term_that_ended(self) -> None:
        """A write whose condition failed must not count as stored."""
        duty = self.duty(build_vm("w1"))
        duty.waves.states[1] = WaveState(Wave(1, (VmId("vm-w1"),), 20.0))
        with self.assertRaises(TermEnded):
            duty.waves.write(self.store, {TERM_KEY: Revision(9)})
        self.assertTrue(duty.waves.states[1].needs_write)

    def test_worker_without_an_answer_in_this_term_is_left_alone(self) -> None:
        """The worker may run tasks that a new dispatcher does not know yet."""
        idle = [add_worker_view(self.tracker, f"w{n}") for n in range(2, 9)]
        vms = [build_vm(view.worker.worker) for view in (self.view, *idle)]
        duty = self.duty(*vms)
        for _ in range(30):
            self.clock.advance(0.2)
            for view in idle:
                view.last_answer_s = self.clock.monotonic_s()
            self.view.last_answer_s = None
            duty._round()
        ordered = {vm for vm, _ in self.machines.orders}
        self.assertTrue(ordered, "idle VMs of the pool go back")
        self.assertNotIn(VmId("vm-w1"), ordered)
        self.assertEqual({POOL}, {vm.pool for vm in vms})


if __name__ == "__main__":
    unittest.main()
