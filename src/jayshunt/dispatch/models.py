"""Define jobs, workers, and the orders and reports exchanged with workers."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from jayshunt.dispatch.features import Features
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
    WorkspaceName,
    ZoneName,
)


class Address(NamedTuple):
    """Represent an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`, as used in URLs."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class Bounds:
    """Store the limits of the deployment; times are in milliseconds.

    `max_lease_ms` is the longest lease of a worker and `stop_ms` how long stopping a
    run takes. Ended jobs are kept for at least `status_ms`. Two holders must not both
    give orders for the same VM within `duty_handover_ms`. A run outside the rack of
    its data takes `remote_rack_factor` times as long. A worker may be filled to its
    former capacity for `contact_ms`, and one heartbeat more, after it shrank. A
    configuration is in force `config_apply_ms` after it was stored. If
    `is_revoke_strict`, an entry whose configuration was not confirmed for `revoke_ms`
    must not accept keys. A workspace may exceed its rate of jobs over
    `quota_window_ms` by the fraction `quota_overage` and by `quota_slack_jobs`. A task
    that serves users may be above its target for less than `harm_ms` because of tasks
    that fill. The runs of a cancelled job must have a stop within `cancel_ms`.
    """

    contact_ms: int = 3_000
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
    config_apply_ms: int = 2_000
    is_revoke_strict: bool = False
    revoke_ms: int = 5_000
    quota_window_ms: int = 5_000
    quota_overage: float = 0.1
    quota_slack_jobs: int = 20
    harm_ms: int = 4_000
    cancel_ms: int = 3_000


@dataclass(frozen=True)
class EntryNode:
    """Store the settings of an entry that runs on the platform.

    The entry serves callers at `front`, the readiness check at `ready` and the other
    entries at `peer`. It calls the platform's store, its VM service at `machines` and
    its advice service at `advice`. `vm_orders_per_s` is the rate of VM orders that the
    platform accepts from all entries together. `link_mbps` is the bandwidth of the
    entry's network link, which counts in the election. `features` are the optional
    parts that are on. `memory_mb` and `max_fds`, the file descriptors, are those of the
    process, 0 if not known.
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
    features: Features = Features()
    max_fds: int = 0


@dataclass(frozen=True, slots=True)
class Resources:
    """Represent an amount of CPU, memory, and accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the component-wise sum."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the component-wise difference, which may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def __str__(self) -> str:
        """Return the amounts as shown in logs, such as `6500m/4016M/0`."""
        return f"{self.cpu_millicores}m/{self.memory_mb}M/{self.gpus}"

    def can_fit(self, need: "Resources") -> bool:
        """Return whether `need` fits into this amount."""
        return (
            need.cpu_millicores <= self.cpu_millicores
            and need.memory_mb <= self.memory_mb
            and need.gpus <= self.gpus
        )


# --- configuration ---------------------------------------------------------------


@dataclass(frozen=True)
class AdvicePolicy:
    """Describe how long the advice service takes and how long its tickets are valid."""

    decide_ms: float
    per_worker_ms: float
    valid_ms: float


@dataclass(frozen=True)
class QueueConfig:
    """Configure one queue: its host and path prefix, and how its jobs are run.

    The objective of a job is `stretch` times the length of its critical path plus
    `target_latency_ms`. `priority` 0 is the most urgent. Calls to a public queue need
    no key, and its jobs belong to no workspace.
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
    is_public: bool = False


@dataclass(frozen=True)
class PoolConfig:
    """Configure one pool; the VMs of a spare pool are off and cost nothing."""

    pool: PoolName
    is_spare: bool = False
    rejects_overload: bool = True


@dataclass(frozen=True)
class Workspace:
    """Configure one workspace: its keys, its share and its limit.

    `key_digests` are the SHA-256 digests of its keys, in hexadecimal. `weight` is its
    share when room is short, and the jobs a second to which it is entitled.
    `max_running` limits what its tasks may use on all workers together; a component
    that is 0 is not limited.
    """

    workspace: WorkspaceName
    key_digests: frozenset[str] = frozenset()
    priority: int = 0
    weight: float = 1.0
    max_running: Resources = Resources()


@dataclass(frozen=True)
class FleetConfig:
    """Store one version of the operator's configuration.

    If `requires_keys`, calls to queues that are not public need a key of a workspace.
    `max_head_bytes` and `max_body_bytes` limit callers' requests; None leaves the
    defaults.
    """

    version: ConfigVersion
    queues: tuple[QueueConfig, ...] = ()
    pools: tuple[PoolConfig, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    requires_keys: bool = False
    max_head_bytes: int | None = None
    max_body_bytes: int | None = None

    def rejects_overload(self, pool: PoolName) -> bool:
        """Return whether the workers of a pool refuse what exceeds their capacity.

        Those of a pool that is not configured may not.
        """
        return any(p.rejects_overload for p in self.pools if p.pool == pool)

    def queue_of(self, host: str, path: str) -> QueueConfig | None:
        """Return the queue of the host with the longest matching path prefix."""
        host = host.lower()
        found = [
            q for q in self.queues if q.host == host and path.startswith(q.path_prefix)
        ]
        return max(found, key=lambda q: len(q.path_prefix), default=None)


# --- jobs ------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Describe one step of a job: a set of identical tasks.

    `after` lists the steps, by number, whose tasks must all be done first. The tasks
    of a gang make progress only while all of them run. A step that `fills` uses CPU
    that other tasks leave idle and reserves none. `max_unavailable` limits how many
    of its tasks Jayshunt itself may take down at a time; `max_per_worker` is 0 if
    any number may share a worker.
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
        """Return the free resources that a worker needs for one task."""
        if not self.fills:
            return self.resources
        return Resources(0, self.resources.memory_mb, self.resources.gpus)


@dataclass(frozen=True)
class JobSpec:
    """Describe a submitted job.

    If `times` is set, the job runs that many times: first at `start_at_ms`, in
    milliseconds since the Unix epoch, then every `interval_ms`. `workspace` is the
    owner, an empty name if there is none.
    """

    job: JobId
    queue: QueueName
    payload: str
    steps: tuple[StepSpec, ...]
    times: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    workspace: WorkspaceName = WorkspaceName("")

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.times)

    @property
    def is_long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_long_running for step in self.steps)


class TaskKey(NamedTuple):
    """Identify a task; occurrence, step, and index count from 0."""

    job: JobId
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> str:
        """Return the task name used in calls to workers."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> "TaskKey":
        """Parse a task name into its key."""
        job, occurrence, step, index = name.split(".")
        return cls(JobId(job), int(occurrence), int(step), int(index))


class JobState(Enum):
    """List the states of a job that callers can see."""

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
    """List how a run can end; the values are the names used by workers.

    GANG_TIMEOUT means that the run gave up waiting for the other tasks of its gang.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    GANG_TIMEOUT = "alone"


# --- workers ---------------------------------------------------------------------


class WorkerState(Enum):
    """List the states that a worker reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Worker:
    """Describe a worker as the platform's worker list shows it: a VM in a pool.

    `started_ms` tells incarnations of a worker apart; 0 means unknown.
    """

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
    """Order a worker to start a run; `lease_until_ms` is on the worker's clock."""

    task: TaskKey
    run: int
    payload: str
    lease_until_ms: int
    checkpoint: str = ""
    ticket: str = ""


class OrderRefusal(Enum):
    """List why a worker did not carry out an order."""

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
    """Store a worker's answer to an order; `refusal` is None if it was accepted."""

    refusal: OrderRefusal | None
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RunningRun:
    """Describe a run in progress.

    `percent` is the progress of the run's warm-up; from 100 on it is warmed up. For
    tasks with a target, `load` is the tail latency in milliseconds.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Describe a run that ended; `number` increases within a worker's incarnation."""

    number: int
    task: TaskKey
    run: int
    end: RunEnd
    checkpoint: str = ""


@dataclass(frozen=True)
class RunReport:
    """List the runs on a worker and the ended runs not yet acknowledged to it.

    If `may_lack_ends`, further runs may have ended: the list has the first ones only.
    """

    clock_ms: int
    started_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    may_lack_ends: bool = False
