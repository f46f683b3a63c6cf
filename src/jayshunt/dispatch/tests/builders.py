"""Build jobs, workers, and a fake store for tests of job dispatch."""

from collections.abc import Callable
from dataclasses import dataclass, field

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.free_capacity import CandidateWorker
from jayshunt.dispatch.models import (
    Address,
    Bounds,
    EndedRun,
    EntryNode,
    FleetConfig,
    JobSpec,
    OrderAnswer,
    OrderRefusal,
    PoolConfig,
    QueueConfig,
    Resources,
    RunEnd,
    RunningRun,
    RunReport,
    StartOrder,
    StepSpec,
    TaskKey,
    Worker,
    WorkerState,
)
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.store_models import (
    Item,
    KeyLease,
    Put,
    TransactionResult,
    WatchAnswer,
)
from jayshunt.dispatch.tasks import Job
from jayshunt.dispatch.vms import Vm, VmState
from jayshunt.ids import (
    ConfigVersion,
    EntryId,
    JobId,
    LeaseId,
    PoolName,
    QueueName,
    RackName,
    Revision,
    VmId,
    WorkerId,
    ZoneName,
)
from jayshunt.platform.store import LeaseGone
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable
from jayshunt.task_loop import Sleep, Wait

POOL = PoolName("desk")
SPARE = PoolName("shared")
QUEUE = QueueName("quotes")
JOB = JobId("00000000000000a1")
VM_SIZE = Resources(64_000, 262_144)
LOOPBACK = Address("127.0.0.1", 1)


def build_step(**changes) -> StepSpec:
    """Return a step of one task that takes one core for a second."""
    fields = {
        "task_count": 1,
        "resources": Resources(1_000, 1_024),
        "estimate_ms": 1_000,
    }
    return StepSpec(**{**fields, **changes})


def build_spec(*steps: StepSpec, job: JobId = JOB, **changes) -> JobSpec:
    """Return a job with the given steps, or with one default step."""
    return JobSpec(job, QUEUE, "payload", steps or (build_step(),), **changes)


def build_queue(**changes) -> QueueConfig:
    """Return the queue that all jobs built here use."""
    fields = {
        "queue": QUEUE,
        "host": "desk.example",
        "path_prefix": "/quotes/",
        "pool": POOL,
        "max_failures": 2,
        "stretch": 1.6,
        "target_latency_ms": 600,
    }
    return QueueConfig(**{**fields, **changes})


def build_config(*pools: PoolName) -> FleetConfig:
    """Return a configuration with a spare pool and the given pools."""
    return FleetConfig(
        ConfigVersion(1),
        (build_queue(),),
        (
            PoolConfig(SPARE, is_spare=True),
            *(PoolConfig(pool) for pool in pools or (POOL,)),
        ),
    )


def build_job(
    *steps: StepSpec,
    number: int = 0xA1,
    accepted_s: float = 0.0,
    queue: QueueConfig | None = None,
    **changes,
) -> Job:
    """Return an accepted job."""
    names = ("times", "start_at_ms", "interval_ms")
    times = {name: changes.pop(name) for name in names if name in changes}
    spec = build_spec(*steps, job=JobId(f"{number:016x}"), **times)
    return Job(spec, queue or build_queue(), accepted_s, **changes)


def build_worker(name: str = "w1", pool: PoolName = POOL, **changes) -> Worker:
    """Return a worker that is ready."""
    fields = {
        "worker": WorkerId(name),
        "pool": pool,
        "address": Address("127.0.0.1", 1),
        "zone": ZoneName("ash"),
        "state": WorkerState.READY,
        "capacity": VM_SIZE,
        "rack": RackName("r1"),
        "vm": VmId(f"vm-{name}"),
        "started_ms": 1,
    }
    return Worker(**{**fields, **changes})


def build_candidate(name: str = "w1", **changes) -> CandidateWorker:
    """Return an idle worker to place tasks on."""
    return CandidateWorker(build_worker(name), **{"free": VM_SIZE, **changes})


def build_vm(name: str, pool: PoolName = POOL, **changes) -> Vm:
    """Return a VM that is up, with a worker of the same name."""
    fields = {
        "vm": VmId(f"vm-{name}"),
        "pool": pool,
        "state": VmState.UP,
        "zone": ZoneName("ash"),
        "rack": RackName("r1"),
        "labels": frozenset(),
        "capacity": VM_SIZE,
        "worker": WorkerId(name),
    }
    return Vm(**{**fields, **changes})


