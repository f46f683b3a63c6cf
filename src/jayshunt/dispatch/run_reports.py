"""Apply the reports of workers to tasks, without network or clock.

A report lists the runs and the ends that a worker has. It shows what became of the runs
that the tracker placed there, and runs that it does not know.
"""

import logging
import math
import sys
from dataclasses import dataclass, replace

from jayshunt.dispatch.fleet import (
    PendingEnd,
    StrayRun,
    WorkerEnd,
    WorkerView,
    is_other_incarnation,
)
from jayshunt.dispatch.late_starts import LATE_START_S
from jayshunt.dispatch.models import (
    EndedRun,
    RunEnd,
    RunningRun,
    RunReport,
    TaskKey,
)
from jayshunt.dispatch.obstacles import Obstacle
from jayshunt.dispatch.tasks import InheritedStart, Job, Task, TaskPhase
from jayshunt.ids import JobId, WorkerId

_LOGGER = logging.getLogger(__name__)

# No stored version of a job is as high, so an end that waits for it is kept.
UNREAD_VERSION = sys.maxsize


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order a worker to stop a run."""

    worker: WorkerId
    task: TaskKey
    run: int


class RunReports:
    """Apply reports to the tasks of a run tracker, whose lock the caller holds."""

    def __init__(self, tracker) -> None:
        """Apply reports to the tasks of `tracker`."""
        self._tracker = tracker

    def apply(
        self, view: WorkerView, answer: RunReport, sent_s: float, now_s: float
    ) -> list[StopOrder]:
        """Apply a worker's report to its tasks; return the runs to stop there.

        `sent_s` is when the call that returned the report was sent.
        """
        if view.is_ended:
            return []
        if is_other_incarnation(view, answer):
            # Its capacity and labels may differ, and are known once it is listed.
            worker = replace(view.worker, started_ms=answer.started_ms)
            view = self._tracker.replace_worker(
                view, worker, WorkerEnd.RESTARTED, now_s
            )
            view.is_listed = False
        is_first = view.last_answer_s is None
        if is_first:
            self._tracker.record_first_answer(view, now_s)
        view.record_clock(answer.clock_ms, now_s)
        view.last_answer_s = view.last_heard_s = now_s
        view.is_failing = view.fell_silent = False
        view.may_lack_ends = answer.may_lack_ends
        if view.outlived_order(sent_s):
            view.ordered_away_s = None
            _LOGGER.info(
                "dispatch: a worker outlived an order for its VM, carried out before",
                extra={"worker": view.worker.worker, "vm": view.worker.vm},
            )
        for end in sorted(answer.ended, key=lambda e: e.number):
            if end.number <= view.heard_upto:
                continue
            view.heard_upto = end.number
            if not self._hold_back(view, end):
                self._apply_end(view, end, now_s)
        stops: list[StopOrder] = []
        reported: set[tuple[TaskKey, int]] = set()
        view.clear_strays()
        view.held_runs.clear()
        for row in answer.running:
            reported.add((row.task, row.run))
            if self._is_stop_accepted(view, row, now_s):
                continue
            stop = self._apply_running(view, row, now_s)
            if stop is not None:
                stops.append(stop)
        listed = reported | {(end.task, end.run) for end in answer.ended}
        if not answer.may_lack_ends:
            self._settle_unconfirmed(view, listed, sent_s, now_s)
        stops += self._resolve_missing(view, reported, sent_s, now_s)
        if is_first:
            view.late_starts.update(
                self._tracker.late_starts.for_worker(view.worker.worker, now_s)
            )
        stops += self._stop_late_starts(view, listed, now_s)
        return stops

    def apply_held(self, job_id: JobId, now_s: float) -> list[StopOrder]:
        """Apply what workers reported of a job before it was read from the store.

        Return the runs to stop. Without the job in the tracker, its ends are let go and
        its runs go on as stray ones.
        """
        for view, end in self._tracker.held_ends.pop(job_id, ()):
            view.pending = [kept for kept in view.pending if kept.number != end.number]
            self._apply_end(view, end, now_s)
        stops: list[StopOrder] = []
        for view in list(self._tracker.workers.values()):
            rows = [row for row in view.held_runs if row.task.job == job_id]
            for row in rows:
                view.held_runs.remove(row)
                view.remove_stray(row.task, row.run)
                stop = self._apply_running(view, row, now_s)
                if stop is not None:
                    stops.append(stop)
        return stops

    def _hold_back(self, view: WorkerView, end: EndedRun) -> bool:
        """Keep the end of a run whose job is still in the store; return whether so.

        It is not acknowledged before the job was read and the end is stored. The ends
        behind it are applied.
        """
        job_id = end.task.job
        if not self._tracker.is_deferred(job_id):
            return False
        self._tracker.held_ends.setdefault(job_id, []).append((view, end))
        view.pending.append(PendingEnd(end.number, job_id, UNREAD_VERSION))
        return True

    def _stop_late_starts(
        self,
        view: WorkerView,
        listed: set[tuple[TaskKey, int]],
        now_s: float,
    ) -> list[StopOrder]:
        """Stop the starts that the worker may carry out late, and that nobody wants.

        Each counts as a run until the worker accepted the stop, or can no longer start
        it. `listed` are the runs that are or were there.
        """
        if not view.late_starts:
            return []
        view.late_starts = {
            start: until_s
            for start, until_s in view.late_starts.items()
            if start not in listed and now_s < until_s
        }
        stops: list[StopOrder] = []
        for key, run in sorted(view.late_starts):
            task = self._tracker.find_task(key)
            if key in view.tasks and view.tasks[key].run == run:
                continue
            if task is not None:
                view.add_stray(key, StrayRun.of_task(task, run))
            stops.append(StopOrder(view.worker.worker, key, run))
        return stops

    def _settle_unconfirmed(
        self,
        view: WorkerView,
        listed: set[tuple[TaskKey, int]],
        sent_s: float,
        now_s: float,
    ) -> None:
        """Blame the tasks that were lost with the incarnation before this one.

        `listed` are the runs that are or were on this one. A start that is sent while
        this one answers cannot have ended the one before.
        """
        for key, lost in view.unconfirmed.items():
            task = lost.task
            started_s = task.acked_s if task.sent_s is None else task.sent_s
            if (key, task.run) in listed or key not in view.tasks:
                continue
            if started_s is not None and started_s < sent_s:
                self._tracker.crashes.record_lost(view, lost, now_s)
        view.unconfirmed = {}

    def _is_stop_accepted(
        self, view: WorkerView, row: RunningRun, now_s: float
    ) -> bool:
        """Return whether a run is ending by a stop that the worker accepted lately.

        Its row tells nothing else. Thousands of them may be reported many times a
        second when a large job is cancelled.
        """
        task = view.tasks.get(row.task)
        return (
            task is not None
            and task.phase is TaskPhase.STOPPING
            and task.run == row.run
            and task.acked_s is not None
            and now_s - task.acked_s < self._tracker.stop_s
        )

    def _apply_running(
        self, view: WorkerView, row: RunningRun, now_s: float
    ) -> StopOrder | None:
        job = self._tracker.jobs.get(row.task.job)
        task = None if job is None else job.task(row.task)
        worker = view.worker.worker
        if task is None:
            # Its size is unknown, so the worker has no room until it is stopped.
            capacity = view.worker.capacity
            view.add_stray(row.task, StrayRun(row.run, capacity, capacity, None))
            if self._tracker.is_deferred(row.task.job):
                view.held_runs.append(row)
                return None
            self._tracker.counts["unknown_run"] += 1
            return StopOrder(worker, row.task, row.run)
        job.has_started = True
        is_wanted = not job.state.is_final and task.phase is not TaskPhase.DONE
        if task.worker == worker and task.run == row.run:
            self._update_running(task, row, now_s)
            if is_wanted and task.phase is not TaskPhase.STOPPING:
                return None
            return StopOrder(worker, row.task, row.run)
        if is_wanted and task.worker is None and row.run >= task.run:
            # An earlier term started the run, or it was believed to have ended.
            stored = task.inherited_start
            task.run = row.run
            task.acked_s = now_s
            task.is_pace_known = False
            view.place(task)
            self._update_running(task, row, now_s)
            is_stored = stored == InheritedStart(worker, view.worker.vm, row.run)
            if job.stores_starts and not is_stored:
                self._tracker.mark_dirty(job)
            return None
        view.add_stray(row.task, StrayRun.of_task(task, row.run))
        return StopOrder(worker, row.task, row.run)

    def _update_running(self, task: Task, row: RunningRun, now_s: float) -> None:
        if task.phase in (TaskPhase.ORDERED, TaskPhase.WAITING):
            task.phase = TaskPhase.RUNNING
        if task.running_s is None:
            task.running_s = now_s
        self._tracker.crashes.record_running(task, now_s)
        task.percent = row.percent
        task.load = row.load
        if row.checkpoint:
            task.checkpoint = row.checkpoint

    def _resolve_missing(
        self,
        view: WorkerView,
        reported: set[tuple[TaskKey, int]],
        sent_s: float,
        now_s: float,
    ) -> list[StopOrder]:
        """Resolve tasks that are placed on the worker but missing from its report.

        A run whose start or stop was acknowledged before the call was sent has ended.
        If its start got no answer, the order may still arrive later. The run is then
        stopped first, because a worker refuses to start a run after its stop order. The
        end of a run that is in neither list may be listed once others are acknowledged.
        """
        stops: list[StopOrder] = []
        for task in list(view.tasks.values()):
            if (task.key, task.run) in reported:
                continue
            if task.acked_s is not None and task.acked_s < sent_s:
                if not view.may_lack_ends:
                    self._tracker.unplace(task, now_s)
            elif task.phase is TaskPhase.STOPPING and task.acked_s is None:
                stops.append(StopOrder(view.worker.worker, task.key, task.run))
        return stops

    def _apply_end(self, view: WorkerView, end: EndedRun, now_s: float) -> None:
        job = self._tracker.jobs.get(end.task.job)
        task = None if job is None else job.task(end.task)
        if task is None:
            view.pending.append(PendingEnd(end.number, None, 0))
            return
        before = self._tracker.versions[end.task.job]
        is_present = task.run == end.run and task.worker == view.worker.worker
        is_inherited = task.worker is None and end.run >= task.run
        if end.end is RunEnd.DONE:
            self._apply_done(view, job, task, end.run, now_s)
        elif end.run not in task.ended_runs:
            # A worker that was unreachable may report known ends again.
            task.ended_runs |= {end.run}
            was_at_work = is_present and task.is_warm
            self._count_failure(view, job, task, end, was_at_work, now_s)
            if is_present or is_inherited:
                task.run = max(task.run, end.run)
                self._apply_unsuccessful_end(view, job, task, end, now_s)
        version = self._tracker.versions[end.task.job]
        waits_for = None if version == before else end.task.job
        view.pending.append(PendingEnd(end.number, waits_for, version))

    def _apply_done(
        self, view: WorkerView, job: Job, task: Task, run: int, now_s: float
    ) -> None:
        view.record_success(now_s)
        if task.spec.is_long_running:
            # A long-running task must not end by itself, so it is run again.
            if task.worker == view.worker.worker:
                self._tracker.unplace(task, now_s)
            return
        members = [task]
        if task.spec.is_gang:
            members = job.steps[task.key.occurrence, task.key.step]
        for member in members:
            self._release_done(view, member, run, now_s)
            self._finish(job, member, now_s)

    def _release_done(
        self, view: WorkerView, task: Task, run: int, now_s: float
    ) -> None:
        """Release a task of which a worker reported that run `run` is done.

        Another run of it, or of a member of its gang elsewhere, takes its room until
        the report of its own worker shows that it is gone. A start that no report has
        shown yet may still be carried out.
        """
        other = self._tracker.workers.get(task.worker) if task.worker else None
        if other is None:
            return
        other.release(task)
        if other is view and task.run == run:
            return
        other.add_stray(task.key, StrayRun.of_task(task, task.run))
        if task.may_be_started and task.running_s is None:
            other.late_starts[task.key, task.run] = now_s + LATE_START_S

    def _finish(self, job: Job, task: Task, now_s: float) -> None:
        if self._tracker.on_task_done is not None and task.running_s is not None:
            self._tracker.on_task_done(job, task, now_s)
        if job.mark_done(task):
            self._tracker.mark_dirty(job)
            if job.is_step_done(task.key.occurrence, task.key.step):
                job.start_wait_of_dependents(task.key.occurrence, task.key.step, now_s)

    def _count_failure(
        self,
        view: WorkerView,
        job: Job,
        task: Task,
        end: EndedRun,
        was_at_work: bool,
        now_s: float,
    ) -> None:
        """Count a failed run against its task, and against its worker.

        Tasks that last may fail at any time. One that was at work does not show that
        the worker is at fault, and none ends done there, which would clear it.
        """
        if end.end is not RunEnd.FAILED:
            return
        if job.mark_failed(task, end.run, view.worker.worker):
            self._tracker.mark_dirty(job)
        if task.spec.is_long_running and was_at_work:
            return
        is_at_fault = view.record_failure(job.spec.job)
        if is_at_fault and self._may_set_aside(view, now_s):
            view.set_aside(now_s)
            _LOGGER.warning(
                "dispatch: a worker is set aside",
                extra={"worker": view.worker.worker, "reason": "its runs fail"},
            )

    def _may_set_aside(self, view: WorkerView, now_s: float) -> bool:
        """Return whether half of a pool's workers stay in use without this one.

        Failures on more of them have a cause that the runs share.
        """
        serving = [
            other
            for other in self._tracker.workers.values()
            if other.worker.pool == view.worker.pool
            and other.obstacle(now_s, math.inf) in (None, Obstacle.SET_ASIDE)
        ]
        set_aside = sum(now_s < other.set_aside_until_s for other in serving)
        return set_aside + 1 <= len(serving) / 2

    def _apply_unsuccessful_end(
        self, view: WorkerView, job: Job, task: Task, end: EndedRun, now_s: float
    ) -> None:
        if end.checkpoint and task.phase is not TaskPhase.DONE:
            task.checkpoint = end.checkpoint
            self._tracker.mark_dirty(job)
        if end.end is not RunEnd.STOPPED or job.state.is_final:
            _LOGGER.info(
                "dispatch: a run ended early",
                extra={
                    "task": task.key.name,
                    "run": end.run,
                    "end": end.end.value,
                    "worker": view.worker.worker,
                    "failures": task.failures,
                    "job_state": job.state.value,
                },
            )
        self._tracker.unplace(task, now_s)
