"""Index the free capacity of a pool's workers for one placement round."""

import math
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from jayshunt.dispatch.models import Resources, StepSpec, Worker
from jayshunt.dispatch.obstacles import Obstacle
from jayshunt.dispatch.tasks import Job, Task
from jayshunt.ids import JobId

StepKey = tuple[JobId, int, int]


def step_key(task: Task) -> StepKey:
    """Return the job, occurrence and step number that identify a task's step."""
    return (task.key.job, task.key.occurrence, task.key.step)


def limited_step(task: Task) -> StepKey | None:
    """Return a task's step if it has a limit per worker."""
    return step_key(task) if task.spec.max_per_worker else None


def lacks_label(step: StepSpec, worker: Worker) -> bool:
    """Return whether a worker lacks the label that a step requires."""
    return bool(step.required_label) and step.required_label not in worker.labels


@dataclass
class Load:
    """Sum the reservations and the tasks on a worker.

    `long_running_reserved` is the share of `reserved` that belongs to long-running
    tasks. `runs_per_step` counts the runs of each step that has a `max_per_worker`,
    also stray runs that are being stopped, which no other sum includes. `filling`
    counts tasks that use otherwise idle processors, `serving` those with a latency
    target. `images` counts both kinds by image and by whether they fill, as far as
    they have an image.
    """

    reserved: Resources = Resources()
    long_running_reserved: Resources = Resources()
    runs_per_step: Counter = field(default_factory=Counter)
    long_running: int = 0
    filling: int = 0
    serving: int = 0
    images: dict[tuple[str, bool], int] = field(default_factory=dict)

    def add(self, task: Task) -> None:
        """Add a task to the load."""
        self.reserved += task.spec.reserved
        if task.spec.is_long_running:
            self.long_running_reserved += task.spec.reserved
        self._count(task, 1)

    def remove(self, task: Task) -> None:
        """Remove a task from the load."""
        self.reserved -= task.spec.reserved
        if task.spec.is_long_running:
            self.long_running_reserved -= task.spec.reserved
        self._count(task, -1)

    def copy(self) -> "Load":
        """Return an independent copy."""
        return Load(
            self.reserved,
            self.long_running_reserved,
            self.runs_per_step.copy() if self.runs_per_step else Counter(),
            self.long_running,
            self.filling,
            self.serving,
            self.images.copy(),
        )

    def count_run(self, step: StepKey | None, change: int) -> None:
        """Add `change` runs of a step with a limit per worker; None is another step."""
        if step is None:
            return
        self.runs_per_step[step] += change
        if not self.runs_per_step[step]:
            del self.runs_per_step[step]

    def _count(self, task: Task, change: int) -> None:
        spec = task.spec
        self.count_run(limited_step(task), change)
        if spec.is_long_running:
            self.long_running += change
        if spec.fills:
            self.filling += change
        if spec.target_ms:
            self.serving += change
        if spec.image and (spec.fills or spec.target_ms):
            image = (spec.image, spec.fills)
            self.images[image] = self.images.get(image, 0) + change
            if not self.images[image]:
                del self.images[image]


@dataclass
class CandidateWorker:
    """Track the free capacity of a worker during one placement round.

    `is_trusted` means that no run has failed on the worker since its last successful
    run or since it was last set aside, `leaves_soon` that a pending wave of planned
    stops will end its runs. `probation_weight` is that of the suspects whose start may
    still crash the worker; nothing else is started there meanwhile. `recent_starts`
    are not yet known to have survived their start. Tasks of `avoided_steps` are not
    placed here. `free_starts` is how many starts may still be queued for the worker.
    """

    worker: Worker
    free: Resources
    load: Load = field(default_factory=Load)
    is_trusted: bool = True
    is_slow: bool = False
    leaves_soon: bool = False
    probation_weight: int = 0
    recent_starts: int = 0
    avoided_steps: frozenset[StepKey] = frozenset()
    free_starts: float = math.inf

    @property
    def is_preferred(self) -> bool:
        """Return whether the worker is trusted, not slow and not about to leave."""
        return self.is_trusted and not self.is_slow and not self.leaves_soon

    def reserve(self, task: Task) -> None:
        """Reserve the resources of a task on this worker."""
        self.load.add(task)
        self.free -= task.spec.reserved
        self.probation_weight += task.probation_weight
        self.recent_starts += 1
        self.free_starts -= 1

    def release(self, task: Task) -> None:
        """Release the reservation of a task."""
        self.load.remove(task)
        self.free += task.spec.reserved
        self.probation_weight -= task.probation_weight
        self.recent_starts -= 1
        self.free_starts += 1


