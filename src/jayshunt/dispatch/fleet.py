"""Track the dispatcher's state of each worker: lease, runs and failures."""

from collections.abc import Set
from dataclasses import dataclass, field
from enum import Enum

from jayshunt.dispatch.const import CLOCK_SKEW, FAILURES_SET_ASIDE, SET_ASIDE_S
from jayshunt.dispatch.free_capacity import (
    CandidateWorker,
    Load,
    StepKey,
    lacks_label,
    limited_step,
    step_key,
)
from jayshunt.dispatch.models import (
    Resources,
    RunningRun,
    RunReport,
    TaskKey,
    Worker,
    WorkerState,
)
from jayshunt.dispatch.obstacles import Obstacle
from jayshunt.dispatch.tasks import Task
from jayshunt.ids import JobId, PoolName, WorkspaceName
from jayshunt.workspaces.usage import WorkspaceUsage

# No other task is started beside a suspect of a crash for this long.
PROBATION_S = 0.3
# An idle worker answers every two seconds.
EMPTY_ANSWER_VALID_S = 3.0
# A worker that answers a poll sent this long after an order for its VM was accepted was
# not ended by the order.
ORDER_EFFECT_S = 0.5
# Subtracted from the age up to which a capacity is known, for the order's way.
CAPACITY_AGE_MARGIN_S = 0.3


class WorkerEnd(Enum):
    """List how the runs of a worker can all end at once; the values are log texts."""

    RESTARTED = "another life answered"
    REPLACED = "the list shows another life"
    LEASE_EXPIRED = "its lease is over"
    VM_ORDERED = "its VM left"
    VM_GONE = "the VM list shows that it is gone"


@dataclass(slots=True)
class PendingEnd:
    """Represent a reported run end that is not yet acknowledged to the worker.

    The worker may forget it once `version` of its job is stored. `job` is None if
    there is nothing to store.
    """

    number: int
    job: JobId | None
    version: int


@dataclass(slots=True)
class StrayRun:
    """Represent a reported run that isn't its task's current one; it is stopped.

    It counts with `resources` as used by `workspace`, None if its job is unknown, and
    for the limit per worker of `limited_step`, None if that has no limit.
    """

    run: int
    reserved: Resources
    resources: Resources
    workspace: WorkspaceName | None
    limited_step: StepKey | None = None

    @classmethod
    def of_task(cls, task: Task, run: int) -> "StrayRun":
        """Return a stray run of a known task."""
        spec, step = task.spec, limited_step(task)
        return cls(run, spec.reserved, spec.resources, task.workspace, step)


