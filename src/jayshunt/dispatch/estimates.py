"""Predict run times from callers' estimates and from observed runs, by queue.

Callers' estimates are accurate for some queues and far off for others. Both the
variance of the run times and that of the estimates' errors are learned from their
logarithms. A prediction is between the mean run time and the estimate, corrected for
its bias: the smaller the errors' variance compared with that of the run times, the
closer it is to the estimate.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from jayshunt.dispatch.models import JobSpec, StepSpec
from jayshunt.ids import QueueName

RUNS_REMEMBERED = 200
MIN_RUNS = 10
MIN_RUN_MS = 1.0
# Lower bound of the variances, which are of logarithms of run times and of errors.
# Without it, both could be zero, and so the divisor in `predict_ms`.
MIN_VARIANCE = 0.05


@dataclass
class _RunHistory:
    """Store the logarithms of run times and of their ratios to the estimates."""

    runs: deque = field(default_factory=lambda: deque(maxlen=RUNS_REMEMBERED))
    errors: deque = field(default_factory=lambda: deque(maxlen=RUNS_REMEMBERED))


@dataclass
class RunTimes:
    """Learn and predict the run times of each queue."""

    history: dict[QueueName, _RunHistory] = field(default_factory=dict)

    def learn(self, queue: QueueName, step: StepSpec, took_ms: float) -> None:
        """Record a successful run."""
        if step.is_long_running or step.estimate_ms <= 0:
            return
        history = self.history.setdefault(queue, _RunHistory())
        log_ms = math.log(max(MIN_RUN_MS, took_ms))
        history.runs.append(log_ms)
        history.errors.append(log_ms - math.log(max(MIN_RUN_MS, step.estimate_ms)))

    def predict_ms(self, queue: QueueName, step: StepSpec) -> float:
        """Return the expected run time of a task of a step.

        The caller's estimate is used as it is until `MIN_RUNS` runs were observed.
        """
        history = self.history.get(queue)
        if history is None or len(history.runs) < MIN_RUNS or step.estimate_ms <= 0:
            return float(step.estimate_ms)
        mean, run_variance = _mean_and_variance(history.runs)
        bias, error_variance = _mean_and_variance(history.errors)
        trust = run_variance / (run_variance + error_variance)
        corrected = math.log(max(MIN_RUN_MS, step.estimate_ms)) + bias
        return math.exp(trust * corrected + (1 - trust) * mean)

    def critical_path_ms(self, spec: JobSpec) -> float:
        """Return the predicted duration of the longest chain of a job's steps."""
        ends: list[float] = []
        for step in spec.steps:
            start = max((ends[before] for before in step.after), default=0.0)
            ends.append(start + self.predict_ms(spec.queue, step))
        return max(ends, default=0.0)


def _mean_and_variance(values: deque) -> tuple[float, float]:
    """Return the mean and the variance, the latter at least `MIN_VARIANCE`."""
    mean = sum(values) / len(values)
    variance = sum((value - mean) ** 2 for value in values) / len(values)
    return mean, max(MIN_VARIANCE, variance)
