"""Compare plans that are prepared for losses with planning after a loss."""

import math
import time
from collections import Counter
from dataclasses import dataclass

from jayshunt.ids import PoolName, RackName, VmId, ZoneName
from jayshunt.pools.loss_plans import FailureDomain, PlacedVm, prepare_loss_plans
from jayshunt_measure.fleet_script import Script

# A pool needs this fraction of its VMs; the others are surplus or buffer.
NEED_RATIO = 0.85
# Every tenth VM is in the buffer.
BUFFER_EVERY = 10


@dataclass(frozen=True)
class LossResult:
    """Hold the moves, summed over the losses of all domains, and reaction times.

    The fields with `scratch` are those of moves planned anew after the loss.
    """

    prepare_ms: float
    moves: int
    moves_scratch: int
    reaction_p99_ms: float
    reaction_scratch_p99_ms: float


def compare_loss_plans(script: Script) -> LossResult:
    """Simulate the loss of each rack and zone with both ways of planning."""
    placed = [
        PlacedVm(
            VmId(str(vm)),
            None if vm % BUFFER_EVERY == 0 else PoolName(f"pool-{pool}"),
            ZoneName(str(script.zone_of[vm])),
            RackName(str(script.rack_of[vm])),
        )
        for vm, pool in enumerate(script.pool_of)
    ]
    counts = Counter(vm.pool for vm in placed if vm.pool)
    needs = {pool: math.ceil(NEED_RATIO * count) for pool, count in counts.items()}
    started_s = time.perf_counter()
    plans = prepare_loss_plans(placed, needs)
    prepare_ms = (time.perf_counter() - started_s) * 1000
    moves = moves_scratch = 0
    lookup_times_ms, scratch_times_ms = [], []
    for domain in plans:
        started_s = time.perf_counter()
        plan = plans[domain]
        lookup_times_ms.append((time.perf_counter() - started_s) * 1000)
        moves += len(plan.moves)
        started_s = time.perf_counter()
        moves_scratch += _count_scratch_moves(placed, domain, needs)
        scratch_times_ms.append((time.perf_counter() - started_s) * 1000)
    return LossResult(
        prepare_ms, moves, moves_scratch, _p99(lookup_times_ms), _p99(scratch_times_ms)
    )


def _count_scratch_moves(
    placed: list[PlacedVm], domain: FailureDomain, needs: dict[PoolName, int]
) -> int:
    """Distribute the surviving VMs by need and return the number of moves."""
    survivors = [
        vm
        for vm in placed
        if vm.zone != domain.zone or (domain.rack and vm.rack != domain.rack)
    ]
    total = sum(needs.values())
    exact = {pool: len(survivors) * need / total for pool, need in needs.items()}
    targets = {pool: math.floor(share) for pool, share in exact.items()}
    unassigned = len(survivors) - sum(targets.values())
    for pool in sorted(exact, key=lambda p: targets[p] - exact[p])[:unassigned]:
        targets[pool] += 1
    current = Counter(vm.pool for vm in survivors if vm.pool)
    return sum(max(0, count - current[pool]) for pool, count in targets.items())


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))]
