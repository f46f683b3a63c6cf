"""Plan how many VMs each pool needs and which move; nothing here does I/O.

One buffer is shared by all pools: a pool keeps what its target needs until VMs
of the buffer arrive, and the buffer covers the worst burst of a single pool and
the worst single loss.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from jayshunt.config.models import CapacityObjective
from jayshunt.ids import PoolName

# A VM leaves a pool only while the pool has more than its need by this many VMs,
# so that a need near a whole number does not move a VM to and fro.
SURPLUS_MARGIN = 1
# Under `moves`, a pool gets a VM only after it lacked one for this long, the time
# that a move takes; waiting 300 s or 900 s saved moves but missed more targets.
PATIENCE_S = 60.0


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Describe the demand and the VMs of one pool; work is in VM seconds.

    `rate_vms` is the measured arrival rate in VMs, `burst_vms` the highest rate
    of the last hours, `burst_s` the length of long bursts. `vms` take work now,
    `arriving` are on their way. `lacking_s` says for how long the pool has had
    less than its need. `min_vms` is what the pool keeps in any case. `oldest_s` is
    the time that the oldest work has waited.
    """

    pool: PoolName
    rate_vms: float
    burst_vms: float
    burst_s: float
    backlog_vm_s: float
    target_s: float
    vms: int
    arriving: int = 0
    lacking_s: float = 0.0
    min_vms: int = 1
    oldest_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """Say how many VMs each pool gives up (negative) or gets (positive).

    The sum is taken from the buffer, or returned to it. `buffer_vms` is what the
    buffer must hold beside the pools; the rest of it may be released.
    """

    changes: Mapping[PoolName, int]
    buffer_vms: int
    reasons: Mapping[PoolName, str]


def need_through_bursts(load: PoolLoad) -> int:
    """Return the VMs with which a burst's last request still meets its target.

    A burst of rate r and length L leaves a backlog of (r - c) * L, which takes
    (r - c) * L / c; that is within the target T for c = r * L / (L + T).
    """
    needed = load.burst_vms * load.burst_s / (load.burst_s + load.target_s)
    return max(load.min_vms, math.ceil(needed - 1e-6))


def need_now(load: PoolLoad, arrival_s: float) -> int:
    """Return the VMs that serve the present backlog and rate within the target.

    A backlog that waited while VMs arrived has only the rest of the target left;
    it is served in half of that, at least a tenth of the target.
    """
    left_s = load.target_s - arrival_s - load.oldest_s
    slack_s = max(0.5 * left_s, 0.1 * load.target_s)
    needed = load.rate_vms + load.backlog_vm_s / slack_s
    # Even the longest burst needs no more than this once the VMs arrived.
    left_s = max(1.0, load.target_s - arrival_s)
    most = load.burst_vms * load.burst_s / max(1.0, load.burst_s + left_s)
    needed = min(needed, most + 1)
    return max(load.min_vms, math.ceil(needed - 0.25))


def loss_reserve(vms: int, zones: int) -> int:
    """Return the VMs that replace the worst single loss, that of a zone.

    VMs are spread evenly over zones, so a zone's loss takes one part of them; it
    is larger than the loss of a rack of four wherever the pools span racks.
    """
    return math.ceil(vms / max(1, zones - 1)) if zones > 1 else 1


def plan_capacity(
    loads: Iterable[PoolLoad],
    spare: int,
    zones: int,
    arrival_s: float,
    weigh_first: CapacityObjective,
) -> CapacityPlan:
    """Return the changes that the pools need now.

    `spare` VMs are in the buffer. Under `buffer_cost` pools follow their present
    demand and return what they do not need; under `moves` they are sized for
    their bursts, and a VM moves only for a lasting lack.
    """
    if weigh_first is CapacityObjective.MOVES:
        return _for_few_moves(list(loads), spare)
    return _for_small_buffer(list(loads), spare, zones, arrival_s)


def _for_small_buffer(
    loads: list[PoolLoad], spare: int, zones: int, arrival_s: float
) -> CapacityPlan:
    changes, reasons = {}, {}
    for load in loads:
        need, have = need_now(load, arrival_s), load.vms + load.arriving
        surplus = load.vms - need
        if surplus >= SURPLUS_MARGIN and not load.arriving:
            changes[load.pool] = -surplus
            reasons[load.pool] = f"needs {need} of {have} VMs"
            spare += surplus
    lacking = sorted(
        loads, key=lambda item: item.backlog_vm_s / max(1, item.vms), reverse=True
    )
    for load in lacking:
        need, have = need_now(load, arrival_s), load.vms + load.arriving
        taken = min(max(0, need - have), spare)
        if taken > 0 and load.pool not in changes:
            changes[load.pool] = taken
            reasons[load.pool] = f"needs {need} VMs, has {have}"
            spare -= taken
    # VMs that serve a burst at present are the part of the buffer in use.
    worst = max((need_through_bursts(load) - load.min_vms for load in loads), default=0)
    attached = sum(
        max(0, load.vms + load.arriving + changes.get(load.pool, 0) - load.min_vms)
        for load in loads
    )
    held = sum(load.min_vms for load in loads) + max(worst, attached)
    buffer_vms = max(0, worst - attached) + loss_reserve(held, zones)
    return CapacityPlan(changes, buffer_vms, reasons)


def _for_few_moves(loads: list[PoolLoad], spare: int) -> CapacityPlan:
    changes: dict[PoolName, int] = {}
    reasons: dict[PoolName, str] = {}
    needs = {load.pool: need_through_bursts(load) for load in loads}
    have = {load.pool: load.vms + load.arriving for load in loads}
    surplus = {
        load.pool: load.vms - needs[load.pool]
        for load in loads
        if load.vms - needs[load.pool] > SURPLUS_MARGIN and not load.arriving
    }
    for load in sorted(loads, key=lambda item: have[item.pool] - needs[item.pool]):
        lack = needs[load.pool] - have[load.pool]
        if lack <= 0 or load.lacking_s < PATIENCE_S:
            continue
        reasons[load.pool] = f"needs {needs[load.pool]} VMs, has {have[load.pool]}"
        for _ in range(lack):
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
