"""Build workers with serving and filling tasks, and a model of their latencies."""

import random
from dataclasses import dataclass, field

from jayshunt.dispatch.models import RunningRun, RunReport, TaskKey
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_job,
    build_step,
    build_tracker,
    place,
)
from jayshunt.ids import JobId
from jayshunt.interference.control import InterferenceControl
from jayshunt.interference.models import ImageName, Neighbor, Observation, Pair

SERVING = ImageName("serving")
BASE = 0.35
TARGET_MS = 200
REPORT_INTERVAL_S = 1.0
PACE_INTERVAL_S = 0.4
TICK_S = 0.1
PACE_DELAY_TICKS = 1
WINDOW_TICKS = 5


@dataclass
class Truth:
    """Describe the true effects of a simulated fleet, as fractions of the target.

    `effects` maps an aggressor's and a victim's image to the effect of one task at full
    pace, `bases` each serving image to its latency without neighbors. `noise` is the
    relative standard deviation of reports.
    """

    effects: dict[tuple[str, str], float]
    bases: dict[str, float]
    noise: float = 0.1


@dataclass
class Outcome:
    """Sum what happened; times are in seconds.

    `over_target_s` is the time over target of all serving tasks, `longest_miss_s` the
    longest on end, `filling_s` the work of filling tasks at full pace.
    """

    over_target_s: float = 0.0
    longest_miss_s: float = 0.0
    filling_s: float = 0.0
    pace_orders: int = 0


@dataclass
class _SimulatedWorker:
    view: object
    serving: list
    filling: list
    past_paces: dict = field(default_factory=dict)
    past_ratios: dict = field(default_factory=dict)
    missed_s: dict = field(default_factory=dict)


def build_random_fleet(seed: int, noise: float = 0.1) -> "SimulatedFleet":
    """Return 30 workers with one serving and one to three filling tasks each.

    Of the pairs of 4 serving and 6 filling images, about 30 % interfere.
    """
    rng = random.Random(seed)
    serving = [f"s{number}" for number in range(4)]
    filling = [f"f{number}" for number in range(6)]
    effects = {(f, s): _random_effect(rng) for f in filling for s in serving}
    truth = Truth(effects, {s: rng.uniform(0.2, 0.5) for s in serving}, noise)
    workers = [
        (
            [rng.choice(serving)],
            [rng.choice(filling) for _ in range(rng.randint(1, 3))],
        )
        for _ in range(30)
    ]
    return SimulatedFleet(truth, workers, seed)


def drift(truth: Truth, rng: random.Random) -> None:
    """Change one in ten effects and move each base by up to a tenth."""
    for pair in truth.effects:
        if rng.random() < 0.1:
            truth.effects[pair] = _random_effect(rng)
    for image, base in truth.bases.items():
        truth.bases[image] = max(0.15, min(0.75, base + rng.uniform(-0.1, 0.1)))


def _random_effect(rng: random.Random) -> float:
    return rng.uniform(0.4, 1.0) if rng.random() < 0.3 else 0.0


