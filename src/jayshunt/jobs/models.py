"""Describe long jobs."""

from dataclasses import asdict, dataclass
from enum import Enum

from jayshunt.ids import ClassName, JobId, TeamName, WorkerId


class JobState(Enum):
    """Name the states of a job; the last four are final."""

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


@dataclass(frozen=True)
class Job:
    """Hold one job; times are wall seconds."""

    job: JobId
    request: JobRequest
    state: JobState
    accepted_s: float
    attempt: int = 0
    worker: WorkerId | None = None
    reason: str = ""
    changed_s: float = 0.0

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.state in FINAL_STATES


def job_content(job: Job) -> dict:
    """Return the stored form of a job."""
    content = asdict(job)
    content["state"] = job.state.value
    return content


def read_job(content: dict) -> Job:
    """Return the job of a stored form."""
    fields = dict(content)
    fields["request"] = JobRequest(**fields["request"])
    fields["state"] = JobState(fields["state"])
    return Job(**fields)
