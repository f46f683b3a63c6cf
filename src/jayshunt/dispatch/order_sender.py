"""Send the orders for one worker: to start, stop and pace runs."""

import logging
import threading
from collections.abc import Callable

from jayshunt.dispatch.const import ORDER_TIMEOUT_S, STORED_START_VALID_S
from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.free_capacity import step_key
from jayshunt.dispatch.messages import PaceTask, SessionContext, StartTask, WorkerApi
from jayshunt.dispatch.models import OrderAnswer, OrderRefusal, StartOrder
from jayshunt.dispatch.order_queue import (
    MAX_QUEUED_STARTS,
    Order,
    OrderQueue,
    RunKey,
    run_key,
)
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.task_loop import Signal, Steps, Wait

_LOGGER = logging.getLogger(__name__)

# A stop order is repeated if the run is still reported this long after it was sent, or
# after the time that stopping takes if the worker accepted it.
STOP_REPEAT_S = 0.8
# No runs are placed on a worker for this long after it refused a start because it had
# no capacity or its lease had expired.
NO_CAPACITY_PAUSE_S = 0.15
UNANSWERED_PAUSE_S = 0.6
UNHEALTHY_PAUSE_S = 2.0
# A task whose start must be stored is placed again if that takes longer.
STORE_WAIT_S = 0.6
# A worker gets another order in flight for each of these many that wait, up to a limit.
# With few orders, a connection to each worker suffices.
ORDERS_PER_LANE = 12
MAX_LANES = 8
# Times from which stops may be repeated are kept until there are this many, then those
# that are over are forgotten.
KEPT_REPEATS = 1_000


