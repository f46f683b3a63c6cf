"""Decisions and state of the scheduler, for diagnostics."""

from dataclasses import dataclass

from jayshunt.ids import Epoch, JobId, PoolName, WorkerId
from jayshunt.jobs.models import Job, JobState
from jayshunt.jobs.sizes import Size


@dataclass(frozen=True)
class Decision:
    """A state change of a job with its reason; `at_s` is wall time in seconds."""

    job: JobId
    at_s: float
    state: JobState
    reason: str


@dataclass(frozen=True)
class WorkerView:
    """The state of a worker as operators see it; `jobs` is the number of jobs."""

    worker: WorkerId
    pool: PoolName
    answers: bool
    is_serving: bool
    is_quarantined: bool
    jobs: int


@dataclass(frozen=True)
class SchedulerView:
    """A snapshot of the scheduler's state.

    `epoch` is 0 and `open_jobs` is empty while this entry is not scheduling.
    `learned` maps "class/team" to the estimated size.
    """

    epoch: Epoch
    open_jobs: tuple[Job, ...]
    waiting_reasons: dict[JobId, str]
    decisions: tuple[Decision, ...]
    workers: tuple[WorkerView, ...]
    learned: dict[str, Size]
