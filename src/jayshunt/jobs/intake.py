"""Accept, read and cancel jobs."""

import random
import uuid
from collections.abc import Callable
from dataclasses import replace

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot, WorkKind
from jayshunt.errors import JayshuntError
from jayshunt.ids import JobId, ZoneName
from jayshunt.jobs.const import MAX_OPEN_JOBS, SHARDS_PER_ZONE, shard_key
from jayshunt.jobs.models import Job, JobRequest, JobState, job_content, read_job
from jayshunt.store.documents import Content, DocumentStore


class JobIntake:
    """Keep accepted jobs in the store before their callers are told."""

    def __init__(
        self,
        zone: ZoneName,
        documents: DocumentStore,
        config: Callable[[], ConfigSnapshot],
        clock: Clock,
        rng: random.Random,
        wake_scheduler: Callable[[], None],
    ) -> None:
        """Wire the parts."""
        self._zone = zone
        self._documents = documents
        self._config = config
        self._clock = clock
        self._rng = rng
        self._wake_scheduler = wake_scheduler

    def submit(self, request: JobRequest) -> JobId:
        """Accept a job; it is in the store when this returns."""
        self._check(request)
        shard = self._rng.randrange(SHARDS_PER_ZONE)
        job_id = JobId(f"{self._zone}.{shard}.{uuid.uuid4().hex[:16]}")
        now_s = self._clock.now_s()
        job = Job(job_id, request, JobState.WAITING, now_s, changed_s=now_s)

        def add(content: Content | None) -> Content:
            jobs = dict((content or {}).get("jobs", {}))
            opened = sum(1 for j in jobs.values() if not read_job(j).is_final)
            if opened >= MAX_OPEN_JOBS:
                raise JayshuntError(
                    "jobs_full",
                    step="jobs.accept",
                    retry_after_s=10.0,
                    detail=f"{opened} jobs are open in this part of the zone",
                )
            jobs[job_id] = job_content(job)
            return {**(content or {}), "jobs": jobs}

        self._documents.update(shard_key(self._zone, shard), add)
        self._wake_scheduler()
        return job_id

    def read(self, job_id: JobId) -> Job:
        """Return a job as it is in the store."""
        document = self._documents.read(_key_of(job_id))
        return _find(document.content, job_id)

    def cancel(self, job_id: JobId) -> Job:
        """Cancel a job; one that waits is certainly not run."""

        def mark(content: Content | None) -> Content | None:
            job = _find(content, job_id)
            if job.is_final or job.state is JobState.CANCELLING:
                return None
            waiting = job.state is JobState.WAITING
            state = JobState.CANCELLED if waiting else JobState.CANCELLING
            changed = replace(
                job,
                state=state,
                reason="cancelled by the caller",
                changed_s=self._clock.now_s(),
            )
            return {
                **content,
                "jobs": {**content["jobs"], job_id: job_content(changed)},
            }

        document = self._documents.update(_key_of(job_id), mark)
        self._wake_scheduler()
        return _find(document.content, job_id)

    def _check(self, request: JobRequest) -> None:
        document = self._config().document
        work_class = document.classes.get(request.work_class)
        if work_class is None:
            raise JayshuntError(
                "unknown_class",
                step="jobs.class",
                detail=f"there is no class {request.work_class!r}",
            )
        if work_class.kind is not WorkKind.JOB:
            raise JayshuntError(
                "class_runs_requests",
                step="jobs.class",
                detail=f"class {request.work_class!r} takes requests, not jobs",
            )
        if request.team not in document.teams:
            raise JayshuntError(
                "unknown_team",
                step="jobs.team",
                detail=f"there is no team {request.team!r}",
            )


def _key_of(job_id: JobId) -> str:
    parts = job_id.split(".")
    if len(parts) != 3 or not parts[1].isdigit():
        raise _unknown(job_id)
    return shard_key(parts[0], int(parts[1]))


def _find(content: Content | None, job_id: JobId) -> Job:
    stored = (content or {}).get("jobs", {}).get(job_id)
    if stored is None:
        raise _unknown(job_id)
    return read_job(stored)


def _unknown(job_id: JobId) -> JayshuntError:
    return JayshuntError(
        "unknown_job", step="jobs.read", detail=f"there is no job {job_id!r}"
    )
