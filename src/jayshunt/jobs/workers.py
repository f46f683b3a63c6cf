"""Track the status of workers and send orders to them."""

import logging
import queue
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass, field

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import Epoch, PoolName, WorkerId
from jayshunt.jobs.const import (
    LEASE_MARGIN_S,
    MAX_CALL_INTERVAL_S,
    MAX_CONCURRENT_CALLS,
    MIN_CALL_INTERVAL_S,
    TASK_LEASE_S,
)
from jayshunt.jobs.messages import (
    Fence,
    TaskId,
    TaskReport,
    TaskState,
    WorkerAnswer,
    WorkerOrders,
)
from jayshunt.jobs.sizes import Size
from jayshunt.jobs.worker_client import WorkerCalls

_LOGGER = logging.getLogger(__name__)


@dataclass
class WorkerStatus:
    """The status of one worker; times are monotonic seconds.

    `leases_end_s` is the time by which every task lease on the worker has certainly
    ended unless it is renewed. `boot` is the incarnation of the worker's agent and
    empty until the worker first answers. `maybe_started` contains the attempts whose
    start order may have reached the worker. `acknowledged_orders` are the immediate
    orders of the last call, if it was answered. `failures` counts the failed calls
    since the last answer, and `sequence` is the fence sequence of the last call.

    `call_extends_leases` is True while a call in flight may start or renew an attempt.
    Other calls cannot extend a lease; an unresponsive worker has one in flight nearly
    all the time, so `in_flight` alone must not delay decisions on its jobs.
    """

    worker: WorkerId
    address: str
    pool: PoolName
    leases_end_s: float
    is_listed: bool = True
    is_serving: bool = True
    boot: str = ""
    capacity: Size = Size()
    can_checkpoint: bool = False
    reports: dict[TaskId, TaskReport] = field(default_factory=dict)
    failures: int = 0
    next_call_s: float = 0.0
    call_interval_s: float = MIN_CALL_INTERVAL_S
    in_flight: bool = False
    call_extends_leases: bool = False
    acknowledged_orders: frozenset = frozenset()
    sequence: int = 0
    maybe_started: set[TaskId] = field(default_factory=set)

    @property
    def is_responsive(self) -> bool:
        """Return whether the worker answered the last completed call."""
        return bool(self.boot) and self.failures == 0


@dataclass(frozen=True)
class _CallResult:
    """The outcome of one call."""

    worker: WorkerId
    orders: WorkerOrders
    answer: WorkerAnswer | None
    error: JayshuntError | None


