"""Index the free capacity of a pool's workers."""

from bisect import bisect_left, insort
from collections.abc import Mapping, Sequence
from typing import Protocol

from jayshunt.ids import WorkerId
from jayshunt.jobs.sizes import Size


class Preemptible(Protocol):
    """A running job that may be preempted."""

    @property
    def size(self) -> Size:
        """Return the capacity that the job occupies."""


class PoolCapacity:
    """Best-fit index of the free capacity of a pool's workers.

    Workers are grouped by free accelerators and sorted by free processors. The
    search starts with the group that has the fewest sufficient accelerators, which
    keeps accelerators free for the jobs that need them. Within a group it starts
    with the fewest sufficient processors, which keeps whole workers free for large
    jobs.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self._free: dict[WorkerId, Size] = {}
        self._distinct_capacities: set[Size] = set()
        self._capacities: dict[WorkerId, Size] = {}
        # Sorted plain lists: a pool has tens of workers.
        self._groups: dict[int, list[tuple[float, WorkerId]]] = {}
        self._group_keys: list[int] = []
        # Sizes that fit on no worker. Free capacity only shrinks until the next
        # preemption, so a size at least as large needs no search.
        self._unfit_sizes: list[Size] = []
        self._reserved = False

    def add(
        self, worker: WorkerId, total: Size, free: Size, is_schedulable: bool
    ) -> None:
        """Add a worker; only a schedulable one gets jobs."""
        self._distinct_capacities.add(total)
        self._capacities[worker] = total
        if is_schedulable:
            self._insert(worker, free)

    def could_fit(self, size: Size) -> bool:
        """Return whether a size fits on any worker of the pool when it is idle."""
        return any(size.fits_in(total) for total in self._distinct_capacities)

    def all_excluded(self, excluded: frozenset[WorkerId]) -> bool:
        """Return whether every worker of the pool is excluded."""
        return self._capacities.keys() <= excluded

    def allocate(self, size: Size, excluded: frozenset[WorkerId]) -> WorkerId | None:
        """Allocate a size on the best-fitting worker; return None if none fits."""
        for unfit in self._unfit_sizes:
            if unfit.fits_in(size):
                return None
        for accelerators in self._group_keys:
            if accelerators < size.accelerators:
                continue
            worker = self._best_fit(self._groups[accelerators], size, excluded)
            if worker is not None:
                self._insert(worker, self._remove(worker) - size)
                return worker
        if not excluded:
            larger = [r for r in self._unfit_sizes if not size.fits_in(r)]
            self._unfit_sizes = [*larger, size]
        return None

    def reserve_worker_for(self, size: Size, excluded: frozenset[WorkerId]) -> None:
        """Reserve the large enough worker with the most free processors for a size.

        The worker is removed from the index for the rest of the plan, so that its
        free capacity is not taken by later jobs. Only one worker is reserved.
        """
        if self._reserved:
            return
        suitable = [
            (free.cpu_cores, worker)
            for worker, free in self._free.items()
            if worker not in excluded and size.fits_in(self._capacities[worker])
        ]
        if suitable:
            self._remove(max(suitable)[1])
            self._reserved = True

    def find_victims(
        self,
        size: Size,
        excluded: frozenset[WorkerId],
        running: Mapping[WorkerId, Sequence[Preemptible]],
    ) -> tuple[WorkerId, list[Preemptible]] | None:
        """Return a worker and the jobs to preempt there so that a size fits.

        `running` maps workers to their preemptible jobs, those with the most
        processors first. They are taken in this order until the size fits, and the
        worker with the fewest is chosen. If memory or accelerators are lacking, fewer
        might do.
        """
        best: tuple[WorkerId, list[Preemptible]] | None = None
        for worker, free in self._free.items():
            if worker in excluded or not running.get(worker):
                continue
            victims = _fewest_victims(size, free, running[worker])
            if victims and (best is None or len(victims) < len(best[1])):
                best = (worker, victims)
                if len(victims) == 1:
                    break
        return best

    def apply_preemption(self, worker: WorkerId, freed: Size, taken: Size) -> None:
        """Release the capacity of preempted jobs and allocate that of a new one.

        The rest counts as free in the same plan, while the preempted jobs still run.
        """
        self._insert(worker, self._remove(worker) + freed - taken)
        self._unfit_sizes.clear()

    def _best_fit(
        self,
        group: list[tuple[float, WorkerId]],
        size: Size,
        excluded: frozenset[WorkerId],
    ) -> WorkerId | None:
        for index in range(bisect_left(group, (size.cpu_cores, "")), len(group)):
            worker = group[index][1]
            if worker in excluded:
                continue
            if size.memory_bytes <= self._free[worker].memory_bytes:
                return worker
        return None

    def _insert(self, worker: WorkerId, free: Size) -> None:
        self._free[worker] = free
        group = self._groups.get(free.accelerators)
        if group is None:
            group = self._groups[free.accelerators] = []
            insort(self._group_keys, free.accelerators)
        insort(group, (free.cpu_cores, worker))

    def _remove(self, worker: WorkerId) -> Size:
        free = self._free.pop(worker)
        group = self._groups[free.accelerators]
        del group[bisect_left(group, (free.cpu_cores, worker))]
        return free


def _fewest_victims(
    size: Size, free: Size, running: Sequence[Preemptible]
) -> list[Preemptible] | None:
    victims: list[Preemptible] = []
    for job in running:
        victims.append(job)
        free = free + job.size
        if size.fits_in(free):
            return victims
    return None
