"""Cache advice tickets for queues whose policy allows only some workers.

The advice service decides which workers may run the tasks of a step and returns a
ticket for each of them, which the start order carries to the worker.
"""

import logging
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass

from jayshunt.clock import Clock
from jayshunt.dispatch.free_capacity import CandidateWorker, StepKey, step_key
from jayshunt.dispatch.placing import Placement
from jayshunt.dispatch.tasks import Job, Task
from jayshunt.errors import JayshuntError
from jayshunt.ids import PoolName, WorkerId

_LOGGER = logging.getLogger(__name__)

# Limits the workers per request, as more of them make the answer slower.
WORKERS_PER_REQUEST = 30
ASK_TIMEOUT_S = 2.5
# A ticket that expires within this time is no longer used.
VALID_MARGIN_S = 0.4
ASK_INTERVAL_S = 0.5


@dataclass(slots=True)
class _Tickets:
    by_worker: dict[WorkerId, str]
    until_s: float
    is_asking: bool = False
    ask_after_s: float = 0.0


class TicketCache:
    """Request tickets from the advice service and cache them by step and worker."""

    def __init__(
        self,
        advice,
        executor: Executor,
        clock: Clock,
        notify_changed: Callable[[], None],
    ) -> None:
        """Initialize an empty cache."""
        self._advice = advice
        self._executor = executor
        self._clock = clock
        self._notify_changed = notify_changed
        self._tickets: dict[StepKey, _Tickets] = {}

    def ticket(self, task: Task, worker: WorkerId) -> str:
        """Return the ticket to start a task on a worker, or "" if there is none."""
        tickets = self._tickets.get(step_key(task))
        return "" if tickets is None else tickets.by_worker.get(worker, "")

    def without_requests(self) -> "TicketCache":
        """Return a copy that places with the present tickets and requests none."""
        cache = TicketCache(None, self._executor, self._clock, lambda: None)
        cache._tickets = dict(self._tickets)
        return cache

    def place(
        self,
        jobs: list[Job],
        candidates: dict[PoolName, list[CandidateWorker]],
        now_s: float,
        may_start: Callable[[Job], bool],
        plan: Callable,
    ) -> list[Placement]:
        """Plan placements: first of queues without advice, then of the others.

        A step of a queue with advice is placed once there are valid tickets for it, and
        only on the workers that have one. `plan` is `plan_placements`.
        """
        free = [job for job in jobs if job.config.advice is None]
        placements = plan(free, candidates, now_s, may_start)
        for job in jobs:
            if job.config.advice is None or not may_start(job):
                continue
            placements += self._place_advised(job, candidates, now_s, plan)
        return placements

    def _place_advised(
        self,
        job: Job,
        candidates: dict[PoolName, list[CandidateWorker]],
        now_s: float,
        plan: Callable,
    ) -> list[Placement]:
        pool_candidates = candidates.get(job.config.pool, [])
        placements: list[Placement] = []
        for key in sorted({step_key(task) for task in job.ready_tasks()}):
            tickets = self._tickets.get(key)
            if tickets is None or now_s >= tickets.until_s - VALID_MARGIN_S:
                self._request_if_due(key, pool_candidates, now_s)
                continue
            allowed = [
                candidate
                for candidate in pool_candidates
                if candidate.worker.worker in tickets.by_worker
            ]
            pools = {job.config.pool: allowed}
            placements += plan([job], pools, now_s, only_step=key)
        return placements

    def _request_if_due(
        self, key: StepKey, candidates: list[CandidateWorker], now_s: float
    ) -> None:
        tickets = self._tickets.setdefault(key, _Tickets({}, 0.0))
        if tickets.is_asking or now_s < tickets.ask_after_s or not candidates:
            return
        if self._advice is None:
            return
        best = sorted(candidates, key=lambda candidate: -candidate.free.cpu_millicores)
        workers = tuple(r.worker.worker for r in best[:WORKERS_PER_REQUEST])
        tickets.is_asking = True
        self._executor.submit(self._request, key, workers)

    def _request(self, key: StepKey, workers: tuple[WorkerId, ...]) -> None:
        tickets = self._tickets[key]
        job, occurrence, step = key
        sent_s = self._clock.monotonic_s()
        tickets.ask_after_s = sent_s + ASK_INTERVAL_S
        try:
            found, valid_s = self._advice.ask(
                f"{job}.{occurrence}.{step}", workers, ASK_TIMEOUT_S
            )
            tickets.by_worker = found
            tickets.until_s = sent_s + valid_s
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: advice request failed",
                extra={"job": job, "step": step, "reason": str(error)},
            )
        finally:
            tickets.is_asking = False
        self._notify_changed()
