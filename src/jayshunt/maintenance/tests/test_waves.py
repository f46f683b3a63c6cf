"""Test maintenance waves against failures."""

import unittest

from jayshunt.ids import VmId
from jayshunt.inventory.models import ListedState
from jayshunt.maintenance.const import HOLD_S, RETURN_LIMIT_S
from jayshunt.maintenance.models import WaveState
from jayshunt.maintenance.tests.builders import MaintenanceZone
from jayshunt.pools.models import AssignmentState

EVERY_VM = {"monthly": {"scope": "every_vm"}}


class WaveTest(unittest.TestCase):
    """Guard against planned stops that take down too many VMs, or too few."""

    def test_wave_reaches_every_vm_within_the_budget(self) -> None:
        """A wave must complete without using the reserve for the loss of a rack."""
        zone = MaintenanceZone(EVERY_VM)
        zone.run(900)
        self.assertEqual(zone.done(), 4)
        self.assertEqual(sorted(zone.reboots), sorted(set(zone.reboots)))
        # Of 4 VMs, 2 must stay available and 1 is in reserve.
        self.assertEqual(zone.most_down, 1)
        self.assertIs(zone.runner.statuses[0].state, WaveState.DONE)

    def test_wave_begins_with_a_canary_and_widens(self) -> None:
        """A fault that occurs at every reboot must affect one VM, not several."""
        zone = MaintenanceZone(EVERY_VM, per_zone=12)
        zone.run(60)
        self.assertEqual(len(zone.reboots), 1)
        zone.run(900)
        self.assertEqual(zone.done(), 12)
        self.assertGreater(zone.most_down, 1)
        self.assertLessEqual(zone.most_down, 5)

    def test_failed_canary_stops_the_wave_and_it_resumes(self) -> None:
        """A canary that does not come back must stop the wave until the hold ends."""
        zone = MaintenanceZone(EVERY_VM, per_zone=12)
        zone.run(30)
        zone.broken = set(zone.reboots)
        zone.run(int(RETURN_LIMIT_S) + 30)
        status = zone.runner.statuses[0]
        self.assertIs(status.state, WaveState.STOPPED)
        self.assertIn("did not come back", status.reason)
        self.assertEqual(len(zone.reboots), 1)
        zone.run(int(HOLD_S) + 1200)
        self.assertEqual(zone.done(), 11)
        self.assertIn(AssignmentState.MAINTENANCE, zone.states())

    def test_vm_that_fails_after_its_return_is_not_available(self) -> None:
        """A VM that fails a check after its return must restart its probation."""
        zone = MaintenanceZone(EVERY_VM)
        zone.run(80)
        (vm,) = zone.reboots
        zone.broken = {vm}
        zone.run(10)
        zone.broken = set()
        zone.run(20)
        self.assertEqual(zone.done(), 0)
        zone.run(30)
        self.assertEqual(zone.done(), 1)

    def test_rack_fails_while_another_is_in_maintenance(self) -> None:
        """A wave must wait while a failure in another rack uses up the budget."""
        zone = MaintenanceZone(EVERY_VM)
        zone.run(30)
        other = next(a.vm for a in zone.assignments() if a.vm not in zone.reboots)
        zone.failing = {other: "ejected"}
        zone.run(600)
        self.assertEqual(zone.done(), 1 + (other in zone.reboots))
        self.assertEqual(zone.most_down, 2)
        zone.failing = {}
        zone.run(900)
        self.assertEqual(zone.done(), 4)

    def test_store_outage_during_a_whole_wave(self) -> None:
        """During a store outage a reboot must complete, and no new one may begin."""
        zone = MaintenanceZone(EVERY_VM)
        zone.run(20)
        self.assertEqual(len(zone.reboots), 1)
        zone.store.down = True
        zone.run(1200)
        self.assertEqual(len(zone.reboots), 1)
        self.assertEqual(zone.done(), 0)
        zone.store.down = False
        zone.run(10)
        self.assertEqual(zone.done(), 1)

    def test_stale_list_grants_nothing(self) -> None:
        """A list older than 60 s may hide failures, so no VM may be taken down."""
        zone = MaintenanceZone(EVERY_VM)
        for _ in range(20):
            zone.clock.advance(61)
            zone.step()
        self.assertEqual(zone.reboots, [])
        self.assertIn("list_stale", zone.runner.statuses[0].reason)

    def test_vm_listed_as_leaving_counts_as_down(self) -> None:
        """A VM that the platform takes away must use up the budget."""
        zone = MaintenanceZone(EVERY_VM)
        vms = dict(zone.listed.vms)
        for name in ("north-0", "north-1"):
            item = vms[VmId(name)]
            vms[VmId(name)] = type(item)(**{**vars(item), "state": ListedState.LEAVING})
        zone.listed = type(zone.listed)(zone.clock.now_s(), vms)
        zone.run(60)
        # Only VMs that are down in any case may be taken.
        self.assertLessEqual(set(zone.reboots), {"north-0", "north-1"})

    def test_budget_that_allows_nothing_is_reported_in_advance(self) -> None:
        """A wave that cannot end under its budget must report a remedy."""
        zone = MaintenanceZone(
            {"monthly": {"scope": "every_vm", "finish_by_s": 2_000_000}}, ratio=0.9
        )
        zone.run(10)
        status = zone.runner.statuses[0]
        self.assertTrue(status.late)
        self.assertIn("min_available_ratio", status.remedy)

    def test_date_that_is_too_near_is_reported_in_advance(self) -> None:
        """A wave that will be late must report this before its date."""
        zone = MaintenanceZone(
            {"monthly": {"scope": "every_vm", "finish_by_s": 1_000_400}}, per_zone=12
        )
        zone.run(10)
        status = zone.runner.statuses[0]
        self.assertTrue(status.late)
        self.assertIn("move the date", status.remedy)
