"""Configure the logging of a process."""

import json
import logging
import logging.handlers
import queue
import sys
from datetime import UTC, datetime
from enum import Enum

STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class LogFormat(Enum):
    """Formats of log records."""

    TEXT = "text"
    JSON = "json"


class LogTarget(Enum):
    """Streams to which log records are written."""

    STDERR = "stderr"
    STDOUT = "stdout"


# A few seconds of records on the busiest day; each takes about 1 KB.
MAX_QUEUED_RECORDS = 4_000
MAX_QUEUED_BYTES = 6 * 1024**2
# What a record takes besides its message and its traceback.
RECORD_BYTES = 1_500
# Longer texts in a record are cut.
MAX_TEXT_CHARS = 2_000
MAX_EXCEPTION_CHARS = 8_000
DROPPED_MESSAGE = "logs: records were dropped, the reader is too slow"


class RecordQueue(queue.Queue):
    """Queue of log records that is also full at MAX_QUEUED_BYTES."""

    def _init(self, maxsize: int) -> None:
        super()._init(maxsize)
        self._held_bytes = 0

    def _put(self, item: logging.LogRecord | None) -> None:
        size = _record_bytes(item)
        if self._held_bytes + size > MAX_QUEUED_BYTES:
            raise queue.Full
        self._held_bytes += size
        super()._put(item)

    def _get(self) -> logging.LogRecord | None:
        item = super()._get()
        self._held_bytes -= _record_bytes(item)
        return item


def _record_bytes(record: logging.LogRecord | None) -> int:
    """Return about how many bytes a record takes; None ends the listener."""
    if record is None:
        return 0
    return RECORD_BYTES + len(str(record.msg)) + len(record.exc_text or "")


class BoundedHandler(logging.handlers.QueueHandler):
    """Handler that queues records for a writer thread and drops them when full.

    The number of dropped records is logged as soon as the queue has space again.
    """

    def __init__(self, max_records: int = MAX_QUEUED_RECORDS) -> None:
        """Start with an empty queue."""
        super().__init__(RecordQueue(max_records))
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record with short texts, and without arguments and traceback.

        These refer to whatever the caller of the log holds, such as a request's body.
        """
        if record.args:
            record.msg, record.args = record.getMessage(), None
        if record.exc_info:
            text = logging.Formatter().formatException(record.exc_info)
            record.exc_text = text[-MAX_EXCEPTION_CHARS:]
            record.exc_info = None
        fields = vars(record)
        for name, value in fields.items():
            is_text = isinstance(value, str) and name != "exc_text"
            if is_text and len(value) > MAX_TEXT_CHARS:
                fields[name] = value[:MAX_TEXT_CHARS]
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
    """Formatter that writes one JSON object per record with its `extra` fields."""

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
        if record.exc_text:
            fields["exception"] = record.exc_text
        elif record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class TextFormatter(logging.Formatter):
    """Formatter that writes one line per record with its `extra` fields at the end."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line; line breaks are escaped."""
        line = super().format(record)
        pairs = " ".join(f"{k}={v}" for k, v in extra_fields(record).items())
        text = f"{line} {pairs}" if pairs else line
        return text.replace("\n", "\\n")


def extra_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields that the logging call passed as `extra`."""
    return {k: v for k, v in vars(record).items() if k not in STANDARD_FIELDS}


def configure_logging(
    log_format: LogFormat,
    level: str = "INFO",
    target: LogTarget = LogTarget.STDERR,
    bounded: bool = False,
) -> logging.handlers.QueueListener | None:
    """Send all records to the target in the given format.

    With `bounded`, a thread writes the records, so that a slow reader never blocks
    the caller. Stop the returned listener to write the records still queued. Without
    `bounded`, return None.
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
