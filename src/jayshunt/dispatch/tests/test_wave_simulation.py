"""Check waves, stops and starts of simulated terms against the truth."""

import logging
import unittest
from collections import Counter

from jayshunt.dispatch.tests.wave_simulation import WaveSimulation

SIMULATED_S = 60.0
# Each broke a rule before it was kept, most of them two or more.
SEEDS = (3, 5, 6, 9, 12, 17, 18, 177)


class WaveSimulationTest(unittest.TestCase):
    """Simulate waves and cancels beside workers that leave and changes of terms."""

    def test_waves_and_cancelled_jobs_end_as_they_must(self) -> None:
        """A wave was completed by an older list, and stops came behind starts."""
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        counts: Counter[str] = Counter()
        for seed in SEEDS:
            simulation = WaveSimulation(seed)
            simulation.run(SIMULATED_S)
            for rule in ("mixed", "unasked", "over_limit", "lost", "problems"):
                broken = getattr(simulation, rule)
                self.assertEqual([], broken, f"{rule}, seed {seed}")
            counts += simulation.counts
        for name in ("upkeeps", "completed waves", "wide jobs", "cancels", "terms"):
            self.assertGreater(counts[name], 15, f"the simulations have {name}")


if __name__ == "__main__":
    unittest.main()
