"""Group commit: write many changes of one document together."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from dataclasses import dataclass, field

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.store.const import BATCH_WINDOW_S
from jayshunt.store.documents import Change, Content, Document, DocumentStore
from jayshunt.store.errors import StoreUnavailable

_LOGGER = logging.getLogger(__name__)

MAX_WRITES_AT_ONCE = 16
# A larger batch would delay its first caller for longer than one write takes.
MAX_BATCH = 1_000
# While the store is up, a write that fails because of the call rate limit or too many
# conflicts is retried for this long. Meanwhile more changes queue up.
MAX_RETRY_S = 1.0
RETRY_WAIT_S = 0.05


@dataclass
class _Pending:
    """A submitted change and its future."""

    change: Change
    future: Future
    submitted_s: float
    error: Exception | None = None


@dataclass
class _Queue:
    """Changes of one document that wait for its next write.

    `is_active` is true while a thread writes the changes of the document.
    """

    pending: list[_Pending] = field(default_factory=list)
    is_active: bool = False
    last_write_s: float = float("-inf")


@dataclass(frozen=True)
class CommitCounts:
    """Numbers of submitted changes and of commits."""

    submitted: int = 0
    commits: int = 0


class GroupCommitter:
    """Batch the changes of one document that arrive while a write is in flight.

    Each document has at most one write in flight per process, and the next write
    starts at least the batch window after the last one ended. A change that raises
    fails only its own future. A change must return new content and must not modify
    its argument, since other changes of the batch build on it; it may run several
    times. A failed write is retried only while `is_store_up` returns True.
    """

    def __init__(
        self,
        documents: DocumentStore,
        clock: Clock,
        is_store_up: Callable[[], bool] = lambda: False,
        executor: Executor | None = None,
        batch_window_s: float = BATCH_WINDOW_S,
    ) -> None:
        """Create a committer without pending changes."""
        self._documents = documents
        self._clock = clock
        self._is_store_up = is_store_up
        self._executor = executor or ThreadPoolExecutor(MAX_WRITES_AT_ONCE, "commit")
        self._batch_window_s = batch_window_s
        self._lock = threading.Lock()
        self._queues: dict[str, _Queue] = {}
        self._stopped = threading.Event()
        self._submitted = 0
        self._commits = 0

    @property
    def counts(self) -> CommitCounts:
        """Return how many changes were submitted and how many commits were tried."""
        return CommitCounts(self._submitted, self._commits)

    def submit(self, key: str, change: Change) -> "Future[Document]":
        """Queue a change for the next write of a document.

        The future returns the written document. It fails with the exception that
        the change raised, with StoreUnavailable if nothing was written, or with
        StoreOutcomeUnknown if the outcome of the write could not be resolved. A
        change whose future is cancelled before its write starts has no effect.
        """
        item = _Pending(change, Future(), self._clock.monotonic_s())
        with self._lock:
            if self._stopped.is_set():
                raise StoreUnavailable("store.commit", key, "the entry is stopping")
            queue = self._queues.setdefault(key, _Queue())
            queue.pending.append(item)
            self._submitted += 1
            starts_writer = not queue.is_active
            queue.is_active = True
        if starts_writer:
            self._executor.submit(self._drain, key, queue)
        return item.future

    def update(self, key: str, change: Change) -> Document:
        """Apply a change and wait for its write."""
        return self.submit(key, change).result()

    def stop(self) -> None:
        """Refuse new changes, and wait until the pending ones are written."""
        self._stopped.set()
        self._executor.shutdown(wait=True)

    def _drain(self, key: str, queue: _Queue) -> None:
        while True:
            due_s = queue.last_write_s + self._batch_window_s
            wait_s = due_s - self._clock.monotonic_s()
            if wait_s > 0:
                self._clock.wait(threading.Event(), wait_s)
            batch = self._take_batch(queue)
            if not batch:
                return
            self._commit(key, batch)
            queue.last_write_s = self._clock.monotonic_s()

    def _take_batch(self, queue: _Queue) -> list[_Pending]:
        with self._lock:
            batch = queue.pending[:MAX_BATCH]
            del queue.pending[:MAX_BATCH]
            if not batch:
                queue.is_active = False
        running = [p for p in batch if p.future.set_running_or_notify_cancel()]
        return running or (self._take_batch(queue) if batch else [])

    def _commit(self, key: str, batch: list[_Pending]) -> None:
        try:
            document = self._write(key, batch)
        except Exception as error:
            if not isinstance(error, JayshuntError):
                _LOGGER.exception("store: unexpected error while writing %s", key)
            for item in batch:
                item.future.set_exception(item.error or error)
            return
        for item in batch:
            if item.error is not None:
                item.future.set_exception(item.error)
            else:
                item.future.set_result(document)

    def _write(self, key: str, batch: list[_Pending]) -> Document:
        while True:
            try:
                self._commits += 1
                return self._documents.update(key, lambda c: _apply(batch, c))
            except StoreUnavailable:
                waited_s = self._clock.monotonic_s() - batch[0].submitted_s
                if waited_s >= MAX_RETRY_S or not self._is_store_up():
                    raise
            self._clock.wait(threading.Event(), RETRY_WAIT_S)


def _apply(batch: list[_Pending], content: Content | None) -> Content | None:
    changed = False
    for item in batch:
        item.error = None
        try:
            result = item.change(content)
        except Exception as error:
            item.error = error
            continue
        if result is not None:
            content, changed = result, True
    return content if changed else None
