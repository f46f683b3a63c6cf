"""Describe what operators read."""

from dataclasses import dataclass, field

from jayshunt.ids import ClassName, ConfigVersion


@dataclass(frozen=True)
class ClassCounts:
    """Count the last minute of a class at one entry.

    `buckets` counts answers by duration (see `class_statistics`), `refused`
    counts requests without an answer by error code.
    """

    work_class: ClassName
    target_ms: int
    requests: int = 0
    met: int = 0
    buckets: dict[int, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class ClassStatus:
    """Say whether a class meets its target, and if not, why; times are ms."""

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
    """Tell when a version came into force at this entry; times are wall seconds."""

    version: ConfigVersion
    accepted_s: float
    took_s: float


@dataclass(frozen=True)
class Move:
    """Tell of one VM that changed its pool; `at_s` is wall time."""

    at_s: float
    vm: str
    before: str
    after: str
    reason: str


@dataclass(frozen=True)
class BufferSample:
    """Hold the cores held in reserve in the zone at one moment."""

    at_s: float
    cores: float
