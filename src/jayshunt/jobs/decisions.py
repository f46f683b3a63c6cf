"""Describe what the scheduler decided."""

from dataclasses import dataclass

from jayshunt.ids import JobId
from jayshunt.jobs.models import JobState


@dataclass(frozen=True)
class Decision:
    """Hold one change of a job with its reason; `at_s` is wall time."""

    job: JobId
    at_s: float
    state: JobState
    reason: str
