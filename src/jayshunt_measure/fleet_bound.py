"""Compute bounds for any policy, with the demand known in advance."""

import math
from collections import deque

from jayshunt.pools.capacity import loss_reserve
from jayshunt_measure.fleet_model import serve
from jayshunt_measure.fleet_script import Script

WINDOW_S = 600
HOUR_S = 3600


def bound_met_ratio(script: Script) -> float:
    """Return the met ratio of a single queue that all VMs serve at all times."""
    merged = [sum(rates) for rates in script.rates]
    total = len(script.pool_of)
    return _met_ratio(merged, total, script.size.step_s, script.size.target_s)


def bound_buffer_vm_s(script: Script) -> float:
    """Return the minimum of idle VM seconds, as if VMs moved at no cost.

    Each window uses the smallest number of VMs that serves the demand of all pools
    as one queue, plus the reserve for the loss of a zone. The reserve is needed even
    if the demand is known, because the fleet must survive such a loss.
    """
    size = script.size
    per_window = max(1, WINDOW_S // size.step_s)
    idle = 0.0
    for first in range(0, len(script.rates), per_window):
        merged = [sum(rates) for rates in script.rates[first : first + per_window]]
        needed = _least_vms(merged, len(script.pool_of), size.step_s, size.target_s)
        needed = max(needed, size.pools)
        allocated = needed + loss_reserve(needed, size.zones)
        idle += allocated * size.step_s * len(merged) - sum(merged) * size.step_s
    return idle


def bound_moves(script: Script) -> int:
    """Return a lower bound of the moves of any policy on a fixed fleet.

    From one hour to a later one, the pools that need more VMs must get at least the
    sum of their increases, minus the VMs that the fleet has in excess of all needs.
    The bound is the largest sum over a chain of hours, each at most 24 hours after the
    one before.
    """
    size, total = script.size, len(script.pool_of)
    per_hour = HOUR_S // size.step_s
    needs = []
    for first in range(0, len(script.rates) - per_hour + 1, per_hour):
        hour = script.rates[first : first + per_hour]
        needs.append(
            [
                _least_vms([r[pool] for r in hour], total, size.step_s, size.target_s)
                for pool in range(size.pools)
            ]
        )
    best = [0] * len(needs)
    for later in range(len(needs)):
        for earlier in range(max(0, later - 24), later):
            increases = sum(
                max(0, after - before)
                for before, after in zip(needs[earlier], needs[later], strict=True)
            )
            slack = max(0, total - sum(needs[earlier]))
            best[later] = max(best[later], best[earlier] + max(0, increases - slack))
    return max(best, default=0)


def _least_vms(rates: list[float], max_vms: int, step_s: int, target_s: float) -> int:
    low, high = max(1, math.floor(min(rates))), max_vms
    while low < high:
        middle = (low + high) // 2
        if _met_ratio(rates, middle, step_s, target_s) >= 1 - 1e-6:
            high = middle
        else:
            low = middle + 1
    return low


def _met_ratio(rates: list[float], vms: int, step_s: int, target_s: float) -> float:
    queue: deque = deque()
    met = arrived = now_s = 0.0
    for rate in rates:
        now_s += step_s
        work = rate * step_s
        arrived += work
        queue.append((now_s, work))
        met += serve(queue, vms * step_s, now_s, target_s)[1]
    while queue:
        now_s += step_s
        met += serve(queue, vms * step_s, now_s, target_s)[1]
    return met / arrived if arrived else 1.0
