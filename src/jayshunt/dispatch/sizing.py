"""Decide which VMs move between pools; pure functions without network or clock.

The expected load: pools take turns to burst for about eight seconds at several times
their mean, beyond the capacity of their own VMs, and are almost idle in between. A
VM costs for as long as it is in a pool that is not spare. A move costs about as much
as one second in a pool and takes about two seconds.
"""

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass, field

from jayshunt.dispatch.fleet import WorkerView, has_not_answered
from jayshunt.dispatch.label_needs import (
    PoolLabel,
    label_needs,
    match_labels,
    spread_vms,
)
from jayshunt.dispatch.models import FleetConfig, Resources, StepSpec
from jayshunt.dispatch.placement_policy import StartGate
from jayshunt.dispatch.tasks import Job
from jayshunt.dispatch.vms import Vm, VmState
from jayshunt.forecast.forecaster import DemandForecaster
from jayshunt.ids import JobId, PoolName, QueueName, VmId
from jayshunt.workspaces.limits import allowed_tasks

# Fraction of a VM that bin packing fills before tasks no longer fit.
PACKED_FRACTION = 0.85
# Free VMs that a pool keeps for its next jobs: enough for about two jobs with many
# tasks.
IDLE_FREE_VMS = 1.5
# The arrival rate is measured over windows of these lengths. The longest is about as
# long as a move takes; the short ones detect the start of a burst early.
RATE_WINDOWS_S = (0.4, 0.8, 1.5)
# Factor on the arrival rate: jobs arrive unevenly, and rising demand has to be covered
# at the level that it reaches by the time a VM ordered now is available.
HEADROOM = 1.2
# Fraction of the waiting work to get VMs for: the rest starts before they arrive.
WAITING_FRACTION = 0.5
# A pool keeps the VMs that it needed at any time within this span: moving a VM away
# and back costs as much as keeping it for that long.
KEEP_S = 2.0
# Absorbs the rounding of sums of shares before they are rounded down.
SHARE_TOLERANCE = 1e-6
# A worker without an answer for this long does not count as capacity.
SILENT_S = 2.5


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """Compare the VMs that a pool has with those it needs."""

    pool: PoolName
    present: int
    needed: int

    @property
    def shortage(self) -> int:
        """Return the number of missing VMs; negative for a surplus."""
        return self.needed - self.present


@dataclass
class PoolDemand:
    """Sum the resources that a pool's tasks occupy and wait for.

    `placed` leaves out the long-running tasks. `spread_vms` is the number of VMs
    that the widest long-running step needs because of its `max_per_worker`.
    """

    long_running: Resources = Resources()
    placed: Resources = Resources()
    waiting: Resources = Resources()
    vms_with_long_running: set[VmId] = field(default_factory=set)
    spread_vms: int = 0


