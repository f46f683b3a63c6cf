"""Jobs and their stored form."""

from dataclasses import dataclass, fields
from enum import Enum
from functools import lru_cache

from jayshunt.ids import ClassName, Epoch, JobId, TeamName, WorkerId
from jayshunt.jobs.const import MAX_REASON_CHARS
from jayshunt.jobs.sizes import Size


class JobState(Enum):
    """State of a job; the last four are final.

    A PLACED job is assigned to a worker, but may not have started yet. A CANCELLING
    job is assigned to a worker that has not yet confirmed that it stopped the job.
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
    """A caller's request for a job; the declared size may be far off the real one."""

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
    """A job and its state; times are wall time in seconds.

    `attempt` is the number of placements. `epoch` is the fencing epoch of the
    scheduler that wrote the last placement, and `boot` the incarnation of the
    worker's agent at that time. `failed_on` lists the workers on which an attempt
    failed. `checkpoint` is the platform's token from which the next attempt
    continues. `used` is the peak usage, processors and memory, of an ended job.
    `restarts` counts the workers whose agent restarted while it had the job.
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
    restarts: int = 0

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.state in FINAL_STATES

    @property
    def is_on_worker(self) -> bool:
        """Return whether the job is assigned to a worker and uses its capacity."""
        return self.state in (JobState.PLACED, JobState.CANCELLING)


@lru_cache
def _defaults(kind: type) -> dict[str, object]:
    return {field.name: field.default for field in fields(kind)}


def job_content(job: Job) -> dict:
    """Return the stored form of a job, without fields that have their default value.

    Omitting these and the id, which is the key, halves the size of the document that
    every write of a shard sends.
    """
    content = _non_default_fields(job)
    content["request"] = _non_default_fields(job.request)
    content["state"] = job.state.value
    content["reason"] = job.reason[:MAX_REASON_CHARS]
    del content["job"]
    return content


def read_job(job_id: JobId, content: dict) -> Job:
    """Return the job with the given id and stored form."""
    job_fields = _defaults(Job)
    parts = {name: value for name, value in content.items() if name in job_fields}
    parts["request"] = JobRequest(**content["request"])
    parts["state"] = JobState(content["state"])
    parts["failed_on"] = tuple(content.get("failed_on", ()))
    parts["used"] = tuple(content["used"]) if content.get("used") else None
    return Job(job=job_id, **parts)


def is_final_content(content: dict) -> bool:
    """Return whether a stored job is in a final state, without parsing all of it."""
    return content["state"] in FINAL_VALUES


def _non_default_fields(value: object) -> dict:
    defaults = _defaults(type(value))
    content = {
        name: getattr(value, name)
        for name, default in defaults.items()
        if getattr(value, name) != default
    }
    return {n: list(v) if isinstance(v, tuple) else v for n, v in content.items()}
