"""Place waiting jobs on the workers of a zone and track them until they end."""

import logging
import threading
from collections import deque
from collections.abc import Callable, Iterable

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot
from jayshunt.errors import JayshuntError
from jayshunt.ids import Epoch, JobId, WorkerId
from jayshunt.jobs.const import (
    NOTICE_BATCH_WINDOW_S,
    PLAN_INTERVAL_S,
    REFRESH_INTERVAL_S,
    SCHEDULE_INTERVAL_S,
    SHARDS_PER_ZONE,
)
from jayshunt.jobs.decisions import Decision, SchedulerView, WorkerView
from jayshunt.jobs.models import Job, JobState
from jayshunt.jobs.orders import group_by_worker, orders_for
from jayshunt.jobs.packing import PackingPlan, plan_placements
from jayshunt.jobs.placing import PlacementInputs, placement_changes
from jayshunt.jobs.shards import JobChange, ZoneJobs
from jayshunt.jobs.sizes import SizeLearner
from jayshunt.jobs.tracking import JobTracker
from jayshunt.jobs.worker_health import WorkerHealth
from jayshunt.jobs.workers import WorkerTable
from jayshunt.pools.models import AssignmentRecord, AssignmentState, VmKind

_LOGGER = logging.getLogger(__name__)

LOST_TERM_CODES = frozenset({"superseded", "stale_epoch"})
MAX_DECISIONS = 256


