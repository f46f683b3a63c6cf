"""Decide how fast filling tasks work beside tasks that serve users."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from jayshunt.dispatch.tasks import Task, TaskPhase
from jayshunt.ids import WorkerId

# Filling tasks are halved from this part of a serving task's target on, and stand
# still from the target on; below the lowest part they speed up again.
HALVE_FROM = 0.85
RECOVER_BELOW = 0.6
# After a serving task was over its target, its neighbors speed up this much later.
RECOVER_AFTER_S = 1.5
STEP_UP_PERCENT = 25


@dataclass
class Pacer:
    """Hold when a worker's serving tasks were last over their target."""

    over_s: dict[WorkerId, float] = field(default_factory=dict)

    def decide(self, tasks: Iterable[Task], now_s: float) -> list[tuple[Task, int]]:
        """Return the filling tasks of one worker whose pace changes."""
        running = [task for task in tasks if task.phase is TaskPhase.RUNNING]
        filling = [task for task in running if task.spec.fills]
        if not filling:
            return []
        part = max(
            (t.load / t.spec.target_ms for t in running if t.spec.target_ms),
            default=0.0,
        )
        return [
            (task, pace)
            for task in filling
            if (pace := self._pace(task, part, now_s)) != task.pace
        ]

    def _pace(self, task: Task, part: float, now_s: float) -> int:
        worker = task.worker
        if part >= 1.0:
            self.over_s[worker] = now_s
            return 0
        if part >= HALVE_FROM:
            self.over_s[worker] = now_s
            return min(task.pace, 50) // 2 * 2 if task.pace > 50 else task.pace // 2
        if part < RECOVER_BELOW and self._is_calm(worker, now_s):
            return min(100, task.pace + STEP_UP_PERCENT)
        return task.pace

    def _is_calm(self, worker: WorkerId, now_s: float) -> bool:
        over_s = self.over_s.get(worker)
        return over_s is None or now_s - over_s >= RECOVER_AFTER_S
