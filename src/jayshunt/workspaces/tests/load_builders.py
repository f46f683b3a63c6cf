"""Play the load of one hot workspace among twenty against orders of placement."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace

from jayshunt.dispatch.free_capacity import CandidateWorker
from jayshunt.dispatch.models import Bounds, FleetConfig, Resources, Workspace
from jayshunt.dispatch.placement_policy import PlacementPolicy
from jayshunt.dispatch.placing import plan_placements, prioritize_jobs
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.dispatch.tests.builders import (
    POOL,
    build_config,
    build_step,
    build_worker,
)
from jayshunt.ids import WorkspaceName
from jayshunt.workspaces.control import WorkspaceControl
from jayshunt.workspaces.limits import WorkspaceLimits
from jayshunt.workspaces.tests.limit_builders import HOT, build_workspace_job
from jayshunt.workspaces.usage import WorkspaceUsage

TICK_S = 0.05
SUBMIT_END_S = 10.0
END_S = 13.0
BURST_S = (2.0, 8.5)
BURST_FACTOR = 7.5
WORKERS = 10
WORKER_SIZE = Resources(16_000, 65_536)
STEP = build_step(resources=Resources(2_000, 1_024), estimate_ms=800)
# Jobs a second. All together use four fifths of the pool.
RATES = {HOT: 20.0, **{WorkspaceName(f"w{n:02}"): 60 / 19 for n in range(19)}}


class PlayedLoad:
    """Play ten seconds in which a workspace submits 7.5 times its rate for 6.5 s."""

    def __init__(self) -> None:
        """Start with an idle pool of ten workers of 16 cores."""
        self.rng = random.Random(7)
        self.tracker = SimpleNamespace(usage=WorkspaceUsage(), jobs={})
        self.candidates = [
            CandidateWorker(build_worker(f"w{n}", capacity=WORKER_SIZE), WORKER_SIZE)
            for n in range(WORKERS)
        ]
        workspaces = tuple(Workspace(w, weight=rate) for w, rate in RATES.items())
        self.config = replace(build_config(), workspaces=workspaces)
        self.control = WorkspaceControl(
            SimpleNamespace(tracker=self.tracker, handoff=None), self._config, Bounds()
        )
        self.waiting: list[Job] = []
        self.running: list[tuple] = []
        self.submitted: Counter[WorkspaceName] = Counter()
        self.in_time: Counter[WorkspaceName] = Counter()

    def _config(self) -> FleetConfig:
        return self.config

    def play(
        self, policy: Callable[["PlayedLoad", float], PlacementPolicy]
    ) -> dict[WorkspaceName, float]:
        """Return each workspace's share of jobs in time."""
        for tick in range(int(END_S / TICK_S)):
            now_s = tick * TICK_S
            self._end_runs(now_s)
            if now_s < SUBMIT_END_S:
                self._submit(now_s)
            candidates = {POOL: self.candidates}
            for placement in plan_placements(
                self.waiting, candidates, now_s, policy=policy(self, now_s)
            ):
                self._start(placement, now_s)
            self.waiting = [job for job in self.waiting if job.ready_tasks()]
        return {w: self.in_time[w] / self.submitted[w] for w in RATES}

    def _submit(self, now_s: float) -> None:
        for workspace, rate in RATES.items():
            if workspace == HOT and BURST_S[0] <= now_s < BURST_S[1]:
                rate *= BURST_FACTOR
            for _ in range(int(rate * TICK_S + self.rng.random())):
                number = sum(self.submitted.values()) + 1
                job = build_workspace_job(
                    STEP, workspace=workspace, number=number, accepted_s=now_s
                )
                self.submitted[workspace] += 1
                self.waiting.append(job)
                self.control.record_added(job)

    def _start(self, placement, now_s: float) -> None:
        task = placement.task
        task.phase = TaskPhase.RUNNING
        spec = task.spec
        self.tracker.usage.add(POOL, task.workspace, spec.resources, spec.reserved)
        job = next(job for job in self.waiting if job.spec.job == task.key.job)
        worker = int(placement.worker[1:])
        self.running.append((now_s + 0.8, worker, task, job))

    def _end_runs(self, now_s: float) -> None:
        for end_s, worker, task, job in self.running:
            if end_s > now_s:
                continue
            spec = task.spec
            self.candidates[worker].release(task)
            self.tracker.usage.remove(
                POOL, task.workspace, spec.resources, spec.reserved
            )
            self.in_time[task.workspace] += end_s <= job.deadline_s
        self.running = [run for run in self.running if run[0] > now_s]


def by_share(load: PlayedLoad, now_s: float) -> PlacementPolicy:
    """Return the order by shares and rates."""
    load.control.start_gate([], now_s)
    candidates = {POOL: load.candidates}
    return PlacementPolicy(
        load.control.order(prioritize_jobs, load.waiting, candidates)
    )


def first_come_first_served(load: PlayedLoad, now_s: float) -> PlacementPolicy:
    """Return the order of acceptance."""
    return PlacementPolicy(lambda jobs, _: sorted(jobs, key=lambda j: j.accepted_s))


def by_deadline(load: PlayedLoad, now_s: float) -> PlacementPolicy:
    """Return the order without workspaces."""
    return PlacementPolicy(prioritize_jobs)


def static_split(load: PlayedLoad, now_s: float) -> PlacementPolicy:
    """Return the order of acceptance, with a fixed part of the pool for each."""
    cores = WORKERS * WORKER_SIZE.cpu_millicores
    total = sum(RATES.values())
    limits = {
        workspace: Resources(max(2_000, int(cores * rate / total)))
        for workspace, rate in RATES.items()
    }
    gate = WorkspaceLimits(limits, load.tracker.usage)
    return replace(first_come_first_served(load, now_s), gate=gate)
