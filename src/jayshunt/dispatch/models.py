"""Define jobs, workers, VMs and what is exchanged with them."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from jayshunt.dispatch.order_budget import DEFAULT_PER_S
from jayshunt.ids import (
    ConfigVersion,
    EntryId,
    JobId,
    PoolName,
    QueueName,
    RackName,
    VmId,
    WorkerId,
    ZoneName,
)


class Address(NamedTuple):
    """Name an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form that URLs use."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class Bounds:
    """Hold the deployment's limits in milliseconds.

    `hold_max_ms` is the longest lease of a worker, `stop_ms` how long a stop
    takes, `duty_turn_ms` the time for which two holders must not both give orders
    for one VM, `remote_rack_factor` how much longer a run takes off its data's rack.
    """

    max_lease_ms: int = 10_000
    stop_ms: int = 1_000
    gang_wait_ms: int = 3_000
    grace_ms: int = 6_000
    drain_ms: int = 2_000
    early_ms: int = 250
    status_ms: int = 120_000
    notice_ms: int = 4_500
    move_ms: int = 1_500
    upkeep_ms: int = 2_000
    duty_handover_ms: int = 3_000
    remote_rack_factor: float = 2.0


@dataclass(frozen=True)
class EntryNode:
    """Hold the settings of an entry that runs on the platform.

    `vm_orders_per_s` is what the platform takes from all entries together.
    """

    entry: EntryId
    zone: ZoneName
    front: Address
    ready: Address
    peer: Address
    store: Address
    machines: Address | None
    advice: Address | None
    cpu_cores: float
    memory_mb: int
    heartbeat_ms: int
    bounds: Bounds
    vm_orders_per_s: float = DEFAULT_PER_S
    link_mbps: float = 1_000.0


@dataclass(frozen=True, slots=True)
class Resources:
    """Hold an amount of processors, memory and accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference; it may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def can_fit(self, need: "Resources") -> bool:
        """Return whether the need fits into this amount."""
        return (
            need.cpu_millicores <= self.cpu_millicores
            and need.memory_mb <= self.memory_mb
            and need.gpus <= self.gpus
        )


# --- configuration ---------------------------------------------------------------


@dataclass(frozen=True)
class AdvicePolicy:
    """Say how long the advice service takes and how long its tickets hold."""

    decide_ms: float
    per_worker_ms: float
    valid_ms: float


@dataclass(frozen=True)
class QueueConfig:
    """Hold one queue: where callers find it and how its jobs are to be run.

    A job's objective is `stretch` times its longest chain of work and
    `target_latency_ms` more. `priority` 0 comes first.
    """

    queue: QueueName
    host: str
    path_prefix: str
    pool: PoolName
    priority: int = 0
    max_failures: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 0
    advice: AdvicePolicy | None = None


@dataclass(frozen=True)
class PoolConfig:
    """Hold one pool; the VMs of a spare pool are off and cost nothing."""

    pool: PoolName
    is_spare: bool = False
    rejects_overload: bool = True


@dataclass(frozen=True)
class FleetConfig:
    """Hold one version of the operator's configuration."""

    version: ConfigVersion
    queues: tuple[QueueConfig, ...] = ()
    pools: tuple[PoolConfig, ...] = ()

    def queue_of(self, host: str, path: str) -> QueueConfig | None:
        """Return the queue with the longest prefix that the path begins with."""
        host = host.lower()
        found = [
            q for q in self.queues if q.host == host and path.startswith(q.path_prefix)
        ]
        return max(found, key=lambda q: len(q.path_prefix), default=None)


# --- jobs ------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Hold one step of a job: tasks that are alike.

    `after` are the numbers of steps whose tasks must all be done first. Tasks of a
    gang work only together. A step that `fills` gets the processors that others
    leave unused. `max_unavailable` bounds how many of its tasks the product itself
    may take away at a time; `max_per_worker` is 0 if any number may share a worker.
    """

    task_count: int
    resources: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: RackName = RackName("")
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Return what a worker has to have free for one task."""
        if not self.fills:
            return self.resources
        return Resources(0, self.resources.memory_mb, self.resources.gpus)


@dataclass(frozen=True)
class JobSpec:
    """Hold a submitted job; with `times` it runs at each of its due times."""

    job: JobId
    queue: QueueName
    payload: str
    steps: tuple[StepSpec, ...]
    times: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.times)

    @property
    def is_long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_long_running for step in self.steps)


class TaskKey(NamedTuple):
    """Name a task: job, occurrence, step and index, each counted from 0."""

    job: JobId
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> str:
        """Return the name that workers use."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> "TaskKey":
        """Return the key of a name."""
        job, occurrence, step, index = name.split(".")
        return cls(JobId(job), int(occurrence), int(step), int(index))


class JobState(Enum):
    """Name what callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class RunEnd(Enum):
    """Name how a run ended; `ALONE` waited in vain for the others of its gang."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    GANG_TIMEOUT = "alone"


# --- workers ---------------------------------------------------------------------


class WorkerState(Enum):
    """Name what a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Worker:
    """Hold one entry of the list of workers; one life of a VM in a pool."""

    worker: WorkerId
    pool: PoolName
    address: Address
    zone: ZoneName
    state: WorkerState
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: RackName = RackName("")
    vm: VmId | None = None
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Hold an order to start a run; times are the worker's milliseconds."""

    task: TaskKey
    run: int
    payload: str
    lease_until_ms: int
    checkpoint: str = ""
    ticket: str = ""


class OrderRefusal(Enum):
    """Name why a worker did nothing for an order."""

    FENCED = "a later term gave it orders"
    SUPERSEDED = "a run as high was stopped or ended there"
    LEASE_EXPIRED = "the order's lease was over"
    NO_CAPACITY = "no room"
    NO_TICKET = "no valid ticket"
    OTHER_INCARNATION = "another life of the worker"
    UNHEALTHY = "unhealthy"
    OTHER = "refused"


@dataclass(frozen=True)
class OrderAnswer:
    """Hold a worker's answer; no refusal means that the order is carried out."""

    refusal: OrderRefusal | None
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RunningRun:
    """Hold one running run; `load` is a tail in ms for tasks with a target."""

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Hold one end; `number` rises in each life of a worker."""

    number: int
    task: TaskKey
    run: int
    end: RunEnd
    checkpoint: str = ""


@dataclass(frozen=True)
class RunReport:
    """Hold what runs on a worker and which ends were not noted yet."""

    clock_ms: int
    started_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
