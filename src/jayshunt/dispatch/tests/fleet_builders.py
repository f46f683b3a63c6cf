"""Build a store and worker stand-ins for whole dispatchers in one process."""

import json
import threading
import time
from collections import Counter, defaultdict
from dataclasses import replace

from jayshunt.clock import SystemClock
from jayshunt.dispatch.dispatcher import Dispatcher
from jayshunt.dispatch.messages import OrderSteps
from jayshunt.dispatch.models import (
    Address,
    StartOrder,
    TaskKey,
)
from jayshunt.dispatch.records import TERM_KEY, accepted_key, encode_job
from jayshunt.dispatch.store_models import Put, Term
from jayshunt.dispatch.term import OwnTerm
from jayshunt.dispatch.tests.builders import (
    POOL,
    build_config,
    build_node,
    build_queue,
    build_spec,
    build_step,
)
from jayshunt.dispatch.tests.fakes import FakeStore, FakeWorker
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import EntryId, JobId, LeaseId, Revision
from jayshunt.task_loop import Sleep, Steps

LOOPBACK = Address("127.0.0.1", 1)
TASKS_PER_JOB = 24
WATCH_WAIT_S = 0.1


class WatchedStore(FakeStore):
    """Make watches wait for a while, as those of the platform's store do."""

    def watch(self, prefix: str, after: Revision, wait_s: float, stop=None):
        """Return the changes after a revision, at the latest after WATCH_WAIT_S."""
        if wait_s > 0 and stop is not None:
            stop.wait(min(wait_s, WATCH_WAIT_S))
        return super().watch(prefix, after, wait_s, stop)


class TimedWorker(FakeWorker):
    """Worker stand-in on the monotonic clock that counts double starts and lapses."""

    def __init__(self, name: str, fleet: "FakeFleet") -> None:
        """Start without a lease."""
        super().__init__(name, on_start=fleet.record_start)
        self.fleet = fleet
        self.lock = threading.Lock()

    def refresh(self) -> None:
        """Set the clock and end all runs whose lease is over."""
        before = len(self.runs)
        self.advance(int(time.monotonic() * 1000) - self.clock_ms)
        self.fleet.lapsed += before - len(self.runs)


class TimedWorkerApi:
    """Call a worker stand-in with the token of one term, in place of WorkerClient."""

    def __init__(self, worker: TimedWorker, token: int) -> None:
        """Create a client; `token` is the fencing token of the dispatcher's term."""
        self._worker = worker
        self._token = token

    def start(self, order: StartOrder, timeout_s: float) -> OrderSteps:
        """Start a run."""
        yield Sleep(0.0)
        with self._worker.lock:
            self._check_up()
            return self._worker.start(order, self._token)

    def stop(self, task: TaskKey, run: int, timeout_s: float) -> OrderSteps:
        """Stop a run."""
        yield Sleep(0.0)
        with self._worker.lock:
            self._check_up()
            return self._worker.stop(task, run, self._token)

    def poll_runs(
        self,
        noted_upto: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> Steps:
        """Extend the lease, and return the runs after the requested wait."""
        worker = self._worker
        with worker.lock:
            self._check_up()
            worker.poll_runs(noted_upto, lease_until_ms, self._token)
            if lease_until_ms is not None:
                worker.fleet.record_lease(worker.name, self._token)
        yield Sleep(wait_ms / 1000)
        with worker.lock:
            self._check_up()
            return worker.poll_runs(noted_upto, None, self._token)

    def _check_up(self) -> None:
        self._worker.refresh()
        if not self._worker.is_up:
            raise JayshuntError("no_answer", step="worker", outcome=Outcome.UNKNOWN)


class FakeFleet:
    """Store, configuration and workers that several dispatchers use one by one."""

    def __init__(self, workers: int) -> None:
        """Register the workers in the store."""
        self.store = WatchedStore()
        self.lapsed = 0
        self.doubled: list[TaskKey] = []
        self.starts: Counter[TaskKey] = Counter()
        self._lock = threading.Lock()
        self._running: dict[TaskKey, str] = {}
        self._stored_tasks = 0
        self._stored_jobs: set[JobId] = set()
        self._leased: defaultdict[int, set[str]] = defaultdict(set)
        self._changed = threading.Condition(self._lock)
        self.workers = {f"w{n}": TimedWorker(f"w{n}", self) for n in range(workers)}
        for name in self.workers:
            self._register(name)

    def record_start(self, name: str, task: TaskKey, run: int) -> None:
        """Count a start, and note a task that another worker still runs."""
        with self._lock:
            other = self._running.get(task)
            if other not in (None, name) and task in self.workers[other].runs:
                self.doubled.append(task)
            self._running[task] = name
            self.starts[task] += 1
            self._changed.notify_all()

    def record_lease(self, name: str, token: int) -> None:
        """Record that a worker got a lease of a term."""
        with self._lock:
            self._leased[token].add(name)
            self._changed.notify_all()

    def wait_until_leased(self, token: int, timeout_s: float) -> bool:
        """Wait until each worker got a lease of a term; return whether all did."""
        with self._changed:
            return self._changed.wait_for(
                lambda: len(self._leased[token]) == len(self.workers), timeout_s
            )

    def wait_until_started(self, timeout_s: float) -> bool:
        """Wait until each stored task was started; return whether all were."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._count_started() == self._stored_tasks, timeout_s
            )

    def add_long_running_jobs(self, count: int) -> None:
        """Store accepted jobs of TASKS_PER_JOB long-running tasks each."""
        step = build_step(task_count=TASKS_PER_JOB, is_long_running=True)
        for number in range(count):
            spec = build_spec(step, job=JobId(f"{number:016x}"))
            value = encode_job(spec, build_queue(), time.time())
            self.store.transact({}, (Put(accepted_key(spec.job), value),))
            self._stored_tasks += TASKS_PER_JOB
            self._stored_jobs.add(spec.job)

    def _count_started(self) -> int:
        """Return how many tasks of the stored jobs were started."""
        return sum(task.job in self._stored_jobs for task in self.starts)

    def running(self) -> int:
        """Return how many runs the workers have."""
        return sum(len(worker.runs) for worker in self.workers.values())

    def leased(self, token: int) -> int:
        """Return how many workers have a valid lease of a term."""
        now_ms = time.monotonic() * 1000
        return sum(
            worker.token == token and worker.lease_until_ms > now_ms
            for worker in self.workers.values()
        )

    def build_dispatcher(self, name: str = "entry-1", **changes) -> Dispatcher:
        """Return the dispatcher of a new term, whose lease does not expire.

        `changes` are settings of the entry.
        """
        self.store.items.pop(TERM_KEY, None)
        result = self.store.transact({}, (Put(TERM_KEY, b"{}"),))
        term = Term(
            EntryId(name), LOOPBACK, name, token=result.revision, lease=LeaseId("1")
        )
        own = OwnTerm(term, 0.0, lambda: 0.0)
        return Dispatcher(
            replace(build_node(name), **changes),
            own,
            self.store,
            SystemClock(),
            build_config,
            lambda reason: None,
            lambda worker, token: TimedWorkerApi(self.workers[worker.worker], token),
        )

    def _register(self, name: str) -> None:
        record = {
            "service": POOL,
            "address": "127.0.0.1:1",
            "zone": "ash",
            "state": "ready",
            "capacity": {"cpu": 64_000, "memMb": 262_144},
            "labels": ["r1-1"],
            "machine": f"vm-{name}",
            "born": 1,
        }
        value = json.dumps(record).encode()
        self.store.transact({}, (Put(f"servers/{name}", value),))
