"""Simulate a fleet's workers and pack jobs onto them with the product's planner."""

import heapq
import random
import time
from dataclasses import dataclass, field

from jayshunt.ids import JobId, PoolName, TeamName, WorkerId
from jayshunt.jobs.packing import (
    PackingPlan,
    RunningJob,
    TeamQuota,
    WaitingJob,
    WorkerCapacity,
    plan_placements,
)
from jayshunt.jobs.sizes import Size
from jayshunt_measure.fleet_script import FleetSize

PLAN_INTERVAL_S = 0.25
CHECKPOINT_S = 0.3
# Arrivals fill about four fifths of the cores: 0.02 jobs/s * 8.5 cores * 300 s.
ARRIVALS_PER_WORKER_S = 0.02
URGENT_RATIO = 0.02
REPEATABLE_RATIO = 0.8
WORKER_FAILURES = 3


@dataclass
class JobRun:
    """Represent one job; `starts` counts its runs from the beginning.

    `token` increases with each start and preemption, so that an outdated scheduled
    end is ignored.
    """

    job: JobId
    team: TeamName
    pool: PoolName
    size: Size
    remaining_s: float
    accepted_s: float
    urgent: bool
    repeatable: bool
    starts: int = 0
    state: str = "waiting"
    worker: WorkerId | None = None
    started_s: float = 0.0
    token: int = 0


@dataclass
class JobsResult:
    """Hold the number of jobs by result, and the wait and plan times."""

    jobs_lost: int = 0
    jobs_run_twice: int = 0
    unplaced_runnable_jobs: int = 0
    urgent_waits_ms: list[float] = field(default_factory=list)
    plan_ms: list[float] = field(default_factory=list)


