"""Define the statistics and samples that operators read."""

from dataclasses import dataclass, field

from jayshunt.ids import ClassName, ConfigVersion


@dataclass(frozen=True)
class ClassCounts:
    """Counts of a class on one entry for the last minute.

    `buckets` counts answers by bucket of their duration (see `class_statistics`),
    `refused` counts refused or failed requests by error code.
    """

    work_class: ClassName
    target_ms: int
    requests: int = 0
    met: int = 0
    buckets: dict[int, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class ClassStatus:
    """Whether a class meets its target, and the reason if it does not."""

    work_class: ClassName
    target_ms: int
    requests: int
    met: int
    refused: int
    p99_ms: float
    is_met: bool
    reason: str


@dataclass(frozen=True)
class RollOut:
    """Time until a version was in force on this entry.

    `accepted_s` is wall time; `took_s` is counted from there. Both are in seconds.
    """

    version: ConfigVersion
    accepted_s: float
    took_s: float


@dataclass(frozen=True)
class Move:
    """Move of a VM from one pool to another; `at_s` is wall time in seconds."""

    at_s: float
    vm: str
    before: str
    after: str
    reason: str


@dataclass(frozen=True)
class BufferSample:
    """Cores in the buffer of the zone at a time; `at_s` is wall time in seconds."""

    at_s: float
    cores: float
