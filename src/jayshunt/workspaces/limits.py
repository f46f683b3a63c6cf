"""Decide whether a task may start within its workspace's limit; no network or clock.

The expected load: about 20 workspaces, of which one at times submits 7.5 times its
usual load for some seconds, so that thousands of its tasks wait for its limit in every
placement round while the tasks of the others should start.
"""

from collections import Counter
from collections.abc import Mapping

from jayshunt.dispatch.free_capacity import StepKey, step_key
from jayshunt.dispatch.models import FleetConfig, JobSpec, Resources
from jayshunt.dispatch.placement_policy import StartGate
from jayshunt.dispatch.tasks import Job, Task
from jayshunt.ids import WorkspaceName
from jayshunt.workspaces.usage import (
    NO_UNCONFIRMED_RUNS,
    NOTHING,
    UnconfirmedRuns,
    WorkspaceUsage,
    multiply,
)


def limits_of(config: FleetConfig | None) -> dict[WorkspaceName, Resources]:
    """Return the limits of a configuration's workspaces, without unlimited ones."""
    if config is None:
        return {}
    return {
        workspace.workspace: workspace.max_running
        for workspace in config.workspaces
        if workspace.max_running != NOTHING
    }


def is_within(limit: Resources, use: Resources) -> bool:
    """Return whether a use is within a limit; a component that is 0 is not limited."""
    return (
        (not limit.cpu_millicores or use.cpu_millicores <= limit.cpu_millicores)
        and (not limit.memory_mb or use.memory_mb <= limit.memory_mb)
        and (not limit.gpus or use.gpus <= limit.gpus)
    )


def share_within(limit: Resources, need: Resources) -> float:
    """Return which share of a need is within a limit, at most 1."""
    shares = [1.0]
    for allowed, needed in (
        (limit.cpu_millicores, need.cpu_millicores),
        (limit.memory_mb, need.memory_mb),
        (limit.gpus, need.gpus),
    ):
        if allowed and needed:
            shares.append(allowed / needed)
    return min(shares)


def can_ever_start(spec: JobSpec, limit: Resources) -> bool:
    """Return whether each task, and each gang as a whole, is within a limit.

    The tasks of a step that is not a gang start as others end.
    """
    return all(
        is_within(
            limit, multiply(step.resources, step.task_count if step.is_gang else 1)
        )
        for step in spec.steps
    )


def allowed_tasks(job: Job, gate: StartGate) -> list[Task]:
    """Return the ready tasks of a job that a gate allows to start, and record them.

    The others wait for the limit of their workspace and need no capacity before that.
    """
    allowed: list[Task] = []
    skipped_steps: set[StepKey] = set()
    for task in job.ready_tasks():
        key = step_key(task)
        if key in skipped_steps:
            continue
        tasks = [task]
        if task.spec.is_gang:
            skipped_steps.add(key)
            tasks = job.steps[task.key.occurrence, task.key.step]
        if not gate.may_start(job, tasks):
            skipped_steps.add(key)
            continue
        for started in tasks:
            gate.record_start(job, started)
        allowed += tasks
    return allowed


class WorkspaceLimits:
    """Hold back, in one placement round, what would exceed the limit of a workspace.

    A start is allowed only if all that the workspace may be using stays within each
    component of its limit, also those that the task does not need. So nothing starts
    after a limit was lowered below the use until the use is below it. `held` counts, by
    workspace, the starts that were not allowed: of a gang, or of a step's next task.
    """

    def __init__(
        self,
        limits: Mapping[WorkspaceName, Resources],
        usage: WorkspaceUsage,
        unconfirmed: UnconfirmedRuns = NO_UNCONFIRMED_RUNS,
    ) -> None:
        """Start a round in which nothing was placed yet."""
        self.limits = limits
        self._usage = usage
        self._unconfirmed = unconfirmed
        self._used: dict[WorkspaceName, Resources] = {}
        self.held: Counter[WorkspaceName] = Counter()

    def may_start(self, job: Job, tasks: list[Task]) -> bool:
        """Return whether all the given tasks of a job fit into its workspace's limit.

        These are a single task, or all tasks of a gang.
        """
        workspace = job.spec.workspace
        limit = self.limits.get(workspace)
        if limit is None:
            return True
        need = multiply(tasks[0].spec.resources, len(tasks))
        if is_within(limit, self.used(workspace) + need):
            return True
        self.held[workspace] += 1
        return False

    def record_start(self, job: Job, task: Task) -> None:
        """Add a task that is placed in this round to its workspace's use."""
        workspace = job.spec.workspace
        if workspace in self.limits:
            self._used[workspace] = self.used(workspace) + task.spec.resources

    def used(self, workspace: WorkspaceName) -> Resources:
        """Return what a workspace may be using, with the placements of the round."""
        used = self._used.get(workspace)
        if used is None:
            used = self._usage.highest_of(workspace) + self._unconfirmed.of(workspace)
            self._used[workspace] = used
        return used
