"""Move a throttled filling task to a worker where it harms less."""

from collections.abc import Callable
from dataclasses import dataclass

from jayshunt.dispatch.evacuation import may_stop_within_budget
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.free_capacity import CandidateWorker, StepKey, fits, step_key
from jayshunt.dispatch.models import TaskKey
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Task
from jayshunt.ids import PoolName, WorkerId
from jayshunt.interference import const
from jayshunt.interference.decision_log import DecisionLog
from jayshunt.interference.placement import NeighborHarm

CandidatesOf = Callable[[PoolName], list[CandidateWorker]]


@dataclass(frozen=True, slots=True)
class _Move:
    task: Task
    run: int
    begun_s: float

    def is_over(self, now_s: float) -> bool:
        """Return whether the task runs elsewhere, or was given enough time to."""
        runs_again = self.task.run != self.run and self.task.is_warm
        return runs_again or now_s - self.begun_s >= const.MOVE_TIMEOUT_S


class Relocator:
    """Choose at most one task to move every `MOVE_INTERVAL_S`.

    Times are monotonic seconds.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Start without moves."""
        self._log = log
        self._moves: dict[PoolName, _Move] = {}
        self._left: dict[tuple[StepKey, WorkerId], float] = {}
        self._throttled_since_s: dict[tuple[TaskKey, int], float] = {}
        self._next_s = 0.0
        self._next_check_s = 0.0

    def avoided_steps(self, now_s: float) -> dict[WorkerId, frozenset[StepKey]]:
        """Return, by worker, the steps of which a task left it lately."""
        self._left = {
            row: left_s
            for row, left_s in self._left.items()
            if now_s - left_s < const.NO_RETURN_S
        }
        avoided: dict[WorkerId, frozenset[StepKey]] = {}
        for step, worker in self._left:
            avoided[worker] = avoided.get(worker, frozenset()) | {step}
        return avoided

    def choose(
        self,
        tracker: RunTracker,
        harm: NeighborHarm,
        candidates_of: CandidatesOf,
        now_s: float,
    ) -> Task | None:
        """Return the task to stop so that it starts elsewhere, None if none gains.

        The caller stops it at once.
        """
        if now_s < self._next_check_s:
            return None
        self._next_check_s = now_s + const.MOVE_CHECK_INTERVAL_S
        throttled = self._long_throttled(tracker, now_s)
        if now_s < self._next_s or not throttled:
            return None
        self._next_s = now_s + const.MOVE_INTERVAL_S
        self._moves = {p: m for p, m in self._moves.items() if not m.is_over(now_s)}
        candidates: dict[PoolName, list[CandidateWorker]] = {}
        for view, task in sorted(throttled, key=lambda row: row[1].pace):
            pool = view.worker.pool
            if pool in self._moves or view.evacuation_reason is not None:
                continue
            if not _gains(task, now_s) or not _may_stop(task, tracker, now_s):
                continue
            left = _harm_without(task, view, harm)
            if not left:
                continue
            if pool not in candidates:
                candidates[pool] = candidates_of(pool)
            if _has_better(task, view, candidates[pool], harm, left):
                self._record(task, view, left, now_s)
                return task
        return None

    def _long_throttled(
        self, tracker: RunTracker, now_s: float
    ) -> list[tuple[WorkerView, Task]]:
        before, self._throttled_since_s = self._throttled_since_s, {}
        found = []
        for view in tracker.workers.values():
            if not (view.load.filling and view.load.serving):
                continue
            for task in view.tasks.values():
                if not task.spec.fills or task.pace > const.MOVE_MAX_PACE:
                    continue
                if not (task.is_warm and task.spec.is_long_running):
                    continue
                key = (task.key, task.run)
                since_s = before.get(key, now_s)
                self._throttled_since_s[key] = since_s
                if now_s - since_s >= const.MOVE_AFTER_S:
                    found.append((view, task))
        return found

    def _record(self, task: Task, view: WorkerView, harm: float, now_s: float) -> None:
        self._moves[view.worker.pool] = _Move(task, task.run, now_s)
        self._left[step_key(task), view.worker.worker] = now_s
        self._log.record(
            now_s,
            "a filling task is moved",
            task=task.key.name,
            image=task.spec.image,
            worker=view.worker.worker,
            pace=task.pace,
            harm=round(harm, 2),
        )


def _gains(task: Task, now_s: float) -> bool:
    """Return whether the pace gained is worth more than the work that is lost.

    Without checkpoints all work since the start is lost.
    """
    gain_s = (100 - task.pace) / 100 * const.MOVE_HORIZON_S
    lost_s = const.RESTART_S
    if not task.spec.has_checkpoints:
        lost_s += now_s - (task.started_s or now_s)
    return gain_s > lost_s


def _may_stop(task: Task, tracker: RunTracker, now_s: float) -> bool:
    """Return whether a stop keeps the budget, also over the time that it counts for.

    A task of the step that is back since less than `STOPS_COUNT_S` still counts.
    """
    job = tracker.jobs[task.key.job]
    if not may_stop_within_budget(job, task, tracker, now_s):
        return False
    budget = task.spec.max_unavailable
    recent = sum(
        other.running_s is None or now_s - other.running_s < const.STOPS_COUNT_S
        for other in job.steps[task.key.occurrence, task.key.step]
    )
    return budget <= 0 or recent < budget


def _harm_without(task: Task, view: WorkerView, harm: NeighborHarm) -> float:
    """Return the known harm, both ways, of a task and the others on its worker."""
    load = view.load.copy()
    load.remove(task)
    return harm.known_harm(task.spec, load)


def _has_better(
    task: Task,
    view: WorkerView,
    candidates: list[CandidateWorker],
    harm: NeighborHarm,
    left: float,
) -> bool:
    """Return whether another preferred worker has room and much less known harm."""
    key = step_key(task)
    return any(
        candidate.worker.worker != view.worker.worker
        and candidate.is_preferred
        and fits(task.spec, candidate, key)
        and harm.known_harm(task.spec, candidate.load) < left / 2
        for candidate in candidates
    )