class JobsRun:
    """Accept, place, checkpoint, fail and finish jobs in simulated time."""

    def __init__(
        self, size: FleetSize, teams: int, accelerators: int, seed: int
    ) -> None:
        """Create the workers and assign them to pools."""
        self.rng = random.Random(seed)
        self.size, self.teams = size, teams
        total = size.pools * size.workers_per_pool
        memory = size.memory_gib * 2**30
        self.total = {
            WorkerId(f"w{n}"): Size(
                64.0, memory, accelerators // total + (n < accelerators % total)
            )
            for n in range(total)
        }
        self.pool_of = {
            worker: PoolName(f"pool-{n % size.pools}")
            for n, worker in enumerate(self.total)
        }
        self.free = dict(self.total)
        self.lost: set[WorkerId] = set()
        self.jobs: dict[JobId, JobRun] = {}
        self.waiting: dict[JobId, JobRun] = {}
        self.running: dict[JobId, JobRun] = {}
        self.ends: list[tuple[float, str, JobId, int]] = []
        self.result = JobsResult()
        self.now_s = 0.0

    def run(self, duration_s: float) -> JobsResult:
        """Accept jobs for a time, plan at each interval, then count the results."""
        rate = ARRIVALS_PER_WORKER_S * len(self.total)
        next_s, number = self.rng.expovariate(rate), 0
        failures = sorted(
            self.rng.uniform(0.2, 0.8) * duration_s for _ in range(WORKER_FAILURES)
        )
        while self.now_s < duration_s:
            self.now_s += PLAN_INTERVAL_S
            while next_s <= self.now_s:
                self._accept(number, next_s)
                number, next_s = number + 1, next_s + self.rng.expovariate(rate)
            while failures and failures[0] <= self.now_s:
                failures.pop(0)
                self._fail_worker(self.rng.choice(list(self.total)))
            self._process_due_ends()
            plan = self._plan()
        self._count_outcomes(plan)
        return self.result

    def _accept(self, number: int, at_s: float) -> None:
        rng = self.rng
        cores = rng.uniform(1, 16)
        accelerators = int(rng.random() < 0.1 and len(self.total) > 100)
        job = JobRun(
            JobId(f"j{number}"),
            TeamName(f"team-{rng.randrange(self.teams)}"),
            PoolName(f"pool-{rng.randrange(self.size.pools)}"),
            Size(cores, int(cores * 1.5 * 2**30), accelerators),
            rng.uniform(100, 500),
            at_s,
            rng.random() < URGENT_RATIO,
            rng.random() < REPEATABLE_RATIO,
        )
        self.jobs[job.job] = self.waiting[job.job] = job

    def _plan(self) -> PackingPlan:
        used: dict[TeamName, Size] = {}
        for job in self.running.values():
            used[job.team] = used.get(job.team, Size()) + job.size
        total_cores = 64.0 * len(self.total)
        quota = max(128.0, 3 * total_cores / self.teams)
        started_s = time.perf_counter()
        plan = plan_placements(
            [self._as_waiting_job(job) for job in self.waiting.values()],
            [
                WorkerCapacity(
                    worker,
                    self.pool_of[worker],
                    total,
                    self.free[worker],
                    worker not in self.lost,
                )
                for worker, total in self.total.items()
            ],
            {
                team: TeamQuota(used.get(team, Size()), quota)
                for team in {job.team for job in self.waiting.values()}
            },
            self.now_s,
            [
                RunningJob(job.job, job.worker, job.size, job.team, job.urgent)
                for job in self.running.values()
                if job.state == "running"
            ],
        )
        self.result.plan_ms.append((time.perf_counter() - started_s) * 1000)
        for placement in plan.placements:
            self._start(self.waiting.pop(placement.job), placement.worker)
        for preemption in plan.preemptions:
            job = self.running[preemption.job]
            job.state, job.token = "checkpointing", job.token + 1
            end_s = self.now_s + CHECKPOINT_S
            heapq.heappush(self.ends, (end_s, "stopped", job.job, job.token))
        return plan

    def _as_waiting_job(self, job: JobRun) -> WaitingJob:
        start_by_s = job.accepted_s + (1.5 if job.urgent else self.size.target_s)
        return WaitingJob(job.job, job.team, job.pool, job.size, start_by_s, job.urgent)

    def _start(self, job: JobRun, worker: WorkerId) -> None:
        if job.starts == 0 and job.urgent:
            self.result.urgent_waits_ms.append((self.now_s - job.accepted_s) * 1000)
        # A checkpointed job resumes; only a start from the beginning counts as a run.
        job.starts += job.state != "checkpointed"
        job.state, job.worker, job.token = "running", worker, job.token + 1
        job.started_s = self.now_s
        self.free[worker] = self.free[worker] - job.size
        self.running[job.job] = job
        end_s = self.now_s + job.remaining_s
        heapq.heappush(self.ends, (end_s, "finished", job.job, job.token))

    def _process_due_ends(self) -> None:
        while self.ends and self.ends[0][0] <= self.now_s:
            _, event, job_id, token = heapq.heappop(self.ends)
            job = self.running.get(job_id)
            if job is None or job.token != token:
                continue
            self._free(job)
            if event == "finished":
                job.state = "finished"
                continue
            job.remaining_s = max(1.0, job.remaining_s - (self.now_s - job.started_s))
            job.state = "checkpointed"
            self.waiting[job.job] = job

    def _fail_worker(self, worker: WorkerId) -> None:
        self.lost.add(worker)
        for job in [j for j in self.running.values() if j.worker == worker]:
            self._free(job)
            job.state = "waiting" if job.repeatable else "unknown"
            if job.repeatable:
                self.waiting[job.job] = job

    def _free(self, job: JobRun) -> None:
        del self.running[job.job]
        self.free[job.worker] = self.free[job.worker] + job.size

    def _count_outcomes(self, plan: PackingPlan) -> None:
        pending_states = {"waiting", "checkpointed"}
        for job in self.jobs.values():
            is_tracked = job.job in self.waiting or job.job in self.running
            ended = job.state in ("finished", "unknown")
            self.result.jobs_lost += not is_tracked and not ended
            self.result.jobs_run_twice += job.starts > 1 and not job.repeatable
            if job.state in pending_states and job.job in self.waiting:
                fits = any(
                    job.size.fits_in(self.free[worker])
                    for worker, pool in self.pool_of.items()
                    if pool == job.pool and worker not in self.lost
                )
                late = self.now_s - job.accepted_s > self.size.target_s
                self.result.unplaced_runnable_jobs += fits and late
