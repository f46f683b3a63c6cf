"""Read and write the stored documents (shards) that contain a zone's jobs."""

import json
import logging
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import Future
from dataclasses import dataclass, replace

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.ids import Epoch, JobId, ZoneName
from jayshunt.jobs.const import (
    FINISHED_RETENTION_S,
    JOB_OVERHEAD_BYTES,
    MAX_FINISHED_BYTES,
    SHARDS_PER_ZONE,
    epoch_key,
    shard_key,
)
from jayshunt.jobs.models import (
    Job,
    JobState,
    is_final_content,
    job_content,
    read_job,
)
from jayshunt.store.documents import Content, Document, DocumentStore
from jayshunt.store.group_commit import GroupCommitter

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class JobChange:
    """Compare-and-swap of a stored job: `updated` replaces `expected`."""

    expected: Job
    updated: Job


class ZoneJobs:
    """Cache a zone's jobs for the scheduler and write the scheduler's changes.

    Every write carries the scheduler's fencing epoch and is refused if a higher
    epoch has written the document, so that a scheduler that was paused past the end
    of its lease cannot change a job. `write` combines all changes to a shard into
    one write to the store. `version` is incremented for each newer revision of a
    shard that is cached.
    """

    def __init__(
        self,
        zone: ZoneName,
        documents: DocumentStore,
        commits: GroupCommitter,
        clock: Clock,
    ) -> None:
        """Start with an empty cache."""
        self._zone = zone
        self._documents = documents
        self._commits = commits
        self._clock = clock
        self._contents: dict[int, dict[JobId, dict]] = {}
        self._parsed: dict[int, dict[JobId, Job]] = {}
        self._revisions: dict[int, int] = {}
        self._epoch = Epoch(0)
        self._open_jobs: list[Job] = []
        self.version = 0

    def open_jobs(self) -> list[Job]:
        """Return the jobs that have not ended."""
        return self._open_jobs

    def find(self, job_id: JobId) -> Job | None:
        """Return a job that is open or whose outcome is unknown, or None."""
        for jobs in self._parsed.values():
            if job_id in jobs:
                return jobs[job_id]
        return None

    def ended_jobs(self) -> list[Job]:
        """Return the retained jobs in a final state, the oldest change first."""
        ended = [
            read_job(job_id, item)
            for contents in self._contents.values()
            for job_id, item in contents.items()
            if is_final_content(item)
        ]
        return sorted(ended, key=lambda job: job.changed_s)

    def take_over(self) -> Epoch:
        """Increment the fencing epoch, write it to every shard and return it.

        Afterwards no scheduler with a lower epoch can change a job, and the cache
        contains everything that such schedulers have written.
        """
        document = self._documents.update(epoch_key(self._zone), _raise_epoch)
        self._epoch = epoch = Epoch(document.content["epoch"])
        futures = [
            self._commits.submit(shard_key(self._zone, shard), _fence_with(epoch))
            for shard in range(SHARDS_PER_ZONE)
        ]
        for shard, future in enumerate(futures):
            self._update_cache(shard, future.result())
        return epoch

    def refresh(self, shards: Iterable[int]) -> None:
        """Reload shards; raise `superseded` if a higher epoch has written one."""
        for shard in shards:
            document = self._documents.read(shard_key(self._zone, shard))
            _check_epoch(document.content, self._epoch)
            self._update_cache(shard, document)

    def write(self, changes: Sequence[JobChange], epoch: Epoch) -> set[JobId]:
        """Write changes and return the ids of the jobs to which they were applied.

        A change is skipped if the stored job is no longer the expected one; the
        cache then contains the newest state. Raise `superseded` if a higher epoch
        has written a shard. If the write of a shard fails for another reason, its
        changes are dropped and the next step computes them again.
        """
        by_shard: dict[int, list[JobChange]] = {}
        for change in changes:
            by_shard.setdefault(shard_of(change.expected.job), []).append(change)
        written = {
            shard: self._submit(shard, group, epoch)
            for shard, group in by_shard.items()
        }
        applied: set[JobId] = set()
        for shard, (future, ids) in written.items():
            try:
                self._update_cache(shard, future.result())
            except JayshuntError as error:
                if error.code == "superseded":
                    raise
                _LOGGER.warning("jobs: writing shard %s failed: %s", shard, error)
                continue
            applied |= ids
        return applied

    def _submit(
        self, shard: int, changes: list[JobChange], epoch: Epoch
    ) -> tuple["Future[Document]", set[JobId]]:
        applied: set[JobId] = set()
        now_s = self._clock.now_s()

        def change(content: Content | None) -> Content | None:
            applied.clear()
            _check_epoch(content, epoch)
            jobs = dict((content or {}).get("jobs", {}))
            for item in changes:
                job_id = item.expected.job
                stored = jobs.get(job_id)
                if stored is None or read_job(job_id, stored) != item.expected:
                    continue
                jobs[job_id] = job_content(replace(item.updated, changed_s=now_s))
                applied.add(job_id)
            if not applied:
                return None
            return {**content, "jobs": trim_finished(jobs, now_s), "epoch": epoch}

        return self._commits.submit(shard_key(self._zone, shard), change), applied

    def _update_cache(self, shard: int, document: Document) -> None:
        if document.revision <= self._revisions.get(shard, -1):
            return
        self._revisions[shard] = document.revision
        contents = (document.content or {}).get("jobs", {})
        old_items, old_jobs = self._contents.get(shard, {}), self._parsed.get(shard, {})
        parsed_jobs = {}
        for job_id, item in contents.items():
            if is_final_content(item) and item["state"] != JobState.UNKNOWN.value:
                continue
            unchanged = job_id in old_jobs and old_items.get(job_id) == item
            parsed_jobs[job_id] = (
                old_jobs[job_id] if unchanged else read_job(job_id, item)
            )
        self._contents[shard], self._parsed[shard] = contents, parsed_jobs
        self._open_jobs = [
            job
            for jobs in self._parsed.values()
            for job in jobs.values()
            if not job.is_final
        ]
        self.version += 1


