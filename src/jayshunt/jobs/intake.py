"""Accept, read, list and cancel jobs."""

import random
import threading
import uuid
from collections.abc import Callable, Sequence
from dataclasses import replace

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot, Team, WorkKind
from jayshunt.errors import JayshuntError
from jayshunt.ids import JobId, TeamName, ZoneName
from jayshunt.jobs.const import (
    MAX_OPEN_JOBS,
    MAX_SHARD_BYTES,
    READ_CACHE_S,
    SHARD_SLICE_S,
    SHARDS_PER_ZONE,
    shard_key,
)
from jayshunt.jobs.models import (
    Job,
    JobRequest,
    JobState,
    is_final_content,
    job_content,
    read_job,
)
from jayshunt.jobs.packing import TeamQuota
from jayshunt.jobs.shards import estimate_stored_bytes, shard_of, trim_finished
from jayshunt.jobs.sizes import Size
from jayshunt.store.documents import Content, Document, DocumentStore
from jayshunt.store.group_commit import GroupCommitter

STEP = "jobs.accept"
FULL_RETRY_S = 10.0


class JobIntake:
    """Keep accepted jobs in the store before their callers are told.

    `notify(shards)` tells the zone's scheduler that jobs changed. A job that
    could not be notified is found by the scheduler's regular reading.
    """

    def __init__(
        self,
        zone: ZoneName,
        documents: DocumentStore,
        commits: GroupCommitter,
        config: Callable[[], ConfigSnapshot],
        clock: Clock,
        rng: random.Random,
        notify: Callable[[ZoneName, Sequence[int]], None],
    ) -> None:
        """Wire the parts."""
        self._zone = zone
        self._documents = documents
        self._commits = commits
        self._config = config
        self._clock = clock
        self._rng = rng
        self._notify = notify
        self._lock = threading.Lock()
        self._shard = 0
        self._shard_until_s = float("-inf")
        self._cache: dict[str, tuple[float, Document]] = {}

    def submit(self, request: JobRequest) -> JobId:
        """Accept a job; it is in the store when this returns.

        Raise `store_unavailable` or `jobs_full` with outcome NOT_RUN if the job is
        certainly not accepted, and `store_outcome_unknown` if it may be.
        """
        self._check(request)
        first = self._current_shard()
        for offset in range(SHARDS_PER_ZONE):
            shard = (first + offset) % SHARDS_PER_ZONE
            try:
                return self._submit_to(shard, request)
            except JayshuntError as error:
                if error.code != "jobs_full" or offset == SHARDS_PER_ZONE - 1:
                    raise
        raise AssertionError("the last shard accepts or raises")

    def read(self, job_id: JobId) -> Job:
        """Return a job as it was in the store within the last half second."""
        key = _key_of(job_id)
        cached = self._cached(key)
        if cached is not None and job_id in _jobs_in(cached.content):
            return _find(cached.content, job_id)
        return _find(self._read(key).content, job_id)

    def list(
        self, zone: ZoneName | None, team: TeamName | None, state: JobState | None
    ) -> list[Job]:
        """Return a zone's jobs, the newest first."""
        found = []
        for shard in range(SHARDS_PER_ZONE):
            key = shard_key(zone or self._zone, shard)
            document = self._cached(key) or self._read(key)
            for job_id, item in _jobs_in(document.content).items():
                if team is not None and item["request"]["team"] != team:
                    continue
                if state is not None and item["state"] != state.value:
                    continue
                found.append(read_job(job_id, item))
        return sorted(found, key=lambda job: job.accepted_s, reverse=True)

    def cancel(self, job_id: JobId) -> Job:
        """Cancel a job; one that waits is certainly not run again.

        A wave of cancellations costs one write per shard and gather window.
        """
        key = _key_of(job_id)
        now_s = self._clock.now_s()
        document = self._change(key, lambda c: cancel_job(c, job_id, now_s))
        job = _find(document.content, job_id)
        if not job.is_final:
            self._notify(ZoneName(job_id.split(".")[0]), (shard_of(job_id),))
        return job

    def _submit_to(self, shard: int, request: JobRequest) -> JobId:
        job_id = JobId(f"{self._zone}.{shard}.{uuid.uuid4().hex[:16]}")
        now_s = self._clock.now_s()
        job = Job(job_id, request, JobState.WAITING, now_s, changed_s=now_s)
        self._change(shard_key(self._zone, shard), lambda c: add_job(c, job))
        self._notify(self._zone, (shard,))
        return job_id

    def _current_shard(self) -> int:
        """Return one shard for all jobs of a moment, so that they share writes."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if now_s >= self._shard_until_s:
                self._shard = self._rng.randrange(SHARDS_PER_ZONE)
                self._shard_until_s = now_s + SHARD_SLICE_S
            return self._shard

    def _change(self, key: str, change: Callable) -> Document:
        document = self._commits.update(key, change)
        self._keep(key, document)
        return document

    def _read(self, key: str) -> Document:
        document = self._documents.read(key)
        self._keep(key, document)
        return document

    def _keep(self, key: str, document: Document) -> None:
        with self._lock:
            held = self._cache.get(key)
            if held is None or held[1].revision <= document.revision:
                self._cache[key] = (self._clock.monotonic_s(), document)

    def _cached(self, key: str) -> Document | None:
        with self._lock:
            read_s, document = self._cache.get(key, (float("-inf"), None))
        fresh = self._clock.monotonic_s() - read_s <= READ_CACHE_S
        return document if fresh else None

    def _check(self, request: JobRequest) -> None:
        document = self._config().document
        work_class = document.classes.get(request.work_class)
        if work_class is None:
            raise _refusal("unknown_class", f"there is no class {request.work_class!r}")
        if work_class.kind is not WorkKind.JOB:
            raise _refusal(
                "class_runs_requests",
                f"class {request.work_class!r} takes requests, not jobs",
            )
        team = document.teams.get(request.team)
        if team is None:
            raise _refusal("unknown_team", f"there is no team {request.team!r}")
        if not _share_of(team).allows(Size(), request.declared):
            raise _refusal(
                "larger_than_quota",
                f"{request.declared} is larger than the quota of {request.team!r}",
            )


def add_job(content: Content | None, job: Job) -> Content:
    """Return a shard with one more job, or raise `jobs_full`."""
    stored = job_content(job)
    jobs = trim_finished(_jobs_in(content), job.accepted_s)
    opened = [item for item in jobs.values() if not is_final_content(item)]
    held = sum(map(estimate_stored_bytes, jobs.values())) + estimate_stored_bytes(
        stored
    )
    if len(opened) >= MAX_OPEN_JOBS or held > MAX_SHARD_BYTES:
        raise JayshuntError(
            "jobs_full",
            step=STEP,
            retry_after_s=FULL_RETRY_S,
            detail=f"{len(opened)} jobs are open in this part of the zone",
        )
    return {**(content or {}), "jobs": {**jobs, job.job: stored}}


def cancel_job(content: Content | None, job_id: JobId, now_s: float) -> Content | None:
    """Return a shard with one job cancelled, or None if nothing changes."""
    job = _find(content, job_id)
    if job.is_final or job.state is JobState.CANCELLING:
        return None
    waits = job.state is JobState.WAITING
    changed = replace(
        job,
        state=JobState.CANCELLED if waits else JobState.CANCELLING,
        reason="cancelled by the caller",
        changed_s=now_s,
    )
    return {**content, "jobs": {**content["jobs"], job_id: job_content(changed)}}


def _share_of(team: Team) -> TeamQuota:
    return TeamQuota(
        Size(), team.quota_cores, team.quota_memory_bytes, team.quota_accelerators
    )


def _jobs_in(content: Content | None) -> dict[JobId, dict]:
    return (content or {}).get("jobs", {})


def _key_of(job_id: JobId) -> str:
    parts = job_id.split(".")
    if len(parts) != 3 or parts[1] not in map(str, range(SHARDS_PER_ZONE)):
        raise _unknown(job_id)
    return shard_key(parts[0], int(parts[1]))


def _find(content: Content | None, job_id: JobId) -> Job:
    stored = _jobs_in(content).get(job_id)
    if stored is None:
        raise _unknown(job_id)
    return read_job(job_id, stored)


def _refusal(code: str, detail: str) -> JayshuntError:
    return JayshuntError(code, step=STEP, detail=detail)


def _unknown(job_id: JobId) -> JayshuntError:
    return JayshuntError(
        "unknown_job",
        step="jobs.read",
        detail=f"there is no job {job_id!r}; ended jobs are kept for an hour",
    )
