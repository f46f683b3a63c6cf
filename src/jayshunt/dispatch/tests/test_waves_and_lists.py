"""Test that a wave is completed only on evidence that is newer than the wave."""

import json
import unittest
from unittest.mock import patch

from jayshunt.clock import ManualClock
from jayshunt.dispatch.const import VM_LIST_JOIN_LAG_S
from jayshunt.dispatch.fleet_duty import FleetDuty
from jayshunt.dispatch.models import Bounds
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_config,
    build_tracker,
    build_vm,
)
from jayshunt.dispatch.tests.fakes import (
    FakeMachines,
    FakeStore,
    TimedMachines,
    build_fleet_dispatcher,
)
from jayshunt.dispatch.vms import DutyRefusal
from jayshunt.dispatch.wave_book import NOT_OF_WAVE_S
from jayshunt.errors import JayshuntError
from jayshunt.ids import VmId

NEW = VmId("vm-new")
ROUND_S = 0.15
# Two lists are requested after the lag, one a second while a VM is missing.
SETTLED_S = VM_LIST_JOIN_LAG_S + 3.0


class WavesAndListsTest(unittest.TestCase):
    """Declare waves beside a list of VMs that is old, slow or incomplete."""

    def setUp(self) -> None:
        """Set up a duty for one VM whose worker runs nothing."""
        self.tracker = build_tracker()
        self.views = [add_worker_view(self.tracker)]
        self.store = FakeStore()
        self.clock = ManualClock(0.0)
        self.machines = FakeMachines(build_vm("w1"))
        self.duty = self.begin_term()

    def use_platform_with_upkeep(self, count: int) -> list[str]:
        """List `count` VMs whose upkeep takes its time; return their names."""
        vms = [build_vm(f"u{n}") for n in range(count)]
        self.views = [add_worker_view(self.tracker, vm.worker) for vm in vms]
        self.machines = TimedMachines(self.clock, *vms)
        self.duty = self.begin_term()
        return [vm.vm for vm in vms]

    def begin_term(self) -> FleetDuty:
        """Return the duty of a term that begins now."""
        return FleetDuty(
            build_fleet_dispatcher(self.tracker),
            self.store,
            self.machines,
            self.clock,
            build_config,
            Bounds(),
        )

    def declare(self, *vms: str, wave: int = 1) -> None:
        """Declare a wave of these VMs."""
        fields = {"wave": wave, "machines": list(vms), "deadlineS": 30, "maxCount": 1}
        self.store.transact({}, (Put(f"op/wave/{wave}", json.dumps(fields).encode()),))

    def play(self, seconds: float) -> None:
        """Let time pass; the workers answer all the while."""
        for _ in range(round(seconds / ROUND_S)):
            self.clock.advance(ROUND_S)
            for view in self.views:
                view.last_answer_s = self.clock.monotonic_s()
            try:
                self.duty._round()
            except JayshuntError:
                continue

    def play_until_listed(self) -> None:
        """Let time pass until a list was just read, and let the waves be read next."""
        listed_s = self.duty.inventory.listed_s
        while self.duty.inventory.listed_s == listed_s:
            self.play(ROUND_S)
        self.duty._waves_read_s = None

    def check_upkeep_of_new(self, seconds: float) -> None:
        """Let time pass; the wave must not be completed before its VM is ordered."""
        for _ in range(round(seconds / ROUND_S)):
            self.play(ROUND_S)
            is_ordered = (NEW, 1) in self.machines.orders
            self.assertTrue(is_ordered or self.state() != "completed")
        self.assertTrue(is_ordered)

    def state(self) -> str:
        """Return the status of wave 1 as the operator reads it."""
        item = self.store.get("status/wave/1")
        return "" if item is None else json.loads(item.value)["state"]

    def test_wave_for_a_vm_that_the_list_does_not_have_yet_stays_open(self) -> None:
        """It was shown as completed without the upkeep (review case 13)."""
        self.play(1.0)
        self.play_until_listed()
        self.machines.vms += (build_vm("new"),)
        self.declare(NEW)
        self.check_upkeep_of_new(6.0)
        self.assertEqual("completed", self.state())

    def test_wave_for_a_vm_that_lags_behind_in_the_list_stays_open(self) -> None:
        """A list may show the VMs of some time before it was requested."""
        self.declare(NEW)
        self.play(VM_LIST_JOIN_LAG_S)
        self.machines.vms += (build_vm("new"),)
        self.check_upkeep_of_new(3.0)

    def test_wave_for_a_vm_that_came_back_stays_open(self) -> None:
        """Lists without the VM are older than its return."""
        self.machines.vms += (build_vm("new"),)
        self.play(4.0)
        self.machines.vms = self.machines.vms[:1]
        self.play(8.0)
        self.play_until_listed()
        self.machines.vms += (build_vm("new"),)
        self.declare(NEW)
        self.check_upkeep_of_new(6.0)

    def test_wave_declared_while_the_list_is_away_stays_open(self) -> None:
        """The last list before the outage is older than the wave."""
        self.play(4.0)
        lists, self.machines.list = self.machines.list, self.answer_nothing
        self.machines.vms += (build_vm("new"),)
        self.declare(NEW)
        self.play(6.0)
        self.machines.list = lists
        self.check_upkeep_of_new(6.0)

    def answer_nothing(self, *_) -> None:
        """Stand in for a call that gets no answer."""
        raise JayshuntError("no_answer", step="machines")

    def test_wave_for_a_vm_that_never_exists_ends_and_says_why(self) -> None:
        """It would be late for ever."""
        self.declare("vm-none", "vm-w1")
        with self.assertLogs("jayshunt.dispatch.wave_book") as logs:
            self.play(SETTLED_S)
        self.assertEqual("completed", self.state())
        record = next(r for r in logs.records if "no VM left" in r.msg)
        self.assertEqual((1, 1), (record.gone, record.accepted))
        self.assertEqual(["vm-none"], record.without_upkeep)

    def test_list_that_may_lack_vms_completes_no_wave(self) -> None:
        """A row that names no VM may be the one in question."""
        self.machines.is_complete = False
        self.declare("vm-none")
        self.play(SETTLED_S)
        self.assertEqual("running", self.state())

    def test_wave_that_was_completed_goes_on_once_its_vm_is_listed(self) -> None:
        """Also in a later term, which knows what the first one did by the record."""
        self.declare(NEW)
        self.play(SETTLED_S)
        self.assertEqual("completed", self.state())
        self.duty = self.begin_term()
        self.play(1.0)
        self.assertEqual("completed", self.state())
        self.machines.vms += (build_vm("new"),)
        with self.assertLogs("jayshunt.dispatch.wave_book", "WARNING"):
            self.play(4.0)
        self.assertIn((NEW, 1), self.machines.orders)

    def test_answer_that_a_vm_is_not_of_its_wave_counts_only_if_it_lasts(self) -> None:
        """The platform may not know of a wave that was just declared."""
        self.machines.refused = {VmId("vm-w1")}
        self.machines.refusal = DutyRefusal.NOT_OF_WAVE
        self.declare("vm-w1")
        self.play(2.0)
        self.assertEqual([(VmId("vm-w1"), 1)], self.machines.orders)
        self.assertEqual("running", self.state())
        self.play(NOT_OF_WAVE_S + 2.0)
        self.assertEqual("completed", self.state())

    def test_wave_that_is_declared_anew_gains_its_vms(self) -> None:
        """What was read first was taken for what the operator wants."""
        self.declare("vm-w1")
        self.play(2.0)
        self.assertEqual("completed", self.state())
        self.machines.vms += (build_vm("new"),)
        self.declare("vm-w1", NEW)
        self.play(6.0)
        self.assertEqual([(VmId("vm-w1"), 1), (NEW, 1)], self.machines.orders)
        self.assertEqual("completed", self.state())

    def test_order_without_an_answer_counts_as_carried_out(self) -> None:
        """A second VM of the wave was taken down beside the first (review case 15).

        The order was repeated and refused, as the VM was busy with its upkeep.
        """
        names = self.use_platform_with_upkeep(4)
        self.machines.unanswered = set(names)
        self.declare(*names)
        self.play(60.0)
        self.assertEqual(1, self.machines.most_down)
        self.assertEqual("completed", self.state())

    def test_list_that_is_older_than_an_order_does_not_show_the_vm_as_up(self) -> None:
        """It hid the first VM of a wave, and the next one was taken down beside it."""
        names = self.use_platform_with_upkeep(4)
        self.declare(*names)
        with patch("jayshunt.dispatch.fleet_duty.MACHINES_POLL_S", ROUND_S):
            self.play(30.0)
        self.assertEqual(1, self.machines.most_down)
        self.assertEqual("completed", self.state())

    def test_vm_that_may_be_down_for_one_wave_does_not_pass_the_limit(self) -> None:
        """It was ordered for a second wave, of which another VM was down.

        The platform had just answered that its first upkeep is done.
        """
        first, second = self.use_platform_with_upkeep(2)
        self.machines.unanswered = {first}
        self.declare(first)
        self.declare(second, first, wave=2)
        self.play(40.0)
        self.assertEqual(1, self.machines.most_down)
        self.assertIn((first, 2), self.machines.orders)

    def test_vm_that_an_earlier_term_ordered_counts_as_down(self) -> None:
        """The list of the next term may be older than that order."""
        names = self.use_platform_with_upkeep(3)
        self.declare(*names)
        while not self.machines.orders:
            self.play(ROUND_S)
        self.duty = self.begin_term()
        self.play(30.0)
        self.assertEqual(1, self.machines.most_down)
        self.assertEqual("completed", self.state())


if __name__ == "__main__":
    unittest.main()
