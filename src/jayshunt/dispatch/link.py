"""Call the dispatcher from an entry, in the same process or over HTTP."""

import contextlib
import json
import logging
import math
import queue
import threading
from dataclasses import asdict

from pydantic import TypeAdapter

from jayshunt import http_client
from jayshunt.checked import CheckedModel, Name, Number, describe_invalid
from jayshunt.clock import Clock
from jayshunt.dispatch.const import (
    DISPATCHER_WAIT_S,
    NOTIFY_RETRY_S,
    PEER_CALL_TIMEOUT_S,
    SILENT_INTERVAL_S,
    STATUS_INTERVAL_S,
)
from jayshunt.dispatch.dispatcher import Dispatcher
from jayshunt.dispatch.errors import NoDispatcher
from jayshunt.dispatch.handover import EntryReport
from jayshunt.dispatch.job_memory import JobRoom
from jayshunt.dispatch.models import JobState
from jayshunt.dispatch.store_models import Term
from jayshunt.dispatch.suspicion import DispatcherFailureDetector
from jayshunt.dispatch.term import TermElection
from jayshunt.errors import DECODE_ERRORS, JayshuntError, Outcome
from jayshunt.ids import JobId, LeaseId, QueueName, WorkspaceName
from jayshunt.overload.models import QueueOutlook, Refusal
from jayshunt.overload.outlook import decode_outlooks
from jayshunt.platform.store import PlatformStore

_LOGGER = logging.getLogger(__name__)

_REFUSALS = TypeAdapter(dict[QueueName, Number])
_WORKSPACE_REFUSALS = TypeAdapter(dict[QueueName, dict[WorkspaceName, Number]])

NOTICES_PER_CALL = 50
MAX_NOTICES = 5_000
# A job without a notice is found in the store by the dispatcher's next poll. The peers'
# port takes a batch of this size on the smallest VMs too, with all characters escaped.
MAX_NOTICE_BYTES = 24 * 1024
NOTICE_BYTES_PER_CALL = 32 * 1024
MAX_NOTICES_BYTES = 4 * 1024**2
# A dispatcher may refuse a batch each time.
NOTICE_TRIES = 20
MAX_IDLE_HANDLES = 16
# Reports of other entries, by name; the oldest are dropped.
MAX_REPORTS = 1_000
# A call without a dispatcher is retried on each change of the term, and at the latest
# after four times this.
POLL_S = 0.05


class ReportBody(CheckedModel):
    """Represent an entry's report of its access to the store."""

    entry: Name
    store_answer_age_s: Number | None


