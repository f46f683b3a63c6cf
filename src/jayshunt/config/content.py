"""Serialize and parse the stored form of a configuration version."""

import hashlib
import json
import zlib
from collections.abc import Iterable
from typing import Any

from pydantic import ValidationError

from jayshunt.config.models import Change, ConfigDocument, ConfigSnapshot, HistoryEntry
from jayshunt.errors import JayshuntError
from jayshunt.ids import ConfigVersion
from jayshunt.settings.loader import explain_errors

Content = dict[str, Any]
MAX_CONTENT_BYTES = 4 * 1024 * 1024
SNAPSHOT_FIELDS = ("version", "digest", "document", "author", "accepted_s", "reason")


def build_content(
    version: ConfigVersion,
    document: dict[str, Any],
    author: str,
    accepted_s: float,
    reason: str = "",
    changes: Iterable[Change] = (),
) -> Content:
    """Return the stored form of a version.

    It includes the changes from the previous version, so that another process can
    write the history entry if the one that accepted the version ends before that.
    """
    return {
        "version": version,
        "digest": digest_of(document),
        "document": document,
        "author": author,
        "accepted_s": accepted_s,
        "reason": reason,
        "changes": [change.to_json() for change in changes],
    }


def dump_document(document: ConfigDocument) -> dict[str, Any]:
    """Return a document as JSON-compatible values."""
    return document.model_dump(mode="json")


def raw_document(content: Content | None) -> dict[str, Any]:
    """Return the stored document, including keys that this program does not know.

    Return an empty configuration's document if nothing is stored.
    """
    if content is None or "document" not in content:
        return dump_document(ConfigDocument())
    return content["document"]


def read_snapshot(content: Content | None) -> ConfigSnapshot:
    """Parse a stored version; return the empty version 0 if there is none.

    Keys that only a newer version of the program knows are dropped. Raise
    JayshuntError `config_unreadable` for a wrong digest or an invalid document.
    """
    if content is None:
        return ConfigSnapshot()
    fields = {key: content[key] for key in SNAPSHOT_FIELDS if key in content}
    if "document" in fields and digest_of(fields["document"]) != fields.get("digest"):
        raise JayshuntError(
            "config_unreadable", step="config.read", detail="the digest does not match"
        )
    document = read_document(fields.get("document", {}))
    try:
        return ConfigSnapshot.model_validate({**fields, "document": document})
    except ValidationError as error:
        raise _unreadable(error) from error


def read_document(raw: dict[str, Any]) -> ConfigDocument:
    """Parse a document, dropping the keys that this program does not know."""
    known = json.loads(json.dumps(raw))
    while True:
        try:
            return ConfigDocument.model_validate(known)
        except ValidationError as error:
            unknown = [e for e in error.errors() if e["type"] == "extra_forbidden"]
            if not unknown:
                raise _unreadable(error) from error
            for item in unknown:
                _remove(known, item["loc"])


def read_history(content: Content) -> HistoryEntry:
    """Parse the history entry of a stored version."""
    return HistoryEntry(
        ConfigVersion(content["version"]),
        content["author"],
        content["accepted_s"],
        content.get("reason", ""),
        tuple(Change.from_json(item) for item in content.get("changes", ())),
    )


def pack(content: Content) -> bytes:
    """Return a stored version as compressed JSON for a peer, without its changes."""
    fields = {key: content[key] for key in SNAPSHOT_FIELDS if key in content}
    return zlib.compress(json.dumps(fields, separators=(",", ":")).encode())


def unpack(packed: bytes) -> Content:
    """Parse packed content from a peer, of at most MAX_CONTENT_BYTES.

    Raise JayshuntError `config_unreadable` if it is malformed.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed, MAX_CONTENT_BYTES)
        return json.loads(text)
    except (zlib.error, ValueError) as error:
        raise JayshuntError(
            "config_unreadable", step="config.fetch", detail=str(error)
        ) from error


def digest_of(document: dict[str, Any]) -> str:
    """Return the SHA-256 digest of a document's canonical JSON."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def _unreadable(error: ValidationError) -> JayshuntError:
    return JayshuntError(
        "config_unreadable",
        step="config.read",
        detail="; ".join(explain_errors(error)),
    )


def _remove(tree: Any, path: tuple) -> None:
    for key in path[:-1]:
        tree = tree[key]
    tree.pop(path[-1], None)
