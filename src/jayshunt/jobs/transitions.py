"""Decide what becomes of a job after what is known of its worker.

Each function takes the stored job and returns the changed one, or None to leave it
as it is. A job that must not be repeated goes back to waiting only if the worker
certifies that the attempt never started, or holds it in a checkpoint.
"""

from dataclasses import replace

from jayshunt.ids import Epoch, WorkerId
from jayshunt.jobs.const import KEPT_COMMAND_CHARS
from jayshunt.jobs.messages import TaskReport, TaskState
from jayshunt.jobs.models import Job, JobState


def place(job: Job, worker: WorkerId, boot: str, epoch: Epoch, reason: str) -> Job:
    """Return the job with its next attempt placed on a worker."""
    return replace(
        job,
        state=JobState.PLACED,
        attempt=job.attempt + 1,
        worker=worker,
        boot=boot,
        epoch=epoch,
        reason=reason,
    )


def after_report(job: Job, report: TaskReport, is_exhausted: bool) -> Job | None:
    """Return the job after its worker reported on the current attempt.

    `is_exhausted` says that another failed attempt would tell nothing new.
    """
    cancelling = job.state is JobState.CANCELLING
    match report.state:
        case TaskState.RUNNING:
            return None
        case TaskState.FINISHED:
            return end(job, JobState.FINISHED, report.result)
        case TaskState.FAILED:
            return _after_failure(job, report.result, is_exhausted)
        case TaskState.CHECKPOINTED | TaskState.STOPPED if cancelling:
            return end(job, JobState.CANCELLED, "cancelled while it ran")
        case TaskState.CHECKPOINTED:
            waiting = wait(job, f"{job.worker} checkpointed it")
            return replace(waiting, checkpoint=report.checkpoint)
        case TaskState.STOPPED:
            return _after_loss(job, f"{job.worker} stopped it: {report.result}")
    raise AssertionError(f"unexpected report {report!r}")


def after_restart(job: Job) -> Job | None:
    """Return the job after its worker's agent restarted and lost its tasks."""
    return _after_loss(job, f"{job.worker} restarted and lost it")


def after_lease_end(job: Job, is_waited_out: bool) -> Job | None:
    """Return the job after a silent worker's lease on it ended.

    A job that must not be repeated first waits for the worker to come back;
    `is_waited_out` says that this time is over.
    """
    if not job.request.repeatable and not is_waited_out:
        return None
    return _after_loss(job, f"{job.worker} was lost")


def before_start(job: Job, reason: str) -> Job:
    """Return the job if it is certain that its attempt has not started."""
    if job.state is JobState.CANCELLING:
        return end(job, JobState.CANCELLED, "cancelled before it started")
    # The checkpoint of an earlier attempt was not used up.
    return replace(wait(job, reason), checkpoint=job.checkpoint)


def after_late_report(job: Job, report: TaskReport) -> Job | None:
    """Return a job that ended as unknown after its worker came back."""
    match report.state:
        case TaskState.FINISHED:
            return end(job, JobState.FINISHED, report.result)
        case TaskState.FAILED:
            return end(job, JobState.FAILED, f"failed on {job.worker}: {report.result}")
    return None


def wait(job: Job, reason: str) -> Job:
    """Return the job back in the queue."""
    return replace(
        job, state=JobState.WAITING, worker=None, boot="", checkpoint="", reason=reason
    )


def end(job: Job, state: JobState, reason: str) -> Job:
    """Return the job in a final state, with only the start of its command."""
    command = job.request.command[:KEPT_COMMAND_CHARS]
    request = replace(job.request, command=command)
    return replace(job, state=state, request=request, reason=reason, checkpoint="")


def _after_failure(job: Job, result: str, is_exhausted: bool) -> Job:
    failed_on = tuple(dict.fromkeys((*job.failed_on, job.worker)))
    failed = replace(job, failed_on=failed_on)
    if job.state is JobState.CANCELLING:
        return end(failed, JobState.CANCELLED, f"cancelled, it had failed: {result}")
    if not job.request.repeatable:
        return end(failed, JobState.FAILED, f"failed on {job.worker}: {result}")
    if is_exhausted:
        names = ", ".join(failed_on)
        return end(failed, JobState.FAILED, f"failed on {names}: {result}")
    return wait(failed, f"failed on {job.worker}: {result}")


def _after_loss(job: Job, reason: str) -> Job:
    if not job.request.repeatable:
        return end(job, JobState.UNKNOWN, f"{reason}; it may have run")
    if job.state is JobState.CANCELLING:
        return end(job, JobState.CANCELLED, reason)
    return wait(job, reason)
