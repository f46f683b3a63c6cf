"""Test that lasting tasks go on after workers and dispatchers left, and never twice."""

import logging
import unittest
from collections import Counter

from jayshunt.dispatch.tests.departure_simulation import DepartureSimulation

SIMULATED_S = 70.0
# All but 4 and 31 lose tasks if a successor holds back all inherited tasks of a pool
# for one silent worker. These two run tasks twice if the VM list counts at once: 4
# without LATE_CALL_S, 31 if it counts from the start of a term on.
SEEDS = (4, 20, 31, 33, 45, 54, 70, 99)


class DepartureTest(unittest.TestCase):
    """Let workers and dispatchers leave, crash and be cut off in random phases."""

    def setUp(self) -> None:
        """Hide the logs of dispatchers that lose workers."""
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_lasting_tasks_run_on_and_none_runs_twice(self) -> None:
        """A successor held all of them back for one worker that was gone.

        If it waits too short a time instead, a worker that is cut off or comes back
        runs them beside another one.
        """
        counts: Counter[str] = Counter()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = DepartureSimulation(seed)
                simulation.run(SIMULATED_S)
                counts += simulation.counts
                self.assertEqual([], simulation.problems)
                self.assertEqual([], simulation.lost)
        for kind in ("leaves", "crashes", "returns", "cuts", "killed", "silent"):
            self.assertGreater(counts[kind], 0, kind)
        self.assertGreater(counts["calm"], 100 * len(SEEDS))


if __name__ == "__main__":
    unittest.main()
