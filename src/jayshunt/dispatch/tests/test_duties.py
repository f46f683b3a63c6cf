"""Test handovers, budgets, waves, pace, refusals and predictions."""

import unittest

from jayshunt.dispatch.backlog import refusals
from jayshunt.dispatch.errors import TermOver
from jayshunt.dispatch.estimates import RunTimes
from jayshunt.dispatch.evacuation import may_take_away
from jayshunt.dispatch.handover import EntryReport, is_out_of_reach, is_turned_away
from jayshunt.dispatch.models import Resources, RunningRun
from jayshunt.dispatch.pacing import Pacer
from jayshunt.dispatch.recent_orders import RecentOrders
from jayshunt.dispatch.records import TERM_KEY
from jayshunt.dispatch.tests.builders import (
    POOL,
    QUEUE,
    FakeStore,
    add_worker_view,
    build_config,
    build_job,
    build_report,
    build_step,
    build_tracker,
    build_vm,
    place,
)
from jayshunt.dispatch.vms import VmState, Wave
from jayshunt.dispatch.waves import choose_next
from jayshunt.ids import Revision, VmId, WorkerId


class HandoverTest(unittest.TestCase):
    """Cover when a dispatcher gives its term up."""

    def test_turned_away_while_others_are_served(self) -> None:
        """Callers would wait for the end of the lease."""
        reports = [EntryReport(9.9, 10.0), EntryReport(9.8, 10.0)]
        self.assertTrue(is_turned_away(1.5, reports, 10.0))

    def test_store_down_for_all_is_no_reason(self) -> None:
        """Others notice an outage later; a handover would only lose time."""
        reports = [EntryReport(8.6, 10.0), EntryReport(8.7, 10.0)]
        self.assertFalse(is_turned_away(1.5, reports, 10.0))

    def test_short_failure_is_no_reason(self) -> None:
        """A slow store must not move the term about."""
        self.assertFalse(is_turned_away(0.4, [EntryReport(10.0, 10.0)], 10.0))

    def test_most_workers_out_of_reach(self) -> None:
        """A dispatcher in a cut-off zone would let all other zones stand still."""
        self.assertTrue(is_out_of_reach([0.1, None, None, None, 0.2]))
        self.assertFalse(is_out_of_reach([0.1, 0.2, 0.3, None, None]))
        self.assertFalse(is_out_of_reach([None, None]))


class BudgetTest(unittest.TestCase):
    """Cover the budget of long-running tasks."""

    def setUp(self) -> None:
        """Run three tasks of a step that may miss one."""
        step = build_step(task_count=3, is_long_running=True, max_unavailable=1)
        self.job = build_job(step)
        self.tracker = build_tracker(self.job)
        self.views = [add_worker_view(self.tracker, f"w{n}") for n in range(3)]
        for index, view in enumerate(self.views):
            task = place(self.tracker, self.job, index, view)
            self.tracker.apply_run_report(view, build_report(task), 1.0, 1.0)
        self.tasks = self.job.steps[0, 0]

    def test_one_may_go_while_all_work(self) -> None:
        """A wave would not proceed otherwise."""
        self.assertTrue(may_take_away(self.job, self.tasks[0], self.tracker, 1.5))

    def test_none_may_go_while_one_is_away(self) -> None:
        """The second would break the budget."""
        self.tracker.stop(self.tasks[1])
        self.assertFalse(may_take_away(self.job, self.tasks[0], self.tracker, 1.5))

    def test_task_on_a_silent_worker_counts_as_away(self) -> None:
        """Its rack may have gone dark although the last list showed it at work."""
        self.views[0].last_answer_s = 3.0
        self.views[1].last_answer_s = 3.0
        self.assertFalse(may_take_away(self.job, self.tasks[0], self.tracker, 3.2))

    def test_task_that_warms_up_counts_as_away(self) -> None:
        """It does not serve its users yet."""
        self.tasks[1].percent = 40
        self.assertFalse(may_take_away(self.job, self.tasks[0], self.tracker, 1.5))


