"""Define the baseline policies and the policy that uses the capacity plan."""

import time
from collections import Counter
from dataclasses import dataclass, field

from jayshunt.config.models import CapacityObjective
from jayshunt.ids import PoolName
from jayshunt.pools.capacity import (
    PoolLoad,
    plan_capacity,
    vms_for_bursts,
)
from jayshunt.pools.demand import PoolMeter
from jayshunt_measure.fleet_model import RELEASED, SPARE, FleetState

MIN_VMS = 1


def static_policy(state: FleetState, rates: list[float]) -> None:
    """Leave every VM in its pool; each pool has its own fixed buffer."""


def greedy_policy(state: FleetState, rates: list[float]) -> None:
    """Move a VM from the shortest to the longest queue if that waits a step or more."""
    pools = range(state.script.size.pools)
    waits = [state.backlog[p] / max(1, len(state.members(p))) for p in pools]
    longest = max(pools, key=lambda p: waits[p])
    donors = [p for p in pools if len(state.members(p)) > MIN_VMS and p != longest]
    if not donors or waits[longest] < state.script.size.step_s:
        return
    shortest = min(donors, key=lambda p: waits[p])
    if waits[shortest] < waits[longest]:
        state.move(state.members(shortest)[0], longest)
        state.refresh()


@dataclass
class PlannedPolicy:
    """Apply the product's capacity plan at each step."""

    weigh_first: CapacityObjective
    meters: dict[int, PoolMeter] = field(default_factory=dict)
    plan_s: list[float] = field(default_factory=list)

    def __call__(self, state: FleetState, rates: list[float]) -> None:
        """Update the load of each pool, plan and move VMs."""
        size = state.script.size
        spare = state.members(SPARE)
        loads = [self._load(state, pool, rate) for pool, rate in enumerate(rates)]
        started_s = time.perf_counter()
        plan = plan_capacity(
            loads,
            len(spare) + len(state.members(RELEASED)),
            size.zones,
            size.drain_s + size.reboot_s,
            self.weigh_first,
        )
        self.plan_s.append(time.perf_counter() - started_s)
        if plan.changes:
            self._apply(state, {int(p): c for p, c in plan.changes.items()})
        if self.weigh_first is CapacityObjective.BUFFER_COST:
            self._size_buffer(state, plan.buffer_vms)

    def _load(self, state: FleetState, pool: int, rate: float) -> PoolLoad:
        size = state.script.size
        meter = self.meters.setdefault(pool, PoolMeter())
        meter.observe(rate, size.step_s)
        members = state.members(pool)
        ready = sum(state.ready_s[vm] <= state.now_s for vm in members)
        load = PoolLoad(
            PoolName(str(pool)),
            meter.rate,
            meter.peak,
            meter.burst_s,
            state.backlog[pool],
            size.target_s,
            ready,
            len(members) - ready,
            meter.shortage_s,
            MIN_VMS,
            state.oldest_wait_s[pool],
        )
        lacks = vms_for_bursts(load) > len(members)
        meter.shortage_s = meter.shortage_s + size.step_s if lacks else 0.0
        return load

    def _apply(self, state: FleetState, changes: dict[int, int]) -> None:
        """Take VMs from a pool's fullest zone and add VMs in its emptiest zone.

        A VM that one pool gives up goes directly to a pool that needs one, if any.
        """
        freed: list[int] = []
        for pool, change in changes.items():
            for _ in range(-change):
                vm = _from_fullest_zone(state, pool)
                freed.append(vm)
                state.by_pool[pool].remove(vm)
        for pool, change in changes.items():
            for _ in range(change):
                free = freed or state.members(SPARE) or state.members(RELEASED)
                if not free:
                    break
                zones = Counter(state.script.zone_of[vm] for vm in state.members(pool))
                vm = min(free, key=lambda v: zones[state.script.zone_of[v]])
                free.remove(vm)
                state.by_pool.setdefault(pool, []).append(vm)
                state.move(vm, pool)
        for vm in freed:
            state.move(vm, SPARE)
        state.refresh()

    def _size_buffer(self, state: FleetState, target_count: int) -> None:
        spare, released = state.members(SPARE), state.members(RELEASED)
        for vm in spare[target_count:]:
            state.move(vm, RELEASED)
        for vm in released[: max(0, target_count - len(spare))]:
            state.move(vm, SPARE)
        if len(spare) != target_count:
            state.refresh()


def _from_fullest_zone(state: FleetState, pool: int) -> int:
    members = [vm for vm in state.members(pool) if state.ready_s[vm] <= state.now_s]
    zones = Counter(state.script.zone_of[vm] for vm in members)
    return max(members, key=lambda vm: (zones[state.script.zone_of[vm]], vm))
