"""Simulate workers and dispatchers that go away, with the platform's list of VMs.

Two rules are checked at once: no task runs twice at a time, and a lasting task does not
stay without a run while there is room for it and nothing is impaired.
"""

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from types import SimpleNamespace

from jayshunt.dispatch.const import TERM_RENEW_S
from jayshunt.dispatch.dispatcher import Dispatcher
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.fleet_duty import ROUND_S
from jayshunt.dispatch.messages import OrderSteps
from jayshunt.dispatch.models import RunEnd, StartOrder, TaskKey, WorkerState
from jayshunt.dispatch.records import SUSPECT_KEY, TERM_KEY, cancelled_key
from jayshunt.dispatch.store_models import Put, Term
from jayshunt.dispatch.suspicion import Suspicion, encode_suspicion
from jayshunt.dispatch.term import OwnTerm
from jayshunt.dispatch.tests.builders import POOL, VM_SIZE, build_step, build_vm
from jayshunt.dispatch.tests.fakes import FakeStore, no_answer
from jayshunt.dispatch.tests.recut_simulation import BACK_S, RecutSimulation
from jayshunt.dispatch.tests.start_simulation import (
    LONG,
    Life,
    SimulatedApi,
    SimulatedVm,
)
from jayshunt.dispatch.vms import Vm, VmState
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import EntryId, JobId, PoolName, Revision, WorkerId, ZoneName
from jayshunt.store.errors import StoreUnavailable
from jayshunt.task_loop import Sleep

NEVER_S = 1e9
SHORT = build_step(task_count=4)
LASTING = (
    build_step(task_count=2, **LONG),
    build_step(task_count=4, max_per_worker=2, **LONG),
)
LASTING_JOBS = 8
# How many runs end at once, on average every 0.15 s.
ENDS = 2
# The starts for one worker are sent one by one; LATE_PART of the messages take longer.
DELAY_S, LATE_DELAY_S, LATE_PART = 0.015, 0.4, 0.03
# Added to the time that a start takes at a worker in `slow`.
SLOW_START_S = 0.55
# How many jobs are cancelled as a phase begins, so that others are started in it.
CANCELS = 4
# Rule LOST counts a lasting task that has no run for IDLE_S, from AFTER_RUN_S after its
# last run on, if these IDLE_S and the CALM_S before them are without impairment.
IDLE_S = 3.0
AFTER_RUN_S = 6.0
CALM_S = 4.0
# The platform's list of VMs is at most this old when it is read.
LIST_LAG_S = 0.8
LIST_FAILS = 0.1
OBSERVE_S = 0.05
# A phase of impairments begins this long after the one before.
PHASE_S = (17.0, 24.0)
ACTIONS_S = 4.0
KILLED_S = 0.6
SUSPECTED_S = (2.0, 3.5)
WAYS = ((False, False), (True, False), (False, True))


class OrderedSet(dict):
    """Keep jobs in order, as a seed must give the same run with any hash seed."""

    def add(self, item: JobId) -> None:
        """Add a job."""
        self[item] = None

    def update(self, items: Iterable[JobId]) -> None:
        """Add jobs."""
        super().update(dict.fromkeys(items))

    def pop(self) -> JobId:
        """Remove the job that was added first."""
        item = next(iter(self))
        del self[item]
        return item


class EntryStore:
    """Call the store as one entry, which may be cut off from it."""

    def __init__(self, store: FakeStore) -> None:
        """Begin with a store that answers."""
        self._store = store
        self.is_cut = self.is_failing = False

    def failing_for_s(self) -> float:
        """Return a time above 0 if the last call failed."""
        return 1.0 if self.is_failing else 0.0

    def __getattr__(self, name: str) -> Callable:
        """Return a call of the store that fails while the entry is cut off."""

        def call(*args, **options):
            self.is_failing = self.is_cut
            if self.is_cut:
                raise StoreUnavailable(f"store.{name}", "fake", "cut off")
            return getattr(self._store, name)(*args, **options)

        return call


