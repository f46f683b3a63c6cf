"""Measure the size of documents and the time of job planning.

The numbers of items are those of the fleet size expected in two years.
"""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from jayshunt.config.content import build_content, pack
from jayshunt.idempotency.models import Claim, ClaimState, Holder, claim_content
from jayshunt.ids import EntryId, Epoch, JobId, RequestId, VmId, WorkerId, ZoneName
from jayshunt.jobs.models import Job, JobRequest, JobState, job_content
from jayshunt.jobs.packing import WaitingJob, WorkerCapacity, plan_placements
from jayshunt.jobs.sizes import Size
from jayshunt.maintenance.budget import budget_content
from jayshunt.maintenance.models import Budget, PoolMember, ZoneReport
from jayshunt.membership.models import Member
from jayshunt.membership.wire import member_to_message
from jayshunt.pools.models import (
    Assignment,
    AssignmentRecord,
    AssignmentState,
    VmKind,
)
from jayshunt.pools.record import record_content
from jayshunt_measure.figures import slope
from jayshunt_measure.rollout import full_document

NOW_S = 1_800_000_000.123
GIB = 2**30


@dataclass
class DocumentCost:
    """Hold the size of a document per item and at the two-year number of items."""

    document: str
    items: int
    bytes_per_item: float
    size_bytes: int


def measure_documents() -> list[DocumentCost]:
    """Return the size of each document, with slopes from three numbers of items."""
    return [
        _cost("zones/<zone>/assignments", 129, _record_bytes),
        _cost("jobs/<zone>/<shard>", 2_000, _jobs_bytes),
        _cost("budgets/<pool>", 48, _budget_bytes),
        _cost("claims/<shard>", 400, _claims_bytes),
        _cost("config/current (per team)", 260, _config_bytes),
        _cost("config for peers (per team)", 260, _packed_config_bytes),
        _cost("member in a complete exchange", 60, _members_bytes),
    ]


def measure_planning() -> dict[int, float]:
    """Return the time of one placement plan in ms by the number of workers."""
    return {workers: _plan_ms(workers) for workers in (27, 54, 107)}


def _cost(name: str, items: int, measure: Callable[[int], int]) -> DocumentCost:
    counts = [items // 4, items // 2, items]
    sizes = [measure(count) for count in counts]
    per_item = slope([float(c) for c in counts], [float(s) for s in sizes])
    return DocumentCost(name, items, round(per_item, 1), sizes[-1])


def _encoded_length(content: dict) -> int:
    return len(json.dumps(content, separators=(",", ":")))


def _record_bytes(count: int) -> int:
    vms = [VmId(f"worker-{number:04}") for number in range(count)]
    assignments = {
        vm: Assignment(
            vm=vm,
            pool=f"pool-{number % 41}",
            state=AssignmentState.SERVING,
            epoch=Epoch(1_000 + number),
            address=f"10.20.{number % 250}.17:8443",
            rack=f"rack-{number // 4}",
            kind=VmKind.WORKER,
            reason="listed by the platform",
            changed_s=NOW_S,
        )
        for number, vm in enumerate(vms)
    }
    return _encoded_length(
        record_content(AssignmentRecord(ZoneName("z01"), assignments=assignments))
    )


def _jobs_bytes(count: int) -> int:
    jobs = {}
    for number in range(count):
        job = Job(
            JobId(f"{number:032x}"),
            JobRequest(
                f"class-{number % 60}",
                f"team-{number % 260}",
                "rebuild --plan 2026-12",
                8.0,
                32 * GIB,
                2,
            ),
            JobState.PLACED,
            NOW_S,
            1,
            WorkerId(f"worker-{number % 107:04}"),
            "placed: most free accelerators left together",
            NOW_S,
            Epoch(7),
            "5f0c2a",
        )
        jobs[job.job] = job_content(job)
    return _encoded_length({"jobs": jobs})


def _budget_bytes(count: int) -> int:
    zone = ZoneName("z01")
    vms = [VmId(f"worker-{number:04}") for number in range(count)]
    members = {
        vm: PoolMember(vm, zone, f"rack-{number // 4}", "worker")
        for number, vm in enumerate(vms)
    }
    report = ZoneReport(zone, Epoch(3), NOW_S, members)
    return _encoded_length(budget_content(Budget(reports={report.zone: report})))


def _claims_bytes(count: int) -> int:
    claim = Claim(
        ClaimState.DONE,
        Holder(EntryId("north-1"), 1_800_000_000_000),
        RequestId("0" * 32),
        "0" * 32,
        "0" * 32,
        NOW_S,
    )
    return _encoded_length({f"{n:032x}": claim_content(claim) for n in range(count)})


def _config(teams: int) -> dict:
    document = full_document()
    names = list(document["teams"])[:teams]
    document["teams"] = {name: document["teams"][name] for name in names}
    return build_content(1_400, document, "operator", NOW_S)


def _config_bytes(count: int) -> int:
    return _encoded_length(_config(count))


def _packed_config_bytes(count: int) -> int:
    return len(pack(_config(count)))


def _members_bytes(count: int) -> int:
    return sum(
        member_to_message(
            Member(
                EntryId(f"north-{number:02}"),
                ZoneName("z01"),
                "10.20.30.40:7443",
                1_800_000_000_000,
                program_version="0.1.0",
                region="r1",
            )
        ).ByteSize()
        + 2
        for number in range(count)
    )


def _plan_ms(workers: int) -> float:
    capacity = [
        WorkerCapacity(
            WorkerId(f"w{n}"),
            f"pool-{n % 41}",
            Size(64.0, 256 * GIB, 2),
            Size(32.0, 128 * GIB, 1),
        )
        for n in range(workers)
    ]
    waiting = [
        WaitingJob(
            JobId(f"j{n}"),
            f"team-{n % 260}",
            f"pool-{n % 41}",
            Size(8.0, 32 * GIB, n % 3),
            NOW_S + n,
        )
        for n in range(workers * 10)
    ]
    started_s = time.perf_counter()
    plan_placements(waiting, capacity, {}, NOW_S)
    return round((time.perf_counter() - started_s) * 1000, 2)