class DispatcherLink:
    """Send an entry's calls and notices to the entry that holds the term.

    `own_dispatcher` is the dispatcher of this process while it holds the term.
    `handover_lease` is the lease of a term that this entry gave up without reaching the
    store, so that another entry ends it.
    """

    def __init__(
        self,
        election: TermElection,
        store: PlatformStore,
        clock: Clock,
        failure_detector: DispatcherFailureDetector,
        idle_room: JobRoom | None = None,
    ) -> None:
        """Start with no notices to send and no known refusals.

        `idle_room` is the memory for a job at a dispatcher that holds none.
        """
        self._idle_room = idle_room
        self._failure_detector = failure_detector
        self._election = election
        self._store = store
        self._clock = clock
        self._handles = http_client.HandlePool(MAX_IDLE_HANDLES)
        self._notices: queue.Queue = queue.Queue(MAX_NOTICES)
        self._notices_bytes = 0
        self._notices_lock = threading.Lock()
        self._refusals: dict[QueueName, float] = {}
        self._outlooks: dict[QueueName, QueueOutlook] = {}
        self._workspace_refusals: dict[QueueName, dict[WorkspaceName, float]] = {}
        self._job_room: JobRoom | None = None
        self._refusals_s = 0.0
        self._reports: dict[str, EntryReport] = {}
        self._reports_lock = threading.Lock()
        self.handover_lease: LeaseId | None = None
        self.own_dispatcher: Dispatcher | None = None

    def refuse_retry_after_s(self, queue_name: QueueName) -> float:
        """Return the seconds after which refused callers of a queue may retry.

        Return 0 if the queue accepts jobs, and also if the dispatcher's refusals were
        not refreshed recently.
        """
        if self._clock.monotonic_s() - self._refusals_s > 4 * STATUS_INTERVAL_S:
            return 0.0
        return self._refusals.get(queue_name, 0.0)

    def workspace_retry_after_s(
        self, queue_name: QueueName, workspace: WorkspaceName
    ) -> float:
        """Return after how many seconds a workspace may submit to a queue, or 0."""
        if self._clock.monotonic_s() - self._refusals_s > 4 * STATUS_INTERVAL_S:
            return 0.0
        return self._workspace_refusals.get(queue_name, {}).get(workspace, 0.0)

    def has_room(self, job_bytes: int) -> bool:
        """Return whether the dispatcher has memory for a new job of this size.

        Without a recent answer, it is taken to hold no jobs. What it cannot hold waits
        in the store then.
        """
        if self._idle_room is not None and not self._idle_room.has_room(job_bytes):
            return False
        if self._clock.monotonic_s() - self._refusals_s > 4 * STATUS_INTERVAL_S:
            return True
        return self._job_room is None or self._job_room.has_room(job_bytes)

    def outlook(self, queue_name: QueueName) -> QueueOutlook | None:
        """Return the outlook of a queue, None if there is no recent one."""
        if self._clock.monotonic_s() - self._refusals_s > 4 * STATUS_INTERVAL_S:
            return None
        return self._outlooks.get(queue_name)

    def book_return(self, job: JobId, queue: QueueName, refusal: Refusal) -> float:
        """Return after how many seconds a refused caller may return, 0 to accept now.

        Without an answer of the dispatcher, it is the time from which on the queue
        would accept the job.
        """
        body = {"job": job, "queue": queue, **asdict(refusal)}
        try:
            return float(self._call("book_return", body, 0.0)["retry_after_s"])
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: failed to book the return of a caller",
                extra={"job": job, "reason": str(error)},
            )
            return max(1.0, math.ceil(refusal.after_s))

    def job_state(
        self, job: JobId, caller: WorkspaceName, wait_s: float
    ) -> JobState | None:
        """Return a job's state.

        Return None if the dispatcher does not know the job or does not show it to the
        caller's workspace.
        """
        answer = self._call("job_state", {"job": job, "workspace": caller}, wait_s)
        state = answer["state"]
        return None if state is None else JobState(state)

    def waiting(self, queue_name: QueueName, wait_s: float) -> int:
        """Return how many jobs of a queue have not started."""
        return self._call("waiting", {"queue": queue_name}, wait_s)["waiting"]

    def notify_accepted(self, job: JobId, value: bytes, created: int) -> None:
        """Queue one notice to the dispatcher about a job that was just stored.

        Without the notice, the dispatcher would find the job in the store later, as
        it does with a job that is too large for one.
        """
        if len(value) > MAX_NOTICE_BYTES:
            return
        self._notify(
            {"kind": "accepted", "job": job, "value": value.decode(), "rev": created}
        )

    def notify_cancelled(self, job: JobId) -> None:
        """Queue one notice to the dispatcher about a cancellation just stored."""
        self._notify({"kind": "cancelled", "job": job})

    def submit(self, key: str, value: bytes, wait_s: float) -> dict:
        """Store a job through the dispatcher when this entry can't reach the store."""
        return self._call("submit", {"key": key, "value": value.decode()}, wait_s)

    def cancel(self, job: JobId, caller: WorkspaceName, wait_s: float) -> bool:
        """Cancel a job through the dispatcher.

        Return False if it does not exist for the caller's workspace.
        """
        body = {"job": job, "workspace": caller}
        return self._call("cancel", body, wait_s)["found"]

    def where(self, body: dict) -> dict:
        """Ask the dispatcher where a job would be placed now.

        Raise JayshuntError if it does not answer.
        """
        return self._call("explain_placement", body, 0.0)

    def is_reachable(self) -> bool:
        """Return whether the dispatcher answered a poll for refusals recently."""
        age_s = self._clock.monotonic_s() - self._refusals_s
        return age_s < 4 * STATUS_INTERVAL_S

    def send_notices(self, stop: threading.Event) -> None:
        """Send queued notices in order and in batches, until stopped."""
        batch: list[dict] = []
        tries = 0
        while not stop.is_set():
            if not batch:
                batch, tries = self._take_batch(), 0
            if not batch:
                continue
            tries += 1
            try:
                self._call("notices", {"notices": batch}, 0.0)
                batch = []
            except JayshuntError as error:
                _LOGGER.debug("dispatch: failed to send notices, retrying: %s", error)
                self._clock.wait(stop, NOTIFY_RETRY_S)
                has_many = self._notices.qsize() > NOTICES_PER_CALL
                if has_many or tries >= NOTICE_TRIES:
                    # Dropping the batch is safe: a new dispatcher reads the store
                    # first, and a running one polls it (INTAKE_POLL_S).
                    batch = []

    def poll_refusals(self, stop: threading.Event) -> None:
        """Poll the dispatcher for the queues that refuse jobs, until stopped.

        Each call also reports this entry's access to the store, and an unanswered one
        counts towards the suspicion of the dispatcher.
        """
        while not stop.is_set():
            term = self._election.term
            interval_s = STATUS_INTERVAL_S
            sent_s = self._clock.monotonic_s()
            try:
                answer = self._call("refusals", self._own_report(), 0.0)
                self._failure_detector.record_answer()
                self._apply_refusals(answer)
            except JayshuntError as error:
                _LOGGER.debug("dispatch: failed to read refusals: %s", error)
                if term is not None and self._is_remote(term):
                    interval_s = SILENT_INTERVAL_S
                    self._failure_detector.record_silence(term, sent_s)
            self._clock.wait(stop, interval_s)

    def _apply_refusals(self, answer: dict) -> None:
        """Apply an answer to a poll; raise JayshuntError if it is malformed."""
        try:
            self._end_lease(answer.get("end_lease"))
            refusals = _REFUSALS.validate_python(answer["refusals"])
            self._outlooks = decode_outlooks(answer.get("outlooks", {}))
            by_workspace = _WORKSPACE_REFUSALS.validate_python(
                answer.get("workspace_refusals", {})
            )
            room = answer.get("job_room")
            job_room = None if room is None else JobRoom.model_validate(room)
        except DECODE_ERRORS as error:
            raise _unreadable_answer("refusals", "", error) from error
        self._refusals = refusals
        self._workspace_refusals = by_workspace
        self._job_room = job_room
        self._refusals_s = self._clock.monotonic_s()

    def _is_remote(self, term: Term) -> bool:
        """Return whether a term is held by another process."""
        return term.incarnation != self._election.incarnation

    def reports(self) -> list[EntryReport]:
        """Return the latest report of each other entry."""
        with self._reports_lock:
            return list(self._reports.values())

    def record_report(self, body: dict) -> None:
        """Record an entry's report, which it sends when it polls for refusals.

        Raise ValueError if it is malformed.
        """
        now_s = self._clock.monotonic_s()
        report = ReportBody.model_validate(body)
        age_s = report.store_answer_age_s
        answered_s = None if age_s is None else now_s - age_s
        with self._reports_lock:
            self._reports.pop(report.entry, None)
            self._reports[report.entry] = EntryReport(answered_s, now_s)
            if len(self._reports) > MAX_REPORTS:
                del self._reports[next(iter(self._reports))]

    def _own_report(self) -> dict:
        return {
            "entry": self._election.entry,
            "store_answer_age_s": self._store.last_success_age_s(),
        }

    def _end_lease(self, lease: str | None) -> None:
        """End the lease of a dispatcher that is cut off from the store."""
        if lease is None:
            return
        try:
            self._store.end_lease(LeaseId(lease))
            _LOGGER.info("dispatch: ended the term of an entry that handed over")
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: failed to end a term that was handed over, it will expire",
                extra={"reason": str(error)},
            )

    def _notify(self, notice: dict) -> None:
        size = _notice_bytes(notice)
        with self._notices_lock:
            is_full = self._notices_bytes + size > MAX_NOTICES_BYTES
            if not is_full:
                self._notices_bytes += size
        try:
            if is_full:
                raise queue.Full
            self._notices.put_nowait(notice)
        except queue.Full:
            if not is_full:
                self._subtract(size)
            _LOGGER.warning(
                "dispatch: a notice was dropped", extra={"job": notice["job"]}
            )

    def _take_batch(self) -> list[dict]:
        """Return queued notices, or an empty batch after half a second without one."""
        batch: list[dict] = []
        size = 0
        with contextlib.suppress(queue.Empty):
            batch.append(self._notices.get(timeout=0.5))
            size += _notice_bytes(batch[-1])
            while len(batch) < NOTICES_PER_CALL and size < NOTICE_BYTES_PER_CALL:
                batch.append(self._notices.get_nowait())
                size += _notice_bytes(batch[-1])
        self._subtract(size)
        return batch

    def _subtract(self, size: int) -> None:
        with self._notices_lock:
            self._notices_bytes -= size

    def _call(self, call: str, body: dict, wait_s: float) -> dict:
        """Call the dispatcher; on failure, wait for a successor for up to `wait_s`."""
        end_s = self._clock.monotonic_s() + min(wait_s, DISPATCHER_WAIT_S)
        while True:
            term = self._election.term
            try:
                return self._call_once(term, call, body)
            except JayshuntError:
                left_s = end_s - self._clock.monotonic_s()
                if left_s <= 0:
                    raise
                self._election.wait_for_change(term, min(left_s, POLL_S * 4))

    def _call_once(self, term: Term | None, call: str, body: dict) -> dict:
        own = self.own_dispatcher
        if own is not None and own.ready.is_set() and own.term_valid():
            return answer_call(own, call, body)
        if term is None or term.incarnation == self._election.incarnation:
            raise NoDispatcher(f"dispatch.{call}")
        with self._handles.lend() as handle:
            answer = http_client.request(
                "POST",
                f"http://{term.peer}/dispatch/{call}",
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout_s=PEER_CALL_TIMEOUT_S,
                step=f"dispatch.{call}",
                handle=handle,
            )
        if answer.status != 200:
            raise _status_error(call, str(term.peer), answer.status)
        try:
            return dict(json.loads(answer.body))
        except DECODE_ERRORS as error:
            raise _unreadable_answer(call, str(term.peer), error) from error


