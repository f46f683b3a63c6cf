"""Build the sections of an entry's status from the models of other packages."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import asdict

from jayshunt.config.models import ConfigSnapshot, WorkKind
from jayshunt.ids import Epoch, JobId, ZoneName
from jayshunt.inventory.models import VmList
from jayshunt.jobs.models import Job, JobState
from jayshunt.maintenance.models import WaveStatus
from jayshunt.pools.models import AssignmentRecord, AssignmentState


def pool_rows(config: ConfigSnapshot, record: AssignmentRecord) -> list[dict]:
    """Return one row per pool of this entry's zone with its VMs by kind and state."""
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


def wave_rows(zone: ZoneName, epoch: Epoch, waves: Iterable[WaveStatus]) -> list[dict]:
    """Return one row per wave of the zone, as known to its controller."""
    return [
        {**asdict(wave), "state": wave.state.value, "zone": zone, "epoch": epoch}
        for wave in waves
    ]


def job_class_rows(
    config: ConfigSnapshot,
    zone: ZoneName,
    epoch: Epoch,
    jobs: Iterable[Job],
    waiting_reasons: Mapping[JobId, str],
    now_s: float,
) -> list[dict]:
    """Return one row per job class with its waiting jobs; empty if `epoch` is 0.

    Only the zone's controller has an epoch above 0 and knows the jobs.
    """
    if not epoch:
        return []
    waiting: dict[str, list[Job]] = defaultdict(list)
    running: Counter[str] = Counter()
    for job in jobs:
        if job.state is JobState.WAITING:
            waiting[job.request.work_class].append(job)
        elif job.is_on_worker:
            running[job.request.work_class] += 1
    rows = []
    for name, work_class in sorted(config.document.classes.items()):
        if work_class.kind is not WorkKind.JOB:
            continue
        oldest_s = max((now_s - j.accepted_s for j in waiting[name]), default=0.0)
        is_met = oldest_s <= work_class.max_wait_s
        reason_counts = Counter(
            waiting_reasons.get(j.job, "not looked at") for j in waiting[name]
        )
        rows.append(
            {
                "work_class": name,
                "zone": zone,
                "epoch": epoch,
                "max_wait_s": work_class.max_wait_s,
                "oldest_wait_s": round(oldest_s, 1),
                "waiting": len(waiting[name]),
                "running": running[name],
                "is_met": is_met,
                "reasons": dict(reason_counts.most_common(3)),
            }
        )
    return rows


def vm_counts(record: AssignmentRecord) -> dict[str, float]:
    """Return the number of the zone's VMs in each state."""
    counts = Counter(a.state.value for a in record.assignments.values())
    return {state.value: float(counts[state.value]) for state in AssignmentState}


def buffer_cores(
    config: ConfigSnapshot, record: AssignmentRecord, listed: VmList
) -> float:
    """Return the number of cores of the zone's serving VMs in spare pools."""
    spare = {name for name, pool in config.document.pools.items() if pool.spare}
    return sum(
        listed.vms[vm].cpu_cores
        for vm, assignment in record.assignments.items()
        if assignment.pool in spare
        and assignment.state is AssignmentState.SERVING
        and vm in listed.vms
    )
