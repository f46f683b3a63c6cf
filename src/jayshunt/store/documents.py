"""Change JSON documents in the store by compare-and-swap."""

import json
import random
import threading
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

WRITE_IDS = "write_ids"
SETTLE_ATTEMPTS = 6
SETTLE_WAIT_S = 0.1
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
    """Hold the content of a document at a revision; None if it is absent.

    `write_ids` are the last writes, oldest first, each a count and a random part.
    """

    content: Content | None
    revision: Revision
    write_ids: tuple[str, ...] = ()


class DocumentStore:
    """Read, change and write documents, and settle lost answers.

    Every write adds its own id to the document's `write_ids`. If the answer to a
    write is lost, the document is read back: if the id is there the write took
    effect, and if the revision moved on without it, it did not. If neither holds,
    the write may still be on its way, so a write of the old content moves the
    revision on and the delayed write fails its condition.
    """

    def __init__(self, store: KeyValueStore, clock: Clock, rng: random.Random) -> None:
        """Work on a store."""
        self._store = store
        self._clock = clock
        self._rng = rng

    def read(self, key: str) -> Document:
        """Return the document of a key."""
        return _parse(self._store.get(key))

    def update(self, key: str, change: Change) -> Document:
        """Apply a change to the newest content and write it.

        `change` gets a copy of the content (None if absent) and returns the new
        content, or None to leave the document as it is. It may run several times
        and may raise to give up. Raise StoreUnavailable if it is certain that
        nothing was written, StoreOutcomeUnknown if that could not be settled.
        """
        for attempt in range(MAX_UPDATE_ATTEMPTS):
            stored = self._store.get(key)
            # The change gets content of its own; a fence may need the original.
            content = change(_parse(stored).content)
            document = _parse(stored)
            if content is None:
                return document
            try:
                return self._write(key, content, document)
            except RevisionConflict:
                self._pause(CONFLICT_WAIT_S * (attempt + 1))
        raise StoreUnavailable("store.update", key, "too many conflicting writers")

    def _write(self, key: str, content: Content, before: Document) -> Document:
        write_id = self._next_id(before)
        try:
            return self._put(key, content, before, write_id)
        except StoreOutcomeUnknown as error:
            return self._settle(key, write_id, before, error)

    def _put(
        self, key: str, content: Content, before: Document, write_id: str
    ) -> Document:
        ids = (*before.write_ids, write_id)[-REMEMBERED_WRITE_IDS:]
        content = {**content, WRITE_IDS: list(ids)}
        value = json.dumps(content, separators=(",", ":"), sort_keys=True)
        return Document(content, self._store.put(key, value, before.revision), ids)

    def _settle(
        self, key: str, write_id: str, before: Document, error: StoreOutcomeUnknown
    ) -> Document:
        for attempt in range(SETTLE_ATTEMPTS):
            self._pause(SETTLE_WAIT_S * 2**attempt)
            try:
                found = self.read(key)
            except StoreUnavailable:
                continue
            if write_id in found.write_ids:
                return found
            if found.revision > before.revision:
                if _remembers(found, before):
                    raise RevisionConflict(key, error.peer)
                break
            if found.revision == before.revision:
                self._fence(key, before)
        raise error

    def _fence(self, key: str, before: Document) -> None:
        """Move the revision on, so that a delayed write fails its condition.

        Whether this or the delayed write came first shows at the next read.
        """
        try:
            self._put(key, before.content or {}, before, self._next_id(before))
        except (RevisionConflict, StoreUnavailable, StoreOutcomeUnknown):
            return

    def _next_id(self, before: Document) -> str:
        number = _number(before.write_ids[-1]) + 1 if before.write_ids else 1
        return f"{number:x}-{self._rng.getrandbits(64):016x}"

    def _pause(self, limit_s: float) -> None:
        self._clock.wait(threading.Event(), self._rng.uniform(0, limit_s))


def _parse(stored: StoredValue | None) -> Document:
    if stored is None:
        return Document(None, ABSENT)
    content = json.loads(stored.value)
    ids = _ids(content)
    if set(content) <= {WRITE_IDS}:
        # Only a settled write made this key; the document was never written.
        return Document(None, stored.revision, ids)
    return Document(content, stored.revision, ids)


def _ids(content: Content) -> tuple[str, ...]:
    return tuple(content.get(WRITE_IDS, ()))


def _number(write_id: str) -> int:
    return int(write_id.partition("-")[0], 16)


def _remembers(found: Document, before: Document) -> bool:
    """Return whether no write after `before` was dropped from the write ids."""
    if not found.write_ids:
        return False
    last = _number(before.write_ids[-1]) if before.write_ids else 0
    return _number(found.write_ids[0]) <= last + 1
