"""Test overlapping schedulers and calls that reach a worker late."""

import unittest

from jayshunt.errors import JayshuntError
from jayshunt.ids import WorkerId
from jayshunt.jobs.models import JobState
from jayshunt.jobs.tests.builders import Zone
from jayshunt.pools.models import AssignmentState
from jayshunt.store.tests.builders import DeferredExecutor


class OverlapTest(unittest.TestCase):
    """Check that a job starts once while start orders are in flight."""

    def setUp(self) -> None:
        """Create a zone whose scheduler has a start order to w1 in flight."""
        self.zone = Zone()
        self.executor = DeferredExecutor()
        self.scheduler = self.zone.build_scheduler("t1", self.executor)
        self.zone.step(self.scheduler)
        self.executor.run()
        self.job = self.zone.submit(repeatable=False)
        self.zone.step(self.scheduler)
        self.assertEqual(self.zone.read(self.job).worker, "w1")
        self.zone.states[WorkerId("w1")] = AssignmentState.LEAVING

    def starts(self) -> int:
        """Return how often the job started."""
        return len(self.zone.workers.all_starts())

    def test_order_of_an_older_scheduler_arrives_late(self) -> None:
        """A job must not start twice when a new scheduler moves it to another worker.

        The old scheduler's start order reaches the first worker only after the new
        scheduler has requeued the job; the worker must refuse the lower epoch.
        """
        successor = self.zone.build_scheduler("t2")
        self.zone.step(successor, 6)
        self.assertEqual(self.zone.read(self.job).worker, "w2")
        self.executor.run()
        self.assertEqual(self.starts(), 1)

    def test_job_is_not_requeued_while_its_start_order_is_in_flight(self) -> None:
        """A drain must not requeue a job while its start order is still in flight."""
        self.zone.step(self.scheduler, 4)
        self.assertEqual(self.zone.read(self.job).worker, "w1")
        self.executor.run()
        self.assertEqual(self.starts(), 1)

    def test_lost_order_is_fenced_by_the_next_call(self) -> None:
        """An order that timed out must not take effect after a later call.

        The job has been requeued on the evidence of the later call, so the worker
        must refuse the lower sequence number of the delayed order.
        """
        worker = self.zone.workers.by_name[WorkerId("w1")]
        late = self.executor.work[:]
        worker.lose_orders = 1
        self.executor.run()
        for _ in range(8):
            self.zone.step(self.scheduler)
            self.executor.run()
        self.assertEqual(self.zone.read(self.job).worker, "w2")
        for call in late:
            call()
        self.assertEqual(self.starts(), 1)

    def test_cancel_between_decision_and_write_wins(self) -> None:
        """A placement must not overwrite a cancellation stored after the decision."""
        waiting = self.zone.submit()
        self.scheduler.mark_changed()
        original = self.zone.store.put

        def cancel_first(*arguments):
            self.zone.store.put = original
            self.zone.intake.cancel(waiting)
            return original(*arguments)

        self.zone.store.put = cancel_first
        self.scheduler.step()
        self.executor.run()
        self.assertEqual(self.zone.read(waiting).state, JobState.CANCELLED)
        self.assertEqual(self.starts(), 1)

    def test_epoch_rises_with_each_controller(self) -> None:
        """Each takeover must raise the epoch, else the old controller is not fenced."""
        epochs = [self.scheduler.epoch]
        for number in range(3):
            successor = self.zone.build_scheduler(f"t{number + 2}")
            self.zone.step(successor)
            epochs.append(successor.epoch)
        self.assertEqual(epochs, sorted(set(epochs)))

    def test_superseded_scheduler_stops_writing(self) -> None:
        """A scheduler that finds a higher epoch must stop writing to the store."""
        self.zone.step(self.zone.build_scheduler("t2"))
        self.zone.submit()
        before = self.zone.store.puts
        self.zone.step(self.scheduler, 3)
        self.assertFalse(self.scheduler.is_scheduling)
        self.assertEqual(self.zone.store.puts, before)

    def test_takeover_waits_for_the_store(self) -> None:
        """A scheduler that cannot raise the epoch must not schedule or send orders."""
        self.zone.store.down = True
        successor = self.zone.build_scheduler("t2")
        with self.assertRaises(JayshuntError):
            self.zone.step(successor)
        self.assertFalse(successor.is_scheduling)
        # A worker must not count as empty before the scheduler has read its jobs.
        self.assertEqual(successor.remaining_jobs(WorkerId("w1")), 1)
