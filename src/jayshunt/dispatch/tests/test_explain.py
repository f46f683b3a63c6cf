"""Test that the history of a job shows why its request failed."""

import json
import unittest

from jayshunt.dispatch.explain import explain

# Recorded log lines of several entries, in the order of their files.
RECORDED = [
    ("11.574", "entry: refused", {"job": "a1", "reason": "the queue is far behind"}),
    ("12.645", "entry: accepted", {"job": "a1", "revision": 204}),
    ("17.463", "dispatch: placed", {"task": "b1.0.2.1", "run": 4784, "worker": "w1"}),
    ("26.314", "dispatch: placed", {"task": "b1.0.2.1", "run": 4785, "worker": "w2"}),
    ("26.303", "dispatch: a worker is over", {"worker": "w1", "reason": "its lease"}),
    ("26.303", "dispatch: a worker is over", {"worker": "w9", "reason": "its lease"}),
    ("27.770", "entry: not accepted", {"job": "c1", "outcome": "not_run"}),
    ("30.592", "entry: not accepted", {"job": "c1", "outcome": "not_run"}),
    ("28.786", "dispatch: the term was not renewed", {"valid": True}),
    ("31.000", "dispatch: job added", {"job": "e1"}),
    (
        "32.000",
        "dispatch: jobs of earlier terms wait for a worker",
        {"unheard_worker": "w7", "reason": "silent"},
    ),
    ("33.000", "dispatch: placed", {"task": "e1.0.0.0", "worker": "w8"}),
    ("40.000", "dispatch: the term was not renewed", {"valid": False}),
]


def lines() -> list[str]:
    """Return the recorded lines in the format of a log collector."""
    return [
        "front-1 | "
        + json.dumps(
            {"time": f"2026-03-07T06:55:{at}+00:00", "message": text, **fields}
        )
        for at, text, fields in RECORDED
    ] + ["not a record", '{"time": 3}']


class ExplainTest(unittest.TestCase):
    """Cover the three diagnosis examples of docs/OPERATIONS.md."""

    def test_refused_job(self) -> None:
        """The history has the reason of a refusal and the later acceptance."""
        history = explain("a1", lines())
        self.assertEqual(2, len(history))
        self.assertIn("the queue is far behind", history[0])

    def test_job_late_after_a_lost_worker(self) -> None:
        """Only the loss of the job's own worker is listed between its two runs."""
        history = explain("b1", lines())
        self.assertEqual(3, len(history))
        self.assertIn("worker=w1", history[1])
        self.assertIn("a worker is over", history[1])
        self.assertIn("run=4785", history[2])

    def test_job_held_up_by_the_store(self) -> None:
        """Events that affect all jobs are included while the job was submitted."""
        history = explain("c1", lines())
        self.assertEqual(3, len(history))
        self.assertIn("the term was not renewed", history[1])

    def test_job_held_back_for_a_worker_that_it_never_named(self) -> None:
        """A wait of twelve seconds after a takeover showed no cause."""
        history = explain("e1", lines())
        self.assertIn("unheard_worker=w7 reason=silent", history[1])

    def test_unknown_job(self) -> None:
        """An unknown job id must not look like a job without problems."""
        self.assertEqual([], explain("d1", lines()))


if __name__ == "__main__":
    unittest.main()
