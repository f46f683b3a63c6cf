"""Decide which VMs move between pools, without network or clock.

The load that it answers: each pool in turn is asked several times its mean for
about eight seconds, more than its own VMs hold, and next to nothing in between. A
VM costs as long as it is in a pool that is not spare, a move costs about as much
as one second in a pool, and takes about two.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass, field

from jayshunt.dispatch.fleet import WorkerView, is_unheard
from jayshunt.dispatch.models import FleetConfig, Resources, StepSpec
from jayshunt.dispatch.tasks import Job
from jayshunt.dispatch.vms import Vm, VmState
from jayshunt.ids import JobId, PoolName, QueueName, VmId

# Part of a VM that packing fills before tasks no longer fit.
PACKED_PART = 0.85
# What a pool keeps free for its next jobs: about two wide jobs, in VMs.
IDLE_FREE_VMS = 1.5
# Arrivals of these times tell how much work comes in. The longest is about as long
# as a move takes; short ones show the rise of a burst while it is still young.
RATE_WINDOWS_S = (0.4, 0.8, 1.5)
# Jobs come unevenly, and a rising demand is met for the time at which a VM ordered
# now is there.
HEADROOM = 1.2
# Part of the waiting work that VMs are fetched for: the rest fits in before they come.
WAITING_PART = 0.5
# What a pool needed at any time within this span it keeps: two moves cost as much
# as a VM costs in that time.
KEEP_S = 2.0
# A worker that did not answer for this long is no capacity.
SILENT_S = 2.5


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """Hold what a pool has and needs, in VMs."""

    pool: PoolName
    present: int
    needed: int

    @property
    def lacking(self) -> int:
        """Return how many VMs are missing; negative for a surplus."""
        return self.needed - self.present


@dataclass
class PoolDemand:
    """Hold what the tasks of a pool take and wait for.

    `spread_vms` is how many VMs the widest long-running step needs, as only some
    of its tasks may share one.
    """

    long_running: Resources = Resources()
    placed: Resources = Resources()
    waiting: Resources = Resources()
    vms_with_long_running: set[VmId] = field(default_factory=set)
    spread_vms: int = 0


@dataclass
class PoolSizer:
    """Own what was learned of the pools' demand; times are steady seconds.

    `predict_ms` tells how long a task of a step is likely to run.
    """

    predict_ms: Callable[[QueueName, StepSpec], float] = lambda _, s: s.estimate_ms
    arrivals: dict[PoolName, deque] = field(default_factory=dict)
    counted: set[JobId] = field(default_factory=set)
    recent_needs: dict[PoolName, deque] = field(default_factory=dict)
    needs: dict[PoolName, PoolNeed] = field(default_factory=dict)

    def decide(
        self,
        config: FleetConfig,
        jobs: Iterable[Job],
        vms: dict[VmId, Vm],
        views: dict[VmId, WorkerView],
        being_emptied: set[VmId],
        now_s: float,
        max_moves: int,
        held: Set[VmId] = frozenset(),
    ) -> list[tuple[VmId, PoolName]]:
        """Return the moves to begin now, at most `max_moves`; none of VMs held."""
        spare = {pool.pool for pool in config.pools if pool.is_spare}
        if not spare:
            return []
        demands = self._demands(jobs, views, now_s)
        present = _present(vms, views, being_emptied, now_s)
        pools = [pool.pool for pool in config.pools if not pool.is_spare]
        self.needs = {
            pool: self._need(pool, demands, present, vms, now_s) for pool in pools
        }
        idle = _idle_vms(vms, views, being_emptied | held, spare, now_s)
        moves = self._fetch(idle, spare)
        moves += self._give_back(idle, spare, {vm for vm, _ in moves}, now_s)
        return moves[:max_moves]

    def surplus_cores(self, vms: dict[VmId, Vm]) -> float:
        """Return the cores of VMs that their pools do not need at the moment."""
        return sum(
            -need.lacking * _vm_size(vms, need.pool).cpu_millicores / 1000
            for need in self.needs.values()
            if need.lacking < 0
        )

    def _demands(
        self,
        jobs: Iterable[Job],
        views: dict[VmId, WorkerView],
        now_s: float,
    ) -> dict[PoolName, PoolDemand]:
        demands: dict[PoolName, PoolDemand] = {}
        for vm, view in views.items():
            if not view.tasks:
                continue
            demand = demands.setdefault(view.worker.pool, PoolDemand())
            demand.long_running += view.load.lasting
            demand.placed += view.load.reserved - view.load.lasting
            if view.load.long_running:
                demand.vms_with_long_running.add(vm)
        for job in jobs:
            if job.state.is_final:
                continue
            self._count_arrival(job, now_s)
            spread_vms = _spread_vms(job)
            if spread_vms:
                demand = demands.setdefault(job.config.pool, PoolDemand())
                demand.spread_vms = max(demand.spread_vms, spread_vms)
            due = job.ready_tasks()
            if due:
                demand = demands.setdefault(job.config.pool, PoolDemand())
                for task in due:
                    demand.waiting += task.spec.reserved
        return demands

    def _count_arrival(self, job: Job, now_s: float) -> None:
        if job.spec.is_long_running or job.spec.job in self.counted:
            return
        self.counted.add(job.spec.job)
        seen = self.arrivals.setdefault(job.config.pool, deque())
        work = sum(
            step.reserved.cpu_millicores
            * step.task_count
            * self.predict_ms(job.spec.queue, step)
            / 1000
            for step in job.spec.steps
        )
        seen.append((now_s, work))

    def _arriving_millicores(self, pool: PoolName, now_s: float) -> float:
        """Return the room that is in use on average if jobs go on coming like this.

        The highest rate of several windows counts. Few arrivals say little, so that
        the rate of a window is lowered by its standard error.
        """
        seen = self.arrivals.get(pool)
        if not seen:
            return 0.0
        while seen and seen[0][0] < now_s - RATE_WINDOWS_S[-1]:
            seen.popleft()
        return max(_rate(seen, window_s, now_s) for window_s in RATE_WINDOWS_S)

    def _need(
        self,
        pool: PoolName,
        demands: dict[PoolName, PoolDemand],
        present: dict[PoolName, list[Vm]],
        vms: dict[VmId, Vm],
        now_s: float,
    ) -> PoolNeed:
        demand = demands.get(pool, PoolDemand())
        size = _vm_size(vms, pool)
        arriving = self._arriving_millicores(pool, now_s)
        now_millicores = (
            demand.placed.cpu_millicores + WAITING_PART * demand.waiting.cpu_millicores
        )
        busy = max(now_millicores, HEADROOM * arriving)
        cpu = demand.long_running.cpu_millicores + busy
        memory = (demand.long_running + demand.placed + demand.waiting).memory_mb
        by_cpu = cpu / (PACKED_PART * size.cpu_millicores)
        by_memory = memory / (PACKED_PART * size.memory_mb)
        idle_need = (
            IDLE_FREE_VMS + demand.long_running.cpu_millicores / size.cpu_millicores
        )
        needed = math.ceil(max(by_cpu, by_memory, idle_need))
        needed = max(needed, len(demand.vms_with_long_running), demand.spread_vms)
        return PoolNeed(pool, len(present.get(pool, ())), needed)

    def _needed_lately(self, need: PoolNeed, now_s: float) -> int:
        """Return the most that a pool needed within the last time."""
        recent = self.recent_needs.setdefault(need.pool, deque())
        recent.append((now_s, need.needed))
        while recent[0][0] < now_s - KEEP_S:
            recent.popleft()
        return max(needed for _, needed in recent)

    def _fetch(
        self, idle: dict[PoolName, list[VmId]], spare: set[PoolName]
    ) -> list[tuple[VmId, PoolName]]:
        """Give pools that lack VMs the surplus of others first, then spare ones."""
        moves: list[tuple[VmId, PoolName]] = []
        lacking = sorted(
            (need for need in self.needs.values() if need.lacking > 0),
            key=lambda need: -need.lacking,
        )
        for need in lacking:
            sources = [
                p for p, other in self.needs.items() if other.lacking < 0
            ] + sorted(spare)
            for source in sources:
                limit = need.lacking - sum(pool == need.pool for _, pool in moves)
                if source in self.needs:
                    given = sum(vm in idle.get(source, ()) for vm, _ in moves)
                    limit = min(limit, -self.needs[source].lacking - given)
                taken = {vm for vm, _ in moves}
                free = [vm for vm in idle.get(source, ()) if vm not in taken]
                moves += [(vm, need.pool) for vm in free[: max(0, limit)]]
        return moves

    def _give_back(
        self,
        idle: dict[PoolName, list[VmId]],
        spare: set[PoolName],
        taken: set[VmId],
        now_s: float,
    ) -> list[tuple[VmId, PoolName]]:
        """Return VMs to the spare pool that were not needed lately."""
        moves: list[tuple[VmId, PoolName]] = []
        target = min(spare)
        for pool, need in self.needs.items():
            surplus = need.present - self._needed_lately(need, now_s)
            free = [vm for vm in idle.get(pool, ()) if vm not in taken]
            given = sum(vm in taken for vm in idle.get(pool, ()))
            count = max(0, surplus - given)
            moves += [(vm, target) for vm in free[:count]]
        return moves


def _spread_vms(job: Job) -> int:
    """Return how many VMs a long-running job has to be spread over."""
    if not job.spec.is_long_running:
        return 0
    return max(
        math.ceil(step.task_count / step.max_per_worker) if step.max_per_worker else 0
        for step in job.spec.steps
    )


def _rate(seen: Iterable[tuple[float, float]], window_s: float, now_s: float) -> float:
    """Return the work a second that came in a window, less its standard error."""
    works = [work for at_s, work in seen if at_s >= now_s - window_s]
    if not works:
        return 0.0
    is_longest = window_s == RATE_WINDOWS_S[-1]
    certain_part = 1.0 if is_longest else 1.0 - 1.0 / math.sqrt(len(works))
    return certain_part * sum(works) / window_s


def _vm_size(vms: dict[VmId, Vm], pool: PoolName) -> Resources:
    """Return the size of a usual VM of a pool."""
    sizes = [vm.capacity for vm in vms.values() if vm.pool == pool] or [
        vm.capacity for vm in vms.values()
    ]
    if not sizes:
        return Resources(64_000, 131_072)
    sizes.sort(key=lambda size: (size.cpu_millicores, size.memory_mb))
    size = sizes[len(sizes) // 2]
    return Resources(max(1, size.cpu_millicores), max(1, size.memory_mb))


def _present(
    vms: dict[VmId, Vm],
    views: dict[VmId, WorkerView],
    being_emptied: set[VmId],
    now_s: float,
) -> dict[PoolName, list[Vm]]:
    """Return the VMs that serve a pool now or in a moment."""
    present: dict[PoolName, list[Vm]] = {}
    for vm in vms.values():
        if vm.vm in being_emptied:
            continue
        view = views.get(vm.vm)
        is_coming = vm.state in (VmState.MOVING, VmState.UPKEEP)
        is_serving = (
            vm.state is VmState.UP
            and view is not None
            and not view.is_draining
            and view.last_answer_s is not None
            and now_s - view.last_answer_s <= SILENT_S
        )
        if is_coming or is_serving:
            present.setdefault(vm.pool, []).append(vm)
    return present


def _idle_vms(
    vms: dict[VmId, Vm],
    views: dict[VmId, WorkerView],
    being_emptied: set[VmId],
    spare: set[PoolName],
    now_s: float,
) -> dict[PoolName, list[VmId]]:
    """Return the VMs without a task by pool; those that are off count as well."""
    idle: dict[PoolName, list[VmId]] = {}
    for vm in sorted(vms.values(), key=lambda vm: vm.vm):
        if vm.vm in being_emptied or vm.state is not VmState.UP:
            continue
        view = views.get(vm.vm)
        is_off = vm.pool in spare and is_unheard(view)
        if (
            not is_off
            and view is not None
            and (
                not view.is_surely_empty(now_s)
                or view.is_draining
                or view.duty is not None
            )
        ):
            continue
        idle.setdefault(vm.pool, []).append(vm.vm)
    return idle
