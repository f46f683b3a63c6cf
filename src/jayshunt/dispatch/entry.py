"""Serve job callers on one entry: submit, query, cancel and count jobs."""

import logging
import math
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn, TypeVar

from jayshunt.checked import describe_invalid
from jayshunt.clock import Clock
from jayshunt.dispatch.const import (
    ACCEPT_TIMEOUT_S,
    DEFAULT_RETRY_AFTER_S,
    ISOLATED_AFTER_S,
)
from jayshunt.dispatch.errors import AcceptUnknown, JobIdTaken, JobRefused, JobWithdrawn
from jayshunt.dispatch.job_memory import estimate_job_bytes
from jayshunt.dispatch.link import DispatcherLink
from jayshunt.dispatch.models import JobSpec, JobState, QueueConfig, Resources
from jayshunt.dispatch.records import (
    accepted_key,
    cancelled_key,
    encode_job,
    progress_key,
    stored_state,
    stored_workspace,
)
from jayshunt.dispatch.stop_limits import is_too_wide
from jayshunt.dispatch.store_models import Item, Put
from jayshunt.dispatch.withdrawals import Withdrawals
from jayshunt.errors import DECODE_ERRORS, JayshuntError, Outcome
from jayshunt.ids import JobId, QueueName, Revision, WorkspaceName
from jayshunt.overload.admission import refuse
from jayshunt.platform.store import PlatformStore
from jayshunt.store.errors import StoreUnavailable
from jayshunt.workspaces.limits import can_ever_start
from jayshunt.workspaces.models import RefusalReason
from jayshunt.workspaces.ownership import is_same_submitter, may_access
from jayshunt.workspaces.refusals import RefusalLog

_LOGGER = logging.getLogger(__name__)

Decoded = TypeVar("Decoded")

RETRY_S = 0.1
# How many submissions with an unknown outcome an entry remembers, the latest ones.
MAX_UNKNOWN = 10_000
# Only a change of the configuration lets a job start that exceeds its workspace's
# limit, so that an early retry is useless. The code, and the time in seconds.
EXCEEDS_LIMIT = ("exceeds_workspace_limit", 60.0)
# Memory is free again once jobs have ended; the code, and the time in seconds.
NO_MEMORY = ("jobs_exhaust_memory", 5.0)
# It never fits, so that an early retry is useless.
TOO_WIDE = ("job_too_wide", 60.0)


@dataclass(frozen=True)
class Accepted:
    """Report an accepted job; `is_new` is False for a repeated submission."""

    is_new: bool


