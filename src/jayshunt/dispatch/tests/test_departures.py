"""Test that lasting tasks go on after workers and dispatchers left, and never twice."""

import itertools
import logging
import unittest
from collections import Counter

from jayshunt.dispatch.tests.departure_simulation import LASTING, DepartureSimulation

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

    def test_start_that_was_queued_as_its_term_ended_runs_once(self) -> None:
        """It was sent to a life of which the VM list knew nothing when it was read."""
        for seed, crash_s, back_s in itertools.product((1, 2), (1.8, 2.1), (0.8, 1.9)):
            with self.subTest(seed=seed, crash_s=crash_s, back_s=back_s):
                simulation = DepartureSimulation(seed, has_phases=False)
                simulation.run(8.0)
                vm = max(simulation.vms, key=lambda vm: len(vm.life.server.runs))
                simulation.slow.add(vm)
                simulation.drawn_steps = LASTING[:1]
                for _ in range(14):
                    super(DepartureSimulation, simulation).add_job()
                simulation.run(0.5)
                simulation.cut_zone(vm, 2.0)
                simulation.run(crash_s)
                worker = vm.end().worker
                simulation.run(back_s)
                vm.begin(worker.pool, worker.worker)
                simulation.run(6.0)
                self.assertEqual([], simulation.problems)


if __name__ == "__main__":
    unittest.main()
