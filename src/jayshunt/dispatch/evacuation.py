"""Empty a VM before a move or upkeep, within the availability budgets."""

from collections import Counter
from dataclasses import dataclass

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.free_capacity import StepKey, step_key
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Job, Task, TaskPhase
from jayshunt.ids import PoolName, VmId

# Short tasks get this long to finish before they are stopped.
MAX_FINISH_WAIT_S = 4.0
# A worker with tasks answers once a second; one without a recent answer may be lost.
ANSWER_VALID_S = 1.4
# A VM of which no run may be stopped for this long is used again.
BLOCKED_S = 2.0
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
    """Track a VM that is being emptied; `begun_s` is the monotonic start time.

    `blocked_since_s` is since when no run on it may be stopped, None if one may.
    """

    vm: VmId
    reason: EvacuationReason
    begun_s: float
    blocked_since_s: float | None = None

    def next_stops(
        self, view: WorkerView, tracker: RunTracker, now_s: float
    ) -> list[StopOrder]:
        """Mark the runs to stop now as stopping and return their stop orders.

        Long-running tasks are stopped as far as their availability budget allows and
        then run elsewhere. Other tasks get `MAX_FINISH_WAIT_S` to finish first.
        """
        stops: list[StopOrder] = []
        has_blocked = is_stopping = False
        for task in list(view.tasks.values()):
            if task.phase is not TaskPhase.RUNNING:
                is_stopping |= task.phase is TaskPhase.STOPPING
                continue
            job = tracker.jobs[task.key.job]
            if task.spec.is_long_running:
                if not may_stop_within_budget(job, task, tracker, now_s):
                    has_blocked = True
                    continue
            elif now_s - self.begun_s < MAX_FINISH_WAIT_S:
                continue
            order = tracker.stop(task)
            if order is not None:
                stops.append(order)
        if stops or is_stopping or not has_blocked:
            self.blocked_since_s = None
        elif self.blocked_since_s is None:
            self.blocked_since_s = now_s
        return stops

    def is_blocked(self, now_s: float) -> bool:
        """Return whether the VM can't be emptied for now and should be used again."""
        since_s = self.blocked_since_s
        return since_s is not None and now_s - since_s >= BLOCKED_S


class PlannedStops:
    """Decide which further VMs can be emptied beside those that are being emptied.

    The runs at work on these are still to be stopped, and count as unavailable.
    """

    def __init__(self, tracker: RunTracker, now_s: float) -> None:
        """Start without a VM that is being emptied."""
        self._tracker = tracker
        self._now_s = now_s
        self._planned: Counter[StepKey] = Counter()

    def add(self, view: WorkerView) -> None:
        """Add a worker whose VM is being emptied."""
        for task in view.tasks.values():
            if task.spec.is_long_running and _is_confirmed_at_work(
                task, self._tracker, self._now_s
            ):
                self._planned[step_key(task)] += 1

    def may_empty(self, view: WorkerView) -> bool:
        """Return whether the budgets allow to begin with each run on a worker."""
        return all(
            self._may_stop(task)
            for task in view.tasks.values()
            if task.spec.is_long_running
        )

    def _may_stop(self, task: Task) -> bool:
        budget = task.spec.max_unavailable
        if budget <= 0:
            return True
        job = self._tracker.jobs[task.key.job]
        unavailable = count_unavailable(job, task, self._tracker, self._now_s)
        return unavailable + self._planned[step_key(task)] < budget


def may_stop_within_budget(
    job: Job, task: Task, tracker: RunTracker, now_s: float
) -> bool:
    """Return whether a task may be stopped within the budget of its step.

    A step without a budget has no limit.
    """
    budget = task.spec.max_unavailable
    return budget <= 0 or count_unavailable(job, task, tracker, now_s) < budget


def count_unavailable(job: Job, task: Task, tracker: RunTracker, now_s: float) -> int:
    """Return how many other tasks of a task's step are unavailable.

    They are if they are not running and warmed up, if their worker is silent, or if an
    earlier term may be stopping them.
    """
    step = job.steps[task.key.occurrence, task.key.step]
    return sum(
        1
        for other in step
        if other is not task and not _is_confirmed_at_work(other, tracker, now_s)
    )


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
