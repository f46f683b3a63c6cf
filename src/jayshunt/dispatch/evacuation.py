"""Empty a VM before a move or upkeep, within the availability budgets."""

from dataclasses import dataclass

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Job, Task, TaskPhase
from jayshunt.ids import PoolName, VmId

# Short tasks get this long to finish before they are stopped.
MAX_FINISH_WAIT_S = 4.0
# A worker with tasks answers once a second; one without a recent answer may be lost.
ANSWER_VALID_S = 1.4
# How long before its arrival a report may have been made.
REPORT_DELAY_S = 0.3


@dataclass(frozen=True)
class EvacuationReason:
    """Represent why a VM is emptied: upkeep in a wave or a move to a pool.

    Exactly one of `wave` and `pool` is set.
    """

    wave: int | None = None
    pool: PoolName | None = None

    @classmethod
    def upkeep(cls, wave: int) -> "EvacuationReason":
        """Return the reason for the planned stop (upkeep) of a VM in a wave."""
        return cls(wave=wave)

    @classmethod
    def move(cls, pool: PoolName) -> "EvacuationReason":
        """Return the reason for a move."""
        return cls(pool=pool)

    def __str__(self) -> str:
        """Return the text for logs and the state dump."""
        if self.wave is not None:
            return f"upkeep of wave {self.wave}"
        return f"move to {self.pool}"


@dataclass
class Evacuation:
    """Track a VM that is being emptied; `begun_s` is the monotonic start time."""

    vm: VmId
    reason: EvacuationReason
    begun_s: float

    def next_stops(
        self, view: WorkerView, tracker: RunTracker, now_s: float
    ) -> list[StopOrder]:
        """Mark the runs to stop now as stopping and return their stop orders.

        Long-running tasks are stopped as far as their availability budget allows and
        then run elsewhere. Other tasks get `MAX_FINISH_WAIT_S` to finish first.
        """
        stops: list[StopOrder] = []
        for task in list(view.tasks.values()):
            if task.phase is not TaskPhase.RUNNING:
                continue
            job = tracker.jobs[task.key.job]
            if task.spec.is_long_running:
                if not may_stop_within_budget(job, task, tracker, now_s):
                    continue
            elif now_s - self.begun_s < MAX_FINISH_WAIT_S:
                continue
            order = tracker.stop(task)
            if order is not None:
                stops.append(order)
        return stops


def may_stop_within_budget(
    job: Job, task: Task, tracker: RunTracker, now_s: float
) -> bool:
    """Return whether a task may be stopped within the budget of its step.

    A step without a budget has no limit. The other tasks of the step count as
    unavailable if they are not running and warmed up, if their worker is silent, or if
    an earlier term may be stopping them.
    """
    budget = task.spec.max_unavailable
    if budget <= 0:
        return True
    step = job.steps[task.key.occurrence, task.key.step]
    unavailable = sum(
        1
        for other in step
        if other is not task and not _is_confirmed_at_work(other, tracker, now_s)
    )
    return unavailable < budget


def _is_confirmed_at_work(task: Task, tracker: RunTracker, now_s: float) -> bool:
    view = tracker.workers.get(task.worker) if task.worker else None
    if view is None or view.last_answer_s is None:
        return False
    if _may_be_stopped_by_earlier_term(task, view, tracker.stop_s):
        return False
    return task.is_warm and now_s - view.last_answer_s <= ANSWER_VALID_S


def _may_be_stopped_by_earlier_term(
    task: Task, view: WorkerView, stop_s: float
) -> bool:
    """Return whether a reported run may be ending by an order of an earlier term.

    It is listed as running until then. The worker took such an order before its first
    answer in this term, and carries it out within `stop_s`.
    """
    if task.sent_s is not None or view.first_answer_s is None:
        return False
    return view.last_answer_s < view.first_answer_s + stop_s + REPORT_DELAY_S
