"""Test jobs whose queue is sent to another pool while they run."""

import unittest

from jayshunt.dispatch.models import JobState
from jayshunt.dispatch.records import apply_progress, encode_progress
from jayshunt.dispatch.tests.builders import (
    POOL,
    SPARE,
    add_worker_view,
    build_job,
    build_queue,
    build_tracker,
)
from jayshunt.dispatch.tests.fleet_builders import FakeFleet


class ChangedPoolTest(unittest.TestCase):
    """Take over a job that ran in two pools, without a handoff."""

    def setUp(self) -> None:
        """Send the queue of a job to another pool and back."""
        self.job = build_job()
        self.tracker = build_tracker(self.job)
        self.tracker.apply_config(self.job, build_queue(pool=SPARE))
        self.version = self.tracker.versions[self.job.spec.job]
        self.tracker.apply_config(self.job, build_queue())

    def test_inherited_job_waits_for_workers_of_its_former_pools(self) -> None:
        """Its tasks started again while they ran in a pool that it had left."""
        inherited = build_job(is_inherited=True)
        apply_progress(inherited, encode_progress(self.job))
        planner = FakeFleet(0).build_dispatcher().planner
        for pool, may_start in ((POOL, False), (SPARE, False), ("other", True)):
            view = add_worker_view(self.tracker, pool, None, pool=pool)
            held_back = planner._hold_back_jobs_on([view])
            self.assertEqual(may_start, held_back(inherited))

    def test_new_pool_is_stored_before_a_start_there(self) -> None:
        """A successor would not know that the job may have runs in the pool."""
        self.assertEqual({self.job.spec.job}, self.tracker.dirty)
        self.assertEqual(self.version, self.job.pools_version)
        self.assertLess(0, self.job.pools_version)

    def test_job_is_not_placed_before_its_new_pool_is_stored(self) -> None:
        """Its starts delayed the other orders of workers while the store was down."""
        dispatcher = FakeFleet(0).build_dispatcher()
        dispatcher.tracker = self.tracker
        may_start = dispatcher.planner._hold_back_in_new_pools(lambda job: True)
        self.assertFalse(may_start(self.job))
        self.tracker.record_stored(self.job, self.version, JobState.QUEUED, 0.0)
        self.assertTrue(may_start(self.job))


if __name__ == "__main__":
    unittest.main()
