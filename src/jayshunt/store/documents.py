"""Update JSON documents in the store by compare-and-swap."""

import json
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from jayshunt.clock import Clock
from jayshunt.ids import LeaseId, Revision
from jayshunt.store.client import ABSENT
from jayshunt.store.const import MAX_UPDATE_ATTEMPTS, MAX_WRITE_IDS
from jayshunt.store.errors import (
    RevisionConflict,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from jayshunt.store.models import StoredValue

WRITE_IDS = "write_ids"
RESOLVE_ATTEMPTS = 6
RESOLVE_WAIT_S = 0.1
CONFLICT_WAIT_S = 0.02

Content = dict[str, Any]
Change = Callable[[Content | None], Content | None]


class KeyValueStore(Protocol):
    """Interface for single values, implemented by `StoreClient` and test fakes."""

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None if it is absent."""

    def put(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Revision:
        """Write a value by compare-and-swap."""


@dataclass(frozen=True)
class Document:
    """Content of a document at a revision; `content` is None if it is absent.

    `write_ids` are the ids of the last writes, oldest first. Each consists of a
    sequence number and a random part.
    """

    content: Content | None
    revision: Revision
    write_ids: tuple[str, ...] = ()


class DocumentStore:
    """Read and update documents, and resolve the outcome of unanswered writes.

    Every write adds its own id to the document's `write_ids`. If the response to a
    write is lost, the document is read back. If the id is there, the write took
    effect; if the revision increased without the id, it did not. If neither holds,
    the write may still arrive. A fencing write of the old content then increases
    the revision, so that the delayed write fails its condition.
    """

    def __init__(self, store: KeyValueStore, clock: Clock, rng: random.Random) -> None:
        """Create a document store on a key-value store."""
        self._store = store
        self._clock = clock
        self._rng = rng

    def read(self, key: str) -> Document:
        """Return the document of a key."""
        return _parse(self._store.get(key))

    def update(self, key: str, change: Change) -> Document:
        """Apply a change to the latest content and write the result.

        `change` gets a copy of the content (None if absent) and returns the new
        content, or None to leave the document unchanged. It runs again after each
        conflict, and may raise to abort the update. Raise StoreUnavailable if
        certainly nothing was written, StoreOutcomeUnknown if the outcome of the
        write could not be resolved.
        """
        for attempt in range(MAX_UPDATE_ATTEMPTS):
            stored = self._store.get(key)
            # `change` may modify its argument, but a fencing write needs the original
            # content, so the value is parsed twice.
            content = change(_parse(stored).content)
            document = _parse(stored)
            if content is None:
                return document
            try:
                return self._write(key, content, document)
            except RevisionConflict:
                self._wait_random(CONFLICT_WAIT_S * (attempt + 1))
        raise StoreUnavailable("store.update", key, "too many conflicting writers")

    def _write(self, key: str, content: Content, before: Document) -> Document:
        write_id = self._next_write_id(before)
        try:
            return self._put(key, content, before, write_id)
        except StoreOutcomeUnknown as error:
            return self._resolve_outcome(key, write_id, before, error)

    def _put(
        self, key: str, content: Content, before: Document, write_id: str
    ) -> Document:
        ids = (*before.write_ids, write_id)[-MAX_WRITE_IDS:]
        content = {**content, WRITE_IDS: list(ids)}
        value = json.dumps(content, separators=(",", ":"), sort_keys=True)
        return Document(content, self._store.put(key, value, before.revision), ids)

    def _resolve_outcome(
        self, key: str, write_id: str, before: Document, error: StoreOutcomeUnknown
    ) -> Document:
        for attempt in range(RESOLVE_ATTEMPTS):
            self._wait_random(RESOLVE_WAIT_S * 2**attempt)
            try:
                found = self.read(key)
            except StoreUnavailable:
                continue
            if write_id in found.write_ids:
                return found
            if found.revision > before.revision:
                if _has_all_ids_since(found, before):
                    raise RevisionConflict(key, error.peer)
                break
            if found.revision == before.revision:
                self._fence(key, before)
        raise error

    def _fence(self, key: str, before: Document) -> None:
        """Write the old content, so that a delayed write fails its condition.

        The next read shows whether this or the delayed write took effect first.
        """
        try:
            self._put(key, before.content or {}, before, self._next_write_id(before))
        except (RevisionConflict, StoreUnavailable, StoreOutcomeUnknown):
            return

    def _next_write_id(self, before: Document) -> str:
        number = _sequence_number(before.write_ids[-1]) + 1 if before.write_ids else 1
        return f"{number:x}-{self._rng.getrandbits(64):016x}"

    def _wait_random(self, limit_s: float) -> None:
        self._clock.wait(threading.Event(), self._rng.uniform(0, limit_s))


def _parse(stored: StoredValue | None) -> Document:
    if stored is None:
        return Document(None, ABSENT)
    content = json.loads(stored.value)
    ids = _write_ids(content)
    if set(content) <= {WRITE_IDS}:
        # Only a fencing write created this key; the document was never written.
        return Document(None, stored.revision, ids)
    return Document(content, stored.revision, ids)


def _write_ids(content: Content) -> tuple[str, ...]:
    return tuple(content.get(WRITE_IDS, ()))


def _sequence_number(write_id: str) -> int:
    return int(write_id.partition("-")[0], 16)


def _has_all_ids_since(found: Document, before: Document) -> bool:
    """Return whether `found` still lists the id of every write after `before`."""
    if not found.write_ids:
        return False
    last = _sequence_number(before.write_ids[-1]) if before.write_ids else 0
    return _sequence_number(found.write_ids[0]) <= last + 1
