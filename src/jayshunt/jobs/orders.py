"""Compute the orders for each worker."""

from collections.abc import Callable, Iterable

from jayshunt.ids import JobId, WorkerId
from jayshunt.jobs.messages import StartOrder, TaskId, TaskState, WorkerOrders
from jayshunt.jobs.models import Job, JobState
from jayshunt.jobs.sizes import Size
from jayshunt.jobs.workers import WorkerStatus


def task_of(job: Job) -> TaskId:
    """Return the current attempt of a job."""
    return TaskId(job.job, job.attempt)


def group_by_worker(jobs: Iterable[Job]) -> dict[WorkerId, list[Job]]:
    """Group the jobs that are assigned to a worker by worker."""
    grouped: dict[WorkerId, list[Job]] = {}
    for job in jobs:
        if job.is_on_worker:
            grouped.setdefault(job.worker, []).append(job)
    return grouped


def orders_for(
    status: WorkerStatus,
    jobs: list[Job],
    is_preempted: Callable[[JobId], bool],
    size_of: Callable[[Job], Size],
) -> WorkerOrders:
    """Return the orders for one worker from the stored state of its jobs.

    A PLACED attempt that a serving worker does not report is started. A running job
    is checkpointed, if the platform supports it, when `is_preempted(job)` is true or
    the worker is no longer serving; otherwise it runs to its end.
    """
    renew, start, stop, checkpoint = [], [], [], []
    current = set()
    for job in jobs:
        task = task_of(job)
        current.add(task)
        report = status.reports.get(task)
        is_running = report is not None and report.state is TaskState.RUNNING
        if is_running:
            renew.append(task)
        if is_running and job.state is JobState.CANCELLING:
            stop.append(task)
        elif is_running and (not status.is_serving or is_preempted(job.job)):
            checkpoint.append(task)
        elif report is None and should_start(job, status):
            start.append(_start_order(job, size_of(job)))
    if not status.can_checkpoint:
        checkpoint = []
    forget = [
        report.task
        for report in status.reports.values()
        if report.task not in current and report.state is not TaskState.RUNNING
    ]
    return WorkerOrders(
        tuple(renew),
        tuple(start),
        tuple(stop),
        tuple(checkpoint),
        tuple(forget),
    )


def should_start(job: Job, status: WorkerStatus) -> bool:
    """Return whether to start an attempt that its worker does not report."""
    return job.state is JobState.PLACED and status.is_serving


def _start_order(job: Job, size: Size) -> StartOrder:
    return StartOrder(task_of(job), job.boot, job.request.command, size, job.checkpoint)
