"""Decide which queues refuse jobs; pure functions without network or clock.

A job that would be far past its objective before it could start is refused at once,
with a time after which to retry. Its caller does not wait for a useless result, and
accepted jobs are not delayed further.
"""

import math
from collections.abc import Iterable

from jayshunt.dispatch.models import FleetConfig
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.ids import PoolName, QueueName

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


def refusals(
    config: FleetConfig,
    jobs: Iterable[Job],
    cores: dict[PoolName, float],
    now_s: float,
    fetchable_cores: float = 0.0,
) -> dict[QueueName, float]:
    """Return the queues of overloaded pools, with the seconds after which to retry."""
    waits = expected_waits(config, jobs, cores, now_s, fetchable_cores)
    return {
        queue: float(min(MAX_RETRY_AFTER_S, math.ceil(wait_s - MAX_WAIT_S + 1)))
        for queue, wait_s in waits.items()
        if wait_s > MAX_WAIT_S
    }


def expected_waits(
    config: FleetConfig,
    jobs: Iterable[Job],
    cores: dict[PoolName, float],
    now_s: float,
    fetchable_cores: float = 0.0,
) -> dict[QueueName, float]:
    """Return the seconds that the waiting work of each queue's pool takes.

    `cores` are those of the workers in each pool. `fetchable_cores` can be added to
    any pool within the time of a move, which is short compared with `MAX_WAIT_S`.
    Jobs past their deadline do not count, as they are placed after those in time.
    """
    waiting: dict[PoolName, float] = {}
    for job in jobs:
        if job.spec.is_long_running or now_s > job.deadline_s:
            continue
        pool = job.config.pool
        waiting[pool] = waiting.get(pool, 0.0) + remaining_core_seconds(job)
    waits: dict[QueueName, float] = {}
    for queue in config.queues:
        usable = cores.get(queue.pool, 0.0) + fetchable_cores
        waits[queue.queue] = waiting.get(queue.pool, 0.0) / usable if usable else 0.0
    return waits
