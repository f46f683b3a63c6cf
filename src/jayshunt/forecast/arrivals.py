"""Collect the arrivals of jobs by pool in bins of time, and find turns in them.

The expected load: pools take turns to burst for some seconds at four to five times
their mean demand, and get a twentieth of it in between.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from jayshunt.forecast.const import (
    BIN_S,
    HIGH_FACTOR,
    HISTORY_S,
    LEAD_S,
    MAX_TREND_FACTOR,
    MIN_ARRIVALS,
    MIN_TURN_BINS,
    SMOOTH_BINS,
    TREND_BINS,
    TREND_STANDARD_ERRORS,
)
from jayshunt.forecast.models import Turn
from jayshunt.ids import PoolName


@dataclass
class _Bin:
    """Sum the arrivals of one bin; `work` is in millicore seconds."""

    jobs: int = 0
    work: float = 0.0


@dataclass
class ArrivalHistory:
    """Keep the arrivals of the last `HISTORY_S`, by pool and bin.

    A pool has at most `HISTORY_S / BIN_S` bins, however many jobs arrive.
    """

    bins: dict[PoolName, dict[int, _Bin]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def record(self, pool: PoolName, accepted_s: float, work: float) -> None:
        """Record a job by the time of its acceptance; jobs may come in any order."""
        number = int(accepted_s // BIN_S)
        bins = self.bins[pool]
        if number not in bins:
            bins[number] = _Bin()
        bins[number].jobs += 1
        bins[number].work += work

    def forget_old(self, now_s: float) -> None:
        """Remove the bins that are older than `HISTORY_S`."""
        oldest = int((now_s - HISTORY_S) // BIN_S)
        for bins in self.bins.values():
            for number in [n for n in bins if n < oldest]:
                del bins[number]

    def rising_millicores(self, pool: PoolName, now_s: float) -> float:
        """Return the demand `LEAD_S` from now if its present rise goes on, 0 if none.

        The rate is extrapolated in jobs, because the work of single jobs differs by
        more than an order of magnitude, and multiplied by the mean work of a job.
        """
        bins = self.bins.get(pool)
        if not bins:
            return 0.0
        last = int(now_s // BIN_S) - 1
        recent = _count_jobs(bins, last - TREND_BINS + 1, last)
        before = _count_jobs(bins, last - 2 * TREND_BINS + 1, last - TREND_BINS)
        rise = recent - before - TREND_STANDARD_ERRORS * math.sqrt(recent + before)
        if rise <= 0:
            return 0.0
        span_s = TREND_BINS * BIN_S
        # The recent rate is that of the middle of its span.
        ahead_spans = (now_s - (last + 1) * BIN_S + LEAD_S) / span_s + 0.5
        jobs = min(recent + rise * ahead_spans, MAX_TREND_FACTOR * recent)
        total_jobs = sum(arrived.jobs for arrived in bins.values())
        mean_work = sum(arrived.work for arrived in bins.values()) / total_jobs
        return jobs / span_s * mean_work

    def find_turns(self, now_s: float) -> list[Turn]:
        """Return the turns of all pools, by start.

        The bin of `now_s` is left out, as it is not complete.
        """
        first = min((min(bins) for bins in self.bins.values() if bins), default=None)
        if first is None:
            return []
        last = int(now_s // BIN_S) - 1
        turns = [
            turn
            for pool, bins in self.bins.items()
            for turn in _find_turns_of_pool(pool, bins, first, last)
        ]
        return sorted(turns, key=lambda turn: (turn.start_s, turn.pool))


def _count_jobs(bins: dict[int, _Bin], first: int, last: int) -> int:
    return sum(bins[n].jobs for n in range(first, last + 1) if n in bins)


def _find_turns_of_pool(
    pool: PoolName, bins: dict[int, _Bin], first: int, last: int
) -> list[Turn]:
    """Return the turns of one pool between two bins.

    Edges are found in the number of jobs, because the work of single jobs differs by
    more than an order of magnitude.
    """
    counts = [bins[n].jobs if n in bins else 0 for n in range(first, last + 1)]
    total = sum(counts)
    if total < MIN_ARRIVALS:
        return []
    threshold = HIGH_FACTOR * total / len(counts)
    is_high = [value > threshold for value in _smooth(counts)]
    return [
        _build_turn(pool, bins, first + begin, first + end, end == len(counts))
        for begin, end in _spans(is_high)
        if end - begin >= MIN_TURN_BINS
    ]


def _smooth(counts: list[int]) -> list[float]:
    """Return the mean of each bin and its neighbors."""
    reach = SMOOTH_BINS // 2
    smoothed: list[float] = []
    for number in range(len(counts)):
        window = counts[max(0, number - reach) : number + reach + 1]
        smoothed.append(sum(window) / len(window))
    return smoothed


def _spans(is_high: list[bool]) -> list[tuple[int, int]]:
    """Return begin and end of each run of True."""
    spans: list[tuple[int, int]] = []
    begin: int | None = None
    for number, high in enumerate([*is_high, False]):
        if high and begin is None:
            begin = number
        elif not high and begin is not None:
            spans.append((begin, number))
            begin = None
    return spans


def _build_turn(
    pool: PoolName, bins: dict[int, _Bin], begin: int, end: int, is_open: bool
) -> Turn:
    work = sum(bins[n].work for n in range(begin, end) if n in bins)
    length_s = (end - begin) * BIN_S
    return Turn(pool, begin * BIN_S, end * BIN_S, work / length_s, is_open)
