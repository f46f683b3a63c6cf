"""Start an entry on the users' platform."""

import signal
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from jayshunt.logs import LogFormat, LogTarget, configure_logging  # noqa: E402
from jayshunt.platform.settings import load_settings, settings_path  # noqa: E402
from jayshunt.platform_entry import PlatformEntry  # noqa: E402


def main() -> None:
    """Serve until SIGTERM."""
    logs = configure_logging(LogFormat.JSON, target=LogTarget.STDOUT, bounded=True)
    process = PlatformEntry(load_settings(settings_path()))
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    # An entry reads its settings only when it starts, so SIGHUP is ignored.
    signal.signal(signal.SIGHUP, lambda *_: None)
    threading.stack_size(256 * 1024)
    process.start()
    while not stopped.wait(3600):
        pass
    process.stop()
    logs.stop()


if __name__ == "__main__":
    main()
