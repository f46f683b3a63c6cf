"""Test that the check of lasting tasks finds idle ones, and only those."""

import unittest
from unittest.mock import Mock

from jayshunt_soak.callers import Load
from jayshunt_soak.lasting import check_lasting
from jayshunt_soak.queues import StoredQueues
from jayshunt_soak.tests.builders import (
    TASK,
    build_job,
    end,
    incarnation,
    left,
    resized,
    start,
)

OTHER_TASK = "00000000000000b2.0.0.0"
VERSIONS = [StoredQueues(0.0, {"desk": "desk"})]


class LastingTest(unittest.TestCase):
    """Check a task whose worker left at 10 s and that runs again from 30 s on."""

    def idle_from(
        self, *events: dict, faults: list[tuple[float, float]] = (), **changes
    ) -> list[str]:
        """Return from when on the check finds that the task had to run."""
        (step,) = build_job().steps
        step |= {"lasts": True, **changes.pop("step", {})}
        job = build_job(steps=[step], states=[(60.0, "cancelled")], **changes)
        rows = [incarnation("w1"), incarnation("w2", "rack-1"), *events]
        rows += [start(1.0, 1), end(10.0, 1, "gone"), left(10.0, "w1")]
        rows += [start(30.0, 2, "w2"), end(59.0, 2, "stopped", "w2")]
        rows.sort(key=lambda row: row["at_s"])
        lines = check_lasting([job], rows, VERSIONS, faults)
        return [line.rpartition("from ")[2] for line in lines]

    def test_task_without_run_is_found(self) -> None:
        """A successor held lasting tasks back for 17 s although there was room."""
        self.assertEqual(["16.00 on"], self.idle_from())

    def test_only_calm_times_count(self) -> None:
        """Faults must not make the check blame the entries, nor hide a later wait."""
        self.assertEqual(["22.25 on"], self.idle_from(faults=[(11.0, 18.1)]))
        apart = [(at_s, at_s + 0.1) for at_s in (10.0, 16.0, 23.0, 29.0)]
        self.assertEqual([], self.idle_from(faults=apart))

    def test_only_workers_with_room_count(self) -> None:
        """A pool that is full, lacks the label or has only new workers owes no run."""
        shrunk, restored = resized(5.0, 1_900, "w2"), resized(9.0, 8_000, "w2")
        self.assertEqual([], self.idle_from(shrunk))
        self.assertEqual(["16.00 on"], self.idle_from(shrunk, restored))
        self.assertEqual([], self.idle_from(step={"required_label": "b"}))
        self.assertEqual([], self.idle_from(step={"max_per_worker": 1}))
        self.assertEqual([], self.idle_from(left(12.0, "w2")))
        late = {**incarnation("w2", "rack-1"), "at_s": 28.0}
        self.assertEqual([], self.idle_from(left(9.0, "w2"), late))

    def test_cancelled_job_owes_nothing(self) -> None:
        """A task must not run again once its job's cancellation was sent."""
        self.assertEqual([], self.idle_from(cancel_sent_s=18.9))
        self.assertEqual(["16.00 on"], self.idle_from(cancel_sent_s=19.0))

    def test_first_cancellation_counts(self) -> None:
        """A cancellation without an answer was carried out, and its tasks looked idle.

        The job was cancelled again 27 s later (soak seed 431).
        """
        job, caller = build_job(), Mock()
        caller.call_for.return_value = None
        job.cancel_sent_s = 18.9
        Load(Mock(), 1)._cancel(caller, job)
        self.assertEqual(18.9, job.cancel_sent_s)

    def test_task_that_never_ran_is_found(self) -> None:
        """A task that is forgotten right after it was accepted must be found, too."""
        rows = [incarnation("w1"), start(0.5, 1, task=OTHER_TASK)]
        rows.append(end(20.0, 1, task=OTHER_TASK))
        (step,) = build_job().steps
        job = build_job(steps=[{**step, "lasts": True}], states=[])
        (line,) = check_lasting([job], rows, VERSIONS, [])
        self.assertIn(TASK, line)


if __name__ == "__main__":
    unittest.main()
