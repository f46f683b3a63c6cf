"""Place waiting tasks whenever something changed."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from jayshunt.clock import Clock
from jayshunt.dispatch.backlog import refusals
from jayshunt.dispatch.estimates import RunTimes
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.messages import PaceTask, StartTask
from jayshunt.dispatch.models import Bounds, FleetConfig, QueueConfig
from jayshunt.dispatch.pacing import Pacer
from jayshunt.dispatch.placing import plan_placements
from jayshunt.dispatch.rooms import WorkerRoom, due_jobs
from jayshunt.dispatch.speeds import WorkerSpeeds
from jayshunt.dispatch.tasks import Job, Task
from jayshunt.dispatch.tickets import TicketCache
from jayshunt.ids import PoolName, QueueName

_LOGGER = logging.getLogger(__name__)

MIN_INTERVAL_S = 0.008
# A round holds the lock that answers of workers need, so that it rests for this
# multiple of the time that it took.
REST_PART = 2.0
IDLE_INTERVAL_S = 0.5
# Every entry asks for the refusals 2.5 times a second; all get the same answer.
REFUSALS_VALID_S = 0.2
DUE_INTERVAL_S = 0.1
PACE_INTERVAL_S = 0.4
# A worker that did not answer for this long gets no new runs.
SILENT_S = 2.2


class Planner:
    """Own the rounds of placing, the pace of filling tasks and the refusals."""

    def __init__(
        self,
        dispatcher,
        clock: Clock,
        config: Callable[[], FleetConfig | None],
        bounds: Bounds,
        advice,
    ) -> None:
        """Start with nothing learned."""
        self._dispatcher = dispatcher
        self._clock = clock
        self._config = config
        self._bounds = bounds
        self._wake = threading.Event()
        self._seen_config: FleetConfig | None = None
        self._pacer = Pacer()
        self._next_pace_s = 0.0
        self._has_times = False
        self._refusals: dict[QueueName, float] = {}
        self._refusals_until_s = 0.0
        self.knows_all_runs = False
        self.speeds = WorkerSpeeds()
        self.run_times = RunTimes()
        self.tickets = TicketCache(
            advice, ThreadPoolExecutor(1, "advice"), clock, self.wake
        )
        self.observe_wait: Callable[[str, float], None] = lambda pool, waited_s: None
        self.rounds = 0

    def wake(self) -> None:
        """Ask for a round."""
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Place tasks until stopped."""
        while not stop.is_set():
            self._wake.wait(DUE_INTERVAL_S if self._has_times else IDLE_INTERVAL_S)
            self._wake.clear()
            if stop.is_set():
                return
            if self._dispatcher.term_valid() and self._dispatcher.ready.is_set():
                begun_s = self._clock.monotonic_s()
                self._round()
                took_s = self._clock.monotonic_s() - begun_s
                self._clock.wait(stop, REST_PART * took_s)
            self._clock.wait(stop, MIN_INTERVAL_S)

    def saw_job(self, job: Job) -> None:
        """Predict the work of a job that came in."""
        job.critical_path_ms = self.run_times.critical_path_ms(job.spec)

    def learn_run(self, job: Job, task: Task, now_s: float) -> None:
        """Learn from a run that ended well how fast its worker is."""
        if task.worker is not None and task.acked_s is not None:
            took_s = now_s - task.acked_s
            self.speeds.learn(task, took_s)
            self.run_times.learn(job.spec.queue, task.spec, took_s * 1000)

    def refusals(self) -> dict[QueueName, float]:
        """Return the queues that refuse jobs and when to come back, in seconds."""
        config = self._config()
        if config is None:
            return {}
        with self._dispatcher.lock:
            now_s = self._clock.monotonic_s()
            if now_s >= self._refusals_until_s:
                self._refusals = refusals(
                    config,
                    self._active_jobs(),
                    self._cores(),
                    now_s,
                    self._dispatcher.fleet.fetchable_cores(),
                )
                self._refusals_until_s = now_s + REFUSALS_VALID_S
            return self._refusals

    def _active_jobs(self) -> list[Job]:
        tracker = self._dispatcher.tracker
        return [tracker.jobs[job_id] for job_id in tracker.active]

    def _cores(self) -> dict[PoolName, float]:
        cores: dict[PoolName, float] = {}
        for view in self._dispatcher.tracker.workers.values():
            if not view.is_draining and view.last_answer_s is not None:
                pool = view.worker.pool
                free = view.worker.capacity.cpu_millicores / 1000
                cores[pool] = cores.get(pool, 0.0) + free
        return cores

    def _round(self) -> None:
        self.rounds += 1
        dispatcher = self._dispatcher
        with dispatcher.lock:
            now_s = self._clock.monotonic_s()
            self._follow_config()
            jobs = self._active_jobs()
            self._open_due(jobs)
            may_start = self._may_start(now_s)
            starts = []
            jobs = due_jobs(jobs)
            rooms = self._rooms({job.config.pool for job in jobs}, now_s)
            for placement in self.tickets.place(
                jobs, rooms, now_s, may_start, plan_placements
            ):
                starts.append(self._order(placement.task, placement.worker, now_s))
            paces = self._paces(now_s)
        for session, item in [*starts, *paces]:
            if isinstance(item, StartTask):
                session.start(item)
            else:
                session.pace(item)

    def _open_due(self, jobs: list[Job]) -> None:
        """Create the tasks of jobs that run at set times when they are due."""
        timed = [job for job in jobs if job.spec.times]
        self._has_times = bool(timed)
        wall_ms = self._clock.now_s() * 1000
        for job in timed:
            if job.create_due_occurrences(wall_ms):
                _LOGGER.info("dispatch: a job is due", extra={"job": job.spec.job})

    def _order(self, task: Task, worker, now_s: float) -> tuple:
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
                "free_millicores": view.free().cpu_millicores,
            },
        )
        self.observe_wait(job.config.pool, now_s - task.waiting_since_s)
        ticket = self.tickets.ticket(task, worker)
        return self._dispatcher.sessions[worker], StartTask(
            task, run, job.spec.payload, ticket
        )

    def _follow_config(self) -> None:
        config = self._config()
        if config is None or config is self._seen_config:
            return
        self._seen_config = config
        queues: dict[QueueName, QueueConfig] = {q.queue: q for q in config.queues}
        for job in self._active_jobs():
            job.config = queues.get(job.spec.queue, job.config)

    def _rooms(
        self, pools: set[PoolName], now_s: float
    ) -> dict[PoolName, list[WorkerRoom]]:
        rooms: dict[PoolName, list[WorkerRoom]] = {}
        if not pools:
            return rooms
        for view in self._dispatcher.tracker.workers.values():
            if view.worker.pool not in pools or not view.is_usable(now_s, SILENT_S):
                continue
            room = WorkerRoom(
                view.worker,
                view.free(),
                view.load.copy(),
                is_trusted=not view.failed_jobs,
                is_slow=self.speeds.is_slow(view.worker.worker),
                leaves_soon=self._dispatcher.fleet.leaves_soon(view),
            )
            rooms.setdefault(view.worker.pool, []).append(room)
        return rooms

    def _may_start(self, now_s: float) -> Callable[[Job], bool]:
        """Hold back inherited jobs while a run of an earlier term may exist unseen."""
        dispatcher = self._dispatcher
        silent: list[WorkerView] | None = None
        if not self.knows_all_runs:
            silent = self._silent_workers()
            self.knows_all_runs = now_s >= dispatcher.inherited_runs_end_s or (
                silent is not None and not silent
            )
            if self.knows_all_runs:
                _LOGGER.info("dispatch: all runs of earlier terms are known")
        if self.knows_all_runs:
            return lambda job: True
        if silent is None:
            return lambda job: not job.is_inherited
        return self._unless_on(silent)

    def _unless_on(self, silent: list[WorkerView]) -> Callable[[Job], bool]:
        """Hold back the inherited jobs that a silent worker may run.

        After an orderly end of the last term these are known by name, else they
        are all jobs of the worker's pool.
        """
        handoff = self._dispatcher.handoff
        if handoff is None:
            pools = {view.worker.pool for view in silent}
            return lambda job: not job.is_inherited or job.config.pool not in pools
        held = {
            name.partition(".")[0]
            for view in silent
            for name in handoff.get(view.worker.worker, ())
        }
        return lambda job: not job.is_inherited or job.spec.job not in held

    def _silent_workers(self) -> list[WorkerView] | None:
        """Return the workers that never answered this term, None if not all known."""
        dispatcher = self._dispatcher
        views = dispatcher.tracker.workers
        if not dispatcher.worker_list_read:
            return None
        if not dispatcher.fleet.knows_all_workers(views):
            return None
        return [
            view
            for view in views.values()
            if view.last_answer_s is None and dispatcher.fleet.is_present(view)
        ]

    def _paces(self, now_s: float) -> list[tuple]:
        if now_s < self._next_pace_s:
            return []
        self._next_pace_s = now_s + PACE_INTERVAL_S
        items: list[tuple] = []
        for view in self._dispatcher.tracker.workers.values():
            session = self._dispatcher.sessions.get(view.worker.worker)
            for task, percent in self._pacer.decide(view.tasks.values(), now_s):
                task.pace = percent
                items.append((session, PaceTask(task.key, task.run, percent)))
        return items
