"""Limit the rate of VM orders to what the platform accepts; callers pass the time."""

from dataclasses import dataclass

# Fraction of the platform's rate limit to use. The platform counts the calls of all
# entries: the rest is for the last calls of the previous dispatcher and for retries of
# calls without an answer.
USED_FRACTION = 0.9
# Burst of orders allowed after a pause, in seconds of the rate.
BURST_S = 0.5
DEFAULT_PER_S = 32.0


@dataclass
class OrderBudget:
    """Limit orders with a token bucket; times are monotonic seconds."""

    per_s: float = DEFAULT_PER_S
    _tokens: float = 0.0
    _at_s: float | None = None

    def available(self, now_s: float) -> int:
        """Return the number of orders that may be sent now."""
        rate = self.per_s * USED_FRACTION
        most = max(1.0, rate * BURST_S)
        since_s = BURST_S if self._at_s is None else max(0.0, now_s - self._at_s)
        self._tokens = min(most, self._tokens + since_s * rate)
        self._at_s = now_s
        return int(self._tokens)

    def take(self, count: int) -> None:
        """Consume the budget for orders that are sent."""
        self._tokens -= count
