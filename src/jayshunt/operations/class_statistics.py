"""Measure each class against its target."""

import math
import threading
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot, WorkKind
from jayshunt.ids import ClassName
from jayshunt.operations.const import (
    BUCKET_COUNT,
    BUCKET_GROWTH,
    FIRST_BUCKET_MS,
    MAX_REFUSAL_CODES,
    MET_RATIO,
    SLICE_S,
    WINDOW_S,
)
from jayshunt.operations.models import ClassCounts, ClassStatus

_GROWTH_LOG = math.log(BUCKET_GROWTH)


@dataclass
class Totals:
    """Counts of requests in an interval.

    `met` counts answers within the target, `buckets` counts answers by bucket of
    their duration, and `refused` counts refused or failed requests by error code.
    """

    requests: int = 0
    met: int = 0
    sum_ms: float = 0.0
    buckets: Counter[int] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    def add(self, duration_ms: float, met: bool, refusal: str | None) -> None:
        """Count one request."""
        self.requests += 1
        if refusal is None:
            self.met += met
            self.sum_ms += duration_ms
            self.buckets[bucket_index(duration_ms)] += 1
            return
        known = refusal in self.refused or len(self.refused) < MAX_REFUSAL_CODES
        self.refused[refusal if known else "other"] += 1

    def merge(self, other: "Totals") -> None:
        """Add the counts of another interval."""
        self.requests += other.requests
        self.met += other.met
        self.sum_ms += other.sum_ms
        self.buckets.update(other.buckets)
        self.refused.update(other.refused)


@dataclass
class ClassWindow:
    """Counts of a class since the start, and for the last minute in time slices.

    Each slice is stored with its number, the monotonic time divided by SLICE_S.
    """

    slices: deque[tuple[int, Totals]] = field(
        default_factory=lambda: deque(maxlen=int(WINDOW_S / SLICE_S))
    )
    total: Totals = field(default_factory=Totals)


class ClassStatistics:
    """Count the requests of each class in bounded memory."""

    def __init__(self, clock: Clock) -> None:
        """Initialize without counts."""
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[ClassName, ClassWindow] = {}

    def record(
        self,
        work_class: ClassName,
        duration_ms: float,
        target_ms: float,
        refusal: str | None = None,
    ) -> None:
        """Record a finished request; `refusal` is its error code, None on success."""
        met = duration_ms <= target_ms
        number = int(self._clock.monotonic_s() // SLICE_S)
        with self._lock:
            window = self._windows.setdefault(work_class, ClassWindow())
            if not window.slices or window.slices[-1][0] != number:
                window.slices.append((number, Totals()))
            window.slices[-1][1].add(duration_ms, met, refusal)
            window.total.add(duration_ms, met, refusal)

    def counts(self, config: ConfigSnapshot) -> list[ClassCounts]:
        """Return the counts of each request class for the last minute."""
        oldest = (self._clock.monotonic_s() - WINDOW_S) // SLICE_S
        result = []
        for name, work_class in sorted(config.document.classes.items()):
            if work_class.kind is not WorkKind.REQUEST:
                continue
            recent = Totals()
            with self._lock:
                window = self._windows.get(name, ClassWindow())
                for number, totals in window.slices:
                    if number > oldest:
                        recent.merge(totals)
            result.append(
                ClassCounts(
                    name,
                    work_class.target_ms,
                    recent.requests,
                    recent.met,
                    dict(recent.buckets),
                    dict(recent.refused),
                )
            )
        return result

    def fastest_ms(self, work_class: ClassName) -> float | None:
        """Return a lower bound of all durations of a class, None without answers."""
        with self._lock:
            window = self._windows.get(work_class)
            if window is None or not window.total.buckets:
                return None
            fastest = min(window.total.buckets)
        # A bucket's bound is an upper limit, so the bound of the bucket below it is
        # lower than every recorded duration.
        return 0.0 if fastest == 0 else bucket_upper_bound_ms(fastest - 1)

    def totals(self) -> dict[ClassName, Totals]:
        """Return the counts since the start."""
        result: dict[ClassName, Totals] = {}
        with self._lock:
            for name, window in self._windows.items():
                result[name] = Totals()
                result[name].merge(window.total)
        return result


def merge_status(counts: Iterable[ClassCounts]) -> list[ClassStatus]:
    """Return the status of each class from the counts of all entries."""
    merged: dict[ClassName, tuple[int, Totals]] = {}
    for item in counts:
        _, totals = merged.setdefault(item.work_class, (item.target_ms, Totals()))
        totals.merge(
            Totals(
                item.requests,
                item.met,
                0.0,
                Counter(item.buckets),
                Counter(item.refused),
            )
        )
    return [
        _class_status(name, target_ms, totals)
        for name, (target_ms, totals) in sorted(merged.items())
    ]


def bucket_index(duration_ms: float) -> int:
    """Return the index of a duration's bucket; the last one has no upper bound."""
    if duration_ms <= FIRST_BUCKET_MS:
        return 0
    number = math.ceil(math.log(duration_ms / FIRST_BUCKET_MS) / _GROWTH_LOG)
    return min(number, BUCKET_COUNT - 1)


def bucket_upper_bound_ms(number: int) -> float:
    """Return the nominal inclusive upper bound of a bucket."""
    return FIRST_BUCKET_MS * BUCKET_GROWTH**number


def percentile_ms(buckets: dict[int, int], ratio: float) -> float:
    """Return the upper bound of the bucket of a percentile; 0 without answers.

    `ratio` is the percentile as a number between 0 and 1.
    """
    rank = ratio * sum(buckets.values())
    cumulative = 0
    for number in sorted(buckets):
        cumulative += buckets[number]
        if cumulative >= rank:
            return bucket_upper_bound_ms(number)
    return 0.0


def _class_status(name: ClassName, target_ms: int, totals: Totals) -> ClassStatus:
    refused = sum(totals.refused.values())
    is_met = totals.met >= MET_RATIO * totals.requests
    return ClassStatus(
        name,
        target_ms,
        totals.requests,
        totals.met,
        refused,
        round(percentile_ms(totals.buckets, 0.99), 1),
        is_met,
        "" if is_met else _explain_miss(totals, refused),
    )


def _explain_miss(totals: Totals, refused: int) -> str:
    late = totals.requests - refused - totals.met
    parts = [f"{count} {code}" for code, count in totals.refused.most_common(3)]
    if late:
        parts.append(f"{late} answered late")
    return f"of {totals.requests}: " + ", ".join(parts)