@dataclass
class WorkerView:
    """Track one incarnation of a worker: its clock, lease, runs and run ends.

    `is_failing` means that the last call to extend the lease failed, and `fell_silent`
    that the first of such calls was left unanswered, while a connection to a worker
    that crashes breaks. `lease_end_s` is
    the monotonic time by which every lease that this term sent or the worker
    reported has expired, so that nothing can run under it any more. `noted_upto` is
    the highest number of an end that the worker may forget, `heard_upto` that of
    an end that the dispatcher has applied or holds back (`RunTracker.held_ends`). No
    new runs are placed before `placement_paused_until_s` and `set_aside_until_s`, nor
    while the worker's VM is being emptied for `evacuation_reason`.

    `tasks` are the placed tasks by key and `load` the sum of what they reserve, with
    the stray runs in its `runs_per_step`.
    `suspects` are the placed tasks that are suspected of crashes. `last_heard_s` is
    the time of the last answer of any kind, `first_answer_s` that of the first report
    in this term: orders of earlier terms are refused from then on.
    `strays` are the stray runs by task key and run number, `held_runs` those of them
    whose job is still in the store, `pending` the reported ends that are not yet
    acknowledged. `clock_ms` is the worker's clock in its last answer, which was
    received at `clock_received_s`. `failed_jobs` are the jobs with a failed run since
    the last successful one. `is_listed` is False once the worker left the platform's
    worker list. `usage` is that of the tracker to which the worker was added, in which
    its runs count for `pool`.

    `may_lack_ends` means that the last report may not have listed all ends.
    `unconfirmed` are the tasks that were started on this incarnation or on the one
    before, by key, with what a crash of the one before makes of them. They are settled
    by the first report. Until `former_lease_end_s`, runs may go on under a lease that
    was meant for the incarnation before. Until `next_lease_end_s`, the next incarnation
    may have runs and a lease by calls to this one that got no answer.
    `ordered_away_s` is when the platform accepted
    an order for the worker's VM, which ends the worker unless the platform had carried
    it out before. `late_starts` are runs that may still be started although
    they are no longer wanted, and whose stop the worker has not accepted yet, with the
    time until which that is possible.
    """

    worker: Worker
    first_seen_s: float
    tasks: dict = field(default_factory=dict)
    load: Load = field(default_factory=Load)
    suspects: dict = field(default_factory=dict)
    strays: dict = field(default_factory=dict)
    held_runs: list[RunningRun] = field(default_factory=list)
    noted_upto: int = 0
    heard_upto: int = 0
    pending: list[PendingEnd] = field(default_factory=list)
    clock_ms: int | None = None
    clock_received_s: float = 0.0
    lease_end_s: float = 0.0
    first_answer_s: float | None = None
    last_answer_s: float | None = None
    last_heard_s: float | None = None
    may_lack_ends: bool = False
    is_failing: bool = False
    fell_silent: bool = False
    is_listed: bool = True
    is_ended: bool = False
    placement_paused_until_s: float = 0.0
    set_aside_until_s: float = 0.0
    failed_jobs: list[JobId] = field(default_factory=list)
    last_done_s: float | None = None
    evacuation_reason: object | None = None
    unconfirmed: dict = field(default_factory=dict)
    former_lease_end_s: float = 0.0
    next_lease_end_s: float = 0.0
    ordered_away_s: float | None = None
    late_starts: dict[tuple[TaskKey, int], float] = field(default_factory=dict)
    usage: WorkspaceUsage = field(default_factory=WorkspaceUsage, repr=False)
    pool: PoolName = field(init=False)

    def __post_init__(self) -> None:
        """Count all runs of the worker for the pool in which it was first listed."""
        self.pool = self.worker.pool

    @property
    def is_draining(self) -> bool:
        """Return whether the worker reported that it is draining."""
        return self.worker.state is WorkerState.DRAINING

    @property
    def is_silent(self) -> bool:
        """Return whether the worker has not answered yet, or not the last call."""
        return self.is_failing or self.last_answer_s is None

    def open_starts(self) -> list[Task]:
        """Return the tasks whose starts the next incarnation may have taken."""
        return [task for task in self.tasks.values() if task.is_open]

    def reserved(self) -> Resources:
        """Return the resources of all runs, including those being stopped."""
        total = self.load.reserved
        for stray in self.strays.values():
            total += stray.reserved
        return total

    def free(self) -> Resources:
        """Return the resources that are free for new runs."""
        return self.worker.capacity - self.reserved()

    def is_over_capacity(self) -> bool:
        """Return whether all runs need more than the worker has.

        The capacity of a worker may shrink after runs were placed there.
        """
        return not self.worker.capacity.can_fit(self.reserved())

    def place(self, task: Task) -> None:
        """Assign a task to the worker."""
        task.worker, task.vm = self.worker.worker, self.worker.vm
        task.inherited_start = None
        if task.key not in self.tasks:
            self.load.add(task)
            spec = task.spec
            self.usage.add(self.pool, task.workspace, spec.resources, spec.reserved)
        self.tasks[task.key] = task
        if task.is_suspect:
            self.suspects[task.key] = task

    def release(self, task: Task) -> None:
        """Remove a task from the worker."""
        self.suspects.pop(task.key, None)
        if self.tasks.pop(task.key, None) is not None:
            self.load.remove(task)
            spec = task.spec
            self.usage.remove(self.pool, task.workspace, spec.resources, spec.reserved)

    def detach(self) -> None:
        """Stop counting the worker, whose runs have all certainly ended.

        What is still reported late no longer runs.
        """
        for task in list(self.tasks.values()):
            self.release(task)
        self.clear_strays()
        self.held_runs.clear()
        self.usage = WorkspaceUsage()

    def add_stray(self, key: TaskKey, stray: StrayRun) -> None:
        """Add a stray run of a task."""
        before = self.strays.get((key, stray.run))
        if before is not None:
            self._forget_stray(before)
        self.strays[key, stray.run] = stray
        self.load.count_run(stray.limited_step, 1)
        self.usage.add(self.pool, stray.workspace, stray.resources, stray.reserved)

    def remove_stray(self, key: TaskKey, run: int) -> None:
        """Remove a stray run if it is known."""
        stray = self.strays.pop((key, run), None)
        if stray is not None:
            self._forget_stray(stray)

    def clear_strays(self) -> None:
        """Remove all stray runs, of which a report shows those that are still there."""
        for stray in self.strays.values():
            self._forget_stray(stray)
        self.strays.clear()

    def _forget_stray(self, stray: StrayRun) -> None:
        self.load.count_run(stray.limited_step, -1)
        self.usage.remove(self.pool, stray.workspace, stray.resources, stray.reserved)

    def probation_weight(self, now_s: float) -> int:
        """Return the weight of the suspects whose start may still crash the worker."""
        return sum(
            task.probation_weight
            for task in self.suspects.values()
            if self.is_failing
            or task.started_s is None
            or now_s - task.started_s < PROBATION_S
        )

    def count_recent_starts(self, now_s: float) -> int:
        """Return how many tasks were ordered to start within PROBATION_S."""
        return sum(now_s - task.ordered_s < PROBATION_S for task in self.tasks.values())

    def as_candidate(
        self, now_s: float, is_slow: bool, leaves_soon: bool, has_suspects: bool
    ) -> CandidateWorker:
        """Return the worker as a candidate for new runs.

        Recent starts are counted only if there are suspects, which avoid them.
        """
        return CandidateWorker(
            self.worker,
            self.free(),
            self.load.copy(),
            is_trusted=not self.failed_jobs,
            is_slow=is_slow,
            leaves_soon=leaves_soon,
            probation_weight=self.probation_weight(now_s) if self.suspects else 0,
            recent_starts=self.count_recent_starts(now_s) if has_suspects else 0,
        )

    def least_clock_ms(self, now_s: float) -> int | None:
        """Return what the worker's clock shows at least, None before its first answer.

        Its last time was read before it was received, and the clock may be slow.
        """
        if self.clock_ms is None:
            return None
        passed_s = (now_s - self.clock_received_s) * (1 - CLOCK_SKEW)
        return self.clock_ms + int(passed_s * 1000)

    def lease_until_ms(self, now_s: float, lease_s: float) -> int | None:
        """Return a lease's end on the worker's clock, None before its first answer."""
        if self.clock_ms is None:
            return None
        return int(self.clock_ms + (now_s - self.clock_received_s + lease_s) * 1000)

    def record_lease(self, until_ms: int) -> None:
        """Record a lease that was sent, whether or not it arrived.

        The worker's clock may run slow, which makes the lease last longer, so its
        length is extended by the allowed clock skew.
        """
        if self.clock_ms is None:
            return
        left_s = (until_ms - self.clock_ms) / 1000 / (1 - CLOCK_SKEW)
        self.lease_end_s = max(self.lease_end_s, self.clock_received_s + left_s)

    def limit_lease(self, end_s: float) -> None:
        """Record that no lease of an earlier term ends later than `end_s`."""
        self.lease_end_s = max(min(self.lease_end_s, end_s), self.former_lease_end_s)

    def extend_former_lease(self, end_s: float) -> None:
        """Record that runs may go on until `end_s` by another incarnation's lease."""
        self.former_lease_end_s = max(self.former_lease_end_s, end_s)
        self.lease_end_s = max(self.lease_end_s, end_s)

    def record_clock(self, clock_ms: int, received_s: float) -> None:
        """Record the worker's clock from an answer."""
        self.clock_ms = clock_ms
        self.clock_received_s = received_s

    def is_usable(self, now_s: float, max_answer_age_s: float) -> bool:
        """Return whether new runs may be placed here.

        The worker's last answer must not be older than `max_answer_age_s`, and its last
        poll must not have failed.
        """
        return self.obstacle(now_s, max_answer_age_s) is None

    def obstacle(self, now_s: float, max_answer_age_s: float) -> Obstacle | None:
        """Return why no new runs may be placed here, None if they may."""
        if self.is_ended:
            return Obstacle.ENDED
        if self.is_failing or self.last_answer_s is None:
            return Obstacle.SILENT
        if now_s - self.last_answer_s > max_answer_age_s:
            return Obstacle.SILENT
        if not self.is_listed:
            return Obstacle.NOT_LISTED
        if self.evacuation_reason is not None or self.ordered_away_s is not None:
            return Obstacle.EMPTIED
        if self.is_draining:
            return Obstacle.DRAINING
        if now_s < self.placement_paused_until_s:
            return Obstacle.PAUSED
        return Obstacle.SET_ASIDE if now_s < self.set_aside_until_s else None

    def exclusion(self, task: Task, pools: Set[PoolName]) -> Obstacle | None:
        """Return why a task that was placed here must not start, None if it may.

        `pools` are those in which the task may start now. The worker's entry, its runs
        or the configuration may have changed since the task was placed. Pool and labels
        of a worker are known only while it is listed.
        """
        step = task.spec
        if not self.is_listed:
            return Obstacle.NOT_LISTED
        if self.worker.pool not in pools:
            return Obstacle.OTHER_POOL
        if lacks_label(step, self.worker):
            return Obstacle.NO_LABEL
        runs = self.load.runs_per_step[step_key(task)] if step.max_per_worker else 0
        return Obstacle.STEP_LIMIT if runs > step.max_per_worker else None

    def is_ordered_away(self, sent_s: float) -> bool:
        """Return whether the worker's VM was ordered away before `sent_s`."""
        return self.ordered_away_s is not None and sent_s >= self.ordered_away_s

    def outlived_order(self, sent_s: float) -> bool:
        """Return whether the answer to a poll shows that no order ended the worker.

        The poll was sent at `sent_s`.
        """
        return self.is_ordered_away(sent_s - ORDER_EFFECT_S)

    def is_confirmed_empty(self, now_s: float) -> bool:
        """Return whether a recent answer shows that the worker runs nothing.

        A worker with ends that are not stored is not empty: it holds the only lasting
        record of them, which is lost with its VM.
        """
        return (
            not self.tasks
            and not self.strays
            and not self.pending
            and self.last_answer_s is not None
            and now_s - self.last_answer_s <= EMPTY_ANSWER_VALID_S
        )

    def record_success(self, now_s: float) -> None:
        """Record a successful run; the worker is trusted and no longer set aside."""
        self.last_done_s = now_s
        self.failed_jobs.clear()
        self.set_aside_until_s = 0.0

    def record_failure(self, job: JobId) -> bool:
        """Record a failed run; return whether the worker seems to be at fault.

        Failures are counted once per job, because repeated failures of a single job
        point to the job rather than to the worker.
        """
        if job not in self.failed_jobs:
            self.failed_jobs.append(job)
            del self.failed_jobs[:-FAILURES_SET_ASIDE]
        return len(self.failed_jobs) == FAILURES_SET_ASIDE

    def set_aside(self, now_s: float) -> None:
        """Place no new runs on the worker for `SET_ASIDE_S`."""
        self.failed_jobs.clear()
        self.set_aside_until_s = now_s + SET_ASIDE_S

    def acknowledge_stored_ends(self, stored_version) -> int:
        """Remove the stored ends from `pending` and return `noted_upto`.

        Pending ends are acknowledged in order of their number, each once its job is
        stored. `stored_version` returns the stored version of a job.
        """
        self.pending.sort(key=lambda end: end.number)
        while self.pending:
            end = self.pending[0]
            if end.job is not None and stored_version(end.job) < end.version:
                break
            self.noted_upto = max(self.noted_upto, end.number)
            self.pending.pop(0)
        return self.noted_upto


def is_capacity_known(
    rejects_overload: bool, list_age_s: float, contact_s: float
) -> bool:
    """Return whether the capacity in the worker list may be relied on for a start.

    A worker that refuses what exceeds its capacity needs no check. Of the others, one
    may have shrunk since the list was last confirmed, which an outage of the store
    hides. They may be filled to their former capacity for `contact_s`.
    """
    return rejects_overload or list_age_s <= contact_s - CAPACITY_AGE_MARGIN_S


def has_not_answered(view: WorkerView | None) -> bool:
    """Return whether a VM has no worker that answered in this term.

    A VM in a spare pool is off, but its last worker stays in the worker list for
    some seconds and so may still have a view.
    """
    return view is None or view.last_answer_s is None


def is_other_incarnation(view: WorkerView, answer: RunReport) -> bool:
    """Return whether an answer comes from another incarnation with the same id."""
    return is_other_start(view.worker.started_ms, answer.started_ms)


def is_other_start(known_ms: int, seen_ms: int) -> bool:
    """Return whether two start times show two incarnations; 0 is an unknown one."""
    return bool(known_ms and seen_ms and known_ms != seen_ms)
