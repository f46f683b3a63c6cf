"""Define what the planner, the sessions and the calls to workers exchange."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from jayshunt.clock import Clock
from jayshunt.dispatch.models import OrderAnswer, RunReport, StartOrder, TaskKey
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Task


@dataclass(frozen=True, slots=True)
class StartTask:
    """Ask for a run of a task to be started."""

    task: Task
    run: int
    payload: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class PaceTask:
    """Ask for a run to work at a share of its speed."""

    task: TaskKey
    run: int
    percent: int


class WorkerApi(Protocol):
    """Call a worker; the platform's adapter and test fakes provide it."""

    def start(self, order: StartOrder, timeout_s: float) -> OrderAnswer:
        """Start a run."""

    def stop(self, task: TaskKey, run: int, timeout_s: float) -> OrderAnswer:
        """Stop a run."""

    def pace(
        self, task: TaskKey, run: int, percent: int, timeout_s: float
    ) -> OrderAnswer:
        """Slow a run down."""

    def poll_runs(
        self,
        noted_upto: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> RunReport | OrderAnswer:
        """Extend the lease and list the runs."""


@dataclass
class SessionContext:
    """Hold what all sessions of a term share.

    `lock` guards the book. `term_valid` tells whether orders may be given,
    `deposed` is called when a worker has seen a later term, `changed` when there
    may be something to place or to store.
    """

    tracker: RunTracker
    lock: threading.RLock
    clock: Clock
    lease_s: float
    term_valid: Callable[[], bool]
    deposed: Callable[[str], None]
    notify_changed: Callable[[], None]
