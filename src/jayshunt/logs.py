"""Configure the log of a process."""

import json
import logging
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
) -> None:
    """Send all records to the target in the given format."""
    stream = sys.stdout if target is LogTarget.STDOUT else sys.stderr
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter()
        if log_format is LogFormat.JSON
        else TextFormatter("%(asctime)s %(levelname)s %(message)s")
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("werkzeug").setLevel(logging.WARNING)
