"""Test the sums and rates of workspaces around a change of the dispatcher."""

import threading
import unittest
from types import SimpleNamespace

from jayshunt.dispatch.models import Bounds, Resources
from jayshunt.dispatch.tests.builders import POOL
from jayshunt.workspaces.control import WorkspaceControl
from jayshunt.workspaces.tests.limit_builders import (
    HOT,
    build_limits,
    build_workspace_job,
)
from jayshunt.workspaces.usage import WorkspaceUsage


class TakeoverTest(unittest.TestCase):
    """Read the jobs of the last minute in a new term."""

    def test_refusals_before_the_first_round_leave_inherited_jobs_entitled(
        self,
    ) -> None:
        """A poll filled the buckets first, and jobs within the rate became excess."""
        config = build_limits(hot=0)
        dispatcher = SimpleNamespace(
            lock=threading.RLock(), tracker=SimpleNamespace(usage=WorkspaceUsage())
        )
        control = WorkspaceControl(dispatcher, lambda: config, Bounds(), True)
        jobs = [build_workspace_job(number=number) for number in range(1, 61)]
        for number, job in enumerate(jobs):
            job.accepted_s = float(number)
            control.record_added(job)
        control.refusals(dict, 60.0)
        self.assertEqual([], [job.spec.job for job in jobs if job.is_excess])


class UsageTest(unittest.TestCase):
    """Test the sums of runs without resources."""

    def test_runs_without_resources_can_end(self) -> None:
        """The end of one removed the sum that the other still needed."""
        usage = WorkspaceUsage()
        for _ in range(2):
            usage.add(POOL, HOT, Resources(), Resources())
        for _ in range(2):
            usage.remove(POOL, HOT, Resources(), Resources())
        self.assertEqual(Resources(), usage.of(HOT))
