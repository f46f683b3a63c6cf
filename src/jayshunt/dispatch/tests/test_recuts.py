"""Test that no task runs twice around workers that start again and are cut off."""

import itertools
import logging
import unittest

from jayshunt.dispatch.tests.recut_simulation import RecutSimulation
from jayshunt.dispatch.tests.start_simulation import HEARTBEAT_S

NEVER_S = 1e9
SEEDS = (1, 15, 17, 21)
SIMULATED_S = 30.0
# Longer than any lease.
CUT_S = 30.0
AFTER_CUT_S = 14.0
BOTH_WAYS, CALLS_LOST, ANSWERS_LOST = (False, False), (False, True), (True, False)


class RecutTest(unittest.TestCase):
    """Cut a worker off that has taken calls which were meant for its former life."""

    def setUp(self) -> None:
        """Hide the logs of dispatchers that lose workers."""
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def recut(self, seed: int, back_s: float, ways: tuple[bool, bool], act) -> None:
        """Let starts wait for a worker that is down, and cut it off after `back_s`.

        `act` is called with the simulation as the cut begins.
        """
        simulation = RecutSimulation(seed, changes=1 / NEVER_S, recut_s=NEVER_S)
        # The list shows the next life only after the cut has begun, if at all.
        simulation.register = lambda beat: simulation.after(HEARTBEAT_S, beat)
        simulation.run(3.0)
        vm = simulation.vms[0]
        worker = vm.end().worker
        for _ in range(6):
            simulation.add_job()
        simulation.run(0.6)
        vm.begin(worker.pool, worker.worker)
        simulation.run(back_s)
        simulation.cut(vm, CUT_S, ways)
        act(simulation)
        simulation.run(AFTER_CUT_S)
        self.assertGreater(simulation.counts["starts"], 20)
        self.assertEqual([], simulation.problems)

    def check(self, act) -> None:
        """Cut off at several times, and one way as well as both."""
        cuts = itertools.product((0.1, 1.0, 3.0), (BOTH_WAYS, CALLS_LOST, ANSWERS_LOST))
        for (back_s, ways), seed in itertools.product(cuts, SEEDS):
            with self.subTest(back_s=back_s, ways=ways, seed=seed):
                self.recut(seed, back_s, ways, act)

    def test_same_dispatcher_starts_no_task_twice(self) -> None:
        """It did not know which life took a start without an answer."""
        self.check(lambda simulation: None)

    def test_successor_starts_no_task_twice(self) -> None:
        """It waited for the leases that a dispatcher asks for, not for the longest."""
        self.check(lambda simulation: simulation.new_term())

    def test_successor_with_a_handoff_starts_no_task_twice(self) -> None:
        """The handoff names the tasks, but not how long their leases may last."""

        def hand_over(simulation: RecutSimulation) -> None:
            simulation.dispatcher._flush()
            simulation.new_term()

        self.check(hand_over)

    def test_random_recuts_start_no_task_twice(self) -> None:
        """Cuts, restarts and changes of the term overlap."""
        recuts = 0
        for seed in SEEDS:
            simulation = RecutSimulation(seed)
            simulation.run(SIMULATED_S)
            self.assertEqual([], simulation.problems, f"seed {seed}")
            recuts += simulation.counts["recuts"]
        self.assertGreater(recuts, 15)


if __name__ == "__main__":
    unittest.main()
