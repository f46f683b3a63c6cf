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
    lasting: Resources = Resources()
    apart: Counter = field(default_factory=Counter)
    long_running: int = 0
    filling: int = 0
    serving: int = 0

    def add(self, task: Task) -> None:
        """Count one more task."""
        self.reserved += task.spec.reserved
        if task.spec.is_long_running:
            self.lasting += task.spec.reserved
        self._count(task, 1)

    def remove(self, task: Task) -> None:
        """Count one task less."""
        self.reserved -= task.spec.reserved
        if task.spec.is_long_running:
            self.lasting -= task.spec.reserved
        self._count(task, -1)

    def copy(self) -> "Load":
        """Return a load that changes by itself."""
        return Load(
            self.reserved,
            self.lasting,
            self.apart.copy() if self.apart else Counter(),
            self.long_running,
            self.filling,
            self.serving,
        )

    def _count(self, task: Task, change: int) -> None:
        spec = task.spec
        if spec.max_per_worker:
            key = step_key(task)
            self.apart[key] += change
            if not self.apart[key]:
                del self.apart[key]
        if spec.is_long_running:
            self.long_running += change
        if spec.fills:
            self.filling += change
        if spec.target_ms:
            self.serving += change


@dataclass
class WorkerRoom:
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
    def is_sound(self) -> bool:
        """Return whether nothing but a lack of room speaks against the worker."""
        return self.is_trusted and not self.is_slow and not self.leaves_soon

    def take(self, task: Task) -> None:
        """Count a task as placed here."""
        self.load.add(task)
        self.free -= task.spec.reserved

    def give_back(self, task: Task) -> None:
        """Take a placement back."""
        self.load.remove(task)
        self.free += task.spec.reserved


def fits(step: StepSpec, room: WorkerRoom, key: StepKey) -> bool:
    """Return whether one more task of a step may start on a worker."""
    if not room.free.can_fit(step.reserved):
        return False
    if step.required_label and step.required_label not in room.worker.labels:
        return False
    return not step.max_per_worker or room.load.apart[key] < step.max_per_worker


class PoolRooms:
    """Own the rooms of a pool: sound ones sorted by free processors.

    A round of placing in a burst looks at hundreds of waiting jobs and workers, so
    that neither may be compared with each other one by one.
    """

    def __init__(self, rooms: Iterable[WorkerRoom]) -> None:
        """Sort the rooms."""
        self.rooms = list(rooms)
        self._number = {id(room): n for n, room in enumerate(self.rooms)}
        self._too_much: list[Resources] = []
        self.index()

    def index(self) -> None:
        """Sort the rooms anew after they changed by other ways than `take`."""
        self._sorted = sorted(self._entry(room) for room in self.rooms if room.is_sound)
        self.has_unsound = len(self._sorted) < len(self.rooms)

    def take(self, room: WorkerRoom, task: Task) -> None:
        """Count a task as placed in a room."""
        if room.is_sound:
            del self._sorted[bisect_left(self._sorted, self._entry(room))]
        room.take(task)
        if room.is_sound:
            insort(self._sorted, self._entry(room))

    def by_fit(self, step: StepSpec) -> Iterator[WorkerRoom]:
        """Yield sound rooms with processors enough, the fullest first."""
        first = bisect_left(self._sorted, (step.reserved.cpu_millicores,))
        for _, number in self._sorted[first:]:
            yield self.rooms[number]

    def is_hopeless(self, step: StepSpec) -> bool:
        """Return whether as much as a step needs found no room in this round."""
        return any(step.reserved.can_fit(need) for need in self._too_much)

    def found_none(self, step: StepSpec) -> None:
        """Remember that no worker has room for a step, whatever else it asks."""
        if not step.required_label and not step.max_per_worker:
            self._too_much.append(step.reserved)

    def _entry(self, room: WorkerRoom) -> tuple[int, int]:
        return (room.free.cpu_millicores, self._number[id(room)])


def due_jobs(jobs: Iterable[Job]) -> list[Job]:
    """Return the jobs with a task whose turn has come."""
    return [job for job in jobs if job.ready_tasks()]
