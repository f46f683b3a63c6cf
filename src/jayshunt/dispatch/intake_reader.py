"""Read accepted and cancelled jobs from the store."""

import logging
import threading
import time
from collections.abc import Callable

from jayshunt.checked import describe_invalid
from jayshunt.clock import Clock
from jayshunt.dispatch.const import (
    INTAKE_POLL_S,
    RETENTION_CHECK_S,
    RETENTION_MARGIN_S,
)
from jayshunt.dispatch.job_memory import DeferredJob, estimate_job_bytes
from jayshunt.dispatch.malformed import MalformedEntries
from jayshunt.dispatch.models import (
    FleetConfig,
    JobSpec,
    JobState,
    QueueConfig,
    StepSpec,
)
from jayshunt.dispatch.records import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    HANDOFF_KEY,
    INTAKE_PREFIX,
    PROGRESS_PREFIX,
    STARTS_STORED_KEY,
    SUSPECT_KEY,
    accepted_key,
    apply_progress,
    cancelled_key,
    decode_handoff,
    decode_job,
    decode_queue,
    progress_key,
    stored_state,
)
from jayshunt.dispatch.store_models import Item, Put
from jayshunt.dispatch.suspicion import decode_suspicion
from jayshunt.dispatch.tasks import EndedJob, Job
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import JobId, Revision, WorkerId
from jayshunt.platform.formats import is_job_id
from jayshunt.platform.store import HistoryGone, PlatformStore
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

RETRY_S = 0.2
JOBS_PER_REMOVAL = 10
# Removals at each check, so that one a second removes more jobs than are accepted.
MAX_REMOVALS = 20


def summarize_step(step: StepSpec) -> str:
    """Return the needs of a step as one word for the log: 5x6100m/35000M:apart=2."""
    need = step.resources
    text = f"{step.task_count}x{need.cpu_millicores}m/{need.memory_mb}M"
    options = {
        "ms": step.estimate_ms,
        "apart": step.max_per_worker,
        "fills": int(step.fills),
        "target": step.target_ms,
        "budget": step.max_unavailable,
        "gang": int(step.is_gang),
        "saves": int(step.has_checkpoints),
    }
    return ":".join([text, *(f"{k}={v}" for k, v in options.items() if v)])


