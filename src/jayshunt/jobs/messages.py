"""Define what the scheduler and the platform's agent on a worker exchange."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import Epoch, JobId, WorkerId
from jayshunt.jobs.sizes import Size


class TaskState(Enum):
    """Name what a worker says of an attempt.

    STOPPED says that it ran in part, CHECKPOINTED that it no longer runs and
    continues elsewhere from its checkpoint.
    """

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


@dataclass(frozen=True)
class TaskId:
    """Name one attempt of a job."""

    job: JobId
    attempt: int


@dataclass(frozen=True)
class TaskReport:
    """Hold what a worker says of one attempt; `usage` lags and is a peak."""

    task: TaskId
    state: TaskState
    result: str = ""
    checkpoint: str = ""
    usage: Size | None = None


@dataclass(frozen=True)
class StartOrder:
    """Order one attempt; the worker refuses it if its boot is another one."""

    task: TaskId
    boot: str
    command: str
    size: Size
    checkpoint: str = ""


@dataclass(frozen=True)
class WorkerOrders:
    """Hold all that one call tells a worker.

    `forget` drops reports of attempts whose end is in the store.
    """

    renew: tuple[TaskId, ...] = ()
    start: tuple[StartOrder, ...] = ()
    stop: tuple[TaskId, ...] = ()
    checkpoint: tuple[TaskId, ...] = ()
    forget: tuple[TaskId, ...] = ()

    @property
    def changes(self) -> frozenset[tuple[str, TaskId]]:
        """Return what should not wait for the next period."""
        return frozenset(
            [("start", order.task) for order in self.start]
            + [("stop", task) for task in self.stop]
            + [("checkpoint", task) for task in self.checkpoint]
        )


@dataclass(frozen=True, order=True)
class Fence:
    """Order the calls to a worker over schedulers and within one.

    A worker refuses a call whose fence is not above the highest that it has seen.
    Its answer thus certifies that an attempt that it does not report, and that
    the call does not start, has not started and cannot start by an earlier call.
    """

    epoch: Epoch
    sequence: int


@dataclass(frozen=True)
class WorkerAnswer:
    """Hold the answer of a worker to one call."""

    worker: WorkerId
    boot: str
    capacity: Size
    can_checkpoint: bool
    tasks: tuple[TaskReport, ...]
