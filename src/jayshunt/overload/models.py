"""Define what the decisions under overload take and return."""

from dataclasses import dataclass
from enum import IntEnum

from jayshunt.ids import QueueName


class Prospect(IntEnum):
    """List how a job can still end; lower values are placed first.

    SAFE jobs are in time unless a run takes unusually long, POSSIBLE ones if nothing
    delays them, LATE ones are still of use, and USELESS ones are not.
    """

    SAFE = 0
    POSSIBLE = 1
    LATE = 2
    USELESS = 3

    @property
    def is_in_time(self) -> bool:
        """Return whether the job can still meet its objective."""
        return self <= Prospect.POSSIBLE


@dataclass(frozen=True, slots=True)
class PoolRoom:
    """Store the cores of a pool's workers that answer, and those that are free."""

    cores: float
    free_cores: float


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Store what a pool has for jobs that end, in cores.

    `cores` are those of workers that answer, less what long-running tasks reserve,
    `used` what runs now, and `moving` what is on its way to the pool.
    """

    cores: float
    used: float = 0.0
    moving: float = 0.0


@dataclass(frozen=True, slots=True)
class QueueOutlook:
    """Predict when the tasks of a new job of a queue could start, in seconds from now.

    `waits` has ascending pairs of a job's size in core seconds and the wait of a job up
    to this size if it can be in time. A larger one has the last wait. A job that can't
    be in time waits for `late_wait_s`. `path_factor` is the ratio of run times to the
    callers' estimates. `capacity` is what the pool can do, in cores.
    """

    queue: QueueName
    waits: tuple[tuple[float, float], ...] = ()
    late_wait_s: float = 0.0
    path_factor: float = 1.0
    capacity: float = 0.0

    def wait_s(self, core_s: float) -> float:
        """Return the wait of a job that can be in time."""
        for largest, wait_s in self.waits:
            if core_s <= largest:
                return wait_s
        return self.waits[-1][1] if self.waits else 0.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a job of `core_s` core seconds that is of use from `after_s` on."""

    after_s: float
    core_s: float
