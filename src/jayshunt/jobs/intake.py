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
    SHARD_ROTATION_S,
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
JOBS_FULL_RETRY_AFTER_S = 10.0


class JobIntake:
    """Accept jobs for the zone and store them before the caller gets an answer.

    `notify(zone, shards)` informs the scheduler of a zone that jobs changed. If a
    notice is lost, the scheduler finds the job when it next polls the shards.
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
        """Store the collaborators."""
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
        """Store a new job and return its id.

        Raise `unknown_class`, `class_runs_requests`, `unknown_team` or
        `larger_than_quota` if the request is refused. Raise `store_unavailable` or
        `jobs_full` with outcome NOT_RUN if the job was certainly not accepted, and
        `store_outcome_unknown` if it may have been.
        """
        self._check_request(request)
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
        """Return a job as it was stored at most `READ_CACHE_S` ago."""
        key = _shard_key_of(job_id)
        cached = self._read_cache(key)
        if cached is not None and job_id in _jobs_in(cached.content):
            return _job_in(cached.content, job_id)
        return _job_in(self._read(key).content, job_id)

    def list(
        self, zone: ZoneName | None, team: TeamName | None, state: JobState | None
    ) -> list[Job]:
        """Return the jobs of a zone that match the filters, the newest first.

        The zone defaults to that of this entry.
        """
        jobs = []
        for shard in range(SHARDS_PER_ZONE):
            key = shard_key(zone or self._zone, shard)
            document = self._read_cache(key) or self._read(key)
            for job_id, item in _jobs_in(document.content).items():
                if team is not None and item["request"]["team"] != team:
                    continue
                if state is not None and item["state"] != state.value:
                    continue
                jobs.append(read_job(job_id, item))
        return sorted(jobs, key=lambda job: job.accepted_s, reverse=True)

    def cancel(self, job_id: JobId) -> Job:
        """Cancel a job; a waiting job ends at once and is never started again.

        The group commit combines concurrent cancellations, so that many of them cost
        one write per shard and batch window.
        """
        key = _shard_key_of(job_id)
        now_s = self._clock.now_s()
        document = self._change(key, lambda c: cancel_job(c, job_id, now_s))
        job = _job_in(document.content, job_id)
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
        """Return the shard for new jobs, which changes every `SHARD_ROTATION_S`.

        Concurrent jobs go to the same shard, so that they share a write.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if now_s >= self._shard_until_s:
                self._shard = self._rng.randrange(SHARDS_PER_ZONE)
                self._shard_until_s = now_s + SHARD_ROTATION_S
            return self._shard

    def _change(self, key: str, change: Callable) -> Document:
        document = self._commits.update(key, change)
        self._cache_document(key, document)
        return document

    def _read(self, key: str) -> Document:
        document = self._documents.read(key)
        self._cache_document(key, document)
        return document

    def _cache_document(self, key: str, document: Document) -> None:
        with self._lock:
            cached = self._cache.get(key)
            if cached is None or cached[1].revision <= document.revision:
                self._cache[key] = (self._clock.monotonic_s(), document)

    def _read_cache(self, key: str) -> Document | None:
        with self._lock:
            read_s, document = self._cache.get(key, (float("-inf"), None))
        is_fresh = self._clock.monotonic_s() - read_s <= READ_CACHE_S
        return document if is_fresh else None

    def _check_request(self, request: JobRequest) -> None:
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
        if not _quota_of(team).allows(Size(), request.declared):
            raise _refusal(
                "larger_than_quota",
                f"{request.declared} is larger than the quota of {request.team!r}",
            )


def add_job(content: Content | None, job: Job) -> Content:
    """Return the content of a shard with a job added, or raise `jobs_full`."""
    stored = job_content(job)
    jobs = trim_finished(_jobs_in(content), job.accepted_s)
    open_items = [item for item in jobs.values() if not is_final_content(item)]
    shard_bytes = sum(
        map(estimate_stored_bytes, jobs.values())
    ) + estimate_stored_bytes(stored)
    if len(open_items) >= MAX_OPEN_JOBS or shard_bytes > MAX_SHARD_BYTES:
        raise JayshuntError(
            "jobs_full",
            step=STEP,
            retry_after_s=JOBS_FULL_RETRY_AFTER_S,
            detail=f"{len(open_items)} jobs are open in this part of the zone",
        )
    return {**(content or {}), "jobs": {**jobs, job.job: stored}}


def cancel_job(content: Content | None, job_id: JobId, now_s: float) -> Content | None:
    """Return the content of a shard with a job cancelled, or None if unchanged."""
    job = _job_in(content, job_id)
    if job.is_final or job.state is JobState.CANCELLING:
        return None
    is_waiting = job.state is JobState.WAITING
    changed = replace(
        job,
        state=JobState.CANCELLED if is_waiting else JobState.CANCELLING,
        reason="cancelled by the caller",
        changed_s=now_s,
    )
    return {**content, "jobs": {**content["jobs"], job_id: job_content(changed)}}


def _quota_of(team: Team) -> TeamQuota:
    return TeamQuota(
        Size(), team.quota_cores, team.quota_memory_bytes, team.quota_accelerators
    )


def _jobs_in(content: Content | None) -> dict[JobId, dict]:
    return (content or {}).get("jobs", {})


def _shard_key_of(job_id: JobId) -> str:
    parts = job_id.split(".")
    if len(parts) != 3 or parts[1] not in map(str, range(SHARDS_PER_ZONE)):
        raise _unknown_job(job_id)
    return shard_key(parts[0], int(parts[1]))


def _job_in(content: Content | None, job_id: JobId) -> Job:
    stored = _jobs_in(content).get(job_id)
    if stored is None:
        raise _unknown_job(job_id)
    return read_job(job_id, stored)


def _refusal(code: str, detail: str) -> JayshuntError:
    return JayshuntError(code, step=STEP, detail=detail)


def _unknown_job(job_id: JobId) -> JayshuntError:
    return JayshuntError(
        "unknown_job",
        step="jobs.read",
        detail=f"there is no job {job_id!r}; ended jobs are kept for an hour",
    )
