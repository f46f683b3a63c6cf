"""Test the placement of tasks and simulate a burst."""

import random
import unittest

from jayshunt.dispatch.models import Resources
from jayshunt.dispatch.placement_policy import PlacementPolicy
from jayshunt.dispatch.placing import plan_placements, prioritize_jobs
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.dispatch.tests.builders import (
    POOL,
    build_candidate,
    build_job,
    build_queue,
    build_step,
)
from jayshunt.ids import RackName, WorkerId

ROUND_S = 0.05
BURST_S = 8.0
RUN_S = 0.64


class PlacingTest(unittest.TestCase):
    """Test the limits of workers and steps."""

    def test_capacity_is_never_exceeded(self) -> None:
        """A worker that does not check its own capacity would be overcommitted."""
        job = build_job(build_step(task_count=50, resources=Resources(10_000, 1)))
        candidates = {POOL: [build_candidate("w1"), build_candidate("w2")]}
        self.assertEqual(12, len(plan_placements([job], candidates, 0.0)))
        self.assertTrue(all(r.free.cpu_millicores >= 0 for r in candidates[POOL]))

    def test_job_starts_no_more_than_can_be_stopped_in_time(self) -> None:
        """Of a cancelled job of 10,000 tasks nine tenths ran on for too long."""
        step = build_step(task_count=10, resources=Resources(1, 1))
        job = build_job(step, step)
        policy = PlacementPolicy(prioritize_jobs, max_runs_per_job=8)

        def count_placed() -> int:
            candidates = {POOL: [build_candidate()]}
            return len(plan_placements([job], candidates, 0.0, policy=policy))

        self.assertEqual(8, count_placed())
        for task in job.tasks()[:5]:
            task.phase, task.worker = TaskPhase.STOPPING, WorkerId("w1")
        job.ready_cache = None
        self.assertEqual(3, count_placed())
        gang = build_job(build_step(task_count=12, is_gang=True))
        placed = plan_placements(
            [gang], {POOL: [build_candidate()]}, 0.0, policy=policy
        )
        self.assertEqual(12, len(placed), "a gang is started and ends as a whole")

    def test_step_spreads_over_workers(self) -> None:
        """Tasks that must not share a worker would all be lost with it."""
        job = build_job(build_step(task_count=3, max_per_worker=1))
        candidates = {POOL: [build_candidate("w1"), build_candidate("w2")]}
        placed = plan_placements([job], candidates, 0.0)
        self.assertEqual({"w1", "w2"}, {p.worker for p in placed})
        self.assertEqual(2, len(placed))

    def test_label_is_required(self) -> None:
        """A task cannot run on a worker without the required label."""
        job = build_job(build_step(required_label="gpu"))
        self.assertEqual([], plan_placements([job], {POOL: [build_candidate()]}, 0.0))

    def test_gang_starts_whole_or_not(self) -> None:
        """A part of a gang would wait for the other tasks and end without a result."""
        step = build_step(task_count=3, is_gang=True, resources=Resources(30_000, 1))
        job = build_job(step)
        self.assertEqual([], plan_placements([job], {POOL: [build_candidate()]}, 0.0))
        candidates = {POOL: [build_candidate("w1"), build_candidate("w2")]}
        self.assertEqual(3, len(plan_placements([job], candidates, 0.0)))

    def test_failed_worker_is_avoided(self) -> None:
        """A worker on which every run fails would use up a job's attempts."""
        job = build_job()
        job.steps[0, 0][0].failed_on = (WorkerId("w1"),)
        candidates = {POOL: [build_candidate("w1"), build_candidate("w2")]}
        self.assertEqual("w2", plan_placements([job], candidates, 0.0)[0].worker)

    def test_rack_of_the_data_is_preferred(self) -> None:
        """A task on another rack than its data takes twice as long."""
        job = build_job(build_step(data_rack=RackName("r1")))
        far = build_candidate("w1")
        far.worker = far.worker.__class__(
            **{**far.worker.__dict__, "rack": RackName("r2")}
        )
        candidates = {POOL: [far, build_candidate("w2")]}
        self.assertEqual("w2", plan_placements([job], candidates, 0.0)[0].worker)

    def test_long_running_tasks_share_few_workers(self) -> None:
        """Spread over all workers, they would keep every VM from being moved."""
        job = build_job(build_step(task_count=4, is_long_running=True))
        candidates = {POOL: [build_candidate(f"w{n}") for n in range(4)]}
        placed = plan_placements([job], candidates, 0.0)
        self.assertEqual(1, len({p.worker for p in placed}))


class BurstTest(unittest.TestCase):
    """Simulate a burst of twice the pool's capacity, as on the heaviest days."""

    def simulate(self, order) -> float:
        """Return the fraction of jobs that complete within their objective."""
        rng = random.Random(7)
        jobs = [
            build_job(
                build_step(
                    task_count=rng.randint(4, 10),
                    resources=Resources(3_500, 1),
                    estimate_ms=640,
                ),
                number=n + 1,
                accepted_s=n * BURST_S / 300,
                queue=build_queue(),
            )
            for n in range(300)
        ]
        candidates = [build_candidate(f"w{n}") for n in range(6)]
        by_name = {candidate.worker.worker: candidate for candidate in candidates}
        running: list[tuple[float, Job, object]] = []
        met = 0
        now_s = 0.0
        while now_s < 60.0:
            for entry in [r for r in running if r[0] <= now_s]:
                running.remove(entry)
                _, job, placement = entry
                candidate = by_name[placement.worker]
                candidate.free = candidate.free + placement.task.spec.reserved
                job.mark_done(placement.task)
                if job.state.is_final and now_s <= job.deadline_s:
                    met += 1
            waiting = [
                j for j in jobs if j.accepted_s <= now_s and not j.state.is_final
            ]
            for job in order(waiting, now_s):
                for placement in plan_placements([job], {POOL: candidates}, now_s):
                    placement.task.phase = TaskPhase.RUNNING
                    running.append((now_s + RUN_S, job, placement))
            now_s += ROUND_S
        return met / len(jobs)

    def test_more_jobs_are_in_time_than_by_deadline_alone(self) -> None:
        """Under overload, an order by deadline alone makes every job late."""
        by_priority = self.simulate(prioritize_jobs)
        by_deadline = self.simulate(
            lambda jobs, _: sorted(jobs, key=lambda j: j.deadline_s)
        )
        # At best, 6 workers of 64 cores run about half of the burst in time.
        self.assertGreater(by_priority, by_deadline + 0.1)
        self.assertGreater(by_priority, 0.4)


if __name__ == "__main__":
    unittest.main()
