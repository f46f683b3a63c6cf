"""Throttle the filling tasks that slow down serving tasks most, and those first."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from jayshunt.dispatch.models import TaskKey
from jayshunt.dispatch.tasks import Task, TaskPhase
from jayshunt.ids import WorkerId
from jayshunt.interference import const
from jayshunt.interference.decision_log import DecisionLog
from jayshunt.interference.model import InterferenceModel, is_known
from jayshunt.interference.models import Estimate, ImageName, Pair
from jayshunt.interference.observer import ReportObserver


@dataclass(slots=True)
class _WorkerPacing:
    """Store what was decided for one worker; times are monotonic seconds.

    `missed_since_s` holds, by serving task, when its latency was first reported to be
    at or above its target without a report below it since.
    """

    missed_since_s: dict[TaskKey, float] = field(default_factory=dict)
    report_s: float | None = None
    changed_s: float = float("-inf")
    throttled_s: float = float("-inf")
    stopped_s: float = float("-inf")
    resends_left: int = const.MAX_RESENDS


class InterferencePacer:
    """Choose the pace of filling tasks by the expected harm of each.

    `counts` counts decisions by what was done: throttled, stopped and recovered.
    """

    def __init__(
        self, model: InterferenceModel, observer: ReportObserver, log: DecisionLog
    ) -> None:
        """Decide by what `model` expects; `observer` is told of each change."""
        self._model = model
        self._observer = observer
        self._log = log
        self._workers: dict[WorkerId, _WorkerPacing] = {}
        self.counts: Counter[str] = Counter()

    def decide(self, tasks: Iterable[Task], now_s: float) -> list[tuple[Task, int]]:
        """Return the filling tasks of one worker whose pace changes, with the new pace.

        The pace is a percentage of full speed.
        """
        running = [task for task in tasks if task.phase is TaskPhase.RUNNING]
        filling = [task for task in running if task.spec.fills]
        if not filling:
            return []
        serving = [task for task in running if task.spec.target_ms]
        state = self._workers.setdefault(filling[0].worker, _WorkerPacing())
        paces = self._choose_paces(serving, filling, state, now_s)
        changes = []
        for task in filling:
            pace = paces.get(task.key, task.pace)
            is_unconfirmed = not self._observer.is_pace_known(task)
            if is_unconfirmed:
                pace = min(pace, self._inherited_pace(task, serving, now_s))
            is_resent = pace == 0 and state.stopped_s == now_s
            if pace != task.pace or is_resent or is_unconfirmed:
                self._observer.record_pace_change(task, now_s)
                changes.append((task, pace))
        return changes

    def _inherited_pace(self, task: Task, serving: list[Task], now_s: float) -> int:
        """Return a pace for a run whose pace an earlier term may have set.

        Its reports do not show the pace. What the model expects decides, as full pace
        would end the throttling of a harmful task.
        """
        pace = 100
        for victim in serving:
            effect = self._effect(task, victim, now_s)
            if is_known(effect) and effect.mean >= const.HARMFUL_RATIO:
                base = self._model.expect_base(ImageName(victim.spec.image), now_s)
                left = max(0.0, const.AIM_BELOW - base.mean)
                pace = min(pace, int(100 * left / effect.upper))
        return pace

    def forget_absent(self, workers: dict) -> None:
        """Forget workers that are gone; call it every few seconds."""
        self._workers = {k: v for k, v in self._workers.items() if k in workers}

    def _choose_paces(
        self,
        serving: list[Task],
        filling: list[Task],
        state: _WorkerPacing,
        now_s: float,
    ) -> dict[TaskKey, int]:
        """Return the new paces by task; a task that is left out keeps its pace."""
        report_s = self._observer.reported_s.get(filling[0].worker, now_s)
        is_new = report_s != state.report_s
        gap_s = 0.0 if state.report_s is None else report_s - state.report_s
        state.report_s = report_s
        if is_new:
            _record_misses(serving, state, report_s, gap_s)
        if any(
            now_s - since_s >= const.STOP_ALL_AFTER_S
            for since_s in state.missed_since_s.values()
        ):
            return self._stop_all(filling, state, now_s)
        if not is_new:
            return {}
        worst = max((self._observer.ratio(t) for t in serving), default=0.0)
        if worst >= const.THROTTLE_FROM:
            if report_s - state.throttled_s < const.SETTLE_S:
                return {}
            return self._throttle(serving, filling, state, now_s)
        may_recover = now_s - state.throttled_s >= const.RECOVER_AFTER_S
        if worst < const.AIM_BELOW and may_recover:
            if report_s - state.changed_s >= const.SETTLE_S:
                return self._recover(serving, filling, state, now_s)
        return {}

    def _stop_all(
        self, filling: list[Task], state: _WorkerPacing, now_s: float
    ) -> dict[TaskKey, int]:
        state.throttled_s = now_s
        if any(task.pace for task in filling):
            self.counts["stopped"] += 1
            state.changed_s = now_s
            state.stopped_s = now_s
            self._log.record(
                now_s,
                "all filling tasks of a worker are stopped",
                worker=filling[0].worker,
                tasks=len(filling),
            )
        elif state.resends_left and now_s - state.stopped_s >= const.RESEND_S:
            state.stopped_s = now_s
            state.resends_left -= 1
        return {task.key: 0 for task in filling}

    def _throttle(
        self,
        serving: list[Task],
        filling: list[Task],
        state: _WorkerPacing,
        now_s: float,
    ) -> dict[TaskKey, int]:
        """Throttle the most harmful task, and further ones until it is enough.

        At or above the target only what certainly helps counts, so that all filling
        tasks stop while nothing is known. Below it, an unknown task is halved and its
        effect awaited before the next one.
        """
        victim = max(serving, key=self._observer.ratio)
        ratio = self._observer.ratio(victim)
        is_missed = ratio >= 1.0
        excess = ratio - const.AIM_BELOW
        state.throttled_s = now_s
        paces: dict[TaskKey, int] = {}
        for task, effect in self._by_harm(filling, victim, now_s):
            if not task.pace:
                continue
            pace, gain = _throttled_pace(task, effect, excess, is_missed)
            if pace == task.pace:
                continue
            paces[task.key] = pace
            self.counts["throttled"] += 1
            self._log_throttled(task, victim, pace, effect, now_s)
            excess -= gain
            if excess <= 0 or not (is_missed or is_known(effect)):
                break
        if paces:
            state.changed_s = now_s
        return paces

    def _recover(
        self,
        serving: list[Task],
        filling: list[Task],
        state: _WorkerPacing,
        now_s: float,
    ) -> dict[TaskKey, int]:
        """Raise the paces as far as no serving task is expected to reach AIM_BELOW."""
        left = {t.key: const.AIM_BELOW - self._observer.ratio(t) for t in serving}
        waiting = [task for task in filling if task.pace < 100]
        effects = {
            task.key: {t.key: self._effect(task, t, now_s).upper for t in serving}
            for task in waiting
        }
        waiting.sort(key=lambda task: sum(effects[task.key].values()))
        paces: dict[TaskKey, int] = {}
        for task in waiting:
            upper = effects[task.key]
            rise = min(
                [
                    const.STEP_UP_PERCENT,
                    100 - task.pace,
                    *(int(100 * left[k] / upper[k]) for k in upper if upper[k] > 0),
                ]
            )
            if rise < min(const.MIN_CHANGE_PERCENT, 100 - task.pace):
                break
            paces[task.key] = task.pace + rise
            for key, effect in upper.items():
                left[key] -= effect * rise / 100
        if paces:
            self.counts["recovered"] += len(paces)
            state.changed_s = now_s
        return paces

    def _log_throttled(
        self, task: Task, victim: Task, pace: int, effect: Estimate, now_s: float
    ) -> None:
        self._log.record(
            now_s,
            "a filling task is throttled",
            task=task.key.name,
            image=task.spec.image,
            victim=victim.spec.image,
            worker=task.worker,
            ratio=round(self._observer.ratio(victim), 2),
            pace_before=task.pace,
            pace=pace,
            effect=round(effect.mean, 2),
            evidence=round(effect.evidence, 1),
        )

    def _by_harm(
        self, filling: list[Task], victim: Task, now_s: float
    ) -> list[tuple[Task, Estimate]]:
        """Return the filling tasks with their effects, the most harmful first."""
        effects = [(task, self._effect(task, victim, now_s)) for task in filling]
        return sorted(effects, key=lambda row: -row[1].mean * row[0].pace)

    def _effect(self, task: Task, victim: Task, now_s: float) -> Estimate:
        pair = Pair(
            ImageName(task.spec.image), task.spec.fills, ImageName(victim.spec.image)
        )
        return self._model.expect(pair, now_s)


def _record_misses(
    serving: list[Task], state: _WorkerPacing, report_s: float, gap_s: float
) -> None:
    """Record since when each serving task has missed its target.

    After a long time without a report, the miss may be as old as that time.
    """
    since_s = report_s
    if gap_s > const.MAX_REPORT_GAP_S:
        since_s = report_s - gap_s
    before, state.missed_since_s = state.missed_since_s, {}
    for task in serving:
        limit = const.MISS_CLEARED_BELOW if task.key in before else 1.0
        if task.load >= limit * task.spec.target_ms:
            state.missed_since_s[task.key] = before.get(task.key, since_s)
    if not state.missed_since_s:
        state.resends_left = const.MAX_RESENDS


def _throttled_pace(
    task: Task, effect: Estimate, excess: float, is_missed: bool
) -> tuple[int, float]:
    """Return the pace of a throttled task and by how much that lowers the ratio.

    A task that is known to be harmless keeps its pace; if the target is missed in spite
    of that, `_stop_all` follows.
    """
    if is_known(effect) and effect.mean < const.HARMFUL_RATIO:
        return task.pace, 0.0
    if is_missed:
        return 0, effect.lower * task.pace / 100
    if not is_known(effect):
        return task.pace // 2, 0.0
    cut = min(task.pace, max(const.MIN_CHANGE_PERCENT, 100 * excess / effect.mean))
    pace = task.pace - int(cut)
    return pace, effect.mean * (task.pace - pace) / 100
