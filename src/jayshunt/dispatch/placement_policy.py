"""Define the replaceable parts of placement: order, admission of starts, neighbors."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from jayshunt.dispatch.free_capacity import CandidateWorker
from jayshunt.dispatch.models import StepSpec
from jayshunt.dispatch.tasks import Job, Task

JobOrder = Callable[[Iterable[Job], float], list[Job]]
NeighborCost = Callable[[StepSpec, CandidateWorker], float]


class StartGate(Protocol):
    """Decide which tasks may be started in one placement round."""

    def may_start(self, job: Job, tasks: list[Task]) -> bool:
        """Return whether all the given tasks of a job may be started now.

        These are a single task, or all tasks of a gang.
        """

    def record_start(self, job: Job, task: Task) -> None:
        """Record that a task of this round is placed and will be started."""


class OpenGate:
    """Allow every start."""

    def may_start(self, job: Job, tasks: list[Task]) -> bool:
        """Return True."""
        return True

    def record_start(self, job: Job, task: Task) -> None:
        """Record nothing."""


def count_neighbors(step: StepSpec, candidate: CandidateWorker) -> float:
    """Return how many tasks on the worker a step would slow down or be slowed by."""
    if step.fills:
        return candidate.load.serving
    if step.target_ms:
        return candidate.load.filling
    return 0


@dataclass(frozen=True)
class PlacementPolicy:
    """Combine the replaceable parts of placement.

    `order` returns jobs in the order in which they are placed at a monotonic time in
    seconds. `gate` is asked before each placement. `neighbor_cost` returns the expected
    mutual slowdown of a step and the tasks on a worker; the lowest is best. Beyond
    `max_runs_per_job`, further tasks of a job wait until others have ended, except the
    members of a gang, which end together.
    """

    order: JobOrder
    gate: StartGate = field(default_factory=OpenGate)
    neighbor_cost: NeighborCost = count_neighbors
    max_runs_per_job: float = math.inf