def build_node(name: str = "entry-1") -> EntryNode:
    """Return the settings of an entry."""
    return EntryNode(
        EntryId(name),
        ZoneName("ash"),
        *[LOOPBACK] * 4,
        None,
        None,
        1.0,
        300,
        1_500,
        Bounds(),
    )


def build_tracker(*jobs: Job, token: int = 1) -> RunTracker:
    """Return a tracker with the given jobs."""
    tracker = RunTracker(Revision(token))
    for job in jobs:
        tracker.add_job(job)
    return tracker


def add_worker_view(
    tracker: RunTracker, name: str = "w1", last_answer_s: float | None = 0.0, **changes
) -> WorkerView:
    """Add a worker to a tracker."""
    view = WorkerView(build_worker(name, **changes), first_seen_s=0.0)
    view.last_answer_s = last_answer_s
    view.record_clock(0, 0.0)
    tracker.workers[view.worker.worker] = view
    return view


def place(
    tracker: RunTracker, job: Job, index: int, view: WorkerView, now_s: float = 0.0
):
    """Start a task of a job's first step on a worker that accepts; return the task."""
    task = job.steps[0, 0][index]
    tracker.record_order(task, view, tracker.next_run(task), now_s)
    tracker.record_start_accepted(task, task.run, now_s)
    return task


def build_report(
    *tasks, ends=(), clock_ms: int = 1_000, started_ms: int = 1
) -> RunReport:
    """Return a report with the tasks running at full speed and the given ends."""
    running = tuple(RunningRun(t.key, t.run, t.checkpoint, 100) for t in tasks)
    return RunReport(clock_ms, started_ms, running, tuple(ends))


def build_end(number: int, task, end: RunEnd, run: int | None = None) -> EndedRun:
    """Return the end of a task's current run, or of the given run."""
    return EndedRun(number, task.key, task.run if run is None else run, end)


@dataclass
class FakeWorker:
    """Simulate a worker of the platform: fencing, run numbers, and a lease.

    Clock and lease are in milliseconds. `on_start` is called for each started run.
    """

    name: str
    clock_ms: int = 0
    token: int = 0
    lease_until_ms: int = 0
    runs: dict[TaskKey, int] = field(default_factory=dict)
    highest: dict[TaskKey, int] = field(default_factory=dict)
    ends: list[EndedRun] = field(default_factory=list)
    last_end: int = 0
    is_up: bool = True
    on_start: Callable[[str, TaskKey, int], None] = lambda *_: None

    def start(self, order: StartOrder, token: int) -> OrderAnswer:
        """Carry out a start order by the platform's rules for workers."""
        if token < self.token:
            return OrderAnswer(OrderRefusal.FENCED, self.clock_ms)
        self.token = token
        if order.lease_until_ms <= self.clock_ms:
            return OrderAnswer(OrderRefusal.LEASE_EXPIRED, self.clock_ms)
        self.lease_until_ms = max(self.lease_until_ms, order.lease_until_ms)
        if self.runs.get(order.task) == order.run:
            return OrderAnswer(None, self.clock_ms)
        if order.run <= self.highest.get(order.task, 0):
            return OrderAnswer(OrderRefusal.SUPERSEDED, self.clock_ms)
        self.runs[order.task] = order.run
        self.on_start(self.name, order.task, order.run)
        return OrderAnswer(None, self.clock_ms)

    def stop(self, task: TaskKey, run: int, token: int) -> OrderAnswer:
        """Stop a run; if it has not started yet, refuse its later start order."""
        if token < self.token:
            return OrderAnswer(OrderRefusal.FENCED, self.clock_ms)
        self.token = token
        if self.runs.get(task) == run:
            self.end(task, RunEnd.STOPPED)
        self.highest[task] = max(run, self.highest.get(task, 0))
        return OrderAnswer(None, self.clock_ms)

    def poll_runs(self, noted_upto: int, until_ms: int | None, token: int):
        """Extend the lease and return the runs and ends."""
        if token < self.token:
            return OrderAnswer(OrderRefusal.FENCED, self.clock_ms)
        self.token = token
        if until_ms is not None:
            self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self.ends = [end for end in self.ends if end.number > noted_upto]
        running = tuple(RunningRun(t, r, "", 100) for t, r in self.runs.items())
        return RunReport(self.clock_ms, 1, running, tuple(self.ends))

    def end(self, task: TaskKey, end: RunEnd) -> None:
        """End a run and add its end to the report."""
        run = self.runs.pop(task)
        self.last_end += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ends.append(EndedRun(self.last_end, task, run, end))

    def advance(self, ms: int) -> None:
        """Advance the clock; end all runs if the lease has expired."""
        self.clock_ms += ms
        if self.clock_ms >= self.lease_until_ms:
            for task in list(self.runs):
                self.end(task, RunEnd.LEASE_EXPIRED)


