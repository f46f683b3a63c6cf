"""Keep the dispatcher's workers in step with the platform's list of workers."""

import logging
import threading
from collections.abc import Callable
from dataclasses import replace

from jayshunt.clock import Clock
from jayshunt.dispatch.const import WORKER_LIST_REFRESH_S, WORKER_LIST_WAIT_S
from jayshunt.dispatch.fleet import WorkerEnd, WorkerView, is_other_start
from jayshunt.dispatch.models import Worker
from jayshunt.dispatch.store_models import Item
from jayshunt.dispatch.term import suspend_aware_s
from jayshunt.ids import Revision, WorkerId
from jayshunt.platform.const import WORKER_PREFIX
from jayshunt.platform.formats import decode_worker
from jayshunt.platform.store import HistoryGone, PlatformStore
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

RETRY_S = 0.25
READY_POLL_S = 0.2


class WorkerList:
    """Watch the worker list and open a session for each worker that appears.

    A watch delivers changes at once. The whole list is also read periodically, as a
    watch can stop delivering events while the list changes.
    """

    def __init__(
        self,
        dispatcher,
        store: PlatformStore,
        clock: Clock,
        now_s: Callable[[], float] = suspend_aware_s,
    ) -> None:
        """Start without having read the list; `now_s` is the clock of its age."""
        self._dispatcher = dispatcher
        self._store = store
        self._clock = clock
        self._now_s = now_s
        self._revision: Revision | None = None
        self._revisions: dict[str, Revision] = {}
        self._malformed: set[str] = set()
        self._read_s = 0.0
        self._confirmed_s = float("-inf")
        self.is_read = False

    def age_s(self) -> float:
        """Return how long ago the list was certainly as it is known here."""
        return self._now_s() - self._confirmed_s

    def run(self, stop: threading.Event) -> None:
        """Read the list and watch it until stopped.

        Wait until all jobs are read before opening sessions. Until then, a run of a
        known job can't be distinguished from a stray run.
        """
        while not stop.is_set() and not self._dispatcher.ready.wait(READY_POLL_S):
            continue
        while not stop.is_set():
            try:
                self._read_or_watch(stop)
            except HistoryGone:
                self._revision = None
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                if not stop.is_set():
                    _LOGGER.info(
                        "dispatch: failed to read the worker list",
                        extra={"reason": str(error)},
                    )
                self._revision = None
                self._clock.wait(stop, RETRY_S)

    def _read_or_watch(self, stop: threading.Event) -> None:
        now_s, sent_s = self._clock.monotonic_s(), self._now_s()
        if self._revision is None or now_s - self._read_s > WORKER_LIST_REFRESH_S:
            items, revision = self._store.list(WORKER_PREFIX)
            self._read_s = now_s
            self._apply_all(items)
            self._revision = max(revision, self._revision or revision)
            self._confirmed_s = sent_s
            return
        answer = self._store.watch(
            WORKER_PREFIX, self._revision, WORKER_LIST_WAIT_S, stop
        )
        for item in answer.events:
            self._apply(item)
        self._revision = max(self._revision, answer.revision)
        self._confirmed_s = sent_s
        if answer.events:
            self._dispatcher.notify_changed()

    def _apply_all(self, items: tuple[Item, ...]) -> None:
        listed = {item.key for item in items}
        for key in [key for key in self._revisions if key not in listed]:
            self._mark_removed(key)
        for item in items:
            self._apply(item)
        self.is_read = True
        self._dispatcher.worker_list_read = True
        self._dispatcher.notify_changed()

    def _apply(self, item: Item) -> None:
        if item.value is None:
            self._mark_removed(item.key)
            return
        known = self._revisions.get(item.key)
        worker = WorkerId(item.key.removeprefix(WORKER_PREFIX))
        is_settled = (
            worker in self._dispatcher.tracker.workers or item.key in self._malformed
        )
        if known == item.revision and is_settled:
            return
        if known is not None and item.revision < known:
            return
        self._revisions[item.key] = item.revision
        listed_worker = decode_worker(worker, item.value)
        if listed_worker is None:
            self._malformed.add(item.key)
            self._mark_unlisted(worker, "its entry is malformed")
            return
        self._malformed.discard(item.key)
        self._update(listed_worker)

    def _update(self, listed_worker: Worker) -> None:
        dispatcher = self._dispatcher
        with dispatcher.lock:
            if dispatcher.tracker.is_over(listed_worker, self._clock.monotonic_s()):
                # The list still has a worker for a while after its VM is gone.
                return
            view = dispatcher.tracker.workers.get(listed_worker.worker)
            if view is not None and not is_other_start(
                view.worker.started_ms, listed_worker.started_ms
            ):
                # An entry without a start time tells no other incarnation.
                started_ms = listed_worker.started_ms or view.worker.started_ms
                listed_worker = replace(listed_worker, started_ms=started_ms)
                view.worker = replace(view.worker, started_ms=started_ms)
            is_same_worker = view is not None and (
                view.worker.address == listed_worker.address
                and view.worker.started_ms == listed_worker.started_ms
                and view.worker.pool == listed_worker.pool
            )
            if is_same_worker:
                if view.worker.state is not listed_worker.state:
                    _LOGGER.info(
                        "dispatch: a worker changed its state",
                        extra={
                            "worker": listed_worker.worker,
                            "state": listed_worker.state.value,
                        },
                    )
                self._log_capacity_change(view, listed_worker)
                view.worker = listed_worker
                view.is_listed = True
                return
            if view is not None and view.worker.started_ms == listed_worker.started_ms:
                view.worker = listed_worker
                view.is_listed = True
                return
            if view is not None and view.worker.address == listed_worker.address:
                dispatcher.replace_worker(view, listed_worker)
                return
            if view is not None:
                # No order was sent to the other address.
                dispatcher.tracker.remove_worker(
                    view, self._clock.monotonic_s(), WorkerEnd.REPLACED
                )
        dispatcher.add_worker(listed_worker)

    def _log_capacity_change(self, view: WorkerView, listed_worker: Worker) -> None:
        if view.worker.capacity == listed_worker.capacity:
            return
        self._dispatcher.tracker.counts["capacity_changed"] += 1
        _LOGGER.info(
            "dispatch: a worker changed its capacity",
            extra={
                "worker": listed_worker.worker,
                "before": str(view.worker.capacity),
                "capacity": str(listed_worker.capacity),
                "reserved": str(view.reserved()),
            },
        )

    def _mark_removed(self, key: str) -> None:
        self._revisions.pop(key, None)
        self._malformed.discard(key)
        self._mark_unlisted(
            WorkerId(key.removeprefix(WORKER_PREFIX)), "its entry is gone"
        )

    def _mark_unlisted(self, worker: WorkerId, reason: str) -> None:
        """Start nothing more on a worker that no entry names; its runs go on."""
        with self._dispatcher.lock:
            view = self._dispatcher.tracker.workers.get(worker)
            if view is None:
                return
            view.is_listed = False
        _LOGGER.info(
            "dispatch: a worker left the list",
            extra={"worker": worker, "reason": reason},
        )
