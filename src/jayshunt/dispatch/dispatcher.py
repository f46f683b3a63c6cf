"""Dispatch jobs during one term: place tasks, grant worker leases, store progress."""

import logging
import threading
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.dispatch.commits import ProgressWriter
from jayshunt.dispatch.const import (
    LATE_CALL_S,
    LEASE_MARGIN_S,
    MAX_LEASE_FRACTION,
    PREDECESSOR_IN_FLIGHT_S,
    STORED_START_VALID_S,
    TERM_LEASE_S,
    VM_LIST_LAG_S,
    WORKER_LEASE_S,
)
from jayshunt.dispatch.errors import JobWithdrawn, TermEnded
from jayshunt.dispatch.fleet import WorkerEnd, WorkerView, is_capacity_known
from jayshunt.dispatch.fleet_duty import FleetDuty
from jayshunt.dispatch.inherited_starts import InheritedStarts
from jayshunt.dispatch.intake_reader import IntakeReader
from jayshunt.dispatch.job_memory import JobMemory, JobRoom
from jayshunt.dispatch.memory_budget import (
    divide_memory,
    max_idle_worker_connections,
)
from jayshunt.dispatch.messages import MAX_EXTRA_LANES, SessionContext, WorkerApi
from jayshunt.dispatch.models import EntryNode, FleetConfig, JobState, Worker
from jayshunt.dispatch.order_sender import OrderSender
from jayshunt.dispatch.planner import Planner
from jayshunt.dispatch.records import (
    HANDOFF_KEY,
    TERM_KEY,
    accepted_key,
    cancelled_key,
    encode_handoff,
    stored_workspace,
)
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.run_tracker import RunTracker
from jayshunt.dispatch.sessions import WorkerSession
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.term import OwnTerm
from jayshunt.dispatch.where import answer_where
from jayshunt.dispatch.withdrawals import Withdrawals
from jayshunt.dispatch.worker_list import WorkerList
from jayshunt.forecast.forecaster import DemandForecaster
from jayshunt.ids import (
    JobId,
    PoolName,
    QueueName,
    Revision,
    WorkerId,
    WorkspaceName,
)
from jayshunt.interference.summary_store import SummaryStore
from jayshunt.platform.machine_calls import VmServiceClient
from jayshunt.platform.store import PlatformStore
from jayshunt.platform.worker_calls import AdviceClient
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable
from jayshunt.task_loop import TaskLoop
from jayshunt.tasks import TaskGroup
from jayshunt.workspaces.ownership import is_same_submitter, may_access

_LOGGER = logging.getLogger(__name__)

CANCEL_STORE_TIMEOUT_S = 2.0
FLUSH_TIMEOUT_S = 0.8
STOP_TIMEOUT_S = 0.05


