"""Test that the checks of the soak see each kind of broken promise."""

import unittest

from jayshunt_soak.checks import check
from jayshunt_soak.tests.builders import (
    JOB,
    TASK,
    build_told,
    end,
    life,
    noted,
    start,
)

GOOD = [life("w1"), life("w2", "rack-1"), start(1.0, 1), end(2.0, 1), noted(2.1, 1)]


class ChecksTest(unittest.TestCase):
    """Cover each promise with a run that keeps it and one that breaks it."""

    def broken(self, *events: dict, **changes) -> list[str]:
        """Return the kinds of the broken promises."""
        lines = check([build_told(**changes)], [*GOOD, *events])
        return sorted({line.partition(":")[0] for line in lines})

    def test_kept_promises_give_no_line(self) -> None:
        """A check that always complains tells nothing."""
        self.assertEqual([], self.broken())

    def test_overlapping_runs(self) -> None:
        """A booking that runs twice sends two trucks."""
        self.assertEqual(["twice"], self.broken(start(1.5, 2, "w2")))

    def test_run_after_a_killed_one_is_allowed(self) -> None:
        """The runs of a process that was killed are over."""
        killed = {"at_s": 1.5, "event": "killed", "process": "rack-0"}
        events = [life("w1"), life("w2", "rack-1"), start(1.0, 1), killed]
        events += [start(1.8, 2, "w2"), end(2.4, 2, worker="w2")]
        self.assertEqual([], check([build_told()], events))

    def test_run_after_a_noted_end(self) -> None:
        """What was done and noted must not begin again."""
        self.assertEqual(["done before"], self.broken(start(3.0, 2, "w2")))

    def test_run_after_an_end_that_was_noted_past_its_lease(self) -> None:
        """Seed 2003: a worker behind a silent path lists its end seconds too late."""
        lapse = {"at_s": 5.0, "event": "lapse", "worker": "w1"}
        events = [life("w1"), life("w2", "rack-1"), start(1.0, 1), end(2.0, 1), lapse]
        events += [start(5.5, 2, "w2"), end(6.0, 2, worker="w2"), noted(7.0, 1)]
        self.assertEqual([], check([build_told()], events))
        before = {**lapse, "at_s": 1.5}
        events[4] = before
        self.assertEqual(1, len(check([build_told()], events)))

    def test_refused_job_that_runs(self) -> None:
        """A refusal that says not run must be true."""
        changes = {"accepted_s": None, "is_refused": True, "states": []}
        self.assertEqual(["refused"], self.broken(**changes))

    def test_job_that_nobody_handed_in(self) -> None:
        """A worker must not run what no caller sent."""
        stray = start(1.0, 1, task="00000000000000b2.0.0.0")
        self.assertEqual(["unasked"], self.broken(stray))

    def test_accepted_job_that_is_not_known(self) -> None:
        """An accepted job must never vanish."""
        self.assertEqual(["lost"], self.broken(states=[(5.0, "gone")]))

    def test_accepted_job_that_does_not_end(self) -> None:
        """With all faults over, every job ends."""
        self.assertEqual(["unfinished"], self.broken(states=[(9.0, "running")]))

    def test_completed_without_its_work(self) -> None:
        """A job shown as completed has done all of its tasks."""
        told = build_told()
        events = [life("w1"), start(1.0, 1), end(1.5, 1, "failed")]
        self.assertEqual(
            [f"incomplete: {TASK} never ended well"], check([told], events)
        )

    def test_step_before_its_predecessor(self) -> None:
        """A second step builds on the first one's result."""
        step = build_told().steps[0]
        told = build_told(steps=[step, {**step, "after": [0]}])
        early = start(1.2, 1, "w2", f"{JOB}.0.1.0")
        done = {**early, "event": "end", "at_s": 3.0, "how": "done"}
        lines = check([told], [*GOOD, early, done])
        self.assertEqual(["order"], [line.partition(":")[0] for line in lines])

    def test_more_work_than_a_worker_has_room_for(self) -> None:
        """Workers that do not guard their room must not be filled beyond it."""
        step = {**build_told().steps[0], "cpu": 9_000}
        self.assertEqual(["room"], self.broken(steps=[step]))


if __name__ == "__main__":
    unittest.main()
