"""Order waiting requests by deadline in a ring of buckets."""

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from jayshunt.admission.const import BUCKET_COUNT, BUCKET_WIDTH_MS
from jayshunt.admission.messages import PermitReply, PermitRequest


@dataclass(eq=False)
class Waiter:
    """Represent a queued request; times are monotonic seconds.

    `covered` is True if the usual share of the class covers the request, `waiting`
    is False once the request was removed from the queue.
    """

    request: PermitRequest
    on_reply: Callable[[PermitReply], None]
    arrived_s: float
    deadline_s: float
    run_ms: float
    covered: bool
    urgent: bool = False
    bucket: int = 0
    waiting: bool = True

    @property
    def wait_until_s(self) -> float:
        """Return the time at which the request stops waiting."""
        return self.arrived_s + self.request.wait_limit_ms / 1000


class Backlog:
    """Order waiters by deadline, earliest first, at a constant cost per waiter.

    Waiters are grouped by deadline into a fixed number of buckets. Sums of work run
    over the buckets, so their cost does not depend on the number of waiters.
    Deadlines beyond the last bucket are put into that bucket, which is served last.
    """

    def __init__(self) -> None:
        """Create an empty backlog."""
        self._work = [0.0] * BUCKET_COUNT
        self._counts = [0] * BUCKET_COUNT
        self._buckets: dict[int, deque[Waiter]] = {}
        self._order: list[int] = []
        self._base = 0
        self._last_index = 0
        self.count = 0
        self.work_ms = 0.0

    def add(self, waiter: Waiter, now_s: float) -> None:
        """Add a waiter to the bucket of its deadline."""
        if self.count == 0:
            self._reset(now_s)
        waiter.bucket = self._bucket_of(waiter.deadline_s)
        bucket = self._buckets.get(waiter.bucket)
        if bucket is None:
            bucket = self._buckets[waiter.bucket] = deque()
            heapq.heappush(self._order, waiter.bucket)
        bucket.append(waiter)
        self.count += 1
        self._count_work(waiter.bucket, waiter.run_ms)

    def first(self) -> Waiter | None:
        """Return the waiter with the earliest deadline, without removing it."""
        while self._order:
            bucket = self._buckets[self._order[0]]
            while bucket and not bucket[0].waiting:
                bucket.popleft()
            if bucket:
                return bucket[0]
            del self._buckets[heapq.heappop(self._order)]
        return None

    def remove(self, waiter: Waiter) -> None:
        """Mark a waiter as removed and subtract its work.

        `first` drops it from its bucket when it reaches the front.
        """
        if not waiter.waiting:
            return
        waiter.waiting = False
        self.count -= 1
        self._count_work(waiter.bucket, -waiter.run_ms)

    def work_until_ms(self, deadline_s: float) -> float:
        """Return the milliseconds of work with deadlines up to `deadline_s`."""
        end = self._bucket_of(deadline_s) - self._base + 1
        return sum(self._work[:end])

    def max_later_lateness_ms(
        self, deadline_s: float, now_s: float, ahead_ms: float, slots: float
    ) -> float:
        """Return the maximum lateness of the waiters due after `deadline_s`.

        `ahead_ms` is the work that runs before this backlog, including the run time
        of a new request due at `deadline_s`. A negative result means that every
        waiter meets its deadline, by at least that many milliseconds.
        """
        start = self._bucket_of(deadline_s) - self._base + 1
        total_ms = ahead_ms + sum(self._work[:start])
        width_s = BUCKET_WIDTH_MS / 1000
        left_ms = (self._base * width_s - now_s) * 1000
        worst_ms = float("-inf")
        for index in range(start, self._last_index + 1):
            if self._counts[index]:
                total_ms += self._work[index]
                due_ms = left_ms + index * BUCKET_WIDTH_MS
                worst_ms = max(worst_ms, total_ms / slots - due_ms)
        return worst_ms

    def waiters(self) -> list[Waiter]:
        """Return all waiters, earliest deadline first."""
        return [
            waiter
            for bucket_number in sorted(self._buckets)
            for waiter in self._buckets[bucket_number]
            if waiter.waiting
        ]

    def _bucket_of(self, deadline_s: float) -> int:
        bucket_number = math.floor(deadline_s * 1000 / BUCKET_WIDTH_MS)
        return min(max(bucket_number, self._base), self._base + BUCKET_COUNT - 1)

    def _count_work(self, bucket: int, change_ms: float) -> None:
        index = bucket - self._base
        self.work_ms = max(0.0, self.work_ms + change_ms)
        self._counts[index] += 1 if change_ms > 0 else -1
        # Reset an empty bucket to exactly zero, to discard rounding errors.
        self._work[index] += change_ms
        if not self._counts[index]:
            self._work[index] = 0.0
        self._last_index = max(self._last_index, index)

    def _reset(self, now_s: float) -> None:
        self._work = [0.0] * BUCKET_COUNT
        self._counts = [0] * BUCKET_COUNT
        self._buckets.clear()
        self._order.clear()
        self._base = math.floor(now_s * 1000 / BUCKET_WIDTH_MS)
        self._last_index = 0
        self.work_ms = 0.0

    def rebase_if_old(self, now_s: float) -> None:
        """Move the ring's start to the current time once half of the ring is past.

        Otherwise all waiters of a queue that never becomes empty would end up in
        the last bucket. The cost is one pass over the waiters every five seconds.
        """
        current = math.floor(now_s * 1000 / BUCKET_WIDTH_MS)
        if current - self._base < BUCKET_COUNT // 2:
            return
        waiters = self.waiters()
        self._reset(now_s)
        self.count = 0
        for waiter in waiters:
            self.add(waiter, now_s)
