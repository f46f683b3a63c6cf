"""Read the standard sections of an entry's status from other slices' models."""

from collections import Counter, defaultdict

from jayshunt.config.models import ConfigSnapshot
from jayshunt.inventory.models import VmList
from jayshunt.pools.models import AssignmentRecord, AssignmentState


def pool_rows(config: ConfigSnapshot, record: AssignmentRecord) -> list[dict]:
    """Return the VMs of each pool in this entry's zone by kind and state."""
    states: dict[str, Counter[str]] = defaultdict(Counter)
    reasons: dict[str, Counter[str]] = defaultdict(Counter)
    for assignment in record.assignments.values():
        state = assignment.state.value
        states[assignment.pool][f"{assignment.kind.value} {state}"] += 1
        if assignment.state is not AssignmentState.SERVING:
            reasons[assignment.pool][assignment.reason] += 1
    return [
        {
            "pool": name,
            "zone": record.zone,
            "epoch": record.epoch,
            "min_available_ratio": pool.min_available_ratio,
            "spare": pool.spare,
            "vms": dict(states[name]),
            "reasons": dict(reasons[name].most_common(3)),
        }
        for name, pool in sorted(config.document.pools.items())
    ]


def vm_counts(record: AssignmentRecord) -> dict[str, float]:
    """Return the number of the zone's VMs in each state."""
    counts = Counter(a.state.value for a in record.assignments.values())
    return {state.value: float(counts[state.value]) for state in AssignmentState}


def buffer_cores(
    config: ConfigSnapshot, record: AssignmentRecord, listed: VmList
) -> float:
    """Return the cores of the zone's serving VMs in spare pools."""
    spare = {name for name, pool in config.document.pools.items() if pool.spare}
    return sum(
        listed.vms[vm].cpu_cores
        for vm, assignment in record.assignments.items()
        if assignment.pool in spare
        and assignment.state is AssignmentState.SERVING
        and vm in listed.vms
    )
