"""Test that held jobs are no demand, and that jobs which cannot start are refused."""

import threading
import unittest
from types import SimpleNamespace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.backlog import refusals
from jayshunt.dispatch.const import STATUS_INTERVAL_S
from jayshunt.dispatch.entry import EntryJobService
from jayshunt.dispatch.errors import AcceptUnknown, JobRefused
from jayshunt.dispatch.job_memory import UNLIMITED, JobMemory
from jayshunt.dispatch.link import DispatcherLink
from jayshunt.dispatch.models import Resources
from jayshunt.dispatch.sizing import PoolSizer
from jayshunt.dispatch.tests.builders import (
    POOL,
    QUEUE,
    build_config,
    build_queue,
    build_step,
    build_vm,
)
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.dispatch.tests.test_store_use import FakeLink
from jayshunt.workspaces.limits import WorkspaceLimits
from jayshunt.workspaces.tests.limit_builders import (
    COLD,
    HOT,
    build_limits,
    build_workspace_job,
)
from jayshunt.workspaces.usage import WorkspaceUsage


class DemandTest(unittest.TestCase):
    """Test the demand of a workspace with many jobs and a low limit."""

    def needed(self, limit: int) -> int:
        """Return the VMs of 64 cores that a thousand waiting cores need."""
        job = build_workspace_job(build_step(task_count=1_000))
        vm = build_vm("w1")
        gate = WorkspaceLimits({HOT: Resources(limit)}, WorkspaceUsage())
        sizer = PoolSizer()
        sizer.decide(
            build_config(), [job], {vm.vm: vm}, {}, set(), 10.0, 8, frozenset(), gate
        )
        return sizer.needs[POOL].needed

    def test_held_tasks_need_no_vms(self) -> None:
        """VMs for tasks that their limit holds would be idle."""
        self.assertGreater(self.needed(0), 8)
        self.assertEqual(2, self.needed(10_000))

    def test_held_jobs_are_no_backlog_of_others(self) -> None:
        """A workspace with a low limit must not close the queue to the others."""
        step = build_step(task_count=1_000, estimate_ms=8_000)
        jobs = [build_workspace_job(step), build_workspace_job(step, number=2)]
        cores = {POOL: 64.0}
        self.assertIn(QUEUE, refusals(build_limits(hot=0), jobs, cores, 1.0))
        self.assertEqual({}, refusals(build_limits(hot=10_000), jobs, cores, 1.0))

    def test_limit_that_does_not_bind_leaves_the_backlog_as_it_is(self) -> None:
        """Only the first, narrow step counted, so that no queue refused any more."""
        check = build_step(resources=Resources(100, 64), estimate_ms=500)
        batch = build_step(
            task_count=8, resources=Resources(13_000, 64), estimate_ms=1_800, after=(0,)
        )
        jobs = [build_workspace_job(check, batch, number=n) for n in range(60)]
        cores = {POOL: 1_000.0}
        self.assertEqual(
            refusals(build_limits(hot=0), jobs, cores, 1.0),
            refusals(build_limits(hot=7_000_000), jobs, cores, 1.0),
        )
        self.assertIn(QUEUE, refusals(build_limits(hot=0), jobs, cores, 1.0))


class SubmissionTest(unittest.TestCase):
    """Test submissions of what exceeds the limit of its workspace."""

    def setUp(self) -> None:
        """Build an entry at which one workspace may use two cores."""
        self.limits = {}
        self.store = FakeStore()
        self.link = FakeLink()
        self.entry = EntryJobService(
            self.store,
            self.link,
            ManualClock(0.0),
            limit_of=lambda name: self.limits.get(name),
        )
        gang = build_step(task_count=3, is_gang=True)
        self.spec = build_workspace_job(gang).spec

    def submit(self):
        """Submit a gang that uses three cores."""
        return self.entry.submit(self.spec, build_queue(), 0.05)

    def test_gang_above_the_limit_is_refused(self) -> None:
        """It would wait for ever; other workspaces may submit it."""
        self.limits[HOT] = Resources(2_000)
        with self.assertRaises(JobRefused) as caught:
            self.submit()
        self.assertEqual("exceeds_workspace_limit", caught.exception.code)
        self.assertEqual({}, self.store.items)
        self.spec = build_workspace_job(*self.spec.steps, workspace=COLD).spec
        self.assertTrue(self.submit().is_new)

    def test_accepted_gang_is_not_refused_after_its_limit_was_lowered(self) -> None:
        """A refusal would tell the caller that the stored job never runs."""
        self.submit()
        self.limits[HOT] = Resources(2_000)
        self.assertFalse(self.submit().is_new)

    def test_unknown_outcome_is_not_refused_after_the_limit_was_lowered(self) -> None:
        """The store may still carry out the write of the first submission."""
        self.store.fault = lambda step: "late"
        with self.assertRaises(AcceptUnknown):
            self.submit()
        self.limits[HOT] = Resources(2_000)
        self.store.fault = lambda step: None
        with self.assertRaises(AcceptUnknown):
            self.submit()

    def test_rate_refusal_carries_the_retry_after(self) -> None:
        """A job in excess that would only wait is refused, unless it is stored."""
        self.link.workspace_retry_s = 4.0
        with self.assertRaises(JobRefused) as caught:
            self.submit()
        error = caught.exception
        self.assertEqual(("workspace_rate", 4.0), (error.code, error.retry_after_s))
        self.link.workspace_retry_s = 0.0
        self.submit()
        self.link.workspace_retry_s = 4.0
        self.assertFalse(self.submit().is_new)


class RefusalPollTest(unittest.TestCase):
    """Test how an entry learns of the workspaces that the dispatcher refuses."""

    def test_refusals_of_workspaces_are_kept_as_long_as_those_of_queues(self) -> None:
        """An entry must not refuse by an answer that is no longer confirmed."""
        stop, clock, store = threading.Event(), ManualClock(0.0), FakeStore()
        store.last_success_age_s = lambda: 0.0
        planner = SimpleNamespace(
            refusals=lambda: stop.set() or {},
            workspace_refusals=lambda: {QUEUE: {HOT: 4.0}},
            admission=None,
        )
        ready = threading.Event()
        ready.set()
        link = DispatcherLink(
            SimpleNamespace(term=None, entry="e", incarnation="i"),
            store,
            clock,
            SimpleNamespace(record_answer=lambda: None),
        )
        link.own_dispatcher = SimpleNamespace(
            planner=planner,
            ready=ready,
            term_valid=lambda: True,
            job_room=JobMemory(UNLIMITED).room,
        )
        link.poll_refusals(stop)
        self.assertEqual(4.0, link.workspace_retry_after_s(QUEUE, HOT))
        self.assertEqual(0.0, link.workspace_retry_after_s(QUEUE, COLD))
        clock.advance(4 * STATUS_INTERVAL_S + 0.1)
        self.assertEqual(0.0, link.workspace_retry_after_s(QUEUE, HOT))


if __name__ == "__main__":
    unittest.main()
