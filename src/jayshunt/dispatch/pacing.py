"""Throttle filling tasks that share a worker with tasks that serve users."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from jayshunt.dispatch.tasks import Task, TaskPhase
from jayshunt.ids import WorkerId

# While a serving task is at or above this fraction of its latency target, the pace of
# filling tasks falls to 50 percent and is then halved repeatedly. From the target on it
# is zero, and below `RECOVER_BELOW` it rises again.
HALVE_FROM = 0.85
RECOVER_BELOW = 0.6
# After filling tasks were slowed down, their pace rises again only after this time.
RECOVER_AFTER_S = 1.5
STEP_UP_PERCENT = 25


@dataclass
class Pacer:
    """Choose the pace of filling tasks.

    `last_slowed_s` holds, by worker, when a serving task last reached `HALVE_FROM` of
    its target or more, so that filling tasks were slowed down.
    """

    last_slowed_s: dict[WorkerId, float] = field(default_factory=dict)

    def decide(self, tasks: Iterable[Task], now_s: float) -> list[tuple[Task, int]]:
        """Return the filling tasks of one worker to pace, with the new pace.

        These are the tasks whose pace changes or is not known.

        The pace is a percentage of full speed.
        """
        running = [task for task in tasks if task.phase is TaskPhase.RUNNING]
        filling = [task for task in running if task.spec.fills]
        if not filling:
            return []
        latency_ratio = max(
            (t.load / t.spec.target_ms for t in running if t.spec.target_ms),
            default=0.0,
        )
        return [
            (task, pace)
            for task in filling
            if (pace := self._pace(task, latency_ratio, now_s)) != task.pace
            or not task.is_pace_known
        ]

    def _pace(self, task: Task, latency_ratio: float, now_s: float) -> int:
        worker = task.worker
        if latency_ratio >= 1.0:
            self.last_slowed_s[worker] = now_s
            return 0
        if latency_ratio >= HALVE_FROM:
            self.last_slowed_s[worker] = now_s
            return min(task.pace, 50) // 2 * 2 if task.pace > 50 else task.pace // 2
        if latency_ratio < RECOVER_BELOW and self._may_recover(worker, now_s):
            return min(100, task.pace + STEP_UP_PERCENT)
        return task.pace

    def _may_recover(self, worker: WorkerId, now_s: float) -> bool:
        last_slowed_s = self.last_slowed_s.get(worker)
        return last_slowed_s is None or now_s - last_slowed_s >= RECOVER_AFTER_S
