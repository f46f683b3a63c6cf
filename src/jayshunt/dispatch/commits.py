"""Store the progress of jobs, batching the changes of a short interval in one write."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from jayshunt.clock import Clock
from jayshunt.dispatch.const import COMMIT_BATCH_S, MAX_PUTS_PER_COMMIT
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.models import JobState
from jayshunt.dispatch.records import TERM_KEY, encode_progress, progress_key
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.store_models import Item, Put, TransactionResult
from jayshunt.dispatch.tasks import Job
from jayshunt.ids import Revision
from jayshunt.platform.store import LeaseGone, PlatformStore
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

# Each job needs one condition and one write; a further condition is on the term.
JOBS_PER_COMMIT = MAX_PUTS_PER_COMMIT // 2
RETRY_S = 0.15


@dataclass(frozen=True, slots=True)
class _Record:
    job: Job
    version: int
    state: JobState
    put: Put


class ProgressWriter:
    """Write changed job progress to the store during one term.

    A write is conditional on the term and on the revision of each record that it
    replaces, so a write that the store applies late never overwrites a newer one.
    """

    def __init__(
        self,
        tracker: RunTracker,
        lock: threading.RLock,
        store: PlatformStore,
        term: Revision,
        clock: Clock,
    ) -> None:
        """Write the changed jobs of `tracker`.

        `term` is the revision that the term's key must have at each write.
        `on_stored` is called after each batch that the store answered, without the
        lock; the dispatcher wakes its sessions with it.
        """
        self._tracker = tracker
        self._lock = lock
        self._store = store
        self._term = term
        self._clock = clock
        self._wake = threading.Event()
        self.on_stored: Callable[[], None] = lambda: None

    def wake(self) -> None:
        """Wake the writer, as jobs may have changed."""
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Write changes until stopped; raise TermEnded once the term is lost."""
        while not stop.is_set():
            if not self._tracker.dirty:
                self._wake.wait(0.5)
                self._wake.clear()
                continue
            if len(self._tracker.dirty) < JOBS_PER_COMMIT:
                self._clock.wait(stop, COMMIT_BATCH_S)
            if not self.write_once():
                self._clock.wait(stop, RETRY_S)

    def flush(self, timeout_s: float) -> bool:
        """Write all remaining changes; return whether everything is stored."""
        end_s = self._clock.monotonic_s() + timeout_s
        while self._tracker.dirty and self._clock.monotonic_s() < end_s:
            if not self.write_once():
                return False
        return not self._tracker.dirty

    def write_once(self) -> bool:
        """Write one batch; return False if the store failed or did not answer.

        Raise TermEnded if the term's key changed or its lease is gone.
        """
        records = self._collect()
        if not records:
            return True
        expected = {TERM_KEY: self._term}
        for record in records:
            expected[record.put.key] = record.job.progress_revision
        try:
            result = self._store.transact(expected, tuple(r.put for r in records))
        except (StoreUnavailable, StoreOutcomeUnknown) as error:
            _LOGGER.info(
                "dispatch: progress was not stored",
                extra={"jobs": len(records), "reason": str(error)},
            )
            self._requeue(records)
            return False
        except LeaseGone as error:
            raise TermEnded("the term's lease is gone") from error
        self._apply_result(records, result)
        self.on_stored()
        return True

    def _collect(self) -> list[_Record]:
        records: list[_Record] = []
        with self._lock:
            while self._tracker.dirty and len(records) < JOBS_PER_COMMIT:
                job_id = self._tracker.dirty.pop()
                job = self._tracker.jobs.get(job_id)
                if job is None:
                    continue
                put = Put(progress_key(job_id), encode_progress(job))
                version = self._tracker.versions[job_id]
                records.append(_Record(job, version, job.state, put))
        return records

    def _requeue(self, records: list[_Record]) -> None:
        with self._lock:
            self._tracker.dirty.update(record.job.spec.job for record in records)

    def _apply_result(self, records: list[_Record], result: TransactionResult) -> None:
        if result.revision is None:
            self._requeue(records)
            self._apply_conflicts(records, result.conflicts)
            return
        with self._lock:
            now_s = self._clock.monotonic_s()
            for record in records:
                record.job.progress_revision = result.revision
                is_first_final = not record.job.stored_state.is_final
                self._tracker.record_stored(
                    record.job, record.version, record.state, now_s
                )
                if is_first_final and record.state.is_final:
                    _log_end(record.job, now_s)

    def _apply_conflicts(self, records: list[_Record], items: tuple[Item, ...]) -> None:
        """Update the expected revisions of the records after a failed condition.

        If the term's key changed, raise TermEnded. While the term holds, a record can
        only have changed by a write of this term whose answer was lost.
        """
        found = {item.key: item.revision for item in items if item.value is not None}
        if found.get(TERM_KEY) != self._term:
            raise TermEnded("the term's key changed")
        for record in records:
            record.job.progress_revision = found.get(record.put.key, Revision(0))


def _log_end(job: Job, now_s: float) -> None:
    """Log the end of a job with the time since its acceptance and its objective."""
    _LOGGER.info(
        "dispatch: a job ended",
        extra={
            "job": job.spec.job,
            "queue": job.spec.queue,
            "state": job.stored_state.value,
            "took_ms": round((now_s - job.accepted_s) * 1000),
            "objective_ms": round((job.deadline_s - job.accepted_s) * 1000),
        },
    )
