"""Order waiting jobs so that as many as possible are in time; without network or clock.

The expected load: queues take turns to submit several times what their pool can do,
for some seconds, with sizes of jobs that differ by a factor of ten. An order by
deadline alone begins every job at the last moment, so that any delay makes it late,
and a wide job that gets only a part of its cores in time wastes them.

The cost of a round is one prospect and one sort key for each job that can be in time,
both without looking at its tasks. Those of late jobs are kept for `LATE_RANK_S`, and
the tasks of a job are looked at once, when it is first seen.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from jayshunt.dispatch.tasks import Job, compute_critical_path_ms
from jayshunt.ids import JobId, PoolName, QueueName
from jayshunt.overload.const import (
    LATE_RANK_S,
    SPARE_RUN_FRACTION,
    SPARE_S,
    USEFUL_FACTOR,
)
from jayshunt.overload.models import PoolRoom, Prospect
from jayshunt.overload.service_shares import ServiceShares, SizeHistory


@dataclass(slots=True)
class _KnownJob:
    """Store what does not change about a job, and whether it began while in time.

    `core_s` is its work in core seconds, `first_cores` what its first steps need and
    `first_tasks` their number of tasks. `is_waiting` is set while it counts as waiting
    in its group. `size` is the exponent of its work, and `rank` its latest sort key,
    which is used again until `rank_until_s`.
    """

    group: tuple
    core_s: float
    first_cores: float
    first_tasks: int
    is_long_running: bool
    size: int
    is_waiting: bool = True
    rank: tuple = ()
    rank_until_s: float = 0.0


def core_seconds(job: Job) -> float:
    """Return the predicted work of all tasks of a job in core seconds.

    The callers' estimates are scaled by the ratio of the predicted to the estimated
    critical path.
    """
    estimate_s = sum(
        step.task_count
        * (step.reserved.cpu_millicores / 1000)
        * (step.estimate_ms / 1000)
        for step in job.spec.steps
    )
    estimated_ms = compute_critical_path_ms(job.spec)
    return estimate_s * job.critical_path_ms / estimated_ms if estimated_ms else 0.0


def prospect(
    job: Job, now_s: float, room: PoolRoom | None, needed_cores: float, has_begun: bool
) -> Prospect:
    """Return how a job can still end, with the room of its pool as it is.

    A job that has not begun and needs more cores than are free gets the rest as tasks
    end: within one run time, a full pool turns over all of its cores.
    """
    deadline_s = job.deadline_s
    objective_s = deadline_s - job.accepted_s
    if now_s > job.accepted_s + USEFUL_FACTOR * objective_s:
        return Prospect.USELESS
    path_s = job.remaining_critical_path_s
    if now_s + path_s > deadline_s:
        return Prospect.LATE
    if has_begun:
        return Prospect.SAFE
    fill_s = 0.0
    if room is not None and needed_cores > room.free_cores and room.cores > 0:
        fill_s = (needed_cores - max(0.0, room.free_cores)) / room.cores * path_s
    spare_s = SPARE_S + SPARE_RUN_FRACTION * path_s
    is_safe = now_s + path_s + fill_s + spare_s <= deadline_s
    return Prospect.SAFE if is_safe else Prospect.POSSIBLE


@dataclass
class ServiceOrder:
    """Rank the jobs of each placement round; keeps what was served in memory.

    Nothing is stored: a successor starts with even shares.
    """

    shares: ServiceShares = field(default_factory=ServiceShares)
    sizes: dict[QueueName, SizeHistory] = field(default_factory=dict)
    prospects: dict[Prospect, int] = field(default_factory=dict)
    _known: dict[JobId, _KnownJob] = field(default_factory=dict)
    _ranks: dict[JobId, tuple] = field(default_factory=dict)

    def begin_round(
        self, jobs: Iterable[Job], rooms: dict[PoolName, PoolRoom], now_s: float
    ) -> None:
        """Rank all jobs that have a task ready to start."""
        self.shares.decay(now_s)
        self._ranks = {}
        self.prospects = dict.fromkeys(Prospect, 0)
        new: list[tuple[Job, _KnownJob, tuple]] = []
        for job in jobs:
            known = self._known.get(job.spec.job) or self._add(job)
            if now_s >= known.rank_until_s:
                self._rank_job(job, known, rooms.get(job.config.pool), now_s)
            if not known.is_long_running:
                self.prospects[known.rank[1]] += 1
            self._ranks[job.spec.job] = known.rank
            if known.is_waiting:
                new.append((job, known, known.rank))
        self._advance_owed(new)
        self._forget_ended()

    def _rank_job(
        self, job: Job, known: _KnownJob, room: PoolRoom | None, now_s: float
    ) -> None:
        ready = job.ready_tasks() if job.ready_cache is None else job.ready_cache
        begun = job.has_started or len(ready) < known.first_tasks
        found = prospect(job, now_s, room, known.first_cores, begun)
        self._count(known, found, begun)
        known.rank = _rank(job, known, found, begun)
        known.rank_until_s = 0.0 if found.is_in_time else now_s + LATE_RANK_S

    def order(self, jobs: Iterable[Job], now_s: float) -> list[Job]:
        """Return jobs of the round in the order in which they are placed.

        Long-running jobs come first, then those that can be in time: by priority, those
        already begun first, then small ones, then by deadline. Groups that fell behind
        their share go before the others. Late and useless jobs come last.
        """
        return sorted(jobs, key=lambda job: self._rank_of(job, now_s))

    def record_refused(self, pool: PoolName, queue: QueueName, core_s: float) -> None:
        """Count a job that was refused at its submission as one that is not served.

        Otherwise refusing large jobs would hide that few of them are served.
        """
        history = self.sizes.setdefault(queue, SizeHistory())
        group = (pool, queue, history.is_large(core_s))
        history.add(core_s)
        self.shares.record(group, submitted=1)

    def _rank_of(self, job: Job, now_s: float) -> tuple:
        """Return the rank of a job; one that is not of this round is ranked alone."""
        rank = self._ranks.get(job.spec.job)
        if rank is None:
            found = prospect(job, now_s, None, 0.0, job.has_started)
            rank = _rank(job, self._describe(job), found, job.has_started)
        return rank

    def _add(self, job: Job) -> _KnownJob:
        known = self._describe(job)
        if known.is_long_running or job.has_started:
            # A job whose next step became ready was counted with its first step.
            known.is_waiting = False
        else:
            self.sizes[job.spec.queue].add(known.core_s)
            self.shares.record(known.group, submitted=1, waiting=1)
        self._known[job.spec.job] = known
        return known

    def _describe(self, job: Job) -> _KnownJob:
        core_s = core_seconds(job)
        history = self.sizes.setdefault(job.spec.queue, SizeHistory())
        group = (job.config.pool, job.spec.queue, history.is_large(core_s))
        first = [step for step in job.spec.steps if not step.after]
        cores = sum(s.task_count * s.reserved.cpu_millicores for s in first) / 1000
        tasks = sum(step.task_count for step in first)
        is_long_running = job.spec.is_long_running
        size = size_exponent(core_s)
        return _KnownJob(group, core_s, cores, tasks, is_long_running, size)

    def _count(self, known: _KnownJob, found: Prospect, begun: bool) -> None:
        """Count a job as served or missed once it no longer waits."""
        if known.is_waiting and (begun or not found.is_in_time):
            known.is_waiting = False
            served = int(begun and found.is_in_time)
            self.shares.record(known.group, served=served, waiting=-1)

    def _advance_owed(self, new: list[tuple[Job, _KnownJob, tuple]]) -> None:
        """Put the first jobs of groups that are behind before all that can be in time.

        Only as many as are owed, and only those that are safely in time.
        """
        owed = self.shares.owed()
        if not owed:
            return
        entries = [
            (rank, job, key)
            for job, known, rank in new
            if rank[1] is Prospect.SAFE and (key := _share_key(known.group)) in owed
        ]
        for rank, job, key in sorted(entries, key=lambda entry: entry[0]):
            if owed[key] > 0.0:
                owed[key] -= 1.0
                self._ranks[job.spec.job] = (rank[0], rank[1], False, *rank[3:])

    def _forget_ended(self) -> None:
        """Forget jobs without a ready task: all of their tasks were placed."""
        for job_id in self._known.keys() - self._ranks.keys():
            known = self._known[job_id]
            if known.is_waiting:
                known.is_waiting = False
                self.shares.record(known.group, served=1, waiting=-1)
            del self._known[job_id]


def size_exponent(core_s: float) -> int:
    """Return the exponent of two of a size; sizes that share it count as equal."""
    return math.floor(math.log2(core_s)) if core_s > 0 else -64


def _share_key(group: tuple) -> tuple:
    """Return the key of a group's count: its own if it is large, else its queue's."""
    pool, queue, is_large = group
    return group if is_large else (pool, queue, None)


def _rank(job: Job, known: _KnownJob, found: Prospect, begun: bool) -> tuple:
    """Return the sort key of a job; the lowest is placed first.

    Sizes within a factor of two count as equal, so that the deadline decides.
    """
    by_size = known.size if found.is_in_time and not begun else 0
    return (
        not known.is_long_running,
        found,
        True,
        job.config.priority,
        not begun,
        by_size,
        job.deadline_s,
        job.spec.job,
    )
