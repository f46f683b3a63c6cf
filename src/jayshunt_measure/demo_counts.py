"""Compare the answers of callers with the records of upstreams and workers."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from jayshunt_measure.demo_callers import Sent


@dataclass(frozen=True)
class StoppedEntry:
    """Represent the planned stop of an entry; times are monotonic seconds."""

    entry: str
    asked_s: float
    ended_s: float


@dataclass
class DemoCounts:
    """Hold the number of requests and jobs by their result.

    `false_not_run` counts requests that ran although the answer was `not_run`.
    `wrong_answer` counts answers to requests that never ran, answers to another
    request and incomplete ones. `lost` counts requests without a complete answer,
    and `cut_by_planned_stop` those of them that were in flight at an entry while it
    stopped.
    """

    requests: int = 0
    answered: int = 0
    refused_not_run: int = 0
    unknown: int = 0
    lost: int = 0
    false_not_run: int = 0
    run_twice: int = 0
    wrong_answer: int = 0
    cut_by_planned_stop: int = 0
    jobs_accepted: int = 0
    jobs_finished: int = 0
    jobs_lost: int = 0


MUST_BE_ZERO = (
    "lost",
    "false_not_run",
    "run_twice",
    "wrong_answer",
    "cut_by_planned_stop",
    "jobs_lost",
)


def count_requests(
    sent: Iterable[Sent], ran: Iterable[str], stopped: Iterable[StoppedEntry]
) -> DemoCounts:
    """Return the counts; `ran` contains the request id of each run at an upstream."""
    counts = DemoCounts()
    run_counts = Counter(ran)
    stops = list(stopped)
    for item in sent:
        counts.requests += 1
        counts.run_twice += run_counts[item.request] > 1
        if item.status == 0:
            counts.lost += 1
            counts.cut_by_planned_stop += any(_is_cut(item, stop) for stop in stops)
        elif item.outcome == "not_run":
            counts.refused_not_run += 1
            counts.false_not_run += run_counts[item.request] > 0
        elif item.outcome == "unknown":
            counts.unknown += 1
        else:
            is_correct = item.is_complete and run_counts[item.request] > 0
            counts.answered += is_correct
            counts.wrong_answer += not is_correct
    return counts


def _is_cut(item: Sent, stop: StoppedEntry) -> bool:
    return (
        item.entry == stop.entry
        and item.ended_s >= stop.asked_s
        and item.started_s <= stop.ended_s
    )