def fits(
    step: StepSpec,
    candidate: CandidateWorker,
    key: StepKey,
    max_probation_weight: int = 0,
) -> bool:
    """Return whether a worker has the capacity and the label for a task of a step.

    A worker on probation takes only a suspect that shares it.
    """
    return misfit(step, candidate, key, max_probation_weight) is None


def misfit(
    step: StepSpec,
    candidate: CandidateWorker,
    key: StepKey,
    max_probation_weight: int = 0,
) -> Obstacle | None:
    """Return why a worker can take no task of a step, None if it can.

    The members of a gang wait for each other, and so are queued together.
    """
    if candidate.probation_weight > max_probation_weight:
        return Obstacle.PROBATION
    if key in candidate.avoided_steps:
        return Obstacle.AVOIDED
    if candidate.free_starts <= 0 and not step.is_gang:
        return Obstacle.STARTS_QUEUED
    if not candidate.free.can_fit(step.reserved):
        return Obstacle.NO_ROOM
    if lacks_label(step, candidate.worker):
        return Obstacle.NO_LABEL
    if step.max_per_worker and candidate.load.runs_per_step[key] >= step.max_per_worker:
        return Obstacle.STEP_LIMIT
    return None


class CandidateIndex:
    """Index a pool's preferred candidate workers by free processors.

    In a burst a placement round covers hundreds of waiting jobs and workers, too
    many to compare each job with each worker.
    """

    def __init__(self, candidates: Iterable[CandidateWorker]) -> None:
        """Index the candidates."""
        self.candidates = list(candidates)
        self._position = {
            id(candidate): n for n, candidate in enumerate(self.candidates)
        }
        self._unplaceable: list[Resources] = []
        self.rebuild()

    def rebuild(self) -> None:
        """Rebuild the index after candidates changed other than through `reserve`."""
        self._sorted = sorted(
            self._sort_key(candidate)
            for candidate in self.candidates
            if candidate.is_preferred
        )
        self.has_unpreferred = len(self._sorted) < len(self.candidates)

    def reserve(self, candidate: CandidateWorker, task: Task) -> None:
        """Reserve a task on a candidate and update the index."""
        if candidate.is_preferred:
            del self._sorted[bisect_left(self._sorted, self._sort_key(candidate))]
        candidate.reserve(task)
        if candidate.is_preferred:
            insort(self._sorted, self._sort_key(candidate))

    def may_try_suspect(self) -> bool:
        """Return whether another suspect may be started in the pool.

        At most half of the workers are on probation at a time, so that the other jobs
        go on.
        """
        on_probation = sum(bool(c.probation_weight) for c in self.candidates)
        return on_probation < max(1, len(self.candidates) // 2)

    def by_best_fit(self, step: StepSpec) -> Iterator[CandidateWorker]:
        """Yield preferred candidates with enough free processors, tightest first."""
        first = bisect_left(self._sorted, (step.reserved.cpu_millicores,))
        for _, position in self._sorted[first:]:
            yield self.candidates[position]

    def cannot_fit(self, step: StepSpec) -> bool:
        """Return whether a step needs at least as much as one that fit no worker."""
        return any(step.reserved.can_fit(need) for need in self._unplaceable)

    def record_no_fit(self, step: StepSpec) -> None:
        """Record for this round that no worker has the resources that a step needs.

        Steps with a required label or a limit per worker are not recorded, because
        these, and not the resources, may be why no worker fits. The same holds for
        long-running steps while a candidate avoids steps.
        """
        if step.is_long_running and any(c.avoided_steps for c in self.candidates):
            return
        if not step.required_label and not step.max_per_worker:
            self._unplaceable.append(step.reserved)

    def _sort_key(self, candidate: CandidateWorker) -> tuple[int, int]:
        return (candidate.free.cpu_millicores, self._position[id(candidate)])


def due_jobs(jobs: Iterable[Job]) -> list[Job]:
    """Return the jobs that have a task ready to start."""
    return [job for job in jobs if job.ready_tasks()]
