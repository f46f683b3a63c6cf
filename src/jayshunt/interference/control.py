"""Connect learning, pacing and placement of one term."""

from collections.abc import Callable

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.ids import WorkerId
from jayshunt.interference.model import InterferenceModel
from jayshunt.interference.observer import ReportObserver
from jayshunt.interference.pacing import InterferencePacer

CLEANUP_INTERVAL_S = 5.0


class InterferenceControl:
    """Hold what one term knows of interference; the dispatcher's lock guards it."""

    def __init__(self) -> None:
        """Start without observations."""
        self.model = InterferenceModel()
        self._observer = ReportObserver(self.model)
        self.pacer = InterferencePacer(self.model, self._observer)
        self._next_cleanup_s = 0.0

    def observe(
        self,
        workers: dict[WorkerId, WorkerView],
        is_slow: Callable[[WorkerId], bool],
        now_s: float,
    ) -> None:
        """Learn from the reports since the last call, at a monotonic time in seconds.

        Call it before the pacer decides.
        """
        for view in workers.values():
            self._observer.observe(view, is_slow)
        if now_s >= self._next_cleanup_s:
            self._next_cleanup_s = now_s + CLEANUP_INTERVAL_S
            self._observer.forget_absent(workers)
            self.pacer.forget_absent(workers)
