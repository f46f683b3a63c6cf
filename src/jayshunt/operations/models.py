"""Describe what operators read."""

from dataclasses import dataclass

from jayshunt.ids import ClassName


@dataclass(frozen=True)
class ClassStatus:
    """Say whether a class meets its target; times are milliseconds."""

    work_class: ClassName
    target_ms: int
    requests: int
    met: int
    refused: int
    p99_ms: float

    @property
    def is_met(self) -> bool:
        """Return whether at least 99 of 100 requests met the target."""
        return self.met >= 0.99 * self.requests
