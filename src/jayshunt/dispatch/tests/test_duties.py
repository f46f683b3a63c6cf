"""Test handovers, budgets, waves, orders, pacing, refusals and predictions."""

import unittest

from jayshunt.dispatch.backlog import refusals
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.estimates import RunTimes
from jayshunt.dispatch.evacuation import (
    Evacuation,
    EvacuationReason,
    PlannedStops,
    may_stop_within_budget,
)
from jayshunt.dispatch.handover import (
    EntryReport,
    has_lost_most_workers,
    is_cut_off_from_store,
)
from jayshunt.dispatch.models import Resources, RunningRun
from jayshunt.dispatch.pacing import Pacer
from jayshunt.dispatch.recent_orders import RecentOrders
from jayshunt.dispatch.records import ORDERED_KEY, TERM_KEY
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.tests.builders import (
    POOL,
    QUEUE,
    add_worker_view,
    build_config,
    build_job,
    build_report,
    build_step,
    build_tracker,
    build_vm,
    place,
)
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.dispatch.vms import VmState, Wave
from jayshunt.dispatch.waves import choose_next
from jayshunt.ids import Revision, VmId, WorkerId


class HandoverTest(unittest.TestCase):
    """Test when a dispatcher gives up its term."""

    def test_cut_off_from_the_store_while_others_are_served(self) -> None:
        """Without a handover, callers would wait until the lease expires."""
        reports = [EntryReport(9.9, 10.0), EntryReport(9.8, 10.0)]
        self.assertTrue(is_cut_off_from_store(1.5, reports, 10.0))

    def test_store_down_for_all_is_no_reason(self) -> None:
        """Others may notice an outage later; a handover would only lose time."""
        reports = [EntryReport(8.6, 10.0), EntryReport(8.7, 10.0)]
        self.assertFalse(is_cut_off_from_store(1.5, reports, 10.0))

    def test_short_failure_is_no_reason(self) -> None:
        """A slow store must not cause a handover."""
        self.assertFalse(is_cut_off_from_store(0.4, [EntryReport(10.0, 10.0)], 10.0))

    def test_most_workers_out_of_reach(self) -> None:
        """A dispatcher in a partitioned zone would stop work in all other zones."""
        self.assertTrue(has_lost_most_workers([0.1, None, None, None, 0.2]))
        self.assertFalse(has_lost_most_workers([0.1, 0.2, 0.3, None, None]))
        self.assertFalse(has_lost_most_workers([None, None]))


class BudgetTest(unittest.TestCase):
    """Test the availability budget of long-running tasks."""

    def setUp(self) -> None:
        """Run three tasks of a step that allows one to be unavailable."""
        step = build_step(task_count=3, is_long_running=True, max_unavailable=1)
        self.job = build_job(step)
        self.tracker = build_tracker(self.job)
        self.views = [add_worker_view(self.tracker, f"w{n}") for n in range(3)]
        for index, view in enumerate(self.views):
            task = place(self.tracker, self.job, index, view)
            self.tracker.apply_run_report(view, build_report(task), 1.0, 1.0)
        self.tasks = self.job.steps[0, 0]

    def test_one_may_go_while_all_work(self) -> None:
        """Otherwise, a maintenance wave could not proceed."""
        self.assertTrue(
            may_stop_within_budget(self.job, self.tasks[0], self.tracker, 1.5)
        )

    def test_none_may_go_while_one_is_away(self) -> None:
        """A second unavailable task would exceed the budget."""
        self.tracker.stop(self.tasks[1])
        self.assertFalse(
            may_stop_within_budget(self.job, self.tasks[0], self.tracker, 1.5)
        )

    def test_task_on_a_silent_worker_counts_as_away(self) -> None:
        """Its rack may have failed since the worker last listed it as running."""
        self.views[0].last_answer_s = 3.0
        self.views[1].last_answer_s = 3.0
        self.assertFalse(
            may_stop_within_budget(self.job, self.tasks[0], self.tracker, 3.2)
        )

    def test_task_that_an_earlier_term_may_be_stopping_counts_as_away(self) -> None:
        """A new dispatcher stopped a second task of a step beside it."""
        self.tracker.stop_s = 0.4
        for view, task in zip(self.views, self.tasks):
            task.sent_s = view.last_answer_s = None
            self.tracker.apply_run_report(view, build_report(task), 1.0, 1.0)
        first, *_ = self.tasks
        self.assertFalse(may_stop_within_budget(self.job, first, self.tracker, 1.3))
        for view, task in zip(self.views, self.tasks):
            self.tracker.apply_run_report(view, build_report(task), 1.4, 1.8)
        self.assertTrue(may_stop_within_budget(self.job, first, self.tracker, 1.9))

    def test_task_that_warms_up_counts_as_away(self) -> None:
        """A task that is warming up does not serve its users yet."""
        self.tasks[1].percent = 40
        self.assertFalse(
            may_stop_within_budget(self.job, self.tasks[0], self.tracker, 1.5)
        )


