"""Simulate random orders, lost answers, network partitions, and term changes."""

import random
import unittest
from collections import Counter

from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.models import OrderRefusal, RunEnd, RunReport, StartOrder
from jayshunt.dispatch.records import apply_progress, encode_progress
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.tasks import Job, TaskPhase
from jayshunt.dispatch.tests.builders import build_job, build_step, build_worker
from jayshunt.dispatch.tests.fakes import FakeWorker
from jayshunt.ids import Revision

LEASE_S = 5.0
TERM_S = 4.0
WORKERS = 3
STEPS = 400
SEEDS = range(150)


class Simulation:
    """Simulate successive terms against unreliable workers.

    Answers are lost, worker leases expire, and orders arrive late.
    """

    def __init__(self, seed: int) -> None:
        """Start the first term."""
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.token = 0
        self.stored: bytes | None = None
        self.acknowledged: set = set()
        self.done_runs: set = set()
        self.problems: list[str] = []
        self.workers = {
            f"w{n}": FakeWorker(f"w{n}", on_start=self.check_start)
            for n in range(WORKERS)
        }
        self.partitioned: set[str] = set()
        self.late: list[tuple[float, str, StartOrder, int]] = []
        self.new_term()

    def check_start(self, name: str, task, run: int) -> None:
        """Check a started run against the runs and acknowledged ends of all workers."""
        for other in self.workers.values():
            if other.name != name and task in other.runs:
                self.problems.append(f"{task.name} runs on {other.name} and {name}")
        if task in self.acknowledged:
            self.problems.append(f"{task.name} was started after its acknowledged end")

    def new_term(self) -> None:
        """Start the next term from the stored progress; the last term sends no more."""
        self.token += 100
        job = self.build_job()
        job.is_inherited = True
        if self.stored is not None:
            apply_progress(job, self.stored)
        self.job = job
        self.tracker = RunTracker(Revision(self.token))
        self.tracker.add_job(job)
        self.knows_all_runs = False
        self.blocked_until_s = self.now_s + TERM_S + LEASE_S * 1.1
        for name in self.workers:
            self.add_worker_view(name)

    def build_job(self) -> Job:
        """Return the job of the simulation."""
        return build_job(build_step(task_count=3), build_step(after=(0,)))

    def add_worker_view(self, name: str) -> WorkerView:
        """Add a worker to the current term."""
        view = WorkerView(build_worker(name), self.now_s)
        view.lease_end_s = self.blocked_until_s
        self.tracker.add_view(view)
        return view

    def step(self) -> None:
        """Do one random action."""
        action = self.rng.choices(
            [self.pass_time, self.poll_runs, self.start, self.store, self.end_run]
            + [self.toggle_partition, self.deliver_late, self.change_term],
            [6, 12, 8, 6, 4, 1, 2, 0.4],
        )[0]
        action()

    def pass_time(self) -> None:
        """Advance all clocks by up to a second; workers' clocks may be slower."""
        seconds = self.rng.uniform(0.05, 1.0)
        self.now_s += seconds
        for worker in self.workers.values():
            worker.advance(int(seconds * 1000 * self.rng.uniform(0.98, 1.0)))

    def poll_runs(self) -> None:
        """Poll one worker; remove an unreachable one once its lease has expired."""
        name = self.rng.choice(list(self.workers))
        view = self.tracker.workers.get(name) or self.add_worker_view(name)
        until_ms = view.lease_until_ms(self.now_s, LEASE_S)
        if view.is_failing:
            until_ms = None
        if until_ms is not None:
            view.record_lease(until_ms)
        acknowledged_upto = view.acknowledge_stored_ends(
            self.tracker.stored_versions.__getitem__
        )
        if name in self.partitioned:
            view.is_failing = True
            if self.now_s > view.lease_end_s + 0.3:
                self.tracker.remove_worker(view, self.now_s, WorkerEnd.LEASE_EXPIRED)
            return
        worker = self.workers[name]
        for end in worker.ends:
            if end.number <= acknowledged_upto and end.end is RunEnd.DONE:
                self.acknowledged.add(end.task)
        answer = worker.poll_runs(acknowledged_upto, until_ms, self.token)
        if self.rng.random() < 0.1:
            view.is_failing = True
            return
        self.check_not_fenced(answer)
        sent_s = self.now_s
        stops = self.tracker.apply_run_report(view, answer, sent_s, self.now_s)
        for stop in stops:
            target = self.workers[stop.worker]
            if stop.worker not in self.partitioned and self.rng.random() < 0.8:
                target.stop(stop.task, stop.run, self.token)
                if self.rng.random() < 0.8:
                    self.now_s += 0.001
                    self.tracker.record_stop_accepted(stop, self.now_s)
        self.now_s += 0.001

    def check_not_fenced(self, answer) -> None:
        """Check that the worker did not refuse the current term's token."""
        if not isinstance(answer, RunReport):
            self.problems.append("the present term was fenced off")

    def may_start(self) -> bool:
        """Return whether all runs of earlier terms are known or have ended."""
        views = self.tracker.workers.values()
        answered = len(self.tracker.workers) == WORKERS and all(
            view.last_answer_s is not None for view in views
        )
        self.knows_all_runs = (
            self.knows_all_runs or answered or self.now_s >= self.blocked_until_s
        )
        return self.knows_all_runs

    def start(self) -> None:
        """Order the start of a ready task; the order or its answer may be lost."""
        if not self.may_start():
            return
        views = [
            view
            for view in self.tracker.workers.values()
            if view.clock_ms is not None and view.last_answer_s is not None
        ]
        ready = self.job.ready_tasks()
        if not ready or not views:
            return
        task, view = self.rng.choice(ready), self.rng.choice(views)
        run = self.tracker.next_run(task)
        self.tracker.record_order(task, view, run, self.now_s)
        until_ms = view.lease_until_ms(self.now_s, LEASE_S)
        view.record_lease(until_ms)
        order = StartOrder(task.key, run, "", until_ms)
        name = view.worker.worker
        chance = self.rng.random()
        if name in self.partitioned or chance < 0.15:
            self.tracker.stop(task)
            if chance < 0.1:
                at_s = self.now_s + self.rng.uniform(1, 12)
                self.late.append((at_s, name, order, self.token))
            return
        answer = self.workers[name].start(order, self.token)
        if chance < 0.25:
            self.tracker.stop(task)
        elif answer.refusal is None:
            self.now_s += 0.001
            self.tracker.record_start_accepted(task, run, self.now_s)
        elif answer.refusal is not OrderRefusal.FENCED:
            self.tracker.record_not_started(task, run, self.now_s)

    def store(self) -> None:
        """Store the job's progress, unless the store is unavailable."""
        if self.rng.random() < 0.3:
            return
        self.tracker.dirty.clear()
        self.stored = encode_progress(self.job)
        version = self.tracker.versions[self.job.spec.job]
        self.tracker.record_stored(self.job, version, self.job.state, self.now_s)

    def end_run(self) -> None:
        """End a random run successfully."""
        worker = self.rng.choice(list(self.workers.values()))
        if worker.runs:
            worker.end(self.rng.choice(list(worker.runs)), RunEnd.DONE)

    def toggle_partition(self) -> None:
        """Partition a random worker from the dispatcher, or reconnect it."""
        self.partitioned ^= {self.rng.choice(list(self.workers))}

    def deliver_late(self) -> None:
        """Deliver delayed start orders that got no answer."""
        ready = [call for call in self.late if call[0] <= self.now_s]
        self.late = [call for call in self.late if call[0] > self.now_s]
        for _, name, order, token in ready:
            self.workers[name].start(order, token)

    def change_term(self) -> None:
        """Crash the dispatcher and start a successor up to TERM_S later."""
        wait_s = self.rng.uniform(0, TERM_S)
        self.now_s += wait_s
        for worker in self.workers.values():
            worker.advance(int(wait_s * 1000 * 0.98))
        self.new_term()


class InterleavingsTest(unittest.TestCase):
    """Check that no task runs twice at once or after its acknowledged end."""

    def test_no_task_runs_twice(self) -> None:
        """Lost or late orders, partitions, and new terms must not run a task twice."""
        counts: Counter[str] = Counter()
        for seed in SEEDS:
            simulation = Simulation(seed)
            for _ in range(STEPS):
                simulation.step()
                self.assertEqual([], simulation.problems, f"seed {seed}")
            done = [t for t in simulation.job.tasks() if t.phase is TaskPhase.DONE]
            counts["done"] += len(done)
            counts["terms"] += simulation.token // 100
        self.assertGreater(counts["done"], len(SEEDS), "the simulations complete tasks")
        self.assertGreater(counts["terms"], len(SEEDS), "terms change")


if __name__ == "__main__":
    unittest.main()
