"""Track placed jobs until they end."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from jayshunt.ids import Epoch, WorkerId
from jayshunt.jobs import transitions
from jayshunt.jobs.const import UNKNOWN_GRACE_S
from jayshunt.jobs.messages import TaskReport, TaskState
from jayshunt.jobs.models import Job, JobState
from jayshunt.jobs.orders import should_start, task_of
from jayshunt.jobs.shards import JobChange, ZoneJobs
from jayshunt.jobs.sizes import Size, SizeLearner
from jayshunt.jobs.worker_health import WorkerHealth
from jayshunt.jobs.workers import WorkerStatus, WorkerTable


class JobTracker:
    """Compute the state changes of placed jobs from the status of their workers.

    The tracker does not write the changes. A change that could not be written is
    computed again in the next step, since a worker repeats its reports until the
    scheduler has stored the result.
    """

    def __init__(
        self,
        jobs: ZoneJobs,
        table: WorkerTable,
        health: WorkerHealth,
        learner: SizeLearner,
    ) -> None:
        """Store the collaborators."""
        self._jobs = jobs
        self._table = table
        self._health = health
        self._learner = learner

    def changes(
        self,
        jobs_by_worker: Mapping[WorkerId, Iterable[Job]],
        workers: Iterable[WorkerId],
        epoch: Epoch,
        now_s: float,
    ) -> list[JobChange]:
        """Return the job changes of some workers; `now_s` is a monotonic time."""
        job_changes = []
        for worker in workers:
            status = self._table.find_or_add(worker)
            for job in jobs_by_worker.get(worker, ()):
                changed = self._changed_job(job, status, epoch, now_s)
                if changed is not None:
                    job_changes.append(JobChange(job, changed))
            job_changes += self._late_report_changes(status)
        return job_changes

    def learn(self, job: Job) -> None:
        """Update worker health and size estimates from a stored, ended job."""
        if job.state is JobState.FINISHED:
            self._health.record_success(job.worker, job.job)
            if job.used is not None:
                self._learner.learn(
                    job.request.work_class, job.request.team, Size(*job.used)
                )
        elif job.is_final:
            self._health.forget(job.job)

    def rebuild(self, jobs: Iterable[Job]) -> None:
        """Rebuild worker health and size estimates from stored jobs on takeover."""
        for job in jobs:
            for worker in job.failed_on:
                self._health.record_failure(worker, job.job, job.request.team)
            self.learn(job)

    def _changed_job(
        self, job: Job, status: WorkerStatus, epoch: Epoch, now_s: float
    ) -> Job | None:
        report = status.reports.get(task_of(job))
        # A RUNNING report is outdated once its worker no longer answers.
        is_running = report is not None and report.state is TaskState.RUNNING
        if report is not None and (status.is_responsive or not is_running):
            return self._after_report(job, report, now_s)
        # If this scheduler wrote the placement, `maybe_started` lists every start
        # order that may have reached the worker.
        may_have_started = (
            is_running or job.epoch != epoch or task_of(job) in status.maybe_started
        )
        if status.is_responsive and status.boot != job.boot:
            if not may_have_started:
                return transitions.after_missed_start(
                    job, f"{job.worker} restarted before it got the order"
                )
            return transitions.after_restart(job)
        if status.call_extends_leases or (
            status.is_responsive and should_start(job, status)
        ):
            return None
        if status.is_responsive:
            return transitions.after_missed_start(job, f"{job.worker} did not start it")
        if not may_have_started:
            return transitions.after_missed_start(job, f"{job.worker} was not reached")
        if now_s < status.leases_end_s:
            return None
        is_grace_over = now_s >= status.leases_end_s + UNKNOWN_GRACE_S
        return transitions.after_lease_end(job, is_grace_over)

    def _after_report(self, job: Job, report: TaskReport, now_s: float) -> Job | None:
        failed = report.state is TaskState.FAILED
        if failed:
            self._health.record_failure(job.worker, job.job, job.request.team)
        failed_on = (*job.failed_on, job.worker) if failed else job.failed_on
        retries_exhausted = failed and self._health.retries_exhausted(failed_on, now_s)
        changed = transitions.after_report(job, report, retries_exhausted)
        if changed is None or report.usage is None:
            return changed
        used = (report.usage.cpu_cores, report.usage.memory_bytes)
        return replace(changed, used=used if changed.is_final else None)

    def _late_report_changes(self, status: WorkerStatus) -> list[JobChange]:
        job_changes = []
        for report in status.reports.values():
            job = self._jobs.find(report.task.job)
            if job is None or job.state is not JobState.UNKNOWN:
                continue
            if job.attempt != report.task.attempt or job.worker != status.worker:
                continue
            changed = transitions.after_late_report(job, report)
            if changed is not None:
                job_changes.append(JobChange(job, changed))
        return job_changes
