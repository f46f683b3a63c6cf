"""Run a short soak with a fixed seed, and the seeds that ever failed."""

import tempfile
import unittest
from pathlib import Path

from jayshunt_soak.__main__ import run_once
from jayshunt_soak.faults import draw

SHORT_SEED = 7
SHORT_S = 6.0


class SoakTest(unittest.TestCase):
    """Cover the programs as processes, under faults from outside."""

    def test_short_run_keeps_every_promise(self) -> None:
        """The parts hold together only as real processes over real sockets."""
        with tempfile.TemporaryDirectory() as folder:
            broken, counts = run_once(SHORT_SEED, SHORT_S, Path(folder))
        self.assertEqual([], broken, counts)

    def test_faults_of_a_seed_are_the_same_each_time(self) -> None:
        """A seed that failed has to play the same faults again."""
        self.assertEqual(draw(11, 20.0), draw(11, 20.0))
        self.assertNotEqual(draw(11, 20.0), draw(12, 20.0))


if __name__ == "__main__":
    unittest.main()
