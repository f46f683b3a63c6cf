"""Test the index of rooms against a plain comparison of all workers."""

import random
import unittest

from jayshunt.dispatch.models import Resources
from jayshunt.dispatch.placing import _best_room, plan_placements
from jayshunt.dispatch.rooms import PoolRooms
from jayshunt.dispatch.tests.builders import (
    POOL,
    add_worker_view,
    build_job,
    build_queue,
    build_room,
    build_step,
    build_tracker,
    place,
)


def random_rooms(rng: random.Random, count: int) -> list:
    """Return workers with different room, some of them not sound."""
    return [
        build_room(
            f"w{number}",
            free=Resources(rng.randrange(0, 64_000), rng.randrange(0, 100_000)),
            is_trusted=rng.random() > 0.1,
            is_slow=rng.random() < 0.1,
            leaves_soon=rng.random() < 0.1,
        )
        for number in range(count)
    ]


class PoolRoomsTest(unittest.TestCase):
    """Cover the choices of the index and what it leaves out."""

    def test_index_chooses_as_a_comparison_of_all_workers(self) -> None:
        """An index that goes stale in a round packs worse, or over capacity."""
        for seed in range(40):
            rng = random.Random(seed)
            rooms, plain = random_rooms(rng, 12), random_rooms(random.Random(seed), 12)
            jobs = [
                build_job(
                    build_step(
                        task_count=rng.randrange(1, 6),
                        resources=Resources(
                            rng.randrange(500, 20_000), rng.randrange(1, 30_000)
                        ),
                        max_per_worker=rng.choice((0, 0, 1)),
                    ),
                    number=number + 1,
                )
                for number in range(8)
            ]
            chosen = plan_placements(jobs, {POOL: rooms}, 0.0)
            expected = []
            for job in sorted(jobs, key=lambda job: (job.deadline_s, job.spec.job)):
                for task in job.ready_tasks():
                    room = _best_room(job, task, plain)
                    if room is not None:
                        room.take(task)
                        expected.append((task.key, room.worker.worker))
            self.assertEqual(expected, [(p.task.key, p.worker) for p in chosen])

    def test_need_that_found_no_room_is_not_tried_again(self) -> None:
        """Hundreds of waiting jobs compared all workers in each round."""
        pool = PoolRooms([build_room(free=Resources(4_000, 4_000))])
        pool.found_none(build_step(resources=Resources(5_000, 1)))
        self.assertTrue(pool.is_hopeless(build_step(resources=Resources(6_000, 1))))
        self.assertFalse(pool.is_hopeless(build_step(resources=Resources(4_000, 1))))

    def test_step_with_a_label_says_nothing_of_others(self) -> None:
        """Workers without its label may have room for other steps."""
        pool = PoolRooms([build_room()])
        pool.found_none(build_step(required_label="b"))
        self.assertFalse(pool.is_hopeless(build_step()))


class LoadTest(unittest.TestCase):
    """Cover the running sums of what is on a worker."""

    def test_load_returns_to_nothing(self) -> None:
        """A sum that drifts would close a worker for new tasks for good."""
        steps = (
            build_step(task_count=2, max_per_worker=1),
            build_step(is_long_running=True, target_ms=10),
            build_step(is_long_running=True, fills=True),
        )
        job = build_job(*steps, queue=build_queue())
        tracker = build_tracker(job)
        view = add_worker_view(tracker)
        empty = view.load.copy()
        for step, index in ((0, 0), (0, 1), (1, 0), (2, 0)):
            task = job.steps[0, step][index]
            tracker.record_order(task, view, 20, 0.0)
            view.place(task)
        self.assertEqual(2, view.load.long_running)
        tracker.remove_worker(view, 1.0, "test")
        self.assertEqual(empty, view.load)

    def test_task_waits_again_after_its_worker_was_lost(self) -> None:
        """A list of due tasks that is kept too long forgets it."""
        job = build_job(build_step(task_count=2))
        tracker = build_tracker(job)
        view = add_worker_view(tracker)
        self.assertEqual(2, len(job.ready_tasks()))
        place(tracker, job, 0, view)
        self.assertEqual(1, len(job.ready_tasks()))
        tracker.remove_worker(view, 1.0, "test")
        self.assertEqual(2, len(job.ready_tasks()))


if __name__ == "__main__":
    unittest.main()
