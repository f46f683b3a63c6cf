"""Decide which queues refuse jobs; pure functions without network or clock.

A job that would be far past its objective before it could start is refused at once,
with a time after which to retry. Its caller does not wait for a useless result, and
accepted jobs are not delayed further.
"""

import math
from collections.abc import Iterable

from jayshunt.dispatch.models import FleetConfig, Resources
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.ids import PoolName, QueueName, WorkspaceName
from jayshunt.workspaces.limits import limits_of, share_within

# A queue refuses jobs once their expected wait exceeds this. Objectives are about 2 s,
# and a job is worth almost nothing after three times its objective.
MAX_WAIT_S = 5.0
MAX_RETRY_AFTER_S = 10


def remaining_core_seconds(job: Job) -> float:
    """Return the estimated work of a job's waiting tasks in core seconds."""
    return sum(
        task.spec.estimate_ms / 1000 * task.spec.reserved.cpu_millicores / 1000
        for task in job.tasks()
        if task.phase is TaskPhase.WAITING
    )


def waiting_need(job: Job) -> Resources:
    """Return what all waiting tasks of a job would reserve at the same time."""
    waiting = (t.spec for t in job.tasks() if t.phase is TaskPhase.WAITING)
    return sum((step.reserved for step in waiting), Resources())


def expected_waits_s(
    config: FleetConfig,
    jobs: Iterable[Job],
    cores: dict[PoolName, float],
    now_s: float,
    fetchable_cores: float = 0.0,
) -> dict[PoolName, float]:
    """Return how long the waiting work of each pool takes its workers, in seconds.

    Jobs past their deadline do not count, as they are placed after those in time. The
    work of a workspace with a limit counts up to what it may use in `MAX_WAIT_S`: what
    waits longer for its limit leaves the room to others.
    """
    limits = limits_of(config)
    waiting: dict[PoolName, float] = {}
    limited: dict[tuple[WorkspaceName, PoolName], tuple[float, Resources]] = {}
    for job in jobs:
        if job.spec.is_long_running or now_s > job.deadline_s:
            continue
        pool, work = job.config.pool, remaining_core_seconds(job)
        if job.spec.workspace in limits:
            key = (job.spec.workspace, pool)
            before, need = limited.get(key, (0.0, Resources()))
            limited[key] = (before + work, need + waiting_need(job))
        else:
            waiting[pool] = waiting.get(pool, 0.0) + work
    for (workspace, pool), (work, need) in limited.items():
        usable_share = share_within(limits[workspace], need)
        usable_cores = need.cpu_millicores / 1000 * usable_share
        counted = min(work, usable_cores * MAX_WAIT_S) if usable_share < 1.0 else work
        waiting[pool] = waiting.get(pool, 0.0) + counted
    usable = {pool: cores.get(pool, 0.0) + fetchable_cores for pool in waiting}
    return {pool: waiting[pool] / usable[pool] for pool in waiting if usable[pool]}


def refusals(
    config: FleetConfig,
    jobs: Iterable[Job],
    cores: dict[PoolName, float],
    now_s: float,
    fetchable_cores: float = 0.0,
) -> dict[QueueName, float]:
    """Return the queues of overloaded pools, with the seconds after which to retry.

    `cores` are those of the workers in each pool. `fetchable_cores` can be added to
    any pool within the time of a move, which is short compared with `MAX_WAIT_S`.
    """
    waits_s = expected_waits_s(config, jobs, cores, now_s, fetchable_cores)
    refused: dict[QueueName, float] = {}
    for queue in config.queues:
        wait_s = waits_s.get(queue.pool, 0.0)
        if wait_s > MAX_WAIT_S:
            refused[queue.queue] = float(
                min(MAX_RETRY_AFTER_S, math.ceil(wait_s - MAX_WAIT_S + 1))
            )
    return refused
