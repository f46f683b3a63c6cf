"""Call one worker: one task renews its lease, another sends it orders."""

import logging
import threading
from collections import deque
from collections.abc import Generator

from jayshunt.dispatch.const import (
    CLOCK_SKEW,
    LEASE_MARGIN_S,
    ORDER_TIMEOUT_S,
    POLL_RETRY_S,
    POLL_TIMEOUT_SLACK_S,
    POLL_WAIT_S,
)
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.messages import PaceTask, SessionContext, StartTask, WorkerApi
from jayshunt.dispatch.models import OrderAnswer, OrderRefusal, StartOrder, TaskKey
from jayshunt.dispatch.run_tracker import StopOrder
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.task_loop import Signal, Sleep, Step, Steps, Wait

_LOGGER = logging.getLogger(__name__)

IDLE_POLL_WAIT_S = 2.0
# A stop order is repeated if the run is still reported after this time.
STOP_REPEAT_S = 0.8
# No runs are placed on a worker for this long after it refused a start because it had
# no capacity or its lease had expired.
NO_CAPACITY_PAUSE_S = 0.15
UNANSWERED_PAUSE_S = 0.6
UNHEALTHY_PAUSE_S = 2.0
# How long the next poll is delayed so that reported ends can be stored first.
STORE_WAIT_S = 0.6
# A worker that answers slowly keeps its lease: its polls time out up to this late.
MAX_ANSWER_SLACK_S = 2.0
# The timeout follows the lateness of the last answer, and falls again by answers.
SLACK_PER_LATE_S = 1.5
SLACK_DECAY = 0.9

Order = StartTask | StopOrder | PaceTask


