"""Property test of job starts under interleavings of schedulers and failures."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from jayshunt.errors import JayshuntError
from jayshunt.ids import JobId, WorkerId
from jayshunt.jobs.const import LEASE_MARGIN_S, TASK_LEASE_S, UNKNOWN_GRACE_S
from jayshunt.jobs.messages import TaskState
from jayshunt.jobs.tests.builders import Zone
from jayshunt.pools.models import AssignmentState
from jayshunt.store.tests.builders import DeferredExecutor

WORKERS = ("w1", "w2", "w3")
AFTER_LEASE_S = TASK_LEASE_S + LEASE_MARGIN_S + 1
worker_names = st.sampled_from([WorkerId(name) for name in WORKERS])


class JobStartMachine(RuleBasedStateMachine):
    """Run schedulers whose terms overlap while messages and writes are lost."""

    @initialize()
    def begin(self) -> None:
        """Create a zone and its first scheduler."""
        self.zone = Zone(WORKERS)
        self.non_repeatable: set[JobId] = set()
        self.jobs: list[JobId] = []
        self.executors: list[DeferredExecutor] = []
        self.schedulers = []
        self.take_over()
        self.submit(False, 1.0)
        self.submit(False, 5.0)

    @rule()
    def take_over(self) -> None:
        """Start another scheduler while earlier ones believe that their term lasts."""
        if len(self.schedulers) >= 4:
            return
        executor = DeferredExecutor()
        term = f"t{len(self.schedulers)}"
        self.schedulers.append(self.zone.build_scheduler(term, executor))
        self.executors.append(executor)
        self.run_one(len(self.schedulers) - 1, 2)

    @rule(repeatable=st.booleans(), cores=st.sampled_from([1.0, 5.0]))
    def submit(self, repeatable: bool, cores: float) -> None:
        """Submit a job."""
        if len(self.jobs) >= 8:
            return
        try:
            job = self.zone.submit(repeatable=repeatable, cpu_cores=cores)
        except JayshuntError:
            return
        self.jobs.append(job)
        if not repeatable:
            self.non_repeatable.add(job)

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 7))
    def cancel(self, number: int) -> None:
        """Cancel a job."""
        try:
            self.zone.intake.cancel(self.jobs[number % len(self.jobs)])
        except JayshuntError:
            return

    @rule(number=st.integers(0, 3))
    def step_one(self, number: int) -> None:
        """Run a step of one scheduler; its calls to workers are deferred."""
        scheduler = self.schedulers[number % len(self.schedulers)]
        self.zone.clock.advance(0.5)
        scheduler.mark_changed()
        try:
            scheduler.step()
        except JayshuntError:
            return

    @rule(number=st.integers(0, 3), times=st.integers(1, 3))
    def run_one(self, number: int, times: int) -> None:
        """Run steps of one scheduler and deliver its calls after each step."""
        for _ in range(times):
            self.step_one(number)
            self.deliver(number)

    @rule(number=st.integers(0, 3))
    def deliver(self, number: int) -> None:
        """Deliver the deferred calls of one scheduler, possibly late."""
        self.executors[number % len(self.executors)].run()

    @rule(fault=st.sampled_from(["lose_answers", "drop_writes", "delay_writes"]))
    def fail_store(self, fault: str) -> None:
        """Lose the answer to the next write, drop the write, or delay it."""
        setattr(self.zone.store, fault, 1)

    @rule()
    def stop_store(self) -> None:
        """Make the store refuse every call until `deliver_writes` runs."""
        self.zone.store.down = True

    @rule()
    def deliver_writes(self) -> None:
        """Make the store available and deliver delayed writes."""
        self.heal_store()

    @rule(name=worker_names, fault=st.sampled_from(["lose_orders", "lose_answers"]))
    def fail_call(self, name: WorkerId, fault: str) -> None:
        """Lose the next call to a worker or the answer to it."""
        setattr(self.zone.workers.by_name[name], fault, 1)

    @rule(name=worker_names, down=st.booleans())
    def silence(self, name: WorkerId, down: bool) -> None:
        """Make a worker unresponsive, or let it answer again."""
        self.zone.workers.by_name[name].down = down

    @rule(name=worker_names)
    def restart(self, name: WorkerId) -> None:
        """Restart a worker."""
        self.zone.workers.by_name[name].restart()

    @rule(
        name=worker_names, state=st.sampled_from([TaskState.FINISHED, TaskState.FAILED])
    )
    def end_tasks(self, name: WorkerId, state: TaskState) -> None:
        """End the running attempts of a worker."""
        self.zone.workers.by_name[name].finish(state)

    @rule(name=worker_names, is_leaving=st.booleans())
    def drain(self, name: WorkerId, is_leaving: bool) -> None:
        """Drain a worker, or let it serve again."""
        states = (AssignmentState.SERVING, AssignmentState.LEAVING)
        self.zone.states[name] = states[is_leaving]

    @rule(wait_s=st.sampled_from([1.0, 3.0, AFTER_LEASE_S, UNKNOWN_GRACE_S]))
    def wait(self, wait_s: float) -> None:
        """Advance the clock; workers stop attempts whose lease has expired."""
        self.zone.clock.advance(wait_s)
        for worker in self.zone.workers.by_name.values():
            worker.expire(self.zone.clock.monotonic_s())

    @invariant()
    def non_repeatable_jobs_start_once(self) -> None:
        """A job that is not repeatable starts without a checkpoint at most once."""
        if not hasattr(self, "zone"):
            return
        started = [t.job for t in self.zone.workers.all_starts()]
        for job in self.non_repeatable:
            assert started.count(job) <= 1, job

    @invariant()
    def no_attempt_starts_twice(self) -> None:
        """No attempt starts more than once, on one worker or on several."""
        if not hasattr(self, "zone"):
            return
        starts = self.zone.workers.all_starts()
        assert len(starts) == len(set(starts)), starts

    def heal_store(self) -> None:
        """End all failures of the store and deliver delayed writes."""
        store = self.zone.store
        store.down = False
        store.lose_answers = store.drop_writes = store.delay_writes = 0
        store.deliver()

    def teardown(self) -> None:
        """End all failures; then every accepted job must reach a final state."""
        if not hasattr(self, "zone"):
            return
        self.heal_store()
        workers = self.zone.workers.by_name
        for name, worker in workers.items():
            worker.down, worker.lose_orders, worker.lose_answers = False, 0, 0
            self.zone.states[name] = AssignmentState.SERVING
        last = self.zone.build_scheduler("last")
        for _ in range(60):
            for worker in workers.values():
                worker.finish()
            self.zone.step(last, wait_s=3.0)
        self.zone.clock.advance(1.0)
        for job in self.jobs:
            assert self.zone.intake.read(job).is_final, self.zone.intake.read(job)
        self.non_repeatable_jobs_start_once()
        self.no_attempt_starts_twice()


class JobStartTest(JobStartMachine.TestCase):
    """Guard against lost jobs and repeated starts under interleavings."""

    settings = settings(
        max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
    )