class FakeStore:
    """Simulate the platform's store in memory, with fault injection.

    `fault` is called before each call and may return "down" (the call has no effect),
    "lost" (it takes effect but gets no answer), or "late" (a transaction gets no
    answer and is applied only by `run_late`). Calls other than `transact` fail for any
    of these.
    """

    def __init__(self) -> None:
        """Initialize an empty store."""
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.leases: set[str] = set()
        self.fault: Callable[[str], str] = lambda step: ""
        self.late: list[tuple] = []
        self.failing_s = 0.0
        self.reachable_s = float("inf")

    def failing_for_s(self) -> float:
        """Return how long calls have been failing."""
        return self.failing_s

    def reachable_for_s(self) -> float:
        """Return how long calls have been succeeding."""
        return 0.0 if self.failing_s else self.reachable_s

    def get(self, key: str) -> Item | None:
        """Return one item."""
        self._check("get")
        return self.items.get(key)

    def list(self, prefix: str, stale: bool = False):
        """Return the items whose keys have a prefix."""
        self._check("list")
        found = [i for k, i in sorted(self.items.items()) if k.startswith(prefix)]
        return tuple(found), Revision(self.revision)

    def watch(self, prefix: str, after: Revision, wait_s: float, stop=None):
        """Return the existing items that changed after a revision."""
        self._check("watch")
        found = [
            i
            for k, i in self.items.items()
            if k.startswith(prefix) and i.revision > after
        ]
        return WatchAnswer(tuple(found), Revision(self.revision))

    def transact(self, expected, puts=(), removals=()) -> TransactionResult:
        """Apply a transaction if its conditions hold."""
        fault = self.fault("txn")
        if fault == "down":
            raise StoreUnavailable("store.txn", "fake", "down")
        if fault == "late":
            self.late.append((dict(expected), tuple(puts), tuple(removals)))
            raise StoreOutcomeUnknown("store.txn", "fake", "no answer")
        result = self._apply(expected, puts, removals)
        if fault == "lost":
            raise StoreOutcomeUnknown("store.txn", "fake", "no answer")
        return result

    def run_late(self) -> tuple[TransactionResult, ...]:
        """Apply the transactions that were held back by "late"."""
        late, self.late = self.late, []
        return tuple(self._apply(*call) for call in late)

    def grant_lease(self, ttl_s: float) -> KeyLease:
        """Return a new lease."""
        self._check("lease")
        self.revision += 1
        lease = LeaseId(str(self.revision))
        self.leases.add(lease)
        return KeyLease(lease, ttl_s)

    def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease."""
        self._check("renew")
        if lease not in self.leases:
            raise LeaseGone(lease)

    def end_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        self._check("end_lease")
        self.leases.discard(lease)
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            del self.items[key]

    def _check(self, step: str) -> None:
        if self.fault(step):
            raise StoreUnavailable(f"store.{step}", "fake", "down")

    def _apply(self, expected, puts, removals) -> TransactionResult:
        differing = [k for k, rev in expected.items() if self._rev(k) != rev]
        if differing:
            found = [self.items[k] for k in expected if k in self.items]
            return TransactionResult(None, tuple(found))
        self.revision += 1
        for put in puts:
            self._put(put)
        for key in removals:
            self.items.pop(key, None)
        return TransactionResult(Revision(self.revision))

    def _put(self, put: Put) -> None:
        if put.lease is not None and put.lease not in self.leases:
            raise LeaseGone(put.lease)
        revision = Revision(self.revision)
        before = self.items.get(put.key)
        created = revision if before is None else before.created
        lease = put.lease or LeaseId("0")
        self.items[put.key] = Item(put.key, put.value, revision, created, lease)

    def _rev(self, key: str) -> int:
        item = self.items.get(key)
        return 0 if item is None else item.revision


def run_steps(steps, clock=None):
    """Run a task whose calls are fakes to its end and return its result.

    With a clock, each sleep and wait advances it; without one they are not expected.
    """
    try:
        while True:
            match next(steps):
                case Sleep(duration_s) if clock is not None:
                    clock.advance(duration_s)
                case Wait(_, timeout_s) if clock is not None:
                    clock.advance(timeout_s)
                case step:
                    raise AssertionError(f"unexpected step {step!r}")
    except StopIteration as end:
        return end.value
