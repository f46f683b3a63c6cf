"""Run a program file and record each attempt to start another process.

Usage: python audited.py LOG PROGRAM [ARGUMENT...]. The log stays empty if none was
made. Code in C is not seen here; `smoke` looks at the kernel's counts besides.
"""

import runpy
import sys

EVENTS = ("os.fork", "os.posix_spawn", "os.exec", "os.spawn", "os.system", "subprocess")


def main() -> None:
    """Install the hook and run the program in this process."""
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
