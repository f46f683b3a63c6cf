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
    build_worker,
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


class StrictAdvice:
    """Allow one worker of a pool, and record whom each request names."""

    def __init__(self, allowed: str) -> None:
        """Allow the worker `allowed` only."""
        self.allowed = WorkerId(allowed)
        self.requests: list[tuple[WorkerId, ...]] = []

    def ask(self, step_name, workers, timeout_s):
        """Return a ticket, valid for ten seconds, if the allowed worker is named."""
        self.requests.append(workers)
        good = {self.allowed: "ticket"} if self.allowed in workers else {}
        return good, 10.0


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
            worker = build_worker(placement.worker)
            self.assertTrue(cache.ticket(placement.task, worker))


class PoolTest(unittest.TestCase):
    """Ask about the workers of a pool that is larger than one request."""

    def setUp(self) -> None:
        """Queue a job whose policy allows one of 70 workers."""
        queue = build_queue(advice=AdvicePolicy(1.0, 1.0, 10_000.0))
        self.job = build_job(queue=queue)
        self.task = self.job.steps[0, 0][0]
        self.advice = StrictAdvice("w69")
        self.cache = TicketCache(
            self.advice, ImmediateExecutor(), ManualClock(0.0), lambda: None
        )
        self.candidates = [build_candidate(f"w{n}") for n in range(70)]

    def place(self, now_s: float = 0.0) -> list:
        """Return the placements of one round."""
        candidates = {POOL: self.candidates}
        return self.cache.place(
            [self.job], candidates, now_s, lambda job: True, plan_placements
        )

    def place_after(self, rounds: int) -> list:
        """Return the placements of the last of some rounds."""
        return [self.place() for _ in range(rounds)][-1]

    def test_each_worker_of_the_pool_is_asked_about(self) -> None:
        """A job was never started if the 30 first workers may not run it."""
        placements = self.place_after(rounds=4)
        self.assertEqual(["w69"], [p.worker for p in placements])
        self.assertEqual([30, 30, 10], [len(names) for names in self.advice.requests])

    def test_workers_that_lack_room_or_label_do_not_take_the_turn(self) -> None:
        """Requests named the workers with most room, whatever the step requires."""
        self.job = build_job(build_step(required_label="b"), queue=self.job.config)
        labelled = build_candidate("w69")
        labelled.worker = build_worker("w69", labels=frozenset("b"))
        self.candidates[69] = labelled
        placements = self.place_after(rounds=2)
        self.assertEqual(["w69"], [p.worker for p in placements])
        self.assertEqual([("w69",)], self.advice.requests)

    def test_restarted_worker_gets_a_new_ticket(self) -> None:
        """A ticket holds for one life of a worker, which refuses that of another."""
        self.place_after(rounds=4)
        self.candidates[69].worker = build_worker("w69", started_ms=2)
        self.assertEqual([], self.place())
        self.assertEqual(("w69",), self.advice.requests[-1])
        self.assertEqual(["w69"], [p.worker for p in self.place()])

    def test_refused_ticket_is_not_used_again(self) -> None:
        """The same start was sent and refused in each round until it expired."""
        self.place_after(rounds=4)
        self.cache.drop(self.task, self.candidates[69].worker)
        self.assertEqual([], self.place())

    def test_worker_that_is_not_allowed_is_named_again_only_after_a_while(self) -> None:
        """A step that no worker may run must not keep the advice service busy."""
        self.advice.allowed = WorkerId("elsewhere")
        for n in range(20):
            self.place(n * 0.1)
        self.assertEqual(3, len(self.advice.requests))
        self.place(10.5)
        self.assertEqual(4, len(self.advice.requests))


if __name__ == "__main__":
    unittest.main()
