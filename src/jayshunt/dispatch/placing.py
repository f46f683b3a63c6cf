"""Choose workers for waiting tasks, without network or clock.

The load that it answers: each queue in turn asks several times its mean for some
seconds, more than its pool holds, with jobs of very different width.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from jayshunt.dispatch.models import StepSpec
from jayshunt.dispatch.rooms import (
    PoolRooms,
    StepKey,
    WorkerRoom,
    fits,
    step_key,
)
from jayshunt.dispatch.tasks import Job, Task, TaskPhase
from jayshunt.ids import PoolName, RackName, WorkerId

# A job this much past its objective earns next to nothing: others come first.
HOPELESS_FACTOR = 3.0


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
    late = now_s + job.remaining_critical_path_s > job.deadline_s
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
    pools: dict[PoolName, PoolRooms] = {}
    for job in order_jobs(jobs, now_s):
        pool = job.config.pool
        if not rooms.get(pool) or (may_start is not None and not may_start(job)):
            continue
        if pool not in pools:
            pools[pool] = PoolRooms(rooms[pool])
        placements += _place_job(job, pools[pool])
    return placements


def _place_job(job: Job, pool: PoolRooms) -> list[Placement]:
    placements: list[Placement] = []
    failed: set[StepKey] = set()
    for task in job.ready_tasks():
        key = step_key(task)
        if key in failed:
            continue
        if task.spec.is_gang:
            failed.add(key)
            placements += _place_gang(job, task, pool)
            continue
        room = _best_of_pool(job, task, pool)
        if room is None:
            # The other tasks of the step need as much.
            failed.add(key)
            continue
        pool.take(room, task)
        placements.append(Placement(task, room.worker.worker))
    return placements


def _best_of_pool(job: Job, task: Task, pool: PoolRooms) -> WorkerRoom | None:
    """Return the worker for a task, None if no one has room.

    For a task without a preferred rack the fullest sound worker that has room is
    the best one; all workers are compared only where that does not decide.
    """
    step = task.spec
    if pool.is_hopeless(step):
        return None
    if not step.is_long_running and not step.data_rack:
        key = step_key(task)
        for room in pool.by_fit(step):
            if room.worker.worker not in task.failed_on and fits(step, room, key):
                return room
        if not pool.has_unsound and not task.failed_on:
            pool.found_none(step)
            return None
    best = _best_room(job, task, pool.rooms)
    if best is None:
        pool.found_none(step)
    return best


def _place_gang(job: Job, first: Task, pool: PoolRooms) -> list[Placement]:
    """Place all tasks of a gang, on one rack if that is possible, or none."""
    tasks = job.steps[first.key.occurrence, first.key.step]
    if any(task.phase is not TaskPhase.WAITING for task in tasks):
        return []
    racks: dict[RackName, list[WorkerRoom]] = {}
    for room in pool.rooms:
        racks.setdefault(room.worker.rack, []).append(room)
    choices = sorted(
        racks.values(),
        key=lambda rack: (
            rack[0].worker.rack != first.spec.data_rack,
            -sum(room.free.cpu_millicores for room in rack),
        ),
    )
    for choice in [*choices, pool.rooms]:
        placements = _try_gang(job, tasks, choice)
        if placements:
            pool.index()
            return placements
    return []


def _try_gang(job: Job, tasks: list[Task], rooms: list[WorkerRoom]) -> list[Placement]:
    taken: list[tuple[WorkerRoom, Task]] = []
    for task in tasks:
        room = _best_room(job, task, rooms)
        if room is None:
            for used, member in taken:
                used.give_back(member)
            return []
        room.take(task)
        taken.append((room, task))
    return [Placement(task, room.worker.worker) for room, task in taken]


def _best_room(job: Job, task: Task, rooms: list[WorkerRoom]) -> WorkerRoom | None:
    key = step_key(task)
    step = task.spec
    is_last_chance = (
        not step.is_long_running and task.failures + 1 >= job.config.max_failures
    ) and task.failures > 0
    best: WorkerRoom | None = None
    best_cost: tuple | None = None
    for room in rooms:
        if not fits(step, room, key):
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
            -room.load.long_running,
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
        return room.load.serving
    if step.target_ms:
        return room.load.filling
    return 0
