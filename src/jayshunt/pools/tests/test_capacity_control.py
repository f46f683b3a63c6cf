"""Test the moves that measured demand begins."""

import unittest
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.config.models import ConfigDocument
from jayshunt.ids import Epoch, PoolName, VmId
from jayshunt.maintenance.models import Permit
from jayshunt.pools import transitions
from jayshunt.pools.capacity_control import CapacityControl
from jayshunt.pools.const import MOVE_TIME_S, PLAN_INTERVAL_S, RELEASE_AFTER_S
from jayshunt.pools.models import AssignmentRecord, AssignmentState, ZoneDemand
from jayshunt.pools.mover import Mover
from jayshunt.pools.tests.builders import DESK, ZONE, FakeZone

SPARE = PoolName("office")


class CapacityControlTest(unittest.TestCase):
    """Guard against moves that demand does not justify, and against repeated ones."""

    def setUp(self) -> None:
        """Serve two VMs of a pool of 8 slots each and two spare VMs."""
        self.zone = FakeZone(vms=4)
        vms = dict(self.zone.listed.vms)
        for name in ("vm-2", "vm-3"):
            vms[VmId(name)] = replace(vms[VmId(name)], initial_pool=SPARE)
        self.zone.relist(vms)
        self.record = transitions.apply_vm_list(
            AssignmentRecord(ZONE), self.zone.listed, {}, 0.0
        )
        self.clock = ManualClock()
        self.demand = ZoneDemand({DESK: 4.0}, True)
        self.control = self.build_control(spare=True)

    def build_control(self, spare: bool) -> CapacityControl:
        """Return a capacity control on this test's record, demand and clock."""
        config = ConfigDocument.model_validate(
            {
                "pools": {DESK: {}, SPARE: {"spare": spare}},
                "classes": {"quotes": {"pool": DESK, "target_ms": 800}},
            }
        )
        mover = Mover(ZONE, self, self.grant, self.clock)
        return CapacityControl(mover, lambda: config, lambda: self.demand, self.clock)

    def write(self, transition) -> AssignmentRecord:
        """Apply a transition as the controller does."""
        self.record = transition(self.record)
        return self.record

    def grant(self, pool, zone, vm, reason) -> Permit:
        """Grant every permit."""
        return Permit(pool, vm, zone, Epoch(1), reason, 0.0)

    def run_for(self, seconds_s: float) -> None:
        """Run one step per second."""
        for _ in range(int(seconds_s)):
            self.clock.advance(1.0)
            self.control.step(self.record)

    def moving(self) -> dict[VmId, PoolName]:
        """Return the VMs that are leaving, with their next pools."""
        return {
            vm: a.next_pool
            for vm, a in self.record.assignments.items()
            if a.state is AssignmentState.LEAVING
        }

    def test_lasting_shortage_gets_one_spare_vm(self) -> None:
        """A pool whose demand grew must get a VM, but not two for the same growth."""
        self.demand = ZoneDemand({DESK: 18.0}, True)
        self.run_for(2 * MOVE_TIME_S + 3 * PLAN_INTERVAL_S)
        self.assertEqual(list(self.moving().values()), [DESK])

    def test_short_burst_moves_nothing(self) -> None:
        """A burst that ends before a VM could arrive must not cost a move."""
        self.demand = ZoneDemand({DESK: 18.0}, True)
        self.run_for(MOVE_TIME_S - 2 * PLAN_INTERVAL_S)
        self.demand = ZoneDemand({DESK: 4.0}, True)
        self.run_for(MOVE_TIME_S)
        self.assertEqual(self.moving(), {})

    def test_lasting_surplus_returns_to_the_buffer(self) -> None:
        """A VM that its pool no longer needs must return to the buffer."""
        self.run_for(RELEASE_AFTER_S + 3 * PLAN_INTERVAL_S)
        self.assertEqual(list(self.moving().values()), [SPARE])

    def test_silent_entry_keeps_vms_where_they_are(self) -> None:
        """Demand that a silent broker did not report must not count as zero demand."""
        self.demand = ZoneDemand({}, False)
        self.run_for(2 * RELEASE_AFTER_S)
        self.assertEqual(self.moving(), {})

    def test_new_controller_observes_before_it_moves(self) -> None:
        """A controller must not count the time it did not control as a shortage."""
        self.demand = ZoneDemand({DESK: 18.0}, True)
        self.run_for(2 * PLAN_INTERVAL_S)
        self.clock.advance(10 * MOVE_TIME_S)
        self.run_for(2 * PLAN_INTERVAL_S)
        self.assertEqual(self.moving(), {})

    def test_without_a_buffer_nothing_moves(self) -> None:
        """A deployment without a spare pool must keep its pools as they are."""
        self.control = self.build_control(spare=False)
        self.demand = ZoneDemand({DESK: 40.0}, True)
        self.run_for(2 * RELEASE_AFTER_S)
        self.assertEqual(self.moving(), {})
