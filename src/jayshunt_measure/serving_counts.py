"""Compare the answers of callers with the records of upstreams."""

from collections import Counter
from dataclasses import dataclass, field

from jayshunt_measure.serving_baselines import MetRatio, ratio_of
from jayshunt_measure.serving_load import Sent

LATE_REFUSAL_RATIO = 0.1


@dataclass
class UpstreamRecord:
    """Aggregate the records of all instances."""

    durations_ms: dict[str, float] = field(default_factory=dict)
    ran: Counter = field(default_factory=Counter)
    received: Counter = field(default_factory=Counter)
    over_slots: dict[str, int] = field(default_factory=dict)
    last_start_after_leaving_ms: float = 0.0
    direct_over_slots: int = 0

    @property
    def slots_exceeded(self) -> int:
        """Return how many requests through jayshunt arrived without a free slot."""
        return sum(self.over_slots.values()) - self.direct_over_slots

    def end_direct(self) -> None:
        """Exclude the direct requests so far, which need no permit."""
        self.direct_over_slots = sum(self.over_slots.values())

    def add(self, vm: str, report: dict) -> None:
        """Add one report of an instance."""
        self.over_slots[vm] = report["over_slots"]
        self.received.update(report["received"])
        leaving_s = report["leaving_since_s"]
        for item in report["ran"]:
            self.ran[item["request"]] += 1
            duration_ms = (item["ended_s"] - item["started_s"]) * 1000
            self.durations_ms[item["request"]] = duration_ms
            if leaving_s is not None and item["leaving"]:
                after_ms = (item["started_s"] - leaving_s) * 1000
                self.last_start_after_leaving_ms = max(
                    self.last_start_after_leaving_ms, after_ms
                )


@dataclass
class Counts:
    """Hold the number of requests by result, and of faults that must not happen.

    `faulty` are error answers whose outcome is neither not_run nor unknown,
    `broken_by_kill` the requests that were cut by the kill of their entry.
    """

    requests: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    faulty: int = 0
    broken_by_kill: int = 0
    cancelled: int = 0
    refused_late: int = 0
    false_not_run: int = 0
    run_twice: int = 0
    wrong_answer: int = 0
    lost: int = 0
    cut_by_planned_stop: int = 0

    def add(self, other: "Counts") -> None:
        """Add the counts of another case."""
        for name, value in vars(other).items():
            setattr(self, name, getattr(self, name) + value)


def count(sent: list[Sent], record: UpstreamRecord, stopped: bool) -> Counts:
    """Return the counts of one case; `stopped` is set if it has a planned stop."""
    counts = Counts(requests=len(sent))
    for item in sent:
        run_count = record.ran[item.request]
        if item.arrival.marked and run_count > 1:
            counts.run_twice += 1
        if item.cancelled:
            counts.cancelled += 1
        elif item.broken_by == "kill":
            counts.broken_by_kill += 1
        elif item.broken_by:
            counts.lost += 1
            counts.cut_by_planned_stop += stopped
        elif item.status == 200:
            counts.answered += 1
            counts.wrong_answer += not item.is_correct or run_count == 0
        elif item.outcome == "not_run":
            counts.refused += 1
            counts.refused_late += is_late_refusal(item)
            # After a retry at another entry, only the first entry could know that the
            # request was received.
            if len(item.entries) == 1:
                counts.false_not_run += record.received[item.request] > 0
        elif item.outcome == "unknown":
            counts.unknown += 1
        else:
            counts.faulty += 1
    return counts


def is_late_refusal(item: Sent) -> bool:
    """Return whether a request was refused after more than a tenth of its target."""
    limit_ms = LATE_REFUSAL_RATIO * item.arrival.target_ms
    was_refused = item.status != 200 and item.outcome == "not_run"
    return was_refused and item.latency_ms > limit_ms


def met_ratio(sent: list[Sent]) -> MetRatio:
    """Return the fraction of requests that met their target."""
    kept = [item for item in sent if not item.cancelled]
    met: Counter = Counter()
    for item in kept:
        met[item.arrival.work_class] += item.met
    return ratio_of([item.arrival for item in kept], met)


def quantile(values: list[float], ratio: float) -> float:
    """Return a quantile, or 0 if there are no values."""
    ordered = sorted(values)
    return ordered[int(ratio * (len(ordered) - 1))] if ordered else 0.0
