"""Move VMs between the pools and the buffer to follow the measured demand."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigDocument, WorkKind
from jayshunt.ids import PoolName
from jayshunt.pools.capacity import CapacityPlan, PoolLoad, plan_capacity
from jayshunt.pools.const import (
    MOVE_TIME_S,
    PLAN_INTERVAL_S,
    RELEASE_AFTER_S,
    TARGET_UTILIZATION,
)
from jayshunt.pools.demand import PoolMeter
from jayshunt.pools.models import (
    Assignment,
    AssignmentRecord,
    AssignmentState,
    VmKind,
    ZoneDemand,
)
from jayshunt.pools.mover import Mover

_LOGGER = logging.getLogger(__name__)


@dataclass
class PoolTrend:
    """Track a pool's demand, and how long it has had too few or too many VMs."""

    meter: PoolMeter = field(default_factory=PoolMeter)
    surplus_s: float = 0.0

    def observe_change(self, change: int, step_s: float) -> None:
        """Extend or reset the shortage and the surplus time for a planned change."""
        self.meter.shortage_s = self.meter.shortage_s + step_s if change > 0 else 0.0
        self.surplus_s = self.surplus_s + step_s if change < 0 else 0.0


class CapacityControl:
    """Apply the capacity plan to the upstreams of one zone.

    The zone's controller calls `step` as one of its duties. VMs of pools marked as
    spare are the buffer; without such a pool nothing moves. A shortage must last
    for as long as a move takes, so that no VM moves for a burst that ends before
    the VM arrives. A surplus must last longer, since each move costs a drain and a
    reboot. Each plan moves at most one VM per pool.
    """

    def __init__(
        self,
        mover: Mover,
        read_config: Callable[[], ConfigDocument],
        read_demand: Callable[[], ZoneDemand],
        clock: Clock,
    ) -> None:
        """Start without any measured demand."""
        self._mover = mover
        self._read_config = read_config
        self._read_demand = read_demand
        self._clock = clock
        self._planned_s: float | None = None
        self._trends: dict[PoolName, PoolTrend] = {}
        self.plan = CapacityPlan({}, 0, {})

    def step(self, record: AssignmentRecord) -> None:
        """Plan once per interval and begin the moves that are due."""
        now_s = self._clock.monotonic_s()
        if self._planned_s is None or now_s - self._planned_s > 2 * PLAN_INTERVAL_S:
            # The controller is new or was interrupted, so it measures anew how long a
            # shortage or a surplus lasts.
            self._planned_s, self._trends = now_s, {}
            return
        if now_s - self._planned_s < PLAN_INTERVAL_S:
            return
        step_s, self._planned_s = now_s - self._planned_s, now_s
        config, demand = self._read_config(), self._read_demand()
        buffers = [name for name, pool in config.pools.items() if pool.spare]
        if not buffers:
            return
        loads = self._loads(record, config, demand, step_s)
        spare = sum(len(_serving(record, name)) for name in buffers)
        self.plan = plan_capacity(loads, spare, 1, MOVE_TIME_S, config.weigh_first)
        for load in loads:
            change = self.plan.changes.get(load.pool, 0)
            trend = self._trends[load.pool]
            trend.observe_change(change, step_s)
            if change > 0 and trend.meter.shortage_s >= MOVE_TIME_S:
                self._begin_move(record, buffers, load.pool)
            elif change < 0 and demand.complete and trend.surplus_s >= RELEASE_AFTER_S:
                self._begin_move(record, [load.pool], buffers[0])

    def _loads(
        self,
        record: AssignmentRecord,
        config: ConfigDocument,
        demand: ZoneDemand,
        step_s: float,
    ) -> list[PoolLoad]:
        loads = []
        for name, pool in config.pools.items():
            vms = len(_serving(record, name))
            arriving = _arriving_count(record, name)
            if pool.spare or not vms + arriving:
                continue
            trend = self._trends.setdefault(name, PoolTrend())
            usable_slots = pool.slots_per_instance * TARGET_UTILIZATION
            trend.meter.observe(demand.slots.get(name, 0.0) / usable_slots, step_s)
            loads.append(
                PoolLoad(
                    pool=name,
                    rate_vms=trend.meter.rate,
                    burst_vms=trend.meter.peak,
                    burst_s=trend.meter.burst_s,
                    backlog_vm_s=0.0,
                    target_s=_target_s(config, name),
                    vms=vms,
                    arriving=arriving,
                    shortage_s=trend.meter.shortage_s,
                )
            )
        return loads

    def _begin_move(
        self, record: AssignmentRecord, sources: list[PoolName], pool: PoolName
    ) -> None:
        racks = Counter(a.rack for a in _serving(record, pool))
        candidates = [a for name in sources for a in _serving(record, name)]
        source_racks = Counter(a.rack for a in candidates)
        # Take a VM from the rack in which the pool has the fewest VMs; among these,
        # from the one with the most candidates. Both pools stay spread over racks.
        best = min(
            candidates,
            key=lambda a: (racks[a.rack], -source_racks[a.rack], a.vm),
            default=None,
        )
        if best is None:
            return
        reason = self.plan.reasons.get(pool) or self.plan.reasons.get(best.pool, "")
        self._mover.move(record, best.vm, pool, reason or "demand changed")


def _serving(record: AssignmentRecord, pool: PoolName) -> tuple[Assignment, ...]:
    return record.serving(pool, VmKind.UPSTREAM)


def _arriving_count(record: AssignmentRecord, pool: PoolName) -> int:
    return sum(
        1
        for a in record.assignments.values()
        if a.next_pool == pool
        and a.kind is VmKind.UPSTREAM
        and a.state is not AssignmentState.SERVING
    )


def _target_s(config: ConfigDocument, pool: PoolName) -> float:
    targets_ms = [
        c.target_ms
        for c in config.classes.values()
        if c.pool == pool and c.kind is WorkKind.REQUEST
    ]
    return min(targets_ms, default=1_000) / 1000
