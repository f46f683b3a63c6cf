"""Renew the lease of one worker and apply what it reports."""

import logging
from collections.abc import Generator

from jayshunt.dispatch.const import (
    LEASE_MARGIN_S,
    POLL_RETRY_S,
    POLL_TIMEOUT_SLACK_S,
    POLL_WAIT_S,
)
from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.messages import SessionContext, WorkerApi
from jayshunt.dispatch.models import OrderAnswer, OrderRefusal
from jayshunt.dispatch.order_sender import OrderSender
from jayshunt.dispatch.tasks import TaskPhase
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.task_loop import Signal, Sleep, Step, Steps, Wait

_LOGGER = logging.getLogger(__name__)

IDLE_POLL_WAIT_S = 2.0
# How long the next poll is delayed so that reported ends can be stored first.
STORE_WAIT_S = 0.6
# Ends are acknowledged only to a worker that answered this short a time ago.
ACKNOWLEDGE_WITHIN_S = 0.25
# The pause between polls of a worker with many runs. It is shorter than
# ACKNOWLEDGE_WITHIN_S. With fewer runs, a report is read sooner than a pause ends.
MANY_RUNS = 200
PAUSE_PER_RUN_S = 0.0001
MAX_PAUSE_S = 0.2
# A worker that answers slowly keeps its lease: its polls time out up to this late.
MAX_ANSWER_SLACK_S = 2.0
# The timeout follows the lateness of the last answer, and falls again by answers.
SLACK_PER_LATE_S = 1.5
SLACK_DECAY = 0.9
# A call that fails sooner may have found its connection broken.
MIN_WAIT_S = 0.02
# The HTTP client rounds timeouts down to milliseconds.
TIMEOUT_TOLERANCE_S = 0.005


