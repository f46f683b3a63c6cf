"""Define what the decisions under overload take and return."""

from dataclasses import dataclass
from enum import IntEnum


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
