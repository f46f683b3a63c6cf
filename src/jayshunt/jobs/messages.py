"""Messages between the scheduler and the platform's agent on a worker."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import Epoch, JobId, WorkerId
from jayshunt.jobs.sizes import Size


class TaskState(Enum):
    """State of an attempt as reported by its worker.

    STOPPED means that the attempt ran in part and was ended, and CHECKPOINTED that
    it was ended and can continue on another worker from its checkpoint.
    """

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


@dataclass(frozen=True)
class TaskId:
    """Identifies one attempt of a job."""

    job: JobId
    attempt: int


@dataclass(frozen=True)
class TaskReport:
    """A worker's report on one attempt; `usage` is the peak so far and may lag."""

    task: TaskId
    state: TaskState
    result: str = ""
    checkpoint: str = ""
    usage: Size | None = None


@dataclass(frozen=True)
class StartOrder:
    """Order to start an attempt.

    The worker ignores it if `boot` is not the current incarnation of its agent.
    """

    task: TaskId
    boot: str
    command: str
    size: Size
    checkpoint: str = ""


@dataclass(frozen=True)
class WorkerOrders:
    """All orders of one call to a worker.

    `forget` lists ended attempts whose results are stored, so that the worker may
    drop its reports of them.
    """

    renew: tuple[TaskId, ...] = ()
    start: tuple[StartOrder, ...] = ()
    stop: tuple[TaskId, ...] = ()
    checkpoint: tuple[TaskId, ...] = ()
    forget: tuple[TaskId, ...] = ()

    @property
    def immediate_orders(self) -> frozenset[tuple[str, TaskId]]:
        """Return the orders to send at once instead of at the next call interval."""
        return frozenset(
            [("start", order.task) for order in self.start]
            + [("stop", task) for task in self.stop]
            + [("checkpoint", task) for task in self.checkpoint]
        )


@dataclass(frozen=True, order=True)
class Fence:
    """Fencing token that orders calls to a worker within and across schedulers.

    A worker refuses a call whose fence is not higher than every fence it has seen.
    So if an answer does not report an attempt that its call did not start, the
    attempt has not started, and a delayed earlier call can no longer start it.
    """

    epoch: Epoch
    sequence: int


@dataclass(frozen=True)
class WorkerAnswer:
    """The answer of a worker to one call.

    `boot` is the incarnation of the worker's agent, `capacity` the total capacity of
    the worker. `tasks` reports all attempts that the worker has not yet forgotten.
    """

    worker: WorkerId
    boot: str
    capacity: Size
    can_checkpoint: bool
    tasks: tuple[TaskReport, ...]
