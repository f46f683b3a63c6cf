"""Decide which waiting job starts on which worker.

The decision is a pure function over frozen data, so that the scheduler, tests and
the fleet measurement drive the same code. One plan costs about
O(jobs x log(workers of a pool)).
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import JobId, PoolName, TeamName, WorkerId
from jayshunt.jobs.free_capacity import PoolCapacity
from jayshunt.jobs.sizes import Size

# One plan preempts at most this many running jobs, so that a burst of urgent work
# does not empty a pool before the first checkpoints show their effect.
MAX_PREEMPTIONS = 64


class WaitCode(Enum):
    """Say why a job waits, or why it can never start."""

    NO_CAPACITY = "no_capacity"
    NO_WORKER = "no_worker"
    OVER_QUOTA = "over_quota"
    PREEMPTING = "preempting"
    LARGER_THAN_ANY_WORKER = "larger_than_any_worker"
    LARGER_THAN_QUOTA = "larger_than_quota"
    FAILED_ON_EVERY_WORKER = "failed_on_every_worker"


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """Describe a job that waits; `start_by_s` is a wall time in seconds.

    `size` is the expected size. `is_learned` says that it comes from measured
    usage; only a declared size can make a job impossible, since a learned size was
    seen to run. `excluded` names workers on which the job already failed.
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
    """Describe a worker; one that takes no work still counts for what can fit."""

    worker: WorkerId
    pool: PoolName
    total: Size
    free: Size
    takes_work: bool = True


@dataclass(frozen=True, slots=True)
class RunningJob:
    """Describe a running job that could be checkpointed for an urgent one."""

    job: JobId
    worker: WorkerId
    size: Size
    team: TeamName
    urgent: bool = False
    can_checkpoint: bool = True


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """Hold what a team uses of its quota; a limit of None does not bind."""

    used: Size
    cpu_cores: float | None = None
    memory_bytes: int | None = None
    accelerators: int | None = None

    def allows(self, used: Size, size: Size) -> bool:
        """Return whether a size fits beside what is used."""
        return (
            _within(used.cpu_cores + size.cpu_cores, self.cpu_cores)
            and _within(used.memory_bytes + size.memory_bytes, self.memory_bytes)
            and _within(used.accelerators + size.accelerators, self.accelerators)
        )


@dataclass(frozen=True, slots=True)
class Placement:
    """Start a job on a worker."""

    job: JobId
    worker: WorkerId
    reason: str


@dataclass(frozen=True, slots=True)
class Waiting:
    """Leave a job waiting, or fail it if it can never start."""

    job: JobId
    code: WaitCode
    reason: str


@dataclass(frozen=True, slots=True)
class Preemption:
    """Checkpoint a running job so that an urgent one can start."""

    job: JobId
    worker: WorkerId
    urgent_job: JobId


@dataclass(frozen=True, slots=True)
class PackingPlan:
    """Hold the decision on every waiting job."""

    placements: tuple[Placement, ...] = ()
    waiting: tuple[Waiting, ...] = ()
    impossible: tuple[Waiting, ...] = ()
    preemptions: tuple[Preemption, ...] = ()


def plan_placements(
    jobs: Iterable[WaitingJob],
    workers: Iterable[WorkerCapacity],
    shares: Mapping[TeamName, TeamQuota],
    now_s: float,
    running: Sequence[RunningJob] = (),
) -> PackingPlan:
    """Place waiting jobs, urgent ones first, then by the time they must start.

    A team without a share has no limit. A job that is past `start_by_s` and does
    not fit keeps the worker with the most free capacity for itself, one worker
    a pool, so that small jobs do not delay a large one forever. An urgent job
    that does not fit preempts jobs of `running` that are not urgent.
    """
    return _Planner(workers, shares, now_s, running).plan(jobs)


