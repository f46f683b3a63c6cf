"""Index what the workers of a pool have free, for one round of placing."""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from jayshunt.dispatch.models import Resources, StepSpec, Worker
from jayshunt.dispatch.tasks import Job, Task
from jayshunt.ids import JobId

StepKey = tuple[JobId, int, int]


def step_key(task: Task) -> StepKey:
    """Return what names the step of a task, its occurrence included."""
    return (task.key.job, task.key.occurrence, task.key.step)


@dataclass
class Load:
    """Count what runs on a worker.

    `lasting` is the part of `reserved` that long-running tasks take. `apart` counts
    the tasks of each step that limits how many share a worker.
    """

    reserved: Resources = Resources()
    long_running_reserved: Resources = Resources()
    tasks_per_step: Counter = field(default_factory=Counter)
    long_running: int = 0
    filling: int = 0
    serving: int = 0

    def add(self, task: Task) -> None:
        """Count one more task."""
        self.reserved += task.spec.reserved
        if task.spec.is_long_running:
            self.long_running_reserved += task.spec.reserved
        self._count(task, 1)

    def remove(self, task: Task) -> None:
        """Count one task less."""
        self.reserved -= task.spec.reserved
        if task.spec.is_long_running:
            self.long_running_reserved -= task.spec.reserved
        self._count(task, -1)

    def copy(self) -> "Load":
        """Return a load that changes by itself."""
        return Load(
            self.reserved,
            self.long_running_reserved,
            self.tasks_per_step.copy() if self.tasks_per_step else Counter(),
            self.long_running,
            self.filling,
            self.serving,
        )

    def _count(self, task: Task, change: int) -> None:
        spec = task.spec
        if spec.max_per_worker:
            key = step_key(task)
            self.tasks_per_step[key] += change
            if not self.tasks_per_step[key]:
                del self.tasks_per_step[key]
        if spec.is_long_running:
            self.long_running += change
        if spec.fills:
            self.filling += change
        if spec.target_ms:
            self.serving += change


@dataclass
class CandidateWorker:
    """Hold what a worker has free during one round of placing.

    `is_trusted` says that its last run ended well, `leaves_soon` that a planned
    stop or a move will end its runs.
    """

    worker: Worker
    free: Resources
    load: Load = field(default_factory=Load)
    is_trusted: bool = True
    is_slow: bool = False
    leaves_soon: bool = False

    @property
    def is_preferred(self) -> bool:
        """Return whether nothing but a lack of room speaks against the worker."""
        return self.is_trusted and not self.is_slow and not self.leaves_soon

    def reserve(self, task: Task) -> None:
        """Count a task as placed here."""
        self.load.add(task)
        self.free -= task.spec.reserved

    def release(self, task: Task) -> None:
        """Take a placement back."""
        self.load.remove(task)
        self.free += task.spec.reserved


def fits(step: StepSpec, candidate: CandidateWorker, key: StepKey) -> bool:
    """Return whether one more task of a step may start on a worker."""
    if not candidate.free.holds(step.reserved):
        return False
    if step.required_label and step.required_label not in candidate.worker.labels:
        return False
    return (
        not step.max_per_worker
        or candidate.load.tasks_per_step[key] < step.max_per_worker
    )


class CandidateIndex:
    """Own the rooms of a pool: sound ones sorted by free processors.

    A round of placing in a burst looks at hundreds of waiting jobs and workers, so
    that neither may be compared with each other one by one.
    """

    def __init__(self, candidates: Iterable[CandidateWorker]) -> None:
        """Sort the rooms."""
        self.candidates = list(candidates)
        self._position = {
            id(candidate): n for n, candidate in enumerate(self.candidates)
        }
        self._unplaceable: list[Resources] = []
        self.build_index()

    def build_index(self) -> None:
        """Sort the rooms anew after they changed by other ways than `take`."""
        self._sorted = sorted(
            self._sort_key(candidate)
            for candidate in self.candidates
            if candidate.is_preferred
        )
        self.has_unpreferred = len(self._sorted) < len(self.candidates)

    def reserve(self, candidate: CandidateWorker, task: Task) -> None:
        """Count a task as placed in a room."""
        if candidate.is_preferred:
            del self._sorted[bisect_left(self._sorted, self._sort_key(candidate))]
        candidate.reserve(task)
        if candidate.is_preferred:
            insort(self._sorted, self._sort_key(candidate))

    def by_best_fit(self, step: StepSpec) -> Iterator[CandidateWorker]:
        """Yield sound rooms with processors enough, the fullest first."""
        first = bisect_left(self._sorted, (step.reserved.cpu_millicores,))
        for _, number in self._sorted[first:]:
            yield self.candidates[number]

    def cannot_fit(self, step: StepSpec) -> bool:
        """Return whether as much as a step needs found no room in this round."""
        return any(step.reserved.holds(need) for need in self._unplaceable)

    def record_no_fit(self, step: StepSpec) -> None:
        """Remember that no worker has room for a step, whatever else it asks."""
        if not step.required_label and not step.max_per_worker:
            self._unplaceable.append(step.reserved)

    def _sort_key(self, candidate: CandidateWorker) -> tuple[int, int]:
        return (candidate.free.cpu_millicores, self._position[id(candidate)])


def due_jobs(jobs: Iterable[Job]) -> list[Job]:
    """Return the jobs with a task whose turn has come."""
    return [job for job in jobs if job.due_tasks()]