def _notice_bytes(notice: dict) -> int:
    """Return about how many bytes a notice takes in a queue or in a call."""
    return len(notice.get("value", "")) + 400


def _unreadable_answer(call: str, peer: str, error: Exception) -> JayshuntError:
    return JayshuntError(
        "unreadable_answer",
        step=f"dispatch.{call}",
        peer=peer,
        outcome=Outcome.UNKNOWN,
        retry_after_s=1.0,
        detail=f"malformed answer: {describe_invalid(error)}",
    )


def _status_error(call: str, peer: str, status: int) -> JayshuntError:
    if status != 504:
        return NoDispatcher(f"dispatch.{call}", peer, f"status {status}")
    return JayshuntError(
        "dispatcher_unsure",
        step=f"dispatch.{call}",
        peer=peer,
        outcome=Outcome.UNKNOWN,
        retry_after_s=1.0,
    )


def answer_call(dispatcher: Dispatcher, call: str, body: dict) -> dict:
    """Answer a call of any entry; runs on the entry that holds the term."""
    match call:
        case "job_state":
            state = dispatcher.job_state(JobId(body["job"]), _caller(body))
            return {"state": None if state is None else state.value}
        case "waiting":
            return {"waiting": dispatcher.count_waiting(QueueName(body["queue"]))}
        case "refusals":
            answer = {
                "refusals": dispatcher.planner.refusals(),
                "workspace_refusals": dispatcher.planner.workspace_refusals(),
                "job_room": dispatcher.job_room().model_dump(),
            }
            if dispatcher.planner.admission is not None:
                answer["outlooks"] = dispatcher.planner.admission.encode_outlooks()
            return answer
        case "book_return":
            if dispatcher.planner.admission is None:
                raise NoDispatcher(f"dispatch.{call}", detail="admission is off")
            refusal = Refusal(body["after_s"], body["core_s"])
            job, queue_name = JobId(body["job"]), QueueName(body["queue"])
            admission = dispatcher.planner.admission
            return {"retry_after_s": admission.book(job, queue_name, refusal)}
        case "explain_placement":
            return dispatcher.where(body)
        case "submit":
            return dispatcher.submit(body["key"], body["value"].encode())
        case "cancel":
            found = dispatcher.cancel_stored(JobId(body["job"]), _caller(body))
            return {"found": found}
        case "notices":
            for notice in body["notices"]:
                try:
                    _take_notice(dispatcher, notice)
                except DECODE_ERRORS as error:
                    _LOGGER.warning(
                        "dispatch: ignoring a malformed notice of an entry",
                        extra={"reason": describe_invalid(error)},
                    )
            return {}
        case _:
            raise NoDispatcher(f"dispatch.{call}", detail="unknown call")


def _caller(body: dict) -> WorkspaceName:
    """Return the workspace for which an entry calls; older entries send none."""
    return WorkspaceName(body.get("workspace", ""))


def _take_notice(dispatcher: Dispatcher, notice: dict) -> None:
    job = JobId(notice["job"])
    match notice["kind"]:
        case "accepted":
            value = notice["value"].encode()
            dispatcher.notify_accepted(job, value, notice["rev"])
        case "cancelled":
            dispatcher.notify_cancelled(job)
