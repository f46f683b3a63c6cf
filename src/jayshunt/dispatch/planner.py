"""Run placement rounds whenever jobs, workers or the configuration change."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from math import isfinite

from jayshunt.clock import Clock
from jayshunt.dispatch.backlog import expected_waits_s, refusals
from jayshunt.dispatch.const import LOGGED_WAIT_S
from jayshunt.dispatch.estimates import RunTimes
from jayshunt.dispatch.features import Features
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.free_capacity import CandidateWorker, due_jobs, step_key
from jayshunt.dispatch.messages import PaceTask, StartTask
from jayshunt.dispatch.models import Bounds, FleetConfig, QueueConfig
from jayshunt.dispatch.pacing import Pacer
from jayshunt.dispatch.placement_policy import JobOrder, PlacementPolicy, StartGate
from jayshunt.dispatch.placing import Placement, plan_placements, prioritize_jobs
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.speeds import WorkerSpeeds
from jayshunt.dispatch.stop_limits import count_separate_tasks, count_stoppable_runs
from jayshunt.dispatch.tasks import Job, Task
from jayshunt.dispatch.term import may_be_of_successor
from jayshunt.dispatch.tickets import TicketCache
from jayshunt.ids import PoolName, QueueName, WorkerId, WorkspaceName
from jayshunt.interference.control import InterferenceControl
from jayshunt.overload.diagnostics import OrderLog, rooms_of
from jayshunt.overload.duty import AdmissionDuty
from jayshunt.overload.service_order import ServiceOrder
from jayshunt.workspaces.control import WorkspaceControl
from jayshunt.workspaces.limits import WorkspaceLimits

_LOGGER = logging.getLogger(__name__)

MIN_INTERVAL_S = 0.008
# A round holds the lock that the processing of worker answers needs. The planner
# therefore pauses after a round for this multiple of the round's duration.
REST_FACTOR = 2.0
IDLE_INTERVAL_S = 0.5
# Every entry polls the refusals 2.5 times a second; all get the same cached result.
REFUSALS_VALID_S = 0.2
DUE_INTERVAL_S = 0.1
PACE_INTERVAL_S = 0.4
# A worker without an answer for this long gets no new runs.
SILENT_S = 2.2


@dataclass(frozen=True)
class TrialRound:
    """Hold what one placement round would do, and its candidates afterwards."""

    placements: list[Placement]
    candidates: dict[PoolName, list[CandidateWorker]]
    may_start: Callable[[Job], bool]
    policy: PlacementPolicy


class Planner:
    """Run placement rounds, pace filling tasks and compute the queues' refusals."""

    def __init__(
        self,
        dispatcher,
        clock: Clock,
        config: Callable[[], FleetConfig | None],
        bounds: Bounds,
        advice,
        features: Features = Features(),
    ) -> None:
        """Start without learned speeds and run times.

        `knows_all_runs` is set once all runs of earlier terms are known or have ended.
        `observe_wait` is called at each placement with the pool and how long the task
        waited. `interference` is None if that part is off.
        """
        self._dispatcher = dispatcher
        self._clock = clock
        self._config = config
        self._bounds = bounds
        self._features = features
        self._wake = threading.Event()
        self._applied_config: FleetConfig | None = None
        self.interference = InterferenceControl() if features.interference else None
        self._pacer = Pacer() if self.interference is None else self.interference.pacer
        self._next_pace_s = 0.0
        self._has_scheduled_jobs = False
        self._refusals: dict[QueueName, float] = {}
        self._workspace_refusals: dict[QueueName, dict[WorkspaceName, float]] = {}
        self._refusals_until_s = 0.0
        self.knows_all_runs = False
        self.max_runs_per_job = count_stoppable_runs(bounds)
        self.workspaces = WorkspaceControl(
            dispatcher, config, bounds, features.workspace_shares
        )
        self._silent: list[WorkerView] | None = None
        self._logged_unheard: set[WorkerId] = set()
        self.service_order = ServiceOrder() if features.overload_order else None
        self._order_log = OrderLog()
        self.admission = (
            AdmissionDuty(dispatcher, clock, config, features.overload_order)
            if features.predictive_admission
            else None
        )
        self.speeds = WorkerSpeeds()
        self.run_times = RunTimes()
        self.tickets = TicketCache(
            advice, ThreadPoolExecutor(1, "advice"), clock, self.wake
        )
        self.observe_wait: Callable[[str, float], None] = lambda pool, waited_s: None
        self.rounds = 0

    def wake(self) -> None:
        """Request a placement round."""
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Place tasks until stopped."""
        while not stop.is_set():
            self._wake.wait(
                DUE_INTERVAL_S if self._has_scheduled_jobs else IDLE_INTERVAL_S
            )
            self._wake.clear()
            if stop.is_set():
                return
            if self._dispatcher.term_valid() and self._dispatcher.ready.is_set():
                begun_s = self._clock.monotonic_s()
                self._round()
                took_s = self._clock.monotonic_s() - begun_s
                self._clock.wait(stop, REST_FACTOR * took_s)
            self._clock.wait(stop, MIN_INTERVAL_S)

    def predict_work(self, job: Job) -> None:
        """Set the predicted critical path of a new job, and so its deadline."""
        job.critical_path_ms = self.run_times.critical_path_ms(job.spec)
        tasks = count_separate_tasks(job.spec)
        if tasks > self.max_runs_per_job:
            _LOGGER.info(
                "dispatch: a job runs in parts that can be stopped in time",
                extra={
                    "job": job.spec.job,
                    "tasks": tasks,
                    "max_runs": self.max_runs_per_job,
                },
            )

    def learn_run(self, job: Job, task: Task, now_s: float) -> None:
        """Record the duration of a successful run for speed and run time estimates.

        It is measured from `acked_s`, so for a run that an earlier term started only
        from its first report in this term.
        """
        if task.worker is not None and task.acked_s is not None:
            took_s = now_s - task.acked_s
            self.speeds.learn(task, took_s)
            self.run_times.learn(job.spec.queue, task.spec, took_s * 1000)

    def refusals(self) -> dict[QueueName, float]:
        """Return the queues that refuse jobs, with the seconds after which to retry."""
        config = self._config()
        if config is None:
            return {}
        with self._dispatcher.lock:
            now_s = self._clock.monotonic_s()
            if now_s >= self._refusals_until_s:
                self._refusals = refusals(
                    config,
                    self.active_jobs(),
                    self.cores(),
                    now_s,
                    self._dispatcher.fleet.fetchable_cores(),
                )
                self._workspace_refusals = self.workspaces.refusals(
                    self._expected_waits_s, now_s
                )
                self._refusals_until_s = now_s + REFUSALS_VALID_S
            return self._refusals

    def workspace_refusals(self) -> dict[QueueName, dict[WorkspaceName, float]]:
        """Return, by queue, the workspaces that exceed their rate while others wait.

        The values are the seconds after which to retry.
        """
        self.refusals()
        return self._workspace_refusals

    def _expected_waits_s(self) -> dict[PoolName, float]:
        return expected_waits_s(
            self._config(),
            self.active_jobs(),
            self.cores(),
            self._clock.monotonic_s(),
            self._dispatcher.fleet.fetchable_cores(),
        )

    def active_jobs(self) -> list[Job]:
        """Return the jobs whose end is not stored."""
        tracker = self._dispatcher.tracker
        return [tracker.jobs[job_id] for job_id in tracker.active]

    def cores(self) -> dict[PoolName, float]:
        """Return the cores of each pool's workers that answered in this term."""
        cores: dict[PoolName, float] = {}
        for view in self._dispatcher.tracker.workers.values():
            if view.ordered_away_s is not None:
                continue
            if not view.is_draining and view.last_answer_s is not None:
                pool = view.worker.pool
                worker_cores = view.worker.capacity.cpu_millicores / 1000
                cores[pool] = cores.get(pool, 0.0) + worker_cores
        return cores

    def _round(self) -> None:
        self.rounds += 1
        dispatcher = self._dispatcher
        with dispatcher.lock:
            now_s = self._clock.monotonic_s()
            self._apply_config()
            jobs = self.active_jobs()
            self._create_due_tasks(jobs)
            dispatcher.inherited_starts.settle(now_s)
            may_start = self._startable(now_s)
            tracker = dispatcher.tracker
            tracker.crashes.start_wait_of_inherited(may_start, now_s)
            starts = []
            jobs = due_jobs(jobs)
            candidates = self._candidates({job.config.pool for job in jobs}, now_s)
            gate = self.start_gate(now_s)
            order = self._order(jobs, candidates, now_s)
            plan = partial(plan_placements, policy=self._policy(gate, order))
            for placement in self.tickets.place(
                jobs, candidates, now_s, may_start, plan
            ):
                self._record_interference(placement)
                starts.append(self._start_run(placement.task, placement.worker, now_s))
            self.workspaces.record_round(gate, now_s)
            pace_changes = self._pace_changes(now_s)
            stops = self._moves(now_s)
        dispatcher.send_stops(stops)
        for session, item in [*starts, *pace_changes]:
            if isinstance(item, StartTask):
                session.orders.start(item)
            else:
                session.orders.pace(item)

    def start_gate(self, now_s: float) -> WorkspaceLimits:
        """Return what the limits of workspaces allow to start now."""
        return self.workspaces.start_gate(self._silent, now_s)

    def demand_gate(self, now_s: float) -> StartGate | None:
        """Return what limits allow to start now, None if no workspace is limited."""
        gate = self.start_gate(now_s)
        return gate if self.workspaces.limits else None

    def _order(
        self,
        jobs: list[Job],
        candidates: dict[PoolName, list[CandidateWorker]],
        now_s: float,
    ) -> JobOrder:
        """Return the order of jobs in one round, by workspace and then by job."""
        if self.service_order is None:
            return self.workspaces.order(prioritize_jobs, jobs, candidates)
        self.service_order.begin_round(jobs, rooms_of(candidates), now_s)
        self._order_log.write(self.service_order, now_s)
        return self.workspaces.order(self.service_order.order, jobs, candidates)

    def try_round(self, job: Job, now_s: float) -> TrialRound:
        """Return a placement round with one more job, of which nothing is started.

        Its candidates are copies, and it requests no tickets. The caller holds the
        lock, and calls this on a copy of the planner.
        """
        if job.spec.times:
            job.create_due_occurrences(self._clock.now_s() * 1000)
        may_start, gate = self._startable(now_s), self.start_gate(now_s)
        jobs = due_jobs([*self.active_jobs(), job])
        pools = {job.config.pool for job in [*jobs, job]}
        candidates = self._candidates(pools, now_s)
        policy = self._policy(gate, self._order(jobs, candidates, now_s))
        plan = partial(plan_placements, policy=policy)
        tickets = self.tickets.without_requests()
        placements = tickets.place(jobs, candidates, now_s, may_start, plan)
        return TrialRound(placements, candidates, may_start, policy)

    def _policy(self, gate: StartGate, order: JobOrder) -> PlacementPolicy:
        """Return the placement policy of one round."""
        if self.interference is None:
            return PlacementPolicy(order, gate, max_runs_per_job=self.max_runs_per_job)
        harm = self.interference.begin_round(self._clock.monotonic_s())
        return PlacementPolicy(order, gate, harm.neighbor_cost, self.max_runs_per_job)

    def _record_interference(self, placement: Placement) -> None:
        if self.interference is not None:
            view = self._dispatcher.tracker.workers[placement.worker]
            self.interference.record_placement(placement.task, view.load)

    def _create_due_tasks(self, jobs: list[Job]) -> None:
        """Create the tasks of scheduled jobs whose time has come."""
        timed = [job for job in jobs if job.spec.times]
        self._has_scheduled_jobs = bool(timed)
        wall_ms = self._clock.now_s() * 1000
        for job in timed:
            if job.create_due_occurrences(wall_ms):
                _LOGGER.info("dispatch: a job is due", extra={"job": job.spec.job})

    def _start_run(self, task: Task, worker, now_s: float) -> tuple:
        tracker = self._dispatcher.tracker
        job = tracker.jobs[task.key.job]
        run = tracker.next_run(task)
        if task.spec.is_gang:
            group = job.steps[task.key.occurrence, task.key.step]
            run = max(run, *(member.run for member in group))
            if any(m.worker is None for m in group if m is not task):
                run = max(run, *(tracker.next_run(member) for member in group))
        view = tracker.workers[worker]
        tracker.record_order(task, view, run, now_s)
        _LOGGER.info(
            "dispatch: placed",
            extra={
                "task": task.key.name,
                "run": run,
                "worker": worker,
                "waited_ms": round((now_s - task.waiting_since_s) * 1000),
                "failures": task.failures,
                "crashes": task.crashes.total,
                "free_millicores": view.free().cpu_millicores,
                **self._describe_choice(job, task, view),
            },
        )
        self.observe_wait(job.config.pool, now_s - task.waiting_since_s)
        ticket = self.tickets.ticket(task, view.worker)
        version = job.pools_version
        if task.run_at_risk is not None or job.stores_starts:
            version = tracker.versions[job.spec.job]
        return self._dispatcher.sessions[worker], StartTask(
            task, run, job.spec.payload, version, ticket
        )

    def _describe_choice(self, job: Job, task: Task, view: WorkerView) -> dict:
        """Return what the choice of a worker relied on, for the log.

        `born` is the start time of the worker's incarnation. `list_age_ms` is the age
        of the worker list, which tells pool and labels. `of_step` is how many
        runs of the step are known to be on the worker with this one, for a step with
        a limit per worker.
        """
        worker, list_age_s = view.worker, self._dispatcher.worker_list_age_s()
        fields = {
            "config": self._applied_config.version if self._applied_config else None,
            "queue": job.spec.queue,
            "pool": worker.pool,
            "born": worker.started_ms,
            "list_age_ms": round(list_age_s * 1000) if isfinite(list_age_s) else None,
        }
        if task.spec.required_label:
            fields["required_label"] = task.spec.required_label
            fields["labels"] = sorted(worker.labels)
        if task.spec.max_per_worker:
            fields["of_step"] = view.load.runs_per_step[step_key(task)]
            fields["max_per_worker"] = task.spec.max_per_worker
        return fields

    def _apply_config(self) -> None:
        config = self._config()
        if config is None or config is self._applied_config:
            return
        self._applied_config = config
        queues: dict[QueueName, QueueConfig] = {q.queue: q for q in config.queues}
        for job in self.active_jobs():
            queue = queues.get(job.spec.queue, job.config)
            self._dispatcher.tracker.apply_config(job, queue)
        self._dispatcher.notify_changed()

    def _candidates(
        self, pools: set[PoolName], now_s: float
    ) -> dict[PoolName, list[CandidateWorker]]:
        candidates: dict[PoolName, list[CandidateWorker]] = {}
        pools = {pool for pool in pools if self._dispatcher.knows_capacity(pool)}
        if not pools:
            return candidates
        tracker = self._dispatcher.tracker
        has_suspects = tracker.crashes.has_suspects(tracker.active)
        avoided = {}
        if self.interference is not None:
            avoided = self.interference.relocator.avoided_steps(now_s)
        for view in tracker.workers.values():
            if view.worker.pool not in pools or not view.is_usable(now_s, SILENT_S):
                continue
            candidate = view.as_candidate(
                now_s,
                is_slow=self.speeds.is_slow(view.worker.worker),
                leaves_soon=self._dispatcher.fleet.leaves_soon(view),
                has_suspects=has_suspects,
            )
            candidate.avoided_steps = avoided.get(view.worker.worker, frozenset())
            session = self._dispatcher.sessions.get(view.worker.worker)
            if session is not None:
                candidate.free_starts = session.orders.free_starts
            candidates.setdefault(view.worker.pool, []).append(candidate)
        return candidates

    def _startable(self, now_s: float) -> Callable[[Job], bool]:
        """Return a filter for the jobs that may start now."""
        may_start = self._hold_back_new_jobs(self._may_start(now_s), now_s)
        may_start = self._hold_back_in_new_pools(may_start)
        return self._hold_back_while_store_fails(may_start)

    def _may_start(self, now_s: float) -> Callable[[Job], bool]:
        """Return a filter for the jobs that may start.

        Inherited jobs are held back while a worker that has not answered in this
        term may still run one of their tasks, at most until the dispatcher's
        `inherited_runs_end_s`, and while one has not listed all ends of their tasks.
        Of a job that stores its starts, only the tasks wait that were started on such a
        worker; see `InheritedStarts`.
        """
        dispatcher = self._dispatcher
        silent: list[WorkerView] | None = None
        if not self.knows_all_runs:
            silent = self._silent_workers()
            unheard = len(silent or ())
            if dispatcher.term_confirmed_s() >= dispatcher.inherited_runs_end_s:
                silent = [view for view in silent or () if view.may_lack_ends]
            self.knows_all_runs = silent is not None and not silent
            if self.knows_all_runs:
                _LOGGER.info(
                    "dispatch: all runs of earlier terms are known",
                    extra={
                        "unheard_workers": unheard,
                        "token": dispatcher.tracker.token,
                    },
                )
        self._silent = [] if self.knows_all_runs else silent
        if self.knows_all_runs:
            return lambda job: True
        self._log_unheard(silent or [], now_s)
        if silent is None:
            tells_all_runs = dispatcher.inherited_starts.tells_all_runs
            return lambda job: not job.is_inherited or tells_all_runs(job)
        return self._hold_back_jobs_on(silent)

    def _log_unheard(self, silent: list[WorkerView], now_s: float) -> None:
        """Log once each worker for which jobs of earlier terms wait."""
        left_s = self._dispatcher.inherited_runs_end_s - now_s
        for view in silent:
            worker = view.worker
            is_new = now_s - view.first_seen_s < LOGGED_WAIT_S
            if is_new or worker.worker in self._logged_unheard:
                continue
            self._logged_unheard.add(worker.worker)
            _LOGGER.info(
                "dispatch: jobs of earlier terms wait for a worker",
                extra={
                    "unheard_worker": worker.worker,
                    "vm": worker.vm,
                    "pool": worker.pool,
                    "born": worker.started_ms,
                    "reason": "ends are missing" if view.may_lack_ends else "silent",
                    "lease_left_ms": round(left_s * 1000),
                },
            )

    def _hold_back_new_jobs(
        self, may_start: Callable[[Job], bool], now_s: float
    ) -> Callable[[Job], bool]:
        """Return a filter that also holds back jobs that a successor may run."""
        confirmed_s = self._dispatcher.term_confirmed_s()
        return lambda job: may_start(job) and not may_be_of_successor(
            job.added_s, confirmed_s, now_s
        )

    def _hold_back_in_new_pools(
        self, may_start: Callable[[Job], bool]
    ) -> Callable[[Job], bool]:
        """Return a filter that also holds back jobs whose new pool is not stored yet.

        On a worker, their orders would delay those of other jobs.
        """
        stored_versions = self._dispatcher.tracker.stored_versions
        return lambda job: (
            may_start(job) and stored_versions[job.spec.job] >= job.pools_version
        )

    def _hold_back_while_store_fails(
        self, may_start: Callable[[Job], bool]
    ) -> Callable[[Job], bool]:
        """Return a filter that also holds back jobs whose starts could not be stored.

        On a worker, their orders would delay those of other jobs.
        """
        if not self._dispatcher.is_store_failing():
            return may_start
        return lambda job: (
            may_start(job) and not (job.stores_starts or job.is_inherited)
        )

    def _hold_back_jobs_on(self, silent: list[WorkerView]) -> Callable[[Job], bool]:
        """Return a filter that holds back inherited jobs a silent worker may run.

        If the last dispatcher ended its term gracefully, its handoff record lists the
        tasks of each worker and its jobs with ends not yet stored. Without one, every
        inherited job that may have runs in the worker's pool is held back.
        """
        handoff = self._dispatcher.handoff
        inherited_starts = self._dispatcher.inherited_starts
        if handoff is None:
            pools = {view.worker.pool for view in silent}
            return lambda job: (
                not job.is_inherited
                or inherited_starts.tells_all_runs(job)
                or pools.isdisjoint(job.pools)
            )
        blocked_jobs = {
            name.partition(".")[0]
            for view in silent
            for name in handoff.get(view.worker.worker, ())
            if not inherited_starts.has_stored_start(name)
        }
        return lambda job: not job.is_inherited or job.spec.job not in blocked_jobs

    def _silent_workers(self) -> list[WorkerView] | None:
        """Return the workers of which not all runs and ends are known in this term.

        Return None if not all workers are known.
        """
        dispatcher = self._dispatcher
        views = dispatcher.tracker.workers
        if not dispatcher.worker_list_read:
            return None
        if not dispatcher.fleet.knows_all_workers(views):
            return None
        return [
            view
            for view in views.values()
            if (view.last_answer_s is None or view.may_lack_ends)
            and dispatcher.fleet.may_have_runs(view)
        ]

    def _moves(self, now_s: float) -> list[StopOrder]:
        """Stop a filling task that would do less harm on another worker."""
        if self.interference is None or not self.knows_all_runs:
            return []
        tracker = self._dispatcher.tracker
        task = self.interference.choose_move(
            tracker,
            lambda pool: self._candidates({pool}, now_s).get(pool, []),
            now_s,
        )
        order = None if task is None else tracker.stop(task)
        return [] if order is None else [order]

    def _pace_changes(self, now_s: float) -> list[tuple]:
        if now_s < self._next_pace_s:
            return []
        self._next_pace_s = now_s + PACE_INTERVAL_S
        items: list[tuple] = []
        workers = self._dispatcher.tracker.workers
        if self.interference is not None:
            self.interference.observe(workers, self.speeds.is_slow, now_s)
        for view in workers.values():
            session = self._dispatcher.sessions.get(view.worker.worker)
            if session is None:
                continue
            for task, percent in self._pacer.decide(view.tasks.values(), now_s):
                task.pace, task.is_pace_known = percent, True
                items.append((session, PaceTask(task.key, task.run, percent)))
        return items
