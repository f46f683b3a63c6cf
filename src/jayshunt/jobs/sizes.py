"""Resource sizes of jobs, and estimates of them from reported usage."""

from dataclasses import dataclass

from jayshunt.ids import ClassName, TeamName

MIN_SAMPLES = 5
# Weights of a new sample: a sample below the estimate lowers it by FALL_RATIO of the
# difference, a sample above raises it by RISE_RATIO. The asymmetry keeps the estimate
# well above the mean, so that fewer jobs run out of memory. It is not a percentile,
# because the steps are proportional to the difference.
FALL_RATIO = 0.03
RISE_RATIO = 0.3
# Memory, unlike CPU, cannot be throttled, so its estimate gets a safety margin.
MEMORY_MARGIN = 1.1
MIN_CPU_CORES = 0.1
MAX_LEARNED_KEYS = 4_096


@dataclass(frozen=True, slots=True)
class Size:
    """An amount of processors, memory and accelerators."""

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
        """Return the difference; components may be negative."""
        return Size(
            self.cpu_cores - other.cpu_cores,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def __str__(self) -> str:
        """Format the components with their units."""
        memory_mib = self.memory_bytes / 2**20
        return (
            f"{self.cpu_cores:.4g} cores, {memory_mib:.4g} MiB, "
            f"{self.accelerators} accelerators"
        )

    def fits_in(self, other: "Size") -> bool:
        """Return whether every component is at most that of the other size."""
        return (
            self.cpu_cores <= other.cpu_cores
            and self.memory_bytes <= other.memory_bytes
            and self.accelerators <= other.accelerators
        )

    def elementwise_max(self, other: "Size") -> "Size":
        """Return the maximum of each component."""
        return Size(
            max(self.cpu_cores, other.cpu_cores),
            max(self.memory_bytes, other.memory_bytes),
            max(self.accelerators, other.accelerators),
        )


@dataclass(frozen=True, slots=True)
class ExpectedSize:
    """The size to plan a job with; `is_learned` is False for a declared size."""

    size: Size
    is_learned: bool


class SizeLearner:
    """Estimate the size of jobs per class and team from the usage of finished jobs.

    A job gets whole accelerators exclusively, so their declared count is always
    used. At most `MAX_LEARNED_KEYS` estimates are kept; the one that was updated
    longest ago is dropped first.
    """

    def __init__(self) -> None:
        """Start without estimates."""
        self._estimates: dict[tuple[ClassName, TeamName], tuple[Size, int]] = {}

    def learn(self, work_class: ClassName, team: TeamName, peak: Size) -> None:
        """Update an estimate with the peak usage of a finished job."""
        key = (work_class, team)
        known = self._estimates.pop(key, None)
        if known is None and len(self._estimates) >= MAX_LEARNED_KEYS:
            self._estimates.pop(next(iter(self._estimates)))
        size, count = known or (peak, 0)
        updated = Size(
            _updated_estimate(size.cpu_cores, peak.cpu_cores),
            int(_updated_estimate(size.memory_bytes, peak.memory_bytes)),
        )
        self._estimates[key] = (updated, min(count + 1, MIN_SAMPLES))

    def expected_size(
        self, work_class: ClassName, team: TeamName, declared: Size
    ) -> ExpectedSize:
        """Return the learned size after `MIN_SAMPLES` jobs, else the declared one."""
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
        """Return every estimate by class and team, for the diagnostics dump."""
        return {
            f"{work_class}/{team}": size
            for (work_class, team), (size, _) in self._estimates.items()
        }


def _updated_estimate(estimate: float, sample: float) -> float:
    ratio = RISE_RATIO if sample > estimate else FALL_RATIO
    return estimate + ratio * (sample - estimate)
