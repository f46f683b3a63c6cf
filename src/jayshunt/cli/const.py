"""Define the exit codes, timeouts and intervals of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the commands, explained in EXIT_CODE_HELP."""

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
    ExitCode.DONE: "The command succeeded.",
    ExitCode.FAILED: "The command failed; the error is on standard error.",
    ExitCode.USAGE: "The command line is invalid.",
    ExitCode.INVALID_FILE: "A file is invalid; each mistake is explained.",
    ExitCode.REFUSED: "The entry refused the change; nothing was accepted.",
    ExitCode.UNKNOWN: "It is unknown whether the change was accepted; see `history`.",
    ExitCode.UNREACHABLE: "No given entry was reachable; nothing was accepted.",
    ExitCode.NOT_EVERYWHERE: "Accepted, but not in force on every process in time.",
    ExitCode.CONFLICT: "Another operator changed the same settings; nothing accepted.",
}
CALL_TIMEOUT_S = 10.0
WAIT_POLL_S = 0.2
WATCH_INTERVAL_S = 2.0