class JobScheduler:
    """Schedule the jobs of a zone while this entry is the zone controller.

    `read_term()` returns an id that is unique for each time that this entry became
    zone controller, or None if it is not the controller. A term starts with a raised
    fencing epoch and lasts until a worker or a stored document shows a higher epoch.
    A scheduler whose controller lease ended before that, for example during an
    outage of the store, places no jobs, but still renews the task leases of running
    jobs and stores results. A step never waits for a worker: calls run on their own
    threads and wake the next step.
    """

    def __init__(
        self,
        jobs: ZoneJobs,
        table: WorkerTable,
        read_config: Callable[[], ConfigSnapshot],
        read_record: Callable[[], AssignmentRecord],
        read_term: Callable[[], str | None],
        clock: Clock,
        wake: threading.Event,
    ) -> None:
        """Store the collaborators; `wake` is set to run the next step at once."""
        self._jobs = jobs
        self._table = table
        self._read_config = read_config
        self._read_record = read_record
        self._read_term = read_term
        self._clock = clock
        self._wake = wake
        self._lock = threading.Lock()
        self._changed_shards: set[int] = set()
        self._term: str | None = None
        self._lost_term: str | None = None
        self._reset_state(Epoch(0))

    @property
    def epoch(self) -> Epoch:
        """Return the fencing epoch of the latest term, or 0 before the first."""
        return self._epoch

    @property
    def is_scheduling(self) -> bool:
        """Return whether this entry took over and has not seen a higher epoch since."""
        return self._term is not None

    def view(self) -> SchedulerView:
        """Return a snapshot of the scheduler's state for diagnostics."""
        now_s = self._clock.monotonic_s()
        open_jobs = tuple(self._jobs.open_jobs()) if self.is_scheduling else ()
        jobs_by_worker = group_by_worker(open_jobs)
        return SchedulerView(
            self._epoch if self.is_scheduling else Epoch(0),
            open_jobs,
            dict(self.waiting_reasons),
            tuple(self.decisions),
            tuple(
                WorkerView(
                    s.worker,
                    s.pool,
                    s.is_responsive,
                    s.is_serving,
                    self.health.is_quarantined(s.worker, now_s),
                    len(jobs_by_worker.get(s.worker, ())),
                )
                for s in list(self._table.statuses.values())
            ),
            dict(self.learner.estimates()),
        )

    def run(self, stop: threading.Event) -> None:
        """Run steps until stopped, at an interval or as soon as `wake` is set."""
        while not stop.is_set():
            if self._clock.wait(self._wake, SCHEDULE_INTERVAL_S):
                self._clock.wait(stop, NOTICE_BATCH_WINDOW_S)
            self._wake.clear()
            try:
                self.step()
            except JayshuntError as error:
                _LOGGER.warning("jobs: a step failed: %s", error)
            except Exception:
                # The loop must go on: the next step renews the leases of running jobs.
                _LOGGER.exception("jobs: unexpected error in a scheduler step")
        self._table.stop()

    def mark_changed(self, shards: Iterable[int] = range(SHARDS_PER_ZONE)) -> None:
        """Mark shards as changed in the store, so that the next step reads them.

        The intake of this entry and notices from peers call this.
        """
        with self._lock:
            self._changed_shards.update(shards)
        self._wake.set()

    def remaining_jobs(self, worker: WorkerId) -> int:
        """Return the number of jobs on a worker, or 1 if the number is not known.

        A worker that is not SERVING in the assignment record gets no new job. Its
        jobs are checkpointed if the platform supports it, and otherwise run to
        their end. A caller that drains a worker waits until this returns 0. The
        number is known only while this entry is the zone controller and has read
        the jobs of its current term.
        """
        if not self.is_scheduling:
            return 1
        if self._term is None or self._term != self._read_term():
            # The jobs that an earlier scheduler placed have not been read yet.
            return 1
        return sum(1 for job in self._jobs.open_jobs() if job.worker == worker)

    def step(self) -> None:
        """Renew leases, store results, place waiting jobs and send orders."""
        term = self._read_term()
        if term is None and self._term is None:
            return
        if term is not None and term == self._lost_term:
            return
        try:
            if term not in (None, self._term):
                self._take_over(term)
            self._track_jobs()
            if term is not None:
                self._place_waiting_jobs(self._clock.monotonic_s())
            self._send_orders()
        except JayshuntError as error:
            if error.code not in LOST_TERM_CODES:
                raise
            _LOGGER.warning("jobs: lost the term of epoch %s: %s", self.epoch, error)
            self._term, self._lost_term = None, term or self._term

    def _reset_state(self, epoch: Epoch) -> None:
        self._epoch = epoch
        self.health = WorkerHealth()
        self.learner = SizeLearner()
        self._tracker = JobTracker(self._jobs, self._table, self.health, self.learner)
        self.decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)
        self.waiting_reasons: dict[JobId, str] = {}
        self._preempting: set[JobId] = set()
        self._refreshed_s = self._clock.monotonic_s()
        self._planned_s = float("-inf")
        self._last_signature: object = None
        self._workers_to_check: set[WorkerId] = set()
        self._workers_to_call: set[WorkerId] = set()
        self._jobs_by_worker: dict[WorkerId, list[Job]] = {}

    def _take_over(self, term: str) -> None:
        epoch = self._jobs.take_over()
        self._table.reset()
        self._reset_state(epoch)
        self._tracker.rebuild([*self._jobs.ended_jobs(), *self._jobs.open_jobs()])
        self._term = term
        _LOGGER.info("jobs: started to schedule with epoch %s", epoch)

    def _track_jobs(self) -> None:
        self._update_workers()
        completed = self._table.collect()
        self._workers_to_check |= completed
        self._workers_to_call |= completed
        # Renew leases before calling the store, since a call may take seconds.
        self._send_orders()
        self._refresh()
        now_s = self._clock.monotonic_s()
        statuses = self._table.statuses
        self.health.quarantine_suspects(
            now_s, {w: s.pool for w, s in statuses.items() if s.is_listed}
        )
        self._detect_changes()
        self._workers_to_check |= {
            w for w, s in statuses.items() if not s.is_responsive
        }
        changes = self._tracker.changes(
            self._jobs_by_worker, self._workers_to_check, self.epoch, now_s
        )
        self._workers_to_check.clear()
        self._write(changes)

    def _detect_changes(self) -> None:
        """Schedule a check of every worker if jobs or workers have changed.

        Otherwise only workers whose call completed or that do not answer are
        checked: checking every job in every step took 12% of a core for 1,700
        running jobs.
        """
        signature = (
            self._jobs.version,
            [
                (s.worker, s.is_serving, s.is_responsive, s.boot, s.capacity)
                for s in self._table.statuses.values()
            ],
        )
        if signature == self._last_signature:
            return
        self._last_signature = signature
        self._jobs_by_worker = group_by_worker(self._jobs.open_jobs())
        self._planned_s = float("-inf")
        self._workers_to_check |= {*self._table.statuses, *self._jobs_by_worker}
        self._workers_to_call |= {*self._table.statuses}

    def _update_workers(self) -> None:
        record = self._read_record()
        self._table.update_members(
            {
                WorkerId(vm): (a.address, a.pool, a.state is AssignmentState.SERVING)
                for vm, a in record.assignments.items()
                if a.kind is VmKind.WORKER
            }
        )

    def _refresh(self) -> None:
        with self._lock:
            shards, self._changed_shards = self._changed_shards, set()
        now_s = self._clock.monotonic_s()
        if now_s >= self._refreshed_s + REFRESH_INTERVAL_S:
            shards = set(range(SHARDS_PER_ZONE))
        if not shards:
            return
        try:
            self._jobs.refresh(shards)
        except JayshuntError as error:
            if error.code in LOST_TERM_CODES:
                raise
            _LOGGER.info("jobs: reading changed jobs failed: %s", error)
            with self._lock:
                self._changed_shards |= shards
            return
        if len(shards) == SHARDS_PER_ZONE:
            self._refreshed_s = now_s

    def _write(self, changes: list[JobChange]) -> None:
        if not changes:
            return
        applied = self._jobs.write(changes, self.epoch)
        for change in changes:
            if change.expected.job not in applied:
                continue
            self._tracker.learn(change.updated)
            self._preempting.discard(change.expected.job)
            self.waiting_reasons.pop(change.expected.job, None)
            self._record_decision(change.updated)

    def _place_waiting_jobs(self, now_s: float) -> None:
        self._detect_changes()
        if now_s < self._planned_s + PLAN_INTERVAL_S:
            return
        self._planned_s = now_s
        open_jobs = self._jobs.open_jobs()
        if not any(job.state is JobState.WAITING for job in open_jobs):
            self.waiting_reasons = {}
            return
        plan, not_planned = self._plan(open_jobs, now_s)
        self.waiting_reasons = {
            **not_planned,
            **{w.job: w.reason for w in plan.waiting},
        }
        self._preempting.update(p.job for p in plan.preemptions)
        self._workers_to_call.update(p.worker for p in plan.preemptions)
        self._write(placement_changes(plan, open_jobs, self._table, self.epoch))

    def _plan(
        self, open_jobs: list[Job], now_s: float
    ) -> tuple[PackingPlan, dict[JobId, str]]:
        config = self._read_config().document
        inputs = PlacementInputs(
            open_jobs,
            self._table,
            self.health,
            self.learner,
            config,
            now_s,
            self._clock.now_s(),
        )
        waiting, not_planned = inputs.waiting_jobs()
        plan = plan_placements(
            waiting,
            inputs.worker_capacities(),
            inputs.quotas(),
            self._clock.now_s(),
            inputs.running_jobs() if any(job.urgent for job in waiting) else (),
        )
        return plan, not_planned

    def _send_orders(self) -> None:
        now_s = self._clock.monotonic_s()
        self._detect_changes()
        for worker, status in self._table.statuses.items():
            if status.in_flight:
                continue
            if worker not in self._workers_to_call and now_s < status.next_call_s:
                continue
            self._workers_to_call.discard(worker)
            orders = orders_for(
                status,
                self._jobs_by_worker.get(worker, []),
                self._preempting.__contains__,
                lambda job: self.learner.expected_size(
                    job.request.work_class, job.request.team, job.request.declared
                ).size,
            )
            self._table.send(status, self.epoch, orders)

    def _record_decision(self, job: Job) -> None:
        decision = Decision(job.job, self._clock.now_s(), job.state, job.reason)
        self.decisions.append(decision)
        _LOGGER.info("jobs: job %s is %s: %s", job.job, job.state.value, job.reason)
