"""Estimate the memory of jobs at the dispatcher, and decide how many it may hold."""

import sys
from dataclasses import dataclass

from jayshunt.checked import MAX_WHOLE, CheckedModel, Whole
from jayshunt.dispatch.models import JobSpec
from jayshunt.ids import QueueName

# Measured with tracemalloc on CPython 3.11, rounded up for the times, numbers and lists
# that a task gets while it runs.
JOB_BYTES = 2_000
STEP_BYTES = 400
TASK_BYTES = 550
OCCURRENCE_BYTES = 300
ENDED_JOB_BYTES = 400
# A job that needs more than SMALL_SHARE of the memory for jobs is a large one. Large
# jobs may fill LARGE_SHARE of it; the rest is kept for small jobs.
SMALL_SHARE = 0.01
UNLIMITED = MAX_WHOLE
LARGE_SHARE = 0.75


def estimate_job_bytes(spec: JobSpec) -> int:
    """Return how many bytes a job with all its tasks takes."""
    texts = sum(
        sys.getsizeof(text)
        for step in spec.steps
        for text in (step.required_label, step.data_rack, step.image)
        if text
    )
    tasks = spec.occurrences * sum(step.task_count for step in spec.steps)
    return (
        JOB_BYTES
        + sys.getsizeof(spec.payload)
        + texts
        + len(spec.steps) * STEP_BYTES
        + spec.occurrences * len(spec.steps) * OCCURRENCE_BYTES
        + tasks * TASK_BYTES
    )


@dataclass(frozen=True, slots=True)
class DeferredJob:
    """Represent an accepted job that waits in the store for memory.

    The queue is not known, and the size 0, for a job that was not decoded.
    """

    queue: QueueName | None = None
    job_bytes: int = 0


class JobRoom(CheckedModel):
    """Represent how many bytes a new job may take: a small one, and a large one.

    A job of up to `max_small_bytes` is a small one.
    """

    max_small_bytes: Whole
    small_bytes: Whole
    large_bytes: Whole

    def has_room(self, job_bytes: int) -> bool:
        """Return whether a job of this size may be accepted now."""
        is_small = job_bytes <= self.max_small_bytes
        return job_bytes <= (self.small_bytes if is_small else self.large_bytes)


@dataclass
class JobMemory:
    """Count the bytes of the jobs that a dispatcher holds, up to `limit_bytes`."""

    limit_bytes: int
    held_bytes: int = 0

    def room(self) -> JobRoom:
        """Return what a new job may take."""
        return JobRoom(
            max_small_bytes=int(self.limit_bytes * SMALL_SHARE),
            small_bytes=max(0, self.limit_bytes - self.held_bytes),
            large_bytes=max(0, int(self.limit_bytes * LARGE_SHARE) - self.held_bytes),
        )

    def may_hold(self, job_bytes: int) -> bool:
        """Return whether an accepted job may be held now.

        One that exceeds the memory of an idle dispatcher is never held. Entries refuse
        such jobs, so that there are some only if the limit was lowered.
        """
        return self.room().has_room(job_bytes)
