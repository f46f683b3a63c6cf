"""Choose workers for waiting tasks, without network or clock.

The load that it answers: each queue in turn asks several times its mean for some
seconds, more than its pool holds, with jobs of very different width.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from jayshunt.dispatch.models import Resources, StepSpec, Worker
from jayshunt.dispatch.tasks import Job, Task, TaskPhase
from jayshunt.ids import JobId, PoolName, RackName, WorkerId

# A job this much past its objective earns next to nothing: others come first.
HOPELESS_FACTOR = 3.0


@dataclass
class WorkerRoom:
    """Hold what a worker has free during one round of placing.

    `groups` counts the tasks of each step here. `is_trusted` says that its last
    run ended well, `leaves_soon` that a planned stop or a move will end its runs.
    """

    worker: Worker
    free: Resources
    groups: Counter = field(default_factory=Counter)
    long_running: int = 0
    filling: int = 0
    serving: int = 0
    is_trusted: bool = True
    is_slow: bool = False
    leaves_soon: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the worker chosen for a task."""

    task: Task
    worker: WorkerId


def order_jobs(jobs: Iterable[Job], now_s: float) -> list[Job]:
    """Return jobs in the order in which they get room.

    Long-running jobs come first, as every second away counts for them. Then come
    jobs that can still meet their objective, by priority and deadline: with more
    work than room, an order by deadline alone would make every job late. Late
    ones follow, and last those that are far beyond their objective.
    """
    return sorted(jobs, key=lambda job: _rank(job, now_s))


def _rank(job: Job, now_s: float) -> tuple:
    objective_s = job.deadline_s - job.accepted_s
    hopeless = now_s > job.accepted_s + HOPELESS_FACTOR * objective_s
    late = now_s + job.remaining_chain_s > job.deadline_s
    return (
        not job.spec.is_long_running,
        hopeless,
        late,
        job.config.priority,
        job.deadline_s,
        job.spec.job,
    )


def plan_placements(
    jobs: Iterable[Job],
    rooms: dict[PoolName, list[WorkerRoom]],
    now_s: float,
    may_start=None,
) -> list[Placement]:
    """Return where waiting tasks start now; rooms are reduced accordingly.

    `may_start` can hold back a job whose runs of an earlier term are not known yet.
    """
    placements: list[Placement] = []
    for job in order_jobs(jobs, now_s):
        pool_rooms = rooms.get(job.config.pool)
        if not pool_rooms or (may_start is not None and not may_start(job)):
            continue
        placements += _place_job(job, pool_rooms)
    return placements


def _place_job(job: Job, rooms: list[WorkerRoom]) -> list[Placement]:
    placements: list[Placement] = []
    failed: set[tuple[int, int]] = set()
    for task in job.due_tasks():
        group = (task.key.occurrence, task.key.step)
        if group in failed:
            continue
        if task.spec.is_gang:
            failed.add(group)
            placements += _place_gang(job, group, rooms)
            continue
        room = _best_room(job, task, rooms)
        if room is None:
            # The other tasks of the step need as much.
            failed.add(group)
            continue
        _take(room, job, task)
        placements.append(Placement(task, room.worker.worker))
    return placements


def _place_gang(
    job: Job, group: tuple[int, int], rooms: list[WorkerRoom]
) -> list[Placement]:
    """Place all tasks of a gang, on one rack if that is possible, or none."""
    tasks = job.steps[group]
    if any(task.phase is not TaskPhase.WAITING for task in tasks):
        return []
    racks: dict[RackName, list[WorkerRoom]] = {}
    for room in rooms:
        racks.setdefault(room.worker.rack, []).append(room)
    step = tasks[0].spec
    choices = sorted(
        racks.values(),
        key=lambda rack: (
            rack[0].worker.rack != step.data_rack,
            -sum(room.free.cpu_millicores for room in rack),
        ),
    )
    for choice in [*choices, rooms]:
        placements = _try_gang(job, tasks, choice)
        if placements:
            return placements
    return []


def _try_gang(job: Job, tasks: list[Task], rooms: list[WorkerRoom]) -> list[Placement]:
    taken: list[tuple[WorkerRoom, Task]] = []
    for task in tasks:
        room = _best_room(job, task, rooms)
        if room is None:
            for used, member in taken:
                _give_back(used, job, member)
            return []
        _take(room, job, task)
        taken.append((room, task))
    return [Placement(task, room.worker.worker) for room, task in taken]


def fits(step: StepSpec, room: WorkerRoom, group: tuple[JobId, int, int]) -> bool:
    """Return whether one more task of a step may start on a worker."""
    if not room.free.holds(step.reserved):
        return False
    if step.required_label and step.required_label not in room.worker.labels:
        return False
    return not step.max_per_worker or room.groups[group] < step.max_per_worker


def _best_room(job: Job, task: Task, rooms: list[WorkerRoom]) -> WorkerRoom | None:
    group = _group(job, task)
    step = task.spec
    is_last_chance = (
        not step.is_long_running and task.failures + 1 >= job.config.max_failures
    ) and task.failures > 0
    best: WorkerRoom | None = None
    best_cost: tuple | None = None
    for room in rooms:
        if not fits(step, room, group):
            continue
        cost = _cost(task, step, room, is_last_chance)
        if best_cost is None or cost < best_cost:
            best, best_cost = room, cost
    return best


def _cost(task: Task, step: StepSpec, room: WorkerRoom, is_last_chance: bool) -> tuple:
    """Return what speaks against a worker, the weightiest first."""
    left = room.free.cpu_millicores - step.reserved.cpu_millicores
    if step.is_long_running:
        # Long-running tasks share few VMs, so that the others can be moved.
        return (
            room.worker.worker in task.failed_on[-3:],
            room.leaves_soon,
            room.is_slow,
            _disturbance(step, room),
            -room.long_running,
            left,
        )
    return (
        room.worker.worker in task.failed_on,
        is_last_chance and not room.is_trusted,
        room.is_slow,
        bool(step.data_rack) and room.worker.rack != step.data_rack,
        not room.is_trusted,
        room.leaves_soon,
        left,
    )


def _disturbance(step: StepSpec, room: WorkerRoom) -> int:
    """Return how many tasks a long-running one would disturb or be disturbed by."""
    if step.fills:
        return room.serving
    if step.target_ms:
        return room.filling
    return 0


def _group(job: Job, task: Task) -> tuple[JobId, int, int]:
    return (job.spec.job, task.key.occurrence, task.key.step)


def _take(room: WorkerRoom, job: Job, task: Task) -> None:
    _count(room, job, task, 1)
    room.free = room.free - task.spec.reserved


def _give_back(room: WorkerRoom, job: Job, task: Task) -> None:
    _count(room, job, task, -1)
    room.free = room.free + task.spec.reserved


def _count(room: WorkerRoom, job: Job, task: Task, change: int) -> None:
    room.groups[_group(job, task)] += change
    room.long_running += change * task.spec.is_long_running
    room.filling += change * task.spec.fills
    room.serving += change * bool(task.spec.target_ms)
