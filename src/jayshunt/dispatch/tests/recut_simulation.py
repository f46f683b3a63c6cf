"""Simulate workers that start again under their ids and are cut off soon after."""

import random
from collections.abc import Callable

from jayshunt.dispatch.models import Bounds, StartOrder, TaskKey
from jayshunt.dispatch.tests.builders import build_step
from jayshunt.dispatch.tests.fakes import FakeWorker
from jayshunt.dispatch.tests.start_simulation import (
    HEARTBEAT_S,
    LONG,
    Life,
    SimulatedVm,
    StartSimulation,
)
from jayshunt.ids import WorkerId

MAX_CLOCK_MS = 9_000_000
# How long a worker is down, how long it is back before it is cut off, unless it is cut
# off at once, and for how long.
DOWN_S = (0.2, 0.6, 1.5)
BACK_S = (0.1, 3.0)
CUT_S = (2.0, 5.0, 9.0, 13.0)


class RecutSimulation(StartSimulation):
    """Cut workers off, one way or both, shortly after they started again.

    A call that waits for a worker which is down reaches its next life, a lease is as
    long as the platform allows at most, and the clock of each life begins anywhere.
    Runs are long, and a dispatcher may be replaced while workers are cut off. No task
    may run twice at once, whoever knew which life took its start.
    """

    keeps_calls_s = 2.0
    # Tasks that any worker may run, so that none waits for a certain one.
    drawn_steps = (build_step(task_count=4), build_step(task_count=2, **LONG))

    def __init__(
        self, seed: int, loss: float = 0.0, changes: float = 0.3, recut_s: float = 5.0
    ) -> None:
        """Begin with few other changes, which would hide the effect of a cut.

        `recut_s` is the mean time between cuts.
        """
        self._draws = random.Random(f"{seed}-recut")
        super().__init__(seed, loss, changes)
        for action, mean_s in (
            (self.recut, recut_s),
            (self.end_run, 0.15),
            (self.add_job, 0.5),
        ):
            self._repeat(action, mean_s)

    def new_worker(self, name: WorkerId) -> FakeWorker:
        """Return a life whose clock begins anywhere."""
        clock_ms = self._draws.randrange(MAX_CLOCK_MS)
        return FakeWorker(name, clock_ms, max_lease_ms=Bounds().max_lease_ms)

    def register(self, beat: Callable[[], None]) -> None:
        """Let a new life write its entry up to a heartbeat after its start."""
        self.after(self._draws.uniform(0.0, HEARTBEAT_S), beat)

    def end_run(self) -> None:
        """End a random run, but none on a worker that is cut off."""
        if all(vm.hears and vm.is_heard for vm in self.vms):
            super().end_run()

    def recut(self) -> None:
        """Let some workers go down and up, and cut them off; maybe change the term."""
        draws = self._draws
        down_s, cut_s = draws.choice(DOWN_S), draws.choice(CUT_S)
        back_s = draws.choice((0.0, draws.uniform(*BACK_S)))
        ways = draws.choice(((False, False), (True, False), (False, True)))
        for vm in draws.sample(self.vms, draws.choice((1, 2))):
            if vm.life is None:
                continue
            before = vm.end().worker
            # One that is cut off as it returns is not listed again.
            self.after(down_s + back_s, lambda vm=vm: self.cut(vm, cut_s, ways))
            self.after(down_s, lambda vm=vm, w=before: vm.begin(w.pool, w.worker))
            self.counts["recuts"] += 1
        if draws.random() < 0.6:
            at_s = down_s + back_s + draws.uniform(-0.5, 1.0)
            self.after(max(0.0, at_s), self.change_term)

    def cut(self, vm: SimulatedVm, cut_s: float, ways: tuple[bool, bool]) -> None:
        """Lose the calls to a VM or its answers, or both; `ways` says which pass."""
        vm.hears, vm.is_heard = ways

        def restore() -> None:
            vm.hears = vm.is_heard = True

        self.after(cut_s, restore)

    def check_start(self, life: Life, order: StartOrder, believed_ms: int) -> None:
        """Check that no other worker runs the task."""
        life.orders[order.task, order.run] = believed_ms == life.worker.started_ms
        self.counts["starts"] += 1
        others = [vm.life for vm in self.vms if vm.life not in (None, life)]
        for other in others:
            if order.task in other.server.runs:
                self.problems.append(self._describe(life, other, order.task))

    def _describe(self, life: Life, other: Life, task: TaskKey) -> str:
        return (
            f"twice: {self.now_s():.2f} {task.name} on {life.worker.worker} "
            f"run {life.server.runs[task]} and {other.worker.worker} "
            f"run {other.server.runs[task]}, whose sender knew its life: "
            f"{other.orders.get((task, other.server.runs[task]))}"
        )
