"""Test that no workspace exceeds its limit."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jayshunt.dispatch.models import Resources
from jayshunt.dispatch.placement_policy import PlacementPolicy
from jayshunt.dispatch.placing import plan_placements, prioritize_jobs
from jayshunt.dispatch.tasks import InheritedStart
from jayshunt.dispatch.tests.builders import POOL, build_candidate, build_step
from jayshunt.ids import WorkerId
from jayshunt.workspaces.limits import WorkspaceLimits, can_ever_start
from jayshunt.workspaces.tests.limit_builders import (
    COLD,
    HOT,
    LimitSimulation,
    build_workspace_job,
)
from jayshunt.workspaces.usage import UnconfirmedRuns, WorkspaceUsage, sum_inherited

# Actions that let work go on, so that most sequences start many tasks.
USUAL = ("pass_time", *("poll_runs",) * 3, "start", "start", "add_job", "end_run")
ACTIONS = LimitSimulation.ACTIONS + USUAL * 5


class LimitSimulationTest(unittest.TestCase):
    """Check limits over orders of starts, lost answers, takeovers and changes."""

    @settings(max_examples=120, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.lists(st.sampled_from(ACTIONS), min_size=150),
    )
    def test_no_limit_is_exceeded(self, seed: int, actions: list[str]) -> None:
        """Lost orders, takeovers, leases and changed limits must not exceed a limit."""
        simulation = LimitSimulation(seed)
        for action in actions:
            simulation.step_action(action)
            self.assertEqual([], simulation.problems)

    def test_simulation_starts_tasks(self) -> None:
        """The simulation must not pass because nothing starts."""
        starts = terms = 0
        for seed in range(5):
            simulation = LimitSimulation(seed)
            for _ in range(500):
                simulation.step_action(simulation.rng.choice(ACTIONS))
            starts += simulation.starts
            terms += simulation.token // 100
        self.assertGreater(starts, 100)
        self.assertGreater(terms, 10)


class WorkspaceLimitsTest(unittest.TestCase):
    """Test one placement round."""

    def plan(self, *jobs, limit: Resources, **sources) -> list:
        """Place jobs on one worker of 64 cores; return the workspaces of the tasks."""
        usage = sources.get("usage", WorkspaceUsage())
        unconfirmed = sources.get("unconfirmed", UnconfirmedRuns())
        self.gate = WorkspaceLimits({HOT: limit}, usage, unconfirmed)
        policy = PlacementPolicy(prioritize_jobs, self.gate)
        candidates = {POOL: [build_candidate()]}
        placed = plan_placements(jobs, candidates, 0.0, policy=policy)
        return [placement.task.workspace for placement in placed]

    def test_held_tasks_block_no_others(self) -> None:
        """A wide step runs in waves, and other workspaces start beside it."""
        hot = build_workspace_job(build_step(task_count=9))
        cold = build_workspace_job(workspace=COLD, number=2)
        placed = self.plan(hot, cold, limit=Resources(2_000))
        self.assertEqual([HOT, HOT, COLD], placed)
        self.assertEqual({HOT: 1}, self.gate.held)

    def test_filling_steps_count_in_full(self) -> None:
        """A filling step reserves no processors, but its workspace uses them."""
        job = build_workspace_job(build_step(task_count=3, fills=True))
        self.assertEqual([HOT], self.plan(job, limit=Resources(1_500)))

    def test_lowered_limit_holds_everything(self) -> None:
        """Above one component of its limit, nothing of a workspace starts."""
        usage = WorkspaceUsage({HOT: Resources(0, 0, 5)})
        job = build_workspace_job()
        self.assertEqual([], self.plan(job, limit=Resources(0, 0, 4), usage=usage))

    def test_silent_workers_count_by_their_capacity(self) -> None:
        """What silent workers may run is the smaller of waiting tasks and capacity."""
        inherited = build_workspace_job(build_step(task_count=9), is_inherited=True)
        job = build_workspace_job(build_step(task_count=9), number=2)
        for capacities, expected in (([Resources(3_000, 8_192)], 7), (None, 1)):
            unconfirmed = sum_inherited([inherited], capacities)
            placed = self.plan(job, limit=Resources(10_000), unconfirmed=unconfirmed)
            self.assertEqual(expected, len(placed))

    def test_tasks_without_a_stored_start_run_on_no_silent_worker(self) -> None:
        """A workspace with a limit waited for the lease of a worker that was gone."""
        lasting = build_step(task_count=9, is_long_running=True)
        inherited = build_workspace_job(lasting, is_inherited=True)
        start = InheritedStart(WorkerId("w1"), None, 1)
        inherited.tasks()[0].inherited_start = start
        unconfirmed = sum_inherited([inherited], [Resources(3_000, 8_192)])
        self.assertEqual(lasting.reserved, unconfirmed.waiting[HOT])

    def test_gang_wider_than_the_limit_can_never_start(self) -> None:
        """Only gangs and single tasks above the limit must be refused."""
        limit = Resources(2_000)
        wide = build_step(task_count=3)
        gang = build_step(task_count=3, is_gang=True)
        large = build_step(resources=Resources(3_000))
        for step, expected in ((wide, True), (gang, False), (large, False)):
            spec = build_workspace_job(step).spec
            self.assertEqual(expected, can_ever_start(spec, limit))


if __name__ == "__main__":
    unittest.main()
