"""Route a request from its admission to the complete answer."""

import logging
import random
import threading
from collections.abc import Callable
from typing import Protocol

from jayshunt.admission.messages import (
    PermitGranted,
    PermitRefused,
    PermitRequest,
    PermitResult,
    SendOutcome,
    unused_result,
)
from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot, WorkClass, WorkKind
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import EntryId, PoolName, RequestId
from jayshunt.routing.claims import ClaimStore, NoClaims
from jayshunt.routing.connections import UpstreamConnections
from jayshunt.routing.const import (
    ATTEMPT_RUN_FACTOR,
    ATTEMPT_TIME_RATIO,
    BACKOFF_BASE_MS,
    BACKOFF_LIMIT_MS,
    FAULT_STATUSES,
    LATE_RUN_FACTOR,
    LATE_WAIT_RATIO,
    MAX_ATTEMPTS,
    MINIMUM_GRACE_MS,
    MINIMUM_SEND_MS,
    USE_WITHIN_MS,
)
from jayshunt.routing.messages import CallerAnswer, CallerRequest
from jayshunt.routing.progress import Progress, deadline_passed, outcome_of
from jayshunt.routing.retry_budget import RetryBudget

_LOGGER = logging.getLogger(__name__)


class PermitSource(Protocol):
    """Define the interface through which the router gets permits."""

    def acquire(self, request: PermitRequest) -> PermitGranted | PermitRefused:
        """Block until a permit is granted or refused."""

    def release(self, result: PermitResult) -> None:
        """Release a permit, with the outcome of its use."""

    def cancel(self, request: RequestId) -> bool:
        """Cancel a waiting request; return True if it will not run."""