def shard_of(job_id: JobId) -> int:
    """Return the number of the shard that stores a job."""
    return int(job_id.split(".")[1])


def estimate_stored_bytes(content: Mapping) -> int:
    """Estimate the size of a stored job in its document, in bytes."""
    command = content["request"]["command"]
    # A non-ASCII character takes six bytes or more as a JSON escape sequence.
    length = len(command) if command.isascii() else len(json.dumps(command))
    return length + JOB_OVERHEAD_BYTES


def trim_finished(jobs: dict[JobId, dict], now_s: float) -> dict[JobId, dict]:
    """Return the jobs of a shard without finished ones past the retention limits.

    Finished jobs are dropped after `FINISHED_RETENTION_S`, and the oldest ones
    earlier while all of them take more than `MAX_FINISHED_BYTES`.
    """
    finished = sorted(
        (item["changed_s"], job_id)
        for job_id, item in jobs.items()
        if is_final_content(item)
    )
    finished_bytes = sum(estimate_stored_bytes(jobs[job_id]) for _, job_id in finished)
    dropped = set()
    for changed_s, job_id in finished:
        if (
            changed_s >= now_s - FINISHED_RETENTION_S
            and finished_bytes <= MAX_FINISHED_BYTES
        ):
            break
        finished_bytes -= estimate_stored_bytes(jobs[job_id])
        dropped.add(job_id)
    if not dropped:
        return jobs
    return {job_id: item for job_id, item in jobs.items() if job_id not in dropped}


def _raise_epoch(content: Content | None) -> Content:
    return {**(content or {}), "epoch": (content or {}).get("epoch", 0) + 1}


def _fence_with(epoch: Epoch):
    def change(content: Content | None) -> Content:
        _check_epoch(content, epoch)
        return {"jobs": {}, **(content or {}), "epoch": epoch}

    return change


def _check_epoch(content: Content | None, epoch: Epoch) -> None:
    stored = (content or {}).get("epoch", 0)
    if stored > epoch:
        raise JayshuntError(
            "superseded",
            step="jobs.write",
            detail=f"a scheduler with epoch {stored} took over from epoch {epoch}",
        )