@dataclass
class PoolSizer:
    """Estimate the demand of pools and choose VM moves; times are monotonic seconds.

    `predict_ms` returns the expected run time of a task of a step. `arrivals` holds,
    by pool, the time of acceptance and the work in millicore seconds of recent jobs, in
    order of time, and `counted` the jobs that were seen. `recent_needs` are the needs
    of the last `KEEP_S` and `needs` those of the last decision. `forecaster` foresees
    demand that has not arrived yet; None if only present demand counts.
    """

    predict_ms: Callable[[QueueName, StepSpec], float] = lambda _, s: s.estimate_ms
    arrivals: dict[PoolName, list[tuple[float, float]]] = field(default_factory=dict)
    forecaster: DemandForecaster | None = None
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
        blocked: Set[VmId] = frozenset(),
        gate: StartGate | None = None,
    ) -> list[tuple[VmId, PoolName]]:
        """Return the moves to begin now, at most `max_moves`.

        VMs in `blocked` may not be ordered yet and are not chosen. Tasks that `gate`
        would not allow to start need no VMs.
        """
        spare = {pool.pool for pool in config.pools if pool.is_spare}
        if not spare:
            return []
        jobs = list(jobs)
        demands = self._demands(jobs, views, now_s, gate)
        present = _present(vms, views, being_emptied, now_s)
        pools = [pool.pool for pool in config.pools if not pool.is_spare]
        self.needs = {
            pool: self._need(
                pool,
                demands.get(pool, PoolDemand()),
                _count_whole(present.get(pool, ()), views),
                vms,
                now_s,
            )
            for pool in pools
        }
        idle = _idle_vms(vms, views, being_emptied | blocked, spare, now_s)
        kept, missing = match_labels(
            label_needs(jobs, WAITING_FRACTION, lambda p: _packed_millicores(vms, p)),
            present,
            {vm for free in idle.values() for vm in free},
            lambda vm, label: label in _labels(vm, views),
        )
        idle = {
            pool: [vm for vm in free if vm not in kept] for pool, free in idle.items()
        }
        moves = self._cover_label_shortages(
            missing, idle, spare, {vm.vm: _labels(vm, views) for vm in vms.values()}
        )
        moves += self._cover_shortages(idle, spare, moves)
        moves += self._return_surplus(idle, spare, {vm for vm, _ in moves}, now_s)
        return moves[:max_moves]

    def surplus_cores(self, vms: dict[VmId, Vm]) -> float:
        """Return the cores of the VMs that their pools do not need now."""
        return sum(
            -need.shortage * _vm_size(vms, need.pool).cpu_millicores / 1000
            for need in self.needs.values()
            if need.shortage < 0
        )

    def _demands(
        self,
        jobs: Iterable[Job],
        views: dict[VmId, WorkerView],
        now_s: float,
        gate: StartGate | None = None,
    ) -> dict[PoolName, PoolDemand]:
        demands: dict[PoolName, PoolDemand] = {}
        for vm, view in views.items():
            if not view.tasks:
                continue
            demand = demands.setdefault(view.worker.pool, PoolDemand())
            demand.long_running += view.load.long_running_reserved
            demand.placed += view.load.reserved - view.load.long_running_reserved
            if view.load.long_running:
                demand.vms_with_long_running.add(vm)
        if gate is not None:
            # The oldest jobs of a workspace use what its limit leaves.
            jobs = sorted(jobs, key=lambda job: job.accepted_s)
        for job in jobs:
            if job.state.is_final:
                continue
            due = job.ready_tasks()
            if gate is not None and due:
                due = allowed_tasks(job, gate)
                if not due:
                    # Once it starts, it counts as placed.
                    self.counted.add(job.spec.job)
                    if not job.has_started:
                        continue
            self.count_arrival(job, now_s)
            spread = _spread_vms(job)
            if spread:
                demand = demands.setdefault(job.config.pool, PoolDemand())
                demand.spread_vms = max(demand.spread_vms, spread)
            if due:
                demand = demands.setdefault(job.config.pool, PoolDemand())
                for task in due:
                    demand.waiting += task.spec.reserved
        return demands

    def count_arrival(self, job: Job, now_s: float) -> None:
        """Count a job at the time of its acceptance.

        After a takeover, the jobs of the last minute are all seen at the same moment.
        """
        if job.spec.is_long_running or job.spec.job in self.counted:
            return
        self.counted.add(job.spec.job)
        is_recent = job.accepted_s >= now_s - RATE_WINDOWS_S[-1]
        if not is_recent and self.forecaster is None:
            return
        work = sum(
            step.reserved.cpu_millicores
            * step.task_count
            * self.predict_ms(job.spec.queue, step)
            / 1000
            for step in job.spec.steps
        )
        if self.forecaster is not None:
            self.forecaster.record(job.config.pool, job.accepted_s, work)
        if is_recent:
            recent_arrivals = self.arrivals.setdefault(job.config.pool, [])
            insort(recent_arrivals, (job.accepted_s, work))

    def _arriving_millicores(self, pool: PoolName, now_s: float) -> float:
        """Return the millicores in use on average at the current arrival rate.

        The highest rate of all windows is used. As a few arrivals are weak evidence,
        the rate of each window but the longest is reduced by its standard error.
        """
        recent_arrivals = self.arrivals.get(pool)
        if not recent_arrivals:
            return 0.0
        oldest = bisect_left(recent_arrivals, (now_s - RATE_WINDOWS_S[-1],))
        del recent_arrivals[:oldest]
        return max(
            _arrival_rate(recent_arrivals, window_s, now_s)
            for window_s in RATE_WINDOWS_S
        )

    def _need(
        self,
        pool: PoolName,
        demand: PoolDemand,
        present: int,
        vms: dict[VmId, Vm],
        now_s: float,
    ) -> PoolNeed:
        size = _vm_size(vms, pool)
        arriving = self._arriving_millicores(pool, now_s)
        if self.forecaster is not None:
            arriving = max(arriving, self.forecaster.millicores(pool, now_s))
        now_millicores = (
            demand.placed.cpu_millicores
            + WAITING_FRACTION * demand.waiting.cpu_millicores
        )
        busy = max(now_millicores, HEADROOM * arriving)
        cpu = demand.long_running.cpu_millicores + busy
        memory = (demand.long_running + demand.placed + demand.waiting).memory_mb
        by_cpu = cpu / _packed_millicores(vms, pool)
        by_memory = memory / (PACKED_FRACTION * size.memory_mb)
        idle_need = (
            IDLE_FREE_VMS + demand.long_running.cpu_millicores / size.cpu_millicores
        )
        needed = math.ceil(max(by_cpu, by_memory, idle_need))
        needed = max(needed, len(demand.vms_with_long_running), demand.spread_vms)
        return PoolNeed(pool, present, needed)

    def _recent_peak(self, need: PoolNeed, now_s: float) -> int:
        """Return the highest need of a pool within `KEEP_S`."""
        recent = self.recent_needs.setdefault(need.pool, deque())
        recent.append((now_s, need.needed))
        while recent[0][0] < now_s - KEEP_S:
            recent.popleft()
        return max(needed for _, needed in recent)

    def _sources(self, spare: set[PoolName]) -> list[PoolName]:
        """Return the pools that give VMs: those with a surplus first, then spare."""
        surplus = [pool for pool, need in self.needs.items() if need.shortage < 0]
        return surplus + sorted(spare)

    def _cover_label_shortages(
        self,
        missing: dict[PoolLabel, int],
        idle: dict[PoolName, list[VmId]],
        spare: set[PoolName],
        labels: dict[VmId, frozenset[str]],
    ) -> list[tuple[VmId, PoolName]]:
        """Fetch VMs with the labels that pools lack for their tasks."""
        moves: list[tuple[VmId, PoolName]] = []
        for (pool, label), count in missing.items():
            for source in self._sources(spare):
                taken = {vm for vm, _ in moves}
                limit = count
                if source in self.needs:
                    given = sum(vm in idle.get(source, ()) for vm in taken)
                    limit = min(limit, -self.needs[source].shortage - given)
                free = [
                    vm
                    for vm in idle.get(source, ())
                    if vm not in taken and label in labels[vm]
                ]
                fetched = free[: max(0, limit)] if source != pool else []
                moves += [(vm, pool) for vm in fetched]
                count -= len(fetched)
        return moves

    def _cover_shortages(
        self,
        idle: dict[PoolName, list[VmId]],
        spare: set[PoolName],
        begun: list[tuple[VmId, PoolName]],
    ) -> list[tuple[VmId, PoolName]]:
        """Cover what the moves in `begun` leave of the shortages.

        The smallest shortage comes first, so that a pool with far more work than the
        fleet can do leaves the others what they need.
        """
        moves = list(begun)
        short_pools = sorted(
            (need for need in self.needs.values() if need.shortage > 0),
            key=lambda need: need.shortage,
        )
        for need in short_pools:
            for source in self._sources(spare):
                limit = need.shortage - sum(pool == need.pool for _, pool in moves)
                if source in self.needs:
                    given = sum(vm in idle.get(source, ()) for vm, _ in moves)
                    limit = min(limit, -self.needs[source].shortage - given)
                taken = {vm for vm, _ in moves}
                free = [vm for vm in idle.get(source, ()) if vm not in taken]
                moves += [(vm, need.pool) for vm in free[: max(0, limit)]]
        return moves[len(begun) :]

    def _return_surplus(
        self,
        idle: dict[PoolName, list[VmId]],
        spare: set[PoolName],
        taken: set[VmId],
        now_s: float,
    ) -> list[tuple[VmId, PoolName]]:
        """Move VMs beyond the recent peak need of their pool to the spare pool."""
        moves: list[tuple[VmId, PoolName]] = []
        target = min(spare)
        for pool, need in self.needs.items():
            surplus = need.present - self._recent_peak(need, now_s)
            free = [vm for vm in idle.get(pool, ()) if vm not in taken]
            given = sum(vm in taken for vm in idle.get(pool, ()))
            count = max(0, surplus - given)
            moves += [(vm, target) for vm in free[:count]]
        return moves


