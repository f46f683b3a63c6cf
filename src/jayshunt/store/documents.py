"""Change JSON documents in the store by compare-and-swap."""

import json
import random
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from jayshunt.clock import Clock
from jayshunt.ids import LeaseId, Revision
from jayshunt.store.client import ABSENT
from jayshunt.store.const import MAX_UPDATE_ATTEMPTS, REMEMBERED_WRITE_IDS
from jayshunt.store.errors import (
    RevisionConflict,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from jayshunt.store.models import StoredValue

SETTLE_ATTEMPTS = 5
CONFLICT_WAIT_S = 0.02

Content = dict[str, Any]
Change = Callable[[Content | None], Content | None]


class KeyValueStore(Protocol):
    """Read and write single values; `StoreClient` and test fakes provide it."""

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key."""

    def put(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Revision:
        """Write a value by compare-and-swap."""


@dataclass(frozen=True)
class Document:
    """Hold the content of a document at a revision; None if it is absent."""

    content: Content | None
    revision: Revision


class DocumentStore:
    """Read, change and write documents, and settle lost answers.

    Every write adds its own id to the document's `write_ids`. If the answer to a
    write is lost, the document is read back: if the id is there the write took
    effect, and if the revision moved on without it, it did not.
    """

    def __init__(self, store: KeyValueStore, clock: Clock, rng: random.Random) -> None:
        """Work on a store."""
        self._store = store
        self._clock = clock
        self._rng = rng

    def read(self, key: str) -> Document:
        """Return the document of a key."""
        stored = self._store.get(key)
        if stored is None:
            return Document(None, ABSENT)
        return Document(json.loads(stored.value), stored.revision)

    def update(self, key: str, change: Change) -> Document:
        """Apply a change to the newest content and write it.

        `change` gets a copy of the content (None if absent) and returns the new
        content, or None to leave the document as it is. It may run several times
        and may raise to give up. Raise StoreUnavailable if it is certain that
        nothing was written, StoreOutcomeUnknown if that could not be settled.
        """
        for attempt in range(MAX_UPDATE_ATTEMPTS):
            document = self.read(key)
            content = change(_copy(document.content))
            if content is None:
                return document
            try:
                return self._write(key, content, document.revision)
            except RevisionConflict:
                self._pause(CONFLICT_WAIT_S * (attempt + 1))
        raise StoreUnavailable("store.update", key, "too many conflicting writers")

    def _write(self, key: str, content: Content, expected: Revision) -> Document:
        write_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        remembered = [*content.get("write_ids", []), write_id]
        content = {**content, "write_ids": remembered[-REMEMBERED_WRITE_IDS:]}
        value = json.dumps(content, separators=(",", ":"), sort_keys=True)
        try:
            return Document(content, self._store.put(key, value, expected))
        except StoreOutcomeUnknown as error:
            return self._settle(key, write_id, expected, error)

    def _settle(
        self, key: str, write_id: str, expected: Revision, error: StoreOutcomeUnknown
    ) -> Document:
        for attempt in range(SETTLE_ATTEMPTS):
            self._pause(0.1 * 2**attempt)
            try:
                document = self.read(key)
            except StoreUnavailable:
                continue
            if write_id in (document.content or {}).get("write_ids", []):
                return document
            if document.revision != expected:
                # The revision moved on without this write, so it cannot land.
                raise RevisionConflict(key, error.peer)
        raise error

    def _pause(self, limit_s: float) -> None:
        self._clock.wait(threading.Event(), self._rng.uniform(0, limit_s))


def _copy(content: Content | None) -> Content | None:
    return None if content is None else json.loads(json.dumps(content))
