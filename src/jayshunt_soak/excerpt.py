"""Pick the lines of a soak's logs that belong to violated guarantees."""

import re
from pathlib import Path

# Tasks, jobs and workers as the lines of the checks name them.
_NAMES = re.compile(r"\b[0-9a-f]{16}(?:\.\d+\.\d+\.\d+)?|\bi-[0-9a-f]{10}\b")
MAX_LINES = 120


def excerpt(folder: Path, broken: list[str]) -> str:
    """Return the log lines of a soak that name what `broken` names.

    Of more than MAX_LINES lines, the last ones are returned.
    """
    names = {name for line in broken for name in _NAMES.findall(line)}
    found = [
        f"{log.name}: {line}"
        for log in sorted((*folder.glob("*.events"), *folder.glob("entry-*.log")))
        for line in log.read_text(errors="replace").splitlines()
        if any(name in line for name in names)
    ]
    return "\n".join(found[-MAX_LINES:])