@dataclass
class _Planner:
    """Collect the decisions of one plan."""

    workers: Iterable[WorkerCapacity]
    shares: Mapping[TeamName, TeamQuota]
    now_s: float
    running: Sequence[RunningJob]
    placements: list[Placement] = field(default_factory=list)
    waiting: list[Waiting] = field(default_factory=list)
    impossible: list[Waiting] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)

    def plan(self, jobs: Iterable[WaitingJob]) -> PackingPlan:
        """Decide on every job in order."""
        self._pools = _group_by_pool(self.workers)
        self._used = {team: share.used for team, share in self.shares.items()}
        self._preemptible: dict[WorkerId, list[RunningJob]] | None = None
        ordered = sorted(jobs, key=lambda j: (not j.urgent, j.start_by_s, j.job))
        for job in ordered:
            self._decide(job)
        return PackingPlan(
            tuple(self.placements),
            tuple(self.waiting),
            tuple(self.impossible),
            tuple(self.preemptions),
        )

    def _decide(self, job: WaitingJob) -> None:
        pool = self._pools.get(job.pool)
        if pool is None:
            self._wait(job, WaitCode.NO_WORKER, f"pool {job.pool} has no worker")
            return
        if not job.is_learned and not pool.could_hold(job.size):
            self._refuse(
                job,
                WaitCode.LARGER_THAN_ANY_WORKER,
                f"{job.size} is larger than any worker of pool {job.pool}",
            )
            return
        if not self._within_quota(job):
            return
        worker = pool.take(job.size, job.excluded)
        if worker is not None:
            self._charge(job)
            self.placements.append(Placement(job.job, worker, _reason(job, worker)))
            return
        if job.excluded and pool.all_excluded(job.excluded):
            self._refuse(
                job,
                WaitCode.FAILED_ON_EVERY_WORKER,
                f"failed on every worker of pool {job.pool}",
            )
            return
        self._wait_for_room(job, pool)

    def _within_quota(self, job: WaitingJob) -> bool:
        share = self.shares.get(job.team)
        if share is None or share.allows(self._used[job.team], job.size):
            return True
        if not job.is_learned and not share.allows(Size(), job.size):
            self._refuse(
                job,
                WaitCode.LARGER_THAN_QUOTA,
                f"{job.size} is larger than the quota of team {job.team}",
            )
            return False
        self._wait(
            job,
            WaitCode.OVER_QUOTA,
            f"team {job.team} uses {self._used[job.team]} of its quota",
        )
        return False

    def _wait_for_room(self, job: WaitingJob, pool: PoolCapacity) -> None:
        if job.urgent and self._preempt(job, pool):
            return
        if job.start_by_s <= self.now_s:
            pool.reserve_for(job.size, job.excluded)
        self._wait(
            job,
            WaitCode.NO_CAPACITY,
            f"no worker of pool {job.pool} has {job.size} free",
        )

    def _preempt(self, job: WaitingJob, pool: PoolCapacity) -> bool:
        left = MAX_PREEMPTIONS - len(self.preemptions)
        if not left:
            return False
        if self._preemptible is None:
            self._preemptible = _group_by_worker(self.running)
        chosen = pool.find_victims(job.size, job.excluded, self._preemptible)
        if chosen is None or len(chosen[1]) > left:
            return False
        worker, victims = chosen
        kept = [r for r in self._preemptible[worker] if r not in victims]
        self._preemptible[worker] = kept
        freed = sum((victim.size for victim in victims), Size())
        pool.exchange(worker, freed, job.size)
        self._charge(job)
        self.preemptions.extend(Preemption(v.job, worker, job.job) for v in victims)
        names = ", ".join(victim.job for victim in victims)
        self._wait(job, WaitCode.PREEMPTING, f"{worker} checkpoints {names}")
        return True

    def _charge(self, job: WaitingJob) -> None:
        if job.team in self._used:
            self._used[job.team] += job.size

    def _wait(self, job: WaitingJob, code: WaitCode, reason: str) -> None:
        self.waiting.append(Waiting(job.job, code, reason))

    def _refuse(self, job: WaitingJob, code: WaitCode, reason: str) -> None:
        self.impossible.append(Waiting(job.job, code, reason))


def _group_by_pool(workers: Iterable[WorkerCapacity]) -> dict[PoolName, PoolCapacity]:
    pools: dict[PoolName, PoolCapacity] = {}
    for worker in workers:
        pool = pools.setdefault(worker.pool, PoolCapacity())
        pool.add(worker.worker, worker.total, worker.free, worker.takes_work)
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


def _within(amount: float, limit: float | None) -> bool:
    return limit is None or amount <= limit


def _reason(job: WaitingJob, worker: WorkerId) -> str:
    order = "urgent" if job.urgent else "earliest start"
    source = "learned" if job.is_learned else "declared"
    return f"{order}, {source} size {job.size} fits best on {worker}"