class IntakeReader:
    """Add every accepted job in the store to the tracker.

    Entries notify the dispatcher of a job right after storing it. This reader finds
    jobs whose entry crashed before it could, and all jobs at the start of a term.
    """

    def __init__(
        self,
        dispatcher,
        store: PlatformStore,
        clock: Clock,
        config: Callable[[], FleetConfig | None],
    ) -> None:
        """Initialize the reader; the first run reads everything."""
        self._dispatcher = dispatcher
        self._store = store
        self._clock = clock
        self._config = config
        self._revision: Revision | None = None
        self._suspicion_revision: Revision | None = None
        self._malformed = MalformedEntries()
        self._next_removal_s = clock.monotonic_s() + RETENTION_CHECK_S

    def run(self, stop: threading.Event) -> None:
        """Read all stored jobs, then poll for changes until stopped."""
        while not stop.is_set():
            try:
                if self._config() is None:
                    self._clock.wait(stop, RETRY_S)
                    continue
                if self._revision is None:
                    self._read_all()
                    self._dispatcher.ready.set()
                    self._dispatcher.notify_changed()
                self._poll_changes()
                self._clock.wait(stop, INTAKE_POLL_S)
                self._forget_details()
                self._add_deferred()
                self._remove_expired()
                self._delete_old_suspicion()
                self._mark_starts_stored()
            except HistoryGone:
                _LOGGER.info("dispatch: store history is gone, reading all jobs again")
                self._revision = None
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                _LOGGER.info(
                    "dispatch: cannot read accepted jobs", extra={"reason": str(error)}
                )
                self._clock.wait(stop, RETRY_S)

    def add_job(
        self,
        job_id: JobId,
        value: bytes,
        created: int,
        is_new: bool,
        progress: Item | None = None,
    ) -> None:
        """Add one accepted job to the tracker unless it is known.

        If `is_new`, as in a notice from an entry, the job counts as accepted now.
        Otherwise its age is taken from the stored time, up to a minute.
        """
        if job_id not in self._dispatcher.tracker.deferred:
            self._add_job(job_id, value, created, is_new, progress)

    def _add_job(
        self,
        job_id: JobId,
        value: bytes,
        created: int,
        is_new: bool,
        progress: Item | None,
    ) -> None:
        tracker, lock = self._dispatcher.tracker, self._dispatcher.lock
        if tracker.knows(job_id):
            return
        spec, accepted_at_s = decode_job(job_id, value)
        has_ended = progress is not None and stored_state(progress.value).is_final
        if not has_ended and self._defer(spec):
            return
        now_s = self._clock.monotonic_s()
        has_progress = progress is not None and progress.value is not None
        age_s = 0.0 if is_new else min(60.0, max(0.0, time.time() - accepted_at_s))
        accepted = decode_queue(value)
        job = Job(
            spec,
            accepted,
            accepted_s=now_s - age_s,
            created=Revision(created),
            is_inherited=created < self._dispatcher.token,
            added_s=now_s,
            state=stored_state(progress.value) if has_progress else JobState.QUEUED,
        )
        if has_progress:
            apply_progress(job, progress.value)
            job.progress_revision = progress.revision
            if job.stored_state.is_final:
                job.ended_s = now_s
        with lock:
            added = tracker.add_job(job)
            if added:
                self._dispatcher.inherited_starts.add_job(job)
                tracker.apply_config(job, self._queue_config(accepted))
                self._dispatcher.planner.workspaces.record_added(job)
            stops = tracker.end_deferral(job_id, now_s)
        self._dispatcher.send_stops(stops)
        if added and not job.state.is_final:
            self._dispatcher.planner.predict_work(job)
            _LOGGER.info(
                "dispatch: job added",
                extra={
                    "job": job_id,
                    "queue": spec.queue,
                    "told_by_entry": is_new,
                    "tasks": sum(step.task_count for step in spec.steps),
                    "steps": " ".join(summarize_step(step) for step in spec.steps),
                    "inherited": job.is_inherited,
                },
            )

    def _defer(self, spec: JobSpec) -> bool:
        """Leave a job in the store if there is no memory for it; return whether so.

        One of which a worker reported a run is always added.
        """
        tracker, job_bytes = self._dispatcher.tracker, estimate_job_bytes(spec)
        with self._dispatcher.lock:
            if spec.job in tracker.needed or tracker.memory.may_hold(job_bytes):
                tracker.needed.discard(spec.job)
                return False
            tracker.deferred[spec.job] = DeferredJob(spec.queue, job_bytes)
        _LOGGER.warning(
            "dispatch: a job waits in the store for memory",
            extra={
                "job": spec.job,
                "job_bytes": job_bytes,
                "held_bytes": tracker.memory.held_bytes,
                "limit_bytes": tracker.memory.limit_bytes,
                "waiting": len(tracker.deferred),
            },
        )
        return True

    def _add_deferred(self) -> None:
        """Add the jobs that waited in the store, as far as there is memory."""
        tracker = self._dispatcher.tracker
        for job_id, waiting in list(tracker.deferred.items()):
            is_needed = job_id in tracker.needed
            if not is_needed and not tracker.memory.may_hold(waiting.job_bytes):
                continue
            accepted = self._store.get(accepted_key(job_id))
            progress = self._store.get(progress_key(job_id))
            cancelled = self._store.get(cancelled_key(job_id))
            # No task of a cancelled job may be placed in between.
            with self._dispatcher.lock:
                if accepted is None or not self._add_item(accepted, progress, True):
                    tracker.end_deferral(job_id, self._clock.monotonic_s())
                if cancelled is not None:
                    self._apply_cancel(cancelled)
            self._dispatcher.notify_changed()

    def _queue_config(self, accepted: QueueConfig) -> QueueConfig:
        """Return the configuration of a queue, as of acceptance if it was removed."""
        for found in self._config().queues:
            if found.queue == accepted.queue:
                return found
        return accepted

    def _read_all(self) -> None:
        """Read all jobs, then their progress, so that progress is never older.

        Both are read page by page, since callers decide how large they are. Of accepted
        jobs beyond the memory for jobs, only the ids are kept.
        """
        accepted: dict[JobId, Item | None] = {}
        cancelled: list[Item] = []
        first: Revision | None = None
        left_bytes = self._dispatcher.tracker.memory.limit_bytes
        for page, revision in self._store.pages(INTAKE_PREFIX):
            first = revision if first is None else first
            for item in page:
                if not item.key.startswith(ACCEPTED_PREFIX):
                    cancelled.append(item)
                    continue
                job_id = JobId(item.key.removeprefix(ACCEPTED_PREFIX))
                if not self._dispatcher.tracker.knows(job_id):
                    left_bytes -= len(item.value)
                    accepted[job_id] = item if left_bytes > 0 else None
        for page, _ in self._store.pages(PROGRESS_PREFIX):
            for progress in page:
                job_id = JobId(progress.key.removeprefix(PROGRESS_PREFIX))
                if job_id in accepted:
                    self._add_read(job_id, accepted.pop(job_id), progress)
        for job_id, item in accepted.items():
            self._add_read(job_id, item, None)
        for item in cancelled:
            self._apply_cancel(item)
        self._read_handoff()
        self._read_or_delete_suspicion()
        self._read_starts_mark()
        if self._dispatcher.interference_summary is not None:
            self._dispatcher.interference_summary.read()
        self._revision = first
        _LOGGER.info(
            "dispatch: read the accepted jobs",
            extra={
                "jobs": len(self._dispatcher.tracker.jobs),
                "active": len(self._dispatcher.tracker.active),
                "waiting_for_memory": len(self._dispatcher.tracker.deferred),
                "revision": first,
            },
        )

    def _add_read(
        self, job_id: JobId, item: Item | None, progress: Item | None
    ) -> None:
        """Add a job that was read; of one that was too much, keep how it stands."""
        if item is not None:
            self._add_item(item, progress)
            return
        state = JobState.QUEUED
        if progress is not None:
            try:
                state = stored_state(progress.value)
            except DECODE_ERRORS as error:
                self._malformed.log(
                    progress.key, progress.revision, describe_invalid(error)
                )
                return
        with self._dispatcher.lock:
            if state.is_final:
                ended = EndedJob(state, None, self._clock.monotonic_s())
                self._dispatcher.tracker.add_ended(job_id, ended)
            else:
                self._dispatcher.tracker.deferred[job_id] = DeferredJob()

    def _read_handoff(self) -> None:
        """Read the handoff of the last term and delete it before any order is given.

        It lists exactly which tasks an unreachable worker may run. It is valid only
        for the term that follows immediately.
        """
        if self._dispatcher.handoff_read:
            return
        item = self._store.get(HANDOFF_KEY)
        if item is not None:
            result = self._store.transact(
                {**self._dispatcher.term_condition, HANDOFF_KEY: item.revision},
                (),
                (HANDOFF_KEY,),
            )
            if result.revision is not None:
                self._dispatcher.handoff = self._decode_handoff(item)
        self._dispatcher.handoff_read = True

    def _decode_handoff(self, item: Item) -> dict[WorkerId, frozenset[str]] | None:
        """Return the handoff, or None, as without one, if it is malformed."""
        try:
            return decode_handoff(item.value)
        except DECODE_ERRORS as error:
            self._malformed.log(item.key, item.revision, describe_invalid(error))
            return None

    def _read_starts_mark(self) -> None:
        """Read whether earlier terms stored each start that has to be stored."""
        starts, tracker = self._dispatcher.inherited_starts, self._dispatcher.tracker
        if self._store.get(STARTS_STORED_KEY) is not None:
            starts.are_complete = True
            return
        has_jobs = tracker.deferred or any(
            tracker.jobs[job_id].stores_starts for job_id in tracker.active
        )
        if not has_jobs:
            self._write_starts_mark()

    def _mark_starts_stored(self) -> None:
        """Store that each start is stored, once all runs are known and stored."""
        dispatcher = self._dispatcher
        if dispatcher.inherited_starts.are_complete:
            return
        with dispatcher.lock:
            is_dirty = bool(dispatcher.tracker.dirty)
        if dispatcher.planner.knows_all_runs and not is_dirty:
            self._write_starts_mark()

    def _write_starts_mark(self) -> None:
        result = self._store.transact(
            self._dispatcher.term_condition, (Put(STARTS_STORED_KEY, b"{}"),)
        )
        self._dispatcher.inherited_starts.are_complete = result.revision is not None

    def _read_or_delete_suspicion(self) -> None:
        """Read whether other entries ended the last term on suspicion.

        The first call of a term reads the record. The second deletes it, unless it
        has changed since the first.
        """
        dispatcher = self._dispatcher
        item = self._store.get(SUSPECT_KEY)
        stored = decode_suspicion(item, self._malformed)
        if self._suspicion_revision is None:
            dispatcher.was_predecessor_suspected = (
                stored is not None and stored.is_ended
            )
            self._suspicion_revision = Revision(0) if item is None else item.revision
            return
        if item is not None and item.revision == self._suspicion_revision:
            self._store.transact(
                {**dispatcher.term_condition, SUSPECT_KEY: item.revision},
                (),
                (SUSPECT_KEY,),
            )
        self._suspicion_revision = Revision(0)

    def _delete_old_suspicion(self) -> None:
        """Delete the suspicion record once the suspected dispatcher cannot act."""
        is_due = self._clock.monotonic_s() > self._dispatcher.inherited_runs_end_s
        if (
            self._dispatcher.was_predecessor_suspected
            and is_due
            and self._suspicion_revision
        ):
            self._read_or_delete_suspicion()

    def _poll_changes(self) -> None:
        answer = self._store.watch(INTAKE_PREFIX, self._revision, 0.0)
        for item in answer.events:
            if item.value is None:
                continue
            if item.key.startswith(ACCEPTED_PREFIX):
                self._add_item(item, None)
            self._apply_cancel(item)
        if answer.events:
            self._dispatcher.notify_changed()
        self._revision = max(self._revision, answer.revision)

    def _add_item(
        self, item: Item, progress: Item | None, is_deferred: bool = False
    ) -> bool:
        """Add a job that was read, also a deferred one; return whether it is valid."""
        job_id = JobId(item.key.removeprefix(ACCEPTED_PREFIX))
        try:
            if not is_job_id(job_id):
                raise ValueError("the key is no id of a job")
            add = self._add_job if is_deferred else self.add_job
            add(job_id, item.value, item.created, False, progress)
        except DECODE_ERRORS as error:
            self._malformed.log(item.key, item.revision, describe_invalid(error))
            return False
        return True

    def _apply_cancel(self, item: Item) -> None:
        if not item.key.startswith(CANCELLED_PREFIX) or item.value is None:
            return
        job_id = JobId(item.key.removeprefix(CANCELLED_PREFIX))
        job = self._dispatcher.tracker.jobs.get(job_id)
        if job is not None and not job.state.is_final:
            self._dispatcher.notify_cancelled(job_id)

    def _forget_details(self) -> None:
        with self._dispatcher.lock:
            self._dispatcher.tracker.forget_details(self._clock.monotonic_s())

    def _remove_expired(self) -> None:
        """Remove jobs that ended longer ago than the retention time."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_removal_s or not self._dispatcher.term_valid():
            return
        self._next_removal_s = now_s + RETENTION_CHECK_S
        keep_s = self._dispatcher.retention_s + RETENTION_MARGIN_S
        for _ in range(MAX_REMOVALS):
            with self._dispatcher.lock:
                expired = self._dispatcher.tracker.expired_jobs(
                    now_s - keep_s, JOBS_PER_REMOVAL
                )
            if not expired or not self._remove_jobs(expired):
                return

    def _remove_jobs(self, expired: list[JobId]) -> bool:
        """Remove jobs from the store and the tracker; return False if deposed."""
        keys: list[str] = []
        for job_id in expired:
            keys += [accepted_key(job_id), cancelled_key(job_id), progress_key(job_id)]
        condition = self._dispatcher.term_condition
        result = self._store.transact(condition, (), tuple(keys))
        if result.revision is None:
            self._dispatcher.report_deposed("the term's key changed")
            return False
        with self._dispatcher.lock:
            for job_id in expired:
                self._dispatcher.tracker.forget_job(job_id)
        return True
