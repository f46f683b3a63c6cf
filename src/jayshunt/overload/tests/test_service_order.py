"""Test the order of service under overload and compare it on a played load."""

import unittest

from jayshunt.dispatch.placement_policy import PlacementPolicy
from jayshunt.dispatch.placing import prioritize_jobs
from jayshunt.dispatch.tests.builders import POOL, QUEUE, build_job, build_step
from jayshunt.overload.models import PoolRoom, Prospect
from jayshunt.overload.service_order import ServiceOrder, prospect
from jayshunt.overload.tests.builders import build_load, build_workers
from jayshunt.overload.tests.load_player import (
    LoadPlayer,
    best_in_hindsight,
    largest_tenths,
)

CORES = 336.0


class ProspectTest(unittest.TestCase):
    """Test how a job can still end; its objective is 2.2 s for a run of 1 s."""

    def test_useless_and_late_jobs_come_last(self) -> None:
        """After an outage, hopeless jobs would take the room of those in time."""
        useless, late, new = (
            build_job(number=n, accepted_s=at) for n, at in enumerate((0.0, 6.0, 9.0))
        )
        order = ServiceOrder()
        order.begin_round([useless, late, new], {POOL: PoolRoom(64, 64)}, 9.5)
        self.assertEqual([new, late, useless], order.order([useless, late, new], 9.5))

    def test_waiting_service_goes_first_and_is_not_called_useless(self) -> None:
        """It has no objective; in the log it would look like a hopeless job."""
        service = build_job(build_step(is_long_running=True, estimate_ms=0), number=2)
        new = build_job(number=1, accepted_s=9.0)
        order = ServiceOrder()
        order.begin_round([new, service], {POOL: PoolRoom(64, 64)}, 9.5)
        self.assertEqual([service, new], order.order([new, service], 9.5))
        self.assertEqual(
            {Prospect.SAFE: 1}, {p: n for p, n in order.prospects.items() if n}
        )

    def test_wide_job_without_room_is_not_safely_in_time(self) -> None:
        """It would get a part of its cores in time and waste them."""
        job = build_job(build_step(task_count=60))
        for free, expected in ((64, Prospect.SAFE), (0, Prospect.POSSIBLE)):
            found = prospect(job, 0.3, PoolRoom(64, free), 60, has_begun=False)
            self.assertIs(expected, found)

    def test_begun_job_goes_before_new_ones(self) -> None:
        """The work done for a job that then ends late would be lost."""
        begun = build_job(build_step(task_count=4), number=2)
        begun.mark_done(begun.steps[0, 0][0])
        new = build_job(number=1)
        order = ServiceOrder()
        order.begin_round([new, begun], {POOL: PoolRoom(64, 0)}, 0.1)
        self.assertEqual([begun, new], order.order([new, begun], 0.1))


class PlayedLoadTest(unittest.TestCase):
    """Play queues that take turns at twice what the pool can do."""

    @classmethod
    def setUpClass(cls) -> None:
        """Play the load once by each order."""
        cls.results = {
            "ordered": cls.player().use(ServiceOrder()).play(),
            "first come": cls.player().play(),
            "best": best_in_hindsight(build_load(), CORES),
        }
        before = cls.player()
        before.policy = PlacementPolicy(prioritize_jobs)
        cls.results["before"] = before.play()
        split = cls.player()
        workers = iter(split.workers)
        counts = {QUEUE: 1, "batches": 2, "checks": 1, "quotes": 2}
        split.split = {q: [next(workers) for _ in range(n)] for q, n in counts.items()}
        cls.results["split"] = split.play()

    @staticmethod
    def player() -> LoadPlayer:
        """Return a player of the load."""
        return LoadPlayer(build_load(), build_workers())

    def test_more_jobs_are_in_time(self) -> None:
        """An order by deadline begins jobs at the last moment, and each ends late."""
        ordered, best = self.results["ordered"], self.results["best"]
        for other in ("first come", "split", "before"):
            for measure in ("all", "second", "queue"):
                with self.subTest(other=other, measure=measure):
                    self.assertGreater(
                        ordered[measure], self.results[other][measure] + 0.1
                    )
        self.assertGreater(ordered["all"], 0.6 * best["all"], self.results)

    def test_largest_tenth_is_served_half_as_often(self) -> None:
        """Small jobs alone would be served during a whole turn."""
        ordered = self.results["ordered"]
        self.assertGreaterEqual(ordered["large"], 0.5 * ordered["all"], self.results)
        self.assertTrue(largest_tenths(build_load()))

    def test_jobs_after_an_outage_are_in_time(self) -> None:
        """First come first served, jobs of the outage would delay all later ones."""
        shares = []
        for order in (ServiceOrder(), None):
            player = LoadPlayer(build_load(factor=0.4), build_workers())
            player.stopped_s = (4.0, 9.0)
            if order is not None:
                player.use(order)
            player.play()
            later = [job for job in player.jobs if job.accepted_s >= 10.5]
            shares.append(player.result.share(later))
        self.assertGreaterEqual(shares[0], 0.9)
        self.assertLess(shares[1], 0.5)


if __name__ == "__main__":
    unittest.main()
