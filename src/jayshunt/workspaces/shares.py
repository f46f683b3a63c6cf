"""Order jobs by the shares of their workspaces in a pool; no network or clock.

The expected load: a workspace submits several times its usual load for some seconds to
a pool that is short, where the jobs of all workspaces have similar deadlines.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from jayshunt.dispatch.free_capacity import CandidateWorker
from jayshunt.dispatch.models import Resources, Workspace
from jayshunt.dispatch.tasks import Job
from jayshunt.ids import JobId, PoolName, WorkspaceName
from jayshunt.workspaces.usage import NOTHING, multiply


@dataclass
class PoolShares:
    """Track, in one placement round, what each workspace uses of a pool that is short.

    `entitled` are the fractions of `capacity` to which the workspaces are entitled that
    run or wait there, and `used` what they use, with the jobs placed before. `needs` is
    what the ready tasks of each job reserve.
    """

    capacity: Resources
    entitled: dict[WorkspaceName, float]
    used: dict[WorkspaceName, Resources]
    needs: dict[JobId, Resources]

    def fraction(self, workspace: WorkspaceName) -> float:
        """Return the fraction that a workspace uses of the resource it uses most of."""
        used, capacity = self.used.get(workspace, NOTHING), self.capacity
        return max(
            used.cpu_millicores / (capacity.cpu_millicores or 1),
            used.memory_mb / (capacity.memory_mb or 1),
            used.gpus / (capacity.gpus or 1),
        )

    def take(self, job: Job) -> bool:
        """Add a job if its workspace is below its share; return whether it is."""
        workspace = job.spec.workspace
        if self.fraction(workspace) >= self.entitled.get(workspace, 0.0):
            return False
        need = self.needs.get(job.spec.job, NOTHING)
        self.used[workspace] = self.used.get(workspace, NOTHING) + need
        return True


def ready_need(job: Job) -> Resources:
    """Return what the ready tasks of a job reserve.

    The list of them is up to date if the round has just selected the jobs with ready
    tasks, and is not computed again.
    """
    ready = job.ready_tasks() if job.ready_cache is None else job.ready_cache
    if ready and ready[0].spec is ready[-1].spec:
        return multiply(ready[0].spec.reserved, len(ready))
    return sum((task.spec.reserved for task in ready), NOTHING)


def find_short_pools(
    jobs: Iterable[Job],
    candidates: Mapping[PoolName, list[CandidateWorker]],
    reserved: Mapping[tuple[PoolName, WorkspaceName | None], Resources],
    workspaces: Iterable[Workspace],
) -> dict[PoolName, PoolShares]:
    """Return the shares in the pools whose waiting tasks exceed what is free there.

    `reserved` is what runs reserve by pool and workspace. Jobs without a workspace, or
    of one that is not configured, count as one workspace of average weight.
    """
    weights = {workspace.workspace: workspace.weight for workspace in workspaces}
    average = sum(weights.values()) / len(weights) if weights else 1.0
    waiting: dict[PoolName, Resources] = {}
    present: dict[PoolName, set[WorkspaceName]] = {}
    needs: dict[JobId, Resources] = {}
    for job in jobs:
        pool = job.config.pool
        need = needs[job.spec.job] = ready_need(job)
        waiting[pool] = waiting.get(pool, NOTHING) + need
        present.setdefault(pool, set()).add(job.spec.workspace)
    short: dict[PoolName, PoolShares] = {}
    for pool, need in waiting.items():
        workers = candidates.get(pool, [])
        free = sum((candidate.free for candidate in workers), NOTHING)
        if not workers or free.can_fit(need):
            continue
        used = {w: r for (p, w), r in reserved.items() if p == pool and w is not None}
        active = present[pool] | used.keys()
        total = sum(weights.get(name, average) for name in active) or 1.0
        entitled = {name: weights.get(name, average) / total for name in active}
        capacity = sum((worker.worker.capacity for worker in workers), NOTHING)
        short[pool] = PoolShares(capacity, entitled, used, needs)
    return short


def order_by_share(
    jobs: list[Job], short: Mapping[PoolName, PoolShares], now_s: float
) -> list[Job]:
    """Return jobs with those first whose workspace is below its share of a short pool.

    Long-running jobs stay in front. Jobs that can no longer be in time come after those
    that can, whose room they would take, and jobs beyond their workspace's rate after
    all others. Within each group the order is kept.
    """
    front: list[Job] = []
    below: list[Job] = []
    others: list[Job] = []
    late: list[Job] = []
    excess: list[Job] = []
    for job in jobs:
        shares = short.get(job.config.pool)
        if job.spec.is_long_running:
            front.append(job)
        elif job.is_excess:
            excess.append(job)
        elif (
            shares is not None
            and now_s + job.remaining_critical_path_s > job.deadline_s
        ):
            late.append(job)
        elif shares is None or shares.take(job):
            below.append(job)
        else:
            others.append(job)
    return front + below + others + late + excess
