"""Learn which workers run their tasks much slower than others."""

from collections import deque
from dataclasses import dataclass, field

from jayshunt.dispatch.const import SLOW_FACTOR
from jayshunt.dispatch.tasks import Task
from jayshunt.ids import WorkerId

RUNS_REMEMBERED = 5
MIN_RUNS = 2


@dataclass
class WorkerSpeeds:
    """Hold, by worker, how long its last runs took against their estimate."""

    ratios: dict[WorkerId, deque] = field(default_factory=dict)
    fleet: deque = field(default_factory=lambda: deque(maxlen=64))

    def learn(self, task: Task, took_s: float) -> None:
        """Take in a run that ended well."""
        if task.spec.estimate_ms <= 0:
            return
        ratio = took_s * 1000 / task.spec.estimate_ms
        self.fleet.append(ratio)
        runs = self.ratios.setdefault(task.worker, deque(maxlen=RUNS_REMEMBERED))
        runs.append(ratio)

    def is_slow(self, worker: WorkerId) -> bool:
        """Return whether a worker's last runs were all far slower than usual."""
        runs = self.ratios.get(worker)
        if runs is None or len(runs) < MIN_RUNS or len(self.fleet) < 8:
            return False
        usual = sorted(self.fleet)[len(self.fleet) // 2]
        return min(list(runs)[-MIN_RUNS:]) > SLOW_FACTOR * usual
