"""Place waiting jobs on the workers of a zone and follow them to their end."""

import logging
from dataclasses import replace

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.ids import JobId, PoolName, WorkerId, ZoneName
from jayshunt.jobs.const import MAX_ATTEMPTS, SHARDS_PER_ZONE, shard_key
from jayshunt.jobs.models import Job, JobState, job_content, read_job
from jayshunt.jobs.worker_client import TaskReport, WorkerClient
from jayshunt.pools.models import AssignmentRecord, VmKind
from jayshunt.store.documents import Content, DocumentStore

_LOGGER = logging.getLogger(__name__)


class JobScheduler:
    """Run on the zone controller; each step handles every shard of the zone."""

    def __init__(
        self, zone: ZoneName, documents: DocumentStore, pool_of_class, clock: Clock
    ) -> None:
        """Wire the parts; `pool_of_class(name)` returns the pool of a class."""
        self._zone = zone
        self._documents = documents
        self._pool_of_class = pool_of_class
        self._clock = clock

    def step(self, record: AssignmentRecord) -> None:
        """Place waiting jobs, renew leases and keep results."""
        for shard in range(SHARDS_PER_ZONE):
            key = shard_key(self._zone, shard)
            content = self._documents.read(key).content or {}
            jobs = [read_job(item) for item in content.get("jobs", {}).values()]
            for job in jobs:
                self._handle(key, job, record)

    def _handle(self, key: str, job: Job, record: AssignmentRecord) -> None:
        match job.state:
            case JobState.WAITING:
                self._place(key, job, record)
            case JobState.PLACED | JobState.CANCELLING:
                self._follow(key, job, record)

    def _place(self, key: str, job: Job, record: AssignmentRecord) -> None:
        pool = PoolName(self._pool_of_class(job.request.work_class))
        workers = record.serving(pool, VmKind.WORKER)
        if not workers:
            return
        worker = workers[hash(job.job) % len(workers)]
        placed = self._write(
            key,
            job,
            state=JobState.PLACED,
            attempt=job.attempt + 1,
            worker=WorkerId(worker.vm),
            reason=f"placed on {worker.vm}",
        )
        if placed is None:
            return
        self._start(key, placed, worker.address, record)

    def _start(
        self, key: str, job: Job, address: str, record: AssignmentRecord
    ) -> None:
        try:
            report = WorkerClient(address).start(job, record.epoch)
        except JayshuntError as error:
            _LOGGER.warning("jobs: start of %s failed: %s", job.job, error)
            return
        self._take_report(key, job, report)

    def _follow(self, key: str, job: Job, record: AssignmentRecord) -> None:
        worker = record.assignments.get(job.worker)
        if worker is None:
            return
        client = WorkerClient(worker.address)
        try:
            cancelling = job.state is JobState.CANCELLING
            report = client.stop(job.job) if cancelling else client.prolong(job.job)
        except JayshuntError as error:
            if error.code == "unknown_task" and job.state is JobState.PLACED:
                self._start(key, job, worker.address, record)
            return
        self._take_report(key, job, report)

    def _take_report(self, key: str, job: Job, report: TaskReport) -> None:
        match report.state:
            case "finished":
                self._write(key, job, state=JobState.FINISHED, reason=report.result)
            case "failed" if job.request.repeatable and job.attempt < MAX_ATTEMPTS:
                self._write(key, job, state=JobState.WAITING, reason=report.result)
            case "failed":
                self._write(key, job, state=JobState.FAILED, reason=report.result)
            case "stopped" if job.state is JobState.CANCELLING:
                self._write(key, job, state=JobState.CANCELLED)

    def _write(self, key: str, job: Job, **fields: object) -> Job | None:
        changed = replace(job, changed_s=self._clock.now_s(), **fields)
        won = False

        def change(content: Content | None) -> Content | None:
            nonlocal won
            stored = read_job(content["jobs"][job.job])
            won = stored == job
            if not won:
                return None
            jobs = {**content["jobs"], JobId(job.job): job_content(changed)}
            return {**content, "jobs": jobs}

        self._documents.update(key, change)
        return changed if won else None
