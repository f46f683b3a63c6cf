"""Send the orders for one worker: to start, stop and pace runs."""

import logging
import threading
from collections import deque

from jayshunt.dispatch.const import ORDER_TIMEOUT_S, STORED_START_VALID_S
from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.free_capacity import step_key
from jayshunt.dispatch.messages import PaceTask, SessionContext, StartTask, WorkerApi
from jayshunt.dispatch.models import OrderAnswer, OrderRefusal, StartOrder, TaskKey
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.task_loop import Signal, Steps, Wait

_LOGGER = logging.getLogger(__name__)

# A stop order is repeated if the run is still reported after this time.
STOP_REPEAT_S = 0.8
# No runs are placed on a worker for this long after it refused a start because it had
# no capacity or its lease had expired.
NO_CAPACITY_PAUSE_S = 0.15
UNANSWERED_PAUSE_S = 0.6
UNHEALTHY_PAUSE_S = 2.0
# A task whose start must be stored is placed again if that takes longer.
STORE_WAIT_S = 0.6

Order = StartTask | StopOrder | PaceTask


class OrderSender:
    """Queue the orders for one incarnation of a worker, and send them one by one.

    Orders may be queued from any thread. Two orders in flight could overtake each
    other, a stop its own start.
    """

    def __init__(
        self, view: WorkerView, worker_api: WorkerApi, context: SessionContext
    ) -> None:
        """Initialize the sender without orders."""
        self._view = view
        self._worker_api = worker_api
        self._context = context
        self._queued: deque[Order] = deque()
        self._lock = threading.Lock()
        self._is_sending = False
        self._stops_sent: dict[tuple[TaskKey, int], float] = {}
        self._unanswered_until_s = 0.0
        self._stored = Signal()
        self._start_queued_s = 0.0

    def notify_stored(self) -> None:
        """Signal that the progress of jobs was stored."""
        self._stored.set()

    def start(self, item: StartTask) -> None:
        """Queue a start order."""
        self._start_queued_s = self._context.clock.monotonic_s()
        self._queue(item)

    def pace(self, item: PaceTask) -> None:
        """Queue a change of a run's speed."""
        self._queue(item)

    def stop(self, order: StopOrder) -> None:
        """Queue a stop order unless the same one was queued within STOP_REPEAT_S."""
        now_s = self._context.clock.monotonic_s()
        key = (order.task, order.run)
        sent_s = self._stops_sent.get(key)
        if sent_s is not None and now_s - sent_s < STOP_REPEAT_S:
            return
        if len(self._stops_sent) > 1000:
            self._stops_sent.clear()
        self._stops_sent[key] = now_s
        self._queue(order)

    def _queue(self, order: Order) -> None:
        """Queue an order, and send the queued ones in the background.

        The orders of a worker are sent one after the other, in the order of the calls.
        """
        with self._lock:
            self._queued.append(order)
            if self._is_sending:
                return
            self._is_sending = True
        self._context.spawn(self._send_queued)

    def _send_queued(self) -> Steps:
        while (order := self._take_order()) is not None:
            try:
                yield from self._send_order(order)
            except Exception as error:
                _LOGGER.exception(
                    "dispatch: unexpected error while sending an order to %s",
                    self._view.worker.worker,
                )
                if isinstance(order, StartTask):
                    self._handle_start_error(order, _unexpected(error))

    def _take_order(self) -> Order | None:
        """Return the next order; None ends the sending until another is queued."""
        with self._lock:
            if self._queued and not self._view.is_ended:
                return self._queued.popleft()
            self._is_sending = False
            return None

    def _send_order(self, order: Order) -> Steps:
        match order:
            case StartTask():
                yield from self._send_start(order)
            case StopOrder():
                yield from self._send_stop(order)
            case PaceTask():
                yield from self._send_pace(order)

    def _send_start(self, item: StartTask) -> Steps:
        yield from self._wait_until_stored(item)
        order = self._prepare_start(item)
        if order is None:
            self._context.notify_changed()
            return
        context, task = self._context, item.task
        least_clock_ms = self._view.least_clock_ms(context.clock.monotonic_s())
        try:
            answer = yield from self._worker_api.start(order, ORDER_TIMEOUT_S)
        except JayshuntError as error:
            self._handle_start_error(item, error)
            return
        with context.lock:
            now_s = context.clock.monotonic_s()
            self._check_clock(answer.clock_ms, least_clock_ms, now_s)
            if answer.refusal is None:
                context.tracker.counts["started"] += 1
                context.tracker.record_start_accepted(task, item.run, now_s)
                return
            self._handle_start_refusal(item, answer, now_s)
        _LOGGER.info(
            "dispatch: a start was refused",
            extra={
                "task": task.key.name,
                "run": item.run,
                "worker": self._view.worker.worker,
                "reason": answer.refusal.value,
            },
        )
        if answer.refusal is OrderRefusal.FENCED:
            context.on_deposed(f"worker {self._view.worker.worker} saw a later term")
        context.notify_changed()

    def _wait_until_stored(self, item: StartTask) -> Steps:
        """Wait until the start of a task is stored, if that is required.

        Otherwise a crash is not counted if this term ends before it is seen. The wait
        ends STORE_WAIT_S after the last start was queued, so that several starts do not
        delay the orders behind them one after the other. It does not count from the
        placement, because a round over many workers may take longer.
        """
        context = self._context
        if self._is_stored(item):
            return
        end_s = self._start_queued_s + STORE_WAIT_S
        context.waiting_for_store.add(self)
        context.notify_changed()
        try:
            while True:
                self._stored.clear()
                left_s = end_s - context.clock.monotonic_s()
                if self._is_stored(item) or left_s <= 0:
                    return
                yield Wait(self._stored, left_s)
        finally:
            context.waiting_for_store.discard(self)

    def _is_stored(self, item: StartTask) -> bool:
        stored_versions = self._context.tracker.stored_versions
        return stored_versions[item.task.key.job] >= item.stored_version

    def _prepare_start(self, item: StartTask) -> StartOrder | None:
        """Return the start order, or None if the run should no longer be started."""
        context, view, task = self._context, self._view, item.task
        with context.lock:
            if task.run != item.run or task.phase is not TaskPhase.ORDERED:
                return None
            now_s = context.clock.monotonic_s()
            job = context.tracker.jobs[task.key.job]
            until_ms = view.lease_until_ms(now_s, context.lease_s)
            reason = self._reason_to_withhold(item, now_s)
            if reason is not None:
                self._withhold_start(item, reason, now_s)
                return None
            if (
                job.state.is_final
                or view.is_ended
                or view.is_draining
                or until_ms is None
                or not context.term_valid()
            ):
                context.tracker.record_not_started(task, item.run, now_s)
                return None
            view.record_lease(until_ms)
            context.tracker.record_sent(task, now_s)
            checkpoint = task.checkpoint
        return StartOrder(
            task.key, item.run, item.payload, until_ms, checkpoint, item.ticket
        )

    def _reason_to_withhold(self, item: StartTask, now_s: float) -> str | None:
        """Return why no start is sent now although the task was placed, or None.

        A worker that left a start or a poll unanswered may be gone. A start that is
        sent to it all the same tells nothing, and its task waits for the lease to end.
        """
        if self._view.is_failing or now_s < self._unanswered_until_s:
            return "the worker does not answer"
        if self._view.is_over_capacity():
            return "the worker has no room left"
        if not self._context.knows_capacity(self._view.worker.pool):
            return "the worker's capacity may be outdated"
        job = self._context.tracker.jobs[item.task.key.job]
        # The members of a gang that were started already would wait for the others.
        pools = job.pools if item.task.spec.is_gang else {job.config.pool}
        exclusion = self._view.exclusion(item.task, pools)
        if exclusion is not None:
            return exclusion.value
        if not self._is_stored(item):
            return "the store does not know of the start"
        in_force_s = max(item.task.ordered_s, self._context.term_confirmed_s())
        if job.stores_starts and now_s - in_force_s > STORED_START_VALID_S:
            return "a successor may have read the start"
        return None

    def _withhold_start(self, item: StartTask, reason: str, now_s: float) -> None:
        """Return a task that was placed on the worker to waiting."""
        view, task = self._view, item.task
        job = self._context.tracker.jobs[task.key.job]
        _LOGGER.info(
            "dispatch: a start was withheld",
            extra={
                "task": task.key.name,
                "run": item.run,
                "worker": view.worker.worker,
                "reason": reason,
                "capacity": str(view.worker.capacity),
                "reserved": str(view.reserved()),
                "born": view.worker.started_ms,
                "pool": view.worker.pool,
                "queue_pool": job.config.pool,
                "labels": sorted(view.worker.labels),
                "required_label": task.spec.required_label,
                "of_step": view.load.runs_per_step[step_key(task)],
            },
        )
        self._context.tracker.counts["start_withheld"] += 1
        self._context.tracker.record_not_started(task, item.run, now_s)

    def _check_clock(
        self, clock_ms: int | None, least_clock_ms: int | None, now_s: float
    ) -> None:
        """Extend the worker's lease if another incarnation of it took the start.

        `least_clock_ms` is what the worker's clock showed at least when the start was
        sent.
        """
        if clock_ms is None or least_clock_ms is None or clock_ms >= least_clock_ms:
            return
        self._context.tracker.extend_lease_of_other(self._view, now_s)
        _LOGGER.info(
            "dispatch: the clock of a worker went back, another life took a start",
            extra={
                "worker": self._view.worker.worker,
                "born": self._view.worker.started_ms,
                "clock_ms": clock_ms,
                "least_clock_ms": least_clock_ms,
            },
        )

    def _handle_start_refusal(
        self, item: StartTask, answer: OrderAnswer, now_s: float
    ) -> None:
        context, view = self._context, self._view
        if answer.clock_ms is not None:
            view.record_clock(answer.clock_ms, now_s)
        match answer.refusal:
            case OrderRefusal.OTHER_INCARNATION:
                context.tracker.remove_worker(view, now_s, WorkerEnd.RESTARTED)
            case OrderRefusal.NO_CAPACITY | OrderRefusal.LEASE_EXPIRED:
                view.placement_paused_until_s = now_s + NO_CAPACITY_PAUSE_S
            case OrderRefusal.UNHEALTHY | OrderRefusal.OTHER:
                view.set_aside_until_s = now_s + UNHEALTHY_PAUSE_S
            case OrderRefusal.NO_TICKET:
                context.on_ticket_refused(item.task, view.worker)
        context.tracker.counts["start_refused"] += 1
        context.tracker.record_not_started(item.task, item.run, now_s)

    def _handle_start_error(self, item: StartTask, error: JayshuntError) -> None:
        context, view, task = self._context, self._view, item.task
        stop = None
        with context.lock:
            now_s = context.clock.monotonic_s()
            self._unanswered_until_s = now_s + UNANSWERED_PAUSE_S
            view.placement_paused_until_s = self._unanswered_until_s
            context.tracker.counts["start_unanswered"] += 1
            if error.outcome is Outcome.NOT_RUN:
                context.tracker.record_not_started(task, item.run, now_s)
            else:
                # The run may exist or the order may still arrive. Stopping the run also
                # makes the worker refuse a start order that arrives later.
                context.tracker.late_starts.record(
                    view.worker.worker, task.key, item.run, now_s
                )
                context.tracker.record_unanswered(view, now_s)
                if task.run == item.run and task.phase is TaskPhase.ORDERED:
                    stop = context.tracker.stop(task)
        _LOGGER.info(
            "dispatch: a start got no answer",
            extra={
                "task": task.key.name,
                "run": item.run,
                "worker": view.worker.worker,
                "reason": str(error),
            },
        )
        if stop is not None:
            self.stop(stop)
        context.notify_changed()

    def _send_stop(self, order: StopOrder) -> Steps:
        context = self._context
        if not context.term_valid():
            return
        try:
            answer = yield from self._worker_api.stop(
                order.task, order.run, ORDER_TIMEOUT_S
            )
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: a stop got no answer",
                extra={"task": order.task.name, "run": order.run, "reason": str(error)},
            )
            return
        if answer.refusal is OrderRefusal.FENCED:
            context.on_deposed(f"worker {self._view.worker.worker} saw a later term")
            return
        with context.lock:
            now_s = context.clock.monotonic_s()
            # The next life of a worker does not know what the former one accepted.
            if answer.refusal is None and not self._view.is_ended:
                context.tracker.record_stop_accepted(order, now_s)

    def _send_pace(self, item: PaceTask) -> Steps:
        context = self._context
        if not context.term_valid():
            return
        try:
            answer = yield from self._worker_api.pace(
                item.task, item.run, item.percent, ORDER_TIMEOUT_S
            )
            failure = None if answer.refusal is None else answer.refusal.value
        except JayshuntError as error:
            failure = str(error)
        if failure is None:
            return
        with context.lock:
            context.tracker.record_pace_unknown(item.task, item.run)
        _LOGGER.info(
            "dispatch: a change of pace failed",
            extra={"task": item.task.name, "reason": failure},
        )


def _unexpected(error: Exception) -> JayshuntError:
    """Return the error of an order that may have been sent."""
    return JayshuntError(
        "internal_error",
        step="worker.start",
        outcome=Outcome.UNKNOWN,
        detail=repr(error),
    )
