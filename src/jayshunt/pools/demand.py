"""Estimate the demand of pools; the code here does no I/O."""

from dataclasses import dataclass

# The peak decays with this half-life, so that it follows the daily load curve but
# not single bursts. 1 h, 2 h and 4 h cost more buffer and more moves for the same
# ratio of targets met (docs/decisions/fleet-capacity.md).
PEAK_HALF_LIFE_S = 1800.0
# Half-life of the decaying maximum of the burst lengths.
BURST_HALF_LIFE_S = 6 * 3600.0


@dataclass
class PoolMeter:
    """Estimate the demand of one pool from its arrival rate, in VMs of work.

    `peak` is the decaying maximum of the rate, `burst_s` the decaying maximum of
    the time for which the rate stayed above half of the peak. `shortage_s` is how
    long the pool has had fewer VMs than it needs; the caller sets it.
    """

    rate: float = 0.0
    peak: float = 0.0
    burst_s: float = 0.0
    current_burst_s: float = 0.0
    shortage_s: float = 0.0

    def observe(self, rate: float, step_s: float) -> None:
        """Update the estimates with the arrival rate of one step."""
        self.rate = rate
        decay = 0.5 ** (step_s / PEAK_HALF_LIFE_S)
        self.peak = max(rate, self.peak * decay)
        if rate > 0.5 * self.peak:
            self.current_burst_s += step_s
        else:
            self.current_burst_s = 0.0
        slow = 0.5 ** (step_s / BURST_HALF_LIFE_S)
        self.burst_s = max(self.current_burst_s, self.burst_s * slow)
