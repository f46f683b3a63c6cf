"""Turn the reports of workers into observations of interference."""

from collections.abc import Callable
from dataclasses import dataclass

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.models import TaskKey
from jayshunt.dispatch.tasks import Task, TaskPhase
from jayshunt.ids import WorkerId
from jayshunt.interference import const
from jayshunt.interference.model import InterferenceModel
from jayshunt.interference.models import ImageName, Neighbor, Observation


@dataclass(frozen=True, slots=True)
class _PaceChange:
    """Store the pace of a run before its last change, in percent, and when that was.

    `before_percent` is None if an earlier term may have set any pace.
    """

    run: int
    before_percent: int | None
    changed_s: float


class ReportObserver:
    """Learn from each report of a worker once.

    `reported_s` holds, by worker, when its last report was received, and `ratios`, by
    serving task, its latency as a fraction of the target as the model estimates it from
    the report. Times are monotonic seconds.
    """

    def __init__(self, model: InterferenceModel) -> None:
        """Start without reports."""
        self._model = model
        self._changes: dict[TaskKey, _PaceChange] = {}
        self.reported_s: dict[WorkerId, float] = {}
        self.ratios: dict[TaskKey, float] = {}

    def ratio(self, task: Task) -> float:
        """Return the latency of a serving task as a fraction of its target.

        This is the higher of the reported and the estimated one, because a low report
        may be noise, and the target must be kept in any case.
        """
        return max(task.load / task.spec.target_ms, self.ratios.get(task.key, 0.0))

    def record_pace_change(self, task: Task, now_s: float) -> None:
        """Record that the pace of a task is about to change; call it before that."""
        before = task.pace if self.is_pace_known(task) else None
        self._changes[task.key] = _PaceChange(task.run, before, now_s)

    def is_pace_known(self, task: Task) -> bool:
        """Return whether this term started the run or has sent it a pace."""
        change = self._changes.get(task.key)
        return task.ordered_s > 0 or (change is not None and change.run == task.run)

    def observe(self, view: WorkerView, is_slow: Callable[[WorkerId], bool]) -> None:
        """Learn from a worker's last report unless it was seen before.

        Nothing is learned from slow workers and from serving tasks that are not warm,
        whose latency is high for other reasons, nor beside a filling task of which an
        earlier term may have set the pace.
        """
        worker, answer_s = view.worker.worker, view.last_answer_s
        if answer_s is None or self.reported_s.get(worker) == answer_s:
            return
        self.reported_s[worker] = answer_s
        for key in view.tasks:
            self.ratios.pop(key, None)
        if not view.load.serving or is_slow(worker):
            return
        running = [
            task
            for task in view.tasks.values()
            if task.phase is TaskPhase.RUNNING and task.spec.image
        ]
        if not all(self._was_pace_known(task, answer_s) for task in running):
            return
        for task in running:
            if task.spec.target_ms and task.is_warm and task.load > 0:
                observation = self._observe_task(task, running, answer_s)
                self.ratios[task.key] = self._model.learn(observation, answer_s)

    def forget_absent(self, workers: dict[WorkerId, WorkerView]) -> None:
        """Forget workers and runs that are gone; call it every few seconds."""
        present = {key for view in workers.values() for key in view.tasks}
        self._changes = {k: v for k, v in self._changes.items() if k in present}
        self.ratios = {k: v for k, v in self.ratios.items() if k in present}
        self.reported_s = {k: v for k, v in self.reported_s.items() if k in workers}

    def _observe_task(
        self, task: Task, running: list[Task], answer_s: float
    ) -> Observation:
        neighbors: list[Neighbor] = []
        noise_factor = 1.0
        for other in running:
            if other is task or not (other.spec.fills or other.spec.target_ms):
                continue
            is_filling = other.spec.fills
            amount = self._mean_pace(other, answer_s) if is_filling else 1.0
            neighbors.append(Neighbor(_image_of(other), is_filling, amount))
            if not other.is_warm:
                noise_factor = const.WARMING_NOISE_FACTOR
        return Observation(
            task.key,
            _image_of(task),
            task.load / task.spec.target_ms,
            tuple(neighbors),
            noise_factor,
        )

    def _was_pace_known(self, task: Task, answer_s: float) -> bool:
        """Return whether a pace is known for all the time that a report covers."""
        if not task.spec.fills or task.ordered_s > 0:
            return True
        change = self._changes.get(task.key)
        if change is None or change.run != task.run:
            return False
        begun_s = change.changed_s + const.PACE_DELAY_S
        covers_change = answer_s - const.REPORT_WINDOW_S < begun_s
        return change.before_percent is not None or not covers_change

    def _mean_pace(self, task: Task, answer_s: float) -> float:
        """Return the mean pace in the time that a report covers, where 1 is full."""
        started_s = task.started_s
        if started_s is None:
            return 0.0
        change = self._changes.get(task.key)
        before = 0
        changed_s = started_s
        if change is not None and change.run == task.run:
            before = change.before_percent or 0
            changed_s = change.changed_s + const.PACE_DELAY_S
        window_start_s = answer_s - const.REPORT_WINDOW_S
        share_before = (changed_s - window_start_s) / const.REPORT_WINDOW_S
        share_before = max(0.0, min(1.0, share_before))
        return (before * share_before + task.pace * (1 - share_before)) / 100


def _image_of(task: Task) -> ImageName:
    return ImageName(task.spec.image)