class WaveTest(unittest.TestCase):
    """Cover the choice of VMs of a wave."""

    def test_limit_counts_vms_in_upkeep(self) -> None:
        """More VMs down than declared break the wave's limit."""
        vms = {VmId(f"vm-w{n}"): build_vm(f"w{n}") for n in range(6)}
        vms[VmId("vm-w0")] = build_vm("w0", state=VmState.UPKEEP)
        wave = Wave(1, tuple(vms), 20.0, max_down=2)
        chosen = choose_next(wave, set(), vms, {}, {VmId("vm-w1")}, set())
        self.assertEqual(1, len(chosen))

    def test_empty_vms_go_first(self) -> None:
        """Emptying a VM with long-running tasks takes time and budget."""
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
    """Cover orders of two holders for one VM."""

    def test_successor_leaves_just_ordered_vms_alone(self) -> None:
        """Two holders in turn on one VM within the bound break the rule of one."""
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {TERM_KEY: Revision(0)}, {VmId("a"): WorkerId("w")}, 1.0)
        second = RecentOrders.read(store, 5.0, 3.0)
        self.assertFalse(second.may_order(VmId("a"), 7.9))
        self.assertTrue(second.may_order(VmId("a"), 8.0))
        self.assertTrue(second.may_order(VmId("b"), 5.0))
        self.assertTrue(second.has_ended(WorkerId("w")))
        self.assertFalse(second.has_ended(WorkerId("x")))

    def test_both_workers_of_a_vm_ordered_twice_are_known_to_be_over(self) -> None:
        """A successor waited 10 s for the first of them, which stayed listed."""
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {}, {VmId("a"): WorkerId("before")}, 1.0)
        first.write(store, {}, {VmId("a"): WorkerId("after")}, 3.5)
        second = RecentOrders.read(store, 5.0, 3.0)
        self.assertTrue(second.has_ended(WorkerId("before")))
        self.assertTrue(second.has_ended(WorkerId("after")))

    def test_vms_are_held_for_one_turn(self) -> None:
        """A successor emptied 152 of 180 VMs that it could not order for 3.5 s."""
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {}, {VmId("a"): WorkerId("w")}, 1.0)
        second = RecentOrders.read(store, 5.0, 3.0)
        self.assertEqual({"a"}, second.held(7.9))
        self.assertEqual(set(), second.held(8.0))

    def test_third_holder_knows_the_first_ones_orders(self) -> None:
        """Two changes of term may come within the bound."""
        store = FakeStore()
        first = RecentOrders.read(store, 0.0, 3.0)
        first.write(store, {}, {VmId("a"): None}, 1.0)
        second = RecentOrders.read(store, 2.0, 3.0)
        second.write(store, {}, {VmId("b"): None}, 2.5)
        third = RecentOrders.read(store, 3.0, 3.0)
        self.assertFalse(third.may_order(VmId("a"), 3.5))
        self.assertFalse(third.may_order(VmId("b"), 3.5))

    def test_no_order_after_the_term(self) -> None:
        """An order that goes out after the term was lost has no right to."""
        store = FakeStore()
        orders = RecentOrders.read(store, 0.0, 3.0)
        with self.assertRaises(TermOver):
            orders.write(store, {TERM_KEY: Revision(5)}, {VmId("a"): None}, 1.0)


class PacerTest(unittest.TestCase):
    """Cover filling tasks beside tasks that serve users."""

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
        """Return the pace of the filling task at a tail."""
        self.serving.load = load_ms
        for task, pace in self.pacer.decide([self.serving, self.filling], now_s):
            task.pace = pace
        return self.filling.pace

    def test_filling_stands_still_over_the_target(self) -> None:
        """Users of the serving task would wait too long."""
        self.assertEqual(0, self.decide(150, 1.0))

    def test_filling_comes_back_step_by_step(self) -> None:
        """At once, it would push the tail over the target again."""
        self.decide(150, 1.0)
        self.assertEqual(0, self.decide(30, 1.5))
        self.assertEqual(25, self.decide(30, 3.0))

    def test_filling_alone_is_not_slowed(self) -> None:
        """Nothing is gained where nobody is served beside it."""
        self.assertEqual([], self.pacer.decide([self.filling], 1.0))


class RefusalTest(unittest.TestCase):
    """Cover queues that are far behind."""

    def test_queue_far_behind_refuses_with_an_honest_time(self) -> None:
        """A caller would wait in vain, and delay those who were accepted."""
        step = build_step(task_count=100, resources=Resources(10_000, 1))
        job = build_job(step)
        refused = refusals(build_config(), [job], {POOL: 100.0}, 0.0)
        self.assertEqual({QUEUE: 6.0}, refused)

    def test_vms_that_can_be_fetched_count_as_room(self) -> None:
        """Callers were turned away at the start of a burst with half a fleet off."""
        step = build_step(task_count=100, resources=Resources(10_000, 1))
        refused = refusals(build_config(), [build_job(step)], {POOL: 100.0}, 0.0, 400.0)
        self.assertEqual({}, refused)

    def test_late_jobs_keep_no_one_out(self) -> None:
        """They are placed last, so that a new caller does not wait for them."""
        step = build_step(task_count=100, resources=Resources(10_000, 1))
        job = build_job(step)
        refused = refusals(
            build_config(), [job], {POOL: 100.0}, job.deadline_s + 0.1, 0.0
        )
        self.assertEqual({}, refused)

    def test_queue_with_room_accepts(self) -> None:
        """A refusal with room at hand loses the caller."""
        self.assertEqual(
            {}, refusals(build_config(), [build_job()], {POOL: 100.0}, 0.0)
        )


class RunTimesTest(unittest.TestCase):
    """Cover predictions from estimates that are good or far off."""

    def learn(self, factors: list[float]) -> RunTimes:
        """Return what is learned of runs of a second, estimated with factors."""
        times = RunTimes()
        for number, factor in enumerate(factors * 10):
            took_ms = 500.0 if number % 2 else 2_000.0
            step = build_step(estimate_ms=int(took_ms * factor))
            times.learn(QUEUE, step, took_ms)
        return times

    def test_good_estimates_are_followed(self) -> None:
        """A long task that was declared as such needs its time."""
        predicted = self.learn([0.95, 1.0, 1.05]).predict_ms(
            QUEUE, build_step(estimate_ms=4_000)
        )
        self.assertGreater(predicted, 3_000)

    def test_bad_estimates_are_not(self) -> None:
        """A declared run time that is far off would put a job last for nothing."""
        predicted = self.learn([0.05, 20.0, 1.0]).predict_ms(
            QUEUE, build_step(estimate_ms=20_000)
        )
        self.assertLess(predicted, 3_000)


class RunningRowTest(unittest.TestCase):
    """Cover the load that workers report."""

    def test_load_and_checkpoint_are_taken_over(self) -> None:
        """Work is lost if a new run does not continue from the last checkpoint."""
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
