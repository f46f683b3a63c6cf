"""Start an entry on the users' platform."""

import signal
import sys
import threading
from dataclasses import replace
from pathlib import Path

# An entry reads its settings only when it starts, so SIGHUP is ignored: from here on,
# as one that arrives during the imports would end the process, and by the kernel, as
# the interpreter restores handlers of its own while it ends.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from jayshunt.allocator import limit_free_memory  # noqa: E402
from jayshunt.dispatch.features import load_features  # noqa: E402
from jayshunt.logs import LogFormat, LogTarget, configure_logging  # noqa: E402
from jayshunt.platform.settings import load_settings, settings_path  # noqa: E402
from jayshunt.platform_entry import PlatformEntry  # noqa: E402

FEATURES = Path(__file__).resolve().parent / "features.toml"


def main() -> None:
    """Serve until SIGTERM."""
    limit_free_memory()
    logs = configure_logging(LogFormat.JSON, target=LogTarget.STDOUT, bounded=True)
    node = replace(load_settings(settings_path()), features=load_features(FEATURES))
    process = PlatformEntry(node)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    threading.stack_size(256 * 1024)
    process.start()
    while not stopped.wait(3600):
        pass
    process.stop()
    logs.stop()


if __name__ == "__main__":
    main()
