"""Describe what the scheduler decided and what it knows."""

from dataclasses import dataclass

from jayshunt.ids import Epoch, JobId, PoolName, WorkerId
from jayshunt.jobs.models import Job, JobState
from jayshunt.jobs.sizes import Size


@dataclass(frozen=True)
class Decision:
    """Hold one change of a job with its reason; `at_s` is wall time."""

    job: JobId
    at_s: float
    state: JobState
    reason: str


@dataclass(frozen=True)
class WorkerView:
    """Describe one worker to operators."""

    worker: WorkerId
    pool: PoolName
    answers: bool
    is_serving: bool
    is_quarantined: bool
    jobs: int


@dataclass(frozen=True)
class SchedulerView:
    """Hold what a scheduler knows at one moment."""

    epoch: Epoch
    open_jobs: tuple[Job, ...]
    waiting_reasons: dict[JobId, str]
    decisions: tuple[Decision, ...]
    workers: tuple[WorkerView, ...]
    learned: dict[str, Size]
