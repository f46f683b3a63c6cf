"""Extract the history of one job from the logs of any number of processes."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

HIDDEN_FIELDS = frozenset({"time", "level", "logger", "message"})
# Prefixes of messages about events that affect all jobs: changes of the dispatcher,
# the store, and workers.
CONTEXT_PREFIXES = (
    "dispatch: took over",
    "dispatch: gave up the term",
    "dispatch: hands over",
    "dispatch: jobs of earlier terms wait for a worker",
    "dispatch: a VM changed its state",
    "dispatch: all runs of earlier terms are known",
    "dispatch: progress was not stored",
    "dispatch: the term was",
    "config: the store is",
    "dispatch: a worker is over",
    "dispatch: runs of a worker are over",
    "dispatch: a worker is set aside",
)


@dataclass(frozen=True)
class LogRecord:
    """Store one log record."""

    time: datetime
    message: str
    fields: dict

    @property
    def text(self) -> str:
        """Return the record as one line."""
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items())
        stamp = self.time.strftime("%H:%M:%S.%f")[:-3]
        return f"{stamp}  {self.message}  {pairs}".rstrip()


def parse(line: str) -> LogRecord | None:
    """Parse a log line into its record, ignoring any text before the JSON object.

    Return None if the line is not a record.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
        time = datetime.fromisoformat(fields["time"])
        message = fields["message"]
    except (ValueError, KeyError, TypeError):
        return None
    return LogRecord(
        time, message, {k: v for k, v in fields.items() if k not in HIDDEN_FIELDS}
    )


def explain(job: str, lines: Iterable[str]) -> list[str]:
    """Return the records of a job in time order, with events affecting all jobs.

    Events are included from the job's first record to its last. An event that names a
    worker is included only if the job's own records name that worker too.
    """
    records = [record for record in map(parse, lines) if record is not None]
    own = [record for record in records if _belongs_to(job, record)]
    if not own:
        return []
    workers = {record.fields.get("worker") for record in own} - {None}
    first = min(record.time for record in own)
    last = max(record.time for record in own)
    context = [
        record
        for record in records
        if first <= record.time <= last and _is_context(record, workers)
    ]
    shown = {id(record): record for record in [*own, *context]}
    return [r.text for r in sorted(shown.values(), key=lambda record: record.time)]


def _belongs_to(job: str, record: LogRecord) -> bool:
    task = record.fields.get("task")
    return record.fields.get("job") == job or (
        isinstance(task, str) and task.partition(".")[0] == job
    )


def _is_context(record: LogRecord, workers: set) -> bool:
    if not record.message.startswith(CONTEXT_PREFIXES):
        return False
    worker = record.fields.get("worker")
    return worker is None or worker in workers