class SimulatedFleet:
    """Simulate workers whose reports go through a tracker to a pacer."""

    def __init__(
        self, truth: Truth, workers: list[tuple[list[str], list[str]]], seed: int
    ) -> None:
        """Start, on each worker, tasks of the given serving and filling images."""
        self.truth = truth
        self.now_s = 100.0
        self.outcome = Outcome()
        self.slow_workers: set = set()
        self.warm_percent = 100
        self._rng = random.Random(seed)
        self.tracker = build_tracker()
        self.workers = [
            self._build_worker(number, serving, filling)
            for number, (serving, filling) in enumerate(workers)
        ]

    def run(
        self,
        seconds: float,
        pacer=None,
        control: InterferenceControl | None = None,
        ideal: bool = False,
    ) -> None:
        """Run for a time; with `ideal`, paces follow the true effects at once."""
        if pacer is None and control is not None:
            pacer = control.pacer
        for tick in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            for number, worker in enumerate(self.workers):
                self._advance(worker)
                if tick % 10 == number % 10:
                    self._report(worker)
                if ideal:
                    self._set_ideal_paces(worker)
            if tick % round(PACE_INTERVAL_S / TICK_S) == 0:
                self._pace(pacer, control)

    def true_ratio(self, task, worker: _SimulatedWorker, is_settled=False) -> float:
        """Return the latency of a serving task as a fraction of its target.

        If `is_settled`, the orders for paces have taken effect.
        """
        victim, effects = task.spec.image, self.truth.effects
        ratio = self.truth.bases[victim]
        for other in [*worker.serving, *worker.filling]:
            pace = other.pace
            if other.spec.fills and not is_settled:
                pace = worker.past_paces[other.key][-1 - PACE_DELAY_TICKS]
            if other is not task:
                ratio += effects.get((other.spec.image, victim), 0.0) * pace / 100
        return ratio

    def _build_worker(self, number: int, serving: list[str], filling: list[str]):
        view = add_worker_view(self.tracker, f"w{number}")
        tasks = []
        for position, image in enumerate([*serving, *filling]):
            is_serving = position < len(serving)
            step = build_step(
                is_long_running=True,
                image=image,
                target_ms=TARGET_MS if is_serving else 0,
                fills=not is_serving,
            )
            job = build_job(step, number=1 + 100 * number + position)
            self.tracker.add_job(job)
            tasks.append(place(self.tracker, job, 0, view, self.now_s))
        fillers = tasks[len(serving) :]
        worker = _SimulatedWorker(view, tasks[: len(serving)], fillers)
        worker.past_paces = {t.key: [100] * 3 for t in fillers}
        return worker

    def _advance(self, worker: _SimulatedWorker) -> None:
        for task in worker.filling:
            worker.past_paces[task.key].append(task.pace)
            self.outcome.filling_s += task.pace / 100 * TICK_S
        for task in worker.serving:
            ratio = self.true_ratio(task, worker)
            past = worker.past_ratios.setdefault(task.key, [])
            past.append(ratio)
            missed_s = worker.missed_s.get(task.key, 0.0) + TICK_S
            if ratio < 1.0:
                missed_s = 0.0
            else:
                self.outcome.over_target_s += TICK_S
            worker.missed_s[task.key] = missed_s
            self.outcome.longest_miss_s = max(self.outcome.longest_miss_s, missed_s)

    def _report(self, worker: _SimulatedWorker) -> None:
        rows = []
        for task in [*worker.serving, *worker.filling]:
            load = 0.0
            if task.spec.target_ms:
                window = worker.past_ratios[task.key][-WINDOW_TICKS:]
                mean = sum(window) / len(window)
                factor = max(0.3, self._rng.gauss(1.0, self.truth.noise))
                load = mean * factor * task.spec.target_ms
            rows.append(RunningRun(task.key, task.run, "", self.warm_percent, load))
        report = RunReport(int(self.now_s * 1000), 1, tuple(rows), ())
        self.tracker.apply_run_report(worker.view, report, self.now_s, self.now_s)

    def _pace(self, pacer, control: InterferenceControl | None) -> None:
        if control is not None:
            control.observe(
                self.tracker.workers, self.slow_workers.__contains__, self.now_s
            )
        for worker in self.workers if pacer is not None else ():
            for task, pace in pacer.decide(worker.view.tasks.values(), self.now_s):
                task.pace = pace
                self.outcome.pace_orders += 1

    def _set_ideal_paces(self, worker: _SimulatedWorker) -> None:
        """Throttle by the true effects, the most harmful first, to just below 1."""
        for task in worker.filling:
            task.pace = 100
        for victim in worker.serving:
            excess = self.true_ratio(victim, worker, is_settled=True) - 0.99
            pairs = [
                (self.truth.effects.get((t.spec.image, victim.spec.image), 0.0), n)
                for n, t in enumerate(worker.filling)
            ]
            for effect, number in sorted(pairs, reverse=True):
                if excess <= 0 or effect <= 0:
                    break
                task = worker.filling[number]
                cut = min(task.pace, 100 * excess / effect)
                task.pace -= cut
                excess -= effect * cut / 100


def observe_beside(
    model,
    neighbors: dict[str, float],
    ratio: float,
    now_s: float,
    worker: int = 0,
    victim: ImageName = SERVING,
) -> None:
    """Report a serving task beside filling tasks, given by image with their paces."""
    rows = tuple(
        Neighbor(ImageName(image), True, pace) for image, pace in neighbors.items()
    )
    task = TaskKey(JobId("a"), 0, 0, worker)
    model.learn(Observation(task, victim, ratio, rows), now_s)


def expect(model, image: str, now_s: float):
    """Return the expected effect of a filling image on the serving image."""
    return model.expect(Pair(ImageName(image), True, SERVING), now_s)


def train(
    model, seconds: int, effects: dict[str, float], seed: int = 0, start_s: int = 0
) -> int:
    """Report once a second on one worker without neighbors and on one for each image.

    Return the monotonic time in seconds of the last report.
    """
    rng = random.Random(seed)
    for now_s in range(start_s + 1, start_s + seconds + 1):
        observe_beside(model, {}, BASE * rng.gauss(1, 0.1), now_s)
        for worker, (image, effect) in enumerate(effects.items(), 1):
            ratio = (BASE + effect) * rng.gauss(1, 0.1)
            observe_beside(model, {image: 1.0}, ratio, now_s, worker)
    return start_s + seconds
