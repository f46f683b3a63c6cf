"""Summarize what workspaces run, wait for and are entitled to, for metrics and dumps.

The number of reports is bounded, as each becomes several series of metrics.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from jayshunt.dispatch.models import Resources
from jayshunt.dispatch.tasks import Job
from jayshunt.ids import PoolName, WorkspaceName
from jayshunt.workspaces.shares import PoolShares
from jayshunt.workspaces.usage import NOTHING, WorkspaceUsage

MAX_WORKSPACES = 50
# Stands for all workspaces beyond the largest ones.
OTHERS = WorkspaceName("(others)")


@dataclass
class WorkspaceReport:
    """Describe a workspace: what it may be using, and its ready and held jobs.

    `held` counts what its limit held back in the last placement round: gangs, or steps
    with waiting tasks. `entitled` and `share` are fractions of each pool that was
    short in that round.
    """

    workspace: WorkspaceName
    used: Resources = NOTHING
    waiting: int = 0
    held: int = 0
    entitled: dict[PoolName, float] = field(default_factory=dict)
    share: dict[PoolName, float] = field(default_factory=dict)

    def add(self, other: "WorkspaceReport") -> None:
        """Add the numbers of another workspace."""
        self.used += other.used
        self.waiting += other.waiting
        self.held += other.held
        for pool, fraction in other.entitled.items():
            self.entitled[pool] = self.entitled.get(pool, 0.0) + fraction
        for pool, fraction in other.share.items():
            self.share[pool] = self.share.get(pool, 0.0) + fraction


def report_workspaces(
    usage: WorkspaceUsage,
    jobs: Iterable[Job],
    held: Mapping[WorkspaceName, int],
    short: Mapping[PoolName, PoolShares],
) -> list[WorkspaceReport]:
    """Return the reports of the workspaces that use most, and the sum of the others."""
    waiting = Counter(
        job.spec.workspace
        for job in jobs
        if job.spec.workspace and not job.state.is_final and job.ready_tasks()
    )
    names = {name for name in (*usage.by_workspace, *held, *waiting) if name}
    reports: list[WorkspaceReport] = []
    for name in names:
        report = WorkspaceReport(name, usage.of(name), waiting[name], held.get(name, 0))
        for pool, shares in short.items():
            if name in shares.entitled:
                report.entitled[pool] = shares.entitled[name]
                report.share[pool] = shares.fraction(name)
        reports.append(report)
    reports.sort(key=lambda r: (-r.used.cpu_millicores, -r.waiting, r.workspace))
    rest = WorkspaceReport(OTHERS)
    for report in reports[MAX_WORKSPACES:]:
        rest.add(report)
    return reports[:MAX_WORKSPACES] + [rest] * (len(reports) > MAX_WORKSPACES)
