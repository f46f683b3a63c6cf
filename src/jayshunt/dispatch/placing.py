"""Choose workers for waiting tasks, without network or clock.

The load that it answers: each queue in turn asks several times its mean for some
seconds, more than its pool holds, with jobs of very different width.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from jayshunt.dispatch.free_capacity import (
    CandidateIndex,
    CandidateWorker,
    StepKey,
    fits,
    step_key,
)
from jayshunt.dispatch.models import StepSpec
from jayshunt.dispatch.tasks import Job, Task, TaskPhase
from jayshunt.ids import PoolName, RackName, WorkerId

# A job this much past its objective earns next to nothing: others come first.
FAR_OVERDUE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the worker chosen for a task."""

    task: Task
    worker: WorkerId


def prioritize_jobs(jobs: Iterable[Job], now_s: float) -> list[Job]:
    """Return jobs in the order in which they get room.

    Long-running jobs come first, as every second away counts for them. Then come
    jobs that can still meet their objective, by priority and deadline: with more
    work than room, an order by deadline alone would make every job late. Late
    ones follow, and last those that are far beyond their objective.
    """
    return sorted(jobs, key=lambda job: _rank(job, now_s))


def _rank(job: Job, now_s: float) -> tuple:
    objective_s = job.deadline_s - job.accepted_s
    far_overdue = now_s > job.accepted_s + FAR_OVERDUE_FACTOR * objective_s
    late = now_s + job.remaining_chain_s > job.deadline_s
    return (
        not job.spec.is_long_running,
        far_overdue,
        late,
        job.config.priority,
        job.deadline_s,
        job.spec.job,
    )


def plan_placements(
    jobs: Iterable[Job],
    candidates: dict[PoolName, list[CandidateWorker]],
    now_s: float,
    may_start=None,
) -> list[Placement]:
    """Return where waiting tasks start now; rooms are reduced accordingly.

    `may_start` can hold back a job whose runs of an earlier term are not known yet.
    """
    placements: list[Placement] = []
    pools: dict[PoolName, CandidateIndex] = {}
    for job in prioritize_jobs(jobs, now_s):
        pool = job.config.pool
        if not candidates.get(pool) or (may_start is not None and not may_start(job)):
            continue
        if pool not in pools:
            pools[pool] = CandidateIndex(candidates[pool])
        placements += _place_job(job, pools[pool])
    return placements


def _place_job(job: Job, pool: CandidateIndex) -> list[Placement]:
    placements: list[Placement] = []
    failed: set[StepKey] = set()
    for task in job.due_tasks():
        key = step_key(task)
        if key in failed:
            continue
        if task.spec.is_gang:
            failed.add(key)
            placements += _place_gang(job, task, pool)
            continue
        candidate = _choose_in_pool(job, task, pool)
        if candidate is None:
            # The other tasks of the step need as much.
            failed.add(key)
            continue
        pool.reserve(candidate, task)
        placements.append(Placement(task, candidate.worker.worker))
    return placements


def _choose_in_pool(
    job: Job, task: Task, pool: CandidateIndex
) -> CandidateWorker | None:
    """Return the worker for a task, None if no one has room.

    For a task without a preferred rack the fullest sound worker that has room is
    the best one; all workers are compared only where that does not decide.
    """
    step = task.spec
    if pool.cannot_fit(step):
        return None
    if not step.is_long_running and not step.data_rack:
        key = step_key(task)
        for candidate in pool.by_best_fit(step):
            if candidate.worker.worker not in task.failed_on and fits(
                step, candidate, key
            ):
                return candidate
        if not pool.has_unpreferred and not task.failed_on:
            pool.record_no_fit(step)
            return None
    best = _choose_candidate(job, task, pool.candidates)
    if best is None:
        pool.record_no_fit(step)
    return best


def _place_gang(job: Job, first: Task, pool: CandidateIndex) -> list[Placement]:
    """Place all tasks of a gang, on one rack if that is possible, or none."""
    tasks = job.steps[first.key.occurrence, first.key.step]
    if any(task.phase is not TaskPhase.WAITING for task in tasks):
        return []
    racks: dict[RackName, list[CandidateWorker]] = {}
    for candidate in pool.candidates:
        racks.setdefault(candidate.worker.rack, []).append(candidate)
    choices = sorted(
        racks.values(),
        key=lambda rack: (
            rack[0].worker.rack != first.spec.data_rack,
            -sum(candidate.free.cpu_millicores for candidate in rack),
        ),
    )
    for choice in [*choices, pool.candidates]:
        placements = _try_gang(job, tasks, choice)
        if placements:
            pool.build_index()
            return placements
    return []


def _try_gang(
    job: Job, tasks: list[Task], candidates: list[CandidateWorker]
) -> list[Placement]:
    taken: list[tuple[CandidateWorker, Task]] = []
    for task in tasks:
        candidate = _choose_candidate(job, task, candidates)
        if candidate is None:
            for used, member in taken:
                used.release(member)
            return []
        candidate.reserve(task)
        taken.append((candidate, task))
    return [Placement(task, candidate.worker.worker) for candidate, task in taken]


def _choose_candidate(
    job: Job, task: Task, candidates: list[CandidateWorker]
) -> CandidateWorker | None:
    key = step_key(task)
    step = task.spec
    is_last_chance = (
        not step.is_long_running and task.failures + 1 >= job.config.max_failures
    ) and task.failures > 0
    best: CandidateWorker | None = None
    best_cost: tuple | None = None
    for candidate in candidates:
        if not fits(step, candidate, key):
            continue
        cost = _cost(task, step, candidate, is_last_chance)
        if best_cost is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best


def _cost(
    task: Task, step: StepSpec, candidate: CandidateWorker, is_last_chance: bool
) -> tuple:
    """Return what speaks against a worker, the weightiest first."""
    left = candidate.free.cpu_millicores - step.reserved.cpu_millicores
    if step.is_long_running:
        # Long-running tasks share few VMs, so that the others can be moved.
        return (
            candidate.worker.worker in task.failed_on[-3:],
            candidate.leaves_soon,
            candidate.is_slow,
            _interference(step, candidate),
            -candidate.load.long_running,
            left,
        )
    return (
        candidate.worker.worker in task.failed_on,
        is_last_chance and not candidate.is_trusted,
        candidate.is_slow,
        bool(step.data_rack) and candidate.worker.rack != step.data_rack,
        not candidate.is_trusted,
        candidate.leaves_soon,
        left,
    )


def _interference(step: StepSpec, candidate: CandidateWorker) -> int:
    """Return how many tasks a long-running one would disturb or be disturbed by."""
    if step.fills:
        return candidate.load.serving
    if step.target_ms:
        return candidate.load.filling
    return 0
