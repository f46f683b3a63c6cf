"""Compute outlooks and book returns for the entries, during one term."""

import logging
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.models import FleetConfig
from jayshunt.dispatch.vms import VmState
from jayshunt.ids import JobId, PoolName, QueueName
from jayshunt.overload.admission import ReturnBook
from jayshunt.overload.models import PoolCapacity, QueueOutlook, Refusal
from jayshunt.overload.outlook import Forecast, encode_outlooks

_LOGGER = logging.getLogger(__name__)

# All entries poll 2.5 times a second; they get the same cached result.
VALID_S = 0.2
LOG_INTERVAL_S = 1.0
# Outlooks with a longer wait are logged.
LOGGED_WAIT_S = 1.0
# A worker without an answer for this long does not count as capacity.
SILENT_S = 2.2


class AdmissionDuty:
    """Keep the outlooks of all queues and the return times of refused callers."""

    def __init__(
        self,
        dispatcher,
        clock: Clock,
        config: Callable[[], FleetConfig | None],
        is_by_size: bool,
    ) -> None:
        """Start without an outlook or a refused caller.

        `is_by_size` says whether small jobs are served before large ones.
        """
        self._dispatcher = dispatcher
        self._clock = clock
        self._config = config
        self._until_s = float("-inf")
        self._next_log_s = float("-inf")
        self.forecast = Forecast(is_by_size)
        self.book_of_returns = ReturnBook()
        self.outlooks: dict[QueueName, QueueOutlook] = {}
        self._encoded: dict[str, dict] = {}

    def encode_outlooks(self) -> dict[str, dict]:
        """Return the current outlooks as JSON fields."""
        with self._dispatcher.lock:
            self._refresh(self._clock.monotonic_s())
            return self._encoded

    def book(self, job: JobId, queue: QueueName, refusal: Refusal) -> float:
        """Return after how many seconds a refused caller may return, 0 to accept now.

        A job that is known was accepted before, and its caller only asks again.
        """
        with self._dispatcher.lock:
            now_s = self._clock.monotonic_s()
            self._refresh(now_s)
            outlook = self.outlooks.get(queue)
            if outlook is None or self._dispatcher.tracker.knows(job):
                return 0.0
            is_known = job in self.book_of_returns.refused
            after_s = self.book_of_returns.book(job, refusal, outlook, now_s)
            if after_s > 0 and not is_known:
                self._count_refused(queue, refusal)
            return after_s

    def _count_refused(self, name: QueueName, refusal: Refusal) -> None:
        order = self._dispatcher.planner.service_order
        config = self._config()
        if order is None or config is None:
            return
        for queue in config.queues:
            if queue.queue == name:
                order.record_refused(queue.pool, name, refusal.core_s)

    def _refresh(self, now_s: float) -> None:
        config = self._config()
        if config is None or now_s < self._until_s:
            return
        tracker, fleet = self._dispatcher.tracker, self._dispatcher.fleet
        moving: dict[PoolName, float] = {}
        for vm in fleet.inventory.vms.values():
            if vm.state is VmState.MOVING:
                cores = vm.capacity.cpu_millicores / 1000
                moving[vm.pool] = moving.get(vm.pool, 0.0) + cores
        self.outlooks = self.forecast.update(
            config,
            [tracker.jobs[job_id] for job_id in tracker.active],
            pool_capacities(tracker.workers.values(), moving, now_s),
            fleet.fetchable_cores(),
            now_s,
        )
        self._encoded = encode_outlooks(self.outlooks)
        self._until_s = now_s + VALID_S
        self._log(now_s)

    def _log(self, now_s: float) -> None:
        """Log the late waits of queues that are behind, at most once a second."""
        waits = {
            outlook.queue: outlook.late_wait_s
            for outlook in self.outlooks.values()
            if outlook.late_wait_s > LOGGED_WAIT_S
        }
        if waits and now_s >= self._next_log_s:
            self._next_log_s = now_s + LOG_INTERVAL_S
            counts = self.book_of_returns.counts
            _LOGGER.info(
                "overload: queues are behind", extra={"waits_s": waits, **counts}
            )

    def describe(self) -> dict:
        """Return the outlooks and refusals for the state dump."""
        return {
            "outlooks": self._encoded,
            "answers": dict(self.book_of_returns.counts),
            "refused": len(self.book_of_returns.refused),
        }


def pool_capacities(
    views: list[WorkerView], moving: dict[PoolName, float], now_s: float
) -> dict[PoolName, PoolCapacity]:
    """Return what the workers of each pool that answer have for jobs that end."""
    cores: dict[PoolName, float] = {}
    used: dict[PoolName, float] = {}
    for view in views:
        if view.is_draining or not view.is_usable(now_s, SILENT_S):
            continue
        pool, services = view.worker.pool, view.load.long_running_reserved
        usable = view.worker.capacity.cpu_millicores - services.cpu_millicores
        cores[pool] = cores.get(pool, 0.0) + usable / 1000
        busy = (view.load.reserved - services).cpu_millicores
        used[pool] = used.get(pool, 0.0) + busy / 1000
    return {
        pool: PoolCapacity(
            max(0.0, cores.get(pool, 0.0)), used.get(pool, 0.0), moving.get(pool, 0.0)
        )
        for pool in cores.keys() | moving.keys()
    }
