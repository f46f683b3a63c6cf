"""Report a zone's members and down VMs to the budgets of its pools."""

from collections.abc import Callable, Iterable

from jayshunt.clock import Clock
from jayshunt.ids import Epoch, PoolName, VmId, ZoneName
from jayshunt.maintenance.const import (
    MAX_REPORTS_PER_STEP,
    ORPHAN_PERMIT_S,
    REPORT_REFRESH_S,
)
from jayshunt.maintenance.models import Budget, PoolMember, ZoneReport
from jayshunt.maintenance.permits import PermitLedger
from jayshunt.pools.models import Assignment, AssignmentRecord, AssignmentState


class ZoneReporter:
    """Write one report per pool, when it changes or at the refresh interval.

    `failing` returns the VMs that brokers ejected, with reasons.
    """

    def __init__(
        self,
        zone: ZoneName,
        ledger: PermitLedger,
        failing: Callable[[], dict[VmId, str]],
        clock: Clock,
    ) -> None:
        """Start without any report written."""
        self._zone = zone
        self._ledger = ledger
        self._failing = failing
        self._clock = clock
        self._written: dict[PoolName, ZoneReport] = {}
        self.budgets: dict[PoolName, Budget] = {}

    def step(self, record: AssignmentRecord, fence: Epoch) -> None:
        """Write due reports and release the zone's permits that are not in use."""
        now_s, failing = self._clock.now_s(), self._failing()
        by_pool: dict[PoolName, list[Assignment]] = {p: [] for p in self._written}
        for assignment in record.assignments.values():
            by_pool.setdefault(assignment.pool, []).append(assignment)
        due: list[tuple[float, PoolName, ZoneReport]] = []
        for pool, assignments in by_pool.items():
            report = zone_report(record.zone, assignments, failing, fence, now_s)
            before = self._written.get(pool)
            if before is None or not _has_same_content(before, report):
                due.append((0.0, pool, report))
            elif now_s - before.as_of_s >= REPORT_REFRESH_S:
                due.append((before.as_of_s, pool, report))
        # Changes come first, then the oldest reports.
        for _, pool, report in sorted(due, key=lambda d: d[:2])[:MAX_REPORTS_PER_STEP]:
            budget = self._ledger.report(pool, report)
            self._written[pool] = report
            self.budgets[pool] = budget
            orphans = self._orphans(budget, record, now_s)
            if orphans:
                self._ledger.release(pool, orphans, fence)

    def _orphans(
        self, budget: Budget, record: AssignmentRecord, now_s: float
    ) -> set[VmId]:
        """Return VMs of this zone whose permits are not in use."""
        orphans = set()
        for vm, permit in budget.permits.items():
            if permit.zone != self._zone or now_s - permit.granted_s < ORPHAN_PERMIT_S:
                continue
            current = record.assignments.get(vm)
            if current is None or current.state is AssignmentState.SERVING:
                orphans.add(vm)
        return orphans


def zone_report(
    zone: ZoneName,
    assignments: Iterable[Assignment],
    failing: dict[VmId, str],
    fence: Epoch,
    now_s: float,
) -> ZoneReport:
    """Return the report on the assignments of one pool in a zone."""
    members, down = {}, {}
    for assignment in assignments:
        vm, kind = assignment.vm, assignment.kind.value
        members[vm] = PoolMember(vm, zone, assignment.rack, kind)
        if assignment.state is not AssignmentState.SERVING:
            down[vm] = f"{assignment.state.value}: {assignment.reason}"
        elif vm in failing:
            down[vm] = failing[vm]
    return ZoneReport(zone, fence, now_s, members, down)


def _has_same_content(before: ZoneReport, report: ZoneReport) -> bool:
    """Return whether both reports agree in members, down VMs and fence.

    The reasons for which VMs are down may differ.
    """
    same_down = before.down.keys() == report.down.keys()
    return (
        same_down and before.members == report.members and before.fence == report.fence
    )
