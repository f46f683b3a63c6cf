"""Decide which waiting job starts on which worker.

Planning is a pure function of immutable inputs, so that the scheduler, the tests
and the fleet measurement run the same code. One plan takes about
O(jobs x log(workers of a pool)).
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import JobId, PoolName, TeamName, WorkerId
from jayshunt.jobs.free_capacity import PoolCapacity
from jayshunt.jobs.sizes import Size

# Limit on the running jobs that one plan preempts. Without it a burst of urgent jobs
# could clear a pool before the first checkpoints have freed any capacity.
MAX_PREEMPTIONS = 64


class UnplacedCode(Enum):
    """Reason codes for a job that a plan does not place: it waits or cannot start."""

    NO_CAPACITY = "no_capacity"
    NO_WORKER = "no_worker"
    OVER_QUOTA = "over_quota"
    PREEMPTING = "preempting"
    LARGER_THAN_ANY_WORKER = "larger_than_any_worker"
    LARGER_THAN_QUOTA = "larger_than_quota"
    FAILED_ON_EVERY_WORKER = "failed_on_every_worker"


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job that waits for a worker.

    `size` is the expected size. `is_learned` is True if it was estimated from
    measured usage. Only a declared size can be too large for the job ever to start,
    because jobs of a learned size have already run. `start_by_s` is the latest
    desired start as wall time in seconds. `excluded` lists the workers on which the
    job failed.
    """

    job: JobId
    team: TeamName
    pool: PoolName
    size: Size
    start_by_s: float
    urgent: bool = False
    is_learned: bool = False
    excluded: frozenset[WorkerId] = frozenset()


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """Total and free capacity of a worker.

    A worker that is not schedulable gets no job, but a job that fits its total
    capacity waits instead of failing.
    """

    worker: WorkerId
    pool: PoolName
    total: Size
    free: Size
    is_schedulable: bool = True


@dataclass(frozen=True, slots=True)
class RunningJob:
    """A job on a worker.

    If `can_checkpoint`, it runs and may be checkpointed to free capacity for an
    urgent job.
    """

    job: JobId
    worker: WorkerId
    size: Size
    team: TeamName
    urgent: bool = False
    can_checkpoint: bool = True


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """The quota of a team and its current usage; a limit of None is unlimited."""

    used: Size
    cpu_cores: float | None = None
    memory_bytes: int | None = None
    accelerators: int | None = None

    def allows(self, used: Size, size: Size) -> bool:
        """Return whether usage stays within the quota after adding a size."""
        return (
            _within_limit(used.cpu_cores + size.cpu_cores, self.cpu_cores)
            and _within_limit(used.memory_bytes + size.memory_bytes, self.memory_bytes)
            and _within_limit(used.accelerators + size.accelerators, self.accelerators)
        )


@dataclass(frozen=True, slots=True)
class Placement:
    """Decision to start a job on a worker."""

    job: JobId
    worker: WorkerId
    reason: str


@dataclass(frozen=True, slots=True)
class UnplacedJob:
    """A job that the plan did not place, with the reason."""

    job: JobId
    code: UnplacedCode
    reason: str


@dataclass(frozen=True, slots=True)
class Preemption:
    """Decision to checkpoint a running job so that an urgent job can start."""

    job: JobId
    worker: WorkerId
    urgent_job: JobId


@dataclass(frozen=True, slots=True)
class PackingPlan:
    """The decision on every waiting job; jobs in `impossible` can never start."""

    placements: tuple[Placement, ...] = ()
    waiting: tuple[UnplacedJob, ...] = ()
    impossible: tuple[UnplacedJob, ...] = ()
    preemptions: tuple[Preemption, ...] = ()


def plan_placements(
    jobs: Iterable[WaitingJob],
    workers: Iterable[WorkerCapacity],
    quotas: Mapping[TeamName, TeamQuota],
    now_s: float,
    running: Sequence[RunningJob] = (),
) -> PackingPlan:
    """Place waiting jobs, urgent ones first, then in the order of `start_by_s`.

    A team without an entry in `quotas` is not limited. If a job is past its
    `start_by_s` and fits on no worker, the large enough worker with the most free
    processors is reserved for it, so that small jobs cannot starve it. At most one
    worker per pool is reserved. An urgent job that does not fit preempts jobs of
    `running` that are not urgent.
    """
    return _Planner(workers, quotas, now_s, running).plan(jobs)


