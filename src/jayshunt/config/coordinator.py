"""Own the version of the configuration that is in force here."""

import hashlib
import json
import logging
import random
import threading
from collections.abc import Callable

from pydantic import ValidationError

from jayshunt.clock import Clock
from jayshunt.config.const import CURRENT_KEY
from jayshunt.config.models import ConfigDocument, ConfigSnapshot
from jayshunt.errors import JayshuntError
from jayshunt.ids import ConfigVersion, Revision
from jayshunt.settings.loader import explain_errors
from jayshunt.store.client import StoreClient
from jayshunt.store.documents import Content, DocumentStore

_LOGGER = logging.getLogger(__name__)

RETRY_WAIT_S = 0.5


class ConfigCoordinator:
    """Accept changes, watch the store and tell listeners of each new version.

    The version in force only rises: an older or equal snapshot is dropped,
    whatever source it comes from.
    """

    def __init__(
        self,
        store: StoreClient,
        documents: DocumentStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with the empty version 0."""
        self._store = store
        self._documents = documents
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._current = ConfigSnapshot()
        self._listeners: list[Callable[[ConfigSnapshot], None]] = []

    def current(self) -> ConfigSnapshot:
        """Return the snapshot in force."""
        return self._current

    def add_listener(self, listener: Callable[[ConfigSnapshot], None]) -> None:
        """Call a listener with each new snapshot."""
        self._listeners.append(listener)

    def apply(self, snapshot: ConfigSnapshot) -> bool:
        """Put a snapshot in force if its version is higher."""
        with self._lock:
            if snapshot.version <= self._current.version:
                return False
            self._current = snapshot
        _LOGGER.info("config: version %s is in force", snapshot.version)
        for listener in self._listeners:
            listener(snapshot)
        return True

    def accept(
        self, change: Callable[[ConfigDocument], ConfigDocument], author: str
    ) -> ConfigSnapshot:
        """Store a change as the next version and put it in force here.

        Raise StoreUnavailable if nothing was accepted and StoreOutcomeUnknown if
        that could not be settled.
        """

        def next_content(content: Content | None) -> Content:
            before = read_snapshot(content)
            document = change(before.document)
            return snapshot_content(
                ConfigVersion(before.version + 1),
                document,
                author,
                self._clock.now_s(),
            )

        written = self._documents.update(CURRENT_KEY, next_content)
        snapshot = read_snapshot(written.content)
        self.apply(snapshot)
        return snapshot

    def refresh(self) -> Revision:
        """Read the stored version once and put it in force if it is newer."""
        document = self._documents.read(CURRENT_KEY)
        self.apply(read_snapshot(document.content))
        return document.revision

    def run(self, stop: threading.Event) -> None:
        """Watch the store until stopped."""
        revision = None
        while not stop.is_set():
            try:
                if revision is None:
                    revision = self.refresh()
                revision, events = self._store.watch(CURRENT_KEY, revision, stop=stop)
                for event in events:
                    if event.value is not None:
                        self.apply(read_snapshot(json.loads(event.value)))
            except JayshuntError:
                revision = None
                self._clock.wait(stop, self._rng.uniform(0, RETRY_WAIT_S))


def snapshot_content(
    version: ConfigVersion, document: ConfigDocument, author: str, accepted_s: float
) -> Content:
    """Return the stored form of a version."""
    body = document.model_dump(mode="json")
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return {
        "version": version,
        "digest": hashlib.sha256(text.encode()).hexdigest(),
        "document": body,
        "author": author,
        "accepted_s": accepted_s,
    }


def read_snapshot(content: Content | None) -> ConfigSnapshot:
    """Return the snapshot of a stored version; version 0 if there is none."""
    if content is None:
        return ConfigSnapshot()
    try:
        fields = {k: v for k, v in content.items() if k != "write_ids"}
        return ConfigSnapshot.model_validate(fields)
    except ValidationError as error:
        raise JayshuntError(
            "config_unreadable",
            step="config.read",
            detail="; ".join(explain_errors(error)),
        ) from error
