"""Predict, by queue, when a new job could start; without network or clock.

The expected load: a queue submits several times what its pool can do, for some
seconds. Its jobs differ in size by a factor of ten, and the order of service takes
small ones first, so that one wait for the whole queue would fit none of them.

The cost of an update is one look at each waiting task, five times a second at most, and
for each queue one pass over the sizes in its pool, of which there are about ten.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field

from jayshunt.dispatch.backlog import remaining_core_seconds
from jayshunt.dispatch.models import FleetConfig
from jayshunt.dispatch.tasks import Job, compute_critical_path_ms
from jayshunt.ids import PoolName, QueueName
from jayshunt.overload.const import (
    MIN_PACKED_SHARE,
    MOVE_S,
    PACKED_SHARE,
    PACKED_WEIGHT,
)
from jayshunt.overload.models import PoolCapacity, Prospect, QueueOutlook
from jayshunt.overload.service_order import prospect, size_exponent

# Exponent of a size that no job is below.
SMALLEST = -64


@dataclass
class _Backlog:
    """Sum the waiting work of a pool in core seconds.

    `in_time` has the key (priority, exponent of the size), `late` the priority. Jobs
    past their use do not count.
    """

    in_time: dict = field(default_factory=lambda: defaultdict(float))
    late: dict = field(default_factory=lambda: defaultdict(float))

    @property
    def total(self) -> float:
        """Return all work that waits."""
        return sum(self.in_time.values()) + sum(self.late.values())


@dataclass
class Forecast:
    """Predict waits from the waiting jobs and from what was observed of each pool.

    `is_by_size` says whether small jobs are served before large ones; otherwise all
    in-time work of a priority goes before a new job. `packed` is the share of a pool's
    cores in use while work waits, which is the rate at which the pool completes work.
    `path_factors` are the ratios of predicted to estimated run times by queue. Both are
    kept while a pool or a queue is idle.
    """

    is_by_size: bool = True
    packed: dict[PoolName, float] = field(default_factory=dict)
    path_factors: dict[QueueName, float] = field(default_factory=dict)

    def update(
        self,
        config: FleetConfig,
        jobs: Iterable[Job],
        pools: dict[PoolName, PoolCapacity],
        fetchable_cores: float,
        now_s: float,
    ) -> dict[QueueName, QueueOutlook]:
        """Return the outlook of each queue.

        `fetchable_cores` can be moved to any pool; pools share them by their work.
        """
        backlogs = self._backlogs(jobs, now_s)
        total = sum(backlog.total for backlog in backlogs.values())
        outlooks: dict[QueueName, QueueOutlook] = {}
        for queue in config.queues:
            pool = pools.get(queue.pool, PoolCapacity(0.0))
            backlog = backlogs.get(queue.pool, _Backlog())
            share = backlog.total / total if total else 1.0
            rate = self._rate(queue.pool, pool, bool(backlog.total))
            coming = pool.moving + share * fetchable_cores
            waits = _waits(backlog, queue.priority, rate, coming)
            late = sum(w for key, w in backlog.late.items() if key <= queue.priority)
            late += sum(backlog.in_time.values())
            outlooks[queue.queue] = QueueOutlook(
                queue.queue,
                waits,
                time_to_do(late, rate, coming),
                self.path_factors.get(queue.queue, 1.0),
                rate + coming,
            )
        return outlooks

    def _backlogs(self, jobs: Iterable[Job], now_s: float) -> dict[PoolName, _Backlog]:
        backlogs: dict[PoolName, _Backlog] = {}
        paths: dict[QueueName, list[float]] = {}
        for job in jobs:
            if job.spec.is_long_running:
                continue
            sums = paths.setdefault(job.spec.queue, [0.0, 0.0])
            estimate_ms = compute_critical_path_ms(job.spec)
            sums[0] += job.critical_path_ms
            sums[1] += estimate_ms
            found = prospect(job, now_s, None, 0.0, job.has_started)
            work = remaining_core_seconds(job)
            if found is Prospect.USELESS or work <= 0:
                continue
            if estimate_ms:
                work *= job.critical_path_ms / estimate_ms
            backlog = backlogs.setdefault(job.config.pool, _Backlog())
            if found.is_in_time:
                size = size_exponent(work) if self.is_by_size else SMALLEST
                key = (job.config.priority, size)
                backlog.in_time[key] += work
            else:
                backlog.late[job.config.priority] += work
        for queue, (predicted, estimated) in paths.items():
            if estimated:
                self.path_factors[queue] = predicted / estimated
        return backlogs

    def _rate(self, name: PoolName, pool: PoolCapacity, has_work: bool) -> float:
        """Return the core seconds that a pool completes per second."""
        share = self.packed.get(name, PACKED_SHARE)
        if has_work and pool.cores > 0:
            observed = min(1.0, max(MIN_PACKED_SHARE, pool.used / pool.cores))
            share += PACKED_WEIGHT * (observed - share)
            self.packed[name] = share
        return share * pool.cores


def time_to_do(work: float, rate: float, coming: float) -> float:
    """Return the seconds that a pool needs for work in core seconds.

    The cores that are coming take part once they were moved.
    """
    if work <= rate * MOVE_S:
        return work / rate if work > 0 else 0.0
    if rate + coming <= 0:
        return 0.0
    return MOVE_S + (work - rate * MOVE_S) / (rate + coming)


def _waits(
    backlog: _Backlog, priority: int, rate: float, coming: float
) -> tuple[tuple[float, float], ...]:
    """Return the waits of jobs by size, behind all work of a higher priority."""
    before = sum(w for (other, _), w in backlog.in_time.items() if other < priority)
    sizes = sorted(
        (size, w) for (other, size), w in backlog.in_time.items() if other == priority
    )
    waits: list[tuple[float, float]] = []
    if before or sizes:
        smallest = 2.0 ** sizes[0][0] if sizes else 0.0
        waits.append((smallest, round(time_to_do(before, rate, coming), 3)))
    for size, work in sizes:
        before += work
        largest = 2.0 ** (size + 1)
        waits.append((largest, round(time_to_do(before, rate, coming), 3)))
    return tuple(waits)


def encode_outlooks(outlooks: dict[QueueName, QueueOutlook]) -> dict[str, dict]:
    """Return the outlooks as JSON fields for the answer to an entry's poll."""
    return {queue: asdict(outlook) for queue, outlook in outlooks.items()}


def decode_outlooks(fields: dict[str, dict]) -> dict[QueueName, QueueOutlook]:
    """Return the outlooks of an answer; raise an error of DECODE_ERRORS."""
    return {
        QueueName(queue): QueueOutlook(
            QueueName(queue),
            tuple((float(size), float(wait)) for size, wait in values["waits"]),
            float(values["late_wait_s"]),
            float(values["path_factor"]),
            float(values["capacity"]),
        )
        for queue, values in fields.items()
    }
