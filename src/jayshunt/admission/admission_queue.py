"""Order the requests of a pool that wait for a slot."""

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
    """Hold waiting requests by deadline, and tell which would be late.

    All admitted requests wait in one order by deadline. A request that its
    class's usual share covers, but that would be late in that order, goes into
    the urgent lane before all others. Excess is admitted only where it makes no
    admitted request late.
    """

    def __init__(self, shares: UsualShares) -> None:
        """Start empty."""
        self._shares = shares
        self._urgent = Backlog()
        self._normal = Backlog()
        self._waiting: Counter[ClassName] = Counter()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return self._urgent.count + self._normal.count

    def add(self, waiter: Waiter, now_s: float) -> None:
        """Add one request."""
        self._lane(waiter).add(waiter, now_s)
        if not waiter.urgent:
            self._waiting[waiter.request.work_class] += 1

    def remove(self, waiter: Waiter) -> None:
        """Take one request out."""
        if waiter.waiting and not waiter.urgent:
            self._waiting[waiter.request.work_class] -= 1
        self._lane(waiter).remove(waiter)

    def next(self) -> Waiter | None:
        """Return the request to serve next."""
        return self._urgent.first() or self._normal.first()

    def waiters(self) -> list[Waiter]:
        """Return all waiting requests in their order."""
        return [*self._urgent.waiters(), *self._normal.waiters()]

    def rebase_if_old(self, now_s: float) -> None:
        """Keep the deadlines within the rings of both lanes."""
        self._urgent.rebase_if_old(now_s)
        self._normal.rebase_if_old(now_s)

    def lateness_ms(
        self, waiter: Waiter, slots: int, running_ms: float, now_s: float
    ) -> float:
        """Return by how much admitting a request would miss a deadline.

        Negative if it can be admitted. A covered request may be marked as
        urgent. Requests that run are on average half done; excess also waits for
        what the usual shares of other classes bring in the meantime.
        """
        half_done_ms = running_ms / 2
        if waiter.covered:
            return self._covered_lateness_ms(waiter, max(slots, 1), half_done_ms, now_s)
        name = waiter.request.work_class
        usable = slots - self._shares.reserved_slots(name, slots, now_s)
        usable = max(usable, 0.5)
        ahead_ms = half_done_ms + self._urgent.work_ms
        own_ms = ahead_ms + self._normal.work_until(waiter.deadline_s)
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
        ahead_ms += self._normal.work_until(waiter.deadline_s)
        lateness_ms = _lateness_ms(waiter, ahead_ms / slots, now_s)
        # A class does not overtake its own requests, or a class whose demand
        # lasts would keep its admitted ones waiting for good.
        if lateness_ms <= 0 or self._waiting[waiter.request.work_class] > 0:
            return lateness_ms
        waiter.urgent = True
        ahead_ms = half_done_ms + self._urgent.work_until(waiter.deadline_s)
        return _lateness_ms(waiter, ahead_ms / slots, now_s)

    def _lane(self, waiter: Waiter) -> Backlog:
        return self._urgent if waiter.urgent else self._normal


def _lateness_ms(waiter: Waiter, wait_ms: float, now_s: float) -> float:
    need_ms = wait_ms * WAIT_SAFETY_FACTOR + waiter.run_ms * RUN_SAFETY_FACTOR
    return need_ms - (waiter.deadline_s - now_s) * 1000
