"""Test the reports on workspaces in metrics."""

import unittest
from types import SimpleNamespace

from jayshunt.dispatch.metrics import EntryMetrics
from jayshunt.dispatch.models import Resources
from jayshunt.dispatch.tests.builders import POOL
from jayshunt.ids import WorkspaceName
from jayshunt.workspaces.reporting import MAX_WORKSPACES, OTHERS, report_workspaces
from jayshunt.workspaces.tests.limit_builders import HOT, build_workspace_job
from jayshunt.workspaces.usage import WorkspaceUsage


class ReportTest(unittest.TestCase):
    """Test that the number of series is bounded."""

    def test_workspaces_beyond_the_bound_are_summed(self) -> None:
        """Each workspace becomes several series, of which there must not be many."""
        usage = WorkspaceUsage()
        for number in range(MAX_WORKSPACES + 10):
            name = WorkspaceName(f"w{number:02}")
            usage.add(POOL, name, Resources(1_000), Resources(1_000))
        reports = report_workspaces(usage, [build_workspace_job()], {HOT: 2}, {})
        self.assertEqual(MAX_WORKSPACES + 1, len(reports))
        self.assertEqual(OTHERS, reports[-1].workspace)
        used = sum(report.used.cpu_millicores for report in reports)
        self.assertEqual((MAX_WORKSPACES + 10) * 1_000, used)
        self.assertEqual((1, 2), (reports[-1].waiting, reports[-1].held))

    def test_refusals_are_counted_by_code(self) -> None:
        """An operator must see whether its limit or its rate refused a workspace."""
        store = SimpleNamespace(calls={})
        metrics = EntryMetrics(store, SimpleNamespace(own_dispatcher=None))
        for number in range(MAX_WORKSPACES + 10):
            metrics.observe_refusal(f"w{number}", "workspace_rate")
        text = metrics.render().decode()
        self.assertIn('code="workspace_rate",workspace="w0"} 1.0', text)
        self.assertIn(f'code="workspace_rate",workspace="{OTHERS}"}} 10.0', text)


if __name__ == "__main__":
    unittest.main()