@dataclass
class _Planner:
    """Accumulate the decisions of one plan."""

    workers: Iterable[WorkerCapacity]
    quotas: Mapping[TeamName, TeamQuota]
    now_s: float
    running: Sequence[RunningJob]
    placements: list[Placement] = field(default_factory=list)
    waiting: list[UnplacedJob] = field(default_factory=list)
    impossible: list[UnplacedJob] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)

    def plan(self, jobs: Iterable[WaitingJob]) -> PackingPlan:
        """Decide on every job in scheduling order."""
        self._pools = _group_by_pool(self.workers)
        self._used = {team: quota.used for team, quota in self.quotas.items()}
        self._preemptible: dict[WorkerId, list[RunningJob]] | None = None
        ordered = sorted(jobs, key=lambda j: (not j.urgent, j.start_by_s, j.job))
        for job in ordered:
            self._plan_job(job)
        return PackingPlan(
            tuple(self.placements),
            tuple(self.waiting),
            tuple(self.impossible),
            tuple(self.preemptions),
        )

    def _plan_job(self, job: WaitingJob) -> None:
        pool = self._pools.get(job.pool)
        if pool is None:
            self._leave_waiting(
                job, UnplacedCode.NO_WORKER, f"pool {job.pool} has no worker"
            )
            return
        if not job.is_learned and not pool.could_fit(job.size):
            self._mark_impossible(
                job,
                UnplacedCode.LARGER_THAN_ANY_WORKER,
                f"{job.size} is larger than any worker of pool {job.pool}",
            )
            return
        if not self._within_quota(job):
            return
        worker = pool.allocate(job.size, job.excluded)
        if worker is not None:
            self._add_usage(job)
            self.placements.append(
                Placement(job.job, worker, _placement_reason(job, worker))
            )
            return
        if job.excluded and pool.all_excluded(job.excluded):
            self._mark_impossible(
                job,
                UnplacedCode.FAILED_ON_EVERY_WORKER,
                f"failed on every worker of pool {job.pool}",
            )
            return
        self._preempt_or_wait(job, pool)

    def _within_quota(self, job: WaitingJob) -> bool:
        quota = self.quotas.get(job.team)
        if quota is None or quota.allows(self._used[job.team], job.size):
            return True
        if not job.is_learned and not quota.allows(Size(), job.size):
            self._mark_impossible(
                job,
                UnplacedCode.LARGER_THAN_QUOTA,
                f"{job.size} is larger than the quota of team {job.team}",
            )
            return False
        self._leave_waiting(
            job,
            UnplacedCode.OVER_QUOTA,
            f"team {job.team} uses {self._used[job.team]} of its quota",
        )
        return False

    def _preempt_or_wait(self, job: WaitingJob, pool: PoolCapacity) -> None:
        if job.urgent and self._preempt(job, pool):
            return
        if job.start_by_s <= self.now_s:
            pool.reserve_worker_for(job.size, job.excluded)
        self._leave_waiting(
            job,
            UnplacedCode.NO_CAPACITY,
            f"no worker of pool {job.pool} has {job.size} free",
        )

    def _preempt(self, job: WaitingJob, pool: PoolCapacity) -> bool:
        remaining = MAX_PREEMPTIONS - len(self.preemptions)
        if not remaining:
            return False
        if self._preemptible is None:
            self._preemptible = _group_by_worker(self.running)
        chosen = pool.find_victims(job.size, job.excluded, self._preemptible)
        if chosen is None or len(chosen[1]) > remaining:
            return False
        worker, victims = chosen
        kept = [r for r in self._preemptible[worker] if r not in victims]
        self._preemptible[worker] = kept
        freed = sum((victim.size for victim in victims), Size())
        pool.apply_preemption(worker, freed, job.size)
        self._add_usage(job)
        self.preemptions.extend(Preemption(v.job, worker, job.job) for v in victims)
        names = ", ".join(victim.job for victim in victims)
        self._leave_waiting(
            job, UnplacedCode.PREEMPTING, f"{worker} checkpoints {names}"
        )
        return True

    def _add_usage(self, job: WaitingJob) -> None:
        if job.team in self._used:
            self._used[job.team] += job.size

    def _leave_waiting(self, job: WaitingJob, code: UnplacedCode, reason: str) -> None:
        self.waiting.append(UnplacedJob(job.job, code, reason))

    def _mark_impossible(
        self, job: WaitingJob, code: UnplacedCode, reason: str
    ) -> None:
        self.impossible.append(UnplacedJob(job.job, code, reason))


def _group_by_pool(workers: Iterable[WorkerCapacity]) -> dict[PoolName, PoolCapacity]:
    pools: dict[PoolName, PoolCapacity] = {}
    for worker in workers:
        pool = pools.setdefault(worker.pool, PoolCapacity())
        pool.add(worker.worker, worker.total, worker.free, worker.is_schedulable)
    return pools


def _group_by_worker(
    running: Iterable[RunningJob],
) -> dict[WorkerId, list[RunningJob]]:
    grouped: dict[WorkerId, list[RunningJob]] = {}
    for job in running:
        if job.can_checkpoint and not job.urgent:
            grouped.setdefault(job.worker, []).append(job)
    for jobs in grouped.values():
        jobs.sort(key=lambda job: job.size.cpu_cores, reverse=True)
    return grouped


def _within_limit(amount: float, limit: float | None) -> bool:
    return limit is None or amount <= limit


def _placement_reason(job: WaitingJob, worker: WorkerId) -> str:
    order = "urgent" if job.urgent else "earliest start"
    source = "learned" if job.is_learned else "declared"
    return f"{order}, {source} size {job.size} fits best on {worker}"
