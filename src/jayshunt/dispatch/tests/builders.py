"""Build jobs, workers and settings for tests of job dispatch."""

import threading

from jayshunt.clock import Clock
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.free_capacity import CandidateWorker
from jayshunt.dispatch.messages import SessionContext
from jayshunt.dispatch.models import (
    Address,
    Bounds,
    EndedRun,
    EntryNode,
    FleetConfig,
    JobSpec,
    PoolConfig,
    QueueConfig,
    Resources,
    RunEnd,
    RunningRun,
    RunReport,
    StepSpec,
    Worker,
    WorkerState,
)
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Job
from jayshunt.dispatch.vms import Vm, VmState
from jayshunt.ids import (
    ConfigVersion,
    EntryId,
    JobId,
    PoolName,
    QueueName,
    RackName,
    Revision,
    VmId,
    WorkerId,
    ZoneName,
)

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
    tracker.add_view(view)
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
    *tasks,
    ends=(),
    clock_ms: int = 1_000,
    started_ms: int = 1,
    may_lack_ends: bool = False,
) -> RunReport:
    """Return a report with the tasks running at full speed and the given ends."""
    running = tuple(RunningRun(t.key, t.run, t.checkpoint, 100) for t in tasks)
    return RunReport(clock_ms, started_ms, running, tuple(ends), may_lack_ends)


def build_end(number: int, task, end: RunEnd, run: int | None = None) -> EndedRun:
    """Return the end of a task's current run, or of the given run."""
    return EndedRun(number, task.key, task.run if run is None else run, end)


def build_session_context(
    tracker: RunTracker, clock: Clock, **changes
) -> SessionContext:
    """Return the context of a valid term that nothing ends or replaces."""
    fields = {
        "lock": threading.RLock(),
        "lease_s": 5.0,
        "term_valid": lambda: True,
        "term_confirmed_s": clock.monotonic_s,
        "knows_capacity": lambda pool: True,
        "on_deposed": lambda reason: None,
        "notify_changed": lambda: None,
        "spawn": lambda steps: None,
    }
    return SessionContext(tracker=tracker, clock=clock, **{**fields, **changes})
