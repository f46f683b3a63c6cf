"""Define the interfaces between the planner, the sessions, and worker clients."""

import threading
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Protocol

from jayshunt.clock import Clock
from jayshunt.dispatch.models import OrderAnswer, RunReport, StartOrder, TaskKey, Worker
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Task
from jayshunt.ids import PoolName
from jayshunt.task_loop import Step, Steps


@dataclass(frozen=True, slots=True)
class StartTask:
    """Ask a session to start a run of a task.

    The order is sent once `stored_version` of the job's progress is stored.
    """

    task: Task
    run: int
    payload: str
    stored_version: int = 0
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class PaceTask:
    """Ask a session to set the speed of a run to a percentage of full speed.

    `task` is the task's key.
    """

    task: TaskKey
    run: int
    percent: int


# With several orders in flight to some workers, this many more calls are open than with
# one to each, each on a connection of its own.
MAX_EXTRA_LANES = 64

OrderSteps = Generator[Step, object, OrderAnswer]


class WorkerApi(Protocol):
    """Define the calls to a worker; implemented by WorkerClient and by test fakes.

    Each call is a generator whose steps a TaskLoop runs and whose result is the answer.
    """

    def start(self, order: StartOrder, timeout_s: float) -> OrderSteps:
        """Start a run."""

    def stop(self, task: TaskKey, run: int, timeout_s: float) -> OrderSteps:
        """Stop a run."""

    def pace(
        self, task: TaskKey, run: int, percent: int, timeout_s: float
    ) -> OrderSteps:
        """Set the speed of a run to a percentage of full speed."""

    def poll_runs(
        self,
        noted_upto: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> Generator[Step, object, RunReport | OrderAnswer]:
        """Extend the worker's lease and return its runs.

        If `lease_until_ms` is None, the lease is not extended. The worker may wait up
        to `wait_ms` for a run to end before it answers, and forgets ends up to
        `noted_upto`.
        """


@dataclass
class SessionContext:
    """Share the state and callbacks of a term with its worker sessions.

    `lock` guards the tracker. `term_valid` returns whether orders may be given, and
    `term_confirmed_s` the monotonic time up to which no other entry held the term.
    `knows_capacity` returns whether the capacity of a pool's workers is known well
    enough for a start.
    `spawn` starts a task in the term's TaskLoop. Sessions call `on_deposed` when a
    worker has seen a later term, and `notify_changed` when there may be something to
    place or to store. `on_ticket_refused` is called with a task and the worker that
    refused the ticket of its start. `waiting_for_store` holds the sessions and order
    senders that wait until the progress of jobs is stored. `extra_lanes` limits how
    many orders are in flight beyond one for each worker.
    """

    tracker: RunTracker
    lock: threading.RLock
    clock: Clock
    lease_s: float
    term_valid: Callable[[], bool]
    term_confirmed_s: Callable[[], float]
    knows_capacity: Callable[[PoolName], bool]
    on_deposed: Callable[[str], None]
    notify_changed: Callable[[], None]
    spawn: Callable[[Callable[[], Steps]], None]
    on_ticket_refused: Callable[[Task, Worker], None] = lambda task, worker: None
    waiting_for_store: set = field(default_factory=set)
    extra_lanes: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(MAX_EXTRA_LANES)
    )
