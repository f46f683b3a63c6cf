"""Compare configuration documents and merge the changes of several operators."""

from collections.abc import Iterable, Iterator
from typing import Any

from jayshunt.config.models import ABSENT, Change, Conflict
from jayshunt.errors import JayshuntError

Tree = dict[str, Any]


def changes_between(before: Tree, after: Tree) -> tuple[Change, ...]:
    """Return the minimal changes that turn one document into another."""
    return tuple(_compare((), before, after))


def apply_changes(document: Tree, changes: Iterable[Change]) -> Tree:
    """Return a copy of a document with changes applied.

    Keys that no change names are preserved, including keys that only a newer
    version of the program knows.
    """
    result = _copy(document)
    for change in changes:
        parent = result
        for key in change.path[:-1]:
            parent = parent.setdefault(key, {})
        if change.after is ABSENT:
            parent.pop(change.path[-1], None)
        else:
            parent[change.path[-1]] = _copy(change.after)
    return result


def undo_changes(document: Tree, changes: Iterable[Change]) -> Tree:
    """Return a copy of a document with changes reverted."""
    inverse = [Change(c.path, c.after, c.before) for c in changes]
    return apply_changes(document, reversed(inverse))


def find_conflicts(
    mine: Iterable[Change], theirs: Iterable[Change]
) -> tuple[Conflict, ...]:
    """Return the pairs of changes of two operators that touch the same setting.

    Changes that set the same setting to the same value do not conflict. A change
    conflicts with a change of a setting above or below it in the document.
    """
    theirs = tuple(theirs)
    return tuple(
        Conflict(own, other)
        for own in mine
        for other in theirs
        if _overlap(own.path, other.path)
        and (own.path, own.after) != (other.path, other.after)
    )


def conflict_error(
    conflicts: Iterable[Conflict], by: dict[tuple[str, ...], str]
) -> JayshuntError:
    """Return a `config_conflict` error that names the other operators' changes.

    `by` maps the path of a change to its author.
    """
    lines = [explain_conflict(c, by.get(c.theirs.path)) for c in conflicts]
    return JayshuntError(
        "config_conflict", step="config.merge", detail="; ".join(lines)
    )


def explain_conflict(conflict: Conflict, author: str | None = None) -> str:
    """Return a description of the other operator's change and of this one."""
    theirs = conflict.theirs
    return (
        f"{theirs.name}: {author or 'another operator'} changed it from "
        f"{format_value(theirs.before)} to {format_value(theirs.after)}; "
        f"this change wants {format_value(conflict.mine.after)}"
    )


def format_value(value: Any) -> str:
    """Return a value as text of at most 60 characters."""
    if value is ABSENT:
        return "nothing"
    text = str(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _compare(path: tuple[str, ...], before: Any, after: Any) -> Iterator[Change]:
    if not isinstance(before, dict) or not isinstance(after, dict):
        if before != after:
            yield Change(path, before, after)
        return
    for key in sorted({*before, *after}):
        yield from _compare(
            (*path, key), before.get(key, ABSENT), after.get(key, ABSENT)
        )


def _overlap(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    length = min(len(one), len(other))
    return one[:length] == other[:length]


def _copy(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _copy(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_copy(item) for item in value]
    return value
