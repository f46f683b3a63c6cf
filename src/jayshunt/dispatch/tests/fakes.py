"""Fake workers, their clients and the platform's store for tests of job dispatch."""

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.models import (
    EndedRun,
    OrderAnswer,
    OrderRefusal,
    RunEnd,
    RunningRun,
    RunReport,
    StartOrder,
    TaskKey,
)
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.store_models import (
    Item,
    KeyLease,
    Put,
    TransactionResult,
    WatchAnswer,
)
from jayshunt.dispatch.vms import DutyAnswer, DutyRefusal, VmState
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import LeaseId, Revision, VmId
from jayshunt.platform.store import LeaseGone
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable
from jayshunt.task_loop import Sleep, Steps, Wait


@dataclass
class FakeWorker:
    """Simulate a worker of the platform: fencing, run numbers, and a lease.

    Clock and lease are in milliseconds, and a lease is at most `max_lease_ms` long.
    `on_start` is called for each started run.
    """

    name: str
    clock_ms: int = 0
    token: int = 0
    lease_until_ms: int = 0
    runs: dict[TaskKey, int] = field(default_factory=dict)
    highest: dict[TaskKey, int] = field(default_factory=dict)
    ends: list[EndedRun] = field(default_factory=list)
    last_end: int = 0
    is_up: bool = True
    max_lease_ms: float = math.inf
    on_start: Callable[[str, TaskKey, int], None] = lambda *_: None

    def start(self, order: StartOrder, token: int) -> OrderAnswer:
        """Carry out a start order by the platform's rules for workers."""
        if token < self.token:
            return OrderAnswer(OrderRefusal.FENCED, self.clock_ms)
        self.token = token
        if order.lease_until_ms <= self.clock_ms:
            return OrderAnswer(OrderRefusal.LEASE_EXPIRED, self.clock_ms)
        self._extend(order.lease_until_ms)
        if self.runs.get(order.task) == order.run:
            return OrderAnswer(None, self.clock_ms)
        if order.run <= self.highest.get(order.task, 0):
            return OrderAnswer(OrderRefusal.SUPERSEDED, self.clock_ms)
        self.runs[order.task] = order.run
        self.on_start(self.name, order.task, order.run)
        return OrderAnswer(None, self.clock_ms)

    def stop(self, task: TaskKey, run: int, token: int) -> OrderAnswer:
        """Stop a run; if it has not started yet, refuse its later start order."""
        if token < self.token:
            return OrderAnswer(OrderRefusal.FENCED, self.clock_ms)
        self.token = token
        if self.runs.get(task) == run:
            self.end(task, RunEnd.STOPPED)
        self.highest[task] = max(run, self.highest.get(task, 0))
        return OrderAnswer(None, self.clock_ms)

    def poll_runs(self, noted_upto: int, until_ms: int | None, token: int):
        """Extend the lease and return the runs and ends."""
        if token < self.token:
            return OrderAnswer(OrderRefusal.FENCED, self.clock_ms)
        self.token = token
        if until_ms is not None:
            self._extend(until_ms)
        self.ends = [end for end in self.ends if end.number > noted_upto]
        running = tuple(RunningRun(t, r, "", 100) for t, r in self.runs.items())
        return RunReport(self.clock_ms, 1, running, tuple(self.ends))

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms + self.max_lease_ms)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def end(self, task: TaskKey, end: RunEnd) -> None:
        """End a run and add its end to the report."""
        run = self.runs.pop(task)
        self.last_end += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ends.append(EndedRun(self.last_end, task, run, end))

    def advance(self, ms: int) -> None:
        """Advance the clock; end all runs if the lease has expired."""
        self.clock_ms += ms
        if self.clock_ms >= self.lease_until_ms:
            for task in list(self.runs):
                self.end(task, RunEnd.LEASE_EXPIRED)


