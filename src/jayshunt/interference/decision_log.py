"""Log decisions about interference at a bounded rate."""

import logging

_LOGGER = logging.getLogger(__name__)

# 180 workers may each throttle several tasks a second.
LINES_PER_S = 20


class DecisionLog:
    """Log at most LINES_PER_S decisions in each second, and how many were left out."""

    def __init__(self) -> None:
        """Start without decisions."""
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def record(self, now_s: float, what: str, **fields: object) -> None:
        """Log a decision at a monotonic time in seconds, unless the limit is reached.

        `left_out` in a line counts the decisions since the line before that were not
        logged.
        """
        second = int(now_s)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > LINES_PER_S:
            self._left_out += 1
            return
        extra = {**fields, "left_out": self._left_out}
        self._left_out = 0
        _LOGGER.info("interference: %s", what, extra=extra)
