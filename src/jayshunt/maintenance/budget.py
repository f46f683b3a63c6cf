"""Check permits against a pool's availability budget; this module does no I/O."""

import math
from collections import Counter
from dataclasses import dataclass

from jayshunt.ids import Epoch, PoolName, RackName, VmId, ZoneName
from jayshunt.inventory.models import ListedState, VmList
from jayshunt.maintenance.const import REPORT_STALE_S
from jayshunt.maintenance.models import Budget, Permit, PoolMember, ZoneReport
from jayshunt.store.documents import Content


@dataclass(frozen=True)
class Availability:
    """Count the members of one kind in a pool.

    `required` members must stay available, and `reserve` members are kept for the
    loss of one more rack.
    """

    members: int
    down: int
    reserve: int
    required: int

    @property
    def headroom(self) -> int:
        """Return how many more members may be taken down now."""
        return self.members - self.down - self.reserve - self.required


def members_of(budget: Budget) -> dict[VmId, PoolMember]:
    """Return the pool's members in all zones."""
    return {
        vm: member
        for report in budget.reports.values()
        for vm, member in report.members.items()
    }


def down_members(budget: Budget, listed: VmList, now_s: float) -> dict[VmId, str]:
    """Return the members that count as down, with one reason each.

    A member counts as down by a report, by the platform's list or by a permit. All
    members of a zone without a recent report count as down.
    """
    down: dict[VmId, str] = {}
    for report in budget.reports.values():
        if now_s - report.as_of_s > REPORT_STALE_S:
            reason = f"zone {report.zone} has not reported recently"
            down.update({vm: reason for vm in report.members})
        down.update(report.down)
    for vm in members_of(budget):
        item = listed.vms.get(vm)
        if item is None:
            down.setdefault(vm, "absent from the platform's list")
        elif item.state is not ListedState.LIVE:
            down.setdefault(vm, "leaving by the platform's list")
    for vm, permit in budget.permits.items():
        down.setdefault(vm, permit.reason)
    return down


def availability(
    members: dict[VmId, PoolMember], down: set[VmId], kind: str, min_ratio: float
) -> Availability:
    """Count the members, those down and the reserve for the loss of one more rack."""
    of_kind = [member for member in members.values() if member.kind == kind]
    racks: Counter[tuple[ZoneName, RackName]] = Counter(
        (member.zone, member.rack) for member in of_kind if member.vm not in down
    )
    return Availability(
        members=len(of_kind),
        down=sum(1 for member in of_kind if member.vm in down),
        reserve=max(racks.values(), default=1),
        # The small term keeps 0.28 * 25, which is 7.000000000000001 in floating
        # point, from being rounded up to 8.
        required=math.ceil(min_ratio * len(of_kind) - 1e-9),
    )


def refusal_reason(
    budget: Budget,
    pool: PoolName,
    vm: VmId,
    min_ratio: float,
    listed: VmList,
    now_s: float,
) -> str:
    """Return why a VM must not be taken down, or "" if it may.

    A VM that is already down may be taken down, because the set of members that
    count as down does not grow.
    """
    members = members_of(budget)
    member = members.get(vm)
    if member is None:
        return f"{vm} is not reported as a member of {pool}"
    down = set(down_members(budget, listed, now_s))
    if vm in down:
        return ""
    after = availability(members, down | {vm}, member.kind, min_ratio)
    if after.headroom >= 0:
        return ""
    return (
        f"{pool} has {after.members} {member.kind} VMs, {after.down - 1} are down; "
        f"{after.required} must stay available and {after.reserve} are kept for "
        "the loss of one more rack"
    )


def permit_content(permit: Permit) -> Content:
    """Return the stored form of a permit."""
    return dict(vars(permit))


def report_content(report: ZoneReport) -> Content:
    """Return the stored form of a report.

    The fields are listed here because `dataclasses.asdict` copies each value and
    took three fifths of a controller's time at 41 pools.
    """
    return {
        "zone": report.zone,
        "fence": report.fence,
        "as_of_s": report.as_of_s,
        "members": {vm: dict(vars(m)) for vm, m in report.members.items()},
        "down": dict(report.down),
    }


def budget_content(budget: Budget) -> Content:
    """Return the stored form of a whole budget."""
    return {
        "permits": {vm: permit_content(p) for vm, p in budget.permits.items()},
        "reports": {zone: report_content(r) for zone, r in budget.reports.items()},
    }


def read_budget(content: Content | None) -> Budget:
    """Return the budget from its stored form, or an empty one if there is none."""
    if content is None:
        return Budget()
    return Budget(
        {VmId(vm): Permit(**p) for vm, p in content.get("permits", {}).items()},
        {
            ZoneName(zone): ZoneReport(
                zone=ZoneName(zone),
                fence=Epoch(item["fence"]),
                as_of_s=item["as_of_s"],
                members={
                    VmId(vm): PoolMember(**member)
                    for vm, member in item["members"].items()
                },
                down={VmId(vm): reason for vm, reason in item["down"].items()},
            )
            for zone, item in content.get("reports", {}).items()
        },
    )
