"""Track which run of each task exists where, without network or clock.

The tracker knows the current run of each task and the worker on which it is or may be;
`run_reports` updates it by the reports of workers. A task gets a new run only once the
last one has certainly ended: the worker reported its end, another incarnation of the
worker reported that it does not have the run, the VM was shut down, or the worker's
lease expired. The caller must hold a lock around every call; times are monotonic
seconds.
"""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice, takewhile

from jayshunt.dispatch.const import CLOCK_SKEW
from jayshunt.dispatch.crash_blame import LostRun
from jayshunt.dispatch.crash_tracker import CrashTracker
from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.job_memory import (
    ENDED_JOB_BYTES,
    UNLIMITED,
    DeferredJob,
    JobMemory,
    estimate_job_bytes,
)
from jayshunt.dispatch.late_starts import LateStarts
from jayshunt.dispatch.models import (
    Bounds,
    EndedRun,
    JobState,
    QueueConfig,
    RunReport,
    TaskKey,
    Worker,
)
from jayshunt.dispatch.run_reports import RunReports, StopOrder
from jayshunt.dispatch.tasks import EndedJob, Job, Task, TaskPhase
from jayshunt.ids import JobId, Revision, WorkerId
from jayshunt.workspaces.usage import WorkspaceUsage

_LOGGER = logging.getLogger(__name__)

# Each store revision leaves space for this many run numbers. The token of a later term
# is a higher revision, so that term reuses no run number as long as a task has at most
# this many runs per revision.
RUNS_PER_REVISION = 16

# Late reports of an ended job's runs are compared with its tasks for this long.
ENDED_DETAILS_S = 10.0

# The worker list keeps a silent worker for three heartbeats, 4.5 s.
DEPARTED_S = 6.0


