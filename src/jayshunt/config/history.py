"""Store the history of configuration versions."""

import json
import logging

from jayshunt.config.const import CHECKPOINT_INTERVAL, MAX_HISTORY_ENTRIES, history_key
from jayshunt.config.content import Content, read_document, read_history
from jayshunt.config.edits import undo_changes
from jayshunt.config.models import ConfigDocument, HistoryEntry
from jayshunt.errors import JayshuntError
from jayshunt.ids import ConfigVersion
from jayshunt.store.client import ABSENT, StoreClient
from jayshunt.store.errors import RevisionConflict

_LOGGER = logging.getLogger(__name__)


class ConfigHistory:
    """Write one history entry per version and reconstruct old documents.

    An entry holds the changes of its version, and every CHECKPOINT_INTERVAL
    versions also the whole document (a checkpoint). Other documents are
    reconstructed by undoing changes from the next checkpoint.
    """

    def __init__(self, store: StoreClient) -> None:
        """Initialize with the store that holds the history."""
        self._store = store
        self._written = ConfigVersion(0)

    def record(self, content: Content) -> None:
        """Write the history entry of a stored version unless it exists."""
        version = ConfigVersion(content["version"])
        if version <= self._written:
            return
        entry = {key: value for key, value in content.items() if key != "write_ids"}
        if version % CHECKPOINT_INTERVAL:
            del entry["document"]
        text = json.dumps(entry, separators=(",", ":"))
        try:
            self._store.put(history_key(version), text, ABSENT)
        except RevisionConflict:
            _LOGGER.debug("config: version %s is already in the history", version)
        self._written = max(self._written, version)
        self._drop_old(version)

    def entries(self, current: Content | None, limit: int) -> list[HistoryEntry]:
        """Return at most `limit` entries, newest first."""
        if current is None:
            return []
        found = [read_history(current)]
        version = current["version"] - 1
        while version > 0 and len(found) < limit:
            content = self._read(ConfigVersion(version))
            if content is None:
                break
            found.append(read_history(content))
            version -= 1
        return found[:limit]

    def document_at(self, current: Content, version: ConfigVersion) -> ConfigDocument:
        """Return the document of an old version.

        Raise JayshuntError `version_unknown` if an entry it needs was deleted.
        """
        checkpoint = -(-version // CHECKPOINT_INTERVAL) * CHECKPOINT_INTERVAL
        newest = current["version"]
        start = current
        if checkpoint < newest:
            start = self._read_required(ConfigVersion(checkpoint))
        document, at = start["document"], start["version"]
        while at > version:
            entry = (
                start
                if at == start["version"]
                else self._read_required(ConfigVersion(at))
            )
            document = undo_changes(document, read_history(entry).changes)
            at -= 1
        return read_document(document)

    def _read_required(self, version: ConfigVersion) -> Content:
        content = self._read(version)
        if content is None:
            raise JayshuntError(
                "version_unknown",
                step="config.history",
                detail=f"version {version} is not in the history any more",
            )
        return content

    def _read(self, version: ConfigVersion) -> Content | None:
        stored = self._store.get(history_key(version))
        return None if stored is None else json.loads(stored.value)

    def _drop_old(self, version: ConfigVersion) -> None:
        old = version - MAX_HISTORY_ENTRIES
        if old <= 0 or old % CHECKPOINT_INTERVAL:
            return
        # A checkpoint is deleted together with the versions reconstructed from it.
        for number in range(old - CHECKPOINT_INTERVAL + 1, old + 1):
            self._store.delete(history_key(number))
