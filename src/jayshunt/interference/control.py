"""Connect learning, pacing and placement of one term."""

from collections import Counter
from collections.abc import Callable

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.free_capacity import Load
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Task
from jayshunt.ids import WorkerId
from jayshunt.interference.decision_log import DecisionLog
from jayshunt.interference.model import InterferenceModel
from jayshunt.interference.observer import ReportObserver
from jayshunt.interference.pacing import InterferencePacer
from jayshunt.interference.placement import NeighborHarm
from jayshunt.interference.relocation import CandidatesOf, Relocator

CLEANUP_INTERVAL_S = 5.0


class InterferenceControl:
    """Hold what one term knows of interference; the dispatcher's lock guards it.

    `counts` counts placements that avoided a pair (avoided) and that had to accept a
    harmful one (accepted), and moved tasks (moved). `now_s` is the monotonic time of
    the last `observe`.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.model = InterferenceModel()
        self._observer = ReportObserver(self.model)
        self._log = DecisionLog()
        self.pacer = InterferencePacer(self.model, self._observer, self._log)
        self.counts: Counter[str] = Counter()
        self.relocator = Relocator(self._log)
        self._harm = NeighborHarm(self.model, 0.0)
        self.now_s = 0.0
        self._next_cleanup_s = 0.0

    def begin_round(self, now_s: float) -> NeighborHarm:
        """Return what estimates the harm on workers in a new placement round."""
        self._harm = NeighborHarm(self.model, now_s)
        return self._harm

    def record_placement(self, task: Task, load: Load) -> None:
        """Count and log a placement for which a known pair mattered.

        `load` is that of the chosen worker without the task. Call it after each
        placement of the round.
        """
        step = task.spec
        highest = self._harm.highest.get((step.image, step.fills))
        if highest is None:
            return
        harm = self._harm.known_harm(step, load)
        what = "avoided" if harm < highest else "accepted"
        self.counts[what] += 1
        self._log.record(
            self._harm.now_s,
            f"a harmful pair was {what}",
            task=task.key.name,
            image=step.image,
            harm=round(harm, 2),
            highest_harm=round(highest, 2),
        )

    def choose_move(
        self, tracker: RunTracker, candidates_of: CandidatesOf, now_s: float
    ) -> Task | None:
        """Return a filling task to stop so that it starts on another worker."""
        harm = NeighborHarm(self.model, now_s)
        task = self.relocator.choose(tracker, harm, candidates_of, now_s)
        self.counts["moved"] += task is not None
        return task

    def observe(
        self,
        workers: dict[WorkerId, WorkerView],
        is_slow: Callable[[WorkerId], bool],
        now_s: float,
    ) -> None:
        """Learn from the reports since the last call, at a monotonic time in seconds.

        Call it before the pacer decides.
        """
        self.now_s = now_s
        for view in workers.values():
            self._observer.observe(view, is_slow)
        if now_s >= self._next_cleanup_s:
            self._next_cleanup_s = now_s + CLEANUP_INTERVAL_S
            self._observer.forget_absent(workers)
            self.pacer.forget_absent(workers)
