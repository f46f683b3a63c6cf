"""Measure each class against its target."""

import threading
from collections import deque
from dataclasses import dataclass, field

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot, WorkKind
from jayshunt.ids import ClassName
from jayshunt.operations.models import ClassStatus

WINDOW_S = 60.0
MAX_SAMPLES = 5_000


@dataclass(frozen=True)
class Sample:
    """Hold the end of one request."""

    ended_s: float
    duration_ms: float
    answered: bool


@dataclass
class ClassWindow:
    """Hold the last requests of a class."""

    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))


class ClassStatistics:
    """Own the request samples of the last minute."""

    def __init__(self, clock: Clock) -> None:
        """Start without samples."""
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[ClassName, ClassWindow] = {}

    def record(self, work_class: ClassName, duration_ms: float, answered: bool) -> None:
        """Add the end of one request."""
        sample = Sample(self._clock.monotonic_s(), duration_ms, answered)
        with self._lock:
            window = self._windows.setdefault(work_class, ClassWindow())
            window.samples.append(sample)

    def status(self, config: ConfigSnapshot) -> list[ClassStatus]:
        """Return the state of each request class."""
        return [
            self._class_status(name, work_class.target_ms)
            for name, work_class in sorted(config.document.classes.items())
            if work_class.kind is WorkKind.REQUEST
        ]

    def _class_status(self, name: ClassName, target_ms: int) -> ClassStatus:
        oldest_s = self._clock.monotonic_s() - WINDOW_S
        with self._lock:
            window = self._windows.get(name, ClassWindow())
            samples = [s for s in window.samples if s.ended_s >= oldest_s]
        answered = sorted(s.duration_ms for s in samples if s.answered)
        met = sum(1 for duration_ms in answered if duration_ms <= target_ms)
        p99_ms = answered[int(0.99 * (len(answered) - 1))] if answered else 0.0
        return ClassStatus(
            name, target_ms, len(samples), met, len(samples) - len(answered), p99_ms
        )
