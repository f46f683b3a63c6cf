"""Track the state of a job and its tasks as the dispatcher knows it."""

from dataclasses import dataclass, field
from enum import Enum

from jayshunt.dispatch.crash_models import NO_CRASHES, CrashCounts, RunAtRisk
from jayshunt.dispatch.models import JobSpec, JobState, QueueConfig, StepSpec, TaskKey
from jayshunt.ids import PoolName, Revision, VmId, WorkerId, WorkspaceName

# Allows for clock differences between VMs: a task must not start before its time.
DUE_MARGIN_MS = 20

# Weights of the suspects that may share the probation of a worker. A task with
# PRIME_CRASHES at its start takes all of it: its next crash must leave no doubt.
FULL_PROBATION = 2
PRIME_CRASHES = 2


class TaskPhase(Enum):
    """List the phases of a task.

    ORDERED includes a start order that got no answer: until the run is stopped or its
    lease expires, it may exist or may still be started by the delayed order.
    """

    WAITING = "waiting"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class InheritedStart:
    """Represent a stored start of an earlier term, of which the end is not known.

    `vm` is that of `worker`, None if it is unknown.
    """

    worker: WorkerId
    vm: VmId | None
    run: int


@dataclass(slots=True)
class Task:
    """Track one task.

    `run` is the highest run number used. `ended_runs` are the runs whose end was
    processed and `failed_runs` those that failed; both are kept because workers
    report an end again, also to a later term, until it is acknowledged. `worker` is
    where the current run is or may be. `failed_on` are the workers on which a run
    failed. `acked_s` is when the worker accepted the last start or stop order, or first
    reported a run that the dispatcher did not know to be there. `running_s` is when the
    run was first reported, `percent` the progress of its warm-up, `load` its tail
    latency in milliseconds if the step has a target, and `pace` its speed in percent of
    full speed. Times are monotonic seconds.

    `is_pace_known` is False if the run may have another pace: an earlier term may have
    set it, or an order for it was refused or got no answer.

    `sent_s` is when the order to start the current run was sent, None while it waits.
    `crashes` counts the workers that crashed under the task. A suspect is started apart
    from other tasks. `run_at_risk` is stored with the job's progress, so that a later
    term learns of the current run; it is None for a run that cannot have crashed its
    worker. `unsettled_runs` are earlier runs, also of earlier terms, of which it is not
    known yet whether their workers crashed. `blamed_run` is the last run that a crash
    counted against while its start was open. `has_survived_start` tells that a worker
    reported some run of the task in this term a while after its start. `vm` is that of
    `worker`, and `workspace` owns the job. While `inherited_start` is set, the task may
    still run there, and is not started.
    """

    key: TaskKey
    spec: StepSpec
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker: WorkerId | None = None
    ended_runs: frozenset[int] = frozenset()
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    failed_on: tuple[WorkerId, ...] = ()
    waiting_since_s: float = 0.0
    ordered_s: float = 0.0
    sent_s: float | None = None
    acked_s: float | None = None
    running_s: float | None = None
    percent: int = 0
    load: float = 0.0
    pace: int = 100
    is_pace_known: bool = True
    crashes: CrashCounts = NO_CRASHES
    is_suspect: bool = False
    run_at_risk: RunAtRisk | None = None
    unsettled_runs: tuple[RunAtRisk, ...] = ()
    blamed_run: int = 0
    has_survived_start: bool = False
    vm: VmId | None = None
    workspace: WorkspaceName = WorkspaceName("")
    inherited_start: InheritedStart | None = None

    @property
    def failures(self) -> int:
        """Return how many runs failed."""
        return len(self.failed_runs)

    @property
    def probation_weight(self) -> int:
        """Return how much of a worker's probation the start of the task takes."""
        if not self.is_suspect:
            return 0
        return FULL_PROBATION if self.crashes.at_start >= PRIME_CRASHES else 1

    @property
    def started_s(self) -> float | None:
        """Return when the run is known to have been there, None before that.

        While the run is being stopped, `acked_s` may be the time of the stop.
        """
        if self.acked_s is None or self.phase is TaskPhase.STOPPING:
            return self.running_s
        return self.acked_s

    @property
    def may_be_started(self) -> bool:
        """Return whether the worker may have received the order to start the run."""
        return self.sent_s is not None or self.started_s is not None

    @property
    def is_open(self) -> bool:
        """Return whether it is not known which incarnation took the start, if any."""
        return self.may_be_started and self.running_s is None

    @property
    def is_placed(self) -> bool:
        """Return whether a run exists or may exist on a worker."""
        return self.worker is not None and self.phase in (
            TaskPhase.ORDERED,
            TaskPhase.RUNNING,
            TaskPhase.STOPPING,
        )

    @property
    def is_warm(self) -> bool:
        """Return whether the task is running and fully warmed up."""
        return self.phase is TaskPhase.RUNNING and self.percent >= 100

    def reset(self, now_s: float) -> None:
        """Return the task to WAITING; call only once its last run certainly ended.

        `Job.requeue` calls this and also clears the job's `ready_cache`.
        """
        if self.phase is TaskPhase.DONE:
            return
        self.phase = TaskPhase.WAITING
        self.worker = self.vm = None
        self.waiting_since_s = now_s
        self.sent_s = None
        self.acked_s = None
        self.running_s = None
        self.percent = 0
        self.load = 0.0
        self.pace = 100
        self.is_pace_known = True
        self.run_at_risk = None
        self.inherited_start = None


