"""Play a load on simulated workers and measure how callers fare; tests only."""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from jayshunt.dispatch.free_capacity import due_jobs
from jayshunt.dispatch.placement_policy import PlacementPolicy
from jayshunt.dispatch.placing import plan_placements
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.dispatch.tests.builders import POOL
from jayshunt.overload.const import USEFUL_FACTOR
from jayshunt.overload.models import PoolRoom
from jayshunt.overload.service_order import ServiceOrder, core_seconds

ROUND_S = 0.02
DRAIN_S = 12.0
# Time from a placement to the start of the run, and from its end to the stored end.
OVERHEAD_S = 0.1
# Standard deviation of the logarithm of run times.
RUN_SIGMA = 0.15


@dataclass
class Result:
    """Store which jobs were in time and which were of use, from their submission.

    `refusals` counts how often each caller was refused.
    """

    in_time: set = field(default_factory=set)
    of_use: set = field(default_factory=set)
    refusals: dict = field(default_factory=lambda: defaultdict(int))

    def share(self, jobs: Iterable[Job]) -> float:
        """Return the share of jobs that were in time."""
        found = list(jobs)
        done = sum(id(job) in self.in_time for job in found)
        return done / len(found) if found else 1.0

    def worst(self, jobs: list[Job], key: Callable[[Job], object], least=20) -> float:
        """Return the lowest share of the groups of at least `least` jobs."""
        groups = defaultdict(list)
        for job in jobs:
            groups[key(job)].append(job)
        return min(self.share(g) for g in groups.values() if len(g) >= least)

    def report(self, jobs: list[Job]) -> dict[str, float]:
        """Return the measures by which orders are compared."""
        jobs = [job for job in jobs if not job.spec.is_long_running]
        return {
            "all": self.share(jobs),
            "second": self.worst(jobs, lambda job: int(job.accepted_s)),
            "queue": self.worst(jobs, lambda job: job.spec.queue),
            "large": self.share(largest_tenths(jobs)),
        }


def largest_tenths(jobs: list[Job]) -> list[Job]:
    """Return the largest tenth of the jobs of each queue."""
    queues = defaultdict(list)
    for job in jobs:
        queues[job.spec.queue].append(job)
    found: list[Job] = []
    for group in queues.values():
        group.sort(key=core_seconds)
        found += group[-max(1, len(group) // 10) :]
    return found


def serve_in_order(jobs: Iterable[Job], now_s: float) -> list[Job]:
    """Return jobs first come first served, long-running ones first."""
    return sorted(jobs, key=lambda j: (not j.spec.is_long_running, j.accepted_s))


class LoadPlayer:
    """Place the tasks of a load on workers that run them for their run times."""

    def __init__(self, jobs: list[Job], workers: list, seed: int = 1) -> None:
        """Start with idle workers.

        `split` gives each queue workers of its own. Nothing starts or is seen to end
        between the two times of `stopped_s`. `admit` returns after how many seconds a
        caller may return, 0 if its job is accepted.
        """
        self.jobs = jobs
        self.workers = workers
        self.order: ServiceOrder | None = None
        self.policy = PlacementPolicy(serve_in_order)
        self.admit: Callable[[Job, list[Job], float], float] = lambda *_: 0.0
        self.split: dict | None = None
        self.stopped_s: tuple[float, float] = (0.0, 0.0)
        self.result = Result()
        self._rng = random.Random(seed)
        self._by_name = {worker.worker.worker: worker for worker in workers}
        self._running: list[tuple] = []

    def use(self, order: ServiceOrder) -> "LoadPlayer":
        """Place by the order under overload."""
        self.order, self.policy = order, PlacementPolicy(order.order)
        return self

    def play(self) -> dict[str, float]:
        """Play the load to its end and return its measures."""
        arriving = [(job.accepted_s, n, job) for n, job in enumerate(self.jobs)]
        active: dict[str, Job] = {}
        now_s = 0.0
        end_s = self.jobs[-1].accepted_s + DRAIN_S
        while now_s < end_s:
            while arriving and arriving[0][0] <= now_s:
                at_s, n, job = heapq.heappop(arriving)
                after_s = self.admit(job, list(active.values()), now_s)
                if after_s > 0:
                    self.result.refusals[job.spec.job] += 1
                    heapq.heappush(arriving, (at_s + after_s, n, job))
                else:
                    active[job.spec.job] = job
            self._end_runs(active, now_s)
            if not self.stopped_s[0] <= now_s < self.stopped_s[1]:
                self._round(list(active.values()), now_s)
            now_s += ROUND_S
        return self.result.report(self.jobs)

    def _round(self, active: list[Job], now_s: float) -> None:
        jobs = due_jobs(active)
        if self.order is not None:
            free = sum(w.free.cpu_millicores for w in self.workers) / 1000
            cores = sum(w.worker.capacity.cpu_millicores for w in self.workers) / 1000
            self.order.begin_round(jobs, {POOL: PoolRoom(cores, free)}, now_s)
        for group, workers in self._parts(jobs):
            for placement in plan_placements(
                group, {POOL: workers}, now_s, policy=self.policy
            ):
                self._start(placement, now_s)

    def _parts(self, jobs: list[Job]) -> list[tuple[list[Job], list]]:
        if self.split is None:
            return [(jobs, self.workers)]
        return [
            ([job for job in jobs if job.spec.queue == queue], workers)
            for queue, workers in self.split.items()
        ]

    def _start(self, placement, now_s: float) -> None:
        task = placement.task
        task.phase = TaskPhase.RUNNING
        if task.spec.is_long_running:
            return
        run_s = task.spec.estimate_ms / 1000 * self._rng.lognormvariate(0, RUN_SIGMA)
        end_s = now_s + OVERHEAD_S + run_s
        entry = (end_s, len(self._running), self._rng.random(), placement)
        heapq.heappush(self._running, entry)

    def _end_runs(self, active: dict, now_s: float) -> None:
        while self._running and self._running[0][0] <= now_s:
            end_s, _, _, placement = heapq.heappop(self._running)
            self._by_name[placement.worker].release(placement.task)
            job = active[placement.task.key.job]
            job.mark_done(placement.task)
            if job.state.is_final:
                del active[job.spec.job]
                objective_s = job.deadline_s - job.accepted_s
                if end_s <= job.deadline_s:
                    self.result.in_time.add(id(job))
                if end_s <= job.accepted_s + USEFUL_FACTOR * objective_s:
                    self.result.of_use.add(id(job))


def best_in_hindsight(jobs: list[Job], cores: float) -> dict[str, float]:
    """Return the measures of an order that knows all jobs before they are submitted.

    The smallest jobs are taken first, each if its work still fits between its
    submission and its deadline beside the others; cores are divisible and runs have
    no overhead. This bounds what an order without that knowledge can reach.
    """
    slots: dict[int, float] = defaultdict(lambda: cores * 0.1)
    result = Result()
    for job in sorted(jobs, key=core_seconds):
        if job.spec.is_long_running:
            continue
        window = range(int(job.accepted_s * 10), int(job.deadline_s * 10))
        left = core_seconds(job)
        taken = {}
        for slot in window:
            taken[slot] = min(left, slots[slot])
            left -= taken[slot]
        if left <= 1e-9:
            result.in_time.add(id(job))
            for slot, amount in taken.items():
                slots[slot] -= amount
    return result.report(jobs)
