"""Assemble the status and the dump of this entry."""

import logging
import resource
from collections.abc import Callable
from pathlib import Path

from jayshunt import __version__
from jayshunt.operations.const import REDACTED, SECRET_WORDS

_LOGGER = logging.getLogger(__name__)

Reader = Callable[[], object]


class EntryReporter:
    """Assemble status and dump from registered functions, one per section.

    If a function fails, its section contains the error, so that one failing
    component does not hide the others.
    """

    def __init__(self) -> None:
        """Initialize with no sections other than the process in the dump."""
        self._status: dict[str, Reader] = {}
        self._dump: dict[str, Reader] = {"process": describe_process}

    def add_status(self, name: str, read: Reader) -> None:
        """Add a section to the status."""
        self._status[name] = read

    def add_dump(self, name: str, read: Reader) -> None:
        """Add a section to the dump."""
        self._dump[name] = read

    def status(self) -> dict:
        """Return the status of this entry."""
        return _read_sections(self._status)

    def dump(self) -> dict:
        """Return the status and all diagnostics, with secrets redacted."""
        return redact({"status": self.status(), **_read_sections(self._dump)})


def describe_process() -> dict:
    """Return the program version, CPU time and memory of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "program_version": __version__,
        "cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
        "memory_bytes": memory_bytes(),
    }


def memory_bytes() -> int:
    """Return the resident set size of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def redact(content: object, key: str = "") -> object:
    """Return content with the values of keys that may hold secrets replaced."""
    if any(word in key.lower() for word in SECRET_WORDS):
        return REDACTED
    if isinstance(content, dict):
        return {str(name): redact(item, str(name)) for name, item in content.items()}
    if isinstance(content, (list, tuple)):
        return [redact(item) for item in content]
    return content


def _read_sections(readers: dict[str, Reader]) -> dict:
    return {name: _read_section(name, read) for name, read in readers.items()}


def _read_section(name: str, read: Reader) -> object:
    try:
        return read()
    except Exception as error:
        _LOGGER.exception("operations: section %s cannot be read", name)
        return {"error": f"{type(error).__name__}: {error}"}
