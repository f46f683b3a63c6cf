"""Count how often large jobs and whole queues are served; the caller passes the time.

The expected load: a queue whose demand exceeds its pool for seconds. Preferring small
jobs then serves the most jobs in time, but never the largest ones.
"""

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

from jayshunt.overload.const import (
    LARGE_QUANTILE,
    LARGE_SHARE,
    MIN_OWED,
    MIN_SIZES,
    QUEUE_SHARE,
    SHARE_HALF_LIFE_S,
    SIZES_REMEMBERED,
)


@dataclass
class SizeHistory:
    """Remember the sizes of a queue's latest jobs, in core seconds."""

    latest: deque = field(default_factory=deque)
    ordered: list[float] = field(default_factory=list)

    def add(self, core_s: float) -> None:
        """Record the size of a new job."""
        self.latest.append(core_s)
        insort(self.ordered, core_s)
        if len(self.latest) > SIZES_REMEMBERED:
            del self.ordered[bisect_left(self.ordered, self.latest.popleft())]

    def is_large(self, core_s: float) -> bool:
        """Return whether a job is among the largest tenth of its queue.

        Jobs of a queue whose jobs are all alike are not large.
        """
        count = len(self.ordered)
        if count < MIN_SIZES or core_s <= self.ordered[count // 2]:
            return False
        return core_s >= self.ordered[int(LARGE_QUANTILE * (count - 1))]


@dataclass
class ServedCount:
    """Count submitted jobs and those that began while they could be in time.

    Both are decayed sums. `waiting` are the jobs that can be in time and have not
    begun.
    """

    submitted: float = 0.0
    served: float = 0.0
    waiting: int = 0

    @property
    def share(self) -> float:
        """Return the share of jobs that were served, 1 if there were none."""
        return self.served / self.submitted if self.submitted > 0 else 1.0

    def decay(self, factor: float) -> None:
        """Reduce the weight of past jobs; those that wait keep their weight."""
        self.submitted = max(float(self.waiting), self.submitted * factor)
        self.served *= factor

    def owed(self, wanted_share: float) -> float:
        """Return how many more jobs have to be served to reach a share."""
        return wanted_share * self.submitted - self.served


@dataclass
class ServiceShares:
    """Count the jobs of each queue, and apart from them its large ones.

    `counts` has the key (pool, queue, is_large) for large jobs and (pool, queue, None)
    for all jobs of a queue. Queues whose counts have decayed are removed.
    """

    counts: dict[tuple, ServedCount] = field(default_factory=dict)
    _decayed_s: float | None = None

    def decay(self, now_s: float) -> None:
        """Reduce the weight of past jobs by the time since the last call."""
        since_s = 0.0 if self._decayed_s is None else now_s - self._decayed_s
        self._decayed_s = now_s
        factor = 0.5 ** (since_s / SHARE_HALF_LIFE_S)
        for key, count in list(self.counts.items()):
            count.decay(factor)
            if count.submitted < 0.01:
                del self.counts[key]

    def record(self, group: tuple, submitted=0, served=0, waiting=0) -> None:
        """Add jobs of a group (pool, queue, is_large) to its counts."""
        pool, queue, is_large = group
        keys = [(pool, queue, None)] + ([group] if is_large else [])
        for key in keys:
            count = self.counts.setdefault(key, ServedCount())
            count.submitted += submitted
            count.served += served
            count.waiting = max(0, count.waiting + waiting)

    def owed(self) -> dict[tuple, float]:
        """Return, by group, how many jobs to serve before those of other groups."""
        pools: dict[str, ServedCount] = {}
        for (pool, _, part), count in self.counts.items():
            if part is None:
                total = pools.setdefault(pool, ServedCount())
                total.submitted += count.submitted
                total.served += count.served
        owed: dict[tuple, float] = {}
        for key, count in self.counts.items():
            pool, queue, part = key
            if part is None:
                missing = count.owed(QUEUE_SHARE * pools[pool].share)
            else:
                whole = self.counts[pool, queue, None]
                missing = count.owed(LARGE_SHARE * whole.share)
            if missing >= MIN_OWED:
                owed[key] = missing
        return owed