class PlannedStopsTest(unittest.TestCase):
    """Choose VMs of a wave that hold the tasks of a step with a budget of one."""

    def setUp(self) -> None:
        """Run a task on each of four VMs, which are all due."""
        step = build_step(task_count=5, is_long_running=True, max_unavailable=1)
        self.job = build_job(step)
        self.tracker = build_tracker(self.job)
        names = [f"w{n}" for n in range(4)]
        self.views = {
            VmId(f"vm-{name}"): add_worker_view(self.tracker, name) for name in names
        }
        for index, view in enumerate(self.views.values()):
            self.run_task(index, view)
        self.vms = {vm: build_vm(vm[3:]) for vm in self.views}

    def run_task(self, index: int, view) -> None:
        """Let a worker run a task."""
        place(self.tracker, self.job, index, view)
        report = build_report(*view.tasks.values())
        self.tracker.apply_run_report(view, report, 1.0, 1.0)

    def choose(self) -> list[VmId]:
        """Return the VMs that a wave of all of them empties first."""
        wave = Wave(1, tuple(self.vms), 20.0, max_down=4)
        stops = PlannedStops(self.tracker, 1.2)
        return choose_next(
            wave, set(), self.vms, self.views, set(), set(), frozenset(), stops
        )

    def test_vm_whose_runs_may_not_be_stopped_stays_in_use(self) -> None:
        """No VM of a service took starts, and none became empty (review case 7)."""
        self.assertEqual([], self.choose())

    def test_as_many_vms_as_the_budget_allows_are_emptied(self) -> None:
        """The others would take no starts until the first one's run is back."""
        self.run_task(4, self.views[VmId("vm-w3")])
        self.assertEqual(1, len(self.choose()))

    def test_blocked_vm_is_used_again(self) -> None:
        """A task elsewhere failed after the VM was chosen, and it took no starts."""
        vm = VmId("vm-w0")
        evacuation = Evacuation(vm, EvacuationReason.upkeep(1), 1.0)
        for now_s, is_blocked in ((1.1, False), (3.0, False), (3.2, True)):
            stops = evacuation.next_stops(self.views[vm], self.tracker, now_s)
            self.assertEqual([], stops)
            self.assertEqual(is_blocked, evacuation.is_blocked(now_s), now_s)


class WaveTest(unittest.TestCase):
    """Test the choice of the next VMs of a maintenance wave."""

    def test_limit_counts_vms_in_upkeep(self) -> None:
        """More VMs down than declared would exceed the wave's limit."""
        vms = {VmId(f"vm-w{n}"): build_vm(f"w{n}") for n in range(6)}
        vms[VmId("vm-w0")] = build_vm("w0", state=VmState.UPKEEP)
        wave = Wave(1, tuple(vms), 20.0, max_down=2)
        chosen = choose_next(wave, set(), vms, {}, {VmId("vm-w1")}, set())
        self.assertEqual(1, len(chosen))

    def test_half_of_a_pool_stays_in_use(self) -> None:
        """Jobs had to wait while all VMs of their pool were being emptied."""
        tracker = build_tracker()
        views = {VmId(f"vm-w{n}"): add_worker_view(tracker, f"w{n}") for n in range(6)}
        vms = {vm: build_vm(vm[3:]) for vm in views}
        wave = Wave(1, tuple(vms), 20.0, max_down=8)
        chosen = choose_next(wave, set(), vms, views, {VmId("vm-w0")}, set())
        self.assertEqual(2, len(chosen))
        self.assertEqual(
            [], choose_next(wave, set(), vms, views, {"vm-w0", *chosen}, set())
        )

    def test_only_vm_of_a_pool_is_emptied(self) -> None:
        """Its wave would never end."""
        view = add_worker_view(build_tracker(), "w0")
        vms = {VmId("vm-w0"): build_vm("w0")}
        wave = Wave(1, tuple(vms), 20.0)
        views = {VmId("vm-w0"): view}
        self.assertEqual(["vm-w0"], choose_next(wave, set(), vms, views, set(), set()))

    def test_empty_vms_go_first(self) -> None:
        """Draining a VM with long-running tasks takes time and availability budget."""
        job = build_job(build_step(is_long_running=True))
        tracker = build_tracker(job)
        views = {VmId(f"vm-w{n}"): add_worker_view(tracker, f"w{n}") for n in range(2)}
        place(tracker, job, 0, views[VmId("vm-w0")])
        vms = {vm: build_vm(vm[3:]) for vm in views}
        wave = Wave(1, tuple(vms), 20.0, max_down=1)
        chosen = choose_next(wave, set(), vms, views, {VmId("x")}, set())
        self.assertEqual("vm-w1", chosen[0])
        held = choose_next(wave, set(), vms, views, {VmId("x")}, set(), {"vm-w1"})
        self.assertEqual(["vm-w0"], held)


