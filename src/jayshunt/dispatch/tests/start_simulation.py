"""Simulate terms of whole dispatchers on workers that restart and change.

All delays, losses and changes are random and in simulated time, so that a seed gives
the same run each time.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.dispatcher import Dispatcher
from jayshunt.dispatch.messages import OrderSteps
from jayshunt.dispatch.models import (
    Address,
    OrderAnswer,
    OrderRefusal,
    RunEnd,
    StartOrder,
    StepSpec,
    TaskKey,
    Worker,
)
from jayshunt.dispatch.records import (
    STARTS_STORED_KEY,
    TERM_KEY,
    accepted_key,
    encode_job,
)
from jayshunt.dispatch.store_models import Put, Term
from jayshunt.dispatch.term import OwnTerm
from jayshunt.dispatch.tests.builders import (
    LOOPBACK,
    POOL,
    build_config,
    build_node,
    build_queue,
    build_spec,
    build_step,
    build_worker,
)
from jayshunt.dispatch.tests.fakes import FakeStore, FakeWorker, no_answer
from jayshunt.errors import Outcome
from jayshunt.ids import ConfigVersion, EntryId, JobId, LeaseId, PoolName, WorkerId
from jayshunt.platform.const import WORKER_PREFIX
from jayshunt.task_loop import Sleep, Steps, Wait

POOLS = (POOL, PoolName("rates"), PoolName("books"))
POOL_WEIGHTS = (6, 2, 1)
LABELS = ("arm", "x86")
VMS = 5
HEARTBEAT_S = 1.5
LISTED_S = 3 * HEARTBEAT_S
WAIT_STEP_S = 0.05
STOP_S = 1.0
LATE_S = 8.0
LONG = {"is_long_running": True}
STEPS = (
    build_step(task_count=5, max_per_worker=1, **LONG),
    build_step(task_count=6, max_per_worker=2),
    build_step(task_count=3, required_label=LABELS[0], max_per_worker=1, **LONG),
)


@dataclass(eq=False, slots=True)
class Life:
    """Represent one incarnation of a worker as it is, in place of what is believed.

    `orders` tells of each start whether its sender knew this life of the worker.
    """

    worker: Worker
    server: FakeWorker
    orders: dict[tuple[TaskKey, int], bool] = field(default_factory=dict)


class SimulatedVm:
    """Run the lives of the workers on one VM, at one address.

    While it does not hear, no call arrives, and while it is not heard, no answer does.
    `waiting` are calls that arrived while there was no life, which the next one takes,
    with the times at which they were sent.
    """

    def __init__(self, sim: "StartSimulation", number: int) -> None:
        """Start the first life."""
        self.sim = sim
        self.hears = self.is_heard = True
        self.waiting: list[tuple[float, Callable[[], None]]] = []
        self.address = Address("127.0.0.1", 1_000 + number)
        self.number = number
        self.lives = 0
        self.life: Life | None = None
        self.begin(POOLS[number % 4 == 3])

    def begin(self, pool: PoolName, worker: WorkerId | None = None) -> None:
        """Begin a life, under a new id or that of the life before."""
        self.lives += 1
        name = worker or WorkerId(f"w{self.number}-{self.lives}")
        described = build_worker(
            name,
            pool,
            address=self.address,
            labels=frozenset({self.sim.rng.choice(LABELS)}),
            vm=f"vm-{self.number}",
            started_ms=int(self.sim.now_s() * 1000) + 1,
        )
        life = self.life = Life(described, self.sim.new_worker(name))
        self.sim.register(lambda: self._beat(life))
        waiting, self.waiting = self.waiting, []
        for sent_s, call in waiting:
            if self.sim.now_s() - sent_s < self.sim.keeps_calls_s:
                call()

    def end(self) -> Life:
        """End the life; nothing answers until the next one."""
        life, self.life = self.life, None
        return life

    def _beat(self, life: Life) -> None:
        """Write the entry to the list of workers, which the dispatcher reads later."""
        if self.life is not life:
            return
        sim = self.sim
        if self.is_heard:
            sim.listed[life.worker.worker] = (life.worker, sim.now_s())
        sim.after(HEARTBEAT_S, lambda: self._beat(life))

    def advance(self, seconds: float) -> None:
        """Advance the clock of the worker, which may be slow."""
        if self.life is not None:
            slow = self.sim.rng.uniform(0.98, 1.0)
            self.life.server.advance(round(seconds * 1000 * slow))


class SimulatedApi:
    """Call whatever is at the address of a worker, as the client of one term."""

    def __init__(self, sim: "StartSimulation", worker: Worker, token: int) -> None:
        """Name the worker in each call; its life cannot be named."""
        self._sim = sim
        self._worker = worker
        self._token = token
        self._vm = next(vm for vm in sim.vms if vm.address == worker.address)

    def start(self, order: StartOrder, timeout_s: float) -> OrderSteps:
        """Start a run."""
        view = self._sim.dispatcher.tracker.workers[self._worker.worker]
        believed_ms = view.worker.started_ms
        return self._call(lambda life: self._start(life, order, believed_ms), timeout_s)

    def stop(self, task: TaskKey, run: int, timeout_s: float) -> OrderSteps:
        """Stop a run, which takes up to STOP_S."""
        return self._call(lambda life: self._stop(life, task, run), timeout_s)

    def pace(
        self, task: TaskKey, run: int, percent: int, timeout_s: float
    ) -> OrderSteps:
        """Accept each pace."""
        return self._call(lambda life: OrderAnswer(None), timeout_s)

    def poll_runs(
        self,
        noted_upto: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> Steps:
        """Extend the lease, and return the runs after a part of the wait."""
        extended = yield from self._call(
            lambda life: life.server.poll_runs(noted_upto, lease_until_ms, self._token),
            0.7,
        )
        if isinstance(extended, OrderAnswer):
            return extended
        life = self._vm.life
        yield Sleep(self._sim.rng.uniform(0, wait_ms / 1000))
        if life is None or self._vm.life is not life or not self._vm.is_heard:
            raise no_answer(Outcome.UNKNOWN)
        report = life.server.poll_runs(noted_upto, None, self._token)
        yield Sleep(self._sim.delay_s())
        if isinstance(report, OrderAnswer):
            return report
        return replace(report, started_ms=life.worker.started_ms)

    def _call(
        self, carry_out: Callable[[Life], object], timeout_s: float
    ) -> OrderSteps:
        sim, answers = self._sim, []
        begun_s = sim.now_s()
        there_s = sim.delay_s()

        def arrive() -> None:
            life = self._vm.life
            if not self._vm.hears:
                return
            if life is None:
                self._vm.waiting.append((begun_s, arrive))
                return
            if life.worker.worker != self._worker.worker:
                refused = OrderAnswer(OrderRefusal.OTHER_INCARNATION)
                answers.append(refused)
                return
            answers.append(carry_out(life))

        sim.after(there_s, arrive)
        yield Sleep(min(timeout_s, there_s + sim.delay_s()))
        is_over = sim.now_s() - begun_s >= timeout_s
        is_heard = answers and not is_over and self._vm.is_heard
        if not is_heard or sim.rng.random() < sim.loss:
            yield Sleep(max(0.0, begun_s + timeout_s - sim.now_s()))
            raise no_answer(Outcome.UNKNOWN)
        return answers[0]

    def _start(self, life: Life, order: StartOrder, believed_ms: int) -> OrderAnswer:
        had = life.server.runs.get(order.task)
        answer = life.server.start(order, self._token)
        if life.server.runs.get(order.task) == order.run != had:
            self._sim.check_start(life, order, believed_ms)
        return answer

    def _stop(self, life: Life, task: TaskKey, run: int) -> OrderAnswer:
        server = life.server
        if self._token < server.token:
            return OrderAnswer(OrderRefusal.FENCED, server.clock_ms)
        server.highest[task] = max(run, server.highest.get(task, 0))
        self._sim.stopped.add((task, run))

        def end() -> None:
            if server.runs.get(task) == run:
                server.end(task, RunEnd.STOPPED)

        self._sim.after(self._sim.rng.uniform(0, STOP_S), end)
        return OrderAnswer(None, server.clock_ms)


class StartSimulation:
    """Run the platform's side and the present dispatcher in simulated time.

    `problems` are the starts that break a part of the rule: a pool to which no
    configuration sent the queue, a missing label, or too many tasks of a step; and
    those of a task that another worker runs.
    A call to a worker that is down reaches its next life within `keeps_calls_s`.
    `taken_over` are those that no sender could exclude, as an order names a worker's
    id and not its life: another life than the sender knew took it. For the limit per
    worker that holds only if a stop of the run was accepted before, because a start
    without one still counts.
    """

    keeps_calls_s = 0.0
    drawn_steps = STEPS

    def __init__(self, seed: int, loss: float = 0.05, changes: float = 1.0) -> None:
        """Start the workers, store the jobs and begin the first term."""
        self.rng = random.Random(seed)
        self.loss = loss
        self.changes = changes
        self.clock = ManualClock(0.0)
        self._events: list = []
        self._count = itertools.count()
        self.listed: dict[WorkerId, tuple[Worker, float]] = {}
        self.problems: list[str] = []
        self.taken_over: list[str] = []
        self.counts: Counter[str] = Counter()
        self.config = build_config(*POOLS)
        self.sent_pools = {POOL}
        self.stopped: set[tuple[TaskKey, int]] = set()
        self.store = FakeStore()
        self.store.transact({}, (Put(STARTS_STORED_KEY, b"{}"),))
        self.vms = [SimulatedVm(self, number) for number in range(VMS)]
        self.steps: dict[JobId, StepSpec] = {}
        for _ in range(2):
            self.add_job()
        self.new_term()
        for action, mean_s in (
            (self.restart, 6.0),
            (self.move, 9.0),
            (self.change_config, 12.0),
            (self.change_term, 17.0),
            (self.evacuate, 6.0),
            (self.end_run, 0.4),
            (self.add_job, 6.0),
        ):
            self._repeat(action, mean_s / self.changes)

    def new_worker(self, name: WorkerId) -> FakeWorker:
        """Return what a new life of a worker is, without a limit of its lease."""
        return FakeWorker(name)

    def register(self, beat: Callable[[], None]) -> None:
        """Let a new life write its entry for the first time, at once."""
        beat()

    # --- time ---

    def now_s(self) -> float:
        """Return the simulated time."""
        return self.clock.monotonic_s()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call something later."""
        heapq.heappush(self._events, (self.now_s() + delay_s, next(self._count), call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end_s = self.now_s() + seconds
        while self._events and self._events[0][0] <= end_s:
            at_s, _, call = heapq.heappop(self._events)
            passed_s = at_s - self.now_s()
            if passed_s > 0:
                self.clock.advance(passed_s)
                for vm in self.vms:
                    vm.advance(passed_s)
            call()

    def delay_s(self) -> float:
        """Return how long a message takes; a few take seconds."""
        chance = self.rng.random()
        if chance < self.loss:
            return self.rng.uniform(0.3, LATE_S)
        return self.rng.uniform(0.001, 0.03 if chance < 0.9 else 0.4)

    def _repeat(self, action: Callable[[], None], mean_s: float) -> None:
        def act() -> None:
            action()
            self._repeat(action, mean_s)

        self.after(self.rng.expovariate(1 / mean_s), act)

    # --- the dispatcher ---

    def new_term(self) -> None:
        """Begin a term with a dispatcher that reads what is stored."""
        self.store.items.pop(TERM_KEY, None)
        token = self.store.transact({}, (Put(TERM_KEY, b"{}"),)).revision
        term = Term(EntryId("e"), LOOPBACK, "e", token=token, lease=LeaseId("1"))
        own, store = self.build_term(term)
        known = [self.config]
        dispatcher = Dispatcher(
            build_node(),
            own,
            store,
            self.clock,
            lambda: known[0],
            lambda reason: self.depose(dispatcher, reason),
            self.connect,
        )
        self.dispatcher, self.known_config = dispatcher, known
        dispatcher._worker_loop = SimpleNamespace(spawn=self._spawner(dispatcher))
        dispatcher._intake._read_all()
        dispatcher.ready.set()
        self.run_term(dispatcher)

    def build_term(self, term: Term) -> tuple[OwnTerm, FakeStore]:
        """Return a term that stays valid, and the store."""
        return OwnTerm(term, 0.0, lambda: 0.0), self.store

    def depose(self, dispatcher: Dispatcher, reason: str) -> None:
        """Record that a dispatcher wrongly found its term to be over."""
        self.problems.append(f"deposed: {reason}")

    def connect(self, worker: Worker, token: int) -> SimulatedApi:
        """Return the client of a worker for one term."""
        return SimulatedApi(self, worker, token)

    def run_term(self, dispatcher: Dispatcher) -> None:
        """Let a dispatcher act until it is replaced."""
        dispatcher.fleet.knows_all_workers = self._are_known
        self._repeat_in_term(dispatcher, self._read_list, 0.25)
        self._repeat_in_term(dispatcher, dispatcher.planner._round, 0.05)
        self._repeat_in_term(dispatcher, dispatcher.progress.write_once, 0.2)

    def is_acting(self, dispatcher: Dispatcher) -> bool:
        """Return whether a dispatcher acts."""
        return dispatcher is self.dispatcher

    def _spawner(self, dispatcher: Dispatcher) -> Callable:
        def spawn(build: Callable[[], Steps], restarts: bool = False) -> None:
            steps = build()
            self.after(0.0, lambda: self._resume(dispatcher, steps))

        return spawn

    def _resume(self, dispatcher: Dispatcher, steps: Steps) -> None:
        if not self.is_acting(dispatcher):
            return
        match next(steps, None):
            case Sleep(duration_s):
                self.after(duration_s, lambda: self._resume(dispatcher, steps))
            case Wait(_, timeout_s):
                wait_s = min(timeout_s, WAIT_STEP_S)
                self.after(wait_s, lambda: self._resume(dispatcher, steps))

    def _repeat_in_term(
        self, dispatcher: Dispatcher, action: Callable[[], object], interval_s: float
    ) -> None:
        def act() -> None:
            if self.is_acting(dispatcher):
                action()
                self.after(interval_s, act)

        self.after(0.0, act)

    def _read_list(self) -> None:
        """Let the dispatcher read the list of workers as it was a moment before."""
        dispatcher, now_s = self.dispatcher, self.now_s()
        for name, (worker, written_s) in list(self.listed.items()):
            if now_s - written_s > LISTED_S:
                del self.listed[name]
                dispatcher._workers._mark_removed(WORKER_PREFIX + name)
            elif not dispatcher.worker_list_read:
                self._list(dispatcher, worker)
            elif self.rng.random() < 0.4:
                self.after(
                    self.rng.uniform(0.0, 0.2),
                    lambda entry=worker: self._list(dispatcher, entry),
                )

        dispatcher.worker_list_read = True

    def _are_known(self, views: dict) -> bool:
        """Return whether each worker that is up has a view, by the list of VMs."""
        return all(vm.life is None or vm.life.worker.worker in views for vm in self.vms)

    def _list(self, dispatcher: Dispatcher, worker: Worker) -> None:
        if dispatcher is self.dispatcher and worker.worker in self.listed:
            dispatcher._workers._update(self.listed[worker.worker][0])

    # --- what changes ---

    def add_job(self) -> None:
        """Accept a job, of which the dispatcher hears by a notice."""
        job_id = JobId(f"{len(self.steps) + 1:016x}")
        step = self.rng.choice(self.drawn_steps)
        self.steps[job_id] = step
        queue = self.config.queues[0]
        # The age of a job is read from the wall clock, up to a limit, which 0 exceeds.
        value = encode_job(build_spec(step, job=job_id), queue, 0.0)
        result = self.store.transact({}, (Put(accepted_key(job_id), value),))
        if hasattr(self, "dispatcher"):
            self.dispatcher.notify_accepted(job_id, value, result.revision)

    def end_run(self) -> None:
        """End a random run."""
        lives = [vm.life for vm in self.vms if vm.life and vm.life.server.runs]
        if lives:
            server = self.rng.choice(lives).server
            task = self.rng.choice(list(server.runs))
            end = RunEnd.FAILED
            if not self.steps[task.job].is_long_running:
                end = RunEnd.DONE
            server.end(task, end)

    def restart(self) -> None:
        """Let a worker start again under its id, soon or after a while."""
        vm = self.rng.choice(self.vms)
        if vm.life is None:
            return
        before = vm.end().worker
        pool = before.pool if self.rng.random() < 0.8 else self._choose_pool()
        self.after(
            self.rng.choice((0.0, 0.3, 2.0, 9.0)),
            lambda: vm.begin(pool, before.worker),
        )
        self.counts["restarts"] += 1

    def move(self) -> None:
        """Move a VM to a pool, by an order that an earlier dispatcher gave."""
        vm = self.rng.choice(self.vms)
        if vm.life is None:
            return
        before = vm.end().worker.worker
        kept = before if self.rng.random() < 0.2 else None
        pool = self._choose_pool()
        self.after(1.5, lambda: vm.begin(pool, kept))
        self.counts["moves"] += 1

    def _choose_pool(self) -> PoolName:
        return self.rng.choices(POOLS, POOL_WEIGHTS)[0]

    def evacuate(self) -> None:
        """Stop the runs of a worker, which gets none for a while."""
        tracker = self.dispatcher.tracker
        views = [view for view in tracker.workers.values() if view.tasks]
        if not views:
            return
        view = self.rng.choice(views)
        view.evacuation_reason = "test"
        orders = [tracker.stop(task) for task in list(view.tasks.values())]
        self.dispatcher.send_stops([order for order in orders if order])

        def use_again() -> None:
            view.evacuation_reason = None

        self.after(self.rng.uniform(0.2, 3.0), use_again)
        self.counts["evacuations"] += 1

    def change_config(self) -> None:
        """Send the queue to another pool; the dispatcher hears of it later."""
        pool = POOLS[self.rng.random() < 0.25]
        self.sent_pools.add(pool)
        self.config = replace(
            self.config,
            version=ConfigVersion(self.config.version + 1),
            queues=(build_queue(pool=pool),),
        )
        known, config = self.known_config, self.config

        def apply() -> None:
            if config.version > known[0].version:
                known[0] = config

        self.after(self.rng.uniform(0.0, 3.0), apply)

    def change_term(self) -> None:
        """Begin a new term; the last one ends at once, or in order with a handoff."""
        if self.rng.random() < 0.5:
            self.dispatcher._flush()
        self.new_term()
        self.counts["terms"] += 1

    # --- what must hold ---

    def check_start(self, life: Life, order: StartOrder, believed_ms: int) -> None:
        """Check a start, sent to the life that began at `believed_ms`, by the truth."""
        is_own = believed_ms == life.worker.started_ms
        life.orders[order.task, order.run] = is_own
        self.counts["starts"] += 1
        step = self.steps[order.task.job]
        where = f"{self.now_s():.2f} {order.task.name} on {life.worker.worker}"
        if life.worker.pool not in self.sent_pools:
            self._record(f"service: {where}", is_own)
        if step.required_label and step.required_label not in life.worker.labels:
            self._record(f"label: {where}", is_own)
        same = [row for row in life.server.runs.items() if row[0][:3] == order.task[:3]]
        if step.max_per_worker and len(same) > step.max_per_worker:
            is_known = all(life.orders[row] or row not in self.stopped for row in same)
            self._record(f"antiAffinity: {where} beside {same}", is_known)
        for other in (vm.life for vm in self.vms if vm.life not in (None, life)):
            run = other.server.runs.get(order.task)
            if run is not None:
                is_known = is_own and other.orders[order.task, run]
                self._record(f"twice: {where} and {other.worker.worker}", is_known)

    def _record(self, problem: str, is_avoidable: bool) -> None:
        (self.problems if is_avoidable else self.taken_over).append(problem)
