"""Decide how many VMs with a required label each pool needs; pure functions.

The expected load: few jobs require a label, and a pool has VMs of few kinds. The total
need of a pool does not tell whether the VMs that it keeps have the labels.
"""

import math
from collections.abc import Callable, Container, Iterable

from jayshunt.dispatch.models import StepSpec
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.dispatch.vms import Vm
from jayshunt.ids import PoolName, VmId

PoolLabel = tuple[PoolName, str]


def spread_vms(step: StepSpec) -> int:
    """Return how many VMs a long-running step needs because of `max_per_worker`."""
    if not step.is_long_running or not step.max_per_worker:
        return 0
    return math.ceil(step.task_count / step.max_per_worker)


def label_needs(
    jobs: Iterable[Job],
    waiting_fraction: float,
    vm_millicores: Callable[[PoolName], float],
) -> dict[PoolLabel, int]:
    """Return how many VMs with a label each pool needs for the steps that require it.

    A step that is not done needs one even before its turn, as a move may take longer
    than the steps before it. Of the waiting tasks, a fraction is counted.
    `vm_millicores` returns how much of a VM of a pool can be filled.
    """
    least: dict[PoolLabel, int] = {}
    millicores: dict[PoolLabel, float] = {}
    for job in jobs:
        if job.state.is_final:
            continue
        for (occurrence, number), tasks in job.steps.items():
            step = job.spec.steps[number]
            if not step.required_label or job.is_step_done(occurrence, number):
                continue
            key = (job.config.pool, step.required_label)
            least[key] = max(least.get(key, 1), spread_vms(step))
            if job.is_step_ready(occurrence, number):
                waiting = sum(task.phase is TaskPhase.WAITING for task in tasks)
                placed = len(tasks) - job.done_counts[occurrence, number] - waiting
                counted = placed + waiting_fraction * waiting
                used = counted * step.reserved.cpu_millicores
                millicores[key] = millicores.get(key, 0.0) + used
    return {
        key: max(count, math.ceil(millicores.get(key, 0.0) / vm_millicores(key[0])))
        for key, count in least.items()
    }


def match_labels(
    needs: dict[PoolLabel, int],
    present: dict[PoolName, list[Vm]],
    is_idle: Container[VmId],
    has_label: Callable[[Vm, str], bool],
) -> tuple[set[VmId], dict[PoolLabel, int]]:
    """Return the idle VMs that their pools keep for a label, and how many are missing.

    `present` are the VMs that serve a pool or are about to.
    """
    kept: set[VmId] = set()
    missing: dict[PoolLabel, int] = {}
    for (pool, label), needed in needs.items():
        having = [vm.vm for vm in present.get(pool, ()) if has_label(vm, label)]
        idle = [vm for vm in having if vm in is_idle]
        kept.update(idle[: max(0, needed - len(having) + len(idle))])
        missing[pool, label] = max(0, needed - len(having))
    return kept, missing