class DepartureApi(SimulatedApi):
    """Call a worker for a dispatcher that may not be the present one.

    The dispatcher's entry may be cut off from the worker, which others reach.
    """

    def start(self, order: StartOrder, timeout_s: float) -> OrderSteps:
        """Start a run."""
        if self._vm in self._sim.slow:
            yield Sleep(SLOW_START_S)
        return (
            yield from self._call(lambda life: self._start(life, order, 0), timeout_s)
        )

    def _call(
        self, carry_out: Callable[[Life], object], timeout_s: float
    ) -> OrderSteps:
        if (self._token, self._vm) in self._sim.cut_links:
            yield Sleep(timeout_s)
            raise no_answer(Outcome.UNKNOWN)
        return (yield from super()._call(carry_out, timeout_s))


@dataclass(eq=False)
class Holder:
    """Represent a dispatcher that acts; it is suspended until `frozen_until_s`."""

    own: OwnTerm
    store: EntryStore
    frozen_until_s: float = 0.0


class DepartureSimulation(RecutSimulation):
    """Let workers leave, crash, come back and be cut off, and terms end, in phases.

    In between nothing changes, so that lasting tasks must get to run. The dispatcher
    reads the platform's list of VMs by its own rules; the list knows the truth, up to
    LIST_LAG_S late. `lost` are the lasting tasks that break rule LOST, and `problems`
    those that ran twice at a time. `kinds` are the actions of the phases.
    """

    drawn_steps = (SHORT, *LASTING)

    def __init__(self, seed: int, has_phases: bool = True) -> None:
        """Begin with calm, until the first lasting tasks run."""
        self._plan = random.Random(f"{seed}-departures")
        self.holders: dict[Dispatcher, Holder] = {}
        self.lost: list[str] = []
        self.log: list[str] = []
        self.cancelled: set[JobId] = set()
        self.gone: set[SimulatedVm] = set()
        self.slow: set[SimulatedVm] = set()
        self.leaving: set[SimulatedVm] = set()
        self.cut_links: set[tuple[int, SimulatedVm]] = set()
        self.down_states: dict[SimulatedVm, VmState] = {}
        self._rows: dict[SimulatedVm, list[tuple[float, Vm | None]]] = {}
        self._last_run_s: dict[TaskKey, float] = {}
        self._roomless_s: dict[TaskKey, float] = {}
        self._impaired_s = self._list_fails_until_s = 0.0
        self._is_changing_term = False
        super().__init__(seed, changes=1 / NEVER_S, recut_s=NEVER_S)
        self._observe()
        if has_phases:
            self.after(self._plan.uniform(3.0, 6.0), self._begin_phase)

    def _note(self, text: str) -> None:
        self.log.append(f"{self.now_s():.2f} {text}")

    def impair(self, text: str) -> None:
        """Record that something changes now, which ends the calm."""
        self._note(text)
        self._impaired_s = self.now_s()

    def delay_s(self) -> float:
        """Return how long a message takes."""
        is_late = self.rng.random() < LATE_PART
        return self.rng.uniform(0.001, LATE_DELAY_S if is_late else DELAY_S)

    # --- terms ---

    def build_term(self, term: Term) -> tuple[OwnTerm, FakeStore]:
        """Return a term that is renewed, and the store as its entry reaches it."""
        return OwnTerm(term, self.now_s(), self.now_s), EntryStore(self.store)

    def connect(self, worker, token: int) -> SimulatedApi:
        """Return the client of a worker for one term."""
        return DepartureApi(self, worker, token)

    def run_term(self, dispatcher: Dispatcher) -> None:
        """Let a dispatcher act while it is a holder."""
        holder = Holder(dispatcher._own, dispatcher._store)
        self.holders[dispatcher] = holder
        jobs = sorted(dispatcher.tracker.dirty)
        dispatcher.tracker.dirty = OrderedSet(dict.fromkeys(jobs))
        dispatcher.fleet._machines = SimpleNamespace(
            list=self.list_vms, is_complete=True
        )

        def if_valid(action: Callable[[], object]) -> Callable[[], None]:
            return lambda: dispatcher.term_valid() and action()

        for action, interval_s in (
            (lambda: self._renew(dispatcher, holder), TERM_RENEW_S),
            (self._read_list, 0.25),
            (if_valid(dispatcher.planner._round), 0.05),
            (dispatcher.progress.write_once, 0.2),
            (if_valid(lambda: self._read_vms(dispatcher)), ROUND_S),
        ):
            self._repeat_in_term(dispatcher, action, interval_s)

    def is_acting(self, dispatcher: Dispatcher) -> bool:
        """Return whether a dispatcher acts, as the present one or beside it."""
        return dispatcher in self.holders

    def depose(self, dispatcher: Dispatcher, reason: str) -> None:
        """End a dispatcher that learned of its successor."""
        if self.store.items[TERM_KEY].revision == dispatcher.token:
            self.problems.append(f"deposed: {self.now_s():.2f} {reason}")
        self.end_holder(dispatcher, f"deposed: {reason}")

    def end_holder(self, dispatcher: Dispatcher, reason: str) -> None:
        """Let a dispatcher act no more."""
        holder = self.holders.pop(dispatcher, None)
        if holder is not None:
            holder.own.has_ended = True
            self.impair(f"term {dispatcher.token} ends: {reason}")

    def _renew(self, dispatcher: Dispatcher, holder: Holder) -> None:
        if holder.store.is_cut:
            holder.own.record_failed_attempt(self.now_s())
        elif self.store.items[TERM_KEY].revision != dispatcher.token:
            self.end_holder(dispatcher, "its key is gone")
        else:
            holder.own.record_renewal(self.now_s())

    def _read_vms(self, dispatcher: Dispatcher) -> None:
        try:
            dispatcher.fleet._read(self.now_s())
        except JayshuntError:
            return

    def _frozen_for_s(self, dispatcher: Dispatcher) -> float:
        holder = self.holders.get(dispatcher)
        return 0.0 if holder is None else holder.frozen_until_s - self.now_s()

    def _resume(self, dispatcher: Dispatcher, steps: Iterator) -> None:
        """Continue a task, after its process was suspended."""
        frozen_s = self._frozen_for_s(dispatcher)
        if frozen_s > 0:
            late_s = frozen_s + self._plan.uniform(0.0, 0.02)
            self.after(late_s, lambda: self._resume(dispatcher, steps))
        else:
            super()._resume(dispatcher, steps)

    def _repeat_in_term(
        self, dispatcher: Dispatcher, action: Callable[[], object], interval_s: float
    ) -> None:
        def act() -> None:
            if self._frozen_for_s(dispatcher) > 0:
                return
            try:
                action()
            except TermEnded as error:
                self.depose(dispatcher, str(error))

        super()._repeat_in_term(dispatcher, act, interval_s)

    def change_term(self) -> None:
        """End the term in one of the ways in which a dispatcher ends or is lost."""
        if self._is_changing_term:
            return
        self._is_changing_term = True
        plan, dispatcher = self._plan, self.dispatcher
        holder = self.holders.get(dispatcher)
        kind = plan.choice(("in order", "killed", "killed", "frozen", "silent"))
        if holder is None:
            kind = "killed"
        self.impair(f"term {dispatcher.token} will end: {kind}")
        self.counts[kind] += 1
        if kind == "in order":
            dispatcher._flush()
            self.end_holder(dispatcher, kind)
            self.after(plan.uniform(0.0, KILLED_S), self._succeed)
        elif kind == "killed":
            self.end_holder(dispatcher, kind)
            self.after(KILLED_S, self._succeed)
        else:
            after_s = plan.uniform(*SUSPECTED_S)
            beside_s = after_s + plan.choice((0.0, plan.uniform(0.0, 5.0)))
            if kind == "frozen":
                holder.frozen_until_s = self.now_s() + after_s
                holder.frozen_until_s += plan.uniform(-0.2, 3.0)
                is_cut = plan.random() < 0.5
            else:
                is_cut = True
            holder.store.is_cut = is_cut
            self.after(after_s, lambda: self._succeed(is_suspected=True))
            self.after(beside_s, lambda: self.end_holder(dispatcher, "it is ended"))

    def _succeed(self, is_suspected: bool = False) -> None:
        """Begin the next term; an entry that suspects the holder ends its term."""
        self._is_changing_term = False
        self.store.items.pop(SUSPECT_KEY, None)
        if is_suspected:
            token = Revision(self.dispatcher.token)
            suspicion = Suspicion(token, EntryId("e2"), ZoneName("ash"), True)
            put = Put(SUSPECT_KEY, encode_suspicion(suspicion))
            self.store.transact({}, (put,))
        self.counts["terms"] += 1
        self.new_term()
        self.impair(f"term {self.dispatcher.token} begins")
        if self._plan.random() < 0.3:
            self._cut_link()

    def _cut_link(self) -> None:
        """Cut the present dispatcher off from one worker for a while."""
        vm = self._draw_vm()
        if vm is None:
            return
        link = (self.dispatcher.token, vm)
        self.cut_links.add(link)
        cut_s = self._plan.uniform(2.0, 13.0)
        self._note(f"no way to {vm.life.worker.worker} for {cut_s:.1f} s")
        self.counts["cut links"] += 1
        self.after(cut_s, lambda: self.cut_links.discard(link))

    def cut_zone(self, inside: SimulatedVm, after_s: float) -> None:
        """Cut the dispatcher and one VM off; another one succeeds outside."""
        before = self.dispatcher
        self.holders[before].store.is_cut = True
        self.cut_links |= {(before.token, vm) for vm in self.vms if vm is not inside}
        self.run(after_s)
        self._succeed(is_suspected=True)
        self.cut_links.add((self.dispatcher.token, inside))

    # --- the list of VMs ---

    def list_vms(self) -> tuple[Vm, ...]:
        """Return the list of VMs, each row a little old, or fail."""
        if self.now_s() < self._list_fails_until_s or self._plan.random() < LIST_FAILS:
            raise JayshuntError("unavailable", step="machines.list")
        self._record_rows()
        rows = []
        for history in self._rows.values():
            at_s = self.now_s() - self._plan.uniform(0.0, LIST_LAG_S)
            seen = [row for since_s, row in history if since_s <= at_s]
            rows += [row for row in seen[-1:] if row is not None]
        return tuple(rows)

    def _record_rows(self) -> None:
        for vm in self.vms:
            row = self._row(vm)
            history = self._rows.setdefault(vm, [])
            if not history or history[-1][1] != row:
                history.append((self.now_s(), row))

    def _row(self, vm: SimulatedVm) -> Vm | None:
        if vm in self.gone:
            return None
        if vm.life is None:
            state = self.down_states.get(vm, VmState.DOWN)
            return build_vm(str(vm.number), state=state, worker=None)
        worker = vm.life.worker
        return build_vm(str(vm.number), worker.pool, worker=worker.worker)

    # --- impairments ---

    def _choose_pool(self) -> PoolName:
        return POOL

    def _begin_phase(self) -> None:
        """Draw some impairments that begin within a few seconds, and maybe terms."""
        plan = self._plan
        for _ in range(CANCELS):
            self.cancel()
        actions = (
            self.leave,
            self.leave,
            self.crash_for_good,
            self.crash_and_return,
            self.crash_and_return,
            self.crash_and_replace,
            self.cut_one,
        )
        for action in plan.sample(actions, plan.choice((1, 2, 3))):
            self.after(plan.uniform(0.0, ACTIONS_S), action)
        for _ in range(plan.choice((0, 1, 1, 1, 2))):
            self.after(plan.uniform(0.0, 2 * ACTIONS_S), self.change_term)
        if plan.random() < 0.2:
            fails_s = self.now_s() + plan.uniform(0.0, 2 * ACTIONS_S)
            self.after(fails_s, self._fail_list)
        self.after(plan.uniform(*PHASE_S), self._begin_phase)

    def _fail_list(self) -> None:
        self._list_fails_until_s = self.now_s() + self._plan.uniform(0.3, 1.5)

    def _draw_vm(self) -> SimulatedVm | None:
        """Return a VM of the jobs' pool that is up and stays, None if few are left."""
        up = [
            vm
            for vm in self.vms
            if vm.life is not None
            and vm.life.worker.pool == POOL
            and vm not in self.leaving
        ]
        reachable = [vm for vm in up if vm.hears and vm.is_heard]
        if len(reachable) <= 2:
            return None
        if self._plan.random() < 0.5:
            return max(up, key=lambda vm: len(vm.life.server.runs))
        return self._plan.choice(up)

    def leave(self) -> None:
        """Let a worker drain for a moment, and its VM leave for good."""
        vm = self._draw_vm()
        if vm is None:
            return
        life = vm.life
        life.worker = replace(life.worker, state=WorkerState.DRAINING)
        if vm.is_heard:
            self.listed[life.worker.worker] = (life.worker, self.now_s())
        self.leaving.add(vm)
        self.counts["leaves"] += 1
        self._note(f"{life.worker.worker} drains")

        def end() -> None:
            self.leaving.discard(vm)
            self._end_life(vm, "leaves")
            self.gone.add(vm)

        self.after(self._plan.uniform(0.5, 3.0), end)
        self.after(self._plan.uniform(2.0, 8.0), self.add_vm)

    def add_vm(self) -> None:
        """Add a VM with a worker in the jobs' pool."""
        numbers = {vm.number for vm in self.vms}
        number = next(n for n in range(99) if n not in numbers and n % 4 != 3)
        self.vms.append(SimulatedVm(self, number))
        self._note(f"vm {number} is added")

    def _end_life(self, vm: SimulatedVm, text: str) -> WorkerId:
        """End a worker, while jobs come whose starts it may get no more."""
        worker = vm.end().worker.worker
        self.impair(f"{worker} {text}")
        within_s = self._plan.choice((0.3, 1.0))
        for _ in range(self._plan.choice((0, 3, 6))):
            self.after(self._plan.uniform(0.0, within_s), self.add_job)
        if self._plan.random() < 0.4:
            self.after(self._plan.uniform(0.3, 2 * within_s), self.change_term)
        return worker

    def crash_for_good(self) -> None:
        """Let a worker and its VM go down and not come back."""
        vm = self._draw_vm()
        if vm is None:
            return
        self.counts["crashes"] += 1
        self._end_life(vm, "crashes for good")
        self.after(self._plan.uniform(2.0, 8.0), self.add_vm)

    def crash_and_return(self) -> None:
        """Let a worker come back under its id; it may be cut off soon after."""
        plan = self._plan
        down_s = plan.choice((0.2, 0.6, 5.0, 9.0, *[plan.uniform(0.6, 2.6)] * 4))
        self._crash_until(down_s, True)

    def crash_and_replace(self) -> None:
        """Let another worker begin on the VM."""
        self._crash_until(self._plan.uniform(0.5, 5.0), False)

    def _crash_until(self, down_s: float, keeps_id: bool) -> None:
        plan, vm = self._plan, self._draw_vm()
        if vm is None:
            return
        self.counts["returns"] += 1
        self.down_states[vm] = plan.choice((VmState.DOWN, VmState.UPKEEP))
        worker = self._end_life(vm, f"crashes for {down_s:.1f} s, {keeps_id=}")

        def come_back() -> None:
            vm.begin(POOL, worker if keeps_id else None)
            self.impair(f"{vm.life.worker.worker} comes back")

        self.after(down_s, come_back)
        if plan.random() < 0.4:
            after_s = down_s + plan.choice((0.0, plan.uniform(*BACK_S)))
            self.after(after_s, lambda: self._cut(vm))

    def cut_one(self) -> None:
        """Cut a worker off for a while; it runs on."""
        vm = self._draw_vm()
        if vm is not None:
            self._cut(vm)

    def _cut(self, vm: SimulatedVm) -> None:
        if vm.life is None or not (vm.hears and vm.is_heard):
            return
        cut_s, ways = self._plan.uniform(2.0, 13.0), self._plan.choice(WAYS)
        self.impair(f"{vm.life.worker.worker} is cut off for {cut_s:.1f} s, {ways}")
        self.counts["cuts"] += 1
        self.cut(vm, cut_s, ways)

    # --- jobs ---

    def add_job(self) -> None:
        """Accept a job, of which a few last."""
        is_enough = len(self._lasting_jobs()) >= LASTING_JOBS
        self.drawn_steps = (SHORT,) if is_enough else (SHORT, *LASTING)
        super().add_job()

    def _lasting_jobs(self) -> list[JobId]:
        return [
            job
            for job, step in self.steps.items()
            if step.is_long_running and job not in self.cancelled
        ]

    def cancel(self) -> None:
        """Cancel a job that lasts."""
        jobs = self._lasting_jobs()
        if not jobs:
            return
        job = self._plan.choice(jobs)
        self.cancelled.add(job)
        self.store.transact({}, (Put(cancelled_key(job), b"{}"),))
        self.dispatcher.notify_cancelled(job)

    def end_run(self) -> None:
        """End random runs, more than start on average, but few that last."""
        for _ in range(ENDS):
            self._end_run(self._plan.random() < 0.015)

    def _end_run(self, is_lasting: bool) -> None:
        runs = [
            (vm.life.server, task)
            for vm in self.vms
            if vm.life is not None and vm.hears and vm.is_heard
            for task in vm.life.server.runs
            if self.steps[task.job].is_long_running == is_lasting
        ]
        if runs:
            server, task = self._plan.choice(runs)
            server.end(task, RunEnd.FAILED if is_lasting else RunEnd.DONE)

    # --- what must hold ---

    def check_start(self, life: Life, order: StartOrder, believed_ms: int) -> None:
        """Check that no other worker runs the task."""
        if self.steps[order.task.job].is_long_running:
            self._last_run_s[order.task] = self.now_s()
            self._note(f"{order.task.name} {order.run} on {life.worker.worker}")
        super().check_start(life, order, believed_ms)

    def _observe(self) -> None:
        """Check the lasting tasks by the truth."""
        now_s = self.now_s()
        self._record_rows()
        lives = [vm for vm in self.vms if vm.life is not None]
        reachable = [vm for vm in lives if vm.hears and vm.is_heard]
        is_whole = len(reachable) == len(lives) and not self.leaving
        if not is_whole or len(self.holders) != 1 or self._is_link_cut():
            self._impaired_s = now_s
        running = {task for vm in lives for task in vm.life.server.runs}
        is_calm = now_s - self._impaired_s >= IDLE_S + CALM_S
        for job in self._lasting_jobs():
            has_room = self._count_room(job, reachable) >= 2
            for index in range(self.steps[job].task_count):
                task = TaskKey(job, 0, 0, index)
                last_s = self._last_run_s.setdefault(task, now_s)
                if task in running:
                    self._last_run_s[task] = now_s
                if not has_room:
                    self._roomless_s[task] = now_s
                if (
                    is_calm
                    and now_s - last_s >= AFTER_RUN_S + IDLE_S
                    and now_s - self._roomless_s.get(task, 0.0) >= IDLE_S
                    and task not in running
                ):
                    self._record_lost(task, last_s)
        self.counts["calm"] += is_calm
        self.after(OBSERVE_S, self._observe)

    def _is_link_cut(self) -> bool:
        return any(token == self.dispatcher.token for token, _ in self.cut_links)

    def _count_room(self, job: JobId, reachable: list[SimulatedVm]) -> int:
        """Return how many more tasks of a job the reachable workers have room for."""
        step, room = self.steps[job], 0
        for vm in reachable:
            if vm.life.worker.pool != POOL:
                continue
            runs = vm.life.server.runs
            used = sum(self.steps[t.job].resources.cpu_millicores for t in runs)
            free = VM_SIZE.cpu_millicores - used
            slots = free // step.resources.cpu_millicores
            if step.max_per_worker:
                of_job = sum(task.job == job for task in runs)
                slots = min(slots, step.max_per_worker - of_job)
            room += max(0, slots)
        return room

    def _record_lost(self, task: TaskKey, last_s: float) -> None:
        """Record a task once, unless its job was given up as it crashes workers."""
        job = self.dispatcher.tracker.jobs.get(task.job)
        if job is not None and job.state.is_final:
            self.counts["given up"] += 1
            self.cancelled.add(task.job)
        elif not any(line.startswith(task.name) for line in self.lost):
            text = f"{task.name} since {last_s:.2f} at {self.now_s():.2f}"
            self.lost.append(text)
            self._note(f"LOST {text}")
