"""Test that the soak detects starts on workers that may not run them."""

import unittest

from jayshunt_soak.queues import StoredQueues
from jayshunt_soak.starts import check_starts
from jayshunt_soak.tests.builders import (
    JOB,
    build_job,
    end,
    incarnation,
    start,
    stopping,
)

SECOND_TASK = f"{JOB}.0.0.1"
HOME = StoredQueues(0.0, {"desk": "desk"})
FIRST_LIFE = [incarnation("w1"), start(1.0, 1)]


class StartsTest(unittest.TestCase):
    """Check each part of the rule with starts that keep it and starts that do not."""

    def broken(
        self, *events: dict, versions: tuple[StoredQueues, ...] = (HOME,), **step
    ) -> list[str]:
        """Return the violated parts for a job with one step."""
        job = build_job(steps=[{**build_job().steps[0], **step}])
        lines = check_starts([job], [*FIRST_LIFE, *events], list(versions))
        return [line.partition(":")[0] for line in lines]

    def test_allowed_starts_give_no_line(self) -> None:
        """A false alarm would hide real faults."""
        limits = {"required_label": "a", "max_per_worker": 2}
        self.assertEqual([], self.broken(start(1.5, 2, task=SECOND_TASK), **limits))

    def test_start_in_a_pool_of_no_version(self) -> None:
        """A VM that was moved must not run the work of its former pool's queue."""
        moved = {**start(1.5, 2, "w2"), "pool": "yard"}
        self.assertEqual(["pool"], self.broken(moved))
        later = StoredQueues(1.6, {"desk": "yard"})
        self.assertEqual(["pool"], self.broken(moved, versions=(HOME, later)))

    def test_start_in_a_pool_of_any_stored_version(self) -> None:
        """A start that an older version allows must not be reported."""
        moved = {**start(1.5, 2, "w2"), "pool": "yard"}
        away = StoredQueues(1.2, {"desk": "yard"})
        back = StoredQueues(1.4, HOME.pools)
        self.assertEqual([], self.broken(moved, versions=(HOME, away, back)))

    def test_start_without_the_required_label(self) -> None:
        """The next life of a worker may be of another kind under the same id."""
        restarted = {**start(1.5, 2), "born": 9, "labels": ["b"]}
        self.assertEqual(["label"], self.broken(restarted, required_label="a"))

    def test_start_beyond_the_limit_of_the_step(self) -> None:
        """One more task of a step than allowed on a worker must be reported."""
        second = start(1.5, 2, task=SECOND_TASK)
        self.assertEqual(["limit"], self.broken(second, max_per_worker=1))
        self.assertEqual([], self.broken(end(1.4, 1), second, max_per_worker=1))

    def test_run_that_is_being_stopped_counts(self) -> None:
        """A start beside a run that has not ended yet must be reported."""
        events = [stopping(1.2, 1), start(1.5, 2, task=SECOND_TASK)]
        events.append(end(1.6, 1, "stopped"))
        self.assertEqual(["limit"], self.broken(*events, max_per_worker=1))

    def test_runs_of_another_life_do_not_count(self) -> None:
        """The runs of a life that crashed are not on the worker's next life."""
        second = {**start(1.5, 2, task=SECOND_TASK), "born": 9}
        self.assertEqual([], self.broken(second, max_per_worker=1))


if __name__ == "__main__":
    unittest.main()
