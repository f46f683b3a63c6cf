"""Index the free capacity of a pool's workers."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from sortedcontainers import SortedList

from jayshunt.ids import WorkerId
from jayshunt.jobs.sizes import Size


class Preemptible(Protocol):
    """Describe a running job that may give way."""

    @property
    def size(self) -> Size:
        """Return what the job holds."""


class PoolCapacity:
    """Find the worker that a size fits best.

    Workers are grouped by free accelerators and sorted by free processors. The
    search starts with the fewest accelerators that suffice, so that work without
    accelerators leaves those free, and within a group with the least free
    processors that suffice, which leaves whole workers for large jobs.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self._free: dict[WorkerId, Size] = {}
        self._totals: set[Size] = set()
        self._members: dict[WorkerId, Size] = {}
        self._groups: dict[int, SortedList] = {}
        # Sizes that did not fit. Free capacity only shrinks during a plan, so a
        # size that is no smaller cannot fit either and needs no search.
        self._rejected: list[Size] = []
        self._reserved = False

    def add(self, worker: WorkerId, total: Size, free: Size, takes_work: bool) -> None:
        """Add a worker; one that takes no work is only known by its size."""
        self._totals.add(total)
        self._members[worker] = total
        if takes_work:
            self._insert(worker, free)

    def could_hold(self, size: Size) -> bool:
        """Return whether an empty worker of the pool could hold a size."""
        return any(size.fits_in(total) for total in self._totals)

    def all_excluded(self, excluded: frozenset[WorkerId]) -> bool:
        """Return whether no worker of the pool is left for a job."""
        return self._members.keys() <= excluded

    def take(self, size: Size, excluded: frozenset[WorkerId]) -> WorkerId | None:
        """Charge a size to the worker that it fits best."""
        if any(rejected.fits_in(size) for rejected in self._rejected):
            return None
        for accelerators in sorted(self._groups):
            if accelerators < size.accelerators:
                continue
            worker = self._best_in(self._groups[accelerators], size, excluded)
            if worker is not None:
                self._insert(worker, self._remove(worker) - size)
                return worker
        if not excluded:
            larger = [r for r in self._rejected if not size.fits_in(r)]
            self._rejected = [*larger, size]
        return None

    def reserve_for(self, size: Size, excluded: frozenset[WorkerId]) -> None:
        """Keep later jobs off the worker that a size will fit first."""
        if self._reserved:
            return
        suitable = [
            (free.cpu_cores, worker)
            for worker, free in self._free.items()
            if worker not in excluded and size.fits_in(self._members[worker])
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
        """Return the worker and the fewest jobs whose end makes room for a size.

        `running` holds the jobs of each worker, largest first.
        """
        best: tuple[WorkerId, list[Preemptible]] | None = None
        for worker, free in self._free.items():
            if worker in excluded or not running.get(worker):
                continue
            victims = _fewest(size, free, running[worker])
            if victims and (best is None or len(victims) < len(best[1])):
                best = (worker, victims)
                if len(victims) == 1:
                    break
        return best

    def exchange(self, worker: WorkerId, freed: Size, taken: Size) -> None:
        """Account for jobs that end on a worker and one that starts."""
        self._insert(worker, self._remove(worker) + freed - taken)
        self._rejected.clear()

    def _best_in(
        self, group: SortedList, size: Size, excluded: frozenset[WorkerId]
    ) -> WorkerId | None:
        start = group.bisect_left((size.cpu_cores, ""))
        for _, worker in group.islice(start):
            if worker in excluded:
                continue
            if size.memory_bytes <= self._free[worker].memory_bytes:
                return worker
        return None

    def _insert(self, worker: WorkerId, free: Size) -> None:
        self._free[worker] = free
        group = self._groups.setdefault(free.accelerators, SortedList())
        group.add((free.cpu_cores, worker))

    def _remove(self, worker: WorkerId) -> Size:
        free = self._free.pop(worker)
        self._groups[free.accelerators].remove((free.cpu_cores, worker))
        return free


def _fewest(
    size: Size, free: Size, running: Sequence[Preemptible]
) -> list[Preemptible] | None:
    victims: list[Preemptible] = []
    for job in running:
        victims.append(job)
        free = free + job.size
        if size.fits_in(free):
            return victims
    return None