class EntryJobService:
    """Handle the job calls of this entry's callers.

    A job is accepted once it is stored under its id. A submission that is repeated at
    any entry therefore stays one job.
    """

    def __init__(
        self,
        store: PlatformStore,
        link: DispatcherLink,
        clock: Clock,
        refusals: RefusalLog | None = None,
        limit_of: Callable[[WorkspaceName], Resources | None] = lambda _: None,
        observe_refusal: Callable[[WorkspaceName, str], None] = lambda *_: None,
        max_runs_per_job: float = math.inf,
    ) -> None:
        """Use the store, and `link` to reach the dispatcher.

        `refusals` records calls for another workspace's jobs. `limit_of` returns the
        limit of a workspace in the configuration in force, None if it has none.
        `observe_refusal` is called with the workspace and the code of each refusal.
        `max_runs_per_job` is how many runs of a job can be stopped in time.
        """
        self._max_runs_per_job = max_runs_per_job
        self._observe_refusal = observe_refusal
        self._limit_of = limit_of
        self._store = store
        self._link = link
        self._clock = clock
        self._withdrawals = Withdrawals(store, clock)
        self._refusals = refusals or RefusalLog(clock, lambda reason: None)
        self._unknown: OrderedDict[JobId, None] = OrderedDict()
        self._unknown_lock = threading.Lock()

    def is_isolated(self) -> bool:
        """Return whether this entry has reached neither store nor dispatcher lately.

        It can't serve callers then; the balancer should send them to other entries.
        """
        is_cut_off = self._store.failing_for_s() > ISOLATED_AFTER_S
        return is_cut_off and not self._link.is_reachable()

    def submit(self, spec: JobSpec, queue: QueueConfig, timeout_s: float) -> Accepted:
        """Accept a job, or raise JobRefused, JobIdTaken or AcceptUnknown.

        After the first two, the job that was submitted never runs.
        """
        if self.is_isolated():
            self._refuse(
                spec, "isolated", DEFAULT_RETRY_AFTER_S, "the entry is cut off"
            )
        limit = self._limit_of(spec.workspace)
        if limit is not None and not can_ever_start(spec, limit):
            return self._refuse_unless_known(
                spec, *EXCEEDS_LIMIT, f"a task or gang exceeds the limit {limit}"
            )
        if is_too_wide(spec, self._max_runs_per_job):
            return self._refuse_unless_known(
                spec,
                *TOO_WIDE,
                f"more than {self._max_runs_per_job} tasks that last could not be "
                "stopped in time",
            )
        if not self._link.has_room(estimate_job_bytes(spec)):
            return self._refuse_unless_known(
                spec, *NO_MEMORY, "the dispatcher has no memory for the job"
            )
        retry_after_s = self._retry_after_s(spec, queue)
        if retry_after_s > 0 and not spec.is_long_running:
            return self._refuse_unless_known(
                spec, "queue_behind", retry_after_s, "the queue is far behind"
            )
        rate_retry_s = 0.0
        if spec.workspace and not spec.is_long_running:
            rate_retry_s = self._link.workspace_retry_after_s(
                queue.queue, spec.workspace
            )
        if rate_retry_s > 0:
            return self._refuse_unless_known(
                spec, "workspace_rate", rate_retry_s, "the workspace exceeds its rate"
            )
        value = encode_job(spec, queue, time.time())
        end_s = self._clock.monotonic_s() + min(timeout_s, ACCEPT_TIMEOUT_S)
        is_unknown = False
        # While this entry can't reach the store, it submits through the dispatcher.
        use_dispatcher = self._store.failing_for_s() > 0
        while True:
            try:
                if use_dispatcher:
                    return self._submit_by_dispatcher(spec, value)
                result = self._withdrawals.store_job(spec.job, value, spec.workspace)
                break
            except (JobIdTaken, JobWithdrawn):
                raise
            except JayshuntError as error:
                is_unknown = is_unknown or error.outcome is not Outcome.NOT_RUN
                if self._store.failing_for_s() > 0 and not use_dispatcher:
                    use_dispatcher = True
                    continue
                self._give_up_if_due(spec, is_unknown, end_s, error)
                use_dispatcher = not use_dispatcher
            time.sleep(RETRY_S)
        if result.revision is None:
            return self._resolve_conflict(spec, result.conflicts, is_unknown, value)
        self._link.notify_accepted(spec.job, value, result.revision)
        _LOGGER.info(
            "entry: accepted",
            extra={
                "job": spec.job,
                "queue": spec.queue,
                "revision": result.revision,
                "steps": len(spec.steps),
            },
        )
        return Accepted(True)

    def is_outcome_unknown(self, job: JobId) -> bool:
        """Return whether an earlier submission of a job may have been accepted."""
        return job in self._unknown

    def state(
        self, job: JobId, caller: WorkspaceName, timeout_s: float
    ) -> JobState | None:
        """Return a job's state, or None if it does not exist for the caller.

        Read the store if the dispatcher does not know the job or can't be reached.
        Raise JayshuntError if neither answers.
        """
        try:
            state = self._link.job_state(job, caller, timeout_s / 2)
        except JayshuntError as error:
            _LOGGER.info(
                "entry: the dispatcher did not answer",
                extra={"job": job, "reason": str(error)},
            )
            state = None
        return self._stored_state(job, caller) if state is None else state

    def cancel(self, job: JobId, caller: WorkspaceName, timeout_s: float) -> bool:
        """Cancel a job; return False if it does not exist for the caller.

        A submission that is still under way is not accepted after that. Retry until
        `timeout_s` has passed, then raise the last JayshuntError.
        """
        end_s = self._clock.monotonic_s() + timeout_s
        key = cancelled_key(job)
        while True:
            try:
                if self._store.failing_for_s() > 0:
                    return self._link.cancel(job, caller, 0.0)
                item = self._store.get(accepted_key(job))
                if item is None:
                    if not self._withdrawals.withdraw(job, caller):
                        continue
                    _LOGGER.info("entry: no such job to cancel", extra={"job": job})
                    return False
                if not self._may_access(job, item, caller):
                    return False
                self._store.transact({key: Revision(0)}, (Put(key, b"{}"),))
                break
            except JayshuntError:
                if self._clock.monotonic_s() + RETRY_S >= end_s:
                    raise
            time.sleep(RETRY_S)
        self._link.notify_cancelled(job)
        _LOGGER.info("entry: cancelled", extra={"job": job})
        return True

    def waiting(self, queue: QueueName, timeout_s: float) -> int:
        """Return the dispatcher's count of a queue's jobs that have not started."""
        return self._link.waiting(queue, timeout_s)

    def _submit_by_dispatcher(self, spec: JobSpec, value: bytes) -> Accepted:
        answer = self._link.submit(accepted_key(spec.job), value, 0.0)
        if answer.get("is_withdrawn"):
            raise JobWithdrawn
        is_new = answer["is_new"]
        if answer.get("is_taken"):
            self._refuse_taken(spec)
        _LOGGER.info(
            "entry: accepted by the dispatcher",
            extra={"job": spec.job, "queue": spec.queue, "is_new": is_new},
        )
        return Accepted(is_new)

    def _retry_after_s(self, spec: JobSpec, queue: QueueConfig) -> float:
        """Return the seconds after which a refused caller may retry, 0 to accept.

        With an outlook of the queue, its predicted end decides, else whether the whole
        queue refuses jobs.
        """
        outlook = self._link.outlook(queue.queue)
        if outlook is None:
            return self._link.refuse_retry_after_s(queue.queue)
        refusal = refuse(spec, queue, outlook)
        if refusal is None:
            return 0.0
        return self._link.book_return(spec.job, queue.queue, refusal)

    def _refuse_unless_known(
        self, spec: JobSpec, code: str, retry_after_s: float, reason: str
    ) -> Accepted:
        """Raise JobRefused, unless the job is already stored.

        Raise AcceptUnknown if a workspace would be refused a job of which it is not
        known whether it is stored.
        """
        try:
            item = self._store.get(accepted_key(spec.job))
            if item is not None:
                self._check_submitter(spec, item)
                return Accepted(False)
        except StoreUnavailable as error:
            _LOGGER.info(
                "entry: failed to check the store before a refusal",
                extra={"job": spec.job, "reason": str(error)},
            )
            if code != "queue_behind":
                # An earlier call, also to another entry, may have stored the job.
                raise AcceptUnknown(str(error)) from error
        self._refuse(spec, code, retry_after_s, reason)

    def _refuse(
        self, spec: JobSpec, code: str, retry_after_s: float, reason: str
    ) -> NoReturn:
        """Refuse a job of which this call sent nothing.

        Raise AcceptUnknown instead if an earlier call may have stored the job.
        """
        if spec.job in self._unknown:
            raise AcceptUnknown("an earlier submission may have been accepted")
        _LOGGER.info(
            "entry: refused",
            extra={
                "job": spec.job,
                "queue": spec.queue,
                "workspace": spec.workspace,
                "reason": reason,
                "retry_after_s": retry_after_s,
            },
        )
        self._observe_refusal(spec.workspace, code)
        raise JobRefused(code, retry_after_s, reason)

    def _give_up_if_due(
        self, spec: JobSpec, is_unknown: bool, end_s: float, error: JayshuntError
    ) -> None:
        if is_unknown and self._clock.monotonic_s() + RETRY_S < end_s:
            return
        _LOGGER.info(
            "entry: not accepted",
            extra={
                "job": spec.job,
                "queue": spec.queue,
                "reason": str(error),
                "outcome": "unknown" if is_unknown else "not_run",
            },
        )
        if is_unknown:
            self._remember_unknown(spec.job)
        if spec.job in self._unknown:
            raise AcceptUnknown(str(error))
        raise JobRefused("store_unavailable", DEFAULT_RETRY_AFTER_S, str(error))

    def _remember_unknown(self, job: JobId) -> None:
        with self._unknown_lock:
            self._unknown[job] = None
            if len(self._unknown) > MAX_UNKNOWN:
                self._unknown.popitem(last=False)

    def _resolve_conflict(
        self, spec: JobSpec, conflicts: tuple, is_unknown: bool, value: bytes
    ) -> Accepted:
        """Resolve a submission whose id is stored already.

        The job is new if it was stored by a write of this call whose answer was lost.
        """
        for item in conflicts:
            self._check_submitter(spec, item)
        if is_unknown and conflicts and conflicts[0].value == value:
            self._link.notify_accepted(spec.job, value, conflicts[0].created)
            is_new = True
        else:
            is_new = False
        _LOGGER.info(
            "entry: accepted before",
            extra={"job": spec.job, "queue": spec.queue, "own_write": is_new},
        )
        return Accepted(is_new)

    def _stored_state(self, job: JobId, caller: WorkspaceName) -> JobState | None:
        item = self._store.get(accepted_key(job))
        if item is None or not self._may_access(job, item, caller):
            return None
        # The dispatcher may have missed the notice; it ignores a job that it knows.
        self._link.notify_accepted(job, item.value, item.created)
        progress = self._store.get(progress_key(job))
        state = JobState.QUEUED
        if progress is not None:
            state = _decode(stored_state, progress)
        if not state.is_final and self._store.get(cancelled_key(job)) is not None:
            return JobState.CANCELLED
        return state

    def _may_access(self, job: JobId, item: Item, caller: WorkspaceName) -> bool:
        """Return whether a caller may use a stored job; record it if not."""
        if may_access(_decode(stored_workspace, item), caller):
            return True
        reason = RefusalReason.OTHER_WORKSPACE
        self._refusals.record(reason, job=job, workspace=caller)
        return False

    def _check_submitter(self, spec: JobSpec, item: Item) -> None:
        """Raise JobIdTaken if a stored job is not the one that is submitted again."""
        if not is_same_submitter(_decode(stored_workspace, item), spec.workspace):
            self._refuse_taken(spec)

    def _refuse_taken(self, spec: JobSpec) -> NoReturn:
        reason = RefusalReason.ID_TAKEN
        self._refusals.record(reason, job=spec.job, workspace=spec.workspace)
        raise JobIdTaken


def _decode(decode: Callable[[bytes], Decoded], item: Item) -> Decoded:
    """Decode a stored record; raise JayshuntError if another program overwrote it."""
    try:
        return decode(item.value)
    except DECODE_ERRORS as error:
        raise JayshuntError(
            "unreadable_record",
            step="entry.decode",
            outcome=Outcome.UNKNOWN,
            detail=f"{item.key}: {describe_invalid(error)}",
        ) from error
