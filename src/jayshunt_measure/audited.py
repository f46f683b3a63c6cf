"""Run a program file and log each attempt to start another process.

Usage: python audited.py LOG PROGRAM [ARGUMENT...]. The log stays empty if there is no
attempt. Audit hooks do not see processes that C code starts, so `smoke` also checks
the kernel's counters of child processes.
"""

import runpy
import sys

EVENTS = ("os.fork", "os.posix_spawn", "os.exec", "os.spawn", "os.system", "subprocess")


def main() -> None:
    """Install the audit hook and run the program in this process."""
    _, log, program, *arguments = sys.argv
    log_file = open(log, "a", buffering=1)

    def record(event: str, details: tuple) -> None:
        if event.startswith(EVENTS):
            log_file.write(f"{event} {details!r}\n")

    sys.addaudithook(record)
    sys.argv = [program, *arguments]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
