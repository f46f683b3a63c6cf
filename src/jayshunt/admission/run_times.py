"""Learn how long the requests of each class run on each instance."""

from jayshunt.admission.const import (
    DEFAULT_RUN_MS,
    DEFAULT_RUN_RATIO,
    LEARNING_RATE,
    MAX_SLOWNESS,
)
from jayshunt.ids import ClassName, VmId


class RunTimes:
    """Maintain a moving mean per class and a slowness factor per instance.

    A mean per pair of class and instance would get too few samples to be useful.
    """

    def __init__(self) -> None:
        """Start without learned run times."""
        self._class_ms: dict[ClassName, float] = {}
        self._slowness: dict[VmId, float] = {}

    def learn(self, work_class: ClassName, vm: VmId, duration_ms: float) -> None:
        """Update the means from the duration of one answered request."""
        mean_ms = self._class_ms.get(work_class)
        if mean_ms is None:
            self._class_ms[work_class] = duration_ms
            return
        ratio = min(MAX_SLOWNESS, duration_ms / max(mean_ms, 0.1))
        factor = self._slowness.get(vm, 1.0)
        self._slowness[vm] = factor + LEARNING_RATE * (ratio - factor)
        self._class_ms[work_class] = mean_ms + LEARNING_RATE * (duration_ms - mean_ms)

    def adopt(self, work_class: ClassName, run_ms: float) -> None:
        """Use a predecessor's mean, unless this broker has one already."""
        self._class_ms.setdefault(work_class, run_ms)

    def expected_run_ms(self, work_class: ClassName, remaining_ms: float) -> float:
        """Return the expected run time in milliseconds.

        For a class without samples it is a part of the remaining time, because a
        short guess would admit several times as many requests as can be served.
        """
        known_ms = self._class_ms.get(work_class)
        if known_ms is None:
            return max(DEFAULT_RUN_MS, DEFAULT_RUN_RATIO * remaining_ms)
        return known_ms

    def slowness(self, vm: VmId) -> float:
        """Return an instance's mean run time relative to that of the classes."""
        return self._slowness.get(vm, 1.0)

    def forget(self, vm: VmId) -> None:
        """Discard the slowness of an instance that left or restarts."""
        self._slowness.pop(vm, None)

    def class_means_ms(self) -> dict[ClassName, float]:
        """Return a copy of the means in milliseconds."""
        return dict(self._class_ms)
