"""Build schedulers that use a fake store and fake workers."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass, field

from jayshunt.clock import ManualClock
from jayshunt.config.models import ConfigDocument, ConfigSnapshot
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import Epoch, JobId, PoolName, RackName, VmId, WorkerId, ZoneName
from jayshunt.jobs.const import TASK_LEASE_S
from jayshunt.jobs.intake import JobIntake
from jayshunt.jobs.messages import (
    Fence,
    TaskId,
    TaskReport,
    TaskState,
    WorkerAnswer,
    WorkerOrders,
)
from jayshunt.jobs.models import Job, JobRequest
from jayshunt.jobs.scheduler import JobScheduler
from jayshunt.jobs.shards import ZoneJobs
from jayshunt.jobs.sizes import Size
from jayshunt.jobs.workers import WorkerTable
from jayshunt.pools.models import (
    Assignment,
    AssignmentRecord,
    AssignmentState,
    VmKind,
)
from jayshunt.store.group_commit import GroupCommitter
from jayshunt.store.tests.builders import FakeStore, build_documents

CONFIG = ConfigDocument.model_validate(
    {
        "pools": {"yard": {}},
        "teams": {"crew": {"quota_cores": 64}, "salons": {"quota_cores": 64}},
        "classes": {
            "plans": {"pool": "yard", "kind": "job", "max_wait_s": 60},
            "settle": {"pool": "yard", "kind": "job", "max_wait_s": 1, "urgent": True},
        },
    }
)


class InlineExecutor(Executor):
    """Executor that runs each call in the submitting thread."""

    def submit(self, function, /, *args, **kwargs) -> Future:
        """Run a call and return its completed future."""
        future: Future = Future()
        future.set_result(function(*args, **kwargs))
        return future


@dataclass
class FakeWorker:
    """A worker that runs attempts under leases, like the platform's agent.

    The next `lose_orders` calls are lost before they take effect, and the next
    `lose_answers` calls take effect, but their answers are lost.
    """

    capacity: Size = Size(8, 16 * 2**30)
    can_checkpoint: bool = True
    down: bool = False
    unreachable: bool = False
    fail_all: bool = False
    lose_orders: int = 0
    lose_answers: int = 0
    boots: int = 1
    fence: Fence = Fence(Epoch(0), 0)
    calls: int = 0
    states: dict[TaskId, TaskState] = field(default_factory=dict)
    leases: dict[TaskId, float] = field(default_factory=dict)
    starts: list[TaskId] = field(default_factory=list)
    resumes: list[TaskId] = field(default_factory=list)

    @property
    def running(self) -> list[TaskId]:
        """Return the attempts that are running."""
        return [t for t, s in self.states.items() if s is TaskState.RUNNING]

    def restart(self) -> None:
        """Restart the agent, which loses every task and its highest fence."""
        self.states.clear()
        self.boots += 1
        self.fence = Fence(Epoch(0), 0)

    def expire(self, now_s: float) -> None:
        """Stop the attempts whose lease has expired."""
        for task in self.running:
            if self.leases[task] <= now_s:
                self.states[task] = TaskState.STOPPED

    def finish(self, state: TaskState = TaskState.FINISHED) -> None:
        """End every running attempt."""
        for task in self.running:
            self.states[task] = state

    def take(self, fence: Fence, orders: WorkerOrders, now_s: float) -> None:
        """Apply the orders of one call, unless its fence is outdated."""
        if fence <= self.fence:
            is_old = fence.epoch < self.fence.epoch
            raise JayshuntError("stale_epoch" if is_old else "stale_call", step="fake")
        self.fence = fence
        self.calls += 1
        self.expire(now_s)
        for task in orders.forget:
            self.states.pop(task, None)
        for task in orders.stop:
            if task in self.running:
                self.states[task] = TaskState.STOPPED
        for task in orders.checkpoint:
            if self.can_checkpoint and task in self.running:
                self.states[task] = TaskState.CHECKPOINTED
        for order in orders.start:
            if order.boot != str(self.boots) or order.task in self.states:
                continue
            (self.resumes if order.checkpoint else self.starts).append(order.task)
            failed = self.fail_all or order.command == "fail"
            state = TaskState.FAILED if failed else TaskState.RUNNING
            self.states[order.task] = state
        for task in (*orders.renew, *(o.task for o in orders.start)):
            self.leases[task] = now_s + TASK_LEASE_S


class FakeWorkers:
    """Pass calls to fake workers and simulate the failures set on them."""

    def __init__(self, clock: ManualClock, names: list[str]) -> None:
        """Create workers."""
        self._clock = clock
        self.by_name = {WorkerId(name): FakeWorker() for name in names}

    def sync(
        self, worker: WorkerId, address: str, fence: Fence, orders: WorkerOrders
    ) -> WorkerAnswer:
        """Send all orders for a worker and return its reports on all attempts."""
        fake = self.by_name[worker]
        if fake.unreachable:
            raise JayshuntError("peer_unreachable", step="fake")
        if fake.down or fake.lose_orders:
            fake.lose_orders = max(0, fake.lose_orders - 1)
            raise JayshuntError("no_answer", step="fake", outcome=Outcome.UNKNOWN)
        fake.take(fence, orders, self._clock.monotonic_s())
        if fake.lose_answers:
            fake.lose_answers -= 1
            raise JayshuntError("no_answer", step="fake", outcome=Outcome.UNKNOWN)
        reports = tuple(
            TaskReport(task, state, checkpoint="saved")
            for task, state in fake.states.items()
        )
        return WorkerAnswer(
            worker, str(fake.boots), fake.capacity, fake.can_checkpoint, reports
        )

    def all_starts(self) -> list[TaskId]:
        """Return every start without a checkpoint, on any worker."""
        return [task for fake in self.by_name.values() for task in fake.starts]


class Zone:
    """A zone with a store, workers and an intake, which can build schedulers."""

    def __init__(self, names: tuple[str, ...] = ("w1", "w2"), config=CONFIG) -> None:
        """Create a zone whose workers all serve one pool."""
        self.clock = ManualClock()
        self.store = FakeStore()
        self.workers = FakeWorkers(self.clock, list(names))
        self.snapshot = ConfigSnapshot(document=config)
        self.states = {WorkerId(n): AssignmentState.SERVING for n in names}
        self.documents = build_documents(self.store, 3)
        commits = self.build_commits(4)
        self.intake = JobIntake(
            ZoneName("north"),
            self.documents,
            commits,
            lambda: self.snapshot,
            self.clock,
            random.Random(5),
            lambda _zone, shards: None,
        )

    def build_commits(self, seed: int) -> GroupCommitter:
        """Return a new committer, as each process has its own."""
        documents = build_documents(self.store, seed)
        return GroupCommitter(documents, self.clock, executor=InlineExecutor())

    def build_scheduler(
        self,
        term: str = "t1",
        executor: Executor | None = None,
        read_term: Callable[[], str | None] | None = None,
    ) -> JobScheduler:
        """Return a scheduler whose term lasts until another scheduler takes over."""
        seed = sum(map(ord, term))
        wake = threading.Event()
        table = WorkerTable(
            self.workers, self.clock, wake.set, executor or InlineExecutor()
        )
        jobs = ZoneJobs(
            ZoneName("north"),
            build_documents(self.store, seed),
            self.build_commits(seed + 1),
            self.clock,
        )
        return JobScheduler(
            jobs,
            table,
            lambda: self.snapshot,
            self.record,
            read_term or (lambda: term),
            self.clock,
            wake,
        )

    def record(self) -> AssignmentRecord:
        """Return the assignment record."""
        return AssignmentRecord(
            ZoneName("north"),
            Epoch(1),
            {
                VmId(name): Assignment(
                    VmId(name),
                    PoolName("yard"),
                    state,
                    Epoch(1),
                    f"{name}:1",
                    RackName("r1"),
                    VmKind.WORKER,
                )
                for name, state in self.states.items()
            },
        )

    def submit(self, **fields) -> JobId:
        """Submit a job to the intake."""
        defaults = {"work_class": "plans", "team": "crew", "command": "run"}
        return self.intake.submit(JobRequest(**{**defaults, **fields}))

    def read(self, job: JobId) -> Job:
        """Return the stored job, after the cache of the intake has expired."""
        self.clock.advance(1.0)
        return self.intake.read(job)

    def step(self, scheduler: JobScheduler, times: int = 1, wait_s: float = 1.0):
        """Run steps that read every shard, advancing the clock before each one."""
        for _ in range(times):
            self.clock.advance(wait_s)
            for worker in self.workers.by_name.values():
                worker.expire(self.clock.monotonic_s())
            scheduler.mark_changed()
            scheduler.step()
