"""Test the reaction to a lost rack."""

import unittest
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.config.models import ConfigDocument
from jayshunt.ids import Epoch, PoolName, VmId
from jayshunt.maintenance.models import Permit, PermitDenied
from jayshunt.pools import transitions
from jayshunt.pools.loss_reaction import LossReaction
from jayshunt.pools.models import AssignmentRecord, AssignmentState
from jayshunt.pools.mover import Mover
from jayshunt.pools.tests.builders import DESK, ZONE, FakeZone

SPARE = PoolName("office")


class LossReactionTest(unittest.TestCase):
    """Guard that prepared plans are applied once and only with permits."""

    def setUp(self) -> None:
        """Serve two VMs of a pool and one spare VM, each in its own rack."""
        self.zone = FakeZone(vms=3)
        vms = dict(self.zone.listed.vms)
        vms[VmId("vm-2")] = replace(vms[VmId("vm-2")], initial_pool=SPARE)
        self.zone.relist(vms)
        self.record = transitions.apply_vm_list(
            AssignmentRecord(ZONE), self.zone.listed, {}, 0.0
        )
        self.denies = False
        config = ConfigDocument.model_validate(
            {"pools": {DESK: {"min_available_ratio": 1}, SPARE: {"spare": True}}}
        )
        mover = Mover(ZONE, self, self.request, ManualClock())
        self.reaction = LossReaction(
            mover, lambda: config, lambda: self.zone.listed, dict
        )
        self.reaction.step(self.record)

    def write(self, transition) -> AssignmentRecord:
        """Apply a transition as the controller does."""
        self.record = transition(self.record)
        return self.record

    def request(self, pool, zone, vm, reason):
        """Grant or deny a permit."""
        if self.denies:
            return PermitDenied(pool, vm, "budget", "too few are left")
        return Permit(pool, vm, zone, Epoch(1), reason, 0.0)

    def test_spare_vm_replaces_a_lost_rack(self) -> None:
        """A pool that lost a rack must get a VM of the buffer, and only once."""
        self.zone.unlist("vm-0")
        self.reaction.step(self.record)
        moved = self.record.assignments[VmId("vm-2")]
        self.assertIs(moved.state, AssignmentState.LEAVING)
        self.assertEqual(moved.next_pool, DESK)
        epoch = self.record.epoch
        self.reaction.step(self.record)
        self.assertEqual(self.record.epoch, epoch)

    def test_denied_permit_moves_nothing(self) -> None:
        """A move after a loss must wait until the donor pool's budget allows it."""
        self.denies = True
        self.zone.unlist("vm-0")
        self.reaction.step(self.record)
        states = {a.state for a in self.record.assignments.values()}
        self.assertEqual(states, {AssignmentState.SERVING})
        self.denies = False
        self.reaction.step(self.record)
        moved = self.record.assignments[VmId("vm-2")]
        self.assertIs(moved.state, AssignmentState.LEAVING)
