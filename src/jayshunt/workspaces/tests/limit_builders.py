"""Build jobs of workspaces, and simulate terms that keep to their limits."""

import math
import threading
from collections import defaultdict
from dataclasses import replace
from types import SimpleNamespace

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.inherited_starts import InheritedStarts
from jayshunt.dispatch.models import (
    Bounds,
    FleetConfig,
    Resources,
    RunEnd,
    StartOrder,
    StepSpec,
    Workspace,
)
from jayshunt.dispatch.planner import Planner
from jayshunt.dispatch.records import apply_progress, encode_progress
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Job
from jayshunt.dispatch.tests import test_interleavings
from jayshunt.dispatch.tests.builders import (
    build_config,
    build_queue,
    build_spec,
    build_step,
    build_worker,
)
from jayshunt.ids import ConfigVersion, JobId, Revision, WorkspaceName
from jayshunt.workspaces.usage import WorkspaceUsage

HOT = WorkspaceName("hot")
COLD = WorkspaceName("cold")
CAPACITY = Resources(4_000, 16_384)
STEPS = (
    (build_step(task_count=3),),
    (build_step(task_count=2, is_gang=True),),
    (build_step(task_count=2, fills=True),),
    (build_step(), build_step(task_count=2, after=(0,))),
)


def build_workspace_job(
    *steps: StepSpec,
    workspace: WorkspaceName = HOT,
    number: int = 1,
    accepted_s: float = 0.0,
    queue=None,
    **changes,
) -> Job:
    """Return an accepted job of a workspace."""
    spec = build_spec(*steps, job=JobId(f"{number:016x}"), workspace=workspace)
    return Job(spec, queue or build_queue(), accepted_s, **changes)


def build_limits(version: int = 1, **millicores: int) -> FleetConfig:
    """Return a configuration with workspaces whose processors are limited."""
    workspaces = tuple(
        Workspace(WorkspaceName(name), max_running=Resources(limit))
        for name, limit in millicores.items()
    )
    return replace(
        build_config(), version=ConfigVersion(version), workspaces=workspaces
    )


def recount(tracker: RunTracker) -> WorkspaceUsage:
    """Return the usage, summed over all workers."""
    usage = WorkspaceUsage()
    for view in tracker.workers.values():
        for task in view.tasks.values():
            spec = task.spec
            usage.add(view.pool, task.workspace, spec.resources, spec.reserved)
        for stray in view.strays.values():
            usage.add(view.pool, stray.workspace, stray.resources, stray.reserved)
    return usage


