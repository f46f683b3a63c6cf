"""Find starts that rested on a wrong belief, in the logs of any number of processes."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from jayshunt.dispatch.explain import LogRecord, parse
from jayshunt.dispatch.fleet import WorkerEnd

PLACED = "dispatch: placed"
WORKER_OVER = "dispatch: a worker is over"
# Ends after which the same incarnation never answers again.
FINAL_ENDS = (WorkerEnd.RESTARTED.value, WorkerEnd.REPLACED.value)


def audit_starts(lines: Iterable[str]) -> list[str]:
    """Return the starts that were wrong by what the processes knew, then or later.

    Each is preceded by the reason: `limit`, more tasks of the step on the worker than
    it allows; `label`, the worker lacks the one that is required; `pool`, other starts
    of the queue under the same version of the configuration went to another pool;
    `life`, an earlier line of any process shows a later life of the worker, or that
    this one is over; `stale`, a later line shows that another life of the worker had
    begun when the start was placed, by the clocks of both. Lines without the fields of
    a check pass it.

    Example: `limit  08:00:00.258  dispatch: placed  task=a1.0.0.1 run=7 worker=w1
    of_step=2 max_per_worker=1`.
    """
    records = [record for record in map(parse, lines) if record is not None]
    records.sort(key=lambda record: record.time)
    pools, begins_ms = _pools(records), _begins_ms(records)
    lives = _Lives()
    found: list[str] = []
    for record in records:
        if record.message == PLACED:
            reasons = _mistakes(record.fields, pools)
            if lives.is_over(record.fields):
                reasons.append("life")
            elif _is_stale(record, begins_ms):
                reasons.append("stale")
            found += [f"{reason}  {record.text}" for reason in reasons]
        lives.learn(record)
    return found


def _pools(records: list[LogRecord]) -> dict[tuple, str]:
    """Return the pool of most starts of each queue, by version and queue."""
    counts: dict[tuple, Counter] = defaultdict(Counter)
    for record in records:
        if record.message == PLACED and record.fields.get("config") is not None:
            counts[_queue(record.fields)][record.fields.get("pool")] += 1
    return {queue: count.most_common(1)[0][0] for queue, count in counts.items()}


def _begins_ms(records: list[LogRecord]) -> dict[str, set[int]]:
    """Return when the lives of each worker began that any line shows."""
    begins_ms: dict[str, set[int]] = defaultdict(set)
    for record in records:
        if record.fields.get("worker") and record.fields.get("born"):
            begins_ms[record.fields["worker"]].add(record.fields["born"])
    return begins_ms


def _is_stale(record: LogRecord, begins_ms: dict[str, set[int]]) -> bool:
    """Return whether a life after the one of a start had begun before the start."""
    born, placed_ms = record.fields.get("born"), record.time.timestamp() * 1000
    later = begins_ms.get(record.fields.get("worker"), ())
    return bool(born) and any(born < begun <= placed_ms for begun in later)


def _queue(fields: dict) -> tuple:
    return fields.get("config"), fields.get("queue")


def _mistakes(fields: dict, pools: dict[tuple, str]) -> list[str]:
    found: list[str] = []
    if fields.get("of_step", 0) > fields.get("max_per_worker", 0):
        found.append("limit")
    label = fields.get("required_label")
    if label is not None and label not in fields.get("labels", ()):
        found.append("label")
    if fields.get("pool") != pools.get(_queue(fields), fields.get("pool")):
        found.append("pool")
    return found


class _Lives:
    """Know the latest life of each worker, and the lives that are over."""

    def __init__(self) -> None:
        self._latest: dict[str, int] = {}
        self._over: set[tuple[str, int]] = set()

    def learn(self, record: LogRecord) -> None:
        """Learn from a record that names a worker and perhaps its life (`born`).

        An end without `born` is that of the latest life.
        """
        worker = record.fields.get("worker")
        if worker is None:
            return
        latest = self._latest.get(worker, 0)
        born = record.fields.get("born") or latest
        self._latest[worker] = max(born, latest)
        reason = str(record.fields.get("reason", ""))
        if record.message == WORKER_OVER and reason.startswith(FINAL_ENDS):
            self._over.add((worker, born))

    def is_over(self, fields: dict) -> bool:
        """Return whether a start was meant for a life known to be over."""
        worker, born = fields.get("worker"), fields.get("born")
        if worker is None or born is None:
            return False
        return (worker, born) in self._over or born < self._latest.get(worker, 0)
