"""Test two schedulers, and calls that arrive late."""

import unittest

from jayshunt.errors import JayshuntError
from jayshunt.ids import WorkerId
from jayshunt.jobs.models import JobState
from jayshunt.jobs.tests.builders import Zone
from jayshunt.pools.models import AssignmentState
from jayshunt.store.tests.builders import DeferredExecutor


class OverlapTest(unittest.TestCase):
    """Check that a job starts once while orders are on their way."""

    def setUp(self) -> None:
        """Create a zone whose scheduler has a start order on its way to w1."""
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
        """A job given back by a new scheduler must not start by an old order too."""
        successor = self.zone.build_scheduler("t2")
        self.zone.step(successor, 6)
        self.assertEqual(self.zone.read(self.job).worker, "w2")
        self.executor.run()
        self.assertEqual(self.starts(), 1)

    def test_job_is_not_given_back_while_its_order_is_on_its_way(self) -> None:
        """A drain must not give a job to another worker before the call's end."""
        self.zone.step(self.scheduler, 4)
        self.assertEqual(self.zone.read(self.job).worker, "w1")
        self.executor.run()
        self.assertEqual(self.starts(), 1)

    def test_lost_order_is_fenced_by_the_next_call(self) -> None:
        """An order that timed out here must not take effect after a later call."""
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
        """A placement must not overwrite a cancellation that it did not see."""
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
        """Two controllers with the same epoch could not be told apart."""
        epochs = [self.scheduler.epoch]
        for number in range(3):
            successor = self.zone.build_scheduler(f"t{number + 2}")
            self.zone.step(successor)
            epochs.append(successor.epoch)
        self.assertEqual(epochs, sorted(set(epochs)))

    def test_superseded_scheduler_stops_writing(self) -> None:
        """A scheduler that learns of a successor must leave the zone to it."""
        self.zone.step(self.zone.build_scheduler("t2"))
        self.zone.submit()
        before = self.zone.store.puts
        self.zone.step(self.scheduler, 3)
        self.assertFalse(self.scheduler.is_scheduling)
        self.assertEqual(self.zone.store.puts, before)

    def test_takeover_waits_for_the_store(self) -> None:
        """A scheduler without a raised epoch must not send an order."""
        self.zone.store.down = True
        successor = self.zone.build_scheduler("t2")
        with self.assertRaises(JayshuntError):
            self.zone.step(successor)
        self.assertFalse(successor.is_scheduling)
        # A worker must not count as empty before its jobs were read.
        self.assertEqual(successor.remaining_jobs(WorkerId("w1")), 1)
