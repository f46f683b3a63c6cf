"""Test the capacity plan and the prepared loss plans."""

import unittest

from jayshunt.config.models import CapacityObjective
from jayshunt.ids import PoolName, RackName, VmId, ZoneName
from jayshunt.pools.capacity import (
    MIN_SHORTAGE_S,
    PoolLoad,
    plan_capacity,
    vms_for_bursts,
)
from jayshunt.pools.loss_plans import FailureDomain, PlacedVm, prepare_loss_plans

DESK, YARD = PoolName("desk"), PoolName("yard")


def build_load(pool: PoolName, rate: float, vms: int, **fields: float) -> PoolLoad:
    """Return the load of a pool with bursts of 10 VMs for 120 s."""
    values = {"burst_vms": 10.0, "burst_s": 120.0, "backlog_vm_s": 0.0}
    return PoolLoad(pool, rate, target_s=120.0, vms=vms, **{**values, **fields})


class CapacityTest(unittest.TestCase):
    """Guard against plans that miss targets, or waste moves or buffer VMs."""

    def test_need_serves_the_last_request_of_a_burst_in_time(self) -> None:
        """A pool sized for its mean load would miss the target at the end of bursts."""
        load = build_load(DESK, 0.1, 8)
        need = vms_for_bursts(load)
        backlog = (load.burst_vms - need) * load.burst_s
        self.assertLessEqual(backlog / need, load.target_s)
        backlog = (load.burst_vms - need + 1) * load.burst_s
        self.assertGreater(backlog / (need - 1), load.target_s)

    def test_short_shortage_moves_nothing_where_moves_are_weighed_first(self) -> None:
        """A burst that ends before a VM arrives must not cost a move."""
        lacking = build_load(DESK, 10.0, 3, shortage_s=MIN_SHORTAGE_S - 1)
        rich = build_load(YARD, 0.1, 12, burst_vms=2.0)
        plan = plan_capacity([lacking, rich], 0, 4, 60.0, CapacityObjective.MOVES)
        self.assertEqual(plan.changes, {})

    def test_lasting_shortage_takes_from_the_pool_with_most_surplus(self) -> None:
        """A pool that is short of VMs must get them while others have too many."""
        lacking = build_load(DESK, 10.0, 3, shortage_s=MIN_SHORTAGE_S)
        rich = build_load(YARD, 0.1, 12, burst_vms=2.0)
        plan = plan_capacity([lacking, rich], 0, 4, 60.0, CapacityObjective.MOVES)
        self.assertEqual(plan.changes, {DESK: 2, YARD: -2})

    def test_pool_does_not_give_up_vms_that_a_backlog_needs(self) -> None:
        """After a burst, VMs must not leave before the backlog has been served."""
        load = build_load(DESK, 0.1, 8, backlog_vm_s=400.0, oldest_s=50.0)
        plan = plan_capacity([load], 0, 4, 60.0, CapacityObjective.BUFFER_COST)
        self.assertNotIn(DESK, plan.changes)

    def test_buffer_in_use_is_not_held_twice(self) -> None:
        """VMs that serve a burst count as buffer and must not be reserved again."""
        idle = build_load(DESK, 0.1, 1)
        busy = build_load(DESK, 10.0, 9, backlog_vm_s=500.0)
        at_rest = plan_capacity([idle], 9, 4, 60.0, CapacityObjective.BUFFER_COST)
        in_use = plan_capacity([busy], 9, 4, 60.0, CapacityObjective.BUFFER_COST)
        self.assertLess(in_use.buffer_vms, at_rest.buffer_vms)


class LossPlanTest(unittest.TestCase):
    """Guard the plans for the loss of a rack or zone."""

    def setUp(self) -> None:
        """Place two pools over two zones, with one VM in the buffer."""
        places = [
            ("a", DESK, "north", "r1"),
            ("b", DESK, "south", "r2"),
            ("c", YARD, "south", "r3"),
            ("d", YARD, "south", "r4"),
            ("e", None, "south", "r5"),
        ]
        placed = [
            PlacedVm(VmId(vm), pool, ZoneName(zone), RackName(rack))
            for vm, pool, zone, rack in places
        ]
        self.plans = prepare_loss_plans(placed, {DESK: 2, YARD: 1})

    def test_lost_rack_is_replaced_from_the_buffer_first(self) -> None:
        """A loss must not take VMs from a pool while the buffer still has VMs."""
        plan = self.plans[FailureDomain(ZoneName("north"), RackName("r1"))]
        self.assertEqual(plan.moves, (("e", DESK),))
        self.assertEqual(plan.uncovered, {})

    def test_loss_that_cannot_be_covered_is_told_in_advance(self) -> None:
        """A plan must report the pools that a loss leaves short of VMs."""
        plan = self.plans[FailureDomain(ZoneName("south"))]
        self.assertEqual(plan.moves, ())
        self.assertEqual(plan.uncovered, {DESK: 1, YARD: 1})

    def test_loss_that_leaves_enough_vms_moves_nothing(self) -> None:
        """A loss after which every pool has enough VMs must not cause moves."""
        plan = self.plans[FailureDomain(ZoneName("south"), RackName("r4"))]
        self.assertEqual(plan.moves, ())