class OrderSender:
    """Queue the orders for one incarnation of a worker, and send them.

    Orders may be queued from any thread. They are sent by lanes, each of which sends
    one order after the other. The orders for a task keep their order.
    """

    def __init__(
        self, view: WorkerView, worker_api: WorkerApi, context: SessionContext
    ) -> None:
        """Initialize the sender without orders."""
        self._view = view
        self._worker_api = worker_api
        self._context = context
        self._queue = OrderQueue()
        self._lock = threading.Lock()
        self._lanes = 0
        self._repeat_from_s: dict[RunKey, float] = {}
        self._max_repeats = KEPT_REPEATS
        self._unanswered_until_s = 0.0
        self._changed = Signal()
        self._may_release = False

    @property
    def free_starts(self) -> int:
        """Return how many starts may be queued."""
        return MAX_QUEUED_STARTS - self._queue.queued_starts

    def notify_stored(self) -> None:
        """Signal that the progress of jobs was stored."""
        self._may_release = True
        self._changed.set()

    def start(self, item: StartTask) -> None:
        """Queue a start order, which waits until it is stored if that is required.

        Otherwise a crash is not counted if this term ends before it is seen. The wait
        does not count from the placement, because a round over many workers may take
        longer.
        """
        if self._is_stored(item):
            self._add(lambda: self._queue.add_start(item))
            return
        self._add(lambda: self._hold(item))
        self._context.notify_changed()

    def _hold(self, item: StartTask) -> None:
        """Hold a start back; it may have been stored just now, so look again."""
        now_s = self._context.clock.monotonic_s()
        self._queue.add_start(item, now_s + STORE_WAIT_S)
        self._context.waiting_for_store.add(self)
        self._may_release = True

    def pace(self, item: PaceTask) -> None:
        """Queue a change of a run's speed."""
        self._add(lambda: self._queue.add_pace(item))

    def stop(self, order: StopOrder) -> None:
        """Queue a stop order unless the same one waits or was sent a short time ago.

        A start of the run that was not sent yet is dropped instead.
        """
        now_s = self._context.clock.monotonic_s()
        key = run_key(order)
        if self._queue.has_stop(key) or now_s < self._repeat_from_s.get(key, 0.0):
            return
        dropped = self._add(lambda: self._queue.add_stop(order))
        if dropped is not None:
            with self._context.lock:
                self._context.tracker.record_not_sent(dropped.task, dropped.run, now_s)

    def _add(self, add: Callable[[], StartTask | None]) -> StartTask | None:
        """Add an order to the queue, and send the queued ones in the background."""
        with self._lock:
            dropped = add()
            needs_lane = self._needs_lane()
            if needs_lane:
                self._lanes += 1
        if needs_lane:
            self._context.spawn(self._run_lane)
        else:
            self._changed.set()
        return dropped

    def _needs_lane(self) -> bool:
        """Return whether to add a lane, which is counted in the term's limit."""
        if self._lanes == 0:
            return True
        is_long = len(self._queue) > ORDERS_PER_LANE * self._lanes
        if not is_long or self._lanes == MAX_LANES:
            return False
        return self._context.extra_lanes.acquire(blocking=False)

    def _run_lane(self) -> Steps:
        while True:
            self._changed.clear()
            order = self._take_order()
            if order is None:
                if self._end_lane():
                    return
                yield Wait(self._changed, self._held_s())
                continue
            try:
                yield from self._send_order(order)
            except Exception as error:
                _LOGGER.exception(
                    "dispatch: unexpected error while sending an order to %s",
                    self._view.worker.worker,
                )
                if isinstance(order, StartTask):
                    self._handle_start_error(order, _unexpected(error))
            finally:
                with self._lock:
                    self._queue.finish(order)

    def _take_order(self) -> Order | None:
        """Return the next order, None if there is none to send now."""
        now_s = self._context.clock.monotonic_s()
        with self._lock:
            if self._view.is_ended:
                return None
            held_until_s = self._queue.held_until_s
            if held_until_s is not None and (
                self._may_release or now_s >= held_until_s
            ):
                self._may_release = False
                self._queue.release_held(self._is_stored, now_s)
            order = self._queue.take()
            queued_starts = self._queue.queued_starts
        if isinstance(order, StartTask) and queued_starts == MAX_QUEUED_STARTS // 2:
            self._context.notify_changed()
        return order

    def _end_lane(self) -> bool:
        """End a lane that finds no order, unless it is the last and starts are held."""
        with self._lock:
            is_last = self._lanes == 1
            has_held = self._queue.held_until_s is not None
            if is_last and has_held and not self._view.is_ended:
                return False
            if is_last and len(self._queue) and not self._view.is_ended:
                # An order was queued since the lane looked for one.
                return False
            self._lanes -= 1
            if is_last:
                self._context.waiting_for_store.discard(self)
        if not is_last:
            self._context.extra_lanes.release()
        return True

    def _held_s(self) -> float:
        """Return how long to wait for held starts to be stored."""
        with self._lock:
            if len(self._queue) or self._queue.held_until_s is None:
                return 0.0
            left_s = self._queue.held_until_s - self._context.clock.monotonic_s()
        return max(0.0, left_s)

    def _send_order(self, order: Order) -> Steps:
        match order:
            case StartTask():
                yield from self._send_start(order)
            case StopOrder():
                yield from self._send_stop(order)
            case PaceTask():
                yield from self._send_pace(order)

    def _send_start(self, item: StartTask) -> Steps:
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
        self._record_stop_sent(order, STOP_REPEAT_S)
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
                self._record_stop_sent(order, context.tracker.stop_s + STOP_REPEAT_S)

    def _record_stop_sent(self, order: StopOrder, pause_s: float) -> None:
        """Record that a stop is not repeated within `pause_s`."""
        now_s = self._context.clock.monotonic_s()
        if len(self._repeat_from_s) >= self._max_repeats:
            known = self._repeat_from_s.items()
            self._repeat_from_s = {key: at_s for key, at_s in known if now_s < at_s}
            self._max_repeats = max(KEPT_REPEATS, 2 * len(self._repeat_from_s))
        self._repeat_from_s[run_key(order)] = now_s + pause_s

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
