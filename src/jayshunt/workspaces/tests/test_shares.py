"""Test shares and rates of workspaces."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jayshunt.dispatch.models import Bounds, Resources, Workspace
from jayshunt.dispatch.tests.builders import (
    POOL,
    QUEUE,
    build_candidate,
    build_queue,
    build_step,
)
from jayshunt.ids import WorkspaceName
from jayshunt.workspaces.rates import RateLedger
from jayshunt.workspaces.shares import find_short_pools, order_by_share
from jayshunt.workspaces.tests import load_builders
from jayshunt.workspaces.tests.limit_builders import COLD, HOT, build_workspace_job
from jayshunt.workspaces.tests.load_builders import PlayedLoad

NO_OWNER = WorkspaceName("")


class ShareTest(unittest.TestCase):
    """Test the order of jobs in a pool of one worker with 64 cores."""

    def order(self, jobs, reserved=None, now_s: float = 0.0) -> list[int]:
        """Return the numbers of the jobs in their order by share."""
        candidates = {POOL: [build_candidate()]}
        workspaces = (Workspace(HOT, weight=1.0), Workspace(COLD, weight=3.0))
        short = find_short_pools(jobs, candidates, reserved or {}, workspaces)
        ordered = order_by_share(jobs, short, now_s)
        return [int(job.spec.job, 16) for job in ordered]

    def build_jobs(self, *owners: WorkspaceName) -> list:
        """Return jobs of 32 cores each."""
        step = build_step(task_count=32)
        return [
            build_workspace_job(step, workspace=owner, number=number)
            for number, owner in enumerate(owners)
        ]

    def test_workspace_below_its_share_comes_first(self) -> None:
        """A workspace with many early jobs must not take the share of another."""
        jobs = self.build_jobs(HOT, HOT, COLD, COLD, COLD)
        self.assertEqual([0, 2, 3, 1, 4], self.order(jobs))
        used = {(POOL, HOT): Resources(16_000)}
        self.assertEqual([2, 3, 0, 1, 4], self.order(jobs, used))

    def test_jobs_without_workspace_have_average_weight(self) -> None:
        """Public queues must neither starve nor take everything."""
        jobs = self.build_jobs(NO_OWNER, NO_OWNER, COLD, COLD)
        self.assertEqual([0, 2, 3, 1], self.order(jobs))

    def test_order_is_kept_where_there_is_room(self) -> None:
        """Shares must change nothing in a pool that is not short."""
        self.assertEqual([0, 1], self.order(self.build_jobs(HOT, HOT)))

    def test_late_and_excess_jobs_come_last(self) -> None:
        """They must not take the room of jobs that can still be in time."""
        jobs = self.build_jobs(HOT, COLD, COLD, HOT)
        jobs[0].is_excess = True
        jobs[1].accepted_s = -9.0
        self.assertEqual([2, 3, 1, 0], self.order(jobs))
        running = build_step(is_long_running=True)
        service = build_workspace_job(running, number=9)
        self.assertEqual([9, 2, 3, 1, 0], self.order([*jobs, service]))


class PlayedLoadTest(unittest.TestCase):
    """Play one hot workspace among twenty."""

    def test_hot_workspace_delays_only_itself(self) -> None:
        """Compare with first come first served and with a static split."""
        by_share = PlayedLoad().play(load_builders.by_share)
        first_come = PlayedLoad().play(load_builders.first_come_first_served)
        split = PlayedLoad().play(load_builders.static_split)
        others = [name for name in by_share if name != HOT]
        self.assertGreater(min(by_share[name] for name in others), 0.95)
        self.assertLess(min(first_come[name] for name in others), 0.5)
        self.assertGreater(by_share[HOT], first_come[HOT])
        self.assertGreater(by_share[HOT], split[HOT])


class RateTest(unittest.TestCase):
    """Test which jobs are beyond the rate of their workspace."""

    def setUp(self) -> None:
        """Entitle a workspace to two jobs a second, and to 13 at once."""
        bounds = Bounds(quota_window_ms=5_000, quota_overage=0.1, quota_slack_jobs=2)
        self.ledger = RateLedger(bounds)
        self.ledger.apply([Workspace(HOT, weight=2.0)])

    def submit(self, *accepted_s: float, **changes) -> list[bool]:
        """Add jobs and return which are in excess."""
        jobs = [build_workspace_job(accepted_s=at_s, **changes) for at_s in accepted_s]
        for job in jobs:
            self.ledger.add(job)
        self.ledger.mark_added()
        return [job.is_excess for job in jobs]

    def test_burst_beyond_the_window_is_excess(self) -> None:
        """Only what exceeds the rate over the window and the slack is in excess."""
        self.assertEqual([False] * 13 + [True] * 7, self.submit(*[0.0] * 20))
        self.assertEqual([False, True], self.submit(0.5, 0.5))
        self.assertEqual([False] * 2, self.submit(0.5, 0.5, workspace=COLD))

    @given(st.permutations([n / 10 for n in range(40)]))
    def test_order_of_reading_does_not_matter(self, accepted_s: list[float]) -> None:
        """A successor reads the jobs in any order and must mark the same ones."""
        self.setUp()
        expected = dict(zip(range(40), self.submit(*[n / 10 for n in range(40)])))
        self.setUp()
        marks = self.submit(*accepted_s)
        found = {round(at_s * 10): mark for at_s, mark in zip(accepted_s, marks)}
        self.assertEqual(expected, found)

    def test_new_configuration_grants_no_new_burst(self) -> None:
        """Frequent changes of the configuration must not refill the bucket."""
        self.submit(*[0.0] * 13)
        self.ledger.apply([Workspace(HOT, weight=2.0)])
        self.assertEqual([True], self.submit(0.0))

    def test_refusal_only_while_the_pool_has_a_backlog(self) -> None:
        """Excess is served where there is room; Retry-After is when it is no excess."""
        queues = [build_queue()]
        self.submit(*[0.0] * 13)
        self.assertEqual({}, self.ledger.refusals(queues, {POOL: 0.5}, 0.0))
        refused = self.ledger.refusals(queues, {POOL: 2.0}, 0.0)
        self.assertEqual({QUEUE: {HOT: 1.0}}, refused)
        self.assertEqual([False], self.submit(1.0))


if __name__ == "__main__":
    unittest.main()
