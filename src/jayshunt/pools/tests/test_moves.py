"""Test moves against single failures."""

import unittest
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId, VmId
from jayshunt.inventory.models import ListedState
from jayshunt.pools import transitions
from jayshunt.pools.const import ABSENT_LIMIT_S, CONTROLLER_LEASE_S
from jayshunt.pools.errors import Fenced
from jayshunt.pools.lease import ControllerLease
from jayshunt.pools.models import AssignmentState
from jayshunt.pools.tests.builders import DESK, YARD, ZONE, FakeLeaseStore, FakeZone

VM = VmId("vm-0")


class MoveTest(unittest.TestCase):
    """Guard the moves of a VM in a zone of two entries."""

    def setUp(self) -> None:
        """Start two entries; the first is controller."""
        self.zone = FakeZone()
        self.first = self.zone.add_entry("entry-a")
        self.second = self.zone.add_entry("entry-b")
        self.step()

    def step(self, seconds: float = 1.0) -> None:
        """Let time pass and step every entry that is not paused."""
        self.zone.clock.advance(seconds)
        self.zone.relist(self.zone.listed.vms)
        for entry in (self.first, self.second):
            if not entry.paused and entry.name in self.zone.entries:
                try:
                    entry.controller.step()
                except JayshuntError:
                    pass

    def begin_move(self) -> None:
        """Begin a move of the VM to the other pool."""
        self.first.controller.write(
            lambda r: transitions.begin_leaving(r, VM, 0.0, "test", YARD)
        )

    def state(self) -> AssignmentState:
        """Return the state of the VM in the second entry's record."""
        return self.second.controller.record.assignments[VM].state

    def test_holder_paused_past_its_lease_cannot_write(self) -> None:
        """A controller that pauses during a move and resumes must be fenced."""
        self.begin_move()
        fence = self.first.controller.fencing_epoch
        self.first.paused = True
        self.step(CONTROLLER_LEASE_S + 1)
        self.assertGreater(self.second.controller.fencing_epoch, fence)
        # Simulate a pause that began after the check of the lease's deadline.
        self.first.controller._lease._ends_s = float("inf")
        self.first.controller._lease._lease = "old"
        with self.assertRaises(Fenced):
            self.first.controller.write(
                lambda r: transitions.begin_leaving(r, VmId("vm-1"), 0.0, "late", YARD)
            )
        self.assertFalse(self.first.controller.holds_lease)

    def test_lease_is_not_held_while_the_store_is_down(self) -> None:
        """A controller that cannot renew must stop acting when the lease expires."""
        self.zone.store.down = True
        self.step(CONTROLLER_LEASE_S + 1)
        self.assertFalse(self.first.controller.holds_lease)
        self.assertIsNone(self.first.controller.fencing_epoch)

    def test_lost_answer_when_acquiring_the_lease(self) -> None:
        """An entry must find that it got the lease although the answer was lost."""
        clock = ManualClock()
        store = FakeLeaseStore(clock)
        lease = ControllerLease(ZONE, EntryId("entry-a"), store, clock)
        store.lose_answers = 1
        with self.assertRaises(JayshuntError):
            lease.acquire_or_renew()
        self.assertTrue(lease.acquire_or_renew())

    def test_lost_answer_to_a_step_of_a_move(self) -> None:
        """A write whose answer was lost must not be applied twice."""
        self.zone.store.lose_answers = 1
        self.begin_move()
        epoch = self.first.controller.record.epoch
        self.begin_move()
        self.assertEqual(self.first.controller.record.epoch, epoch)

    def test_paused_entry_delays_the_move(self) -> None:
        """A VM must not be drained before every registered entry knows it leaves."""
        self.second.paused = True
        self.begin_move()
        for _ in range(3):
            self.step()
        self.assertIn("entry-b", self.first.controller.drain_blockers[VM])
        self.second.paused = False
        self.step()
        self.assertIs(self.state(), AssignmentState.DRAINED)

    def test_lost_entry_delays_the_move_for_the_quiet_period(self) -> None:
        """A move must continue after an entry VM was lost for good."""
        self.begin_move()
        self.second.paused = True
        self.zone.entries.pop("entry-b")
        self.zone.unlist("entry-b")
        for _ in range(8):
            self.step()
        held = self.first.controller.record.assignments[VM]
        self.assertIs(held.state, AssignmentState.LEAVING)
        for _ in range(5):
            self.step()
        held = self.first.controller.record.assignments[VM]
        self.assertIs(held.state, AssignmentState.DRAINED)

    def test_vm_ejected_by_a_broker_stays_known_while_its_entry_is_silent(self) -> None:
        """An ejected VM must stay down in the budget while its broker is silent."""
        self.second.failing = (VM,)
        for _ in range(6):
            self.step()
        self.second.paused = True
        for _ in range(6):
            self.step()
        self.assertEqual(
            self.first.controller.ejected_vms(), {VM: "ejected by entry-b"}
        )

    def test_entry_without_registration_is_no_broker(self) -> None:
        """An entry that starts during a store outage must not grant slots."""
        self.zone.store.down = True
        late = self.zone.add_entry("entry-c")
        with self.assertRaises(JayshuntError):
            late.controller.step()
        late.controller.apply(self.first.controller.record)
        self.assertEqual(late.grantable(DESK), [])

    def test_listeners_hear_when_an_entry_may_become_broker(self) -> None:
        """A starting broker must learn at once that it may grant slots.

        Otherwise it would refuse requests until its next tick.
        """
        entry = self.zone.add_entry("entry-d")
        seen_by_listener: list[list[VmId]] = []
        entry.controller.add_listener(
            lambda _: seen_by_listener.append(entry.grantable(DESK))
        )
        entry.controller.step()
        self.assertEqual(seen_by_listener[-1], entry.grantable(DESK))
        self.assertNotEqual(seen_by_listener[-1], [])

    def test_older_process_does_not_take_over_a_registration(self) -> None:
        """A process that was replaced must not become broker again."""
        self.zone.clock.advance(10)
        newer = self.zone.add_entry("entry-b")
        newer.controller.step()
        self.second.registry._checked_s = None
        self.second.registry.register()
        self.assertFalse(self.second.controller.may_broker)

    def test_lagging_list_does_not_send_a_returned_vm_away(self) -> None:
        """A VM back from its reboot must serve although the list shows it leaving."""
        record = self.first.controller.record
        now_s = self.zone.clock.now_s()
        self.zone.mark("vm-0", ListedState.LEAVING)
        late = replace(self.zone.listed, as_of_s=now_s - 40)
        record = transitions.update_assignment(record, VM, now_s, reason="back")
        followed = transitions.apply_vm_list(record, late, {}, now_s)
        self.assertIs(followed.assignments[VM].state, AssignmentState.SERVING)
        newer = replace(late, as_of_s=now_s + 1)
        followed = transitions.apply_vm_list(record, newer, {}, now_s + 1)
        self.assertIs(followed.assignments[VM].state, AssignmentState.LEAVING)

    def test_vm_that_the_platform_takes_away_leaves_and_is_removed(self) -> None:
        """A VM that is gone must leave the record, but not after a short gap."""
        self.zone.mark("vm-0", ListedState.LEAVING)
        self.step()
        self.step()
        self.assertIs(self.state(), AssignmentState.DRAINED)
        self.zone.unlist("vm-0")
        self.step()
        self.assertIn(VM, self.first.controller.record.assignments)
        for _ in range(int(ABSENT_LIMIT_S) // 4 + 1):
            self.step(4)
        self.assertNotIn(VM, self.first.controller.record.assignments)
