"""Name the exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Document how a command ended."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID_FILE = 3
    REFUSED = 4
    UNKNOWN = 5
    UNREACHABLE = 6
