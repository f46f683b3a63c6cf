"""Log refusals and closed connections together at an interval."""

import logging
import threading
from collections import Counter

from jayshunt.clock import Clock
from jayshunt.serving.const import PRESSURE_LOG_INTERVAL_S

_LOGGER = logging.getLogger(__name__)

MAX_DETAIL_CHARS = 200


class PressureLog:
    """Count refusals of a server by cause, and log at most one line a second.

    A crowd of refused callers would otherwise fill the log. The first refusal after a
    calm second is logged at once; later ones are counted in the next line.
    """

    def __init__(self, server: str, clock: Clock) -> None:
        """Start without refusals; `server` names the server in the log."""
        self._server = server
        self._clock = clock
        self._lock = threading.Lock()
        self._unlogged: Counter[str] = Counter()
        self._next_s = 0.0
        self.counts: Counter[str] = Counter()

    def record(self, cause: str, client: str, detail: str = "") -> None:
        """Count a refusal, and log it with those before it if that is due."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self.counts[cause] += 1
            self._unlogged[cause] += 1
            if now_s < self._next_s:
                return
            self._next_s = now_s + PRESSURE_LOG_INTERVAL_S
            counts = dict(self._unlogged)
            self._unlogged.clear()
        _LOGGER.info(
            "serving: refused or closed",
            extra={
                "server": self._server,
                "counts": counts,
                "latest_client": client,
                "latest_detail": detail[:MAX_DETAIL_CHARS],
            },
        )
