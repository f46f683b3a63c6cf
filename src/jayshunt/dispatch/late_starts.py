"""Remember starts without an answer, which a worker may carry out late.

An order names a worker's id only, and the worker's next life knows nothing of the stop
that the life before accepted. So the next life gets the stop as well.
"""

from collections import deque
from dataclasses import dataclass, field

from jayshunt.dispatch.models import TaskKey
from jayshunt.ids import WorkerId

# A start without an answer may be carried out seconds later.
LATE_START_S = 10.0


@dataclass
class LateStarts:
    """Keep each start without an answer for LATE_START_S, oldest first."""

    _starts: deque[tuple[float, WorkerId, TaskKey, int]] = field(default_factory=deque)

    def record(self, worker: WorkerId, task: TaskKey, run: int, now_s: float) -> None:
        """Record that a start got no answer."""
        self._remove_old(now_s)
        self._starts.append((now_s, worker, task, run))

    def for_worker(
        self, worker: WorkerId, now_s: float
    ) -> dict[tuple[TaskKey, int], float]:
        """Return the tasks and runs that a worker may still start, and until when."""
        self._remove_old(now_s)
        return {
            (task, run): sent_s + LATE_START_S
            for sent_s, name, task, run in self._starts
            if name == worker
        }

    def _remove_old(self, now_s: float) -> None:
        while self._starts and now_s - self._starts[0][0] >= LATE_START_S:
            self._starts.popleft()
