"""Detect workers that run their tasks much slower than others."""

from collections import deque
from dataclasses import dataclass, field

from jayshunt.dispatch.const import SLOW_FACTOR
from jayshunt.dispatch.tasks import Task
from jayshunt.ids import WorkerId

RUNS_REMEMBERED = 5
# Only this many of the last runs are compared with the fleet's median.
MIN_RUNS = 2


@dataclass
class WorkerSpeeds:
    """Store the ratios of run time to estimate, by worker and for the whole fleet."""

    recent_ratios: dict[WorkerId, deque] = field(default_factory=dict)
    fleet_ratios: deque = field(default_factory=lambda: deque(maxlen=64))

    def learn(self, task: Task, took_s: float) -> None:
        """Record a successful run."""
        if task.spec.estimate_ms <= 0:
            return
        ratio = took_s * 1000 / task.spec.estimate_ms
        self.fleet_ratios.append(ratio)
        runs = self.recent_ratios.setdefault(task.worker, deque(maxlen=RUNS_REMEMBERED))
        runs.append(ratio)

    def forget(self, worker: WorkerId) -> None:
        """Forget the runs of a worker, of which another incarnation may follow.

        It may be of another kind.
        """
        self.recent_ratios.pop(worker, None)

    def is_slow(self, worker: WorkerId) -> bool:
        """Return whether a worker's last runs were all far above the fleet's median."""
        runs = self.recent_ratios.get(worker)
        if runs is None or len(runs) < MIN_RUNS or len(self.fleet_ratios) < 8:
            return False
        usual = sorted(self.fleet_ratios)[len(self.fleet_ratios) // 2]
        return min(list(runs)[-MIN_RUNS:]) > SLOW_FACTOR * usual
