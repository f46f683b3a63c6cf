"""Build configuration edits for the operators' `target` and `stop` commands."""

from jayshunt.config.models import (
    ConfigDocument,
    ConfigEdit,
    ConfigSnapshot,
    PlannedStop,
)
from jayshunt.errors import JayshuntError


def target_edit(
    before: ConfigSnapshot, name: str, fields: dict, author: str, reason: str
) -> ConfigEdit:
    """Return the edit that changes fields of one class."""
    content = before.document.model_dump(mode="json")
    if name not in content["classes"]:
        raise JayshuntError(
            "unknown_class",
            step="operations.target",
            detail=f"there is no class {name!r}",
        )
    content["classes"][name].update(fields)
    return _edit(before, content, author, reason)


def stop_edit(
    before: ConfigSnapshot, name: str, stop: PlannedStop, author: str, reason: str
) -> ConfigEdit:
    """Return the edit that declares a planned stop."""
    content = before.document.model_dump(mode="json")
    content["planned_stops"][name] = stop.model_dump(mode="json")
    return _edit(before, content, author, reason)


def withdraw_edit(
    before: ConfigSnapshot, name: str, author: str, reason: str
) -> ConfigEdit:
    """Return the edit that withdraws a planned stop."""
    content = before.document.model_dump(mode="json")
    if name not in content["planned_stops"]:
        raise JayshuntError(
            "unknown_stop",
            step="operations.stop",
            detail=f"there is no planned stop {name!r}",
        )
    del content["planned_stops"][name]
    return _edit(before, content, author, reason)


def _edit(
    before: ConfigSnapshot, content: dict, author: str, reason: str
) -> ConfigEdit:
    document = ConfigDocument.model_validate(content)
    return ConfigEdit(document, author, before.version, reason)
