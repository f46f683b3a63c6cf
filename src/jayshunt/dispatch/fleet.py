"""Hold what the dispatcher knows of one worker."""

from dataclasses import dataclass, field

from jayshunt.dispatch.const import CLOCK_SKEW, FAILURES_SET_ASIDE, SET_ASIDE_S
from jayshunt.dispatch.models import Resources, RunReport, Worker, WorkerState
from jayshunt.dispatch.rooms import Load
from jayshunt.dispatch.tasks import Task
from jayshunt.ids import JobId

# An idle worker answers every two seconds.
EMPTY_HEARD_WITHIN_S = 3.0


@dataclass(slots=True)
class PendingEnd:
    """Hold an end that may be noted once its job's version is stored."""

    number: int
    job: JobId | None
    version: int


@dataclass(slots=True)
class StrayRun:
    """Hold a listed run that is not its task's present one; it is being stopped."""

    run: int
    reserved: Resources


@dataclass
class WorkerView:
    """Hold one life of a worker: its clock, its lease, its runs and its ends.

    `is_failing` says that the last call to hold the lease failed. `lease_end_s` is
    the steady time after which nothing that this term or the answers of the worker
    gave a lease can run any more.
    """

    worker: Worker
    first_seen_s: float
    tasks: dict = field(default_factory=dict)
    load: Load = field(default_factory=Load)
    strays: dict = field(default_factory=dict)
    noted_upto: int = 0
    applied_upto: int = 0
    pending: list[PendingEnd] = field(default_factory=list)
    clock_ms: int | None = None
    clock_received_s: float = 0.0
    lease_end_s: float = 0.0
    last_answer_s: float | None = None
    is_failing: bool = False
    is_listed: bool = True
    is_over: bool = False
    full_until_s: float = 0.0
    set_aside_until_s: float = 0.0
    failed_jobs: list[JobId] = field(default_factory=list)
    last_done_s: float | None = None
    duty: object | None = None

    @property
    def is_draining(self) -> bool:
        """Return whether the worker has said that it leaves."""
        return self.worker.state is WorkerState.DRAINING

    def reserved(self) -> Resources:
        """Return what the runs take, those being stopped included."""
        total = self.load.reserved
        for stray in self.strays.values():
            total += stray.reserved
        return total

    def free(self) -> Resources:
        """Return what is left for new runs."""
        return self.worker.capacity - self.reserved()

    def place(self, task: Task) -> None:
        """Count a task as being here."""
        task.worker = self.worker.worker
        if task.key not in self.tasks:
            self.load.add(task)
        self.tasks[task.key] = task

    def release(self, task: Task) -> None:
        """Forget a task."""
        if self.tasks.pop(task.key, None) is not None:
            self.load.remove(task)

    def lease_until_ms(self, now_s: float, lease_s: float) -> int | None:
        """Return the end of a lease on the worker's clock, None before an answer."""
        if self.clock_ms is None:
            return None
        return int(self.clock_ms + (now_s - self.clock_received_s + lease_s) * 1000)

    def lease_given(self, until_ms: int) -> None:
        """Record a lease that was sent, whether or not it arrived.

        The worker's clock may be slow, so that the lease may last longer.
        """
        if self.clock_ms is None:
            return
        left_s = (until_ms - self.clock_ms) / 1000 / (1 - CLOCK_SKEW)
        self.lease_end_s = max(self.lease_end_s, self.clock_received_s + left_s)

    def saw_clock(self, clock_ms: int, received_s: float) -> None:
        """Take the worker's clock from an answer."""
        self.clock_ms = clock_ms
        self.clock_received_s = received_s

    def is_usable(self, now_s: float, silent_s: float) -> bool:
        """Return whether new runs may be placed here."""
        return (
            not self.is_over
            and self.is_listed
            and self.duty is None
            and not self.is_draining
            and self.last_answer_s is not None
            and now_s - self.last_answer_s <= silent_s
            and now_s >= self.full_until_s
            and now_s >= self.set_aside_until_s
        )

    def is_surely_empty(self, now_s: float) -> bool:
        """Return whether the worker listed a moment ago that it runs nothing."""
        return (
            not self.tasks
            and not self.strays
            and self.last_answer_s is not None
            and now_s - self.last_answer_s <= EMPTY_HEARD_WITHIN_S
        )

    def saw_done(self, now_s: float) -> None:
        """Trust the worker again: a run ended well."""
        self.last_done_s = now_s
        self.failed_jobs.clear()
        self.set_aside_until_s = 0.0

    def saw_failed(self, job: JobId, now_s: float) -> bool:
        """Count a failed run; return whether the worker is now set aside.

        Failures of a single job say more of the job than of the worker.
        """
        if job not in self.failed_jobs:
            self.failed_jobs.append(job)
        if len(self.failed_jobs) < FAILURES_SET_ASIDE:
            return False
        self.failed_jobs.clear()
        self.set_aside_until_s = now_s + SET_ASIDE_S
        return True

    def note_stored(self, stored_version) -> int:
        """Return up to which number the worker may forget its ends.

        `stored_version` returns the stored version of a job.
        """
        self.pending.sort(key=lambda end: end.number)
        while self.pending:
            end = self.pending[0]
            if end.job is not None and stored_version(end.job) < end.version:
                break
            self.noted_upto = max(self.noted_upto, end.number)
            self.pending.pop(0)
        return self.noted_upto


def is_unheard(view: WorkerView | None) -> bool:
    """Return whether no answer of this term speaks for a worker.

    A VM in a spare pool is off, and the list of workers keeps the entry of the
    worker that it had for some seconds.
    """
    return view is None or view.last_answer_s is None


def is_other_life(view: WorkerView, answer: RunReport) -> bool:
    """Return whether an answer comes from another life at the same id."""
    started_ms = view.worker.started_ms
    return bool(started_ms and answer.started_ms and answer.started_ms != started_ms)
