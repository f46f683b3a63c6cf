"""Test that the stand-in of a worker records no more and no less than it ran."""

import time
import unittest

from jayshunt_soak.const import STOP_TAKES_S
from jayshunt_soak.platform.worker import WorkerIdentity, WorkerIncarnation
from jayshunt_soak.tests.builders import TASK, start_order

LEASE_S = 0.05


class WorkerIncarnationTest(unittest.TestCase):
    """Cover runs at the end of a worker's life and of its lease."""

    def setUp(self) -> None:
        """Create a worker that collects its events."""
        self.events: list[dict] = []
        identity = WorkerIdentity("w1", "desk", ("a",))
        self.worker = WorkerIncarnation(identity, 1.0, self.events.append)

    def kinds(self) -> list[str]:
        """Return the recorded events, of ends how they came about."""
        return [row.get("how", row["event"]) for row in self.events]

    def test_life_that_has_ended_starts_nothing(self) -> None:
        """A start that waited while the worker crashed was recorded without an end.

        The next run of the task then looked like a second one at the same time (soak
        seed 3114).
        """
        self.worker.end()
        status, _ = self.worker.start(start_order())
        self.assertEqual((503, []), (status, self.events))

    def test_run_that_is_being_stopped_is_still_there(self) -> None:
        """A run that ended with its order to stop hid starts beside it.

        Its capacity and its place in the limit of its step are free only at its end.
        """
        order = start_order(lease_s=2.0)
        self.worker.start(order)
        self.worker.stop(order)
        _, report = self.worker.hold({"fencingToken": 1, "seenUpto": 0})
        self.assertEqual([TASK], [row[0] for row in report["running"]])
        time.sleep(STOP_TAKES_S)
        self.worker.record_due_ends()
        self.assertEqual(["start", "stopping", "stopped"], self.kinds())

    def test_lease_that_nobody_extends_ends_the_run(self) -> None:
        """A run on a worker that nobody called any more had no recorded end."""
        self.worker.start(start_order(lease_s=LEASE_S))
        time.sleep(2 * LEASE_S)
        self.assertEqual(["start"], self.kinds())
        self.worker.record_due_ends()
        self.assertEqual(["start", "lapsed", "lapse"], self.kinds())

    def test_run_ends_with_its_lease_before_a_crash(self) -> None:
        """A run counted as ended only at the crash, after its task ran elsewhere."""
        self.worker.start(start_order(lease_s=LEASE_S, crash_after_ms=100))
        time.sleep(0.2)
        self.assertEqual(["start", "lapsed", "lapse"], self.kinds())

    def test_run_that_crashes_its_worker_never_ends_as_done(self) -> None:
        """A crash came late on a busy machine, and a deadly task was done (seed 204).

        Its job was completed then, which no entry can know to be wrong.
        """
        self.worker.start(start_order(lease_s=2.0, crash_after_ms=60, work_ms=20))
        time.sleep(0.04)
        self.worker.record_due_ends()
        time.sleep(0.1)
        self.assertEqual(["start", "crash", "gone"], self.kinds())

    def test_crash_ends_the_runs(self) -> None:
        """A crash within the lease must still be recorded."""
        self.worker.start(start_order(lease_s=2.0, crash_after_ms=20))
        time.sleep(0.1)
        self.assertEqual(["start", "crash", "gone"], self.kinds())
        self.assertEqual(TASK, self.events[1]["task"])


if __name__ == "__main__":
    unittest.main()