class RecentOrdersTest(unittest.TestCase):
    """Test orders of successive holders for one VM."""

    def test_successor_leaves_just_ordered_vms_alone(self) -> None:
        """Two holders must not both order the same VM within `block_s`."""
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {TERM_KEY: Revision(0)}, {VmId("a"): WorkerId("w")}, 1.0)
        second = RecentOrders.read(store, 5.0, 3.0)
        self.assertFalse(second.may_order(VmId("a"), 7.9))
        self.assertTrue(second.may_order(VmId("a"), 8.0))
        self.assertTrue(second.may_order(VmId("b"), 5.0))
        self.assertTrue(second.ends_worker(WorkerId("w")))
        self.assertFalse(second.ends_worker(WorkerId("x")))

    def test_both_workers_of_a_vm_ordered_twice_are_known_to_have_ended(self) -> None:
        """Otherwise a successor waits 10 s for the first of them, which is listed."""
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {}, {VmId("a"): WorkerId("before")}, 1.0)
        first.write(store, {}, {VmId("a"): WorkerId("after")}, 3.5)
        second = RecentOrders.read(store, 5.0, 3.0)
        self.assertTrue(second.ends_worker(WorkerId("before")))
        self.assertTrue(second.ends_worker(WorkerId("after")))

    def test_vms_are_blocked_for_block_s(self) -> None:
        """Otherwise a successor empties VMs it can't order, 152 of 180 for 3.5 s."""
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {}, {VmId("a"): WorkerId("w")}, 1.0)
        second = RecentOrders.read(store, 5.0, 3.0)
        self.assertEqual({"a"}, second.blocked(7.9))
        self.assertEqual(set(), second.blocked(8.0))

    def test_older_orders_block_for_the_rest_of_the_time(self) -> None:
        """All VMs that were moved in the last 8 s stayed where they were for 3.5 s.

        After a takeover in a burst these are the VMs of the pool whose turn has ended,
        while another pool waits for them (further-grown, scale-1, 31.8 to 35.2 s).
        """
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {}, {VmId("old"): WorkerId("w")}, 1.0)
        first.write(store, {}, {VmId("new"): None}, 3.0)
        second = RecentOrders.read(store, 50.0, 3.0)
        self.assertEqual({"old", "new"}, second.blocked(50.0))
        self.assertEqual({"new"}, second.blocked(51.0))
        self.assertEqual(set(), second.blocked(53.0))
        self.assertTrue(second.ends_worker(WorkerId("w")))

    def test_orders_of_the_previous_version_count_as_new(self) -> None:
        """Entries of both versions may take turns while a release is rolled out."""
        store = FakeStore()
        store.transact({}, (Put(ORDERED_KEY, b'[["a", "w"], ["b", ""]]'),))
        orders = RecentOrders.read(store, 5.0, 3.0)
        self.assertEqual({"a", "b"}, orders.blocked(7.9))
        self.assertTrue(orders.ends_worker(WorkerId("w")))

    def test_third_holder_knows_the_first_ones_orders(self) -> None:
        """The term may change twice within `block_s`, so older orders count as well."""
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {}, {VmId("a"): None}, 1.0)
        second = RecentOrders.read(store, 2.0, 3.0)
        second.write(store, {}, {VmId("b"): None}, 2.5)
        third = RecentOrders.read(store, 3.0, 3.0)
        self.assertFalse(third.may_order(VmId("a"), 3.5))
        self.assertFalse(third.may_order(VmId("b"), 3.5))

    def test_no_order_after_the_term(self) -> None:
        """A former holder must not send an order after it lost the term."""
        store = FakeStore()
        orders = RecentOrders.read(store, 0.0, 3.0)
        with self.assertRaises(TermEnded):
            orders.write(store, {TERM_KEY: Revision(5)}, {VmId("a"): None}, 1.0)


