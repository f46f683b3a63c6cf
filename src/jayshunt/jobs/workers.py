"""Keep what is known of each worker and exchange orders with it."""

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
    MAX_SYNCS_AT_ONCE,
    SYNC_FIRST_S,
    SYNC_LONGEST_S,
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
    """Hold what is known of one worker; times are monotonic seconds.

    `leases_end_s` is the time at which every lease on the worker has surely ended,
    unless it is renewed. `boot` is empty until the worker first answered. `sent`
    holds the attempts whose start order may have arrived. `is_ordering` says that
    the call in flight may start or renew something; a mere question may not, and
    a silent worker is asked nearly all the time.
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
    due_s: float = 0.0
    period_s: float = SYNC_FIRST_S
    in_flight: bool = False
    is_ordering: bool = False
    ordered: frozenset = frozenset()
    sequence: int = 0
    sent: set[TaskId] = field(default_factory=set)

    @property
    def answers(self) -> bool:
        """Return whether the worker answered the last call."""
        return bool(self.boot) and self.failures == 0


@dataclass(frozen=True)
class _Result:
    """Hold the end of one call."""

    worker: WorkerId
    orders: WorkerOrders
    answer: WorkerAnswer | None
    error: JayshuntError | None


class WorkerTable:
    """Own the status of a zone's workers and the calls to them.

    A worker has at most one call in flight. Calls run on an executor and their
    results are taken by `collect`, so that a silent worker delays nobody else.
    """

    def __init__(
        self,
        calls: WorkerCalls,
        clock: Clock,
        wake: Callable[[], None],
        executor: Executor | None = None,
    ) -> None:
        """Start without workers; `wake` is called after each call's end."""
        self._calls = calls
        self._clock = clock
        self._wake = wake
        self._executor = executor or ThreadPoolExecutor(MAX_SYNCS_AT_ONCE, "worker")
        self._results: queue.SimpleQueue[_Result] = queue.SimpleQueue()
        self.statuses: dict[WorkerId, WorkerStatus] = {}

    def stop(self) -> None:
        """Start no more calls."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def reset(self) -> None:
        """Forget every worker, as a scheduler does that takes over."""
        self.statuses.clear()

    def set_members(self, members: dict[WorkerId, tuple[str, PoolName, bool]]) -> None:
        """Take address, pool and whether it serves, of each worker of the zone."""
        for worker, (address, pool, is_serving) in members.items():
            status = self.find(worker, address, pool)
            status.address, status.pool = address, pool
            status.is_listed, status.is_serving = True, is_serving
        for worker, status in self.statuses.items():
            if worker not in members:
                status.is_listed = status.is_serving = False

    def find(
        self, worker: WorkerId, address: str = "", pool: PoolName = PoolName("")
    ) -> WorkerStatus:
        """Return the status of a worker; a new one may hold leases."""
        status = self.statuses.get(worker)
        if status is None:
            ends_s = self._clock.monotonic_s() + TASK_LEASE_S + LEASE_MARGIN_S
            status = WorkerStatus(worker, address, pool, ends_s, bool(address))
            self.statuses[worker] = status
        return status

    def send(self, status: WorkerStatus, epoch: Epoch, orders: WorkerOrders) -> None:
        """Call a worker if its period is over or there is something new to tell.

        A worker that did not answer the last call is only asked, and not told to
        renew or start anything, so that its leases surely end if its answers
        stay lost.
        """
        now_s = self._clock.monotonic_s()
        if status.in_flight or not status.is_listed:
            return
        has_news = status.answers and not orders.changes <= status.ordered
        if now_s < status.due_s and not has_news:
            return
        if not status.answers:
            orders = WorkerOrders()
        status.in_flight = True
        status.is_ordering = bool(orders.renew or orders.start)
        status.sequence += 1
        fence = Fence(epoch, status.sequence)
        self._executor.submit(self._call, status.worker, status.address, fence, orders)

    def collect(self) -> set[WorkerId]:
        """Take the results of ended calls and return the workers they are of.

        Raise `stale_epoch` if a worker met a higher epoch.
        """
        took: set[WorkerId] = set()
        while not self._results.empty():
            result = self._results.get()
            status = self.statuses.get(result.worker)
            if status is None:
                continue
            took.add(result.worker)
            status.in_flight = status.is_ordering = False
            if result.answer is not None:
                self._take_answer(status, result.orders, result.answer)
            else:
                self._take_error(status, result.orders, result.error)
        return took

    def _call(
        self, worker: WorkerId, address: str, fence: Fence, orders: WorkerOrders
    ) -> None:
        try:
            answer = self._calls.sync(worker, address, fence, orders)
            result = _Result(worker, orders, answer, None)
        except JayshuntError as error:
            result = _Result(worker, orders, None, error)
        except Exception as error:
            _LOGGER.exception("jobs: a call of worker %s failed inside", worker)
            wrapped = JayshuntError(
                "worker_refused",
                step="jobs.worker",
                peer=worker,
                outcome=Outcome.UNKNOWN,
                detail=str(error),
            )
            result = _Result(worker, orders, None, wrapped)
        self._results.put(result)
        self._wake()

    def _take_answer(
        self, status: WorkerStatus, orders: WorkerOrders, answer: WorkerAnswer
    ) -> None:
        now_s = self._clock.monotonic_s()
        if status.failures:
            _LOGGER.info("jobs: worker %s answers again", status.worker)
        self._note_leases(status, orders)
        reports = {report.task: report for report in answer.tasks}
        is_news = orders.changes or _states(reports) != _states(status.reports)
        longer_s = min(SYNC_LONGEST_S, 2 * status.period_s)
        status.period_s = SYNC_FIRST_S if is_news else longer_s
        status.boot = answer.boot
        status.capacity = answer.capacity
        status.can_checkpoint = answer.can_checkpoint
        status.reports = reports
        was_silent, status.failures = status.failures > 0, 0
        status.ordered = orders.changes
        # A worker that was only asked is told its orders at once.
        status.due_s = now_s if was_silent else now_s + status.period_s

    def _take_error(
        self, status: WorkerStatus, orders: WorkerOrders, error: JayshuntError
    ) -> None:
        if error.code == "stale_epoch":
            raise error
        now_s = self._clock.monotonic_s()
        if status.failures == 0:
            _LOGGER.warning("jobs: worker %s does not answer: %s", status.worker, error)
        if error.outcome is not Outcome.NOT_RUN:
            self._note_leases(status, orders)
        status.failures += 1
        status.ordered = frozenset()
        status.due_s = now_s + min(SYNC_LONGEST_S, 0.25 * 2 ** min(status.failures, 8))

    def _note_leases(self, status: WorkerStatus, orders: WorkerOrders) -> None:
        if orders.renew or orders.start:
            now_s = self._clock.monotonic_s()
            status.leases_end_s = now_s + TASK_LEASE_S + LEASE_MARGIN_S
        status.sent.update(order.task for order in orders.start)
        status.sent.difference_update(orders.forget)


def _states(reports: dict[TaskId, TaskReport]) -> dict[TaskId, TaskState]:
    return {task: report.state for task, report in reports.items()}
