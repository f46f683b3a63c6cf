"""Write the events of a script to its record, one JSON object on a line.

Times are of the system's monotonic clock, which all processes share.
"""

import json
import os
import time
from pathlib import Path


class Record:
    """Append events to a file; several processes may write to the same one."""

    def __init__(self, path: Path, who: str) -> None:
        """Write events of `who` to the end of the file at `path`."""
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self._who = who

    def write(self, event: str, **fields) -> None:
        """Write one event with the present time."""
        row = {"at_s": round(time.monotonic(), 4), "who": self._who, "event": event}
        os.write(self._file, (json.dumps({**row, **fields}) + "\n").encode())


def read(path: Path) -> list[dict]:
    """Return all events in the order of their times."""
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    return sorted(rows, key=lambda row: row["at_s"])