@dataclass
class RunTracker:
    """Track the jobs and workers of a term and the placement of runs.

    `versions` and `stored_versions` count the changes of each job's progress, made
    and stored; `dirty` are the jobs with changes to store. `active` are the jobs
    whose final state is not stored. `ended` are jobs that ended a while ago, of which
    only the end is kept; the others are in `jobs`. `memory` counts the bytes of all of
    them. `deferred` are accepted jobs that stay in the store until there is memory for
    them, the oldest first, and `needed` those of them of which a worker reported a run.
    `held_ends` are reported ends of their runs, in the order of the reports, with the
    incarnation that reported each.
    `ended_incarnations` are the workers, with their start times, whose runs have
    certainly ended. `counts` counts start orders by their answer (started,
    start_refused, start_unanswered) and those that were not sent (start_withheld),
    reports of runs of unknown tasks (unknown_run), runs that ended with their worker
    (lost) and ended workers by cause (worker_ and the name of a `WorkerEnd`).
    `on_task_done` is called with the job, the task and the time before a task that was
    running is marked as done. `usage` sums the runs on all workers by workspace.
    `max_lease_s` is the longest lease that a worker accepts, `stop_s` how long stopping
    a run takes.
    `on_worker_end` is called with the id of a worker of which an incarnation ended.
    `late_starts` are starts that got no answer.
    """

    token: Revision
    jobs: dict[JobId, Job] = field(default_factory=dict)
    workers: dict[WorkerId, WorkerView] = field(default_factory=dict)
    active: set[JobId] = field(default_factory=set)
    ended: dict[JobId, EndedJob] = field(default_factory=dict)
    memory: JobMemory = field(default_factory=lambda: JobMemory(UNLIMITED))
    deferred: dict[JobId, DeferredJob] = field(default_factory=dict)
    needed: set[JobId] = field(default_factory=set)
    held_ends: dict[JobId, list[tuple[WorkerView, EndedRun]]] = field(
        default_factory=dict
    )
    versions: Counter = field(default_factory=Counter)
    stored_versions: Counter = field(default_factory=Counter)
    dirty: set[JobId] = field(default_factory=set)
    counts: Counter = field(default_factory=Counter)
    ended_incarnations: set[tuple[WorkerId, int]] = field(default_factory=set)
    on_task_done: Callable[[Job, Task, float], None] | None = None
    usage: WorkspaceUsage = field(default_factory=WorkspaceUsage)
    max_lease_s: float = Bounds().max_lease_ms / 1000
    stop_s: float = Bounds().stop_ms / 1000
    on_worker_end: Callable[[WorkerId], None] = lambda worker: None
    late_starts: LateStarts = field(default_factory=LateStarts)
    crashes: CrashTracker = field(init=False)
    _departed_until_s: dict[tuple[WorkerId, int], float] = field(default_factory=dict)
    _reports: RunReports = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Create the tracker of crashes and what applies the reports of workers."""
        self.crashes = CrashTracker(self.jobs, self.counts, self.mark_dirty)
        self._reports = RunReports(self)

    def add_view(self, view: WorkerView) -> None:
        """Add a worker on which no run is known yet."""
        view.usage = self.usage
        self.workers[view.worker.worker] = view

    def silent_workers(self) -> list[WorkerView]:
        """Return the workers that have not answered yet, or not the last call."""
        return [view for view in self.workers.values() if view.is_silent]

    # --- jobs ---

    def is_deferred(self, job_id: JobId) -> bool:
        """Return whether a job of which a worker reports a run is still in the store.

        Such a job is added next, as it was started before, and its ends are lost once
        they are acknowledged.
        """
        if job_id not in self.deferred:
            return False
        self.needed.add(job_id)
        return True

    def end_deferral(self, job_id: JobId, now_s: float) -> list[StopOrder]:
        """Apply what was reported of a job that was read, or is not in the store.

        Return the runs to stop. Call this before any of its tasks may be placed.
        """
        if self.deferred.pop(job_id, None) is None:
            return []
        self.needed.discard(job_id)
        return self._reports.apply_held(job_id, now_s)

    def knows(self, job_id: JobId) -> bool:
        """Return whether a job is known, ended or not."""
        return job_id in self.jobs or job_id in self.ended

    def add_job(self, job: Job) -> bool:
        """Add a job; return False if it is already known."""
        if self.knows(job.spec.job):
            return False
        self.jobs[job.spec.job] = job
        job.held_bytes = estimate_job_bytes(job.spec)
        self.memory.held_bytes += job.held_bytes
        if not job.state.is_final:
            self.active.add(job.spec.job)
        if job.is_inherited:
            self.crashes.add_job(job)
        return True

    def add_ended(self, job_id: JobId, ended: EndedJob) -> None:
        """Add a job that ended in an earlier term."""
        if not self.knows(job_id):
            self.ended[job_id] = ended
            self.memory.held_bytes += ENDED_JOB_BYTES

    def forget_details(self, now_s: float) -> None:
        """Keep only the end of jobs that ended ENDED_DETAILS_S ago and run nowhere."""
        for job_id, job in list(self.jobs.items()):
            if job.ended_s is None or now_s - job.ended_s < ENDED_DETAILS_S:
                continue
            if job_id in self.dirty or any(task.worker for task in job.tasks()):
                continue
            del self.jobs[job_id]
            self.memory.held_bytes -= job.held_bytes
            ended = EndedJob(job.stored_state, job.spec.workspace, job.ended_s)
            self.add_ended(job_id, ended)

    def expired_jobs(self, before_s: float, limit: int) -> list[JobId]:
        """Return up to `limit` jobs that ended before a time, the oldest first.

        The time is in monotonic seconds.
        """
        expired = takewhile(lambda item: item[1].ended_s < before_s, self.ended.items())
        return [job_id for job_id, _ in islice(expired, limit)]

    def forget_job(self, job_id: JobId) -> None:
        """Forget an ended job.

        Its versions are kept while a worker has not yet been told that one is stored.
        """
        if self.ended.pop(job_id, None) is not None:
            self.memory.held_bytes -= ENDED_JOB_BYTES
        views = self.workers.values()
        if not any(end.job == job_id for view in views for end in view.pending):
            self.versions.pop(job_id, None)
            self.stored_versions.pop(job_id, None)

    def apply_config(self, job: Job, config: QueueConfig) -> None:
        """Apply the configuration of a job's queue, and store a pool that is new."""
        job.config = config
        if config.pool not in job.pools and not job.state.is_final:
            job.pools.add(config.pool)
            self.mark_dirty(job)
            job.pools_version = self.versions[job.spec.job]

    def cancel(self, job_id: JobId) -> list[StopOrder]:
        """Cancel a job and return the runs to stop."""
        job = self.jobs.get(job_id)
        if job is None or not job.cancel():
            return []
        self.mark_dirty(job)
        return self._stop_all(job)

    def next_run(self, task: Task) -> int:
        """Return the number of a task's next run."""
        return max(task.run + 1, self.token * RUNS_PER_REVISION)

    def record_order(
        self, task: Task, view: WorkerView, run: int, now_s: float
    ) -> None:
        """Record that a start order for a run is about to be sent."""
        task.phase = TaskPhase.ORDERED
        task.run = run
        task.ordered_s = now_s
        task.acked_s = None
        task.sent_s = None
        view.place(task)
        self.crashes.record_ordered(task, view)
        job = self.jobs[task.key.job]
        if job.stores_starts:
            self.mark_dirty(job)

    def record_sent(self, task: Task, now_s: float) -> None:
        """Record that the start order of a task's run is sent now."""
        task.sent_s = now_s

    # --- answers to orders ---

    def record_start_accepted(self, task: Task, run: int, now_s: float) -> None:
        """Record that a worker accepted a start order."""
        job = self.jobs.get(task.key.job)
        if job is not None:
            job.has_started = True
        if task.run != run or task.phase is TaskPhase.WAITING:
            return
        task.acked_s = now_s
        view = self.workers.get(task.worker) if task.worker else None
        if view is not None:
            view.last_heard_s = now_s

    def record_not_started(self, task: Task, run: int, now_s: float) -> None:
        """Record that a worker certainly did not carry out a start order."""
        if task.run != run or task.phase is not TaskPhase.ORDERED:
            return
        self.unplace(task, now_s)

    def record_not_sent(self, task: Task, run: int, now_s: float) -> None:
        """Record that the start of a run that is to be stopped was never sent."""
        if task.run == run and task.is_placed and task.sent_s is None:
            self.unplace(task, now_s)

    def record_pace_unknown(self, key: TaskKey, run: int) -> None:
        """Record that an order for the pace of a run may not have been carried out."""
        task = self.find_task(key)
        if task is not None and task.run == run:
            task.is_pace_known = False

    def record_stop_accepted(self, order: StopOrder, now_s: float) -> None:
        """Record that a worker accepted a stop order.

        The worker then reports the end of the run, unless the run never started.
        """
        view = self.workers.get(order.worker)
        if view is not None:
            view.late_starts.pop((order.task, order.run), None)
        task = self.find_task(order.task)
        if task is None or task.run != order.run or task.worker != order.worker:
            return
        task.phase = TaskPhase.STOPPING
        task.acked_s = now_s

    def stop(self, task: Task) -> StopOrder | None:
        """Mark a placed task as stopping; return the stop order, None if not placed."""
        if not task.is_placed:
            return None
        task.phase = TaskPhase.STOPPING
        task.acked_s = None
        return StopOrder(task.worker, task.key, task.run)

    # --- reports of workers ---

    def apply_run_report(
        self, view: WorkerView, answer: RunReport, sent_s: float, now_s: float
    ) -> list[StopOrder]:
        """Apply a worker's report to its tasks; return the runs to stop there.

        `sent_s` is when the call that returned the report was sent.
        """
        return self._reports.apply(view, answer, sent_s, now_s)

    def remove_worker(
        self, view: WorkerView, now_s: float, end: WorkerEnd, detail: str = ""
    ) -> None:
        """Remove a worker whose runs have all certainly ended.

        Its tasks wait for a new run.
        """
        if not view.is_ended:
            self._end_incarnation(view, list(view.tasks.values()), now_s, end, detail)

    def replace_worker(
        self, view: WorkerView, worker: Worker, end: WorkerEnd, now_s: float
    ) -> WorkerView:
        """Replace a worker by its next incarnation, which has the same id and address.

        An order names the id only, so that either incarnation may have carried out one
        that was sent before the next one was known. Only a report tells them apart. Of
        the tasks on the worker, those that a report showed to run there are lost, and
        those whose starts were not sent wait again. The others stay placed until the
        first report of the next incarnation. What was learned of the worker's ends,
        clock, leases and failures is not carried over.
        """
        next_view = self._next_view(view, worker, end, "", now_s)
        self.extend_lease_of_other(next_view, now_s)
        return next_view

    def end_lapsed_runs(
        self, view: WorkerView, now_s: float, detail: str
    ) -> WorkerView:
        """End the runs of a silent worker whose lease is over, but for open starts.

        Its next incarnation may have taken these, with the longest lease of all.
        """
        next_view = self._next_view(
            view, view.worker, WorkerEnd.LEASE_EXPIRED, detail, now_s
        )
        # The worker may be alive behind a network partition and come back.
        self.ended_incarnations.discard((view.worker.worker, view.worker.started_ms))
        next_view.is_failing = True
        next_view.is_listed = view.is_listed
        return next_view

    def _next_view(
        self,
        view: WorkerView,
        worker: Worker,
        end: WorkerEnd,
        detail: str,
        now_s: float,
    ) -> WorkerView:
        """End an incarnation, and place its open starts on the next one."""
        kept = [task for task in view.tasks.values() if task.is_open]
        lost = [task for task in view.tasks.values() if not task.is_open]
        reason = ", ".join(filter(None, (detail, f"{len(kept)} kept")))
        runs = self._end_incarnation(view, lost, now_s, end, reason)
        next_view = WorkerView(worker, now_s, last_heard_s=view.last_heard_s)
        next_view.unconfirmed = {run.task.key: run for run in runs}
        self.add_view(next_view)
        for task in kept:
            if task.phase is TaskPhase.STOPPING:
                # The incarnation that accepted the stop may not be the one that is up.
                task.acked_s = None
            next_view.place(task)
        next_view.extend_former_lease(view.next_lease_end_s)
        return next_view

    def record_unanswered(self, view: WorkerView, now_s: float) -> None:
        """Record that a call which may extend the worker's lease got no answer.

        The next incarnation may have taken it, also if that is known by now.
        """
        end_s = now_s + self.longest_lease_s
        view.next_lease_end_s = max(view.next_lease_end_s, end_s)
        current = self.workers.get(view.worker.worker)
        if current is not None and current is not view:
            current.extend_former_lease(end_s)

    @property
    def longest_lease_s(self) -> float:
        """Return how long a lease may last by this process's clock."""
        return self.max_lease_s / (1 - CLOCK_SKEW)

    def extend_lease_of_other(self, view: WorkerView, now_s: float) -> None:
        """Record that a worker may hold a lease meant for another incarnation.

        The end of a lease is a time on the worker's clock, which starts anew with each
        incarnation, so that only the longest lease of all limits it.
        """
        view.extend_former_lease(now_s + self.longest_lease_s)

    def _end_incarnation(
        self,
        view: WorkerView,
        lost: list[Task],
        now_s: float,
        end: WorkerEnd,
        detail: str,
    ) -> list[LostRun]:
        """End a worker's incarnation; return the runs on it that are not known lost."""
        view.is_ended = True
        self.ended_incarnations.add((view.worker.worker, view.worker.started_ms))
        _LOGGER.info(
            "dispatch: a worker is over",
            extra={
                "worker": view.worker.worker,
                "vm": view.worker.vm,
                "pool": view.worker.pool,
                "born": view.worker.started_ms,
                "reason": f"{end.value}: {detail}" if detail else end.value,
                "tasks": len(lost),
            },
        )
        self.counts[f"worker_{end.name.lower()}"] += 1
        runs = self.crashes.record_worker_end(view, lost, end, now_s)
        for task in lost:
            self.unplace(task, now_s)
        view.pending.clear()
        view.detach()
        if self.workers.get(view.worker.worker) is view:
            del self.workers[view.worker.worker]
        self.on_worker_end(view.worker.worker)
        return runs

    def record_ordered_away(self, view: WorkerView, now_s: float) -> None:
        """Record that the platform accepted an order for an idle worker's VM.

        Nothing is started on the worker until it answers a poll that was sent later.
        """
        view.ordered_away_s = now_s
        view.evacuation_reason = None
        if view.worker.vm is not None:
            self.crashes.record_vm_ordered(view.worker.vm)

    def remove_ordered_away(self, view: WorkerView, now_s: float, reason: str) -> None:
        """Remove a worker that no longer answers after an order for its VM.

        It may stay listed for a while, and is not used again within DEPARTED_S. As it
        may also be out of reach, it is then used if it is still listed.
        """
        self._remove_departed(view, now_s, WorkerEnd.VM_ORDERED, reason)

    def end_runs(
        self, view: WorkerView, tasks: list[Task], end: WorkerEnd, now_s: float
    ) -> None:
        """End some runs of a silent worker, of which others may go on.

        The tasks wait for a new run.
        """
        _LOGGER.info(
            "dispatch: runs of a worker are over",
            extra={
                "worker": view.worker.worker,
                "vm": view.worker.vm,
                "pool": view.worker.pool,
                "born": view.worker.started_ms,
                "reason": end.value,
                "tasks": len(tasks),
                "kept": len(view.tasks) - len(tasks),
            },
        )
        self.crashes.record_worker_end(view, tasks, end, now_s)
        for task in tasks:
            self.unplace(task, now_s)

    def remove_gone(self, view: WorkerView, now_s: float) -> None:
        """Remove a worker that the VM list shows to be gone; see `remove_ordered_away`.

        The list may lack a worker by mistake.
        """
        self._remove_departed(view, now_s, WorkerEnd.VM_GONE)

    def _remove_departed(
        self, view: WorkerView, now_s: float, end: WorkerEnd, detail: str = ""
    ) -> None:
        self.remove_worker(view, now_s, end, detail)
        incarnation = (view.worker.worker, view.worker.started_ms)
        self.ended_incarnations.discard(incarnation)
        for known, until_s in list(self._departed_until_s.items()):
            if now_s >= until_s:
                del self._departed_until_s[known]
        self._departed_until_s[incarnation] = now_s + DEPARTED_S

    def is_over(self, worker: Worker, now_s: float) -> bool:
        """Return whether a listed worker has ended, although it is still listed."""
        incarnation = (worker.worker, worker.started_ms)
        if incarnation in self.ended_incarnations:
            return True
        return now_s < self._departed_until_s.get(incarnation, 0.0)

    def record_first_answer(self, view: WorkerView, now_s: float) -> None:
        """Remove earlier lives on the VM of a worker that answers.

        A VM runs one worker at a time, so the runs of its earlier lives have ended. The
        one that answers has not, whatever was concluded before.
        """
        view.first_answer_s = now_s
        self.ended_incarnations.discard((view.worker.worker, view.worker.started_ms))
        for other in list(self.workers.values()):
            if (
                other.worker.vm == view.worker.vm is not None
                and 0 < other.worker.started_ms < view.worker.started_ms
            ):
                self.remove_worker(
                    other, now_s, WorkerEnd.REPLACED, "its VM runs a later one"
                )
        self.crashes.record_first_answer(view)

    # --- the store ---

    def unresolved_tasks(self) -> dict[WorkerId, list[str]]:
        """Return, by worker, the tasks that may run there and jobs with unstored ends.

        Tasks with stray runs there are included. A successor learns of an unstored end
        only from the worker, so it must not continue the job before that worker has
        answered.
        """
        left: dict[WorkerId, list[str]] = {}
        for worker, view in self.workers.items():
            names = [task.key.name for task in view.tasks.values()]
            names += [key.name for key, _ in view.strays]
            names += [
                end.job
                for end in view.pending
                if end.job is not None and self.stored_versions[end.job] < end.version
            ]
            left[worker] = names
        return left

    def record_stored(
        self, job: Job, version: int, state: JobState, now_s: float
    ) -> None:
        """Record that a version of a job's progress is stored."""
        job_id = job.spec.job
        self.stored_versions[job_id] = max(version, self.stored_versions[job_id])
        job.stored_state = state
        if state.is_final and job.ended_s is None:
            job.ended_s = now_s
        if state.is_final:
            self.active.discard(job_id)

    def find_task(self, key: TaskKey) -> Task | None:
        """Return the task of a key if its job is known."""
        job = self.jobs.get(key.job)
        return None if job is None else job.task(key)

    def _stop_all(self, job: Job) -> list[StopOrder]:
        orders = (self.stop(task) for task in job.tasks())
        return [order for order in orders if order is not None]

    def unplace(self, task: Task, now_s: float) -> None:
        view = self.workers.get(task.worker) if task.worker else None
        if view is not None:
            view.release(task)
        job = self.jobs.get(task.key.job)
        if job is None:
            return
        was_stored = (
            task.is_suspect or task.run_at_risk is not None or job.stores_starts
        )
        job.requeue(task, now_s)
        if was_stored:
            self.mark_dirty(job)

    def mark_dirty(self, job: Job) -> None:
        self.versions[job.spec.job] += 1
        self.dirty.add(job.spec.job)
