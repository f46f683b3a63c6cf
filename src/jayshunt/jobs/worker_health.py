"""Tell workers that fail everything from jobs that fail everywhere."""

from dataclasses import dataclass, field

from jayshunt.ids import JobId, PoolName, TeamName, WorkerId
from jayshunt.jobs.const import (
    MAX_FAILED_WORKERS,
    MAX_QUARANTINED_RATIO,
    QUARANTINE_JOBS,
    QUARANTINE_S,
    QUARANTINE_TEAMS,
)


@dataclass
class _Streak:
    """Hold the jobs that failed on a worker since its last success."""

    jobs: dict[JobId, TeamName] = field(default_factory=dict)
    quarantined_until_s: float = 0.0


class WorkerHealth:
    """Quarantine a worker on which several teams' jobs failed in a row.

    A failure counts against the worker only while the job has not failed on
    another worker that is in good standing, so that a team whose jobs all fail
    does not take workers away from others. A quarantined worker gets work again
    after `QUARANTINE_S` and is quarantined again by its next failure. At most
    `MAX_QUARANTINED_RATIO` of a pool, and at least one worker, is quarantined at
    once. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Start with every worker in good standing."""
        self._streaks: dict[WorkerId, _Streak] = {}
        self._failed_on: dict[JobId, set[WorkerId]] = {}

    def record_success(self, worker: WorkerId, job: JobId) -> None:
        """Clear a worker that ran a job to its end."""
        self._streaks.pop(worker, None)
        self.forget(job)

    def record_failure(self, worker: WorkerId, job: JobId, team: TeamName) -> None:
        """Count a failure against the worker, or against the job."""
        workers = self._failed_on.setdefault(job, set())
        workers.add(worker)
        others = [w for w in workers if w != worker and not self._is_suspect(w)]
        if others:
            for other in workers:
                self._clear(other, job)
            return
        self._streaks.setdefault(worker, _Streak()).jobs[job] = team

    def forget(self, job: JobId) -> None:
        """Drop what is held of a job that ended."""
        self._failed_on.pop(job, None)

    def update(
        self, now_s: float, pools: dict[WorkerId, PoolName]
    ) -> tuple[WorkerId, ...]:
        """Return the workers that are quarantined now, and start new quarantines."""
        sizes: dict[PoolName, int] = {}
        held: dict[PoolName, int] = {}
        for worker, pool in pools.items():
            sizes[pool] = sizes.get(pool, 0) + 1
            held[pool] = held.get(pool, 0) + self.is_quarantined(worker, now_s)
        for worker, streak in self._streaks.items():
            pool = pools.get(worker)
            if pool is None or self.is_quarantined(worker, now_s):
                continue
            limit = max(1, int(sizes[pool] * MAX_QUARANTINED_RATIO))
            if self._is_suspect(worker) and held[pool] < limit:
                streak.quarantined_until_s = now_s + QUARANTINE_S
                # One more failure after the quarantine is enough for the next.
                streak.jobs = dict(list(streak.jobs.items())[1 - QUARANTINE_JOBS :])
                held[pool] += 1
        return tuple(w for w in self._streaks if self.is_quarantined(w, now_s))

    def is_quarantined(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether a worker gets no work at present."""
        streak = self._streaks.get(worker)
        return streak is not None and now_s < streak.quarantined_until_s

    def blamed_workers(
        self, failed_on: tuple[WorkerId, ...], now_s: float
    ) -> tuple[WorkerId, ...]:
        """Return the workers whose failure tells something of the job."""
        return tuple(
            worker
            for worker in failed_on
            if not self.is_quarantined(worker, now_s) and not self._is_suspect(worker)
        )

    def is_exhausted(self, failed_on: tuple[WorkerId, ...], now_s: float) -> bool:
        """Return whether a job failed on enough workers in good standing."""
        return len(self.blamed_workers(failed_on, now_s)) >= MAX_FAILED_WORKERS

    def _is_suspect(self, worker: WorkerId) -> bool:
        streak = self._streaks.get(worker)
        return (
            streak is not None
            and len(streak.jobs) >= QUARANTINE_JOBS
            and len(set(streak.jobs.values())) >= QUARANTINE_TEAMS
        )

    def _clear(self, worker: WorkerId, job: JobId) -> None:
        streak = self._streaks.get(worker)
        if streak is not None:
            streak.jobs.pop(job, None)
