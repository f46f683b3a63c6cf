"""Cache advice tickets for queues whose policy allows only some workers.

The advice service decides which workers may run the tasks of a step and returns a
ticket for each of them, which the start order carries to the worker. A pool may have
more workers than one request names, and the policy may allow only a few of them, so
that requests go on until each worker that has room was named.
"""

import logging
from collections.abc import Callable, Iterable
from concurrent.futures import Executor
from dataclasses import dataclass, field

from jayshunt.clock import Clock
from jayshunt.dispatch.free_capacity import CandidateWorker, StepKey, fits, step_key
from jayshunt.dispatch.models import StepSpec, Worker
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
# Pause after a request that failed or whose tickets cannot be used.
ASK_INTERVAL_S = 0.5
# A worker that the policy does not allow is named again after this time.
NOT_ALLOWED_VALID_S = 10.0
# Steps of which no task was ready for this long are forgotten, checked as steps are
# added beyond this number.
UNUSED_S = 60.0
MAX_STEPS = 2_000

# A ticket holds for one incarnation of a worker.
Incarnation = tuple[WorkerId, int]


def incarnation_of(worker: Worker) -> Incarnation:
    """Return what tells an incarnation of a worker from the others."""
    return (worker.worker, worker.started_ms)


@dataclass(frozen=True, slots=True)
class Decision:
    """Represent the answer for one worker: its ticket, "" if it is not allowed.

    It may be used until `until_s`; after that the worker is named again.
    """

    ticket: str
    until_s: float


@dataclass(slots=True)
class StepTickets:
    """Track what is known of the workers that may run a step.

    `decisions` is replaced as a whole, because requests end in another thread.
    """

    decisions: dict[Incarnation, Decision] = field(default_factory=dict)
    is_asking: bool = False
    ask_after_s: float = 0.0
    used_s: float = 0.0

    def ticket(self, worker: Worker, now_s: float) -> str:
        """Return the valid ticket of a worker, "" if there is none."""
        decision = self.decisions.get(incarnation_of(worker))
        if decision is None or now_s >= decision.until_s - VALID_MARGIN_S:
            return ""
        return decision.ticket

    def is_due(self, worker: Worker, now_s: float) -> bool:
        """Return whether the advice service is to be asked about a worker."""
        decision = self.decisions.get(incarnation_of(worker))
        if decision is None:
            return True
        margin_s = VALID_MARGIN_S if decision.ticket else 0.0
        return now_s >= decision.until_s - margin_s

    def choose_next(
        self,
        step: StepSpec,
        key: StepKey,
        candidates: Iterable[CandidateWorker],
        now_s: float,
    ) -> tuple[Worker, ...]:
        """Return the workers to name in the next request, in order.

        Of those with room for the step, workers known to be allowed come first, then
        those that were never named. Workers without room are named only while no
        ticket is valid, so that a task can start as soon as there is room.
        """
        due = [c for c in candidates if self.is_due(c.worker, now_s)]
        with_room = [c for c in due if fits(step, c, key)]
        if not with_room and self._has_valid_ticket(now_s):
            return ()
        chosen = sorted(with_room or due, key=self._rank)
        return tuple(c.worker for c in chosen[:WORKERS_PER_REQUEST])

    def record_answer(
        self,
        workers: Iterable[Worker],
        tickets: dict[WorkerId, str],
        sent_s: float,
        valid_s: float,
    ) -> None:
        """Record the answer to a request that named `workers`."""
        if valid_s <= VALID_MARGIN_S:
            self.ask_after_s = sent_s + ASK_INTERVAL_S
        found: dict[Incarnation, Decision] = {}
        for worker in workers:
            ticket = tickets.get(worker.worker, "")
            kept_s = valid_s if ticket else NOT_ALLOWED_VALID_S
            found[incarnation_of(worker)] = Decision(ticket, sent_s + kept_s)
        self.decisions = {**self.decisions, **found}

    def drop(self, worker: Worker) -> None:
        """Forget the ticket of a worker, which refused it."""
        key = incarnation_of(worker)
        self.decisions = {k: d for k, d in self.decisions.items() if k != key}

    def _has_valid_ticket(self, now_s: float) -> bool:
        return any(
            decision.ticket and now_s < decision.until_s - VALID_MARGIN_S
            for decision in self.decisions.values()
        )

    def _rank(self, candidate: CandidateWorker) -> tuple:
        decision = self.decisions.get(incarnation_of(candidate.worker))
        is_allowed = decision is not None and bool(decision.ticket)
        asked_order = 0.0 if decision is None else decision.until_s
        return (not is_allowed, asked_order, -candidate.free.cpu_millicores)


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
        self._tickets: dict[StepKey, StepTickets] = {}

    def ticket(self, task: Task, worker: Worker) -> str:
        """Return the ticket to start a task on a worker, or "" if there is none."""
        tickets = self._tickets.get(step_key(task))
        if tickets is None:
            return ""
        return tickets.ticket(worker, self._clock.monotonic_s())

    def drop(self, task: Task, worker: Worker) -> None:
        """Forget a ticket that a worker refused, so that it is requested again."""
        tickets = self._tickets.get(step_key(task))
        if tickets is not None:
            tickets.drop(worker)

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
        ready = [step_key(task) for task in job.ready_tasks()]
        for key in sorted(set(ready)):
            tickets = self._step_tickets(key, now_s)
            allowed = [c for c in pool_candidates if tickets.ticket(c.worker, now_s)]
            found: list[Placement] = []
            if allowed:
                found = plan([job], {job.config.pool: allowed}, now_s, only_step=key)
            placements += found
            if len(found) < ready.count(key):
                step = job.spec.steps[key[2]]
                workers = tickets.choose_next(step, key, pool_candidates, now_s)
                self._request_if_due(key, tickets, workers, now_s)
        return placements

    def _step_tickets(self, key: StepKey, now_s: float) -> StepTickets:
        tickets = self._tickets.get(key)
        if tickets is None:
            self._forget_unused(now_s)
            tickets = self._tickets[key] = StepTickets()
        tickets.used_s = now_s
        return tickets

    def _forget_unused(self, now_s: float) -> None:
        if len(self._tickets) < MAX_STEPS:
            return
        for key, tickets in list(self._tickets.items()):
            if now_s - tickets.used_s > UNUSED_S:
                del self._tickets[key]

    def _request_if_due(
        self,
        key: StepKey,
        tickets: StepTickets,
        workers: tuple[Worker, ...],
        now_s: float,
    ) -> None:
        if tickets.is_asking or now_s < tickets.ask_after_s or not workers:
            return
        if self._advice is None:
            return
        tickets.is_asking = True
        self._executor.submit(self._request, key, tickets, workers)

    def _request(
        self, key: StepKey, tickets: StepTickets, workers: tuple[Worker, ...]
    ) -> None:
        job, occurrence, step = key
        sent_s = self._clock.monotonic_s()
        try:
            found, valid_s = self._advice.ask(
                f"{job}.{occurrence}.{step}",
                tuple(worker.worker for worker in workers),
                ASK_TIMEOUT_S,
            )
            tickets.record_answer(workers, found, sent_s, valid_s)
        except JayshuntError as error:
            tickets.ask_after_s = sent_s + ASK_INTERVAL_S
            _LOGGER.info(
                "dispatch: advice request failed",
                extra={"job": job, "step": step, "reason": str(error)},
            )
        finally:
            tickets.is_asking = False
        self._notify_changed()