class WorkerTable:
    """Track the status of a zone's workers and call them.

    A worker has at most one call in flight. Calls run on an executor and `collect`
    applies their results, so that an unresponsive worker does not delay others.
    """

    def __init__(
        self,
        calls: WorkerCalls,
        clock: Clock,
        wake: Callable[[], None],
        executor: Executor | None = None,
    ) -> None:
        """Start without workers; `wake` is called when a call has completed."""
        self._calls = calls
        self._clock = clock
        self._wake = wake
        self._executor = executor or ThreadPoolExecutor(MAX_CONCURRENT_CALLS, "worker")
        self._results: queue.SimpleQueue[_CallResult] = queue.SimpleQueue()
        self.statuses: dict[WorkerId, WorkerStatus] = {}

    def stop(self) -> None:
        """Cancel pending calls and accept no new ones."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def reset(self) -> None:
        """Remove every worker; used by a scheduler that takes over."""
        self.statuses.clear()

    def update_members(
        self, members: dict[WorkerId, tuple[str, PoolName, bool]]
    ) -> None:
        """Update the zone's workers: address, pool and whether a worker is serving."""
        for worker, (address, pool, is_serving) in members.items():
            status = self.find_or_add(worker, address, pool)
            status.address, status.pool = address, pool
            status.is_listed, status.is_serving = True, is_serving
        for worker, status in self.statuses.items():
            if worker not in members:
                status.is_listed = status.is_serving = False

    def find_or_add(
        self, worker: WorkerId, address: str = "", pool: PoolName = PoolName("")
    ) -> WorkerStatus:
        """Return the status of a worker, adding it if it is not known.

        An added worker may have leases that an earlier scheduler granted, so its
        leases count as valid for a full lease time plus the margin for clock drift.
        """
        status = self.statuses.get(worker)
        if status is None:
            ends_s = self._clock.monotonic_s() + TASK_LEASE_S + LEASE_MARGIN_S
            status = WorkerStatus(worker, address, pool, ends_s, bool(address))
            self.statuses[worker] = status
        return status

    def send(self, status: WorkerStatus, epoch: Epoch, orders: WorkerOrders) -> None:
        """Call a worker if its call is due or its orders have changed.

        A worker that did not answer the last call gets an empty set of orders, which
        only reads its state. Nothing is renewed or started, so that its leases
        certainly end if its answers continue to be lost.
        """
        now_s = self._clock.monotonic_s()
        if status.in_flight or not status.is_listed:
            return
        has_changes = (
            status.is_responsive
            and not orders.immediate_orders <= status.acknowledged_orders
        )
        if now_s < status.next_call_s and not has_changes:
            return
        if not status.is_responsive:
            orders = WorkerOrders()
        status.in_flight = True
        status.call_extends_leases = bool(orders.renew or orders.start)
        status.sequence += 1
        fence = Fence(epoch, status.sequence)
        self._executor.submit(self._call, status.worker, status.address, fence, orders)

    def collect(self) -> set[WorkerId]:
        """Apply the results of completed calls and return their workers.

        Raise `stale_epoch` if a worker has seen a higher epoch.
        """
        completed: set[WorkerId] = set()
        while not self._results.empty():
            result = self._results.get()
            status = self.statuses.get(result.worker)
            if status is None:
                continue
            completed.add(result.worker)
            status.in_flight = status.call_extends_leases = False
            if result.answer is not None:
                self._apply_answer(status, result.orders, result.answer)
            else:
                self._apply_error(status, result.orders, result.error)
        return completed

    def _call(
        self, worker: WorkerId, address: str, fence: Fence, orders: WorkerOrders
    ) -> None:
        try:
            answer = self._calls.sync(worker, address, fence, orders)
            result = _CallResult(worker, orders, answer, None)
        except JayshuntError as error:
            result = _CallResult(worker, orders, None, error)
        except Exception as error:
            _LOGGER.exception("jobs: unexpected error in a call to worker %s", worker)
            wrapped = JayshuntError(
                "worker_refused",
                step="jobs.worker",
                peer=worker,
                outcome=Outcome.UNKNOWN,
                detail=str(error),
            )
            result = _CallResult(worker, orders, None, wrapped)
        self._results.put(result)
        self._wake()

    def _apply_answer(
        self, status: WorkerStatus, orders: WorkerOrders, answer: WorkerAnswer
    ) -> None:
        now_s = self._clock.monotonic_s()
        if status.failures:
            _LOGGER.info("jobs: worker %s answers again", status.worker)
        self._record_orders(status, orders, answer.boot)
        reports = {report.task: report for report in answer.tasks}
        has_changed = orders.immediate_orders or _states(reports) != _states(
            status.reports
        )
        longer_interval_s = min(MAX_CALL_INTERVAL_S, 2 * status.call_interval_s)
        status.call_interval_s = (
            MIN_CALL_INTERVAL_S if has_changed else longer_interval_s
        )
        status.boot = answer.boot
        status.capacity = answer.capacity
        status.can_checkpoint = answer.can_checkpoint
        status.reports = reports
        was_silent, status.failures = status.failures > 0, 0
        status.acknowledged_orders = orders.immediate_orders
        # A worker that was unresponsive got no orders with this call; send them now.
        status.next_call_s = now_s if was_silent else now_s + status.call_interval_s

    def _apply_error(
        self, status: WorkerStatus, orders: WorkerOrders, error: JayshuntError
    ) -> None:
        if error.code == "stale_epoch":
            raise error
        now_s = self._clock.monotonic_s()
        if status.failures == 0:
            _LOGGER.warning("jobs: worker %s does not answer: %s", status.worker, error)
        if error.outcome is not Outcome.NOT_RUN:
            self._record_orders(status, orders)
        status.failures += 1
        status.acknowledged_orders = frozenset()
        status.next_call_s = now_s + min(
            MAX_CALL_INTERVAL_S, 0.25 * 2 ** min(status.failures, 8)
        )

    def _record_orders(
        self, status: WorkerStatus, orders: WorkerOrders, boot: str | None = None
    ) -> None:
        """Record orders that the worker got, or may have got if `boot` is None.

        An incarnation starts nothing that was meant for another one.
        """
        if orders.renew or orders.start:
            now_s = self._clock.monotonic_s()
            status.leases_end_s = now_s + TASK_LEASE_S + LEASE_MARGIN_S
        status.maybe_started.update(
            order.task for order in orders.start if boot in (None, order.boot)
        )
        status.maybe_started.difference_update(orders.forget)


def _states(reports: dict[TaskId, TaskReport]) -> dict[TaskId, TaskState]:
    return {task: report.state for task, report in reports.items()}
