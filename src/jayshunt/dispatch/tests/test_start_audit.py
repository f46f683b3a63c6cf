"""Test that wrong starts are found in the logs of the dispatcher."""

import json
import unittest

from jayshunt.dispatch.start_audit import audit_starts

# A worker's first life, and its second one, which begins at second 2.
FIRST_MS, SECOND_MS = 1772866495000, 1772866502000


def line(at_s: float, message: str, **fields) -> str:
    """Return a log line; `at_s` is the second of the minute."""
    time = f"2026-03-07T06:55:{at_s:06.3f}+00:00"
    return json.dumps({"time": time, "message": message, "worker": "w1", **fields})


def placed(at_s: float, **fields) -> str:
    """Return the line of a start on a worker's first life."""
    choice = {"config": 3, "queue": "q1", "pool": "desk", "born": FIRST_MS}
    task = {"task": "b1.0.0.1", "run": 7}
    return line(at_s, "dispatch: placed", **{**task, **choice, **fields})


def over(at_s: float, reason: str, **fields) -> str:
    """Return the line of the end of a worker's life."""
    return line(at_s, "dispatch: a worker is over", reason=reason, **fields)


class StartAuditTest(unittest.TestCase):
    """Cover each reason with starts that are reported and starts that are not."""

    def reasons(self, *lines: str) -> list[str]:
        """Return the reasons of the starts that were found."""
        return [found.partition(" ")[0] for found in audit_starts(lines)]

    def test_starts_within_the_rules_are_not_reported(self) -> None:
        """False reports would hide a real one; old logs lack the fields."""
        limits = {"of_step": 2, "max_per_worker": 2}
        labels = {"required_label": "a", "labels": ["a", "r1-1"]}
        old = line(4.0, "dispatch: placed", task="b1.0.0.1", run=8)
        lines = [placed(1.0), placed(2.0, **limits, **labels), old, "not a record"]
        self.assertEqual([], self.reasons(*lines))

    def test_start_beyond_the_limit_per_worker(self) -> None:
        """A start that exceeds the limit by the dispatcher's own count is shown."""
        self.assertEqual(
            ["limit"], self.reasons(placed(1.0, of_step=2, max_per_worker=1))
        )

    def test_start_without_the_required_label(self) -> None:
        """A start on a worker that lacks the label is shown."""
        start = placed(1.0, required_label="a", labels=["b", "r1-1"])
        self.assertEqual(["label"], self.reasons(start))

    def test_start_in_another_pool_than_other_starts_of_the_queue(self) -> None:
        """A pool of an older version must not be used; the versions may differ."""
        starts = [placed(1.0), placed(2.0), placed(3.0, pool="yard")]
        self.assertEqual(["pool"], self.reasons(*starts))
        self.assertEqual([], self.reasons(placed(1.0), placed(2.0, config=4, pool="b")))

    def test_start_on_a_life_before_the_latest(self) -> None:
        """A second process that still starts on a worker's former life is shown."""
        answered = line(2.0, "dispatch: a worker answered", born=SECOND_MS)
        self.assertEqual(["life"], self.reasons(answered, placed(2.5)))
        self.assertEqual(
            ["life"], self.reasons(placed(2.0, born=SECOND_MS), placed(2.5))
        )

    def test_start_on_a_life_that_had_ended_unseen(self) -> None:
        """A start that the worker's next life took was right by all earlier lines."""
        seen = line(3.0, "dispatch: a worker answered", born=SECOND_MS)
        self.assertEqual(["stale"], self.reasons(placed(2.1), seen))
        self.assertEqual([], self.reasons(placed(1.9), seen))

    def test_start_on_a_life_that_is_over(self) -> None:
        """A life that another one replaced must not be used; one in silence may."""
        end = over(2.0, "another life answered: 2 kept")
        self.assertEqual(["life"], self.reasons(placed(1.0), end, placed(2.5)))
        self.assertEqual(
            [], self.reasons(placed(1.0), end, placed(2.5, born=SECOND_MS))
        )
        silent = over(2.0, "its lease", born=FIRST_MS)
        self.assertEqual([], self.reasons(placed(1.0), silent, placed(2.5)))


if __name__ == "__main__":
    unittest.main()
