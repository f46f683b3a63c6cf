"""Test the placement of tasks of queues whose policy allows only some workers."""

import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.models import AdvicePolicy
from jayshunt.dispatch.placing import plan_placements
from jayshunt.dispatch.tests.builders import (
    POOL,
    build_candidate,
    build_job,
    build_queue,
    build_step,
)
from jayshunt.dispatch.tickets import TicketCache
from jayshunt.ids import WorkerId

ALLOWED = {"0": WorkerId("w1"), "1": WorkerId("w2")}


class FakeAdvice:
    """Allow another worker for each step."""

    def ask(self, step_name, workers, timeout_s):
        """Return the ticket of the step's worker, valid for ten seconds."""
        step = step_name.rpartition(".")[2]
        return {ALLOWED[step]: f"ticket-{step}"}, 10.0


class ImmediateExecutor:
    """Run each call at once."""

    def submit(self, call, *args) -> None:
        """Run a call."""
        call(*args)


class TicketTest(unittest.TestCase):
    """Test which workers the ready steps of one job are placed on."""

    def test_each_step_goes_to_the_workers_that_have_its_ticket(self) -> None:
        """A start without the ticket of its step is refused by the worker.

        With two ready steps, the workers of the last one were used for both.
        """
        queue = build_queue(advice=AdvicePolicy(1.0, 1.0, 10_000.0))
        job = build_job(build_step(), build_step(), queue=queue)
        cache = TicketCache(
            FakeAdvice(), ImmediateExecutor(), ManualClock(0.0), lambda: None
        )
        for _ in range(2):
            candidates = {POOL: [build_candidate(name) for name in ("w1", "w2", "w3")]}
            placements = cache.place(
                [job], candidates, 0.0, lambda job: True, plan_placements
            )
        found = {str(p.task.key.step): p.worker for p in placements}
        self.assertEqual(ALLOWED, found)
        for placement in placements:
            self.assertTrue(cache.ticket(placement.task, placement.worker))


if __name__ == "__main__":
    unittest.main()
