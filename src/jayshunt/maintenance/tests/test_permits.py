"""Test the permits over random interleavings of two zones."""

import json
import math
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from jayshunt.clock import ManualClock
from jayshunt.errors import JayshuntError
from jayshunt.ids import Epoch, VmId, ZoneName
from jayshunt.maintenance.budget import read_budget
from jayshunt.maintenance.const import budget_key
from jayshunt.maintenance.models import Permit
from jayshunt.maintenance.reporting import zone_report
from jayshunt.maintenance.tests.builders import (
    DESK,
    build_ledger,
    build_list,
    build_record,
)
from jayshunt.store.tests.builders import FakeStore

ZONES = ("north", "south")
PER_ZONE = 4
RATIO = 0.5


class PermitWalk:
    """Run the ledgers of two zones, each with two successive controllers."""

    def __init__(self) -> None:
        """Write a first report of both zones."""
        self.clock = ManualClock()
        self.store = FakeStore()
        self.listed = build_list(self.clock, ZONES, PER_ZONE)
        self.records = {zone: build_record(zone, self.listed) for zone in ZONES}
        self.failed: set[VmId] = set()
        self.taken: dict[VmId, Permit] = {}
        # Two controllers of a zone: one that paused and its successor.
        self.ledgers = {
            (zone, fence): build_ledger(
                self.store, self, RATIO, lambda fence=fence: Epoch(fence)
            )
            for zone in ZONES
            for fence in (1, 2)
        }
        for zone in ZONES:
            self.report(zone, 1)

    def report(self, zone: str, fence: int) -> None:
        """Report the members of a zone and what failed there."""
        failing = {vm: "failed" for vm in self.failed}
        report = zone_report(
            ZoneName(zone),
            self.records[zone].assignments.values(),
            failing,
            Epoch(fence),
            self.clock.now_s(),
        )
        self._try(lambda: self.ledgers[zone, fence].report(DESK, report))

    def request(self, zone: str, fence: int, number: int) -> None:
        """Request a permit and check the budget if it is granted."""
        vm = VmId(f"{zone}-{number}")
        answer = self.ledgers[zone, fence].request(DESK, ZoneName(zone), vm, "test")
        if not isinstance(answer, Permit):
            return
        is_new = vm not in self.taken
        self.taken[vm] = answer
        if is_new and vm not in self.reported_down():
            self.check_budget()

    def release(self, zone: str, fence: int, number: int) -> None:
        """Release a permit as a controller that may have been replaced."""
        vm = VmId(f"{zone}-{number}")
        held = self.taken.get(vm)
        done = self._try(
            lambda: self.ledgers[zone, fence].release(DESK, {vm}, Epoch(fence))
        )
        if done and held is not None and held.fence <= fence:
            self.taken.pop(vm)

    def reported_down(self) -> set[VmId]:
        """Return the VMs that the stored reports count as down."""
        stored = self.store.values[budget_key(DESK)]
        reports = read_budget(_content(stored.value)).reports.values()
        return {vm for report in reports for vm in report.down}

    def check_budget(self) -> None:
        """Fail if too few VMs would stay available after the loss of one more rack."""
        down = self.reported_down() | set(self.taken)
        members = {f"{zone}-{n}" for zone in ZONES for n in range(PER_ZONE)}
        left = len(members - down) - 1
        required = math.ceil(RATIO * len(members))
        assert left >= required, f"{sorted(down)} are down"

    def check_permits(self) -> None:
        """Fail if a VM was taken down without a permit in the store."""
        stored = self.store.values.get(budget_key(DESK))
        permits = read_budget(_content(stored.value)).permits if stored else {}
        missing = set(self.taken) - set(permits)
        assert not missing, f"{sorted(missing)} were taken without a permit"

    def set_store_fault(self, number: int) -> None:
        """Lose the next answer or write, take the store down, or end the fault."""
        self.store.lose_answers = int(number == 0)
        self.store.drop_writes = int(number == 1)
        self.store.down = number == 2

    def run(self, chosen: int, number: int) -> None:
        """Run one operation; `number` selects the zone, the controller and the VM."""
        zone, fence = ZONES[number % 2], 1 + number // 2 % 2
        vm = number // 4 % PER_ZONE
        self.clock.advance(1)
        self.listed = replace(self.listed, as_of_s=self.clock.now_s())
        match chosen:
            case 0 | 1 | 2 | 3 | 4:
                self.request(zone, fence, vm)
            case 5 | 6:
                self.release(zone, fence, vm)
            case 7:
                self.failed ^= {VmId(f"{zone}-{vm}")}
            case 8:
                self.report(zone, fence)
            case 9:
                self.set_store_fault(number % 3)
            case _:
                self.set_store_fault(3)

    def _try(self, call) -> bool:
        try:
            call()
        except JayshuntError:
            return False
        return True


def _content(value: str) -> dict:
    return json.loads(value)


class PermitTest(unittest.TestCase):
    """Check that permits keep the availability budget.

    The steps are interleaved and answers of the store are lost.
    """

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 11), st.integers(0, 15)), min_size=40, max_size=40
        )
    )
    def test_permits_keep_the_budget(self, steps: list[tuple[int, int]]) -> None:
        """Two zones must not both get the last permit of a pool."""
        walk = PermitWalk()
        for chosen, number in steps:
            walk.run(chosen, number)
            walk.check_permits()

    def test_replaced_controller_cannot_release_a_newer_permit(self) -> None:
        """A replaced controller must not release the permit of its successor."""
        walk = PermitWalk()
        walk.request("north", 1, 0)
        walk.request("north", 2, 0)
        walk.release("north", 1, 0)
        walk.check_permits()
        self.assertEqual(walk.taken[VmId("north-0")].fence, 2)

    def test_zone_that_is_not_heard_from_counts_as_down(self) -> None:
        """All VMs of a zone without a recent report must count as down.

        Cut off from the store, the zone may have lost VMs that it could not report.
        """
        walk = PermitWalk()
        walk.clock.advance(1000)
        walk.listed = replace(walk.listed, as_of_s=walk.clock.now_s())
        walk.report("north", 1)
        walk.request("north", 1, 0)
        self.assertEqual(walk.taken, {})
