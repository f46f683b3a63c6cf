"""Decide which requests are refused, and count the refusals."""

from jayshunt.admission.admission_queue import AdmissionQueue
from jayshunt.admission.backlog import Waiter
from jayshunt.admission.const import (
    QUEUE_LIMIT,
    SHED_WITHIN_RATIO,
)
from jayshunt.admission.messages import PermitRefused, PermitRequest
from jayshunt.admission.permit_table import PermitTable


class RefusalPolicy:
    """Refuse requests that cannot finish in time; call with the broker's lock held.

    Until `blocked_until_s` slots of unreachable entries count as in use.
    """

    def __init__(self, queue: AdmissionQueue, permits: PermitTable) -> None:
        """Create a policy with all counts at zero."""
        self._queue = queue
        self._permits = permits
        self.blocked_until_s = 0.0
        self.counts: dict[tuple[str, str], int] = {}

    def refuse(
        self, request: PermitRequest, code: str, retry_after_s: float, detail: str
    ) -> PermitRefused:
        """Count one refusal and return it."""
        key = (request.work_class, code)
        self.counts[key] = self.counts.get(key, 0) + 1
        return PermitRefused(code, retry_after_s, detail)

    def refuse_if_late(
        self, waiter: Waiter, slots: int, now_s: float
    ) -> PermitRefused | None:
        """Refuse a new request if it, or an admitted one, would miss its deadline.

        Return None if the request may be queued.
        """
        request = waiter.request
        if len(self._queue) >= QUEUE_LIMIT:
            return self.refuse(request, "queue_full", 0.5, "the queue is full")
        # A retry was admitted before its first attempt and is not refused.
        if request.attempt > 0:
            return None
        lateness_ms = self.lateness_ms(waiter, slots, now_s)
        if lateness_ms <= 0:
            return None
        return self._overloaded(waiter, lateness_ms)

    def lateness_ms(self, waiter: Waiter, slots: int, now_s: float) -> float:
        """Return the milliseconds by which admitting a request misses a deadline."""
        blocked_ms = max(0.0, self.blocked_until_s - now_s) * 1000
        lateness_ms = self._queue.lateness_ms(
            waiter, slots, self._permits.running_ms, now_s
        )
        return blocked_ms + lateness_ms

    def refuse_late_waiters(
        self, slots: int, now_s: float
    ) -> list[tuple[Waiter, PermitRefused]]:
        """Return refusals of queued requests that would be late after a loss of slots.

        The caller removes these requests from the queue. Only requests that arrived
        recently are refused, because a late refusal is worth less to the caller than
        a late answer. With no slot left every request is refused, so that it may be
        retried in another zone.
        """
        waiters = self._queue.waiters()
        if slots == 0:
            return [(w, self._no_instance(w)) for w in waiters]
        refused = []
        ahead_ms = self._permits.running_ms / 2
        for waiter in waiters:
            lateness_ms = ahead_ms / slots + waiter.run_ms
            lateness_ms -= (waiter.deadline_s - now_s) * 1000
            if lateness_ms > 0 and self._is_early(waiter, now_s):
                refused.append((waiter, self._overloaded(waiter, lateness_ms)))
            else:
                ahead_ms += waiter.run_ms
        return refused

    def _is_early(self, waiter: Waiter, now_s: float) -> bool:
        limit_ms = SHED_WITHIN_RATIO * waiter.request.remaining_ms
        waited_ms = (now_s - waiter.arrived_s) * 1000
        return waiter.request.attempt == 0 and waited_ms <= limit_ms

    def _no_instance(self, waiter: Waiter) -> PermitRefused:
        detail = "every instance was lost while the request waited"
        return self.refuse(waiter.request, "no_instance", 1.0, detail)

    def _overloaded(self, waiter: Waiter, lateness_ms: float) -> PermitRefused:
        return self.refuse(
            waiter.request,
            "overloaded",
            max(0.1, lateness_ms / 1000),
            f"{waiter.request.work_class} would miss its target by"
            f" {lateness_ms:.0f} ms",
        )
