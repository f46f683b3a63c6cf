"""Choose workers for waiting tasks; pure functions without network or clock.

The expected load: queues take turns to burst for some seconds at several times their
mean, beyond the capacity of their pool, with very different numbers of tasks per job.
"""

import math
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
from jayshunt.dispatch.placement_policy import PlacementPolicy
from jayshunt.dispatch.tasks import FULL_PROBATION, Job, Task, TaskPhase
from jayshunt.ids import PoolName, RackName, WorkerId

# A job that has taken this many times its objective has almost no value left and is
# placed last.
FAR_OVERDUE_FACTOR = 3.0
# A suspect of a crash waits this long for a worker without other suspects.
ISOLATION_WAIT_S = 1.5


@dataclass(frozen=True, slots=True)
class Placement:
    """Represent the assignment of a task to a worker."""

    task: Task
    worker: WorkerId


def prioritize_jobs(jobs: Iterable[Job], now_s: float) -> list[Job]:
    """Return the jobs in the order in which they are placed.

    Long-running jobs come first, because every second that they do not run counts as
    unavailability. Jobs that can still meet their objective follow, by priority and
    deadline, then late jobs, and last jobs that are far past their objective. Under
    overload, an order by deadline alone would make every job late.
    """
    return sorted(jobs, key=lambda job: _rank(job, now_s))


def _rank(job: Job, now_s: float) -> tuple:
    objective_s = job.deadline_s - job.accepted_s
    far_overdue = now_s > job.accepted_s + FAR_OVERDUE_FACTOR * objective_s
    late = now_s + job.remaining_critical_path_s > job.deadline_s
    return (
        not job.spec.is_long_running,
        far_overdue,
        late,
        job.config.priority,
        job.deadline_s,
        job.spec.job,
    )


DEFAULT_POLICY = PlacementPolicy(prioritize_jobs)


def plan_placements(
    jobs: Iterable[Job],
    candidates: dict[PoolName, list[CandidateWorker]],
    now_s: float,
    may_start=None,
    only_step: StepKey | None = None,
    policy: PlacementPolicy = DEFAULT_POLICY,
) -> list[Placement]:
    """Return the placements to start now and reserve them on the candidates.

    `may_start` returns False for a job that may still have unknown runs from an
    earlier term; it is not placed. With `only_step`, tasks of other steps are left out.
    """
    placements: list[Placement] = []
    pools: dict[PoolName, CandidateIndex] = {}
    for job in policy.order(jobs, now_s):
        pool = job.config.pool
        if not candidates.get(pool) or (may_start is not None and not may_start(job)):
            continue
        if pool not in pools:
            pools[pool] = CandidateIndex(candidates[pool])
        placements += _place_job(job, pools[pool], only_step, now_s, policy)
    return placements


def _place_job(
    job: Job,
    pool: CandidateIndex,
    only_step: StepKey | None,
    now_s: float,
    policy: PlacementPolicy,
) -> list[Placement]:
    placements: list[Placement] = []
    skipped_steps: set[StepKey] = set()
    free_runs = _free_runs(job, policy)
    if free_runs <= 0 and not any(step.is_gang for step in job.spec.steps):
        return placements
    for task in job.ready_tasks():
        key = step_key(task)
        if task.inherited_start is not None:
            continue
        if key in skipped_steps or only_step not in (None, key):
            continue
        if task.spec.is_gang:
            skipped_steps.add(key)
            placements += _place_gang(job, task, pool, policy)
            continue
        if len(placements) >= free_runs or not policy.gate.may_start(job, [task]):
            skipped_steps.add(key)
            continue
        if task.is_suspect:
            candidate = _choose_for_suspect(job, task, pool, now_s, policy)
            if candidate is None:
                continue
        else:
            candidate = _choose_in_pool(job, task, pool, policy)
        if candidate is None:
            # The other tasks of the step need the same resources.
            skipped_steps.add(key)
            continue
        pool.reserve(candidate, task)
        policy.gate.record_start(job, task)
        placements.append(Placement(task, candidate.worker.worker))
    return placements


def _free_runs(job: Job, policy: PlacementPolicy) -> float:
    """Return how many more runs a job may have at once."""
    if sum(map(len, job.steps.values())) <= policy.max_runs_per_job:
        return math.inf
    return policy.max_runs_per_job - job.count_placed()