class WorkerSession:
    """Make all calls to one incarnation of a worker."""

    def __init__(
        self, view: WorkerView, worker_api: WorkerApi, context: SessionContext
    ):
        """Initialize the session without orders to send."""
        self.view = view
        self._worker_api = worker_api
        self._context = context
        self._orders: deque[Order] = deque()
        self._orders_lock = threading.Lock()
        self._is_sending = False
        self._answer_slack_s = POLL_TIMEOUT_SLACK_S
        self._stops_sent: dict[tuple[TaskKey, int], float] = {}
        self._stored = Signal()

    def start(self, item: StartTask) -> None:
        """Queue a start order."""
        self._queue_order(item)

    def pace(self, item: PaceTask) -> None:
        """Queue a change of a run's speed."""
        self._queue_order(item)

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
        self._queue_order(order)

    def notify_stored(self) -> None:
        """Signal that ends of this worker's runs may have been stored."""
        if self.view.pending:
            self._stored.set()

    # --- the lease ---

    def run_polls(self) -> Steps:
        """Renew the lease and apply the worker's reports until it is removed."""
        while not self.view.is_ended:
            if not self._context.term_valid():
                yield Sleep(POLL_RETRY_S / 2)
                continue
            if not (yield from self._poll_once()):
                yield Sleep(POLL_RETRY_S)
                continue
            yield from self._wait_until_stored()

    def _wait_until_stored(self) -> Steps:
        """Wait until the reported ends are stored, for at most STORE_WAIT_S.

        While ends are not acknowledged, the worker answers a poll at once.
        """
        end_s = self._context.clock.monotonic_s() + STORE_WAIT_S
        while self.view.pending:
            self._stored.clear()
            with self._context.lock:
                self.view.acknowledge_stored_ends(
                    self._context.tracker.stored_versions.__getitem__
                )
            left_s = end_s - self._context.clock.monotonic_s()
            if not self.view.pending or left_s <= 0:
                return
            yield Wait(self._stored, left_s)

    def _poll_once(self) -> Generator[Step, object, bool]:
        context, view = self._context, self.view
        with context.lock:
            sent_s = context.clock.monotonic_s()
            until_ms = self._lease_until_ms(sent_s)
            if until_ms is not None:
                view.record_lease(until_ms)
            noted = view.acknowledge_stored_ends(
                context.tracker.stored_versions.__getitem__
            )
            wait_s = self._poll_wait_s(until_ms)
        try:
            answer = yield from self._worker_api.poll_runs(
                noted, until_ms, int(wait_s * 1000), wait_s + self._answer_slack_s
            )
        except JayshuntError as error:
            self._answer_slack_s = min(MAX_ANSWER_SLACK_S, 2 * self._answer_slack_s)
            self._handle_no_answer(str(error))
            return False
        self._learn_answer_time(context.clock.monotonic_s() - sent_s - wait_s)
        if isinstance(answer, OrderAnswer):
            return self._handle_poll_refusal(answer)
        with context.lock:
            now_s = context.clock.monotonic_s()
            is_first = view.last_answer_s is None
            stops = context.tracker.apply_run_report(view, answer, sent_s, now_s)
            if is_first:
                self._bound_inherited_lease(now_s)
        if is_first:
            _LOGGER.info(
                "dispatch: a worker answered",
                extra={
                    "worker": view.worker.worker,
                    "vm": view.worker.vm,
                    "pool": view.worker.pool,
                    "running": len(answer.running),
                    "ended": len(answer.ended),
                },
            )
        for order in stops:
            self.stop(order)
        context.notify_changed()
        return True

    def _learn_answer_time(self, late_s: float) -> None:
        """Adapt the timeout of polls to a worker that answers slowly.

        `late_s` is the time that the answer took beyond the wait that the call allowed.
        """
        slack_s = max(SLACK_PER_LATE_S * late_s, SLACK_DECAY * self._answer_slack_s)
        slack_s = max(POLL_TIMEOUT_SLACK_S, slack_s)
        self._answer_slack_s = min(MAX_ANSWER_SLACK_S, slack_s)

    def _bound_inherited_lease(self, now_s: float) -> None:
        """Lower the limit on leases of earlier terms after the first answer.

        From now on the worker refuses orders of earlier terms, so no lease can end
        later than one granted now.
        """
        left_s = self._context.lease_s / (1 - CLOCK_SKEW) + LEASE_MARGIN_S
        self.view.lease_end_s = min(self.view.lease_end_s, now_s + left_s)

    def _lease_until_ms(self, now_s: float) -> int | None:
        """Return the lease end to request, or None to poll without a lease.

        A call without an answer may have reached the worker. If each retry extended
        the lease, it would never be safe to assume that the runs of a lost worker have
        ended.
        """
        if self.view.is_failing:
            return None
        return self.view.lease_until_ms(now_s, self._context.lease_s)

    def _poll_wait_s(self, until_ms: int | None) -> float:
        if until_ms is None or any(
            task.phase is TaskPhase.STOPPING for task in self.view.tasks.values()
        ):
            return 0.1 if until_ms is not None else 0.0
        return POLL_WAIT_S if self.view.tasks else IDLE_POLL_WAIT_S

    def _handle_no_answer(self, reason: str) -> None:
        context, view = self._context, self.view
        with context.lock:
            now_s = context.clock.monotonic_s()
            view.is_failing = True
            if now_s < view.lease_end_s + LEASE_MARGIN_S:
                return
            if context.term_confirmed_s() < view.lease_end_s:
                # A successor may have renewed the lease, so the runs may go on.
                return
            if view.tasks or not view.is_listed:
                context.tracker.remove_worker(
                    view, now_s, f"its lease is over: {reason}"
                )
                # The worker may be alive behind a network partition and come back.
                context.tracker.ended_incarnations.discard(
                    (view.worker.worker, view.worker.started_ms)
                )
        context.notify_changed()

    def _handle_poll_refusal(self, answer: OrderAnswer) -> bool:
        context, view = self._context, self.view
        match answer.refusal:
            case OrderRefusal.FENCED:
                context.on_deposed(f"worker {view.worker.worker} saw a later term")
            case OrderRefusal.OTHER_INCARNATION:
                with context.lock:
                    context.tracker.remove_worker(
                        view, context.clock.monotonic_s(), "another life answered"
                    )
                context.notify_changed()
            case _:
                _LOGGER.info(
                    "dispatch: a worker refused its lease",
                    extra={
                        "worker": view.worker.worker,
                        "reason": answer.refusal.value if answer.refusal else "",
                    },
                )
                self._handle_no_answer("it refuses its lease")
        return False

    # --- orders ---

    def _queue_order(self, order: Order) -> None:
        """Queue an order, and send the queued ones in the background.

        The orders of a worker are sent one after the other, in the order of the calls.
        """
        with self._orders_lock:
            self._orders.append(order)
            if self._is_sending:
                return
            self._is_sending = True
        self._context.spawn(self._send_orders)

    def _send_orders(self) -> Steps:
        while (order := self._take_order()) is not None:
            try:
                yield from self._send_order(order)
            except Exception as error:
                _LOGGER.exception(
                    "dispatch: unexpected error while sending an order to %s",
                    self.view.worker.worker,
                )
                if isinstance(order, StartTask):
                    self._handle_start_error(order, _unexpected(error))

    def _take_order(self) -> Order | None:
        """Return the next order; None ends the sending until another is queued."""
        with self._orders_lock:
            if self._orders and not self.view.is_ended:
                return self._orders.popleft()
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
        order = self._prepare_start(item)
        if order is None:
            return
        context, task = self._context, item.task
        try:
            answer = yield from self._worker_api.start(order, ORDER_TIMEOUT_S)
        except JayshuntError as error:
            self._handle_start_error(item, error)
            return
        with context.lock:
            now_s = context.clock.monotonic_s()
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
                "worker": self.view.worker.worker,
                "reason": answer.refusal.value,
            },
        )
        if answer.refusal is OrderRefusal.FENCED:
            context.on_deposed(f"worker {self.view.worker.worker} saw a later term")
        context.notify_changed()

    def _prepare_start(self, item: StartTask) -> StartOrder | None:
        """Return the start order, or None if the run should no longer be started."""
        context, view, task = self._context, self.view, item.task
        with context.lock:
            if task.run != item.run or task.phase is not TaskPhase.ORDERED:
                return None
            now_s = context.clock.monotonic_s()
            job = context.tracker.jobs[task.key.job]
            until_ms = view.lease_until_ms(now_s, context.lease_s)
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
            checkpoint = task.checkpoint
        return StartOrder(
            task.key, item.run, item.payload, until_ms, checkpoint, item.ticket
        )

    def _handle_start_refusal(
        self, item: StartTask, answer: OrderAnswer, now_s: float
    ) -> None:
        context, view = self._context, self.view
        if answer.clock_ms is not None:
            view.record_clock(answer.clock_ms, now_s)
        match answer.refusal:
            case OrderRefusal.OTHER_INCARNATION:
                context.tracker.remove_worker(view, now_s, "another life answered")
                return
            case OrderRefusal.NO_CAPACITY | OrderRefusal.LEASE_EXPIRED:
                view.placement_paused_until_s = now_s + NO_CAPACITY_PAUSE_S
            case OrderRefusal.UNHEALTHY | OrderRefusal.OTHER:
                view.set_aside_until_s = now_s + UNHEALTHY_PAUSE_S
        context.tracker.counts["start_refused"] += 1
        context.tracker.record_not_started(item.task, item.run, now_s)

    def _handle_start_error(self, item: StartTask, error: JayshuntError) -> None:
        context, view, task = self._context, self.view, item.task
        stop = None
        with context.lock:
            now_s = context.clock.monotonic_s()
            view.placement_paused_until_s = now_s + UNANSWERED_PAUSE_S
            context.tracker.counts["start_unanswered"] += 1
            if error.outcome is Outcome.NOT_RUN:
                context.tracker.record_not_started(task, item.run, now_s)
            elif task.run == item.run and task.phase is TaskPhase.ORDERED:
                # The run may exist or the order may still arrive. Stopping the run also
                # makes the worker refuse a start order that arrives later.
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
            context.on_deposed(f"worker {self.view.worker.worker} saw a later term")
            return
        with context.lock:
            now_s = context.clock.monotonic_s()
            if answer.refusal is None:
                context.tracker.record_stop_accepted(order, now_s)

    def _send_pace(self, item: PaceTask) -> Steps:
        if not self._context.term_valid():
            return
        try:
            yield from self._worker_api.pace(
                item.task, item.run, item.percent, ORDER_TIMEOUT_S
            )
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: a change of pace got no answer",
                extra={"task": item.task.name, "reason": str(error)},
            )


def _unexpected(error: Exception) -> JayshuntError:
    """Return the error of an order that may have been sent."""
    return JayshuntError(
        "internal_error",
        step="worker/run-start",
        outcome=Outcome.UNKNOWN,
        detail=repr(error),
    )
