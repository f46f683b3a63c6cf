"""Queue a pool's requests for slots and predict which would miss deadlines."""

from collections import Counter

from jayshunt.admission.backlog import Backlog, Waiter
from jayshunt.admission.const import (
    EXCESS_WAIT_RATIO,
    RUN_SAFETY_FACTOR,
    WAIT_SAFETY_FACTOR,
)
from jayshunt.admission.usual_shares import UsualShares
from jayshunt.ids import ClassName


class AdmissionQueue:
    """Order waiting requests by deadline and predict their lateness.

    Admitted requests are served earliest deadline first. A request that its
    class's usual share covers, but that would be late in that order, goes into
    the urgent lane, which is served before the normal one. A request beyond the
    share is admitted only if it makes no admitted request late.
    """

    def __init__(self, shares: UsualShares) -> None:
        """Create an empty queue."""
        self._shares = shares
        self._urgent = Backlog()
        self._normal = Backlog()
        self._waiting: Counter[ClassName] = Counter()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._urgent.count + self._normal.count

    def add(self, waiter: Waiter, now_s: float) -> None:
        """Add a request to its lane."""
        self._lane(waiter).add(waiter, now_s)
        if not waiter.urgent:
            self._waiting[waiter.request.work_class] += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; do nothing if it was already removed."""
        if waiter.waiting and not waiter.urgent:
            self._waiting[waiter.request.work_class] -= 1
        self._lane(waiter).remove(waiter)

    def next(self) -> Waiter | None:
        """Return the request to serve next, without removing it, or None."""
        return self._urgent.first() or self._normal.first()

    def waiters(self) -> list[Waiter]:
        """Return all queued requests in the order in which they are served."""
        return [*self._urgent.waiters(), *self._normal.waiters()]

    def rebase_if_old(self, now_s: float) -> None:
        """Move the bucket rings of both lanes forward if they are old."""
        self._urgent.rebase_if_old(now_s)
        self._normal.rebase_if_old(now_s)

    def lateness_ms(
        self, waiter: Waiter, slots: int, running_ms: float, now_s: float
    ) -> float:
        """Return the milliseconds by which admitting a request misses a deadline.

        The result is zero or negative if the request can be admitted. A request
        that the usual share of its class covers may be marked as urgent here.
        Running requests are taken as half done on average. A request beyond the
        share may use only the slots that the usual shares of other classes leave.
        """
        half_done_ms = running_ms / 2
        if waiter.covered:
            return self._covered_lateness_ms(waiter, max(slots, 1), half_done_ms, now_s)
        name = waiter.request.work_class
        usable = slots - self._shares.reserved_slots(name, slots, now_s)
        usable = max(usable, 0.5)
        ahead_ms = half_done_ms + self._urgent.work_ms
        own_ms = ahead_ms + self._normal.work_until_ms(waiter.deadline_s)
        wait_ms = own_ms / usable
        limit_ms = EXCESS_WAIT_RATIO * waiter.request.remaining_ms
        lateness_ms = max(_lateness_ms(waiter, wait_ms, now_s), wait_ms - limit_ms)
        if lateness_ms > 0:
            return lateness_ms
        ahead_ms += waiter.run_ms
        others_ms = self._normal.max_later_lateness_ms(
            waiter.deadline_s, now_s, ahead_ms, usable
        )
        return max(lateness_ms, others_ms)

    def _covered_lateness_ms(
        self, waiter: Waiter, slots: float, half_done_ms: float, now_s: float
    ) -> float:
        ahead_ms = half_done_ms + self._urgent.work_ms
        ahead_ms += self._normal.work_until_ms(waiter.deadline_s)
        lateness_ms = _lateness_ms(waiter, ahead_ms / slots, now_s)
        # Only a class without requests in the normal lane may use the urgent lane.
        # Otherwise a class with steady demand would overtake and starve its own
        # admitted requests.
        if lateness_ms <= 0 or self._waiting[waiter.request.work_class] > 0:
            return lateness_ms
        waiter.urgent = True
        ahead_ms = half_done_ms + self._urgent.work_until_ms(waiter.deadline_s)
        return _lateness_ms(waiter, ahead_ms / slots, now_s)

    def _lane(self, waiter: Waiter) -> Backlog:
        return self._urgent if waiter.urgent else self._normal


def _lateness_ms(waiter: Waiter, wait_ms: float, now_s: float) -> float:
    need_ms = wait_ms * WAIT_SAFETY_FACTOR + waiter.run_ms * RUN_SAFETY_FACTOR
    return need_ms - (waiter.deadline_s - now_s) * 1000
