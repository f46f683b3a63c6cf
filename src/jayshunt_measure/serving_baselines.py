"""Compute the met ratios of baselines and an upper bound for given arrivals."""

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from jayshunt_measure.serving_shapes import Arrival

BIN_S = 0.01
WORK_LEVELS = 20


@dataclass(frozen=True)
class Outage:
    """Represent slots that are lost for a time within a case."""

    slots: float
    from_s: float
    until_s: float = 1e9


@dataclass(frozen=True)
class MetRatio:
    """Hold the fraction of requests that met their target, in total and per class."""

    total: float
    worst_class: float
    by_class: dict[str, float]


def ratio_of(arrivals: Iterable[Arrival], met: dict[str, float]) -> MetRatio:
    """Return the ratios for the number of met requests per class."""
    counts: dict[str, int] = defaultdict(int)
    for arrival in arrivals:
        counts[arrival.work_class] += 1
    by_class = {name: min(1.0, met.get(name, 0) / n) for name, n in counts.items()}
    total = sum(met.values()) / max(1, sum(counts.values()))
    return MetRatio(total, min(by_class.values(), default=0.0), by_class)


def fifo(arrivals: list[Arrival], instances: int, slots: int) -> MetRatio:
    """Distribute requests round-robin; each instance serves them in arrival order."""
    queues: list[list[Arrival]] = [[] for _ in range(instances)]
    for number, arrival in enumerate(arrivals):
        queues[number % instances].append(arrival)
    met: dict[str, float] = defaultdict(float)
    for queue in queues:
        _serve_by_arrival(queue, slots, met)
    return ratio_of(arrivals, met)


def static_split(arrivals: list[Arrival], slots: int) -> MetRatio:
    """Give each class an equal share of the slots; each serves in arrival order."""
    by_class: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in arrivals:
        by_class[arrival.work_class].append(arrival)
    met: dict[str, float] = defaultdict(float)
    for queue in by_class.values():
        _serve_by_arrival(queue, max(1, slots // len(by_class)), met)
    return ratio_of(arrivals, met)


def _serve_by_arrival(queue: list[Arrival], slots: int, met: dict[str, float]) -> None:
    """Serve in arrival order and skip requests whose deadline passed in the queue.

    This favors the baseline: a plain proxy would use a slot for such a request.
    """
    free_s = [0.0] * slots
    heapq.heapify(free_s)
    for arrival in queue:
        start_s = max(arrival.at_s, free_s[0])
        deadline_s = arrival.at_s + arrival.target_ms / 1000
        if start_s >= deadline_s:
            continue
        end_s = start_s + arrival.run_ms / 1000
        heapq.heapreplace(free_s, end_s)
        if end_s <= deadline_s:
            met[arrival.work_class] += 1


def upper_bound(
    arrivals: list[Arrival], slots: int, outages: tuple[Outage, ...] = ()
) -> MetRatio:
    """Return an upper bound of the met ratio that any schedule can reach.

    All arrivals are known in advance, and work can be preempted, migrated between
    slots and run in parallel on several slots. Every request of a class runs for the
    class's mean time, because no schedule knows the run time of a single request
    before it has run. The amounts of work that can be served then form a polymatroid,
    so that taking the shortest requests first is optimal. The work that can be served
    of a set of requests is found by serving the earliest deadline first. The bound of
    a class is the ratio that it could reach if it had all slots.
    """
    arrivals = with_mean_run(arrivals)
    total = _count_served(arrivals, slots, outages)
    names = {arrival.work_class for arrival in arrivals}
    alone = {
        name: _count_served(
            [a for a in arrivals if a.work_class == name], slots, outages
        )
        for name in names
    }
    ratios = ratio_of(arrivals, alone)
    return MetRatio(total / max(1, len(arrivals)), ratios.worst_class, ratios.by_class)


def clairvoyant(
    arrivals: list[Arrival], slots: int, outages: tuple[Outage, ...] = ()
) -> float:
    """Return the bound of a schedule that also knows the run time of each request."""
    return _count_served(arrivals, slots, outages) / max(1, len(arrivals))


def with_mean_run(arrivals: list[Arrival]) -> list[Arrival]:
    """Return the arrivals with run times replaced by the mean of their class."""
    runs: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        runs[arrival.work_class].append(arrival.run_ms)
    means = {name: sum(items) / len(items) for name, items in runs.items()}
    return [replace(a, run_ms=means[a.work_class]) for a in arrivals]


def _count_served(
    arrivals: list[Arrival], slots: int, outages: tuple[Outage, ...]
) -> float:
    by_work = sorted(arrivals, key=lambda a: a.run_ms)
    served_ms, count = 0.0, 0.0
    size = max(1, -(-len(by_work) // WORK_LEVELS))
    for end in range(size, len(by_work) + size, size):
        level = by_work[end - size : end]
        if not level:
            break
        total_ms = _work_served(by_work[:end], slots, outages)
        shortest_ms = level[0].run_ms
        count += min(len(level), (total_ms - served_ms) / shortest_ms)
        served_ms = total_ms
    return count


def _work_served(
    arrivals: list[Arrival], slots: int, outages: tuple[Outage, ...]
) -> float:
    """Return the most work, in ms, that can be done between arrivals and deadlines."""
    ordered = sorted(arrivals, key=lambda a: a.at_s)
    end_s = max((a.at_s + a.target_ms / 1000 for a in ordered), default=0.0)
    waiting: list[list[float]] = []
    served_ms, position, now_s = 0.0, 0, 0.0
    while now_s < end_s:
        until_s = now_s + BIN_S
        while position < len(ordered) and ordered[position].at_s < until_s:
            arrival = ordered[position]
            deadline_s = arrival.at_s + arrival.target_ms / 1000
            heapq.heappush(waiting, [deadline_s, position, arrival.run_ms])
            position += 1
        lost = sum(o.slots for o in outages if o.from_s <= now_s < o.until_s)
        left_ms = max(0.0, slots - lost) * BIN_S * 1000
        while waiting and left_ms > 0:
            if waiting[0][0] <= now_s:
                heapq.heappop(waiting)
                continue
            done_ms = min(left_ms, waiting[0][2])
            left_ms -= done_ms
            served_ms += done_ms
            waiting[0][2] -= done_ms
            if waiting[0][2] <= 0:
                heapq.heappop(waiting)
        now_s = until_s
    return served_ms
