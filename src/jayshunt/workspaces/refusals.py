"""Count and log refused calls; the log is bounded in each period."""

import logging
import threading
from collections import Counter
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.workspaces.const import MAX_REFUSAL_LINES, REFUSAL_PERIOD_S
from jayshunt.workspaces.models import RefusalReason

_LOGGER = logging.getLogger(__name__)


class RefusalLog:
    """Record refused calls by reason.

    `observe` is called for each one. At most MAX_REFUSAL_LINES are logged in
    REFUSAL_PERIOD_S, and the first line of the next period tells how many were not.
    """

    def __init__(self, clock: Clock, observe: Callable[[RefusalReason], None]) -> None:
        """Start without refusals."""
        self._clock = clock
        self._observe = observe
        self._counts: Counter[RefusalReason] = Counter()
        self._lock = threading.Lock()
        self._period_end_s = 0.0
        self._lines = 0
        self._omitted = 0

    def record(self, reason: RefusalReason, **fields: object) -> None:
        """Count a refused call and log it with `fields`, which must contain no key."""
        self._observe(reason)
        with self._lock:
            self._counts[reason] += 1
            omitted = self._take_line()
        if omitted is None:
            return
        extra = {"reason": reason.value, **fields}
        if omitted:
            extra["omitted_lines"] = omitted
        _LOGGER.info("workspaces: refused a call", extra=extra)

    def counts(self) -> dict[str, int]:
        """Return the number of refused calls by reason."""
        with self._lock:
            return {reason.value: count for reason, count in self._counts.items()}

    def _take_line(self) -> int | None:
        """Return how many lines were omitted before this one, None to omit it."""
        now_s = self._clock.monotonic_s()
        if now_s >= self._period_end_s:
            self._period_end_s = now_s + REFUSAL_PERIOD_S
            self._lines = 0
        if self._lines >= MAX_REFUSAL_LINES:
            self._omitted += 1
            return None
        self._lines += 1
        omitted, self._omitted = self._omitted, 0
        return omitted