class LimitSimulation(test_interleavings.Simulation):
    """Simulate terms of a planner, with limits that change, against unreliable workers.

    `ceilings` are, by workspace, the millicores that its runs may take: its limit, or
    what may have run when the limit was lowered until that has ended.
    """

    ACTIONS = (
        *("pass_time", "poll_runs", "start", "store", "end_run", "toggle_partition"),
        *("deliver_late", "change_term", "add_job", "cancel_job", "set_limit"),
    )

    def __init__(self, seed: int) -> None:
        """Start the first term with one job."""
        self.jobs: dict[JobId, tuple] = {}
        self.progress: dict[JobId, bytes] = {}
        self.config = build_limits(hot=3_000)
        self.ceilings = {HOT: 3_000}
        self.orders: list = []
        self.free_starts = math.inf
        self.handoff = None
        self.starts = 0
        super().__init__(seed)
        self.add_job()

    def new_term(self) -> None:
        """Start the next term from what is stored."""
        self.token += 100
        self.blocked_until_s = self.now_s + test_interleavings.TERM_S + 5.5
        self.tracker = RunTracker(Revision(self.token))
        for job_id, (steps, workspace) in self.jobs.items():
            job = build_workspace_job(*steps, workspace=workspace, is_inherited=True)
            job = replace(job, spec=replace(job.spec, job=job_id), steps={})
            if job_id in self.progress:
                apply_progress(job, self.progress[job_id])
            self.tracker.add_job(job)
        for name in self.workers:
            self.add_worker_view(name)
        fleet = SimpleNamespace(
            knows_all_workers=lambda views: True,
            may_have_runs=lambda view: True,
            leaves_soon=lambda view: False,
            inventory=SimpleNamespace(listed_s=None),
        )
        self.dispatcher = SimpleNamespace(
            lock=threading.RLock(),
            tracker=self.tracker,
            fleet=fleet,
            sessions=defaultdict(lambda: SimpleNamespace(orders=self)),
            worker_list_read=self.rng.random() < 0.7,
            handoff=self.handoff,
            inherited_runs_end_s=self.blocked_until_s,
            term_confirmed_s=lambda: self.now_s,
            worker_list_age_s=lambda: 0.0,
            notify_changed=lambda: None,
            knows_capacity=lambda pool: True,
            is_store_failing=lambda: False,
            send_stops=self.send_stops,
        )
        starts = self.dispatcher.inherited_starts = InheritedStarts(
            self.dispatcher, self.now_s
        )
        starts.are_complete = True
        for job in self.tracker.jobs.values():
            starts.add_job(job)
        clock = SimpleNamespace(monotonic_s=lambda: self.now_s, now_s=lambda: 0.0)
        self.planner = Planner(
            self.dispatcher, clock, lambda: self.config, Bounds(), None
        )
        self.handoff = None

    def send_stops(self, stops: list) -> None:
        """Fail on a stop order: a limit stops nothing."""
        if stops:
            raise AssertionError(f"unexpected stops: {stops}")

    def add_worker_view(self, name: str) -> WorkerView:
        """Add a worker of four cores to the current term."""
        view = WorkerView(build_worker(name, capacity=CAPACITY), self.now_s)
        view.lease_end_s = self.blocked_until_s
        self.tracker.add_view(view)
        return view

    def add_job(self) -> None:
        """Accept a job."""
        job_id = JobId(f"{len(self.jobs) + 1:016x}")
        workspace = HOT if self.rng.random() < 0.8 else COLD
        self.jobs[job_id] = (self.rng.choice(STEPS), workspace)
        job = build_workspace_job(
            *self.jobs[job_id][0],
            workspace=workspace,
            number=len(self.jobs),
            accepted_s=self.now_s,
            added_s=self.now_s,
        )
        self.tracker.add_job(job)

    def cancel_job(self) -> None:
        """Cancel a job, whose runs get no order to stop before they are reported."""
        self.tracker.cancel(self.rng.choice(list(self.jobs)))

    def set_limit(self) -> None:
        """Raise or lower the limit; usage above it may remain until it ends."""
        limit = self.rng.randrange(1_000, 9_000, 1_000)
        self.config = build_limits(self.config.version + 1, hot=limit)
        self.ceilings[HOT] = max(limit, self.potential())

    def potential(self, with_late: bool = True) -> int:
        """Return the millicores of the hot workspace's runs and delayed orders."""
        keys = [key for worker in self.workers.values() for key in worker.runs]
        keys += [order.task for _, _, order, _ in self.late if with_late]
        return sum(
            self.jobs[key.job][0][key.step].resources.cpu_millicores
            for key in keys
            if self.jobs[key.job][1] == HOT
        )

    def step_action(self, action: str) -> None:
        """Do one action, then check the sum of the tracker."""
        getattr(self, action)()
        limit = self.config.workspaces[0].max_running.cpu_millicores
        self.ceilings[HOT] = max(limit, min(self.ceilings[HOT], self.potential()))
        if recount(self.tracker) != self.tracker.usage:
            self.problems.append("the sum differs from a recount")

    def check_start(self, name: str, task, run: int) -> None:
        """Check a started run against the limit of its workspace."""
        super().check_start(name, task, run)
        self.starts += 1
        if self.potential(with_late=False) > self.ceilings[HOT]:
            self.problems.append(f"{task.name} exceeds {self.ceilings[HOT]}")

    def start(self, item=None) -> None:
        """Run a placement round, or take one of its orders."""
        if item is not None:
            self.orders.append(item)
            return
        self.planner._round()
        orders, self.orders = self.orders, []
        for item in orders:
            self.send(item)

    def pace(self, item) -> None:
        """Ignore a change of pace."""

    def send(self, item) -> None:
        """Send a start; the order or its answer may be lost, or the order be late."""
        task, view = item.task, self.tracker.workers[item.task.worker]
        until_ms = view.lease_until_ms(self.now_s, test_interleavings.LEASE_S)
        view.record_lease(until_ms)
        order = StartOrder(task.key, item.run, "", until_ms)
        name, chance = view.worker.worker, self.rng.random()
        if name in self.partitioned or chance < 0.2:
            self.tracker.stop(task)
            if chance < 0.15:
                at_s = self.now_s + self.rng.uniform(1, 12)
                self.late.append((at_s, name, order, self.token))
            return
        answer = self.workers[name].start(order, self.token)
        if chance < 0.3:
            self.tracker.stop(task)
        elif answer.refusal is None:
            self.now_s += 0.001
            self.tracker.record_start_accepted(task, item.run, self.now_s)
        else:
            self.tracker.record_not_started(task, item.run, self.now_s)

    def end_run(self) -> None:
        """End a random run successfully; a gang ends only if all its tasks run."""
        runs = [(key, w) for w in self.workers.values() for key in w.runs]
        key, worker = self.rng.choice(runs or [(None, None)])
        if key is None:
            return
        if self.jobs[key.job][0][key.step].is_gang:
            members = {other for other, _ in runs if other[:3] == key[:3]}
            if len(members) < self.jobs[key.job][0][key.step].task_count:
                return
        worker.end(key, RunEnd.DONE)

    def store(self) -> None:
        """Store the progress of changed jobs, unless the store is unavailable."""
        if self.rng.random() < 0.3:
            return
        for job_id in self.tracker.dirty:
            job = self.tracker.jobs[job_id]
            self.progress[job_id] = encode_progress(job)
            version = self.tracker.versions[job_id]
            self.tracker.record_stored(job, version, job.state, self.now_s)
        self.tracker.dirty.clear()

    def change_term(self) -> None:
        """Lose the dispatcher, or end its term in order with a handoff."""
        if self.planner.knows_all_runs and self.rng.random() < 0.4:
            for job_id in self.tracker.dirty:
                self.progress[job_id] = encode_progress(self.tracker.jobs[job_id])
            self.handoff = {
                worker: frozenset(names)
                for worker, names in self.tracker.unresolved_tasks().items()
            }
        super().change_term()
