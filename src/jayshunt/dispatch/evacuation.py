"""Empty a VM before it moves or goes to upkeep, within availability budgets."""

from dataclasses import dataclass

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.run_tracker import RunTracker, StopOrder
from jayshunt.dispatch.tasks import Job, Task, TaskPhase
from jayshunt.ids import PoolName, VmId

# Short tasks are left this long to end by themselves; then they are stopped.
PATIENCE_S = 4.0
# A worker with tasks answers once a second; one that did not may have been lost.
HEARD_WITHIN_S = 1.4


@dataclass(frozen=True)
class EvacuationReason:
    """Say what a VM is emptied for: a wave's upkeep or a move to a pool."""

    wave: int | None = None
    pool: PoolName | None = None

    @classmethod
    def upkeep(cls, wave: int) -> "EvacuationReason":
        """Return the reason of a planned stop."""
        return cls(wave=wave)

    @classmethod
    def move(cls, pool: PoolName) -> "EvacuationReason":
        """Return the reason of a move."""
        return cls(pool=pool)

    def __str__(self) -> str:
        """Return the reason for logs."""
        if self.wave is not None:
            return f"upkeep of wave {self.wave}"
        return f"move to {self.pool}"


@dataclass
class Evacuation:
    """Hold a VM that is being emptied since a steady time."""

    vm: VmId
    reason: EvacuationReason
    begun_s: float

    def next_stops(
        self, view: WorkerView, tracker: RunTracker, now_s: float
    ) -> list[StopOrder]:
        """Return the runs to stop now.

        Long-running tasks are stopped as far as their budget allows, so that they
        run again elsewhere; others may end by themselves first.
        """
        stops: list[StopOrder] = []
        for task in list(view.tasks.values()):
            if task.phase is not TaskPhase.RUNNING:
                continue
            job = tracker.jobs[task.key.job]
            if task.spec.is_long_running:
                if not may_take_away(job, task, tracker, now_s):
                    continue
            elif now_s - self.begun_s < PATIENCE_S:
                continue
            order = tracker.stop(task)
            if order is not None:
                stops.append(order)
        return stops


def may_take_away(job: Job, task: Task, tracker: RunTracker, now_s: float) -> bool:
    """Return whether a task may be stopped within the budget of its step.

    A step without a budget has no limit. Tasks that do not work fully or whose
    worker is silent count as away, this one not included.
    """
    budget = task.spec.max_unavailable
    if budget <= 0:
        return True
    step = job.steps[task.key.occurrence, task.key.step]
    away = sum(
        1
        for other in step
        if other is not task and not _is_surely_at_work(other, tracker, now_s)
    )
    return away < budget


def _is_surely_at_work(task: Task, tracker: RunTracker, now_s: float) -> bool:
    view = tracker.workers.get(task.worker) if task.worker else None
    if view is None or view.last_answer_s is None:
        return False
    return task.is_warm and now_s - view.last_answer_s <= HEARD_WITHIN_S