class PacerTest(unittest.TestCase):
    """Test the pace of filling tasks next to tasks that serve users."""

    def setUp(self) -> None:
        """Run one serving and one filling task on a worker."""
        self.job = build_job(
            build_step(task_count=1, is_long_running=True, target_ms=100), number=1
        )
        self.filler = build_job(build_step(is_long_running=True, fills=True), number=2)
        tracker = build_tracker(self.job, self.filler)
        view = add_worker_view(tracker)
        serving = place(tracker, self.job, 0, view)
        filling = place(tracker, self.filler, 0, view)
        tracker.apply_run_report(view, build_report(serving, filling), 1.0, 1.0)
        self.serving, self.filling = serving, filling
        self.pacer = Pacer()

    def decide(self, load_ms: float, now_s: float) -> int:
        """Return the filling task's pace at a tail latency of the serving task."""
        self.serving.load = load_ms
        for task, pace in self.pacer.decide([self.serving, self.filling], now_s):
            task.pace = pace
        return self.filling.pace

    def test_filling_stops_over_the_target(self) -> None:
        """Otherwise, the serving task would exceed its latency target for longer."""
        self.assertEqual(0, self.decide(150, 1.0))

    def test_filling_comes_back_step_by_step(self) -> None:
        """Full pace at once would push the tail latency over the target again."""
        self.decide(150, 1.0)
        self.assertEqual(0, self.decide(30, 1.5))
        self.assertEqual(25, self.decide(30, 3.0))

    def test_filling_alone_is_not_slowed(self) -> None:
        """Slowing it gains nothing without a serving task on the worker."""
        self.assertEqual([], self.pacer.decide([self.filling], 1.0))


class RefusalTest(unittest.TestCase):
    """Test refusals of queues that are far behind."""

    def test_queue_far_behind_refuses_with_a_realistic_retry_time(self) -> None:
        """An accepted job would miss its target and delay those accepted before."""
        step = build_step(task_count=100, resources=Resources(10_000, 1))
        job = build_job(step)
        refused = refusals(build_config(), [job], {POOL: 100.0}, 0.0)
        self.assertEqual({QUEUE: 6.0}, refused)

    def test_vms_that_can_be_fetched_count_as_capacity(self) -> None:
        """Otherwise jobs are refused in a burst although half of the fleet is off."""
        step = build_step(task_count=100, resources=Resources(10_000, 1))
        refused = refusals(build_config(), [build_job(step)], {POOL: 100.0}, 0.0, 400.0)
        self.assertEqual({}, refused)

    def test_late_jobs_cause_no_refusals(self) -> None:
        """Late jobs are placed last, so new jobs don't wait for them."""
        step = build_step(task_count=100, resources=Resources(10_000, 1))
        job = build_job(step)
        refused = refusals(
            build_config(), [job], {POOL: 100.0}, job.deadline_s + 0.1, 0.0
        )
        self.assertEqual({}, refused)

    def test_queue_with_capacity_accepts(self) -> None:
        """A refusal despite free capacity loses a caller."""
        self.assertEqual(
            {}, refusals(build_config(), [build_job()], {POOL: 100.0}, 0.0)
        )


class RunTimesTest(unittest.TestCase):
    """Test run time predictions from accurate and inaccurate estimates."""

    def learn(self, factors: list[float]) -> RunTimes:
        """Return run times learned from runs of 0.5 and 2 s, estimated with factors."""
        times = RunTimes()
        for number, factor in enumerate(factors * 10):
            took_ms = 500.0 if number % 2 else 2_000.0
            step = build_step(estimate_ms=int(took_ms * factor))
            times.learn(QUEUE, step, took_ms)
        return times

    def test_good_estimates_are_followed(self) -> None:
        """A task that was accurately declared as long must be predicted as long."""
        predicted = self.learn([0.95, 1.0, 1.05]).predict_ms(
            QUEUE, build_step(estimate_ms=4_000)
        )
        self.assertGreater(predicted, 3_000)

    def test_bad_estimates_are_ignored(self) -> None:
        """A far too long estimate would place a job last for no reason."""
        predicted = self.learn([0.05, 20.0, 1.0]).predict_ms(
            QUEUE, build_step(estimate_ms=20_000)
        )
        self.assertLess(predicted, 3_000)


class RunningRowTest(unittest.TestCase):
    """Test the load and checkpoints that workers report."""

    def test_load_and_checkpoint_are_taken_over(self) -> None:
        """Work is lost if the next run does not resume from the last checkpoint."""
        job = build_job()
        tracker = build_tracker(job)
        view = add_worker_view(tracker)
        task = place(tracker, job, 0, view)
        answer = build_report()
        row = RunningRun(task.key, task.run, "saved-1", 40, 12.0)
        answer = answer.__class__(answer.clock_ms, answer.started_ms, (row,), ())
        tracker.apply_run_report(view, answer, 1.0, 1.0)
        self.assertEqual(
            ("saved-1", 40, 12.0), (task.checkpoint, task.percent, task.load)
        )


if __name__ == "__main__":
    unittest.main()
