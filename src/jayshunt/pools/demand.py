"""Learn the demand of pools; nothing here does I/O."""

from dataclasses import dataclass

# A peak is remembered with this half-life, so that the envelope follows the daily
# shape but not single bursts. 1 h, 2 h and 4 h cost more buffer and moves at the
# same met ratio (docs/decisions/fleet-capacity.md).
PEAK_HALF_LIFE_S = 1800.0
BURST_HALF_LIFE_S = 6 * 3600.0


@dataclass
class PoolMeter:
    """Learn the demand of one pool from its arrivals, in VMs of work.

    `peak` is the envelope of bursts, `burst_s` the length of long bursts.
    """

    rate: float = 0.0
    peak: float = 0.0
    burst_s: float = 0.0
    current_burst_s: float = 0.0
    shortage_s: float = 0.0

    def observe(self, rate: float, step_s: float) -> None:
        """Take the arrivals of one step."""
        self.rate = rate
        decay = 0.5 ** (step_s / PEAK_HALF_LIFE_S)
        self.peak = max(rate, self.peak * decay)
        if rate > 0.5 * self.peak:
            self.current_burst_s += step_s
        else:
            self.current_burst_s = 0.0
        slow = 0.5 ** (step_s / BURST_HALF_LIFE_S)
        self.burst_s = max(self.current_burst_s, self.burst_s * slow)
