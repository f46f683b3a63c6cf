"""Simulate a pool with tasks that crash each worker that starts them."""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.models import (
    EndedRun,
    Resources,
    RunEnd,
    RunningRun,
    RunReport,
    TaskKey,
)
from jayshunt.dispatch.placing import plan_placements
from jayshunt.dispatch.records import apply_progress, encode_progress
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Job
from jayshunt.dispatch.tests.builders import POOL, build_job, build_step, build_worker
from jayshunt.ids import Revision, VmId

TICK_S = 0.05
POLL_S = 0.25
DOWN_S = 3.0
LEASE_S = 7.0
SILENT_S = 2.2
REVISIONS_PER_TERM = 100


@dataclass
class CrashingVm:
    """Run one VM: its life, its runs with their ends, and when it is back."""

    vm: str
    life: int = 0
    started: dict[TaskKey, tuple[int, float]] = field(default_factory=dict)
    ends: list[EndedRun] = field(default_factory=list)
    last_end: int = 0
    back_s: float | None = None

    @property
    def worker(self) -> str:
        """Return the id of the current life."""
        return f"{self.vm}-{self.life}"


class CrashingPool:
    """Place the jobs of one pool on VMs that crash under some tasks.

    `deadly` are the tasks that crash a worker `crash_after_s` after their start; if not
    `answers_starts`, they do so before the worker answers.
    `starts`, `crashes` and `losses` count the starts of each task, the workers that it
    crashed and its runs that were lost with a worker. The dispatcher ends together with
    the crashes whose numbers are in `unseen`, before it stores any sign of them.
    """

    def __init__(
        self,
        vms: int,
        jobs: list[Job],
        deadly: set[TaskKey],
        crash_after_s: float = 0.01,
        answers_starts: bool = True,
        unseen: Collection[int] = (),
    ) -> None:
        """Start with idle VMs."""
        self.now_s = 0.0
        self.jobs = jobs
        self.deadly = deadly
        self.crash_after_s = crash_after_s
        self.answers_starts = answers_starts
        self.unseen = unseen
        self._is_term_over = False
        self.starts: Counter[TaskKey] = Counter()
        self.crashes: Counter[TaskKey] = Counter()
        self.losses: Counter[TaskKey] = Counter()
        self.vms = {f"vm{n}": CrashingVm(f"vm{n}") for n in range(vms)}
        self.term = 0
        self.new_term()

    def new_term(self, is_orderly: bool = False) -> None:
        """Start a term that knows what the last one stored.

        An orderly end first stores what was just started.
        """
        if is_orderly:
            self.tracker.crashes.record_term_end(self.tracker.workers.values())
        self.term += 1
        self.term_started_s = self.now_s
        stored = [(job, encode_progress(job)) for job in self.jobs]
        self.jobs = []
        for job, progress in stored:
            read = Job(job.spec, job.config, job.accepted_s, is_inherited=self.term > 1)
            apply_progress(read, progress)
            self.jobs.append(read)
        self.tracker = RunTracker(Revision(self.term * REVISIONS_PER_TERM))
        for job in self.jobs:
            self.tracker.add_job(job)
        for vm in self.vms.values():
            self._add_view(vm)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end_s = self.now_s + seconds
        polls = 0
        while self.now_s < end_s:
            self.now_s += TICK_S
            polls += 1
            for vm in self.vms.values():
                self._advance(vm)
                if polls * TICK_S % POLL_S < TICK_S and not self._is_term_over:
                    self._poll(vm)
            if not self._is_term_over:
                self._place()
            if self._is_term_over:
                self._is_term_over = False
                self.new_term()

    def view(self, vm: CrashingVm) -> WorkerView | None:
        """Return the dispatcher's view of a VM's current life."""
        return self.tracker.workers.get(vm.worker)

    def _add_view(self, vm: CrashingVm) -> None:
        worker = build_worker(vm.worker, vm=VmId(vm.vm), started_ms=vm.life + 1)
        view = WorkerView(worker, self.now_s)
        view.record_clock(0, self.now_s)
        self.tracker.add_view(view)

    def _advance(self, vm: CrashingVm) -> None:
        if vm.back_s is not None and self.now_s >= vm.back_s:
            old = self.view(vm)
            vm.back_s = None
            vm.life += 1
            if old is not None:
                self.tracker.remove_worker(old, self.now_s, WorkerEnd.RESTARTED)
            self._add_view(vm)
            return
        for task, (run, until_s) in list(vm.started.items()):
            if task in self.deadly and self.now_s >= until_s:
                self._crash(vm, task)
                return
            if self.now_s >= until_s:
                del vm.started[task]
                vm.last_end += 1
                vm.ends.append(EndedRun(vm.last_end, task, run, RunEnd.DONE))

    def _crash(self, vm: CrashingVm, task: TaskKey) -> None:
        self.crashes[task] += 1
        self.losses.update(list(vm.started))
        vm.started, vm.ends, vm.last_end = {}, [], 0
        view = self.view(vm)
        if self.crashes.total() in self.unseen:
            self._is_term_over = True
        elif view is not None:
            self.tracker.crashes.record_failing(view)
            view.is_failing = True
        vm.back_s = self.now_s + DOWN_S

    def _poll(self, vm: CrashingVm) -> None:
        view = self.view(vm)
        if view is None:
            return
        if vm.back_s is not None:
            self.tracker.crashes.record_silent(view)
            return
        running = tuple(
            RunningRun(t, run, "", 100) for t, (run, _) in vm.started.items()
        )
        report = RunReport(int(self.now_s * 1000), vm.life + 1, running, tuple(vm.ends))
        self.tracker.apply_run_report(view, report, self.now_s, self.now_s)

    def _knows_all_runs(self) -> bool:
        """Return whether each worker answered or its lease is over."""
        views = self.tracker.workers.values()
        return self.now_s - self.term_started_s > LEASE_S or all(
            view.last_answer_s is not None for view in views
        )

    def _may_start(self) -> Callable[[Job], bool]:
        """Return a filter that holds back inherited jobs while runs are unknown."""
        is_known = self._knows_all_runs()
        return lambda job: is_known or not job.is_inherited

    def _place(self) -> None:
        may_start = self._may_start()
        self.tracker.crashes.start_wait_of_inherited(may_start, self.now_s)
        candidates = [
            view.as_candidate(self.now_s, False, False, has_suspects=True)
            for view in self.tracker.workers.values()
            if view.is_usable(self.now_s, SILENT_S)
        ]
        for placement in plan_placements(
            self.jobs, {POOL: candidates}, self.now_s, may_start
        ):
            task = placement.task
            view = self.tracker.workers[placement.worker]
            run = self.tracker.next_run(task)
            self.tracker.record_order(task, view, run, self.now_s)
            vm = self.vms[view.worker.vm]
            if vm.back_s is not None:
                self.tracker.record_not_started(task, run, self.now_s)
                continue
            is_deadly = task.key in self.deadly
            took_s = self.crash_after_s if is_deadly else task.spec.estimate_ms / 1000
            vm.started[task.key] = (run, self.now_s + took_s)
            self.starts[task.key] += 1
            self.tracker.record_sent(task, self.now_s)
            if is_deadly and not self.answers_starts:
                self.tracker.stop(task)
            else:
                self.tracker.record_start_accepted(task, run, self.now_s)
            if is_deadly and self.crash_after_s < TICK_S:
                self._crash(vm, task.key)


def build_jobs(count: int, tasks: int = 4, estimate_ms: int = 1_000) -> list[Job]:
    """Return jobs of one step each, whose tasks take six cores."""
    step = build_step(
        task_count=tasks, estimate_ms=estimate_ms, resources=Resources(6_000, 4_000)
    )
    return [build_job(step, number=0x100 + n) for n in range(count)]