def _spread_vms(job: Job) -> int:
    """Return how many VMs a long-running job needs because of `max_per_worker`."""
    if not job.spec.is_long_running:
        return 0
    return max(spread_vms(step) for step in job.spec.steps)


def _arrival_rate(
    recent_arrivals: Iterable[tuple[float, float]], window_s: float, now_s: float
) -> float:
    """Return the work that arrived per second of a window.

    The rate of each window but the longest is reduced by its standard error.
    """
    works = [work for at_s, work in recent_arrivals if at_s >= now_s - window_s]
    if not works:
        return 0.0
    is_longest = window_s == RATE_WINDOWS_S[-1]
    confidence = 1.0 if is_longest else 1.0 - 1.0 / math.sqrt(len(works))
    return confidence * sum(works) / window_s


def _vm_size(vms: dict[VmId, Vm], pool: PoolName) -> Resources:
    """Return the median size of a pool's VMs, of all VMs if the pool has none."""
    sizes = [vm.capacity for vm in vms.values() if vm.pool == pool] or [
        vm.capacity for vm in vms.values()
    ]
    if not sizes:
        return Resources(64_000, 131_072)
    sizes.sort(key=lambda size: (size.cpu_millicores, size.memory_mb))
    size = sizes[len(sizes) // 2]
    return Resources(max(1, size.cpu_millicores), max(1, size.memory_mb))


def _packed_millicores(vms: dict[VmId, Vm], pool: PoolName) -> float:
    """Return how much of one of a pool's VMs its tasks fill."""
    return PACKED_FRACTION * _vm_size(vms, pool).cpu_millicores


def _labels(vm: Vm, views: dict[VmId, WorkerView]) -> frozenset[str]:
    """Return the labels of a VM; a worker that serves on it knows them best."""
    view = views.get(vm.vm)
    if vm.state is not VmState.UP or has_not_answered(view):
        return vm.labels
    return view.worker.labels


def _present(
    vms: dict[VmId, Vm],
    views: dict[VmId, WorkerView],
    being_emptied: set[VmId],
    now_s: float,
) -> dict[PoolName, list[Vm]]:
    """Return, by pool, the VMs that serve it now or are about to."""
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


def _count_whole(vms: Iterable[Vm], views: dict[VmId, WorkerView]) -> int:
    """Return how many VMs of full size the VMs of a pool amount to.

    The capacity of a worker may shrink for a while; the VM list has its full size.
    """
    shares = 0.0
    for vm in vms:
        view, full = views.get(vm.vm), vm.capacity.cpu_millicores
        if view is None or vm.state is not VmState.UP or not full:
            shares += 1.0
        else:
            shares += min(1.0, view.worker.capacity.cpu_millicores / full)
    return math.floor(shares + SHARE_TOLERANCE)


def _idle_vms(
    vms: dict[VmId, Vm],
    views: dict[VmId, WorkerView],
    being_emptied: set[VmId],
    spare: set[PoolName],
    now_s: float,
) -> dict[PoolName, list[VmId]]:
    """Return, by pool, the VMs without a task, including those that are off."""
    idle: dict[PoolName, list[VmId]] = {}
    for vm in sorted(vms.values(), key=lambda vm: vm.vm):
        if vm.vm in being_emptied or vm.state is not VmState.UP:
            continue
        view = views.get(vm.vm)
        is_off = vm.pool in spare and has_not_answered(view)
        if (
            not is_off
            and view is not None
            and (
                not view.is_confirmed_empty(now_s)
                or view.is_draining
                or view.evacuation_reason is not None
            )
        ):
            continue
        idle.setdefault(vm.pool, []).append(vm.vm)
    return idle
