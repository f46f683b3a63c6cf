"""Predict run times from callers' estimates and from what was seen, by queue.

Declared run times are far off for some queues and good for others. Both the
spread of the run times and the error of the estimates are learned, as logarithms,
and a prediction weighs the estimate against the usual run time accordingly.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from jayshunt.dispatch.models import JobSpec, StepSpec
from jayshunt.ids import QueueName

RUNS_REMEMBERED = 200
MIN_RUNS = 10
MIN_RUN_MS = 1.0
# Before anything was seen, estimates are trusted.
MIN_SPREAD = 0.05


@dataclass
class _Seen:
    """Hold logarithms of run times, and of run times against their estimates."""

    runs: deque = field(default_factory=lambda: deque(maxlen=RUNS_REMEMBERED))
    errors: deque = field(default_factory=lambda: deque(maxlen=RUNS_REMEMBERED))


@dataclass
class RunTimes:
    """Own what was learned of each queue's run times."""

    seen: dict[QueueName, _Seen] = field(default_factory=dict)

    def learn(self, queue: QueueName, step: StepSpec, took_ms: float) -> None:
        """Take in a run that ended well."""
        if step.is_long_running or step.estimate_ms <= 0:
            return
        seen = self.seen.setdefault(queue, _Seen())
        log_ms = math.log(max(MIN_RUN_MS, took_ms))
        seen.runs.append(log_ms)
        seen.errors.append(log_ms - math.log(max(MIN_RUN_MS, step.estimate_ms)))

    def predict_ms(self, queue: QueueName, step: StepSpec) -> float:
        """Return how long a task of a step is likely to run."""
        seen = self.seen.get(queue)
        if seen is None or len(seen.runs) < MIN_RUNS or step.estimate_ms <= 0:
            return float(step.estimate_ms)
        mean, spread = _moments(seen.runs)
        bias, error = _moments(seen.errors)
        trust = spread / (spread + error)
        corrected = math.log(max(MIN_RUN_MS, step.estimate_ms)) + bias
        return math.exp(trust * corrected + (1 - trust) * mean)

    def critical_path_ms(self, spec: JobSpec) -> float:
        """Return the longest chain of predicted work through a job's steps."""
        ends: list[float] = []
        for step in spec.steps:
            start = max((ends[before] for before in step.after), default=0.0)
            ends.append(start + self.predict_ms(spec.queue, step))
        return max(ends, default=0.0)


def _moments(values: deque) -> tuple[float, float]:
    """Return mean and variance, the variance not below a floor."""
    mean = sum(values) / len(values)
    variance = sum((value - mean) ** 2 for value in values) / len(values)
    return mean, max(MIN_SPREAD, variance)
