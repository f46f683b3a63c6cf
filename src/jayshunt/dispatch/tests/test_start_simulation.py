"""Check the starts of simulated terms against the workers as they are."""

import logging
import unittest
from collections import Counter

from jayshunt.dispatch.tests.start_simulation import StartSimulation

SIMULATED_S = 60.0
# Seeds by the share of messages that are lost or late.
SEEDS = {0.05: (*range(6), 19, 29, 35, 120), 0.15: (197, 284)}


class StartSimulationTest(unittest.TestCase):
    """Simulate restarts, moves, late orders, and changes of terms and configuration."""

    def setUp(self) -> None:
        """Hide the warnings of workers that are set aside."""
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_task_starts_on_a_worker_that_may_not_run_it(self) -> None:
        """What is believed of a worker's pool, labels and runs may be outdated."""
        counts: Counter[str] = Counter()
        for loss, seeds in SEEDS.items():
            for seed in seeds:
                simulation = StartSimulation(seed, loss)
                simulation.run(SIMULATED_S)
                self.assertEqual([], simulation.problems, f"seed {seed}, loss {loss}")
                counts += simulation.counts
        for name in ("starts", "restarts", "moves", "terms", "evacuations"):
            self.assertGreater(counts[name], 30, f"the simulations have {name}")


if __name__ == "__main__":
    unittest.main()