class FakeStore:
    """Simulate the platform's store in memory, with fault injection.

    `fault` is called before each call and may return "down" (the call has no effect),
    "lost" (it takes effect but gets no answer), or "late" (a transaction gets no
    answer and is applied only by `run_late`). Calls other than `transact` fail for any
    of these.
    """

    def __init__(self) -> None:
        """Initialize an empty store."""
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.leases: set[str] = set()
        self.fault: Callable[[str], str] = lambda step: ""
        self.late: list[tuple] = []
        self.failing_s = 0.0
        self.reachable_s = float("inf")

    def failing_for_s(self) -> float:
        """Return how long calls have been failing."""
        return self.failing_s

    def reachable_for_s(self) -> float:
        """Return how long calls have been succeeding."""
        return 0.0 if self.failing_s else self.reachable_s

    def get(self, key: str) -> Item | None:
        """Return one item."""
        self._check("get")
        return self.items.get(key)

    def list(self, prefix: str, stale: bool = False):
        """Return the items whose keys have a prefix."""
        self._check("list")
        found = [i for k, i in sorted(self.items.items()) if k.startswith(prefix)]
        return tuple(found), Revision(self.revision)

    def pages(self, prefix: str, stale: bool = False):
        """Yield the items whose keys have a prefix, one by one."""
        items, revision = self.list(prefix, stale)
        yield [], revision
        for item in items:
            yield [item], revision

    def watch(self, prefix: str, after: Revision, wait_s: float, stop=None):
        """Return the existing items that changed after a revision."""
        self._check("watch")
        found = [
            i
            for k, i in self.items.items()
            if k.startswith(prefix) and i.revision > after
        ]
        return WatchAnswer(tuple(found), Revision(self.revision))

    def transact(self, expected, puts=(), removals=()) -> TransactionResult:
        """Apply a transaction if its conditions hold."""
        fault = self.fault("txn")
        if fault == "down":
            raise StoreUnavailable("store.txn", "fake", "down")
        if fault == "late":
            self.late.append((dict(expected), tuple(puts), tuple(removals)))
            raise StoreOutcomeUnknown("store.txn", "fake", "no answer")
        result = self._apply(expected, puts, removals)
        if fault == "lost":
            raise StoreOutcomeUnknown("store.txn", "fake", "no answer")
        return result

    def run_late(self) -> tuple[TransactionResult, ...]:
        """Apply the transactions that were held back by "late"."""
        late, self.late = self.late, []
        return tuple(self._apply(*call) for call in late)

    def grant_lease(self, ttl_s: float) -> KeyLease:
        """Return a new lease."""
        self._check("lease")
        self.revision += 1
        lease = LeaseId(str(self.revision))
        self.leases.add(lease)
        return KeyLease(lease, ttl_s)

    def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease."""
        self._check("renew")
        if lease not in self.leases:
            raise LeaseGone(lease)

    def end_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        self._check("end_lease")
        self.leases.discard(lease)
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            del self.items[key]

    def _check(self, step: str) -> None:
        if self.fault(step):
            raise StoreUnavailable(f"store.{step}", "fake", "down")

    def _apply(self, expected, puts, removals) -> TransactionResult:
        differing = [k for k, rev in expected.items() if self._rev(k) != rev]
        if differing:
            found = [self.items[k] for k in expected if k in self.items]
            return TransactionResult(None, tuple(found))
        self.revision += 1
        for put in puts:
            self._put(put)
        for key in removals:
            self.items.pop(key, None)
        return TransactionResult(Revision(self.revision))

    def _put(self, put: Put) -> None:
        if put.lease is not None and put.lease not in self.leases:
            raise LeaseGone(put.lease)
        revision = Revision(self.revision)
        before = self.items.get(put.key)
        created = revision if before is None else before.created
        lease = put.lease or LeaseId("0")
        self.items[put.key] = Item(put.key, put.value, revision, created, lease)

    def _rev(self, key: str) -> int:
        item = self.items.get(key)
        return 0 if item is None else item.revision


def run_steps(steps: Steps, clock: ManualClock | None = None) -> object:
    """Run a task whose calls are fakes to its end and return its result.

    With a clock, each sleep and wait advances it; without one they are not expected.
    """
    try:
        while True:
            match next(steps):
                case Sleep(duration_s) if clock is not None:
                    clock.advance(duration_s)
                case Wait(_, timeout_s) if clock is not None:
                    clock.advance(timeout_s)
                case step:
                    raise AssertionError(f"unexpected step {step!r}")
    except StopIteration as end:
        return end.value


class FakeWorkerApi:
    """Return prepared answers and record the calls.

    The `yield` at the end makes each call a generator, as in WorkerClient.
    """

    def __init__(self) -> None:
        """Initialize the fake without answers."""
        self.poll_answers: list = []
        self.start_answers: list = []
        self.pace_answers: list = []
        self.sent: list = []

    def poll_runs(self, noted_upto, lease_until_ms, wait_ms, timeout_s):
        """Return the next answer to a poll, or raise it."""
        self.sent.append(lease_until_ms)
        return self._next(self.poll_answers)
        yield

    def start(self, order: StartOrder, timeout_s: float) -> OrderAnswer:
        """Return the next answer to a start, or raise it."""
        self.sent.append(order)
        return self._next(self.start_answers)
        yield

    def pace(self, task, run, percent, timeout_s: float) -> OrderAnswer:
        """Return the next answer to an order for a pace, or raise it."""
        self.sent.append((task, run, percent))
        return self._next(self.pace_answers)
        yield

    def stop(self, task, run, timeout_s: float) -> OrderAnswer:
        """Accept every stop."""
        self.sent.append((task, run))
        return OrderAnswer(None)
        yield

    def _next(self, answers: list):
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def no_answer(outcome: Outcome) -> JayshuntError:
    """Return the error that a call without an answer raises."""
    return JayshuntError("no_answer", step="worker", outcome=outcome)


class FakeMachines:
    """Fake the platform: list VMs and record the orders for them."""

    def __init__(self, *vms) -> None:
        """Start with the VMs."""
        self.vms = vms
        self.is_complete = True
        self.orders: list = []
        self.refused: set[VmId] = set()
        self.refusal = DutyRefusal.BUSY
        self.together: threading.Barrier | None = None

    def list(self):
        """Return the VMs."""
        return self.vms

    def move(self, vm, pool, token) -> DutyAnswer:
        """Record a move; with `together` set, wait for that many concurrent calls."""
        if self.together is not None:
            self.together.wait(timeout=5.0)
        self.orders.append((vm, pool))
        return DutyAnswer(None)

    def upkeep(self, vm, wave, token) -> DutyAnswer:
        """Record an upkeep, and refuse it for the VMs in `refused`."""
        self.orders.append((vm, wave))
        return DutyAnswer(self.refusal if vm in self.refused else None)


class TimedMachines(FakeMachines):
    """Fake a platform on which upkeep takes a while, and whose list is a little old.

    The answers to the orders for the VMs in `unanswered` are lost, once each.
    `most_down` is how many VMs were in upkeep at once.
    """

    upkeep_s = 2.0
    lag_s = 0.9

    def __init__(self, clock: ManualClock, *vms) -> None:
        """Start with VMs that are up."""
        super().__init__(*vms)
        self._clock = clock
        self._begun_s: dict[tuple[VmId, int], float] = {}
        self.unanswered: set[VmId] = set()
        self.most_down = 0

    def list(self):
        """Return the VMs as they were `lag_s` before."""
        at_s = self._clock.monotonic_s() - self.lag_s
        return tuple(
            replace(vm, state=VmState.UPKEEP) if self._is_down(vm.vm, at_s) else vm
            for vm in self.vms
        )

    def _is_down(self, vm: VmId, at_s: float) -> bool:
        begun = [at for (name, _), at in self._begun_s.items() if name == vm]
        return any(0 <= at_s - begun_s < self.upkeep_s for begun_s in begun)

    def upkeep(self, vm, wave, token) -> DutyAnswer:
        """Take a VM down unless it is or was."""
        now_s = self._clock.monotonic_s()
        self.orders.append((vm, wave))
        if self._is_down(vm, now_s):
            return DutyAnswer(DutyRefusal.BUSY)
        if (vm, wave) not in self._begun_s:
            self._begun_s[vm, wave] = now_s
            down = sum(self._is_down(other.vm, now_s) for other in self.vms)
            self.most_down = max(self.most_down, down)
        if vm in self.unanswered:
            self.unanswered.remove(vm)
            raise no_answer(Outcome.UNKNOWN)
        return DutyAnswer(None)


def build_fleet_dispatcher(tracker: RunTracker) -> SimpleNamespace:
    """Return what the duty for VMs uses of a dispatcher whose term is valid."""
    run_times = SimpleNamespace(predict_ms=lambda _, step: step.estimate_ms)
    dispatcher = SimpleNamespace(
        tracker=tracker,
        lock=threading.RLock(),
        planner=SimpleNamespace(
            run_times=run_times,
            wake=lambda: None,
            knows_all_runs=True,
            demand_gate=lambda now_s: None,
        ),
        ready=threading.Event(),
        term_valid=lambda: True,
        term_condition={},
        token=1,
        predecessor_end_s=0.0,
        term_confirmed_s=lambda: math.inf,
        vm_list_counts_from_s=0.0,
        worker_list_read=True,
        send_stops=lambda stops: None,
        report_deposed=lambda reason: None,
    )
    dispatcher.ready.set()
    return dispatcher