class Router:
    """Serve requests: acquire a permit, claim the key, send, release and retry.

    Only attempts that are safe to repeat are retried.
    """

    def __init__(
        self,
        entry: EntryId,
        clock: Clock,
        config: Callable[[], ConfigSnapshot],
        permits: PermitSource,
        connections: UpstreamConnections,
        rng: random.Random,
        claims: ClaimStore | None = None,
    ) -> None:
        """Create a router; without `claims` no idempotency keys are claimed."""
        self._entry = entry
        self._clock = clock
        self._config = config
        self._permits = permits
        self._connections = connections
        self._rng = rng
        self._claims = claims or NoClaims()
        self._never_set = threading.Event()
        self.budget = RetryBudget()

    def send(self, request: CallerRequest) -> CallerAnswer:
        """Return the complete answer, or raise JayshuntError with the outcome."""
        work_class = self._find_class(request)
        limit_ms = min(work_class.target_ms, request.timeout_ms or work_class.target_ms)
        deadline_s = self._clock.monotonic_s() + limit_ms / 1000
        wait_until_s = deadline_s
        if request.timeout_ms is None:
            wait_until_s += LATE_WAIT_RATIO * limit_ms / 1000
        progress = Progress(request, work_class, deadline_s, wait_until_s)
        self.budget.deposit()
        try:
            answer = self._serve(progress)
        except JayshuntError as error:
            if progress.claimed:
                self._claims.finish(request, error)
            raise
        if progress.claimed:
            self._claims.finish(request, answer)
        return answer

    def cancel(self, request: RequestId) -> bool:
        """Cancel a request that waits for a slot; return True if it will not run."""
        return self._permits.cancel(request)

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

    def _serve(self, progress: Progress) -> CallerAnswer:
        while True:
            try:
                granted_s, permit = self._acquire(progress)
            except JayshuntError:
                # The upstream's own answer is more useful to the caller than the
                # error of the refused retry.
                if progress.fallback is not None:
                    return progress.fallback
                raise
            stored = self._claim(progress, permit)
            if stored is not None:
                return stored
            timeout_ms = self._attempt_timeout_ms(progress, permit)
            if self._is_stale(granted_s) or timeout_ms < MINIMUM_SEND_MS:
                self._permits.release(
                    unused_result(permit, progress.request.work_class)
                )
                if self._clock.monotonic_s() >= progress.wait_until_s:
                    raise progress.failure or deadline_passed(permit.vm)
                continue
            try:
                answer = self._send_once(progress, permit, timeout_ms)
            except JayshuntError as error:
                self._record_failure(progress, error)
                if not self._may_retry(progress, error.outcome):
                    if progress.fallback is not None:
                        return progress.fallback
                    raise progress.final_error() from error
            else:
                if answer.status not in FAULT_STATUSES:
                    return answer
                progress.fallback = answer
                progress.may_have_run = True
                if not self._may_retry(progress, Outcome.RAN):
                    return answer
            progress.excluded = (*progress.excluded, permit.vm)
            self._back_off(progress)

    def _acquire(self, progress: Progress) -> tuple[float, PermitGranted]:
        request = progress.request
        pool = PoolName(progress.work_class.pool)
        asked_s = self._clock.monotonic_s()
        reply = self._permits.acquire(
            PermitRequest(
                request.request,
                request.work_class,
                pool,
                self._entry,
                self._remaining_ms(progress),
                progress.excluded,
                progress.sent,
                patience_ms=(progress.wait_until_s - asked_s) * 1000,
            )
        )
        match reply:
            case PermitGranted():
                # The age of the grant includes its time in transit, because this
                # process may have been paused while the grant was in its socket.
                return asked_s + reply.waited_ms / 1000, reply
            case PermitRefused():
                raise self._refusal_error(progress, pool, reply)
        raise AssertionError(f"unexpected reply {reply!r}")

    def _refusal_error(
        self, progress: Progress, pool: PoolName, refused: PermitRefused
    ) -> JayshuntError:
        """Return the error of a refusal, or that of an earlier failed attempt."""
        if progress.failure is not None:
            return progress.final_error()
        return JayshuntError(
            refused.code,
            step="admission.acquire",
            peer=pool,
            outcome=Outcome.UNKNOWN if progress.may_have_run else Outcome.NOT_RUN,
            retry_after_s=refused.retry_after_s,
            detail=refused.detail,
        )

    def _claim(self, progress: Progress, permit: PermitGranted) -> CallerAnswer | None:
        if progress.claimed or progress.request.key is None:
            return None
        try:
            stored = self._claims.begin(progress.request)
        except BaseException:
            self._permits.release(unused_result(permit, progress.request.work_class))
            raise
        if stored is not None:
            self._permits.release(unused_result(permit, progress.request.work_class))
            return stored
        progress.claimed = True
        return None

    def _attempt_timeout_ms(self, progress: Progress, permit: PermitGranted) -> float:
        """Return the timeout of one attempt.

        An attempt of a repeatable request leaves time for another one, in case its
        connection goes silent. Any other request gets all of the remaining time,
        because it cannot be repeated after a timeout.
        """
        remaining_ms = self._remaining_ms(progress)
        may_repeat = progress.request.repeatable and remaining_ms > 0
        if may_repeat and progress.sent + 1 < MAX_ATTEMPTS:
            limit_ms = ATTEMPT_TIME_RATIO * remaining_ms
            limit_ms = max(limit_ms, ATTEMPT_RUN_FACTOR * permit.expected_ms)
            if limit_ms < remaining_ms:
                return limit_ms
        if progress.request.timeout_ms is not None:
            return remaining_ms
        grace_ms = max(MINIMUM_GRACE_MS, LATE_RUN_FACTOR * permit.expected_ms)
        return max(0.0, remaining_ms) + grace_ms

    def _send_once(
        self, progress: Progress, permit: PermitGranted, timeout_ms: float
    ) -> CallerAnswer:
        started_s = self._clock.monotonic_s()
        outcome, closing = SendOutcome.FAILED, False
        progress.sent += 1
        try:
            received = self._connections.send(
                permit.vm, permit.address, progress.request, timeout_ms
            )
            closing = received.closing
            if received.answer.status not in FAULT_STATUSES:
                outcome = SendOutcome.ANSWERED
            return received.answer
        except JayshuntError as error:
            outcome = outcome_of(error)
            raise
        finally:
            duration_ms = (self._clock.monotonic_s() - started_s) * 1000
            result = PermitResult(
                permit.permit,
                permit.vm,
                progress.request.work_class,
                outcome,
                duration_ms,
                closing,
            )
            self._permits.release(result)

    def _record_failure(self, progress: Progress, error: JayshuntError) -> None:
        progress.failure = progress.failure or error
        if error.outcome is not Outcome.NOT_RUN:
            progress.may_have_run = True
        progress.failure_details.append(f"{error.peer}: {error.detail}")
        _LOGGER.info(
            "routing: attempt %d on %s failed: %s",
            progress.sent,
            error.peer,
            error.detail,
            extra={"request": progress.request.request},
        )

    def _may_retry(self, progress: Progress, outcome: Outcome) -> bool:
        if outcome is not Outcome.NOT_RUN and not progress.request.repeatable:
            return False
        if progress.sent >= MAX_ATTEMPTS:
            return False
        if self._remaining_ms(progress) < 2 * BACKOFF_BASE_MS:
            return False
        return self.budget.try_withdraw()

    def _back_off(self, progress: Progress) -> None:
        """Wait with exponential backoff and full jitter, to spread retries."""
        limit_ms = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2 ** (progress.sent - 1))
        limit_ms = min(limit_ms, self._remaining_ms(progress) / 4)
        self._clock.wait(
            self._never_set, self._rng.uniform(0, max(0.0, limit_ms)) / 1000
        )

    def _remaining_ms(self, progress: Progress) -> float:
        return (progress.deadline_s - self._clock.monotonic_s()) * 1000

    def _is_stale(self, granted_s: float) -> bool:
        """Return whether a new broker may already count the permit's slot as free."""
        return (self._clock.monotonic_s() - granted_s) * 1000 > USE_WITHIN_MS
