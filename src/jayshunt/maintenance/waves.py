"""Plan the steps of a maintenance wave; the functions here do no I/O."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from jayshunt.config.models import ConfigDocument, PlannedStop
from jayshunt.ids import PoolName, VmId, ZoneName
from jayshunt.maintenance.budget import availability, members_of
from jayshunt.maintenance.const import HOLD_S, MAX_WIDTH, STOP_FAILURES
from jayshunt.maintenance.models import Budget, WaveProgress, WaveState, WaveStatus
from jayshunt.pools.models import Assignment, AssignmentState


@dataclass(frozen=True)
class Wave:
    """Identify one occurrence of a planned stop; `finish_by_s` is wall time."""

    name: str
    stop: PlannedStop
    finish_by_s: float | None = None


def current_wave(name: str, stop: PlannedStop, now_s: float) -> Wave:
    """Return the current occurrence of a stop: the one whose due time comes next.

    A stop that repeats has one occurrence per period; each is due at `finish_by_s`
    plus a whole number of periods, or, if `finish_by_s` is None, at a whole number
    of periods since time 0. A stop that does not repeat has a single occurrence.
    """
    finish_by_s, every_s = stop.finish_by_s, stop.repeat_every_s
    if every_s is None:
        return Wave(f"{name}@{finish_by_s or 0:.0f}", stop, finish_by_s)
    first_s = finish_by_s if finish_by_s is not None else every_s
    periods = max(0, math.ceil((now_s - first_s) / every_s))
    due_s = first_s + periods * every_s
    return Wave(f"{name}@{due_s:.0f}", stop, due_s)


def is_in_scope(stop: PlannedStop, zone: ZoneName, assignment: Assignment) -> bool:
    """Return whether a VM is in the scope of a planned stop.

    A rack group names one rack, or all racks whose names begin with it and "-".
    """
    match stop.scope:
        case "pool":
            return assignment.pool == stop.target
        case "zone":
            return zone == stop.target
        case "rack_group":
            rack, group = assignment.rack, stop.target
            return rack == group or rack.startswith(f"{group}-")
        case _:
            return True


def candidates(
    wave: Wave, zone: ZoneName, assignments: Iterable[Assignment]
) -> list[Assignment]:
    """Return the VMs that the wave has yet to take down, one rack after another.

    Racks in which the wave has begun come first: while VMs of such a rack are down,
    the reserve covers the loss of another rack.
    """
    todo, begun_racks = [], set()
    for assignment in assignments:
        if not is_in_scope(wave.stop, zone, assignment):
            continue
        if assignment.wave == wave.name or wave.name in assignment.done_waves:
            begun_racks.add(assignment.rack)
        elif assignment.state is AssignmentState.SERVING:
            todo.append(assignment)
    return sorted(todo, key=lambda a: (a.rack not in begun_racks, a.rack, a.vm))


def vms_down(wave: Wave, assignments: Iterable[Assignment]) -> list[Assignment]:
    """Return the VMs that are down for the wave."""
    return [assignment for assignment in assignments if assignment.wave == wave.name]


def record_success(progress: WaveProgress, vm: VmId) -> WaveProgress:
    """Return the progress after a VM passed its probation; the width may grow."""
    failed = tuple(item for item in progress.failed if item != vm)
    progress = replace(
        progress,
        failed=failed,
        succeeded=progress.succeeded + 1,
        streak=progress.streak + 1,
    )
    if failed or progress.streak < progress.width or progress.width >= MAX_WIDTH:
        return progress
    width = min(MAX_WIDTH, progress.width * 2)
    reason = f"{progress.streak} VMs came back, up to {width} at once"
    return replace(progress, width=width, streak=0, reason=reason)


def record_failure(progress: WaveProgress, vm: VmId, now_s: float) -> WaveProgress:
    """Return the progress after a VM did not come back in time.

    One failure halves the width. A failed canary, or STOP_FAILURES VMs failed at
    once, stops the wave for HOLD_S; it then resumes with a canary.
    """
    if vm in progress.failed:
        return progress
    failed = (*progress.failed, vm)
    names = ", ".join(failed)
    if progress.succeeded == 0 or len(failed) >= STOP_FAILURES:
        return replace(
            progress,
            failed=failed,
            width=1,
            streak=0,
            hold_until_s=now_s + HOLD_S,
            reason=f"{names} did not come back; resumes after {HOLD_S:.0f} s",
        )
    width = max(1, progress.width // 2)
    reason = f"{names} did not come back, at most {width} at once"
    return replace(progress, failed=failed, width=width, streak=0, reason=reason)


def free_width(progress: WaveProgress, down: int, now_s: float) -> int:
    """Return how many more VMs the wave may take down now.

    A failed VM counts against the width, so a wave of width one waits for its
    canary. After a hold the failed VMs no longer count, so that a VM that never
    comes back cannot stop the wave forever; the budget still counts it.
    """
    if now_s < progress.hold_until_s:
        return 0
    counted_down = down if progress.hold_until_s == 0 else down - len(progress.failed)
    return max(0, progress.width - max(0, counted_down))


def state_of(
    progress: WaveProgress, remaining: int, down: int, now_s: float, denied: str
) -> WaveState:
    """Return the state of a wave for operators."""
    if not remaining and not down:
        return WaveState.DONE
    if now_s < progress.hold_until_s:
        return WaveState.STOPPED
    if denied and not down:
        return WaveState.WAITING
    if progress.failed:
        return WaveState.SLOWED
    return WaveState.CANARY if not progress.succeeded else WaveState.RUNNING


def forecast(
    status: WaveStatus,
    finish_by_s: float | None,
    allowed: int,
    vm_s: float,
    now_s: float,
) -> WaveStatus:
    """Return the status with the expected end and, if it is late, a remedy.

    `allowed` is the number of VMs that the budgets allow to be down at once while
    no other VM is down; `vm_s` is the measured time for one VM, from the start of its
    MAINTENANCE to the end of its probation.
    """
    left = status.remaining + status.down
    if not left:
        return status
    if allowed < 1:
        return replace(
            status,
            late=finish_by_s is not None,
            remedy="lower min_available_ratio, or spread the pool over more racks: "
            "no VM may be down while one more rack is kept in reserve",
        )
    end_s = now_s + _wave_duration_s(left, status.width, min(allowed, MAX_WIDTH), vm_s)
    if finish_by_s is None or end_s <= finish_by_s:
        return replace(status, forecast_s=end_s)
    time_s = finish_by_s - now_s
    needed = math.ceil(left * vm_s / time_s) if time_s > vm_s else None
    remedy = f"move the date by {(end_s - finish_by_s) / 3600:.1f} h"
    if needed is not None and needed > allowed:
        remedy += f", or let {needed} VMs be down at once (budgets allow {allowed})"
    return replace(status, forecast_s=end_s, late=True, remedy=remedy)


def _wave_duration_s(left: int, width: int, limit: int, vm_s: float) -> float:
    """Return the time for the rest of a wave whose width doubles in each round."""
    rounds, width = 0, max(1, min(width, limit))
    while left > 0:
        if width == limit:
            return (rounds + math.ceil(left / width)) * vm_s
        left -= width
        rounds += 1
        width = min(limit, width * 2)
    return rounds * vm_s


def allowed_at_once(
    pools: Iterable[PoolName], budgets: dict[PoolName, Budget], config: ConfigDocument
) -> int:
    """Return how many VMs of these pools may be down at once if all others are up.

    It is 0 if the budget of any pool does not allow a single VM to be down, because
    a wave over that pool cannot end.
    """
    allowed = 0
    for name in pools:
        pool, budget = config.pools.get(name), budgets.get(name)
        if pool is None or budget is None:
            continue
        members = members_of(budget)
        headrooms = [
            availability(members, set(), kind, pool.min_available_ratio).headroom
            for kind in {member.kind for member in members.values()}
        ]
        if min(headrooms, default=0) < 1:
            return 0
        allowed += min(headrooms)
    return allowed
