"""Read and change the documents that hold a zone's jobs."""

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
    """Replace a job if the stored one is still the known one."""

    known: Job
    changed: Job


class ZoneJobs:
    """Hold the scheduler's copy of its zone's jobs and write its changes.

    Every write carries the scheduler's fencing epoch, and a document that a higher
    epoch wrote refuses it, so that a scheduler that was paused past its lease
    changes nothing. All changes of one step go with one write per shard.
    """

    def __init__(
        self,
        zone: ZoneName,
        documents: DocumentStore,
        commits: GroupCommitter,
        clock: Clock,
    ) -> None:
        """Start without a copy."""
        self._zone = zone
        self._documents = documents
        self._commits = commits
        self._clock = clock
        self._contents: dict[int, dict[JobId, dict]] = {}
        self._parsed: dict[int, dict[JobId, Job]] = {}
        self._revisions: dict[int, int] = {}
        self._epoch = Epoch(0)
        self._open: list[Job] = []
        self.version = 0

    def open_jobs(self) -> list[Job]:
        """Return the jobs that have not ended; `version` rises when they change."""
        return self._open

    def find(self, job_id: JobId) -> Job | None:
        """Return a job that is open or ended as unknown."""
        for jobs in self._parsed.values():
            if job_id in jobs:
                return jobs[job_id]
        return None

    def ended_jobs(self) -> list[Job]:
        """Return the finished jobs that are still kept, the oldest change first."""
        ended = [
            read_job(job_id, item)
            for contents in self._contents.values()
            for job_id, item in contents.items()
            if is_final_content(item)
        ]
        return sorted(ended, key=lambda job: job.changed_s)

    def take_over(self) -> Epoch:
        """Raise the fencing epoch and mark every shard with it.

        After this returns no scheduler with a lower epoch can change a job, and
        the copy holds everything that such a scheduler had written.
        """
        document = self._documents.update(epoch_key(self._zone), _raise_epoch)
        self._epoch = epoch = Epoch(document.content["epoch"])
        futures = [
            self._commits.submit(shard_key(self._zone, shard), _fenced(epoch))
            for shard in range(SHARDS_PER_ZONE)
        ]
        for shard, future in enumerate(futures):
            self._take(shard, future.result())
        return epoch

    def refresh(self, shards: Iterable[int]) -> None:
        """Read shards again; raise `superseded` if a higher epoch wrote one."""
        for shard in shards:
            document = self._documents.read(shard_key(self._zone, shard))
            _check_epoch(document.content, self._epoch)
            self._take(shard, document)

    def write(self, changes: Sequence[JobChange], epoch: Epoch) -> set[JobId]:
        """Write changes and return the jobs for which they took effect.

        A job that changed meanwhile is left out; the copy then holds its newest
        state. Raise `superseded` if a higher epoch wrote a shard. A shard whose
        write failed otherwise is left for the next step.
        """
        by_shard: dict[int, list[JobChange]] = {}
        for change in changes:
            by_shard.setdefault(shard_of(change.known.job), []).append(change)
        written = {
            shard: self._submit(shard, group, epoch)
            for shard, group in by_shard.items()
        }
        applied: set[JobId] = set()
        for shard, (future, ids) in written.items():
            try:
                self._take(shard, future.result())
            except JayshuntError as error:
                if error.code == "superseded":
                    raise
                _LOGGER.warning("jobs: changes of shard %s wait: %s", shard, error)
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
                job_id = item.known.job
                stored = jobs.get(job_id)
                if stored is None or read_job(job_id, stored) != item.known:
                    continue
                jobs[job_id] = job_content(replace(item.changed, changed_s=now_s))
                applied.add(job_id)
            if not applied:
                return None
            return {**content, "jobs": trim_finished(jobs, now_s), "epoch": epoch}

        return self._commits.submit(shard_key(self._zone, shard), change), applied

    def _take(self, shard: int, document: Document) -> None:
        if document.revision <= self._revisions.get(shard, -1):
            return
        self._revisions[shard] = document.revision
        contents = (document.content or {}).get("jobs", {})
        before, parsed = self._contents.get(shard, {}), self._parsed.get(shard, {})
        kept = {}
        for job_id, item in contents.items():
            if is_final_content(item) and item["state"] != JobState.UNKNOWN.value:
                continue
            unchanged = job_id in parsed and before.get(job_id) == item
            kept[job_id] = parsed[job_id] if unchanged else read_job(job_id, item)
        self._contents[shard], self._parsed[shard] = contents, kept
        self._open = [
            job
            for jobs in self._parsed.values()
            for job in jobs.values()
            if not job.is_final
        ]
        self.version += 1


def shard_of(job_id: JobId) -> int:
    """Return the shard of a job."""
    return int(job_id.split(".")[1])


def stored_bytes(content: Mapping) -> int:
    """Return about what a stored job takes in its document."""
    command = content["request"]["command"]
    # JSON escapes of other characters take up to six bytes each.
    length = len(command) if command.isascii() else len(json.dumps(command))
    return length + JOB_OVERHEAD_BYTES


def trim_finished(jobs: dict[JobId, dict], now_s: float) -> dict[JobId, dict]:
    """Return the jobs without finished ones that are too old or too many."""
    finished = sorted(
        (item["changed_s"], job_id)
        for job_id, item in jobs.items()
        if is_final_content(item)
    )
    held = sum(stored_bytes(jobs[job_id]) for _, job_id in finished)
    dropped = set()
    for changed_s, job_id in finished:
        if changed_s >= now_s - FINISHED_RETENTION_S and held <= MAX_FINISHED_BYTES:
            break
        held -= stored_bytes(jobs[job_id])
        dropped.add(job_id)
    if not dropped:
        return jobs
    return {job_id: item for job_id, item in jobs.items() if job_id not in dropped}


def _raise_epoch(content: Content | None) -> Content:
    return {**(content or {}), "epoch": (content or {}).get("epoch", 0) + 1}


def _fenced(epoch: Epoch):
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