@dataclass(slots=True)
class EndedJob:
    """Represent a job of which only the stored end is kept.

    `ended_s` is when this term learned of the end, in monotonic seconds. `workspace` is
    None if only the store knows the owner.
    """

    state: JobState
    workspace: WorkspaceName | None
    ended_s: float


@dataclass(slots=True)
class Job:
    """Track one accepted job.

    `state` is the latest known state and `stored_state` the one in the store; callers
    see COMPLETED and FAILED only once stored. `accepted_s` is in monotonic seconds
    and an estimate for jobs accepted in an earlier term, `added_s` when this term
    learned of the job. `is_inherited` marks jobs
    that an earlier term may have started. `ready_cache` keeps the tasks whose
    dependencies are done, some of which may no longer be waiting; None means that it
    has to be recomputed. `is_excess` marks a job beyond the rate of its workspace.
    `held_bytes` is what the job counts for in the dispatcher's memory.
    `pools` are those in which runs of the job may be, as configurations sent its queue
    there. Starts are sent once version `pools_version` of its progress is stored, so
    that a later term knows the pools.
    """

    spec: JobSpec
    config: QueueConfig
    accepted_s: float
    created: Revision = Revision(0)
    is_inherited: bool = False
    added_s: float = 0.0
    state: JobState = JobState.QUEUED
    stored_state: JobState = JobState.QUEUED
    progress_revision: Revision = Revision(0)
    steps: dict[tuple[int, int], list[Task]] = field(default_factory=dict)
    done_counts: dict[tuple[int, int], int] = field(default_factory=dict)
    has_started: bool = False
    ended_s: float | None = None
    critical_path_ms: float = 0.0
    ready_cache: list[Task] | None = None
    is_excess: bool = False
    held_bytes: int = 0
    pools: set[PoolName] = field(default_factory=set)
    pools_version: int = 0

    def __post_init__(self) -> None:
        """Create the tasks, unless the job runs at scheduled times or has ended.

        A new dispatcher reads all jobs of the last minutes, most of which have ended.
        """
        self.critical_path_ms = compute_critical_path_ms(self.spec)
        self.pools = self.pools or {self.config.pool}
        if not self.spec.times and not self.state.is_final:
            self.create_occurrence(0)

    @property
    def stores_starts(self) -> bool:
        """Return whether the starts of the job's tasks are stored before they are sent.

        A later term then knows on which worker each task may be. For jobs that last,
        the wait for the store is short, and any other wait is unavailability.
        """
        return self.spec.is_long_running

    @property
    def deadline_s(self) -> float:
        """Return when the job should be complete, in monotonic seconds."""
        objective_ms = (
            self.config.stretch * self.critical_path_ms + self.config.target_latency_ms
        )
        return self.accepted_s + objective_ms / 1000

    @property
    def remaining_critical_path_s(self) -> float:
        """Return the predicted duration of the steps not yet done, in seconds.

        All steps count the same, because the estimate of a single step may be far off.
        """
        total = len(self.steps)
        done = sum(
            1
            for key, tasks in self.steps.items()
            if self.done_counts[key] >= len(tasks)
        )
        return self.critical_path_ms / 1000 * (1 - done / total) if total else 0.0

    def create_due_occurrences(self, wall_ms: float) -> bool:
        """Create the tasks of due occurrences; return whether any were created."""
        before = len(self.steps)
        for occurrence in range(self.spec.times):
            due_ms = self.spec.start_at_ms + occurrence * self.spec.interval_ms
            if wall_ms < due_ms + DUE_MARGIN_MS:
                break
            self.create_occurrence(occurrence)
        return len(self.steps) > before

    def create_occurrence(self, occurrence: int) -> None:
        """Create the tasks of one occurrence unless they exist.

        Their wait counts from the acceptance of the job, also if it is scheduled.
        """
        if (occurrence, 0) in self.steps:
            return
        self.ready_cache = None
        for number, step in enumerate(self.spec.steps):
            self.steps[occurrence, number] = [
                Task(
                    TaskKey(self.spec.job, occurrence, number, index),
                    step,
                    waiting_since_s=self.accepted_s,
                    workspace=self.spec.workspace,
                )
                for index in range(step.task_count)
            ]
            self.done_counts[occurrence, number] = 0

    def task(self, key: TaskKey) -> Task | None:
        """Return the task with a key, or None if the job has no such task.

        The tasks of its occurrence are created if they do not exist, due or not.
        """
        if not 0 <= key.occurrence < self.spec.occurrences:
            return None
        self.create_occurrence(key.occurrence)
        tasks = self.steps.get((key.occurrence, key.step))
        if tasks is None or not 0 <= key.index < len(tasks):
            return None
        return tasks[key.index]

    def tasks(self) -> list[Task]:
        """Return the tasks of every occurrence created so far."""
        return [task for tasks in self.steps.values() for task in tasks]

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step succeeded."""
        count = self.done_counts.get((occurrence, step))
        return count is not None and count >= self.spec.steps[step].task_count

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(
            self.is_step_done(occurrence, before)
            for before in self.spec.steps[step].after
        )

    def ready_tasks(self) -> list[Task]:
        """Return the waiting tasks whose dependencies are done."""
        if self.state.is_final:
            return []
        if self.ready_cache is None:
            self.ready_cache = self._find_ready()
        elif self.ready_cache:
            self.ready_cache = [
                t for t in self.ready_cache if t.phase is TaskPhase.WAITING
            ]
        return self.ready_cache

    def count_placed(self) -> int:
        """Return how many tasks have, or may have, a run on a worker.

        These are the tasks of steps that are ready which neither wait nor are done.
        """
        begun = sum(
            len(tasks) - self.done_counts[key]
            for key, tasks in self.steps.items()
            if self.is_step_ready(*key)
        )
        return begun - len(self.ready_tasks())

    def requeue(self, task: Task, now_s: float) -> None:
        """Return a task to WAITING; call only once its last run certainly ended."""
        task.reset(now_s)
        self.ready_cache = None

    def _find_ready(self) -> list[Task]:
        ready: list[Task] = []
        for (occurrence, step), tasks in self.steps.items():
            if self.done_counts[occurrence, step] == len(tasks):
                continue
            if not self.is_step_ready(occurrence, step):
                continue
            ready += [task for task in tasks if task.phase is TaskPhase.WAITING]
        return ready

    def mark_done(self, task: Task) -> bool:
        """Record that a task succeeded; return False if that was already known."""
        if task.phase is TaskPhase.DONE:
            return False
        task.phase = TaskPhase.DONE
        task.worker = task.vm = None
        self.ready_cache = None
        self.has_started = True
        self.done_counts[task.key.occurrence, task.key.step] += 1
        self._update_state()
        return True

    def start_wait_of_dependents(
        self, occurrence: int, done_step: int, now_s: float
    ) -> None:
        """Set the start of the wait of tasks that became ready as a step ended."""
        for number, step in enumerate(self.spec.steps):
            if done_step in step.after and self.is_step_ready(occurrence, number):
                for task in self.steps[occurrence, number]:
                    task.waiting_since_s = now_s

    def mark_failed(self, task: Task, run: int, worker: WorkerId | None) -> bool:
        """Count a failed run once; return False if it was already counted.

        The job fails once a task reaches the queue's `max_failures`.
        """
        if run in task.failed_runs:
            return False
        task.failed_runs += (run,)
        self.has_started = True
        if worker is not None:
            task.failed_on += (worker,)
        if task.spec.is_long_running or self.state.is_final:
            return True
        if task.failures >= self.config.max_failures:
            self.state = JobState.FAILED
        return True

    def cancel(self) -> bool:
        """Cancel the job; return False if its state was already final."""
        if self.state.is_final:
            return False
        self.state = JobState.CANCELLED
        return True

    def public_state(self) -> JobState:
        """Return the state shown to callers.

        COMPLETED and FAILED are shown only once stored, CANCELLED at once.
        """
        if self.stored_state.is_final:
            return self.stored_state
        if self.state is JobState.CANCELLED:
            return JobState.CANCELLED
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def _update_state(self) -> None:
        if self.state.is_final or self.spec.is_long_running:
            return
        complete = all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.spec.occurrences)
            for step in range(len(self.spec.steps))
        )
        if complete:
            self.state = JobState.COMPLETED


def compute_critical_path_ms(spec: JobSpec) -> float:
    """Return the estimated duration of the longest dependency chain of steps."""
    ends: list[float] = []
    for step in spec.steps:
        start = max((ends[before] for before in step.after), default=0.0)
        ends.append(start + step.estimate_ms)
    return max(ends, default=0.0)
