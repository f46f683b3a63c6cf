"""Describe sizes of jobs and learn them from reported usage."""

from dataclasses import dataclass

from jayshunt.ids import ClassName, TeamName

MIN_SAMPLES = 5
# A new sample below the estimate lowers it by this part of the difference, one
# above raises it by RISE_RATIO. The asymmetry keeps the estimate near the 90th
# percentile, where few jobs run out of memory.
FALL_RATIO = 0.03
RISE_RATIO = 0.3
# Memory cannot be throttled, so its estimate keeps a margin over what was seen.
MEMORY_MARGIN = 1.1
MIN_CPU_CORES = 0.1
MAX_LEARNED_KEYS = 4_096


@dataclass(frozen=True, slots=True)
class Size:
    """Hold processors, memory and accelerators."""

    cpu_cores: float = 0.0
    memory_bytes: int = 0
    accelerators: int = 0

    def __add__(self, other: "Size") -> "Size":
        """Return the sum."""
        return Size(
            self.cpu_cores + other.cpu_cores,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Size") -> "Size":
        """Return the difference; parts may be negative."""
        return Size(
            self.cpu_cores - other.cpu_cores,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def __str__(self) -> str:
        """Return the parts with their units."""
        memory_mib = self.memory_bytes / 2**20
        return (
            f"{self.cpu_cores:.4g} cores, {memory_mib:.4g} MiB, "
            f"{self.accelerators} accelerators"
        )

    def fits_in(self, other: "Size") -> bool:
        """Return whether every part is within the other."""
        return (
            self.cpu_cores <= other.cpu_cores
            and self.memory_bytes <= other.memory_bytes
            and self.accelerators <= other.accelerators
        )

    def larger_of(self, other: "Size") -> "Size":
        """Return the larger of each part."""
        return Size(
            max(self.cpu_cores, other.cpu_cores),
            max(self.memory_bytes, other.memory_bytes),
            max(self.accelerators, other.accelerators),
        )


@dataclass(frozen=True, slots=True)
class ExpectedSize:
    """Hold the size to plan with; `is_learned` is False for a declared one."""

    size: Size
    is_learned: bool


class SizeLearner:
    """Estimate sizes per class and team from what finished jobs used.

    Accelerators are assigned whole and exclusively, so their declared count is
    always used. The number of estimates is bounded; the oldest is dropped first.
    """

    def __init__(self) -> None:
        """Start without estimates."""
        self._estimates: dict[tuple[ClassName, TeamName], tuple[Size, int]] = {}

    def learn(self, work_class: ClassName, team: TeamName, peak: Size) -> None:
        """Take the peak usage of one job that ran to its end."""
        key = (work_class, team)
        known = self._estimates.pop(key, None)
        if known is None and len(self._estimates) >= MAX_LEARNED_KEYS:
            self._estimates.pop(next(iter(self._estimates)))
        size, count = known or (peak, 0)
        moved = Size(
            _moved(size.cpu_cores, peak.cpu_cores),
            int(_moved(size.memory_bytes, peak.memory_bytes)),
        )
        self._estimates[key] = (moved, min(count + 1, MIN_SAMPLES))

    def expect(
        self, work_class: ClassName, team: TeamName, declared: Size
    ) -> ExpectedSize:
        """Return the size to plan a job with."""
        size, count = self._estimates.get((work_class, team), (declared, 0))
        if count < MIN_SAMPLES:
            return ExpectedSize(declared, False)
        learned = Size(
            max(MIN_CPU_CORES, size.cpu_cores),
            int(size.memory_bytes * MEMORY_MARGIN),
            declared.accelerators,
        )
        return ExpectedSize(learned, True)

    def estimates(self) -> dict[str, Size]:
        """Return every estimate by class and team, for the dump."""
        return {
            f"{work_class}/{team}": size
            for (work_class, team), (size, _) in self._estimates.items()
        }


def _moved(estimate: float, sample: float) -> float:
    ratio = RISE_RATIO if sample > estimate else FALL_RATIO
    return estimate + ratio * (sample - estimate)
