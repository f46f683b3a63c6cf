"""Test the number of VMs that pools get and simulate queues that burst in turn."""

import unittest
from dataclasses import replace

from jayshunt.dispatch.models import Resources
from jayshunt.dispatch.sizing import PoolSizer
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.dispatch.tests.builders import (
    SPARE,
    VM_SIZE,
    add_worker_view,
    build_config,
    build_job,
    build_queue,
    build_step,
    build_tracker,
    build_vm,
    place,
)
from jayshunt.dispatch.vms import Vm, VmState
from jayshunt.ids import PoolName, VmId

POOLS = tuple(PoolName(f"pool{n}") for n in range(4))
TURN_S = 8.0
MOVE_S = 2.0
ROUND_S = 0.2
# Orders that the platform accepts in one round at the current fleet size.
MAX_MOVES = 8


class Fleet:
    """Simulate VMs whose moves take time, for a sizer to act on."""

    def __init__(self, per_pool: int = 8) -> None:
        """Start with `per_pool` VMs in each pool, including the spare one."""
        self.tracker = build_tracker()
        self.vms: dict[VmId, Vm] = {}
        self.views = {}
        self.arrival_s: dict[VmId, float] = {}
        for pool in (*POOLS, SPARE):
            for number in range(per_pool):
                name = f"{pool}-{number}"
                vm = build_vm(name, pool)
                self.vms[vm.vm] = vm
                self.views[vm.vm] = add_worker_view(self.tracker, name, pool=pool)

    def advance_to(self, now_s: float) -> None:
        """Let workers answer and due moves end."""
        for vm, at_s in list(self.arrival_s.items()):
            if now_s >= at_s:
                del self.arrival_s[vm]
                self.vms[vm] = replace(self.vms[vm], state=VmState.UP)
        for view in self.views.values():
            view.last_answer_s = now_s

    def move(self, vm: VmId, pool: PoolName, now_s: float) -> None:
        """Begin a move."""
        self.vms[vm] = replace(self.vms[vm], pool=pool, state=VmState.MOVING)
        self.arrival_s[vm] = now_s + MOVE_S

    def count(self, pool: PoolName, state: VmState = VmState.UP) -> int:
        """Return how many VMs of a pool are in a state."""
        return sum(v.pool == pool and v.state is state for v in self.vms.values())


