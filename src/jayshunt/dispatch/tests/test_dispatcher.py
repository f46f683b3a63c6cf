"""Test one dispatcher with as many workers as the largest deployments have."""

import time
import unittest

from jayshunt.dispatch.const import WORKER_LEASE_S
from jayshunt.dispatch.records import accepted_key, encode_job
from jayshunt.dispatch.tests.builders import (
    JOB,
    build_job,
    build_queue,
    build_spec,
    build_step,
)
from jayshunt.dispatch.tests.fleet_builders import TASKS_PER_JOB, FakeFleet
from jayshunt.store.errors import StoreUnavailable
from jayshunt.workspaces.const import NO_WORKSPACE

WORKERS = 1_600
JOBS = 20
# A takeover may use what the workers' leases leave after the loss was noticed.
TAKEOVER_LIMIT_S = WORKER_LEASE_S / 2
WAIT_S = 20.0


class ScaleTest(unittest.TestCase):
    """Test a takeover over a large fleet whose workers run long tasks."""

    def test_successor_renews_every_lease_in_time(self) -> None:
        """A session that waits for a thread gets no lease, and its runs end.

        With two threads a worker and a limit of 2,048, the workers beyond 1,020 got no
        lease or no orders, and their tasks ran again elsewhere.
        """
        fleet = FakeFleet(WORKERS)
        fleet.add_long_running_jobs(JOBS)
        first = fleet.build_dispatcher("entry-1")
        first.start()
        self.addCleanup(first.stop, False)
        self.assertTrue(fleet.wait_until_leased(first.token, WAIT_S))
        self.assertTrue(fleet.wait_until_started(WAIT_S))
        self.assertEqual(JOBS * TASKS_PER_JOB, fleet.running())
        first.stop(is_graceful=False)
        second = fleet.build_dispatcher("entry-2")
        second.start()
        self.addCleanup(second.stop, False)
        self.assertTrue(
            fleet.wait_until_leased(second.token, TAKEOVER_LIMIT_S),
            f"{fleet.leased(second.token)} of {WORKERS} workers have a lease",
        )
        self.assertEqual(WORKERS, fleet.leased(second.token))
        second.planner._round()
        self.assertTrue(second.planner.knows_all_runs)
        self.assertEqual([], fleet.doubled)
        self.assertEqual(0, fleet.lapsed)
        self.assertEqual({1}, set(fleet.starts.values()), "no task ran again")


class ReplacedHolderTest(unittest.TestCase):
    """Let a holder read jobs that were accepted while it was cut off."""

    def test_holder_that_may_be_replaced_starts_no_new_jobs(self) -> None:
        """It ran tasks that its successor had run already (further, trouble-1).

        Its lease was not over yet when the cut ended, and the store answered its read
        of the jobs before its renewal.
        """
        for renewal_age_s, starts in ((0.5, TASKS_PER_JOB), (6.4, 0)):
            fleet = FakeFleet(1)
            dispatcher = fleet.build_dispatcher()
            fleet.add_long_running_jobs(1)
            clock = time.monotonic
            dispatcher._own.record_renewal(clock() - renewal_age_s)
            dispatcher._own._now_s = clock
            dispatcher._intake._read_all()
            dispatcher.worker_list_read = True
            dispatcher._workers._apply_all(fleet.store.list("servers/")[0])
            (view,) = dispatcher.tracker.workers.values()
            view.last_answer_s = clock()
            view.record_clock(0, clock())
            dispatcher.planner._round()
            self.addCleanup(dispatcher.stop, False)
            self.assertEqual(starts, len(view.tasks), renewal_age_s)


class StoreOutageTest(unittest.TestCase):
    """Test what is placed while the store does not answer."""

    def test_jobs_whose_starts_must_be_stored_are_held_back(self) -> None:
        """Their orders would wait on the workers, in front of those of other jobs."""
        fleet = FakeFleet(0)
        dispatcher = fleet.build_dispatcher()
        new, inherited = build_job(), build_job(is_inherited=True)
        lasting = build_job(build_step(is_long_running=True))
        for failing_s, expected in ((0.0, True), (0.5, False)):
            fleet.store.failing_s = failing_s
            hold_back = dispatcher.planner._hold_back_while_store_fails
            may_start = hold_back(lambda job: True)
            self.assertEqual(expected, may_start(inherited))
            self.assertEqual(expected, may_start(lasting))
            self.assertTrue(may_start(new))


class SubmissionTest(unittest.TestCase):
    """Test jobs that other entries submit through the dispatcher."""

    def test_dispatcher_without_the_store_refuses_at_once(self) -> None:
        """An entry gives up before the dispatcher's call to the store times out.

        It then told the caller that the job may run, so that the caller could not try
        again.
        """
        fleet = FakeFleet(0)
        dispatcher = fleet.build_dispatcher()
        fleet.store.failing_s = 0.5
        calls: list[str] = []
        fleet.store.fault = lambda step: calls.append(step) or "late"
        with self.assertRaises(StoreUnavailable):
            dispatcher.submit("jayshunt/in/job/00000000000000a1", b"{}")
        self.assertEqual([], calls)

    def test_job_cancelled_before_an_entry_hands_it_in_is_not_stored(self) -> None:
        """A call of an entry that waited in a paused dispatcher was carried out."""
        fleet = FakeFleet(0)
        dispatcher = fleet.build_dispatcher()
        self.addCleanup(dispatcher.stop, False)
        job, value = JOB, encode_job(build_spec(), build_queue(), 0.0)
        self.assertFalse(dispatcher.cancel_stored(job, NO_WORKSPACE))
        answer = dispatcher.submit(accepted_key(job), value)
        self.assertEqual({"is_new": False, "is_withdrawn": True}, answer)
        self.assertIsNone(fleet.store.get(accepted_key(job)))


if __name__ == "__main__":
    unittest.main()
