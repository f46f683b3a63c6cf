"""Decide which jobs a queue refuses and when refused callers return; no network, clock.

The expected load: a queue submits several times what its pool can do, and callers who
are refused come back after the time that they were told. If all of them were told the
same time, they would come back as one burst, and most would be refused again.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from jayshunt.dispatch.models import JobSpec, QueueConfig
from jayshunt.dispatch.tasks import compute_critical_path_ms
from jayshunt.ids import JobId, QueueName
from jayshunt.overload.const import (
    EARLY_RETURN_S,
    KEPT_CAPACITY_SHARE,
    MAX_REFUSED,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    REMEMBER_REFUSED_S,
    RETURN_SHARE,
    USEFUL_FACTOR,
)
from jayshunt.overload.models import QueueOutlook, Refusal


def spec_core_seconds(spec: JobSpec, path_factor: float) -> float:
    """Return the predicted work of a job in core seconds."""
    return path_factor * sum(
        step.task_count * step.reserved.cpu_millicores / 1000 * step.estimate_ms / 1000
        for step in spec.steps
    )


def refuse(spec: JobSpec, queue: QueueConfig, outlook: QueueOutlook) -> Refusal | None:
    """Return a refusal if a new job would end beyond its use, None to accept it.

    A job whose predicted end is in time is accepted, and one that is late, but ends
    before it is of no use. Long-running jobs and those for later times are never
    refused.
    """
    if spec.is_long_running or spec.times:
        return None
    core_s = spec_core_seconds(spec, outlook.path_factor)
    path_s = compute_critical_path_ms(spec) / 1000 * outlook.path_factor
    objective_s = queue.stretch * path_s + queue.target_latency_ms / 1000
    if outlook.wait_s(core_s) + path_s <= objective_s:
        return None
    late_s = outlook.late_wait_s + path_s - USEFUL_FACTOR * objective_s
    return Refusal(late_s, core_s) if late_s > 0 else None


@dataclass(slots=True)
class _Return:
    """Store when a refused caller may return, and what its pool could do then."""

    queue: QueueName
    due_s: float
    capacity: float


@dataclass
class ReturnBook:
    """Give refused callers times to return, in the order in which they were refused.

    Each queue hands out times at the rate at which its pool will do their work. The
    dispatcher keeps the book in memory, so that a caller may return at any entry; with
    a new term it starts empty. `counts` are the answers by kind.
    """

    next_s: dict[QueueName, float] = field(default_factory=dict)
    refused: OrderedDict[JobId, _Return] = field(default_factory=OrderedDict)
    counts: dict[str, int] = field(
        default_factory=lambda: {"refused": 0, "early": 0, "admitted": 0}
    )

    def book(
        self, job: JobId, refusal: Refusal, outlook: QueueOutlook, now_s: float
    ) -> float:
        """Return the seconds after which a caller may return, 0 to accept its job now.

        A caller that waited until its time is accepted unless the pool lost capacity
        meanwhile. One that returns earlier keeps its time.
        """
        known = self.refused.get(job)
        if known is not None and now_s < known.due_s - EARLY_RETURN_S:
            self.counts["early"] += 1
            return float(math.ceil(known.due_s - now_s))
        if known is not None:
            if outlook.capacity >= KEPT_CAPACITY_SHARE * known.capacity:
                self.counts["admitted"] += 1
                return 0.0
            del self.refused[job]
        self.counts["refused"] += 1
        earliest_s = now_s + max(refusal.after_s, MIN_RETRY_AFTER_S)
        at_s = max(earliest_s, self.next_s.get(outlook.queue, 0.0))
        at_s = min(at_s, now_s + MAX_RETRY_AFTER_S)
        if outlook.capacity > 0:
            takes_s = refusal.core_s / (RETURN_SHARE * outlook.capacity)
            self.next_s[outlook.queue] = at_s + takes_s
        # The header has whole seconds. Callers who were refused at different moments
        # of a second also return at different moments.
        after_s = float(math.ceil(at_s - now_s))
        self.refused[job] = _Return(outlook.queue, now_s + after_s, outlook.capacity)
        self._forget(now_s)
        return after_s

    def _forget(self, now_s: float) -> None:
        """Forget the oldest refusals; each call does at most two steps of work."""
        for _ in range(2):
            if not self.refused:
                return
            oldest = next(iter(self.refused))
            is_over = now_s > self.refused[oldest].due_s + REMEMBER_REFUSED_S
            if not is_over and len(self.refused) <= MAX_REFUSED:
                return
            del self.refused[oldest]