class SizingTest(unittest.TestCase):
    """Test which VMs are moved to pools, moved back and never moved."""

    def setUp(self) -> None:
        """Build a fleet and a sizer."""
        self.fleet = Fleet()
        self.sizer = PoolSizer()
        self.config = build_config(*POOLS)

    def decide(self, jobs, now_s: float):
        """Return the moves and begin them."""
        self.fleet.advance_to(now_s)
        fleet = self.fleet
        moves = self.sizer.decide(
            self.config, jobs, fleet.vms, fleet.views, set(), now_s, MAX_MOVES
        )
        for vm, pool in moves:
            fleet.move(vm, pool, now_s)
        return moves

    def test_pool_of_shrunk_workers_counts_as_fewer_vms(self) -> None:
        """Shrunk workers counted as whole VMs, and the pool's jobs waited for them."""
        pool = POOLS[0]
        for view in self.fleet.views.values():
            if view.worker.pool == pool:
                small = Resources(VM_SIZE.cpu_millicores // 4, VM_SIZE.memory_mb)
                view.worker = replace(view.worker, capacity=small)
        self.decide([], 1.0)
        self.assertEqual(2, self.sizer.needs[pool].present)
        self.assertEqual(8, self.sizer.needs[POOLS[1]].present)

    def test_idle_pools_give_back(self) -> None:
        """Idle VMs in a pool cost as much as busy ones."""
        for round_number in range(100):
            self.decide([], round_number * ROUND_S)
        self.assertTrue(all(self.fleet.count(pool) <= 2 for pool in POOLS))
        self.assertTrue(all(self.fleet.count(pool) >= 1 for pool in POOLS))

    def test_vm_with_a_task_stays(self) -> None:
        """A move ends everything that runs on the VM."""
        job = build_job(build_step(is_long_running=True))
        self.fleet.tracker.add_job(job)
        view = self.fleet.views[VmId("vm-pool0-5")]
        place(self.fleet.tracker, job, 0, view)
        moved = set()
        for round_number in range(100):
            moved |= {vm for vm, _ in self.decide([job], round_number * ROUND_S)}
        self.assertNotIn("vm-pool0-5", moved)

    def test_vm_that_was_not_heard_yet_stays(self) -> None:
        """A new dispatcher does not know yet what runs on the VM."""
        view = self.fleet.views[VmId("vm-pool0-5")]
        moved = set()
        for round_number in range(100):
            now_s = round_number * ROUND_S
            self.fleet.advance_to(now_s)
            view.last_answer_s = None
            fleet = self.fleet
            for vm, pool in self.sizer.decide(
                self.config, [], fleet.vms, fleet.views, set(), now_s, MAX_MOVES
            ):
                fleet.move(vm, pool, now_s)
                moved.add(vm)
        self.assertNotIn("vm-pool0-5", moved)

    def test_vm_that_is_off_is_fetched_beside_an_old_entry(self) -> None:
        """A stale worker entry must not keep a spare VM from being used.

        Otherwise a new dispatcher may leave 33 of 180 VMs unused for 10 s, as long as
        their last workers are listed.
        """
        for number in range(8):
            self.fleet.views[VmId(f"vm-{SPARE}-{number}")].last_answer_s = None
        views = self.fleet.views
        step = build_step(task_count=200, resources=Resources(20_000, 1))
        job = build_job(step, queue=build_queue(pool=POOLS[0]))
        moves = self.sizer.decide(
            self.config, [job], self.fleet.vms, views, set(), 0.0, 40
        )
        fetched = {vm for vm, _ in moves}
        self.assertIn(f"vm-{SPARE}-5", fetched)

    def test_vm_that_may_not_be_ordered_goes_on_serving(self) -> None:
        """A VM chosen for a move that has to wait would serve no pool meanwhile."""
        blocked = {VmId("vm-pool0-5")}
        moved = set()
        for round_number in range(50):
            now_s = round_number * ROUND_S
            self.fleet.advance_to(now_s)
            fleet = self.fleet
            moves = self.sizer.decide(
                self.config,
                [],
                fleet.vms,
                fleet.views,
                set(),
                now_s,
                MAX_MOVES,
                blocked,
            )
            for vm, pool in moves:
                fleet.move(vm, pool, now_s)
                moved.add(vm)
        self.assertNotIn("vm-pool0-5", moved)

    def test_spread_of_a_long_running_step_is_given_vms(self) -> None:
        """The need of a pool must take `max_per_worker` into account.

        Otherwise two of the 14 tasks never run and no VM can be emptied: the only free
        processors are on VMs that already have the maximum of the step's tasks.
        """
        step = build_step(
            task_count=14,
            resources=Resources(500, 1),
            is_long_running=True,
            max_per_worker=2,
        )
        job = build_job(step, queue=build_queue(pool=POOLS[0]))
        for round_number in range(60):
            self.decide([job], round_number * ROUND_S)
        self.assertGreaterEqual(self.fleet.count(POOLS[0]), 7)

    def set_labels(self, labels: dict[str, str]) -> None:
        """Give each VM in `labels` a label, and its worker too."""
        for name, label in labels.items():
            vm, found = VmId(f"vm-{name}"), frozenset({label})
            self.fleet.vms[vm] = replace(self.fleet.vms[vm], labels=found)
            view = self.fleet.views[vm]
            view.worker = replace(view.worker, labels=found)

    def test_vms_with_a_label_stay_until_the_step_that_requires_it(self) -> None:
        """A pool gave its last VMs with the label away, and the job never ended."""
        pool = POOLS[0]
        self.set_labels({f"{pool}-{n}": "b" for n in (0, 1)})
        later = build_step(required_label="b", after=(0,))
        job = build_job(build_step(), later, queue=build_queue(pool=pool))
        moved = set()
        for round_number in range(60):
            moved |= {vm for vm, _ in self.decide([job], round_number * ROUND_S)}
        self.assertEqual(1, len(moved & {"vm-pool0-0", "vm-pool0-1"}))
        self.assertLessEqual(self.fleet.count(pool), 3)

    def test_vms_with_a_label_that_a_pool_lacks_are_fetched(self) -> None:
        """A pool that had all the VMs that it needed got none with the label."""
        pool = POOLS[0]
        self.set_labels({f"{SPARE}-{n}": "b" for n in range(6)})
        step = build_step(
            task_count=4, is_long_running=True, max_per_worker=2, required_label="b"
        )
        job = build_job(step, queue=build_queue(pool=pool))
        fetched = [vm for vm, to in self.decide([job], 0.0) if to == pool]
        self.assertEqual(["vm-shared-0", "vm-shared-1"], fetched)
        self.assertEqual([], [vm for vm, to in self.decide([job], 0.1) if to == pool])

    def test_burst_fetches_before_it_is_over(self) -> None:
        """A burst beyond a pool's capacity gets VMs of other pools in two seconds."""
        step = build_step(task_count=30, resources=Resources(20_000, 1))
        jobs = [
            build_job(step, number=n + 1, queue=build_queue(pool=POOLS[0]))
            for n in range(2)
        ]
        self.decide(jobs, 0.0)
        self.decide(jobs, ROUND_S)
        self.fleet.advance_to(ROUND_S + MOVE_S)
        self.assertGreaterEqual(self.fleet.count(POOLS[0]), 18)

    def test_burst_is_detected_within_half_a_second(self) -> None:
        """A single window of 1.5 s would detect only a third of a burst after 0.5 s."""
        step = build_step(task_count=6, resources=Resources(5_000, 1), estimate_ms=900)
        queue = build_queue(pool=POOLS[0])
        jobs = []
        for number in range(20):
            now_s = number * 0.025
            job = build_job(step, number=number + 1, accepted_s=now_s, queue=queue)
            jobs.append(job)
            self.decide(jobs, now_s)
        steady_vms = 40 * 6 * 5.0 * 0.9 / 64
        self.assertGreaterEqual(self.sizer.needs[POOLS[0]].needed, 0.9 * steady_vms)

    def test_inherited_jobs_are_no_burst(self) -> None:
        """A new dispatcher sees the jobs of the last minute at the same moment.

        Counted as arrivals of that moment, they claimed three times the fleet for one
        pool, while the pool whose burst had begun waited for 4 s (large, day 9b45).
        """
        step = build_step(task_count=6, resources=Resources(5_000, 1), estimate_ms=900)
        queue = build_queue(pool=POOLS[0])
        now_s = 60.0
        jobs = [
            build_job(step, number=n + 1, accepted_s=n / 2, queue=queue)
            for n in range(100)
        ]
        for job in jobs:
            for task in job.tasks():
                task.phase = TaskPhase.DONE
            job.ready_cache = []
        self.decide(jobs, now_s)
        self.assertLessEqual(self.sizer.needs[POOLS[0]].needed, 3)

    def test_overloaded_pool_leaves_the_others_what_they_need(self) -> None:
        """The largest shortage took all spare VMs, and a small pool got none."""
        step = build_step(task_count=400, resources=Resources(60_000, 1))
        small = build_step(task_count=10, resources=Resources(60_000, 1))
        jobs = [
            build_job(step, number=1, queue=build_queue(pool=POOLS[0])),
            build_job(small, number=2, queue=build_queue(pool=POOLS[1])),
        ]
        moves = self.decide(jobs, 0.0)
        needs = self.sizer.needs
        self.assertGreater(needs[POOLS[0]].shortage, 10 * needs[POOLS[1]].shortage)
        to_small = sum(pool == POOLS[1] for _, pool in moves)
        self.assertEqual(min(MAX_MOVES, needs[POOLS[1]].shortage), to_small)

    def test_few_arrivals_fetch_no_fleet(self) -> None:
        """Two jobs in quick succession must not be taken for a burst."""
        step = build_step(task_count=6, resources=Resources(5_000, 1), estimate_ms=900)
        queue = build_queue(pool=POOLS[0])
        jobs = [build_job(step, number=n, queue=queue) for n in (1, 2)]
        self.decide(jobs, 0.0)
        self.assertLessEqual(self.sizer.needs[POOLS[0]].needed, 3)

    def test_turns_cost_less_than_a_static_split(self) -> None:
        """Queues that burst in turn need one burst's VMs, not one for each pool."""
        vm_seconds = 0.0
        moves = 0
        short_s = 0.0
        now_s = 0.0
        while now_s < 2 * len(POOLS) * TURN_S:
            pool = POOLS[int(now_s / TURN_S) % len(POOLS)]
            step = build_step(task_count=20, resources=Resources(18_000, 1))
            arrived_s = int(now_s)
            busy = build_job(
                step,
                number=1 + arrived_s,
                accepted_s=arrived_s,
                queue=build_queue(pool=pool),
            )
            moves += len(self.decide([busy], now_s))
            vm_seconds += ROUND_S * sum(
                vm.pool != SPARE for vm in self.fleet.vms.values()
            )
            if self.fleet.count(pool) < 6:
                short_s += ROUND_S
            now_s += ROUND_S
        static = len(POOLS) * 8 * now_s
        self.assertLess(vm_seconds, 0.75 * static)
        self.assertLess(short_s, now_s * 0.35)
        self.assertLess(moves, 2 * 2 * len(POOLS) * 20)


if __name__ == "__main__":
    unittest.main()
