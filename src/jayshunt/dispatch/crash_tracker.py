"""Count the crashes of workers against the tasks that ran on them."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable

from jayshunt.dispatch.crash_blame import (
    LostRun,
    after_survived_start,
    as_lost_run,
    as_run_at_risk,
    clear_starts,
    count_crash,
    examine_crash,
    has_survived_start,
    is_given_up,
    is_suspicious,
    needs_stored_start,
)
from jayshunt.dispatch.crash_models import RunAtRisk
from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.models import JobState, Worker
from jayshunt.dispatch.tasks import Job, Task, TaskPhase
from jayshunt.ids import JobId, VmId, WorkerId

_LOGGER = logging.getLogger(__name__)


class CrashTracker:
    """Keep the suspects of crashes of one term, and give up jobs with deadly tasks.

    A worker that does not answer may have crashed or be out of reach, so a crash counts
    only once another life answers on the VM. Until then its runs are unsettled. Those
    that may have caused the crash are stored with the progress of their jobs at the
    first sign, as this term may end before more is known; a later term settles them.
    The caller holds the lock of the run tracker.
    """

    def __init__(
        self,
        jobs: dict[JobId, Job],
        counts: Counter,
        mark_dirty: Callable[[Job], None],
    ) -> None:
        """Start without crashes; `mark_dirty` is called for a job to be stored."""
        self._jobs = jobs
        self._counts = counts
        self._mark_dirty = mark_dirty
        self._unsettled: dict[VmId, list[tuple[Task, RunAtRisk]]] = {}
        self._suspect_jobs: set[JobId] = set()
        self._lives: dict[VmId, Worker] = {}
        self._waiting_inherited: list[Task] = []

    def add_job(self, job: Job) -> None:
        """Add the tasks of a job of an earlier term under which workers crashed."""
        for task in job.tasks():
            if task.is_suspect:
                self._suspect_jobs.add(job.spec.job)
                self._waiting_inherited.append(task)
            for run in task.unsettled_runs:
                self._unsettled.setdefault(run.vm, []).append((task, run))
                if run.vm in self._lives:
                    self._settle(self._lives[run.vm])

    def has_suspects(self, active: set[JobId]) -> bool:
        """Return whether any of the active jobs has a suspected task."""
        self._suspect_jobs &= active
        return bool(self._suspect_jobs)

    def record_ordered(self, task: Task, view: WorkerView) -> None:
        """Store where a task is started, if its order must wait until that is stored.

        Only suspects are started apart from other tasks.
        """
        job = self._jobs[task.key.job]
        if not needs_stored_start(task, job.is_inherited):
            return
        lost = LostRun(task, True, is_only_suspect=task.is_suspect, is_certain=False)
        task.run_at_risk = as_run_at_risk(view, lost)
        self._mark_dirty(job)

    def record_failing(self, view: WorkerView) -> None:
        """Store the tasks just started on a worker that no longer answers."""
        self._store_at_risk(view, only_suspects=True)

    def record_silent(self, view: WorkerView) -> None:
        """Store all tasks on a worker that left more than one poll unanswered."""
        self._store_at_risk(view, only_suspects=False)

    def record_term_end(self, views: Iterable[WorkerView]) -> None:
        """Store what may be lost with its worker before a term ends gracefully."""
        for view in views:
            self._store_at_risk(view, only_suspects=not view.is_failing)

    def record_worker_end(
        self, view: WorkerView, tasks: list[Task], end: WorkerEnd, now_s: float
    ) -> list[LostRun]:
        """Log the lost runs of a worker that ended, and blame `tasks` if it crashed.

        Return what the crash makes of the other tasks that are placed on the worker,
        for `record_lost` once it is known that they were lost with it.
        """
        vm = view.worker.vm
        others: list[LostRun] = []
        keys = {task.key for task in tasks}
        for task in tasks:
            self._counts["lost"] += 1
            _log_lost(view, task, end, now_s)
        match end:
            case WorkerEnd.RESTARTED | WorkerEnd.REPLACED if not view.is_draining:
                for lost in examine_crash(view):
                    if lost.task.key in keys:
                        self._count(lost, view.worker.worker)
                    else:
                        others.append(lost)
            case WorkerEnd.VM_GONE if view.is_draining:
                # It left by notice.
                pass
            case WorkerEnd.LEASE_EXPIRED | WorkerEnd.VM_GONE if vm is not None:
                for lost in examine_crash(view):
                    if lost.task.key in keys:
                        self._add_unsettled(view, lost)
            case WorkerEnd.VM_ORDERED if vm is not None:
                self.record_vm_ordered(vm)
        return others

    def record_vm_ordered(self, vm: VmId) -> None:
        """Drop the unsettled runs on a VM, on which this term ended the worker."""
        for task, run in self._unsettled.pop(vm, ()):
            self._forget(task, run)

    def record_lost(self, view: WorkerView, lost: LostRun, now_s: float) -> None:
        """Blame a task that was lost with the worker's incarnation before `view`.

        Its start stays placed until it is stopped. It is not counted once more if
        another crash or a later term follows.
        """
        task = lost.task
        self._counts["lost"] += 1
        _log_lost(view, task, WorkerEnd.RESTARTED, now_s)
        task.blamed_run, task.run_at_risk = task.run, None
        self._count(lost, view.worker.worker)

    def record_first_answer(self, view: WorkerView) -> None:
        """Settle the runs of the last life on the VM of a worker that answers."""
        if view.worker.vm is not None:
            self._lives[view.worker.vm] = view.worker
            self._settle(view.worker)

    def record_running(self, task: Task, now_s: float) -> None:
        """Clear a suspect whose run is reported and survived its start.

        Where its start had to be stored, the run stays stored until it ends, as the
        task may crash its worker later.
        """
        if not has_survived_start(task, now_s):
            return
        job = self._jobs[task.key.job]
        task.has_survived_start = True
        if task.run_at_risk is not None:
            left = None
            if needs_stored_start(task, job.is_inherited):
                left = after_survived_start(task.run_at_risk)
            if left != task.run_at_risk:
                task.run_at_risk = left
                self._mark_dirty(job)
        if not task.is_suspect:
            return
        task.is_suspect = False
        task.crashes = clear_starts(task.crashes)
        self._mark_dirty(job)
        _LOGGER.info(
            "dispatch: a suspect survived its start",
            extra={"task": task.key.name, "run": task.run, "worker": task.worker},
        )

    def start_wait_of_inherited(
        self, may_start: Callable[[Job], bool], now_s: float
    ) -> None:
        """Let inherited suspects wait for a worker of their own from now on.

        `may_start` tells whether all runs that a job had in earlier terms are known or
        have ended.
        """
        waiting: list[Task] = []
        for task in self._waiting_inherited:
            job = self._jobs.get(task.key.job)
            if job is None or task.phase is not TaskPhase.WAITING:
                continue
            if may_start(job):
                task.waiting_since_s = now_s
            else:
                waiting.append(task)
        self._waiting_inherited = waiting

    def _store_at_risk(self, view: WorkerView, only_suspects: bool) -> None:
        for lost in examine_crash(view):
            task, run = lost.task, as_run_at_risk(view, lost)
            job = self._jobs.get(task.key.job)
            if job is None or run is None or task.phase is TaskPhase.DONE:
                continue
            if task.run_at_risk is None and (lost.is_suspect or not only_suspects):
                task.run_at_risk = run
                self._mark_dirty(job)

    def _add_unsettled(self, view: WorkerView, lost: LostRun) -> None:
        task, run = lost.task, as_run_at_risk(view, lost)
        job = self._jobs.get(task.key.job)
        if job is None or job.state.is_final or task.phase is TaskPhase.DONE:
            return
        self._unsettled.setdefault(run.vm, []).append((task, run))
        task.unsettled_runs += (run,)
        if lost.is_suspect:
            self._suspect(task)
        self._mark_dirty(job)

    def _settle(self, worker: Worker) -> None:
        """Count or drop the unsettled runs on a VM, of which a worker answered."""
        for task, run in self._unsettled.pop(worker.vm, ()):
            self._forget(task, run)
            if not run.is_on(worker):
                self._count(as_lost_run(task, run), run.worker)

    def _forget(self, task: Task, run: RunAtRisk) -> None:
        if run not in task.unsettled_runs:
            return
        left = list(task.unsettled_runs)
        left.remove(run)
        task.unsettled_runs = tuple(left)
        task.is_suspect = is_suspicious(task)
        job = self._jobs.get(task.key.job)
        if job is not None and not job.state.is_final:
            self._mark_dirty(job)

    def _count(self, lost: LostRun, worker: WorkerId) -> None:
        task = lost.task
        job = self._jobs.get(task.key.job)
        if job is None or job.state.is_final or task.phase is TaskPhase.DONE:
            return
        task.crashes = count_crash(task.crashes, lost)
        if lost.is_suspect or is_suspicious(task):
            self._suspect(task)
        self._mark_dirty(job)
        if not is_given_up(task, lost.is_only_suspect):
            return
        job.state = JobState.FAILED
        self._counts["given_up"] += 1
        _LOGGER.warning(
            "dispatch: a job is given up, its task crashes workers",
            extra={
                "task": task.key.name,
                "worker": worker,
                "crashes_at_start": task.crashes.at_start,
                "crashes_later": task.crashes.later,
                "crashes_uncertain": task.crashes.uncertain,
                "only_suspect": lost.is_only_suspect,
            },
        )

    def _suspect(self, task: Task) -> None:
        task.is_suspect = True
        self._suspect_jobs.add(task.key.job)


def _log_lost(view: WorkerView, task: Task, end: WorkerEnd, now_s: float) -> None:
    """Log a run that ended with its worker.

    `reported_ms` is for how long the worker's answers showed the run to be there, None
    if no answer showed it.
    """
    reported_ms = None
    is_reported = task.running_s is not None and task.acked_s is not None
    if is_reported and view.last_answer_s is not None:
        reported_ms = round((view.last_answer_s - task.acked_s) * 1000)
    _LOGGER.info(
        "dispatch: a run was lost with its worker",
        extra={
            "task": task.key.name,
            "run": task.run,
            "worker": view.worker.worker,
            "end": end.name.lower(),
            "phase": task.phase.value,
            "age_ms": round((now_s - task.ordered_s) * 1000),
            "reported_ms": reported_ms,
        },
    )
