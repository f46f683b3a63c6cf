"""Describe long jobs and their stored form."""

from dataclasses import dataclass, fields
from enum import Enum
from functools import lru_cache

from jayshunt.ids import ClassName, Epoch, JobId, TeamName, WorkerId
from jayshunt.jobs.const import MAX_REASON_CHARS
from jayshunt.jobs.sizes import Size


class JobState(Enum):
    """Name the states of a job; the last four are final.

    A placed job has a worker, and its start may or may not have happened. A job
    that is being cancelled has a worker that was not yet seen to stop it.
    """

    WAITING = "waiting"
    PLACED = "placed"
    CANCELLING = "cancelling"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


FINAL_STATES = frozenset(
    {JobState.FINISHED, JobState.FAILED, JobState.CANCELLED, JobState.UNKNOWN}
)
FINAL_VALUES = frozenset(state.value for state in FINAL_STATES)


@dataclass(frozen=True)
class JobRequest:
    """Ask for a job; sizes are declared and may be far off."""

    work_class: ClassName
    team: TeamName
    command: str
    cpu_cores: float = 1.0
    memory_bytes: int = 0
    accelerators: int = 0
    repeatable: bool = True

    @property
    def declared(self) -> Size:
        """Return the declared size."""
        return Size(self.cpu_cores, self.memory_bytes, self.accelerators)


@dataclass(frozen=True)
class Job:
    """Hold one job; times are wall seconds.

    `attempt` counts placements. `epoch` is the fencing epoch of the scheduler
    that wrote the last placement and `boot` the incarnation of the worker's agent
    at that time. `failed_on` names the workers on which an attempt failed,
    `checkpoint` is the platform's token from which the next attempt continues.
    `used` holds the peak processors and memory of a finished job.
    """

    job: JobId
    request: JobRequest
    state: JobState
    accepted_s: float
    attempt: int = 0
    worker: WorkerId | None = None
    reason: str = ""
    changed_s: float = 0.0
    epoch: Epoch = Epoch(0)
    boot: str = ""
    failed_on: tuple[WorkerId, ...] = ()
    checkpoint: str = ""
    used: tuple[float, int] | None = None

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.state in FINAL_STATES

    @property
    def is_on_worker(self) -> bool:
        """Return whether the job holds a place on a worker."""
        return self.state in (JobState.PLACED, JobState.CANCELLING)


@lru_cache
def _defaults(kind: type) -> dict[str, object]:
    return {field.name: field.default for field in fields(kind)}


def job_content(job: Job) -> dict:
    """Return the stored form of a job, without the parts that are at their default.

    Leaving out defaults and the id, which is the key, halves the document that
    every write of a shard carries.
    """
    content = _different(job)
    content["request"] = _different(job.request)
    content["state"] = job.state.value
    content["reason"] = job.reason[:MAX_REASON_CHARS]
    del content["job"]
    return content


def read_job(job_id: JobId, content: dict) -> Job:
    """Return the job of a stored form."""
    known = _defaults(Job)
    parts = {name: value for name, value in content.items() if name in known}
    parts["request"] = JobRequest(**content["request"])
    parts["state"] = JobState(content["state"])
    parts["failed_on"] = tuple(content.get("failed_on", ()))
    parts["used"] = tuple(content["used"]) if content.get("used") else None
    return Job(job=job_id, **parts)


def is_final_content(content: dict) -> bool:
    """Return whether a stored job has ended, without reading all of it."""
    return content["state"] in FINAL_VALUES


def _different(value: object) -> dict:
    defaults = _defaults(type(value))
    content = {
        name: getattr(value, name)
        for name, default in defaults.items()
        if getattr(value, name) != default
    }
    return {n: list(v) if isinstance(v, tuple) else v for n, v in content.items()}
