"""Accept configuration changes and apply new versions on this entry."""

import logging
import random
import threading
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.config.checks import Check, new_problems
from jayshunt.config.const import CURRENT_KEY
from jayshunt.config.content import (
    build_content,
    dump_document,
    pack,
    raw_document,
    read_document,
    read_snapshot,
    unpack,
)
from jayshunt.config.edits import (
    apply_changes,
    changes_between,
    conflict_error,
    explain_conflict,
    find_conflicts,
)
from jayshunt.config.history import ConfigHistory
from jayshunt.config.models import (
    Change,
    ConfigDocument,
    ConfigEdit,
    ConfigSnapshot,
    EditPlan,
    HistoryEntry,
    Problem,
)
from jayshunt.errors import JayshuntError
from jayshunt.ids import ConfigVersion, EntryId, Revision
from jayshunt.store.client import StoreClient
from jayshunt.store.documents import Content, DocumentStore
from jayshunt.store.errors import StoreUnavailable

_LOGGER = logging.getLogger(__name__)

MakeEdit = Callable[[ConfigSnapshot], ConfigEdit]


class ConfigCoordinator:
    """Commit configuration edits to the store and put new versions in force here.

    The version in force increases monotonically: an older or equal snapshot is
    dropped regardless of its source. Listeners are called in version order.
    """

    def __init__(
        self,
        store: StoreClient,
        documents: DocumentStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Initialize with the empty configuration, version 0."""
        self._documents = documents
        self._clock = clock
        self._history = ConfigHistory(store)
        self._apply_lock = threading.RLock()
        self._current = ConfigSnapshot()
        self._content: Content | None = None
        self._listeners: list[Callable[[ConfigSnapshot], None]] = []
        self._checks: list[Check] = []
        self._query_versions: Callable[[], dict[EntryId, ConfigVersion | None]] = dict

    def current(self) -> ConfigSnapshot:
        """Return the snapshot that is in force on this entry."""
        return self._current

    def add_listener(self, listener: Callable[[ConfigSnapshot], None]) -> None:
        """Register a callback that receives each snapshot put in force."""
        self._listeners.append(listener)

    def add_check(self, check: Check) -> None:
        """Register a check; edits that introduce a problem it reports are rejected."""
        self._checks.append(check)

    def set_version_query(
        self, query: Callable[[], dict[EntryId, ConfigVersion | None]]
    ) -> None:
        """Set the function that queries every live entry for its version."""
        self._query_versions = query

    def apply(self, snapshot: ConfigSnapshot) -> bool:
        """Put a snapshot in force if its version is higher."""
        content = build_content(
            snapshot.version,
            dump_document(snapshot.document),
            snapshot.author,
            snapshot.accepted_s,
            snapshot.reason,
        )
        return self._put_in_force(snapshot, content)

    def apply_content(self, content: Content | None) -> bool:
        """Put a stored version in force if it is higher.

        Raise JayshuntError `config_unreadable` if it is invalid or its digest does not
        match.
        """
        if content is None or content.get("version", 0) <= self._current.version:
            return False
        return self._put_in_force(read_snapshot(content), content)

    def apply_packed(self, packed: bytes) -> bool:
        """Put a packed version from a peer in force if it is higher."""
        return self.apply_content(unpack(packed))

    def pack_current(self) -> tuple[ConfigVersion, bytes]:
        """Return the version in force and its packed content for a peer.

        Return version 0 and no content if nothing is in force yet.
        """
        content = self._content
        if content is None:
            return ConfigVersion(0), b""
        return ConfigVersion(content["version"]), pack(content)

    def accept(
        self, change: Callable[[ConfigDocument], ConfigDocument], author: str
    ) -> ConfigSnapshot:
        """Apply a function to the newest document and put the stored result in force.

        Raise StoreUnavailable if nothing was accepted, and StoreOutcomeUnknown if
        it could not be determined whether the change was accepted.
        """
        return self._accept(
            lambda before: ConfigEdit(
                change(before.document), author, base_version=before.version
            )
        )

    def accept_edit(self, edit: ConfigEdit) -> ConfigSnapshot:
        """Store an edited document and put it in force on this entry.

        Changes that other operators made since the edit's base version are kept
        (three-way merge). Raise JayshuntError with code `config_conflict` if they
        touch the same settings, `config_rejected` if the merged document would
        break a guarantee, and the errors of `accept`.
        """
        return self._accept(lambda _: edit)

    def check(self, edit: ConfigEdit) -> list[Problem]:
        """Return the conflicts and problems of an edit without accepting it."""
        plan = self.plan(edit)
        conflicts = [
            Problem(conflict.theirs.name, explain_conflict(conflict))
            for conflict in plan.conflicts
        ]
        return [*conflicts, *plan.problems]

    def plan(self, edit: ConfigEdit) -> EditPlan:
        """Return the changes, conflicts and problems of an edit (a dry run)."""
        content = self._newest_content()
        return self._plan(edit, content)[0]

    def diff(self, old: ConfigVersion, new: ConfigVersion) -> tuple[Change, ...]:
        """Return the changes between two versions."""
        return changes_between(
            dump_document(self.at_version(old).document),
            dump_document(self.at_version(new).document),
        )

    def history(self, limit: int = 20) -> list[HistoryEntry]:
        """Return the history entries, newest first."""
        return self._history.entries(self._newest_content(), limit)

    def at_version(self, version: ConfigVersion) -> ConfigSnapshot:
        """Return the snapshot of a version.

        Unless the version is the newest, only its version and document are set. Raise
        JayshuntError `version_unknown` if it does not exist or is no longer
        in the history.
        """
        return self._at_version(version, self._newest_content())

    def versions_in_force(self) -> dict[EntryId, ConfigVersion | None]:
        """Return the version in force on each live entry, None if it did not reply."""
        return self._query_versions()

    def refresh(self) -> Revision:
        """Read the stored version and put it in force if it is higher.

        Return the store revision that was read, from which a watch can continue.
        """
        document = self._documents.read(CURRENT_KEY)
        self.apply_content(document.content)
        return document.revision

    def _at_version(
        self, version: ConfigVersion, content: Content | None
    ) -> ConfigSnapshot:
        newest = content["version"] if content else 0
        if not 0 <= version <= newest:
            raise JayshuntError(
                "version_unknown",
                step="config.history",
                detail=f"there is no version {version}; the newest is {newest}",
            )
        if version == newest:
            return read_snapshot(content)
        if version == 0:
            return ConfigSnapshot()
        document = self._history.document_at(content, version)
        return ConfigSnapshot(version=version, document=document)

    def _put_in_force(self, snapshot: ConfigSnapshot, content: Content) -> bool:
        # Listeners run under the lock. Otherwise, when two sources deliver versions
        # concurrently, a listener could receive the older version last.
        with self._apply_lock:
            if snapshot.version <= self._current.version:
                return False
            self._current, self._content = snapshot, content
            _LOGGER.info(
                "config: version %s is in force, digest %s",
                snapshot.version,
                snapshot.digest[:12],
            )
            for listener in self._listeners:
                try:
                    listener(snapshot)
                except Exception:
                    _LOGGER.exception("config: a listener failed")
        return True

    def _accept(self, make_edit: MakeEdit) -> ConfigSnapshot:
        def next_content(content: Content | None) -> Content | None:
            before = read_snapshot(content)
            if before.version < self._current.version:
                raise StoreUnavailable(
                    "config.accept", CURRENT_KEY, "the store returned an old version"
                )
            edit = make_edit(before)
            plan, document = self._plan(edit, content)
            self._raise_if_rejected(plan, content)
            if not plan.changes:
                return None
            if content is not None:
                # The history entry of the last version may be missing if the process
                # that accepted it ended before writing it. It is written now, because
                # this update overwrites the changes stored with the last version.
                self._history.record(content)
            return build_content(
                ConfigVersion(before.version + 1),
                document,
                edit.author,
                self._clock.now_s(),
                edit.reason,
                plan.changes,
            )

        written = self._documents.update(CURRENT_KEY, next_content)
        self.apply_content(written.content)
        if written.content is not None:
            self._record(written.content)
        return read_snapshot(written.content)

    def _record(self, content: Content) -> None:
        try:
            self._history.record(content)
        except JayshuntError as error:
            # The next accepted edit writes the missing entry, see `_accept`.
            _LOGGER.warning("config: history entry not written yet: %s", error)

    def _plan(self, edit: ConfigEdit, content: Content | None) -> tuple[EditPlan, dict]:
        before = read_snapshot(content)
        base_version = before.version
        if edit.base_version is not None:
            base_version = edit.base_version
        base = before.document
        if base_version != before.version:
            base = self._at_version(base_version, content).document
        mine = changes_between(dump_document(base), dump_document(edit.document))
        theirs = changes_between(dump_document(base), dump_document(before.document))
        conflicts = find_conflicts(mine, theirs)
        wanted = [c for c in mine if c not in theirs]
        document = apply_changes(raw_document(content), wanted)
        problems = () if conflicts else self._problems(before.document, document)
        return EditPlan(base_version, tuple(wanted), conflicts, problems), document

    def _problems(self, before: ConfigDocument, raw: dict) -> tuple[Problem, ...]:
        try:
            document = read_document(raw)
        except JayshuntError as error:
            # Both operators' documents were valid, but the merged one is not.
            return (Problem("document", error.detail),)
        return new_problems(self._checks, before, document)

    def _raise_if_rejected(self, plan: EditPlan, content: Content | None) -> None:
        if plan.conflicts:
            raise conflict_error(
                plan.conflicts, self._authors(plan.base_version, content)
            )
        if plan.problems:
            detail = "; ".join(f"{p.path}: {p.detail}" for p in plan.problems)
            raise JayshuntError("config_rejected", step="config.check", detail=detail)

    def _authors(
        self, base_version: ConfigVersion, content: Content | None
    ) -> dict[tuple[str, ...], str]:
        newest = content["version"] if content else 0
        entries = self._history.entries(content, newest - base_version)
        return {
            change.path: f"{entry.author} (version {entry.version})"
            for entry in reversed(entries)
            for change in entry.changes
        }

    def _newest_content(self) -> Content | None:
        """Return the stored version, or the one in force.

        The latter is used if the store is unavailable, empty or returns an older
        version.
        """
        try:
            document = self._documents.read(CURRENT_KEY)
        except StoreUnavailable:
            return self._content
        if document.content is None:
            return self._content
        if document.content["version"] < self._current.version:
            return self._content
        return document.content
