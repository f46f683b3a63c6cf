"""Configure the log of a process."""

import json
import logging
import logging.handlers
import queue
import sys
from datetime import UTC, datetime
from enum import Enum

STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class LogFormat(Enum):
    """Name the two log formats."""

    TEXT = "text"
    JSON = "json"


class LogTarget(Enum):
    """Name where records go."""

    STDERR = "stderr"
    STDOUT = "stdout"


# Some seconds of records on the heaviest day; about 1 KB each.
MAX_QUEUED_RECORDS = 4_000
DROPPED_MESSAGE = "logs: records were dropped, the reader is too slow"


class BoundedHandler(logging.handlers.QueueHandler):
    """Hand records to a writing thread, and drop them rather than wait.

    How many were dropped is logged as soon as there is room again.
    """

    def __init__(self, max_records: int = MAX_QUEUED_RECORDS) -> None:
        """Start with an empty queue."""
        super().__init__(queue.Queue(max_records))
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Keep the record as it is: the writer runs in the same process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            if self.dropped:
                self.queue.put_nowait(self._summary())
                self.dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def _summary(self) -> logging.LogRecord:
        fields = {"name": __name__, "levelno": logging.WARNING, "levelname": "WARNING"}
        fields |= {"msg": DROPPED_MESSAGE, "dropped": self.dropped}
        return logging.makeLogRecord(fields)


class JsonFormatter(logging.Formatter):
    """Write one JSON object a record, with the fields given as `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        time = datetime.fromtimestamp(record.created, UTC)
        fields = {
            "time": time.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            **extra_fields(record),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class TextFormatter(logging.Formatter):
    """Write one line a record, with the fields given as `extra` at its end."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line; line breaks are escaped."""
        line = super().format(record)
        pairs = " ".join(f"{k}={v}" for k, v in extra_fields(record).items())
        text = f"{line} {pairs}" if pairs else line
        return text.replace("\n", "\\n")


def extra_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields that the caller of the logger added."""
    return {k: v for k, v in vars(record).items() if k not in STANDARD_FIELDS}


def configure_logging(
    log_format: LogFormat,
    level: str = "INFO",
    target: LogTarget = LogTarget.STDERR,
    bounded: bool = False,
) -> logging.handlers.QueueListener | None:
    """Send all records to the target in the given format.

    With `bounded`, a thread writes them and a slow reader never blocks the caller;
    stop the listener that is returned to write what is left.
    """
    stream = sys.stdout if target is LogTarget.STDOUT else sys.stderr
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter()
        if log_format is LogFormat.JSON
        else TextFormatter("%(asctime)s %(levelname)s %(message)s")
    )
    logging.getLogger("werkzeug").setLevel(logging.WARNING)
    if not bounded:
        logging.basicConfig(level=level, handlers=[handler], force=True)
        return None
    queued = BoundedHandler()
    logging.basicConfig(level=level, handlers=[queued], force=True)
    listener = logging.handlers.QueueListener(queued.queue, handler)
    listener.start()
    return listener
