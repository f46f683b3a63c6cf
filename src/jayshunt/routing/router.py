"""Take a request from admission to the whole answer."""

import logging
from collections.abc import Callable

from jayshunt.admission.messages import (
    PermitGranted,
    PermitRefused,
    PermitRequest,
    PermitResult,
    SendOutcome,
)
from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot, WorkClass, WorkKind
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import EntryId, PoolName, VmId
from jayshunt.routing.connections import UpstreamConnections
from jayshunt.routing.messages import CallerAnswer, CallerRequest

_LOGGER = logging.getLogger(__name__)

MAX_ATTEMPTS = 3


class Router:
    """Serve one request: permit, send, release, and retry where that is safe."""

    def __init__(
        self,
        entry: EntryId,
        clock: Clock,
        config: Callable[[], ConfigSnapshot],
        broker_of: Callable,
        connections: UpstreamConnections,
    ) -> None:
        """Wire the parts; `broker_of(pool)` returns the broker to ask."""
        self._entry = entry
        self._clock = clock
        self._config = config
        self._broker_of: Callable[[PoolName], object] = broker_of
        self._connections = connections

    def send(self, request: CallerRequest) -> CallerAnswer:
        """Return the whole answer, or raise JayshuntError with the outcome."""
        work_class = self._find_class(request)
        limit_ms = min(work_class.target_ms, request.timeout_ms or work_class.target_ms)
        deadline_s = self._clock.monotonic_s() + limit_ms / 1000
        excluded: tuple[VmId, ...] = ()
        for attempt in range(MAX_ATTEMPTS):
            permit = self._acquire(request, work_class, deadline_s, excluded)
            try:
                return self._send_once(request, permit, work_class, deadline_s)
            except JayshuntError as error:
                if not _may_retry(request, error, attempt):
                    raise
                excluded = (*excluded, permit.vm)
        raise AssertionError("the last attempt returns or raises")

    def _find_class(self, request: CallerRequest) -> WorkClass:
        work_class = self._config().document.classes.get(request.work_class)
        if work_class is None:
            raise JayshuntError(
                "unknown_class",
                step="routing.class",
                detail=f"there is no class {request.work_class!r}",
            )
        if work_class.kind is not WorkKind.REQUEST:
            raise JayshuntError(
                "class_runs_jobs",
                step="routing.class",
                detail=f"class {request.work_class!r} takes jobs, use POST /v1/jobs",
            )
        return work_class

    def _acquire(
        self,
        request: CallerRequest,
        work_class: WorkClass,
        deadline_s: float,
        excluded: tuple[VmId, ...],
    ) -> PermitGranted:
        remaining_ms = (deadline_s - self._clock.monotonic_s()) * 1000
        pool = PoolName(work_class.pool)
        reply = self._broker_of(pool).acquire(
            PermitRequest(
                request.request,
                request.work_class,
                pool,
                self._entry,
                remaining_ms,
                excluded,
            )
        )
        match reply:
            case PermitGranted():
                return reply
            case PermitRefused():
                raise JayshuntError(
                    reply.code,
                    step="admission.acquire",
                    peer=pool,
                    retry_after_s=reply.retry_after_s,
                    detail=reply.detail,
                )
        raise AssertionError(f"unexpected reply {reply!r}")

    def _send_once(
        self,
        request: CallerRequest,
        permit: PermitGranted,
        work_class: WorkClass,
        deadline_s: float,
    ) -> CallerAnswer:
        started_s = self._clock.monotonic_s()
        outcome = SendOutcome.FAILED
        try:
            timeout_ms = (deadline_s - started_s) * 1000
            answer = self._connections.send(
                permit.vm, permit.address, request, timeout_ms
            )
            failed = answer.status >= 500
            outcome = SendOutcome.FAILED if failed else SendOutcome.ANSWERED
            return answer
        except JayshuntError as error:
            outcome = _outcome_of(error)
            raise
        finally:
            duration_ms = (self._clock.monotonic_s() - started_s) * 1000
            self._broker_of(PoolName(work_class.pool)).release(
                PermitResult(
                    permit.permit, permit.vm, request.work_class, outcome, duration_ms
                )
            )


def _outcome_of(error: JayshuntError) -> SendOutcome:
    if error.outcome is Outcome.NOT_RUN:
        return SendOutcome.NOT_SENT
    if error.code == "upstream_timeout":
        return SendOutcome.TIMED_OUT
    return SendOutcome.FAILED


def _may_retry(request: CallerRequest, error: JayshuntError, attempt: int) -> bool:
    if attempt + 1 >= MAX_ATTEMPTS or error.step != "routing.send":
        return False
    return request.repeatable or error.outcome is Outcome.NOT_RUN
