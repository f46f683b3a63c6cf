"""Keep orders for VMs below the rate that the platform takes, without a clock."""

from dataclasses import dataclass

# The platform counts the calls of all entries; a predecessor's last ones and the
# repeats of calls without an answer are left room for.
USED_FRACTION = 0.9
# Orders that may go out at once after a pause, in seconds of the rate.
BURST_S = 0.5
DEFAULT_PER_S = 32.0


@dataclass
class OrderBudget:
    """Hold how many orders may go out now; times are steady seconds."""

    per_s: float = DEFAULT_PER_S
    _tokens: float = 0.0
    _at_s: float | None = None

    def available(self, now_s: float) -> int:
        """Return how many orders may go out now."""
        rate = self.per_s * USED_FRACTION
        most = max(1.0, rate * BURST_S)
        since_s = BURST_S if self._at_s is None else max(0.0, now_s - self._at_s)
        self._tokens = min(most, self._tokens + since_s * rate)
        self._at_s = now_s
        return int(self._tokens)

    def take(self, count: int) -> None:
        """Record that orders go out."""
        self._tokens -= count