class WorkerSession:
    """Poll one incarnation of a worker; `orders` sends it orders."""

    def __init__(
        self, view: WorkerView, worker_api: WorkerApi, context: SessionContext
    ):
        """Initialize the session; nothing is called before `run_polls`."""
        self.view = view
        self.orders = OrderSender(view, worker_api, context)
        self._worker_api = worker_api
        self._context = context
        self._answer_slack_s = POLL_TIMEOUT_SLACK_S
        self._stored = Signal()

    def notify_stored(self) -> None:
        """Signal that ends of this worker's runs may have been stored."""
        self._stored.set()

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
            pause_s = self._pause_s()
            if pause_s > 0:
                yield Sleep(pause_s)

    def _pause_s(self) -> float:
        """Return how long to let orders through before the next poll.

        A worker answers at once as soon as runs have ended, and lists all others each
        time. With thousands of them, reading these lists would take the time in which
        orders have to be sent.
        """
        view = self.view
        if len(view.tasks) < MANY_RUNS:
            return 0.0
        since_answer_s = self._context.clock.monotonic_s() - view.last_answer_s
        return min(MAX_PAUSE_S, len(view.tasks) * PAUSE_PER_RUN_S) - since_answer_s

    def _wait_until_stored(self) -> Steps:
        """Wait until the reported ends are stored, for at most STORE_WAIT_S.

        While ends are not acknowledged, the worker answers a poll at once.
        """
        if not self.view.pending:
            return
        context = self._context
        end_s = context.clock.monotonic_s() + STORE_WAIT_S
        context.waiting_for_store.add(self)
        try:
            while self.view.pending:
                self._stored.clear()
                with context.lock:
                    self.view.acknowledge_stored_ends(
                        context.tracker.stored_versions.__getitem__
                    )
                left_s = end_s - context.clock.monotonic_s()
                if not self.view.pending or left_s <= 0:
                    return
                yield Wait(self._stored, left_s)
        finally:
            context.waiting_for_store.discard(self)

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
            if not self._may_acknowledge(sent_s):
                noted = 0
            wait_s = self._poll_wait_s(until_ms)
        try:
            answer = yield from self._worker_api.poll_runs(
                noted, until_ms, int(wait_s * 1000), wait_s + self._answer_slack_s
            )
        except JayshuntError as error:
            waited_s = context.clock.monotonic_s() - sent_s
            timeout_s = wait_s + self._answer_slack_s
            has_timed_out = waited_s >= timeout_s - TIMEOUT_TOLERANCE_S
            was_waiting = (
                error.outcome is Outcome.UNKNOWN
                and MIN_WAIT_S <= waited_s
                and not has_timed_out
            )
            self._answer_slack_s = min(MAX_ANSWER_SLACK_S, 2 * self._answer_slack_s)
            if until_ms is not None and error.outcome is Outcome.UNKNOWN:
                with context.lock:
                    context.tracker.record_unanswered(view, context.clock.monotonic_s())
            self._handle_no_answer(str(error), sent_s, was_waiting, has_timed_out)
            return False
        self._learn_answer_time(context.clock.monotonic_s() - sent_s - wait_s)
        if isinstance(answer, OrderAnswer):
            return self._handle_poll_refusal(answer, sent_s)
        with context.lock:
            now_s = context.clock.monotonic_s()
            if view.is_ended:
                return False
            is_first = view.last_answer_s is None
            stops = context.tracker.apply_run_report(view, answer, sent_s, now_s)
            if view.is_ended:
                view = self._follow_next_incarnation()
                is_first = True
            if is_first:
                self._bound_inherited_lease(now_s)
        if is_first:
            _LOGGER.info(
                "dispatch: a worker answered",
                extra={
                    "worker": view.worker.worker,
                    "vm": view.worker.vm,
                    "pool": view.worker.pool,
                    "born": view.worker.started_ms,
                    "clock_ms": answer.clock_ms,
                    "running": len(answer.running),
                    "ended": len(answer.ended),
                },
            )
        for order in stops:
            self.orders.stop(order)
        context.notify_changed()
        return True

    def _may_acknowledge(self, now_s: float) -> bool:
        """Return whether the next poll may acknowledge ends by their numbers.

        Another incarnation, whose ends are numbered anew, would forget ends that nobody
        has read. A worker with ends answers at once, and is told of them next.
        """
        last_answer_s = self.view.last_answer_s
        if self.view.is_failing or last_answer_s is None:
            return False
        return now_s - last_answer_s <= ACKNOWLEDGE_WITHIN_S

    def _follow_next_incarnation(self) -> WorkerView:
        """Go on with the incarnation that answered in place of the known one.

        Orders still queued for the known one are not sent.
        """
        self.view = self._context.tracker.workers[self.view.worker.worker]
        self.orders = OrderSender(self.view, self._worker_api, self._context)
        return self.view

    def _learn_answer_time(self, late_s: float) -> None:
        """Adapt the timeout of polls to a worker that answers slowly.

        `late_s` is the time that the answer took beyond the wait that the call allowed.
        """
        slack_s = max(SLACK_PER_LATE_S * late_s, SLACK_DECAY * self._answer_slack_s)
        slack_s = max(POLL_TIMEOUT_SLACK_S, slack_s)
        self._answer_slack_s = min(MAX_ANSWER_SLACK_S, slack_s)

    def _bound_inherited_lease(self, now_s: float) -> None:
        """Lower the limit on leases of earlier terms after the first answer.

        From now on the worker refuses orders of earlier terms. It may hold the longest
        lease of all by one that was meant for an incarnation before.
        """
        left_s = self._context.tracker.longest_lease_s + LEASE_MARGIN_S
        self.view.limit_lease(now_s + left_s)

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
        if (
            until_ms is None
            or self.view.ordered_away_s is not None
            or self.view.late_starts
            or any(t.phase is TaskPhase.STOPPING for t in self.view.tasks.values())
        ):
            return 0.1 if until_ms is not None else 0.0
        return POLL_WAIT_S if self.view.tasks else IDLE_POLL_WAIT_S

    def _handle_no_answer(
        self,
        reason: str,
        sent_s: float,
        was_waiting: bool = False,
        has_timed_out: bool = False,
    ) -> None:
        """Note that a poll failed, and give the worker up once its lease is over.

        One whose VM was ordered away before the poll was sent, at `sent_s`, is given up
        at once, as it runs nothing. `was_waiting` tells that the connection broke while
        the worker waited to answer, so that it lived until then. After a timeout it is
        not known when it was lost.
        """
        context, view = self._context, self.view
        with context.lock:
            now_s = context.clock.monotonic_s()
            if view.is_failing:
                context.tracker.crashes.record_silent(view)
            else:
                if was_waiting and view.last_heard_s is not None:
                    view.last_heard_s = now_s
                view.fell_silent = has_timed_out
                context.tracker.crashes.record_failing(view)
                self._log_silence(reason, now_s)
            view.is_failing = True
            if view.is_ordered_away(sent_s) and not view.tasks and not view.strays:
                context.tracker.remove_ordered_away(view, now_s, reason)
                return
            if now_s < view.lease_end_s + LEASE_MARGIN_S:
                return
            if context.term_confirmed_s() < view.lease_end_s:
                # A successor may have renewed the lease, so the runs may go on.
                return
            is_next_over = now_s >= view.next_lease_end_s + LEASE_MARGIN_S
            if view.open_starts() and not is_next_over:
                context.tracker.end_lapsed_runs(view, now_s, reason)
                self._follow_next_incarnation()
            elif view.tasks or view.strays or not view.is_listed:
                context.tracker.remove_worker(
                    view, now_s, WorkerEnd.LEASE_EXPIRED, reason
                )
                # The worker may be alive behind a network partition and come back.
                context.tracker.ended_incarnations.discard(
                    (view.worker.worker, view.worker.started_ms)
                )
        context.notify_changed()

    def _log_silence(self, reason: str, now_s: float) -> None:
        """Log until when runs may go on a worker that just stopped answering.

        `open_starts` are the tasks of which no report has shown a run. They may go on
        until the end of the longest lease that the next incarnation may hold.
        """
        view = self.view
        _LOGGER.info(
            "dispatch: a worker does not answer",
            extra={
                "worker": view.worker.worker,
                "born": view.worker.started_ms,
                "tasks": len(view.tasks),
                "open_starts": len(view.open_starts()),
                "lease_left_ms": round((view.lease_end_s - now_s) * 1000),
                "next_lease_left_ms": round((view.next_lease_end_s - now_s) * 1000),
                "reason": reason,
            },
        )

    def _handle_poll_refusal(self, answer: OrderAnswer, sent_s: float) -> bool:
        context, view = self._context, self.view
        match answer.refusal:
            case OrderRefusal.FENCED:
                context.on_deposed(f"worker {view.worker.worker} saw a later term")
            case OrderRefusal.OTHER_INCARNATION:
                with context.lock:
                    context.tracker.remove_worker(
                        view, context.clock.monotonic_s(), WorkerEnd.RESTARTED
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
                self._handle_no_answer("it refuses its lease", sent_s)
        return False
