"""Write many changes of one document together."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from dataclasses import dataclass, field

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.store.const import GATHER_S
from jayshunt.store.documents import Change, Content, Document, DocumentStore
from jayshunt.store.errors import StoreUnavailable

_LOGGER = logging.getLogger(__name__)

MAX_WRITES_AT_ONCE = 16
# A larger batch would hold the first caller for longer than one write takes.
MAX_BATCH = 1_000
# While the store answers, a write that meets the call rate limit or too many
# conflicts is repeated for this long, and gathers more changes meanwhile.
PATIENCE_S = 1.0
RETRY_WAIT_S = 0.05


@dataclass
class _Pending:
    """Hold one submitted change."""

    change: Change
    future: Future
    submitted_s: float
    error: Exception | None = None


@dataclass
class _Queue:
    """Hold the changes of one document that wait for the next write."""

    pending: list[_Pending] = field(default_factory=list)
    is_active: bool = False
    last_write_s: float = float("-inf")


@dataclass(frozen=True)
class CommitCounts:
    """Count what was submitted and what was written."""

    submitted: int = 0
    commits: int = 0


class GroupCommitter:
    """Combine changes of one document that arrive while a write is in flight.

    Each document has at most one write in flight per process, and writes of one
    document start at least the gather window apart. A change that raises fails
    only its own future. A change must return new content and leave its argument
    as it is, since other changes of the same write build on it; it may run
    several times. `is_store_up` tells whether a failed write is worth repeating.
    """

    def __init__(
        self,
        documents: DocumentStore,
        clock: Clock,
        is_store_up: Callable[[], bool] = lambda: False,
        executor: Executor | None = None,
        gather_s: float = GATHER_S,
    ) -> None:
        """Start without changes."""
        self._documents = documents
        self._clock = clock
        self._is_store_up = is_store_up
        self._executor = executor or ThreadPoolExecutor(MAX_WRITES_AT_ONCE, "commit")
        self._gather_s = gather_s
        self._lock = threading.Lock()
        self._queues: dict[str, _Queue] = {}
        self._stopped = threading.Event()
        self._submitted = 0
        self._commits = 0

    @property
    def counts(self) -> CommitCounts:
        """Return how many changes came and how many writes carried them."""
        return CommitCounts(self._submitted, self._commits)

    def submit(self, key: str, change: Change) -> "Future[Document]":
        """Apply a change with the next write of a document.

        The future returns the written document. It fails with what the change
        raised, with StoreUnavailable if nothing was written, or with
        StoreOutcomeUnknown if that could not be settled. A future that is
        cancelled before its write starts has no effect.
        """
        item = _Pending(change, Future(), self._clock.monotonic_s())
        with self._lock:
            if self._stopped.is_set():
                raise StoreUnavailable("store.commit", key, "the entry is stopping")
            queue = self._queues.setdefault(key, _Queue())
            queue.pending.append(item)
            self._submitted += 1
            starts = not queue.is_active
            queue.is_active = True
        if starts:
            self._executor.submit(self._drain, key, queue)
        return item.future

    def update(self, key: str, change: Change) -> Document:
        """Apply a change and wait for its write."""
        return self.submit(key, change).result()

    def stop(self) -> None:
        """Refuse new changes and write those that wait."""
        self._stopped.set()
        self._executor.shutdown(wait=True)

    def _drain(self, key: str, queue: _Queue) -> None:
        while True:
            due_s = queue.last_write_s + self._gather_s
            wait_s = due_s - self._clock.monotonic_s()
            if wait_s > 0:
                self._clock.wait(threading.Event(), wait_s)
            batch = self._take(queue)
            if not batch:
                return
            self._commit(key, batch)
            queue.last_write_s = self._clock.monotonic_s()

    def _take(self, queue: _Queue) -> list[_Pending]:
        with self._lock:
            batch = queue.pending[:MAX_BATCH]
            del queue.pending[:MAX_BATCH]
            if not batch:
                queue.is_active = False
        running = [p for p in batch if p.future.set_running_or_notify_cancel()]
        return running or (self._take(queue) if batch else [])

    def _commit(self, key: str, batch: list[_Pending]) -> None:
        try:
            document = self._write(key, batch)
        except Exception as error:
            if not isinstance(error, JayshuntError):
                _LOGGER.exception("store: a write of %s failed inside", key)
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
                if waited_s >= PATIENCE_S or not self._is_store_up():
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