def _choose_for_suspect(
    job: Job,
    task: Task,
    pool: CandidateIndex,
    now_s: float,
    policy: PlacementPolicy,
) -> CandidateWorker | None:
    """Return the worker on which a crash would cost least, None if there is none.

    Suspects are started apart from each other, unless one has waited for that for
    ISOLATION_WAIT_S.
    """
    if now_s - task.waiting_since_s <= ISOLATION_WAIT_S:
        if not pool.may_try_suspect():
            return None
        return _choose_candidate(job, task, pool.candidates, policy)
    shared_weight = FULL_PROBATION - task.probation_weight
    return _choose_candidate(job, task, pool.candidates, policy, shared_weight)


def _choose_in_pool(
    job: Job, task: Task, pool: CandidateIndex, policy: PlacementPolicy
) -> CandidateWorker | None:
    """Return the best candidate for a task, None if the task fits on none.

    For a task that is not long-running and has no preferred rack, this is the
    preferred candidate with the least free processors on which it fits and has not
    failed. If there is none, and for all other tasks, all candidates are compared.
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
    best = _choose_candidate(job, task, pool.candidates, policy)
    if best is None:
        pool.record_no_fit(step)
    return best


def _place_gang(
    job: Job, first: Task, pool: CandidateIndex, policy: PlacementPolicy
) -> list[Placement]:
    """Place all tasks of a gang or none, on a single rack if possible."""
    tasks = job.steps[first.key.occurrence, first.key.step]
    if any(
        task.phase is not TaskPhase.WAITING or task.inherited_start is not None
        for task in tasks
    ):
        return []
    if not policy.gate.may_start(job, tasks):
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
        placements = _try_gang(job, tasks, choice, policy)
        if placements:
            pool.rebuild()
            for task in tasks:
                policy.gate.record_start(job, task)
            return placements
    return []


def _try_gang(
    job: Job,
    tasks: list[Task],
    candidates: list[CandidateWorker],
    policy: PlacementPolicy,
) -> list[Placement]:
    taken: list[tuple[CandidateWorker, Task]] = []
    for task in tasks:
        candidate = _choose_candidate(job, task, candidates, policy)
        if candidate is None:
            for used, member in taken:
                used.release(member)
            return []
        candidate.reserve(task)
        taken.append((candidate, task))
    return [Placement(task, candidate.worker.worker) for candidate, task in taken]


def _choose_candidate(
    job: Job,
    task: Task,
    candidates: list[CandidateWorker],
    policy: PlacementPolicy = DEFAULT_POLICY,
    max_probation_weight: int = 0,
) -> CandidateWorker | None:
    key = step_key(task)
    step = task.spec
    is_last_chance = (
        not step.is_long_running and task.failures + 1 >= job.config.max_failures
    ) and task.failures > 0
    best: CandidateWorker | None = None
    best_cost: tuple | None = None
    for candidate in candidates:
        if not fits(step, candidate, key, max_probation_weight):
            continue
        cost = _cost(task, step, candidate, is_last_chance, policy)
        if task.is_suspect:
            cost = (*_crash_cost(candidate), *cost)
        if best_cost is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best


def _cost(
    task: Task,
    step: StepSpec,
    candidate: CandidateWorker,
    is_last_chance: bool,
    policy: PlacementPolicy,
) -> tuple:
    """Return the sort key of a worker for a step; the lowest is best.

    The most important criterion comes first.
    """
    left = candidate.free.cpu_millicores - step.reserved.cpu_millicores
    if step.is_long_running:
        # Pack long-running tasks onto few VMs, so that the other VMs can be moved.
        return (
            candidate.worker.worker in task.failed_on[-3:],
            candidate.leaves_soon,
            candidate.is_slow,
            policy.neighbor_cost(step, candidate),
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


def _crash_cost(candidate: CandidateWorker) -> tuple:
    """Return what a crash of the worker would cost; the lowest is best.

    Beside other recent starts, the crash would not tell which of them caused it.
    """
    return (
        candidate.probation_weight,
        candidate.recent_starts > 0,
        candidate.load.long_running,
        candidate.load.reserved.cpu_millicores,
    )
