"""Distinguish faulty workers from jobs that fail on any worker."""

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
    """The jobs that failed on a worker since its last success."""

    jobs: dict[JobId, TeamName] = field(default_factory=dict)
    quarantined_until_s: float = 0.0


class WorkerHealth:
    """Quarantine a worker on which several teams' jobs failed in a row.

    A failure counts against the worker only while the job has not failed on
    another worker that is not suspect. Otherwise a team whose jobs all fail could
    get the workers of other teams quarantined. A worker is suspect after failures
    of `QUARANTINE_JOBS` jobs of at least `QUARANTINE_TEAMS` teams in a row. A
    quarantined worker gets jobs again after `QUARANTINE_S`, and one more failure can
    quarantine it again. At most `MAX_QUARANTINED_RATIO` of a pool, but always at
    least one worker, can be quarantined at once. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Start with every worker healthy."""
        self._streaks: dict[WorkerId, _Streak] = {}
        self._failed_on: dict[JobId, set[WorkerId]] = {}

    def record_success(self, worker: WorkerId, job: JobId) -> None:
        """End the failure streak of a worker that finished a job."""
        self._streaks.pop(worker, None)
        self.forget(job)

    def record_failure(self, worker: WorkerId, job: JobId, team: TeamName) -> None:
        """Count a failure against the worker, or against the job.

        If the job also failed on another worker that is not suspect, its failures
        are attributed to the job and removed from the streaks of all its workers.
        """
        workers = self._failed_on.setdefault(job, set())
        workers.add(worker)
        healthy_others = [w for w in workers if w != worker and not self._is_suspect(w)]
        if healthy_others:
            for other in workers:
                self._remove_failure(other, job)
            return
        self._streaks.setdefault(worker, _Streak()).jobs[job] = team

    def forget(self, job: JobId) -> None:
        """Drop the failures recorded for a job that ended."""
        self._failed_on.pop(job, None)

    def quarantine_suspects(
        self, now_s: float, pools: dict[WorkerId, PoolName]
    ) -> tuple[WorkerId, ...]:
        """Quarantine suspect workers and return all workers that are quarantined."""
        pool_sizes: dict[PoolName, int] = {}
        quarantined: dict[PoolName, int] = {}
        for worker, pool in pools.items():
            pool_sizes[pool] = pool_sizes.get(pool, 0) + 1
            quarantined[pool] = quarantined.get(pool, 0) + self.is_quarantined(
                worker, now_s
            )
        for worker, streak in self._streaks.items():
            pool = pools.get(worker)
            if pool is None or self.is_quarantined(worker, now_s):
                continue
            limit = max(1, int(pool_sizes[pool] * MAX_QUARANTINED_RATIO))
            if self._is_suspect(worker) and quarantined[pool] < limit:
                streak.quarantined_until_s = now_s + QUARANTINE_S
                # Keep one failed job less than the limit, so that one more failure
                # after the quarantine is enough for the next.
                streak.jobs = dict(list(streak.jobs.items())[1 - QUARANTINE_JOBS :])
                quarantined[pool] += 1
        return tuple(w for w in self._streaks if self.is_quarantined(w, now_s))

    def is_quarantined(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether a worker is quarantined and gets no jobs."""
        streak = self._streaks.get(worker)
        return streak is not None and now_s < streak.quarantined_until_s

    def healthy_workers(
        self, failed_on: tuple[WorkerId, ...], now_s: float
    ) -> tuple[WorkerId, ...]:
        """Return the workers of `failed_on` that are not suspect or quarantined.

        Failures on these workers are attributed to the job.
        """
        return tuple(
            worker
            for worker in failed_on
            if not self.is_quarantined(worker, now_s) and not self._is_suspect(worker)
        )

    def retries_exhausted(self, failed_on: tuple[WorkerId, ...], now_s: float) -> bool:
        """Return whether a job failed on `MAX_FAILED_WORKERS` healthy workers."""
        return len(self.healthy_workers(failed_on, now_s)) >= MAX_FAILED_WORKERS

    def _is_suspect(self, worker: WorkerId) -> bool:
        streak = self._streaks.get(worker)
        return (
            streak is not None
            and len(streak.jobs) >= QUARANTINE_JOBS
            and len(set(streak.jobs.values())) >= QUARANTINE_TEAMS
        )

    def _remove_failure(self, worker: WorkerId, job: JobId) -> None:
        streak = self._streaks.get(worker)
        if streak is not None:
            streak.jobs.pop(job, None)
