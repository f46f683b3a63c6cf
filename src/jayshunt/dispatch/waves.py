"""Choose the VMs of a wave to empty next, without network or clock."""

from collections import Counter
from collections.abc import Set

from jayshunt.dispatch.evacuation import PlannedStops
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.vms import Vm, VmState, Wave
from jayshunt.ids import PoolName, VmId

# This many VMs are emptied before they may go down, as tasks take time to end.
EMPTIED_AHEAD = 1


def choose_next(
    wave: Wave,
    done: set[VmId],
    vms: dict[VmId, Vm],
    views: dict[VmId, WorkerView],
    being_emptied: set[VmId],
    spare_pools: set[PoolName],
    blocked: Set[VmId] = frozenset(),
    stops: PlannedStops | None = None,
) -> list[VmId]:
    """Return the VMs to empty now, those with the fewest tasks to lose first.

    VMs in `blocked` may not be ordered yet and would be idle if emptied now. One whose
    worker does not answer can't be emptied, and takes no other VM's turn. Nothing is
    started on a VM that is being emptied, so at most half of a pool's VMs are, though
    at least one, and none whose runs may not be stopped beside `stops`.
    """
    in_progress = sum(
        1
        for vm in wave.vms
        if (vm in being_emptied and not _is_silent(views.get(vm)))
        or (vm in vms and vms[vm].state is VmState.UPKEEP)
    )
    free_slots = wave.max_down + EMPTIED_AHEAD - in_progress
    if free_slots <= 0:
        return []
    candidates = [
        vm
        for vm in wave.vms
        if vm in vms
        and vm not in done
        and vm not in blocked
        and vm not in being_emptied
        and vms[vm].state is VmState.UP
    ]
    candidates.sort(key=lambda vm: _disruption(vm, vms, views, spare_pools))
    serving = {
        vm
        for vm, known in vms.items()
        if known.state is VmState.UP
        and known.pool not in spare_pools
        and vm in views
        and not _is_silent(views[vm])
    }
    present = Counter(vms[vm].pool for vm in serving)
    emptied = Counter(vms[vm].pool for vm in serving & being_emptied)
    chosen: list[VmId] = []
    for vm in candidates:
        if len(chosen) == free_slots:
            break
        if vm in serving:
            pool = vms[vm].pool
            if emptied[pool] >= max(1, present[pool] // 2):
                continue
            if stops is not None:
                if not stops.may_empty(views[vm]):
                    continue
                stops.add(views[vm])
            emptied[pool] += 1
        chosen.append(vm)
    return chosen


def _is_silent(view: WorkerView | None) -> bool:
    return view is not None and view.is_failing


def _disruption(
    vm: VmId,
    vms: dict[VmId, Vm],
    views: dict[VmId, WorkerView],
    spare_pools: set[PoolName],
) -> tuple:
    view = views.get(vm)
    if vms[vm].pool in spare_pools or view is None:
        return (0, 0, 0, vm)
    long_running = sum(t.spec.is_long_running for t in view.tasks.values())
    return (1, long_running, len(view.tasks), vm)
