"""Collect the inputs of the placement planner and turn its plan into job changes."""

from collections.abc import Iterable

from jayshunt.config.models import ConfigDocument, WorkKind
from jayshunt.ids import Epoch, JobId, PoolName, TeamName
from jayshunt.jobs import transitions
from jayshunt.jobs.const import TRIAL_S
from jayshunt.jobs.messages import TaskState
from jayshunt.jobs.models import Job, JobState
from jayshunt.jobs.orders import task_of
from jayshunt.jobs.packing import (
    PackingPlan,
    RunningJob,
    TeamQuota,
    WaitingJob,
    WorkerCapacity,
)
from jayshunt.jobs.shards import JobChange
from jayshunt.jobs.sizes import Size, SizeLearner
from jayshunt.jobs.worker_health import WorkerHealth
from jayshunt.jobs.workers import WorkerStatus, WorkerTable


class PlacementInputs:
    """Convert a snapshot of jobs, workers and quotas into the planner's inputs."""

    def __init__(
        self,
        open_jobs: list[Job],
        table: WorkerTable,
        health: WorkerHealth,
        learner: SizeLearner,
        config: ConfigDocument,
        now_s: float,
        wall_s: float,
    ) -> None:
        """Store the state of one scheduler step; `now_s` is a monotonic time."""
        self._open_jobs = open_jobs
        self._table = table
        self._health = health
        self._learner = learner
        self._config = config
        self._now_s = now_s
        self._workers_on_trial = frozenset(
            job.worker
            for job in open_jobs
            if job.is_on_worker and job.restarts and wall_s - job.changed_s < TRIAL_S
        )
        self._sizes = {j.job: self.size_of(j) for j in open_jobs if j.is_on_worker}

    def size_of(self, job: Job) -> Size:
        """Return the expected size of a job, raised to its reported peak usage."""
        expected = self._learner.expected_size(
            job.request.work_class, job.request.team, job.request.declared
        ).size
        status = self._table.statuses.get(job.worker) if job.worker else None
        report = status.reports.get(task_of(job)) if status else None
        usage = report.usage if report else None
        return expected.elementwise_max(usage) if usage else expected

    def waiting_jobs(self) -> tuple[list[WaitingJob], dict[JobId, str]]:
        """Return the jobs to plan, and the reasons why other jobs are not planned.

        Of the jobs under which a worker restarted, one in each pool is planned at a
        time: if one of them crashes its worker, it must not take the others with it.
        """
        planned, not_planned = [], {}
        pools_on_trial: set[str] = set()
        for job in self._open_jobs:
            if job.state is not JobState.WAITING:
                continue
            work_class = self._config.classes.get(job.request.work_class)
            if work_class is None or work_class.kind is not WorkKind.JOB:
                not_planned[job.job] = (
                    f"class {job.request.work_class} is not configured"
                )
                continue
            if job.request.team not in self._config.teams:
                not_planned[job.job] = f"team {job.request.team} is not configured"
                continue
            expected = self._learner.expected_size(
                job.request.work_class, job.request.team, job.request.declared
            )
            excluded_workers = self._health.healthy_workers(job.failed_on, self._now_s)
            if job.restarts:
                if work_class.pool in pools_on_trial:
                    not_planned[job.job] = "waits for a worker apart after a restart"
                    continue
                pools_on_trial.add(work_class.pool)
            planned.append(
                WaitingJob(
                    job=job.job,
                    team=job.request.team,
                    pool=PoolName(work_class.pool),
                    size=expected.size,
                    start_by_s=job.accepted_s + work_class.max_wait_s,
                    urgent=work_class.urgent,
                    is_learned=expected.is_learned,
                    excluded=frozenset(excluded_workers),
                )
            )
        return planned, not_planned

    def worker_capacities(self) -> list[WorkerCapacity]:
        """Return total and free capacity of the listed workers that ever answered."""
        used: dict = {}
        for job in self._open_jobs:
            if job.is_on_worker:
                used[job.worker] = used.get(job.worker, Size()) + self._sizes[job.job]
        return [
            WorkerCapacity(
                status.worker,
                status.pool,
                status.capacity,
                status.capacity - used.get(status.worker, Size()),
                self._is_schedulable(status),
            )
            for status in self._table.statuses.values()
            if status.boot and status.is_listed
        ]

    def quotas(self) -> dict[TeamName, TeamQuota]:
        """Return the quota and the usage of each team in this zone."""
        used: dict[TeamName, Size] = {}
        for job in self._open_jobs:
            if job.is_on_worker:
                team = job.request.team
                used[team] = used.get(team, Size()) + self._sizes[job.job]
        return {
            name: TeamQuota(
                used.get(name, Size()),
                team.quota_cores,
                team.quota_memory_bytes,
                team.quota_accelerators,
            )
            for name, team in self._config.teams.items()
        }

    def running_jobs(self) -> list[RunningJob]:
        """Return the jobs on workers with the properties that decide on preemption."""
        running_jobs = []
        for job in self._open_jobs:
            status = self._table.statuses.get(job.worker) if job.worker else None
            if job.state is not JobState.PLACED or status is None:
                continue
            report = status.reports.get(task_of(job))
            is_running = report is not None and report.state is TaskState.RUNNING
            work_class = self._config.classes.get(job.request.work_class)
            running_jobs.append(
                RunningJob(
                    job.job,
                    job.worker,
                    self._sizes[job.job],
                    job.request.team,
                    work_class is not None and work_class.urgent,
                    is_running and status.can_checkpoint and status.is_responsive,
                )
            )
        return running_jobs

    def _is_schedulable(self, status: WorkerStatus) -> bool:
        quarantined = self._health.is_quarantined(status.worker, self._now_s)
        on_trial = status.worker in self._workers_on_trial
        return (
            status.is_serving
            and status.is_responsive
            and not quarantined
            and not on_trial
        )


def placement_changes(
    plan: PackingPlan, jobs: Iterable[Job], table: WorkerTable, epoch: Epoch
) -> list[JobChange]:
    """Return the job changes of a plan: placements and jobs that can never start."""
    by_id = {job.job: job for job in jobs}
    placed = [
        JobChange(
            by_id[p.job],
            transitions.place(
                by_id[p.job],
                p.worker,
                table.statuses[p.worker].boot,
                epoch,
                p.reason,
            ),
        )
        for p in plan.placements
    ]
    failed = [
        JobChange(
            by_id[w.job],
            transitions.end(
                by_id[w.job], JobState.FAILED, f"{w.code.value}: {w.reason}"
            ),
        )
        for w in plan.impossible
    ]
    return [*placed, *failed]
