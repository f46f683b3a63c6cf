"""State transitions of a job after an event on its worker.

Each function takes the stored job and returns the changed job, or None if it does
not change. A job that is not repeatable is requeued only if its attempt certainly
never started or the worker reports a checkpoint of it.
"""

from dataclasses import replace

from jayshunt.ids import Epoch, WorkerId
from jayshunt.jobs.const import MAX_FINAL_COMMAND_CHARS, MAX_RESTARTS
from jayshunt.jobs.messages import TaskReport, TaskState
from jayshunt.jobs.models import Job, JobState


def place(job: Job, worker: WorkerId, boot: str, epoch: Epoch, reason: str) -> Job:
    """Return the job with a new attempt placed on a worker."""
    return replace(
        job,
        state=JobState.PLACED,
        attempt=job.attempt + 1,
        worker=worker,
        boot=boot,
        epoch=epoch,
        reason=reason,
    )


def after_report(job: Job, report: TaskReport, retries_exhausted: bool) -> Job | None:
    """Return the job after a report of its worker on the current attempt.

    `retries_exhausted` is True if a failed job gets no further attempt, since it has
    failed on enough healthy workers.
    """
    cancelling = job.state is JobState.CANCELLING
    match report.state:
        case TaskState.RUNNING:
            return None
        case TaskState.FINISHED:
            return end(job, JobState.FINISHED, report.result)
        case TaskState.FAILED:
            return _after_failure(job, report.result, retries_exhausted)
        case TaskState.CHECKPOINTED | TaskState.STOPPED if cancelling:
            return end(job, JobState.CANCELLED, "cancelled while it ran")
        case TaskState.CHECKPOINTED:
            waiting = requeue(job, f"{job.worker} checkpointed it")
            return replace(waiting, checkpoint=report.checkpoint)
        case TaskState.STOPPED:
            return _after_loss(job, f"{job.worker} stopped it: {report.result}")
    raise AssertionError(f"unexpected report {report!r}")


def after_restart(job: Job) -> Job | None:
    """Return the job after a restart of its worker's agent, which loses all tasks.

    The job may be what crashes its workers, so it is not repeated without end.
    """
    lost = replace(job, restarts=job.restarts + 1)
    if lost.request.repeatable and lost.restarts >= MAX_RESTARTS:
        return end(lost, JobState.FAILED, f"{lost.restarts} workers restarted under it")
    return _after_loss(lost, f"{job.worker} restarted and lost it")


def after_lease_end(job: Job, is_grace_over: bool) -> Job | None:
    """Return the job after the task lease of an unresponsive worker has expired.

    A job that is not repeatable gets a grace period in which the worker may come
    back and report; `is_grace_over` is True after that period.
    """
    if not job.request.repeatable and not is_grace_over:
        return None
    return _after_loss(job, f"{job.worker} was lost")


def after_missed_start(job: Job, reason: str) -> Job:
    """Return the job after an attempt that certainly never started."""
    if job.state is JobState.CANCELLING:
        return end(job, JobState.CANCELLED, "cancelled before it started")
    # The attempt did not consume the checkpoint of an earlier attempt.
    return replace(requeue(job, reason), checkpoint=job.checkpoint)


def after_late_report(job: Job, report: TaskReport) -> Job | None:
    """Return a job of unknown outcome after its worker came back and reported."""
    match report.state:
        case TaskState.FINISHED:
            return end(job, JobState.FINISHED, report.result)
        case TaskState.FAILED:
            return end(job, JobState.FAILED, f"failed on {job.worker}: {report.result}")
    return None


def requeue(job: Job, reason: str) -> Job:
    """Return the job in the waiting state, without a worker and a checkpoint."""
    return replace(
        job, state=JobState.WAITING, worker=None, boot="", checkpoint="", reason=reason
    )


def end(job: Job, state: JobState, reason: str) -> Job:
    """Return the job in a final state, with its command truncated."""
    command = job.request.command[:MAX_FINAL_COMMAND_CHARS]
    request = replace(job.request, command=command)
    return replace(job, state=state, request=request, reason=reason, checkpoint="")


def _after_failure(job: Job, result: str, retries_exhausted: bool) -> Job:
    failed_on = tuple(dict.fromkeys((*job.failed_on, job.worker)))
    failed = replace(job, failed_on=failed_on)
    if job.state is JobState.CANCELLING:
        return end(failed, JobState.CANCELLED, f"cancelled, it had failed: {result}")
    if not job.request.repeatable:
        return end(failed, JobState.FAILED, f"failed on {job.worker}: {result}")
    if retries_exhausted:
        names = ", ".join(failed_on)
        return end(failed, JobState.FAILED, f"failed on {names}: {result}")
    return requeue(failed, f"failed on {job.worker}: {result}")


def _after_loss(job: Job, reason: str) -> Job:
    if not job.request.repeatable:
        return end(job, JobState.UNKNOWN, f"{reason}; it may have run")
    if job.state is JobState.CANCELLING:
        return end(job, JobState.CANCELLED, reason)
    return requeue(job, reason)
