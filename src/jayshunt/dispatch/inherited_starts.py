"""Decide when a task that an earlier term started may be started again.

The starts of tasks that last are stored before they are sent, so that a task of which
no start is stored runs nowhere. One whose start is stored waits until a fact about
that worker shows that the run is over or that it goes on.
"""

import logging
from enum import Enum

from jayshunt.dispatch.const import LOGGED_WAIT_S
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.tasks import InheritedStart, Job, Task

_LOGGER = logging.getLogger(__name__)


class EndFact(Enum):
    """List what shows that an inherited run is over; the values are log texts."""

    ANSWERED = "its worker answered without it"
    GONE = "the VM list shows that its worker is gone"
    LEASE_OVER = "the longest lease of its worker is over"


def find_end_fact(
    view: WorkerView | None, added_s: float, is_gone: bool, is_lease_over: bool
) -> EndFact | None:
    """Return what shows that the run of an inherited start is over, None if nothing.

    `view` is that of its worker. It reported the run if it answered after `added_s`,
    when the job became known, unless it did not list all ends. The task of a reported
    run is placed, and has no inherited start.
    """
    if (
        view is not None
        and view.last_answer_s is not None
        and view.last_answer_s >= added_s
        and not view.may_lack_ends
    ):
        return EndFact.ANSWERED
    if is_gone:
        return EndFact.GONE
    return EndFact.LEASE_OVER if is_lease_over else None


class InheritedStarts:
    """Keep the tasks that wait for the worker on which an earlier term started them.

    The caller holds the dispatcher's lock.
    """

    def __init__(self, dispatcher, started_s: float) -> None:
        """Start without tasks, in a term that began at `started_s`.

        `are_complete` is False if a dispatcher of a version that stores no starts may
        have started tasks. Its jobs are then held back like those that store none.
        """
        self.are_complete = False
        self._dispatcher = dispatcher
        self._started_s = started_s
        self._waiting: dict[str, tuple[Job, Task]] = {}
        self._names: set[str] = set()
        self._logged: set[str] = set()

    def add_job(self, job: Job) -> None:
        """Add the tasks of a job that was read from the store."""
        self._waiting |= {
            task.key.name: (job, task)
            for task in job.tasks()
            if task.inherited_start is not None
        }
        self._names |= self._waiting.keys()

    def tells_all_runs(self, job: Job) -> bool:
        """Return whether the stored starts tell where each task of a job may run."""
        return job.stores_starts and self.are_complete

    def has_stored_start(self, name: str) -> bool:
        """Return whether a task, by its name, waits here or did so before."""
        return name in self._names

    def settle(self, now_s: float) -> None:
        """Let the tasks wait no more whose runs are over."""
        if not self._waiting:
            return
        dispatcher = self._dispatcher
        confirmed_s = dispatcher.term_confirmed_s()
        is_lease_over = confirmed_s >= dispatcher.inherited_runs_end_s
        for name, (job, task) in list(self._waiting.items()):
            start = task.inherited_start
            if start is None or job.state.is_final:
                del self._waiting[name]
                continue
            fact = self._find_end_fact(start, job, is_lease_over)
            if fact is None:
                self._log_wait(task, start, now_s)
                continue
            del self._waiting[name]
            task.inherited_start = None
            dispatcher.tracker.mark_dirty(job)
            self._log_end(task, start, fact, now_s)

    def _find_end_fact(
        self, start: InheritedStart, job: Job, is_lease_over: bool
    ) -> EndFact | None:
        dispatcher = self._dispatcher
        inventory = dispatcher.fleet.inventory
        is_gone = (
            inventory.listed_s is not None
            and inventory.listed_s >= dispatcher.vm_list_counts_from_s
            and inventory.shows_gone(start.worker, start.vm)
        )
        view = dispatcher.tracker.workers.get(start.worker)
        return find_end_fact(view, job.added_s, is_gone, is_lease_over)

    def _log_wait(self, task: Task, start: InheritedStart, now_s: float) -> None:
        name = task.key.name
        if now_s - self._started_s < LOGGED_WAIT_S or name in self._logged:
            return
        self._logged.add(name)
        view = self._dispatcher.tracker.workers.get(start.worker)
        left_s = self._dispatcher.inherited_runs_end_s - now_s
        _LOGGER.info(
            "dispatch: a task waits for the worker of its last run",
            extra={
                "task": name,
                "run": start.run,
                "worker": start.worker,
                "vm": start.vm,
                "reason": "not listed" if view is None else "silent",
                "lease_left_ms": round(left_s * 1000),
            },
        )

    def _log_end(
        self, task: Task, start: InheritedStart, fact: EndFact, now_s: float
    ) -> None:
        _LOGGER.info(
            "dispatch: a run of an earlier term is over",
            extra={
                "task": task.key.name,
                "run": start.run,
                "worker": start.worker,
                "vm": start.vm,
                "reason": fact.value,
                "term_age_ms": round((now_s - self._started_s) * 1000),
            },
        )
