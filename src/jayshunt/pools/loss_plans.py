"""Prepare the moves for the loss of each rack and zone; the code here does no I/O.

The plan for each loss starts from the assignment in force and changes as little
as possible, so the reaction to a loss is a lookup and few moves. Keeping the plans
for similar failures similar to each other follows "Cascade: Bounded-Time Recovery
Scheduling for Cyber-Physical Systems" (RTAS 2020).
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from jayshunt.ids import PoolName, RackName, VmId, ZoneName


@dataclass(frozen=True, slots=True)
class PlacedVm:
    """Describe a VM and where it is; `pool` is None for a VM of the buffer."""

    vm: VmId
    pool: PoolName | None
    zone: ZoneName
    rack: RackName


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """Identify VMs that fail together: a rack, or the zone if `rack` is None."""

    zone: ZoneName
    rack: RackName | None = None


@dataclass(frozen=True, slots=True)
class LossPlan:
    """List the moves after a loss.

    `uncovered` is the number of VMs that each pool still lacks.
    """

    moves: tuple[tuple[VmId, PoolName], ...]
    uncovered: Mapping[PoolName, int]


def prepare_loss_plans(
    placed: Iterable[PlacedVm], needs: Mapping[PoolName, int]
) -> dict[FailureDomain, LossPlan]:
    """Return a plan for the loss of each rack and each zone.

    `needs` gives the number of VMs that each pool must have.
    """
    vms = tuple(placed)
    by_domain: dict[FailureDomain, set[VmId]] = defaultdict(set)
    for vm in vms:
        by_domain[FailureDomain(vm.zone)].add(vm.vm)
        by_domain[FailureDomain(vm.zone, vm.rack)].add(vm.vm)
    by_pool: dict[PoolName | None, list[PlacedVm]] = defaultdict(list)
    for vm in vms:
        by_pool[vm.pool].append(vm)
    pool_of = {vm.vm: vm.pool for vm in vms}
    return {
        domain: _plan(by_pool, pool_of, lost, needs)
        for domain, lost in by_domain.items()
    }


def _plan(
    by_pool: Mapping[PoolName | None, list[PlacedVm]],
    pool_of: Mapping[VmId, PoolName | None],
    lost: set[VmId],
    needs: Mapping[PoolName, int],
) -> LossPlan:
    """Fill shortages from the buffer, then from the pools with the most surplus."""
    lost_by_pool = Counter(pool_of[vm] for vm in lost)
    surplus = {
        pool: len(by_pool.get(pool, ())) - lost_by_pool[pool] - need
        for pool, need in needs.items()
    }
    moves: list[tuple[VmId, PoolName]] = []
    uncovered: dict[PoolName, int] = {}
    taken: set[VmId] = set()

    def take(pool: PoolName | None) -> VmId | None:
        for vm in by_pool.get(pool, ()):
            if vm.vm not in lost and vm.vm not in taken:
                taken.add(vm.vm)
                return vm.vm
        return None

    short_pools = sorted(
        (p for p in surplus if surplus[p] < 0), key=lambda p: surplus[p]
    )
    for pool in short_pools:
        while surplus[pool] < 0:
            vm = take(None)
            if vm is None:
                donor = max(surplus, key=lambda name: surplus[name])
                vm = take(donor) if surplus[donor] > 0 else None
                if vm is not None:
                    surplus[donor] -= 1
            if vm is None:
                uncovered[pool] = -surplus[pool]
                break
            surplus[pool] += 1
            moves.append((vm, pool))
    return LossPlan(tuple(moves), uncovered)
