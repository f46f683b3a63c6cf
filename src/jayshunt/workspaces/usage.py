"""Sum what the tasks of each workspace may be using, without network or clock.

The expected load: up to 180 workers and several thousand tasks, with a placement round
every 8 ms, too many to sum up in each round. The sum is therefore updated whenever a
task is placed on a worker or released from it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from jayshunt.dispatch.models import JobState, Resources, StepSpec, TaskKey
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.ids import JobId, PoolName, WorkspaceName

NOTHING = Resources()


@dataclass
class WorkspaceUsage:
    """Sum the resources of all runs that exist or may exist, by workspace.

    A run counts with all that its task asks for, also if its step `fills` and reserves
    less. Runs whose owner is unknown are summed under None. `reserved` sums what runs
    reserve by pool and workspace.
    """

    by_workspace: dict[WorkspaceName | None, Resources] = field(default_factory=dict)
    reserved: dict[tuple[PoolName, WorkspaceName | None], Resources] = field(
        default_factory=dict
    )

    def add(
        self,
        pool: PoolName,
        workspace: WorkspaceName | None,
        resources: Resources,
        reserved: Resources,
    ) -> None:
        """Add a run that may exist from now on."""
        _change(self.by_workspace, workspace, resources)
        _change(self.reserved, (pool, workspace), reserved)

    def remove(
        self,
        pool: PoolName,
        workspace: WorkspaceName | None,
        resources: Resources,
        reserved: Resources,
    ) -> None:
        """Remove a run that has certainly ended."""
        _change(self.by_workspace, workspace, NOTHING - resources)
        _change(self.reserved, (pool, workspace), NOTHING - reserved)

    def of(self, workspace: WorkspaceName | None) -> Resources:
        """Return the sum of a workspace's runs."""
        return self.by_workspace.get(workspace, NOTHING)

    def highest_of(self, workspace: WorkspaceName) -> Resources:
        """Return the sum if all runs of unknown owners belong to a workspace.

        A run has no known owner if its job cannot be decoded or was removed from the
        store. The worker is told at once to stop it.
        """
        return self.of(workspace) + self.of(None)


@dataclass(frozen=True)
class UnconfirmedRuns:
    """Describe what workers that have not answered in this term may still run.

    `waiting` sums, by workspace, what the inherited tasks reserve of which no run is
    known, and `unreserved` what the filling ones among them ask for beyond that.
    `capacity` is that of the silent workers, None if not all of them are known.
    """

    waiting: Mapping[WorkspaceName, Resources] = field(default_factory=dict)
    unreserved: Mapping[WorkspaceName, Resources] = field(default_factory=dict)
    capacity: Resources | None = NOTHING

    def of(self, workspace: WorkspaceName) -> Resources:
        """Return the highest sum of the runs that a workspace may have there.

        The capacity of a worker does not limit what filling tasks ask for beyond their
        reservation.
        """
        waiting = self.waiting.get(workspace, NOTHING)
        if self.capacity is not None:
            waiting = _smaller(waiting, self.capacity)
        return waiting + self.unreserved.get(workspace, NOTHING)


NO_UNCONFIRMED_RUNS = UnconfirmedRuns()


def sum_inherited(
    jobs: Iterable[Job], capacities: Iterable[Resources] | None
) -> UnconfirmedRuns:
    """Return what silent workers may run of the jobs of earlier terms.

    `capacities` are those of the silent workers, None if not all are known. All tasks
    that are not known to be done or placed count, also those that wait for others: the
    end of the others may have been known to the last dispatcher without being stored.
    So do those of jobs that were cancelled or failed, as their runs may not have been
    told to stop. Of a job that stores its starts, only those count that were started.
    """
    found = _Sum()
    for job in jobs:
        if not job.is_inherited or job.state is JobState.COMPLETED:
            continue
        if not job.steps:
            # No tasks are created for a job that has ended.
            for step in job.spec.steps:
                found.add(job.spec.workspace, step, step.task_count)
        for (_, number), tasks in job.steps.items():
            is_stored = job.stores_starts and not job.state.is_final
            waiting = sum(
                task.phase is TaskPhase.WAITING
                and (not is_stored or task.inherited_start is not None)
                for task in tasks
            )
            if waiting:
                found.add(job.spec.workspace, job.spec.steps[number], waiting)
    capacity = None if capacities is None else sum(capacities, NOTHING)
    return UnconfirmedRuns(found.waiting, found.unreserved, capacity)


def sum_handed_over(
    jobs: Mapping[JobId, Job], task_names: Iterable[str]
) -> UnconfirmedRuns:
    """Return what silent workers may run by the handoff of the last term.

    The handoff names their tasks, and jobs with an unstored end, whose run is over.
    """
    found = _Sum()
    for name in task_names:
        if "." not in name:
            continue
        key = TaskKey.parse(name)
        job = jobs.get(key.job)
        if job is not None and 0 <= key.step < len(job.spec.steps):
            found.add(job.spec.workspace, job.spec.steps[key.step], 1)
    return UnconfirmedRuns(found.waiting, found.unreserved, None)


class _Sum:
    """Sum tasks by workspace: what they reserve, and what they ask for beyond it."""

    def __init__(self) -> None:
        self.waiting: dict[WorkspaceName, Resources] = {}
        self.unreserved: dict[WorkspaceName, Resources] = {}

    def add(self, workspace: WorkspaceName, step: StepSpec, count: int) -> None:
        reserved = multiply(step.reserved, count)
        self.waiting[workspace] = self.waiting.get(workspace, NOTHING) + reserved
        if step.fills:
            beyond = multiply(step.resources - step.reserved, count)
            before = self.unreserved.get(workspace, NOTHING)
            self.unreserved[workspace] = before + beyond


def multiply(resources: Resources, count: int) -> Resources:
    """Return what a number of equal tasks needs."""
    return Resources(
        resources.cpu_millicores * count,
        resources.memory_mb * count,
        resources.gpus * count,
    )


def _change(sums: dict, key: object, change: Resources) -> None:
    """Add a change to a sum, and remove the sum if nothing is left."""
    left = sums.get(key, NOTHING) + change
    if left != NOTHING:
        sums[key] = left
    else:
        sums.pop(key, None)


def _smaller(first: Resources, second: Resources) -> Resources:
    """Return the smaller amount of each component."""
    return Resources(
        min(first.cpu_millicores, second.cpu_millicores),
        min(first.memory_mb, second.memory_mb),
        min(first.gpus, second.gpus),
    )
