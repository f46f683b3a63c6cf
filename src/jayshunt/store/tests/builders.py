"""Fakes of the store and of an executor."""

import random
from collections.abc import Callable
from concurrent.futures import Executor, Future

from jayshunt.clock import ManualClock
from jayshunt.ids import LeaseId, Revision
from jayshunt.store.documents import DocumentStore
from jayshunt.store.errors import (
    RevisionConflict,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from jayshunt.store.models import StoredValue


class FakeStore:
    """In-memory store with injected faults.

    `down` makes every read and write fail. The counters apply to that many of the
    next writes: `lose_answers` to writes that take effect but whose response is
    lost, `drop_writes` to writes that are lost before they take effect, and
    `delay_writes` to writes without a response that reach the store only when
    `deliver` is called. `stale` makes reads return the value of that many changes
    ago.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.values: dict[str, StoredValue] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.delay_writes = 0
        self.delayed: list[tuple[str, str, Revision]] = []
        self.puts = 0
        self.stale = 0
        self._history: dict[str, list[StoredValue]] = {}

    def deliver(self) -> int:
        """Deliver the delayed writes; return how many took effect."""
        applied = 0
        delayed, self.delayed = self.delayed, []
        for key, value, expected in delayed:
            try:
                self.put(key, value, expected)
                applied += 1
            except RevisionConflict:
                continue
        return applied

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None if it is absent."""
        if self.down:
            raise StoreUnavailable("store.get", "fake", "down")
        if self.stale and key in self._history:
            older = self._history[key]
            return older[max(0, len(older) - 1 - self.stale)]
        return self.values.get(key)

    def delete(self, key: str, expected: Revision = Revision(-1)) -> None:
        """Delete a key."""
        self.values.pop(key, None)

    def put(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Revision:
        """Write a value by compare-and-swap."""
        if self.down:
            raise StoreUnavailable("store.put", "fake", "down")
        self.puts += 1
        if self.drop_writes > 0:
            self.drop_writes -= 1
            raise StoreOutcomeUnknown("store.put", "fake", "lost")
        if self.delay_writes > 0:
            self.delay_writes -= 1
            self.delayed.append((key, value, expected))
            raise StoreOutcomeUnknown("store.put", "fake", "delayed")
        stored = self.values.get(key)
        if (stored.revision if stored else 0) != expected:
            raise RevisionConflict(key, "fake")
        self.revision += 1
        self.values[key] = StoredValue(key, value, Revision(self.revision))
        self._history.setdefault(key, []).append(self.values[key])
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreOutcomeUnknown("store.put", "fake", "lost")
        return Revision(self.revision)


def build_documents(store: FakeStore, seed: int = 1) -> DocumentStore:
    """Return a document store on a fake store with a manual clock."""
    return DocumentStore(store, ManualClock(), random.Random(seed))


class DeferredExecutor(Executor):
    """Executor that runs submitted calls only when `run` is called.

    It simulates a paused process. The futures that it returns never complete.
    """

    def __init__(self) -> None:
        """Create an executor without submitted calls."""
        self.work: list[Callable] = []

    def submit(self, function, /, *args, **kwargs) -> Future:
        """Keep a call for `run`."""
        self.work.append(lambda: function(*args, **kwargs))
        return Future()

    def run(self) -> None:
        """Run the calls submitted so far."""
        work, self.work = self.work, []
        for call in work:
            call()
