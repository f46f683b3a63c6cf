"""Define what is known of crashes under a task."""

from dataclasses import dataclass

from jayshunt.dispatch.models import Worker
from jayshunt.ids import VmId, WorkerId


@dataclass(frozen=True, slots=True)
class CrashCounts:
    """Count the workers that crashed under a task.

    `at_start` are crashes before the task is known to have survived its start, `later`
    those after it. `uncertain` are crashes of which it is not known whether the task
    was there: the order to start it got no answer, or the worker was out of reach.
    `cleared` are uncertain crashes before a start that the task survived.
    """

    at_start: int = 0
    later: int = 0
    uncertain: int = 0
    cleared: int = 0

    @property
    def any_at_start(self) -> int:
        """Return the number of crashes with a start, certain or not."""
        return self.at_start + self.uncertain

    @property
    def total(self) -> int:
        """Return the number of all crashes."""
        return self.at_start + self.later + self.uncertain + self.cleared


NO_CRASHES = CrashCounts()


@dataclass(frozen=True, slots=True)
class RunAtRisk:
    """Represent a run whose worker may have crashed because of it.

    `worker_started_ms` is 0 if it is unknown. `is_suspect` tells that the run had just
    been started, and `is_only_suspect` that nothing else had.
    """

    worker: WorkerId
    worker_started_ms: int
    vm: VmId
    is_suspect: bool
    is_only_suspect: bool

    def is_on(self, worker: Worker) -> bool:
        """Return whether this is the life of a worker that had the run."""
        return worker.worker == self.worker and (
            self.worker_started_ms in (0, worker.started_ms)
        )
