"""Name the exit codes and limits of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Say how a command ended."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID_FILE = 3
    REFUSED = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_EVERYWHERE = 7
    CONFLICT = 8


EXIT_CODE_HELP = {
    ExitCode.DONE: "The command did what it says.",
    ExitCode.FAILED: "The program failed inside; the error is on standard error.",
    ExitCode.USAGE: "The command line is wrong.",
    ExitCode.INVALID_FILE: "A file has mistakes; each is explained.",
    ExitCode.REFUSED: "The entry refused the change; nothing was accepted.",
    ExitCode.UNKNOWN: "It is unknown whether the change was accepted; see `history`.",
    ExitCode.UNREACHABLE: "No given entry could be reached; nothing was accepted.",
    ExitCode.NOT_EVERYWHERE: "Accepted, but not in force everywhere in time.",
    ExitCode.CONFLICT: "Another operator changed the same settings; nothing accepted.",
}
CALL_TIMEOUT_S = 10.0
WAIT_POLL_S = 0.2
WATCH_INTERVAL_S = 2.0