class Dispatcher:
    """Run the background threads of one term and keep its state.

    A new instance is created for each term. `ready` is set once all stored jobs are in
    the tracker. `lease_s` is the length of a worker's lease and `retention_s` how long
    ended jobs are kept. `was_predecessor_suspected` means that other entries ended the
    last term on suspicion; it is True until the suspicion record is read. `handoff` is
    the record of the last term (see `_write_handoff`), None without one, and
    `handoff_read` is set once it was looked up.
    `on_deposed` is called with a reason once this term is lost. `connect_worker`
    returns the client of a worker that sends a fencing token.
    """

    def __init__(
        self,
        node: EntryNode,
        own: OwnTerm,
        store: PlatformStore,
        clock: Clock,
        config: Callable[[], FleetConfig | None],
        on_deposed: Callable[[str], None],
        connect_worker: Callable[[Worker, int], WorkerApi],
    ) -> None:
        """Create the components of the term; nothing runs before `start`."""
        self._node = node
        self._own = own
        self._store = store
        self._clock = clock
        self._config = config
        self._on_deposed = on_deposed
        self._connect_worker = connect_worker
        self._withdrawals = Withdrawals(store, clock)
        self.lock = threading.RLock()
        self.tracker = RunTracker(
            own.term.token,
            max_lease_s=node.bounds.max_lease_ms / 1000,
            memory=JobMemory(divide_memory(node.memory_mb).jobs_bytes),
            stop_s=node.bounds.stop_ms / 1000,
        )
        self.sessions: dict[WorkerId, WorkerSession] = {}
        self._group = TaskGroup("dispatch")
        self._worker_loop = TaskLoop(
            "workers", max_idle_worker_connections(node.max_fds)
        )
        self._waiting_for_store: set[WorkerSession | OrderSender] = set()
        self._extra_lanes = threading.Semaphore(MAX_EXTRA_LANES)
        self.ready = threading.Event()
        self.lease_s = min(
            WORKER_LEASE_S, node.bounds.max_lease_ms / 1000 * MAX_LEASE_FRACTION
        )
        self._started_s = clock.monotonic_s()
        self.worker_list_read = False
        self.was_predecessor_suspected = True
        self.handoff: dict[WorkerId, frozenset[str]] | None = None
        self.handoff_read = False
        self.retention_s = node.bounds.status_ms / 1000
        self.term_condition = {TERM_KEY: own.term.token}
        self.progress = ProgressWriter(
            self.tracker, self.lock, store, own.term.token, clock
        )
        self.progress.on_stored = self._notify_stored
        self._intake = IntakeReader(self, store, clock, config)
        self._workers = WorkerList(self, store, clock)
        machines = (
            None
            if node.machines is None
            else VmServiceClient(node.machines, node.entry)
        )
        advice = None if node.advice is None else AdviceClient(node.advice)
        self.planner = Planner(self, clock, config, node.bounds, advice, node.features)
        self.interference_summary = self._build_interference_summary()
        self.fleet = FleetDuty(
            self,
            store,
            machines,
            clock,
            config,
            node.bounds,
            node.vm_orders_per_s,
            DemandForecaster() if node.features.demand_forecast else None,
        )
        self.inherited_starts = InheritedStarts(self, self._started_s)
        self.tracker.on_task_done = self.planner.learn_run
        self.tracker.on_worker_end = self.planner.speeds.forget

    # --- the term ---

    def start(self) -> None:
        """Start the threads that read the store and take over the workers."""
        self._worker_loop.start()
        for task in (
            self._run_intake,
            self._workers.run,
            self._guard(self.progress.run),
            self.planner.run,
            self.fleet.run,
        ):
            self._group.supervise(task)
        if self.interference_summary is not None:
            self._group.supervise(self._guard(self.interference_summary.run))

    def stop(self, is_graceful: bool) -> None:
        """Stop giving orders and end all threads.

        If `is_graceful`, the term is still valid: store unsaved progress and the
        handoff record.
        """
        self._own.has_ended = not is_graceful
        self._group.stopping.set()
        self.notify_changed()
        if is_graceful:
            self._flush()
        self._worker_loop.stop()
        self._group.stop(STOP_TIMEOUT_S)

    def _build_interference_summary(self) -> SummaryStore | None:
        control = self.planner.interference
        if control is None:
            return None
        return SummaryStore(
            control.model, self.lock, self._store, self.term_condition, self._clock
        )

    def _flush(self) -> None:
        with self.lock:
            self.tracker.crashes.record_term_end(self.tracker.workers.values())
        try:
            self.progress.flush(FLUSH_TIMEOUT_S)
            self._write_handoff()
            if self.interference_summary is not None:
                self.interference_summary.write()
        except (TermEnded, StoreUnavailable, StoreOutcomeUnknown) as error:
            _LOGGER.info("dispatch: could not store progress or handoff: %s", error)

    def _write_handoff(self) -> None:
        """Store what the next term must not continue before a worker has answered.

        By worker, these are the tasks that may run there and the jobs with a reported
        end that is not stored yet. No order may be given after this.
        """
        if not self.ready.is_set() or not self.planner.knows_all_runs:
            return
        with self.lock:
            placements = self.tracker.unresolved_tasks()
        left = self._store.get(HANDOFF_KEY)
        revision = Revision(0) if left is None else left.revision
        self._store.transact(
            {**self.term_condition, HANDOFF_KEY: revision},
            (Put(HANDOFF_KEY, encode_handoff(placements)),),
        )

    @property
    def token(self) -> int:
        """Return the fencing token of the term."""
        return self._own.term.token

    def term_valid(self) -> bool:
        """Return whether this term may still give orders."""
        return self._own.is_valid and not self._group.stopping.is_set()

    def term_confirmed_s(self) -> float:
        """Return the monotonic time up to which no other entry held the term.

        After it a successor may have taken over and renewed the leases of workers that
        this entry does not reach.
        """
        return self._clock.monotonic_s() - self._own.renewal_age_s

    def notify_changed(self) -> None:
        """Wake the planner, and the progress writer if a job has unstored changes."""
        self.planner.wake()
        if self.tracker.dirty:
            self.progress.wake()

    def is_store_failing(self) -> bool:
        """Return whether the last calls to the store failed."""
        return self._store.failing_for_s() > 0

    def now_s(self) -> float:
        """Return the time of the dispatcher's clock, in monotonic seconds."""
        return self._clock.monotonic_s()

    def worker_list_age_s(self) -> float:
        """Return how long ago the list of workers was certainly as it is known here."""
        return self._workers.age_s()

    def where(self, body: dict) -> dict:
        """Explain where a job would be placed now; see `answer_where`."""
        config = self._config()
        if config is None:
            return {"error": "no configuration yet", "code": "unavailable"}
        return answer_where(self, config, body)

    def knows_capacity(self, pool: PoolName) -> bool:
        """Return whether the capacity of a pool's workers is known for a start."""
        config = self._config()
        return is_capacity_known(
            config is not None and config.rejects_overload(pool),
            self._workers.age_s(),
            self._node.bounds.contact_ms / 1000,
        )

    def report_deposed(self, reason: str) -> None:
        """Report that another entry has taken over, which ends this term."""
        self._on_deposed(reason)

    def _run_intake(self, stop: threading.Event) -> None:
        self._intake.run(stop)

    def _guard(
        self, task: Callable[[threading.Event], None]
    ) -> Callable[[threading.Event], None]:
        def run(stop: threading.Event) -> None:
            try:
                task(stop)
            except TermEnded as error:
                self._on_deposed(str(error))

        return run

    # --- workers ---

    @property
    def inherited_runs_end_s(self) -> float:
        """Return until when an unreachable worker may run tasks of earlier terms.

        The previous dispatcher may have granted worker leases until its term ended. A
        worker that started again under its id holds the longest lease of all by a call
        that was meant for its former incarnation.
        """
        lease_s = self.tracker.longest_lease_s + LEASE_MARGIN_S
        in_flight_s = 0.0 if self.was_predecessor_suspected else PREDECESSOR_IN_FLIGHT_S
        return self.predecessor_end_s + in_flight_s + lease_s

    @property
    def predecessor_end_s(self) -> float:
        """Return until when the previous dispatcher may have sent calls to workers.

        Its term can outlast the start of this one only if other entries ended it on
        suspicion.
        """
        if self.was_predecessor_suspected:
            return self._started_s + TERM_LEASE_S
        return self._started_s

    @property
    def vm_list_counts_from_s(self) -> float:
        """Return from when on a VM list tells the end of runs that a term stored.

        Only a term in force stores a start. If other entries ended it on suspicion, its
        dispatcher may send the start a while later (STORED_START_VALID_S). It may reach
        the next life of its worker a moment after that.
        """
        overlap_s = STORED_START_VALID_S if self.was_predecessor_suspected else 0.0
        return self._started_s + overlap_s + LATE_CALL_S + VM_LIST_LAG_S

    def add_worker(self, worker: Worker) -> None:
        """Open a session with a worker that is not yet known."""
        now_s = self._clock.monotonic_s()
        view = WorkerView(worker, now_s)
        view.lease_end_s = self.inherited_runs_end_s
        self.open_session(view, self._connect_worker(worker, self.token))

    def replace_worker(self, view: WorkerView, worker: Worker) -> None:
        """Open a session with the next incarnation of a worker, at its address."""
        with self.lock:
            next_view = self.tracker.replace_worker(
                view, worker, WorkerEnd.REPLACED, self._clock.monotonic_s()
            )
            next_view.extend_former_lease(self.inherited_runs_end_s)
            self.open_session(next_view, self._connect_worker(worker, self.token))

    def open_session(self, view: WorkerView, worker_api: WorkerApi) -> WorkerSession:
        """Start renewing a worker's lease."""
        context = SessionContext(
            tracker=self.tracker,
            lock=self.lock,
            clock=self._clock,
            lease_s=self.lease_s,
            term_valid=self.term_valid,
            term_confirmed_s=self.term_confirmed_s,
            knows_capacity=self.knows_capacity,
            on_deposed=self._on_deposed,
            notify_changed=self.notify_changed,
            spawn=self._worker_loop.spawn,
            on_ticket_refused=self.planner.tickets.drop,
            waiting_for_store=self._waiting_for_store,
            extra_lanes=self._extra_lanes,
        )
        session = WorkerSession(view, worker_api, context)
        with self.lock:
            self.tracker.add_view(view)
            self._remove_ended_sessions()
            self.sessions[view.worker.worker] = session
        self._worker_loop.spawn(session.run_polls, restarts=True)
        return session

    def _remove_ended_sessions(self) -> None:
        """Remove ended sessions once they make up half of the known ones."""
        if len(self.sessions) <= 2 * len(self.tracker.workers):
            return
        for worker, session in list(self.sessions.items()):
            if session.view.is_ended:
                del self.sessions[worker]

    def _notify_stored(self) -> None:
        for waiting in tuple(self._waiting_for_store):
            waiting.notify_stored()

    def send_stops(self, stops: list[StopOrder]) -> None:
        """Queue stop orders in the sessions of their workers."""
        for order in stops:
            session = self.sessions.get(order.worker)
            if session is not None:
                session.orders.stop(order)

    # --- requests from entries ---

    def job_room(self) -> JobRoom:
        """Return how much memory new jobs may take.

        While accepted jobs wait in the store for memory, there is none for large ones.
        """
        with self.lock:
            room = self.tracker.memory.room()
            if self.tracker.deferred:
                return room.model_copy(update={"large_bytes": 0})
            return room

    def job_state(self, job_id: JobId, caller: WorkspaceName) -> JobState | None:
        """Return the state of a job that callers see.

        Return None if the job is unknown or another workspace's.
        """
        job = self.tracker.jobs.get(job_id)
        if job is not None:
            is_shown = may_access(job.spec.workspace, caller)
            return job.public_state() if is_shown else None
        ended = self.tracker.ended.get(job_id)
        if ended is None or ended.workspace is None:
            # The entry reads the store.
            return None
        return ended.state if may_access(ended.workspace, caller) else None

    def notify_accepted(self, job_id: JobId, value: bytes, created: int) -> None:
        """Add a job that an entry has just stored."""
        self._intake.add_job(job_id, value, created, is_new=True)
        self.notify_changed()

    def notify_cancelled(self, job_id: JobId) -> None:
        """Stop a job whose cancellation an entry has just stored."""
        with self.lock:
            stops = self.tracker.cancel(job_id)
        _LOGGER.info(
            "dispatch: job cancelled", extra={"job": job_id, "stops": len(stops)}
        )
        self.send_stops(stops)
        self.notify_changed()

    def submit(self, key: str, value: bytes) -> dict:
        """Store a job for an entry that cannot reach the store.

        `is_new` in the answer is False if the job's id was already stored, `is_taken`
        True if another submitter stored it, and `is_withdrawn` if the job was cancelled
        before. Raise StoreUnavailable or StoreOutcomeUnknown as the store does, and
        StoreUnavailable at once while calls fail: the entry would not wait for their
        timeout, and could not tell its caller that the job does not run.
        """
        if self.is_store_failing():
            raise StoreUnavailable("store.txn", self._node.entry, "calls are failing")
        job_id, caller = JobId(key.rpartition("/")[2]), stored_workspace(value)
        try:
            result = self._withdrawals.store_job(job_id, value, caller)
        except JobWithdrawn:
            return {"is_new": False, "is_withdrawn": True}
        created = result.revision
        if created is None:
            owners = [stored_workspace(item.value) for item in result.conflicts]
            is_taken = not all(is_same_submitter(owner, caller) for owner in owners)
            return {"is_new": False, "is_taken": is_taken}
        self.notify_accepted(job_id, value, created)
        return {"is_new": True}

    def cancel_stored(self, job_id: JobId, caller: WorkspaceName) -> bool:
        """Store a cancellation for an entry that cannot reach the store.

        Return False if the job is not stored or another workspace's. Raise
        StoreUnavailable or StoreOutcomeUnknown as the store does.
        """
        item = self._store.get(accepted_key(job_id))
        if item is None and not self._withdrawals.withdraw(job_id, caller):
            item = self._store.get(accepted_key(job_id))
        if item is None or not may_access(stored_workspace(item.value), caller):
            return False
        key = cancelled_key(job_id)
        self._store.transact({key: Revision(0)}, (Put(key, b"{}"),))
        self.notify_cancelled(job_id)
        return True

    def count_waiting(self, queue: QueueName) -> int:
        """Return how many unscheduled jobs of a queue have not started."""
        with self.lock:
            return sum(
                1
                for job_id in self.tracker.active
                if (job := self.tracker.jobs[job_id]).spec.queue == queue
                and not job.has_started
                and not job.spec.times
                and not job.state.is_final
            ) + sum(job.queue == queue for job in self.tracker.deferred.values())
