"""Compute how many VMs each pool needs; the functions here do no I/O.

All pools share one buffer. A pool keeps enough VMs to meet its target until VMs
from the buffer arrive; the buffer covers the worst burst of a single pool plus
the worst single loss.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from jayshunt.config.models import CapacityObjective
from jayshunt.ids import PoolName

# Under `moves`, a pool gives up a VM only while it has more than this many VMs above
# its need, so that a need that varies around a whole number does not move a VM back
# and forth. Under `buffer_cost`, it gives up its whole surplus if that is at least
# this many VMs.
SURPLUS_MARGIN = 1
# Under `moves`, a pool gets a VM only after it was short of one for as long as a
# move takes. Waiting 300 s or 900 s saved moves but missed more targets.
MIN_SHORTAGE_S = 60.0


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Describe the demand and the VMs of one pool; work is in VM seconds.

    `rate_vms` is the measured arrival rate, as the number of VMs that it keeps busy,
    `burst_vms` the highest rate of the last hours in the same unit, and `burst_s` the
    length of long bursts. `vms` is the number of VMs that take work now, `arriving`
    the number that is moving to the pool. `shortage_s` is how long the pool has had
    fewer VMs than it needs. The pool always keeps `min_vms`. `oldest_s` is how long
    the oldest work has waited.
    """

    pool: PoolName
    rate_vms: float
    burst_vms: float
    burst_s: float
    backlog_vm_s: float
    target_s: float
    vms: int
    arriving: int = 0
    shortage_s: float = 0.0
    min_vms: int = 1
    oldest_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """The change in VMs of each pool: negative if it gives up VMs.

    The sum is taken from the buffer or returned to it. Under `buffer_cost`,
    `buffer_vms` is the number of VMs that the buffer must keep in addition to those
    in the pools; the rest of the buffer may be released. Under `moves`, it is not
    computed and is 0.
    """

    changes: Mapping[PoolName, int]
    buffer_vms: int
    reasons: Mapping[PoolName, str]


def vms_for_bursts(load: PoolLoad) -> int:
    """Return the number of VMs with which a burst's last request meets its target.

    A burst of rate r and length L on c VMs leaves a backlog of (r - c) * L, which
    takes (r - c) * L / c to serve. That equals the target T for
    c = r * L / (L + T).
    """
    needed = load.burst_vms * load.burst_s / (load.burst_s + load.target_s)
    return max(load.min_vms, math.ceil(needed - 1e-6))


def vms_for_current_load(load: PoolLoad, arrival_s: float) -> int:
    """Return the number of VMs that serve the current load within the target.

    The backlog has already waited and waits until VMs arrive, so only a part of
    the target remains for it. The VMs are sized to serve it in half of that
    remaining time, but in no less than a tenth of the target.
    """
    remaining_s = load.target_s - arrival_s - load.oldest_s
    slack_s = max(0.5 * remaining_s, 0.1 * load.target_s)
    needed = load.rate_vms + load.backlog_vm_s / slack_s
    # The longest burst needs no more than `max_needed` VMs once they have arrived; the
    # need is limited to one more. A fraction of up to 0.25 VM is rounded down.
    remaining_s = max(1.0, load.target_s - arrival_s)
    max_needed = load.burst_vms * load.burst_s / max(1.0, load.burst_s + remaining_s)
    needed = min(needed, max_needed + 1)
    return max(load.min_vms, math.ceil(needed - 0.25))


def loss_reserve(vms: int, zones: int) -> int:
    """Return the number of VMs that replace the worst single loss.

    With several zones that is the loss of a zone. VMs are spread evenly over the
    zones, so it removes one equal share of them, which is more than the loss of a
    rack of four as soon as `vms` exceeds four times `zones - 1`. With one zone the
    result is a single VM.
    """
    return math.ceil(vms / max(1, zones - 1)) if zones > 1 else 1


def plan_capacity(
    loads: Iterable[PoolLoad],
    spare: int,
    zones: int,
    arrival_s: float,
    weigh_first: CapacityObjective,
) -> CapacityPlan:
    """Return the changes in VMs that the pools need now.

    `spare` is the number of VMs in the buffer. Under `buffer_cost`, pools follow
    their current demand and return the VMs that they do not need. Under `moves`,
    pools are sized for their bursts, and a VM moves only to end a lasting shortage.
    """
    if weigh_first is CapacityObjective.MOVES:
        return _plan_for_few_moves(list(loads), spare)
    return _plan_for_small_buffer(list(loads), spare, zones, arrival_s)


def _plan_for_small_buffer(
    loads: list[PoolLoad], spare: int, zones: int, arrival_s: float
) -> CapacityPlan:
    changes, reasons = {}, {}
    for load in loads:
        need, have = vms_for_current_load(load, arrival_s), load.vms + load.arriving
        surplus = load.vms - need
        if surplus >= SURPLUS_MARGIN and not load.arriving:
            changes[load.pool] = -surplus
            reasons[load.pool] = f"needs {need} of {have} VMs"
            spare += surplus
    by_backlog = sorted(
        loads, key=lambda item: item.backlog_vm_s / max(1, item.vms), reverse=True
    )
    for load in by_backlog:
        need, have = vms_for_current_load(load, arrival_s), load.vms + load.arriving
        taken = min(max(0, need - have), spare)
        if taken > 0 and load.pool not in changes:
            changes[load.pool] = taken
            reasons[load.pool] = f"needs {need} VMs, has {have}"
            spare -= taken
    # VMs above a pool's minimum serve a burst now: they are the used part of the
    # buffer.
    worst_burst = max(
        (vms_for_bursts(load) - load.min_vms for load in loads), default=0
    )
    in_use = sum(
        max(0, load.vms + load.arriving + changes.get(load.pool, 0) - load.min_vms)
        for load in loads
    )
    pool_vms = sum(load.min_vms for load in loads) + max(worst_burst, in_use)
    buffer_vms = max(0, worst_burst - in_use) + loss_reserve(pool_vms, zones)
    return CapacityPlan(changes, buffer_vms, reasons)


def _plan_for_few_moves(loads: list[PoolLoad], spare: int) -> CapacityPlan:
    changes: dict[PoolName, int] = {}
    reasons: dict[PoolName, str] = {}
    needs = {load.pool: vms_for_bursts(load) for load in loads}
    have = {load.pool: load.vms + load.arriving for load in loads}
    surplus = {
        load.pool: load.vms - needs[load.pool]
        for load in loads
        if load.vms - needs[load.pool] > SURPLUS_MARGIN and not load.arriving
    }
    for load in sorted(loads, key=lambda item: have[item.pool] - needs[item.pool]):
        shortage = needs[load.pool] - have[load.pool]
        if shortage <= 0 or load.shortage_s < MIN_SHORTAGE_S:
            continue
        reasons[load.pool] = f"needs {needs[load.pool]} VMs, has {have[load.pool]}"
        for _ in range(shortage):
            if spare > 0:
                spare -= 1
            elif surplus and max(surplus.values()) > SURPLUS_MARGIN:
                donor = max(surplus, key=lambda pool: surplus[pool])
                surplus[donor] -= 1
                changes[donor] = changes.get(donor, 0) - 1
                reasons[donor] = f"{load.pool} lacks VMs, {donor} needs fewer"
            else:
                break
            changes[load.pool] = changes.get(load.pool, 0) + 1
    return CapacityPlan(changes, 0, reasons)
